#include "coordinator.h"

#include "cmdline.h"
#include "crash_exchange.h"
#include "departures.h"
#include "discovery_node.h"
#include "document_lease.h"
#include "document_state.h"
#include "evacuation_metrics.h"
#include "fleet.grpc.pb.h"
#include "fleet_client.h"
#include "fleet_messages.h"
#include "gateway_subset.h"
#include "group_plan.h"
#include "latest_file.h"
#include "link_pacing.h"
#include "log.h"
#include "loop_calls.h"
#include "metrics_page.h"
#include "quota_owner.h"
#include "raft_node.h"
#include "suspension.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Largest accepted document. Documents have a few thousand routes of about 300 bytes each.
constexpr std::size_t kMaxDocumentBytes = std::size_t{ 4 } * 1024 * 1024;
// Upstreams and operators open few connections.
constexpr unsigned kMaxConnections = 1500;
constexpr std::chrono::seconds kIdleTimeout{ 30 };
// Operators wait one second for an answer. They send the document again if a proposal takes much
// longer than that.
constexpr Duration kProposalTimeout = std::chrono::milliseconds(2500);
constexpr Duration kExpireInterval = std::chrono::milliseconds(250);
constexpr Duration kSubsetInterval = std::chrono::milliseconds(250);
// How long an answer that names the gateways of a data centre is repeated. Making one takes time
// that grows with the number of gateways, and callers keep the answer for seconds.
constexpr Duration kGatewayListLifetime = std::chrono::milliseconds(100);
// Callers name the data centre, so that it may be any text.
constexpr std::size_t kMaxGatewayLists = 32;
// A coordinator that has not answered for this time no longer says how many gateways are active.
constexpr Duration kActiveCountLifetime = std::chrono::seconds(15);
// How often the list of upstreams is written to disk if it has changed.
constexpr Duration kUpstreamsSaveInterval = std::chrono::seconds(1);
// How long the file names an upstream that has left. Its announcements may arrive late, and files
// of other coordinators may still list it.
constexpr Duration kDepartureSaveTime = std::chrono::minutes(1);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(500);
// How long the leader considers a request to join, which the joining host repeats every second.
constexpr Duration kJoinRequestLifetime = std::chrono::seconds(3);
constexpr Duration kJoinInterval = std::chrono::seconds(1);
// Applied log entries after which the state is written to a snapshot. Documents are small, so
// frequent snapshots are cheap, and a restart has to read fewer log entries.
constexpr std::uint64_t kSnapshotEntries = 500;
constexpr std::uint64_t kRetainedLogEntries = 100;
// Applied log bytes after which the state is written to a snapshot. A snapshot replaces the
// previous one and the log before it, so that snapshot and log fit on the 128 MB disk of a
// coordinator.
constexpr std::uint64_t kSnapshotBytes = std::uint64_t{ 8 } * 1024 * 1024;
constexpr std::chrono::milliseconds kShutdownGrace{ 500 };
// A voter that stops waits this long for the learner that replaces it.
constexpr Duration kMaxReplacementWait = std::chrono::milliseconds(1500);
// A coordinator that announced its stop has stopped after this time.
constexpr Duration kMaxStopTime = std::chrono::seconds(5);
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(25);
constexpr Duration kAcceptCheckInterval = std::chrono::milliseconds(10);
// Sent in the Retry-After header of errors that are likely to be temporary.
constexpr const char* kRetryAfterSeconds = "0.5";

std::uint64_t
NewIncarnation()
{
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() /
                                    std::chrono::milliseconds(1));
}

// The seeds list only addresses, so the name of a member is derived from its address.
std::string
MemberNameFromIp(const std::string& aIp)
{
  std::string name = aIp;
  std::replace(name.begin(), name.end(), '.', '-');
  return name;
}

// Encodes a decoded path for a Location header.
std::string
EncodePath(std::string_view aPath)
{
  constexpr std::string_view kUnreserved = "-._~/";
  std::string encoded;
  for (const char character : aPath) {
    const bool plain = std::isalnum(static_cast<unsigned char>(character)) != 0 ||
                       kUnreserved.find(character) != std::string_view::npos;
    encoded += plain ? std::string(1, character)
                     : fmt::format("%{:02X}", static_cast<unsigned char>(character));
  }
  return encoded;
}

HttpResponse
UnavailableResponse(std::string_view aMessage)
{
  HttpResponse response = ErrorResponse(Result::NoLeader, aMessage);
  response.mHeaders.push_back({ "Retry-After", kRetryAfterSeconds });
  return response;
}

class Coordinator
{
public:
  Coordinator(Loop& aLoop, const CoordinatorSettings& aSettings, const PlatformProtocol& aProtocol)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mProtocol(aProtocol)
    , mState([this] { OnDocumentStored(); })
    , mQuotaOwner(aLoop,
                  aProtocol,
                  mState,
                  mRegistry,
                  mMetrics,
                  { aSettings.mControlAddress.mIp,
                    static_cast<std::uint16_t>(aSettings.mRpcPort),
                    aSettings.mSecurity,
                    aSettings.mExtraSends })
  {
    mSelf.mName = aSettings.mHost;
    mSelf.mDataCentre = aSettings.mDataCentre;
    mSelf.mIncarnation = NewIncarnation();
    mSelf.mRole = FleetRole::Coordinator;
    mSelf.mIp = aSettings.mControlAddress.mIp;
    mSelf.mPublicAddress = aSettings.mControlAddress;
    mSelf.mServing = true;
    mRegistry.mDirectory.mHost = mSelf.mIp;
    mRegistry.mDirectory.mIncarnation = mSelf.mIncarnation;
  }

  Expected<void> Start();

  void HandleCall(const HttpRequest& aRequest, const HttpResponder& aRespond);
  rpc::FleetSyncReply HandleSync(const rpc::FleetSyncRequest& aRequest);
  rpc::FleetJoinReply HandleJoin(const rpc::FleetJoinRequest& aRequest);
  // Grants tokens of workspaces, or forwards the call to the leader. aDone runs once at most.
  void HandleAcquireQuota(const rpc::QuotaRequest& aRequest, QuotaOwner::Handler aDone);
  void AddSeeds(const std::vector<SocketAddress>& aSeeds);
  void BeginStop();
  bool MayBeReplaced() const;
  bool KnowsLeader() const { return !mLog->Status().mLeader.empty(); }

private:
  SocketAddress PeerAddress(const std::string& aIp) const
  {
    return { aIp, static_cast<std::uint16_t>(mSettings.mPeerPort) };
  }
  bool IsSeed() const;
  Expected<std::unique_ptr<RaftNode>> StartRaftNode();

