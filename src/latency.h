// Latency estimates with decay: quantiles per shard and a mean per replica.
//
// Pure functions over plain structs; not thread-safe. They use only exact halving and IEEE
// arithmetic, so equal inputs give equal estimates on every machine.
#ifndef APRICOTYARD_LATENCY_H
#define APRICOTYARD_LATENCY_H

#include "types.h"

#include <array>
#include <optional>

namespace apricotyard {

// Log-linear buckets in the manner of HdrHistogram: eight per power of two, so a quantile is exact
// to 12.5%, from 8 us up to about 16 s.
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

// The latency below which the fraction aQuantile of the samples lies; nothing while the weight of
// the samples is too small for an estimate.
std::optional<Duration>
LatencyQuantile(const LatencyHistogram& aHistogram, double aQuantile);

// The mean in microseconds; 0 without samples.
double
LatencyMeanUs(const LatencyHistogram& aHistogram);

// Exponentially weighted mean of one replica.
struct ReplicaLatency
{
  double mMeanUs = 0;
  std::uint32_t mSamples = 0;
  TimePoint mLast;
};

void
RecordReplicaLatency(ReplicaLatency& aEstimate, Duration aLatency, TimePoint aNow);

// An attempt was cancelled after aRan, so its latency is unknown but at least that long. Counts
// more than a reply: otherwise a straggler whose attempts are hedged would look hardly slower than
// the hedge delay.
void
RecordCancelledAttempt(ReplicaLatency& aEstimate, Duration aRan, TimePoint aNow);

// The expected latency in microseconds. Without samples the difference to the mean of the shard
// halves every 5 s, so that a replica that was slow is asked again. A shorter time costs tail
// latency: with 1 s, stragglers were asked so often that they set the 99th percentile.
double
ExpectedLatencyUs(const ReplicaLatency& aEstimate, double aShardMeanUs, TimePoint aNow);

} // namespace apricotyard

#endif
