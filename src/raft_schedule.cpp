#include "raft_schedule.h"

#include "memory_files.h"
#include "raft_member.h"

#include <algorithm>
#include <queue>

#include <fmt/format.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFaultTime = seconds(12);
// The group must accept a command within this time after the last fault.
constexpr Duration kRecoveryTime = seconds(20);
constexpr Duration kMaxTickInterval = milliseconds(12);
constexpr int kMaxHosts = 7;

struct Host
{
  explicit Host(std::uint64_t aSeed)
    : mDisk(aSeed)
  {
  }

  MemoryDisk mDisk;
  std::unique_ptr<RaftMember> mMember;
  std::string mIdentity;
  // Local time = kStart + mClockStart + mClockRate × (mNow - kStart).
  Duration mClockStart{};
  double mClockRate = 1;
  // The replicated state: a hash chain over the applied commands, and the last applied index.
  std::uint64_t mHash = 0;
  std::uint64_t mAppliedIndex = 0;
  bool mPumpScheduled = false;
  bool mRestartScheduled = false;
  std::uint64_t mProcess = 0;
  // The process whose wait after its start was last counted as ended early.
  std::uint64_t mCountedWait = 0;
};

struct ScheduledEvent
{
  TimePoint mWhen;
  std::uint64_t mOrder;
  std::function<void()> mRun;

  bool operator>(const ScheduledEvent& aOther) const
  {
    return std::tie(mWhen, mOrder) > std::tie(aOther.mWhen, aOther.mOrder);
  }
};

struct AppliedCommand
{
  std::string mCommand;
  std::uint64_t mHash = 0;
};

class Simulation
{
public:
  Simulation(const Chart& aChart, std::uint64_t aSeed, bool aTrace)
    : mChart(aChart)
    , mRng(aSeed)
    , mGroupRng(aSeed ^ kGroupSeed)
    , mSeed(aSeed)
    , mTracing(aTrace)
  {
  }

  RaftScheduleResult Run()
  {
    SetUp();
    mNow = kStart;
    ScheduleFault();
    if (mGroupRng() % 2 == 0) {
      ScheduleGroupRestart();
    }
    ScheduleClient();
    ScheduleCheck();
    RunUntil(kStart + kFaultTime);
    EndFaults();
    RunUntil(mNow + kRecoveryTime);
    CheckEnd();
    for (auto& host : mHosts) {
      if (host->mMember) {
        host->mMember->FailPending();
      }
    }
    return std::move(mResult);
  }

private:
  static constexpr TimePoint kStart{ seconds(100) };
  // Separates the random numbers of group restarts from the others.
  static constexpr std::uint64_t kGroupSeed = 0x9E3779B97F4A7C15U;

  std::uint64_t Random(std::uint64_t aBelow) { return mRng() % aBelow; }
  bool Chance(int aPercent) { return Random(100) < static_cast<std::uint64_t>(aPercent); }
  Duration RandomDuration(Duration aLow, Duration aHigh)
  {
    return aLow + Duration(static_cast<std::int64_t>(
                    Random(static_cast<std::uint64_t>((aHigh - aLow).count()) + 1)));
  }

  template<typename... Args>
  void Trace(fmt::format_string<Args...> aFormat, Args&&... aArgs)
  {
    if (mTracing) {
      mResult.mTrace.push_back(
        fmt::format("{:>9.3f} ", static_cast<double>((mNow - kStart).count()) / 1000.0) +
        fmt::format(aFormat, std::forward<Args>(aArgs)...));
    }
  }

  void ReportViolation(const std::string& aWhat)
  {
    if (mResult.mFailure.empty()) {
      Trace("VIOLATION {}", aWhat);
      mResult.mFailure =
        fmt::format("seed {}: at {} ms: {}", mSeed, (mNow - kStart).count() / 1000, aWhat);
    }
  }

  void ScheduleEvent(Duration aAfter, std::function<void()> aRun)
  {
    mEventQueue.push({ mNow + aAfter, mNextOrder++, std::move(aRun) });
  }

