// Tests of the serving leases. They guard against hosts that serve an old revision after a newer
// one was reported in force, and against hosts that stop serving when control fails. The simulation
// runs in virtual time, with random schedules from fixed seeds.
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

  TimePoint At(Duration aSimulatedTime) const
  {
    return TimePoint(mOffset + Duration(static_cast<std::int64_t>(
                                 static_cast<double>(aSimulatedTime.count()) * mRate)));
  }
};

struct SimHost
{
  HostLeaseState mLeaseState;
  std::uint64_t mIncarnation = 1;
  DriftingClock mClock;
  bool mRunning = true;
  bool mReachesControl = true;
  // The side of a network partition. Hosts can exchange messages only if they are on the same side.
  int mPartitionSide = 0;
  Duration mNextSync{ 0 };
};

struct SimOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mHosts = 5;
  bool mFaults = true;
};

// Simulates entry hosts and the leader of control, which exchange messages with random delay and
// loss. Assumes a correct log: there is at most one leader at a time, and a new leader has
// everything that was committed.
class Simulation
{
public:
  explicit Simulation(const SimOptions& aOptions)
    : mRng(aOptions.mSeed)
    , mOptions(aOptions)
  {
    for (std::size_t i = 0; i < aOptions.mHosts; ++i) {
      SimHost& host = mHosts[fmt::format("h{}", i)];
      host.mLeaseState.mHost = fmt::format("h{}", i);
      host.mClock = RandomClock();
    }
    Elect();
  }

  // Advances the simulated time to aEnd.
  void Run(Duration aEnd)
  {
    while (mNow < aEnd) {
      mNow += Duration(milliseconds(10));
      while (!mMessages.empty() && mMessages.top().mAt <= mNow) {
        const std::function<void()> deliver = mMessages.top().mDeliver;
        mMessages.pop();
        deliver();
        CheckSafety();
      }
      if (mNow % kStep == Duration::zero()) {
        Tick();
      }
      CheckSafety();
    }
  }

  void StopControl() { mLeading = false; }
  void Commit() { mNewest += 1; }
  bool Serves(const std::string& aHost)
  {
    const SimHost& host = mHosts.at(aHost);
    return host.mRunning && MayServe(host.mLeaseState, host.mClock.At(mNow));
  }

  std::map<std::string, SimHost> mHosts;
  Revision mNewest = 1;
  Revision mReported = 0;
  std::uint64_t mServedOnWitnessLease = 0;
  std::uint64_t mGaps = 0;
  std::uint64_t mSettles = 0;
  bool mElectLeaders = true;

private:
  struct Message
  {
    Duration mAt;
    std::uint64_t mSequence = 0;
    std::function<void()> mDeliver;
    bool operator<(const Message& aOther) const
    {
      return std::tie(mAt, mSequence) > std::tie(aOther.mAt, aOther.mSequence);
    }
  };

  std::uint64_t RandomBelow(std::uint64_t aEnd) { return mRng() % aEnd; }
  bool OneIn(std::uint64_t aCount) { return mOptions.mFaults && RandomBelow(aCount) == 0; }

