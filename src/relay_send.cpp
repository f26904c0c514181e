#include "forwarding.h"
#include "relay_state.h"

#include <absl/cleanup/cleanup.h>
#include <fmt/format.h>
#include <strings.h>

namespace apricotyard {

namespace {

// Replicas reply with records or small documents.
constexpr std::size_t kMaxReplyBytes = std::size_t{ 4 } * 1024 * 1024;
// Batches updates of the replica list and the routing table into one round of preconnecting.
constexpr Duration kPreconnectDelay = std::chrono::milliseconds(100);
// Replicas per service to preconnect to, if the connection limit permits. The second one serves
// retries and hedges.
constexpr std::size_t kPreconnectedReplicas = 2;
// After a restart, replicas may hold the connections of the previous process open for this long.
constexpr Duration kStaleConnectionTime = std::chrono::seconds(10);
// Interval at which connections closed by replicas are reopened.
constexpr Duration kPreconnectInterval = std::chrono::milliseconds(1000);
// An idle connection is discarded this long before the replica would close it.
constexpr std::chrono::seconds kIdleCloseMargin{ 1 };
// Interval at which a hedge that waits for the answer to another part is considered again.
constexpr Duration kHedgeRecheckInterval = std::chrono::milliseconds(20);
// An unreadable header of a replica is logged again after this time.
constexpr Duration kUnreadableLogInterval = std::chrono::seconds(30);

long
RemainingMillis(TimePoint aUntil, TimePoint aNow)
{
  return std::max<long>(
    1, std::chrono::duration_cast<std::chrono::milliseconds>(aUntil - aNow).count());
}

} // namespace

ReplicaView*
Relay::State::SelectReplica(const RelayedRequest& aRelayed,
                            const RelaySubrequest& aSubrequest,
                            TimePoint aNow)
{
  const auto service = mServices.find(aSubrequest.mService);
  if (service == mServices.end() || mReachability.mCutOff) {
    return nullptr;
  }
  const PlacementLimits& limits =
    UpdatePlacementLimits(*aRelayed.mRoutingTable, aSubrequest.mService);
  const Duration typicalLatency =
    TypicalLatency(mRouteLatencies[aRelayed.mRoute->mName].mAll, aRelayed.mRoute->mObjective);
  if (IsStopped(aRelayed, aSubrequest) || IsRevoked(aRelayed)) {
    return nullptr;
  }
  UpdateConnectionState(service->second);
  std::span<ReplicaView* const> replicas = service->second.mReplicas;
  const std::set<std::string>& tried = aSubrequest.mTriedReplicas;
  if (!NeedsIsolation(aRelayed, aSubrequest)) {
    if (aSubrequest.mSendCount == 0 && mSettings.mLimitLeaving) {
      return ChooseByLocality(
        service->second.mLocality.mState, replicas, tried, mLimits, typicalLatency, aNow, mRng);
    }
    return ChooseReplica(replicas, tried, limits, typicalLatency, aNow, mRng);
  }
  const TimePoint lastStrikeAt = LastStrikeAt(mLedger, FingerprintOf(aRelayed, aSubrequest));
  std::set<std::string> unproven = tried;
  for (const ReplicaView* const replica : replicas) {
    if (!IsProven(*replica, lastStrikeAt)) {
      unproven.insert(replica->mInfo.mId);
    }
  }
  std::set<std::string> excluded = unproven;
  for (const ReplicaView* const replica : replicas) {
    if (!replica->mInFlightSince.empty()) {
      excluded.insert(replica->mInfo.mId);
    }
  }
  ReplicaView* const idle = ChooseReplica(replicas, excluded, limits, typicalLatency, aNow, mRng);
  return idle != nullptr ? idle
                         : ChooseReplica(replicas, unproven, limits, typicalLatency, aNow, mRng);
}

const PlacementLimits&
Relay::State::UpdatePlacementLimits(const RoutingTable& aTable, const std::string& aService)
{
  const RoutedService* const service = aTable.FindService(aService);
  const ConnectionQuota quota = AllocateConnections(
    service != nullptr ? service->mMaxConnections : 1, mGatewayCount, mDataCentreCount);
  mLimits.mMaxInFlight = quota.mConnections;
  mLimits.mMaxInFlightRemote = quota.mRemoteConnections;
  mLimits.mConnectionsScarce = quota.mConnectionsScarce;
  return mLimits;
}

void
Relay::State::UpdateConnectionState(RelayService& aService) const
{
  for (ReplicaView* const replica : aService.mReplicas) {
    replica->mConnected = mClient.HasConnection(replica->mInfo.mAddress);
  }
}

void
Relay::State::SchedulePreconnect()
{
  if (mRoutingTable != nullptr && mActive && !mStopping) {
    mLoop.CancelTimer(mPreconnectTimer);
    mPreconnectTimer =
      mLoop.AddTimer(SteadyNow() + kPreconnectDelay, [this] { PreconnectReplicas(); });
  }
}

void
Relay::State::PreconnectReplicas()
{
  mPreconnectTimer = 0;
  const TimePoint now = SteadyNow();
  std::set<std::string_view> visited;
  std::size_t maxIdle = 0;
  const bool recentlyStarted = now < mStartedAt + kStaleConnectionTime;
  if (mReachability.mCutOff) {
    SchedulePreconnect();
    return;
  }
  for (const Route& route : mRoutingTable->Document().mRoutes) {
    const Duration typicalLatency =
      TypicalLatency(mRouteLatencies[route.mName].mAll, route.mObjective);
    for (const WeightedService& target : route.mServices) {
      const auto service = mServices.find(target.mService);
      if (service == mServices.end() || !visited.insert(target.mService).second) {
        continue;
      }
      UpdateConnectionState(service->second);
      const PlacementLimits& limits = UpdatePlacementLimits(*mRoutingTable, target.mService);
      const RoutedService* const routed = mRoutingTable->FindService(target.mService);
      const std::size_t idleQuota =
        IdleConnectionQuota(routed->mMaxConnections,
                            service->second.mReplicas.size(),
                            mGatewayCount,
                            HashToFraction(mLimits.mHost, target.mService));
      maxIdle += idleQuota;
      std::set<std::string> excluded;
      const bool allowSecond = !recentlyStarted && mClient.IdleConnections() < mMaxIdleConnections;
      for (std::size_t i = 0; i < std::min(idleQuota, allowSecond ? kPreconnectedReplicas : 1);
           ++i) {
        const ReplicaView* const replica =
          ChooseReplica(service->second.mReplicas, excluded, limits, typicalLatency, now, mRng);
        if (replica == nullptr) {
          break;
        }
        excluded.insert(replica->mInfo.mId);
        mClient.Preconnect(replica->mInfo.mAddress);
      }
    }
  }
  mMaxIdleConnections = maxIdle;
  mClient.SetMaxIdleConnections(maxIdle);
  mPreconnectTimer = mLoop.AddTimer(now + kPreconnectInterval, [this] { PreconnectReplicas(); });
}

std::vector<HttpHeader>
Relay::State::ForwardedHeaders(const RelayedRequest& aRelayed) const
{
  const HeaderNames& names = mProtocol.mHeaders;
  std::vector<HttpHeader> headers =
    EndToEndHeaders(aRelayed.mRequest.mRawHeaders, aRelayed.mRequest.Header("connection"));
  std::erase_if(headers, [&names](const HttpHeader& aHeader) {
    return strcasecmp(aHeader.mName.c_str(), names.mTimeLeft.c_str()) == 0 ||
           strcasecmp(aHeader.mName.c_str(), kPassedOnHeader) == 0 ||
           strcasecmp(aHeader.mName.c_str(), names.mExpectedUpstream.c_str()) == 0;
  });
  return headers;
}

const std::shared_ptr<const SharedHeaders>&
Relay::State::ReplicaHeaders(const RelayedRequest& aRelayed) const
{
  if (aRelayed.mReplicaHeadersTable != mRoutingTable) {
    std::vector<HttpHeader> headers = ForwardedHeaders(aRelayed);
    IdentifyToReplica(aRelayed, headers);
    aRelayed.mReplicaHeaders = MakeSharedHeaders(headers);
    aRelayed.mReplicaHeadersTable = mRoutingTable;
  }
  return aRelayed.mReplicaHeaders;
}

// The caller's request with the time that is left, without an address.
ClientRequest
Relay::State::MakeForwardedRequest(const RelayedRequest& aRelayed,
                                   std::shared_ptr<const SharedHeaders> aHeaders,
                                   TimePoint aNow) const
{
  const HeaderNames& names = mProtocol.mHeaders;
  ClientRequest request;
  request.mMethod = aRelayed.mRequest.mMethod;
  request.mPath = aRelayed.mRequest.mTarget;
  request.mBody = aRelayed.mRequest.mBody;
  request.mForwarded = true;
  request.mExpectedHeader = { names.mRequestId, aRelayed.mId };
  request.mExpectedHeaderOptional = true;
  request.mMaxReply = kMaxReplyBytes;
  request.mTimeout = std::max<Duration>(aRelayed.mDeadline - aNow, std::chrono::milliseconds(1));
  request.mSharedHeaders = std::move(aHeaders);
  request.mHeaders.push_back(
    { names.mTimeLeft, std::to_string(RemainingMillis(aRelayed.mDeadline, aNow)) });
  return request;
}

ClientRequest
Relay::State::MakeReplicaRequest(const RelayedRequest& aRelayed,
                                 const ReplicaView& aReplica,
                                 TimePoint aNow) const
{
  ClientRequest request = MakeForwardedRequest(aRelayed, ReplicaHeaders(aRelayed), aNow);
  request.mAddress = aReplica.mInfo.mAddress;
  request.mMaxIdleTime =
    std::max(aReplica.mIdleTimeout - kIdleCloseMargin, std::chrono::seconds(1));
  request.mHeaders.push_back({ mProtocol.mHeaders.mExpectedUpstream, aReplica.mInfo.mId });
  return request;
}

// Sends to remote data centres first. Writing a request takes a fraction of a millisecond on a slow
// host, and this way the local writes overlap with the remote transit.
void
Relay::State::SendFirstAttempts(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  const bool isSuspect = aRelayed->mSubrequests.size() >= kMinShardsForEvidence &&
                         NeedsIsolation(*aRelayed, aRelayed->mSubrequests.front());
  if (isSuspect && SendIsolatedPart(aRelayed)) {
    return;
  }
  std::vector<std::pair<std::size_t, ReplicaView*>> localSends;
  std::vector<std::string> queuedBehind;
  const TimePoint now = SteadyNow();
  for (std::size_t i = 0; i < aRelayed->mSubrequests.size(); ++i) {
    const std::string& name = aRelayed->mSubrequests[i].mService;
    const auto service = mServices.find(name);
    // A new request must not overtake those that wait.
    const bool behind = service != mServices.end() && service->second.mQueue.mSize > 0;
    ReplicaView* const replica =
      behind ? nullptr : SelectReplica(*aRelayed, aRelayed->mSubrequests[i], now);
    if (replica == nullptr) {
      aRelayed->mSubrequests[i].mFailed = !Enqueue(aRelayed, i);
      if (behind) {
        queuedBehind.push_back(name);
      }
    } else if (replica->mInfo.mDataCentre == mLimits.mDataCentre) {
      localSends.emplace_back(i, replica);
    } else {
      StartAttempt(aRelayed, i, *replica);
    }
  }
  for (const auto& [index, replica] : localSends) {
    StartAttempt(aRelayed, index, *replica);
  }
  for (const std::string& name : queuedBehind) {
    SendQueued(name);
  }
}

bool
Relay::State::SendToNextReplica(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex)
{
  ReplicaView* const replica =
    SelectReplica(*aRelayed, aRelayed->mSubrequests[aIndex], SteadyNow());
  if (replica != nullptr) {
    StartAttempt(aRelayed, aIndex, *replica);
  }
  return replica != nullptr;
}

void
Relay::State::StartAttempt(const std::shared_ptr<RelayedRequest>& aRelayed,
                           std::size_t aIndex,
                           ReplicaView& aReplica)
{
  RelaySubrequest& subrequest = aRelayed->mSubrequests[aIndex];
  const TimePoint now = SteadyNow();
  ReplicaView* const replica = &aReplica;
  const AttemptId attemptId = mNextAttemptId++;
  RelayAttempt& attempt = mAttempts[attemptId];
  attempt.mOwner = aRelayed;
  attempt.mSubrequestIndex = aIndex;
  attempt.mUpstream = replica->mInfo.mId;
  attempt.mDataCentre = replica->mInfo.mDataCentre;
  attempt.mSentAt = now;
  attempt.mIsFirstSend = subrequest.mSendCount == 0;
  attempt.mIsLocal = replica->mInfo.mDataCentre == mLimits.mDataCentre;
  if (NeedsIsolation(*aRelayed, subrequest) && replica->mInFlightSince.empty()) {
    attempt.mIsolated = true;
    replica->mIsolated = true;
    BeginIsolatedRun(mLedger, FingerprintOf(*aRelayed, subrequest));
  }
  subrequest.mTriedReplicas.insert(replica->mInfo.mId);
  subrequest.mActiveAttempts.insert(attemptId);
  ++subrequest.mSendCount;
  ++subrequest.mPossibleRuns;
  replica->mInFlightSince.insert(now);
  RecordSend(mReachability, replica->mInfo.mId, now);
  if (mReachabilityTimer == 0) {
    ScheduleReachabilityCheck(kSuspiciousSilence);
  }
  if (mSilenceTimer == 0) {
    mSilenceTimer = mLoop.AddTimer(now + kSilenceCheckInterval, [this] { CheckSilentReplicas(); });
  }
  CountRequest(replica->mRequestLimit, now);
  if (attempt.mIsFirstSend) {
    RelayService& service = mServices[subrequest.mService];
    CountFirstSend(service.mBudget, mSettings.mExtraSends, now);
    NoteFirstSend(service, *replica, now);
  }
  attempt.mTransfer =
    mClient.Send(MakeReplicaRequest(*aRelayed, *replica, now),
                 [this, attemptId](ClientReply aReply) { OnReply(attemptId, std::move(aReply)); });
  const Route& route = *aRelayed->mRoute;
  if (route.mRepeatable && subrequest.mPossibleRuns < route.mMaxAttempts &&
      subrequest.mHedgeTimer == 0) {
    const RouteLatencies& latencies = LatenciesOf(*aRelayed);
    const TimePoint due =
      now +
      RelayHedgeDelay(attempt.mIsLocal ? latencies.mLocal : latencies.mRemote, route.mObjective) +
      (replica->mConnected ? Duration::zero() : mLimits.mConnectCost);
    subrequest.mHedgeTimer = mLoop.AddTimer(due, [this, aRelayed, aIndex] {
      aRelayed->mSubrequests[aIndex].mHedgeTimer = 0;
      OnHedgeTimer(aRelayed, aIndex);
    });
  }
}

bool
Relay::State::WouldWaitTooLong(const RelayedRequest& aRelayed, const RelayService& aService) const
{
  const TimePoint now = SteadyNow();
  const TimePoint allowedAt = TakesRequestAt(aService.mReplicas, aService.mQueue.mSize, now);
  if (allowedAt <= now) {
    return false;
  }
  const auto latencies = mRouteLatencies.find(aRelayed.mRoute->mName);
  const Duration typicalLatency =
    latencies != mRouteLatencies.end()
      ? TypicalLatency(latencies->second.mAll, aRelayed.mRoute->mObjective)
      : Duration::zero();
  return allowedAt + typicalLatency > aRelayed.mObjectiveAt;
}

void
Relay::State::ScheduleQueuedSend(const std::string& aService)
{
  RelayService& service = mServices[aService];
  const TimePoint now = SteadyNow();
  const TimePoint allowedAt = TakesRequestAt(service.mReplicas, 0, now);
  if (service.mQueueTimer == 0 && allowedAt > now && service.mQueue.mSize > 0) {
    service.mQueueTimer = mLoop.AddTimer(allowedAt, [this, aService] {
      mServices[aService].mQueueTimer = 0;
      SendQueued(aService);
    });
  }
}

void
Relay::State::HandleSignals(ReplicaView& aReplica, const ClientReply& aReply)
{
  const TimePoint now = SteadyNow();
  const UpstreamSignals signals = mProtocol.mDecodeSignals(aReply);
  if (!signals.mUnreadable.empty() &&
      (aReplica.mUnreadableLoggedAt == TimePoint::min() ||
       aReplica.mUnreadableLoggedAt + kUnreadableLogInterval <= now)) {
    aReplica.mUnreadableLoggedAt = now;
    LogEvent(Event::SignalUnreadable,
             { { "upstream", aReplica.mInfo.mId }, { "header", signals.mUnreadable } });
  }
  const SignalChange change = ApplySignals(aReplica, signals, DivisionOf(aReplica), now);
  if (change.mLimitChanged) {
    LogEvent(Event::RequestLimitChanged,
             { { "upstream", aReplica.mInfo.mId },
               { "service", aReplica.mInfo.mService },
               { "limit", signals.mRequestLimit.value_or(-1) },
               { "share", aReplica.mRequestLimit.mShare },
               { "gateways", mGatewayCount } });
  }
  if (change.mLeavingChanged) {
    LogEvent(Event::ReplicaLeaving,
             { { "upstream", aReplica.mInfo.mId }, { "service", aReplica.mInfo.mService } });
  }
  if (change.mHeld) {
    LogEvent(Event::ReplicaHeld,
             { { "upstream", aReplica.mInfo.mId },
               { "service", aReplica.mInfo.mService },
               { "wish_ms", *signals.mRetryAfter / std::chrono::milliseconds(1) },
               { "held_ms", (aReplica.mHeldUntil - now) / std::chrono::milliseconds(1) } });
  }
}

bool
Relay::State::Enqueue(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex)
{
  const std::string& service = aRelayed->mSubrequests[aIndex].mService;
  if (IsStopped(*aRelayed, aRelayed->mSubrequests[aIndex]) || IsRevoked(*aRelayed) ||
      WouldWaitTooLong(*aRelayed, mServices[service])) {
    return false;
  }
  RelayService& target = mServices[service];
  RemoveIf(target.mQueue, [&target](QueueTicket aTicket) {
    const auto waiting = target.mWaiting.find(aTicket);
    const auto owner = waiting->second.mOwner.lock();
    if (owner != nullptr && !owner->mFinished) {
      return false;
    }
    target.mWaiting.erase(waiting);
    return true;
  });
  QueuedRequest request = MakeQueuedRequest(*aRelayed);
  request.mTicket = mNextTicket++;
  const QueueTicket ticket = request.mTicket;
  const PushResult result = Push(target.mQueue, std::move(request), SteadyNow());
  if (result.mOutcome != PushOutcome::Queued) {
    return false;
  }
  target.mWaiting[ticket] = { aRelayed, aIndex };
  ScheduleQueuedSend(service);
  if (result.mDisplaced) {
    const WaitingSubrequest displaced = target.mWaiting.extract(*result.mDisplaced).mapped();
    if (const auto owner = displaced.mOwner.lock()) {
      owner->mSubrequests[displaced.mSubrequestIndex].mFailed = true;
      FinishIfDecided(owner);
    }
  }
  return true;
}

QueuedRequest
Relay::State::MakeQueuedRequest(const RelayedRequest& aRelayed) const
{
  QueuedRequest request;
  request.mWorkspace = aRelayed.mWorkspace;
  request.mPriority = { aRelayed.mPriority, aRelayed.mRoute->mPriority };
  const auto latencies = mRouteLatencies.find(aRelayed.mRoute->mName);
  request.mServeBy = aRelayed.mDeadline;
  if (latencies != mRouteLatencies.end()) {
    request.mServeBy -= std::chrono::duration_cast<Duration>(
      kServeMargin * TypicalLatency(latencies->second.mAll, aRelayed.mRoute->mObjective));
  }
  return request;
}

bool
Relay::State::IsAccepted(const RelayedRequest& aRelayed, const RelayService& aService) const
{
  return aService.mQueue.mSize == 0 ||
         Accepts(aService.mQueue, MakeQueuedRequest(aRelayed), SteadyNow());
}

void
Relay::State::SendQueued(const std::string& aService)
{
  RelayService& service = mServices[aService];
  while (auto request = Pop(service.mQueue)) {
    const WaitingSubrequest waiting = service.mWaiting.extract(request->mTicket).mapped();
    const auto owner = waiting.mOwner.lock();
    if (owner == nullptr || owner->mFinished || owner->mPeerTransfer != 0) {
      continue;
    }
    // It could no longer be answered in time, and others can.
    if (request->mServeBy < SteadyNow()) {
      owner->mSubrequests[waiting.mSubrequestIndex].mFailed = true;
      FinishIfDecided(owner);
      continue;
    }
    if (SendToNextReplica(owner, waiting.mSubrequestIndex)) {
      RecordPopped(service.mQueue, SteadyNow());
      continue;
    }
    if (IsStopped(*owner, owner->mSubrequests[waiting.mSubrequestIndex]) || IsRevoked(*owner) ||
        std::none_of(service.mReplicas.begin(),
                     service.mReplicas.end(),
                     [](const ReplicaView* aReplica) { return IsUsable(*aReplica); })) {
      owner->mSubrequests[waiting.mSubrequestIndex].mFailed = true;
      FinishIfDecided(owner);
      continue;
    }
    service.mWaiting[request->mTicket] = waiting;
    Restore(service.mQueue, std::move(*request));
    ScheduleQueuedSend(aService);
    return;
  }
}

void
Relay::State::OnHedgeTimer(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex)
{
  const RelaySubrequest& subrequest = aRelayed->mSubrequests[aIndex];
  if (aRelayed->mFinished || aRelayed->mPeerTransfer != 0 || subrequest.mAnswered ||
      subrequest.mFailed || subrequest.mHeld ||
      subrequest.mPossibleRuns >= aRelayed->mRoute->mMaxAttempts) {
    return;
  }
  if (MayHedge(EvidenceOf(*aRelayed))) {
    TryResend(aRelayed, aIndex, ExtraSend::Hedge);
  } else {
    aRelayed->mSubrequests[aIndex].mHedgeTimer =
      mLoop.AddTimer(SteadyNow() + kHedgeRecheckInterval, [this, aRelayed, aIndex] {
        aRelayed->mSubrequests[aIndex].mHedgeTimer = 0;
        OnHedgeTimer(aRelayed, aIndex);
      });
  }
}

// Sends a sub-request again if a replica is available and the budget allows it.
bool
Relay::State::TryResend(const std::shared_ptr<RelayedRequest>& aRelayed,
                        std::size_t aIndex,
                        ExtraSend aKind)
{
  RelaySubrequest& subrequest = aRelayed->mSubrequests[aIndex];
  const TimePoint now = SteadyNow();
  mLimits.mSpareLimited = aKind == ExtraSend::Hedge;
  const auto restore = absl::MakeCleanup([this] { mLimits.mSpareLimited = false; });
  if (SelectReplica(*aRelayed, subrequest, now) == nullptr) {
    return false;
  }
  const bool allowed = TryExtraSend(
    mServices[subrequest.mService].mBudget, ExtraSendLimits(), mGatewayCount, aKind, now);
  mMetrics.CountExtraSend(subrequest.mService, allowed);
  return allowed && SendToNextReplica(aRelayed, aIndex);
}

void
Relay::State::ReleaseAttempt(RelayAttempt& aAttempt)
{
  mLoop.CancelTimer(aAttempt.mGraceTimer);
  if (aAttempt.mIsolated) {
    const RelayedRequest& owner = *aAttempt.mOwner;
    EndIsolatedRun(mLedger, FingerprintOf(owner, owner.mSubrequests[aAttempt.mSubrequestIndex]));
  }
  if (const auto replica = mReplicas.find(aAttempt.mUpstream); replica != mReplicas.end()) {
    replica->second->mIsolated &= !aAttempt.mIsolated;
    std::multiset<TimePoint>& inFlight = replica->second->mInFlightSince;
    if (const auto sent = inFlight.find(aAttempt.mSentAt); sent != inFlight.end()) {
      inFlight.erase(sent);
    }
  }
}

void
Relay::State::CancelAttempt(AttemptId aAttemptId)
{
  const auto node = mAttempts.extract(aAttemptId);
  if (node.empty()) {
    return;
  }
  RelayAttempt& attempt = node.mapped();
  mClient.Cancel(attempt.mTransfer);
  ReleaseAttempt(attempt);
  // It would have taken longer than that.
  const TimePoint now = SteadyNow();
  if (const auto replica = mReplicas.find(attempt.mUpstream);
      replica != mReplicas.end() && attempt.mIsFirstSend &&
      now - attempt.mSentAt > kLosingAttemptGrace) {
    RecordLoadOf(attempt, *replica->second, true, now);
  }
  RelaySubrequest& subrequest = attempt.mOwner->mSubrequests[attempt.mSubrequestIndex];
  subrequest.mActiveAttempts.erase(aAttemptId);
  SendQueued(subrequest.mService);
}

void
Relay::State::CancelAttempts(RelayedRequest& aRelayed)
{
  mLoop.CancelTimer(aRelayed.mObjectiveTimer);
  mLoop.CancelTimer(aRelayed.mDeadlineTimer);
  mLoop.CancelTimer(aRelayed.mProofTimer);
  EndIsolation(aRelayed);
  for (RelaySubrequest& subrequest : aRelayed.mSubrequests) {
    mLoop.CancelTimer(subrequest.mHedgeTimer);
    const std::set<AttemptId> activeAttempts = subrequest.mActiveAttempts;
    for (const AttemptId attemptId : activeAttempts) {
      CancelAttempt(attemptId);
    }
  }
}

} // namespace apricotyard
