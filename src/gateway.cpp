#include "gateway.h"

#include "caller_limits.h"
#include "cmdline.h"
#include "discovery_node.h"
#include "document_lease.h"
#include "document_state.h"
#include "evacuation_metrics.h"
#include "fleet_client.h"
#include "fleet_messages.h"
#include "gateway_subset.h"
#include "log.h"
#include "metrics_page.h"
#include "quota_client.h"
#include "quota_messages.h"
#include "quota_share.h"
#include "relay.h"
#include "strike_log.h"
#include "suspension.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace apricotyard {

namespace {

// Longer than callers keep idle connections, so that the caller closes them first.
constexpr std::chrono::seconds kIdleTimeout{ 60 };
constexpr Duration kExpireInterval = std::chrono::milliseconds(250);
// Time for upstreams to announce themselves again after the coordinators return.
constexpr Duration kReannounceGrace = std::chrono::seconds(6);
// The process stops this long before the end of the stop grace, even if requests are unfinished.
constexpr Duration kStopReserve = std::chrono::milliseconds(400);
// Requests that arrive during the stop are answered this long before the process stops.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(100);
// New requests are accepted for this share of the stop grace less kStopReserve, because callers
// keep using their list of gateways for a while.
constexpr double kAcceptingShare = 0.75;
// Processor time of a sub-request on one core. Load is reckoned from it and not from the process's
// own time, so that work which does not come from callers makes no gateway active.
constexpr Duration kSubrequestTime = std::chrono::microseconds(75);
constexpr Duration kLoadInterval = std::chrono::milliseconds(500);
// Weight of the last interval in the load.
constexpr double kLoadSmoothing = 0.4;
// A coordinator that has not answered for this time no longer says which gateways are active. It is
// longer than callers keep a list of gateways.
constexpr Duration kSubsetReportLifetime = std::chrono::seconds(15);
// Interval at which old crashes are dropped from the reports.
constexpr Duration kCrashReportInterval = std::chrono::seconds(5);
// A crash that concerns the requests of all gateways is reported at once, but not more often than
// this.
constexpr Duration kCrashCallInterval = std::chrono::milliseconds(200);
// Most strikes that a coordinator gets after its start from one gateway.
constexpr std::size_t kMaxKnownStrikes = 256;
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);

class Gateway
{
public:
  Gateway(Loop& aLoop, const GatewaySettings& aSettings, const PlatformProtocol& aProtocol)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mProtocol(aProtocol)
    , mRelay(aLoop, aProtocol, MakeRelaySettings(aSettings), mMetrics)
    , mQuotaClient(aLoop,
                   static_cast<std::uint16_t>(aSettings.mRpcPort),
                   aSettings.mSecurity,
                   aSettings.mDataCentre)
  {
    mSelf.mName = aSettings.mHost;
    mSelf.mDataCentre = aSettings.mDataCentre;
    mSelf.mIncarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1));
    mSelf.mIp = aSettings.mCallerAddress.mIp;
    mSelf.mPublicAddress = aSettings.mCallerAddress;
    mDirectory.mHost = mSelf.mIp;
    mDirectory.mIncarnation = mSelf.mIncarnation;
  }

  Expected<void> Start();
  void BeginStop();
  void AddSeeds(const std::vector<SocketAddress>& aSeeds);

