#include "locality.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

// Until this many samples, the usual latency is their plain mean.
constexpr std::uint32_t kUsualSamples = 32;
// Time constants of the usual latency and ratio. The rise is slower, so that an overload does not
// become usual, and samples are capped at this multiple.
constexpr Duration kUsualRise = std::chrono::seconds(150);
constexpr Duration kUsualFall = std::chrono::seconds(50);
constexpr double kUsualCap = 1.5;
// Time constant with which the smallest ratio rises to the usual one.
constexpr Duration kBestRise = std::chrono::seconds(300);
// The load is a mean over this time, with weights of a sample between these two: about four samples
// of a service with few requests, and enough of a busy one that their spread does not look like an
// overload.
constexpr Duration kLoadTime = std::chrono::milliseconds(300);
constexpr double kMinLoadWeight = 1.0 / 32;
constexpr double kMaxLoadWeight = 0.25;
// Cap of a sample in multiples of the load. One sample of a relieved data centre then raises the
// load to 1.5 at most, several raise it without limit.
constexpr double kLoadCap = 3.0;
// Weight of a new result in the failure share.
constexpr double kFailureSmoothing = 0.15;
// Time constant with which load and failures are forgotten without new samples.
constexpr Duration kForgetTime = std::chrono::seconds(3);
// Time constant of the number of recent samples.
constexpr Duration kRecentTime = std::chrono::seconds(1);
// Number of recent samples of a service that weigh as much as the load of its data centre.
constexpr double kBlendSamples = 2;
// Failed attempts cost this share of the objective: most are repeated in time, some are lost.
constexpr double kFailureCost = 0.5;
// Gain, in shares of the objective, that a rise needs, and loss that ends a share quickly.
constexpr double kGainMargin = 0.02;
// Gain, in usual latencies, from which on a step is not reduced.
constexpr double kFullGain = 1.5;
// Largest step, as a share of what stays at home.
constexpr double kRiseStep = 0.5;
// A data centre that is overloaded itself gets a share only if it is cheaper by this part of the
// cost of home. Otherwise two overloaded data centres would exchange requests.
constexpr double kOverloadedGain = 0.4;
// Mean latency, as a share of the objective, from which on a growing part of the requests is late,
// and the weight of the time beyond it.
constexpr double kLateFrom = 0.4;
constexpr double kLateWeight = 10;
// Home moves between other data centres only if the link is shorter by this part.
constexpr double kNearerBy = 0.3;
// The load of home falls already if it is below this part of the one at the last decision.
constexpr double kFallingLoad = 0.85;
// Above this load, shares rise although the load falls already.
constexpr double kSevereLoad = 2.5;
// Time constants with which a share falls: home is relieved, or the destination is worse.
constexpr Duration kReturnTime = std::chrono::seconds(6);
constexpr Duration kRetreatTime = std::chrono::milliseconds(750);
// Smaller shares are dropped.
constexpr double kMinShare = 0.01;
constexpr double kBytesPerGb = 1e9;

// Weight that remains of an exponentially decaying value.
double
Remaining(Duration aElapsed, Duration aTimeConstant)
{
  const double elapsed = std::max(0.0, static_cast<double>(aElapsed.count()));
  return std::exp(-elapsed / static_cast<double>(aTimeConstant.count()));
}

// Moves a long-term mean towards a sample: as a plain mean over the first samples, then by time.
double
MoveUsual(double aMean, double aSample, std::uint32_t aSamples, Duration aElapsed)
{
  const double sample = aSamples > kUsualSamples ? std::min(aSample, aMean * kUsualCap) : aSample;
  const double weight =
    std::max(aSamples <= kUsualSamples ? 1.0 / aSamples : 0.0,
             1.0 - Remaining(aElapsed, sample > aMean ? kUsualRise : kUsualFall));
  return aMean + weight * (sample - aMean);
}

double
RelativeLoad(const LoadEstimate& aLoad, const LoadBasis& aBasis, TimePoint aNow)
{
  if (aLoad.mSamples == 0) {
    return 1.0;
  }
  const double excess =
    (aLoad.mRatio - aBasis.mLinkRatio) / std::max(aBasis.mUsualRatio, 1e-3) - 1.0;
  return 1.0 + excess * Remaining(aNow - aLoad.mLastSampleAt, kForgetTime);
}

bool
IsOverloaded(const DataCentreView& aView)
{
  return aView.mLoad > kOverloadLoad || aView.mFailureShare > kOverloadFailures;
}

bool
IsRelieved(const DataCentreView& aView)
{
  return aView.mLoad < kRelievedLoad && aView.mFailureShare < kRelievedFailures;
}

bool
IsAvailable(const DataCentreView& aView)
{
  return aView.mUsable > 0 && aView.mReached;
}

