// Guards against entry hosts that together use more slots of a replica than it has, and against
// replicas that no host uses. Set APRICOT_FIGURES=1 to print the measured values.
#include "property.h"
#include "shares.h"

#include <chrono>
#include <deque>

#include <cppunit/TestFixture.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace apricotyard;

namespace {

struct CollectionSize
{
  const char* mName;
  std::uint32_t mServices;
  std::uint32_t mReplicas;
  std::uint32_t mSlots;
  std::uint32_t mConnections;
  bool mKestane;
};

// Collection sizes from the table in section 1.3 of the design.
constexpr CollectionSize kSizes[] = {
  { "inspection-desk", 10, 3, 5, 40, true }, { "course-scheduling", 15, 3, 5, 40, true },
  { "logbook-portal", 1, 40, 2, 110, true }, { "dues", 1, 20, 2, 110, true },
  { "deal-desk", 10, 3, 2, 25, false },      { "partner-portal", 15, 3, 2, 25, false },
  { "invoice-viewer", 1, 5, 4, 40, false },  { "offer-drafts", 1, 4, 4, 40, false },
};

bool
PrintsMeasurements()
{
  return std::getenv("APRICOT_FIGURES") != nullptr;
}

ShareGroup
MakeGroup(const CollectionSize& aSize)
{
  ShareGroup group{ aSize.mName, {} };
  for (std::uint32_t service = 0; service < aSize.mServices; ++service) {
    for (std::uint32_t replica = 0; replica < aSize.mReplicas; ++replica) {
      const std::string name = fmt::format("{}-{}", aSize.mName, service);
      group.mReplicas.push_back(
        { fmt::format("{}-{:02}", name, replica), name, 1, 0, aSize.mSlots, aSize.mConnections });
    }
  }
  std::sort(group.mReplicas.begin(), group.mReplicas.end());
  return group;
}

RosterEpoch
MakeRoster(std::size_t aHosts, std::size_t aCentres, std::uint64_t aEpoch = 0)
{
  RosterEpoch roster{ aEpoch, {} };
  for (std::size_t i = 0; i < aHosts; ++i) {
    roster.mHosts.push_back({ fmt::format("entry-{}", i + 1), fmt::format("dc-{}", i % aCentres) });
  }
  return roster;
}

// Returns the owner of each slot. Fails the test if a slot has two owners.
std::map<std::string, std::string>
Owners(const Layout& aLayout)
{
  std::map<std::string, std::string> owners;
  for (const auto& [host, slots] : aLayout.mByHost) {
    for (const auto& [replica, numbers] : slots) {
      for (const std::uint32_t number : numbers) {
        CPPUNIT_ASSERT(owners.emplace(fmt::format("{}#{}", replica, number), host).second);
      }
    }
  }
  return owners;
}

// Checks all guarantees of ComputeLayout, HomeHosts and ConnectionShare. Returns the number of
// slots of each home host.
std::vector<std::uint32_t>
CheckLayout(const CollectionSize& aSize, const ShareGroup& aGroup, const RosterEpoch& aRoster)
{
  const Layout layout = ComputeLayout(aGroup, aRoster);
  const std::string name = fmt::format("{} on {} hosts", aSize.mName, aRoster.mHosts.size());
  const std::uint32_t perShard = aSize.mReplicas * aSize.mSlots;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    name, std::min<std::size_t>(aRoster.mHosts.size(), perShard / 2), layout.mHomes.size());
  std::set<std::string> centres;
  for (const ShareHost& home : layout.mHomes) {
    centres.insert(home.mDataCentre);
  }
  CPPUNIT_ASSERT_MESSAGE(name, centres.size() >= 2);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    name, std::size_t{ aSize.mServices } * perShard, Owners(layout).size());
  std::vector<std::uint32_t> perHost;
  std::map<std::string, std::uint32_t> connections;
  for (const ShareHost& home : layout.mHomes) {
    std::map<std::string, std::uint32_t> shardSlots;
    std::map<std::string, std::uint32_t> shardReplicas;
    std::uint32_t total = 0;
    const SlotMap& slots = layout.mByHost.at(home.mName);
    for (const ShareReplica& replica : aGroup.mReplicas) {
      const auto held = slots.find(replica.mId);
      if (held == slots.end()) {
        continue;
      }
      const auto count = static_cast<std::uint32_t>(held->second.size());
      shardSlots[replica.mService] += count;
      ++shardReplicas[replica.mService];
      connections[replica.mId] += ConnectionShare(replica.mConnections, replica.mSlots, count);
      total += count;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{ aSize.mServices }, shardSlots.size());
    for (const auto& [service, count] : shardSlots) {
      CPPUNIT_ASSERT_MESSAGE(name, count >= 2 && shardReplicas[service] >= 2);
    }
    perHost.push_back(total);
  }
  for (const auto& [replica, count] : connections) {
    CPPUNIT_ASSERT_MESSAGE(name, count <= aSize.mConnections * 3 / 4);
  }
  return perHost;
}