private:
  static RelaySettings MakeRelaySettings(const GatewaySettings& aSettings)
  {
    RelaySettings settings;
    settings.mDataCentre = aSettings.mDataCentre;
    settings.mSourceIp = aSettings.mCallerAddress.mIp;
    settings.mExtraSends = aSettings.mExtraSends.mLimits;
    settings.mPooledExtraSends = aSettings.mExtraSends.mPooled;
    settings.mPricePerGb = aSettings.mPricePerGb;
    settings.mLimitLeaving = aSettings.mLimitLeaving;
    settings.mSeed = std::hash<std::string>()(aSettings.mHost);
    return settings;
  }

  Expected<void> Listen();
  Expected<void> ListenForMetrics();
  void CallQuotaOwner(const QuotaCall& aCall);
  void OnSync(const std::string& aIp, const rpc::FleetSyncReply& aReply, TimePoint aSentAt);
  void ApplyEvacuations(const std::string& aIp, const rpc::FleetSyncReply& aReply);
  void ApplySubset(const std::string& aIp, const rpc::FleetSyncReply& aReply);
  void ReportLoad();
  // Learns of crashes that other gateways saw.
  void ApplyCrashes(const rpc::FleetSyncReply& aReply);
  void ReportCrashes();
  // Tells coordinators at once whether callers should use other gateways.
  void ReportReachability();
  // Learns of the gateways to which requests can be passed on.
  void ApplyPeers(const rpc::FleetSyncReply& aReply);
  // Renews the lease by which keys are judged.
  void ApplyReadAge(const rpc::FleetSyncReply& aReply, TimePoint aSentAt);
  // Logs whether requests with keys are served, if that has changed.
  void ReportLease();
  void ConsiderDocument(const std::string& aIp, const rpc::FleetSyncReply& aReply);
  void AdoptDocument();
  void ExpireUpstreams();
  void PublishUpstreams();
  void AnswerReady(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void CheckStopped();

  Loop& mLoop;
  const GatewaySettings& mSettings;
  const PlatformProtocol& mProtocol;
  FleetHost mSelf;
  Directory mDirectory;
  MetricsRegistry mMetrics;
  Relay mRelay;
  std::unique_ptr<FleetClient> mClient;
  QuotaClient mQuotaClient;
  std::unique_ptr<HttpServer> mCallerServer;
  std::unique_ptr<HttpServer> mReadyServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  // Version of the document in force here; 0 if there is none.
  DocumentVersion mVersion = 0;
  // The document received last from a coordinator, as encoded by EncodeDocument, its identity, and
  // whether it is in force here.
  DocumentIdentity mCandidate;
  std::string mEncodedCandidate;
  bool mCandidateAdopted = false;
  // The document in force here.
  DocumentIdentity mAdopted;
  // Whether that document has workspaces.
  bool mHasWorkspaces = false;
  DocumentLease mLease;
  bool mLeaseReported = false;
  // Used until the first document is adopted: the newest version that a coordinator has reported,
  // whether a coordinator in contact with its group has replied, and the voters that have.
  DocumentVersion mNewestVersionSeen = 0;
  bool mCurrentReplySeen = false;
  VoterPoll mVoters;
  // What one coordinator said last of the gateways.
  struct SubsetReport
  {
    std::uint32_t mGateways = 0;
    std::uint32_t mActiveGateways = 0;
    bool mActive = false;
    // The coordinator is in the data centre of this gateway.
    bool mNear = false;
    TimePoint mAt;
  };
  // By the coordinator's IP address.
  std::map<std::string, SubsetReport> mSubsetReports;
  EvacuationView mEvacuations;
  // Crashes that this gateway or others saw.
  StrikeLog mStrikes;
  TimePoint mCrashesReportedAt = TimePoint::min();
  // The largest of the numbers that coordinators reported.
  std::uint32_t mGatewayCount = 0;
  HostCount mHostCount;
  LinkPauses mPauses;
  std::uint32_t mActiveGatewayCount = 0;
  bool mActive = false;
  TimePoint mActiveSince;
  std::uint64_t mReportedSubrequests = 0;
  double mLoad = 0;
  std::size_t mUpstreamCount = 0;
  Gauge& mVersionGauge =
    mMetrics.AddGauge("apricot_document_version", "Version of the routing document in force here.");
  Gauge& mGatewaysGauge =
    mMetrics.AddGauge("apricot_gateways", "Gateways that coordinators hear of.");
  Gauge& mActiveGatewaysGauge =
    mMetrics.AddGauge("apricot_active_gateways",
                      "Gateways that callers are sent to and that share the replicas.");
  Gauge& mActiveGauge =
    mMetrics.AddGauge("apricot_active", "1 while callers are sent to this host.");
  Gauge& mLoadGauge =
    mMetrics.AddGauge("apricot_load", "Share of the processor time that requests take.");
  Gauge& mUpstreamsGauge = mMetrics.AddGauge("apricot_upstreams", "Upstreams known here.");
  Gauge& mNearCallsGauge = mMetrics.AddGauge("apricot_coordinator_calls",
                                             "Calls to coordinators since the start.",
                                             R"(data_centre="own")");
  Gauge& mFarCallsGauge = mMetrics.AddGauge("apricot_coordinator_calls",
                                            "Calls to coordinators since the start.",
                                            R"(data_centre="other")");
  Gauge& mNearBytesGauge =
    mMetrics.AddGauge("apricot_coordinator_bytes",
                      "Bytes exchanged with coordinators since the start, without framing.",
                      R"(data_centre="own")");
  Gauge& mFarBytesGauge =
    mMetrics.AddGauge("apricot_coordinator_bytes",
                      "Bytes exchanged with coordinators since the start, without framing.",
                      R"(data_centre="other")");
  Gauge& mSinceCoordinatorGauge = mMetrics.AddGauge("apricot_coordinator_silence_seconds",
                                                    "Time since a coordinator answered last.");
  Gauge& mLeaseAgeGauge =
    mMetrics.AddGauge("apricot_lease_age_seconds",
                      "Time since the document in force was last confirmed; -1 if it never was.");
  EvacuationGauges mEvacuationGauges{ mMetrics };
  TimePoint mLastCoordinatorReplyAt;
  // Time of the first coordinator reply after all had been silent.
  TimePoint mCoordinatorsReturnedAt;
  bool mStopping = false;
  TimePoint mStopListeningAt;
  TimePoint mStopAt;
};

