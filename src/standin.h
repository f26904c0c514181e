// The stand-in replica behind apricot-upstream: slots, service time, announcements, drain, and the
// faults that tests switch while it runs.
#ifndef APRICOTYARD_STANDIN_H
#define APRICOTYARD_STANDIN_H

#include "chart.h"
#include "events.h"
#include "settings.h"
#include "standin_http.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

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

// The faults of POST /v1/faults. Fields that a request leaves out keep their value.
struct StandinFaults
{
  // Multiplies the service time.
  std::uint64_t mDelayFactor = 1;
  // Delay before the first reply on a connection.
  Duration mConnectCost{};
  // The run is done, but its reply is never sent.
  bool mDropReplies = false;
  // The connection is closed after the request was read; the run is done.
  bool mCloseAfterRead = false;
  bool mTruncateReply = false;
  // The reply carries the identity of another sub-request.
  bool mCrossedReply = false;
  bool mOversizedReply = false;
  // The reply carries the next index version.
  bool mWrongVersion = false;
  bool mRefuseConnections = false;
  bool mShed = false;
  // GET /v1/health and GET /v1/load pretend an idle, healthy replica.
  bool mMisleadingHealth = false;
  bool mMisleadingLoad = false;
  // The process ends as soon as it starts a query that contains this text; empty for none.
  std::string mCrashOn;
};

// One request to POST /v1/faults: the faults from now on, and the changes that happen once.
struct FaultRequest
{
  StandinFaults mFaults;
  // Connections open at this moment never deliver again.
  bool mSilence = false;
  // The replica is cold from now on for this time.
  std::optional<Duration> mCold;
  std::optional<std::vector<IndexVersion>> mVersions;
  std::optional<std::uint32_t> mMap;
  std::optional<std::uint32_t> mShard;
  std::optional<KeyRange> mRange;
  // True drains the replica, false takes it back into service.
  std::optional<bool> mDrain;
};

// Decodes the body of POST /v1/faults. Fails with BadRequest and a message that names the field.
Expected<FaultRequest>
DecodeFaults(std::string_view aBody, const StandinFaults& aCurrent);

// One replica inside an event loop. All methods only on the loop's thread.
class Standin
{
public:
  // aCrash ends the replica when a marked query asks for it.
  Standin(Loop& aLoop, StandinSettings aSettings, Chart aChart, std::function<void()> aCrash);
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  // Serves and announces itself. Fails with Internal if the address cannot be bound.
  Expected<void> Start();
  // Leaves in an orderly way; aDone is called when nothing is running any longer.
  void BeginStop(const std::function<void()>& aDone);

private:
  struct State;
  std::shared_ptr<State> mState;
};

// Loads the chart of an upstream and checks its names.
Expected<Chart>
LoadStandinChart(const std::string& aPath);

// Serves until SIGTERM or SIGINT, then drains. Returns the exit code of the program.
int
RunStandin(const StandinSettings& aSettings);

} // namespace apricotyard

#endif
