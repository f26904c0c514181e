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
// The group must accept a change within this time after the last fault.
constexpr Duration kQuietTime = seconds(20);
constexpr Duration kTick = milliseconds(12);
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
  // Local time = mClockStart + mClockRate × time.
  Duration mClockStart{};
  double mClockRate = 1;
  // The state: the hash chain over the applied commands, and the last index.
  std::uint64_t mHash = 0;
  std::uint64_t mApplied = 0;
  bool mPumpPlanned = false;
  bool mRestartPlanned = false;
  std::uint64_t mProcess = 0;
};

struct Planned
{
  TimePoint mWhen;
  std::uint64_t mOrder;
  std::function<void()> mRun;

  bool operator>(const Planned& aOther) const
  {
    return std::tie(mWhen, mOrder) > std::tie(aOther.mWhen, aOther.mOrder);
  }
};

struct Applied
{
  std::string mCommand;
  std::uint64_t mHash = 0;
};

class World
{
public:
  World(const Chart& aChart, std::uint64_t aSeed, bool aTrace)
    : mChart(aChart)
    , mRng(aSeed)
    , mSeed(aSeed)
    , mTracing(aTrace)
  {
  }

  ScheduleResult Run()
  {
    Prepare();
    mNow = kStart;
    PlanFault();
    PlanClient();
    PlanCheck();
    RunUntil(kStart + kFaultTime);
    EndFaults();
    RunUntil(mNow + kQuietTime);
    CheckEnd();
    for (auto& host : mHosts) {
      if (host->mMember) {
        host->mMember->FailAll();
      }
    }
    return std::move(mResult);
  }

private:
  static constexpr TimePoint kStart{ seconds(100) };

  std::uint64_t Random(std::uint64_t aBelow) { return mRng() % aBelow; }
  bool Chance(int aPercent) { return Random(100) < static_cast<std::uint64_t>(aPercent); }
  Duration RandomTime(Duration aLow, Duration aHigh)
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

  void Violate(const std::string& aWhat)
  {
    if (mResult.mFailure.empty()) {
      Trace("VIOLATION {}", aWhat);
      mResult.mFailure =
        fmt::format("seed {}: at {} ms: {}", mSeed, (mNow - kStart).count() / 1000, aWhat);
    }
  }

  void Plan(Duration aAfter, std::function<void()> aRun)
  {
    mPlans.push({ mNow + aAfter, mNextOrder++, std::move(aRun) });
  }

  TimePoint Local(const Host& aHost) const
  {
    const auto elapsed = static_cast<double>((mNow - kStart).count());
    return kStart + aHost.mClockStart +
           Duration(static_cast<std::int64_t>(elapsed * aHost.mClockRate));
  }

