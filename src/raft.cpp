#include "raft.h"

#include "settings.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

// Maximum number of voters in a control group, from section 2 of the design page.
constexpr std::size_t kMaxVoters = 7;

// An election timeout is drawn from one to this many times RaftSettings::mElectionTimeout.
constexpr int kMaxElectionTimeouts = 2;

// The following intervals are fractions of RaftSettings::mElectionTimeout; in parentheses their
// values at 1 s.
//
// A member that has started asks each voter at this interval until it answers (50 ms), and asks
// back a voter that asks it, but no more often than at the second one (10 ms).
constexpr int kQuestionsPerTimeout = 20;
constexpr int kMaxQuestionsPerTimeout = 100;
// Delay between the candidates after a common start (60 ms). It covers the two round trips and the
// sync of an election on hosts with a tenth of a core.
constexpr double kCandidateStep = 0.06;
// After a common start, a pre-vote without a majority is repeated after one to two times this (40
// ms to 80 ms). Voters that lack an answer still ignore the first one.
constexpr double kStartRetry = 0.04;
// Unless the wait is ended early, the first election of a member begins up to this after it (300
// ms). Pre-votes that come too early are repeated, so that no whole timeout is needed to spread
// them.
constexpr double kStartSpread = 0.3;
// At other times an election that failed is repeated after a random time in this range (100 ms to
// 300 ms), so that a split vote does not cost a whole timeout.
constexpr double kMinEarlyRetry = 0.1;
constexpr double kMaxEarlyRetry = 0.3;
// Early repetitions until a member waits for whole timeouts. A member that was cut off would
// otherwise send pre-votes several times a second for as long as it is.
constexpr int kMaxEarlyRetries = 5;

const std::vector<std::string> kRoleNames = { "learner",   "follower", "pre_candidate",
                                              "candidate", "leader",   "removed" };
const std::vector<std::string> kEventNames = { "election_timeout", "pre_vote_won", "election_won",
                                               "leader_found",     "higher_term",  "quorum_lost",
                                               "made_voter",       "made_learner", "removed" };

const LogMember*
FindMember(const std::vector<LogMember>& aMembers, const std::string& aId)
{
  for (const LogMember& member : aMembers) {
    if (member.mId == aId) {
      return &member;
    }
  }
  return nullptr;
}

bool
IsVoter(const std::vector<LogMember>& aMembers, const std::string& aId)
{
  const LogMember* const member = FindMember(aMembers, aId);
  return member != nullptr && member->mRole == MemberRole::Voter;
}

std::size_t
VoterCount(const std::vector<LogMember>& aMembers)
{
  return static_cast<std::size_t>(
    std::count_if(aMembers.begin(), aMembers.end(), [](const LogMember& aMember) {
      return aMember.mRole == MemberRole::Voter;
    }));
}

