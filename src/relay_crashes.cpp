#include "relay_state.h"

#include <fmt/format.h>

namespace apricotyard {

namespace {

// After a lost connection, the address of the replica is checked at most once in this time.
constexpr Duration kCrashCheckInterval = std::chrono::milliseconds(200);
constexpr Duration kCrashCheckTimeout = std::chrono::milliseconds(1000);
// A replica that answers nothing for this time is checked: a new connection is accepted by one that
// is slow, but not by one whose host is down.
constexpr Duration kCrashSilence = std::chrono::milliseconds(800);
constexpr Duration kSilenceCheckTimeout = std::chrono::milliseconds(400);

} // namespace

bool
HasAnswer(const RelayedRequest& aRelayed)
{
  return std::any_of(aRelayed.mSubrequests.begin(),
                     aRelayed.mSubrequests.end(),
                     [](const RelaySubrequest& aOne) { return aOne.mAnswered; });
}

Fingerprint
FingerprintOf(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest)
{
  if (aSubrequest.mFingerprint) {
    return *aSubrequest.mFingerprint;
  }
  if (!aRelayed.mContent) {
    const HttpRequest& request = aRelayed.mRequest;
    const std::string head =
      fmt::format("{} {} {}", request.mMethod, request.Header("host"), request.mTarget);
    aRelayed.mContent = MakeFingerprint(head, request.mBody);
  }
  aSubrequest.mFingerprint =
    MakeFingerprint(aSubrequest.mService, fmt::format("{:x}", *aRelayed.mContent));
  return *aSubrequest.mFingerprint;
}

Fingerprint
ContentFingerprintOf(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest)
{
  FingerprintOf(aRelayed, aSubrequest);
  return *aRelayed.mContent;
}

Permission
Relay::State::PermissionOf(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest) const
{
  if (mLedger.mRequests.empty()) {
    return Permission::Unrestricted;
  }
  return std::max(Judge(mLedger, FingerprintOf(aRelayed, aSubrequest)),
                  Judge(mLedger, ContentFingerprintOf(aRelayed, aSubrequest)));
}

bool
Relay::State::IsStopped(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest) const
{
  const Permission permission = PermissionOf(aRelayed, aSubrequest);
  return permission == Permission::Stopped || permission == Permission::Busy ||
         (permission == Permission::Alone && !HasProvenReplica(aRelayed, aSubrequest));
}

bool
Relay::State::IsAnyStopped(const RelayedRequest& aRelayed) const
{
  return std::any_of(aRelayed.mSubrequests.begin(),
                     aRelayed.mSubrequests.end(),
                     [&](const RelaySubrequest& aOne) { return IsStopped(aRelayed, aOne); });
}

GatherEvidence
Relay::State::EvidenceOf(const RelayedRequest& aRelayed) const
{
  GatherEvidence evidence;
  evidence.mShards =
    aRelayed.mRoute->mTarget == RouteTarget::AllShards ? aRelayed.mSubrequests.size() : 0;
  evidence.mAnswered = HasAnswer(aRelayed) ? 1 : 0;
  evidence.mLost = aRelayed.mLostReplicas;
  return evidence;
}

void
Relay::State::Hold(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex)
{
  aRelayed->mSubrequests[aIndex].mHeld = true;
  if (aRelayed->mProofTimer == 0) {
    aRelayed->mProofTimer = mLoop.AddTimer(SteadyNow() + kProofTime, [this, aRelayed] {
      aRelayed->mProofTimer = 0;
      GiveUpHeldParts(aRelayed);
    });
  }
}

bool
Relay::State::SendIsolatedPart(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  const TimePoint now = SteadyNow();
  for (std::size_t i = 0; i < aRelayed->mSubrequests.size(); ++i) {
    ReplicaView* const replica = SelectReplica(*aRelayed, aRelayed->mSubrequests[i], now);
    if (replica == nullptr) {
      continue;
    }
    aRelayed->mIsolated = true;
    BeginIsolatedRun(mLedger, ContentFingerprintOf(*aRelayed, aRelayed->mSubrequests[i]));
    for (std::size_t other = 0; other < aRelayed->mSubrequests.size(); ++other) {
      if (other != i) {
        Hold(aRelayed, other);
      }
    }
    StartAttempt(aRelayed, i, *replica);
    return true;
  }
  return false;
}

void
Relay::State::EndIsolation(RelayedRequest& aRelayed)
{
  if (std::exchange(aRelayed.mIsolated, false)) {
    EndIsolatedRun(mLedger, ContentFingerprintOf(aRelayed, aRelayed.mSubrequests.front()));
  }
}

void
Relay::State::SendHeldParts(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  mLoop.CancelTimer(aRelayed->mProofTimer);
  aRelayed->mProofTimer = 0;
  EndIsolation(*aRelayed);
  const TimePoint now = SteadyNow();
  for (std::size_t i = 0; i < aRelayed->mSubrequests.size(); ++i) {
    RelaySubrequest& subrequest = aRelayed->mSubrequests[i];
    if (!std::exchange(subrequest.mHeld, false) || subrequest.mAnswered) {
      continue;
    }
    if (subrequest.mSendCount > 0) {
      subrequest.mFailed =
        !TryResend(aRelayed, i, ExtraSend::Retry) && subrequest.mActiveAttempts.empty();
    } else if (ReplicaView* const replica = SelectReplica(*aRelayed, subrequest, now)) {
      StartAttempt(aRelayed, i, *replica);
    } else {
      subrequest.mFailed = !Enqueue(aRelayed, i);
    }
  }
}

void
Relay::State::GiveUpHeldParts(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  EndIsolation(*aRelayed);
  for (RelaySubrequest& subrequest : aRelayed->mSubrequests) {
    if (std::exchange(subrequest.mHeld, false)) {
      subrequest.mFailed = !subrequest.mAnswered && subrequest.mActiveAttempts.empty();
    }
  }
  FinishIfDecided(aRelayed);
}

bool
Relay::State::NeedsIsolation(const RelayedRequest& aRelayed,
                             const RelaySubrequest& aSubrequest) const
{
  return PermissionOf(aRelayed, aSubrequest) != Permission::Unrestricted;
}

bool
Relay::State::IsProven(const ReplicaView& aReplica, TimePoint aSince) const
{
  return IsUsable(aReplica) && aReplica.mHeardAt > aSince;
}

bool
Relay::State::HasProvenReplica(const RelayedRequest& aRelayed,
                               const RelaySubrequest& aSubrequest) const
{
  const auto service = mServices.find(aSubrequest.mService);
  const TimePoint since = LastStrikeAt(mLedger, FingerprintOf(aRelayed, aSubrequest));
  return service != mServices.end() &&
         std::any_of(service->second.mReplicas.begin(),
                     service->second.mReplicas.end(),
                     [&](const ReplicaView* aReplica) { return IsProven(*aReplica, since); });
}

void
Relay::State::ProveReplicas(const RelayedRequest& aRelayed)
{
  for (const RelaySubrequest& subrequest : aRelayed.mSubrequests) {
    if (PermissionOf(aRelayed, subrequest) != Permission::Alone ||
        HasProvenReplica(aRelayed, subrequest)) {
      continue;
    }
    std::vector<const ReplicaView*> usable;
    for (const ReplicaView* const replica : mServices[subrequest.mService].mReplicas) {
      if (IsUsable(*replica) && !mCrashChecks.contains(replica->mInfo.mId)) {
        usable.push_back(replica);
      }
    }
    if (usable.empty()) {
      continue;
    }
    const UpstreamInfo& info =
      usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(mRng)]->mInfo;
    mCrashChecks.insert(info.mId);
    mClient.CheckConnection(
      info.mAddress,
      kSilenceCheckTimeout,
      [this, run = ReplicaRun{ info.mId, info.mIncarnation }](ConnectOutcome aOutcome) {
        mCrashChecks.erase(run.mUpstream);
        const auto replica = mReplicas.find(run.mUpstream);
        if (aOutcome == ConnectOutcome::Accepted && replica != mReplicas.end()) {
          replica->second->mHeardAt = SteadyNow();
        }
      });
  }
}

