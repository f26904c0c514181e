// Internals of the relay: the state of requests in progress and the steps that handle them.
// Included only by the relay's own sources, each of which implements one step:
//   relay.cpp            accepts requests, judges replies and finishes requests
//   relay_identity.cpp   identifies callers and checks their keys before each send
//   relay_send.cpp       chooses replicas, opens connections, sends, queues, retries and hedges
//   relay_quota.cpp      admits requests of workspaces with a limit
//   relay_extra_sends.cpp  takes tokens for retries from the pools of services
//   relay_locality.cpp   observes loads and decides which share of the sends leaves the data centre
//   relay_passing.cpp    passes requests on to other gateways while no replica can be reached
//   relay_evacuation.cpp applies evacuations of data centres and warm-ups of replicas
//   relay_crashes.cpp    attributes crashes of replicas to requests
//   relay_responses.cpp  makes the responses to callers
#ifndef APRICOTYARD_RELAY_STATE_H
#define APRICOTYARD_RELAY_STATE_H

#include "caller_identity.h"
#include "crash_ledger.h"
#include "document_lease.h"
#include "extra_send_pool.h"
#include "fair_queue.h"
#include "gather_guard.h"
#include "locality.h"
#include "log.h"
#include "reachability.h"
#include "relay.h"
#include "relay_metrics.h"
#include "relay_policy.h"
#include "relay_quota.h"
#include "replica_signals.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace apricotyard {

// Time for which an attempt may continue after another attempt won or after the caller's request
// was answered without it. If it finishes, its connection can be reused and its latency is
// recorded.
inline constexpr Duration kLosingAttemptGrace = std::chrono::milliseconds(250);
// Marks a request that another gateway passes on, which is not passed on again.
inline constexpr const char* kPassedOnHeader = "apricot-passed-on";
inline constexpr Duration kReachabilityInterval = std::chrono::milliseconds(100);
inline constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(250);
inline constexpr int kMultipleChoices = 300;

struct RelaySubrequest
{
  std::string mService;
  // Hash of the service and the content. Computed when it is first needed; see FingerprintOf.
  mutable std::optional<Fingerprint> mFingerprint;
  // Replicas that the request was sent to.
  std::set<std::string> mTriedReplicas;
  // Sends that a replica has run or may have run.
  std::uint32_t mPossibleRuns = 0;
  std::uint32_t mSendCount = 0;
  std::set<AttemptId> mActiveAttempts;
  bool mAnswered = false;
  bool mFailed = false;
  // The next send waits until another part of the gather has been answered.
  bool mHeld = false;
  // The successful reply, or the last error reply of a replica.
  ClientReply mReply;
  TimerId mHedgeTimer = 0;
};

// A caller's request and its progress.
struct RelayedRequest
{
  explicit RelayedRequest(HttpResponder aRespond)
    : mRespond(std::move(aRespond))
  {
  }

  HttpRequest mRequest;
  HttpResponder mRespond;
  std::shared_ptr<const RoutingTable> mRoutingTable;
  const Route* mRoute = nullptr;
  std::string mId;
  // The digest of the caller's key and its workspace on arrival. Empty if the request has no key,
  // if the key is unknown, or if mRoutingTable has no workspaces.
  std::optional<KeyDigest> mKey;
  std::string mWorkspace;
  // See PriorityOf.
  std::uint32_t mPriority = 0;
  // Hash of the content. Computed when it is first needed; see FingerprintOf.
  mutable std::optional<Fingerprint> mContent;
  // See ReplicaHeaders. mReplicaHeadersTable is the routing table for which they were made.
  mutable std::shared_ptr<const SharedHeaders> mReplicaHeaders;
  mutable std::shared_ptr<const RoutingTable> mReplicaHeadersTable;
  TimePoint mArrivedAt;
  TimePoint mObjectiveAt;
  TimePoint mDeadline;
  std::vector<RelaySubrequest> mSubrequests;
  TimerId mObjectiveTimer = 0;
  TimerId mDeadlineTimer = 0;
  // Another gateway handles the request: the transfer, or 0, and the gateways tried.
  TransferId mPeerTransfer = 0;
  std::vector<SocketAddress> mTriedPeers;
  bool mMayHaveRunAtPeer = false;
  bool mObjectivePassed = false;
  bool mDeadlinePassed = false;
  bool mFinished = false;
  // Crashes that were attributed to the content of the request.
  std::size_t mBlamedCrashes = 0;
  // Replicas that ended the connection while no part had been answered.
  std::size_t mLostReplicas = 0;
  // Runs while parts are held.
  TimerId mProofTimer = 0;
  // Only one part has been sent, because equal requests are suspected of crashing replicas.
  bool mIsolated = false;
  // Token of the workspace, the term in which it was granted, and whose it is under which limit.
  // The last two are set once the request needs a token.
  QuotaState mQuotaState = QuotaState::None;
  std::uint64_t mQuotaTerm = 0;
  std::string mQuotaWorkspace;
  QuotaLimit mQuotaLimit;
  bool mAskedForTokenAgain = false;
  // Refused because the workspace is over its quota.
  bool mOverQuota = false;
};

