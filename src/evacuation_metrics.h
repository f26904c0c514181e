// The evacuated data centres as metrics. Call on the loop's thread.
#ifndef APRICOTYARD_EVACUATION_METRICS_H
#define APRICOTYARD_EVACUATION_METRICS_H

#include "metrics.h"

#include <map>
#include <set>
#include <string>

namespace apricotyard {

class EvacuationGauges
{
public:
  // Precondition: aRegistry outlives this object.
  explicit EvacuationGauges(MetricsRegistry& aRegistry);

  // Sets the gauges. Call before the metrics are exported.
  void Update(const std::set<std::string>& aEvacuated);

private:
  MetricsRegistry& mRegistry;
  Gauge& mCount;
  // By data centre. One that is no longer evacuated keeps its gauge with the value 0.
  std::map<std::string, Gauge*> mGauges;
};

} // namespace apricotyard

#endif