void
Relay::State::SuspectCrash(const RelayAttempt& aAttempt,
                           const ReplicaView& aReplica,
                           std::string_view aSign)
{
  // A gateway that is cut off loses connections to all replicas, and one that leaves ends them.
  if (mReachability.mCutOff || aReplica.mLeaving || aReplica.mInfo.mState != UpstreamState::Ready) {
    return;
  }
  const TimePoint now = SteadyNow();
  RelayedRequest& owner = *aAttempt.mOwner;
  const RelaySubrequest& subrequest = owner.mSubrequests[aAttempt.mSubrequestIndex];
  const ReplicaRun run{ aReplica.mInfo.mId, aReplica.mInfo.mIncarnation };
  const Fingerprint fingerprint = FingerprintOf(owner, subrequest);
  if (!apricotyard::SuspectCrash(mLedger, fingerprint, false, run, aAttempt.mSentAt, now)) {
    return;
  }
  const Fingerprint content = ContentFingerprintOf(owner, subrequest);
  // A gather reaches replicas of all services at the same time, which may crash for another reason.
  const bool isGather = owner.mRoute->mTarget == RouteTarget::AllShards;
  if (!isGather || (owner.mBlamedCrashes < kMaxCrashesPerGather && !HasAnswer(owner))) {
    ++owner.mBlamedCrashes;
    apricotyard::SuspectCrash(mLedger,
                              content,
                              true,
                              run,
                              aAttempt.mSentAt,
                              now,
                              isGather ? kGatherReportDelay : kSuspectedReportDelay);
    if (isGather && owner.mBlamedCrashes == kMaxCrashesPerGather) {
      mLoop.AddTimer(now + kGatherReportDelay, [this] { PassStrikesOn(SteadyNow()); });
    }
  }
  LogEvent(Event::CrashSuspected,
           { { "request", owner.mId },
             { "upstream", run.mUpstream },
             { "fingerprint", fmt::format("{:016x}", fingerprint) },
             { "content", fmt::format("{:016x}", content) },
             { "sign", std::string(aSign) },
             { "in_flight", aReplica.mInFlightSince.size() },
             { "alone", aAttempt.mIsolated } });
}

