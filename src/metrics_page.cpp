#include "metrics_page.h"

#include "log.h"

namespace apricotyard {

Expected<std::unique_ptr<HttpServer>>
ServeMetrics(Loop& aLoop,
             const SocketAddress& aAddress,
             MetricsRegistry& aRegistry,
             std::function<void()> aUpdate)
{
  if (aAddress.mPort == 0) {
    return std::unique_ptr<HttpServer>();
  }
  Gauge& lostLines =
    aRegistry.AddGauge("apricot_lost_log_lines", "Log lines dropped since the start.");
  return HttpServer::Builder(aLoop, aAddress)
    .OnRequest([&aRegistry, &lostLines, update = std::move(aUpdate)](
                 const HttpRequest& aRequest, const HttpResponder& aRespond) {
      if (aRequest.mPath != "/metrics") {
        aRespond(ErrorResponse(Result::NotFound, "no such path"));
        return;
      }
      update();
      lostLines.Set(static_cast<double>(LostLogLines()));
      aRespond({ 200, aRegistry.Text(), "text/plain; version=0.0.4" });
    })
    .Start();
}

} // namespace apricotyard
