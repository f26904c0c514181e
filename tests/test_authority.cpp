// Guards against a host that serves an old revision after a newer one was reported in force, and
// against a loss of control that stops queries. Virtual time, random schedules with fixed seeds.
#include "authority.h"
#include "control_state.h"

#include <map>
#include <queue>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;
using std::chrono::milliseconds;

namespace {

constexpr Duration kStep = milliseconds(50);

// A clock that runs up to 1% too fast or too slow.
struct DriftingClock
{
  double mRate = 1.0;
  Duration mOffset{ 0 };

  TimePoint At(Duration aWorld) const
  {
    return TimePoint(
      mOffset + Duration(static_cast<std::int64_t>(static_cast<double>(aWorld.count()) * mRate)));
  }
};

struct SimHost
{
  HostAuthority mAuthority;
  std::uint64_t mIncarnation = 1;
  DriftingClock mClock;
  bool mUp = true;
  bool mHearsControl = true;
  // Hosts are split into two groups by a partition; messages cross it only when this is equal.
  int mSide = 0;
  Duration mNextSync{ 0 };
};

struct SimOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mHosts = 5;
  bool mFaults = true;
};

// Entry hosts and the leader of control exchange messages with random delay and loss. The log is
// taken as correct: at most one leader at a time, and a new one holds everything committed.
class Simulation
{
public:
  explicit Simulation(const SimOptions& aOptions)
    : mRng(aOptions.mSeed)
    , mOptions(aOptions)
  {
    for (std::size_t i = 0; i < aOptions.mHosts; ++i) {
      SimHost& host = mHosts[fmt::format("h{}", i)];
      host.mAuthority.mHost = fmt::format("h{}", i);
      host.mClock = RandomClock();
    }
    Elect();
  }

  // Runs until aEnd of the world's time.
  void Run(Duration aEnd)
  {
    while (mNow < aEnd) {
      mNow += Duration(milliseconds(10));
      while (!mMessages.empty() && mMessages.top().mAt <= mNow) {
        const std::function<void()> deliver = mMessages.top().mDeliver;
        mMessages.pop();
        deliver();
        Check();
      }
      if (mNow % kStep == Duration::zero()) {
        Step();
      }
      Check();
    }
  }

  void StopControl() { mLeading = false; }
  void Commit() { mNewest += 1; }
  bool Serves(const std::string& aHost)
  {
    const SimHost& host = mHosts.at(aHost);
    return host.mUp && MayServe(host.mAuthority, host.mClock.At(mNow));
  }

