#include "raft_member.h"

#include "log.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace apricotyard {

namespace {

// Entries that a leader with a full disk accepts before it refuses proposals.
constexpr std::uint64_t kMaxUnsyncedEntries = 64;

// Terms that a recovered member skips, so that its term exceeds any term that the lost members
// reached after their last contact with it.
constexpr std::uint64_t kRecoveryTermGap = 1'000'000;

} // namespace

Expected<std::unique_ptr<RaftMember>>
RaftMember::Open(MemberSettings aSettings,
                 const Chart& aChart,
                 std::unique_ptr<Storage> aStorage,
                 StateMachine aMachine,
                 Sender aSend,
                 TimePoint aNow)
{
  std::unique_ptr<RaftMember> member(new RaftMember(std::move(aSettings), aChart));
  member->mStorage = std::move(aStorage);
  member->mMachine = std::move(aMachine);
  member->mSend = std::move(aSend);
  member->mSettings.mRaft.mSelf = member->mStorage->Identity();
  RaftInitialState start = member->mStorage->TakeInitialState();
  member->mAppliedIndex = start.mSnapshot.mIndex;
  member->mAppliedTerm = start.mSnapshot.mTerm;
  if (start.mSnapshot.mIndex > 0) {
    if (auto restored = member->mMachine.mRestore(member->mStorage->TakeSnapshotData());
        !restored) {
      return tl::unexpected(restored.error());
    }
  }
  const std::size_t entries = start.mEntries.size();
  member->mRaft =
    StartRaft(member->mSettings.mRaft, aChart, std::move(start), member->mSettings.mSeed, aNow);
  LogEvent(Event::MemberStarted,
           { { "member", member->mSettings.mRaft.mSelf },
             { "folder", member->mStorage->Folder() },
             { "snapshot", member->mAppliedIndex },
             { "entries", entries } });
  if (member->mStorage->TruncatedBytes() > 0) {
    LogEvent(Event::LogTailCut, { { "bytes", member->mStorage->TruncatedBytes() } });
  }
  return member;
}

Expected<void>
RaftMember::Bootstrap(const std::vector<LogMember>& aMembers, TimePoint aNow)
{
  if (IsBootstrapped()) {
    return Fail(Result::BadRequest, "this member already has a member list");
  }
  const VoteState vote{ std::max<std::uint64_t>(1, mRaft.mVoteState.mTerm), "" };
  const LogEntry entry{ 1, 1, EntryKind::Members, EncodeMembers(aMembers) };
  auto done = mStorage->SaveVote(vote);
  if (done) {
    done = mStorage->Append({ &entry, 1 });
  }
  if (!done) {
    return done;
  }
  RaftInitialState start{ vote, {}, { entry } };
  mRaft = StartRaft(mSettings.mRaft, mChart, std::move(start), mSettings.mSeed, aNow);
  LogEvent(Event::MembershipFormed,
           { { "member", mSettings.mRaft.mSelf }, { "members", entry.mData } });
  return {};
}

void
RaftMember::Tick(TimePoint aNow)
{
  RaftTick(mRaft, aNow);
}

void
RaftMember::Receive(const RaftMessage& aMessage, TimePoint aNow)
{
  RaftReceive(mRaft, aMessage, aNow);
}

void
RaftMember::AddPendingProposal(Expected<std::uint64_t> aIndex, OutcomeHandler aDone, TimePoint aNow)
{
  if (!aIndex) {
    aDone(tl::unexpected(aIndex.error()));
    return;
  }
  mProposals.emplace(
    *aIndex,
    PendingProposal{ mRaft.mVoteState.mTerm, aNow + mSettings.mTimeout, std::move(aDone) });
}

void
RaftMember::AddPendingChange(Expected<std::uint64_t> aIndex, DoneHandler aDone, TimePoint aNow)
{
  AddPendingProposal(
    std::move(aIndex),
    [done = std::move(aDone)](const Expected<std::string>& aOutcome) {
      done(aOutcome ? Expected<void>() : tl::unexpected(aOutcome.error()));
    },
    aNow);
}

// While the disk of this leader is full, the other voters can still commit. The entries that wait
// for space are kept in memory, so their number is limited.
bool
RaftMember::MayPropose(TimePoint aNow) const
{
  return !DiskIsFull() || (RaftCommitsWithoutSelf(mRaft, aNow) &&
                           RaftLastIndex(mRaft) - mRaft.mSyncedIndex < kMaxUnsyncedEntries);
}