struct RelayAttempt
{
  std::shared_ptr<RelayedRequest> mOwner;
  std::size_t mSubrequestIndex = 0;
  std::string mUpstream;
  // Of the replica, which may no longer be listed.
  std::string mDataCentre;
  TransferId mTransfer = 0;
  TimePoint mSentAt;
  bool mIsFirstSend = true;
  bool mIsLocal = true;
  // The request is suspected of crashing replicas, and is the only one at this replica.
  bool mIsolated = false;
  TimerId mGraceTimer = 0;
};

// A sub-request whose first send waits until a replica can take it.
struct WaitingSubrequest
{
  std::weak_ptr<RelayedRequest> mOwner;
  std::size_t mSubrequestIndex = 0;
};

// Latencies of one route's sub-requests, first sends only.
struct RouteLatencies
{
  LatencyHistogram mAll;
  // Only over reused connections, to replicas in this data centre and in others.
  LatencyHistogram mLocal;
  LatencyHistogram mRemote;
  // To replicas in this data centre, if there are any.
  UsualLatency mUsual;
};

// Loads of one service by data centre, and the share of its sends that leaves.
struct ServiceLocality
{
  std::map<std::string, LoadEstimate> mLoads;
  LocalityState mState;
  // First sends by data centre since the last update.
  std::map<std::string, std::uint32_t> mSent;
  // Bytes per attempt, smoothed.
  double mBytes = 0;
  // Usual latency and objective of the route that used the service last.
  Duration mUsual{};
  Duration mObjective{};
  TimePoint mUsedAt{};
  TimePoint mUpdatedAt{};
  double mLoggedShare = 0;
};

struct RelayService
{
  std::vector<ReplicaView*> mReplicas;
  ExtraBudget mBudget;
  FairQueue mQueue;
  // The sub-requests in mQueue.
  std::unordered_map<QueueTicket, WaitingSubrequest> mWaiting;
  // Runs while queued sub-requests wait until a replica wants one.
  TimerId mQueueTimer = 0;
  ServiceLocality mLocality;
};

// Whether the request or a part of it may have run at a replica.
bool
MayHaveRun(const RelayedRequest& aRelayed);

// Whether any part has been answered.
bool
HasAnswer(const RelayedRequest& aRelayed);

// Whether the status promises that the request has not run.
bool
IsRefusal(int aStatus);

// Identifies the content of a sub-request. Callers that repeat a request may differ in address,
// request ID and other headers.
Fingerprint
FingerprintOf(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest);

// Identifies the content for all services, so that a verdict outlasts a change of the routes.
Fingerprint
ContentFingerprintOf(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest);

struct Relay::State : std::enable_shared_from_this<Relay::State>
{
  State(Loop& aLoop,
        const PlatformProtocol& aProtocol,
        RelaySettings aSettings,
        MetricsRegistry& aMetrics)
    : mLoop(aLoop)
    , mProtocol(aProtocol)
    , mSettings(std::move(aSettings))
    , mRng(mSettings.mSeed)
    , mClient(aLoop, mSettings.mSourceIp, 0)
    , mMetrics(aMetrics)
    , mQuota(aMetrics)
  {
    mLimits.mDataCentre = mSettings.mDataCentre;
    mLimits.mHost = mSettings.mSourceIp;
    mLedger.mHost = mSettings.mSourceIp;
  }

  void StartRequest(const std::shared_ptr<RelayedRequest>& aRelayed);
  // Identifies the caller. Returns the response if the request is not allowed.
  std::optional<HttpResponse> Identify(RelayedRequest& aRelayed);
  std::optional<KeyDigest> KeyOf(const RelayedRequest& aRelayed) const;
  HttpResponse MakeIdentityRefusal(const RelayedRequest& aRelayed, CallerVerdict aVerdict);
  // Whether the document in force has revoked the key of the request, which may not be sent then.
  bool IsRevoked(const RelayedRequest& aRelayed) const;
  // Precondition: IsRevoked, and the request has not run.
  HttpResponse MakeRevokedRefusal(const RelayedRequest& aRelayed);
  // Replaces the headers of a request to a replica by which the caller identifies itself.
  void IdentifyToReplica(const RelayedRequest& aRelayed, std::vector<HttpHeader>& aHeaders) const;
  bool SelectSubrequests(RelayedRequest& aRelayed);
  std::size_t CountServableSubrequests(const RelayedRequest& aRelayed) const;
  std::size_t CountRequiredSubrequests(const RelayedRequest& aRelayed) const;
  void StartTimers(const std::shared_ptr<RelayedRequest>& aRelayed);

