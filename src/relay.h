// Forwards caller requests to replicas and returns the replies. A request goes either to one
// replica of one service or to one replica of every shard, in which case the replies are merged.
#ifndef APRICOTYARD_RELAY_H
#define APRICOTYARD_RELAY_H

#include "document_lease.h"
#include "extra_budget.h"
#include "http_client.h"
#include "metrics.h"
#include "placement.h"
#include "platform_protocol.h"
#include "quarantine.h"
#include "quota_ledger.h"
#include "routing.h"

#include <memory>

namespace apricotyard {

struct RelaySettings
{
  std::string mDataCentre;
  // Source IP of connections to replicas.
  std::string mSourceIp;
  ExtraBudgetLimits mExtraSends;
  // Price of a GB to another data centre; see locality.h.
  double mPricePerGb = 0;
  // Whether retries beyond this gateway's part of mExtraSends may use the pools of the services.
  bool mPooledExtraSends = false;
  // Whether the share of sends that leaves an overloaded data centre is limited; see locality.h.
  bool mLimitLeaving = false;
  std::uint64_t mSeed = 1;
};

// Call all methods on the loop's thread.
class Relay
{
public:
  // Precondition: aLoop, aProtocol and aMetrics outlive this object.
  Relay(Loop& aLoop,
        const PlatformProtocol& aProtocol,
        RelaySettings aSettings,
        MetricsRegistry& aMetrics);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Requests in progress keep the table that was in force when they arrived.
  void SetRouting(std::shared_ptr<const RoutingTable> aRouting);
  // Sets the lease by which keys are judged. By default none is needed.
  void SetDocumentLease(const DocumentLease& aLease);
  // Replaces the list of known upstreams.
  void SetUpstreams(const std::vector<UpstreamInfo>& aUpstreams);
  // Sets the data centres whose replicas get no requests. Requests that were sent are left to
  // finish; those that wait for a connection or in a queue go to other replicas or fail.
  void SetEvacuated(std::set<std::string> aDataCentres);
  // Number of gateways that share the replicas, including this one. A count of 0 is treated as 1.
  void SetGatewayCount(std::size_t aCount);
  // Whether callers are sent to this gateway, which is the default. An inactive one serves requests
  // that still arrive, but opens no connections ahead of them and makes no use of the fixed part of
  // the extra sends, which the active ones share.
  void SetActive(bool aActive);
  // From now on, every response carries "Connection: close". Requests are still served, and get
  // their final answer by aFinishBy. One that arrives so late that its objective ends after it is
  // refused.
  void BeginStop(TimePoint aFinishBy);

  // Sets the function that gets each crash of a replica that this gateway attributes to a request,
  // for the other gateways.
  void SetStrikeHandler(std::function<void(const Strike&)> aHandler);
  // Records a crash that another gateway saw or suspects, or that was refuted.
  void AddStrike(const Strike& aStrike);
  // Returns the crashes because of which requests are restricted, at most aLimit.
  std::vector<Strike> KnownStrikes(std::size_t aLimit) const;
  // Decides on crashes that have been suspected for long, by whether the replica is still listed.
  // Precondition: SetUpstreams was called with the replicas whose lease has not ended.
  void ResolveSuspicions();

  // Sets the function that is called when this gateway has lost or regained all replicas.
  void SetReachabilityHandler(std::function<void()> aHandler);
  // Whether callers should be sent to other gateways: no replica can be reached, or not for long.
  bool ShouldAvoidCallers() const;
  // Sets the gateways to which requests are passed on while no replica can be reached.
  void SetPeers(std::vector<SocketAddress> aPeers);

  // Sets the function that sends a call to the owner of the quotas. aIncarnation identifies this
  // process. Without it, workspaces have no limit.
  void SetQuotaCaller(std::uint64_t aIncarnation, std::function<void(const QuotaCall&)> aCaller);
  // Takes the reply to the call with this number, or nothing if the call failed.
  void OnQuotaReply(std::uint64_t aNumber, const std::optional<QuotaReply>& aReply);
  // Term of the oldest share of a workspace's quota that this gateway holds, or 0.
  std::uint64_t QuotaShareTerm() const;

  // Handles one request and responds once, possibly before returning. There is no response if the
  // caller disconnects or the process stops first.
  void Handle(HttpRequest aRequest, HttpResponder aRespond);

  // Responds to every unfinished request, with a refusal if nothing has run. For process shutdown.
  void AbortOpenRequests();

  // Number of sub-requests sent since the start.
  std::uint64_t SentSubrequests() const;
  // Number of requests without a response.
  std::size_t OpenRequests() const;
  // Updates the gauges. Call before the metrics are exported.
  void UpdateGauges();

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