// A crashed replica closes its connections, and its address refuses new ones, unless its host is
// down as well.
void
Relay::State::HandlePossibleCrash(const RelayAttempt& aAttempt,
                                  const ReplicaView& aReplica,
                                  const ClientReply& aReply,
                                  AttemptEnd aEnd)
{
  const ReplicaRun run{ aReplica.mInfo.mId, aReplica.mInfo.mIncarnation };
  if (aReply.mRefused) {
    ConfirmCrash(run, "refused");
  } else if (aEnd == AttemptEnd::Misplaced) {
    ConfirmCrash(run, "replaced");
  }
  if (aReply.mEnd != TransferEnd::Lost || !aReply.mConnectionEnded) {
    return;
  }
  SuspectCrash(aAttempt, aReplica, "connection_ended");
  if (mCrashChecks.insert(run.mUpstream).second) {
    mLoop.AddTimer(SteadyNow() + kCrashCheckInterval,
                   [this, upstream = run.mUpstream] { mCrashChecks.erase(upstream); });
    mClient.CheckConnection(
      aReplica.mInfo.mAddress, kCrashCheckTimeout, [this, run](ConnectOutcome aOutcome) {
        if (aOutcome == ConnectOutcome::Refused) {
          ConfirmCrash(run, "refused");
        }
      });
  }
}

void
Relay::State::ConfirmCrash(const ReplicaRun& aRun, std::string_view aProof)
{
  for (const Fingerprint confirmed : apricotyard::ConfirmCrash(mLedger, aRun, SteadyNow())) {
    const std::string fingerprint = fmt::format("{:016x}", confirmed);
    LogEvent(Event::UpstreamCrashed,
             { { "upstream", aRun.mUpstream },
               { "fingerprint", fingerprint },
               { "proof", std::string(aProof) } });
    if (Judge(mLedger, confirmed) == Permission::Stopped) {
      LogEvent(Event::RequestQuarantined,
               { { "fingerprint", fingerprint }, { "host", mLedger.mHost } });
    }
  }
}

void
Relay::State::RecordLife(const ReplicaRun& aRun, TimePoint aSentAt, std::string_view aSign)
{
  for (const Fingerprint cleared : apricotyard::RecordLife(mLedger, aRun, aSentAt)) {
    LogEvent(Event::CrashCleared,
             { { "upstream", aRun.mUpstream },
               { "fingerprint", fmt::format("{:016x}", cleared) },
               { "sign", std::string(aSign) } });
  }
}

