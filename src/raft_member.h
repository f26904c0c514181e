// One member of the control group without its network: the consensus core, its storage and the
// state machine. The node and the schedules run the same code.
#ifndef APRICOTYARD_RAFT_MEMBER_H
#define APRICOTYARD_RAFT_MEMBER_H

#include "storage.h"

namespace apricotyard {

struct MemberSettings
{
  RaftSettings mRaft;
  // Applied entries and bytes after which the state is written to a snapshot.
  std::uint64_t mSnapshotEntries = 10'000;
  std::uint64_t mSnapshotBytes = std::uint64_t{ 64 } * 1024 * 1024;
  // A proposal or read that has no result after this time is reported as unknown.
  Duration mTimeout = std::chrono::seconds(10);
  std::uint64_t mSeed = 1;
};

// Not thread-safe. aNow is on one clock and never decreases.
class RaftMember
{
public:
  using Sender = std::function<void(RaftMessage)>;
  using OutcomeHandler = ReplicatedLog::OutcomeHandler;
  using DoneHandler = ReplicatedLog::DoneHandler;

  // Restores the state machine from the newest snapshot. Precondition: aChart passed
  // CheckRaftChart and outlives the member. Errors: those of the restore.
  static Expected<std::unique_ptr<RaftMember>> Open(MemberSettings aSettings,
                                                    const Chart& aChart,
                                                    std::unique_ptr<Storage> aStorage,
                                                    StateMachine aMachine,
                                                    Sender aSend,
                                                    TimePoint aNow);

  // True once the member has a member list.
  bool Formed() const { return RaftLastIndex(mRaft) > 0; }
  // Writes the first member list. All initial members must write the same list, and no other member
  // list may have been written for them. Precondition: not Formed.
  Expected<void> Form(const std::vector<LogMember>& aMembers, TimePoint aNow);

  // After each of these calls, or several, call Pump.
  void Tick(TimePoint aNow);
  void Receive(const RaftMessage& aMessage, TimePoint aNow);
  void Propose(std::string aCommand, OutcomeHandler aDone, TimePoint aNow);
  void ReadBarrier(DoneHandler aDone, TimePoint aNow);
  void AddLearner(const LogMember& aMember, DoneHandler aDone, TimePoint aNow);
  void Promote(const std::string& aMember, DoneHandler aDone, TimePoint aNow);
  void Remove(const std::string& aMember, DoneHandler aDone, TimePoint aNow);

  // Writes, syncs, sends, applies and reports results. An error is fatal: the member must not be
  // used again, and nothing of the failed write was acknowledged.
  Expected<void> Pump(TimePoint aNow);

  LogStatus Status(TimePoint aNow) const;
  bool DiskIsFull() const { return !mWrites.empty(); }
  // Reports every waiting proposal and read as unknown.
  void FailAll();

  const Raft& Core() const { return mRaft; }
  const Storage& Files() const { return *mStorage; }

private:
  struct Waiting
  {
    std::uint64_t mTerm = 0;
    TimePoint mDeadline;
    OutcomeHandler mDone;
  };
  struct WaitingRead
  {
    TimePoint mDeadline;
    DoneHandler mDone;
  };

  RaftMember(MemberSettings aSettings, const Chart& aChart)
    : mSettings(std::move(aSettings))
    , mChart(aChart)
  {
  }

  void Await(Expected<std::uint64_t> aIndex, OutcomeHandler aDone, TimePoint aNow);
  void AwaitChange(Expected<std::uint64_t> aIndex, DoneHandler aDone, TimePoint aNow);
  void SendAll(std::vector<RaftMessage> aMessages);
  Expected<void> Persist(const RaftWrite& aWrite);
  Expected<void> RunWrites(TimePoint aNow);
  Expected<void> Restore(const RaftWrite& aWrite);
  void Apply();
  void ReportReads();
  Expected<void> MaybeSnapshot();
  void ReportLate(TimePoint aNow);
  void LogChanges();

  MemberSettings mSettings;
  const Chart& mChart;
  std::unique_ptr<Storage> mStorage;
  StateMachine mMachine;
  Sender mSend;
  Raft mRaft;
  // Writes that are not durable yet; more than none between calls only while the disk is full.
  std::deque<RaftWrite> mWrites;
  std::deque<LogEntry> mCommitted;
  std::uint64_t mApplied = 0;
  std::uint64_t mAppliedTerm = 0;
  std::uint64_t mAppliedBytes = 0;
  std::multimap<std::uint64_t, Waiting> mProposals;
  std::map<std::uint64_t, WaitingRead> mAsked;
  // Reads by the index that must be applied.
  std::multimap<std::uint64_t, WaitingRead> mReads;
  RaftRole mLoggedRole = RaftRole::Removed;
  std::uint64_t mLoggedTerm = 0;
  std::string mLoggedLeader;
};

struct RecoveryReport
{
  std::uint64_t mLastIndex = 0;
  std::uint64_t mLastTerm = 0;
  std::string mOldIdentity;
  std::string mNewIdentity;
  std::vector<LogMember> mOldMembers;
  // What the operator must know, in one paragraph.
  std::string mWarning;
};

// Makes the member of this folder the only voter, for a majority that is lost for good. With
// aDryRun it changes nothing. The member gets a new identity, so that messages of the old members
// no longer reach it. Precondition: no process uses the folder (checked by its lock). Errors: those
// of Storage::Open, and BadRequest if the folder holds no member list.
Expected<RecoveryReport>
RecoverMember(FileOps aOps,
              const std::string& aFolder,
              const SocketAddress& aAddress,
              std::uint64_t aNonce,
              bool aDryRun);

} // namespace apricotyard

#endif
