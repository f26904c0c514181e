// The stand-in replica behind apricot-upstream: slots, service time, announcements and drain.
#ifndef APRICOTYARD_STANDIN_H
#define APRICOTYARD_STANDIN_H

#include "events.h"
#include "settings.h"

namespace apricotyard {

struct StandinSettings
{
  // Identity and capacity as announced; the incarnation is set at start.
  UpstreamInfo mInfo;
  std::vector<SocketAddress> mEntries;
  Duration mServiceTime = std::chrono::milliseconds(2);
  // Requests that wait for a slot; further ones are shed.
  std::int64_t mQueueLimit = 8;
  std::int64_t mItems = 3;
  // Path of the chart that governs the states of an upstream.
  std::string mChart = "charts/upstream.toml";
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadStandinSettings(SettingsReader& aReader, StandinSettings& aSettings);

// Serves until SIGTERM or SIGINT, then drains. Returns the exit code of the program.
int
RunStandin(const StandinSettings& aSettings);

} // namespace apricotyard

#endif
