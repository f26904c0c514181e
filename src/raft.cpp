#include "raft.h"

#include "settings.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

// Section 2 of the design page: a control group has at most 7 voters.
constexpr std::size_t kMaxVoters = 7;

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

// The largest value that a majority of the voters reaches. aValue gives the value of one voter.
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
LastTerm(const Raft& aRaft)
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

// Sends once everything that was written so far is durable.
void
SendAfterSync(Raft& aRaft, RaftMessage aMessage)
{
  aMessage.mFrom = aRaft.mSettings.mSelf;
  if (!aRaft.mOutput.mWrite.Empty()) {
    aRaft.mHeld.emplace_back(aRaft.mNextSequence, std::move(aMessage));
  } else if (!aRaft.mWriting.empty()) {
    aRaft.mHeld.emplace_back(aRaft.mWriting.back().first, std::move(aMessage));
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
    ++aRaft.mChartFaults;
    return;
  }
  aRaft.mRole = static_cast<RaftRole>(next);
  if (aRaft.mRole != RaftRole::Leader) {
    aRaft.mProgress.clear();
  }
}

void
ResetElection(Raft& aRaft, TimePoint aNow)
{
  const auto span = static_cast<std::uint64_t>(aRaft.mSettings.mElection.count());
  aRaft.mElectionDue =
    aNow + aRaft.mSettings.mElection + Duration(static_cast<std::int64_t>(aRaft.mRng() % span));
}

void
SetTerm(Raft& aRaft, std::uint64_t aTerm, const std::string& aVote)
{
  aRaft.mVote = { aTerm, aVote };
  aRaft.mOutput.mWrite.mVote = aRaft.mVote;
}

// Adopts a higher term.
void
AdoptTerm(Raft& aRaft, std::uint64_t aTerm, TimePoint aNow)
{
  SetTerm(aRaft, aTerm, "");
  aRaft.mLeader.clear();
  aRaft.mIncoming.reset();
  aRaft.mIncomingData.clear();
  ChangeRole(aRaft, RaftEvent::HigherTerm);
  ResetElection(aRaft, aNow);
}

void
AddProgress(Raft& aRaft)
{
  for (const LogMember& member : RaftMembers(aRaft)) {
    if (member.mId != aRaft.mSettings.mSelf && !aRaft.mProgress.contains(member.mId)) {
      aRaft.mProgress[member.mId].mNext = RaftLastIndex(aRaft) + 1;
    }
  }
}

// A voter whose removal is not known to be committed must still stand for election: its log may be
// the newest, and then no other member gets a majority (Ongaro, section 4.2.2).
bool
MayStand(const Raft& aRaft)
{
  const std::string& self = aRaft.mSettings.mSelf;
  const auto& [index, members] = *aRaft.mMembers.rbegin();
  return IsVoter(members, self) ||
         (FindMember(members, self) == nullptr && index > aRaft.mCommitted &&
          aRaft.mMembers.size() > 1 && IsVoter(std::next(aRaft.mMembers.rbegin())->second, self));
}

// Fits the role to the member list in effect.
void
FitRole(Raft& aRaft)
{
  if (MayStand(aRaft)) {
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
    // The data was encoded by a member or checked by storage; a list that cannot be read changes
    // nothing.
    if (auto members = DecodeMembers(aEntry.mData)) {
      aRaft.mMembers[aEntry.mIndex] = std::move(*members);
    }
  }
  aRaft.mOutput.mWrite.mEntries.push_back(aEntry);
  aRaft.mEntries.push_back(std::move(aEntry));
}

// Drops the entries from aIndex on.
void
Truncate(Raft& aRaft, std::uint64_t aIndex)
{
  while (RaftLastIndex(aRaft) >= aIndex) {
    aRaft.mEntries.pop_back();
  }
  std::vector<LogEntry>& writing = aRaft.mOutput.mWrite.mEntries;
  while (!writing.empty() && writing.back().mIndex >= aIndex) {
    writing.pop_back();
  }
  for (auto& [sequence, last] : aRaft.mWriting) {
    last = std::min(last, aIndex - 1);
  }
  aRaft.mSynced = std::min(aRaft.mSynced, aIndex - 1);
  aRaft.mMembers.erase(aRaft.mMembers.lower_bound(aIndex), aRaft.mMembers.end());
}

