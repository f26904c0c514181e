// Counters and latencies of relayed requests. Only on the loop's thread.
#ifndef APRICOTYARD_RELAY_METRICS_H
#define APRICOTYARD_RELAY_METRICS_H

#include "metrics.h"
#include "relay_policy.h"

#include <array>
#include <map>
#include <string>

namespace apricotyard {

// How a relayed request ended, seen from its caller.
enum class RelayOutcome : std::uint8_t
{
  Whole,
  // Some shards are left out.
  Partial,
  // Not run.
  Refused,
  // May have run, without a whole answer.
  Failed,
  // The caller left before the answer.
  Abandoned,
};

class RelayMetrics
{
public:
  // Precondition: aRegistry outlives this object.
  explicit RelayMetrics(MetricsRegistry& aRegistry);

  // aRoute is empty for a request that matched none.
  void CountAnswer(const std::string& aRoute, RelayOutcome aOutcome, bool aLate, Duration aTook);
  void CountAttempt(const std::string& aService, AttemptEnd aEnd);
  // A second or further send that the budget did or did not allow.
  void CountExtraSend(const std::string& aService, bool aAllowed);
  void SetBudgetUsed(const std::string& aService, double aShare);
  void SetOpen(std::size_t aRequests);

private:
  static constexpr std::size_t kOutcomes = 5;
  static constexpr std::size_t kEnds = 5;

  struct RouteMetrics
  {
    std::array<Counter*, kOutcomes> mOutcomes{};
    Counter* mLate = nullptr;
    Distribution* mLatency = nullptr;
  };
  struct ServiceMetrics
  {
    std::array<Counter*, kEnds> mEnds{};
    Counter* mExtraAllowed = nullptr;
    Counter* mExtraDenied = nullptr;
    Gauge* mBudgetUsed = nullptr;
  };

  RouteMetrics& ForRoute(const std::string& aRoute);
  ServiceMetrics& ForService(const std::string& aService);

  MetricsRegistry& mRegistry;
  Gauge& mOpen;
  std::map<std::string, RouteMetrics> mRoutes;
  std::map<std::string, ServiceMetrics> mServices;
};

} // namespace apricotyard

#endif
