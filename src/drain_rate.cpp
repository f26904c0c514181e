#include "drain_rate.h"

#include <algorithm>

namespace apricotyard {

namespace {

// Weight of a new interval; averages over about ten departures. The first ones are averaged in
// full.
constexpr double kIntervalSmoothing = 0.1;

} // namespace

void
RecordDeparture(DrainRate& aRate, TimePoint aNow)
{
  if (aRate.mLastAt != TimePoint()) {
    const auto interval = static_cast<double>((aNow - aRate.mLastAt).count());
    ++aRate.mSamples;
    const double weight = std::max(kIntervalSmoothing, 1.0 / aRate.mSamples);
    aRate.mIntervalUs += weight * (interval - aRate.mIntervalUs);
  }
  aRate.mLastAt = aNow;
}

Duration
DrainTime(const DrainRate& aRate, std::size_t aCount)
{
  return Duration(static_cast<Duration::rep>(aRate.mIntervalUs * static_cast<double>(aCount)));
}

} // namespace apricotyard