RaftMessage
AppendMessage(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  RaftMessage message;
  message.mType = MessageType::Append;
  message.mTo = aTo;
  message.mTerm = aRaft.mVote.mTerm;
  message.mIndex = aProgress.mNext - 1;
  message.mLogTerm = RaftTermAt(aRaft, message.mIndex).value_or(0);
  message.mCommitted = aRaft.mCommitted;
  message.mSentAt = aNow;
  aProgress.mLastSent = aNow;
  return message;
}

// Sends one pipelined batch; false if there is nothing to send or too much is unanswered.
bool
SendBatch(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  const std::uint64_t last = RaftLastIndex(aRaft);
  if (aProgress.mNext > last || aProgress.mInFlight.size() >= aRaft.mSettings.mInFlight) {
    return false;
  }
  RaftMessage message = AppendMessage(aRaft, aTo, aProgress, aNow);
  std::size_t bytes = 0;
  while (aProgress.mNext <= last && message.mEntries.size() < aRaft.mSettings.mBatchEntries) {
    const LogEntry& entry = EntryAt(aRaft, aProgress.mNext);
    bytes += entry.mData.size();
    if (!message.mEntries.empty() && bytes > aRaft.mSettings.mBatchBytes) {
      break;
    }
    message.mEntries.push_back(entry);
    ++aProgress.mNext;
  }
  aProgress.mInFlight.push_back(aProgress.mNext - 1);
  Send(aRaft, std::move(message));
  return true;
}