// The largest value that a majority of the voters has reached. aValue returns the value of one
// voter; aNone is the result if there are no voters.
template<typename Value, typename Function>
Value
MajorityValue(const std::vector<LogMember>& aMembers, Value aNone, Function aValue)
{
  std::vector<Value> values;
  for (const LogMember& member : aMembers) {
    if (member.mRole == MemberRole::Voter) {
      values.push_back(aValue(member.mId));
    }
  }
  if (values.empty()) {
    return aNone;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

std::uint64_t
LastLogTerm(const Raft& aRaft)
{
  return aRaft.mEntries.empty() ? aRaft.mBase.mTerm : aRaft.mEntries.back().mTerm;
}

const LogEntry&
EntryAt(const Raft& aRaft, std::uint64_t aIndex)
{
  return aRaft.mEntries[aIndex - aRaft.mBase.mIndex - 1];
}

void
Send(Raft& aRaft, RaftMessage aMessage)
{
  aMessage.mFrom = aRaft.mSettings.mSelf;
  aRaft.mOutput.mMessages.push_back(std::move(aMessage));
}

// Sends a message once everything written so far is durable.
void
SendAfterSync(Raft& aRaft, RaftMessage aMessage)
{
  aMessage.mFrom = aRaft.mSettings.mSelf;
  if (!aRaft.mOutput.mWrite.Empty()) {
    aRaft.mDeferredMessages.emplace_back(aRaft.mNextSequence, std::move(aMessage));
  } else if (!aRaft.mUnsyncedWrites.empty()) {
    aRaft.mDeferredMessages.emplace_back(aRaft.mUnsyncedWrites.back().first, std::move(aMessage));
  } else {
    aRaft.mOutput.mMessages.push_back(std::move(aMessage));
  }
}

void
ChangeRole(Raft& aRaft, RaftEvent aEvent)
{
  const ChartState next =
    Step(*aRaft.mChart, static_cast<ChartState>(aRaft.mRole), static_cast<ChartEvent>(aEvent));
  if (next == kNoTransition) {
    ++aRaft.mForbiddenEvents;
    return;
  }
  aRaft.mRole = static_cast<RaftRole>(next);
  if (aRaft.mRole != RaftRole::Leader) {
    aRaft.mProgress.clear();
  }
}

void
ResetElectionTimer(Raft& aRaft, TimePoint aNow)
{
  const auto span = static_cast<std::uint64_t>(aRaft.mSettings.mElectionTimeout.count());
  aRaft.mElectionDeadline = aNow + aRaft.mSettings.mElectionTimeout +
                            Duration(static_cast<std::int64_t>(aRaft.mRng() % span));
}

Duration
FractionOfTimeout(const Raft& aRaft, double aFraction)
{
  return std::chrono::duration_cast<Duration>(aRaft.mSettings.mElectionTimeout * aFraction);
}

// A random time from aLow to aHigh, both as fractions of the election timeout.
Duration
RandomFractionOfTimeout(Raft& aRaft, double aLow, double aHigh)
{
  return FractionOfTimeout(aRaft, std::uniform_real_distribution<double>(aLow, aHigh)(aRaft.mRng));
}

// True until one election timeout after the start, in which voters ask each other and, if that
// ended the wait, elect the first leader.
bool
IsStarting(const Raft& aRaft, TimePoint aNow)
{
  return !aRaft.mStart.mLeaderHeard &&
         aNow < aRaft.mStart.mStartedAt + aRaft.mSettings.mElectionTimeout;
}

// Sets the time at which an election that this member begins now is given up.
void
ResetRetryTimer(Raft& aRaft, TimePoint aNow)
{
  if (aRaft.mRole == RaftRole::PreCandidate && aRaft.mStart.mWaived && IsStarting(aRaft, aNow)) {
    aRaft.mElectionDeadline = aNow + RandomFractionOfTimeout(aRaft, kStartRetry, 2 * kStartRetry);
  } else if (aRaft.mEarlyRetries < kMaxEarlyRetries) {
    ++aRaft.mEarlyRetries;
    aRaft.mElectionDeadline = aNow + RandomFractionOfTimeout(aRaft, kMinEarlyRetry, kMaxEarlyRetry);
  } else {
    ResetElectionTimer(aRaft, aNow);
  }
}

void
SetVoteState(Raft& aRaft, std::uint64_t aTerm, const std::string& aVote)
{
  aRaft.mVoteState = { aTerm, aVote };
  aRaft.mOutput.mWrite.mVote = aRaft.mVoteState;
}

// Moves to a higher term and drops what belongs to the old one.
void
AdoptTerm(Raft& aRaft, std::uint64_t aTerm, TimePoint aNow)
{
  SetVoteState(aRaft, aTerm, "");
  aRaft.mLeader.clear();
  aRaft.mIncomingSnapshot.reset();
  aRaft.mIncomingData.clear();
  ChangeRole(aRaft, RaftEvent::HigherTerm);
  ResetElectionTimer(aRaft, aNow);
}

void
AddProgress(Raft& aRaft)
{
  for (const LogMember& member : RaftMembers(aRaft)) {
    if (member.mId != aRaft.mSettings.mSelf && !aRaft.mProgress.contains(member.mId)) {
      aRaft.mProgress[member.mId].mNextIndex = RaftLastIndex(aRaft) + 1;
    }
  }
}

// A voter whose removal is not known to be committed must still campaign. Its log may be the most
// up to date, and then no other member can win a majority (Ongaro, section 4.2.2).
bool
CanCampaign(const Raft& aRaft)
{
  const std::string& self = aRaft.mSettings.mSelf;
  const auto& [index, members] = *aRaft.mMembers.rbegin();
  return IsVoter(members, self) ||
         (FindMember(members, self) == nullptr && index > aRaft.mCommitIndex &&
          aRaft.mMembers.size() > 1 && IsVoter(std::next(aRaft.mMembers.rbegin())->second, self));
}

// Updates the role to match the member list in effect.
void
UpdateRoleFromMembers(Raft& aRaft)
{
  if (CanCampaign(aRaft)) {
    ChangeRole(aRaft, RaftEvent::MadeVoter);
  } else if (FindMember(RaftMembers(aRaft), aRaft.mSettings.mSelf) != nullptr) {
    ChangeRole(aRaft, RaftEvent::MadeLearner);
  }
  if (aRaft.mRole == RaftRole::Leader) {
    AddProgress(aRaft);
  }
}

void
AppendEntry(Raft& aRaft, LogEntry aEntry)
{
  if (aEntry.mKind == EntryKind::Members) {
    // A member encoded the data or storage has checked it. A list that cannot be decoded leaves the
    // membership unchanged.
    if (auto members = DecodeMembers(aEntry.mData)) {
      aRaft.mMembers[aEntry.mIndex] = std::move(*members);
    }
  }
  aRaft.mOutput.mWrite.mEntries.push_back(aEntry);
  aRaft.mEntries.push_back(std::move(aEntry));
}

// Removes the entries from aIndex on, including those waiting to be written.
void
TruncateFrom(Raft& aRaft, std::uint64_t aIndex)
{
  while (RaftLastIndex(aRaft) >= aIndex) {
    aRaft.mEntries.pop_back();
  }
  std::vector<LogEntry>& unwritten = aRaft.mOutput.mWrite.mEntries;
  while (!unwritten.empty() && unwritten.back().mIndex >= aIndex) {
    unwritten.pop_back();
  }
  for (auto& [sequence, last] : aRaft.mUnsyncedWrites) {
    last = std::min(last, aIndex - 1);
  }
  aRaft.mSyncedIndex = std::min(aRaft.mSyncedIndex, aIndex - 1);
  aRaft.mMembers.erase(aRaft.mMembers.lower_bound(aIndex), aRaft.mMembers.end());
}

RaftMessage
MakeAppendRequest(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  RaftMessage message;
  message.mType = MessageType::Append;
  message.mTo = aTo;
  message.mTerm = aRaft.mVoteState.mTerm;
  message.mIndex = aProgress.mNextIndex - 1;
  message.mLogTerm = RaftTermAt(aRaft, message.mIndex).value_or(0);
  message.mCommitIndex = aRaft.mCommitIndex;
  message.mSentAt = aNow;
  aProgress.mLastSent = aNow;
  return message;
}

// Sends one pipelined batch of entries. Returns false if there is nothing to send or too many
// messages are unanswered.
bool
SendBatch(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  const std::uint64_t last = RaftLastIndex(aRaft);
  if (aProgress.mNextIndex > last || aProgress.mInFlight.size() >= aRaft.mSettings.mMaxInFlight) {
    return false;
  }
  RaftMessage message = MakeAppendRequest(aRaft, aTo, aProgress, aNow);
  std::size_t bytes = 0;
  while (aProgress.mNextIndex <= last &&
         message.mEntries.size() < aRaft.mSettings.mMaxBatchEntries) {
    const LogEntry& entry = EntryAt(aRaft, aProgress.mNextIndex);
    bytes += entry.mData.size();
    if (!message.mEntries.empty() && bytes > aRaft.mSettings.mMaxBatchBytes) {
      break;
    }
    message.mEntries.push_back(entry);
    ++aProgress.mNextIndex;
  }
  aProgress.mInFlight.push_back(aProgress.mNextIndex - 1);
  Send(aRaft, std::move(message));
  return true;
}

void
SendSnapshotChunk(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  if (aProgress.mSnapshotIndex != aRaft.mSnapshot.mIndex) {
    aProgress.mSnapshotIndex = aRaft.mSnapshot.mIndex;
    aProgress.mSnapshotOffset = 0;
  }
  RaftMessage message;
  message.mType = MessageType::Snapshot;
  message.mTo = aTo;
  message.mTerm = aRaft.mVoteState.mTerm;
  message.mIndex = aRaft.mSnapshot.mIndex;
  message.mLogTerm = aRaft.mSnapshot.mTerm;
  message.mMembers = aRaft.mSnapshot.mMembers;
  message.mOffset = aProgress.mSnapshotOffset;
  message.mTotal = aRaft.mSnapshot.mSize;
  message.mSentAt = aNow;
  aProgress.mLastSent = aNow;
  aProgress.mProbeSent = true;
  Send(aRaft, std::move(message));
}

void
SendToPeer(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  const bool heartbeatDue = aNow - aProgress.mLastSent >= aRaft.mSettings.mHeartbeatInterval;
  if (aProgress.mNextIndex <= aRaft.mBase.mIndex) {
    aProgress.mMode = ProgressMode::Snapshot;
    aProgress.mInFlight.clear();
  }
  if (aProgress.mMode == ProgressMode::Snapshot) {
    if (heartbeatDue || !aProgress.mProbeSent) {
      SendSnapshotChunk(aRaft, aTo, aProgress, aNow);
    }
    return;
  }
  if (aProgress.mMode == ProgressMode::Replicate) {
    bool sent = false;
    while (SendBatch(aRaft, aTo, aProgress, aNow)) {
      sent = true;
    }
    if (sent || !heartbeatDue) {
      return;
    }
  }
  if (heartbeatDue || !aProgress.mProbeSent) {
    aProgress.mProbeSent = true;
    Send(aRaft, MakeAppendRequest(aRaft, aTo, aProgress, aNow));
  }
}

void
SendToPeers(Raft& aRaft, TimePoint aNow)
{
  for (auto& [id, progress] : aRaft.mProgress) {
    SendToPeer(aRaft, id, progress, aNow);
  }
}

void
OnMembersCommitted(Raft& aRaft, const LogEntry& aEntry, TimePoint aNow)
{
  const auto& members = RaftMembersAt(aRaft, aEntry.mIndex);
  const std::string self = aRaft.mSettings.mSelf;
  // A restart commits the whole log again, so an old removal of this member may be committed after
  // a later entry added it back. The newest list decides: the role already follows it.
  if (FindMember(members, self) == nullptr && FindMember(RaftMembers(aRaft), self) == nullptr &&
      FindMember(RaftMembersAt(aRaft, aEntry.mIndex - 1), self) != nullptr) {
    if (aRaft.mRole == RaftRole::Leader) {
      // Tells the other members now that the removal is committed, since this member stops leading.
      for (auto& [id, progress] : aRaft.mProgress) {
        Send(aRaft, MakeAppendRequest(aRaft, id, progress, aNow));
      }
      aRaft.mLeader.clear();
    }
    ChangeRole(aRaft, RaftEvent::Removed);
    return;
  }
  for (auto it = aRaft.mProgress.begin(); it != aRaft.mProgress.end();) {
    if (FindMember(RaftMembers(aRaft), it->first) == nullptr) {
      // This last message tells the removed member that its removal is committed.
      Send(aRaft, MakeAppendRequest(aRaft, it->first, it->second, aNow));
      it = aRaft.mProgress.erase(it);
    } else {
      ++it;
    }
  }
}

void
CommitTo(Raft& aRaft, std::uint64_t aIndex, TimePoint aNow)
{
  while (aRaft.mCommitIndex < aIndex) {
    const LogEntry& entry = EntryAt(aRaft, ++aRaft.mCommitIndex);
    aRaft.mOutput.mCommitted.push_back(entry);
    aRaft.mUncommittedBytes -= std::min(aRaft.mUncommittedBytes, entry.mData.size());
    if (entry.mKind == EntryKind::Members) {
      OnMembersCommitted(aRaft, entry, aNow);
    }
  }
}

// Commits the entries that a majority holds. Only entries of the current term are counted (Raft,
// section 5.4.2).
void
AdvanceCommit(Raft& aRaft, TimePoint aNow)
{
  if (aRaft.mRole != RaftRole::Leader) {
    return;
  }
  const auto majorityIndex =
    MajorityValue(RaftMembers(aRaft), std::uint64_t{ 0 }, [&aRaft](const std::string& aId) {
      if (aId == aRaft.mSettings.mSelf) {
        return aRaft.mSyncedIndex;
      }
      const auto found = aRaft.mProgress.find(aId);
      return found == aRaft.mProgress.end() ? std::uint64_t{ 0 } : found->second.mMatchIndex;
    });
  if (majorityIndex > aRaft.mCommitIndex &&
      RaftTermAt(aRaft, majorityIndex) == aRaft.mVoteState.mTerm) {
    CommitTo(aRaft, majorityIndex, aNow);
  }
}

// The latest time T such that a majority of the voters has acknowledged a message sent at T or
// later. Until T plus an election timeout they elect no other leader.
TimePoint
QuorumAckTime(const Raft& aRaft, TimePoint aNow)
{
  return MajorityValue(
    RaftMembers(aRaft), TimePoint::min(), [&aRaft, aNow](const std::string& aId) {
      if (aId == aRaft.mSettings.mSelf) {
        return aNow;
      }
      const auto found = aRaft.mProgress.find(aId);
      return found == aRaft.mProgress.end() ? TimePoint::min() : found->second.mLastEchoedSendTime;
    });
}

void
BecomeLeader(Raft& aRaft, TimePoint aNow)
{
  ChangeRole(aRaft, RaftEvent::ElectionWon);
  aRaft.mStart.mLeaderHeard = true;
  aRaft.mEarlyRetries = 0;
  aRaft.mLeader = aRaft.mSettings.mSelf;
  aRaft.mLeaderSince = aNow;
  aRaft.mUncommittedBytes = 0;
  aRaft.mProgress.clear();
  AddProgress(aRaft);
  // A leader commits entries of earlier terms, and serves reads, only after an entry of its own
  // term is committed.
  AppendEntry(aRaft, { RaftLastIndex(aRaft) + 1, aRaft.mVoteState.mTerm, EntryKind::Noop, "" });
}

bool
HasVoteMajority(const Raft& aRaft)
{
  const auto& members = RaftMembers(aRaft);
  const auto grants =
    std::count_if(aRaft.mVotesGranted.begin(),
                  aRaft.mVotesGranted.end(),
                  [&members](const std::string& aId) { return IsVoter(members, aId); });
  return static_cast<std::size_t>(grants) > VoterCount(members) / 2;
}

RaftMessage
MakeVoteRequest(const Raft& aRaft, MessageType aType, std::uint64_t aTerm)
{
  RaftMessage message;
  message.mType = aType;
  message.mTerm = aTerm;
  message.mIndex = RaftLastIndex(aRaft);
  message.mLogTerm = LastLogTerm(aRaft);
  return message;
}

void
RequestVotes(Raft& aRaft, const RaftMessage& aMessage)
{
  for (const LogMember& member : RaftMembers(aRaft)) {
    if (member.mRole == MemberRole::Voter && member.mId != aRaft.mSettings.mSelf) {
      RaftMessage message = aMessage;
      message.mTo = member.mId;
      SendAfterSync(aRaft, std::move(message));
    }
  }
}

void
StartElection(Raft& aRaft, TimePoint aNow)
{
  ChangeRole(aRaft, RaftEvent::PreVoteWon);
  SetVoteState(aRaft, aRaft.mVoteState.mTerm + 1, aRaft.mSettings.mSelf);
  ResetRetryTimer(aRaft, aNow);
  aRaft.mVotesGranted.clear();
  RequestVotes(aRaft, MakeVoteRequest(aRaft, MessageType::Vote, aRaft.mVoteState.mTerm));
  // This member's own vote counts only once it is durable, so it is sent as a held-back reply to
  // itself.
  RaftMessage ownVote;
  ownVote.mType = MessageType::VoteReply;
  ownVote.mTo = aRaft.mSettings.mSelf;
  ownVote.mTerm = aRaft.mVoteState.mTerm;
  ownVote.mGranted = true;
  SendAfterSync(aRaft, std::move(ownVote));
}

void
StartPreVote(Raft& aRaft, TimePoint aNow)
{
  ChangeRole(aRaft, RaftEvent::ElectionTimeout);
  ResetRetryTimer(aRaft, aNow);
  aRaft.mLeader.clear();
  aRaft.mVotesGranted = { aRaft.mSettings.mSelf };
  if (HasVoteMajority(aRaft)) {
    StartElection(aRaft, aNow);
    return;
  }
  RequestVotes(aRaft, MakeVoteRequest(aRaft, MessageType::PreVote, aRaft.mVoteState.mTerm + 1));
}

// True while this member is the leader, or has heard from a leader or started within the last
// election timeout. The leader lease relies on it not voting in that time.
bool
MustIgnoreVoteRequests(const Raft& aRaft, TimePoint aNow)
{
  return aRaft.mRole == RaftRole::Leader ||
         aNow < aRaft.mLastLeaderContact + aRaft.mSettings.mElectionTimeout;
}

bool
CandidateLogIsUpToDate(const Raft& aRaft, const RaftMessage& aMessage)
{
  const std::uint64_t term = LastLogTerm(aRaft);
  return aMessage.mLogTerm > term ||
         (aMessage.mLogTerm == term && aMessage.mIndex >= RaftLastIndex(aRaft));
}

RaftMessage
MakeReply(const RaftMessage& aMessage, MessageType aType, std::uint64_t aTerm)
{
  RaftMessage reply;
  reply.mType = aType;
  reply.mTo = aMessage.mFrom;
  reply.mTerm = aTerm;
  reply.mIndex = aMessage.mIndex;
  reply.mSentAt = aMessage.mSentAt;
  return reply;
}

// True while this member may ask the other voters whether it has to wait. A state without a
// recorded leader does not tell whom the member may have acknowledged.
bool
MayAskAtStart(const Raft& aRaft, TimePoint aNow)
{
  const StartPoll& start = aRaft.mStart;
  return !start.mWaived && IsStarting(aRaft, aNow) && CanCampaign(aRaft) &&
         (start.mRecordedLeader == aRaft.mSettings.mSelf ||
          IsVoter(RaftMembers(aRaft), start.mRecordedLeader));
}

// Asks a voter unless it has answered or was asked less than aPause ago.
void
AskAtStart(Raft& aRaft, const std::string& aVoter, Duration aPause, TimePoint aNow)
{
  StartPoll& start = aRaft.mStart;
  const auto asked = start.mAskedAt.find(aVoter);
  if (start.mAnswers.contains(aVoter) ||
      (asked != start.mAskedAt.end() && aNow < asked->second + aPause)) {
    return;
  }
  start.mAskedAt[aVoter] = aNow;
  // The previous build takes the question as a pre-vote. Its grant has no effect here, because this
  // member is no pre-candidate.
  RaftMessage question = MakeVoteRequest(aRaft, MessageType::PreVote, aRaft.mVoteState.mTerm + 1);
  question.mTo = aVoter;
  question.mProcess = start.mProcess;
  Send(aRaft, std::move(question));
}

// The number of voters that are to campaign before this member: those with a more up-to-date log,
// and among equal logs those with a lower identity. Precondition: all voters have answered.
std::size_t
CandidateRank(const Raft& aRaft)
{
  const auto own = std::tuple(LastLogTerm(aRaft), RaftLastIndex(aRaft));
  return static_cast<std::size_t>(std::count_if(
    aRaft.mStart.mAnswers.begin(), aRaft.mStart.mAnswers.end(), [&](const auto& aAnswer) {
      const auto& [id, answer] = aAnswer;
      const auto other = std::tuple(answer.mLogTerm, answer.mLastIndex);
      return other > own || (other == own && id < aRaft.mSettings.mSelf);
    }));
}

// Ends the wait that protects leader leases. Precondition: all voters have answered.
void
EndStartWait(Raft& aRaft, TimePoint aNow)
{
  aRaft.mStart.mWaived = true;
  aRaft.mLastLeaderContact = aNow - aRaft.mSettings.mElectionTimeout;
  std::uint64_t term = 0;
  for (const auto& [id, answer] : aRaft.mStart.mAnswers) {
    term = std::max(term, answer.mTerm);
  }
  // A candidate of a lower term would be refused.
  if (term > aRaft.mVoteState.mTerm) {
    AdoptTerm(aRaft, term, aNow);
  }
  const std::size_t rank = CandidateRank(aRaft);
  aRaft.mElectionDeadline =
    aNow + FractionOfTimeout(aRaft, kCandidateStep * static_cast<double>(rank));
  if (rank == 0) {
    StartPreVote(aRaft, aNow);
  }
}

void
OnPreVote(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow);

// Asks the voters that have not answered yet, and ends the wait once there is none.
void
PollAtStart(Raft& aRaft, TimePoint aNow)
{
  if (!MayAskAtStart(aRaft, aNow)) {
    return;
  }
  bool complete = true;
  for (const LogMember& member : RaftMembers(aRaft)) {
    if (member.mRole == MemberRole::Voter && member.mId != aRaft.mSettings.mSelf) {
      complete = complete && aRaft.mStart.mAnswers.contains(member.mId);
      AskAtStart(aRaft, member.mId, aRaft.mSettings.mElectionTimeout / kQuestionsPerTimeout, aNow);
    }
  }
  if (complete) {
    EndStartWait(aRaft, aNow);
    if (const auto ignored = std::exchange(aRaft.mStart.mIgnoredPreVote, std::nullopt)) {
      OnPreVote(aRaft, *ignored, aNow);
    }
  }
}

// Answers that this process neither leads nor has heard a leader. Asks back, because the member
// that asks may just have started. Neither waits for a sync: both depend on nothing unwritten.
void
OnStartQuestion(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aRaft.mStart.mLeaderHeard) {
    return;
  }
  RaftMessage reply = MakeReply(aMessage, MessageType::PreVoteReply, aRaft.mVoteState.mTerm);
  reply.mProcess = aMessage.mProcess;
  reply.mIndex = RaftLastIndex(aRaft);
  reply.mLogTerm = LastLogTerm(aRaft);
  Send(aRaft, std::move(reply));
  if (MayAskAtStart(aRaft, aNow) && IsVoter(RaftMembers(aRaft), aMessage.mFrom)) {
    AskAtStart(
      aRaft, aMessage.mFrom, aRaft.mSettings.mElectionTimeout / kMaxQuestionsPerTimeout, aNow);
  }
}

void
OnStartAnswer(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  // An answer to an earlier process may be older than an acknowledgement of that process.
  if (aMessage.mProcess != aRaft.mStart.mProcess || !MayAskAtStart(aRaft, aNow)) {
    return;
  }
  aRaft.mStart.mAnswers[aMessage.mFrom] = { aMessage.mTerm, aMessage.mLogTerm, aMessage.mIndex };
  PollAtStart(aRaft, aNow);
}

void
OnPreVote(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mProcess != 0) {
    OnStartQuestion(aRaft, aMessage, aNow);
    return;
  }
  if (MustIgnoreVoteRequests(aRaft, aNow)) {
    if (IsStarting(aRaft, aNow)) {
      aRaft.mStart.mIgnoredPreVote = aMessage;
    }
    return;
  }
  const bool granted =
    aMessage.mTerm > aRaft.mVoteState.mTerm && CandidateLogIsUpToDate(aRaft, aMessage);
  RaftMessage reply = MakeReply(
    aMessage, MessageType::PreVoteReply, granted ? aMessage.mTerm : aRaft.mVoteState.mTerm);
  reply.mGranted = granted;
  SendAfterSync(aRaft, std::move(reply));
}