Expected<void>
Gateway::Start()
{
  if (auto listening = Listen(); !listening) {
    return listening;
  }
  mRelay.SetActive(mActive);
  FleetClientSettings clientSettings;
  clientSettings.mRpcPort = static_cast<std::uint16_t>(mSettings.mRpcPort);
  clientSettings.mSecurity = mSettings.mSecurity;
  clientSettings.mFetchDocuments = true;
  clientSettings.mDataCentre = mSettings.mDataCentre;
  mClient = std::make_unique<FleetClient>(
    mLoop,
    clientSettings,
    [this](const std::string& aIp, const rpc::FleetSyncReply& aReply, TimePoint aSentAt) {
      OnSync(aIp, aReply, aSentAt);
    });
  mLease.mLimit = mSettings.mRevocationLimit;
  mRelay.SetDocumentLease(mLease);
  // Until the first document is known, it may have workspaces.
  mClient->SetReadAgeWanted(mLease.mLimit.has_value());
  mClient->SetLocalHost(mSelf);
  AddSeeds(mSettings.mSeeds);
  mLoop.AddPeriodic(kExpireInterval, [this] {
    ExpireUpstreams();
    ReportLease();
    mClient->SetQuotaShareTerm(mRelay.QuotaShareTerm());
  });
  mLoop.AddPeriodic(kLoadInterval, [this] { ReportLoad(); });
  mLoop.AddPeriodic(kCrashReportInterval, [this] { ReportCrashes(); });
  mRelay.SetQuotaCaller(mSelf.mIncarnation,
                        [this](const QuotaCall& aCall) { CallQuotaOwner(aCall); });
  mRelay.SetReachabilityHandler([this] { ReportReachability(); });
  mRelay.SetStrikeHandler([this](const Strike& aStrike) {
    const TimePoint now = SteadyNow();
    Append(mStrikes, aStrike, now);
    ReportCrashes();
    if (aStrike.mOfContent && mCrashesReportedAt + kCrashCallInterval <= now) {
      mCrashesReportedAt = now;
      mClient->SetLocalHost(mSelf);
    }
  });
  return {};
}

void
Gateway::CallQuotaOwner(const QuotaCall& aCall)
{
  mQuotaClient.Call(ToMessage(aCall),
                    kQuotaCallTimeout,
                    [this, number = aCall.mNumber](const std::optional<rpc::QuotaReply>& aReply) {
                      mRelay.OnQuotaReply(
                        number, aReply ? std::optional(FromMessage(*aReply)) : std::nullopt);
                    });
}

