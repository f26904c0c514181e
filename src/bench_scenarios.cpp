#include "bench_scenarios.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMillion = 1'000'000;
// Arrivals last this long; faults begin after the first two seconds.
constexpr Duration kRunTime = seconds(8);
// Scenarios with many times the sub-requests are shorter, to keep the whole bench within 45 s.
constexpr Duration kBusyRunTime = seconds(4);
constexpr Duration kFaultStart = seconds(2);
// Offered load in percent of the capacity of the main collection.
constexpr std::uint64_t kNormalLoad = 40;
constexpr std::uint64_t kMixedLoad = 70;
constexpr std::uint64_t kOverload = 200;
constexpr std::uint32_t kStragglerFactor = 20;
constexpr Duration kOutageTime = seconds(2);
constexpr Duration kRecoveryBound = seconds(2);
constexpr Duration kReplicaLossSettle = seconds(1);
// The peak of arrivals is counted in windows of 100 ms.
constexpr std::uint64_t kPeakWindowsPerSecond = 10;

struct CollectionSize
{
  const char* mName;
  std::uint32_t mServices;
  std::uint32_t mReplicas;
  std::uint32_t mSlots;
  std::uint32_t mConnections;
  std::int64_t mConnectCostMs;
};

// Section 1.3 of the design page.
constexpr std::array<CollectionSize, 4> kKestane{ {
  { "inspection-desk", 10, 3, 5, 40, 6 },
  { "course-scheduling", 15, 3, 5, 40, 6 },
  { "logbook-portal", 1, 40, 2, 110, 1 },
  { "dues", 1, 20, 2, 110, 1 },
} };
constexpr std::array<CollectionSize, 4> kKaarnapuu{ {
  { "deal-desk", 10, 3, 2, 25, 6 },
  { "partner-portal", 15, 3, 2, 25, 6 },
  { "invoice-viewer", 1, 5, 4, 40, 1 },
  { "offer-drafts", 1, 4, 4, 40, 1 },
} };

const std::array<CollectionSize, 4>&
SizesOf(Deployment aDeployment)
{
  return aDeployment == Deployment::Kestane ? kKestane : kKaarnapuu;
}

std::vector<std::string>
CentresOf(Deployment aDeployment)
{
  return aDeployment == Deployment::Kestane
           ? std::vector<std::string>{ "bolu", "duzce", "sakarya" }
           : std::vector<std::string>{ "tartu-a", "tartu-b", "viljandi", "voru" };
}

std::string
ServiceName(const CollectionSize& aSize, std::uint32_t aService)
{
  return fmt::format("{}-{:02}", aSize.mName, aService);
}

ClassPolicy
MakeClass(const char* aName, std::uint32_t aUrgency, std::uint32_t aWeight, Duration aDeadline)
{
  ClassPolicy policy;
  policy.mName = aName;
  policy.mUrgency = aUrgency;
  policy.mWeight = aWeight;
  policy.mDeadline = aDeadline;
  policy.mQueueLimit = 500;
  return policy;
}

// "check" is urgent, "list" may wait but must not be dropped, "bulk" may be refused, "entry" must
// not run twice.
std::shared_ptr<const Config>
MakeConfig(Deployment aDeployment)
{
  auto config = std::make_shared<Config>();
  config->mRevision = 1;
  ClassPolicy check = MakeClass("check", 0, 8, milliseconds(290));
  if (aDeployment == Deployment::Kaarnapuu) {
    check.mCoverage = CoveragePolicy::Soon;
    check.mMinCoverage = 0.9;
    check.mAnswerAfter = milliseconds(200);
  }
  ClassPolicy list = MakeClass("list", 5, 2, seconds(5));
  list.mWhenFull = WhenFull::Wait;
  list.mQueueLimit = 5000;
  ClassPolicy entry = MakeClass("entry", 1, 4, seconds(1));
  entry.mRepeatable = false;
  for (const ClassPolicy& policy : { check, list, MakeClass("bulk", 7, 1, seconds(1)), entry }) {
    config->mClasses[policy.mName] = policy;
  }
  for (const CollectionSize& size : SizesOf(aDeployment)) {
    CollectionPolicy& collection = config->mCollections[size.mName];
    collection.mName = size.mName;
    collection.mDefaultClass = "check";
    for (std::uint32_t i = 0; i < size.mServices; ++i) {
      collection.mServices.push_back(ServiceName(size, i));
    }
  }
  return config;
}

