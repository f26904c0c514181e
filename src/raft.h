// Raft consensus core, a struct and free functions without system calls, clocks or locks. The
// caller passes in the time, the messages and the sync confirmations, and carries out the output.
//
// Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4, 6, 9.6 and
// 10.2. Leader stickiness and pre-vote follow sections 4.2.3 and 9.6, the leader lease section
// 6.4.1.
#ifndef APRICOTYARD_RAFT_H
#define APRICOTYARD_RAFT_H

#include "chart.h"
#include "replicated_log.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace apricotyard {

// The states of charts/control_member.toml, in the same order.
enum class RaftRole : std::uint8_t
{
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  Removed,
};

// The events of charts/control_member.toml, in the same order.
enum class RaftEvent : std::uint8_t
{
  ElectionTimeout,
  PreVoteWon,
  ElectionWon,
  LeaderFound,
  HigherTerm,
  QuorumLost,
  MadeVoter,
  MadeLearner,
  Removed,
};

enum class EntryKind : std::uint8_t
{
  Noop,
  Command,
  // mData is a member list written by EncodeMembers.
  Members,
};

struct LogEntry
{
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  EntryKind mKind = EntryKind::Noop;
  std::string mData;

  bool operator==(const LogEntry&) const = default;
};

// State besides the log that a member must keep across restarts.
struct VoteState
{
  std::uint64_t mTerm = 0;
  // The leader of mTerm once this member has followed it; before, the member that it voted for in
  // mTerm. Empty if there is neither. A restarted member finds out from it whether the leader that
  // it acknowledged last still leads.
  std::string mVotedFor;

  bool operator==(const VoteState&) const = default;
};

struct SnapshotMeta
{
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  std::vector<LogMember> mMembers;
  // Size of the snapshot data in bytes.
  std::uint64_t mSize = 0;
};

enum class MessageType : std::uint8_t
{
  PreVote,
  PreVoteReply,
  Vote,
  VoteReply,
  Append,
  AppendReply,
  Snapshot,
  SnapshotReply,
  Read,
  ReadReply,
};

struct RaftMessage
{
  MessageType mType = MessageType::Append;
  std::string mFrom;
  std::string mTo;
  std::uint64_t mTerm = 0;
  // Log position, an index and its term. PreVote and Vote: the end of the candidate's log. Append:
  // the entry before mEntries. AppendReply: the position that matched or was rejected. Snapshot:
  // the last entry that the snapshot covers. ReadReply: mIndex is the read index.
  std::uint64_t mIndex = 0;
  std::uint64_t mLogTerm = 0;
  std::uint64_t mCommitIndex = 0;
  bool mGranted = false;
  // AppendReply that rejects: an index at which the follower's log may match the leader's.
  std::uint64_t mRejectHint = 0;
  // Send time of an Append or Snapshot on the leader's clock. Replies echo it.
  TimePoint mSentAt{};
  std::vector<LogEntry> mEntries;
  // Snapshot chunk at mOffset of mTotal bytes. The core leaves mData empty; the driver fills it in
  // before sending.
  std::uint64_t mOffset = 0;
  std::uint64_t mTotal = 0;
  std::string mData;
  std::vector<LogMember> mMembers;
  // Read and ReadReply: the number that the requesting member gave the read.
  std::uint64_t mReadId = 0;
  // If not 0, a PreVote is a question of a member that has started (StartPoll), and this is its
  // process number. The PreVoteReply that answers it echoes the number; its mIndex and mLogTerm are
  // the end of the answering member's log.
  std::uint64_t mProcess = 0;
};

struct RaftSettings
{
  // Identity of this member. It is unique and changes when the disk is replaced.
  std::string mSelf;
  // Minimum election timeout. Each timeout is drawn from [mElectionTimeout, 2 × mElectionTimeout).
  Duration mElectionTimeout = std::chrono::seconds(1);
  Duration mHeartbeatInterval = std::chrono::milliseconds(200);
  // Maximum relative rate error of each member's steady clock.
  double mClockDrift = 0.01;
  std::size_t mMaxBatchEntries = 1024;
  std::size_t mMaxBatchBytes = std::size_t{ 1024 } * 1024;
  // Maximum number of unanswered Append messages to one member.
  std::size_t mMaxInFlight = 16;
  // Limits on the leader's uncommitted proposals.
  std::size_t mMaxUncommittedEntries = 8192;
  std::size_t mMaxUncommittedBytes = std::size_t{ 16 } * 1024 * 1024;
  std::size_t mSnapshotChunkBytes = std::size_t{ 256 } * 1024;
  std::size_t mSnapshotBytes = std::size_t{ 256 } * 1024 * 1024;
  // A learner may be promoted if it lacks at most this many entries.
  std::uint64_t mMaxPromotionLag = 256;
  // Entries kept in the log after a snapshot, so that members that lag slightly need no snapshot.
  std::uint64_t mTrailingEntries = 4096;
};

