// Measures the cost of control-plane work on one node as the cluster grows.
#ifndef APRICOTYARD_CONTROL_MEASURE_H
#define APRICOTYARD_CONTROL_MEASURE_H

#include <string>

namespace apricotyard {

// Measures the directory, the roster and the configuration at several sizes. Returns one line per
// measurement and one line per fitted slope. Runs for some seconds on one core. Not thread-safe.
std::string
MeasureControl();

} // namespace apricotyard

#endif
