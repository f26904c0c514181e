// Serves the page of a process's metrics.
#ifndef APRICOTYARD_METRICS_PAGE_H
#define APRICOTYARD_METRICS_PAGE_H

#include "http_server.h"
#include "metrics.h"

namespace apricotyard {

// aUpdate runs on the loop before each page, to set gauges. A port of 0 gives a null server. Fails
// with Internal if the address cannot be bound. Precondition: aRegistry outlives the server.
Expected<std::unique_ptr<HttpServer>>
ServeMetrics(Loop& aLoop,
             const SocketAddress& aAddress,
             MetricsRegistry& aRegistry,
             std::function<void()> aUpdate);

} // namespace apricotyard

#endif