void
RaftMember::Propose(std::string aCommand, OutcomeHandler aDone, TimePoint aNow)
{
  if (!MayPropose(aNow)) {
    aDone(Fail(Result::DiskFull, fmt::format("the disk of {} is full", mStorage->Folder())));
    return;
  }
  AddPendingProposal(RaftPropose(mRaft, std::move(aCommand), aNow), std::move(aDone), aNow);
}

void
RaftMember::AddLearner(const LogMember& aMember, DoneHandler aDone, TimePoint aNow)
{
  AddPendingChange(RaftAddLearner(mRaft, aMember, aNow), std::move(aDone), aNow);
}

void
RaftMember::Promote(const std::string& aMember, DoneHandler aDone, TimePoint aNow)
{
  AddPendingChange(RaftPromote(mRaft, aMember, aNow), std::move(aDone), aNow);
}

void
RaftMember::Remove(const std::string& aMember, DoneHandler aDone, TimePoint aNow)
{
  AddPendingChange(RaftRemove(mRaft, aMember, aNow), std::move(aDone), aNow);
}

void
RaftMember::ReadBarrier(DoneHandler aDone, TimePoint aNow)
{
  mUnconfirmedReads[RaftRead(mRaft, aNow)] = { aNow + mSettings.mTimeout, std::move(aDone) };
}

void
RaftMember::SendAll(std::vector<RaftMessage> aMessages)
{
  for (RaftMessage& message : aMessages) {
    if (message.mType == MessageType::Snapshot) {
      auto data = mStorage->ReadSnapshot(message.mOffset, mSettings.mRaft.mSnapshotChunkBytes);
      if (!data) {
        // Nothing is sent; the leader retries the chunk with a later heartbeat.
        LogEvent(Event::StorageFatal, { { "reason", data.error().mMessage } });
        continue;
      }
      message.mData = std::move(*data);
    }
    mSend(std::move(message));
  }
}

Expected<void>
RaftMember::PersistWrite(const RaftWrite& aWrite)
{
  Expected<void> done;
  if (aWrite.mVote) {
    done = mStorage->SaveVote(*aWrite.mVote);
  }
  if (done && aWrite.mSnapshot) {
    done = mStorage->SaveSnapshot(*aWrite.mSnapshot, aWrite.mSnapshotData, aWrite.mKeepLog);
  }
  if (done && !aWrite.mEntries.empty()) {
    done = mStorage->Append(aWrite.mEntries);
  }
  return done;
}

Expected<void>
RaftMember::Restore(const RaftWrite& aWrite)
{
  const SnapshotMeta& meta = *aWrite.mSnapshot;
  if (meta.mIndex <= mAppliedIndex) {
    return {};
  }
  if (auto restored = mMachine.mRestore(aWrite.mSnapshotData); !restored) {
    return restored;
  }
  mAppliedIndex = meta.mIndex;
  mAppliedTerm = meta.mTerm;
  mAppliedBytes = 0;
  // If these proposals were committed, the snapshot contains their effects but not their outcomes.
  while (!mProposals.empty() && mProposals.begin()->first <= mAppliedIndex) {
    const PendingProposal pending = std::move(mProposals.begin()->second);
    mProposals.erase(mProposals.begin());
    pending.mDone(Fail(Result::ProposalUnknown, "a snapshot replaced the log"));
  }
  LogEvent(Event::SnapshotInstalled, { { "index", meta.mIndex }, { "bytes", meta.mSize } });
  return {};
}

// Makes the pending writes durable in order. A full disk is not an error: the write stays pending
// and the next call to Pump repeats it.
Expected<void>
RaftMember::PersistWrites(TimePoint aNow)
{
  while (!mPendingWrites.empty()) {
    const RaftWrite write = std::move(mPendingWrites.front());
    mPendingWrites.pop_front();
    if (auto done = PersistWrite(write); !done) {
      if (done.error().mResult != Result::DiskFull) {
        return done;
      }
      mPendingWrites.push_front(write);
      return {};
    }
    if (write.mSnapshot) {
      if (auto restored = Restore(write); !restored) {
        return restored;
      }
    }
    RaftSynced(mRaft, write.mSequence, aNow);
  }
  return {};
}