void
Gateway::AddSeeds(const std::vector<SocketAddress>& aSeeds)
{
  // Gateways start with different seeds.
  const std::size_t first =
    aSeeds.empty() ? 0 : std::hash<std::string>()(mSelf.mIp) % aSeeds.size();
  for (std::size_t i = 0; i < aSeeds.size(); ++i) {
    mClient->AddCoordinator(aSeeds[(first + i) % aSeeds.size()].mIp);
    mQuotaClient.AddCoordinator(aSeeds[i].mIp, "");
  }
}

Expected<void>
Gateway::Listen()
{
  auto callers = HttpServer::Builder(mLoop, mSettings.mCallerAddress)
                   .PreserveRawRequest()
                   .MaxConnections(static_cast<unsigned>(mSettings.mMaxConnections))
                   .IdleTimeout(kIdleTimeout)
                   .OnRequest([this](HttpRequest aRequest, HttpResponder aRespond) {
                     mRelay.Handle(std::move(aRequest), std::move(aRespond));
                   })
                   .Start();
  if (!callers) {
    return tl::unexpected(callers.error());
  }
  mCallerServer = *std::move(callers);
  auto ready = HttpServer::Builder(mLoop, mSettings.mReadyAddress)
                 .OnRequest([this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                   AnswerReady(aRequest, aRespond);
                 })
                 .Start();
  if (!ready) {
    return tl::unexpected(ready.error());
  }
  mReadyServer = *std::move(ready);
  return ListenForMetrics();
}

Expected<void>
Gateway::ListenForMetrics()
{
  auto server = ServeMetrics(mLoop, mSettings.mMetricsAddress, mMetrics, [this] {
    mRelay.UpdateGauges();
    mVersionGauge.Set(static_cast<double>(mVersion));
    mEvacuationGauges.Update(EvacuatedDataCentres(mEvacuations));
    mGatewaysGauge.Set(mGatewayCount);
    const FleetClient::Traffic near = mClient->TrafficOf(true);
    const FleetClient::Traffic far = mClient->TrafficOf(false);
    mNearCallsGauge.Set(static_cast<double>(near.mCalls));
    mNearBytesGauge.Set(static_cast<double>(near.mBytes));
    mFarCallsGauge.Set(static_cast<double>(far.mCalls));
    mFarBytesGauge.Set(static_cast<double>(far.mBytes));
    mActiveGatewaysGauge.Set(mActiveGatewayCount);
    mActiveGauge.Set(mActive ? 1 : 0);
    mLoadGauge.Set(mLoad);
    mUpstreamsGauge.Set(static_cast<double>(mUpstreamCount));
    const auto leaseAge = LeaseAge(mLease, SteadyNow());
    mLeaseAgeGauge.Set(leaseAge ? std::chrono::duration<double>(*leaseAge).count() : -1);
    mSinceCoordinatorGauge.Set(
      std::chrono::duration<double>(SteadyNow() - mLastCoordinatorReplyAt).count());
  });
  if (!server) {
    return tl::unexpected(server.error());
  }
  mMetricsServer = *std::move(server);
  return {};
}

void
Gateway::AnswerReady(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const auto call = mProtocol.mDecodeCall(aRequest);
  if (!call || call->mKind != FleetCallKind::CheckReady) {
    aRespond(ErrorResponse(Result::NotFound, "no such path"));
  } else if (mStopping) {
    aRespond(ErrorResponse(Result::Stopping, "the gateway is stopping"));
  } else if (mVersion == 0) {
    aRespond(ErrorResponse(Result::NoConfiguration, "no routing document is known yet"));
  } else {
    aRespond({ 200, "{}" });
  }
}

