// The scenarios of the decision bench and the randomized schedules, on the sizes of both
// deployments.
#ifndef APRICOTYARD_BENCH_SCENARIOS_H
#define APRICOTYARD_BENCH_SCENARIOS_H

#include "bench_world.h"

namespace apricotyard {

enum class Deployment : std::uint8_t
{
  Kestane,
  Kaarnapuu,
};

std::string_view
DeploymentName(Deployment aDeployment);

// Names of the scenarios, in the order of the report.
const std::vector<std::string>&
ScenarioNames();

struct ScenarioResult
{
  std::string mScenario;
  Deployment mDeployment = Deployment::Kestane;
  BenchPolicy mPolicy = BenchPolicy::Current;
  // Latencies of class "check" over the whole run. A query without a useful answer counts with the
  // deadline of its class, so that a policy gains nothing by failing quickly.
  Duration mP50{};
  Duration mP99{};
  Duration mP999{};
  // Parts of a million; the share of expected shards that were answered, and the sub-requests
  // beyond the first one of each shard of each query.
  std::uint64_t mCoveragePpm = 0;
  std::uint64_t mExtraLoadPpm = 0;
  std::vector<Violation> mViolations;
  // The figures of the bars; unused ones are zero.
  std::uint64_t mFullCoveragePpm = 0; // queries with coverage 1.0 among those after the fault
  std::uint64_t mGoodputPpm = 0;      // useful answers in parts of the capacity
  std::uint64_t mWaitingAnswered = 0; // answered queries of waiting classes
  std::uint64_t mPeakPpm = 0;         // arrivals at the returning service in parts of its capacity
  std::uint32_t mMarkedCrashes = 0;   // replicas crashed by one request, at the worst host
  // Integer results of every query, for the signature.
  std::uint64_t mSignature = 0;
};

// Runs one scenario. Pure: the same arguments give the same result on every machine.
// Precondition: aScenario is one of ScenarioNames().
ScenarioResult
RunScenario(const std::string& aScenario,
            Deployment aDeployment,
            BenchPolicy aPolicy,
            std::uint64_t aSeed);

// A stated bound of section 5 of the design page and the figure measured for it.
struct Bar
{
  std::string mName;
  std::string mBound;
  std::string mFigure;
  bool mMet = false;
};

// Judges the results of all scenarios and both policies.
std::vector<Bar>
CheckBars(const std::vector<ScenarioResult>& aResults);

struct ScheduleResult
{
  std::uint64_t mQueries = 0;
  std::vector<Violation> mViolations;
  std::uint64_t mSignature = 0;
};

// Runs one randomized schedule with a pair of faults in a small world.
ScheduleResult
RunSchedule(std::uint64_t aSeed, bool aTrace);

} // namespace apricotyard

#endif