void
RaftMember::Apply()
{
  // Entries after a received snapshot are applied only once the snapshot is durable and restored.
  const bool blocked =
    std::any_of(mPendingWrites.begin(), mPendingWrites.end(), [](const RaftWrite& aWrite) {
      return aWrite.mSnapshot.has_value();
    });
  while (!blocked && !mApplyQueue.empty()) {
    const LogEntry entry = std::move(mApplyQueue.front());
    mApplyQueue.pop_front();
    if (entry.mIndex <= mAppliedIndex) {
      continue;
    }
    std::string outcome;
    if (entry.mKind == EntryKind::Command) {
      outcome = mMachine.mApply(entry.mIndex, entry.mData);
    } else if (entry.mKind == EntryKind::Members) {
      LogEvent(Event::MembersChanged, { { "index", entry.mIndex }, { "members", entry.mData } });
    }
    mAppliedIndex = entry.mIndex;
    mAppliedTerm = entry.mTerm;
    mAppliedBytes += entry.mData.size();
    while (!mProposals.empty() && mProposals.begin()->first <= mAppliedIndex) {
      const auto [index, pending] = std::move(*mProposals.begin());
      mProposals.erase(mProposals.begin());
      if (pending.mTerm == entry.mTerm) {
        pending.mDone(outcome);
      } else {
        pending.mDone(Fail(Result::ProposalDropped, "another leader replaced the entry"));
      }
    }
  }
}

void
RaftMember::CompleteReads()
{
  while (!mConfirmedReads.empty() && mConfirmedReads.begin()->first <= mAppliedIndex) {
    const DoneHandler done = std::move(mConfirmedReads.begin()->second.mDone);
    mConfirmedReads.erase(mConfirmedReads.begin());
    done({});
  }
}

Expected<void>
RaftMember::SnapshotIfDue()
{
  if (mAppliedIndex < mRaft.mSnapshot.mIndex + mSettings.mSnapshotEntries &&
      mAppliedBytes < mSettings.mSnapshotBytes) {
    return {};
  }
  if (mAppliedIndex <= mRaft.mSnapshot.mIndex || DiskIsFull()) {
    return {};
  }
  const std::string data = mMachine.mSnapshot();
  const SnapshotMeta meta{
    mAppliedIndex, mAppliedTerm, RaftMembersAt(mRaft, mAppliedIndex), data.size()
  };
  if (auto saved = mStorage->SaveSnapshot(meta, data, true); !saved) {
    // The log still holds all entries, so the next call to Pump tries again.
    return saved.error().mResult == Result::DiskFull ? Expected<void>() : saved;
  }
  mAppliedBytes = 0;
  RaftCompact(mRaft, meta);
  LogEvent(Event::SnapshotWritten, { { "index", meta.mIndex }, { "bytes", meta.mSize } });
  return {};
}

void
RaftMember::ExpirePending(TimePoint aNow)
{
  std::vector<OutcomeHandler> expired;
  for (auto it = mProposals.begin(); it != mProposals.end();) {
    if (it->second.mDeadline <= aNow) {
      expired.push_back(std::move(it->second.mDone));
      it = mProposals.erase(it);
    } else {
      ++it;
    }
  }
  std::vector<DoneHandler> expiredReads;
  while (!mUnconfirmedReads.empty() && mUnconfirmedReads.begin()->second.mDeadline <= aNow) {
    expiredReads.push_back(std::move(mUnconfirmedReads.begin()->second.mDone));
    mUnconfirmedReads.erase(mUnconfirmedReads.begin());
  }
  // A member that is partitioned after it learned the read index may not reach that index for
  // hours.
  for (auto it = mConfirmedReads.begin(); it != mConfirmedReads.end();) {
    if (it->second.mDeadline <= aNow) {
      expiredReads.push_back(std::move(it->second.mDone));
      it = mConfirmedReads.erase(it);
    } else {
      ++it;
    }
  }
  for (const OutcomeHandler& done : expired) {
    done(Fail(Result::ProposalUnknown, "no majority confirmed the change in time"));
  }
  for (const DoneHandler& done : expiredReads) {
    done(Fail(Result::ReadUnavailable, "no leader confirmed the read in time"));
  }
}

