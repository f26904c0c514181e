// A ReplicatedLog with a single member: commands are appended to one file and synced before they
// are applied. Several commands that wait at the same time share one sync.
#ifndef APRICOTYARD_LOCAL_LOG_H
#define APRICOTYARD_LOCAL_LOG_H

#include "loop.h"
#include "replicated_log.h"

#include <memory>

namespace apricotyard {

// Reads aFolder/commands, applies what it holds and truncates a torn record at its end. An empty
// aFolder keeps everything in memory. Fails with Internal if the file cannot be read or written.
Expected<std::unique_ptr<ReplicatedLog>>
OpenLocalLog(Loop& aLoop, const std::string& aFolder, LogMember aSelf, StateMachine aMachine);

} // namespace apricotyard

#endif
