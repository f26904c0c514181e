// The scenarios of the decision bench, sized like the two production deployments, and the
// randomized fault schedules on a small cluster.
#ifndef APRICOTYARD_BENCH_SCENARIOS_H
#define APRICOTYARD_BENCH_SCENARIOS_H

#include "bench_world.h"

namespace apricotyard {

// The two production deployments. Section 1.3 of the design page gives their sizes.
enum class Deployment : std::uint8_t
{
  Kestane,
  Kaarnapuu,
};

std::string_view
DeploymentName(Deployment aDeployment);

// Returns the names of the scenarios, in the order in which they are reported.
const std::vector<std::string>&
ScenarioNames();

struct ScenarioResult
{
  std::string mScenario;
  Deployment mDeployment = Deployment::Kestane;
  BenchPolicy mPolicy = BenchPolicy::Current;
  // Latency quantiles of class "check" over the whole run. A query that fails counts as if it had
  // taken until its deadline, so that a policy gains nothing by failing quickly.
  Duration mP50{};
  Duration mP99{};
  Duration mP999{};
  // In parts per million: the share of the expected shards that were answered, and the sub-requests
  // beyond the first one to each shard of a query, relative to those first ones.
  std::uint64_t mCoveragePpm = 0;
  std::uint64_t mExtraLoadPpm = 0;
  std::vector<Violation> mViolations;

  // The values below are for the acceptance thresholds. Every scenario fills them in, but each
  // applies to some scenarios only.

  // Share of queries with coverage 1.0 among those that arrived after the recovery bound.
  std::uint64_t mFullCoveragePpm = 0;
  // Rate of successful answers relative to the capacity.
  std::uint64_t mGoodputPpm = 0;
  // Number of successful queries of the classes "list" and "bulk".
  std::uint64_t mDeferrableAnswered = 0;
  // Peak arrival rate at the service that had an outage, after its return, relative to the
  // capacity.
  std::uint64_t mPeakArrivalsPpm = 0;
  // Crashes that the poison query caused through one host; the largest number over all hosts.
  std::uint32_t mPoisonQueryCrashes = 0;

  // Hash over the integer results of every query.
  std::uint64_t mSignature = 0;
};

// Runs one scenario. The same arguments give the same result on every machine. Thread-safe: each
// call has its own simulation.
// Precondition: aScenario is one of ScenarioNames().
ScenarioResult
RunScenario(const std::string& aScenario,
            Deployment aDeployment,
            BenchPolicy aPolicy,
            std::uint64_t aSeed);

// An acceptance threshold: a bound of section 5 of the design page, and the value measured for it.
// apricot-bench prints it as a "bar".
struct Threshold
{
  std::string mName;
  std::string mBound;
  std::string mMeasured;
  bool mMet = false;
};

// Compares the results with the acceptance thresholds.
// Precondition: aResults holds all scenarios of both deployments and both policies.
std::vector<Threshold>
CheckThresholds(const std::vector<ScenarioResult>& aResults);

// Result of a randomized fault schedule. The signature is a hash like that of a scenario.
struct FaultScheduleResult
{
  std::uint64_t mQueries = 0;
  std::vector<Violation> mViolations;
  std::uint64_t mSignature = 0;
};

// Runs one randomized schedule with two faults in a small cluster. If aTrace is set, prints every
// event to standard output. Thread-safe without aTrace.
FaultScheduleResult
RunFaultSchedule(std::uint64_t aSeed, bool aTrace);

} // namespace apricotyard

#endif