double
MovedFraction(const ShareGroup& aGroup, const RosterEpoch& aBefore, const RosterEpoch& aAfter)
{
  const auto before = Owners(ComputeLayout(aGroup, aBefore));
  const auto after = Owners(ComputeLayout(aGroup, aAfter));
  std::size_t moved = 0;
  for (const auto& [slot, host] : after) {
    moved += before.at(slot) == host ? 0 : 1;
  }
  return static_cast<double>(moved) / static_cast<double>(after.size());
}

// ---- Agreement under random schedules ----------------------------------------------------------

struct SimShareHost
{
  ShareState mState;
  bool mUp = true;
  // A lagging host neither sends nor receives, but continues to use its slots until its lease
  // expires.
  bool mLagging = false;
  std::size_t mEpochIndex = 0;
  std::vector<ShareReplica> mReplicas;
};

struct Message
{
  int mFrom = 0;
  int mTo = 0;
  std::uint64_t mIncarnation = 0;
  std::vector<ViewReport> mReports;
};

// Simulates control and hosts whose reports are arbitrarily delayed, reordered, duplicated or lost.
class ShareSchedule
{
public:
  // With few hosts, frequent changes are needed so that a layout often recurs while old reports are
  // still in transit. With more hosts, most steps must exchange reports, or no layout is ever
  // confirmed by all hosts.
  explicit ShareSchedule(std::uint64_t aSeed)
    : mCount(2 + static_cast<int>(aSeed % 4))
    , mStepRange(mCount == 2   ? 40
                 : mCount == 3 ? 100
                               : 400)
    , mRng(aSeed)
  {
    mNames.mByCollection["desk"] = "desk";
    mNames.mByService["a"] = mNames.mByService["b"] = "desk";
    for (int i = 0; i < 6; ++i) {
      mAllReplicas.push_back(
        { fmt::format("r{}", i), i < 3 ? "a" : "b", 1, 0, 2 + std::uint32_t(i % 3), 9 });
    }
    mHosts.resize(mCount);
    for (int i = 0; i < mCount; ++i) {
      mHosts[i].mReplicas = mAllReplicas;
      Restart(i);
    }
    mEpochs.push_back(MakeRoster(mCount, 3, 1));
    for (int i = 0; i < mCount; ++i) {
      Apply(i);
    }
  }

  void Step()
  {
    const int host = static_cast<int>(mRng() % mCount);
    SimShareHost& chosen = mHosts[host];
    switch (mRng() % mStepRange) {
      case 0:
        // A replica appears on or disappears from one host. The other hosts see the change at
        // another time.
        if (mRng() % 2 == 0 && chosen.mReplicas.size() > 1) {
          chosen.mReplicas.erase(chosen.mReplicas.begin() + mRng() % 2);
        } else {
          chosen.mReplicas = mAllReplicas;
        }
        Apply(host);
        break;
      case 1:
        Restart(host);
        Apply(host);
        break;
      case 2:
        chosen.mLagging = mRng() % 3 == 0;
        break;
      case 3:
        ChangeRoster();
        break;
      case 4:
      case 5:
      case 8:
      case 9:
      case 10:
      case 11:
        // Sync: the host receives the newest epoch and confirms it.
        if (!chosen.mLagging) {
          chosen.mEpochIndex = mEpochs.size() - 1;
          Apply(host);
        }
        break;
      case 6:
      case 12:
      case 13:
        SettleEpoch();
        break;
      case 7:
      case 14:
        for (SimShareHost& other : mHosts) {
          other.mReplicas = mAllReplicas;
        }
        for (int i = 0; i < mCount; ++i) {
          Apply(i);
        }
        break;
      default:
        Exchange();
        break;
    }
  }

