// Decides how large a request of a caller may be.
//
// Inputs: the limits of the routing document and what the gateway knows of the request.
// Rule: a limit that the document gives is applied as it is, up to the largest that a gateway can
// hold; one that it leaves out has the default of HttpLimits. A request that another gateway passed
// on may be larger than it was for the caller, by what that gateway adds.
// Limits: none on the number of headers, cookies or arguments.
#ifndef APRICOTYARD_CALLER_LIMITS_H
#define APRICOTYARD_CALLER_LIMITS_H

#include "http_server.h"
#include "routing.h"

namespace apricotyard {

// Returns what a caller may send. Thread-safe.
HttpLimits
LimitsForCallers(const CallerLimits& aLimits);

// Returns what a gateway must accept on a connection: the requests of callers and those that other
// gateways pass on. Thread-safe.
HttpLimits
LimitsForConnections(const CallerLimits& aLimits);

// Whether a request within LimitsForConnections may be served. Thread-safe.
bool
IsWithinLimits(const HttpRequest& aRequest, const CallerLimits& aLimits, bool aWasPassedOn);

} // namespace apricotyard

#endif