  static std::uint32_t CountVotersIfVoter(const LogStatus& aStatus);
  void FillDocument(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply) const;
  // Starts a linearizable read, whose success confirms the document held here.
  void ReadDocument();
  // Adds the age of the last successful read to a reply that names a committed document.
  void FillReadAge(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply);
  void FillEvacuations(rpc::FleetSyncReply& aReply) const;
  Expected<void> ListenForMetrics();
  void FillHosts(rpc::FleetSyncReply& aReply, TimePoint aNow) const;
  // Names gateways to which a gateway that reaches no replica can pass requests on.
  void FillPeers(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply) const;
  // Takes the crashes that a gateway reports and adds those that it lacks to the reply.
  void PassCrashesOn(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply);
  std::vector<GatewayCandidate> ListCandidates(TimePoint aNow) const;
  void UpdateSubset();
  void RestoreUpstreams();
  void SaveUpstreams();
  void AcknowledgeDeparture(const std::string& aUpstream, const HttpResponder& aRespond);
  void CompletePendingDepartures();
  std::size_t CopiesNeeded() const;

  void OnDocumentStored();
  void OnSyncReply(const std::string& aIp, const rpc::FleetSyncReply& aReply, TimePoint aSentAt);
  std::set<std::string> LeavingCoordinators(TimePoint aNow) const;
  void UpdateMembership();
  void RequestToJoin();
  static std::string LeaderIp(const LogStatus& aStatus);

