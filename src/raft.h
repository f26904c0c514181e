// Consensus core: the Raft protocol as a struct and free functions without system calls, clocks or
// locks. Sources: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4,
// 6, 9.6 and 10.2; leader stickiness and pre-vote after sections 4.2.3 and 9.6, the lease
// after 6.4.1.
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

// The states of charts/control_member.toml, in its order.
enum class RaftRole : std::uint8_t
{
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  Removed,
};

// The events of charts/control_member.toml, in its order.
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
  // The data is a member list of EncodeMembers.
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

// What a member must remember across a restart besides its log.
struct VoteState
{
  std::uint64_t mTerm = 0;
  // Empty if the member has not voted in mTerm.
  std::string mVote;

  bool operator==(const VoteState&) const = default;
};

struct SnapshotMeta
{
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  std::vector<LogMember> mMembers;
  // Bytes of the state.
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
  // Votes: last log position. Append: position before mEntries. AppendReply: position that was
  // matched, or that was rejected. Snapshot: position of the snapshot. ReadReply: the read index.
  std::uint64_t mIndex = 0;
  std::uint64_t mLogTerm = 0;
  std::uint64_t mCommitted = 0;
  bool mGranted = false;
  // AppendReply: a position at which the log of the follower may match, if rejected.
  std::uint64_t mHint = 0;
  // Time at which the leader sent an Append or Snapshot, on its own clock; replies echo it.
  TimePoint mSentAt{};
  std::vector<LogEntry> mEntries;
  // Snapshot chunk. The core leaves mData empty; the driver fills it in before sending.
  std::uint64_t mOffset = 0;
  std::uint64_t mTotal = 0;
  std::string mData;
  std::vector<LogMember> mMembers;
  // Read and ReadReply: number of the read at the asking member.
  std::uint64_t mRead = 0;
};

struct RaftSettings
{
  // Identity of this member, unique for the lifetime of its disk.
  std::string mSelf;
  // Shortest election timeout; each timeout is drawn from [mElection, 2 × mElection).
  Duration mElection = std::chrono::seconds(1);
  Duration mHeartbeat = std::chrono::milliseconds(200);
  // Bound on the rate difference of each steady clock from true time.
  double mClockDrift = 0.01;
  std::size_t mBatchEntries = 1024;
  std::size_t mBatchBytes = std::size_t{ 1024 } * 1024;
  // Append messages to one member that are not yet answered.
  std::size_t mInFlight = 16;
  // Proposals of the leader that are not yet committed.
  std::size_t mUncommittedEntries = 8192;
  std::size_t mUncommittedBytes = std::size_t{ 16 } * 1024 * 1024;
  std::size_t mChunkBytes = std::size_t{ 256 } * 1024;
  std::size_t mSnapshotBytes = std::size_t{ 256 } * 1024 * 1024;
  // A learner may be promoted when it lacks at most this many entries.
  std::uint64_t mCaughtUpEntries = 256;
  // Entries kept behind a snapshot for members that are slightly behind.
  std::uint64_t mKeptEntries = 4096;
};

// What to make durable, in the order of the members. Confirm with RaftSynced after the sync.
struct RaftWrite
{
  std::uint64_t mSequence = 0;
  std::optional<VoteState> mVote;
  // A received snapshot that replaces the state, and the log unless mKeepLog.
  std::optional<SnapshotMeta> mSnapshot;
  std::string mSnapshotData;
  bool mKeepLog = false;
  // Entries to append. An entry replaces those at its index and above.
  std::vector<LogEntry> mEntries;

  bool Empty() const { return !mVote && !mSnapshot && mEntries.empty(); }
};

struct ReadResult
{
  std::uint64_t mRead = 0;
  // Wait until this index is applied; an error if no linearizable read is possible.
  Expected<std::uint64_t> mIndex;
};

struct RaftOutput
{
  // May be sent at once; messages that depend on a write come out only after RaftSynced.
  std::vector<RaftMessage> mMessages;
  RaftWrite mWrite;
  // To apply in order, after mWrite is synced if it holds a snapshot.
  std::vector<LogEntry> mCommitted;
  std::vector<ReadResult> mReads;
};

enum class ProgressMode : std::uint8_t
{
  // The matching position is unknown; one message at a time.
  Probe,
  // Messages are pipelined.
  Replicate,
  Snapshot,
};

// What a leader knows of another member.
struct Progress
{
  ProgressMode mMode = ProgressMode::Probe;
  std::uint64_t mMatch = 0;
  std::uint64_t mNext = 1;
  // Last index of each unanswered Append.
  std::deque<std::uint64_t> mInFlight;
  bool mProbeSent = false;
  TimePoint mLastSent{};
  // Latest send time that the member has echoed in this term.
  TimePoint mEchoed = TimePoint::min();
  std::uint64_t mSnapshotIndex = 0;
  std::uint64_t mSnapshotOffset = 0;
};

struct Raft
{
  RaftSettings mSettings;
  const Chart* mChart = nullptr;
  Rng mRng;

