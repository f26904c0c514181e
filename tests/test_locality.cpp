// Guards against callers who wait in an overloaded data centre while others have room, against
// traffic that leaves without gain, and against gateways that leave and return together. Each load
// is played in virtual time against replicas with slots and queues, with and without the feature.
#include "locality.h"
#include "replica_signals.h"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };
constexpr Duration kObjective = milliseconds(100);
constexpr double kServiceMs = 10;
// Spread of the service times.
constexpr double kServiceSigma = 0.35;
// Attempts that get no answer end after this time.
constexpr Duration kLostAfter = milliseconds(60);
constexpr std::size_t kSlots = 2;
// A replica refuses requests beyond this queue length.
constexpr std::size_t kReplicaQueue = 12;
// Time after which the loads begin. Before it, estimates settle.
constexpr Duration kSettle = seconds(10);

// Long enough for at least 150 sends of a data centre, so that sampling noise, of which the
// standard deviation is 0.04, does not look like a change of direction by 0.2.
constexpr Duration kSeriesStep = milliseconds(500);

struct Scenario
{
  // Requests per second by data centre, before and after kSettle. Three replicas of two slots of
  // 10 ms each take 600.
  std::vector<double> mUsualRate{ 300, 300, 300 };
  std::vector<double> mRate{ 300, 300, 300 };
  std::vector<std::size_t> mReplicas{ 3, 3, 3 };
  // Factor on the service times after kSettle.
  std::vector<double> mSlowdown{ 1, 1, 1 };
  std::size_t mGatewaysPerDataCentre = 6;
  Duration mLinkTime = milliseconds(2);
  double mPricePerGb = 0;
  // Cuts the data centre's links at this time after kStart.
  int mCutDataCentre = -1;
  Duration mCutAt{};
  Duration mLength = seconds(20);
  bool mLocality = true;
  std::uint64_t mSeed = 1;
};

struct Outcome
{
  std::size_t mRequests = 0;
  std::size_t mInTime = 0;
  // First sends, and those that left the data centre.
  std::size_t mSends = 0;
  std::size_t mCrossing = 0;
  std::size_t mCrossingToCut = 0;
  std::vector<double> mLatenciesMs;
  // Crossing sends and all first sends by kSeriesStep.
  std::vector<std::pair<int, int>> mSeries;

  double Served() const
  {
    return static_cast<double>(mInTime) / static_cast<double>(std::max<std::size_t>(mRequests, 1));
  }
  double CrossingShare() const
  {
    return static_cast<double>(mCrossing) / static_cast<double>(std::max<std::size_t>(mSends, 1));
  }
  double Quantile(double aQuantile) const
  {
    std::vector<double> sorted = mLatenciesMs;
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty()
             ? 0
             : sorted[static_cast<std::size_t>(aQuantile * static_cast<double>(sorted.size() - 1))];
  }
  // Changes of direction of the crossing share by more than 0.2.
  int Turns() const
  {
    constexpr double kTurn = 0.2;
    int turns = 0;
    int direction = 0;
    double extreme = 0;
    for (const auto& [crossing, all] : mSeries) {
      const double share = all == 0 ? 0 : static_cast<double>(crossing) / all;
      if (direction >= 0 && share < extreme - kTurn) {
        turns += direction > 0 ? 1 : 0;
        direction = -1;
        extreme = share;
      } else if (direction <= 0 && share > extreme + kTurn) {
        turns += direction < 0 ? 1 : 0;
        direction = 1;
        extreme = share;
      } else if ((direction > 0 && share > extreme) || (direction < 0 && share < extreme)) {
        extreme = share;
      }
    }
    return turns;
  }
};

class Model
{
public:
  explicit Model(Scenario aScenario)
    : mScenario(std::move(aScenario))
    , mRng(mScenario.mSeed)
  {
    for (std::size_t place = 0; place < mScenario.mReplicas.size(); ++place) {
      for (std::size_t i = 0; i < mScenario.mReplicas[place]; ++i) {
        mReplicas.push_back({ place });
      }
    }
    for (std::size_t place = 0; place < mScenario.mRate.size(); ++place) {
      for (std::size_t i = 0; i < mScenario.mGatewaysPerDataCentre; ++i) {
        mGateways.push_back(MakeGateway(place));
      }
    }
    mOutcomes.resize(mScenario.mRate.size());
  }

