#include "quota_ledger.h"

#include "extra_send_pool.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

// Extra tokens outstanding over all gateways, see the bound in docs/design/quotas.md.
constexpr double kExtraRatio = 0.01;
constexpr double kFixedExtras = 2;
// Longer than a gateway holds an extra token and its reply may take, so that the tokens that are
// held at any time were granted in two adjacent intervals.
constexpr Duration kExtraInterval = std::chrono::milliseconds(1500);
// Fill of the bucket after a grant from which one and two extra tokens are added.
constexpr double kOneExtraFill = 0.5;
constexpr double kTwoExtrasFill = 0.75;
// Seconds of the rate by which a bucket exceeds the burst. Calls and unused shares arrive in
// batches, which a small bucket would not hold.
constexpr double kExtraCapacitySeconds = 0.1;
// Seconds of the rate that, with the burst, limit the debt of a bucket after a lowered limit.
constexpr double kDebtSeconds = 1.0;
// Replies of the previous owner may give shares for kQuotaCallTimeout after the start of a new one,
// and gateways update their reports every 250 ms.
constexpr Duration kLateReplyTime = std::chrono::milliseconds(600);
// Gateways that hold a reserve of one request, over all gateways. Shares below 1 per second would
// serve nobody in a short outage.
constexpr std::uint32_t kMaxReserves = 6;
// Part of the bucket that gateways may use in the first moments without an owner. These tokens are
// lost with the owner, so that they are not granted twice; gateways that are merely cut off from it
// spend them beside the others.
constexpr double kFreePart = 0.5;
// Longer outages are left to shares and reserves.
constexpr Duration kMaxFreeTime = std::chrono::milliseconds(2500);
// Smaller shares are not given. Ends the renewals of gateways out of use.
constexpr double kMinShare = 0.05;
// Interval at which holders and buckets out of use are removed.
constexpr Duration kSweepInterval = std::chrono::seconds(1);
// Holders and buckets without a call for this time are removed. By then a bucket of a usual burst
// is full again.
constexpr Duration kIdleTime = std::chrono::seconds(60);
// Refused requests are promised slots at most this far ahead, or the next one.
constexpr Duration kMaxPromise = kQuotaWindow;
// Bounds what one call may take or give back.
constexpr std::uint32_t kMaxTokens = 100'000;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration
FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 3600;
  return std::chrono::ceil<Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, 0.0, kMaxSeconds)));
}

double
Capacity(const QuotaLimit& aLimit)
{
  return std::max(aLimit.mBurst, 1.0) + kExtraCapacitySeconds * aLimit.mRate;
}

// Adds what accrued up to aUntil at the present rates.
void
Accrue(QuotaBucket& aBucket, const QuotaLimit& aLimit, TimePoint aUntil)
{
  if (aUntil <= aBucket.mFilledAt) {
    return;
  }
  const double elapsed = Seconds(aUntil - aBucket.mFilledAt);
  aBucket.mLevel += (aLimit.mRate - aBucket.mShares - aBucket.mUnknownShare) * elapsed;
  aBucket.mRecent *= std::exp(-elapsed / Seconds(kQuotaWindow));
  aBucket.mFilledAt = aUntil;
}

void
LimitLevel(QuotaBucket& aBucket, const QuotaLimit& aLimit)
{
  const double capacity = Capacity(aLimit);
  aBucket.mLevel = std::clamp(aBucket.mLevel, -(kDebtSeconds * aLimit.mRate + capacity), capacity);
}

// Ends the shares of gateways that have been silent for the window, and what was charged since.
void
EndLapsedShares(QuotaBucket& aBucket, const QuotaLimit& aLimit, TimePoint aNow)
{
  if (aBucket.mSweptAt + kSweepInterval > aNow) {
    return;
  }
  aBucket.mSweptAt = aNow;
  aBucket.mShares = 0;
  aBucket.mReserves = 0;
  absl::erase_if(aBucket.mHolders, [&](auto& aEntry) {
    QuotaHolder& holder = aEntry.second;
    const TimePoint lapsedAt = holder.mHeardAt + kQuotaWindow;
    if (holder.mShare > 0 && lapsedAt <= aNow) {
      aBucket.mLevel += holder.mShare * Seconds(aNow - lapsedAt);
      holder.mShare = 0;
    }
    if (lapsedAt <= aNow) {
      holder.mReserve = 0;
    }
    aBucket.mShares += holder.mShare;
    aBucket.mReserves += holder.mReserve;
    return holder.mHeardAt + kIdleTime <= aNow;
  });
  LimitLevel(aBucket, aLimit);
}

