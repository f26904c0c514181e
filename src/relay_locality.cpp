// Feeds `locality` with what this gateway measures and applies the shares that it decides. See
// docs/design/locality.md.
#include "relay_state.h"

#include <cmath>

namespace apricotyard {

namespace {

// Services without a first send for this time keep their shares without updates.
constexpr Duration kServiceInUse = std::chrono::seconds(5);
// Weight of a new sample in the bytes per request.
constexpr double kBytesSmoothing = 0.05;
// Change of a service's leaving share that is logged.
constexpr double kLoggedChange = 0.25;
// Below this weight of local samples, the route is taken to have no local replicas.
constexpr double kMinLocalWeight = 20;

double
Ratio(Duration aPart, Duration aWhole)
{
  return aWhole > Duration::zero()
           ? static_cast<double>(aPart.count()) / static_cast<double>(aWhole.count())
           : 0.0;
}

} // namespace

void
Relay::State::NoteFirstSend(RelayService& aService, const ReplicaView& aReplica, TimePoint aNow)
{
  if (!mSettings.mLimitLeaving) {
    return;
  }
  ++aService.mLocality.mSent[aReplica.mInfo.mDataCentre];
  aService.mLocality.mUsedAt = aNow;
  if (mLocalityTimer == 0) {
    // The random phase keeps gateways from deciding at once.
    std::uniform_int_distribution<Duration::rep> phase(0, kLocalityInterval.count());
    mLocalityTimer =
      mLoop.AddTimer(aNow + Duration(phase(mLocalityRng)), [this] { UpdateLocalities(); });
  }
}

void
Relay::State::RecordLoadOf(const RelayAttempt& aAttempt,
                           const ReplicaView& aReplica,
                           bool aAnswered,
                           TimePoint aNow)
{
  if (!mSettings.mLimitLeaving) {
    return;
  }
  const RelayedRequest& owner = *aAttempt.mOwner;
  const std::string& dataCentre = aReplica.mInfo.mDataCentre;
  ServiceLocality& locality =
    mServices[owner.mSubrequests[aAttempt.mSubrequestIndex].mService].mLocality;
  LoadEstimate& load = locality.mLoads[dataCentre];
  LoadEstimate& dataCentreLoad = mDataCentreLoads[dataCentre];
  if (!aAnswered) {
    RecordLoadFailure(load, aNow);
    RecordLoadFailure(dataCentreLoad, aNow);
    return;
  }
  RouteLatencies& latencies = LatenciesOf(owner);
  const Duration took = aNow - aAttempt.mSentAt;
  if (aAttempt.mIsLocal ||
      (dataCentre == locality.mState.mHome && latencies.mLocal.mTotal < kMinLocalWeight)) {
    RecordUsualLatency(latencies.mUsual, took, aNow);
  }
  locality.mUsual = Duration(static_cast<Duration::rep>(latencies.mUsual.mMeanUs));
  locality.mObjective = owner.mRoute->mObjective;
  RecordLoad(load, latencies.mUsual, took, aNow);
  RecordLoad(dataCentreLoad, latencies.mUsual, took, aNow);
}

void
Relay::State::RecordBytes(const std::string& aService, std::size_t aBytes)
{
  double& mean = mServices[aService].mLocality.mBytes;
  mean += (mean == 0 ? 1.0 : kBytesSmoothing) * (static_cast<double>(aBytes) - mean);
}

LocalityInputs
Relay::State::MakeLocalityInputs(RelayService& aService, TimePoint aNow)
{
  ServiceLocality& locality = aService.mLocality;
  LocalityInputs inputs;
  inputs.mOwn = mLimits.mDataCentre;
  inputs.mUsual = locality.mUsual;
  inputs.mObjective = locality.mObjective;
  inputs.mBytes = locality.mBytes;
  inputs.mPricePerGb = mSettings.mPricePerGb;
  inputs.mElapsed =
    locality.mUpdatedAt == TimePoint() ? kLocalityInterval : aNow - locality.mUpdatedAt;
  for (const ReplicaView* const replica : aService.mReplicas) {
    auto view = std::find_if(
      inputs.mDataCentres.begin(), inputs.mDataCentres.end(), [replica](const auto& aView) {
        return aView.mName == replica->mInfo.mDataCentre;
      });
    if (view == inputs.mDataCentres.end()) {
      view = inputs.mDataCentres.emplace(view);
      view->mName = replica->mInfo.mDataCentre;
      view->mReached = false;
    }
    if (TakesRequest(*replica, aNow)) {
      ++view->mUsable;
      view->mReached |= replica->mConsecutiveFailures < kUnreachedFailures;
    }
  }
  double sent = 0;
  for (const auto& [name, count] : locality.mSent) {
    sent += count;
  }
  const double fallback = Ratio(mLimits.mRemoteCost, inputs.mUsual);
  for (DataCentreView& view : inputs.mDataCentres) {
    const double unmeasured = view.mName == inputs.mOwn ? 0.0 : fallback;
    const LoadEstimate& load = locality.mLoads[view.mName];
    const LoadEstimate& dataCentreLoad = mDataCentreLoads[view.mName];
    const LoadBasis basis = MakeLoadBasis(locality.mLoads[inputs.mOwn], load, unmeasured);
    const LoadBasis dataCentreBasis =
      MakeLoadBasis(mDataCentreLoads[inputs.mOwn], dataCentreLoad, unmeasured);
    view.mLoad = BlendLoad(load, dataCentreLoad, basis, dataCentreBasis, aNow);
    view.mFailureShare = FailureShare(load, aNow);
    view.mLinkTime = std::chrono::duration_cast<Duration>(inputs.mUsual * basis.mLinkRatio);
    view.mSentShare = sent == 0 ? 0 : locality.mSent[view.mName] / sent;
  }
  return inputs;
}

void
Relay::State::UpdateLocalities()
{
  const TimePoint now = SteadyNow();
  mLocalityTimer = 0;
  bool anyInUse = false;
  for (auto& [name, service] : mServices) {
    ServiceLocality& locality = service.mLocality;
    if (locality.mUsedAt + kServiceInUse < now) {
      continue;
    }
    anyInUse = true;
    UpdateLocality(locality.mState, MakeLocalityInputs(service, now), mLocalityRng);
    locality.mUpdatedAt = now;
    for (auto& [dataCentre, count] : locality.mSent) {
      count = 0;
    }
    const double share = LeavingShare(locality.mState, mLimits.mDataCentre);
    if (std::abs(share - locality.mLoggedShare) > kLoggedChange ||
        (share == 0 && locality.mLoggedShare > 0)) {
      LogEvent(Event::LocalityChanged,
               { { "service", name },
                 { "home", locality.mState.mHome },
                 { "share", share },
                 { "before", locality.mLoggedShare },
                 { "load", locality.mState.mHomeLoad } });
      locality.mLoggedShare = share;
    }
  }
  if (anyInUse) {
    mLocalityTimer = mLoop.AddTimer(now + kLocalityInterval, [this] { UpdateLocalities(); });
  }
}

void
Relay::State::UpdateLocalityGauges()
{
  const TimePoint now = SteadyNow();
  std::map<std::string, double> shares;
  std::size_t inUse = 0;
  std::size_t engaged = 0;
  for (const auto& [id, replica] : mReplicas) {
    if (replica->mInfo.mDataCentre != mLimits.mDataCentre) {
      shares[replica->mInfo.mDataCentre];
    }
  }
  for (const auto& [name, service] : mServices) {
    const LocalityState& state = service.mLocality.mState;
    if (service.mLocality.mUsedAt + kServiceInUse < now) {
      continue;
    }
    ++inUse;
    engaged += state.mEngaged ? 1 : 0;
    double rest = 1;
    for (const auto& [dataCentre, share] : state.mShares) {
      shares[dataCentre] += share;
      rest -= share;
    }
    if (state.mEngaged) {
      shares[state.mHome] += rest;
    }
  }
  shares.erase(mLimits.mDataCentre);
  for (const auto& [dataCentre, sum] : shares) {
    mMetrics.SetLeavingShare(dataCentre,
                             sum / static_cast<double>(std::max<std::size_t>(inUse, 1)));
  }
  mMetrics.SetServicesLeaving(engaged);
}

} // namespace apricotyard
