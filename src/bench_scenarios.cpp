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
// Queries arrive during this time. Faults begin at kFaultStart.
constexpr Duration kRunTime = seconds(8);
// Scenarios with many more sub-requests are shorter, so that the whole bench ends within 45 s.
constexpr Duration kShortRunTime = seconds(4);
constexpr Duration kFaultStart = seconds(2);
// Offered load as a percentage of the capacity of the collection.
constexpr std::uint64_t kNormalLoadPercent = 40;
constexpr std::uint64_t kMixedLoadPercent = 70;
constexpr std::uint64_t kOverloadPercent = 200;
constexpr std::uint32_t kStragglerSlowdown = 20;
constexpr Duration kOutageTime = seconds(2);
constexpr Duration kOutageRecoveryBound = seconds(2);
constexpr Duration kReplicaLossRecoveryBound = seconds(1);
// SimulatedCluster::PeakArrivals counts in windows of 100 ms.
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
DataCentresOf(Deployment aDeployment)
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

// Class "check" is urgent. "list" may wait, but must not be dropped. "bulk" may be refused. "entry"
// is not repeatable: it must not run twice.
std::shared_ptr<const Config>
MakeConfig(Deployment aDeployment)
{
  auto config = std::make_shared<Config>();
  config->mRevision = 1;
  ClassPolicy checkClass = MakeClass("check", 0, 8, milliseconds(290));
  if (aDeployment == Deployment::Kaarnapuu) {
    checkClass.mCoverage = CoveragePolicy::Soon;
    checkClass.mMinCoverage = 0.9;
    checkClass.mAnswerAfter = milliseconds(200);
  }
  ClassPolicy listClass = MakeClass("list", 5, 2, seconds(5));
  listClass.mWhenFull = WhenFull::Wait;
  listClass.mQueueLimit = 5000;
  ClassPolicy entryClass = MakeClass("entry", 1, 4, seconds(1));
  entryClass.mRepeatable = false;
  for (const ClassPolicy& policy :
       { checkClass, listClass, MakeClass("bulk", 7, 1, seconds(1)), entryClass }) {
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

struct ScenarioSetup
{
  SimulatedCluster& mCluster;
  Deployment mDeployment;
  const CollectionSize& mMainCollection;
  std::vector<std::string> mDataCentres;
  Duration mRunTime = kRunTime;
};

void
AddCollection(ScenarioSetup& aSetup, const CollectionSize& aSize)
{
  for (std::uint32_t service = 0; service < aSize.mServices; ++service) {
    for (std::uint32_t r = 0; r < aSize.mReplicas; ++r) {
      // The offset by service spreads the replicas over all data centres.
      const std::string& dataCentre =
        aSetup.mDataCentres[(r + service) % aSetup.mDataCentres.size()];
      aSetup.mCluster.AddReplica(MakeInfo(aSize, service, fmt::to_string(r), dataCentre),
                                 milliseconds(aSize.mConnectCostMs));
    }
  }
}

// Queries per 1000 s that a collection can serve. Each service is one shard with the same number of
// slots, and each query needs one slot of every service.
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

// Schedules an open-loop Poisson stream of queries. Each query goes to one of the two hosts at
// random and has a class drawn from aShares, whose percentages add up to 100.
void
AddArrivals(SimulatedCluster& aCluster,
            std::uint64_t aSeed,
            const std::string& aCollection,
            Duration aRunTime,
            std::uint64_t aQueriesPerKilosecond,
            const std::vector<ClassShare>& aShares)
{
  if (aQueriesPerKilosecond == 0) {
    return;
  }
  Rng rng(aSeed);
  const Duration mean(kMillion * 1000 / aQueriesPerKilosecond);
  std::uint64_t sent = 0;
  for (Duration at = DrawExponential(rng, mean); at < aRunTime; at += DrawExponential(rng, mean)) {
    std::uint64_t draw = rng() % 100;
    const ClassShare* share = aShares.data();
    while (draw >= share->mPercent) {
      draw -= share->mPercent;
      ++share;
    }
    const std::size_t host = rng() % 2;
    // The quarantine identifies a request by its text. With one text for all, several replicas that
    // crash at once would quarantine every query.
    const QuerySpec spec{ aCollection, share->mClass, fmt::format("query {}", sent++), 0 };
    aCluster.Schedule(at, [&aCluster, spec, host] { aCluster.Submit(spec, host); });
  }
}

void
AddMainLoad(ScenarioSetup& aSetup, std::uint64_t aSeed, std::uint64_t aPercent)
{
  const std::uint64_t rate = CapacityPerKilosecond(aSetup.mMainCollection) * aPercent / 100;
  // The urgent class offers at most 30% of the capacity, so that it never overloads the replicas on
  // its own.
  const auto urgentPercent =
    static_cast<std::uint32_t>(std::min<std::uint64_t>(70, 3000 / aPercent));
  const std::uint32_t listPercent = (100 - urgentPercent) / 3;
  AddArrivals(aSetup.mCluster,
              aSeed,
              aSetup.mMainCollection.mName,
              aSetup.mRunTime,
              rate,
              { { "check", urgentPercent },
                { "list", listPercent },
                { "bulk", 100 - urgentPercent - listPercent } });
}

// Calls aCallback(service, index within the service, replica) for each replica of the main
// collection.
template<typename Callback>
void
ForEachMainReplica(ScenarioSetup& aSetup, Callback aCallback)
{
  for (std::uint32_t service = 0; service < aSetup.mMainCollection.mServices; ++service) {
    const auto replicas = aSetup.mCluster.ReplicasOf(ServiceName(aSetup.mMainCollection, service));
    for (std::uint32_t r = 0; r < replicas.size(); ++r) {
      aCallback(service, r, replicas[r]);
    }
  }
}

// ---- Faults of the scenarios -------------------------------------------------------------------

void
SlowEveryTenthReplica(ScenarioSetup& aSetup)
{
  std::uint32_t index = 0;
  ForEachMainReplica(aSetup, [&](std::uint32_t, std::uint32_t, std::size_t aReplica) {
    if (index++ % 10 == 0) {
      aSetup.mCluster.At(aReplica).mFaults.mSlowFactor = kStragglerSlowdown;
    }
  });
}

void
CrashReplicas(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  ForEachMainReplica(
    aSetup, [&](std::uint32_t aService, std::uint32_t aIndex, std::size_t aReplica) {
      if (aIndex == aService % 3) {
        cluster.Schedule(kFaultStart,
                         [&cluster, aReplica] { cluster.Crash(aReplica, Duration::zero()); });
      }
    });
}

void
IsolateDataCentre(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  cluster.Schedule(kFaultStart, [&cluster, dataCentre = aSetup.mDataCentres.back()] {
    for (std::size_t i = 0; i < cluster.ReplicaCount(); ++i) {
      if (cluster.At(i).mInfo.mDataCentre == dataCentre) {
        cluster.At(i).mFaults.mIsolated = true;
        cluster.ScheduleLeaseExpiry(i);
      }
    }
  });
}

void
CrashService(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  for (const std::size_t replica : cluster.ReplicasOf(ServiceName(aSetup.mMainCollection, 0))) {
    cluster.Schedule(kFaultStart, [&cluster, replica] { cluster.Crash(replica, kOutageTime); });
  }
}

// The replicas add version 2 one after another, 50 ms apart. Each retires version 1 two seconds
// after it added version 2.
void
RollOutVersion(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  std::int64_t step = 0;
  ForEachMainReplica(aSetup, [&](std::uint32_t, std::uint32_t, std::size_t aReplica) {
    const Duration add = kFaultStart + milliseconds(50 * step);
    cluster.Schedule(add, [&cluster, aReplica] {
      cluster.At(aReplica).mInfo.mVersions = { 1, 2 };
      cluster.Announce(aReplica);
    });
    cluster.Schedule(add + seconds(2), [&cluster, aReplica] {
      cluster.At(aReplica).mInfo.mVersions = { 2 };
      cluster.Announce(aReplica);
    });
    ++step;
  });
}

// Splits every third service into two shards: replicas of the new partition map join, then the old
// ones drain and leave.
void
Repartition(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  for (std::uint32_t service = 0; service < aSetup.mMainCollection.mServices; service += 3) {
    const std::vector<std::size_t> oldReplicas =
      cluster.ReplicasOf(ServiceName(aSetup.mMainCollection, service));
    for (std::uint32_t i = 0; i < 2 * aSetup.mMainCollection.mReplicas; ++i) {
      UpstreamInfo info = MakeInfo(aSetup.mMainCollection,
                                   service,
                                   fmt::format("new-{}", i),
                                   aSetup.mDataCentres[i / 2 % aSetup.mDataCentres.size()]);
      info.mMap = 2;
      info.mShard = i % 2;
      info.mRange = { i % 2 == 0 ? 0 : kKeySpace / 2, i % 2 == 0 ? kKeySpace / 2 : kKeySpace };
      info.mState = UpstreamState::Starting;
      const std::size_t newReplica =
        cluster.AddReplica(info, milliseconds(aSetup.mMainCollection.mConnectCostMs));
      cluster.Schedule(kFaultStart + milliseconds(100 * i), [&cluster, newReplica] {
        cluster.At(newReplica).mInfo.mState = UpstreamState::Ready;
        cluster.Announce(newReplica);
      });
    }
    for (std::size_t i = 0; i < oldReplicas.size(); ++i) {
      const Duration drain = seconds(4) + milliseconds(200 * i);
      cluster.Schedule(drain, [&cluster, replica = oldReplicas[i]] { cluster.Drain(replica); });
      cluster.Schedule(drain + seconds(3), [&cluster, replica = oldReplicas[i]] {
        cluster.At(replica).mInfo.mState = UpstreamState::Left;
        cluster.At(replica).mFaults.mRefuseConnections = true;
        cluster.Announce(replica);
      });
    }
  }
}

void
SilenceHostConnections(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  cluster.Schedule(kFaultStart, [&cluster] { cluster.SilenceConnections(0); });
}

void
SendPoisonQuery(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  ForEachMainReplica(aSetup, [&](std::uint32_t aService, std::uint32_t, std::size_t aReplica) {
    cluster.At(aReplica).mFaults.mCrashOnPoisonQuery = aService == 0;
  });
  const QuerySpec spec{ aSetup.mMainCollection.mName, "check", kPoisonQuery, 10 };
  cluster.Schedule(kFaultStart, [&cluster, spec] { cluster.Submit(spec, 0); });
}

void
RestartReplicas(ScenarioSetup& aSetup)
{
  SimulatedCluster& cluster = aSetup.mCluster;
  ForEachMainReplica(
    aSetup, [&](std::uint32_t aService, std::uint32_t aIndex, std::size_t aReplica) {
      if (aIndex == aService % 3) {
        cluster.Schedule(kFaultStart,
                         [&cluster, aReplica] { cluster.Crash(aReplica, milliseconds(500)); });
      }
    });
}

struct Scenario
{
  const char* mName;
  std::uint64_t mLoadPercent;
  void (*mInjectFault)(ScenarioSetup&);
  Duration mRunTime = kRunTime;
};

constexpr Scenario kScenarios[] = {
  { "healthy", kNormalLoadPercent, nullptr },
  { "straggler", kNormalLoadPercent, &SlowEveryTenthReplica },
  { "replica_loss", kNormalLoadPercent, &CrashReplicas },
  { "zone_loss", kNormalLoadPercent, &IsolateDataCentre },
  { "overload_2x", kOverloadPercent, nullptr, kShortRunTime },
  { "outage_recovery", kNormalLoadPercent, &CrashService },
  { "version_rollout", kNormalLoadPercent, &RollOutVersion },
  { "repartition", kNormalLoadPercent, &Repartition },
  { "silent_connections", kNormalLoadPercent, &SilenceHostConnections },
  { "crash_request", kNormalLoadPercent, &SendPoisonQuery },
  { "cold_start", kNormalLoadPercent, &RestartReplicas },
  { "mixed_classes", kMixedLoadPercent, nullptr, kShortRunTime },
};

// Loads all collections at once. The collections with a single service get the unrepeatable
// requests, because such a request may go to one shard only.
void
AddMixedLoad(ScenarioSetup& aSetup, std::uint64_t aSeed)
{
  for (const CollectionSize& size : SizesOf(aSetup.mDeployment)) {
    if (&size == &aSetup.mMainCollection) {
      AddMainLoad(aSetup, aSeed, kMixedLoadPercent);
      continue;
    }
    AddCollection(aSetup, size);
    const std::uint64_t rate = CapacityPerKilosecond(size) * kMixedLoadPercent / 100;
    const bool singleService = size.mServices == 1;
    AddArrivals(aSetup.mCluster,
                ++aSeed,
                size.mName,
                aSetup.mRunTime,
                // A tenth of the rate for single-service collections keeps the run short.
                singleService ? rate / 10 : rate,
                { { singleService ? "entry" : "check", 50 }, { "list", 50 } });
  }
}

// ---- Metrics -----------------------------------------------------------------------------------

Duration
Quantile(const std::vector<Duration>& aSorted, std::uint64_t aPermille)
{
  if (aSorted.empty()) {
    return Duration::zero();
  }
  return aSorted[std::min(aSorted.size() - 1, aSorted.size() * aPermille / 1000)];
}

std::uint64_t
ToPpm(std::uint64_t aNumerator, std::uint64_t aDenominator)
{
  return aDenominator == 0 ? 0 : aNumerator * kMillion / aDenominator;
}

bool
IsUseful(const QueryRecord& aQuery)
{
  return aQuery.mResult == Result::Ok || aQuery.mResult == Result::PartialAnswer;
}

void
HashValue(XXH64_state_t* aState, std::uint64_t aValue)
{
  // Fixes the byte order, so that the signature is the same on every machine.
  unsigned char bytes[8];
  for (unsigned i = 0; i < 8; ++i) {
    bytes[i] = static_cast<unsigned char>(aValue >> (8 * i));
  }
  XXH64_update(aState, bytes, sizeof(bytes));
}

std::uint64_t
SignatureOf(const SimulatedCluster& aCluster)
{
  XXH64_state_t* const state = XXH64_createState();
  XXH64_reset(state, 0);
  for (const QueryRecord& query : aCluster.Queries()) {
    HashValue(state, Describe(query.mResult).mNumber);
    HashValue(state, static_cast<std::uint64_t>(query.mLatency.count()));
    HashValue(state, query.mExpected);
    HashValue(state, query.mAnswered);
    HashValue(state, query.mAttemptsSent);
  }
  HashValue(state, aCluster.ExtraSubrequests());
  HashValue(state, aCluster.Violations().size());
  const std::uint64_t digest = XXH64_digest(state);
  XXH64_freeState(state);
  return digest;
}

// Returns the time from the start of the run after which queries must have full coverage again.
Duration
RecoveryDeadline(const std::string& aScenario)
{
  return aScenario == "outage_recovery" ? kFaultStart + kOutageTime + kOutageRecoveryBound
                                        : kFaultStart + kReplicaLossRecoveryBound;
}

void
Evaluate(const SimulatedCluster& aCluster,
         const ScenarioSetup& aSetup,
         Duration aDeadline,
         ScenarioResult& aResult)
{
  std::vector<Duration> latencies;
  std::uint64_t expected = 0;
  std::uint64_t answered = 0;
  std::uint64_t useful = 0;
  std::uint64_t afterRecovery = 0;
  std::uint64_t recoveredComplete = 0;
  const TimePoint recoveredFrom = aCluster.Start() + RecoveryDeadline(aResult.mScenario);
  for (const QueryRecord& query : aCluster.Queries()) {
    const bool deferrable = query.mSpec.mClass == "list" || query.mSpec.mClass == "bulk";
    if (query.mSpec.mClass == "check" && query.mSpec.mText != kPoisonQuery) {
      latencies.push_back(IsUseful(query) ? query.mLatency : aDeadline);
      expected += std::max(1U, query.mExpected);
      answered += query.mAnswered;
    }
    if (query.mArrived >= recoveredFrom && query.mSpec.mText != kPoisonQuery) {
      ++afterRecovery;
      recoveredComplete += query.mResult == Result::Ok ? 1 : 0;
    }
    // Goodput counts only answers that were given while queries still arrived.
    const bool duringRun = query.mArrived + query.mLatency <= aCluster.Start() + aSetup.mRunTime;
    useful += IsUseful(query) && duringRun ? 1 : 0;
    aResult.mDeferrableAnswered += deferrable && IsUseful(query) ? 1 : 0;
  }
  std::sort(latencies.begin(), latencies.end());
  aResult.mP50 = Quantile(latencies, 500);
  aResult.mP99 = Quantile(latencies, 990);
  aResult.mP999 = Quantile(latencies, 999);
  aResult.mCoveragePpm = ToPpm(answered, expected);
  aResult.mExtraLoadPpm = ToPpm(aCluster.ExtraSubrequests(), aCluster.FirstSubrequests());
  aResult.mFullCoveragePpm = ToPpm(recoveredComplete, afterRecovery);
  const std::uint64_t capacity = CapacityPerKilosecond(aSetup.mMainCollection);
  const auto runSeconds =
    static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(aSetup.mRunTime).count());
  aResult.mGoodputPpm = ToPpm(useful * 1000, capacity * runSeconds);
  const std::uint64_t peak = aCluster.PeakArrivals(ServiceName(aSetup.mMainCollection, 0),
                                                   aCluster.Start() + kFaultStart + kOutageTime);
  aResult.mPeakArrivalsPpm = ToPpm(peak * 1000 * kPeakWindowsPerSecond, capacity);
  const auto& crashes = aCluster.PoisonQueryCrashes();
  aResult.mPoisonQueryCrashes = *std::max_element(crashes.begin(), crashes.end());
  aResult.mViolations = aCluster.Violations();
  aResult.mSignature = SignatureOf(aCluster);
}

std::string
FormatPpm(std::uint64_t aPpm)
{
  return fmt::format("{}.{:06}", aPpm / kMillion, aPpm % kMillion);
}

const ScenarioResult*
FindResult(const std::vector<ScenarioResult>& aResults,
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

// Collects the acceptance thresholds of one deployment. Bounds and values are in parts per million.
struct ThresholdList
{
  const std::vector<ScenarioResult>& mResults;
  Deployment mDeployment;
  std::vector<Threshold>& mThresholds;

  const ScenarioResult& CurrentResult(std::string_view aScenario) const
  {
    return *FindResult(mResults, aScenario, mDeployment, BenchPolicy::Current);
  }
  const ScenarioResult& BaselineResult(std::string_view aScenario) const
  {
    return *FindResult(mResults, aScenario, mDeployment, BenchPolicy::Baseline);
  }
  void AtMost(const std::string& aName, std::uint64_t aBound, std::uint64_t aMeasured) const
  {
    AddPpm(aName, "at most ", aBound, aMeasured, aMeasured <= aBound);
  }
  void Below(const std::string& aName, std::uint64_t aBound, std::uint64_t aMeasured) const
  {
    AddPpm(aName, "below ", aBound, aMeasured, aMeasured < aBound);
  }
  void AtLeast(const std::string& aName, std::uint64_t aBound, std::uint64_t aMeasured) const
  {
    AddPpm(aName, "at least ", aBound, aMeasured, aMeasured >= aBound);
  }
  void AddCount(const char* aName, const char* aBound, std::uint64_t aMeasured, bool aMet) const
  {
    mThresholds.push_back({ fmt::format("{}/{}", DeploymentName(mDeployment), aName),
                            aBound,
                            fmt::to_string(aMeasured),
                            aMet });
  }
  void AddPpm(const std::string& aName,
              const char* aRelation,
              std::uint64_t aBound,
              std::uint64_t aMeasured,
              bool aMet) const
  {
    mThresholds.push_back({ fmt::format("{}/{}", DeploymentName(mDeployment), aName),
                            aRelation + FormatPpm(aBound),
                            FormatPpm(aMeasured),
                            aMet });
  }
};

std::uint64_t
RatioPpm(Duration aNumerator, Duration aDenominator)
{
  return ToPpm(static_cast<std::uint64_t>(aNumerator.count()),
               static_cast<std::uint64_t>(aDenominator.count()));
}

void
AddThresholds(const ThresholdList& aThresholds)
{
  const ScenarioResult& healthy = aThresholds.CurrentResult("healthy");
  const ScenarioResult& straggler = aThresholds.CurrentResult("straggler");
  aThresholds.AtMost(
    "straggler: p99 over healthy p99", 1'300'000, RatioPpm(straggler.mP99, healthy.mP99));
  aThresholds.AtLeast("straggler: baseline p99 over p99",
                      4'000'000,
                      RatioPpm(aThresholds.BaselineResult("straggler").mP99, straggler.mP99));
  aThresholds.AtMost("straggler: extra load", 50'000, straggler.mExtraLoadPpm);
  const ScenarioResult& loss = aThresholds.CurrentResult("replica_loss");
  aThresholds.AtLeast("replica_loss: whole answers after 1 s", 999'000, loss.mFullCoveragePpm);
  aThresholds.Below("replica_loss: extra load", 100'000, loss.mExtraLoadPpm);
  const ScenarioResult& overload = aThresholds.CurrentResult("overload_2x");
  aThresholds.AtMost(
    "overload_2x: urgent p99 over unloaded p99", 1'500'000, RatioPpm(overload.mP99, healthy.mP99));
  aThresholds.AtLeast("overload_2x: goodput over capacity", 900'000, overload.mGoodputPpm);
  aThresholds.AddCount("overload_2x: answers of waiting classes",
                       "at least 1",
                       overload.mDeferrableAnswered,
                       overload.mDeferrableAnswered >= 1);
  const ScenarioResult& outage = aThresholds.CurrentResult("outage_recovery");
  aThresholds.Below("outage_recovery: extra load", 100'000, outage.mExtraLoadPpm);
  aThresholds.AtLeast(
    "outage_recovery: whole answers 2 s after the return", 999'000, outage.mFullCoveragePpm);
  aThresholds.AtMost(
    "outage_recovery: peak arrivals over capacity", kMillion, outage.mPeakArrivalsPpm);
  const std::uint32_t crashes = aThresholds.CurrentResult("crash_request").mPoisonQueryCrashes;
  aThresholds.AddCount(
    "crash_request: crashes through one host", "at most 2", crashes, crashes <= 2);
  std::uint64_t violations = 0;
  for (const ScenarioResult& result : aThresholds.mResults) {
    if (result.mDeployment == aThresholds.mDeployment && result.mPolicy == BenchPolicy::Current) {
      violations += result.mViolations.size();
    }
  }
  aThresholds.AddCount("all scenarios: violations", "at most 0", violations, violations == 0);
}

// ---- Schedules ---------------------------------------------------------------------------------

constexpr CollectionSize kSmallSizes[] = { { "desk", 2, 3, 2, 8, 6 }, { "ledger", 1, 3, 2, 8, 1 } };
constexpr std::uint64_t kScheduleQueries = 40;
constexpr std::uint64_t kScheduleTimeMicros = 1'200'000;

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

// Splits a service into two shards without new replicas: they restart one by one, 60 ms apart, with
// the new partition map.
void
SplitInPlace(SimulatedCluster& aCluster, const std::vector<std::size_t>& aReplicas)
{
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    const Duration at = aCluster.Now() - aCluster.Start() + milliseconds(60 * i);
    aCluster.Schedule(at, [&aCluster, replica = aReplicas[i], i] {
      UpstreamInfo& info = aCluster.At(replica).mInfo;
      aCluster.Crash(replica, milliseconds(30));
      info.mMap = 2;
      info.mShard = i % 2;
      info.mRange = { i % 2 == 0 ? 0 : kKeySpace / 2, i % 2 == 0 ? kKeySpace / 2 : kKeySpace };
    });
  }
}

// A fault of the randomized schedules. mBegin and mEnd get a random replica; some faults affect its
// service, all replicas or the connections of a host.
struct ScheduleFault
{
  const char* mName;
  void (*mBegin)(SimulatedCluster&, std::size_t aReplica);
  void (*mEnd)(SimulatedCluster&, std::size_t aReplica);
};

const ScheduleFault kScheduleFaults[] = {
  { "slow",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mSlowFactor = 40;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mSlowFactor = 1;
    } },
  { "drop_replies",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mDropReplies = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mDropReplies = false;
    } },
  { "close_after_read",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mCloseAfterRead = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mCloseAfterRead = false;
    } },
  { "truncate",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mTruncateReply = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mTruncateReply = false;
    } },
  { "crossed",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mMismatchedReply = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mMismatchedReply = false;
    } },
  { "duplicate",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mDuplicateReply = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mDuplicateReply = false;
    } },
  { "wrong_version",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mWrongVersion = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mWrongVersion = false;
    } },
  { "crash_on_marked",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mCrashOnPoisonQuery = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mCrashOnPoisonQuery = false;
    } },
  { "refuse",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mRefuseConnections = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mRefuseConnections = false;
    } },
  { "shed",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mShed = true;
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mShed = false;
    } },
  { "isolate",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mIsolated = true;
      aCluster.ScheduleLeaseExpiry(aReplica);
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mFaults.mIsolated = false;
    } },
  { "silence",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.SilenceConnections(aReplica % 2);
    },
    [](SimulatedCluster&, std::size_t) {} },
  { "crash_and_restart",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.Crash(aReplica, milliseconds(80));
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.Crash(aReplica, milliseconds(80));
    } },
  { "crash",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.Crash(aReplica, Duration::zero());
    },
    [](SimulatedCluster&, std::size_t) {} },
  { "drain",
    [](SimulatedCluster& aCluster, std::size_t aReplica) { aCluster.Drain(aReplica); },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mInfo.mState = UpstreamState::Ready;
      aCluster.Announce(aReplica);
    } },
  { "new_version",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mInfo.mVersions = { 1, 2 };
      aCluster.Announce(aReplica);
    },
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      aCluster.At(aReplica).mInfo.mVersions = { 2 };
      aCluster.Announce(aReplica);
    } },
  { "new_version_everywhere",
    [](SimulatedCluster& aCluster, std::size_t) {
      for (std::size_t i = 0; i < aCluster.ReplicaCount(); ++i) {
        aCluster.At(i).mInfo.mVersions = { 1, 2 };
        aCluster.Announce(i);
      }
    },
    [](SimulatedCluster& aCluster, std::size_t) {
      for (std::size_t i = 0; i < aCluster.ReplicaCount(); ++i) {
        aCluster.At(i).mInfo.mVersions = { 2 };
        aCluster.Announce(i);
      }
    } },
  { "repartition",
    [](SimulatedCluster& aCluster, std::size_t aReplica) {
      SplitInPlace(aCluster, aCluster.ReplicasOf(aCluster.At(aReplica).mInfo.mService));
    },
    [](SimulatedCluster&, std::size_t) {} },
};