  void HandleAnnounce(const UpstreamInfo& aInfo, const HttpResponder& aRespond);
  void HandleLeave(const UpstreamInfo& aInfo, const HttpResponder& aRespond);
  void HandleOfferDocument(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void ProposeDocument(const StoredDocument& aDocument,
                       const std::string& aPath,
                       const HttpResponder& aRespond);
  void HandleEvacuation(const EvacuationOrder& aOrder,
                        const std::string& aPath,
                        const HttpResponder& aRespond);
  // Responds with a redirection to the leader unless this host leads. Returns whether it does.
  bool CheckLeading(const std::string& aPath, const HttpResponder& aRespond) const;
  void HandleReadDocument(const HttpResponder& aRespond);
  void HandleFindGateways(const std::string& aDataCentre, const HttpResponder& aRespond);

  Loop& mLoop;
  const CoordinatorSettings& mSettings;
  const PlatformProtocol& mProtocol;
  FleetHost mSelf;
  FleetRegistry mRegistry;
  DocumentState mState;
  DocumentReads mReads;
  GatewaySubset mSubset;
  // Crashes that gateways reported.
  StrikeLog mStrikes;
  ActiveCounts mActiveCounts;
  // What other coordinators said last, by IP address, and when.
  std::map<std::string, std::pair<ActiveCounts, TimePoint>> mRemoteActiveCounts;
  // Active gateways in all data centres.
  std::size_t mActiveGateways = 0;
  // Encoded answers to callers, computed at mGatewayListsAt or later, by the data centre that they
  // named.
  std::map<std::string, HttpResponse> mGatewayLists;
  TimePoint mGatewayListsAt{};
  std::unique_ptr<RaftNode> mLog;
  std::unique_ptr<FleetClient> mClient;
  MetricsRegistry mMetrics;
  std::unique_ptr<HttpServer> mMetricsServer;
  Counter& mCalls = mMetrics.AddCounter("apricot_calls_total", "Calls of upstreams and operators.");
  Counter& mRejectedCalls =
    mMetrics.AddCounter("apricot_rejected_calls_total", "Calls that could not be read.");
  Gauge& mVersionGauge =
    mMetrics.AddGauge("apricot_document_version", "Version of the committed routing document.");
  Gauge& mLeaderGauge = mMetrics.AddGauge("apricot_leading", "1 while this host leads.");
  Gauge& mTermGauge = mMetrics.AddGauge("apricot_term", "Term of the control group.");
  Gauge& mMembersGauge = mMetrics.AddGauge("apricot_members", "Members of the control group.");
  Gauge& mUpstreamsGauge = mMetrics.AddGauge("apricot_upstreams", "Upstreams known here.");
  Gauge& mGatewaysGauge = mMetrics.AddGauge("apricot_gateways", "Gateways heard recently.");
  Gauge& mActiveGatewaysGauge =
    mMetrics.AddGauge("apricot_active_gateways", "Gateways that callers are sent to.");
  EvacuationGauges mEvacuationGauges{ mMetrics };
  Departures mDepartures;
  Counter& mUnconfirmedDepartures =
    mMetrics.AddCounter("apricot_unconfirmed_departures_total",
                        "Departures of upstreams that were not acknowledged.");
  std::unique_ptr<LatestFile> mUpstreamsFile;
  // The registry cursor at the last write to mUpstreamsFile.
  std::uint64_t mSavedCursor = 0;
  // Hosts that asked to join, by IP address, with the time of their last request.
  std::map<std::string, std::pair<LogMember, TimePoint>> mJoinRequests;
  bool mMembershipChangePending = false;
  bool mStopping = false;
  // The term in which this host leads, or 0, and the time at which it first noticed that it leads.
  std::uint64_t mLeadingTerm = 0;
  TimePoint mLeadingSince;
  TimePoint mNextJoinRequest;
  TimePoint mLeaderKnownAt = SteadyNow();
  QuotaOwner mQuotaOwner;
};

Expected<void>
Coordinator::ListenForMetrics()
{
  auto server = ServeMetrics(mLoop, mSettings.mMetricsAddress, mMetrics, [this] {
    const LogStatus status = mLog->Status();
    mVersionGauge.Set(static_cast<double>(mState.Current().mVersion));
    mEvacuationGauges.Update(mState.CurrentEvacuations().mDataCentres);
    mLeaderGauge.Set(status.mLeading ? 1 : 0);
    mTermGauge.Set(static_cast<double>(status.mTerm));
    mMembersGauge.Set(static_cast<double>(status.mMembers.size()));
    mUpstreamsGauge.Set(static_cast<double>(ListUpstreams(mRegistry.mDirectory).size()));
    mGatewaysGauge.Set(static_cast<double>(
      std::count_if(mRegistry.mHosts.begin(), mRegistry.mHosts.end(), [](const auto& aEntry) {
        return aEntry.second.mHost.mRole == FleetRole::Gateway &&
               IsRecentlyHeard(aEntry.second, SteadyNow());
      })));
    mActiveGatewaysGauge.Set(static_cast<double>(mActiveGateways));
  });
  if (!server) {
    return tl::unexpected(server.error());
  }
  mMetricsServer = *std::move(server);
  return {};
}

// Registers the upstreams that the previous process saved to disk. Each of them expires unless it
// announces itself to a coordinator again before its lease ends.
void
Coordinator::RestoreUpstreams()
{
  const std::string path = mSettings.mDataFolder + "/upstreams";
  rpc::FleetSyncReply saved;
  if (!saved.ParseFromString(LatestFile::Load(path))) {
    LogEvent(Event::AnnouncementRejected, { { "file", path }, { "reason", "damaged" } });
  }
  const TimePoint now = SteadyNow();
  for (const rpc::Record& message : saved.records()) {
    if (auto record = FromMessage(message)) {
      record->mInfo.mWarmupUntil = WarmupUntil(message, now);
      RegisterUpstream(mRegistry, record->mInfo, now);
    }
  }
  LogEvent(Event::UpstreamsRestored, { { "upstreams", saved.records_size() } });
  mUpstreamsFile = std::make_unique<LatestFile>(path);
}

void
Coordinator::SaveUpstreams()
{
  if (mSavedCursor == mRegistry.mCursor) {
    return;
  }
  mSavedCursor = mRegistry.mCursor;
  const TimePoint now = SteadyNow();
  rpc::FleetSyncReply saved;
  for (const DirectoryRecord* const record : ChangedSince(mRegistry, 0, RecordScope::All)) {
    const bool leftLately = record->mInfo.mState == UpstreamState::Left &&
                            record->mConfirmedAt + kDepartureSaveTime > now;
    if (!record->mGone || leftLately) {
      rpc::Record& message = *saved.add_records();
      ToMessage(*record, Duration::zero(), message);
      SetWarmup(record->mInfo, now, message);
    }
  }
  mUpstreamsFile->Save(saved.SerializeAsString(), [this, cursor = mSavedCursor](bool aWritten) {
    mLoop.Post([this, cursor, aWritten] {
      std::uint64_t& upTo = aWritten ? mDepartures.mWrittenUpTo : mDepartures.mUnwritableUpTo;
      upTo = std::max(upTo, cursor);
      CompletePendingDepartures();
    });
  });
}

bool
Coordinator::IsSeed() const
{
  return std::any_of(mSettings.mSeeds.begin(), mSettings.mSeeds.end(), [this](const auto& aSeed) {
    return aSeed.mIp == mSelf.mIp;
  });
}

Expected<std::unique_ptr<RaftNode>>
Coordinator::StartRaftNode()
{
  std::vector<LogMember> initial;
  if (mSettings.mFirstStart && IsSeed()) {
    for (const SocketAddress& seed : mSettings.mSeeds) {
      initial.push_back({ MemberNameFromIp(seed.mIp), PeerAddress(seed.mIp), MemberRole::Voter });
    }
  }
  MemberSettings settings;
  settings.mTimeout = kProposalTimeout;
  settings.mSnapshotEntries = kSnapshotEntries;
  settings.mSnapshotBytes = kSnapshotBytes;
  settings.mRaft.mTrailingEntries = kRetainedLogEntries;
  settings.mSeed = mSelf.mIncarnation;
  return RaftNode::Builder(mLoop)
    .Name(MemberNameFromIp(mSelf.mIp))
    .Folder(mSettings.mDataFolder + "/group")
    .Address(PeerAddress(mSelf.mIp))
    .InitialMembers(std::move(initial))
    .Machine(mState.MakeStateMachine())
    .ChartFile(mSettings.mCharts + "/control_member.toml")
    .Credentials(MakeServerCredentials(mSettings.mSecurity),
                 MakeChannelCredentials(mSettings.mSecurity))
    .Settings(settings)
    .Start();
}

Expected<void>
Coordinator::Start()
{
  auto log = StartRaftNode();
  if (!log) {
    return tl::unexpected(log.error());
  }
  mLog = *std::move(log);
  FleetClientSettings client;
  client.mRpcPort = static_cast<std::uint16_t>(mSettings.mRpcPort);
  client.mSecurity = mSettings.mSecurity;
  mClient = std::make_unique<FleetClient>(
    mLoop,
    client,
    [this](const std::string& aIp, const rpc::FleetSyncReply& aReply, TimePoint aSentAt) {
      OnSyncReply(aIp, aReply, aSentAt);
    });
  mClient->SetLocalHost(mSelf);
  AddSeeds(mSettings.mSeeds);
  if (auto serving = ListenForMetrics(); !serving) {
    return serving;
  }
  RestoreUpstreams();
  mLoop.AddPeriodic(kExpireInterval, [this] {
    ExpireRegistry(mRegistry, SteadyNow());
    mQuotaOwner.UpdateTerm(mLog->Status());
  });
  mLoop.AddPeriodic(kReadInterval, [this] {
    if (IsReadWanted(mReads, SteadyNow())) {
      ReadDocument();
    }
  });
  mLoop.AddPeriodic(kSubsetInterval, [this] { UpdateSubset(); });
  mLoop.AddPeriodic(kUpstreamsSaveInterval, [this] { SaveUpstreams(); });
  mLoop.AddPeriodic(kMembershipInterval, [this] {
    UpdateMembership();
    RequestToJoin();
  });
  return {};
}

void
Coordinator::AddSeeds(const std::vector<SocketAddress>& aSeeds)
{
  for (const SocketAddress& seed : aSeeds) {
    if (seed.mIp != mSelf.mIp) {
      mClient->AddCoordinator(seed.mIp);
    }
  }
}

void
Coordinator::BeginStop()
{
  mStopping = true;
  mSelf.mServing = false;
  mClient->SetLocalHost(mSelf);
}

void
Coordinator::OnDocumentStored()
{
  LogEvent(
    Event::DocumentStored,
    { { "version", mState.Current().mVersion }, { "bytes", mState.Current().mBytes.size() } });
}

void
Coordinator::OnSyncReply(const std::string& aIp,
                         const rpc::FleetSyncReply& aReply,
                         TimePoint aSentAt)
{
  for (const rpc::Record& message : aReply.records()) {
    auto record = FromMessage(message);
    if (!record) {
      LogEvent(Event::AnnouncementRejected,
               { { "coordinator", aIp }, { "reason", record.error().mMessage } });
      continue;
    }
    record->mInfo.mWarmupUntil = WarmupUntil(message, SteadyNow());
    ApplyRemoteRecord(mRegistry, *record, std::chrono::milliseconds(message.idle_ms()), aSentAt);
  }
  ConfirmRegistrar(mRegistry.mDirectory, aIp, aReply.self().incarnation(), aSentAt);
  ActiveCounts counts;
  for (const rpc::ActiveGateways& active : aReply.active_by_data_centre()) {
    counts[active.data_centre()] = active.count();
  }
  mRemoteActiveCounts[aIp] = { std::move(counts), aSentAt };
  mRegistry.mLastSyncs[aIp] = { aReply.self().incarnation(), aSentAt };
  for (const rpc::FleetHost& host : aReply.coordinators()) {
    if (host.ip() != mSelf.mIp) {
      mClient->AddCoordinator(host.ip(), host.data_centre());
    }
  }
}

// Returns the IP addresses of the coordinators that announced their stop.
std::set<std::string>
Coordinator::LeavingCoordinators(TimePoint aNow) const
{
  std::set<std::string> leaving;
  for (const auto& [ip, known] : mRegistry.mHosts) {
    if (known.mHost.mRole == FleetRole::Coordinator && !known.mHost.mServing &&
        known.mHeardAt + kMaxStopTime > aNow) {
      leaving.insert(ip);
    }
  }
  if (mStopping) {
    leaving.insert(mSelf.mIp);
  }
  return leaving;
}

// Whether this host is a voter that a learner can still replace before it stops.
bool
Coordinator::MayBeReplaced() const
{
  const LogStatus status = mLog->Status();
  const bool learners =
    std::any_of(status.mMembers.begin(), status.mMembers.end(), [](const LogMember& aMember) {
      return aMember.mRole == MemberRole::Learner;
    });
  return learners && !status.mLeader.empty() && CountVotersIfVoter(status) > 0;
}

// On the leader, starts the next membership change if one is needed and none is in progress.
void
Coordinator::UpdateMembership()
{
  const LogStatus status = mLog->Status();
  const TimePoint now = SteadyNow();
  if (!status.mLeading) {
    mLeadingTerm = 0;
    return;
  }
  if (mLeadingTerm != status.mTerm) {
    mLeadingTerm = status.mTerm;
    mLeadingSince = now;
  }
  if (mMembershipChangePending) {
    return;
  }
  MembershipView view;
  view.mMembers = status.mMembers;
  view.mLastIndex = status.mLastIndex;
  view.mLeader = status.mSelf;
  view.mLeadingSince = mLeadingSince;
  std::erase_if(mJoinRequests, [now](const auto& aEntry) {
    return aEntry.second.second + kJoinRequestLifetime < now;
  });
  for (const auto& [ip, joining] : mJoinRequests) {
    view.mJoining.push_back(joining.first);
  }
  for (const LogMember& member : status.mMembers) {
    // A learner that was just added has not answered yet, but has called to join.
    const auto called = mRegistry.mHosts.find(member.mAddress.mIp);
    TimePoint heardAt = member.mHeardAt.value_or(TimePoint::min());
    if (member.mRole == MemberRole::Learner && called != mRegistry.mHosts.end()) {
      heardAt = std::max(heardAt, called->second.mHeardAt);
    }
    view.mHeardAt[member.mAddress.mIp] = heardAt;
  }
  view.mLeaving = LeavingCoordinators(now);
  view.mTargetVoters = VotersFor(static_cast<std::size_t>(mSettings.mToleratedLosses));
  const auto step = PlanMembershipChange(view, now);
  if (!step) {
    return;
  }
  mMembershipChangePending = true;
  const auto done = [this, step = *step](const Expected<void>& aResult) {
    mMembershipChangePending = false;
    LogEvent(Event::GroupStepTaken,
             { { "change", static_cast<int>(step.mChange) },
               { "member", step.mMember.mId },
               { "result", aResult ? "ok" : aResult.error().mMessage } });
    if (aResult) {
      mLoop.Post([this] { UpdateMembership(); });
    }
  };
  switch (step->mChange) {
    case MembershipChangeKind::AddLearner:
      mLog->AddLearner(step->mMember, done);
      break;
    case MembershipChangeKind::Promote:
      mLog->Promote(step->mMember.mId, done);
      break;
    case MembershipChangeKind::Remove:
      mLog->Remove(step->mMember.mId, done);
      break;
  }
}

void
Coordinator::RequestToJoin()
{
  const LogStatus status = mLog->Status();
  const TimePoint now = SteadyNow();
  if (!status.mLeader.empty()) {
    mLeaderKnownAt = now;
  }
  // On the first start the seeds form the group without a request to join.
  const bool formsGroup = mSettings.mFirstStart && IsSeed() && status.mLastIndex == 0;
  if (!ShouldRequestJoin(status, now - mLeaderKnownAt) || formsGroup || mStopping ||
      now < mNextJoinRequest) {
    return;
  }
  mNextJoinRequest = now + kJoinInterval;
  mClient->RequestJoin(MemberNameFromIp(mSelf.mIp), PeerAddress(mSelf.mIp), status.mSelf);
}

rpc::FleetJoinReply
Coordinator::HandleJoin(const rpc::FleetJoinRequest& aRequest)
{
  rpc::FleetJoinReply reply;
  if (!mLog->Status().mLeading) {
    reply.set_message("this host does not lead");
    return reply;
  }
  LogMember member;
  member.mId = aRequest.identity();
  member.mAddress = { aRequest.ip(), static_cast<std::uint16_t>(aRequest.port()) };
  member.mRole = MemberRole::Learner;
  mJoinRequests[aRequest.ip()] = { member, SteadyNow() };
  reply.set_accepted(true);
  return reply;
}

// Returns the IP address of the leader, or nothing if none is known.
std::string
Coordinator::LeaderIp(const LogStatus& aStatus)
{
  const auto leader =
    std::find_if(aStatus.mMembers.begin(), aStatus.mMembers.end(), [&aStatus](const auto& aMember) {
      return aMember.mId == aStatus.mLeader;
    });
  return leader == aStatus.mMembers.end() ? "" : leader->mAddress.mIp;
}

void
Coordinator::HandleAcquireQuota(const rpc::QuotaRequest& aRequest, QuotaOwner::Handler aDone)
{
  const LogStatus status = mLog->Status();
  mQuotaOwner.Acquire(aRequest, status, LeaderIp(status), std::move(aDone));
}

// Returns the number of voters if this host is one of them, otherwise 0.
std::uint32_t
Coordinator::CountVotersIfVoter(const LogStatus& aStatus)
{
  std::uint32_t voters = 0;
  bool self = false;
  for (const LogMember& member : aStatus.mMembers) {
    if (member.mRole == MemberRole::Voter) {
      ++voters;
      self |= member.mId == aStatus.mSelf;
    }
  }
  return self ? voters : 0;
}

void
Coordinator::FillDocument(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply) const
{
  std::string encoded = mState.EncodedDocument();
  DocumentIdentity offered{ mState.Current().mVersion, true, DocumentDigest(encoded) };
  // Without contact with the group, an entry that is not known to be committed here may already
  // have been committed and acknowledged, so its document is reported too.
  if (!aReply.current()) {
    for (const std::string& command : mLog->UncommittedCommands()) {
      if (const auto logged = DecodeDocument(command);
          logged && logged->mVersion > offered.mVersion) {
        offered = { logged->mVersion, false, DocumentDigest(command) };
        encoded = command;
      }
    }
  }
  aReply.set_document_version(offered.mVersion);
  aReply.set_document_uncommitted(!offered.mCommitted);
  aReply.set_document_digest(offered.mDigest);
  if (aRequest.wants_document() && Supersedes(offered, DocumentOf(aRequest))) {
    aReply.set_document(std::move(encoded));
  }
}

void
Coordinator::ReadDocument()
{
  mLog->ReadBarrier([this, startedAt = SteadyNow()](const Expected<void>& aResult) {
    if (aResult) {
      RecordRead(mReads, startedAt);
    }
  });
}

void
Coordinator::FillReadAge(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply)
{
  if (!aRequest.wants_read_age()) {
    return;
  }
  const TimePoint now = SteadyNow();
  if (RecordReadWanted(mReads, now)) {
    ReadDocument();
  }
  const auto age = ReadAge(mReads, now);
  if (age && DocumentOf(aReply).mCommitted) {
    aReply.set_read_age_ms(*age);
  }
}

// Orders that are not known to be committed are reported even in contact with the group, because a
// leader that was just elected may not have told this host yet which of them were acknowledged.
void
Coordinator::FillEvacuations(rpc::FleetSyncReply& aReply) const
{
  const Evacuations& evacuations = mState.CurrentEvacuations();
  aReply.set_evacuation_revision(evacuations.mRevision);
  for (const std::string& dataCentre : evacuations.mDataCentres) {
    aReply.add_evacuated(dataCentre);
  }
  for (const std::string& dataCentre : EvacuationsBegunBy(mLog->UncommittedCommands())) {
    aReply.add_uncommitted_evacuations(dataCentre);
  }
}

rpc::FleetSyncReply
Coordinator::HandleSync(const rpc::FleetSyncRequest& aRequest)
{
  const TimePoint now = SteadyNow();
  RecordScope scope = RecordScope::All;
  if (auto host = FromMessage(aRequest.self())) {
    RecordHostCall(mRegistry, *host, now);
    if (host->mRole == FleetRole::Gateway) {
      mQuotaOwner.RecordShareTerm(host->mIp, aRequest.quota_share_term());
      scope = aRequest.own_records_only() ? RecordScope::Own : RecordScope::All;
    } else {
      scope = RecordScope::OwnAndLeaving;
    }
    if (host->mRole == FleetRole::Coordinator && host->mIp != mSelf.mIp) {
      mClient->AddCoordinator(host->mIp, host->mDataCentre);
      mClient->RetryNow(host->mIp);
      // A late call of an earlier process says nothing about the records of its successor.
      if (mRegistry.mHosts.at(host->mIp).mHost.mIncarnation == host->mIncarnation) {
        const bool sameProcess = aRequest.cursor_incarnation() == mSelf.mIncarnation;
        RecordCopy(mDepartures, host->mIp, sameProcess ? aRequest.cursor() : 0);
        CompletePendingDepartures();
      }
    }
  }
  rpc::FleetSyncReply reply;
  *reply.mutable_self() = ToMessage(mSelf);
  const LogStatus status = mLog->Status();
  reply.set_current(IsStateCurrent(status));
  reply.set_voters(CountVotersIfVoter(status));
  reply.set_voter_list(status.mMembersIndex);
  if (!aRequest.self().coordinator()) {
    reply.set_leader(LeaderIp(status));
  }
  FillDocument(aRequest, reply);
  FillReadAge(aRequest, reply);
  FillEvacuations(reply);
  const bool sameIncarnation = aRequest.cursor_incarnation() == mSelf.mIncarnation;
  const std::uint64_t cursor = sameIncarnation ? aRequest.cursor() : 0;
  const RecordChanges changes = NextChanges(mRegistry, cursor, scope, kMaxRecordsPerReply);
  for (const DirectoryRecord* record : changes.mRecords) {
    rpc::Record& message = *reply.add_records();
    ToMessage(*record, now - LastConfirmed(mRegistry.mDirectory, *record), message);
    SetWarmup(record->mInfo, now, message);
  }
  reply.set_cursor(changes.mCursor);
  reply.set_more_records(changes.mMore);
  FillHosts(reply, now);
  PassCrashesOn(aRequest, reply);
  FillPeers(aRequest, reply);
  reply.set_active_gateways(static_cast<std::uint32_t>(mActiveGateways));
  reply.set_active(IsActive(mSubset, aRequest.self().ip()));
  if (aRequest.self().coordinator()) {
    for (const auto& [dataCentre, count] : mActiveCounts) {
      rpc::ActiveGateways& active = *reply.add_active_by_data_centre();
      active.set_data_centre(dataCentre);
      active.set_count(static_cast<std::uint32_t>(count));
    }
  }
  return reply;
}

std::vector<GatewayCandidate>
Coordinator::ListCandidates(TimePoint aNow) const
{
  std::vector<GatewayCandidate> candidates;
  for (const FleetHost* const host : PreferredGateways(ServingGateways(mRegistry, aNow))) {
    candidates.push_back({ host->mIp, host->mDataCentre, host->mLoad, host->mReady });
  }
  return candidates;
}

void
Coordinator::FillPeers(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply) const
{
  constexpr int kMaxPeers = 8;
  if (!aRequest.self().avoid_callers()) {
    return;
  }
  const std::string& dataCentre = aRequest.self().data_centre();
  for (const std::string& ip :
       GatewaysForCaller(mSubset, ListCandidates(SteadyNow()), dataCentre)) {
    const FleetHost& host = mRegistry.mHosts.at(ip).mHost;
    if (!host.mAvoidCallers && aReply.peers_size() < kMaxPeers) {
      aReply.add_peers(FormatSocketAddress(host.mPublicAddress));
    }
  }
}

void
Coordinator::UpdateSubset()
{
  const TimePoint now = SteadyNow();
  std::map<std::string, std::size_t> replicas;
  for (const UpstreamInfo& upstream : ListUpstreams(mRegistry.mDirectory)) {
    replicas[upstream.mDataCentre] += upstream.mState == UpstreamState::Ready ? 1 : 0;
  }
  const std::vector<GatewayCandidate> candidates = ListCandidates(now);
  UpdateGatewaySubset(mSubset, candidates, replicas, now);
  mActiveCounts = CountActive(mSubset, candidates);
  std::erase_if(mRemoteActiveCounts, [now](const auto& aEntry) {
    return aEntry.second.second + kActiveCountLifetime < now;
  });
  std::vector<ActiveCounts> counts{ mActiveCounts };
  for (const auto& [ip, remote] : mRemoteActiveCounts) {
    counts.push_back(remote.first);
  }
  const std::size_t before = std::exchange(mActiveGateways, SumActive(counts));
  if (mActiveGateways != before) {
    double load = 0;
    for (const auto& [dataCentre, peak] : mSubset.mPeaks) {
      load += peak.mLoad;
    }
    LogEvent(Event::GatewaySubsetChanged,
             { { "before", before }, { "active", mActiveGateways }, { "load", load } });
  }
}

void
Coordinator::PassCrashesOn(const rpc::FleetSyncRequest& aRequest, rpc::FleetSyncReply& aReply)
{
  if (aRequest.self().coordinator()) {
    return;
  }
  const CrashExchange exchange =
    ExchangeCrashes(mStrikes, aRequest, mSelf.mIncarnation, SteadyNow(), aReply);
  for (const std::string& problem : exchange.mProblems) {
    LogEvent(Event::AnnouncementRejected, { { "reason", problem } });
  }
  for (const Strike& strike : exchange.mNew) {
    LogEvent(Event::UpstreamCrashed,
             { { "upstream", strike.mUpstream },
               { "fingerprint", fmt::format("{:016x}", strike.mFingerprint) },
               { "state", static_cast<int>(strike.mState) },
               { "host", strike.mHost } });
  }
}

void
Coordinator::FillHosts(rpc::FleetSyncReply& aReply, TimePoint aNow) const
{
  std::uint32_t gateways = 0;
  for (const auto& [ip, known] : mRegistry.mHosts) {
    if (known.mHost.mRole == FleetRole::Gateway) {
      gateways += IsRecentlyHeard(known, aNow) ? 1 : 0;
      continue;
    }
    rpc::FleetHost& host = *aReply.add_coordinators();
    host.set_ip(ip);
    host.set_data_centre(known.mHost.mDataCentre);
    const auto lastSync = mRegistry.mLastSyncs.find(ip);
    if (lastSync == mRegistry.mLastSyncs.end()) {
      host.set_idle_ms(-1);
    } else {
      host.set_incarnation(lastSync->second.mIncarnation);
      host.set_idle_ms((aNow - lastSync->second.mAt) / std::chrono::milliseconds(1));
    }
  }
  aReply.set_gateways(gateways);
}

void
Coordinator::HandleCall(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  auto call = mProtocol.mDecodeCall(aRequest);
  mCalls.Add();
  if (!call) {
    mRejectedCalls.Add();
    LogEvent(Event::FleetCallRejected,
             { { "path", aRequest.mPath }, { "reason", call.error().mMessage } });
    aRespond(ErrorResponse(call.error().mResult, call.error().mMessage));
    return;
  }
  switch (call->mKind) {
    case FleetCallKind::Announce:
      call->mUpstream.mWarmupUntil = SteadyNow() + call->mWarmupLeft;
      HandleAnnounce(call->mUpstream, aRespond);
      break;
    case FleetCallKind::Leave:
      HandleLeave(call->mUpstream, aRespond);
      break;
    case FleetCallKind::OfferDocument:
      HandleOfferDocument(aRequest, aRespond);
      break;
    case FleetCallKind::ReadDocument:
      HandleReadDocument(aRespond);
      break;
    case FleetCallKind::FindGateways:
      HandleFindGateways(call->mDataCentre, aRespond);
      break;
    case FleetCallKind::BeginEvacuation:
    case FleetCallKind::EndEvacuation:
      HandleEvacuation({ call->mDataCentre, call->mKind == FleetCallKind::EndEvacuation },
                       aRequest.mPath,
                       aRespond);
      break;
    case FleetCallKind::CheckReady:
    case FleetCallKind::Unknown:
      aRespond(ErrorResponse(Result::NotFound, "no such path"));
      break;
  }
}

void
Coordinator::HandleAnnounce(const UpstreamInfo& aInfo, const HttpResponder& aRespond)
{
  const AnnounceOutcome outcome = RegisterUpstream(mRegistry, aInfo, SteadyNow());
  if (outcome == AnnounceOutcome::Full) {
    aRespond(UnavailableResponse("the table of upstreams is full"));
    return;
  }
  if (outcome == AnnounceOutcome::Changed) {
    LogEvent(Event::UpstreamAnnounced,
             { { "upstream", aInfo.mId },
               { "service", aInfo.mService },
               { "address", FormatSocketAddress(aInfo.mAddress) },
               { "incarnation", aInfo.mIncarnation },
               { "sequence", aInfo.mSequence },
               { "state", aInfo.mState == UpstreamState::Draining ? "draining" : "ready" } });
  }
  const DirectoryRecord& record = mRegistry.mDirectory.mRecords.at(aInfo.mId);
  if (IsLeaving(aInfo) && IsLeaving(record.mInfo) &&
      record.mInfo.mIncarnation == aInfo.mIncarnation) {
    AcknowledgeDeparture(aInfo.mId, aRespond);
  } else {
    aRespond(mProtocol.mEncodeAcknowledged());
  }
}

void
Coordinator::HandleLeave(const UpstreamInfo& aInfo, const HttpResponder& aRespond)
{
  const bool known = RemoveUpstream(mRegistry, aInfo.mId, aInfo.mIncarnation, SteadyNow());
  LogEvent(Event::UpstreamLeft, { { "upstream", aInfo.mId }, { "known", known } });
  if (known) {
    AcknowledgeDeparture(aInfo.mId, aRespond);
  } else if (CopiesNeeded() > 0 && mRegistry.mLastSyncs.empty() &&
             !mRegistry.mDirectory.mRecords.contains(aInfo.mId)) {
    aRespond(UnavailableResponse("the upstreams of other coordinators are not known yet"));
  } else {
    aRespond(mProtocol.mEncodeAcknowledged());
  }
}

std::size_t
Coordinator::CopiesNeeded() const
{
  return apricotyard::CopiesNeeded(static_cast<std::size_t>(mSettings.mToleratedLosses),
                                   mLog->Status().mMembers.size());
}

// Responds to an upstream that leaves once the loss of as many coordinators as must be tolerated
// cannot undo the departure. Precondition: the registry has a record of the upstream.
void
Coordinator::AcknowledgeDeparture(const std::string& aUpstream, const HttpResponder& aRespond)
{
  const TimePoint now = SteadyNow();
  const auto respond = [this, aUpstream, aRespond, now](DepartureOutcome aOutcome) {
    const bool confirmed = aOutcome != DepartureOutcome::TooFewCopies;
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(SteadyNow() - now);
    // Repeated announcements of an upstream that is about to leave are confirmed at once.
    if (!confirmed || took.count() > 0) {
      LogEvent(confirmed ? Event::DepartureConfirmed : Event::DepartureUnconfirmed,
               { { "upstream", aUpstream },
                 { "took_ms", took.count() },
                 { "written", aOutcome == DepartureOutcome::Confirmed } });
    }
    if (confirmed) {
      aRespond(mProtocol.mEncodeAcknowledged());
    } else {
      mUnconfirmedDepartures.Add();
      aRespond(UnavailableResponse("no other coordinator knows of the departure yet"));
    }
  };
  mDepartures.mPending.push_back(
    { mRegistry.mChangedAt.at(aUpstream), now + kDepartureTimeout, respond });
  mLoop.AddTimer(now + kDepartureTimeout, [this] { CompletePendingDepartures(); });
  SaveUpstreams();
  CompletePendingDepartures();
}

void
Coordinator::CompletePendingDepartures()
{
  if (!mDepartures.mPending.empty()) {
    CompleteDepartures(mDepartures, CopiesNeeded(), SteadyNow());
  }
}

void
Coordinator::HandleOfferDocument(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const auto document = mProtocol.mDecodeDocument(aRequest.mBody);
  const Expected<void> checked =
    document ? CheckRouting(*document) : tl::unexpected(document.error());
  if (!checked) {
    LogEvent(Event::DocumentRefused, { { "reason", checked.error().mMessage } });
    aRespond(ErrorResponse(Result::InvalidDocument, checked.error().mMessage));
    return;
  }
  if (document->mVersion <= mState.Current().mVersion) {
    LogEvent(Event::DocumentKnown,
             { { "version", document->mVersion }, { "held", mState.Current().mVersion } });
    HttpResponse response;
    response.mBody = "{}";
    aRespond(std::move(response));
    return;
  }
  ProposeDocument({ document->mVersion, aRequest.mBody }, aRequest.mPath, aRespond);
}

bool
Coordinator::CheckLeading(const std::string& aPath, const HttpResponder& aRespond) const
{
  const LogStatus status = mLog->Status();
  if (status.mLeading) {
    return true;
  }
  const auto leader =
    std::find_if(status.mMembers.begin(), status.mMembers.end(), [&status](const auto& aMember) {
      return aMember.mId == status.mLeader;
    });
  if (leader == status.mMembers.end() || status.mLeader == status.mSelf) {
    aRespond(UnavailableResponse("no leader is known"));
    return false;
  }
  HttpResponse response;
  response.mStatus = 307;
  const SocketAddress target{ leader->mAddress.mIp, mSettings.mControlAddress.mPort };
  response.mHeaders.push_back(
    { "Location", fmt::format("http://{}{}", FormatSocketAddress(target), EncodePath(aPath)) });
  aRespond(std::move(response));
  return false;
}

// Proposes the order even if it would change nothing, because the log may hold an order to the
// contrary that is not applied yet.
void
Coordinator::HandleEvacuation(const EvacuationOrder& aOrder,
                              const std::string& aPath,
                              const HttpResponder& aRespond)
{
  if (!CheckLeading(aPath, aRespond)) {
    return;
  }
  const std::set<std::string>& evacuated = mState.CurrentEvacuations().mDataCentres;
  if (!aOrder.mEnd && evacuated.size() >= kMaxEvacuated &&
      !evacuated.contains(aOrder.mDataCentre)) {
    aRespond(ErrorResponse(Result::EvacuationsFull, "too many data centres are evacuated"));
    return;
  }
  const std::vector<UpstreamInfo> upstreams = ListUpstreams(mRegistry.mDirectory);
  // Tells an operator who mistyped the name.
  const auto known =
    std::count_if(upstreams.begin(), upstreams.end(), [&aOrder](const UpstreamInfo& aUpstream) {
      return aUpstream.mDataCentre == aOrder.mDataCentre;
    });
  mLog->Propose(
    EncodeOrderCommand(aOrder),
    [this, aOrder, aRespond, known, startTime = SteadyNow()](
      const Expected<std::string>& aOutcome) {
      const bool applied = mState.CurrentEvacuations().mDataCentres.contains(aOrder.mDataCentre);
      LogEvent(Event::EvacuationProposed,
               { { "data_centre", aOrder.mDataCentre },
                 { "end", aOrder.mEnd },
                 { "evacuated", applied },
                 { "upstreams", known },
                 { "took_ms", (SteadyNow() - startTime) / std::chrono::milliseconds(1) },
                 { "result", aOutcome ? "ok" : aOutcome.error().mMessage } });
      if (!aOutcome) {
        aRespond(UnavailableResponse(aOutcome.error().mMessage));
      } else {
        aRespond(mProtocol.mEncodeAcknowledged());
      }
    });
}

void
Coordinator::ProposeDocument(const StoredDocument& aDocument,
                             const std::string& aPath,
                             const HttpResponder& aRespond)
{
  if (!CheckLeading(aPath, aRespond)) {
    return;
  }
  const DocumentVersion version = aDocument.mVersion;
  const TimePoint startTime = SteadyNow();
  mLog->Propose(EncodeDocument(aDocument),
                [aRespond, version, startTime](const Expected<std::string>& aOutcome) {
                  const auto elapsed =
                    std::chrono::duration_cast<std::chrono::milliseconds>(SteadyNow() - startTime);
                  LogEvent(Event::DocumentProposed,
                           { { "version", version },
                             { "took_ms", elapsed.count() },
                             { "result", aOutcome ? "ok" : aOutcome.error().mMessage } });
                  if (!aOutcome) {
                    aRespond(UnavailableResponse(aOutcome.error().mMessage));
                    return;
                  }
                  HttpResponse response;
                  response.mBody = "{}";
                  aRespond(std::move(response));
                });
}

void
Coordinator::HandleReadDocument(const HttpResponder& aRespond)
{
  mLog->ReadBarrier([this, aRespond](const Expected<void>& aResult) {
    const LogStatus status = mLog->Status();
    LogEvent(Event::DocumentRead,
             { { "version", mState.Current().mVersion },
               { "term", status.mTerm },
               { "leading", status.mLeading },
               { "result", aResult ? "ok" : aResult.error().mMessage } });
    if (!aResult || mState.Current().mVersion == 0) {
      aRespond(
        UnavailableResponse(aResult ? "there is no document yet" : aResult.error().mMessage));
      return;
    }
    HttpResponse response;
    response.mBody = mState.Current().mBytes;
    aRespond(std::move(response));
  });
}

void
Coordinator::HandleFindGateways(const std::string& aDataCentre, const HttpResponder& aRespond)
{
  const TimePoint now = SteadyNow();
  if (mGatewayListsAt + kGatewayListLifetime <= now) {
    mGatewayLists.clear();
    mGatewayListsAt = now;
  }
  const auto known = mGatewayLists.find(aDataCentre);
  if (known != mGatewayLists.end()) {
    aRespond(known->second);
    return;
  }
  std::vector<SocketAddress> addresses;
  for (const std::string& ip : GatewaysForCaller(mSubset, ListCandidates(now), aDataCentre)) {
    addresses.push_back(mRegistry.mHosts.at(ip).mHost.mPublicAddress);
  }
  if (addresses.empty()) {
    aRespond(UnavailableResponse("no gateway is known"));
    return;
  }
  if (mGatewayLists.size() >= kMaxGatewayLists) {
    mGatewayLists.clear();
  }
  HttpResponse& list = mGatewayLists[aDataCentre];
  list = mProtocol.mEncodeGateways(
    addresses, std::chrono::duration_cast<std::chrono::milliseconds>(mSettings.mAddressLifetime));
  aRespond(list);
}

class FleetService final : public rpc::Fleet::CallbackService
{
public:
  FleetService(Loop& aLoop, Coordinator& aCoordinator)
    : mCalls(aLoop)
    , mCoordinator(aCoordinator)
  {
  }