void
Advance(QuotaBucket& aBucket, const QuotaLimit& aLimit, TimePoint aUnknownUntil, TimePoint aNow)
{
  if (aBucket.mUnknownShare > 0 && aUnknownUntil <= aNow) {
    Accrue(aBucket, aLimit, aUnknownUntil);
    aBucket.mUnknownShare = 0;
  }
  Accrue(aBucket, aLimit, aNow);
  LimitLevel(aBucket, aLimit);
  EndLapsedShares(aBucket, aLimit, aNow);
}

QuotaBucket
StartBucket(const QuotaLedger& aLedger, const QuotaLimit& aLimit)
{
  QuotaBucket bucket;
  // Half a second of the rate, which is about the time until gateways have called.
  bucket.mLevel = std::min({ Capacity(aLimit), kFirstTokens, 1 + aLimit.mRate / 2 });
  bucket.mFilledAt = aLedger.mStartedAt;
  bucket.mUnknownShare = aLimit.mRate;
  bucket.mSweptAt = aLedger.mStartedAt;
  bucket.mPromisedAt = aLedger.mStartedAt;
  return bucket;
}

// Settles what the gateway did by itself since its last call.
void
SettleShare(QuotaBucket& aBucket,
            QuotaHolder& aHolder,
            const QuotaDemand& aDemand,
            bool aSameTerm,
            TimePoint aNow)
{
  // The charge since the last call is returned only if the gateway confirms the term; otherwise a
  // reply was lost or the process is a new one.
  const TimePoint chargedUntil = std::min(aNow, aHolder.mHeardAt + kQuotaWindow);
  if (aHolder.mShare > 0) {
    if (aNow > chargedUntil) {
      // The sweep has not ended this share yet.
      aBucket.mLevel += aHolder.mShare * Seconds(aNow - chargedUntil);
    }
    if (aSameTerm) {
      aBucket.mLevel += aHolder.mShare * Seconds(chargedUntil - aHolder.mHeardAt);
    }
    aBucket.mShares = std::max(0.0, aBucket.mShares - aHolder.mShare);
    aHolder.mShare = 0;
  }
  if (aSameTerm) {
    aBucket.mLevel -= std::min(aDemand.mUsedAlone, kMaxTokens);
    aBucket.mLevel += std::min(aDemand.mReturned, kMaxTokens);
    // What passed by the share is use as well; otherwise the share would shrink by its use.
    aHolder.mRecent =
      std::max(0.0, aHolder.mRecent - aDemand.mReturned) + std::min(aDemand.mUsedAlone, kMaxTokens);
  }
}

double
GrantExtras(QuotaBucket& aBucket, const QuotaLimit& aLimit, TimePoint aNow)
{
  const auto interval = static_cast<std::uint64_t>(aNow.time_since_epoch() / kExtraInterval);
  if (interval != aBucket.mExtraInterval) {
    aBucket.mPreviousExtras = interval == aBucket.mExtraInterval + 1 ? aBucket.mExtras : 0;
    aBucket.mExtras = 0;
    aBucket.mExtraInterval = interval;
  }
  const double fill = (aBucket.mLevel - 1) / Capacity(aLimit);
  const double extras = fill >= kTwoExtrasFill ? 2 : fill >= kOneExtraFill ? 1 : 0;
  const double allowed = kExtraRatio * (aLimit.mRate * Seconds(kQuotaWindow) + aLimit.mBurst) +
                         kFixedExtras - aBucket.mExtras - aBucket.mPreviousExtras;
  const double granted = std::floor(std::clamp(std::min(allowed, aBucket.mLevel), 0.0, extras));
  aBucket.mExtras += granted;
  return granted;
}

// Returns the wait of the first of aRefused requests, and promises each of them a slot.
Duration
PromiseSlots(QuotaBucket& aBucket, const QuotaLimit& aLimit, std::uint32_t aRefused, TimePoint aNow)
{
  const Duration next = FromSeconds((1 - aBucket.mLevel) / aLimit.mRate);
  const Duration slot = FromSeconds(1 / aLimit.mRate);
  TimePoint first = std::max(aNow + next, aBucket.mPromisedAt + slot);
  first = std::min(first, aNow + std::max(next, kMaxPromise));
  aBucket.mPromisedAt = std::min(first + slot * (aRefused - 1), aNow + std::max(next, kMaxPromise));
  return first - aNow;
}

