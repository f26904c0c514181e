// Reports suspensions of the machine in the log.
#ifndef APRICOTYARD_SUSPENSION_H
#define APRICOTYARD_SUSPENSION_H

#include "loop.h"

namespace apricotyard {

// Logs ProcessSuspended on aLoop after each suspension that lasted at least a tenth of a second.
// Precondition: aLoop has not been started, or the call is made on its thread.
void
ReportSuspensions(Loop& aLoop);

} // namespace apricotyard

#endif