// Data to make durable, in the order of the fields. The caller confirms it with RaftSynced after
// the sync.
struct RaftWrite
{
  std::uint64_t mSequence = 0;
  std::optional<VoteState> mVote;
  // A received snapshot. It replaces the state machine's state and, unless mKeepLog, the log.
  std::optional<SnapshotMeta> mSnapshot;
  std::string mSnapshotData;
  bool mKeepLog = false;
  // Entries to append. They replace any stored entries from their first index on.
  std::vector<LogEntry> mEntries;

  bool Empty() const { return !mVote && !mSnapshot && mEntries.empty(); }
};

struct ReadResult
{
  std::uint64_t mReadId = 0;
  // The read may be served once this index is applied. An error if no linearizable read is
  // possible.
  Expected<std::uint64_t> mIndex;
};

struct RaftOutput
{
  // Messages to send now. A message that depends on a write is held back until RaftSynced.
  std::vector<RaftMessage> mMessages;
  RaftWrite mWrite;
  // Entries to apply in order. If mWrite holds a snapshot, it must be synced and restored first.
  std::vector<LogEntry> mCommitted;
  std::vector<ReadResult> mReads;
};

enum class ProgressMode : std::uint8_t
{
  // The follower's matching index is unknown. One message at a time is sent.
  Probe,
  // Append messages are pipelined.
  Replicate,
  Snapshot,
};

// Replication state of one member, kept by the leader.
struct Progress
{
  ProgressMode mMode = ProgressMode::Probe;
  std::uint64_t mMatchIndex = 0;
  std::uint64_t mNextIndex = 1;
  // The last index of each unanswered Append.
  std::deque<std::uint64_t> mInFlight;
  bool mProbeSent = false;
  TimePoint mLastSent{};
  // Latest send time that the member has echoed in this term. Basis of the leader lease.
  TimePoint mLastEchoedSendTime = TimePoint::min();
  std::uint64_t mSnapshotIndex = 0;
  std::uint64_t mSnapshotOffset = 0;
};

// The answer of a voter to the question of a member that has started.
struct StartAnswer
{
  std::uint64_t mTerm = 0;
  std::uint64_t mLogTerm = 0;
  std::uint64_t mLastIndex = 0;
};

// What a member learns from the other voters after its start. If all of them, among them the leader
// that it followed last, answer that they do not lead and have heard no leader since they started,
// the member need not wait an election timeout before it votes. The proof is in
// docs/design/group-start.md.
struct StartPoll
{
  // Random number of this process. Answers to an earlier process do not fit it.
  std::uint64_t mProcess = 0;
  TimePoint mStartedAt{};
  // The leader that the previous process followed last, or the member that it voted for since.
  std::string mRecordedLeader;
  // This process has followed a leader or has led.
  bool mLeaderHeard = false;
  // The wait has ended early.
  bool mWaived = false;
  // When each voter was asked last.
  std::map<std::string, TimePoint> mAskedAt;
  std::map<std::string, StartAnswer> mAnswers;
  // The last pre-vote that the wait made this member ignore. It is handled when the wait ends
  // early, since the members' waits end at slightly different times.
  std::optional<RaftMessage> mIgnoredPreVote;
};

struct Raft
{
  RaftSettings mSettings;
  const Chart* mChart = nullptr;
  Rng mRng;

  RaftRole mRole = RaftRole::Learner;
  VoteState mVoteState;
  std::string mLeader;
  // Position before the first entry of mEntries: mEntries[0] has index mBase.mIndex + 1.
  SnapshotMeta mBase;
  std::deque<LogEntry> mEntries;
  // The newest snapshot in storage. Its index is at least that of mBase.
  SnapshotMeta mSnapshot;
  std::uint64_t mCommitIndex = 0;
  std::uint64_t mSyncedIndex = 0;
  // Member lists by the index of their log entry. The last one is in effect.
  std::map<std::uint64_t, std::vector<LogMember>> mMembers;

  // Last contact with a leader, or the start of the process. For one election timeout after it this
  // member ignores vote requests. An election timeout before the end of the wait if StartPoll ended
  // it early.
  TimePoint mLastLeaderContact{};
  StartPoll mStart;
  TimePoint mElectionDeadline{};
  // Elections that were repeated early since the last contact with a leader.
  int mEarlyRetries = 0;
  std::set<std::string> mVotesGranted;
  std::map<std::string, Progress> mProgress;
  TimePoint mLeaderSince{};
  std::size_t mUncommittedBytes = 0;

  // The snapshot being received, and its sender. Chunks from different senders must not be mixed.
  std::optional<SnapshotMeta> mIncomingSnapshot;
  std::string mIncomingSender;
  std::string mIncomingData;

