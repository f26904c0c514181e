#include "relay_metrics.h"

#include <fmt/format.h>

namespace apricotyard {

namespace {

constexpr std::array<const char*, 5> kOutcomeNames = {
  "whole", "partial", "refused", "failed", "abandoned",
};
constexpr std::array<const char*, 5> kAttemptEndNames = {
  "answered", "ran_and_failed", "not_run", "misplaced", "lost",
};

} // namespace

RelayMetrics::RelayMetrics(MetricsRegistry& aRegistry)
  : mRegistry(aRegistry)
  , mOpenRequests(aRegistry.AddGauge("apricot_relay_open_requests", "Requests without an answer."))
  , mLimitedReplicas(aRegistry.AddGauge("apricot_replicas_limited",
                                        "Replicas that named a limit of requests per second."))
  , mLeavingReplicas(
      aRegistry.AddGauge("apricot_replicas_leaving", "Replicas that announced their stop."))
  , mHeldReplicas(
      aRegistry.AddGauge("apricot_replicas_held", "Replicas that want no requests for some time."))
  , mWarmingReplicas(aRegistry.AddGauge("apricot_replicas_warming_up",
                                        "Replicas that get fewer requests while they warm up."))
  , mEvacuatedReplicas(
      aRegistry.AddGauge("apricot_replicas_evacuated", "Replicas in evacuated data centres."))
  , mStoppedRequests(aRegistry.AddGauge("apricot_requests_stopped",
                                        "Requests by service and content that are stopped because "
                                        "they crash replicas."))
  , mPooledSends(aRegistry.AddCounter("apricot_pooled_sends_total",
                                      "Retries by tokens of the pools of services.",
                                      R"(decision="sent")"))
  , mPooledDenied(aRegistry.AddCounter("apricot_pooled_sends_total",
                                       "Retries by tokens of the pools of services.",
                                       R"(decision="denied")"))
  , mRejectedKeys(aRegistry.AddCounter("apricot_keys_rejected_total",
                                       "Requests refused because their key is missing or unknown."))
  , mWithoutLease(aRegistry.AddCounter("apricot_requests_without_lease_total",
                                       "Requests with keys refused because the gateway cannot "
                                       "confirm that its document is in force."))
  , mServicesLeaving(aRegistry.AddGauge("apricot_services_leaving",
                                        "Services whose sends are divided among data centres."))
  , mLocalBytes(aRegistry.AddCounter("apricot_replica_bytes_total",
                                     "Bytes of finished attempts, sent and received.",
                                     R"(data_centre="own")"))
  , mRemoteBytes(aRegistry.AddCounter("apricot_replica_bytes_total",
                                      "Bytes of finished attempts, sent and received.",
                                      R"(data_centre="other")"))
{
}

RelayMetrics::RouteMetrics&
RelayMetrics::MetricsForRoute(const std::string& aRoute)
{
  const auto [found, added] = mRoutes.try_emplace(aRoute);
  RouteMetrics& metrics = found->second;
  if (added) {
    for (std::size_t i = 0; i < kOutcomeCount; ++i) {
      metrics.mOutcomes[i] =
        &mRegistry.AddCounter("apricot_relay_answers_total",
                              "Relayed requests by how they ended.",
                              fmt::format(R"(route="{}",outcome="{}")", aRoute, kOutcomeNames[i]));
    }
    const std::string label = fmt::format(R"(route="{}")", aRoute);
    metrics.mLate = &mRegistry.AddCounter(
      "apricot_relay_late_total", "Answers after the objective of their route.", label);
    metrics.mLatency = &mRegistry.AddDistribution(
      "apricot_relay_latency_seconds", "Time from the request to its answer.", label);
  }
  return metrics;
}

RelayMetrics::ServiceMetrics&
RelayMetrics::MetricsForService(const std::string& aService)
{
  const auto [found, added] = mServices.try_emplace(aService);
  ServiceMetrics& metrics = found->second;
  if (added) {
    for (std::size_t i = 0; i < kAttemptEndCount; ++i) {
      metrics.mEnds[i] = &mRegistry.AddCounter(
        "apricot_attempts_total",
        "Requests to replicas by how they ended.",
        fmt::format(R"(service="{}",end="{}")", aService, kAttemptEndNames[i]));
    }
    const auto addCounter = [&](const char* aAllowed) {
      return &mRegistry.AddCounter("apricot_extra_sends_total",
                                   "Second and further sends, by whether the budget allowed them.",
                                   fmt::format(R"(service="{}",allowed="{}")", aService, aAllowed));
    };
    metrics.mExtraAllowed = addCounter("yes");
    metrics.mExtraDenied = addCounter("no");
    metrics.mBudgetUsed = &mRegistry.AddGauge("apricot_extra_budget_used_ratio",
                                              "Share of the budget for extra sends that is used.",
                                              fmt::format(R"(service="{}")", aService));
  }
  return metrics;
}

void
RelayMetrics::CountAnswer(const std::string& aRoute,
                          RelayOutcome aOutcome,
                          bool aLate,
                          Duration aElapsed)
{
  RouteMetrics& metrics = MetricsForRoute(aRoute);
  metrics.mOutcomes.at(static_cast<std::size_t>(aOutcome))->Add();
  if (aLate) {
    metrics.mLate->Add();
  }
  metrics.mLatency->Record(aElapsed);
}

void
RelayMetrics::CountAttempt(const std::string& aService, AttemptEnd aEnd)
{
  MetricsForService(aService).mEnds.at(static_cast<std::size_t>(aEnd))->Add();
}

void
RelayMetrics::CountExtraSend(const std::string& aService, bool aAllowed)
{
  ServiceMetrics& metrics = MetricsForService(aService);
  (aAllowed ? metrics.mExtraAllowed : metrics.mExtraDenied)->Add();
}

void
RelayMetrics::CountReplicaBytes(std::size_t aBytes, bool aLocal)
{
  (aLocal ? mLocalBytes : mRemoteBytes).Add(aBytes);
}

void
RelayMetrics::CountPooledSend(bool aSent)
{
  (aSent ? mPooledSends : mPooledDenied).Add();
}

void
RelayMetrics::CountRejectedKey()
{
  mRejectedKeys.Add();
}

void
RelayMetrics::CountWithoutLease()
{
  mWithoutLease.Add();
}

void
RelayMetrics::SetBudgetUsed(const std::string& aService, double aShare)
{
  MetricsForService(aService).mBudgetUsed->Set(aShare);
}

void
RelayMetrics::SetOpenRequests(std::size_t aRequests)
{
  mOpenRequests.Set(static_cast<double>(aRequests));
}

void
RelayMetrics::SetReplicaCounts(const ReplicaCounts& aCounts)
{
  mLimitedReplicas.Set(static_cast<double>(aCounts.mLimited));
  mLeavingReplicas.Set(static_cast<double>(aCounts.mLeaving));
  mHeldReplicas.Set(static_cast<double>(aCounts.mHeld));
  mWarmingReplicas.Set(static_cast<double>(aCounts.mWarmingUp));
  mEvacuatedReplicas.Set(static_cast<double>(aCounts.mEvacuated));
}

void
RelayMetrics::SetLeavingShare(const std::string& aDataCentre, double aShare)
{
  Gauge*& gauge = mLeavingShares[aDataCentre];
  if (gauge == nullptr) {
    gauge = &mRegistry.AddGauge("apricot_leaving_share",
                                "Share of first sends that may go to another data centre.",
                                fmt::format(R"(data_centre="{}")", aDataCentre));
  }
  gauge->Set(aShare);
}

void
RelayMetrics::SetServicesLeaving(std::size_t aCount)
{
  mServicesLeaving.Set(static_cast<double>(aCount));
}

void
RelayMetrics::SetStoppedRequests(std::size_t aCount)
{
  mStoppedRequests.Set(static_cast<double>(aCount));
}

} // namespace apricotyard