void
Gateway::OnSync(const std::string& aIp, const rpc::FleetSyncReply& aReply, TimePoint aSentAt)
{
  const TimePoint now = SteadyNow();
  if (mLastCoordinatorReplyAt + CoordinatorSilence(mPauses) < now) {
    mCoordinatorsReturnedAt = now;
  }
  mLastCoordinatorReplyAt = now;
  bool changed = false;
  for (const rpc::Record& message : aReply.records()) {
    auto record = FromMessage(message);
    if (!record) {
      LogEvent(Event::AnnouncementRejected,
               { { "coordinator", aIp }, { "reason", record.error().mMessage } });
      continue;
    }
    record->mInfo.mWarmupUntil = WarmupUntil(message, now);
    const Duration idle = std::chrono::milliseconds(message.idle_ms());
    changed |= ApplyRecord(mDirectory, *record, idle, aSentAt) == AnnounceOutcome::Changed;
  }
  ConfirmRegistrar(mDirectory, aIp, aReply.self().incarnation(), aSentAt);
  mQuotaClient.AddCoordinator(aIp, aReply.self().data_centre());
  mQuotaClient.SetLeader(aReply.leader());
  for (const rpc::FleetHost& host : aReply.coordinators()) {
    mClient->AddCoordinator(host.ip(), host.data_centre());
    mQuotaClient.AddCoordinator(host.ip(), host.data_centre());
    if (host.idle_ms() >= 0) {
      ConfirmRegistrar(mDirectory,
                       host.ip(),
                       host.incarnation(),
                       aSentAt - std::chrono::milliseconds(host.idle_ms()));
    }
  }
  // Before the upstreams and the document, so that no request is sent without it.
  ApplyEvacuations(aIp, aReply);
  ApplyCrashes(aReply);
  ApplyPeers(aReply);
  ApplySubset(aIp, aReply);
  if (changed) {
    PublishUpstreams();
  }
  ConsiderDocument(aIp, aReply);
  ApplyReadAge(aReply, aSentAt);
}

void
Gateway::ApplyReadAge(const rpc::FleetSyncReply& aReply, TimePoint aSentAt)
{
  if (!mLease.mLimit || !mHasWorkspaces) {
    return;
  }
  RenewLease(mLease,
             mAdopted,
             DocumentOf(aReply),
             aReply.has_read_age_ms() ? std::optional(aReply.read_age_ms()) : std::nullopt,
             aSentAt);
  mRelay.SetDocumentLease(mLease);
  ReportLease();
}

void
Gateway::ReportLease()
{
  const TimePoint now = SteadyNow();
  const bool valid = IsLeaseValid(mLease, now);
  if (!mLease.mLimit || !mHasWorkspaces || valid == mLeaseReported) {
    return;
  }
  mLeaseReported = valid;
  const auto age = LeaseAge(mLease, now);
  LogEvent(
    valid ? Event::LeaseGained : Event::LeaseLost,
    { { "version", mVersion }, { "age_ms", age ? *age / std::chrono::milliseconds(1) : -1 } });
}

void
Gateway::ApplyEvacuations(const std::string& aIp, const rpc::FleetSyncReply& aReply)
{
  if (!LearnEvacuations(mEvacuations, aIp, EvacuationsOf(aReply), SteadyNow())) {
    return;
  }
  const std::set<std::string> dataCentres = EvacuatedDataCentres(mEvacuations);
  LogEvent(Event::EvacuationsAdopted,
           { { "revision", mEvacuations.mCommitted.mRevision },
             { "evacuated", fmt::format("{}", fmt::join(dataCentres, ",")) },
             { "coordinator", aIp } });
  mRelay.SetEvacuated(dataCentres);
}

