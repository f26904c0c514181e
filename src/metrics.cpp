#include "metrics.h"

#include <algorithm>
#include <array>
#include <map>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace apricotyard {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kProbabilities{ 0.5, 0.9, 0.99, 0.999 };

using AccumulatorSet =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

double
Seconds(Duration aValue)
{
  return std::chrono::duration<double>(aValue).count();
}

std::string
FormatSample(const std::string& aName, const std::string& aLabels, std::string_view aValue)
{
  if (aLabels.empty()) {
    return fmt::format("{} {}\n", aName, aValue);
  }
  return fmt::format("{}{{{}}} {}\n", aName, aLabels, aValue);
}

} // namespace

struct Distribution::Accumulators
{
  AccumulatorSet mSet{ acc::extended_p_square_probabilities = kProbabilities };
};

Distribution::Distribution()
  : mAccumulators(std::make_unique<Accumulators>())
{
}

Distribution::~Distribution() = default;

void
Distribution::Record(Duration aValue)
{
  absl::MutexLock lock(&mMutex);
  mAccumulators->mSet(static_cast<double>(aValue.count()));
}

std::uint64_t
Distribution::Count() const
{
  absl::MutexLock lock(&mMutex);
  return acc::count(mAccumulators->mSet);
}

Duration
Distribution::Sum() const
{
  absl::MutexLock lock(&mMutex);
  return Duration(static_cast<Duration::rep>(acc::sum(mAccumulators->mSet)));
}

Duration
Distribution::Quantile(double aProbability) const
{
  absl::MutexLock lock(&mMutex);
  if (acc::count(mAccumulators->mSet) == 0) {
    return Duration::zero();
  }
  const auto* const position =
    std::find(kProbabilities.begin(), kProbabilities.end(), aProbability);
  const auto index = static_cast<std::size_t>(position - kProbabilities.begin());
  return Duration(static_cast<Duration::rep>(acc::extended_p_square(mAccumulators->mSet)[index]));
}

MetricsRegistry::Entry&
MetricsRegistry::Add(std::string aName, std::string aHelp, std::string aLabels)
{
  absl::MutexLock lock(&mMutex);
  mEntries.push_back({ std::move(aName), std::move(aHelp), std::move(aLabels), {}, {}, {} });
  return mEntries.back();
}

Counter&
MetricsRegistry::AddCounter(std::string aName, std::string aHelp, std::string aLabels)
{
  Entry& entry = Add(std::move(aName), std::move(aHelp), std::move(aLabels));
  absl::MutexLock lock(&mMutex);
  entry.mCounter = std::make_unique<Counter>();
  return *entry.mCounter;
}

Gauge&
MetricsRegistry::AddGauge(std::string aName, std::string aHelp, std::string aLabels)
{
  Entry& entry = Add(std::move(aName), std::move(aHelp), std::move(aLabels));
  absl::MutexLock lock(&mMutex);
  entry.mGauge = std::make_unique<Gauge>();
  return *entry.mGauge;
}

Distribution&
MetricsRegistry::AddDistribution(std::string aName, std::string aHelp, std::string aLabels)
{
  Entry& entry = Add(std::move(aName), std::move(aHelp), std::move(aLabels));
  absl::MutexLock lock(&mMutex);
  entry.mDistribution = std::make_unique<Distribution>();
  return *entry.mDistribution;
}

std::string
MetricsRegistry::Text() const
{
  absl::MutexLock lock(&mMutex);
  // The format requires all samples of a metric to be contiguous, below one HELP and one TYPE line.
  std::map<std::string, std::string> families;
  for (const Entry& entry : mEntries) {
    std::string& family = families[entry.mName];
    const char* const type = entry.mCounter ? "counter" : entry.mGauge ? "gauge" : "summary";
    if (family.empty()) {
      family = fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", entry.mName, entry.mHelp, type);
    }
    if (entry.mCounter) {
      family +=
        FormatSample(entry.mName, entry.mLabels, fmt::format("{}", entry.mCounter->Value()));
    } else if (entry.mGauge) {
      family += FormatSample(entry.mName, entry.mLabels, fmt::format("{}", entry.mGauge->Value()));
    } else if (entry.mDistribution) {
      const Distribution& distribution = *entry.mDistribution;
      const std::string separator = entry.mLabels.empty() ? "" : ",";
      for (const double probability : kProbabilities) {
        family +=
          FormatSample(entry.mName,
                       fmt::format("{}{}quantile=\"{}\"", entry.mLabels, separator, probability),
                       fmt::format("{}", Seconds(distribution.Quantile(probability))));
      }
      family += FormatSample(
        entry.mName + "_sum", entry.mLabels, fmt::format("{}", Seconds(distribution.Sum())));
      family += FormatSample(
        entry.mName + "_count", entry.mLabels, fmt::format("{}", distribution.Count()));
    }
  }
  std::string text;
  for (const auto& [name, family] : families) {
    text += family;
  }
  return text;
}

} // namespace apricotyard