void
AddScheduleQueries(SimulatedCluster& aCluster, Rng& aRng)
{
  for (std::uint64_t i = 0; i < kScheduleQueries; ++i) {
    const bool ledger = aRng() % 4 == 0;
    const bool poison = aRng() % 10 == 0;
    constexpr const char* kClasses[] = { "check", "list", "bulk" };
    const QuerySpec spec{ ledger ? "ledger" : "desk",
                          ledger ? "entry" : kClasses[aRng() % 3],
                          poison ? kPoisonQuery : fmt::format("query {}", i),
                          poison && !ledger ? 3U : 0U };
    const std::size_t host = aRng() % 2;
    aCluster.Schedule(Duration(aRng() % kScheduleTimeMicros),
                      [&aCluster, spec, host] { aCluster.Submit(spec, host); });
  }
}

void
AddScheduleFaults(SimulatedCluster& aCluster, Rng& aRng)
{
  for (int i = 0; i < 2; ++i) {
    const ScheduleFault& fault = kScheduleFaults[aRng() % std::size(kScheduleFaults)];
    const std::size_t replica = aRng() % aCluster.ReplicaCount();
    const Duration begin(aRng() % kScheduleTimeMicros);
    const Duration end = begin + Duration(aRng() % kScheduleTimeMicros);
    aCluster.Schedule(begin, [&aCluster, &fault, replica] {
      aCluster.Trace(
        fmt::format("fault {} begins at {}", fault.mName, aCluster.At(replica).mInfo.mId));
      fault.mBegin(aCluster, replica);
    });
    aCluster.Schedule(end, [&aCluster, &fault, replica] {
      aCluster.Trace(
        fmt::format("fault {} ends at {}", fault.mName, aCluster.At(replica).mInfo.mId));
      fault.mEnd(aCluster, replica);
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
  const std::vector<std::string> dataCentres = DataCentresOf(aDeployment);
  const auto config = MakeConfig(aDeployment);
  SimulatedCluster cluster({ aPolicy, aSeed, { dataCentres[0], dataCentres[1] }, false }, config);
  ScenarioSetup setup{
    cluster, aDeployment, SizesOf(aDeployment)[0], dataCentres, scenario->mRunTime
  };
  AddCollection(setup, setup.mMainCollection);
  if (aScenario == "mixed_classes") {
    AddMixedLoad(setup, aSeed);
  } else {
    AddMainLoad(setup, aSeed, scenario->mLoadPercent);
  }
  if (scenario->mInjectFault != nullptr) {
    scenario->mInjectFault(setup);
  }
  cluster.Run();
  ScenarioResult result;
  result.mScenario = aScenario;
  result.mDeployment = aDeployment;
  result.mPolicy = aPolicy;
  Evaluate(cluster, setup, config->mClasses.at("check").mDeadline, result);
  return result;
}

std::vector<Threshold>
CheckThresholds(const std::vector<ScenarioResult>& aResults)
{
  std::vector<Threshold> thresholds;
  for (const Deployment deployment : { Deployment::Kestane, Deployment::Kaarnapuu }) {
    AddThresholds({ aResults, deployment, thresholds });
  }
  return thresholds;
}

FaultScheduleResult
RunFaultSchedule(std::uint64_t aSeed, bool aTrace)
{
  Rng rng(aSeed);
  const auto config = MakeSmallConfig(rng);
  SimulatedCluster cluster({ BenchPolicy::Current, aSeed, { "bolu", "duzce" }, aTrace }, config);
  ScenarioSetup setup{
    cluster, Deployment::Kestane, kSmallSizes[0], DataCentresOf(Deployment::Kestane)
  };
  for (const CollectionSize& size : kSmallSizes) {
    AddCollection(setup, size);
  }
  AddScheduleQueries(cluster, rng);
  AddScheduleFaults(cluster, rng);
  cluster.Run();
  return { cluster.Queries().size(), cluster.Violations(), SignatureOf(cluster) };
}

} // namespace apricotyard