void
SendChunk(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  if (aProgress.mSnapshotIndex != aRaft.mSnapshot.mIndex) {
    aProgress.mSnapshotIndex = aRaft.mSnapshot.mIndex;
    aProgress.mSnapshotOffset = 0;
  }
  RaftMessage message;
  message.mType = MessageType::Snapshot;
  message.mTo = aTo;
  message.mTerm = aRaft.mVote.mTerm;
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
SendTo(Raft& aRaft, const std::string& aTo, Progress& aProgress, TimePoint aNow)
{
  const bool due = aNow - aProgress.mLastSent >= aRaft.mSettings.mHeartbeat;
  if (aProgress.mNext <= aRaft.mBase.mIndex) {
    aProgress.mMode = ProgressMode::Snapshot;
    aProgress.mInFlight.clear();
  }
  if (aProgress.mMode == ProgressMode::Snapshot) {
    if (due || !aProgress.mProbeSent) {
      SendChunk(aRaft, aTo, aProgress, aNow);
    }
    return;
  }
  if (aProgress.mMode == ProgressMode::Replicate) {
    bool sent = false;
    while (SendBatch(aRaft, aTo, aProgress, aNow)) {
      sent = true;
    }
    if (sent || !due) {
      return;
    }
  }
  if (due || !aProgress.mProbeSent) {
    aProgress.mProbeSent = true;
    Send(aRaft, AppendMessage(aRaft, aTo, aProgress, aNow));
  }
}

void
SendToAll(Raft& aRaft, TimePoint aNow)
{
  for (auto& [id, progress] : aRaft.mProgress) {
    SendTo(aRaft, id, progress, aNow);
  }
}

void
CommitMembers(Raft& aRaft, const LogEntry& aEntry, TimePoint aNow)
{
  const auto& members = RaftMembersAt(aRaft, aEntry.mIndex);
  const std::string self = aRaft.mSettings.mSelf;
  // A member that a later entry added again stays: after a restart the whole log is committed anew,
  // and its role follows the newest list, which was fitted when the log was read.
  if (FindMember(members, self) == nullptr && FindMember(RaftMembers(aRaft), self) == nullptr &&
      FindMember(RaftMembersAt(aRaft, aEntry.mIndex - 1), self) != nullptr) {
    if (aRaft.mRole == RaftRole::Leader) {
      // Tells the others that the removal is committed, so that they need not find it out alone.
      for (auto& [id, progress] : aRaft.mProgress) {
        Send(aRaft, AppendMessage(aRaft, id, progress, aNow));
      }
      aRaft.mLeader.clear();
    }
    ChangeRole(aRaft, RaftEvent::Removed);
    return;
  }
  for (auto it = aRaft.mProgress.begin(); it != aRaft.mProgress.end();) {
    if (FindMember(RaftMembers(aRaft), it->first) == nullptr) {
      // The last message tells the removed member that it is removed.
      Send(aRaft, AppendMessage(aRaft, it->first, it->second, aNow));
      it = aRaft.mProgress.erase(it);
    } else {
      ++it;
    }
  }
}

void
CommitTo(Raft& aRaft, std::uint64_t aIndex, TimePoint aNow)
{
  while (aRaft.mCommitted < aIndex) {
    const LogEntry& entry = EntryAt(aRaft, ++aRaft.mCommitted);
    aRaft.mOutput.mCommitted.push_back(entry);
    aRaft.mUncommittedBytes -= std::min(aRaft.mUncommittedBytes, entry.mData.size());
    if (entry.mKind == EntryKind::Members) {
      CommitMembers(aRaft, entry, aNow);
    }
  }
}

// Commits what a majority holds. Only entries of the own term count (Raft, section 5.4.2).
void
AdvanceCommit(Raft& aRaft, TimePoint aNow)
{
  if (aRaft.mRole != RaftRole::Leader) {
    return;
  }
  const auto held =
    MajorityValue(RaftMembers(aRaft), std::uint64_t{ 0 }, [&aRaft](const std::string& aId) {
      if (aId == aRaft.mSettings.mSelf) {
        return aRaft.mSynced;
      }
      const auto found = aRaft.mProgress.find(aId);
      return found == aRaft.mProgress.end() ? std::uint64_t{ 0 } : found->second.mMatch;
    });
  if (held > aRaft.mCommitted && RaftTermAt(aRaft, held) == aRaft.mVote.mTerm) {
    CommitTo(aRaft, held, aNow);
  }
}

// The latest time at which a majority had not yet promised anything to another leader.
TimePoint
QuorumContact(const Raft& aRaft, TimePoint aNow)
{
  return MajorityValue(
    RaftMembers(aRaft), TimePoint::min(), [&aRaft, aNow](const std::string& aId) {
      if (aId == aRaft.mSettings.mSelf) {
        return aNow;
      }
      const auto found = aRaft.mProgress.find(aId);
      return found == aRaft.mProgress.end() ? TimePoint::min() : found->second.mEchoed;
    });
}

void
BecomeLeader(Raft& aRaft, TimePoint aNow)
{
  ChangeRole(aRaft, RaftEvent::ElectionWon);
  aRaft.mLeader = aRaft.mSettings.mSelf;
  aRaft.mLeaderSince = aNow;
  aRaft.mUncommittedBytes = 0;
  aRaft.mProgress.clear();
  AddProgress(aRaft);
  // Entries of older terms are committed, and reads allowed, once an entry of this term is.
  AppendEntry(aRaft, { RaftLastIndex(aRaft) + 1, aRaft.mVote.mTerm, EntryKind::Noop, "" });
}

bool
HasMajority(const Raft& aRaft)
{
  const auto& members = RaftMembers(aRaft);
  const auto grants =
    std::count_if(aRaft.mGrants.begin(), aRaft.mGrants.end(), [&members](const std::string& aId) {
      return IsVoter(members, aId);
    });
  return static_cast<std::size_t>(grants) > VoterCount(members) / 2;
}

RaftMessage
VoteMessage(const Raft& aRaft, MessageType aType, std::uint64_t aTerm)
{
  RaftMessage message;
  message.mType = aType;
  message.mTerm = aTerm;
  message.mIndex = RaftLastIndex(aRaft);
  message.mLogTerm = LastTerm(aRaft);
  return message;
}

void
AskForVotes(Raft& aRaft, const RaftMessage& aMessage)
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
  SetTerm(aRaft, aRaft.mVote.mTerm + 1, aRaft.mSettings.mSelf);
  ResetElection(aRaft, aNow);
  aRaft.mGrants.clear();
  AskForVotes(aRaft, VoteMessage(aRaft, MessageType::Vote, aRaft.mVote.mTerm));
  // The own vote counts once it is durable, so it takes the way of a reply.
  RaftMessage own;
  own.mType = MessageType::VoteReply;
  own.mTo = aRaft.mSettings.mSelf;
  own.mTerm = aRaft.mVote.mTerm;
  own.mGranted = true;
  SendAfterSync(aRaft, std::move(own));
}