  DriftingClock RandomClock()
  {
    return { 0.99 + 0.02 * static_cast<double>(RandomBelow(1001)) / 1000.0,
             milliseconds(1000 + RandomBelow(100'000)) };
  }

  // Most messages take milliseconds; some are delayed by seconds.
  void Send(std::function<void()> aDeliver)
  {
    const Duration delay = milliseconds(OneIn(20) ? RandomBelow(4000) : 1 + RandomBelow(20));
    if (!OneIn(20)) {
      mMessages.push({ mNow + delay, mSequence++, std::move(aDeliver) });
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

  // Checks the safety property for every host. Called after every message and every time step.
  void CheckSafety()
  {
    for (const auto& [name, host] : mHosts) {
      const TimePoint now = host.mClock.At(mNow);
      if (!host.mRunning || !MayServe(host.mLeaseState, now)) {
        continue;
      }
      mServedOnWitnessLease += now >= host.mLeaseState.mControlLeaseEnd ? 1 : 0;
      // A host that is not in the roster of its epoch has no slots in that epoch.
      const std::uint64_t epoch = host.mLeaseState.mConfirmedEpoch;
      const bool outdatedShare = epoch < mSettled.mEpoch && mRosters[epoch].mHosts.contains(name);
      if (host.mLeaseState.mRunningRevision < mReported || outdatedShare) {
        CPPUNIT_FAIL(
          fmt::format("seed {} at {} ms: {} serves revision {} of epoch {}, reported {}, "
                      "settled {}",
                      mOptions.mSeed,
                      mNow.count() / 1000,
                      name,
                      host.mLeaseState.mRunningRevision,
                      host.mLeaseState.mConfirmedEpoch,
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
          run = host.mLeaseState.mRunningRevision,
          held = host.mLeaseState.mReceivedRevision,
          epoch = host.mLeaseState.mConfirmedEpoch] {
      const TimePoint now = mControlClock.At(mNow);
      if (!mLeading || !mHosts.at(aName).mReachesControl ||
          !RecordSync(mControl, aName, incarnation, run, held, epoch, mNewest, now)) {
        return;
      }
      const Roster& newest = mPending ? *mPending : mSettled;
      const SyncGrant grant{
        mNewest, RequiredRevision(mControl), mSettled.mEpoch, newest.mEpoch, Witnesses(newest)
      };
      Send([this, aName, sentAt, incarnation, grant] {
        SimHost& target = mHosts.at(aName);
        if (target.mRunning && target.mReachesControl && target.mIncarnation == incarnation) {
          OnSyncGrant(target.mLeaseState, grant, sentAt, target.mClock.At(mNow));
        }
      });
    });
  }

  void AskWitnesses(const std::string& aName)
  {
    SimHost& host = mHosts.at(aName);
    const TimePoint sentAt = host.mClock.At(mNow);
    const auto question = StartWitnessRound(host.mLeaseState, sentAt);
    if (!question) {
      return;
    }
    for (const std::string& witness : host.mLeaseState.mWitnesses) {
      const auto ask = [this, aName, witness, sentAt, question, incarnation = host.mIncarnation] {
        SimHost& target = mHosts.at(witness);
        if (!target.mRunning || target.mPartitionSide != mHosts.at(aName).mPartitionSide ||
            !OnWitnessQuestion(target.mLeaseState, *question, target.mClock.At(mNow))) {
          return;
        }
        Send([this, aName, witness, sentAt, incarnation] {
          SimHost& asker = mHosts.at(aName);
          if (asker.mRunning && asker.mIncarnation == incarnation) {
            OnWitnessGrant(asker.mLeaseState, witness, sentAt);
          }
        });
      };
      Send(ask);
    }
  }

  void StepControl()
  {
    if (!mLeading) {
      return;
    }
    const TimePoint now = mControlClock.At(mNow);
    const RosterView view = View();
    mReported = std::max(mReported, UpdateRevisionInForce(mControl, view, mNewest, now));
    if (CanSettleRoster(mControl, view, now)) {
      mSettled = *mPending;
      mPending.reset();
      mSettles += 1;
      return;
    }
    const RosterProposal proposal = ProposeRosterChange(mControl, view, now);
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

  void InjectFaults()
  {
    if (OneIn(20)) {
      Commit();
    }
    if (mElectLeaders && OneIn(mLeading ? 400 : 30)) {
      if (mLeading) {
        StopControl();
      } else {
        Elect();
      }
    }
    for (auto& [name, host] : mHosts) {
      if (OneIn(host.mReachesControl ? 300 : 100)) {
        host.mReachesControl = !host.mReachesControl;
      }
      if (OneIn(400)) {
        host.mPartitionSide = 1 - host.mPartitionSide;
      }
      if (host.mRunning && OneIn(600)) {
        host.mRunning = false;
      } else if (!host.mRunning && RandomBelow(60) == 0) {
        // A restart loses all volatile state.
        host.mLeaseState = HostLeaseState{};
        host.mLeaseState.mHost = name;
        host.mIncarnation += 1;
        host.mRunning = true;
      }
    }
  }

  void Tick()
  {
    InjectFaults();
    for (auto& [name, host] : mHosts) {
      if (!host.mRunning) {
        continue;
      }
      const bool couldServe = Serves(name);
      AdoptReceived(host.mLeaseState, host.mClock.At(mNow));
      AskWitnesses(name);
      if (mNow >= host.mNextSync) {
        host.mNextSync = mNow + kSyncInterval;
        Sync(name);
      }
      mGaps += !couldServe && host.mLeaseState.mRunningRevision > 0 ? 1 : 0;
    }
    StepControl();
  }

  Rng mRng;
  SimOptions mOptions;
  Duration mNow{ 0 };
  std::uint64_t mSequence = 0;
  std::priority_queue<Message> mMessages;
  bool mLeading = false;
  std::uint64_t mTerm = 0;
  DriftingClock mControlClock;
  ControlLeaseState mControl;
  Roster mSettled;
  std::optional<Roster> mPending;
  std::map<std::uint64_t, Roster> mRosters;
};

} // namespace

class AuthorityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AuthorityTest);
  CPPUNIT_TEST(NoHostServesAnOldRevision);
  CPPUNIT_TEST(HostsKeepServingWithoutControl);
  CPPUNIT_TEST(IsolatedHostStopsServing);
  CPPUNIT_TEST(ChangeIsInForceWithinFiveSeconds);
  CPPUNIT_TEST(NewLeaderWaitsForOldLeases);
  CPPUNIT_TEST(PromiseDelaysAdoption);
  CPPUNIT_TEST(RestartedWitnessIsNotCounted);
  CPPUNIT_TEST(GoneHostCountsAsAgreeing);
  CPPUNIT_TEST(OnlyWitnessesOfThePresentRoundGrant);
  CPPUNIT_TEST(MajorityOfEachRosterMustRunTheRevision);
  CPPUNIT_TEST_SUITE_END();

public:
  // Random partitions, restarts, failovers, message delays and losses, and clock drift.
  void NoHostServesAnOldRevision()
  {
    Revision reported = 0;
    std::uint64_t servedOnWitnessLease = 0;
    std::uint64_t settles = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      Simulation simulation({ seed, 3 + seed % 5 });
      simulation.Run(std::chrono::seconds(60));
      reported += simulation.mReported;
      servedOnWitnessLease += simulation.mServedOnWitnessLease;
      settles += simulation.mSettles;
    }
    // Checks that the schedules reach the states that the property is about.
    CPPUNIT_ASSERT(reported > 300);
    CPPUNIT_ASSERT(servedOnWitnessLease > 10'000);
    CPPUNIT_ASSERT(settles > 600);
  }

  void HostsKeepServingWithoutControl()
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Simulation simulation({ seed, 7, false });
      simulation.Run(std::chrono::seconds(10));
      simulation.StopControl();
      simulation.mGaps = 0;
      simulation.Run(std::chrono::seconds(15));
      // A minority of the witnesses fails too.
      simulation.mHosts.at("h1").mRunning = false;
      simulation.mHosts.at("h2").mRunning = false;
      simulation.Run(std::chrono::seconds(60));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        fmt::format("seed {}", seed), std::uint64_t{ 0 }, simulation.mGaps);
    }
  }

  void IsolatedHostStopsServing()
  {
    Simulation simulation({ 1, 5, false });
    simulation.Run(std::chrono::seconds(10));
    SimHost& isolated = simulation.mHosts.at("h4");
    isolated.mReachesControl = false;
    isolated.mPartitionSide = 1;
    simulation.Run(std::chrono::seconds(13));
    CPPUNIT_ASSERT(!simulation.Serves("h4"));
    CPPUNIT_ASSERT(simulation.Serves("h0"));
    simulation.Commit();
    simulation.Run(std::chrono::seconds(18));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, simulation.mReported);
  }

  // I8: a change is in force everywhere within 5 s, even while one host silently loses contact with
  // control.
  void ChangeIsInForceWithinFiveSeconds()
  {
    for (const bool cutOff : { false, true }) {
      Simulation simulation({ 2, 7, false });
      simulation.Run(std::chrono::seconds(10));
      simulation.mHosts.at("h6").mReachesControl = !cutOff;
      simulation.Commit();
      simulation.Run(std::chrono::seconds(15));
      CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, simulation.mReported);
    }
  }

