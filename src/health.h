// Health of a replica, judged by the outcomes of its sub-requests only. Pure; not thread-safe.
#ifndef APRICOTYARD_HEALTH_H
#define APRICOTYARD_HEALTH_H

#include "types.h"

#include <span>

namespace apricotyard {

struct Health
{
  // Exponentially weighted share of failures.
  double mErrorRate = 0;
  std::uint32_t mOutcomes = 0;
  std::uint32_t mFailuresInARow = 0;
  bool mEjected = false;
  TimePoint mEjectedUntil;
  Duration mNextEjection = std::chrono::seconds(1);
  // Set while the replica has returned from an ejection and has not proved itself.
  bool mOnProbation = false;
  std::uint32_t mSuccessesOnProbation = 0;
  bool mWarming = false;
  TimePoint mWarmingSince;
};

// What the judgement compares: one entry per replica of the shard.
struct HealthView
{
  const Health* mHealth = nullptr;
  double mMeanLatencyUs = 0;
  std::uint32_t mLatencySamples = 0;
};

void
RecordHealth(Health& aHealth, bool aSucceeded);

// True if the replica at aIndex is an outlier among aShard by error rate or latency, and ejecting
// it keeps to the limits: at most a third of the replicas, never the last one.
bool
ShouldEject(std::span<const HealthView> aShard, std::size_t aIndex);

// Ejects for 1 s at first, doubling to 30 s while the replica keeps failing after its returns.
void
Eject(Health& aHealth, TimePoint aNow);

// Ends an ejection or a slow start that is over at aNow.
void
RefreshHealth(Health& aHealth, TimePoint aNow);

// Begins the slow start of a replica that starts cold.
void
BeginSlowStart(Health& aHealth, TimePoint aNow);

// The share of its slots that a replica may use, above 0 and at most 1.
double
WarmShare(const Health& aHealth, TimePoint aNow);

} // namespace apricotyard

#endif
