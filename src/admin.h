// The administration API: JSON over HTTP below /v1/admin. The calls are listed in
// docs/administration.md.
#ifndef APRICOTYARD_ADMIN_H
#define APRICOTYARD_ADMIN_H

#include "control_core.h"
#include "http_server.h"

namespace apricotyard {

// Largest accepted request body, in bytes. A configuration document may have 1 MiB, and escaping
// it as a JSON string makes it larger.
inline constexpr std::size_t kMaxAdminBodyBytes = std::size_t{ 4 } * 1024 * 1024;

// Handles one request and responds, also with errors, through aRespond. The response follows after
// this function returns if the call waits for the replicated log. Must be called on the thread of
// the event loop of aCore, which must outlive the request.
void
HandleAdminRequest(ControlCore& aCore, const HttpRequest& aRequest, const HttpResponder& aRespond);

} // namespace apricotyard

#endif
