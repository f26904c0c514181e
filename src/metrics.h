// Counters, gauges and distributions, exported in the Prometheus text format.
#ifndef APRICOTYARD_METRICS_H
#define APRICOTYARD_METRICS_H

#include "types.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <absl/synchronization/mutex.h>

namespace apricotyard {

// A value that only increases. Thread-safe.
class Counter
{
public:
  void Add(std::uint64_t aAmount = 1) { mValue.fetch_add(aAmount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

// A value that can increase and decrease. Thread-safe.
class Gauge
{
public:
  void Set(double aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  double Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<double> mValue{ 0 };
};

// Count, sum and estimated quantiles of durations, computed by Boost.Accumulators. Thread-safe.
class Distribution
{
public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;

  void Record(Duration aValue);
  std::uint64_t Count() const;
  Duration Sum() const;
  // Returns an estimated quantile, or zero before the first value. Precondition: aProbability is
  // 0.5, 0.9, 0.99 or 0.999.
  Duration Quantile(double aProbability) const;

private:
  struct Accumulators;
  mutable absl::Mutex mMutex;
  std::unique_ptr<Accumulators> mAccumulators;
};

// Owns the metrics of a process. The references it returns are valid for its lifetime. Thread-safe.
class MetricsRegistry
{
public:
  // aName follows the Prometheus naming rules and ends in its unit. aLabels is empty or has the
  // form key="value",key="value".
  Counter& AddCounter(std::string aName, std::string aHelp, std::string aLabels = {});
  Gauge& AddGauge(std::string aName, std::string aHelp, std::string aLabels = {});
  Distribution& AddDistribution(std::string aName, std::string aHelp, std::string aLabels = {});

  // Returns all metrics in the Prometheus text format. Durations are printed in seconds.
  std::string Text() const;

private:
  struct Entry
  {
    std::string mName;
    std::string mHelp;
    std::string mLabels;
    std::unique_ptr<Counter> mCounter;
    std::unique_ptr<Gauge> mGauge;
    std::unique_ptr<Distribution> mDistribution;
  };

  Entry& Add(std::string aName, std::string aHelp, std::string aLabels);

  mutable absl::Mutex mMutex;
  std::deque<Entry> mEntries;
};

} // namespace apricotyard

#endif