void
OnPreVoteReply(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mProcess != 0) {
    OnStartAnswer(aRaft, aMessage, aNow);
    return;
  }
  if (!aMessage.mGranted) {
    if (aMessage.mTerm > aRaft.mVoteState.mTerm && aRaft.mRole == RaftRole::PreCandidate) {
      AdoptTerm(aRaft, aMessage.mTerm, aNow);
    }
    return;
  }
  if (aRaft.mRole == RaftRole::PreCandidate && aMessage.mTerm == aRaft.mVoteState.mTerm + 1) {
    aRaft.mVotesGranted.insert(aMessage.mFrom);
    if (HasVoteMajority(aRaft)) {
      StartElection(aRaft, aNow);
    }
  }
}

void
OnVote(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  // Without this check a member that was partitioned could depose a working leader.
  if (MustIgnoreVoteRequests(aRaft, aNow)) {
    return;
  }
  if (aMessage.mTerm > aRaft.mVoteState.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
  }
  const bool granted =
    aMessage.mTerm == aRaft.mVoteState.mTerm && CandidateLogIsUpToDate(aRaft, aMessage) &&
    (aRaft.mVoteState.mVotedFor.empty() || aRaft.mVoteState.mVotedFor == aMessage.mFrom);
  if (granted) {
    if (aRaft.mVoteState.mVotedFor.empty()) {
      SetVoteState(aRaft, aRaft.mVoteState.mTerm, aMessage.mFrom);
    }
    ResetElectionTimer(aRaft, aNow);
  }
  RaftMessage reply = MakeReply(aMessage, MessageType::VoteReply, aRaft.mVoteState.mTerm);
  reply.mGranted = granted;
  SendAfterSync(aRaft, std::move(reply));
}