Duration
FreeTime(const QuotaBucket& aBucket)
{
  const double usable = kFreePart * std::max(0.0, aBucket.mLevel);
  const double demand = aBucket.mRecent / Seconds(kQuotaWindow);
  return usable >= demand * Seconds(kMaxFreeTime) ? kMaxFreeTime : FromSeconds(usable / demand);
}

QuotaGrant
Grant(QuotaBucket& aBucket,
      const QuotaLimit& aLimit,
      QuotaHolder& aHolder,
      const QuotaDemand& aDemand,
      TimePoint aNow)
{
  QuotaGrant grant;
  grant.mWorkspace = aDemand.mWorkspace;
  const std::uint32_t wanted = std::min(aDemand.mWanted, kMaxTokens);
  grant.mGranted = static_cast<std::uint32_t>(
    std::clamp(std::floor(aBucket.mLevel), 0.0, static_cast<double>(wanted)));
  aBucket.mLevel -= grant.mGranted;
  if (grant.mGranted < wanted) {
    grant.mWait = PromiseSlots(aBucket, aLimit, wanted - grant.mGranted, aNow);
  } else if (wanted > 0) {
    const double extras = GrantExtras(aBucket, aLimit, aNow);
    aBucket.mLevel -= extras;
    grant.mGranted += static_cast<std::uint32_t>(extras);
  }
  aHolder.mRecent += grant.mGranted;
  aBucket.mRecent += wanted + std::min(aDemand.mUsedAlone, kMaxTokens);
  grant.mFreeTime = FreeTime(aBucket);
  return grant;
}

// Removes buckets that a new one would equal, or nearly so.
void
SweepBuckets(QuotaLedger& aLedger, TimePoint aNow)
{
  if (aLedger.mSweptAt + kIdleTime > aNow) {
    return;
  }
  aLedger.mSweptAt = aNow;
  absl::erase_if(aLedger.mBuckets, [&](auto& aEntry) {
    const auto limit = aLedger.mLimits.find(aEntry.first);
    if (limit == aLedger.mLimits.end()) {
      return true;
    }
    QuotaBucket& bucket = aEntry.second;
    Advance(bucket, limit->second, aLedger.mUnknownUntil, aNow);
    return bucket.mHolders.empty() && bucket.mLevel >= Capacity(limit->second);
  });
}

QuotaLedger::Caller*
Recognize(QuotaLedger& aLedger, const QuotaCall& aCall)
{
  const auto index = static_cast<std::uint32_t>(aLedger.mCallers.size());
  QuotaLedger::Caller& caller =
    aLedger.mCallers.try_emplace(aCall.mGateway, QuotaLedger::Caller{ index, 0, 0 }).first->second;
  // Incarnations come from the wall clock, which may be set back, so they are not compared by size.
  if (aCall.mIncarnation == caller.mIncarnation && aCall.mNumber <= caller.mNumber) {
    return nullptr;
  }
  caller.mIncarnation = aCall.mIncarnation;
  caller.mNumber = aCall.mNumber;
  return &caller;
}

} // namespace

QuotaLedger
StartQuotaLedger(std::uint64_t aTerm, TimePoint aNow)
{
  QuotaLedger ledger;
  ledger.mTerm = aTerm;
  ledger.mStartedAt = aNow;
  ledger.mUnknownUntil = aNow + kQuotaWindow;
  ledger.mSweptAt = aNow;
  return ledger;
}

void
SetQuotaLimits(QuotaLedger& aLedger,
               absl::flat_hash_map<std::string, QuotaLimit> aLimits,
               TimePoint aNow)
{
  absl::erase_if(aLedger.mBuckets, [&](auto& aEntry) {
    const auto before = aLedger.mLimits.find(aEntry.first);
    const auto after = aLimits.find(aEntry.first);
    if (before == aLedger.mLimits.end() || after == aLimits.end() || after->second.mRate <= 0) {
      return true;
    }
    QuotaBucket& bucket = aEntry.second;
    Advance(bucket, before->second, aLedger.mUnknownUntil, aNow);
    const double factor = std::min(1.0, after->second.mRate / before->second.mRate);
    for (auto& [index, holder] : bucket.mHolders) {
      holder.mShare *= factor;
      holder.mRecent *= factor;
    }
    bucket.mShares *= factor;
    bucket.mUnknownShare *= factor;
    LimitLevel(bucket, after->second);
    bucket.mPromisedAt = aNow;
    return false;
  });
  aLedger.mLimits = std::move(aLimits);
}

