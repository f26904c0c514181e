// Decaying latency estimates: quantiles per shard or route and a mean per replica.
//
// Free functions over plain structs; not thread-safe. Decay uses only exact halving and IEEE
// arithmetic, so that equal inputs give equal estimates on every machine.
#ifndef APRICOTYARD_LATENCY_H
#define APRICOTYARD_LATENCY_H

#include "types.h"

#include <array>
#include <optional>

namespace apricotyard {

// Log-linear buckets as in HdrHistogram: 8 us wide below 64 us, then eight per power of two up to
// about 16 s. This gives quantiles to within 8 us or 12.5%, whichever is larger.
inline constexpr std::size_t kLatencyBuckets = 152;

struct LatencyHistogram
{
  std::array<float, kLatencyBuckets> mWeights{};
  double mTotal = 0;
  double mSumUs = 0;
  TimePoint mDecayedAt;
};

// Adds a sample. All earlier weights are halved once per half-life (5 s).
void
RecordLatency(LatencyHistogram& aHistogram, Duration aLatency, TimePoint aNow);

// Latency below which the fraction aQuantile of the samples lies. Empty while the total weight of
// the samples is too small for an estimate.
std::optional<Duration>
LatencyQuantile(const LatencyHistogram& aHistogram, double aQuantile);

// The mean in microseconds; 0 without samples.
double
LatencyMeanUs(const LatencyHistogram& aHistogram);

// Exponentially weighted mean latency of one replica.
struct ReplicaLatency
{
  double mMeanUs = 0;
  std::uint32_t mSamples = 0;
  TimePoint mLastSampleAt;
};

void
RecordReplicaLatency(ReplicaLatency& aEstimate, Duration aLatency, TimePoint aNow);

// Records an attempt that was cancelled after aRan, so that its latency is unknown but at least
// that long. The sample is a multiple of aRan and has more weight than a reply, because otherwise
// the estimate of a slow replica whose attempts are hedged would barely exceed the hedge delay.
void
RecordCancelledAttempt(ReplicaLatency& aEstimate, Duration aRan, TimePoint aNow);

// Expected latency in microseconds. While there are no new samples, the difference from the shard's
// mean halves every 5 s, so that a formerly slow replica is tried again. If it halved every second,
// slow replicas would be tried so often that they determine the 99th percentile. Without samples of
// the replica the result is the shard's mean. If aShardMeanUs is 0, 1 ms is used as the mean.
double
ExpectedLatencyUs(const ReplicaLatency& aEstimate, double aShardMeanUs, TimePoint aNow);

} // namespace apricotyard

#endif