void
RaftMember::LogRoleChange()
{
  if (mLoggedRole == mRaft.mRole && mLoggedTerm == mRaft.mVoteState.mTerm &&
      mLoggedLeader == mRaft.mLeader) {
    return;
  }
  mLoggedRole = mRaft.mRole;
  mLoggedTerm = mRaft.mVoteState.mTerm;
  mLoggedLeader = mRaft.mLeader;
  LogEvent(Event::RoleChanged,
           { { "member", mSettings.mRaft.mSelf },
             { "role", RoleName(mRaft.mRole) },
             { "term", mRaft.mVoteState.mTerm },
             { "leader", mRaft.mLeader } });
}

// Logs once how the wait after the start ended, if this member asked the other voters about it.
void
RaftMember::LogStartWait(TimePoint aNow)
{
  const StartPoll& start = mRaft.mStart;
  if (mStartWaitLogged || start.mAskedAt.empty()) {
    return;
  }
  const auto waited = (aNow - start.mStartedAt) / std::chrono::milliseconds(1);
  if (start.mWaived) {
    mStartWaitLogged = true;
    LogEvent(Event::StartWaitEnded,
             { { "member", mSettings.mRaft.mSelf },
               { "voters", start.mAnswers.size() + 1 },
               { "waited_ms", waited } });
  } else if (start.mLeaderHeard) {
    mStartWaitLogged = true;
  } else if (aNow >= start.mStartedAt + mSettings.mRaft.mElectionTimeout) {
    mStartWaitLogged = true;
    std::vector<std::string> missing;
    for (const auto& [voter, asked] : start.mAskedAt) {
      if (!start.mAnswers.contains(voter)) {
        missing.push_back(voter);
      }
    }
    LogEvent(Event::StartWaitKept,
             { { "member", mSettings.mRaft.mSelf },
               { "missing", fmt::format("{}", fmt::join(missing, " ")) },
               { "waited_ms", waited } });
  }
}

Expected<void>
RaftMember::Pump(TimePoint aNow)
{
  const bool wasFull = DiskIsFull();
  for (;;) {
    RaftOutput output = RaftTakeOutput(mRaft, aNow);
    const bool idle = output.mMessages.empty() && output.mWrite.Empty() &&
                      output.mCommitted.empty() && output.mReads.empty();
    // A leader sends its messages before its own sync; they do not depend on it.
    SendAll(std::move(output.mMessages));
    if (!output.mWrite.Empty()) {
      mPendingWrites.push_back(std::move(output.mWrite));
    }
    std::move(output.mCommitted.begin(), output.mCommitted.end(), std::back_inserter(mApplyQueue));
    for (ReadResult& read : output.mReads) {
      const auto found = mUnconfirmedReads.find(read.mReadId);
      if (found == mUnconfirmedReads.end()) {
        continue;
      }
      PendingRead pending = std::move(found->second);
      mUnconfirmedReads.erase(found);
      if (read.mIndex) {
        mConfirmedReads.emplace(*read.mIndex, std::move(pending));
      } else {
        pending.mDone(tl::unexpected(read.mIndex.error()));
      }
    }
    if (auto written = PersistWrites(aNow); !written) {
      return written;
    }
    Apply();
    CompleteReads();
    if (idle) {
      break;
    }
  }
  if (wasFull != DiskIsFull()) {
    LogEvent(wasFull ? Event::DiskSpaceReturned : Event::DiskFullRefusing,
             { { "folder", mStorage->Folder() } });
  }
  ExpirePending(aNow);
  LogRoleChange();
  LogStartWait(aNow);
  return SnapshotIfDue();
}

LogStatus
RaftMember::Status(TimePoint aNow) const
{
  LogStatus status;
  status.mSelf = mSettings.mRaft.mSelf;
  status.mLeading = RaftLeading(mRaft, aNow);
  status.mLeader = RaftKnownLeader(mRaft, aNow);
  status.mTerm = mRaft.mVoteState.mTerm;
  status.mLastIndex = RaftLastIndex(mRaft);
  status.mCommitted = mRaft.mCommitIndex;
  status.mApplied = mAppliedIndex;
  status.mAppliedTerm = mAppliedTerm;
  status.mMembers = RaftMembers(mRaft);
  status.mMembersIndex = mRaft.mMembers.rbegin()->first;
  for (LogMember& member : status.mMembers) {
    const auto progress = mRaft.mProgress.find(member.mId);
    if (member.mId == status.mSelf) {
      member.mMatchIndex = mRaft.mSyncedIndex;
    } else if (progress != mRaft.mProgress.end()) {
      member.mMatchIndex = progress->second.mMatchIndex;
      if (progress->second.mLastEchoedSendTime != TimePoint::min()) {
        member.mHeardAt = progress->second.mLastEchoedSendTime;
      }
    }
  }
  return status;
}