void
Relay::State::ClearRequest(const RelayedRequest& aRelayed, const RelaySubrequest& aSubrequest)
{
  if (mLedger.mRequests.empty()) {
    return;
  }
  const TimePoint now = SteadyNow();
  for (const Fingerprint fingerprint :
       { FingerprintOf(aRelayed, aSubrequest), ContentFingerprintOf(aRelayed, aSubrequest) }) {
    if (apricotyard::ClearRequest(mLedger, fingerprint, now)) {
      LogEvent(Event::CrashCleared,
               { { "request", aRelayed.mId },
                 { "fingerprint", fmt::format("{:016x}", fingerprint) },
                 { "sign", "answer" } });
    }
  }
}

void
Relay::State::CheckSilentReplicas()
{
  mSilenceTimer = 0;
  const TimePoint now = SteadyNow();
  PassStrikesOn(now);
  if (!mAttempts.empty() || !mLedger.mReports.empty()) {
    mSilenceTimer = mLoop.AddTimer(now + kSilenceCheckInterval, [this] { CheckSilentReplicas(); });
  }
  if (mReachability.mCutOff) {
    return;
  }
  for (const auto& [id, replica] : mReplicas) {
    const std::multiset<TimePoint>& inFlight = replica->mInFlightSince;
    if (inFlight.empty() || *inFlight.begin() + kCrashSilence > now ||
        replica->mHeardAt >= *inFlight.begin() || !mCrashChecks.insert(id).second) {
      continue;
    }
    mClient.CheckConnection(replica->mInfo.mAddress,
                            kSilenceCheckTimeout,
                            [this, run = ReplicaRun{ id, replica->mInfo.mIncarnation }, now](
                              ConnectOutcome aOutcome) { OnSilenceChecked(run, now, aOutcome); });
  }
}

void
Relay::State::OnSilenceChecked(const ReplicaRun& aRun,
                               TimePoint aCheckedAt,
                               ConnectOutcome aOutcome)
{
  mCrashChecks.erase(aRun.mUpstream);
  const auto replica = mReplicas.find(aRun.mUpstream);
  if (replica == mReplicas.end() || replica->second->mInfo.mIncarnation != aRun.mIncarnation) {
    return;
  }
  // Another replica may have started at the address, so that this does not refute a suspicion.
  if (aOutcome == ConnectOutcome::Accepted) {
    replica->second->mHeardAt = SteadyNow();
    return;
  }
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.mUpstream == aRun.mUpstream && attempt.mSentAt + kCrashSilence <= aCheckedAt &&
        attempt.mSentAt > replica->second->mHeardAt && mClient.IsSent(attempt.mTransfer)) {
      SuspectCrash(attempt, *replica->second, "silent");
    }
  }
  if (aOutcome == ConnectOutcome::Refused) {
    ConfirmCrash(aRun, "refused");
  }
}

void
Relay::State::ConfirmReplacedUpstreams(const std::vector<UpstreamInfo>& aUpstreams)
{
  const auto isReplaced = [&](const ReplicaRun& aRun) {
    const auto replica = mReplicas.find(aRun.mUpstream);
    return replica != mReplicas.end() && replica->second->mInfo.mIncarnation == aRun.mIncarnation &&
           std::any_of(aUpstreams.begin(), aUpstreams.end(), [&](const UpstreamInfo& aInfo) {
             return aInfo.mAddress == replica->second->mInfo.mAddress &&
                    (aInfo.mId != aRun.mUpstream || aInfo.mIncarnation > aRun.mIncarnation);
           });
  };
  std::vector<ReplicaRun> replaced;
  for (const auto& [run, crash] : mLedger.mCrashes) {
    if (crash.mSuspected && isReplaced(run)) {
      replaced.push_back(run);
    }
  }
  for (const ReplicaRun& run : replaced) {
    ConfirmCrash(run, "replaced");
  }
}

void
Relay::State::PassStrikesOn(TimePoint aNow)
{
  for (const Strike& strike : TakeReports(mLedger, aNow)) {
    if (mOnStrike) {
      mOnStrike(strike);
    }
  }
}

} // namespace apricotyard