  // Outcomes of the requests after kSettle, by the data centre of their callers.
  std::vector<Outcome> Run()
  {
    for (const auto& gateway : mGateways) {
      ScheduleArrival(*gateway);
      if (mScenario.mLocality) {
        At(kStart + DecisionUniform() * kLocalityInterval,
           [this, &gateway = *gateway] { Decide(gateway); });
      }
    }
    while (!mEvents.empty() && mNow < kStart + mScenario.mLength) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    return mOutcomes;
  }

private:
  struct Replica
  {
    std::size_t mPlace = 0;
    std::size_t mBusy = 0;
    std::deque<std::function<void()>> mQueue;
  };
  struct SimulatedGateway
  {
    std::size_t mPlace = 0;
    PlacementLimits mLimits;
    std::vector<std::unique_ptr<ReplicaView>> mViews;
    std::vector<ReplicaView*> mPointers;
    LatencyHistogram mAll;
    UsualLatency mUsual;
    std::vector<LoadEstimate> mLoads;
    std::vector<int> mSent;
    LocalityState mState;
    Rng mRng;
  };
  struct Request
  {
    SimulatedGateway* mGateway = nullptr;
    TimePoint mArrivedAt;
    std::set<std::string> mTried;
    bool mCounted = false;
  };

  std::unique_ptr<SimulatedGateway> MakeGateway(std::size_t aPlace)
  {
    auto gateway = std::make_unique<SimulatedGateway>();
    gateway->mPlace = aPlace;
    gateway->mLimits.mDataCentre = std::to_string(aPlace);
    gateway->mLimits.mMaxInFlight = 16;
    gateway->mLimits.mMaxInFlightRemote = 16;
    gateway->mRng.seed(mScenario.mSeed * 1000 + mGateways.size());
    for (std::size_t i = 0; i < mReplicas.size(); ++i) {
      auto view = std::make_unique<ReplicaView>();
      view->mInfo.mId = std::to_string(i);
      view->mInfo.mDataCentre = std::to_string(mReplicas[i].mPlace);
      view->mInfo.mSlots = kSlots;
      view->mInfo.mState = UpstreamState::Ready;
      gateway->mPointers.push_back(view.get());
      gateway->mViews.push_back(std::move(view));
    }
    gateway->mLoads.resize(mScenario.mRate.size());
    gateway->mSent.resize(mScenario.mRate.size());
    return gateway;
  }

