// Metrics of relayed requests. Call all methods on the loop's thread.
#ifndef APRICOTYARD_RELAY_METRICS_H
#define APRICOTYARD_RELAY_METRICS_H

#include "metrics.h"
#include "relay_policy.h"

#include <array>
#include <map>
#include <string>

namespace apricotyard {

// Outcome of a relayed request as its caller sees it.
enum class RelayOutcome : std::uint8_t
{
  Whole,
  // The merged response lacks some shards.
  Partial,
  // No replica ran the request.
  Refused,
  // A replica may have run the request, but there is no complete reply.
  Failed,
  // The caller disconnected before the response.
  Abandoned,
};

// Replicas that get fewer requests or none, by the reason.
struct ReplicaCounts
{
  std::size_t mLimited = 0;
  std::size_t mLeaving = 0;
  std::size_t mHeld = 0;
  std::size_t mWarmingUp = 0;
  std::size_t mEvacuated = 0;
};

class RelayMetrics
{
public:
  // Precondition: aRegistry outlives this object.
  explicit RelayMetrics(MetricsRegistry& aRegistry);

  // aRoute is empty if the request matched no route. aLate is true if the response came after the
  // route's objective.
  void CountAnswer(const std::string& aRoute, RelayOutcome aOutcome, bool aLate, Duration aElapsed);
  void CountAttempt(const std::string& aService, AttemptEnd aEnd);
  // Counts a retry or hedge that the budget allowed or denied.
  void CountExtraSend(const std::string& aService, bool aAllowed);
  // Counts the bytes exchanged in a finished attempt. aLocal is true if the replica is in this data
  // centre.
  void CountReplicaBytes(std::size_t aBytes, bool aLocal);
  // A retry that was sent with a token of a pool, or found none.
  void CountPooledSend(bool aSent);
  void CountRejectedKey();
  void CountWithoutLease();
  void SetBudgetUsed(const std::string& aService, double aShare);
  void SetOpenRequests(std::size_t aRequests);
  void SetReplicaCounts(const ReplicaCounts& aCounts);
  void SetStoppedRequests(std::size_t aCount);
  // Share of the first sends that may go to the data centre by decision, averaged over services.
  void SetLeavingShare(const std::string& aDataCentre, double aShare);
  void SetServicesLeaving(std::size_t aCount);

private:
  static constexpr std::size_t kOutcomeCount = 5;
  static constexpr std::size_t kAttemptEndCount = 5;

  struct RouteMetrics
  {
    std::array<Counter*, kOutcomeCount> mOutcomes{};
    Counter* mLate = nullptr;
    Distribution* mLatency = nullptr;
  };
  struct ServiceMetrics
  {
    std::array<Counter*, kAttemptEndCount> mEnds{};
    Counter* mExtraAllowed = nullptr;
    Counter* mExtraDenied = nullptr;
    Gauge* mBudgetUsed = nullptr;
  };

  RouteMetrics& MetricsForRoute(const std::string& aRoute);
  ServiceMetrics& MetricsForService(const std::string& aService);

  MetricsRegistry& mRegistry;
  Gauge& mOpenRequests;
  Gauge& mLimitedReplicas;
  Gauge& mLeavingReplicas;
  Gauge& mHeldReplicas;
  Gauge& mWarmingReplicas;
  Gauge& mEvacuatedReplicas;
  Gauge& mStoppedRequests;
  Counter& mPooledSends;
  Counter& mPooledDenied;
  Counter& mRejectedKeys;
  Counter& mWithoutLease;
  Gauge& mServicesLeaving;
  Counter& mLocalBytes;
  Counter& mRemoteBytes;
  // By data centre.
  std::map<std::string, Gauge*> mLeavingShares;
  std::map<std::string, RouteMetrics> mRoutes;
  std::map<std::string, ServiceMetrics> mServices;
};

} // namespace apricotyard

#endif