UpstreamInfo
MakeInfo(const CollectionSize& aSize,
         std::uint32_t aService,
         const std::string& aSuffix,
         const std::string& aDataCentre)
{
  UpstreamInfo info;
  info.mService = ServiceName(aSize, aService);
  info.mId = info.mService + "-" + aSuffix;
  info.mMap = 1;
  info.mAddress = { "127.0.0.1", 1 };
  info.mDataCentre = aDataCentre;
  info.mSlots = aSize.mSlots;
  info.mConnections = aSize.mConnections;
  info.mVersions = { 1 };
  info.mState = UpstreamState::Ready;
  return info;
}

struct Setup
{
  World& mWorld;
  Deployment mDeployment;
  const CollectionSize& mMain;
  std::vector<std::string> mCentres;
  Duration mRunTime = kRunTime;
};

void
AddCollection(Setup& aSetup, const CollectionSize& aSize)
{
  for (std::uint32_t service = 0; service < aSize.mServices; ++service) {
    for (std::uint32_t r = 0; r < aSize.mReplicas; ++r) {
      // Shifting by the service spreads the replicas over all data centres.
      const std::string& centre = aSetup.mCentres[(r + service) % aSetup.mCentres.size()];
      aSetup.mWorld.AddReplica(MakeInfo(aSize, service, fmt::to_string(r), centre),
                               milliseconds(aSize.mConnectCostMs));
    }
  }
}

// Queries/s that the slots of the scarcest shard can serve, in parts of a thousand.
std::uint64_t
CapacityPerKilosecond(const CollectionSize& aSize)
{
  const std::uint64_t slots = std::uint64_t{ aSize.mReplicas } * aSize.mSlots;
  return slots * kMillion * 1000 / static_cast<std::uint64_t>(kMeanServiceTime.count());
}

struct ClassShare
{
  const char* mClass;
  std::uint32_t mPercent;
};

// An open-loop stream with independent random arrivals, alternating over the hosts at random.
void
AddArrivals(World& aWorld,
            std::uint64_t aSeed,
            const std::string& aCollection,
            Duration aTime,
            std::uint64_t aRatePerKilosecond,
            const std::vector<ClassShare>& aShares)
{
  if (aRatePerKilosecond == 0) {
    return;
  }
  Rng rng(aSeed);
  const Duration mean(kMillion * 1000 / aRatePerKilosecond);
  std::uint64_t sent = 0;
  for (Duration at = DrawExponential(rng, mean); at < aTime; at += DrawExponential(rng, mean)) {
    std::uint64_t draw = rng() % 100;
    const ClassShare* share = aShares.data();
    while (draw >= share->mPercent) {
      draw -= share->mPercent;
      ++share;
    }
    const std::size_t host = rng() % 2;
    // Distinct texts: a quarantine follows the text, and one text for all would stop every query
    // when several replicas die at once.
    const QueryPlan plan{ aCollection, share->mClass, fmt::format("query {}", sent++), 0 };
    aWorld.Schedule(at, [&aWorld, plan, host] { aWorld.Submit(plan, host); });
  }
}

void
AddMainLoad(Setup& aSetup, std::uint64_t aSeed, std::uint64_t aPercent)
{
  const std::uint64_t rate = CapacityPerKilosecond(aSetup.mMain) * aPercent / 100;
  // Urgent queries offer at most 30% of the capacity, so that the urgent class alone never
  // overloads the replicas.
  const auto urgent = static_cast<std::uint32_t>(std::min<std::uint64_t>(70, 3000 / aPercent));
  const std::uint32_t list = (100 - urgent) / 3;
  AddArrivals(aSetup.mWorld,
              aSeed,
              aSetup.mMain.mName,
              aSetup.mRunTime,
              rate,
              { { "check", urgent }, { "list", list }, { "bulk", 100 - urgent - list } });
}

// Calls aAction for each replica of the main collection.
template<typename Action>
void
ForEachMain(Setup& aSetup, Action aAction)
{
  for (std::uint32_t service = 0; service < aSetup.mMain.mServices; ++service) {
    const auto replicas = aSetup.mWorld.ReplicasOf(ServiceName(aSetup.mMain, service));
    for (std::uint32_t r = 0; r < replicas.size(); ++r) {
      aAction(service, r, replicas[r]);
    }
  }
}

