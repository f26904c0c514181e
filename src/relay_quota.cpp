#include "relay_quota.h"

#include "caller_identity.h"
#include "relay_state.h"

#include <fmt/format.h>

namespace apricotyard {

namespace {

// A request whose token is expected within this time waits for it, if its objective allows.
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(40);
// After the time limit of a call and this margin, a call without any report counts as failed, for
// example because the loop's queue was full.
constexpr Duration kCallTimeoutMargin = std::chrono::milliseconds(50);
// Retry-After is longer than the expected wait by up to this share of it and up to this time, so
// that callers do not return at the same time.
constexpr double kRetrySpread = 0.25;
constexpr Duration kRetrySpreadTime = std::chrono::milliseconds(100);
// Refusals of a workspace are logged at this interval.
constexpr Duration kRefusalLogInterval = std::chrono::seconds(10);
// Workspaces whose refusals are counted apart. Those of further ones are only in the metrics.
constexpr std::size_t kMaxRefusalRecords = 1000;

constexpr const char* kDecisionsHelp = "Requests of workspaces with a limit, by decision.";

} // namespace

QuotaMetrics::QuotaMetrics(MetricsRegistry& aRegistry)
  : mGranted(
      aRegistry.AddCounter("apricot_quota_requests_total", kDecisionsHelp, R"(decision="granted")"))
  , mAlone(aRegistry.AddCounter("apricot_quota_requests_total",
                                kDecisionsHelp,
                                R"(decision="fallback")"))
  , mDenied(
      aRegistry.AddCounter("apricot_quota_requests_total", kDecisionsHelp, R"(decision="denied")"))
  , mUnavailable(aRegistry.AddCounter("apricot_quota_requests_total",
                                      kDecisionsHelp,
                                      R"(decision="unavailable")"))
  , mReturned(aRegistry.AddCounter("apricot_quota_returned_total",
                                   "Tokens returned because the request did not run."))
  , mCalls(aRegistry.AddCounter("apricot_quota_calls_total", "Calls to the owner of the quotas."))
  , mFailedCalls(aRegistry.AddCounter("apricot_quota_failed_calls_total",
                                      "Calls to the owner of the quotas without a valid reply."))
  , mWait(aRegistry.AddDistribution("apricot_quota_wait_seconds",
                                    "Time for which admitted requests waited for a token."))
{
}

void
Relay::SetQuotaCaller(std::uint64_t aIncarnation, std::function<void(const QuotaCall&)> aCaller)
{
  mState->mQuota.mShare.mGateway = mState->mSettings.mSourceIp;
  mState->mQuota.mShare.mIncarnation = aIncarnation;
  mState->mQuota.mCaller = std::move(aCaller);
}

void
Relay::OnQuotaReply(std::uint64_t aNumber, const std::optional<QuotaReply>& aReply)
{
  mState->OnQuotaReply(aNumber, aReply);
}

std::uint64_t
Relay::QuotaShareTerm() const
{
  return OldestShareTerm(mState->mQuota.mShare, SteadyNow());
}

const Workspace*
Relay::State::WorkspaceOf(const RelayedRequest& aRelayed) const
{
  if (aRelayed.mRoutingTable->Document().mWorkspaces.empty() || aRelayed.mRoute->mPublic) {
    return nullptr;
  }
  return aRelayed.mKey ? aRelayed.mRoutingTable->FindWorkspace(*aRelayed.mKey) : nullptr;
}

bool
Relay::State::Admit(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  RelayedRequest& relayed = *aRelayed;
  const Workspace* const workspace = WorkspaceOf(relayed);
  if (workspace == nullptr || workspace->mRate <= 0 || !mQuota.mCaller) {
    return true;
  }
  relayed.mQuotaWorkspace = workspace->mName;
  relayed.mQuotaLimit = { workspace->mRate, workspace->mBurst };
  const TimePoint now = SteadyNow();
  const QuotaDecision decision = TakeToken(mQuota.mShare, workspace->mName, workspace->mRate, now);
  switch (decision) {
    case QuotaDecision::Granted:
    case QuotaDecision::GrantedAlone:
      CountAdmission(relayed, decision == QuotaDecision::GrantedAlone);
      break;
    case QuotaDecision::Wait:
      relayed.mQuotaState = QuotaState::Waiting;
      mQuota.mWaiting[workspace->mName].push_back(aRelayed);
      break;
    case QuotaDecision::Unavailable:
      RefuseForQuota(aRelayed, true, Duration::zero());
      break;
  }
  CallQuotaOwner();
  return decision == QuotaDecision::Granted || decision == QuotaDecision::GrantedAlone;
}

void
Relay::State::CountAdmission(RelayedRequest& aRelayed, bool aAlone)
{
  aRelayed.mQuotaState = aAlone ? QuotaState::GrantedAlone : QuotaState::Granted;
  aRelayed.mQuotaTerm = mQuota.mShare.mTerm;
  (aAlone ? mQuota.mMetrics.mAlone : mQuota.mMetrics.mGranted).Add();
  mQuota.mMetrics.mWait.Record(SteadyNow() - aRelayed.mArrivedAt);
}

void
Relay::State::CallQuotaOwner()
{
  const TimePoint now = SteadyNow();
  const TimePoint due = NextCallAt(mQuota.mShare, now);
  if (due > now) {
    if (due < mQuota.mCallTimerAt) {
      mLoop.CancelTimer(mQuota.mCallTimer);
      mQuota.mCallTimerAt = due;
      mQuota.mCallTimer = mLoop.AddTimer(due, [this] {
        mQuota.mCallTimer = 0;
        mQuota.mCallTimerAt = TimePoint::max();
        CallQuotaOwner();
      });
    }
    return;
  }
  const QuotaCall call = BeginCall(mQuota.mShare, now);
  if (call.mDemands.empty()) {
    CallQuotaOwner();
    return;
  }
  mQuota.mMetrics.mCalls.Add();
  mLoop.CancelTimer(mQuota.mTimeoutTimer);
  mQuota.mTimeoutTimer =
    mLoop.AddTimer(now + kQuotaCallTimeout + kCallTimeoutMargin, [this, number = call.mNumber] {
      mQuota.mTimeoutTimer = 0;
      OnQuotaReply(number, std::nullopt);
    });
  mQuota.mCaller(call);
}

void
Relay::State::OnQuotaReply(std::uint64_t aNumber, const std::optional<QuotaReply>& aReply)
{
  if (!mQuota.mShare.mCallOpen || mQuota.mShare.mNumber != aNumber) {
    return;
  }
  mLoop.CancelTimer(mQuota.mTimeoutTimer);
  mQuota.mTimeoutTimer = 0;
  const std::uint64_t termBefore = mQuota.mShare.mTerm;
  const std::vector<QuotaOutcome> outcomes = EndCall(mQuota.mShare, aReply, SteadyNow());
  const bool lost = mQuota.mShare.mOwnerLost;
  if (lost) {
    mQuota.mMetrics.mFailedCalls.Add();
  }
  if (lost != mQuota.mOwnerLostLogged || (!lost && termBefore != mQuota.mShare.mTerm)) {
    LogEvent(lost ? Event::QuotaOwnerLost : Event::QuotaOwnerReached,
             { { "term", mQuota.mShare.mTerm }, { "before", termBefore } });
    mQuota.mOwnerLostLogged = lost;
  }
  for (const QuotaOutcome& outcome : outcomes) {
    if (IsExtraSendPool(outcome.mWorkspace)) {
      ResolvePooledSends(outcome);
    } else {
      ResolveWaiting(outcome);
    }
  }
  CallQuotaOwner();
}

// Admits or refuses the requests that were in the call, oldest first.
void
Relay::State::ResolveWaiting(const QuotaOutcome& aOutcome)
{
  std::deque<std::weak_ptr<RelayedRequest>>& waiting = mQuota.mWaiting[aOutcome.mWorkspace];
  const std::uint32_t admitted = aOutcome.mGranted + aOutcome.mAlone;
  std::uint32_t tokens = admitted;
  std::vector<std::shared_ptr<RelayedRequest>> asked;
  for (std::uint32_t i = 0; i < admitted + aOutcome.mDenied && !waiting.empty(); ++i) {
    if (auto relayed = waiting.front().lock();
        relayed != nullptr && relayed->mQuotaState == QuotaState::Waiting) {
      asked.push_back(std::move(relayed));
    }
    waiting.pop_front();
  }
  if (waiting.empty()) {
    mQuota.mWaiting.erase(aOutcome.mWorkspace);
  }
  std::int64_t refused = 0;
  for (const std::shared_ptr<RelayedRequest>& relayed : asked) {
    // Granted tokens are used first.
    if (tokens > 0) {
      const bool alone = tokens <= aOutcome.mAlone;
      --tokens;
      CountAdmission(*relayed, alone);
      SendFirstAttempts(relayed);
      FinishIfDecided(relayed);
      continue;
    }
    const Duration wait = aOutcome.mWait + aOutcome.mSlot * refused;
    if (aOutcome.mUnavailable || !PauseForToken(relayed, wait)) {
      RefuseForQuota(relayed, aOutcome.mUnavailable, wait);
    }
    ++refused;
  }
  // Tokens of requests that no longer wait.
  for (; tokens > 0; --tokens) {
    if (tokens > aOutcome.mAlone) {
      KeepToken(mQuota.mShare, aOutcome.mWorkspace, SteadyNow());
    } else {
      ReturnToken(mQuota.mShare, aOutcome.mWorkspace, true, mQuota.mShare.mTerm, SteadyNow());
    }
  }
}

// Lets a request wait for a token that is expected soon, once.
bool
Relay::State::PauseForToken(const std::shared_ptr<RelayedRequest>& aRelayed, Duration aWait)
{
  const TimePoint now = SteadyNow();
  if (aRelayed->mAskedForTokenAgain || aWait > kMaxTokenWait ||
      now + aWait >= aRelayed->mObjectiveAt) {
    return false;
  }
  aRelayed->mAskedForTokenAgain = true;
  aRelayed->mQuotaState = QuotaState::Paused;
  mLoop.AddTimer(now + aWait, [this, weak = std::weak_ptr<RelayedRequest>(aRelayed)] {
    const auto relayed = weak.lock();
    if (relayed == nullptr || relayed->mQuotaState != QuotaState::Paused) {
      return;
    }
    relayed->mQuotaState = QuotaState::None;
    if (Admit(relayed)) {
      SendFirstAttempts(relayed);
      FinishIfDecided(relayed);
    }
  });
  return true;
}

void
Relay::State::RefuseForQuota(const std::shared_ptr<RelayedRequest>& aRelayed,
                             bool aUnavailable,
                             Duration aWait)
{
  aRelayed->mQuotaState = QuotaState::None;
  if (aUnavailable) {
    mQuota.mMetrics.mUnavailable.Add();
    Finish(aRelayed,
           MakeRefusal(Result::QuotaUnavailable, "the owner of the quotas cannot be reached"));
    return;
  }
  mQuota.mMetrics.mDenied.Add();
  aRelayed->mOverQuota = true;
  LogQuotaRefusal(*aRelayed);
  HttpResponse response = ErrorResponse(Result::OverQuota, "the workspace is over its quota");
  const double spread = std::uniform_real_distribution<double>(0, 1)(mRng);
  const std::chrono::duration<double> wait(aWait);
  const std::chrono::duration<double> seconds =
    wait + spread * (kRetrySpread * wait + std::chrono::duration<double>(kRetrySpreadTime));
  response.mHeaders.push_back({ "Retry-After", fmt::format("{:.2f}", seconds.count()) });
  Finish(aRelayed, std::move(response));
}

void
Relay::State::LogQuotaRefusal(const RelayedRequest& aRelayed)
{
  const TimePoint now = SteadyNow();
  if (mQuota.mRefusals.size() >= kMaxRefusalRecords) {
    std::erase_if(mQuota.mRefusals, [now](const auto& aEntry) {
      return aEntry.second.mLoggedAt + kRefusalLogInterval <= now;
    });
  }
  const auto found = mQuota.mRefusals.find(aRelayed.mQuotaWorkspace);
  if (found == mQuota.mRefusals.end() && mQuota.mRefusals.size() >= kMaxRefusalRecords) {
    return;
  }
  QuotaRefusals& refusals = mQuota.mRefusals[aRelayed.mQuotaWorkspace];
  ++refusals.mCount;
  if (found != mQuota.mRefusals.end() && refusals.mLoggedAt + kRefusalLogInterval > now) {
    return;
  }
  LogEvent(Event::QuotaExceeded,
           { { "workspace", aRelayed.mQuotaWorkspace },
             { "refused", refusals.mCount },
             { "rate", aRelayed.mQuotaLimit.mRate },
             { "burst", aRelayed.mQuotaLimit.mBurst } });
  refusals = { 0, now };
}

void
Relay::State::ReturnUnusedToken(RelayedRequest& aRelayed)
{
  const bool granted =
    aRelayed.mQuotaState == QuotaState::Granted || aRelayed.mQuotaState == QuotaState::GrantedAlone;
  if (granted && !MayHaveRun(aRelayed)) {
    ReturnToken(mQuota.mShare,
                aRelayed.mQuotaWorkspace,
                aRelayed.mQuotaState == QuotaState::GrantedAlone,
                aRelayed.mQuotaTerm,
                SteadyNow());
    mQuota.mMetrics.mReturned.Add();
    CallQuotaOwner();
  }
  aRelayed.mQuotaState = QuotaState::None;
}

} // namespace apricotyard