  // Checks that at most one running host uses each slot. Returns the number of used slots.
  std::size_t CheckUsage(std::uint64_t aSeed) const
  {
    std::set<std::string> used;
    for (const SimShareHost& host : mHosts) {
      if (!host.mUp) {
        continue;
      }
      for (const auto& [replica, slots] : host.mState.mGroups.at("desk").mUsed) {
        for (const std::uint32_t slot : slots) {
          CPPUNIT_ASSERT_MESSAGE(
            fmt::format("seed {}: slot {}#{} used twice", aSeed, replica, slot),
            used.insert(fmt::format("{}#{}", replica, slot)).second);
        }
      }
    }
    return used.size();
  }

  // Ends all faults and differences in views, and returns the number of used slots, which must be
  // all of them.
  std::size_t SlotsAfterRecovery()
  {
    for (int i = 0; i < mCount; ++i) {
      SimShareHost& host = mHosts[i];
      host.mLagging = false;
      host.mReplicas = mAllReplicas;
      host.mEpochIndex = mEpochs.size() - 1;
      Apply(i);
    }
    mSettled = true;
    mMessages.clear();
    for (int round = 0; round < 3; ++round) {
      for (int from = 0; from < mCount; ++from) {
        Apply(from);
        for (int to = 0; to < mCount; ++to) {
          if (from != to) {
            Receive({ from,
                      to,
                      mHosts[from].mState.mIncarnation,
                      ReportsFor(mHosts[from].mState, Name(to)) });
          }
        }
      }
    }
    std::size_t used = 0;
    for (const SimShareHost& host : mHosts) {
      for (const auto& [replica, slots] : host.mState.mGroups.at("desk").mUsed) {
        used += slots.size();
      }
    }
    return used;
  }

  std::size_t TotalSlots() const
  {
    std::size_t total = 0;
    for (const ShareReplica& replica : mAllReplicas) {
      total += replica.mSlots;
    }
    return total;
  }

private:
  static std::string Name(int aHost) { return fmt::format("entry-{}", aHost + 1); }

  void Restart(int aHost)
  {
    SimShareHost& host = mHosts[aHost];
    const std::uint64_t incarnation = host.mState.mIncarnation + 1;
    host.mState = {};
    host.mState.mHost = Name(aHost);
    host.mState.mIncarnation = incarnation;
  }

  void Apply(int aHost)
  {
    SimShareHost& host = mHosts[aHost];
    const bool pending =
      !mSettled && host.mEpochIndex > 0 && host.mEpochIndex + 1 == mEpochs.size();
    SetView(host.mState,
            MakeGroups(mNames, host.mReplicas),
            mEpochs[host.mEpochIndex],
            pending ? &mEpochs[host.mEpochIndex - 1] : nullptr);
  }

  // At most one epoch is pending at a time.
  void ChangeRoster()
  {
    if (!mSettled) {
      return;
    }
    RosterEpoch next = MakeRoster(mCount, 3, mEpochs.back().mEpoch + 1);
    while (next.mHosts.size() > 2 && mRng() % 2 == 0) {
      next.mHosts.erase(next.mHosts.begin() + mRng() % next.mHosts.size());
    }
    mEpochs.push_back(next);
    mSettled = false;
  }

  // Control settles an epoch once every host has confirmed it. A host that lags is skipped only
  // after its lease has expired, which ends its use of slots.
  void SettleEpoch()
  {
    if (mSettled) {
      return;
    }
    for (int i = 0; i < mCount; ++i) {
      SimShareHost& host = mHosts[i];
      if (host.mEpochIndex + 1 == mEpochs.size()) {
        continue;
      }
      if (!host.mLagging || mRng() % 4 != 0) {
        return;
      }
      // The lease has expired. The host serves again only after a new sync and with a new
      // incarnation.
      Restart(i);
      host.mEpochIndex = mEpochs.size() - 1;
      Apply(i);
    }
    mSettled = true;
  }