// A gateway is active if a coordinator of its data centre names it to callers. Without such a
// coordinator, any other counts, though it may not know all gateways and name too many.
void
Gateway::ApplySubset(const std::string& aIp, const rpc::FleetSyncReply& aReply)
{
  const TimePoint now = SteadyNow();
  const bool namesAll = !aReply.has_active_gateways();
  mSubsetReports[aIp] = { aReply.gateways(),
                          namesAll ? aReply.gateways() : aReply.active_gateways(),
                          namesAll || aReply.active(),
                          aReply.self().data_centre() == mSettings.mDataCentre,
                          now };
  std::erase_if(mSubsetReports, [now](const auto& aEntry) {
    return aEntry.second.mAt + kSubsetReportLifetime < now;
  });
  std::uint32_t gateways = 1;
  std::uint32_t activeGateways = 1;
  const bool anyNear = std::any_of(mSubsetReports.begin(),
                                   mSubsetReports.end(),
                                   [](const auto& aEntry) { return aEntry.second.mNear; });
  bool active = false;
  for (const auto& [ip, report] : mSubsetReports) {
    gateways = std::max(gateways, report.mGateways);
    activeGateways = std::max(activeGateways, report.mActiveGateways);
    active |= report.mActive && report.mNear == anyNear;
  }
  if (activeGateways != mActiveGatewayCount) {
    mActiveGatewayCount = activeGateways;
    mRelay.SetGatewayCount(activeGateways);
  }
  const bool changed = active != mActive;
  if (changed) {
    LogEvent(Event::GatewayActivity, { { "active", active }, { "coordinator", aIp } });
    mActive = active;
    mActiveSince = now;
    mRelay.SetActive(active);
  }
  const bool ready = active && mActiveSince + kActivationTime <= now;
  mGatewayCount = gateways;
  const std::size_t hosts = UpdateHostCount(mHostCount, gateways, now);
  mClient->SetHostCount(hosts);
  mPauses = GatewayPauses(active, hosts);
  mClient->SetPauses(mPauses);
  // Calls all coordinators. A changed number of gateways is no reason for that: all gateways learn
  // it at the same time.
  if (ready != mSelf.mReady || changed) {
    mSelf.mReady = ready;
    mClient->SetLocalHost(mSelf);
  }
}

void
Gateway::ApplyCrashes(const rpc::FleetSyncReply& aReply)
{
  for (const auto* const messages : { &aReply.crashes(), &aReply.unconfirmed_crashes() }) {
    for (const rpc::UpstreamCrash& message : *messages) {
      const auto strike = FromMessage(message);
      if (!strike) {
        LogEvent(Event::AnnouncementRejected, { { "reason", strike.error().mMessage } });
        continue;
      }
      // Coordinators send the same crash once each.
      if (Append(mStrikes, *strike, SteadyNow())) {
        mRelay.AddStrike(*strike);
      }
    }
  }
}

void
Gateway::ReportCrashes()
{
  mClient->SetCrashes(StrikesToReport(mStrikes, mSelf.mIp, SteadyNow()),
                      mRelay.KnownStrikes(kMaxKnownStrikes));
}

void
Gateway::ReportLoad()
{
  const std::uint64_t sent = mRelay.SentSubrequests();
  const std::chrono::duration<double> busy = kSubrequestTime * (sent - mReportedSubrequests);
  mReportedSubrequests = sent;
  const double load =
    busy / std::chrono::duration<double>(kLoadInterval) / mSettings.mProcessorShare;
  mLoad += kLoadSmoothing * (load - mLoad);
  mSelf.mLoad = mLoad;
  mClient->SetLoad(mLoad);
  ReportReachability();
}

void
Gateway::ReportReachability()
{
  const bool avoid = mRelay.ShouldAvoidCallers();
  if (avoid != mSelf.mAvoidCallers) {
    mSelf.mAvoidCallers = avoid;
    mClient->SetLocalHost(mSelf);
  }
}

void
Gateway::ApplyPeers(const rpc::FleetSyncReply& aReply)
{
  std::vector<SocketAddress> peers;
  for (const std::string& address : aReply.peers()) {
    if (const auto peer = ParseSocketAddress(address)) {
      peers.push_back(*peer);
    } else {
      LogEvent(Event::AnnouncementRejected, { { "reason", "address of a gateway" } });
    }
  }
  if (!peers.empty()) {
    mRelay.SetPeers(std::move(peers));
  }
}