  void AbandonCalls() { mCalls.Abandon(); }

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* aContext,
                                 const rpc::FleetSyncRequest* aRequest,
                                 rpc::FleetSyncReply* aReply) override
  {
    return mCalls.PostToLoop(aContext, aReply, [this, aRequest](const auto& aCall) {
      mCalls.Finish(aCall, mCoordinator.HandleSync(*aRequest), grpc::Status::OK);
    });
  }

  grpc::ServerUnaryReactor* Join(grpc::CallbackServerContext* aContext,
                                 const rpc::FleetJoinRequest* aRequest,
                                 rpc::FleetJoinReply* aReply) override
  {
    return mCalls.PostToLoop(aContext, aReply, [this, aRequest](const auto& aCall) {
      mCalls.Finish(aCall, mCoordinator.HandleJoin(*aRequest), grpc::Status::OK);
    });
  }

  grpc::ServerUnaryReactor* AcquireQuota(grpc::CallbackServerContext* aContext,
                                         const rpc::QuotaRequest* aRequest,
                                         rpc::QuotaReply* aReply) override
  {
    return mCalls.PostToLoop(aContext, aReply, [this, aRequest](const auto& aCall) {
      mCoordinator.HandleAcquireQuota(*aRequest, [this, aCall](const rpc::QuotaReply& aResult) {
        mCalls.Finish(aCall, aResult, grpc::Status::OK);
      });
    });
  }

private:
  LoopCalls mCalls;
  Coordinator& mCoordinator;
};