void
RaftMember::FailPending()
{
  const auto proposals = std::move(mProposals);
  const auto unconfirmedReads = std::move(mUnconfirmedReads);
  const auto confirmedReads = std::move(mConfirmedReads);
  mProposals.clear();
  mUnconfirmedReads.clear();
  mConfirmedReads.clear();
  for (const auto& [index, pending] : proposals) {
    pending.mDone(Fail(Result::ProposalUnknown, "this member stops"));
  }
  for (const auto& [number, read] : unconfirmedReads) {
    read.mDone(Fail(Result::ReadUnavailable, "this member stops"));
  }
  for (const auto& [index, read] : confirmedReads) {
    read.mDone(Fail(Result::ReadUnavailable, "this member stops"));
  }
}

Expected<RecoveryReport>
RecoverMember(FileOps aOps,
              const std::string& aFolder,
              const SocketAddress& aAddress,
              std::uint64_t aNonce,
              bool aDryRun)
{
  std::vector<std::string> names;
  if (aOps.mList(aFolder, names) < 0 ||
      std::find(names.begin(), names.end(), "FORMAT") == names.end()) {
    return Fail(Result::BadRequest, fmt::format("{} is not the data folder of a member", aFolder));
  }
  auto storage = Storage::Open(std::move(aOps), aFolder, "", aNonce);
  if (!storage) {
    return tl::unexpected(storage.error());
  }
  RaftInitialState start = (*storage)->TakeInitialState();
  RecoveryReport report;
  report.mOldMembers = start.mSnapshot.mMembers;
  report.mLastIndex = start.mSnapshot.mIndex;
  report.mLastTerm = start.mSnapshot.mTerm;
  for (const LogEntry& entry : start.mEntries) {
    report.mLastIndex = entry.mIndex;
    report.mLastTerm = entry.mTerm;
    if (entry.mKind == EntryKind::Members) {
      report.mOldMembers = DecodeMembers(entry.mData).value_or(report.mOldMembers);
    }
  }
  if (report.mOldMembers.empty()) {
    return Fail(Result::BadRequest, fmt::format("{} holds no member list", aFolder));
  }
  report.mOldIdentity = (*storage)->Identity();
  const std::string name = report.mOldIdentity.substr(0, report.mOldIdentity.rfind('.'));
  report.mNewIdentity = fmt::format("{}.{:08x}", name, static_cast<std::uint32_t>(aNonce));
  report.mWarning = fmt::format(
    "This member holds the log up to index {} (term {}). Changes that the lost members accepted "
    "after it are lost. Changes at the end of this log that were never acknowledged take effect. "
    "Do not start the old members again: with their folders they would form a second group.",
    report.mLastIndex,
    report.mLastTerm);
  if (aDryRun) {
    return report;
  }
  const std::uint64_t term = std::max(start.mVote.mTerm, report.mLastTerm) + kRecoveryTermGap;
  const LogEntry entry{ report.mLastIndex + 1,
                        term,
                        EntryKind::Members,
                        EncodeMembers({ { report.mNewIdentity, aAddress, MemberRole::Voter } }) };
  // The identity is written first. If the process crashes before the rest is written, the member is
  // in no member list, so it cannot vote, and the recovery can be repeated.
  auto done = (*storage)->ReplaceIdentity(report.mNewIdentity);
  if (done) {
    done = (*storage)->SaveVote({ term, "" });
  }
  if (done) {
    done = (*storage)->Append({ &entry, 1 });
  }
  if (!done) {
    return tl::unexpected(done.error());
  }
  LogEvent(Event::MemberRecovered,
           { { "member", report.mNewIdentity }, { "last_index", report.mLastIndex } });
  return report;
}

} // namespace apricotyard