// ---- Faults of the scenarios -------------------------------------------------------------------

void
Straggle(Setup& aSetup)
{
  std::uint32_t index = 0;
  ForEachMain(aSetup, [&](std::uint32_t, std::uint32_t, std::size_t aReplica) {
    if (index++ % 10 == 0) {
      aSetup.mWorld.At(aReplica).mFaults.mSlowFactor = kStragglerFactor;
    }
  });
}

void
LoseReplicas(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  ForEachMain(aSetup, [&](std::uint32_t aService, std::uint32_t aIndex, std::size_t aReplica) {
    if (aIndex == aService % 3) {
      world.Schedule(kFaultStart, [&world, aReplica] { world.Crash(aReplica, Duration::zero()); });
    }
  });
}

void
LoseZone(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  world.Schedule(kFaultStart, [&world, zone = aSetup.mCentres.back()] {
    for (std::size_t i = 0; i < world.Replicas(); ++i) {
      if (world.At(i).mInfo.mDataCentre == zone) {
        world.At(i).mFaults.mIsolated = true;
        world.ExpireLater(i);
      }
    }
  });
}

void
StopService(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  for (const std::size_t replica : world.ReplicasOf(ServiceName(aSetup.mMain, 0))) {
    world.Schedule(kFaultStart, [&world, replica] { world.Crash(replica, kOutageTime); });
  }
}

// Every replica first adds version 2, one after another, and then retires version 1.
void
RollVersion(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  std::int64_t step = 0;
  ForEachMain(aSetup, [&](std::uint32_t, std::uint32_t, std::size_t aReplica) {
    const Duration add = kFaultStart + milliseconds(50 * step);
    world.Schedule(add, [&world, aReplica] {
      world.At(aReplica).mInfo.mVersions = { 1, 2 };
      world.Announce(aReplica);
    });
    world.Schedule(add + seconds(2), [&world, aReplica] {
      world.At(aReplica).mInfo.mVersions = { 2 };
      world.Announce(aReplica);
    });
    ++step;
  });
}

// A third of the services is split into two shards: new replicas join, the old ones drain.
void
Repartition(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  for (std::uint32_t service = 0; service < aSetup.mMain.mServices; service += 3) {
    const std::vector<std::size_t> old = world.ReplicasOf(ServiceName(aSetup.mMain, service));
    for (std::uint32_t i = 0; i < 2 * aSetup.mMain.mReplicas; ++i) {
      UpstreamInfo info = MakeInfo(aSetup.mMain,
                                   service,
                                   fmt::format("new-{}", i),
                                   aSetup.mCentres[i / 2 % aSetup.mCentres.size()]);
      info.mMap = 2;
      info.mShard = i % 2;
      info.mRange = { i % 2 == 0 ? 0 : kKeySpace / 2, i % 2 == 0 ? kKeySpace / 2 : kKeySpace };
      info.mState = UpstreamState::Starting;
      const std::size_t added = world.AddReplica(info, milliseconds(aSetup.mMain.mConnectCostMs));
      world.Schedule(kFaultStart + milliseconds(100 * i), [&world, added] {
        world.At(added).mInfo.mState = UpstreamState::Ready;
        world.Announce(added);
      });
    }
    for (std::size_t i = 0; i < old.size(); ++i) {
      const Duration drain = seconds(4) + milliseconds(200 * i);
      world.Schedule(drain, [&world, replica = old[i]] { world.Drain(replica); });
      world.Schedule(drain + seconds(3), [&world, replica = old[i]] {
        world.At(replica).mInfo.mState = UpstreamState::Left;
        world.At(replica).mFaults.mRefuse = true;
        world.Announce(replica);
      });
    }
  }
}

void
SilenceOneHost(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  world.Schedule(kFaultStart, [&world] { world.SilenceConnections(0); });
}

void
SendCrashRequest(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  ForEachMain(aSetup, [&](std::uint32_t aService, std::uint32_t, std::size_t aReplica) {
    world.At(aReplica).mFaults.mCrashOnMarked = aService == 0;
  });
  const QueryPlan plan{ aSetup.mMain.mName, "check", kMarkedQuery, 10 };
  world.Schedule(kFaultStart, [&world, plan] { world.Submit(plan, 0); });
}

