// HTTP endpoint that serves the metrics of a process at /metrics.
#ifndef APRICOTYARD_METRICS_PAGE_H
#define APRICOTYARD_METRICS_PAGE_H

#include "http_server.h"
#include "metrics.h"

namespace apricotyard {

// Calls aUpdate on the loop's thread before each response, so that it can set gauges. Returns a
// null server if the port is 0. Fails with Internal if the address cannot be bound. Precondition:
// aRegistry outlives the server.
Expected<std::unique_ptr<HttpServer>>
ServeMetrics(Loop& aLoop,
             const SocketAddress& aAddress,
             MetricsRegistry& aRegistry,
             std::function<void()> aUpdate);

} // namespace apricotyard

#endif