// The gRPC server of the Fleet service, which starts once AcceptsHosts allows it. All methods must
// be called on the loop's thread, but for Shutdown.
class FleetServer
{
public:
  // Precondition: the arguments outlive the server.
  FleetServer(Loop& aLoop, const CoordinatorSettings& aSettings, Coordinator& aCoordinator)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mCoordinator(aCoordinator)
    , mService(aLoop, aCoordinator)
  {
  }

  void StartWhenAllowed()
  {
    if (mServer != nullptr || mStopping) {
      return;
    }
    if (!AcceptsHosts(mCoordinator.KnowsLeader(), SteadyNow() - mStartedAt)) {
      mLoop.AddTimer(SteadyNow() + kAcceptCheckInterval, [this] { StartWhenAllowed(); });
      return;
    }
    grpc::ServerBuilder builder;
    int port = 0;
    const SocketAddress address{ mSettings.mControlAddress.mIp,
                                 static_cast<std::uint16_t>(mSettings.mRpcPort) };
    builder.AddListeningPort(
      FormatSocketAddress(address), MakeServerCredentials(mSettings.mSecurity), &port);
    builder.RegisterService(&mService);
    mServer = builder.BuildAndStart();
    if (mServer == nullptr || port == 0) {
      LogEvent(Event::StartFailed,
               { { "reason", "cannot listen on " + FormatSocketAddress(address) } });
      mFailed = true;
      mLoop.Stop();
      return;
    }
    LogEvent(Event::HostsAccepted,
             { { "after_ms", (SteadyNow() - mStartedAt) / std::chrono::milliseconds(1) },
               { "leader_known", mCoordinator.KnowsLeader() } });
  }