void
StartCold(Setup& aSetup)
{
  World& world = aSetup.mWorld;
  ForEachMain(aSetup, [&](std::uint32_t aService, std::uint32_t aIndex, std::size_t aReplica) {
    if (aIndex == aService % 3) {
      world.Schedule(kFaultStart, [&world, aReplica] { world.Crash(aReplica, milliseconds(500)); });
    }
  });
}

struct Scenario
{
  const char* mName;
  std::uint64_t mLoadPercent;
  void (*mPrepare)(Setup&);
  Duration mRunTime = kRunTime;
};

constexpr Scenario kScenarios[] = {
  { "healthy", kNormalLoad, nullptr },
  { "straggler", kNormalLoad, &Straggle },
  { "replica_loss", kNormalLoad, &LoseReplicas },
  { "zone_loss", kNormalLoad, &LoseZone },
  { "overload_2x", kOverload, nullptr, kBusyRunTime },
  { "outage_recovery", kNormalLoad, &StopService },
  { "version_rollout", kNormalLoad, &RollVersion },
  { "repartition", kNormalLoad, &Repartition },
  { "silent_connections", kNormalLoad, &SilenceOneHost },
  { "crash_request", kNormalLoad, &SendCrashRequest },
  { "cold_start", kNormalLoad, &StartCold },
  { "mixed_classes", kMixedLoad, nullptr, kBusyRunTime },
};

// All collections at once; the single-service ones carry the unrepeatable requests.
void
AddMixedLoad(Setup& aSetup, std::uint64_t aSeed)
{
  for (const CollectionSize& size : SizesOf(aSetup.mDeployment)) {
    if (&size == &aSetup.mMain) {
      AddMainLoad(aSetup, aSeed, kMixedLoad);
      continue;
    }
    AddCollection(aSetup, size);
    const std::uint64_t rate = CapacityPerKilosecond(size) * kMixedLoad / 100;
    const bool single = size.mServices == 1;
    AddArrivals(aSetup.mWorld,
                ++aSeed,
                size.mName,
                aSetup.mRunTime,
                // The small collections run at a tenth, to keep the run short.
                single ? rate / 10 : rate,
                { { single ? "entry" : "check", 50 }, { "list", 50 } });
  }
}

// ---- Figures -----------------------------------------------------------------------------------

Duration
Quantile(const std::vector<Duration>& aSorted, std::uint64_t aPermille)
{
  if (aSorted.empty()) {
    return Duration::zero();
  }
  return aSorted[std::min(aSorted.size() - 1, aSorted.size() * aPermille / 1000)];
}

std::uint64_t
Ppm(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0 : aPart * kMillion / aWhole;
}

bool
IsUseful(const QueryRecord& aQuery)
{
  return aQuery.mResult == Result::Ok || aQuery.mResult == Result::PartialAnswer;
}

void
Mix(XXH64_state_t* aState, std::uint64_t aValue)
{
  // Byte order must not change the signature.
  unsigned char bytes[8];
  for (unsigned i = 0; i < 8; ++i) {
    bytes[i] = static_cast<unsigned char>(aValue >> (8 * i));
  }
  XXH64_update(aState, bytes, sizeof(bytes));
}

std::uint64_t
SignatureOf(const World& aWorld)
{
  XXH64_state_t* const state = XXH64_createState();
  XXH64_reset(state, 0);
  for (const QueryRecord& query : aWorld.Queries()) {
    Mix(state, Describe(query.mResult).mNumber);
    Mix(state, static_cast<std::uint64_t>(query.mLatency.count()));
    Mix(state, query.mExpected);
    Mix(state, query.mAnswered);
    Mix(state, query.mSent);
  }
  Mix(state, aWorld.ExtraSubs());
  Mix(state, aWorld.Violations().size());
  const std::uint64_t digest = XXH64_digest(state);
  XXH64_freeState(state);
  return digest;
}

// The time after which the queries of a scenario must be whole again.
Duration
SettledAfter(const std::string& aScenario)
{
  return aScenario == "outage_recovery" ? kFaultStart + kOutageTime + kRecoveryBound
                                        : kFaultStart + kReplicaLossSettle;
}

