// The administration API: HTTP with JSON under /v1/admin. docs/administration.md lists its calls.
#ifndef APRICOTYARD_ADMIN_H
#define APRICOTYARD_ADMIN_H

#include "control_core.h"
#include "http_server.h"

namespace apricotyard {

// Largest accepted body: a document of 1 MiB grows when it is escaped as a JSON text.
inline constexpr std::size_t kMaxAdminBody = std::size_t{ 4 } * 1024 * 1024;

// Answers one call. aRespond is called later if the call waits for the log. Only on the thread of
// the loop of aCore, which must outlive the call.
void
HandleAdmin(ControlCore& aCore, const HttpRequest& aRequest, const HttpResponder& aRespond);

} // namespace apricotyard

#endif