  void NewLeaderWaitsForOldLeases()
  {
    ControlLeaseState control;
    const TimePoint start(std::chrono::seconds(100));
    BeginLeading(control, 3, start);
    // Without witnesses only the control leases matter.
    const RosterView view{ 1, { "a" }, {} };
    CPPUNIT_ASSERT(RecordSync(control, "a", 1, 3, 3, 1, 3, start));
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, UpdateRevisionInForce(control, view, 3, start + kLease));
    CPPUNIT_ASSERT_EQUAL(Revision{ 3 },
                         UpdateRevisionInForce(control, view, 3, start + kLeaseWithDrift));
    // A revision that an earlier leader may have reported in force is required from the first sync.
    CPPUNIT_ASSERT_EQUAL(Revision{ 3 }, RequiredRevision(control));
    CPPUNIT_ASSERT(!RecordSync(control, "a", 0, 3, 3, 1, 3, start));
  }

  void PromiseDelaysAdoption()
  {
    HostLeaseState host;
    const TimePoint start(std::chrono::seconds(100));
    OnSyncGrant(host, { 1, 0, 1, 1, { "a" } }, start, start);
    CPPUNIT_ASSERT(MayServe(host, start));
    CPPUNIT_ASSERT(!OnWitnessQuestion(host, { "b", 1, 1 }, start));
    const TimePoint overdue = start + kRenewalMargin;
    CPPUNIT_ASSERT(!OnWitnessQuestion(host, { "b", 0, 1 }, overdue));
    CPPUNIT_ASSERT(!OnWitnessQuestion(host, { "b", 1, 0 }, overdue));
    CPPUNIT_ASSERT(OnWitnessQuestion(host, { "b", 1, 1 }, overdue));
    // The required revision has been received but not adopted, so the lease is not valid.
    OnSyncGrant(host, { 2, 2, 1, 1, { "a" } }, overdue, overdue);
    CPPUNIT_ASSERT_EQUAL(Revision{ 1 }, host.mRunningRevision);
    CPPUNIT_ASSERT(host.mControlLeaseEnd == start + kLease);
    CPPUNIT_ASSERT(!AdoptReceived(host, overdue + kLease));
    CPPUNIT_ASSERT(AdoptReceived(host, overdue + kLeaseWithDrift));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, host.mRunningRevision);
    CPPUNIT_ASSERT(!MayServe(host, overdue + kLeaseWithDrift));
  }

  void RestartedWitnessIsNotCounted()
  {
    HostLeaseState restarted;
    const TimePoint start(std::chrono::seconds(100));
    CPPUNIT_ASSERT(!OnWitnessQuestion(restarted, { "b", 9, 9 }, start));
    ControlLeaseState control;
    BeginLeading(control, 1, start);
    const RosterView view{ 1, { "a" }, { "a" } };
    const TimePoint later = start + std::chrono::seconds(10);
    RecordSync(control, "a", 1, 2, 2, 1, 2, later);
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, UpdateRevisionInForce(control, view, 2, later + kLease));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 },
                         UpdateRevisionInForce(control, view, 2, later + kLeaseWithDrift));
    // The new incarnation has made no promise, but the old one may have.
    RecordSync(control, "a", 2, 3, 3, 1, 3, later + kLeaseWithDrift);
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 },
                         UpdateRevisionInForce(control, view, 3, later + kLeaseWithDrift));
  }

  void GoneHostCountsAsAgreeing()
  {
    ControlLeaseState control;
    const TimePoint start(std::chrono::seconds(100));
    BeginLeading(control, 2, start);
    RosterView view{ 1, { "a", "b", "c" }, { "a", "b", "c" } };
    RecordSync(control, "a", 1, 2, 2, 1, 2, start);
    const TimePoint later = start + std::chrono::seconds(5);
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, UpdateRevisionInForce(control, view, 2, later));
    view.mGone["b"] = 7;
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, UpdateRevisionInForce(control, view, 2, later));
    // A new incarnation of the same host is not gone, so it must run the revision itself.
    control.mInForce = 0;
    RecordSync(control, "b", 8, 0, 0, 0, 2, later);
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 },
                         UpdateRevisionInForce(control, view, 2, later + kLeaseWithDrift));
  }

  // Guards against a lease from hosts that are no witnesses, or from grants whose promises ended.
  void OnlyWitnessesOfThePresentRoundGrant()
  {
    HostLeaseState host;
    const TimePoint start(std::chrono::seconds(100));
    OnSyncGrant(host, { 1, 0, 0, 1, { "a", "b", "c" } }, start, start);
    const TimePoint first = start + kLease;
    CPPUNIT_ASSERT(StartWitnessRound(host, first));
    OnWitnessGrant(host, "x", first);
    OnWitnessGrant(host, "y", first);
    CPPUNIT_ASSERT(!MayServe(host, first));
    const TimePoint second = first + kWitnessInterval;
    CPPUNIT_ASSERT(StartWitnessRound(host, second));
    OnWitnessGrant(host, "a", first);
    OnWitnessGrant(host, "b", first);
    CPPUNIT_ASSERT(!MayServe(host, second));
    // The witnesses of a new epoch have not been asked.
    HostLeaseState adopted = host;
    OnSyncGrant(adopted, { 1, 0, 9, 2, { "a", "b", "c" } }, second, second);
    for (HostLeaseState* const state : { &host, &adopted }) {
      OnWitnessGrant(*state, "a", second);
      OnWitnessGrant(*state, "b", second);
    }
    CPPUNIT_ASSERT(MayServe(host, second));
    CPPUNIT_ASSERT(!MayServe(adopted, second));
  }

  // Guards against a revision that is reported in force although half of the witnesses, or those of
  // a pending roster, can still let a host serve an older one.
  void MajorityOfEachRosterMustRunTheRevision()
  {
    const TimePoint start(std::chrono::seconds(100));
    const TimePoint later = start + std::chrono::seconds(10);
    const auto inForce = [&](const RosterView& aView) {
      ControlLeaseState control;
      BeginLeading(control, 2, start);
      RecordSync(control, "a", 1, 2, 2, 1, 2, start);
      return UpdateRevisionInForce(control, aView, 2, later);
    };
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, inForce({ 1, { "a" }, { "a" } }));
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, inForce({ 1, { "a", "b" }, { "a", "b" } }));
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, inForce({ 1, { "a" }, { "a" }, 2, { "b" } }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthorityTest);