double
ShareOfObjective(double aMicros, const LocalityInputs& aInputs)
{
  return aMicros / static_cast<double>(std::max<Duration::rep>(aInputs.mObjective.count(), 1));
}

// Loss by requests that come late, in objectives.
double
Lateness(double aTimeShare)
{
  return kLateWeight * std::max(0.0, aTimeShare - kLateFrom);
}

double
TimeShare(const DataCentreView& aView, const LocalityInputs& aInputs)
{
  return ShareOfObjective(static_cast<double>(aInputs.mUsual.count()) * aView.mLoad +
                            static_cast<double>(aView.mLinkTime.count()),
                          aInputs);
}

double
PriceShare(const LocalityInputs& aInputs)
{
  return aInputs.mPricePerGb * aInputs.mBytes / kBytesPerGb / kObjectiveValue;
}

// Expected cost of a send in objectives: time, lateness, failures and price.
double
CostShare(const DataCentreView& aView, const LocalityInputs& aInputs)
{
  const double time = TimeShare(aView, aInputs);
  const double price = aView.mName == aInputs.mOwn ? 0.0 : PriceShare(aInputs);
  return time + Lateness(time) + kFailureCost * aView.mFailureShare + price;
}

// Whether a share of sends to aView is worth it. Lateness does not count if both are overloaded,
// because it would enlarge small differences between two queues.
bool
IsWorthLeaving(const DataCentreView& aHome,
               const DataCentreView& aView,
               const LocalityInputs& aInputs)
{
  if (!IsOverloaded(aView)) {
    return CostShare(aHome, aInputs) - CostShare(aView, aInputs) > kGainMargin;
  }
  const double homeCost = TimeShare(aHome, aInputs) + kFailureCost * aHome.mFailureShare;
  const double cost = TimeShare(aView, aInputs) + kFailureCost * aView.mFailureShare;
  return homeCost - cost > kOverloadedGain * homeCost;
}

// The own data centre if it is available, otherwise the nearest that is, otherwise the nearest with
// usable replicas. Links of nearly the same length do not move home.
const DataCentreView*
FindHome(const LocalityState& aState, const LocalityInputs& aInputs)
{
  const DataCentreView* home = nullptr;
  const auto rank = [&](const DataCentreView& aView) {
    const double advantage = aView.mName == aState.mHome ? kNearerBy : 0.0;
    return std::tuple(!aView.mReached,
                      aView.mName != aInputs.mOwn,
                      static_cast<double>(aView.mLinkTime.count()) * (1.0 - advantage),
                      aView.mName);
  };
  for (const DataCentreView& view : aInputs.mDataCentres) {
    if (view.mUsable > 0 && (home == nullptr || rank(view) < rank(*home))) {
      home = &view;
    }
  }
  return home;
}

double
TotalShare(const LocalityState& aState)
{
  double total = 0;
  for (const auto& [name, share] : aState.mShares) {
    total += share;
  }
  return total;
}

void
Engage(LocalityState& aState, const LocalityInputs& aInputs)
{
  aState.mEngaged = true;
  for (const DataCentreView& view : aInputs.mDataCentres) {
    if (view.mName != aState.mHome && IsAvailable(view) && view.mSentShare > kMinShare) {
      aState.mShares[view.mName] = std::min(view.mSentShare, kMaxLeavingShare);
    }
  }
}

// Home has changed: what went to the old one goes on going there if it is available, and falls from
// there.
void
MoveHome(LocalityState& aState, const std::string& aHome)
{
  const double rest = 1.0 - TotalShare(aState);
  if (aState.mEngaged && !aState.mHome.empty()) {
    aState.mShares[aState.mHome] = rest;
  }
  aState.mShares.erase(aHome);
  aState.mHome = aHome;
  aState.mHomeLoad = 1;
}

// The price counts less the more requests would be late at home. Follows a fall within some hundred
// milliseconds and a rise over seconds, as the shares do.
void
UpdatePriceCost(LocalityState& aState, const LocalityInputs& aInputs, const DataCentreView& aHome)
{
  const double share = std::max(0.0, PriceShare(aInputs) - Lateness(TimeShare(aHome, aInputs)));
  const Duration target = std::chrono::duration_cast<Duration>(aInputs.mObjective * share);
  if (!aState.mPriced) {
    aState.mPriced = true;
    aState.mPriceCost = target;
    return;
  }
  const double rest =
    Remaining(aInputs.mElapsed, target < aState.mPriceCost ? kRetreatTime : kReturnTime);
  aState.mPriceCost =
    target + std::chrono::duration_cast<Duration>((aState.mPriceCost - target) * rest);
}