void
StartPreVote(Raft& aRaft, TimePoint aNow)
{
  ChangeRole(aRaft, RaftEvent::ElectionTimeout);
  ResetElection(aRaft, aNow);
  aRaft.mLeader.clear();
  aRaft.mGrants = { aRaft.mSettings.mSelf };
  if (HasMajority(aRaft)) {
    StartElection(aRaft, aNow);
    return;
  }
  AskForVotes(aRaft, VoteMessage(aRaft, MessageType::PreVote, aRaft.mVote.mTerm + 1));
}

// True while this member has promised a leader not to vote for another.
bool
PromisedNotToVote(const Raft& aRaft, TimePoint aNow)
{
  return aRaft.mRole == RaftRole::Leader || aNow < aRaft.mContact + aRaft.mSettings.mElection;
}

bool
UpToDate(const Raft& aRaft, const RaftMessage& aMessage)
{
  const std::uint64_t term = LastTerm(aRaft);
  return aMessage.mLogTerm > term ||
         (aMessage.mLogTerm == term && aMessage.mIndex >= RaftLastIndex(aRaft));
}

RaftMessage
ReplyTo(const RaftMessage& aMessage, MessageType aType, std::uint64_t aTerm)
{
  RaftMessage reply;
  reply.mType = aType;
  reply.mTo = aMessage.mFrom;
  reply.mTerm = aTerm;
  reply.mIndex = aMessage.mIndex;
  reply.mSentAt = aMessage.mSentAt;
  return reply;
}

void
OnPreVote(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (PromisedNotToVote(aRaft, aNow)) {
    return;
  }
  const bool granted = aMessage.mTerm > aRaft.mVote.mTerm && UpToDate(aRaft, aMessage);
  RaftMessage reply =
    ReplyTo(aMessage, MessageType::PreVoteReply, granted ? aMessage.mTerm : aRaft.mVote.mTerm);
  reply.mGranted = granted;
  SendAfterSync(aRaft, std::move(reply));
}

void
OnPreVoteReply(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (!aMessage.mGranted) {
    if (aMessage.mTerm > aRaft.mVote.mTerm && aRaft.mRole == RaftRole::PreCandidate) {
      AdoptTerm(aRaft, aMessage.mTerm, aNow);
    }
    return;
  }
  if (aRaft.mRole == RaftRole::PreCandidate && aMessage.mTerm == aRaft.mVote.mTerm + 1) {
    aRaft.mGrants.insert(aMessage.mFrom);
    if (HasMajority(aRaft)) {
      StartElection(aRaft, aNow);
    }
  }
}

void
OnVote(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  // Without this check a member that was cut off could depose a leader that works.
  if (PromisedNotToVote(aRaft, aNow)) {
    return;
  }
  if (aMessage.mTerm > aRaft.mVote.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
  }
  const bool granted = aMessage.mTerm == aRaft.mVote.mTerm && UpToDate(aRaft, aMessage) &&
                       (aRaft.mVote.mVote.empty() || aRaft.mVote.mVote == aMessage.mFrom);
  if (granted) {
    if (aRaft.mVote.mVote.empty()) {
      SetTerm(aRaft, aRaft.mVote.mTerm, aMessage.mFrom);
    }
    ResetElection(aRaft, aNow);
  }
  RaftMessage reply = ReplyTo(aMessage, MessageType::VoteReply, aRaft.mVote.mTerm);
  reply.mGranted = granted;
  SendAfterSync(aRaft, std::move(reply));
}