  void BeginStop()
  {
    mStopping = true;
    mLoop.AddPeriodic(kShutdownGrace, [this] { mService.AbandonCalls(); });
  }

  // Ends all calls until aDeadline. Thread-safe after BeginStop.
  void Shutdown(std::chrono::system_clock::time_point aDeadline)
  {
    if (mServer != nullptr) {
      mServer->Shutdown(aDeadline);
    }
  }

  // Whether the address could not be bound.
  bool Failed() const { return mFailed; }

private:
  Loop& mLoop;
  const CoordinatorSettings& mSettings;
  Coordinator& mCoordinator;
  FleetService mService;
  const TimePoint mStartedAt = SteadyNow();
  std::unique_ptr<grpc::Server> mServer;
  bool mStopping = false;
  bool mFailed = false;
};

Expected<std::unique_ptr<HttpServer>>
StartHttpServer(Loop& aLoop, Coordinator& aCoordinator, const SocketAddress& aAddress)
{
  return HttpServer::Builder(aLoop, aAddress)
    .MaxBody(kMaxDocumentBytes)
    .MaxConnections(kMaxConnections)
    .IdleTimeout(kIdleTimeout)
    .OnRequest([&aCoordinator](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      aCoordinator.HandleCall(aRequest, aRespond);
    })
    .Start();
}

} // namespace