void
ReduceShares(LocalityState& aState, const LocalityInputs& aInputs, const DataCentreView& aHome)
{
  const double homeCost = CostShare(aHome, aInputs);
  std::map<std::string, double> shares;
  for (const DataCentreView& view : aInputs.mDataCentres) {
    const auto found = aState.mShares.find(view.mName);
    if (&view == &aHome || view.mUsable == 0) {
      continue;
    }
    if (!view.mReached) {
      shares[view.mName] = kCutProbeShare;
      continue;
    }
    if (found == aState.mShares.end()) {
      continue;
    }
    double share = found->second;
    const double gain = homeCost - CostShare(view, aInputs);
    if ((gain < -kGainMargin && !IsRelieved(view)) ||
        (IsOverloaded(view) && !IsWorthLeaving(aHome, view, aInputs))) {
      share *= Remaining(aInputs.mElapsed, kRetreatTime);
    } else if (IsRelieved(aHome)) {
      share *= Remaining(aInputs.mElapsed, kReturnTime);
    }
    if (share >= kMinShare) {
      shares[view.mName] = share;
    }
  }
  aState.mShares = std::move(shares);
}

void
RaiseShare(LocalityState& aState,
           const LocalityInputs& aInputs,
           const DataCentreView& aHome,
           Rng& aRng)
{
  const DataCentreView* best = nullptr;
  double bestGain = kGainMargin;
  const double homeCost = CostShare(aHome, aInputs);
  for (const DataCentreView& view : aInputs.mDataCentres) {
    const double gain = homeCost - CostShare(view, aInputs);
    if (&view != &aHome && IsAvailable(view) && gain > bestGain &&
        IsWorthLeaving(aHome, view, aInputs)) {
      best = &view;
      bestGain = gain;
    }
  }
  if (best == nullptr) {
    return;
  }
  const double fullGain =
    ShareOfObjective(kFullGain * static_cast<double>(aInputs.mUsual.count()), aInputs);
  const double strength = std::min(1.0, bestGain / std::max(fullGain, kGainMargin));
  const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(aRng);
  const double intervals = std::min(2.0,
                                    static_cast<double>(aInputs.mElapsed.count()) /
                                      static_cast<double>(kLocalityInterval.count()));
  const double rest = std::max(0.0, kMaxLeavingShare - TotalShare(aState));
  aState.mShares[best->mName] += kRiseStep * strength * factor * intervals * rest;
}

} // namespace

void
RecordUsualLatency(UsualLatency& aUsual, Duration aLatency, TimePoint aNow)
{
  const auto sample = static_cast<double>(aLatency.count());
  aUsual.mSamples += aUsual.mSamples <= kUsualSamples ? 1 : 0;
  aUsual.mMeanUs = MoveUsual(aUsual.mMeanUs, sample, aUsual.mSamples, aNow - aUsual.mLastSampleAt);
  aUsual.mLastSampleAt = aNow;
}

void
RecordLoad(LoadEstimate& aLoad, const UsualLatency& aUsual, Duration aLatency, TimePoint aNow)
{
  if (aUsual.mSamples == 0 || aUsual.mMeanUs <= 0) {
    return;
  }
  const double ratio = std::min(kLoadCap * std::max(aLoad.mRatio, aLoad.mUsualRatio),
                                static_cast<double>(aLatency.count()) / aUsual.mMeanUs);
  const Duration elapsed = aNow - aLoad.mLastSampleAt;
  aLoad.mSamples += aLoad.mSamples <= kUsualSamples ? 1 : 0;
  const bool first = aLoad.mSamples == 1;
  aLoad.mBestRatio = first ? ratio
                           : std::min(ratio,
                                      aLoad.mBestRatio + (aLoad.mUsualRatio - aLoad.mBestRatio) *
                                                           (1.0 - Remaining(elapsed, kBestRise)));
  aLoad.mUsualRatio = MoveUsual(aLoad.mUsualRatio, ratio, aLoad.mSamples, elapsed);
  const double weight =
    std::clamp(1.0 - Remaining(elapsed, kLoadTime), kMinLoadWeight, kMaxLoadWeight);
  aLoad.mRatio = first ? aLoad.mUsualRatio : aLoad.mRatio + weight * (ratio - aLoad.mRatio);
  aLoad.mFailureShare *= 1.0 - kFailureSmoothing;
  aLoad.mRecentSamples = 1.0 + aLoad.mRecentSamples * Remaining(elapsed, kRecentTime);
  aLoad.mLastSampleAt = aNow;
}

void
RecordLoadFailure(LoadEstimate& aLoad, TimePoint aNow)
{
  aLoad.mFailureShare = FailureShare(aLoad, aNow);
  aLoad.mFailureShare += kFailureSmoothing * (1.0 - aLoad.mFailureShare);
  aLoad.mLastSampleAt = aNow;
}

