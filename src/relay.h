// Passes the requests of callers on to replicas and their answers back: one replica of one service,
// or one replica of every shard with the answers merged.
#ifndef APRICOTYARD_RELAY_H
#define APRICOTYARD_RELAY_H

#include "dialect.h"
#include "extra_budget.h"
#include "http_client.h"
#include "metrics.h"
#include "placement.h"
#include "routing.h"

#include <memory>

namespace apricotyard {

struct RelaySettings
{
  std::string mDataCentre;
  // Address from which replicas are called.
  std::string mSourceIp;
  ExtraBudgetLimits mExtraSends;
  std::uint64_t mSeed = 1;
};

// All methods only on the loop's thread.
class Relay
{
public:
  // Precondition: aLoop, aDialect and aMetrics outlive this object.
  Relay(Loop& aLoop, const Dialect& aDialect, RelaySettings aSettings, MetricsRegistry& aMetrics);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Requests that are under way keep the table that they began with.
  void SetRouting(std::shared_ptr<const RoutingTable> aRouting);
  // Every listed upstream.
  void SetUpstreams(const std::vector<UpstreamInfo>& aUpstreams);
  // Gateways that share the replicas, this one included; at least 1.
  void SetGateways(std::size_t aCount);
  // From now on every answer asks the caller to close its connection.
  void BeginStop();

  // Answers aRequest sooner or later, unless its caller leaves.
  void Handle(HttpRequest aRequest, HttpResponder aRespond);

  // Answers every open request with what is known of it, because the process ends.
  void Abandon();

  // Requests without an answer.
  std::size_t OpenRequests() const;
  // Brings the gauges up to date, for a page of metrics.
  void UpdateGauges();

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