  void At(TimePoint aWhen, std::function<void()> aAction)
  {
    mEvents.emplace(aWhen, std::move(aAction));
  }
  template<typename Rep, typename Period>
  void At(std::chrono::time_point<BootClock, std::chrono::duration<Rep, Period>> aWhen,
          std::function<void()> aAction)
  {
    mEvents.emplace(std::chrono::time_point_cast<Duration>(aWhen), std::move(aAction));
  }
  double Uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRng); }
  // Separate, so that runs with and without the feature have equal arrivals.
  double DecisionUniform()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mDecisionRng);
  }
  bool Loaded() const { return mNow >= kStart + kSettle; }
  bool IsCut(std::size_t aFrom, std::size_t aTo) const
  {
    const int cut = mScenario.mCutDataCentre;
    return aFrom != aTo && mNow >= kStart + mScenario.mCutAt &&
           (static_cast<int>(aFrom) == cut || static_cast<int>(aTo) == cut);
  }

  void ScheduleArrival(SimulatedGateway& aGateway)
  {
    const double rate = (Loaded() ? mScenario.mRate : mScenario.mUsualRate)[aGateway.mPlace] /
                        static_cast<double>(mScenario.mGatewaysPerDataCentre);
    const double wait = -std::log(1.0 - Uniform()) / std::max(rate, 1e-3);
    At(mNow + std::chrono::duration<double>(wait), [this, &aGateway] {
      ScheduleArrival(aGateway);
      auto request = std::make_shared<Request>();
      request->mGateway = &aGateway;
      request->mArrivedAt = mNow;
      request->mCounted = Loaded();
      mOutcomes[aGateway.mPlace].mRequests += request->mCounted ? 1 : 0;
      Send(request);
    });
  }

  void Send(const std::shared_ptr<Request>& aRequest)
  {
    SimulatedGateway& gateway = *aRequest->mGateway;
    const Duration typical = LatencyQuantile(gateway.mAll, 0.5).value_or(kObjective * 3 / 10);
    ReplicaView* const view =
      mScenario.mLocality && aRequest->mTried.empty()
        ? ChooseByLocality(gateway.mState,
                           gateway.mPointers,
                           aRequest->mTried,
                           gateway.mLimits,
                           typical,
                           mNow,
                           gateway.mRng)
        : ChooseReplica(
            gateway.mPointers, aRequest->mTried, gateway.mLimits, typical, mNow, gateway.mRng);
    if (view == nullptr) {
      return;
    }
    const auto index = static_cast<std::size_t>(std::stoi(view->mInfo.mId));
    Replica& replica = mReplicas[index];
    CountSend(gateway, *aRequest, replica.mPlace);
    aRequest->mTried.insert(view->mInfo.mId);
    view->mInFlightSince.insert(mNow);
    const TimePoint sentAt = mNow;
    const Duration transit =
      replica.mPlace == gateway.mPlace ? Duration::zero() : mScenario.mLinkTime;
    if (IsCut(gateway.mPlace, replica.mPlace)) {
      At(mNow + kLostAfter, [=, this] { OnFailed(aRequest, *view, sentAt); });
      return;
    }
    At(mNow + transit, [=, this, &replica] {
      const auto finish = [=, this] {
        At(mNow + transit, [=, this] { OnAnswered(aRequest, *view, sentAt); });
      };
      if (replica.mBusy >= kSlots && replica.mQueue.size() >= kReplicaQueue) {
        At(mNow + transit, [=, this] { OnFailed(aRequest, *view, sentAt); });
        return;
      }
      replica.mQueue.push_back(finish);
      StartQueued(replica);
    });
  }

  void CountSend(SimulatedGateway& aGateway, const Request& aRequest, std::size_t aTo)
  {
    if (aRequest.mTried.empty()) {
      ++aGateway.mSent[aTo];
    }
    if (!aRequest.mCounted) {
      return;
    }
    Outcome& outcome = mOutcomes[aGateway.mPlace];
    const bool crossing = aTo != aGateway.mPlace;
    outcome.mCrossingToCut += IsCut(aGateway.mPlace, aTo) ? 1 : 0;
    if (!aRequest.mTried.empty()) {
      return;
    }
    ++outcome.mSends;
    outcome.mCrossing += crossing ? 1 : 0;
    const auto slot = static_cast<std::size_t>((mNow - kStart - kSettle) / kSeriesStep);
    outcome.mSeries.resize(std::max(outcome.mSeries.size(), slot + 1));
    outcome.mSeries[slot].first += crossing ? 1 : 0;
    ++outcome.mSeries[slot].second;
  }

  void StartQueued(Replica& aReplica)
  {
    while (aReplica.mBusy < kSlots && !aReplica.mQueue.empty()) {
      ++aReplica.mBusy;
      const std::function<void()> finish = std::move(aReplica.mQueue.front());
      aReplica.mQueue.pop_front();
      std::lognormal_distribution<double> work(-kServiceSigma * kServiceSigma / 2, kServiceSigma);
      const double took =
        kServiceMs * work(mRng) * (Loaded() ? mScenario.mSlowdown[aReplica.mPlace] : 1.0);
      At(mNow + std::chrono::duration<double, std::milli>(took), [this, &aReplica, finish] {
        --aReplica.mBusy;
        finish();
        StartQueued(aReplica);
      });
    }
  }

  void OnAnswered(const std::shared_ptr<Request>& aRequest, ReplicaView& aView, TimePoint aSentAt)
  {
    SimulatedGateway& gateway = *aRequest->mGateway;
    aView.mInFlightSince.erase(aView.mInFlightSince.find(aSentAt));
    const Duration took = mNow - aSentAt;
    RecordSuccess(
      aView, took, LatencyQuantile(gateway.mAll, 0.5).value_or(kObjective * 3 / 10), mNow);
    RecordLatency(gateway.mAll, took, mNow);
    if (aView.mInfo.mDataCentre == gateway.mLimits.mDataCentre ||
        mScenario.mReplicas[gateway.mPlace] == 0) {
      RecordUsualLatency(gateway.mUsual, took, mNow);
    }
    RecordLoad(PlaceLoad(gateway, aView), gateway.mUsual, took, mNow);
    if (aRequest->mCounted) {
      const double elapsedMs =
        std::chrono::duration<double, std::milli>(mNow - aRequest->mArrivedAt).count();
      mOutcomes[gateway.mPlace].mLatenciesMs.push_back(elapsedMs);
      mOutcomes[gateway.mPlace].mInTime += mNow - aRequest->mArrivedAt <= kObjective ? 1 : 0;
    }
  }

  void OnFailed(const std::shared_ptr<Request>& aRequest, ReplicaView& aView, TimePoint aSentAt)
  {
    aView.mInFlightSince.erase(aView.mInFlightSince.find(aSentAt));
    RecordFailure(aView, mNow);
    RecordLoadFailure(PlaceLoad(*aRequest->mGateway, aView), mNow);
    if (aRequest->mTried.size() < 2) {
      Send(aRequest);
    }
  }

  static LoadEstimate& PlaceLoad(SimulatedGateway& aGateway, const ReplicaView& aView)
  {
    return aGateway.mLoads[static_cast<std::size_t>(std::stoi(aView.mInfo.mDataCentre))];
  }

  void Decide(SimulatedGateway& aGateway)
  {
    At(mNow + kLocalityInterval * (0.9 + 0.2 * DecisionUniform()),
       [this, &aGateway] { Decide(aGateway); });
    LocalityInputs inputs;
    inputs.mOwn = aGateway.mLimits.mDataCentre;
    inputs.mObjective = kObjective;
    inputs.mBytes = 20'000;
    inputs.mPricePerGb = mScenario.mPricePerGb;
    inputs.mUsual = Duration(std::llround(aGateway.mUsual.mMeanUs));
    const double sent = std::accumulate(aGateway.mSent.begin(), aGateway.mSent.end(), 0.0);
    for (std::size_t place = 0; place < mScenario.mRate.size(); ++place) {
      DataCentreView view;
      view.mName = std::to_string(place);
      view.mReached = false;
      for (const ReplicaView* const replica : aGateway.mPointers) {
        if (replica->mInfo.mDataCentre == view.mName && TakesRequest(*replica, mNow)) {
          ++view.mUsable;
          view.mReached |= replica->mConsecutiveFailures < kUnreachedFailures;
        }
      }
      const bool own = place == aGateway.mPlace;
      const LoadEstimate& load = aGateway.mLoads[place];
      const LoadBasis basis =
        MakeLoadBasis(aGateway.mLoads[aGateway.mPlace], load, own ? 0.0 : 0.2);
      view.mLoad = BlendLoad(load, load, basis, basis, mNow);
      view.mLinkTime = std::chrono::duration_cast<Duration>(inputs.mUsual * basis.mLinkRatio);
      view.mFailureShare = FailureShare(aGateway.mLoads[place], mNow);
      view.mSentShare = sent == 0 ? 0 : aGateway.mSent[place] / sent;
      inputs.mDataCentres.push_back(view);
    }
    std::fill(aGateway.mSent.begin(), aGateway.mSent.end(), 0);
    UpdateLocality(aGateway.mState, inputs, aGateway.mRng);
  }

  Scenario mScenario;
  Rng mRng;
  Rng mDecisionRng{ 1 };
  TimePoint mNow = kStart;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::vector<Replica> mReplicas;
  std::vector<std::unique_ptr<SimulatedGateway>> mGateways;
  std::vector<Outcome> mOutcomes;
};

