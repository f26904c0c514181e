#include "evacuation_metrics.h"

#include <fmt/format.h>

namespace apricotyard {

namespace {

std::string
EscapeLabel(const std::string& aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

} // namespace

EvacuationGauges::EvacuationGauges(MetricsRegistry& aRegistry)
  : mRegistry(aRegistry)
  , mCount(aRegistry.AddGauge("apricot_evacuated_data_centres", "Data centres that are evacuated."))
{
}

void
EvacuationGauges::Update(const std::set<std::string>& aEvacuated)
{
  mCount.Set(static_cast<double>(aEvacuated.size()));
  for (const std::string& dataCentre : aEvacuated) {
    Gauge*& gauge = mGauges[dataCentre];
    if (gauge == nullptr) {
      gauge = &mRegistry.AddGauge("apricot_evacuated",
                                  "1 for each data centre that is evacuated.",
                                  fmt::format(R"(data_centre="{}")", EscapeLabel(dataCentre)));
    }
  }
  for (const auto& [dataCentre, gauge] : mGauges) {
    gauge->Set(aEvacuated.contains(dataCentre) ? 1 : 0);
  }
}

} // namespace apricotyard
