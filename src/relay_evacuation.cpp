#include "relay_state.h"

#include <utility>

namespace apricotyard {

void
Relay::SetEvacuated(std::set<std::string> aDataCentres)
{
  State& state = *mState;
  state.mEvacuated = std::move(aDataCentres);
  for (const auto& [id, replica] : state.mReplicas) {
    replica->mEvacuated = state.mEvacuated.contains(replica->mInfo.mDataCentre);
  }
  state.MoveUnsentAttempts();
  state.SendAllQueued();
  state.SchedulePreconnect();
}

void
Relay::State::MoveUnsentAttempts()
{
  std::vector<AttemptId> unsent;
  for (const auto& [id, attempt] : mAttempts) {
    if (mEvacuated.contains(attempt.mDataCentre) && !mClient.IsSent(attempt.mTransfer)) {
      unsent.push_back(id);
    }
  }
  for (const AttemptId id : unsent) {
    const auto found = mAttempts.find(id);
    if (found == mAttempts.end()) {
      continue;
    }
    const std::shared_ptr<RelayedRequest> relayed = found->second.mOwner;
    const std::size_t index = found->second.mSubrequestIndex;
    CancelAttempt(id);
    RelaySubrequest& subrequest = relayed->mSubrequests[index];
    // The attempt was not sent, so that it cannot have run.
    --subrequest.mPossibleRuns;
    if (relayed->mFinished || subrequest.mAnswered || relayed->mPeerTransfer != 0) {
      continue;
    }
    const bool resent = TryResend(relayed, index, ExtraSend::Replacement);
    subrequest.mFailed = !resent && subrequest.mActiveAttempts.empty();
    FinishIfDecided(relayed);
  }
}

void
Relay::State::SendAllQueued()
{
  std::vector<std::string> services;
  for (const auto& [name, service] : mServices) {
    services.push_back(name);
  }
  for (const std::string& service : services) {
    SendQueued(service);
  }
}

void
Relay::State::UpdateWarmups()
{
  const TimePoint now = SteadyNow();
  TimePoint nextEnd = TimePoint::max();
  bool ended = false;
  for (const auto& [id, replica] : mReplicas) {
    const RoutedService* const service =
      mRoutingTable != nullptr ? mRoutingTable->FindService(replica->mInfo.mService) : nullptr;
    const double rate = service != nullptr ? service->mWarmupRate : 0;
    if (UpdateWarmup(*replica, rate, DivisionOf(*replica), now)) {
      ended |= !replica->mWarmingUp;
      LogEvent(Event::WarmupChanged,
               { { "upstream", id },
                 { "service", replica->mInfo.mService },
                 { "data_centre", replica->mInfo.mDataCentre },
                 { "warming_up", replica->mWarmingUp },
                 { "left_ms",
                   std::max(replica->mInfo.mWarmupUntil - now, Duration::zero()) /
                     std::chrono::milliseconds(1) },
                 { "rate", rate },
                 { "share", replica->mRequestLimit.mShare },
                 { "gateways", mGatewayCount } });
    }
    if (replica->mWarmingUp) {
      nextEnd = std::min(nextEnd, replica->mInfo.mWarmupUntil);
    }
  }
  mLoop.CancelTimer(std::exchange(mWarmupTimer, 0));
  if (nextEnd != TimePoint::max()) {
    mWarmupTimer = mLoop.AddTimer(nextEnd, [this] {
      mWarmupTimer = 0;
      UpdateWarmups();
    });
  }
  if (ended) {
    SendAllQueued();
  }
}

} // namespace apricotyard