void
OnVoteReply(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mTerm > aRaft.mVote.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
    return;
  }
  if (aMessage.mGranted && aRaft.mRole == RaftRole::Candidate &&
      aMessage.mTerm == aRaft.mVote.mTerm) {
    aRaft.mGrants.insert(aMessage.mFrom);
    if (HasMajority(aRaft)) {
      BecomeLeader(aRaft, aNow);
    }
  }
}

// Accepts the sender of an Append or Snapshot as the leader; false if its term is over.
bool
FollowLeader(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mTerm < aRaft.mVote.mTerm) {
    RaftMessage reply = ReplyTo(aMessage, MessageType::AppendReply, aRaft.mVote.mTerm);
    SendAfterSync(aRaft, std::move(reply));
    return false;
  }
  if (aMessage.mTerm > aRaft.mVote.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
  }
  ChangeRole(aRaft, RaftEvent::LeaderFound);
  aRaft.mLeader = aMessage.mFrom;
  aRaft.mContact = aNow;
  ResetElection(aRaft, aNow);
  return true;
}

// A position before the conflicting term, so that each term costs one message and not each entry.
std::uint64_t
RejectHint(const Raft& aRaft, std::uint64_t aIndex)
{
  std::uint64_t hint = std::min(RaftLastIndex(aRaft), aIndex);
  const std::uint64_t term = RaftTermAt(aRaft, hint).value_or(0);
  if (hint == aIndex) {
    while (hint > aRaft.mCommitted && RaftTermAt(aRaft, hint) == term) {
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
  RaftMessage reply = ReplyTo(aMessage, MessageType::AppendReply, aRaft.mVote.mTerm);
  const bool compacted = aMessage.mIndex < aRaft.mBase.mIndex;
  if (!compacted && RaftTermAt(aRaft, aMessage.mIndex) != aMessage.mLogTerm) {
    reply.mHint = RejectHint(aRaft, aMessage.mIndex);
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
    // Committed entries are equal on every member.
    if (entry.mIndex <= aRaft.mCommitted || RaftTermAt(aRaft, entry.mIndex) == entry.mTerm) {
      continue;
    }
    Truncate(aRaft, entry.mIndex);
    AppendEntry(aRaft, entry);
    changed = true;
  }
  if (changed) {
    FitRole(aRaft);
  }
  // Everything committed here is also in the log of a leader of this or a later term.
  matched = std::max(matched, std::min(aRaft.mBase.mIndex, aRaft.mCommitted));
  CommitTo(aRaft, std::min(aMessage.mCommitted, matched), aNow);
  reply.mGranted = true;
  reply.mIndex = matched;
  SendAfterSync(aRaft, std::move(reply));
}

Progress*
FindProgress(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.mTerm > aRaft.mVote.mTerm) {
    AdoptTerm(aRaft, aMessage.mTerm, aNow);
    return nullptr;
  }
  const auto found = aRaft.mProgress.find(aMessage.mFrom);
  if (aRaft.mRole != RaftRole::Leader || aMessage.mTerm != aRaft.mVote.mTerm ||
      found == aRaft.mProgress.end()) {
    return nullptr;
  }
  found->second.mEchoed = std::max(found->second.mEchoed, aMessage.mSentAt);
  return &found->second;
}

void
OnRejected(Progress& aProgress, const RaftMessage& aMessage)
{
  const std::uint64_t rejected = aMessage.mIndex;
  if (rejected <= aProgress.mMatch || aProgress.mMode == ProgressMode::Snapshot ||
      (aProgress.mMode == ProgressMode::Probe && rejected != aProgress.mNext - 1)) {
    return;
  }
  aProgress.mNext = std::max(aProgress.mMatch + 1, std::min(aMessage.mHint + 1, rejected));
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
    OnRejected(*progress, aMessage);
    return;
  }
  progress->mMatch = std::max(progress->mMatch, aMessage.mIndex);
  progress->mNext = std::max(progress->mNext, progress->mMatch + 1);
  while (!progress->mInFlight.empty() && progress->mInFlight.front() <= progress->mMatch) {
    progress->mInFlight.pop_front();
  }
  if (progress->mMode != ProgressMode::Replicate && progress->mMatch >= aRaft.mBase.mIndex) {
    progress->mMode = ProgressMode::Replicate;
    progress->mInFlight.clear();
    progress->mNext = progress->mMatch + 1;
  }
  AdvanceCommit(aRaft, aNow);
}