void
OnVoteReply(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mTerm > aRaft.mVoteState.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
    return;
  }
  if (aMessage.mGranted && aRaft.mRole == RaftRole::Candidate &&
      aMessage.mTerm == aRaft.mVoteState.mTerm) {
    aRaft.mVotesGranted.insert(aMessage.mFrom);
    if (HasVoteMajority(aRaft)) {
      BecomeLeader(aRaft, aNow);
    }
  }
}

// Accepts the sender of an Append or Snapshot as the leader. Returns false and replies with the
// current term if the sender's term is outdated.
bool
FollowLeader(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mTerm < aRaft.mVoteState.mTerm) {
    RaftMessage reply = MakeReply(aMessage, MessageType::AppendReply, aRaft.mVoteState.mTerm);
    SendAfterSync(aRaft, std::move(reply));
    return false;
  }
  if (aMessage.mTerm > aRaft.mVoteState.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
  }
  // Written before the first reply in this term, because the lease relies on the promise that the
  // reply makes. The leader has won the term, so this vote helps no other candidate.
  if (aRaft.mVoteState.mVotedFor != aMessage.mFrom) {
    SetVoteState(aRaft, aRaft.mVoteState.mTerm, aMessage.mFrom);
  }
  ChangeRole(aRaft, RaftEvent::LeaderFound);
  aRaft.mStart.mLeaderHeard = true;
  aRaft.mEarlyRetries = 0;
  aRaft.mLeader = aMessage.mFrom;
  aRaft.mLastLeaderContact = aNow;
  ResetElectionTimer(aRaft, aNow);
  return true;
}

