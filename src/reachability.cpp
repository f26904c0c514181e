#include "reachability.h"

#include <algorithm>

namespace apricotyard {

void
RecordSend(Reachability& aState, const std::string& aReplica, TimePoint aNow)
{
  if (aState.mSilent.empty()) {
    aState.mSilentSince = aNow;
  }
  if (aState.mSilent.size() < kSuspiciousReplicas) {
    aState.mSilent.insert(aReplica);
  }
}

bool
RecordReached(Reachability& aState, TimePoint aNow)
{
  aState.mSilent.clear();
  // Connections of the check that are still being opened change nothing any more.
  aState.mPendingChecks = 0;
  if (!aState.mCutOff) {
    return false;
  }
  aState.mCutOff = false;
  aState.mReturnedAt = aNow;
  return true;
}

bool
NeedsCheck(const Reachability& aState, std::size_t aKnown, TimePoint aNow)
{
  if (aState.mPendingChecks > 0 || aKnown == 0) {
    return false;
  }
  if (aState.mCutOff) {
    return aState.mNextCheckAt <= aNow;
  }
  return aState.mSilent.size() >= std::min(kSuspiciousReplicas, aKnown) &&
         aState.mSilentSince + kSuspiciousSilence <= aNow;
}

std::uint64_t
BeginCheck(Reachability& aState, std::size_t aConnections)
{
  aState.mPendingChecks = aConnections;
  return ++aState.mCheckNumber;
}

bool
RecordUnreached(Reachability& aState, std::uint64_t aCheck, double aSpread, TimePoint aNow)
{
  if (aCheck != aState.mCheckNumber || aState.mPendingChecks == 0 || --aState.mPendingChecks > 0) {
    return false;
  }
  aState.mNextCheckAt =
    aNow + kRecheckPause + std::chrono::duration_cast<Duration>(kRecheckSpread * aSpread);
  if (aState.mCutOff) {
    return false;
  }
  aState.mCutOff = true;
  aState.mSilent.clear();
  const bool again =
    aState.mReturnedAt != TimePoint::min() && aState.mReturnedAt + 2 * aState.mStableTime > aNow;
  aState.mStableTime = again ? std::min(2 * aState.mStableTime, kMaxStableTime) : kMinStableTime;
  return true;
}

bool
ShouldAvoidCallers(const Reachability& aState, TimePoint aNow)
{
  return aState.mCutOff ||
         (aState.mReturnedAt != TimePoint::min() && aState.mReturnedAt + aState.mStableTime > aNow);
}

} // namespace apricotyard
