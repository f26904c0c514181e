// Health of a replica, derived only from the outcomes and latencies of its sub-requests. Free
// functions over plain structs; not thread-safe.
#ifndef APRICOTYARD_HEALTH_H
#define APRICOTYARD_HEALTH_H

#include "types.h"

#include <span>

namespace apricotyard {

struct Health
{
  // Exponentially weighted moving average of the failure rate, from 0 to 1.
  double mFailureRate = 0;
  // Outcomes recorded since the start or since the last ejection ended.
  std::uint32_t mOutcomes = 0;
  std::uint32_t mConsecutiveFailures = 0;
  bool mEjected = false;
  TimePoint mEjectedUntil;
  // Length of the next ejection.
  Duration mNextEjection = std::chrono::seconds(1);
  // The replica has returned from an ejection and has not yet had enough successes.
  bool mOnProbation = false;
  std::uint32_t mSuccessesOnProbation = 0;
  bool mSlowStart = false;
  TimePoint mSlowStartedAt;
};

// Input of ShouldEject for one replica of the shard.
struct HealthView
{
  const Health* mHealth = nullptr;
  double mMeanLatencyUs = 0;
  std::uint32_t mLatencySamples = 0;
};

// Records the outcome of one attempt.
void
RecordHealth(Health& aHealth, bool aSucceeded);

// Returns true if the replica at aIndex should be ejected, because it is an outlier among aShard by
// failure rate or latency, or because its last attempt on probation failed. At most a third of the
// replicas are ejected at a time, and never the last usable one.
bool
ShouldEject(std::span<const HealthView> aShard, std::size_t aIndex);

// Ejects the replica, for 1 s at first. The time doubles up to 30 s while the replica keeps failing
// after its return.
void
Eject(Health& aHealth, TimePoint aNow);

// Ends an ejection or slow start whose time has passed at aNow.
void
RefreshHealth(Health& aHealth, TimePoint aNow);

void
BeginSlowStart(Health& aHealth, TimePoint aNow);

// Returns the fraction of its slots that a replica may use, above 0 and at most 1. It grows
// linearly during a slow start.
double
SlowStartShare(const Health& aHealth, TimePoint aNow);

} // namespace apricotyard

#endif
