// State of the step "admit" of the relay: requests that wait for a token of their workspace.
#ifndef APRICOTYARD_RELAY_QUOTA_H
#define APRICOTYARD_RELAY_QUOTA_H

#include "loop.h"
#include "metrics.h"
#include "quota_share.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace apricotyard {

struct RelayedRequest;

// How far the admission of a request is.
enum class QuotaState : std::uint8_t
{
  // Needs no token, or has returned it.
  None,
  // Waits for the reply of the owner.
  Waiting,
  // Waits for a token that is expected soon, to ask once more.
  Paused,
  // Has a token of the owner.
  Granted,
  // Passes by the share of this gateway.
  GrantedAlone,
};

// Refusals of one workspace since the last line about it.
struct QuotaRefusals
{
  std::uint64_t mCount = 0;
  TimePoint mLoggedAt;
};

struct QuotaMetrics
{
  explicit QuotaMetrics(MetricsRegistry& aRegistry);

  Counter& mGranted;
  Counter& mAlone;
  Counter& mDenied;
  Counter& mUnavailable;
  Counter& mReturned;
  Counter& mCalls;
  Counter& mFailedCalls;
  Distribution& mWait;
};

struct RelayQuota
{
  explicit RelayQuota(MetricsRegistry& aRegistry)
    : mMetrics(aRegistry)
  {
  }

  QuotaShare mShare;
  // Sends a call to the owner. Empty in tests of other parts; all requests are then admitted.
  std::function<void(const QuotaCall&)> mCaller;
  // By workspace, in the order of arrival. Those that are over are skipped.
  std::map<std::string, std::deque<std::weak_ptr<RelayedRequest>>> mWaiting;
  // Runs when the next call is due, and when the open one has failed.
  TimerId mCallTimer = 0;
  TimePoint mCallTimerAt = TimePoint::max();
  TimerId mTimeoutTimer = 0;
  bool mOwnerLostLogged = false;
  std::map<std::string, QuotaRefusals> mRefusals;
  std::uint64_t mLoggedAnswers = 0;
  QuotaMetrics mMetrics;
};

} // namespace apricotyard

#endif