  std::map<std::string, SimHost> mHosts;
  Revision mNewest = 1;
  Revision mReported = 0;
  std::uint64_t mServedByWitnesses = 0;
  std::uint64_t mGaps = 0;
  std::uint64_t mSettles = 0;
  bool mElectLeaders = true;

private:
  struct Message
  {
    Duration mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mDeliver;
    bool operator<(const Message& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  std::uint64_t Pick(std::uint64_t aEnd) { return mRng() % aEnd; }
  bool Chance(std::uint64_t aOneIn) { return mOptions.mFaults && Pick(aOneIn) == 0; }

  DriftingClock RandomClock()
  {
    return { 0.99 + 0.02 * static_cast<double>(Pick(1001)) / 1000.0,
             milliseconds(1000 + Pick(100'000)) };
  }

  // Most messages take milliseconds; some are delayed by seconds.
  void Send(std::function<void()> aDeliver)
  {
    const Duration delay = milliseconds(Chance(20) ? Pick(4000) : 1 + Pick(20));
    if (!Chance(20)) {
      mMessages.push({ mNow + delay, mOrder++, std::move(aDeliver) });
    }
  }

  void Elect()
  {
    mLeading = true;
    mTerm += 1;
    mControlClock = RandomClock();
    BeginLeading(mControl, mNewest, mControlClock.At(mNow));
  }

  RosterView View() const
  {
    RosterView view;
    view.mSettledEpoch = mSettled.mEpoch;
    for (const auto& [name, host] : mSettled.mHosts) {
      view.mSettledHosts.push_back(name);
    }
    view.mSettledWitnesses = Witnesses(mSettled);
    if (mPending) {
      view.mPendingEpoch = mPending->mEpoch;
      view.mPendingWitnesses = Witnesses(*mPending);
    }
    return view;
  }

  // The safety property, for every host at every moment.
  void Check()
  {
    for (const auto& [name, host] : mHosts) {
      const TimePoint now = host.mClock.At(mNow);
      if (!host.mUp || !MayServe(host.mAuthority, now)) {
        continue;
      }
      mServedByWitnesses += now >= host.mAuthority.mControlLeaseEnd ? 1 : 0;
      // A host that is not in the roster of its epoch has no share in the slots of that epoch.
      const std::uint64_t epoch = host.mAuthority.mEpoch;
      const bool oldShare = epoch < mSettled.mEpoch && mRosters[epoch].mHosts.contains(name);
      if (host.mAuthority.mRun < mReported || oldShare) {
        CPPUNIT_FAIL(
          fmt::format("seed {} at {} ms: {} serves revision {} of epoch {}, reported {}, "
                      "settled {}",
                      mOptions.mSeed,
                      mNow.count() / 1000,
                      name,
                      host.mAuthority.mRun,
                      host.mAuthority.mEpoch,
                      mReported,
                      mSettled.mEpoch));
      }
    }
  }

  void Sync(const std::string& aName)
  {
    SimHost& host = mHosts.at(aName);
    const TimePoint sentAt = host.mClock.At(mNow);
    Send([this,
          aName,
          sentAt,
          incarnation = host.mIncarnation,
          run = host.mAuthority.mRun,
          held = host.mAuthority.mHeld,
          epoch = host.mAuthority.mEpoch] {
      const TimePoint now = mControlClock.At(mNow);
      if (!mLeading || !mHosts.at(aName).mHearsControl ||
          !OnSync(mControl, aName, incarnation, run, held, epoch, mNewest, now)) {
        return;
      }
      const Roster& newest = mPending ? *mPending : mSettled;
      const SyncGrant grant{
        mNewest, RequiredRevision(mControl), mSettled.mEpoch, newest.mEpoch, Witnesses(newest)
      };
      Send([this, aName, sentAt, incarnation, grant] {
        SimHost& target = mHosts.at(aName);
        if (target.mUp && target.mHearsControl && target.mIncarnation == incarnation) {
          OnSyncGrant(target.mAuthority, grant, sentAt, target.mClock.At(mNow));
        }
      });
    });
  }

  void Ask(const std::string& aName)
  {
    SimHost& host = mHosts.at(aName);
    const TimePoint sentAt = host.mClock.At(mNow);
    const auto question = StartWitnessRound(host.mAuthority, sentAt);
    if (!question) {
      return;
    }
    for (const std::string& witness : host.mAuthority.mWitnesses) {
      const auto ask = [this, aName, witness, sentAt, question, incarnation = host.mIncarnation] {
        SimHost& target = mHosts.at(witness);
        if (!target.mUp || target.mSide != mHosts.at(aName).mSide ||
            !OnWitnessQuestion(target.mAuthority, *question, target.mClock.At(mNow))) {
          return;
        }
        Send([this, aName, witness, sentAt, incarnation] {
          SimHost& asker = mHosts.at(aName);
          if (asker.mUp && asker.mIncarnation == incarnation) {
            OnWitnessGrant(asker.mAuthority, witness, sentAt);
          }
        });
      };
      Send(ask);
    }
  }

  void ControlStep()
  {
    if (!mLeading) {
      return;
    }
    const TimePoint now = mControlClock.At(mNow);
    const RosterView view = View();
    mReported = std::max(mReported, UpdateInForce(mControl, view, mNewest, now));
    if (MaySettle(mControl, view, now)) {
      mSettled = *mPending;
      mPending.reset();
      mSettles += 1;
      return;
    }
    const RosterProposal proposal = ProposeRoster(mControl, view, now);
    if (!proposal.mPresent.empty() || !proposal.mAbsent.empty()) {
      mPending = mSettled;
      mPending->mEpoch += 1;
      for (const std::string& host : proposal.mPresent) {
        mPending->mHosts[host].set_data_centre(host == "h0" || host == "h1" ? "a" : host);
      }
      for (const std::string& host : proposal.mAbsent) {
        mPending->mHosts.erase(host);
      }
      mRosters[mPending->mEpoch] = *mPending;
    }
  }

  void Faults()
  {
    if (Chance(20)) {
      Commit();
    }
    if (mElectLeaders && Chance(mLeading ? 400 : 30)) {
      if (mLeading) {
        StopControl();
      } else {
        Elect();
      }
    }
    for (auto& [name, host] : mHosts) {
      if (Chance(host.mHearsControl ? 300 : 100)) {
        host.mHearsControl = !host.mHearsControl;
      }
      if (Chance(400)) {
        host.mSide = 1 - host.mSide;
      }
      if (host.mUp && Chance(600)) {
        host.mUp = false;
      } else if (!host.mUp && Pick(60) == 0) {
        // A restart: everything volatile is gone.
        host.mAuthority = HostAuthority{};
        host.mAuthority.mHost = name;
        host.mIncarnation += 1;
        host.mUp = true;
      }
    }
  }

  void Step()
  {
    Faults();
    for (auto& [name, host] : mHosts) {
      if (!host.mUp) {
        continue;
      }
      const bool had = Serves(name);
      AdoptHeld(host.mAuthority, host.mClock.At(mNow));
      Ask(name);
      if (mNow >= host.mNextSync) {
        host.mNextSync = mNow + kSyncInterval;
        Sync(name);
      }
      mGaps += !had && host.mAuthority.mRun > 0 ? 1 : 0;
    }
    ControlStep();
  }

  Rng mRng;
  SimOptions mOptions;
  Duration mNow{ 0 };
  std::uint64_t mOrder = 0;
  std::priority_queue<Message> mMessages;
  bool mLeading = false;
  std::uint64_t mTerm = 0;
  DriftingClock mControlClock;
  ControlAuthority mControl;
  Roster mSettled;
  std::optional<Roster> mPending;
  std::map<std::uint64_t, Roster> mRosters;
};

} // namespace

class AuthorityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AuthorityTest);
  CPPUNIT_TEST(NoHostServesAnOldRevision);
  CPPUNIT_TEST(LossOfControlLeavesNoGap);
  CPPUNIT_TEST(IsolatedHostStops);
  CPPUNIT_TEST(ChangeIsInForceWithinFiveSeconds);
  CPPUNIT_TEST(NewLeaderWaitsForOldLeases);
  CPPUNIT_TEST(PromiseHoldsBackAdoption);
  CPPUNIT_TEST(RestartedWitnessGrantsAndCountsNothing);
  CPPUNIT_TEST(GoneHostStandsForAgreement);
  CPPUNIT_TEST_SUITE_END();

public:
  // Partitions, restarts, failovers, delays, losses and drift at random.
  void NoHostServesAnOldRevision()
  {
    Revision reported = 0;
    std::uint64_t byWitnesses = 0;
    std::uint64_t settles = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      Simulation simulation({ seed, 3 + seed % 5 });
      simulation.Run(std::chrono::seconds(60));
      reported += simulation.mReported;
      byWitnesses += simulation.mServedByWitnesses;
      settles += simulation.mSettles;
    }
    // The schedules must reach the states that the property is about.
    CPPUNIT_ASSERT(reported > 300);
    CPPUNIT_ASSERT(byWitnesses > 10'000);
    CPPUNIT_ASSERT(settles > 600);
  }

  void LossOfControlLeavesNoGap()
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Simulation simulation({ seed, 7, false });
      simulation.Run(std::chrono::seconds(10));
      simulation.StopControl();
      simulation.mGaps = 0;
      simulation.Run(std::chrono::seconds(15));
      // A minority of the witnesses fails as well.
      simulation.mHosts.at("h1").mUp = false;
      simulation.mHosts.at("h2").mUp = false;
      simulation.Run(std::chrono::seconds(60));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        fmt::format("seed {}", seed), std::uint64_t{ 0 }, simulation.mGaps);
    }
  }

  void IsolatedHostStops()
  {
    Simulation simulation({ 1, 5, false });
    simulation.Run(std::chrono::seconds(10));
    SimHost& isolated = simulation.mHosts.at("h4");
    isolated.mHearsControl = false;
    isolated.mSide = 1;
    simulation.Run(std::chrono::seconds(13));
    CPPUNIT_ASSERT(!simulation.Serves("h4"));
    CPPUNIT_ASSERT(simulation.Serves("h0"));
    simulation.Commit();
    simulation.Run(std::chrono::seconds(18));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, simulation.mReported);
  }

  // I8: a change is in force everywhere within 5 s, also while one host is cut off silently.
  void ChangeIsInForceWithinFiveSeconds()
  {
    for (const bool cutOff : { false, true }) {
      Simulation simulation({ 2, 7, false });
      simulation.Run(std::chrono::seconds(10));
      simulation.mHosts.at("h6").mHearsControl = !cutOff;
      simulation.Commit();
      simulation.Run(std::chrono::seconds(15));
      CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, simulation.mReported);
    }
  }

  void NewLeaderWaitsForOldLeases()
  {
    ControlAuthority control;
    const TimePoint start(std::chrono::seconds(100));
    BeginLeading(control, 3, start);
    // No witness, so that only the leases count.
    const RosterView view{ 1, { "a" }, {} };
    CPPUNIT_ASSERT(OnSync(control, "a", 1, 3, 3, 1, 3, start));
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, UpdateInForce(control, view, 3, start + kLease));
    CPPUNIT_ASSERT_EQUAL(Revision{ 3 }, UpdateInForce(control, view, 3, start + kGrantedLease));
    // What an earlier leader may have reported is required from the first sync on.
    CPPUNIT_ASSERT_EQUAL(Revision{ 3 }, RequiredRevision(control));
    CPPUNIT_ASSERT(!OnSync(control, "a", 0, 3, 3, 1, 3, start));
  }

  void PromiseHoldsBackAdoption()
  {
    HostAuthority host;
    const TimePoint start(std::chrono::seconds(100));
    OnSyncGrant(host, { 1, 0, 1, 1, { "a" } }, start, start);
    CPPUNIT_ASSERT(MayServe(host, start));
    CPPUNIT_ASSERT(!OnWitnessQuestion(host, { "b", 1, 1 }, start));
    const TimePoint overdue = start + kRenewalOverdue;
    CPPUNIT_ASSERT(!OnWitnessQuestion(host, { "b", 0, 1 }, overdue));
    CPPUNIT_ASSERT(!OnWitnessQuestion(host, { "b", 1, 0 }, overdue));
    CPPUNIT_ASSERT(OnWitnessQuestion(host, { "b", 1, 1 }, overdue));
    // Required already, held, but not adopted: the lease does not count.
    OnSyncGrant(host, { 2, 2, 1, 1, { "a" } }, overdue, overdue);
    CPPUNIT_ASSERT_EQUAL(Revision{ 1 }, host.mRun);
    CPPUNIT_ASSERT(host.mControlLeaseEnd == start + kLease);
    CPPUNIT_ASSERT(!AdoptHeld(host, overdue + kLease));
    CPPUNIT_ASSERT(AdoptHeld(host, overdue + kGrantedLease));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, host.mRun);
    CPPUNIT_ASSERT(!MayServe(host, overdue + kGrantedLease));
  }

  void RestartedWitnessGrantsAndCountsNothing()
  {
    HostAuthority fresh;
    const TimePoint start(std::chrono::seconds(100));
    CPPUNIT_ASSERT(!OnWitnessQuestion(fresh, { "b", 9, 9 }, start));
    ControlAuthority control;
    BeginLeading(control, 1, start);
    const RosterView view{ 1, { "a" }, { "a" } };
    const TimePoint later = start + std::chrono::seconds(10);
    OnSync(control, "a", 1, 2, 2, 1, 2, later);
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, UpdateInForce(control, view, 2, later + kLease));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, UpdateInForce(control, view, 2, later + kGrantedLease));
    // The new incarnation may have promised nothing, but the old one may have.
    OnSync(control, "a", 2, 3, 3, 1, 3, later + kGrantedLease);
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, UpdateInForce(control, view, 3, later + kGrantedLease));
  }

  void GoneHostStandsForAgreement()
  {
    ControlAuthority control;
    const TimePoint start(std::chrono::seconds(100));
    BeginLeading(control, 2, start);
    RosterView view{ 1, { "a", "b", "c" }, { "a", "b", "c" } };
    OnSync(control, "a", 1, 2, 2, 1, 2, start);
    const TimePoint later = start + std::chrono::seconds(5);
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, UpdateInForce(control, view, 2, later));
    view.mGone["b"] = 7;
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, UpdateInForce(control, view, 2, later));
    // A new incarnation of the same host is not gone and has to run the revision itself.
    control.mInForce = 0;
    OnSync(control, "b", 8, 0, 0, 0, 2, later);
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, UpdateInForce(control, view, 2, later + kGrantedLease));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthorityTest);