  // Number of events that the chart forbids in the role they occurred in. Anything but 0 is a bug.
  std::uint64_t mForbiddenEvents = 0;
  std::uint64_t mNextSequence = 1;
  // Sequence number and last log index of each write that was handed to the driver and is not yet
  // confirmed.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mUnsyncedWrites;
  std::uint64_t mNextReadId = 1;
  RaftOutput mOutput;
  // Messages held back until the write with this sequence number is synced.
  std::deque<std::pair<std::uint64_t, RaftMessage>> mDeferredMessages;
};

// State that storage recovered at the start of the process.
struct RaftInitialState
{
  VoteState mVote;
  SnapshotMeta mSnapshot;
  // Contiguous, starting at mSnapshot.mIndex + 1.
  std::vector<LogEntry> mEntries;
};

// Converts a member list to and from the data of a log entry. DecodeMembers fails with
// StorageCorrupt.
std::string
EncodeMembers(const std::vector<LogMember>& aMembers);
Expected<std::vector<LogMember>>
DecodeMembers(std::string_view aData);

// Checks that aChart has exactly the roles and events of this file. Errors: those of
// CheckChartNames.
Expected<void>
CheckRaftChart(const Chart& aChart);

// Creates a member from its recovered state. It grants no vote for one election timeout, because it
// may have acknowledged a leader's message just before the restart. The wait ends early if the
// other voters prove that there is no such leader (StartPoll); RaftTick asks them.
//
// Preconditions: aChart passed CheckRaftChart and outlives the result; aNow is on the clock of all
// later calls.
Raft
StartRaft(RaftSettings aSettings,
          const Chart& aChart,
          RaftInitialState aInitialState,
          std::uint64_t aSeed,
          TimePoint aNow);

// The functions below that take a mutable Raft add to its output, which RaftTakeOutput returns.
// aNow must never decrease. None of them is thread-safe.

// Handles election and quorum timeouts. Call it at least every quarter of a heartbeat interval.
void
RaftTick(Raft& aRaft, TimePoint aNow);

// Handles a message. Messages to another identity are dropped.
void
RaftReceive(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow);

// Appends a command to the leader's log and returns its index. Errors: NotLeader,
// ProposalQueueFull.
Expected<std::uint64_t>
RaftPropose(Raft& aRaft, std::string aCommand, TimePoint aNow);

// Each call changes the membership by one member and returns the index of the change. Errors:
// NotLeader, MembershipBusy, NotCaughtUp, UnknownMember, UnsafeMembership.
Expected<std::uint64_t>
RaftAddLearner(Raft& aRaft, const LogMember& aMember, TimePoint aNow);
Expected<std::uint64_t>
RaftPromote(Raft& aRaft, const std::string& aMember, TimePoint aNow);
Expected<std::uint64_t>
RaftRemove(Raft& aRaft, const std::string& aMember, TimePoint aNow);

// Starts a linearizable read and returns its number; the output later reports its read index. If a
// message to or from the leader is lost, no result is reported, so the driver needs a timeout.
std::uint64_t
RaftRead(Raft& aRaft, TimePoint aNow);

// Adds the messages that are due and returns the output, leaving it empty.
RaftOutput
RaftTakeOutput(Raft& aRaft, TimePoint aNow);

// Confirms that the write with this sequence number and all earlier ones are durable.
void
RaftSynced(Raft& aRaft, std::uint64_t aSequence, TimePoint aNow);

// Records that storage holds this snapshot, and drops the log entries that it covers except the
// newest mTrailingEntries. Precondition: the snapshot's index is applied.
void
RaftCompact(Raft& aRaft, const SnapshotMeta& aSnapshot);

// True while this member is the leader and its lease is valid.
bool
RaftLeading(const Raft& aRaft, TimePoint aNow);

// The identity of the leader that this member follows, or its own while it leads. Empty once the
// leader has been silent for longer than a follower waits before it campaigns, even if RaftTick has
// not noticed yet.
std::string
RaftKnownLeader(const Raft& aRaft, TimePoint aNow);

// True if the other voters that answered this leader within an election timeout are a majority, so
// that entries are committed although this member has not synced them.
bool
RaftCommitsWithoutSelf(const Raft& aRaft, TimePoint aNow);

std::uint64_t
RaftLastIndex(const Raft& aRaft);
// The term of the entry at aIndex, or nothing if the log does not hold that entry.
std::optional<std::uint64_t>
RaftTermAt(const Raft& aRaft, std::uint64_t aIndex);
// The member list in effect now, or at aIndex.
const std::vector<LogMember>&
RaftMembers(const Raft& aRaft);
const std::vector<LogMember>&
RaftMembersAt(const Raft& aRaft, std::uint64_t aIndex);
std::string_view
RoleName(RaftRole aRole);

} // namespace apricotyard

#endif