// Keeps the newest document received and adopts it. The first document is adopted only when it is
// certain that no newer one has been acknowledged: after a coordinator in contact with its group,
// or a majority of the voters, has replied.
void
Gateway::ConsiderDocument(const std::string& aIp, const rpc::FleetSyncReply& aReply)
{
  const DocumentIdentity offered = DocumentOf(aReply);
  if (Supersedes(offered, mCandidate) && !aReply.document().empty()) {
    mCandidate = offered;
    mEncodedCandidate = aReply.document();
    mCandidateAdopted = false;
    mClient->SetDocument(mCandidate);
  } else if (Confirms(offered, mCandidate)) {
    mCandidate = offered;
    mClient->SetDocument(mCandidate);
  }
  if (Confirms(offered, mAdopted)) {
    mAdopted = offered;
  }
  if (mVersion == 0) {
    mNewestVersionSeen = std::max<DocumentVersion>(mNewestVersionSeen, aReply.document_version());
    mCurrentReplySeen |= aReply.current();
    if (aReply.voters() > 0) {
      AddVoter(mVoters, aIp, aReply.voter_list(), aReply.voters());
    }
    if (!mCurrentReplySeen && !HasMajority(mVoters)) {
      return;
    }
  }
  if (!mCandidateAdopted && mCandidate.mVersion > 0 && mCandidate.mVersion >= mNewestVersionSeen) {
    AdoptDocument();
  }
}

void
Gateway::AdoptDocument()
{
  mCandidateAdopted = true;
  const auto stored = DecodeDocument(mEncodedCandidate);
  auto document = stored ? mProtocol.mDecodeDocument(stored->mBytes)
                         : Expected<RoutingDocument>(tl::unexpected(stored.error()));
  if (!document) {
    LogEvent(Event::ConfigurationNotAdopted,
             { { "version", mCandidate.mVersion }, { "reason", document.error().mMessage } });
    return;
  }
  mVersion = mCandidate.mVersion;
  mAdopted = mCandidate;
  mHasWorkspaces = !document->mWorkspaces.empty();
  mClient->SetReadAgeWanted(mLease.mLimit && mHasWorkspaces);
  mCallerServer->SetLimits(LimitsForConnections(document->mLimits));
  mRelay.SetRouting(std::make_shared<RoutingTable>(*std::move(document)));
  LogEvent(Event::DocumentAdopted,
           { { "version", mVersion },
             { "committed", mCandidate.mCommitted },
             { "current", mCurrentReplySeen },
             { "voters", mVoters.mHeard.size() } });
  if (!mSelf.mServing && !mStopping) {
    mSelf.mServing = true;
    mClient->SetLocalHost(mSelf);
  }
}

void
Gateway::ExpireUpstreams()
{
  const TimePoint now = SteadyNow();
  if (mLastCoordinatorReplyAt + CoordinatorSilence(mPauses) < now ||
      mCoordinatorsReturnedAt + kReannounceGrace > now) {
    return;
  }
  const std::vector<UpstreamInfo> expired = ExpireLeases(mDirectory, now);
  for (const UpstreamInfo& info : expired) {
    LogEvent(Event::UpstreamExpired, { { "upstream", info.mId }, { "service", info.mService } });
  }
  if (!expired.empty()) {
    PublishUpstreams();
  }
  mRelay.ResolveSuspicions();
}

void
Gateway::PublishUpstreams()
{
  TakeChanges(mDirectory);
  const std::vector<UpstreamInfo> upstreams = ListUpstreams(mDirectory);
  mUpstreamCount = upstreams.size();
  mRelay.SetUpstreams(upstreams);
}

void
Gateway::BeginStop()
{
  if (mStopping) {
    return;
  }
  LogEvent(Event::ProcessStopping,
           { { "host", mSettings.mHost }, { "open", mRelay.OpenRequests() } });
  const TimePoint now = SteadyNow();
  const Duration usableGrace = mSettings.mStopGrace - kStopReserve;
  mStopping = true;
  mStopListeningAt = now + std::chrono::duration_cast<Duration>(usableGrace * kAcceptingShare);
  mStopAt = now + usableGrace;
  mRelay.BeginStop(mStopAt - kAnswerReserve);
  mSelf.mServing = false;
  mSelf.mQuotaSharesGivenUp = true;
  mClient->SetLocalHost(mSelf);
  mLoop.AddPeriodic(kStopCheckInterval, [this] { CheckStopped(); });
}

