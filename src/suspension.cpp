#include "suspension.h"

#include "log.h"

#include <memory>

namespace apricotyard {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
// The two clocks are read one after the other, and the process may lose the processor in between.
constexpr Duration kMinSuspension = std::chrono::milliseconds(100);

// Returns how far the boot clock is ahead of the clock that stops during a suspension.
Duration
SuspendedTime()
{
  const auto running = std::chrono::steady_clock::now().time_since_epoch();
  return SteadyNow().time_since_epoch() - std::chrono::duration_cast<Duration>(running);
}

} // namespace

void
ReportSuspensions(Loop& aLoop)
{
  aLoop.AddPeriodic(kCheckInterval, [before = std::make_shared<Duration>(SuspendedTime())] {
    const Duration now = SuspendedTime();
    if (now - *before >= kMinSuspension) {
      LogEvent(Event::ProcessSuspended,
               { { "suspended_ms", (now - *before) / std::chrono::milliseconds(1) } });
      *before = now;
    }
  });
}

} // namespace apricotyard
