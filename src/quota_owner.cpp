#include "quota_owner.h"

#include "extra_send_pool.h"
#include "log.h"
#include "quota_messages.h"

#include <algorithm>

namespace apricotyard {

namespace {

// Shorter than the time after which gateways give up a call.
constexpr Duration kForwardTimeout = std::chrono::milliseconds(250);
// The report of a gateway that was not heard by this coordinator for this time is not waited for.
// It holds no share of an owner, unless it is cut off from this coordinator alone.
constexpr Duration kMaxShareSilence = std::chrono::seconds(15);
// Pause between two checks whether all gateways have reported. Each check goes through all of them.
constexpr Duration kShareCheckInterval = std::chrono::milliseconds(100);

} // namespace

QuotaOwner::QuotaOwner(Loop& aLoop,
                       const PlatformProtocol& aProtocol,
                       const DocumentState& aDocument,
                       const FleetRegistry& aRegistry,
                       MetricsRegistry& aMetrics,
                       QuotaOwnerSettings aSettings)
  : mProtocol(aProtocol)
  , mDocument(aDocument)
  , mRegistry(aRegistry)
  , mSettings(std::move(aSettings))
  , mChannels(aLoop, mSettings.mRpcPort, mSettings.mSecurity)
  , mCalls(aMetrics.AddCounter("apricot_quota_owner_calls_total",
                               "Calls of gateways for tokens, served by this host."))
  , mForwards(aMetrics.AddCounter("apricot_quota_forwards_total",
                                  "Calls of gateways for tokens, forwarded to the leader."))
  , mGranted(aMetrics.AddCounter("apricot_quota_granted_total", "Tokens granted by this host."))
  , mDenied(
      aMetrics.AddCounter("apricot_quota_denied_total", "Requests that got no token of this host."))
{
}

void
QuotaOwner::UpdateTerm(const LogStatus& aStatus)
{
  if (!aStatus.mLeading || mLedger.mTerm == aStatus.mTerm) {
    return;
  }
  mLedger = StartQuotaLedger(aStatus.mTerm, SteadyNow());
  mLimitsVersion = 0;
  LogEvent(Event::QuotaOwnerStarted,
           { { "term", aStatus.mTerm }, { "version", mDocument.Current().mVersion } });
}

void
QuotaOwner::RecordShareTerm(const std::string& aGateway, std::uint64_t aTerm)
{
  ReportShareTerm(mLedger, aGateway, aTerm, SteadyNow());
}

void
QuotaOwner::Acquire(const rpc::QuotaRequest& aRequest,
                    const LogStatus& aStatus,
                    const std::string& aLeaderIp,
                    Handler aDone)
{
  if (!aStatus.mLeading) {
    if (aRequest.forwarded() || aLeaderIp.empty() || aLeaderIp == mSettings.mSelfIp) {
      aDone({});
    } else {
      Forward(aRequest, aLeaderIp, std::move(aDone));
    }
    return;
  }
  UpdateTerm(aStatus);
  EndUnknownShares();
  UpdateLimits();
  mCalls.Add();
  rpc::QuotaReply message;
  if (const auto reply = AcquireQuota(mLedger, FromMessage(aRequest), SteadyNow())) {
    ToMessage(*reply, message);
    for (std::size_t i = 0; i < reply->mGrants.size(); ++i) {
      const std::uint32_t wanted = aRequest.demands(static_cast<int>(i)).wanted();
      const std::uint32_t granted = reply->mGrants[i].mGranted;
      mGranted.Add(granted);
      mDenied.Add(wanted - std::min(wanted, granted));
    }
  }
  message.set_owner(mSettings.mSelfIp);
  aDone(message);
}

void
QuotaOwner::Forward(rpc::QuotaRequest aRequest, const std::string& aLeaderIp, Handler aDone)
{
  mForwards.Add();
  aRequest.set_forwarded(true);
  mChannels.Call(aLeaderIp,
                 std::move(aRequest),
                 kForwardTimeout,
                 [done = std::move(aDone)](const std::optional<rpc::QuotaReply>& aReply) {
                   done(aReply.value_or(rpc::QuotaReply()));
                 });
}

void
QuotaOwner::UpdateLimits()
{
  const StoredDocument& current = mDocument.Current();
  if (mLimitsVersion == current.mVersion) {
    return;
  }
  mLimitsVersion = current.mVersion;
  const auto document = mProtocol.mDecodeDocument(current.mBytes);
  if (!document) {
    LogEvent(Event::QuotaLimitsUnreadable,
             { { "version", mLimitsVersion }, { "reason", document.error().mMessage } });
    return;
  }
  auto limits = LimitsOf(*document);
  if (mSettings.mExtraSends.mPooled) {
    for (const RoutedService& service : document->mServices) {
      limits[ExtraSendPool(service.mName)] = ExtraSendPoolLimit(mSettings.mExtraSends.mLimits);
    }
  }
  SetQuotaLimits(mLedger, std::move(limits), SteadyNow());
}

std::vector<std::string>
PossibleShareHolders(const FleetRegistry& aRegistry, TimePoint aNow)
{
  std::vector<std::string> gateways;
  for (const auto& [ip, known] : aRegistry.mHosts) {
    if (known.mHost.mRole == FleetRole::Gateway && !known.mHost.mQuotaSharesGivenUp &&
        known.mHeardAt + kMaxShareSilence > aNow) {
      gateways.push_back(ip);
    }
  }
  return gateways;
}

void
QuotaOwner::EndUnknownShares()
{
  const TimePoint now = SteadyNow();
  if (now >= mLedger.mUnknownUntil || now < mSharesCheckedAt + kShareCheckInterval) {
    return;
  }
  mSharesCheckedAt = now;
  apricotyard::EndUnknownShares(mLedger, PossibleShareHolders(mRegistry, now), now);
}

} // namespace apricotyard
