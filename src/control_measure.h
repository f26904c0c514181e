// Measures what the control work of one node costs as a function of the size of the system.
#ifndef APRICOTYARD_CONTROL_MEASURE_H
#define APRICOTYARD_CONTROL_MEASURE_H

#include <string>

namespace apricotyard {

// Measures the directory, the roster and the configuration at several sizes and returns one line
// per measurement and one line per fitted slope. Takes some seconds of one core. Not thread-safe.
std::string
MeasureControl();

} // namespace apricotyard

#endif
