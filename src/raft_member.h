// One member of a Raft group without its network: the consensus core, the storage and the state
// machine. RaftNode and the randomized schedules (raft_schedule.h) run this same code.
#ifndef APRICOTYARD_RAFT_MEMBER_H
#define APRICOTYARD_RAFT_MEMBER_H

#include "storage.h"

namespace apricotyard {

struct MemberSettings
{
  RaftSettings mRaft;
  // A snapshot is written after this many applied entries or bytes.
  std::uint64_t mSnapshotEntries = 10'000;
  std::uint64_t mSnapshotBytes = std::uint64_t{ 64 } * 1024 * 1024;
  // A proposal without a result after this time is reported with an unknown outcome, a read as
  // unavailable.
  Duration mTimeout = std::chrono::seconds(10);
  std::uint64_t mSeed = 1;
};

// Not thread-safe. aNow is always on the same clock and must never decrease.
class RaftMember
{
public:
  using Sender = std::function<void(RaftMessage)>;
  using OutcomeHandler = ReplicatedLog::OutcomeHandler;
  using DoneHandler = ReplicatedLog::DoneHandler;

  // Restores the state machine from the newest snapshot. Precondition: aChart passed CheckRaftChart
  // and outlives the member. Errors: those of StateMachine::mRestore.
  static Expected<std::unique_ptr<RaftMember>> Open(MemberSettings aSettings,
                                                    const Chart& aChart,
                                                    std::unique_ptr<Storage> aStorage,
                                                    StateMachine aMachine,
                                                    Sender aSend,
                                                    TimePoint aNow);

  // True once the log or a snapshot of this member holds a member list.
  bool IsBootstrapped() const { return RaftLastIndex(mRaft) > 0; }
  // Writes the first member list. Every initial member must write the same list, and no other list
  // may have been written for them. Precondition: IsBootstrapped is false. Errors: BadRequest, and
  // those of Storage.
  Expected<void> Bootstrap(const std::vector<LogMember>& aMembers, TimePoint aNow);

  // Call Pump after one or several of these calls.
  void Tick(TimePoint aNow);
  void Receive(const RaftMessage& aMessage, TimePoint aNow);
  void Propose(std::string aCommand, OutcomeHandler aDone, TimePoint aNow);
  void ReadBarrier(DoneHandler aDone, TimePoint aNow);
  void AddLearner(const LogMember& aMember, DoneHandler aDone, TimePoint aNow);
  void Promote(const std::string& aMember, DoneHandler aDone, TimePoint aNow);
  void Remove(const std::string& aMember, DoneHandler aDone, TimePoint aNow);

  // Writes and syncs, sends messages, applies commands and reports results. An error is fatal: the
  // member must not be used again, and nothing in the failed write was acknowledged.
  Expected<void> Pump(TimePoint aNow);

  LogStatus Status(TimePoint aNow) const;
  bool DiskIsFull() const { return !mPendingWrites.empty(); }
  // Reports all pending proposals and reads as failed, the proposals with an unknown outcome.
  void FailPending();

  const Raft& Core() const { return mRaft; }
  const Storage& Files() const { return *mStorage; }

private:
  struct PendingProposal
  {
    std::uint64_t mTerm = 0;
    TimePoint mDeadline;
    OutcomeHandler mDone;
  };
  struct PendingRead
  {
    TimePoint mDeadline;
    DoneHandler mDone;
  };

  bool MayPropose(TimePoint aNow) const;

  RaftMember(MemberSettings aSettings, const Chart& aChart)
    : mSettings(std::move(aSettings))
    , mChart(aChart)
  {
  }

  void AddPendingProposal(Expected<std::uint64_t> aIndex, OutcomeHandler aDone, TimePoint aNow);
  void AddPendingChange(Expected<std::uint64_t> aIndex, DoneHandler aDone, TimePoint aNow);
  void SendAll(std::vector<RaftMessage> aMessages);
  Expected<void> PersistWrite(const RaftWrite& aWrite);
  Expected<void> PersistWrites(TimePoint aNow);
  Expected<void> Restore(const RaftWrite& aWrite);
  void Apply();
  void CompleteReads();
  Expected<void> SnapshotIfDue();
  void ExpirePending(TimePoint aNow);
  void LogRoleChange();
  void LogStartWait(TimePoint aNow);

  MemberSettings mSettings;
  const Chart& mChart;
  std::unique_ptr<Storage> mStorage;
  StateMachine mMachine;
  Sender mSend;
  Raft mRaft;
  // Writes that are not durable yet. Between calls it is empty unless the disk is full.
  std::deque<RaftWrite> mPendingWrites;
  std::deque<LogEntry> mApplyQueue;
  std::uint64_t mAppliedIndex = 0;
  std::uint64_t mAppliedTerm = 0;
  std::uint64_t mAppliedBytes = 0;
  // Pending proposals and membership changes by the index of their log entry.
  std::multimap<std::uint64_t, PendingProposal> mProposals;
  // Reads whose read index is not known yet, by read number.
  std::map<std::uint64_t, PendingRead> mUnconfirmedReads;
  // Reads whose read index is known, by that index; it must be applied before they are reported.
  std::multimap<std::uint64_t, PendingRead> mConfirmedReads;
  RaftRole mLoggedRole = RaftRole::Removed;
  std::uint64_t mLoggedTerm = 0;
  std::string mLoggedLeader;
  bool mStartWaitLogged = false;
};

struct RecoveryReport
{
  std::uint64_t mLastIndex = 0;
  std::uint64_t mLastTerm = 0;
  std::string mOldIdentity;
  std::string mNewIdentity;
  std::vector<LogMember> mOldMembers;
  // Consequences of the recovery for the operator, one paragraph.
  std::string mWarning;
};

// Makes the member in this data folder the only voter, for use when a majority of the voters is
// permanently lost. The member gets a new identity, so messages from the old members no longer
// reach it. aDryRun changes nothing and only returns the report.
//
// Precondition: no process uses the folder (checked by its lock). Errors: those of Storage::Open,
// and BadRequest if the folder is no data folder or holds no member list.
Expected<RecoveryReport>
RecoverMember(FileOps aOps,
              const std::string& aFolder,
              const SocketAddress& aAddress,
              std::uint64_t aNonce,
              bool aDryRun);

} // namespace apricotyard

#endif