void
Evaluate(const World& aWorld, const Setup& aSetup, Duration aDeadline, ScenarioResult& aResult)
{
  std::vector<Duration> latencies;
  std::uint64_t expected = 0;
  std::uint64_t answered = 0;
  std::uint64_t useful = 0;
  std::uint64_t settled = 0;
  std::uint64_t settledWhole = 0;
  const TimePoint settledFrom = aWorld.Start() + SettledAfter(aResult.mScenario);
  for (const QueryRecord& query : aWorld.Queries()) {
    const bool waiting = query.mPlan.mClass == "list" || query.mPlan.mClass == "bulk";
    if (query.mPlan.mClass == "check" && query.mPlan.mText != kMarkedQuery) {
      latencies.push_back(IsUseful(query) ? query.mLatency : aDeadline);
      expected += std::max(1U, query.mExpected);
      answered += query.mAnswered;
    }
    if (query.mArrived >= settledFrom && query.mPlan.mText != kMarkedQuery) {
      ++settled;
      settledWhole += query.mResult == Result::Ok ? 1 : 0;
    }
    // Answers that fall into the time of arrivals measure the throughput under load.
    const bool inRun = query.mArrived + query.mLatency <= aWorld.Start() + aSetup.mRunTime;
    useful += IsUseful(query) && inRun ? 1 : 0;
    aResult.mWaitingAnswered += waiting && IsUseful(query) ? 1 : 0;
  }
  std::sort(latencies.begin(), latencies.end());
  aResult.mP50 = Quantile(latencies, 500);
  aResult.mP99 = Quantile(latencies, 990);
  aResult.mP999 = Quantile(latencies, 999);
  aResult.mCoveragePpm = Ppm(answered, expected);
  aResult.mExtraLoadPpm = Ppm(aWorld.ExtraSubs(), aWorld.FirstSubs());
  aResult.mFullCoveragePpm = Ppm(settledWhole, settled);
  const std::uint64_t capacity = CapacityPerKilosecond(aSetup.mMain);
  const auto runSeconds =
    static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(aSetup.mRunTime).count());
  aResult.mGoodputPpm = Ppm(useful * 1000, capacity * runSeconds);
  const std::uint64_t peak =
    aWorld.PeakArrivals(ServiceName(aSetup.mMain, 0), aWorld.Start() + kFaultStart + kOutageTime);
  aResult.mPeakPpm = Ppm(peak * 1000 * kPeakWindowsPerSecond, capacity);
  const auto& crashes = aWorld.MarkedCrashes();
  aResult.mMarkedCrashes = *std::max_element(crashes.begin(), crashes.end());
  aResult.mViolations = aWorld.Violations();
  aResult.mSignature = SignatureOf(aWorld);
}

std::string
Decimal(std::uint64_t aPpm)
{
  return fmt::format("{}.{:06}", aPpm / kMillion, aPpm % kMillion);
}

const ScenarioResult*
Find(const std::vector<ScenarioResult>& aResults,
     std::string_view aScenario,
     Deployment aDeployment,
     BenchPolicy aPolicy)
{
  for (const ScenarioResult& result : aResults) {
    if (result.mScenario == aScenario && result.mDeployment == aDeployment &&
        result.mPolicy == aPolicy) {
      return &result;
    }
  }
  return nullptr;
}

// Collects the bars of one deployment.
struct BarList
{
  const std::vector<ScenarioResult>& mResults;
  Deployment mDeployment;
  std::vector<Bar>& mBars;

  const ScenarioResult& Current(std::string_view aScenario) const
  {
    return *Find(mResults, aScenario, mDeployment, BenchPolicy::Current);
  }
  const ScenarioResult& Plain(std::string_view aScenario) const
  {
    return *Find(mResults, aScenario, mDeployment, BenchPolicy::Baseline);
  }
  void AtMost(const std::string& aName, std::uint64_t aBound, std::uint64_t aFigure) const
  {
    Add(aName, "at most ", aBound, aFigure, aFigure <= aBound);
  }
  void Below(const std::string& aName, std::uint64_t aBound, std::uint64_t aFigure) const
  {
    Add(aName, "below ", aBound, aFigure, aFigure < aBound);
  }
  void AtLeast(const std::string& aName, std::uint64_t aBound, std::uint64_t aFigure) const
  {
    Add(aName, "at least ", aBound, aFigure, aFigure >= aBound);
  }
  void Count(const char* aName, const char* aBound, std::uint64_t aFigure, bool aMet) const
  {
    mBars.push_back({ fmt::format("{}/{}", DeploymentName(mDeployment), aName),
                      aBound,
                      fmt::to_string(aFigure),
                      aMet });
  }
  void Add(const std::string& aName,
           const char* aRelation,
           std::uint64_t aBound,
           std::uint64_t aFigure,
           bool aMet) const
  {
    mBars.push_back({ fmt::format("{}/{}", DeploymentName(mDeployment), aName),
                      aRelation + Decimal(aBound),
                      Decimal(aFigure),
                      aMet });
  }
};

