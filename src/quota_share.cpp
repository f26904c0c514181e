#include "quota_share.h"

#include <algorithm>
#include <utility>

namespace apricotyard {

namespace {

// Time of a share that accrues for requests, but at least one request. Covers the time until a call
// fails.
constexpr Duration kMaxCredit = kQuotaCallTimeout + std::chrono::milliseconds(100);
// A workspace without tokens, shares and requests for this time is forgotten.
constexpr Duration kIdleTime = std::chrono::seconds(30);
// An older statement of the owner about the use of all gateways is not relied on.
constexpr Duration kFreeTimeLifetime = std::chrono::seconds(10);
// Interval within which a share is renewed; it is valid for kQuotaWindow.
constexpr Duration kShareRenewal = std::chrono::seconds(1);
// Retry-After of a request without an owner.
constexpr Duration kUnavailableWait = std::chrono::milliseconds(300);

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// The share under the limit in force here, which may have been lowered since.
double
CurrentShare(const WorkspaceQuota& aQuota, TimePoint aNow)
{
  if (aQuota.mShareUntil <= aNow || aQuota.mShareOfRate <= 0) {
    return 0;
  }
  return aQuota.mShare * std::min(1.0, aQuota.mRate / aQuota.mShareOfRate);
}

bool
PassAlone(WorkspaceQuota& aQuota, TimePoint aNow)
{
  const double share = CurrentShare(aQuota, aNow);
  aQuota.mCredit = std::min(aQuota.mCredit + share * Seconds(aNow - aQuota.mCreditAt),
                            std::max(1.0, share * Seconds(kMaxCredit)));
  aQuota.mCreditAt = aNow;
  if (share > 0 && aQuota.mCredit >= 1) {
    aQuota.mCredit -= 1;
  } else if (aQuota.mShareUntil > aNow && aQuota.mReserve > 0) {
    --aQuota.mReserve;
  } else {
    return false;
  }
  ++aQuota.mUsedAlone;
  return true;
}

// Whether a request may pass in the first moments without an owner. This gateway lets pass as many
// as it usually gets, and one.
bool
PassFree(const QuotaShare& aShare, WorkspaceQuota& aQuota, TimePoint aNow)
{
  const Duration lost = aNow - aShare.mLostAt;
  if (lost > aQuota.mFreeTime || aQuota.mAnsweredAt + kFreeTimeLifetime < aNow ||
      aQuota.mFreeUsed >= 1 + aQuota.mShare * Seconds(lost)) {
    return false;
  }
  ++aQuota.mFreeUsed;
  ++aQuota.mUsedAlone;
  return true;
}

void
HoldTokens(WorkspaceQuota& aQuota, std::uint32_t aTokens, TimePoint aFrom)
{
  // Tokens that join others expire with them, and are returned only if all are of this term.
  if (aQuota.mTokens == 0) {
    aQuota.mTokensUntil = aFrom + kTokenLifetime;
    aQuota.mReturnable = true;
  }
  aQuota.mTokens += aTokens;
}

// Prepares tokens that have expired for their return.
void
ExpireTokens(WorkspaceQuota& aQuota, TimePoint aNow)
{
  if (aQuota.mTokens > 0 && aQuota.mTokensUntil <= aNow) {
    aQuota.mReturned += aQuota.mReturnable ? aQuota.mTokens : 0;
    aQuota.mTokens = 0;
  }
}

bool
NeedsRenewal(const WorkspaceQuota& aQuota, TimePoint aNow)
{
  return aQuota.mReturned > 0 || aQuota.mUsedAlone > 0 ||
         (aQuota.mShare > 0 && aQuota.mShareUntil > aNow &&
          aQuota.mCalledAt + kShareRenewal <= aNow);
}

QuotaDemand
MakeDemand(const std::string& aWorkspace, WorkspaceQuota& aQuota, TimePoint aNow)
{
  QuotaDemand demand;
  demand.mWorkspace = aWorkspace;
  demand.mWanted = std::exchange(aQuota.mWanted, 0);
  demand.mReturned = std::exchange(aQuota.mReturned, 0);
  demand.mUsedAlone = aQuota.mUsedAlone;
  demand.mShare = CurrentShare(aQuota, aNow);
  aQuota.mCalledAt = aNow;
  return demand;
}

bool
IsIdle(const WorkspaceQuota& aQuota, TimePoint aNow)
{
  return aQuota.mTokens == 0 && aQuota.mWanted == 0 && aQuota.mReturned == 0 &&
         aQuota.mUsedAlone == 0 && aQuota.mShareUntil <= aNow &&
         aQuota.mCalledAt + kIdleTime <= aNow;
}

void
EnterTerm(QuotaShare& aShare, std::uint64_t aTerm)
{
  if (aShare.mTerm == aTerm) {
    return;
  }
  aShare.mTerm = aTerm;
  for (auto& [name, quota] : aShare.mWorkspaces) {
    quota.mReturnable = false;
    quota.mReturned = 0;
  }
}

void
DropShare(WorkspaceQuota& aQuota)
{
  aQuota.mShare = 0;
  aQuota.mShareUntil = {};
  aQuota.mCredit = 0;
  aQuota.mReserve = 0;
  aQuota.mFreeTime = Duration::zero();
}

QuotaOutcome
ApplyGrant(QuotaShare& aShare, const QuotaDemand& aDemand, const QuotaGrant& aGrant, TimePoint aNow)
{
  WorkspaceQuota& quota = aShare.mWorkspaces[aDemand.mWorkspace];
  quota.mUsedAlone -= std::min(quota.mUsedAlone, aDemand.mUsedAlone);
  quota.mShare = std::max(0.0, aGrant.mShare);
  quota.mShareOfRate = quota.mRate;
  quota.mShareTerm = aShare.mTerm;
  quota.mShareUntil = aShare.mCalledAt + kQuotaWindow;
  quota.mReserve = aGrant.mReserve;
  quota.mFreeTime = aGrant.mFreeTime;
  quota.mAnsweredAt = aNow;
  quota.mFreeUsed = 0;
  quota.mCredit = 0;
  quota.mCreditAt = aNow;
  if (aShare.mSharesGivenUp) {
    DropShare(quota);
  }
  QuotaOutcome outcome;
  outcome.mWorkspace = aDemand.mWorkspace;
  outcome.mGranted = std::min(aGrant.mGranted, aDemand.mWanted);
  outcome.mDenied = aDemand.mWanted - outcome.mGranted;
  outcome.mWait = aGrant.mWait;
  outcome.mSlot =
    quota.mRate > 0
      ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / quota.mRate))
      : Duration::zero();
  if (aGrant.mGranted > aDemand.mWanted) {
    HoldTokens(quota, aGrant.mGranted - aDemand.mWanted, aShare.mCalledAt);
  }
  return outcome;
}