  // Checks new connections to some replicas if all have been silent, and again while none accepts.
  void CheckReachability();
  void ScheduleReachabilityCheck(Duration aDelay);
  void OnChecked(std::uint64_t aCheck, ConnectOutcome aOutcome);
  void OnReached();
  // Cancels the attempts that wait for a connection. They have not run.
  void CancelUnsentAttempts(RelayedRequest& aRelayed);
  // Passes a request on to another gateway, or answers it if none is left. Requests wait until
  // other gateways are known. Those that may run only once stay if they may have run.
  void PassOn(const std::shared_ptr<RelayedRequest>& aRelayed);
  void OnPeerReply(const std::shared_ptr<RelayedRequest>& aRelayed, ClientReply aReply);
  void PassOnOpenRequests();
  ClientRequest MakePeerRequest(const RelayedRequest& aRelayed, const SocketAddress& aPeer) const;

  // Returns the workspace whose quota counts the request, or null.
  const Workspace* WorkspaceOf(const RelayedRequest& aRelayed) const;
  // Whether the request may be sent now. If not, it waits for a token or was refused.
  bool Admit(const std::shared_ptr<RelayedRequest>& aRelayed);
  void CountAdmission(RelayedRequest& aRelayed, bool aAlone);
  // Calls the owner of the quotas if a call is due, or sets the timer for the next one.
  void CallQuotaOwner();
  void OnQuotaReply(std::uint64_t aNumber, const std::optional<QuotaReply>& aReply);
  void ResolveWaiting(const QuotaOutcome& aOutcome);
  // Whether retries beyond the part of this gateway may take tokens from the pools.
  bool UsesPools() const;
  // Sends a sub-request again with a token of its service's pool, now or once the owner has granted
  // one. False if there is none, or no replica.
  bool TryPooledResend(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex);
  bool SendPooled(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex, bool aAlone);
  void ResolvePooledSends(const QuotaOutcome& aOutcome);
  bool PauseForToken(const std::shared_ptr<RelayedRequest>& aRelayed, Duration aWait);
  void RefuseForQuota(const std::shared_ptr<RelayedRequest>& aRelayed,
                      bool aUnavailable,
                      Duration aWait);
  void LogQuotaRefusal(const RelayedRequest& aRelayed);
  // Returns the token of a request that ends here without having run. Ends its wait for one.
  void ReturnUnusedToken(RelayedRequest& aRelayed);