void
Gateway::CheckStopped()
{
  const TimePoint now = SteadyNow();
  if (now < mStopListeningAt) {
    return;
  }
  mCallerServer->StopListening();
  if (mCallerServer->OpenRequests() == 0) {
    mLoop.Stop();
  } else if (now >= mStopAt) {
    mRelay.AbortOpenRequests();
    mLoop.Stop();
  }
}

} // namespace

void
ReadGatewaySettings(SettingsReader& aReader, GatewaySettings& aSettings)
{
  constexpr std::int64_t kMaxPort = 65'535;
  constexpr double kMaxPricePerGb = 1e6;
  aReader.Text("host", Presence::Required, 1, 64, aSettings.mHost);
  aReader.Text("data_centre", Presence::Required, 1, 64, aSettings.mDataCentre);
  aReader.Address("caller_address", Presence::Required, aSettings.mCallerAddress);
  aReader.Address("ready_address", Presence::Required, aSettings.mReadyAddress);
  aReader.Address("metrics_address", Presence::Optional, aSettings.mMetricsAddress);
  aReader.Integer("rpc_port", Presence::Required, 1, kMaxPort, aSettings.mRpcPort);
  aReader.AddressList("seeds", Presence::Required, aSettings.mSeeds);
  aReader.Number(
    "locality.price_per_gb", Presence::Optional, 0, kMaxPricePerGb, aSettings.mPricePerGb);
  aReader.Boolean("locality.limit_leaving", Presence::Optional, aSettings.mLimitLeaving);
  ReadExtraSendSettings(aReader, aSettings.mExtraSends);
  aReader.Number("processor_share", Presence::Optional, 0.01, 1024, aSettings.mProcessorShare);
  aReader.Time("stop_grace",
               Presence::Optional,
               std::chrono::seconds(1),
               std::chrono::minutes(10),
               aSettings.mStopGrace);
  aReader.Integer("max_connections", Presence::Optional, 10, 20'000, aSettings.mMaxConnections);
  if (aReader.Has("revocation_limit")) {
    Duration limit = kMinRevocationLimit;
    aReader.Time(
      "revocation_limit", Presence::Optional, kMinRevocationLimit, std::chrono::minutes(10), limit);
    aSettings.mRevocationLimit = limit;
  }
  ReadRpcSecurity(aReader, aSettings.mSecurity);
  ReadLogSettings(aReader, aSettings.mLogLevel);
}

int
RunGateway(const GatewaySettings& aSettings,
           const PlatformProtocol& aProtocol,
           const std::function<std::optional<GatewaySettings>()>& aReloadSettings)
{
  BlockStopSignals();
  Loop loop;
  Gateway gateway(loop, aSettings, aProtocol);
  HandleStopSignals(loop, [&gateway] { gateway.BeginStop(); });
  HandleReloadSignal(loop, [&gateway, &aReloadSettings] {
    const auto settings = aReloadSettings();
    LogEvent(Event::SettingsReloaded, { { "valid", settings.has_value() } });
    if (settings) {
      gateway.AddSeeds(settings->mSeeds);
      SetLogLevel(settings->mLogLevel);
    }
  });
  StartLogger("apricot-gateway", aSettings.mLogLevel);
  const auto started = gateway.Start();
  if (started) {
    LogEvent(Event::ProcessStarted,
             { { "host", aSettings.mHost }, { "data_centre", aSettings.mDataCentre } });
    ReportSuspensions(loop);
    loop.Run();
    LogEvent(Event::ProcessStopped, { { "host", aSettings.mHost } });
  } else {
    LogEvent(Event::StartFailed, { { "reason", started.error().mMessage } });
  }
  StopLogger();
  return started ? kExitOk : kExitFailure;
}

} // namespace apricotyard