// An index before the conflicting term, so that the leader skips one term per message instead of
// one entry.
std::uint64_t
RejectHint(const Raft& aRaft, std::uint64_t aIndex)
{
  std::uint64_t hint = std::min(RaftLastIndex(aRaft), aIndex);
  const std::uint64_t term = RaftTermAt(aRaft, hint).value_or(0);
  if (hint == aIndex) {
    while (hint > aRaft.mCommitIndex && RaftTermAt(aRaft, hint) == term) {
      --hint;
    }
  }
  return hint;
}

void
OnAppend(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (!FollowLeader(aRaft, aMessage, aNow)) {
    return;
  }
  RaftMessage reply = MakeReply(aMessage, MessageType::AppendReply, aRaft.mVoteState.mTerm);
  const bool compacted = aMessage.mIndex < aRaft.mBase.mIndex;
  if (!compacted && RaftTermAt(aRaft, aMessage.mIndex) != aMessage.mLogTerm) {
    reply.mRejectHint = RejectHint(aRaft, aMessage.mIndex);
    SendAfterSync(aRaft, std::move(reply));
    return;
  }
  std::uint64_t matched = aMessage.mIndex;
  bool changed = false;
  for (const LogEntry& entry : aMessage.mEntries) {
    if (entry.mIndex != matched + 1) {
      return;
    }
    matched = entry.mIndex;
    // Committed entries are the same on every member.
    if (entry.mIndex <= aRaft.mCommitIndex || RaftTermAt(aRaft, entry.mIndex) == entry.mTerm) {
      continue;
    }
    TruncateFrom(aRaft, entry.mIndex);
    AppendEntry(aRaft, entry);
    changed = true;
  }
  if (changed) {
    UpdateRoleFromMembers(aRaft);
  }
  // The log of a leader of this or a later term contains everything that is committed here.
  matched = std::max(matched, std::min(aRaft.mBase.mIndex, aRaft.mCommitIndex));
  CommitTo(aRaft, std::min(aMessage.mCommitIndex, matched), aNow);
  reply.mGranted = true;
  reply.mIndex = matched;
  SendAfterSync(aRaft, std::move(reply));
}

// Handles the term and the echoed send time of a reply. Returns the sender's progress, or nullptr
// if the reply is not for the current term of this leader.
Progress*
FindProgress(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mTerm > aRaft.mVoteState.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
    return nullptr;
  }
  const auto found = aRaft.mProgress.find(aMessage.mFrom);
  if (aRaft.mRole != RaftRole::Leader || aMessage.mTerm != aRaft.mVoteState.mTerm ||
      found == aRaft.mProgress.end()) {
    return nullptr;
  }
  found->second.mLastEchoedSendTime = std::max(found->second.mLastEchoedSendTime, aMessage.mSentAt);
  return &found->second;
}

void
OnAppendRejected(Progress& aProgress, const RaftMessage& aMessage)
{
  const std::uint64_t rejected = aMessage.mIndex;
  if (rejected <= aProgress.mMatchIndex || aProgress.mMode == ProgressMode::Snapshot ||
      (aProgress.mMode == ProgressMode::Probe && rejected != aProgress.mNextIndex - 1)) {
    return;
  }
  aProgress.mNextIndex =
    std::max(aProgress.mMatchIndex + 1, std::min(aMessage.mRejectHint + 1, rejected));
  aProgress.mMode = ProgressMode::Probe;
  aProgress.mInFlight.clear();
  aProgress.mProbeSent = false;
}

void
OnAppendReply(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  Progress* const progress = FindProgress(aRaft, aMessage, aNow);
  if (progress == nullptr) {
    return;
  }
  if (!aMessage.mGranted) {
    OnAppendRejected(*progress, aMessage);
    return;
  }
  progress->mMatchIndex = std::max(progress->mMatchIndex, aMessage.mIndex);
  progress->mNextIndex = std::max(progress->mNextIndex, progress->mMatchIndex + 1);
  while (!progress->mInFlight.empty() && progress->mInFlight.front() <= progress->mMatchIndex) {
    progress->mInFlight.pop_front();
  }
  if (progress->mMode != ProgressMode::Replicate && progress->mMatchIndex >= aRaft.mBase.mIndex) {
    progress->mMode = ProgressMode::Replicate;
    progress->mInFlight.clear();
    progress->mNextIndex = progress->mMatchIndex + 1;
  }
  AdvanceCommit(aRaft, aNow);
}