std::uint64_t
Ratio(Duration aOver, Duration aUnder)
{
  return Ppm(static_cast<std::uint64_t>(aOver.count()), static_cast<std::uint64_t>(aUnder.count()));
}

void
AddBars(const BarList& aBars)
{
  const ScenarioResult& healthy = aBars.Current("healthy");
  const ScenarioResult& straggler = aBars.Current("straggler");
  aBars.AtMost("straggler: p99 over healthy p99", 1'300'000, Ratio(straggler.mP99, healthy.mP99));
  aBars.AtLeast("straggler: baseline p99 over p99",
                4'000'000,
                Ratio(aBars.Plain("straggler").mP99, straggler.mP99));
  aBars.AtMost("straggler: extra load", 50'000, straggler.mExtraLoadPpm);
  const ScenarioResult& loss = aBars.Current("replica_loss");
  aBars.AtLeast("replica_loss: whole answers after 1 s", 999'000, loss.mFullCoveragePpm);
  aBars.Below("replica_loss: extra load", 100'000, loss.mExtraLoadPpm);
  const ScenarioResult& overload = aBars.Current("overload_2x");
  aBars.AtMost(
    "overload_2x: urgent p99 over unloaded p99", 1'500'000, Ratio(overload.mP99, healthy.mP99));
  aBars.AtLeast("overload_2x: goodput over capacity", 900'000, overload.mGoodputPpm);
  aBars.Count("overload_2x: answers of waiting classes",
              "at least 1",
              overload.mWaitingAnswered,
              overload.mWaitingAnswered >= 1);
  const ScenarioResult& outage = aBars.Current("outage_recovery");
  aBars.Below("outage_recovery: extra load", 100'000, outage.mExtraLoadPpm);
  aBars.AtLeast(
    "outage_recovery: whole answers 2 s after the return", 999'000, outage.mFullCoveragePpm);
  aBars.AtMost("outage_recovery: peak arrivals over capacity", kMillion, outage.mPeakPpm);
  const std::uint32_t crashes = aBars.Current("crash_request").mMarkedCrashes;
  aBars.Count("crash_request: crashes through one host", "at most 2", crashes, crashes <= 2);
  std::uint64_t violations = 0;
  for (const ScenarioResult& result : aBars.mResults) {
    if (result.mDeployment == aBars.mDeployment && result.mPolicy == BenchPolicy::Current) {
      violations += result.mViolations.size();
    }
  }
  aBars.Count("all scenarios: violations", "at most 0", violations, violations == 0);
}

// ---- Schedules ---------------------------------------------------------------------------------

constexpr CollectionSize kSmallSizes[] = { { "desk", 2, 3, 2, 8, 6 }, { "ledger", 1, 3, 2, 8, 1 } };
constexpr std::uint64_t kScheduleQueries = 40;
constexpr std::uint64_t kScheduleMicros = 1'200'000;

std::shared_ptr<const Config>
MakeSmallConfig(Rng& aRng)
{
  auto config = std::make_shared<Config>(*MakeConfig(Deployment::Kestane));
  config->mCollections.clear();
  if (aRng() % 2 == 0) {
    ClassPolicy& check = config->mClasses.at("check");
    check.mCoverage = CoveragePolicy::Soon;
    check.mMinCoverage = 0.5;
    check.mAnswerAfter = milliseconds(60);
  }
  for (auto& [name, policy] : config->mClasses) {
    policy.mQueueLimit = 1 + aRng() % 20;
    policy.mDeadline = std::min<Duration>(policy.mDeadline, seconds(1));
  }
  for (const CollectionSize& size : kSmallSizes) {
    CollectionPolicy& collection = config->mCollections[size.mName];
    collection.mName = size.mName;
    collection.mDefaultClass = "check";
    for (std::uint32_t i = 0; i < size.mServices; ++i) {
      collection.mServices.push_back(ServiceName(size, i));
    }
  }
  return config;
}

// Splits a service in two while the replicas restart one by one on the new map.
void
SplitInPlace(World& aWorld, const std::vector<std::size_t>& aReplicas)
{
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    const Duration at = aWorld.Now() - aWorld.Start() + milliseconds(60 * i);
    aWorld.Schedule(at, [&aWorld, replica = aReplicas[i], i] {
      UpstreamInfo& info = aWorld.At(replica).mInfo;
      aWorld.Crash(replica, milliseconds(30));
      info.mMap = 2;
      info.mShard = i % 2;
      info.mRange = { i % 2 == 0 ? 0 : kKeySpace / 2, i % 2 == 0 ? kKeySpace / 2 : kKeySpace };
    });
  }
}

struct ScheduleFault
{
  const char* mName;
  void (*mBegin)(World&, std::size_t aReplica);
  void (*mEnd)(World&, std::size_t aReplica);
};

const ScheduleFault kScheduleFaults[] = {
  { "slow",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mSlowFactor = 40; },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mSlowFactor = 1; } },
  { "drop_replies",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mDropReplies = true; },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mDropReplies = false; } },
  { "close_after_read",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mCloseAfterRead = true; },
    [](World& aWorld, std::size_t aReplica) {
      aWorld.At(aReplica).mFaults.mCloseAfterRead = false;
    } },
  { "truncate",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mTruncate = true; },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mTruncate = false; } },
  { "crossed",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mCrossed = true; },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mCrossed = false; } },
  { "duplicate",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mDuplicate = true; },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mDuplicate = false; } },
  { "wrong_version",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mWrongVersion = true; },
    [](World& aWorld, std::size_t aReplica) {
      aWorld.At(aReplica).mFaults.mWrongVersion = false;
    } },
  { "crash_on_marked",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mCrashOnMarked = true; },
    [](World& aWorld, std::size_t aReplica) {
      aWorld.At(aReplica).mFaults.mCrashOnMarked = false;
    } },
  { "refuse",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mRefuse = true; },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mRefuse = false; } },
  { "shed",
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mShed = true; },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mShed = false; } },
  { "isolate",
    [](World& aWorld, std::size_t aReplica) {
      aWorld.At(aReplica).mFaults.mIsolated = true;
      aWorld.ExpireLater(aReplica);
    },
    [](World& aWorld, std::size_t aReplica) { aWorld.At(aReplica).mFaults.mIsolated = false; } },
  { "silence",
    [](World& aWorld, std::size_t aReplica) { aWorld.SilenceConnections(aReplica % 2); },
    [](World&, std::size_t) {} },
  { "crash_and_restart",
    [](World& aWorld, std::size_t aReplica) { aWorld.Crash(aReplica, milliseconds(80)); },
    [](World& aWorld, std::size_t aReplica) { aWorld.Crash(aReplica, milliseconds(80)); } },
  { "crash",
    [](World& aWorld, std::size_t aReplica) { aWorld.Crash(aReplica, Duration::zero()); },
    [](World&, std::size_t) {} },
  { "drain",
    [](World& aWorld, std::size_t aReplica) { aWorld.Drain(aReplica); },
    [](World& aWorld, std::size_t aReplica) {
      aWorld.At(aReplica).mInfo.mState = UpstreamState::Ready;
      aWorld.Announce(aReplica);
    } },
  { "new_version",
    [](World& aWorld, std::size_t aReplica) {
      aWorld.At(aReplica).mInfo.mVersions = { 1, 2 };
      aWorld.Announce(aReplica);
    },
    [](World& aWorld, std::size_t aReplica) {
      aWorld.At(aReplica).mInfo.mVersions = { 2 };
      aWorld.Announce(aReplica);
    } },
  { "new_version_everywhere",
    [](World& aWorld, std::size_t) {
      for (std::size_t i = 0; i < aWorld.Replicas(); ++i) {
        aWorld.At(i).mInfo.mVersions = { 1, 2 };
        aWorld.Announce(i);
      }
    },
    [](World& aWorld, std::size_t) {
      for (std::size_t i = 0; i < aWorld.Replicas(); ++i) {
        aWorld.At(i).mInfo.mVersions = { 2 };
        aWorld.Announce(i);
      }
    } },
  { "repartition",
    [](World& aWorld, std::size_t aReplica) {
      SplitInPlace(aWorld, aWorld.ReplicasOf(aWorld.At(aReplica).mInfo.mService));
    },
    [](World&, std::size_t) {} },
};