void
ReadCoordinatorSettings(SettingsReader& aReader, CoordinatorSettings& aSettings)
{
  constexpr std::int64_t kMaxPort = 65'535;
  aReader.Text("host", Presence::Required, 1, 64, aSettings.mHost);
  aReader.Text("data_centre", Presence::Required, 1, 64, aSettings.mDataCentre);
  aReader.Address("control_address", Presence::Required, aSettings.mControlAddress);
  aReader.Address("directory_address", Presence::Required, aSettings.mDirectoryAddress);
  aReader.Address("metrics_address", Presence::Optional, aSettings.mMetricsAddress);
  aReader.Integer("rpc_port", Presence::Required, 1, kMaxPort, aSettings.mRpcPort);
  aReader.Integer("peer_port", Presence::Required, 1, kMaxPort, aSettings.mPeerPort);
  aReader.Text("data_folder", Presence::Required, 1, 4096, aSettings.mDataFolder);
  aReader.AddressList("seeds", Presence::Required, aSettings.mSeeds);
  aReader.Boolean("first_start", Presence::Optional, aSettings.mFirstStart);
  aReader.Integer("tolerated_losses", Presence::Optional, 0, 3, aSettings.mToleratedLosses);
  ReadExtraSendSettings(aReader, aSettings.mExtraSends);
  aReader.Time("address_lifetime",
               Presence::Optional,
               std::chrono::seconds(1),
               std::chrono::seconds(60),
               aSettings.mAddressLifetime);
  aReader.Text("charts", Presence::Optional, 1, 4096, aSettings.mCharts);
  ReadRpcSecurity(aReader, aSettings.mSecurity);
  ReadLogSettings(aReader, aSettings.mLogLevel);
}