// Replaces the state by the received snapshot. The entries after it are kept only if the log holds
// the snapshot's last entry, since otherwise they may conflict with it.
void
InstallSnapshot(Raft& aRaft)
{
  const SnapshotMeta& meta = *aRaft.mIncomingSnapshot;
  RaftWrite& write = aRaft.mOutput.mWrite;
  write.mKeepLog = RaftTermAt(aRaft, meta.mIndex) == meta.mTerm;
  if (write.mKeepLog) {
    while (!aRaft.mEntries.empty() && aRaft.mEntries.front().mIndex <= meta.mIndex) {
      aRaft.mEntries.pop_front();
    }
    aRaft.mMembers.erase(aRaft.mMembers.begin(), aRaft.mMembers.upper_bound(meta.mIndex));
  } else {
    aRaft.mEntries.clear();
    aRaft.mMembers.clear();
    write.mEntries.clear();
    for (auto& [sequence, last] : aRaft.mUnsyncedWrites) {
      last = std::min(last, meta.mIndex);
    }
    aRaft.mSyncedIndex = meta.mIndex;
  }
  aRaft.mMembers[meta.mIndex] = meta.mMembers;
  aRaft.mBase = meta;
  aRaft.mSnapshot = meta;
  aRaft.mCommitIndex = meta.mIndex;
  aRaft.mOutput.mCommitted.clear();
  write.mSnapshot = meta;
  write.mSnapshotData = std::move(aRaft.mIncomingData);
  aRaft.mIncomingSnapshot.reset();
  aRaft.mIncomingData.clear();
  UpdateRoleFromMembers(aRaft);
}

void
OnSnapshot(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (!FollowLeader(aRaft, aMessage, aNow)) {
    return;
  }
  RaftMessage reply = MakeReply(aMessage, MessageType::SnapshotReply, aRaft.mVoteState.mTerm);
  reply.mTotal = aMessage.mTotal;
  if (aMessage.mIndex <= aRaft.mCommitIndex) {
    reply.mGranted = true;
    SendAfterSync(aRaft, std::move(reply));
    return;
  }
  if (!aRaft.mIncomingSnapshot || aRaft.mIncomingSnapshot->mIndex != aMessage.mIndex ||
      aRaft.mIncomingSnapshot->mTerm != aMessage.mLogTerm ||
      aRaft.mIncomingSender != aMessage.mFrom ||
      aRaft.mIncomingSnapshot->mSize != aMessage.mTotal) {
    aRaft.mIncomingSnapshot =
      SnapshotMeta{ aMessage.mIndex, aMessage.mLogTerm, aMessage.mMembers, aMessage.mTotal };
    aRaft.mIncomingSender = aMessage.mFrom;
    aRaft.mIncomingData.clear();
  }
  if (aMessage.mOffset == aRaft.mIncomingData.size() &&
      aMessage.mOffset + aMessage.mData.size() <= aMessage.mTotal &&
      aMessage.mTotal <= aRaft.mSettings.mSnapshotBytes) {
    aRaft.mIncomingData += aMessage.mData;
  }
  reply.mOffset = aRaft.mIncomingData.size();
  if (aRaft.mIncomingData.size() == aMessage.mTotal) {
    InstallSnapshot(aRaft);
    reply.mGranted = true;
  }
  SendAfterSync(aRaft, std::move(reply));
}

void
OnSnapshotReply(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  Progress* const progress = FindProgress(aRaft, aMessage, aNow);
  if (progress == nullptr) {
    return;
  }
  if (aMessage.mGranted) {
    progress->mMatchIndex = std::max(progress->mMatchIndex, aMessage.mIndex);
    if (progress->mMode == ProgressMode::Snapshot && progress->mMatchIndex >= aRaft.mBase.mIndex) {
      progress->mMode = ProgressMode::Probe;
      progress->mNextIndex = progress->mMatchIndex + 1;
      progress->mProbeSent = false;
    }
    AdvanceCommit(aRaft, aNow);
  } else if (progress->mMode == ProgressMode::Snapshot &&
             progress->mSnapshotIndex == aMessage.mIndex) {
    progress->mSnapshotOffset = std::min(aMessage.mOffset, aMessage.mTotal);
    progress->mProbeSent = false;
  }
}

Expected<std::uint64_t>
ReadIndex(const Raft& aRaft, TimePoint aNow)
{
  if (!RaftLeading(aRaft, aNow) ||
      RaftTermAt(aRaft, aRaft.mCommitIndex) != aRaft.mVoteState.mTerm) {
    return Fail(Result::ReadUnavailable, "no leader with a valid lease");
  }
  return aRaft.mCommitIndex;
}

void
OnReadRequest(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  RaftMessage reply = MakeReply(aMessage, MessageType::ReadReply, 0);
  reply.mReadId = aMessage.mReadId;
  if (const auto index = ReadIndex(aRaft, aNow)) {
    reply.mGranted = true;
    reply.mIndex = *index;
    // Makes the next output send the commit index to this member without waiting for the heartbeat.
    if (const auto found = aRaft.mProgress.find(aMessage.mFrom); found != aRaft.mProgress.end()) {
      found->second.mLastSent = aNow - aRaft.mSettings.mHeartbeatInterval;
    }
  }
  Send(aRaft, std::move(reply));
}

Expected<void>
CheckMembershipChange(const Raft& aRaft, TimePoint aNow)
{
  if (!RaftLeading(aRaft, aNow)) {
    return Fail(Result::NotLeader, fmt::format("the leader is '{}'", aRaft.mLeader));
  }
  // Before the first entry of its term is committed, a leader may not know of a predecessor's
  // unfinished change. Two concurrent changes need not have overlapping majorities.
  if (aRaft.mMembers.rbegin()->first > aRaft.mCommitIndex ||
      RaftTermAt(aRaft, aRaft.mCommitIndex) != aRaft.mVoteState.mTerm) {
    return Fail(Result::MembershipBusy, "an earlier membership change is not committed");
  }
  return {};
}

std::uint64_t
AppendMembers(Raft& aRaft, const std::vector<LogMember>& aMembers, TimePoint aNow)
{
  const std::uint64_t index = RaftLastIndex(aRaft) + 1;
  AppendEntry(aRaft,
              { index, aRaft.mVoteState.mTerm, EntryKind::Members, EncodeMembers(aMembers) });
  UpdateRoleFromMembers(aRaft);
  AdvanceCommit(aRaft, aNow);
  return index;
}

bool
RecentlyActive(const Raft& aRaft, const std::string& aId, TimePoint aNow)
{
  const auto found = aRaft.mProgress.find(aId);
  return aId == aRaft.mSettings.mSelf ||
         (found != aRaft.mProgress.end() &&
          found->second.mLastEchoedSendTime > aNow - aRaft.mSettings.mElectionTimeout);
}

} // namespace