double
BlendLoad(const LoadEstimate& aService,
          const LoadEstimate& aDataCentre,
          const LoadBasis& aServiceBasis,
          const LoadBasis& aDataCentreBasis,
          TimePoint aNow)
{
  const double recent =
    aService.mRecentSamples * Remaining(aNow - aService.mLastSampleAt, kRecentTime);
  return (recent * RelativeLoad(aService, aServiceBasis, aNow) +
          kBlendSamples * RelativeLoad(aDataCentre, aDataCentreBasis, aNow)) /
         (recent + kBlendSamples);
}

double
FailureShare(const LoadEstimate& aLoad, TimePoint aNow)
{
  return aLoad.mFailureShare * Remaining(aNow - aLoad.mLastSampleAt, kForgetTime);
}

LoadBasis
MakeLoadBasis(const LoadEstimate& aOwn, const LoadEstimate& aOther, double aFallbackRatio)
{
  const bool measured = aOwn.mSamples >= kUsualSamples && aOther.mSamples >= kUsualSamples;
  return { aOwn.mUsualRatio,
           measured ? std::max(0.0, aOther.mBestRatio - aOwn.mBestRatio) : aFallbackRatio };
}

void
UpdateLocality(LocalityState& aState, const LocalityInputs& aInputs, Rng& aRng)
{
  const DataCentreView* const home = FindHome(aState, aInputs);
  if (home == nullptr) {
    aState = {};
    return;
  }
  if (aState.mHome != home->mName) {
    MoveHome(aState, home->mName);
  }
  UpdatePriceCost(aState, aInputs, *home);
  aState.mRoomElsewhere = std::any_of(
    aInputs.mDataCentres.begin(), aInputs.mDataCentres.end(), [home](const DataCentreView& aView) {
      return &aView != home && IsAvailable(aView) && !IsOverloaded(aView);
    });
  const bool away = home->mName != aInputs.mOwn;
  const bool overloaded = IsOverloaded(*home);
  if (!aState.mEngaged) {
    if (!away && !overloaded) {
      aState.mHomeLoad = home->mLoad;
      return;
    }
    Engage(aState, aInputs);
  }
  ReduceShares(aState, aInputs, *home);
  const bool falling = home->mLoad < kFallingLoad * aState.mHomeLoad;
  if (overloaded && (!falling || home->mLoad > kSevereLoad)) {
    RaiseShare(aState, aInputs, *home, aRng);
  }
  aState.mHomeLoad = home->mLoad;
  if (!away && IsRelieved(*home) && TotalShare(aState) <= kCutProbeShare) {
    aState.mEngaged = false;
    aState.mShares.clear();
  }
}

double
LeavingShare(const LocalityState& aState, const std::string& aOwn)
{
  if (!aState.mEngaged) {
    return 0;
  }
  const auto own = aState.mShares.find(aOwn);
  const double toOwn = own != aState.mShares.end() ? own->second : 0;
  return aState.mHome == aOwn ? TotalShare(aState) : 1.0 - toOwn;
}

ReplicaView*
ChooseByLocality(const LocalityState& aState,
                 std::span<ReplicaView* const> aReplicas,
                 const std::set<std::string>& aExcluded,
                 PlacementLimits& aLimits,
                 Duration aTypicalLatency,
                 TimePoint aNow,
                 Rng& aRng)
{
  aLimits.mRemoteCost += aState.mPriceCost;
  ReplicaView* chosen = nullptr;
  if (aState.mEngaged) {
    double draw = std::uniform_real_distribution<double>(0.0, 1.0)(aRng);
    aLimits.mOnlyDataCentres = { aState.mHome };
    for (const auto& [name, share] : aState.mShares) {
      if (draw < share) {
        aLimits.mOnlyDataCentres.emplace_back(name);
        break;
      }
      draw -= share;
    }
    chosen = ChooseReplica(aReplicas, aExcluded, aLimits, aTypicalLatency, aNow, aRng);
    aLimits.mOnlyDataCentres.clear();
    // Under overload every request waits for longer, which is no sign of a pause.
    const auto usualNow =
      std::chrono::duration_cast<Duration>(aTypicalLatency * std::max(1.0, aState.mHomeLoad));
    // A replica that refused a request under overload is still preferred to others that are
    // overloaded as well.
    const std::uint32_t maxFailures = aState.mRoomElsewhere ? 0 : kUnreachedFailures;
    if (chosen != nullptr &&
        ((chosen->mAvoidUntil > aNow && chosen->mConsecutiveFailures > maxFailures) ||
         IsLikelyPaused(*chosen, usualNow, aNow))) {
      chosen = nullptr;
    }
  }
  if (chosen == nullptr) {
    chosen = ChooseReplica(aReplicas, aExcluded, aLimits, aTypicalLatency, aNow, aRng);
  }
  aLimits.mRemoteCost -= aState.mPriceCost;
  return chosen;
}

} // namespace apricotyard
