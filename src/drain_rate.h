// Rate at which a queue drains, and the estimate of when it will have drained. Free functions over
// a plain struct; not thread-safe. Shared by the queues of admission.h and fair_queue.h.
#ifndef APRICOTYARD_DRAIN_RATE_H
#define APRICOTYARD_DRAIN_RATE_H

#include "types.h"

#include <cstddef>

namespace apricotyard {

struct DrainRate
{
  // Smoothed interval between departures, in microseconds; 0 if unknown.
  double mIntervalUs = 0;
  std::uint32_t mSamples = 0;
  // The default value if the next departure does not end an interval.
  TimePoint mLastAt{};
};

// aNow must not decrease.
void
RecordDeparture(DrainRate& aRate, TimePoint aNow);

// Time until aCount requests have departed.
Duration
DrainTime(const DrainRate& aRate, std::size_t aCount);

} // namespace apricotyard

#endif
