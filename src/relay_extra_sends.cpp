#include "extra_send_pool.h"
#include "relay_state.h"

namespace apricotyard {

namespace {

// The share of a pool is not scaled by a limit that the gateway knows.
constexpr double kUnscaled = 1.0;

} // namespace

bool
Relay::State::UsesPools() const
{
  return mSettings.mPooledExtraSends && mQuota.mCaller && mGatewayCount >= kMinGatewaysForPool;
}

bool
Relay::State::TryPooledResend(const std::shared_ptr<RelayedRequest>& aRelayed, std::size_t aIndex)
{
  RelaySubrequest& subrequest = aRelayed->mSubrequests[aIndex];
  const TimePoint now = SteadyNow();
  if (!UsesPools() || SelectReplica(*aRelayed, subrequest, now) == nullptr) {
    return false;
  }
  const std::string pool = ExtraSendPool(subrequest.mService);
  const QuotaDecision decision = TakeToken(mQuota.mShare, pool, kUnscaled, now);
  switch (decision) {
    case QuotaDecision::Granted:
    case QuotaDecision::GrantedAlone:
      SendPooled(aRelayed, aIndex, decision == QuotaDecision::GrantedAlone);
      break;
    case QuotaDecision::Wait:
      mPoolWaiting[pool].push_back({ aRelayed, aIndex });
      break;
    case QuotaDecision::Unavailable:
      break;
  }
  CallQuotaOwner();
  return decision == QuotaDecision::Wait || !subrequest.mActiveAttempts.empty();
}

bool
Relay::State::SendPooled(const std::shared_ptr<RelayedRequest>& aRelayed,
                         std::size_t aIndex,
                         bool aAlone)
{
  const std::string& service = aRelayed->mSubrequests[aIndex].mService;
  const bool sent = SendToNextReplica(aRelayed, aIndex);
  mMetrics.CountPooledSend(sent);
  if (!sent) {
    ReturnToken(mQuota.mShare, ExtraSendPool(service), aAlone, mQuota.mShare.mTerm, SteadyNow());
  }
  return sent;
}

void
Relay::State::ResolvePooledSends(const QuotaOutcome& aOutcome)
{
  std::deque<WaitingSubrequest>& waiting = mPoolWaiting[aOutcome.mWorkspace];
  std::uint32_t tokens = aOutcome.mGranted + aOutcome.mAlone;
  std::vector<WaitingSubrequest> asked;
  for (std::uint32_t i = 0; i < tokens + aOutcome.mDenied && !waiting.empty(); ++i) {
    asked.push_back(std::move(waiting.front()));
    waiting.pop_front();
  }
  if (waiting.empty()) {
    mPoolWaiting.erase(aOutcome.mWorkspace);
  }
  for (const WaitingSubrequest& entry : asked) {
    const auto owner = entry.mOwner.lock();
    if (owner == nullptr || owner->mFinished || owner->mPeerTransfer != 0) {
      continue;
    }
    RelaySubrequest& subrequest = owner->mSubrequests[entry.mSubrequestIndex];
    if (subrequest.mAnswered || !subrequest.mActiveAttempts.empty()) {
      continue;
    }
    const bool alone = tokens <= aOutcome.mAlone;
    bool sent = false;
    if (tokens > 0) {
      --tokens;
      // Returns the token if there is no replica any more.
      sent = SendPooled(owner, entry.mSubrequestIndex, alone);
    } else {
      mMetrics.CountPooledSend(false);
    }
    if (!sent) {
      subrequest.mFailed = true;
      FinishIfDecided(owner);
    }
  }
  for (; tokens > 0; --tokens) {
    ReturnToken(mQuota.mShare,
                aOutcome.mWorkspace,
                tokens <= aOutcome.mAlone,
                mQuota.mShare.mTerm,
                SteadyNow());
  }
}

} // namespace apricotyard