struct Comparison
{
  std::vector<Outcome> mWith;
  std::vector<Outcome> mWithout;
};

Comparison
Compare(Scenario aScenario)
{
  Comparison comparison;
  comparison.mWith = Model(aScenario).Run();
  aScenario.mLocality = false;
  comparison.mWithout = Model(aScenario).Run();
  return comparison;
}

double
ServedByAll(const std::vector<Outcome>& aOutcomes)
{
  double requests = 0;
  double inTime = 0;
  for (const Outcome& outcome : aOutcomes) {
    requests += static_cast<double>(outcome.mRequests);
    inTime += static_cast<double>(outcome.mInTime);
  }
  return inTime / requests;
}

} // namespace

class LocalityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LocalityTest);
  CPPUNIT_TEST(ChangesNothingWithoutOverload);
  CPPUNIT_TEST(OneOverloadedDataCentre);
  CPPUNIT_TEST(AllDataCentresOverloaded);
  CPPUNIT_TEST(SlowReplicasOnlyHere);
  CPPUNIT_TEST(CutLink);
  CPPUNIT_TEST(NoLocalReplica);
  CPPUNIT_TEST(Price);
  CPPUNIT_TEST(ManyGatewaysDecideAtOnce);
  CPPUNIT_TEST(RisesWithinSomeHundredMillisecondsAndFallsSlowly);
  CPPUNIT_TEST(CutDataCentreIsProbed);
  CPPUNIT_TEST(HomeReturns);
  CPPUNIT_TEST(OnePauseIsNoOverload);
  CPPUNIT_TEST(OverloadDoesNotBecomeUsual);
  CPPUNIT_TEST(OneFailureIsNoOverload);
  CPPUNIT_TEST(HomeStaysBehindSimilarLinks);
  CPPUNIT_TEST(LinkIsMeasuredOnceBothHaveSamples);
  CPPUNIT_TEST(FailedReplicaIsAvoidedWhileEngaged);
  CPPUNIT_TEST_SUITE_END();