void
AddScheduleQueries(World& aWorld, Rng& aRng)
{
  for (std::uint64_t i = 0; i < kScheduleQueries; ++i) {
    const bool ledger = aRng() % 4 == 0;
    const bool marked = aRng() % 10 == 0;
    constexpr const char* kClasses[] = { "check", "list", "bulk" };
    const QueryPlan plan{ ledger ? "ledger" : "desk",
                          ledger ? "entry" : kClasses[aRng() % 3],
                          marked ? kMarkedQuery : fmt::format("query {}", i),
                          marked && !ledger ? 3U : 0U };
    const std::size_t host = aRng() % 2;
    aWorld.Schedule(Duration(aRng() % kScheduleMicros),
                    [&aWorld, plan, host] { aWorld.Submit(plan, host); });
  }
}

void
AddScheduleFaults(World& aWorld, Rng& aRng)
{
  for (int i = 0; i < 2; ++i) {
    const ScheduleFault& fault = kScheduleFaults[aRng() % std::size(kScheduleFaults)];
    const std::size_t replica = aRng() % aWorld.Replicas();
    const Duration begin(aRng() % kScheduleMicros);
    const Duration end = begin + Duration(aRng() % kScheduleMicros);
    aWorld.Schedule(begin, [&aWorld, &fault, replica] {
      aWorld.Trace(fmt::format("fault {} begins at {}", fault.mName, aWorld.At(replica).mInfo.mId));
      fault.mBegin(aWorld, replica);
    });
    aWorld.Schedule(end, [&aWorld, &fault, replica] {
      aWorld.Trace(fmt::format("fault {} ends at {}", fault.mName, aWorld.At(replica).mInfo.mId));
      fault.mEnd(aWorld, replica);
    });
  }
}

} // namespace

