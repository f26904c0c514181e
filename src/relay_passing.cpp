#include "forwarding.h"
#include "relay_state.h"

namespace apricotyard {

namespace {

// Other gateways to which one request is passed on while this one reaches no replica.
constexpr std::size_t kMaxPassedOn = 3;
// Time within which coordinators name other gateways after this one has lost its replicas.
constexpr Duration kPeerLookupTime = std::chrono::milliseconds(500);
// Shorter than the time for which gateways keep idle connections of callers.
constexpr std::chrono::seconds kPeerIdleTime{ 10 };

} // namespace

ClientRequest
Relay::State::MakePeerRequest(const RelayedRequest& aRelayed, const SocketAddress& aPeer) const
{
  ClientRequest request =
    MakeForwardedRequest(aRelayed, MakeSharedHeaders(ForwardedHeaders(aRelayed)), SteadyNow());
  request.mAddress = aPeer;
  request.mMaxIdleTime = kPeerIdleTime;
  request.mHeaders.push_back({ kPassedOnHeader, "1" });
  return request;
}

void
Relay::State::ScheduleReachabilityCheck(Duration aDelay)
{
  mLoop.CancelTimer(mReachabilityTimer);
  mReachabilityTimer = mLoop.AddTimer(SteadyNow() + aDelay, [this] { CheckReachability(); });
}

void
Relay::State::CheckReachability()
{
  mReachabilityTimer = 0;
  if (mReachability.mCutOff || !mReachability.mSilent.empty()) {
    ScheduleReachabilityCheck(kReachabilityInterval);
  }
  if (!NeedsCheck(mReachability, mReplicas.size(), SteadyNow())) {
    return;
  }
  if (mReachability.mCutOff && mPeers.empty()) {
    PassOnOpenRequests();
  }
  std::vector<const ReplicaView*> usable;
  for (const auto& [id, replica] : mReplicas) {
    if (IsUsable(*replica)) {
      usable.push_back(replica.get());
    }
  }
  std::vector<const ReplicaView*> checked;
  std::sample(usable.begin(), usable.end(), std::back_inserter(checked), kCheckedReplicas, mRng);
  const std::uint64_t number = BeginCheck(mReachability, checked.size());
  for (const ReplicaView* const replica : checked) {
    mClient.CheckConnection(
      replica->mInfo.mAddress, kReachabilityTimeout, [this, number](ConnectOutcome aOutcome) {
        OnChecked(number, aOutcome);
      });
  }
}

void
Relay::State::OnChecked(std::uint64_t aCheck, ConnectOutcome aOutcome)
{
  if (aOutcome == ConnectOutcome::Accepted) {
    OnReached();
    return;
  }
  const double spread = std::uniform_real_distribution<double>(0, 1)(mRng);
  if (!RecordUnreached(mReachability, aCheck, spread, SteadyNow())) {
    return;
  }
  LogEvent(Event::ReplicasUnreachable,
           { { "replicas", mReplicas.size() }, { "open", mOpenRequests.size() } });
  mPeers.clear();
  mCutOffAt = SteadyNow();
  ScheduleReachabilityCheck(kReachabilityInterval);
  if (mOnReachability) {
    mOnReachability();
  }
  PassOnOpenRequests();
}

void
Relay::State::OnReached()
{
  const TimePoint now = SteadyNow();
  if (!RecordReached(mReachability, now)) {
    return;
  }
  LogEvent(Event::ReplicasReachable,
           { { "peers", mPeers.size() },
             { "avoid_callers_ms", mReachability.mStableTime / std::chrono::milliseconds(1) } });
  SchedulePreconnect();
  if (mOnReachability) {
    mOnReachability();
  }
}

void
Relay::State::PassOnOpenRequests()
{
  const std::set<std::shared_ptr<RelayedRequest>> open = mOpenRequests;
  for (const std::shared_ptr<RelayedRequest>& relayed : open) {
    if (!relayed->mFinished && relayed->mPeerTransfer == 0) {
      PassOn(relayed);
    }
  }
}

void
Relay::State::CancelUnsentAttempts(RelayedRequest& aRelayed)
{
  for (RelaySubrequest& subrequest : aRelayed.mSubrequests) {
    const std::set<AttemptId> activeAttempts = subrequest.mActiveAttempts;
    for (const AttemptId attemptId : activeAttempts) {
      if (!mClient.IsSent(mAttempts[attemptId].mTransfer)) {
        --subrequest.mPossibleRuns;
        CancelAttempt(attemptId);
      }
    }
  }
}

void
Relay::State::PassOn(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  RelayedRequest& relayed = *aRelayed;
  CancelUnsentAttempts(relayed);
  if (MayHaveRun(relayed) && !relayed.mRoute->mRepeatable) {
    return;
  }
  mLoop.CancelTimer(relayed.mProofTimer);
  relayed.mProofTimer = 0;
  EndIsolation(relayed);
  for (RelaySubrequest& subrequest : relayed.mSubrequests) {
    const std::set<AttemptId> activeAttempts = subrequest.mActiveAttempts;
    for (const AttemptId attemptId : activeAttempts) {
      CancelAttempt(attemptId);
    }
    subrequest.mHeld = false;
  }
  std::vector<SocketAddress> untried;
  for (const SocketAddress& peer : mPeers) {
    const std::vector<SocketAddress>& tried = relayed.mTriedPeers;
    if (std::find(tried.begin(), tried.end(), peer) == tried.end()) {
      untried.push_back(peer);
    }
  }
  const bool wasPassedOn = !relayed.mRequest.Header(kPassedOnHeader).empty();
  const bool mayLearnPeers = mPeers.empty() && mCutOffAt + kPeerLookupTime > SteadyNow();
  if (untried.empty() && mayLearnPeers && !wasPassedOn) {
    return;
  }
  if (untried.empty() || wasPassedOn || relayed.mTriedPeers.size() >= kMaxPassedOn) {
    Finish(aRelayed, MakeFailureResponse(relayed));
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, untried.size() - 1);
  const SocketAddress peer = untried[draw(mRng)];
  relayed.mTriedPeers.push_back(peer);
  // The other gateway takes a token itself.
  ReturnUnusedToken(relayed);
  relayed.mPeerTransfer =
    mClient.Send(MakePeerRequest(relayed, peer), [this, aRelayed](ClientReply aReply) {
      OnPeerReply(aRelayed, std::move(aReply));
    });
}

void
Relay::State::OnPeerReply(const std::shared_ptr<RelayedRequest>& aRelayed, ClientReply aReply)
{
  RelayedRequest& relayed = *aRelayed;
  relayed.mPeerTransfer = 0;
  if (relayed.mFinished) {
    return;
  }
  const bool notRun = aReply.mEnd == TransferEnd::NotConnected ||
                      aReply.mEnd == TransferEnd::NotSent ||
                      (aReply.mEnd == TransferEnd::Complete && IsRefusal(aReply.mStatus));
  // The other gateway may not know the key, but a replica may also have given this answer.
  constexpr int kUnauthorized = 401;
  const bool mayBeRefusal = notRun || aReply.mStatus == kUnauthorized;
  // A refusal is passed back only if it is true for the attempts of this gateway as well.
  if (aReply.mEnd == TransferEnd::Complete && !(mayBeRefusal && MayHaveRun(relayed))) {
    HttpResponse response;
    response.mStatus = aReply.mStatus;
    response.mContentType.clear();
    response.mHeaders = EndToEndHeaders(aReply.mRawHeaders, aReply.Header("connection"));
    response.mBody = std::move(aReply.mBody);
    Finish(aRelayed, std::move(response));
    return;
  }
  LogEvent(Event::PassOnFailed,
           { { "request", relayed.mId },
             { "transfer", static_cast<int>(aReply.mEnd) },
             { "status", aReply.mStatus },
             { "reason", aReply.mMessage } });
  relayed.mMayHaveRunAtPeer |= !notRun;
  if (mReachability.mCutOff && aReply.mEnd != TransferEnd::Complete) {
    PassOn(aRelayed);
  }
  if (!relayed.mFinished && relayed.mPeerTransfer == 0) {
    Finish(aRelayed, MakeFailureResponse(relayed));
  }
}

} // namespace apricotyard