  TimePoint LocalTime(const Host& aHost) const
  {
    const auto elapsed = static_cast<double>((mNow - kStart).count());
    return kStart + aHost.mClockStart +
           Duration(static_cast<std::int64_t>(elapsed * aHost.mClockRate));
  }

  static SocketAddress Address(std::size_t aHost)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(aHost + 1) };
  }

  void SetUp()
  {
    constexpr int kVoterChoices[] = { 1, 2, 3, 3, 3, 3, 4, 5, 5 };
    const int voters = kVoterChoices[Random(std::size(kVoterChoices))];
    const int hosts = std::min<int>(kMaxHosts, voters + static_cast<int>(Random(3)));
    mLossPercent = Chance(50) ? 0 : static_cast<int>(Random(25));
    mDuplicatePercent = Chance(50) ? 0 : static_cast<int>(Random(10));
    mMaxDelay = milliseconds(1 + Random(Chance(70) ? 15 : 150));
    mFaultInterval = milliseconds(100 + Random(2000));
    // With few proposals a partitioned member's log stays up to date, so only leader stickiness
    // keeps it from being elected.
    mClientInterval = milliseconds(Chance(50) ? 60 : 600);
    std::vector<LogMember> members;
    for (int i = 0; i < hosts; ++i) {
      auto host = std::make_unique<Host>(mRng());
      host->mClockStart = milliseconds(Random(1'000'000));
      host->mClockRate = 0.99 + 0.0001 * static_cast<double>(Random(201));
      mHosts.push_back(std::move(host));
      mNow = kStart;
      StartHost(static_cast<std::size_t>(i));
      if (i < voters) {
        members.push_back({ mHosts.back()->mIdentity, Address(mHosts.size() - 1) });
      }
    }
    Trace("{} voters, {} hosts, loss {}%, duplicates {}%, delay up to {} ms",
          voters,
          hosts,
          mLossPercent,
          mDuplicatePercent,
          mMaxDelay.count() / 1000);
    // As in production, one member writes the first member list and replicates it to the others.
    if (auto formed = mHosts[0]->mMember->Bootstrap(members, LocalTime(*mHosts[0])); !formed) {
      ReportViolation(formed.error().mMessage);
    }
    mBlockedLinks.assign(mHosts.size(), std::vector<bool>(mHosts.size(), false));
  }

  MemberSettings MakeSettings()
  {
    MemberSettings settings;
    // Shorter timeouts than in production, so that a schedule contains more elections.
    settings.mRaft.mElectionTimeout = milliseconds(250);
    settings.mRaft.mHeartbeatInterval = milliseconds(50);
    settings.mRaft.mMaxBatchEntries = 1 + mSeed % 16;
    settings.mRaft.mMaxInFlight = 1 + mSeed % 5;
    settings.mRaft.mMaxUncommittedEntries = 40;
    settings.mRaft.mSnapshotChunkBytes = 24;
    settings.mRaft.mMaxPromotionLag = 10;
    settings.mRaft.mTrailingEntries = mSeed % 30;
    settings.mSnapshotEntries = 10 + mSeed % 50;
    settings.mTimeout = seconds(2);
    settings.mSeed = mRng();
    return settings;
  }

  // Serializes the state. It is padded, so that a snapshot takes several chunks.
  static std::string EncodeState(const Host& aHost)
  {
    return fmt::format("{:020} {:020} {:>60}", aHost.mAppliedIndex, aHost.mHash, "");
  }

  StateMachine MakeStateMachine(std::size_t aHost)
  {
    StateMachine machine;
    machine.mApply = [this, aHost](std::uint64_t aIndex, std::string_view aCommand) {
      return OnApply(aHost, aIndex, aCommand);
    };
    machine.mSnapshot = [this, aHost] { return EncodeState(*mHosts[aHost]); };
    machine.mRestore = [this, aHost](std::string_view aData) -> Expected<void> {
      Host& host = *mHosts[aHost];
      host.mAppliedIndex = std::strtoull(std::string(aData.substr(0, 20)).c_str(), nullptr, 10);
      host.mHash = std::strtoull(std::string(aData.substr(21, 20)).c_str(), nullptr, 10);
      if (host.mAppliedIndex > 0 && HashAt(host.mAppliedIndex) != host.mHash) {
        ReportViolation(
          fmt::format("host {} restored a different state at index {}", aHost, host.mAppliedIndex));
      }
      ++mResult.mSnapshotsInstalled;
      return {};
    };
    return machine;
  }

  // The hash chain after aIndex, as computed by the first member that applied it.
  std::uint64_t HashAt(std::uint64_t aIndex) const
  {
    const auto found = mCommandsByIndex.upper_bound(aIndex);
    return found == mCommandsByIndex.begin() ? 0 : std::prev(found)->second.mHash;
  }

  std::string OnApply(std::size_t aHost, std::uint64_t aIndex, std::string_view aCommand)
  {
    Host& host = *mHosts[aHost];
    if (aIndex <= host.mAppliedIndex) {
      ReportViolation(
        fmt::format("host {} applied index {} after index {}", aHost, aIndex, host.mAppliedIndex));
    }
    host.mAppliedIndex = aIndex;
    host.mHash = XXH3_64bits_withSeed(aCommand.data(), aCommand.size(), host.mHash ^ aIndex);
    const auto found = mCommandsByIndex.find(aIndex);
    if (found == mCommandsByIndex.end()) {
      if (!mCommandsByIndex.empty() && mCommandsByIndex.rbegin()->first > aIndex) {
        ReportViolation(
          fmt::format("host {} applied a command at index {}, other hosts none", aHost, aIndex));
      }
      if (mReportedNotRun.contains(std::string(aCommand))) {
        ReportViolation(
          fmt::format("{} was reported as not run but applied at index {}", aCommand, aIndex));
      }
      if (!mAppliedCommands.insert(std::string(aCommand)).second) {
        ReportViolation(fmt::format("{} was applied twice", aCommand));
      }
      mCommandsByIndex[aIndex] = { std::string(aCommand), host.mHash };
    } else if (found->second.mHash != host.mHash) {
      ReportViolation(fmt::format("host {} applied '{}' at index {}, another host '{}'",
                                  aHost,
                                  aCommand,
                                  aIndex,
                                  found->second.mCommand));
    }
    return fmt::format("{}", aIndex);
  }

  void StartHost(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    ++host.mProcess;
    host.mRestartScheduled = false;
    host.mAppliedIndex = 0;
    host.mHash = 0;
    auto storage =
      Storage::Open(host.mDisk.StartProcess(), "/data", fmt::format("c{}", aHost), mRng());
    if (!storage) {
      if (host.mDisk.Crashed() || storage.error().mResult == Result::StorageFailed) {
        Crash(aHost);
      } else if (storage.error().mResult == Result::DiskFull) {
        ScheduleRestart(aHost);
      } else {
        ReportViolation(fmt::format("host {} cannot start: {}", aHost, storage.error().mMessage));
      }
      return;
    }
    host.mIdentity = (*storage)->Identity();
    auto member = RaftMember::Open(
      MakeSettings(),
      mChart,
      std::move(*storage),
      MakeStateMachine(aHost),
      [this, aHost](RaftMessage aMessage) { SendFrom(aHost, std::move(aMessage)); },
      LocalTime(host));
    if (!member) {
      ReportViolation(fmt::format("host {} cannot start: {}", aHost, member.error().mMessage));
      return;
    }
    host.mMember = std::move(*member);
    Trace("host {} started as {} with {} entries",
          aHost,
          host.mIdentity,
          RaftLastIndex(host.mMember->Core()));
    ScheduleTick(aHost, host.mProcess);
  }

  void ScheduleRestart(std::size_t aHost)
  {
    if (!mHosts[aHost]->mRestartScheduled) {
      mHosts[aHost]->mRestartScheduled = true;
      const Duration longest = Chance(50) ? milliseconds(50) : seconds(3);
      const Duration after =
        mFaultsEnded ? milliseconds(10) : RandomDuration(milliseconds(1), longest);
      ScheduleEvent(after, [this, aHost] { StartHost(aHost); });
    }
  }

  void Crash(std::size_t aHost)
  {
    EndProcess(aHost);
    ScheduleRestart(aHost);
  }

  // Ends the process of a host, in some cases with a power loss.
  void EndProcess(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    ++host.mProcess;
    ++mResult.mCrashes;
    if (host.mMember) {
      host.mMember->FailPending();
      host.mMember.reset();
    }
    const bool power = Chance(60);
    Trace("host {} crashes{}", aHost, power ? " and loses power" : "");
    if (power) {
      host.mDisk.LosePower();
    } else {
      host.mDisk.EndProcess();
    }
    if (!mFaultsEnded && Chance(10)) {
      host.mDisk.CrashAt(host.mDisk.OperationCount() + 1 + Random(12));
    }
  }

  void ScheduleTick(std::size_t aHost, std::uint64_t aProcess)
  {
    ScheduleEvent(RandomDuration(kMaxTickInterval / 2, kMaxTickInterval), [this, aHost, aProcess] {
      Host& host = *mHosts[aHost];
      if (host.mMember == nullptr || host.mProcess != aProcess) {
        return;
      }
      host.mMember->Tick(LocalTime(host));
      Pump(aHost);
      ScheduleTick(aHost, aProcess);
    });
  }

  void Pump(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (host.mMember == nullptr) {
      return;
    }
    const auto pumped = host.mMember->Pump(LocalTime(host));
    if (!pumped) {
      Trace("host {} failed: {}", aHost, pumped.error().mMessage);
      if (pumped.error().mResult == Result::StorageCorrupt) {
        ReportViolation(pumped.error().mMessage);
      }
      Crash(aHost);
      return;
    }
    CheckLeader(aHost);
  }

  // Several inputs may share one Pump, as they do on the event loop.
  void PumpSoon(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (Chance(50)) {
      Pump(aHost);
    } else if (!host.mPumpScheduled) {
      host.mPumpScheduled = true;
      ScheduleEvent(RandomDuration(Duration(0), milliseconds(3)), [this, aHost] {
        mHosts[aHost]->mPumpScheduled = false;
        Pump(aHost);
      });
    }
  }

  void SendFrom(std::size_t aHost, RaftMessage aMessage)
  {
    std::optional<std::size_t> target;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      // Messages to an old identity reach the host, which now has another one.
      if (aMessage.mTo.starts_with(fmt::format("c{}.", i))) {
        target = i;
      }
    }
    if (!target || (!mFaultsEnded && Chance(mLossPercent))) {
      return;
    }
    const auto shared = std::make_shared<RaftMessage>(std::move(aMessage));
    const int copies = !mFaultsEnded && Chance(mDuplicatePercent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Duration delay = RandomDuration(Duration(100), mMaxDelay);
      if (!mFaultsEnded && Chance(1)) {
        delay = RandomDuration(milliseconds(1), seconds(5));
      }
      ScheduleEvent(delay,
                    [this, aHost, target = *target, shared] { Deliver(aHost, target, *shared); });
    }
  }

  void Deliver(std::size_t aFrom, std::size_t aTo, const RaftMessage& aMessage)
  {
    Host& host = *mHosts[aTo];
    if (host.mMember == nullptr || mBlockedLinks[aFrom][aTo]) {
      return;
    }
    if (mTracing && (aMessage.mType != MessageType::Append || !aMessage.mEntries.empty()) &&
        (aMessage.mType != MessageType::AppendReply || !aMessage.mGranted)) {
      Trace("{} -> {}: type {} term {} index {}/{} granted {} entries {}",
            aFrom,
            aTo,
            static_cast<int>(aMessage.mType),
            aMessage.mTerm,
            aMessage.mIndex,
            aMessage.mLogTerm,
            aMessage.mGranted,
            aMessage.mEntries.size());
    }
    host.mMember->Receive(aMessage, LocalTime(host));
    PumpSoon(aTo);
  }

  void CheckLeader(std::size_t aHost)
  {
    const Host& host = *mHosts[aHost];
    const Raft& core = host.mMember->Core();
    if (core.mStart.mWaived && mHosts[aHost]->mCountedWait != host.mProcess) {
      mHosts[aHost]->mCountedWait = host.mProcess;
      ++mResult.mWaitsEnded;
      Trace("host {} ends its wait", aHost);
    }
    if (core.mForbiddenEvents > 0) {
      ReportViolation(fmt::format("host {}: an event occurred that the chart forbids", aHost));
    }
    if (core.mRole != RaftRole::Leader) {
      return;
    }
    const auto [known, added] = mLeaderOfTerm.emplace(core.mVoteState.mTerm, host.mIdentity);
    if (added) {
      ++mResult.mElections;
      Trace("host {} leads term {}", aHost, core.mVoteState.mTerm);
    } else if (known->second != host.mIdentity) {
      ReportViolation(fmt::format("two leaders in term {}", core.mVoteState.mTerm));
    }
    int leading = 0;
    for (const auto& other : mHosts) {
      leading += other->mMember && RaftLeading(other->mMember->Core(), LocalTime(*other)) ? 1 : 0;
    }
    if (leading > 1) {
      ReportViolation(fmt::format("{} members act as the leader", leading));
    }
  }

  // Log matching: entries with the same index and term are equal and follow equal entries.
  void CheckLogs()
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (mHosts[i]->mMember == nullptr) {
        continue;
      }
      const Raft& core = mHosts[i]->mMember->Core();
      std::uint64_t before = core.mBase.mTerm;
      for (const LogEntry& entry : core.mEntries) {
        const std::uint64_t hash =
          XXH3_64bits_withSeed(entry.mData.data(),
                               entry.mData.size(),
                               before * 4 + static_cast<std::uint64_t>(entry.mKind));
        const auto [known, added] =
          mSeenEntries.emplace(std::pair(entry.mIndex, entry.mTerm), hash);
        if (!added && known->second != hash) {
          ReportViolation(fmt::format(
            "host {} has a different entry at index {}, term {}", i, entry.mIndex, entry.mTerm));
        }
        before = entry.mTerm;
      }
    }
  }

  void ScheduleCheck()
  {
    ScheduleEvent(milliseconds(500), [this] {
      CheckLogs();
      ScheduleCheck();
    });
  }

  void ScheduleClient()
  {
    ScheduleEvent(RandomDuration(milliseconds(1), mClientInterval), [this] {
      const std::size_t host = LikelyLeader();
      if (mHosts[host]->mMember != nullptr) {
        if (Chance(60)) {
          Propose(host);
        } else {
          Read(Chance(50) ? host : Random(mHosts.size()));
        }
      }
      ScheduleClient();
    });
  }

  // In most cases picks a member that considers itself the leader, so that most proposals are
  // accepted.
  std::size_t LikelyLeader()
  {
    std::vector<std::size_t> leaders;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (mHosts[i]->mMember && mHosts[i]->mMember->Core().mRole == RaftRole::Leader) {
        leaders.push_back(i);
      }
    }
    return leaders.empty() || Chance(10) ? Random(mHosts.size()) : leaders[Random(leaders.size())];
  }

  void Propose(std::size_t aHost)
  {
    const std::string command = fmt::format("command-{}", mNextCommand++);
    const auto count = std::make_shared<int>(0);
    mHosts[aHost]->mMember->Propose(
      command,
      [this, command, count](const Expected<std::string>& aOutcome) {
        if (++*count > 1) {
          ReportViolation(command + " was reported twice");
        }
        OnOutcome(command, aOutcome);
      },
      LocalTime(*mHosts[aHost]));
    PumpSoon(aHost);
  }

  void OnOutcome(const std::string& aCommand, const Expected<std::string>& aOutcome)
  {
    if (aOutcome) {
      const std::uint64_t index = std::strtoull(aOutcome->c_str(), nullptr, 10);
      const auto found = mCommandsByIndex.find(index);
      if (found == mCommandsByIndex.end() || found->second.mCommand != aCommand) {
        ReportViolation(aCommand + " was acknowledged but is not applied");
      }
      ++mResult.mAcknowledged;
      mMinReadIndex = std::max(mMinReadIndex, index);
    } else if (!Describe(aOutcome.error().mResult).mMayHaveRun) {
      if (mAppliedCommands.contains(aCommand)) {
        ReportViolation(aCommand + " was applied but reported as not run");
      }
      mReportedNotRun.insert(aCommand);
    }
  }

  void Read(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (host.mMember == nullptr) {
      return;
    }
    const std::uint64_t minIndex = mMinReadIndex;
    host.mMember->ReadBarrier(
      [this, aHost, minIndex](const Expected<void>& aDone) {
        if (!aDone) {
          return;
        }
        ++mResult.mReads;
        const Host& reader = *mHosts[aHost];
        if (reader.mAppliedIndex < minIndex) {
          ReportViolation(
            fmt::format("stale read on host {}: applied index {}, at least {} required",
                        aHost,
                        reader.mAppliedIndex,
                        minIndex));
        }
        mMinReadIndex = std::max(mMinReadIndex, reader.mAppliedIndex);
      },
      LocalTime(host));
    PumpSoon(aHost);
  }

  void ScheduleFault()
  {
    ScheduleEvent(RandomDuration(milliseconds(1), mFaultInterval), [this] {
      if (!mFaultsEnded) {
        InjectFault();
        ScheduleFault();
      }
    });
  }

  void InjectFault()
  {
    const std::size_t host = Chance(40) ? LikelyLeader() : Random(mHosts.size());
    switch (Random(14)) {
      case 0:
      case 1:
        return Partition(host);
      case 2:
        Trace("the network heals");
        return HealNetwork();
      case 3:
        if (mHosts[host]->mMember) {
          Crash(host);
        }
        return;
      case 4:
      case 5:
        Trace("host {} will crash during a disk operation", host);
        mHosts[host]->mDisk.CrashAt(mHosts[host]->mDisk.OperationCount() + 1 + Random(8));
        return;
      case 6:
        mHosts[host]->mDisk.FailAt(mHosts[host]->mDisk.OperationCount() + 1 + Random(8), EIO);
        return;
      case 7:
        return FillDisk(host);
      case 8:
        return LoseDisk(host);
      default:
        return ChangeMembers(LikelyLeader());
    }
  }

  void ScheduleGroupRestart()
  {
    const Duration pause = milliseconds(50 + mGroupRng() % 2500);
    ScheduleEvent(pause, [this] {
      if (!mFaultsEnded) {
        RestartGroup();
        ScheduleGroupRestart();
      }
    });
  }

  // Restarts the members at about the same time, in some cases but for one, for example the leader,
  // or with links cut meanwhile.
  void RestartGroup()
  {
    ++mResult.mGroupRestarts;
    const std::uint64_t kind = mGroupRng() % 10;
    const std::size_t spared =
      kind < 4 ? LikelyLeader() : (kind == 4 ? mGroupRng() % mHosts.size() : mHosts.size());
    Trace("the group restarts, spared host {} of {}", spared, mHosts.size());
    if (mGroupRng() % 3 == 0) {
      Partition(spared < mHosts.size() ? spared : mGroupRng() % mHosts.size());
      ScheduleEvent(milliseconds(mGroupRng() % 600), [this] { HealNetwork(); });
    }
    // A short time, so that old leases are valid after the restart, or a long one.
    const std::uint64_t spread = mGroupRng() % 4 == 0 ? 300 : 15;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (i == spared || mHosts[i]->mMember == nullptr) {
        continue;
      }
      EndProcess(i);
      if (!mHosts[i]->mRestartScheduled) {
        mHosts[i]->mRestartScheduled = true;
        ScheduleEvent(milliseconds(1 + mGroupRng() % spread), [this, i] { StartHost(i); });
      }
    }
  }

  void HealNetwork()
  {
    for (auto& row : mBlockedLinks) {
      std::fill(row.begin(), row.end(), false);
    }
  }

  void Partition(std::size_t aHost)
  {
    HealNetwork();
    const std::uint64_t kind = Random(6);
    Trace("partition of kind {} around host {}", kind, aHost);
    const std::size_t pair = Random(mHosts.size());
    std::vector<bool> side(mHosts.size());
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      side[i] = Chance(50);
    }
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (i == aHost) {
        continue;
      }
      // Kinds: 0 isolated; 1 receives nothing; 2 sends nothing; 3 random directions; 4 split into
      // two sides; 5 a single pair.
      mBlockedLinks[i][aHost] =
        kind == 0 || kind == 1 || (kind == 3 && Chance(50)) || (kind == 5 && i == pair);
      mBlockedLinks[aHost][i] =
        kind == 0 || kind == 2 || (kind == 3 && Chance(50)) || (kind == 5 && i == pair);
      for (std::size_t j = 0; kind == 4 && j < mHosts.size(); ++j) {
        mBlockedLinks[i][j] = side[i] != side[j];
        mBlockedLinks[j][i] = side[i] != side[j];
      }
    }
  }

  void FillDisk(std::size_t aHost)
  {
    MemoryDisk& disk = mHosts[aHost]->mDisk;
    disk.SetCapacity(disk.UsedBytes() + Random(400));
    Trace("the disk of host {} fills up", aHost);
    ScheduleEvent(RandomDuration(milliseconds(100), seconds(4)),
                  [&disk] { disk.SetCapacity(UINT64_MAX); });
  }

  // The protocol tolerates the loss of one disk among three or more voters, until that voter is
  // replaced. Any member list that a member holds may be in effect, so all of them are checked.
  bool CanLoseDisk(std::size_t aHost) const
  {
    for (const auto& host : mHosts) {
      if (host->mMember == nullptr) {
        return false;
      }
      for (const auto& [index, members] : host->mMember->Core().mMembers) {
        std::size_t voters = 0;
        for (const LogMember& member : members) {
          voters += member.mRole == MemberRole::Voter ? 1U : 0U;
          if (mLostIdentities.contains(member.mId) && member.mRole == MemberRole::Voter) {
            return false;
          }
        }
        if (voters < 3 && !members.empty()) {
          return false;
        }
      }
    }
    // Before the first commit this disk may hold the only copy of the member list.
    return mResult.mAcknowledged > 0 && mHosts[aHost]->mMember->IsBootstrapped();
  }

  void LoseDisk(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (!CanLoseDisk(aHost)) {
      return;
    }
    Trace("host {} loses its disk ({})", aHost, host.mIdentity);
    ++mResult.mDisksLost;
    mLostIdentities.insert(host.mIdentity);
    Crash(aHost);
    host.mDisk.Wipe();
  }

  void ChangeMembers(std::size_t aLeader)
  {
    Host& leader = *mHosts[aLeader];
    if (leader.mMember == nullptr) {
      return;
    }
    const std::vector<LogMember> members = RaftMembers(leader.mMember->Core());
    const TimePoint now = LocalTime(leader);
    const auto done = [this](const Expected<void>& aDone) {
      mResult.mMemberChanges += aDone ? 1 : 0;
    };
    for (const LogMember& member : members) {
      if (mLostIdentities.contains(member.mId)) {
        Trace("host {}: remove {}", aLeader, member.mId);
        leader.mMember->Remove(member.mId, done, now);
        return PumpSoon(aLeader);
      }
      if (member.mRole == MemberRole::Learner && Chance(80)) {
        Trace("host {}: promote {}", aLeader, member.mId);
        leader.mMember->Promote(member.mId, done, now);
        return PumpSoon(aLeader);
      }
    }
    if (Chance(40) && members.size() > 3) {
      const std::string& removedId = members[Random(members.size())].mId;
      Trace("host {}: remove {}", aLeader, removedId);
      leader.mMember->Remove(removedId, done, now);
      return PumpSoon(aLeader);
    }
    const std::size_t added = Random(mHosts.size());
    const std::string& id = mHosts[added]->mIdentity;
    if (!mLostIdentities.contains(id) && mHosts[added]->mMember != nullptr) {
      Trace("host {}: add {}", aLeader, id);
      leader.mMember->AddLearner({ id, Address(added) }, done, now);
      PumpSoon(aLeader);
    }
  }

  void EndFaults()
  {
    Trace("the faults end");
    mFaultsEnded = true;
    mMaxDelay = std::min<Duration>(mMaxDelay, milliseconds(20));
    HealNetwork();
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      mHosts[i]->mDisk.CrashAt(0);
      mHosts[i]->mDisk.FailAt(0, 0);
      mHosts[i]->mDisk.SetCapacity(UINT64_MAX);
      if (mHosts[i]->mMember == nullptr) {
        ScheduleRestart(i);
      }
    }
    mAcknowledgedBeforeRecovery = mResult.mAcknowledged;
  }

  bool AllUp() const
  {
    return std::all_of(
      mHosts.begin(), mHosts.end(), [](const auto& aHost) { return aHost->mMember != nullptr; });
  }

  void TraceState()
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (mHosts[i]->mMember == nullptr) {
        Trace("host {} is down", i);
        continue;
      }
      const Raft& core = mHosts[i]->mMember->Core();
      Trace("host {}: {} of term {}, log {} to {}, committed {}, member list at {}: {}{}",
            i,
            RoleName(core.mRole),
            core.mVoteState.mTerm,
            core.mBase.mIndex,
            RaftLastIndex(core),
            core.mCommitIndex,
            core.mMembers.rbegin()->first,
            EncodeMembers(RaftMembers(core)),
            mHosts[i]->mMember->DiskIsFull() ? ", disk full" : "");
    }
  }

  void CheckEnd()
  {
    CheckLogs();
    TraceState();
    if (!mResult.mFailure.empty()) {
      return;
    }
    if (mResult.mAcknowledged == mAcknowledgedBeforeRecovery) {
      ReportViolation("no command was acknowledged after the faults ended");
    }
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      const Host& host = *mHosts[i];
      if (host.mMember == nullptr) {
        ReportViolation(fmt::format("host {} did not restart", i));
      } else if (host.mMember->Core().mRole == RaftRole::Leader) {
        // Until the first entry of its term is committed, a leader may not have applied all entries
        // that it holds, and it serves no reads.
        const Raft& core = host.mMember->Core();
        const bool termCommitted = RaftTermAt(core, core.mCommitIndex) == core.mVoteState.mTerm;
        if (RaftLastIndex(core) < mMinReadIndex ||
            (termCommitted && host.mAppliedIndex < mMinReadIndex)) {
          ReportViolation(
            fmt::format("the leader lacks acknowledged commands after {}", host.mAppliedIndex));
        }
      }
    }
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!mEventQueue.empty() && mEventQueue.top().mWhen <= aEnd && mResult.mFailure.empty()) {
      const ScheduledEvent event = mEventQueue.top();
      mEventQueue.pop();
      mNow = event.mWhen;
      ++mResult.mEvents;
      event.mRun();
      // Ends early once the group works again.
      if (mFaultsEnded && mResult.mAcknowledged > mAcknowledgedBeforeRecovery + 5 && AllUp()) {
        return;
      }
    }
    mNow = std::max(mNow, aEnd);
  }

  const Chart& mChart;
  Rng mRng;
  Rng mGroupRng;
  const std::uint64_t mSeed;
  const bool mTracing;
  TimePoint mNow = kStart;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> mEventQueue;
  std::uint64_t mNextOrder = 0;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<std::vector<bool>> mBlockedLinks;
  int mLossPercent = 0;
  int mDuplicatePercent = 0;
  Duration mMaxDelay{};
  Duration mFaultInterval{};
  Duration mClientInterval{};
  bool mFaultsEnded = false;
  std::uint64_t mNextCommand = 1;
  std::uint64_t mMinReadIndex = 0;
  std::uint64_t mAcknowledgedBeforeRecovery = 0;
  std::map<std::uint64_t, AppliedCommand> mCommandsByIndex;
  std::set<std::string> mReportedNotRun;
  std::set<std::string> mAppliedCommands;
  std::set<std::string> mLostIdentities;
  std::map<std::uint64_t, std::string> mLeaderOfTerm;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> mSeenEntries;
  RaftScheduleResult mResult;
};

} // namespace

RaftScheduleResult
RunRaftSchedule(const Chart& aChart, std::uint64_t aSeed, bool aTrace)
{
  return Simulation(aChart, aSeed, aTrace).Run();
}

} // namespace apricotyard
