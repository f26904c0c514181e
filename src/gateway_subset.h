// Chooses the gateways that callers are sent to. Pure functions over a plain struct; not
// thread-safe.
//
// Answers low load on many gateways: hundreds of them, each with a small part of the requests. A
// gateway needs an open connection to a replica of every shard, and has to see enough requests to
// notice slow replicas and to earn extra sends. The more gateways take requests, the fewer
// connections, observations and extra sends each of them has. Only as many as the load requires are
// therefore active. The others stand by without connections and replace active ones that fail.
//
// Every coordinator decides by itself. Gateways are ordered by their address and active ones are
// taken from the front, so that coordinators with the same view make the same choice, and a failure
// replaces one gateway only (deterministic subsetting).
#ifndef APRICOTYARD_GATEWAY_SUBSET_H
#define APRICOTYARD_GATEWAY_SUBSET_H

#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace apricotyard {

// Share of its processor time that an active gateway should use for requests. Requests to all
// shards occupy a small host for tens of milliseconds; at this share few of them wait for another,
// and the loss of half of the gateways or a burst leaves the others below a third.
inline constexpr double kTargetGatewayLoad = 0.1;
// Active gateways of a data centre, if it has as many. A gateway that fails then takes at most a
// quarter of its callers with it.
inline constexpr std::size_t kMinActiveGateways = 4;
// Share of the gateways that are active before their load is known, after a start of all hosts.
inline constexpr double kInitialActiveShare = 0.25;
// Time after the start of a coordinator until it has heard of all gateways and their loads.
inline constexpr Duration kLearningTime = std::chrono::seconds(3);
// Half-life of the highest load. The subset grows at once and shrinks slowly.
inline constexpr Duration kLoadPeakHalfLife = std::chrono::seconds(30);
// Time that a gateway needs to open its connections after it has become active.
inline constexpr Duration kActivationTime = std::chrono::seconds(1);
// Most gateways that are named to one caller.
inline constexpr std::size_t kMaxNamedGateways = 64;

// A gateway that accepts callers and was heard from recently.
struct GatewayCandidate
{
  std::string mIp;
  std::string mDataCentre;
  // Share of its processor time that its requests take, from 0 to about 1.
  double mLoad = 0;
  // It has been active for kActivationTime, according to any coordinator.
  bool mReady = false;
};

// Highest sum of the gateways' loads in a data centre, as of mAt.
struct LoadPeak
{
  double mLoad = 0;
  TimePoint mAt;
};

struct GatewaySubset
{
  // IP addresses of the active gateways.
  std::set<std::string> mActive;
  // By data centre.
  std::map<std::string, LoadPeak> mPeaks;
  // Data centres with few or no replicas. Their callers are sent to other ones.
  std::set<std::string> mWithoutReplicas;
  // Until then, the choice does not fall below kInitialActiveShare or the gateways that are ready.
  std::optional<TimePoint> mLearningUntil;
};

// Updates the choice. aReplicas is the number of ready replicas of each data centre. The gateways
// of a data centre with less than half as many replicas as another one stay inactive: a request to
// all shards crosses to another data centre once between caller and gateway, and not once a shard
// between gateway and replicas.
void
UpdateGatewaySubset(GatewaySubset& aSubset,
                    std::span<const GatewayCandidate> aCandidates,
                    const std::map<std::string, std::size_t>& aReplicas,
                    TimePoint aNow);

// Numbers of active gateways by data centre.
using ActiveCounts = std::map<std::string, std::size_t>;

ActiveCounts
CountActive(const GatewaySubset& aSubset, std::span<const GatewayCandidate> aCandidates);

// Sums the numbers of all data centres. A coordinator hears most of the gateways of its own data
// centre and few of the others, so the largest number that a coordinator knows counts for each.
std::size_t
SumActive(std::span<const ActiveCounts> aCountsOfCoordinators);

bool
IsActive(const GatewaySubset& aSubset, const std::string& aIp);

// Returns the IP addresses to name to a caller, at most kMaxNamedGateways: the active gateways of
// its data centre or, if it has none, of the others. Active gateways that are not ready yet are
// named only if no other is, and the others only if none is active. Precondition: aCandidates are
// those that accept callers now.
std::vector<std::string>
GatewaysForCaller(const GatewaySubset& aSubset,
                  std::span<const GatewayCandidate> aCandidates,
                  const std::string& aDataCentre);

} // namespace apricotyard

#endif