  RaftRole mRole = RaftRole::Learner;
  VoteState mVote;
  std::string mLeader;
  // mEntries[0] has index mBase.mIndex + 1.
  SnapshotMeta mBase;
  std::deque<LogEntry> mEntries;
  // The newest snapshot that storage holds; its index is at least that of mBase.
  SnapshotMeta mSnapshot;
  std::uint64_t mCommitted = 0;
  std::uint64_t mSynced = 0;
  // Member lists by the index of their entry; the last one is in effect.
  std::map<std::uint64_t, std::vector<LogMember>> mMembers;

  // Start of the promise not to vote: last contact with a leader, or the start of the process.
  TimePoint mContact{};
  TimePoint mElectionDue{};
  std::set<std::string> mGrants;
  std::map<std::string, Progress> mProgress;
  TimePoint mLeaderSince{};
  std::size_t mUncommittedBytes = 0;

  // The snapshot that is being received, and from whom: chunks of two senders must not mix.
  std::optional<SnapshotMeta> mIncoming;
  std::string mIncomingFrom;
  std::string mIncomingData;

  // Events that the chart forbids in the state they came in; always 0 unless the code is wrong.
  std::uint64_t mChartFaults = 0;
  std::uint64_t mNextSequence = 1;
  // Sequence and last index of each write that was handed over and is not confirmed.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mWriting;
  std::uint64_t mNextRead = 1;
  RaftOutput mOutput;
  // Messages that wait for the sync of the write with this sequence.
  std::deque<std::pair<std::uint64_t, RaftMessage>> mHeld;
};

// What storage holds at the start.
struct RaftStart
{
  VoteState mVote;
  SnapshotMeta mSnapshot;
  // Contiguous, from mSnapshot.mIndex + 1.
  std::vector<LogEntry> mEntries;
};

// One member list as the data of an entry, and back. Decoding fails with StorageCorrupt.
std::string
EncodeMembers(const std::vector<LogMember>& aMembers);
Expected<std::vector<LogMember>>
DecodeMembers(std::string_view aData);

// Checks that aChart is the chart of the roles.
Expected<void>
CheckRaftChart(const Chart& aChart);

// A member as it starts. It grants no vote for one election timeout, because it may have promised
// so to a leader before the restart. Preconditions: aChart passed CheckRaftChart and outlives the
// result; aNow is on the clock of all later calls.
Raft
StartRaft(RaftSettings aSettings,
          const Chart& aChart,
          RaftStart aStart,
          std::uint64_t aSeed,
          TimePoint aNow);

// Every function below may add to the output, which RaftTakeOutput hands over. aNow never
// decreases.

// Runs timeouts. Call at least every quarter of a heartbeat.
void
RaftTick(Raft& aRaft, TimePoint aNow);

// Handles a message. One that is addressed to another identity is dropped.
void
RaftReceive(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow);

// Appends a command and returns its index. Errors: NotLeader, ProposalQueueFull.
Expected<std::uint64_t>
RaftPropose(Raft& aRaft, std::string aCommand, TimePoint aNow);

// Changes the membership by one step and returns the index of the change. Errors: NotLeader,
// MembershipBusy, NotCaughtUp, UnknownMember, UnsafeMembership.
Expected<std::uint64_t>
RaftAddLearner(Raft& aRaft, const LogMember& aMember, TimePoint aNow);
Expected<std::uint64_t>
RaftPromote(Raft& aRaft, const std::string& aMember, TimePoint aNow);
Expected<std::uint64_t>
RaftRemove(Raft& aRaft, const std::string& aMember, TimePoint aNow);

// Starts a linearizable read and returns its number; the output reports its index. If the message
// to the leader is lost, no result comes: the driver must set a timeout.
std::uint64_t
RaftRead(Raft& aRaft, TimePoint aNow);

// Sends what can be sent and hands over the output.
RaftOutput
RaftTakeOutput(Raft& aRaft, TimePoint aNow);

// Confirms that the write with this sequence, and every one before it, is durable.
void
RaftSynced(Raft& aRaft, std::uint64_t aSequence, TimePoint aNow);

// Records that storage holds this snapshot and drops the entries that it replaces, except the
// newest mKeptEntries. Precondition: its index is applied.
void
RaftCompact(Raft& aRaft, const SnapshotMeta& aSnapshot);

// True while this member may act as the leader: its lease holds.
bool
RaftLeading(const Raft& aRaft, TimePoint aNow);

std::uint64_t
RaftLastIndex(const Raft& aRaft);
// The term of the entry at aIndex; nothing if the log does not hold it.
std::optional<std::uint64_t>
RaftTermAt(const Raft& aRaft, std::uint64_t aIndex);
// The member list in effect, or the one in effect at aIndex.
const std::vector<LogMember>&
RaftMembers(const Raft& aRaft);
const std::vector<LogMember>&
RaftMembersAt(const Raft& aRaft, std::uint64_t aIndex);
std::string_view
RoleName(RaftRole aRole);

} // namespace apricotyard

#endif
