// Serves AcquireQuota at a coordinator: grants tokens while this host leads, and forwards calls to
// the leader otherwise. docs/design/quotas.md explains the rules.
#ifndef APRICOTYARD_QUOTA_OWNER_H
#define APRICOTYARD_QUOTA_OWNER_H

#include "document_state.h"
#include "extra_send_settings.h"
#include "fleet_registry.h"
#include "metrics.h"
#include "platform_protocol.h"
#include "quota_client.h"
#include "quota_ledger.h"

#include <functional>

namespace apricotyard {

// Returns the gateways that may hold a share of a previous owner. Those that stop have given theirs
// up: a new owner that waited for them would grant little for a whole window while gateways are
// restarted one after the other.
std::vector<std::string>
PossibleShareHolders(const FleetRegistry& aRegistry, TimePoint aNow);

struct QuotaOwnerSettings
{
  // IP address of this host, and the port of Fleet on all coordinators.
  std::string mSelfIp;
  std::uint16_t mRpcPort = 0;
  RpcSecurity mSecurity;
  ExtraSendSettings mExtraSends;
};

// Call all methods on the loop's thread.
class QuotaOwner
{
public:
  using Handler = std::function<void(const rpc::QuotaReply&)>;

  // Precondition: the references outlive this object.
  QuotaOwner(Loop& aLoop,
             const PlatformProtocol& aProtocol,
             const DocumentState& aDocument,
             const FleetRegistry& aRegistry,
             MetricsRegistry& aMetrics,
             QuotaOwnerSettings aSettings);

  // Starts the ledger if this host leads in a new term. Call it several times a second, so that
  // buckets are full by the time that callers come.
  void UpdateTerm(const LogStatus& aStatus);
  // Records what a gateway says of the share that it holds. See ReportShareTerm.
  void RecordShareTerm(const std::string& aGateway, std::uint64_t aTerm);
  // Calls aDone once: with an empty reply if no leader is known or it does not answer.
  void Acquire(const rpc::QuotaRequest& aRequest,
               const LogStatus& aStatus,
               const std::string& aLeaderIp,
               Handler aDone);

private:
  void Forward(rpc::QuotaRequest aRequest, const std::string& aLeaderIp, Handler aDone);
  // Takes the limits of the committed document.
  void UpdateLimits();
  void EndUnknownShares();

  const PlatformProtocol& mProtocol;
  const DocumentState& mDocument;
  const FleetRegistry& mRegistry;
  const QuotaOwnerSettings mSettings;
  QuotaLedger mLedger;
  // Version of the document that the limits are from.
  DocumentVersion mLimitsVersion = 0;
  TimePoint mSharesCheckedAt;
  QuotaChannels mChannels;
  Counter& mCalls;
  Counter& mForwards;
  Counter& mGranted;
  Counter& mDenied;
};

} // namespace apricotyard

#endif