QuotaOutcome
DoWithoutOwner(QuotaShare& aShare, const QuotaDemand& aDemand, TimePoint aNow)
{
  WorkspaceQuota& quota = aShare.mWorkspaces[aDemand.mWorkspace];
  QuotaOutcome outcome;
  outcome.mWorkspace = aDemand.mWorkspace;
  outcome.mUnavailable = true;
  outcome.mWait = kUnavailableWait;
  while (outcome.mAlone < aDemand.mWanted &&
         (PassAlone(quota, aNow) || PassFree(aShare, quota, aNow))) {
    ++outcome.mAlone;
  }
  outcome.mDenied = aDemand.mWanted - outcome.mAlone;
  return outcome;
}

} // namespace

QuotaDecision
TakeToken(QuotaShare& aShare, const std::string& aWorkspace, double aRate, TimePoint aNow)
{
  WorkspaceQuota& quota = aShare.mWorkspaces[aWorkspace];
  quota.mRate = aRate;
  aShare.mRenewalAt = std::min(aShare.mRenewalAt, aNow + kQuotaRenewal);
  ExpireTokens(quota, aNow);
  if (quota.mTokens > 0) {
    --quota.mTokens;
    return QuotaDecision::Granted;
  }
  if (aShare.mOwnerLost && (aShare.mCallOpen || aNow < aShare.mFailedAt + kOwnerRetry)) {
    return PassAlone(quota, aNow) || PassFree(aShare, quota, aNow) ? QuotaDecision::GrantedAlone
                                                                   : QuotaDecision::Unavailable;
  }
  // The owner has charged the share already, so that the request need not wait for a call. It is
  // reported at once, because the owner renews the reserve only after it was told of its use.
  if (!aShare.mOwnerLost && PassAlone(quota, aNow)) {
    aShare.mReportDue = true;
    return QuotaDecision::GrantedAlone;
  }
  if (quota.mWanted++ == 0) {
    aShare.mWaiting.push_back(aWorkspace);
  }
  return QuotaDecision::Wait;
}

void
ReturnToken(QuotaShare& aShare,
            const std::string& aWorkspace,
            bool aAlone,
            std::uint64_t aTerm,
            TimePoint aNow)
{
  WorkspaceQuota& quota = aShare.mWorkspaces[aWorkspace];
  aShare.mRenewalAt = std::min(aShare.mRenewalAt, aNow + kQuotaRenewal);
  if (aAlone) {
    quota.mUsedAlone -= std::min(quota.mUsedAlone, 1U);
  } else if (aTerm == aShare.mTerm) {
    ++quota.mReturned;
  }
}