  // Makes the first send of every sub-request. Below, aIndex is an index into mSubrequests.
  void SendFirstAttempts(const std::shared_ptr<RelayedRequest>& aRelayed);
  // Sends one part of a gather whose content is suspected of crashing replicas, and holds the
  // others. False if no replica can take any part.
  bool SendIsolatedPart(const std::shared_ptr<RelayedRequest>& aRelayed);
  // Keeps a part of a gather until another part is answered, for kProofTime at most.
  void Hold(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex);
  void SendHeldParts(const std::shared_ptr<RelayedRequest>& aRelayed);
  void GiveUpHeldParts(const std::shared_ptr<RelayedRequest>& aRelayed);
  void EndIsolation(RelayedRequest& aRelayed);
  // Sends a sub-request to the best replica not tried yet. False if none can take it.
  bool SendToNextReplica(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex);
  void StartAttempt(const std::shared_ptr<RelayedRequest>& aRelayed,
                    std::size_t aIndex,
                    ReplicaView& aReplica);
  ReplicaView* SelectReplica(const RelayedRequest& aRelayed,
                             const RelaySubrequest& aSubrequest,
                             TimePoint aNow);
  void UpdateConnectionState(RelayService& aService) const;
  const PlacementLimits& UpdatePlacementLimits(const RoutingTable& aTable,
                                               const std::string& aService);
  // Opens connections before requests need them. A handshake takes a round trip and occupies a slot
  // of the replica, which would delay the first replies.
  void SchedulePreconnect();
  void PreconnectReplicas();
  ClientRequest MakeForwardedRequest(const RelayedRequest& aRelayed,
                                     std::shared_ptr<const SharedHeaders> aHeaders,
                                     TimePoint aNow) const;
  // The caller's headers that another gateway gets.
  std::vector<HttpHeader> ForwardedHeaders(const RelayedRequest& aRelayed) const;
  // The headers that replicas get, with the workspace of the routing table in force. Made once for
  // all parts of a gather.
  const std::shared_ptr<const SharedHeaders>& ReplicaHeaders(const RelayedRequest& aRelayed) const;
  ClientRequest MakeReplicaRequest(const RelayedRequest& aRelayed,
                                   const ReplicaView& aReplica,
                                   TimePoint aNow) const;
  bool TryResend(const std::shared_ptr<RelayedRequest>& aRelayed,
                 std::size_t aIndex,
                 ExtraSend aKind);
  // The entry of a sub-request in the queue of its service, without a ticket.
  QueuedRequest MakeQueuedRequest(const RelayedRequest& aRelayed) const;
  // Queues a sub-request until a replica can take it. False if the queue is full, or it would leave
  // the queue too late.
  bool Enqueue(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex);
  // Whether the queue of the service would take a sub-request of the request.
  bool IsAccepted(const RelayedRequest& aRelayed, const RelayService& aService) const;
  // Sends queued sub-requests of the service while replicas can take them. Without any replica that
  // may take them later, they fail.
  void SendQueued(const std::string& aService);
  // Whether the replicas' own words would keep a new sub-request waiting until its reply comes too
  // late.
  bool WouldWaitTooLong(const RelayedRequest& aRelayed, const RelayService& aService) const;
  // Calls SendQueued once the replicas' own words allow the next sub-request.
  void ScheduleQueuedSend(const std::string& aService);
  void HandleSignals(ReplicaView& aReplica, const ClientReply& aReply);
  LimitDivision DivisionOf(const ReplicaView& aReplica) const
  {
    return { mGatewayCount, HashToFraction(mLimits.mHost, aReplica.mInfo.mId) };
  }
  // Applies the warm-ups of all replicas, and again when the next one ends.
  void UpdateWarmups();
  // Ends the attempts at evacuated replicas that wait for a connection, and sends them elsewhere.
  void MoveUnsentAttempts();
  void SendAllQueued();
  // Observes loads, and decides every kLocalityInterval for the services in use.
  void NoteFirstSend(RelayService& aService, const ReplicaView& aReplica, TimePoint aNow);
  void RecordLoadOf(const RelayAttempt& aAttempt,
                    const ReplicaView& aReplica,
                    bool aAnswered,
                    TimePoint aNow);
  void RecordBytes(const std::string& aService, std::size_t aBytes);
  LocalityInputs MakeLocalityInputs(RelayService& aService, TimePoint aNow);
  void UpdateLocalities();
  void UpdateLocalityGauges();
  void OnHedgeTimer(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex);
  void OnReply(AttemptId aAttemptId, ClientReply aReply);
  void OnSubrequestAnswered(const std::shared_ptr<RelayedRequest>& aRelayed,
                            RelaySubrequest& aSubrequest,
                            ClientReply aReply);
  // Whether the sub-request may not be sent because equal ones crashed replicas of its service.
  bool IsStopped(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest) const;
  bool IsAnyStopped(const RelayedRequest& aRelayed) const;
  GatherEvidence EvidenceOf(const RelayedRequest& aRelayed) const;
  // Whether the sub-request must be alone at its replica, so that a crash tells whether it is the
  // cause.
  bool NeedsIsolation(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest) const;
  Permission PermissionOf(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest) const;
  // Whether a replica that may get an isolated request has answered since the last crash. Without
  // one, the replicas may all be down for another reason.
  bool HasProvenReplica(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest) const;
  bool IsProven(const ReplicaView& aReplica, TimePoint aSince) const;
  // Opens a connection to a replica of each service whose replicas were not heard since a crash.
  void ProveReplicas(const RelayedRequest& aRelayed);
  // Suspects that the replica crashed under the attempt.
  void SuspectCrash(const RelayAttempt& aAttempt,
                    const ReplicaView& aReplica,
                    std::string_view aSign);
  void HandlePossibleCrash(const RelayAttempt& aAttempt,
                           const ReplicaView& aReplica,
                           const ClientReply& aReply,
                           AttemptEnd aEnd);
  void ConfirmCrash(const ReplicaRun& aRun, std::string_view aProof);
  void RecordLife(const ReplicaRun& aRun, TimePoint aSentAt, std::string_view aSign);
  void ClearRequest(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest);
  // Looks for replicas that have been silent while requests wait for them.
  void CheckSilentReplicas();
  void OnSilenceChecked(const ReplicaRun& aRun, TimePoint aCheckedAt, ConnectOutcome aOutcome);
  void PassStrikesOn(TimePoint aNow);
  // Confirms the suspected crashes of replicas at whose address another one has started.
  void ConfirmReplacedUpstreams(const std::vector<UpstreamInfo>& aUpstreams);
  void RecordAttemptEnd(const RelayAttempt& aAttempt, AttemptEnd aEnd, const ClientReply& aReply);
  void ReleaseAttempt(RelayAttempt& aAttempt);
  void CancelAttempt(AttemptId aAttemptId);
  void CancelAttempts(RelayedRequest& aRelayed);