std::string
EncodeMembers(const std::vector<LogMember>& aMembers)
{
  nlohmann::json list = nlohmann::json::array();
  for (const LogMember& member : aMembers) {
    list.push_back({ { "id", member.mId },
                     { "ip", member.mAddress.mIp },
                     { "port", member.mAddress.mPort },
                     { "voter", member.mRole == MemberRole::Voter } });
  }
  return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Expected<std::vector<LogMember>>
DecodeMembers(std::string_view aData)
{
  const nlohmann::json list = nlohmann::json::parse(aData, nullptr, false);
  std::vector<LogMember> members;
  if (!list.is_array()) {
    return Fail(Result::StorageCorrupt, "cannot decode a member list");
  }
  for (const nlohmann::json& item : list) {
    if (!item.is_object() || !item.contains("id") || !item["id"].is_string() ||
        !item.contains("ip") || !item["ip"].is_string() || !item.contains("port") ||
        !item["port"].is_number_unsigned() || !item.contains("voter") ||
        !item["voter"].is_boolean()) {
      return Fail(Result::StorageCorrupt, "cannot decode a member list");
    }
    members.push_back({ item["id"].get<std::string>(),
                        { item["ip"].get<std::string>(), item["port"].get<std::uint16_t>() },
                        item["voter"].get<bool>() ? MemberRole::Voter : MemberRole::Learner });
  }
  return members;
}

Expected<void>
CheckRaftChart(const Chart& aChart)
{
  return CheckChartNames(aChart, kRoleNames, kEventNames);
}

Raft
StartRaft(RaftSettings aSettings,
          const Chart& aChart,
          RaftInitialState aInitialState,
          std::uint64_t aSeed,
          TimePoint aNow)
{
  Raft raft;
  raft.mSettings = std::move(aSettings);
  raft.mChart = &aChart;
  raft.mRng.seed(aSeed);
  // A reply to a read from before the restart must not match a new read, so numbering starts at a
  // random value.
  raft.mNextReadId = raft.mRng();
  raft.mVoteState = std::move(aInitialState.mVote);
  raft.mStart.mStartedAt = aNow;
  raft.mStart.mRecordedLeader = raft.mVoteState.mVotedFor;
  // 0 marks messages that are no question.
  raft.mStart.mProcess = std::max<std::uint64_t>(1, raft.mRng());
  raft.mBase = aInitialState.mSnapshot;
  raft.mSnapshot = std::move(aInitialState.mSnapshot);
  raft.mCommitIndex = raft.mBase.mIndex;
  raft.mMembers[raft.mBase.mIndex] = raft.mBase.mMembers;
  for (LogEntry& entry : aInitialState.mEntries) {
    AppendEntry(raft, std::move(entry));
  }
  raft.mOutput = {};
  raft.mSyncedIndex = RaftLastIndex(raft);
  raft.mLastLeaderContact = aNow;
  raft.mElectionDeadline =
    aNow + raft.mSettings.mElectionTimeout + RandomFractionOfTimeout(raft, 0.0, kStartSpread);
  UpdateRoleFromMembers(raft);
  // A single voter has acknowledged no other leader, so it need not wait.
  if (IsVoter(RaftMembers(raft), raft.mSettings.mSelf) && VoterCount(RaftMembers(raft)) == 1) {
    raft.mElectionDeadline = aNow;
  }
  return raft;
}

void
RaftTick(Raft& aRaft, TimePoint aNow)
{
  switch (aRaft.mRole) {
    case RaftRole::Leader:
      if (aNow - std::max(QuorumAckTime(aRaft, aNow), aRaft.mLeaderSince) >=
          aRaft.mSettings.mElectionTimeout) {
        aRaft.mLeader.clear();
        ChangeRole(aRaft, RaftEvent::QuorumLost);
        ResetElectionTimer(aRaft, aNow);
      }
      return;
    case RaftRole::Follower:
    case RaftRole::PreCandidate:
    case RaftRole::Candidate:
      PollAtStart(aRaft, aNow);
      if (aNow >= aRaft.mElectionDeadline && CanCampaign(aRaft)) {
        StartPreVote(aRaft, aNow);
      }
      return;
    case RaftRole::Learner:
    case RaftRole::Removed:
      // As long as a follower may follow a lost leader.
      if (RaftKnownLeader(aRaft, aNow).empty()) {
        aRaft.mLeader.clear();
      }
      return;
  }
}

void
RaftReceive(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mTo != aRaft.mSettings.mSelf) {
    return;
  }
  switch (aMessage.mType) {
    case MessageType::PreVote:
      return OnPreVote(aRaft, aMessage, aNow);
    case MessageType::PreVoteReply:
      return OnPreVoteReply(aRaft, aMessage, aNow);
    case MessageType::Vote:
      return OnVote(aRaft, aMessage, aNow);
    case MessageType::VoteReply:
      return OnVoteReply(aRaft, aMessage, aNow);
    case MessageType::Append:
      return OnAppend(aRaft, aMessage, aNow);
    case MessageType::AppendReply:
      return OnAppendReply(aRaft, aMessage, aNow);
    case MessageType::Snapshot:
      return OnSnapshot(aRaft, aMessage, aNow);
    case MessageType::SnapshotReply:
      return OnSnapshotReply(aRaft, aMessage, aNow);
    case MessageType::Read:
      return OnReadRequest(aRaft, aMessage, aNow);
    case MessageType::ReadReply:
      aRaft.mOutput.mReads.push_back(
        { aMessage.mReadId,
          aMessage.mGranted ? Expected<std::uint64_t>(aMessage.mIndex)
                            : Fail(Result::ReadUnavailable, "the leader has no valid lease") });
      return;
  }
}

Expected<std::uint64_t>
RaftPropose(Raft& aRaft, std::string aCommand, TimePoint aNow)
{
  if (!RaftLeading(aRaft, aNow)) {
    return Fail(Result::NotLeader, fmt::format("the leader is '{}'", aRaft.mLeader));
  }
  if (RaftLastIndex(aRaft) - aRaft.mCommitIndex >= aRaft.mSettings.mMaxUncommittedEntries ||
      aRaft.mUncommittedBytes + aCommand.size() > aRaft.mSettings.mMaxUncommittedBytes) {
    return Fail(Result::ProposalQueueFull, "too many proposals wait for a majority");
  }
  const std::uint64_t index = RaftLastIndex(aRaft) + 1;
  aRaft.mUncommittedBytes += aCommand.size();
  AppendEntry(aRaft, { index, aRaft.mVoteState.mTerm, EntryKind::Command, std::move(aCommand) });
  return index;
}

Expected<std::uint64_t>
RaftAddLearner(Raft& aRaft, const LogMember& aMember, TimePoint aNow)
{
  if (auto allowed = CheckMembershipChange(aRaft, aNow); !allowed) {
    return tl::unexpected(allowed.error());
  }
  std::vector<LogMember> members = RaftMembers(aRaft);
  if (FindMember(members, aMember.mId) != nullptr) {
    return Fail(Result::UnsafeMembership, fmt::format("'{}' is a member already", aMember.mId));
  }
  members.push_back({ aMember.mId, aMember.mAddress, MemberRole::Learner });
  return AppendMembers(aRaft, members, aNow);
}

Expected<std::uint64_t>
RaftPromote(Raft& aRaft, const std::string& aMember, TimePoint aNow)
{
  if (auto allowed = CheckMembershipChange(aRaft, aNow); !allowed) {
    return tl::unexpected(allowed.error());
  }
  std::vector<LogMember> members = RaftMembers(aRaft);
  const auto found = std::find_if(members.begin(), members.end(), [&](const LogMember& aItem) {
    return aItem.mId == aMember && aItem.mRole == MemberRole::Learner;
  });
  if (found == members.end()) {
    return Fail(Result::UnknownMember, fmt::format("no learner is named '{}'", aMember));
  }
  if (VoterCount(members) >= kMaxVoters) {
    return Fail(Result::UnsafeMembership, fmt::format("there are {} voters", kMaxVoters));
  }
  const Progress& progress = aRaft.mProgress[aMember];
  if (progress.mMode != ProgressMode::Replicate || !RecentlyActive(aRaft, aMember, aNow) ||
      progress.mMatchIndex + aRaft.mSettings.mMaxPromotionLag < RaftLastIndex(aRaft)) {
    return Fail(
      Result::NotCaughtUp,
      fmt::format("'{}' holds {} of {}", aMember, progress.mMatchIndex, RaftLastIndex(aRaft)));
  }
  found->mRole = MemberRole::Voter;
  return AppendMembers(aRaft, members, aNow);
}