void
InstallSnapshot(Raft& aRaft)
{
  const SnapshotMeta& meta = *aRaft.mIncoming;
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
    for (auto& [sequence, last] : aRaft.mWriting) {
      last = std::min(last, meta.mIndex);
    }
    aRaft.mSynced = meta.mIndex;
  }
  aRaft.mMembers[meta.mIndex] = meta.mMembers;
  aRaft.mBase = meta;
  aRaft.mSnapshot = meta;
  aRaft.mCommitted = meta.mIndex;
  aRaft.mOutput.mCommitted.clear();
  write.mSnapshot = meta;
  write.mSnapshotData = std::move(aRaft.mIncomingData);
  aRaft.mIncoming.reset();
  aRaft.mIncomingData.clear();
  FitRole(aRaft);
}

void
OnSnapshot(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  if (!FollowLeader(aRaft, aMessage, aNow)) {
    return;
  }
  RaftMessage reply = ReplyTo(aMessage, MessageType::SnapshotReply, aRaft.mVote.mTerm);
  reply.mTotal = aMessage.mTotal;
  if (aMessage.mIndex <= aRaft.mCommitted) {
    reply.mGranted = true;
    SendAfterSync(aRaft, std::move(reply));
    return;
  }
  if (!aRaft.mIncoming || aRaft.mIncoming->mIndex != aMessage.mIndex ||
      aRaft.mIncoming->mTerm != aMessage.mLogTerm || aRaft.mIncomingFrom != aMessage.mFrom ||
      aRaft.mIncoming->mSize != aMessage.mTotal) {
    aRaft.mIncoming =
      SnapshotMeta{ aMessage.mIndex, aMessage.mLogTerm, aMessage.mMembers, aMessage.mTotal };
    aRaft.mIncomingFrom = aMessage.mFrom;
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
    progress->mMatch = std::max(progress->mMatch, aMessage.mIndex);
    if (progress->mMode == ProgressMode::Snapshot && progress->mMatch >= aRaft.mBase.mIndex) {
      progress->mMode = ProgressMode::Probe;
      progress->mNext = progress->mMatch + 1;
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
  if (!RaftLeading(aRaft, aNow) || RaftTermAt(aRaft, aRaft.mCommitted) != aRaft.mVote.mTerm) {
    return Fail(Result::ReadUnavailable, "no leader with a valid lease");
  }
  return aRaft.mCommitted;
}

void
OnRead(Raft& aRaft, const RaftMessage& aMessage, TimePoint aNow)
{
  RaftMessage reply = ReplyTo(aMessage, MessageType::ReadReply, 0);
  reply.mRead = aMessage.mRead;
  if (const auto index = ReadIndex(aRaft, aNow)) {
    reply.mGranted = true;
    reply.mIndex = *index;
    // Sends the commit index at once instead of with the next heartbeat.
    if (const auto found = aRaft.mProgress.find(aMessage.mFrom); found != aRaft.mProgress.end()) {
      found->second.mLastSent = aNow - aRaft.mSettings.mHeartbeat;
    }
  }
  Send(aRaft, std::move(reply));
}

Expected<void>
MayChangeMembers(const Raft& aRaft, TimePoint aNow)
{
  if (!RaftLeading(aRaft, aNow)) {
    return Fail(Result::NotLeader, fmt::format("the leader is '{}'", aRaft.mLeader));
  }
  // A change before the first entry of the term is committed could meet an unfinished change of an
  // older leader; two changes together need not overlap in a majority.
  if (aRaft.mMembers.rbegin()->first > aRaft.mCommitted ||
      RaftTermAt(aRaft, aRaft.mCommitted) != aRaft.mVote.mTerm) {
    return Fail(Result::MembershipBusy, "an earlier membership change is not committed");
  }
  return {};
}

std::uint64_t
AppendMembers(Raft& aRaft, const std::vector<LogMember>& aMembers, TimePoint aNow)
{
  const std::uint64_t index = RaftLastIndex(aRaft) + 1;
  AppendEntry(aRaft, { index, aRaft.mVote.mTerm, EntryKind::Members, EncodeMembers(aMembers) });
  FitRole(aRaft);
  AdvanceCommit(aRaft, aNow);
  return index;
}

bool
Active(const Raft& aRaft, const std::string& aId, TimePoint aNow)
{
  const auto found = aRaft.mProgress.find(aId);
  return aId == aRaft.mSettings.mSelf || (found != aRaft.mProgress.end() &&
                                          found->second.mEchoed > aNow - aRaft.mSettings.mElection);
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
    return Fail(Result::StorageCorrupt, "a member list cannot be read");
  }
  for (const nlohmann::json& item : list) {
    if (!item.is_object() || !item.contains("id") || !item["id"].is_string() ||
        !item.contains("ip") || !item["ip"].is_string() || !item.contains("port") ||
        !item["port"].is_number_unsigned() || !item.contains("voter") ||
        !item["voter"].is_boolean()) {
      return Fail(Result::StorageCorrupt, "a member list cannot be read");
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
  return CheckNames(aChart, kRoleNames, kEventNames);
}

Raft
StartRaft(RaftSettings aSettings,
          const Chart& aChart,
          RaftStart aStart,
          std::uint64_t aSeed,
          TimePoint aNow)
{
  Raft raft;
  raft.mSettings = std::move(aSettings);
  raft.mChart = &aChart;
  raft.mRng.seed(aSeed);
  // A reply to a read of this member before its restart must not match a new read.
  raft.mNextRead = raft.mRng();
  raft.mVote = std::move(aStart.mVote);
  raft.mBase = aStart.mSnapshot;
  raft.mSnapshot = std::move(aStart.mSnapshot);
  raft.mCommitted = raft.mBase.mIndex;
  raft.mMembers[raft.mBase.mIndex] = raft.mBase.mMembers;
  for (LogEntry& entry : aStart.mEntries) {
    AppendEntry(raft, std::move(entry));
  }
  raft.mOutput = {};
  raft.mSynced = RaftLastIndex(raft);
  raft.mContact = aNow;
  ResetElection(raft, aNow);
  FitRole(raft);
  // The only voter has promised nothing to another leader.
  if (IsVoter(RaftMembers(raft), raft.mSettings.mSelf) && VoterCount(RaftMembers(raft)) == 1) {
    raft.mElectionDue = aNow;
  }
  return raft;
}

void
RaftTick(Raft& aRaft, TimePoint aNow)
{
  switch (aRaft.mRole) {
    case RaftRole::Leader:
      if (aNow - std::max(QuorumContact(aRaft, aNow), aRaft.mLeaderSince) >=
          aRaft.mSettings.mElection) {
        aRaft.mLeader.clear();
        ChangeRole(aRaft, RaftEvent::QuorumLost);
        ResetElection(aRaft, aNow);
      }
      return;
    case RaftRole::Follower:
    case RaftRole::PreCandidate:
    case RaftRole::Candidate:
      if (aNow >= aRaft.mElectionDue && MayStand(aRaft)) {
        StartPreVote(aRaft, aNow);
      }
      return;
    case RaftRole::Learner:
    case RaftRole::Removed:
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
      return OnRead(aRaft, aMessage, aNow);
    case MessageType::ReadReply:
      aRaft.mOutput.mReads.push_back(
        { aMessage.mRead,
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
  if (RaftLastIndex(aRaft) - aRaft.mCommitted >= aRaft.mSettings.mUncommittedEntries ||
      aRaft.mUncommittedBytes + aCommand.size() > aRaft.mSettings.mUncommittedBytes) {
    return Fail(Result::ProposalQueueFull, "too many proposals wait for a majority");
  }
  const std::uint64_t index = RaftLastIndex(aRaft) + 1;
  aRaft.mUncommittedBytes += aCommand.size();
  AppendEntry(aRaft, { index, aRaft.mVote.mTerm, EntryKind::Command, std::move(aCommand) });
  return index;
}

Expected<std::uint64_t>
RaftAddLearner(Raft& aRaft, const LogMember& aMember, TimePoint aNow)
{
  if (auto may = MayChangeMembers(aRaft, aNow); !may) {
    return tl::unexpected(may.error());
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
  if (auto may = MayChangeMembers(aRaft, aNow); !may) {
    return tl::unexpected(may.error());
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
  if (progress.mMode != ProgressMode::Replicate || !Active(aRaft, aMember, aNow) ||
      progress.mMatch + aRaft.mSettings.mCaughtUpEntries < RaftLastIndex(aRaft)) {
    return Fail(Result::NotCaughtUp,
                fmt::format("'{}' holds {} of {}", aMember, progress.mMatch, RaftLastIndex(aRaft)));
  }
  found->mRole = MemberRole::Voter;
  return AppendMembers(aRaft, members, aNow);
}

Expected<std::uint64_t>
RaftRemove(Raft& aRaft, const std::string& aMember, TimePoint aNow)
{
  if (auto may = MayChangeMembers(aRaft, aNow); !may) {
    return tl::unexpected(may.error());
  }
  std::vector<LogMember> members = RaftMembers(aRaft);
  if (std::erase_if(members, [&](const LogMember& aItem) { return aItem.mId == aMember; }) == 0) {
    return Fail(Result::UnknownMember, fmt::format("no member is named '{}'", aMember));
  }
  const auto active = std::count_if(members.begin(), members.end(), [&](const LogMember& aItem) {
    return aItem.mRole == MemberRole::Voter && Active(aRaft, aItem.mId, aNow);
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
  const std::uint64_t read = aRaft.mNextRead++;
  if (aRaft.mRole == RaftRole::Leader || aRaft.mLeader.empty()) {
    aRaft.mOutput.mReads.push_back({ read, ReadIndex(aRaft, aNow) });
    return read;
  }
  RaftMessage message;
  message.mType = MessageType::Read;
  message.mTo = aRaft.mLeader;
  message.mRead = read;
  Send(aRaft, std::move(message));
  return read;
}

RaftOutput
RaftTakeOutput(Raft& aRaft, TimePoint aNow)
{
  if (aRaft.mRole == RaftRole::Leader) {
    SendToAll(aRaft, aNow);
  }
  RaftOutput output = std::move(aRaft.mOutput);
  aRaft.mOutput = {};
  if (!output.mWrite.Empty()) {
    output.mWrite.mSequence = aRaft.mNextSequence++;
    aRaft.mWriting.emplace_back(output.mWrite.mSequence, RaftLastIndex(aRaft));
  }
  return output;
}

void
RaftSynced(Raft& aRaft, std::uint64_t aSequence, TimePoint aNow)
{
  while (!aRaft.mWriting.empty() && aRaft.mWriting.front().first <= aSequence) {
    aRaft.mSynced = std::max(aRaft.mSynced, aRaft.mWriting.front().second);
    aRaft.mWriting.pop_front();
  }
  while (!aRaft.mHeld.empty() && aRaft.mHeld.front().first <= aSequence) {
    RaftMessage message = std::move(aRaft.mHeld.front().second);
    aRaft.mHeld.pop_front();
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
  const std::uint64_t kept = aRaft.mSettings.mKeptEntries;
  const std::uint64_t base = aSnapshot.mIndex > kept ? aSnapshot.mIndex - kept : 0;
  while (!aRaft.mEntries.empty() && aRaft.mEntries.front().mIndex <= base) {
    aRaft.mBase = { aRaft.mEntries.front().mIndex, aRaft.mEntries.front().mTerm, {}, 0 };
    aRaft.mEntries.pop_front();
  }
  // The list in effect at the base stays, because later lists are compared with it.
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
  const TimePoint contact = QuorumContact(aRaft, aNow);
  if (contact == TimePoint::min()) {
    return false;
  }
  // The clock of this member may be slow and that of the others fast, each by the bound.
  const double drift = aRaft.mSettings.mClockDrift;
  const auto lease = Duration(static_cast<std::int64_t>(
    static_cast<double>(aRaft.mSettings.mElection.count()) * (1 - drift) / (1 + drift)));
  return aNow < contact + lease;
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
