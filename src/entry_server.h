// The entry host server: connects the query engine to HTTP, the upstreams and control.
#ifndef APRICOTYARD_ENTRY_SERVER_H
#define APRICOTYARD_ENTRY_SERVER_H

#include "entry_settings.h"

namespace apricotyard {

// Runs until SIGTERM or SIGINT, then stops gracefully. Returns the exit code of the program.
int
RunEntry(const EntrySettings& aSettings);

} // namespace apricotyard

#endif