int
RunCoordinator(const CoordinatorSettings& aSettings,
               const PlatformProtocol& aProtocol,
               const std::function<std::optional<CoordinatorSettings>()>& aReloadSettings)
{
  BlockStopSignals();
  Loop loop;
  Coordinator coordinator(loop, aSettings, aProtocol);
  FleetServer fleet(loop, aSettings, coordinator);
  std::thread shutdownThread;
  std::optional<TimePoint> stopAt;
  const auto stopWhenReplaced = [&] {
    if (shutdownThread.joinable() || (coordinator.MayBeReplaced() && SteadyNow() < *stopAt)) {
      return;
    }
    fleet.BeginStop();
    shutdownThread = std::thread([&] {
      fleet.Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
      loop.Stop();
    });
  };
  HandleStopSignals(loop, [&] {
    if (!stopAt) {
      LogEvent(Event::ProcessStopping, { { "host", aSettings.mHost } });
      stopAt = SteadyNow() + kMaxReplacementWait;
      coordinator.BeginStop();
      loop.AddPeriodic(kStopCheckInterval, stopWhenReplaced);
    }
  });
  HandleReloadSignal(loop, [&coordinator, &aReloadSettings] {
    const auto settings = aReloadSettings();
    LogEvent(Event::SettingsReloaded, { { "valid", settings.has_value() } });
    if (settings) {
      coordinator.AddSeeds(settings->mSeeds);
      SetLogLevel(settings->mLogLevel);
    }
  });
  StartLogger("apricot-coordinator", aSettings.mLogLevel);
  std::string startError;
  std::unique_ptr<HttpServer> control;
  std::unique_ptr<HttpServer> directory;
  if (auto started = coordinator.Start(); !started) {
    startError = started.error().mMessage;
  }
  for (const auto& [address, server] : { std::pair{ aSettings.mControlAddress, &control },
                                         std::pair{ aSettings.mDirectoryAddress, &directory } }) {
    if (auto listening = StartHttpServer(loop, coordinator, address)) {
      *server = *std::move(listening);
    } else {
      startError = listening.error().mMessage;
    }
  }
  if (startError.empty()) {
    LogEvent(Event::ProcessStarted, { { "host", aSettings.mHost } });
    ReportSuspensions(loop);
    fleet.StartWhenAllowed();
    loop.Run();
    if (!shutdownThread.joinable()) {
      fleet.Shutdown(std::chrono::system_clock::now());
    } else {
      shutdownThread.join();
    }
    LogEvent(Event::ProcessStopped, { { "host", aSettings.mHost } });
  } else {
    LogEvent(Event::StartFailed, { { "reason", startError } });
  }
  StopLogger();
  return startError.empty() && !fleet.Failed() ? kExitOk : kExitFailure;
}

} // namespace apricotyard