  void Exchange()
  {
    if (mMessages.empty() || mRng() % 3 == 0) {
      const int from = static_cast<int>(mRng() % mCount);
      const int to = static_cast<int>(mRng() % mCount);
      if (from != to && !mHosts[from].mLagging) {
        mMessages.push_back({ from,
                              to,
                              mHosts[from].mState.mIncarnation,
                              ReportsFor(mHosts[from].mState, Name(to)) });
      }
      return;
    }
    const std::size_t index = mRng() % mMessages.size();
    const Message message = mMessages[index];
    // Some messages are delivered twice, some never.
    if (mRng() % 8 != 0) {
      mMessages.erase(mMessages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (mRng() % 8 != 0) {
      Receive(message);
    }
  }

  void Receive(const Message& aMessage)
  {
    if (!mHosts[aMessage.mTo].mLagging) {
      OnReports(mHosts[aMessage.mTo].mState,
                Name(aMessage.mFrom),
                aMessage.mIncarnation,
                aMessage.mReports);
    }
  }

  const int mCount;
  const std::uint64_t mStepRange;
  Rng mRng;
  GroupNames mNames;
  std::vector<ShareReplica> mAllReplicas;
  std::vector<SimShareHost> mHosts;
  std::vector<RosterEpoch> mEpochs;
  bool mSettled = true;
  std::deque<Message> mMessages;
};

} // namespace

class SharesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharesTest);
  CPPUNIT_TEST(BothDeploymentsAreDividedCompletely);
  CPPUNIT_TEST(SlotsStayIfHomeHostsStay);
  CPPUNIT_TEST(AnyGroupIsDividedCompletely);
  CPPUNIT_TEST(CollectionsThatShareAServiceShareAGroup);
  CPPUNIT_TEST(RandomSchedulesNeverExceedALimit);
  CPPUNIT_TEST(OldConfirmationsDoNotCount);
  CPPUNIT_TEST(DividesDeploymentOfTargetSize);
  CPPUNIT_TEST_SUITE_END();

