// A ReplicatedLog with a single member, for tests. Commands are appended to one file and synced
// before they are applied. Commands proposed in the same loop iteration share one sync.
#ifndef APRICOTYARD_LOCAL_LOG_H
#define APRICOTYARD_LOCAL_LOG_H

#include "loop.h"
#include "replicated_log.h"

#include <memory>

namespace apricotyard {

// Reads aFolder/commands, applies its commands and truncates an incomplete record at its end. If
// aFolder is empty, the log is kept in memory only. Fails with Internal if the file cannot be
// opened or repaired.
Expected<std::unique_ptr<ReplicatedLog>>
OpenLocalLog(Loop& aLoop, const std::string& aFolder, LogMember aSelf, StateMachine aMachine);

} // namespace apricotyard

#endif