public:
  // Usual load: every send is placed as without the feature, down to the random choices.
  void ChangesNothingWithoutOverload()
  {
    Scenario scenario;
    scenario.mUsualRate = scenario.mRate = { 200, 200, 200 };
    const Comparison outcome = Compare(scenario);
    for (std::size_t place = 0; place < 3; ++place) {
      CPPUNIT_ASSERT_EQUAL(outcome.mWithout[place].mCrossing, outcome.mWith[place].mCrossing);
      CPPUNIT_ASSERT_EQUAL(outcome.mWithout[place].mInTime, outcome.mWith[place].mInTime);
    }
    // Without an engaged decision, both paths make the same choice from the same random source.
    Rng one(7);
    Rng other(7);
    ReplicaView local;
    ReplicaView remote;
    local.mInfo.mId = "l";
    remote.mInfo.mId = "r";
    local.mInfo.mDataCentre = "a";
    remote.mInfo.mDataCentre = "b";
    local.mInfo.mState = remote.mInfo.mState = UpstreamState::Ready;
    const std::vector<ReplicaView*> replicas{ &local, &remote };
    PlacementLimits limits;
    limits.mDataCentre = "a";
    for (int i = 0; i < 1000; ++i) {
      CPPUNIT_ASSERT(ChooseReplica(replicas, {}, limits, milliseconds(20), kStart, one) ==
                     ChooseByLocality({}, replicas, {}, limits, milliseconds(20), kStart, other));
    }
  }

  // One data centre gets 1.4 times what its replicas take, the others half: a part leaves, and
  // nothing comes back in exchange.
  void OneOverloadedDataCentre()
  {
    Scenario scenario;
    scenario.mRate = { 840, 300, 300 };
    const Comparison outcome = Compare(scenario);
    CPPUNIT_ASSERT(outcome.mWith[0].Served() > 0.99);
    CPPUNIT_ASSERT(ServedByAll(outcome.mWith) >= ServedByAll(outcome.mWithout) - 0.003);
    CPPUNIT_ASSERT(outcome.mWith[0].CrossingShare() > 0.25);
    CPPUNIT_ASSERT(outcome.mWith[0].CrossingShare() < 0.45);
    CPPUNIT_ASSERT(outcome.mWith[1].CrossingShare() < 0.06);
    CPPUNIT_ASSERT(outcome.mWith[2].CrossingShare() < 0.06);
    CPPUNIT_ASSERT(outcome.mWith[0].Quantile(0.95) <= outcome.mWithout[0].Quantile(0.95) + 10);
  }

  // All get 1.2 times what they take: nobody gains by leaving, so the data centres must not
  // exchange requests. Without the feature, half of the requests cross.
  void AllDataCentresOverloaded()
  {
    Scenario scenario;
    scenario.mRate = { 720, 720, 720 };
    const Comparison outcome = Compare(scenario);
    CPPUNIT_ASSERT(ServedByAll(outcome.mWith) >= ServedByAll(outcome.mWithout) - 0.01);
    for (std::size_t place = 0; place < 3; ++place) {
      CPPUNIT_ASSERT(outcome.mWith[place].CrossingShare() <
                     0.5 * outcome.mWithout[place].CrossingShare());
      CPPUNIT_ASSERT(outcome.mWith[place].Turns() <= 2);
    }
  }

  // The replicas of one data centre take four times as long: most of its requests leave.
  void SlowReplicasOnlyHere()
  {
    Scenario scenario;
    scenario.mSlowdown = { 4, 1, 1 };
    const Comparison outcome = Compare(scenario);
    CPPUNIT_ASSERT(outcome.mWith[0].CrossingShare() > 0.8);
    CPPUNIT_ASSERT(ServedByAll(outcome.mWith) >= ServedByAll(outcome.mWithout) - 0.005);
    CPPUNIT_ASSERT(outcome.mWith[0].Served() > 0.98);
    CPPUNIT_ASSERT(outcome.mWith[0].Turns() <= 1);
  }

  // The links of a data centre to which another one sends are cut: few sends are lost to it, and
  // the third one takes the rest.
  void CutLink()
  {
    Scenario scenario;
    scenario.mRate = { 840, 300, 300 };
    scenario.mCutDataCentre = 1;
    scenario.mCutAt = seconds(14);
    const Comparison outcome = Compare(scenario);
    CPPUNIT_ASSERT(outcome.mWith[0].Served() > 0.98);
    CPPUNIT_ASSERT(ServedByAll(outcome.mWith) >= ServedByAll(outcome.mWithout) - 0.005);
    CPPUNIT_ASSERT(outcome.mWith[1].Served() > 0.99);
    const auto sends = static_cast<double>(outcome.mWith[0].mSends);
    CPPUNIT_ASSERT(static_cast<double>(outcome.mWith[0].mCrossingToCut) < 0.02 * sends);
  }

  // A data centre without a replica: everything leaves, as well served as without the feature, and
  // mostly to one of the others.
  void NoLocalReplica()
  {
    Scenario scenario;
    scenario.mReplicas = { 0, 3, 3 };
    scenario.mUsualRate = scenario.mRate = { 200, 250, 250 };
    const Comparison outcome = Compare(scenario);
    CPPUNIT_ASSERT_EQUAL(outcome.mWith[0].mSends, outcome.mWith[0].mCrossing);
    CPPUNIT_ASSERT(outcome.mWith[0].Served() >= outcome.mWithout[0].Served() - 0.005);
    CPPUNIT_ASSERT(outcome.mWith[0].Quantile(0.95) <= outcome.mWithout[0].Quantile(0.95) + 10);
  }

  // A price keeps requests at home as long as they are answered in time there.
  void Price()
  {
    Scenario scenario;
    scenario.mRate = { 840, 300, 300 };
    const std::vector<Outcome> free = Model(scenario).Run();
    scenario.mPricePerGb = 0.02;
    const std::vector<Outcome> cheap = Model(scenario).Run();
    scenario.mPricePerGb = 10;
    const std::vector<Outcome> dear = Model(scenario).Run();
    CPPUNIT_ASSERT(std::abs(cheap[0].CrossingShare() - free[0].CrossingShare()) < 0.05);
    CPPUNIT_ASSERT(dear[0].CrossingShare() < 0.9 * free[0].CrossingShare());
    // Without overload, nothing leaves.
    CPPUNIT_ASSERT(dear[1].CrossingShare() < 0.005);
    CPPUNIT_ASSERT(free[0].Served() > 0.99);
    CPPUNIT_ASSERT(dear[0].Served() > 0.98);
  }

  // 30 gateways in each data centre see the same overload at once, with few requests each.
  void ManyGatewaysDecideAtOnce()
  {
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
      Scenario scenario;
      scenario.mSeed = seed;
      scenario.mGatewaysPerDataCentre = 30;
      scenario.mRate = { 840, 300, 300 };
      const Comparison outcome = Compare(scenario);
      CPPUNIT_ASSERT(outcome.mWith[0].Turns() <= 1);
      CPPUNIT_ASSERT(outcome.mWith[1].Turns() <= 1);
      CPPUNIT_ASSERT(outcome.mWith[1].CrossingShare() < outcome.mWithout[1].CrossingShare());
      CPPUNIT_ASSERT(ServedByAll(outcome.mWith) >= ServedByAll(outcome.mWithout) - 0.003);
    }
  }

  void RisesWithinSomeHundredMillisecondsAndFallsSlowly()
  {
    Rng rng(1);
    LocalityState state;
    LocalityInputs inputs = Inputs();
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT(!state.mEngaged);
    inputs.mDataCentres[0].mLoad = 3;
    UpdateLocality(state, inputs, rng);
    UpdateLocality(state, inputs, rng);
    const double risen = LeavingShare(state, "a");
    CPPUNIT_ASSERT(risen > 0.3);
    inputs.mDataCentres[0].mLoad = 1;
    UpdateLocality(state, inputs, rng);
    const double fallen = LeavingShare(state, "a");
    CPPUNIT_ASSERT(fallen < risen && fallen > 0.9 * risen);
    for (int i = 0; i < 200; ++i) {
      UpdateLocality(state, inputs, rng);
    }
    CPPUNIT_ASSERT(!state.mEngaged);
  }

  void CutDataCentreIsProbed()
  {
    Rng rng(1);
    LocalityState state;
    LocalityInputs inputs = Inputs();
    inputs.mDataCentres[0].mLoad = 3;
    for (int i = 0; i < 10; ++i) {
      UpdateLocality(state, inputs, rng);
    }
    inputs.mDataCentres[1].mReached = inputs.mDataCentres[2].mReached = false;
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT(LeavingShare(state, "a") <= 2 * kCutProbeShare);
    CPPUNIT_ASSERT(state.mShares["b"] > 0);
    // Replicas that take no requests, as evacuated ones, get no probe either.
    inputs.mDataCentres[1].mUsable = 0;
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT(!state.mShares.contains("b"));
  }

  // Without a local replica, home is the nearest data centre; once the replica is back, requests
  // return over seconds.
  void HomeReturns()
  {
    Rng rng(1);
    LocalityState state;
    LocalityInputs inputs = Inputs();
    inputs.mDataCentres[0].mUsable = 0;
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), state.mHome);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, LeavingShare(state, "a"), 1e-9);
    inputs.mDataCentres[0].mUsable = 1;
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), state.mHome);
    CPPUNIT_ASSERT(LeavingShare(state, "a") > 0.9);
    for (int i = 0; i < 200; ++i) {
      UpdateLocality(state, inputs, rng);
    }
    CPPUNIT_ASSERT(!state.mEngaged);
    for (DataCentreView& view : inputs.mDataCentres) {
      view.mUsable = 0;
    }
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT(!state.mEngaged && state.mHome.empty());
  }

  // A replica that pauses for 100 ms is as fast as before afterwards.
  void OnePauseIsNoOverload()
  {
    UsualLatency usual;
    LoadEstimate load;
    for (int i = 0; i < 100; ++i) {
      RecordUsualLatency(usual, milliseconds(10), kStart);
      RecordLoad(load, usual, milliseconds(10), kStart);
    }
    const TimePoint later = kStart + milliseconds(400);
    RecordLoad(load, usual, milliseconds(110), later);
    const LoadBasis basis = MakeLoadBasis(load, load, 0);
    CPPUNIT_ASSERT(BlendLoad(load, load, basis, basis, later) < kOverloadLoad);
    RecordLoad(load, usual, milliseconds(110), later + milliseconds(400));
    CPPUNIT_ASSERT(BlendLoad(load, load, basis, basis, later + milliseconds(400)) > kOverloadLoad);
  }

  // An overload of 30 s must still count as one.
  void OverloadDoesNotBecomeUsual()
  {
    UsualLatency usual;
    LoadEstimate load;
    TimePoint now = kStart;
    const auto record = [&](Duration aLatency, Duration aFor) {
      for (const TimePoint until = now + aFor; now < until; now += milliseconds(50)) {
        RecordUsualLatency(usual, aLatency, now);
        RecordLoad(load, usual, aLatency, now);
      }
    };
    record(milliseconds(10), seconds(30));
    record(milliseconds(30), seconds(30));
    const LoadBasis basis = MakeLoadBasis(load, load, 0);
    CPPUNIT_ASSERT(BlendLoad(load, load, basis, basis, now) > kOverloadLoad);
  }

  // One lost reply must not change how requests are placed.
  void OneFailureIsNoOverload()
  {
    Rng rng(1);
    LoadEstimate load;
    RecordLoadFailure(load, kStart);
    LocalityState state;
    LocalityInputs inputs = Inputs();
    inputs.mDataCentres[0].mFailureShare = FailureShare(load, kStart);
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT(!state.mEngaged);
    RecordLoadFailure(load, kStart);
    inputs.mDataCentres[0].mFailureShare = FailureShare(load, kStart);
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT(state.mEngaged);
    // Without new samples, failures are forgotten.
    CPPUNIT_ASSERT(FailureShare(load, kStart + seconds(30)) < 0.01);
  }

  // Guards against a home that alternates between data centres behind links of nearly the same
  // length.
  void HomeStaysBehindSimilarLinks()
  {
    Rng rng(1);
    LocalityState state;
    LocalityInputs inputs = Inputs();
    inputs.mDataCentres[0].mUsable = 0;
    inputs.mDataCentres[1].mLinkTime = milliseconds(4);
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), state.mHome);
    inputs.mDataCentres[2].mLinkTime = milliseconds(3);
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), state.mHome);
    inputs.mDataCentres[2].mLinkTime = milliseconds(2);
    UpdateLocality(state, inputs, rng);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), state.mHome);
  }

  // Guards against a link whose share of the latency is read from a few samples.
  void LinkIsMeasuredOnceBothHaveSamples()
  {
    LoadEstimate few;
    LoadEstimate many;
    many.mSamples = 100;
    many.mBestRatio = 1.5;
    CPPUNIT_ASSERT_EQUAL(0.2, MakeLoadBasis(few, many, 0.2).mLinkRatio);
    few.mSamples = 100;
    CPPUNIT_ASSERT_EQUAL(0.5, MakeLoadBasis(few, many, 0.2).mLinkRatio);
  }

  // While shares limit what leaves, requests must not be kept at a local replica that just failed
  // if another data centre has room, and must not leave because of a refusal if none has.
  void FailedReplicaIsAvoidedWhileEngaged()
  {
    Rng rng(1);
    ReplicaView local;
    ReplicaView remote;
    local.mInfo.mId = "l";
    remote.mInfo.mId = "r";
    local.mInfo.mDataCentre = "a";
    remote.mInfo.mDataCentre = "b";
    local.mInfo.mState = remote.mInfo.mState = UpstreamState::Ready;
    const std::vector<ReplicaView*> replicas{ &local, &remote };
    PlacementLimits limits;
    limits.mDataCentre = "a";
    LocalityState state;
    state.mEngaged = true;
    state.mHome = "a";
    const auto choose = [&] {
      return ChooseByLocality(state, replicas, {}, limits, milliseconds(20), kStart, rng);
    };
    CPPUNIT_ASSERT(choose() == &local);
    RecordFailure(local, kStart);
    CPPUNIT_ASSERT(choose() == &remote);
    state.mRoomElsewhere = false;
    CPPUNIT_ASSERT(choose() == &local);
    RecordFailure(local, kStart);
    RecordFailure(local, kStart);
    RecordFailure(local, kStart);
    CPPUNIT_ASSERT(choose() == &remote);
    CPPUNIT_ASSERT(limits.mOnlyDataCentres.empty());
  }

private:
  static LocalityInputs Inputs()
  {
    LocalityInputs inputs;
    inputs.mOwn = "a";
    inputs.mUsual = milliseconds(10);
    inputs.mObjective = kObjective;
    for (const char* const name : { "a", "b", "c" }) {
      DataCentreView view;
      view.mName = name;
      view.mUsable = 1;
      inputs.mDataCentres.push_back(view);
    }
    inputs.mDataCentres[1].mLinkTime = milliseconds(1);
    inputs.mDataCentres[2].mLinkTime = milliseconds(4);
    return inputs;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LocalityTest);