public:
  void BothDeploymentsAreDividedCompletely()
  {
    for (const CollectionSize& size : kSizes) {
      for (std::size_t hosts = 6; hosts <= 9; ++hosts) {
        const auto perHost =
          CheckLayout(size, MakeGroup(size), MakeRoster(hosts, size.mKestane ? 3 : 4));
        if (PrintsMeasurements()) {
          fmt::print("{} on {} hosts: {} home hosts, slots of each: {}\n",
                     size.mName,
                     hosts,
                     perHost.size(),
                     fmt::join(perHost, " "));
        }
      }
    }
  }

  // Guards against roster changes that move slots of collections whose home hosts stay the same.
  void SlotsStayIfHomeHostsStay()
  {
    for (const CollectionSize& size : kSizes) {
      const ShareGroup group = MakeGroup(size);
      std::vector<std::string> moved;
      for (std::size_t hosts = 6; hosts <= 8; ++hosts) {
        const std::size_t centres = size.mKestane ? 3 : 4;
        const RosterEpoch before = MakeRoster(hosts, centres);
        const RosterEpoch after = MakeRoster(hosts + 1, centres);
        const double fraction = MovedFraction(group, before, after);
        moved.push_back(fmt::format("{}->{} {:.0f}%", hosts, hosts + 1, fraction * 100));
        if (HomeHosts(group, before) == HomeHosts(group, after)) {
          CPPUNIT_ASSERT_EQUAL(0.0, fraction);
        }
      }
      if (PrintsMeasurements()) {
        fmt::print("{}: slots that move when a host joins or leaves: {}\n",
                   size.mName,
                   fmt::join(moved, ", "));
      }
    }
  }

  void AnyGroupIsDividedCompletely()
  {
    CheckProperty("every slot has one owner, and hosts of a shard differ by at most one slot", [] {
      const auto hosts = *rc::gen::inRange<std::size_t>(1, 24);
      const RosterEpoch roster = MakeRoster(hosts, *rc::gen::inRange<std::size_t>(1, 5));
      ShareGroup group{ "g", {} };
      const int replicas = *rc::gen::inRange(1, 12);
      std::size_t slots = 0;
      for (int i = 0; i < replicas; ++i) {
        group.mReplicas.push_back({ fmt::format("r{:02}", i),
                                    fmt::format("s{}", i % 3),
                                    1,
                                    0,
                                    *rc::gen::inRange<std::uint32_t>(1, 9),
                                    40 });
        slots += group.mReplicas.back().mSlots;
      }
      const Layout layout = ComputeLayout(group, roster);
      RC_ASSERT(Owners(layout).size() == slots);
      for (const char* const service : { "s0", "s1", "s2" }) {
        std::map<std::string, std::size_t> held;
        for (const ShareHost& home : layout.mHomes) {
          held[home.mName] = 0;
        }
        for (const auto& [host, map] : layout.mByHost) {
          for (const ShareReplica& replica : group.mReplicas) {
            const auto found = map.find(replica.mId);
            if (replica.mService == service && found != map.end()) {
              held[host] += found->second.size();
            }
          }
        }
        const auto [least, most] =
          std::minmax_element(held.begin(), held.end(), [](const auto& aLeft, const auto& aRight) {
            return aLeft.second < aRight.second;
          });
        RC_ASSERT(most->second - least->second <= 1);
      }
    });
  }

  // Guards against dividing the slots of a replica twice because two collections use its service.
  void CollectionsThatShareAServiceShareAGroup()
  {
    Config config;
    config.mCollections["c"] = { "c", { "x", "y" }, "" };
    config.mCollections["a"] = { "a", { "z" }, "" };
    config.mCollections["d"] = { "d", { "y", "z" }, "" };
    config.mCollections["e"] = { "e", { "w" }, "" };
    const GroupNames names = NameGroups(config);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), names.mByCollection.at("c"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), names.mByCollection.at("d"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), names.mByService.at("x"));
    CPPUNIT_ASSERT_EQUAL(std::string("e"), names.mByCollection.at("e"));
  }

  // Hosts join, leave, restart, lag and see different replicas, and reports are lost, delayed or
  // repeated. The sum over all hosts must never exceed the slots of a replica, and all slots must
  // be used after all faults have ended.
  void RandomSchedulesNeverExceedALimit()
  {
    std::uint64_t steps = 0;
    double used = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      ShareSchedule schedule(seed);
      for (int i = 0; i < 4000; ++i, ++steps) {
        schedule.Step();
        used += static_cast<double>(schedule.CheckUsage(seed)) /
                static_cast<double>(schedule.TotalSlots());
      }
      CPPUNIT_ASSERT_EQUAL(schedule.TotalSlots(), schedule.SlotsAfterRecovery());
      schedule.CheckUsage(seed);
    }
    if (PrintsMeasurements()) {
      fmt::print(
        "{} random steps in 200 schedules: no slot used twice, {:.0f}% of the slots in use\n",
        steps,
        100 * used / static_cast<double>(steps));
    }
    // The check is meaningful only if hosts actually use slots during the schedules.
    CPPUNIT_ASSERT(used > 0.2 * static_cast<double>(steps));
  }

  // Guards against outdated confirmations: when a layout recurs while old reports are in transit,
  // two hosts must not each take the slots of a different layout.
  void OldConfirmationsDoNotCount()
  {
    const RosterEpoch roster = MakeRoster(2, 2);
    std::map<std::string, ShareGroup> x{ { "g", { "g", {} } } };
    for (int i = 0; i < 4; ++i) {
      x["g"].mReplicas.push_back({ fmt::format("r{}", i), "s", 1, 0, 3, 40 });
    }
    auto y = x;
    y["g"].mReplicas.erase(y["g"].mReplicas.begin());
    ShareState a{ "entry-1", 1, {} };
    ShareState b{ "entry-2", 1, {} };
    const auto exchange = [&] {
      for (int i = 0; i < 2; ++i) {
        OnReports(b, "entry-1", a.mIncarnation, ReportsFor(a, "entry-2"));
        OnReports(a, "entry-2", 1, ReportsFor(b, "entry-1"));
      }
    };
    SetView(a, x, roster, nullptr);
    SetView(b, x, roster, nullptr);
    exchange();
    CPPUNIT_ASSERT(a.mGroups["g"].mSettled && b.mGroups["g"].mSettled);
    const auto bAtX = ReportsFor(b, "entry-1");
    SetView(a, y, roster, nullptr);
    const auto aAtY = ReportsFor(a, "entry-2");
    SetView(a, x, roster, nullptr);
    SetView(b, y, roster, nullptr);
    // Both reports are correct, but each is older than the view that it would confirm.
    OnReports(a, "entry-2", 1, bAtX);
    OnReports(b, "entry-1", 1, aAtY);
    CPPUNIT_ASSERT(!a.mGroups["g"].mSettled);
    CPPUNIT_ASSERT(!b.mGroups["g"].mSettled);
    // A restarted host numbers its views from 1 again. Confirmations from before the restart must
    // not match them.
    SetView(b, x, roster, nullptr);
    exchange();
    CPPUNIT_ASSERT(a.mGroups["g"].mSettled && b.mGroups["g"].mSettled);
    const auto bKnowsOldA = ReportsFor(b, "entry-1");
    const std::uint64_t view = a.mGroups["g"].mView;
    a = { "entry-1", 2, {} };
    while (a.mGroups["g"].mView < view) {
      SetView(a, a.mGroups["g"].mView % 2 == view % 2 ? y : x, roster, nullptr);
    }
    CPPUNIT_ASSERT_EQUAL(b.mGroups["g"].mLayout.mHash, a.mGroups["g"].mLayout.mHash);
    OnReports(a, "entry-2", 1, bKnowsOldA);
    CPPUNIT_ASSERT(!a.mGroups["g"].mSettled);
    exchange();
    CPPUNIT_ASSERT(a.mGroups["g"].mSettled);
  }

  // 780 hosts and 4,900 replicas, in groups of 19 shards with 3 replicas of 4 slots each.
  void DividesDeploymentOfTargetSize()
  {
    const RosterEpoch roster = MakeRoster(780, 5);
    std::map<std::string, ShareGroup> groups;
    std::size_t replicas = 0;
    for (int i = 0; replicas < 4900; ++i) {
      const std::string name = fmt::format("collection-{:02}", i);
      for (int r = 0; r < 57 && replicas < 4900; ++r, ++replicas) {
        const std::string service = fmt::format("{}-{}", name, r / 3);
        groups[name].mName = name;
        groups[name].mReplicas.push_back(
          { fmt::format("{}-{}", service, r % 3), service, 1, 0, 4, 40 });
      }
    }
    const auto started = std::chrono::steady_clock::now();
    std::map<std::string, std::uint32_t> perHost;
    for (const auto& [name, group] : groups) {
      const Layout layout = ComputeLayout(group, roster);
      Owners(layout);
      for (const auto& [host, slots] : layout.mByHost) {
        for (const auto& [replica, numbers] : slots) {
          perHost[host] += static_cast<std::uint32_t>(numbers.size());
        }
      }
    }
    const auto took = std::chrono::steady_clock::now() - started;
    std::uint32_t most = 0;
    std::uint32_t total = 0;
    for (const auto& [host, slots] : perHost) {
      most = std::max(most, slots);
      total += slots;
    }
    RosterEpoch smaller = roster;
    smaller.mHosts.pop_back();
    double moved = 0;
    for (const auto& [name, group] : groups) {
      moved += MovedFraction(group, roster, smaller) / static_cast<double>(groups.size());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 4900 * 4 }, total);
    if (PrintsMeasurements()) {
      fmt::print(
        "780 hosts, 4,900 replicas in {} groups: {:.1f} slots per host on average, {} at most, "
        "{} hosts are home hosts, {:.2f}% of the slots move when one host leaves, all "
        "layouts in {:.0f} ms\n",
        groups.size(),
        total / 780.0,
        most,
        perHost.size(),
        moved * 100,
        std::chrono::duration<double, std::milli>(took).count());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharesTest);
