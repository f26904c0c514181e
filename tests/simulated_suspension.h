// Simulates a suspension of the machine for the clocks of this process.
#ifndef APRICOTYARD_SIMULATED_SUSPENSION_H
#define APRICOTYARD_SIMULATED_SUSPENSION_H

#include "types.h"

namespace apricotyard {

// Advances CLOCK_BOOTTIME by aTime for the rest of the process, and leaves CLOCK_MONOTONIC as it
// is. That is how the two clocks differ after a suspension. Thread-safe.
void
SimulateSuspension(Duration aTime);

} // namespace apricotyard

#endif
