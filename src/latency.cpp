#include "latency.h"

#include <algorithm>
#include <bit>

namespace apricotyard {

namespace {

constexpr Duration kHistogramHalfLife = std::chrono::seconds(5);
constexpr int kMaxHalvings = 16;
constexpr double kMinQuantileWeight = 20;
// Width of the first buckets: 2^3 us.
constexpr unsigned kUnitBits = 3;
constexpr unsigned kSubBucketBits = 3;
constexpr std::uint64_t kSubBuckets = 1U << kSubBucketBits;
constexpr double kMeanSmoothing = 0.2;
constexpr double kCancelledSmoothing = 0.5;
constexpr double kCancelledFactor = 3;
constexpr Duration kReplicaHalfLife = std::chrono::seconds(5);
constexpr double kDefaultLatencyUs = 1000;

std::size_t
BucketOf(Duration aLatency)
{
  const auto units =
    static_cast<std::uint64_t>(std::max<Duration::rep>(0, aLatency.count())) >> kUnitBits;
  if (units < kSubBuckets) {
    return units;
  }
  const auto octave = static_cast<unsigned>(std::bit_width(units)) - kSubBucketBits - 1;
  const std::size_t bucket = (octave + 1) * kSubBuckets + ((units >> octave) - kSubBuckets);
  return std::min(bucket, kLatencyBuckets - 1);
}

// The lower bound of a bucket in microseconds.
double
LowerBoundUs(std::size_t aBucket)
{
  if (aBucket < kSubBuckets) {
    return static_cast<double>(aBucket << kUnitBits);
  }
  const std::size_t octave = aBucket / kSubBuckets - 1;
  return static_cast<double>((kSubBuckets + aBucket % kSubBuckets) << (octave + kUnitBits));
}

void
Decay(LatencyHistogram& aHistogram, TimePoint aNow)
{
  if (aHistogram.mTotal == 0) {
    aHistogram.mDecayedAt = aNow;
    return;
  }
  int halvings = 0;
  for (; aNow - aHistogram.mDecayedAt >= kHistogramHalfLife && halvings < kMaxHalvings;
       ++halvings) {
    aHistogram.mDecayedAt += kHistogramHalfLife;
  }
  if (halvings == 0) {
    return;
  }
  if (halvings == kMaxHalvings) {
    aHistogram = {};
    aHistogram.mDecayedAt = aNow;
    return;
  }
  const double factor = 1.0 / static_cast<double>(1U << static_cast<unsigned>(halvings));
  for (float& weight : aHistogram.mWeights) {
    weight *= static_cast<float>(factor);
  }
  aHistogram.mTotal *= factor;
  aHistogram.mSumUs *= factor;
}

void
AddSample(ReplicaLatency& aEstimate, double aSampleUs, double aSmoothing, TimePoint aNow)
{
  aEstimate.mMeanUs = aEstimate.mSamples == 0
                        ? aSampleUs
                        : aEstimate.mMeanUs + aSmoothing * (aSampleUs - aEstimate.mMeanUs);
  ++aEstimate.mSamples;
  aEstimate.mLastSampleAt = aNow;
}

} // namespace

void
RecordLatency(LatencyHistogram& aHistogram, Duration aLatency, TimePoint aNow)
{
  Decay(aHistogram, aNow);
  aHistogram.mWeights[BucketOf(aLatency)] += 1.0F;
  aHistogram.mTotal += 1.0;
  aHistogram.mSumUs += static_cast<double>(aLatency.count());
}

std::optional<Duration>
LatencyQuantile(const LatencyHistogram& aHistogram, double aQuantile)
{
  if (aHistogram.mTotal < kMinQuantileWeight) {
    return std::nullopt;
  }
  const double target = aHistogram.mTotal * aQuantile;
  double sum = 0;
  std::size_t last = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    const double weight = aHistogram.mWeights[bucket];
    if (weight <= 0) {
      continue;
    }
    last = bucket;
    if (sum + weight >= target) {
      const double low = LowerBoundUs(bucket);
      const double high = LowerBoundUs(bucket + 1);
      return Duration(
        static_cast<Duration::rep>(low + (high - low) * std::max(0.0, target - sum) / weight));
    }
    sum += weight;
  }
  return Duration(static_cast<Duration::rep>(LowerBoundUs(last + 1)));
}

double
LatencyMeanUs(const LatencyHistogram& aHistogram)
{
  return aHistogram.mTotal == 0 ? 0.0 : aHistogram.mSumUs / aHistogram.mTotal;
}

void
RecordReplicaLatency(ReplicaLatency& aEstimate, Duration aLatency, TimePoint aNow)
{
  AddSample(aEstimate, static_cast<double>(aLatency.count()), kMeanSmoothing, aNow);
}

void
RecordCancelledAttempt(ReplicaLatency& aEstimate, Duration aRan, TimePoint aNow)
{
  AddSample(
    aEstimate, kCancelledFactor * static_cast<double>(aRan.count()), kCancelledSmoothing, aNow);
}

double
ExpectedLatencyUs(const ReplicaLatency& aEstimate, double aShardMeanUs, TimePoint aNow)
{
  const double shardMean = aShardMeanUs > 0 ? aShardMeanUs : kDefaultLatencyUs;
  if (aEstimate.mSamples == 0) {
    return shardMean;
  }
  double difference = aEstimate.mMeanUs - shardMean;
  const auto halvings =
    std::min<std::int64_t>((aNow - aEstimate.mLastSampleAt) / kReplicaHalfLife, 30);
  for (std::int64_t halving = 0; halving < halvings; ++halving) {
    difference *= 0.5;
  }
  return shardMean + difference;
}

} // namespace apricotyard