  void FinishIfDecided(const std::shared_ptr<RelayedRequest>& aRelayed);
  void FinishGatherIfDecided(const std::shared_ptr<RelayedRequest>& aRelayed);
  HttpResponse MakeForwardedResponse(const RelaySubrequest& aSubrequest) const;
  HttpResponse MakeMergedResponse(const RelayedRequest& aRelayed) const;
  HttpResponse MakeFailureResponse(const RelayedRequest& aRelayed);
  // aRoomIn is the time after which there will be room, zero if it is not known.
  HttpResponse MakeRefusal(Result aResult,
                           std::string_view aMessage,
                           Duration aRoomIn = Duration::zero());
  // Time until the queues of all services that the request needs have room.
  Duration RoomIn(const RelayedRequest& aRelayed) const;
  HttpResponse MakeStoppedRefusal(const RelayedRequest& aRelayed);
  void Finish(const std::shared_ptr<RelayedRequest>& aRelayed, HttpResponse aResponse);
  void ReportAnswer(const RelayedRequest& aRelayed, const HttpResponse& aResponse);

  ExtraBudgetLimits ExtraSendLimits() const
  {
    ExtraBudgetLimits limits = OwnExtraSendLimits(mSettings.mExtraSends, UsesPools());
    limits.mFixed = mActive ? limits.mFixed : 0;
    return limits;
  }

  RouteLatencies& LatenciesOf(const RelayedRequest& aRelayed)
  {
    return mRouteLatencies[aRelayed.mRoute->mName];
  }

  Loop& mLoop;
  const PlatformProtocol& mProtocol;
  const RelaySettings mSettings;
  Rng mRng;
  HttpClient mClient;
  RelayMetrics mMetrics;
  RelayQuota mQuota;
  // By pool, in the order in which they asked for a token. Those that are over are skipped.
  std::map<std::string, std::deque<WaitingSubrequest>> mPoolWaiting;
  PlacementLimits mLimits;
  std::shared_ptr<const RoutingTable> mRoutingTable;
  DocumentLease mDocumentLease;
  std::map<std::string, std::unique_ptr<ReplicaView>> mReplicas;
  std::set<std::string> mEvacuated;
  TimerId mWarmupTimer = 0;
  std::unordered_map<std::string, RelayService> mServices;
  // Keyed by route name.
  std::map<std::string, RouteLatencies> mRouteLatencies;
  std::unordered_map<AttemptId, RelayAttempt> mAttempts;
  AttemptId mNextAttemptId = 1;
  QueueTicket mNextTicket = 1;
  std::size_t mGatewayCount = 1;
  // Data centres that have replicas, at least 1.
  std::size_t mDataCentreCount = 1;
  // Requests without a response.
  std::set<std::shared_ptr<RelayedRequest>> mOpenRequests;
  std::uint64_t mPlainSuccesses = 0;
  TimerId mPreconnectTimer = 0;
  // Loads over all services, by data centre.
  std::map<std::string, LoadEstimate> mDataCentreLoads;
  TimerId mLocalityTimer = 0;
  // Separate, so that decisions do not change how replicas are chosen while they are not engaged.
  Rng mLocalityRng{ mSettings.mSeed + 1 };
  const TimePoint mStartedAt = SteadyNow();
  // Limit on idle connections to all replicas together.
  std::size_t mMaxIdleConnections = 0;
  bool mActive = true;
  // Requests that may crash replicas, by the hash of service and content and by that of the content
  // alone.
  CrashLedger mLedger;
  TimerId mSilenceTimer = 0;
  // Replicas whose address is being checked for a listener.
  std::set<std::string> mCrashChecks;
  std::function<void(const Strike&)> mOnStrike;
  Reachability mReachability;
  TimerId mReachabilityTimer = 0;
  std::function<void()> mOnReachability;
  std::vector<SocketAddress> mPeers;
  TimePoint mCutOffAt;
  bool mStopping = false;
  // While stopping, when requests must have their final answer.
  TimePoint mFinishBy = TimePoint::max();
};

} // namespace apricotyard

#endif