  static SocketAddress Address(std::size_t aHost)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(aHost + 1) };
  }

  void Prepare()
  {
    constexpr int kVoterChoices[] = { 1, 2, 3, 3, 3, 3, 4, 5, 5 };
    const int voters = kVoterChoices[Random(std::size(kVoterChoices))];
    const int hosts = std::min<int>(kMaxHosts, voters + static_cast<int>(Random(3)));
    mLossPercent = Chance(50) ? 0 : static_cast<int>(Random(25));
    mRepeatPercent = Chance(50) ? 0 : static_cast<int>(Random(10));
    mMaxDelay = milliseconds(1 + Random(Chance(70) ? 15 : 150));
    mFaultInterval = milliseconds(100 + Random(2000));
    // With few proposals a member that was cut off stays up to date, which tests promises not to
    // vote.
    mClientInterval = milliseconds(Chance(50) ? 60 : 600);
    std::vector<LogMember> members;
    for (int i = 0; i < hosts; ++i) {
      auto host = std::make_unique<Host>(mRng());
      host->mClockStart = milliseconds(Random(1'000'000));
      host->mClockRate = 0.99 + 0.0001 * static_cast<double>(Random(201));
      mHosts.push_back(std::move(host));
      mNow = kStart;
      Start(static_cast<std::size_t>(i));
      if (i < voters) {
        members.push_back({ mHosts.back()->mIdentity, Address(mHosts.size() - 1) });
      }
    }
    Trace("{} voters, {} hosts, loss {}%, repeat {}%, delay up to {} ms",
          voters,
          hosts,
          mLossPercent,
          mRepeatPercent,
          mMaxDelay.count() / 1000);
    // As in production one member writes the first list and the others receive it.
    if (auto formed = mHosts[0]->mMember->Form(members, Local(*mHosts[0])); !formed) {
      Violate(formed.error().mMessage);
    }
    mBlocked.assign(mHosts.size(), std::vector<bool>(mHosts.size(), false));
  }

  MemberSettings Settings()
  {
    MemberSettings settings;
    // Shorter times than in production, so that a schedule holds more elections.
    settings.mRaft.mElection = milliseconds(250);
    settings.mRaft.mHeartbeat = milliseconds(50);
    settings.mRaft.mBatchEntries = 1 + mSeed % 16;
    settings.mRaft.mInFlight = 1 + mSeed % 5;
    settings.mRaft.mUncommittedEntries = 40;
    settings.mRaft.mChunkBytes = 24;
    settings.mRaft.mCaughtUpEntries = 10;
    settings.mRaft.mKeptEntries = mSeed % 30;
    settings.mSnapshotEntries = 10 + mSeed % 50;
    settings.mTimeout = seconds(2);
    settings.mSeed = mRng();
    return settings;
  }

  // The state as bytes. Padded, so that a snapshot takes several chunks.
  static std::string Encode(const Host& aHost)
  {
    return fmt::format("{:020} {:020} {:>60}", aHost.mApplied, aHost.mHash, "");
  }

  StateMachine Machine(std::size_t aHost)
  {
    StateMachine machine;
    machine.mApply = [this, aHost](std::uint64_t aIndex, std::string_view aCommand) {
      return OnApply(aHost, aIndex, aCommand);
    };
    machine.mSnapshot = [this, aHost] { return Encode(*mHosts[aHost]); };
    machine.mRestore = [this, aHost](std::string_view aData) -> Expected<void> {
      Host& host = *mHosts[aHost];
      host.mApplied = std::strtoull(std::string(aData.substr(0, 20)).c_str(), nullptr, 10);
      host.mHash = std::strtoull(std::string(aData.substr(21, 20)).c_str(), nullptr, 10);
      if (host.mApplied > 0 && HashAt(host.mApplied) != host.mHash) {
        Violate(fmt::format("host {} restored another state at {}", aHost, host.mApplied));
      }
      ++mResult.mSnapshotsInstalled;
      return {};
    };
    return machine;
  }

  // The hash chain after aIndex, by the first member that applied it.
  std::uint64_t HashAt(std::uint64_t aIndex) const
  {
    const auto found = mApplied.upper_bound(aIndex);
    return found == mApplied.begin() ? 0 : std::prev(found)->second.mHash;
  }

  std::string OnApply(std::size_t aHost, std::uint64_t aIndex, std::string_view aCommand)
  {
    Host& host = *mHosts[aHost];
    if (aIndex <= host.mApplied) {
      Violate(fmt::format("host {} applied {} after {}", aHost, aIndex, host.mApplied));
    }
    host.mApplied = aIndex;
    host.mHash = XXH3_64bits_withSeed(aCommand.data(), aCommand.size(), host.mHash ^ aIndex);
    const auto found = mApplied.find(aIndex);
    if (found == mApplied.end()) {
      if (!mApplied.empty() && mApplied.rbegin()->first > aIndex) {
        Violate(fmt::format("host {} applied a command at {}, others none", aHost, aIndex));
      }
      if (mNotRun.contains(std::string(aCommand))) {
        Violate(fmt::format("{} was reported as not run and applied at {}", aCommand, aIndex));
      }
      if (!mRan.insert(std::string(aCommand)).second) {
        Violate(fmt::format("{} was applied twice", aCommand));
      }
      mApplied[aIndex] = { std::string(aCommand), host.mHash };
    } else if (found->second.mHash != host.mHash) {
      Violate(fmt::format("host {} applied '{}' at {}, another '{}'",
                          aHost,
                          aCommand,
                          aIndex,
                          found->second.mCommand));
    }
    return fmt::format("{}", aIndex);
  }

  void Start(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    ++host.mProcess;
    host.mRestartPlanned = false;
    host.mApplied = 0;
    host.mHash = 0;
    auto storage = Storage::Open(host.mDisk.Ops(), "/data", fmt::format("c{}", aHost), mRng());
    if (!storage) {
      if (host.mDisk.Crashed() || storage.error().mResult == Result::StorageFailed) {
        Crash(aHost);
      } else if (storage.error().mResult == Result::DiskFull) {
        PlanRestart(aHost);
      } else {
        Violate(fmt::format("host {} cannot start: {}", aHost, storage.error().mMessage));
      }
      return;
    }
    host.mIdentity = (*storage)->Identity();
    auto member = RaftMember::Open(
      Settings(),
      mChart,
      std::move(*storage),
      Machine(aHost),
      [this, aHost](RaftMessage aMessage) { SendFrom(aHost, std::move(aMessage)); },
      Local(host));
    if (!member) {
      Violate(fmt::format("host {} cannot start: {}", aHost, member.error().mMessage));
      return;
    }
    host.mMember = std::move(*member);
    Trace("host {} started as {} with {} entries",
          aHost,
          host.mIdentity,
          RaftLastIndex(host.mMember->Core()));
    PlanTick(aHost, host.mProcess);
  }

  void PlanRestart(std::size_t aHost)
  {
    if (!mHosts[aHost]->mRestartPlanned) {
      mHosts[aHost]->mRestartPlanned = true;
      const Duration longest = Chance(50) ? milliseconds(50) : seconds(3);
      const Duration after = mQuiet ? milliseconds(10) : RandomTime(milliseconds(1), longest);
      Plan(after, [this, aHost] { Start(aHost); });
    }
  }

  // Ends the process of a host, with or without its power.
  void Crash(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    ++host.mProcess;
    ++mResult.mCrashes;
    if (host.mMember) {
      host.mMember->FailAll();
      host.mMember.reset();
    }
    const bool power = Chance(60);
    Trace("host {} crashes{}", aHost, power ? " and loses power" : "");
    if (power) {
      host.mDisk.LosePower();
    } else {
      host.mDisk.EndProcess();
    }
    if (!mQuiet && Chance(10)) {
      host.mDisk.CrashAt(host.mDisk.Operations() + 1 + Random(12));
    }
    PlanRestart(aHost);
  }

  void PlanTick(std::size_t aHost, std::uint64_t aProcess)
  {
    Plan(RandomTime(kTick / 2, kTick), [this, aHost, aProcess] {
      Host& host = *mHosts[aHost];
      if (host.mMember == nullptr || host.mProcess != aProcess) {
        return;
      }
      host.mMember->Tick(Local(host));
      Pump(aHost);
      PlanTick(aHost, aProcess);
    });
  }

  void Pump(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (host.mMember == nullptr) {
      return;
    }
    const auto pumped = host.mMember->Pump(Local(host));
    if (!pumped) {
      Trace("host {} failed: {}", aHost, pumped.error().mMessage);
      if (pumped.error().mResult == Result::StorageCorrupt) {
        Violate(pumped.error().mMessage);
      }
      Crash(aHost);
      return;
    }
    CheckLeader(aHost);
  }

  // Several inputs may share one pump, as in the loop.
  void PumpSoon(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (Chance(50)) {
      Pump(aHost);
    } else if (!host.mPumpPlanned) {
      host.mPumpPlanned = true;
      Plan(RandomTime(Duration(0), milliseconds(3)), [this, aHost] {
        mHosts[aHost]->mPumpPlanned = false;
        Pump(aHost);
      });
    }
  }

  void SendFrom(std::size_t aHost, RaftMessage aMessage)
  {
    std::optional<std::size_t> target;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      // An old identity leads to the host that now has another one.
      if (aMessage.mTo.starts_with(fmt::format("c{}.", i))) {
        target = i;
      }
    }
    if (!target || (!mQuiet && Chance(mLossPercent))) {
      return;
    }
    const auto shared = std::make_shared<RaftMessage>(std::move(aMessage));
    const int copies = !mQuiet && Chance(mRepeatPercent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Duration delay = RandomTime(Duration(100), mMaxDelay);
      if (!mQuiet && Chance(1)) {
        delay = RandomTime(milliseconds(1), seconds(5));
      }
      Plan(delay, [this, aHost, target = *target, shared] { Deliver(aHost, target, *shared); });
    }
  }

  void Deliver(std::size_t aFrom, std::size_t aTo, const RaftMessage& aMessage)
  {
    Host& host = *mHosts[aTo];
    if (host.mMember == nullptr || mBlocked[aFrom][aTo]) {
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
    host.mMember->Receive(aMessage, Local(host));
    PumpSoon(aTo);
  }

  void CheckLeader(std::size_t aHost)
  {
    const Host& host = *mHosts[aHost];
    const Raft& core = host.mMember->Core();
    if (core.mChartFaults > 0) {
      Violate(fmt::format("host {} met an event that the chart forbids", aHost));
    }
    if (core.mRole != RaftRole::Leader) {
      return;
    }
    const auto [known, added] = mLeaders.emplace(core.mVote.mTerm, host.mIdentity);
    if (added) {
      ++mResult.mElections;
      Trace("host {} leads term {}", aHost, core.mVote.mTerm);
    } else if (known->second != host.mIdentity) {
      Violate(fmt::format("two leaders in term {}", core.mVote.mTerm));
    }
    int leading = 0;
    for (const auto& other : mHosts) {
      leading += other->mMember && RaftLeading(other->mMember->Core(), Local(*other)) ? 1 : 0;
    }
    if (leading > 1) {
      Violate(fmt::format("{} members act as the leader", leading));
    }
  }

  // Log matching: an entry with equal index and term is equal and follows an equal entry.
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
        const auto [known, added] = mEntries.emplace(std::pair(entry.mIndex, entry.mTerm), hash);
        if (!added && known->second != hash) {
          Violate(fmt::format("host {} has another entry {}/{}", i, entry.mIndex, entry.mTerm));
        }
        before = entry.mTerm;
      }
    }
  }

  void PlanCheck()
  {
    Plan(milliseconds(500), [this] {
      CheckLogs();
      PlanCheck();
    });
  }

  void PlanClient()
  {
    Plan(RandomTime(milliseconds(1), mClientInterval), [this] {
      const std::size_t host = LikelyLeader();
      if (mHosts[host]->mMember != nullptr) {
        if (Chance(60)) {
          Propose(host);
        } else {
          Read(Chance(50) ? host : Random(mHosts.size()));
        }
      }
      PlanClient();
    });
  }

  // Mostly a member that takes itself for the leader, so that most proposals are accepted.
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
          Violate(command + " was reported twice");
        }
        OnOutcome(command, aOutcome);
      },
      Local(*mHosts[aHost]));
    PumpSoon(aHost);
  }

  void OnOutcome(const std::string& aCommand, const Expected<std::string>& aOutcome)
  {
    if (aOutcome) {
      const std::uint64_t index = std::strtoull(aOutcome->c_str(), nullptr, 10);
      const auto found = mApplied.find(index);
      if (found == mApplied.end() || found->second.mCommand != aCommand) {
        Violate(aCommand + " was acknowledged and is not applied");
      }
      ++mResult.mAcknowledged;
      mFloor = std::max(mFloor, index);
    } else if (!Describe(aOutcome.error().mResult).mMayHaveRun) {
      if (mRan.contains(aCommand)) {
        Violate(aCommand + " ran and was reported as not run");
      }
      mNotRun.insert(aCommand);
    }
  }

  void Read(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (host.mMember == nullptr) {
      return;
    }
    const std::uint64_t floor = mFloor;
    host.mMember->ReadBarrier(
      [this, aHost, floor](const Expected<void>& aDone) {
        if (!aDone) {
          return;
        }
        ++mResult.mReads;
        const Host& reader = *mHosts[aHost];
        if (reader.mApplied < floor) {
          Violate(
            fmt::format("stale read on host {}: {} before {}", aHost, reader.mApplied, floor));
        }
        mFloor = std::max(mFloor, reader.mApplied);
      },
      Local(host));
    PumpSoon(aHost);
  }

  void PlanFault()
  {
    Plan(RandomTime(milliseconds(1), mFaultInterval), [this] {
      if (!mQuiet) {
        Fault();
        PlanFault();
      }
    });
  }

  void Fault()
  {
    const std::size_t host = Chance(40) ? LikelyLeader() : Random(mHosts.size());
    switch (Random(14)) {
      case 0:
      case 1:
        return Partition(host);
      case 2:
        Trace("the network heals");
        return Unblock();
      case 3:
        if (mHosts[host]->mMember) {
          Crash(host);
        }
        return;
      case 4:
      case 5:
        Trace("host {} will crash at an operation of its disk", host);
        mHosts[host]->mDisk.CrashAt(mHosts[host]->mDisk.Operations() + 1 + Random(8));
        return;
      case 6:
        mHosts[host]->mDisk.FailAt(mHosts[host]->mDisk.Operations() + 1 + Random(8), EIO);
        return;
      case 7:
        return FillDisk(host);
      case 8:
        return LoseDisk(host);
      default:
        return ChangeMembers(LikelyLeader());
    }
  }

  void Unblock()
  {
    for (auto& row : mBlocked) {
      std::fill(row.begin(), row.end(), false);
    }
  }

  void Partition(std::size_t aHost)
  {
    Unblock();
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
      // 0: cut off; 1: hears nothing; 2: is not heard; 3: single directions; 4: two sides;
      // 5: one pair.
      mBlocked[i][aHost] =
        kind == 0 || kind == 1 || (kind == 3 && Chance(50)) || (kind == 5 && i == pair);
      mBlocked[aHost][i] =
        kind == 0 || kind == 2 || (kind == 3 && Chance(50)) || (kind == 5 && i == pair);
      for (std::size_t j = 0; kind == 4 && j < mHosts.size(); ++j) {
        mBlocked[i][j] = side[i] != side[j];
        mBlocked[j][i] = side[i] != side[j];
      }
    }
  }

  void FillDisk(std::size_t aHost)
  {
    MemoryDisk& disk = mHosts[aHost]->mDisk;
    disk.SetCapacity(disk.Used() + Random(400));
    Trace("the disk of host {} fills up", aHost);
    Plan(RandomTime(milliseconds(100), seconds(4)), [&disk] { disk.SetCapacity(UINT64_MAX); });
  }

  // The protocol survives the loss of one voter's disk out of three or more, until that voter is
  // replaced. Checks every member list that a member holds, since any of them may be in effect.
  bool MayLoseDisk(std::size_t aHost) const
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
    // Before the first commit the member list may be on this disk only.
    return mResult.mAcknowledged > 0 && mHosts[aHost]->mMember->Formed();
  }

  void LoseDisk(std::size_t aHost)
  {
    Host& host = *mHosts[aHost];
    if (!MayLoseDisk(aHost)) {
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
    const TimePoint now = Local(leader);
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
      const std::string& victim = members[Random(members.size())].mId;
      Trace("host {}: remove {}", aLeader, victim);
      leader.mMember->Remove(victim, done, now);
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
    mQuiet = true;
    mMaxDelay = std::min<Duration>(mMaxDelay, milliseconds(20));
    Unblock();
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      mHosts[i]->mDisk.CrashAt(0);
      mHosts[i]->mDisk.FailAt(0, 0);
      mHosts[i]->mDisk.SetCapacity(UINT64_MAX);
      if (mHosts[i]->mMember == nullptr) {
        PlanRestart(i);
      }
    }
    mAcknowledgedBeforeQuiet = mResult.mAcknowledged;
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
      Trace("host {}: {} of term {}, log {} to {}, committed {}, list at {}: {}{}",
            i,
            RoleName(core.mRole),
            core.mVote.mTerm,
            core.mBase.mIndex,
            RaftLastIndex(core),
            core.mCommitted,
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
    if (mResult.mAcknowledged == mAcknowledgedBeforeQuiet) {
      Violate("no change was accepted after the faults ended");
    }
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      const Host& host = *mHosts[i];
      if (host.mMember == nullptr) {
        Violate(fmt::format("host {} did not restart", i));
      } else if (host.mMember->Core().mRole == RaftRole::Leader) {
        // Until the first entry of its term is committed, a leader may not have applied all that it
        // holds; it answers no reads before.
        const Raft& core = host.mMember->Core();
        const bool settled = RaftTermAt(core, core.mCommitted) == core.mVote.mTerm;
        if (RaftLastIndex(core) < mFloor || (settled && host.mApplied < mFloor)) {
          Violate(fmt::format("the leader lacks acknowledged commands after {}", host.mApplied));
        }
      }
    }
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!mPlans.empty() && mPlans.top().mWhen <= aEnd && mResult.mFailure.empty()) {
      const Planned plan = mPlans.top();
      mPlans.pop();
      mNow = plan.mWhen;
      ++mResult.mEvents;
      plan.mRun();
      // The quiet time ends early once the group works again.
      if (mQuiet && mResult.mAcknowledged > mAcknowledgedBeforeQuiet + 5 && AllUp()) {
        return;
      }
    }
    mNow = std::max(mNow, aEnd);
  }

  const Chart& mChart;
  Rng mRng;
  const std::uint64_t mSeed;
  const bool mTracing;
  TimePoint mNow = kStart;
  std::priority_queue<Planned, std::vector<Planned>, std::greater<>> mPlans;
  std::uint64_t mNextOrder = 0;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<std::vector<bool>> mBlocked;
  int mLossPercent = 0;
  int mRepeatPercent = 0;
  Duration mMaxDelay{};
  Duration mFaultInterval{};
  Duration mClientInterval{};
  bool mQuiet = false;
  std::uint64_t mNextCommand = 1;
  std::uint64_t mFloor = 0;
  std::uint64_t mAcknowledgedBeforeQuiet = 0;
  std::map<std::uint64_t, Applied> mApplied;
  std::set<std::string> mNotRun;
  std::set<std::string> mRan;
  std::set<std::string> mLostIdentities;
  std::map<std::uint64_t, std::string> mLeaders;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> mEntries;
  ScheduleResult mResult;
};

} // namespace

ScheduleResult
RunSchedule(const Chart& aChart, std::uint64_t aSeed, bool aTrace)
{
  return World(aChart, aSeed, aTrace).Run();
}

} // namespace apricotyard