std::optional<QuotaReply>
AcquireQuota(QuotaLedger& aLedger, const QuotaCall& aCall, TimePoint aNow)
{
  const QuotaLedger::Caller* const caller = Recognize(aLedger, aCall);
  if (caller == nullptr) {
    return std::nullopt;
  }
  QuotaReply reply;
  reply.mTerm = aLedger.mTerm;
  for (const QuotaDemand& demand : aCall.mDemands) {
    const auto limit = aLedger.mLimits.find(demand.mWorkspace);
    if (limit == aLedger.mLimits.end() || limit->second.mRate <= 0) {
      // A workspace without a limit gets all; a service that is not known has no pool.
      const std::uint32_t granted =
        IsExtraSendPool(demand.mWorkspace) ? 0 : std::min(demand.mWanted, kMaxTokens);
      reply.mGrants.push_back({ demand.mWorkspace, granted, {}, 0, 0 });
      continue;
    }
    auto found = aLedger.mBuckets.find(demand.mWorkspace);
    if (found == aLedger.mBuckets.end()) {
      found =
        aLedger.mBuckets.emplace(demand.mWorkspace, StartBucket(aLedger, limit->second)).first;
    }
    QuotaBucket& bucket = found->second;
    Advance(bucket, limit->second, aLedger.mUnknownUntil, aNow);
    const auto [entry, added] = bucket.mHolders.try_emplace(caller->mIndex);
    QuotaHolder& holder = entry->second;
    const bool sameTerm = aCall.mTerm == aLedger.mTerm;
    const bool sameProcess = !added && holder.mIncarnation == aCall.mIncarnation;
    if (added) {
      holder.mHeardAt = aNow;
    }
    holder.mRecent *= std::exp(-Seconds(aNow - holder.mHeardAt) / Seconds(kQuotaWindow));
    const double heldShare = std::isfinite(demand.mShare)
                               ? std::clamp(demand.mShare, 0.0, limit->second.mRate)
                               : limit->second.mRate;
    QuotaDemand checked = demand;
    checked.mShare = heldShare;
    SettleShare(bucket, holder, checked, sameTerm && (sameProcess || added), aNow);
    if (added && !sameTerm) {
      bucket.mUnknownShare = std::max(0.0, bucket.mUnknownShare - heldShare);
      // Its reserve. What it let pass by its share needs no charge: the time without an owner
      // filled no bucket.
      bucket.mLevel -= std::min(checked.mUsedAlone, 1U);
    }
    LimitLevel(bucket, limit->second);
    holder.mIncarnation = aCall.mIncarnation;
    holder.mHeardAt = aNow;
    QuotaGrant grant = Grant(bucket, limit->second, holder, checked, aNow);
    LimitLevel(bucket, limit->second);
    // All shares together are at most the rate. The gateway may not receive the new one, so the
    // larger one is charged.
    const double free = std::max(0.0, limit->second.mRate - bucket.mShares - bucket.mUnknownShare);
    const double share = holder.mRecent / Seconds(kQuotaWindow);
    grant.mShare = share >= kMinShare ? std::min(share, free) : 0;
    if (holder.mReserve == 0 && share >= kMinShare && bucket.mReserves < kMaxReserves) {
      holder.mReserve = 1;
      ++bucket.mReserves;
    }
    // Gateways use the reserve also while they reach the owner. It is renewed only from what the
    // bucket holds, so that a workspace over its quota gets no more by it.
    grant.mReserve = bucket.mLevel >= 1 ? holder.mReserve : 0;
    holder.mShare = std::max(grant.mShare, std::min(heldShare, free));
    bucket.mShares += holder.mShare;
    reply.mGrants.push_back(std::move(grant));
  }
  SweepBuckets(aLedger, aNow);
  return reply;
}

void
ReportShareTerm(QuotaLedger& aLedger,
                const std::string& aGateway,
                std::uint64_t aTerm,
                TimePoint aNow)
{
  if (aNow < aLedger.mUnknownUntil && aNow >= aLedger.mStartedAt + kLateReplyTime &&
      (aTerm == 0 || aTerm >= aLedger.mTerm)) {
    aLedger.mWithoutOldShares.insert(aGateway);
  }
}

void
EndUnknownShares(QuotaLedger& aLedger, std::span<const std::string> aGateways, TimePoint aNow)
{
  if (aNow < aLedger.mUnknownUntil &&
      std::all_of(aGateways.begin(), aGateways.end(), [&aLedger](const std::string& aGateway) {
        return aLedger.mWithoutOldShares.contains(aGateway);
      })) {
    aLedger.mUnknownUntil = aNow;
  }
}

} // namespace apricotyard
