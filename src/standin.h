// The stand-in for a shard replica that apricot-upstream runs. It has slots, a configurable service
// time, announcements and drain, and faults that tests switch on and off at run time.
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
  // The identity and capacity to announce. The incarnation and the state are set at start.
  UpstreamInfo mInfo;
  // Hosts that accept announcements. One is used at a time.
  std::vector<SocketAddress> mEntryHosts;
  Duration mServiceTime = std::chrono::milliseconds(2);
  // Maximum number of requests that wait for a slot. Further requests are shed.
  std::int64_t mQueueLimit = 8;
  // Number of documents in a reply.
  std::int64_t mItems = 3;
  // Path of the state chart of an upstream.
  std::string mChart = "charts/upstream.toml";
  LogLevel mLogLevel = LogLevel::Info;
};

// Reads the settings and reports invalid ones to aReader.
void
ReadStandinSettings(SettingsReader& aReader, StandinSettings& aSettings);

// The faults that POST /v1/faults sets. A field that a request omits keeps its value.
struct StandinFaults
{
  // Multiplies the service time.
  std::uint64_t mDelayFactor = 1;
  // Additional delay of the first reply on a connection.
  Duration mConnectCost{};
  // Sub-requests run, but their replies are never sent.
  bool mDropReplies = false;
  // Sub-requests run, but their connections are closed instead of a reply.
  bool mCloseAfterRead = false;
  // The connection is closed in the middle of the reply.
  bool mTruncateReply = false;
  // The reply carries the identifier of another sub-request.
  bool mMismatchedReply = false;
  // The reply exceeds the limit of an entry host.
  bool mOversizedReply = false;
  // The reply carries the next index version.
  bool mWrongVersion = false;
  bool mRefuseConnections = false;
  // Every sub-request is refused because of overload.
  bool mShed = false;
  // GET /v1/health reports a healthy replica in every state.
  bool mMisleadingHealth = false;
  // GET /v1/load reports an idle replica.
  bool mMisleadingLoad = false;
  // The process crashes when it starts to run a query that contains this text. Empty disables this.
  std::string mCrashText;
};

// A decoded request to POST /v1/faults: the faults that now apply, and actions that are taken once.
struct FaultRequest
{
  StandinFaults mFaults;
  // The connections that are open now never deliver data again.
  bool mSilenceConnections = false;
  // The replica starts cold: its service time is longer at first and normal again after this time.
  std::optional<Duration> mColdTime;
  // New values to announce.
  std::optional<std::vector<IndexVersion>> mVersions;
  std::optional<std::uint32_t> mMap;
  std::optional<std::uint32_t> mShard;
  std::optional<KeyRange> mRange;
  // True drains the replica; false ends the drain.
  std::optional<bool> mDrain;
};

// Decodes the body of POST /v1/faults, starting from the faults aCurrent. Fails with BadRequest and
// a message that names the invalid field.
Expected<FaultRequest>
DecodeFaults(std::string_view aBody, const StandinFaults& aCurrent);

// One replica inside an event loop. Call all methods on the loop's thread.
class Standin
{
public:
  // aCrash is called when a query contains StandinFaults::mCrashText. It must end the replica.
  Standin(Loop& aLoop, StandinSettings aSettings, Chart aChart, std::function<void()> aCrash);
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  // Starts to serve and to announce the replica. Fails with Internal if the address cannot be
  // bound.
  Expected<void> Start();
  // Drains the replica. When the drain is over and no request runs or waits, announces that the
  // replica has left and calls aDone.
  void BeginStop(const std::function<void()>& aDone);

private:
  struct State;
  std::shared_ptr<State> mState;
};

// Loads the state chart of an upstream. Fails if its states or events are not the expected ones.
Expected<Chart>
LoadStandinChart(const std::string& aPath);

// Runs the program until SIGTERM or SIGINT, then drains. Returns its exit code.
int
RunStandin(const StandinSettings& aSettings);

} // namespace apricotyard

#endif