Expected<std::uint64_t>
RaftRemove(Raft& aRaft, const std::string& aMember, TimePoint aNow)
{
  if (auto allowed = CheckMembershipChange(aRaft, aNow); !allowed) {
    return tl::unexpected(allowed.error());
  }
  std::vector<LogMember> members = RaftMembers(aRaft);
  if (std::erase_if(members, [&](const LogMember& aItem) { return aItem.mId == aMember; }) == 0) {
    return Fail(Result::UnknownMember, fmt::format("no member is named '{}'", aMember));
  }
  const auto active = std::count_if(members.begin(), members.end(), [&](const LogMember& aItem) {
    return aItem.mRole == MemberRole::Voter && RecentlyActive(aRaft, aItem.mId, aNow);
  });
  if (static_cast<std::size_t>(active) <= VoterCount(members) / 2) {
    return Fail(
      Result::UnsafeMembership,
      fmt::format("{} of the {} voters that remain are reachable", active, VoterCount(members)));
  }
  return AppendMembers(aRaft, members, aNow);
}

std::uint64_t
RaftRead(Raft& aRaft, TimePoint aNow)
{
  const std::uint64_t read = aRaft.mNextReadId++;
  if (aRaft.mRole == RaftRole::Leader || aRaft.mLeader.empty()) {
    aRaft.mOutput.mReads.push_back({ read, ReadIndex(aRaft, aNow) });
    return read;
  }
  RaftMessage message;
  message.mType = MessageType::Read;
  message.mTo = aRaft.mLeader;
  message.mReadId = read;
  Send(aRaft, std::move(message));
  return read;
}

RaftOutput
RaftTakeOutput(Raft& aRaft, TimePoint aNow)
{
  if (aRaft.mRole == RaftRole::Leader) {
    SendToPeers(aRaft, aNow);
  }
  RaftOutput output = std::move(aRaft.mOutput);
  aRaft.mOutput = {};
  if (!output.mWrite.Empty()) {
    output.mWrite.mSequence = aRaft.mNextSequence++;
    aRaft.mUnsyncedWrites.emplace_back(output.mWrite.mSequence, RaftLastIndex(aRaft));
  }
  return output;
}

void
RaftSynced(Raft& aRaft, std::uint64_t aSequence, TimePoint aNow)
{
  while (!aRaft.mUnsyncedWrites.empty() && aRaft.mUnsyncedWrites.front().first <= aSequence) {
    aRaft.mSyncedIndex = std::max(aRaft.mSyncedIndex, aRaft.mUnsyncedWrites.front().second);
    aRaft.mUnsyncedWrites.pop_front();
  }
  while (!aRaft.mDeferredMessages.empty() && aRaft.mDeferredMessages.front().first <= aSequence) {
    RaftMessage message = std::move(aRaft.mDeferredMessages.front().second);
    aRaft.mDeferredMessages.pop_front();
    if (message.mTo == aRaft.mSettings.mSelf) {
      RaftReceive(aRaft, message, aNow);
    } else {
      aRaft.mOutput.mMessages.push_back(std::move(message));
    }
  }
  AdvanceCommit(aRaft, aNow);
}

void
RaftCompact(Raft& aRaft, const SnapshotMeta& aSnapshot)
{
  aRaft.mSnapshot = aSnapshot;
  const std::uint64_t kept = aRaft.mSettings.mTrailingEntries;
  const std::uint64_t base = aSnapshot.mIndex > kept ? aSnapshot.mIndex - kept : 0;
  while (!aRaft.mEntries.empty() && aRaft.mEntries.front().mIndex <= base) {
    aRaft.mBase = { aRaft.mEntries.front().mIndex, aRaft.mEntries.front().mTerm, {}, 0 };
    aRaft.mEntries.pop_front();
  }
  // Keeps the list in effect at the base: OnMembersCommitted compares later lists with it.
  while (aRaft.mMembers.size() > 1 &&
         std::next(aRaft.mMembers.begin())->first <= aRaft.mBase.mIndex) {
    aRaft.mMembers.erase(aRaft.mMembers.begin());
  }
}

bool
RaftLeading(const Raft& aRaft, TimePoint aNow)
{
  if (aRaft.mRole != RaftRole::Leader) {
    return false;
  }
  const TimePoint quorumAck = QuorumAckTime(aRaft, aNow);
  if (quorumAck == TimePoint::min()) {
    return false;
  }
  // This member's clock may be slow and the other members' clocks fast, each by the maximum drift.
  const double drift = aRaft.mSettings.mClockDrift;
  const auto lease = Duration(static_cast<std::int64_t>(
    static_cast<double>(aRaft.mSettings.mElectionTimeout.count()) * (1 - drift) / (1 + drift)));
  return aNow < quorumAck + lease;
}

std::string
RaftKnownLeader(const Raft& aRaft, TimePoint aNow)
{
  const bool known =
    aRaft.mRole == RaftRole::Leader
      ? RaftLeading(aRaft, aNow)
      : aNow < aRaft.mLastLeaderContact + kMaxElectionTimeouts * aRaft.mSettings.mElectionTimeout;
  return known ? aRaft.mLeader : std::string();
}

bool
RaftCommitsWithoutSelf(const Raft& aRaft, TimePoint aNow)
{
  const auto& members = RaftMembers(aRaft);
  const auto active = std::count_if(members.begin(), members.end(), [&](const LogMember& aMember) {
    return aMember.mRole == MemberRole::Voter && aMember.mId != aRaft.mSettings.mSelf &&
           RecentlyActive(aRaft, aMember.mId, aNow);
  });
  return static_cast<std::size_t>(active) > VoterCount(members) / 2;
}

std::uint64_t
RaftLastIndex(const Raft& aRaft)
{
  return aRaft.mBase.mIndex + aRaft.mEntries.size();
}

std::optional<std::uint64_t>
RaftTermAt(const Raft& aRaft, std::uint64_t aIndex)
{
  if (aIndex == aRaft.mBase.mIndex) {
    return aRaft.mBase.mTerm;
  }
  if (aIndex < aRaft.mBase.mIndex || aIndex > RaftLastIndex(aRaft)) {
    return std::nullopt;
  }
  return EntryAt(aRaft, aIndex).mTerm;
}

const std::vector<LogMember>&
RaftMembers(const Raft& aRaft)
{
  return aRaft.mMembers.rbegin()->second;
}

const std::vector<LogMember>&
RaftMembersAt(const Raft& aRaft, std::uint64_t aIndex)
{
  auto found = aRaft.mMembers.upper_bound(aIndex);
  return found == aRaft.mMembers.begin() ? found->second : std::prev(found)->second;
}

std::string_view
RoleName(RaftRole aRole)
{
  return kRoleNames[static_cast<std::size_t>(aRole)];
}

} // namespace apricotyard