void
KeepToken(QuotaShare& aShare, const std::string& aWorkspace, TimePoint aNow)
{
  aShare.mRenewalAt = std::min(aShare.mRenewalAt, aNow + kQuotaRenewal);
  HoldTokens(aShare.mWorkspaces[aWorkspace], 1, aNow);
}

void
GiveUpShares(QuotaShare& aShare)
{
  aShare.mSharesGivenUp = true;
  for (auto& [name, quota] : aShare.mWorkspaces) {
    DropShare(quota);
  }
}

std::uint64_t
OldestShareTerm(const QuotaShare& aShare, TimePoint aNow)
{
  std::uint64_t oldest = 0;
  for (const auto& [name, quota] : aShare.mWorkspaces) {
    if (quota.mShare > 0 && quota.mShareUntil > aNow) {
      oldest = oldest == 0 ? quota.mShareTerm : std::min(oldest, quota.mShareTerm);
    }
  }
  return oldest;
}

TimePoint
NextCallAt(const QuotaShare& aShare, TimePoint aNow)
{
  if (aShare.mCallOpen) {
    return TimePoint::max();
  }
  const bool dueNow = !aShare.mWaiting.empty() || aShare.mReportDue;
  const TimePoint due = dueNow ? aNow : aShare.mRenewalAt;
  if (!aShare.mOwnerLost || due == TimePoint::max()) {
    return due;
  }
  return std::max(due, aShare.mFailedAt + kQuotaCallPause);
}

QuotaCall
BeginCall(QuotaShare& aShare, TimePoint aNow)
{
  QuotaCall call;
  for (const std::string& name : std::exchange(aShare.mWaiting, {})) {
    WorkspaceQuota& quota = aShare.mWorkspaces[name];
    ExpireTokens(quota, aNow);
    call.mDemands.push_back(MakeDemand(name, quota, aNow));
  }
  if (std::exchange(aShare.mReportDue, false)) {
    for (auto& [name, quota] : aShare.mWorkspaces) {
      if (quota.mUsedAlone > 0 && quota.mCalledAt != aNow) {
        call.mDemands.push_back(MakeDemand(name, quota, aNow));
      }
    }
  }
  if (aShare.mRenewalAt <= aNow) {
    for (auto& [name, quota] : aShare.mWorkspaces) {
      ExpireTokens(quota, aNow);
      if (NeedsRenewal(quota, aNow) && quota.mCalledAt != aNow) {
        call.mDemands.push_back(MakeDemand(name, quota, aNow));
      }
    }
    absl::erase_if(aShare.mWorkspaces,
                   [&](const auto& aEntry) { return IsIdle(aEntry.second, aNow); });
    aShare.mRenewalAt = aShare.mWorkspaces.empty() ? TimePoint::max() : aNow + kQuotaRenewal;
  }
  if (call.mDemands.empty()) {
    return call;
  }
  aShare.mCallOpen = true;
  aShare.mCalledAt = aNow;
  call.mGateway = aShare.mGateway;
  call.mIncarnation = aShare.mIncarnation;
  call.mNumber = ++aShare.mNumber;
  call.mTerm = aShare.mTerm;
  aShare.mAsked = call.mDemands;
  return call;
}

std::vector<QuotaOutcome>
EndCall(QuotaShare& aShare, const std::optional<QuotaReply>& aReply, TimePoint aNow)
{
  aShare.mCallOpen = false;
  const std::vector<QuotaDemand> asked = std::exchange(aShare.mAsked, {});
  const bool valid = aReply && aReply->mTerm > 0 && aReply->mTerm >= aShare.mTerm &&
                     aShare.mCalledAt + kQuotaCallTimeout >= aNow;
  std::vector<QuotaOutcome> outcomes;
  if (!valid && !aShare.mOwnerLost) {
    aShare.mLostAt = aShare.mCalledAt;
  }
  aShare.mOwnerLost = !valid;
  if (!valid) {
    aShare.mFailedAt = aNow;
    aShare.mRenewalAt = std::min(aShare.mRenewalAt, aNow + kQuotaCallPause);
    for (const QuotaDemand& demand : asked) {
      outcomes.push_back(DoWithoutOwner(aShare, demand, aNow));
    }
    return outcomes;
  }
  EnterTerm(aShare, aReply->mTerm);
  for (std::size_t i = 0; i < asked.size(); ++i) {
    // The owner answers the demands in their order.
    const bool answered =
      i < aReply->mGrants.size() && aReply->mGrants[i].mWorkspace == asked[i].mWorkspace;
    outcomes.push_back(answered ? ApplyGrant(aShare, asked[i], aReply->mGrants[i], aNow)
                                : DoWithoutOwner(aShare, asked[i], aNow));
  }
  return outcomes;
}

} // namespace apricotyard