std::string_view
DeploymentName(Deployment aDeployment)
{
  return aDeployment == Deployment::Kestane ? "kestane" : "kaarnapuu";
}

const std::vector<std::string>&
ScenarioNames()
{
  static const std::vector<std::string> sNames = [] {
    std::vector<std::string> names;
    for (const Scenario& scenario : kScenarios) {
      names.emplace_back(scenario.mName);
    }
    return names;
  }();
  return sNames;
}

ScenarioResult
RunScenario(const std::string& aScenario,
            Deployment aDeployment,
            BenchPolicy aPolicy,
            std::uint64_t aSeed)
{
  const auto* const scenario =
    std::find_if(std::begin(kScenarios), std::end(kScenarios), [&](const Scenario& aCandidate) {
      return aScenario == aCandidate.mName;
    });
  const std::vector<std::string> centres = CentresOf(aDeployment);
  const auto config = MakeConfig(aDeployment);
  World world({ aPolicy, aSeed, { centres[0], centres[1] }, false }, config);
  Setup setup{ world, aDeployment, SizesOf(aDeployment)[0], centres, scenario->mRunTime };
  AddCollection(setup, setup.mMain);
  if (aScenario == "mixed_classes") {
    AddMixedLoad(setup, aSeed);
  } else {
    AddMainLoad(setup, aSeed, scenario->mLoadPercent);
  }
  if (scenario->mPrepare != nullptr) {
    scenario->mPrepare(setup);
  }
  world.Run();
  ScenarioResult result;
  result.mScenario = aScenario;
  result.mDeployment = aDeployment;
  result.mPolicy = aPolicy;
  Evaluate(world, setup, config->mClasses.at("check").mDeadline, result);
  return result;
}

std::vector<Bar>
CheckBars(const std::vector<ScenarioResult>& aResults)
{
  std::vector<Bar> bars;
  for (const Deployment deployment : { Deployment::Kestane, Deployment::Kaarnapuu }) {
    AddBars({ aResults, deployment, bars });
  }
  return bars;
}

ScheduleResult
RunSchedule(std::uint64_t aSeed, bool aTrace)
{
  Rng rng(aSeed);
  const auto config = MakeSmallConfig(rng);
  World world({ BenchPolicy::Current, aSeed, { "bolu", "duzce" }, aTrace }, config);
  Setup setup{ world, Deployment::Kestane, kSmallSizes[0], CentresOf(Deployment::Kestane) };
  for (const CollectionSize& size : kSmallSizes) {
    AddCollection(setup, size);
  }
  AddScheduleQueries(world, rng);
  AddScheduleFaults(world, rng);
  world.Run();
  return { world.Queries().size(), world.Violations(), SignatureOf(world) };
}

} // namespace apricotyard
