// The routing document, which maps requests to services, and its look-up table. A constructed table
// is immutable and may be read by any thread.
#ifndef APRICOTYARD_ROUTING_H
#define APRICOTYARD_ROUTING_H

#include "types.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

using DocumentVersion = std::uint64_t;

// SHA-256 of a caller's key. Documents in memory hold no keys.
using KeyDigest = std::array<unsigned char, 32>;

// A customer of the deployment, whose callers share a priority and a quota.
struct Workspace
{
  std::string mName;
  std::vector<KeyDigest> mKeys;
  // Goes before the priority of the route. 0 is the most urgent.
  std::optional<std::uint32_t> mPriority;
  // Requests per second over all gateways, and how many may exceed it at once. A rate of 0 means no
  // limit.
  double mRate = 0;
  double mBurst = 0;
};

struct WeightedService
{
  std::string mService;
  double mWeight = 1;
};

// Where the requests of a route go.
enum class RouteTarget : std::uint8_t
{
  // One replica of one service, drawn from mServices by weight.
  OneService,
  // One replica of every service in mServices. The replies are merged.
  AllShards,
};

struct Route
{
  std::string mName;
  // Lower case.
  std::string mHost;
  // Starts and ends with a slash.
  std::string mPathPrefix;
  // False if a request may run at most once.
  bool mRepeatable = true;
  // Time limit of a request.
  Duration mTimeout{};
  // Target latency. Later responses are worth less to the caller.
  Duration mObjective{};
  // 0 is the most urgent.
  std::uint32_t mPriority = 0;
  // Whether requests need no key.
  bool mPublic = false;
  // Most replicas of one service that may run the same request.
  std::uint32_t mMaxAttempts = 1;
  RouteTarget mTarget = RouteTarget::OneService;
  std::vector<WeightedService> mServices;
  // AllShards only: number of records in a merged response, and the smallest share of the shards
  // that it must cover.
  std::size_t mTopRecords = 0;
  double mMinCoverage = 0;
};

struct RoutedService
{
  std::string mName;
  // Most connections that one replica accepts from all hosts together.
  std::uint32_t mMaxConnections = 0;
  // Requests per second that a replica takes over all gateways while it warms up; 0 means no limit.
  double mWarmupRate = 0;
};

struct CallerLimits
{
  std::size_t mMaxHeader = 0;
  std::size_t mMaxBody = 0;
  Duration mHeaderTimeout{};
  Duration mIdleTimeout{};
};

struct RoutingDocument
{
  DocumentVersion mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<RoutedService> mServices;
  // Empty if requests need no key.
  std::vector<Workspace> mWorkspaces;
  CallerLimits mLimits;
};

// Fails with InvalidDocument if a route names an unknown service or none, two routes share host and
// prefix, a weight is negative, the weights of a route add up to 0, a timeout is not positive, a
// prefix does not start and end with a slash, or two workspaces share a key or a name.
Expected<void>
CheckRouting(const RoutingDocument& aDocument);

// A validated document with an index for look-ups.
class RoutingTable
{
public:
  // Precondition: CheckRouting accepted aDocument.
  explicit RoutingTable(RoutingDocument aDocument);

  DocumentVersion Version() const { return mDocument.mVersion; }
  const RoutingDocument& Document() const { return mDocument; }
  // Returns the route of aHost with the longest prefix of aPath, or null if there is none. Ignores
  // the case of aHost and a port in it. The route is valid as long as the table.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  // Returns null if the document has no such service.
  const RoutedService* FindService(std::string_view aName) const;
  // Returns null if no workspace has the key. The workspace is valid as long as the table.
  const Workspace* FindWorkspace(const KeyDigest& aKey) const;

private:
  RoutingDocument mDocument;
  // Indices into the routes of the document by lower-case host and prefix.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> mRoutesByHost;
  // Indices into the services of the document by name.
  std::map<std::string, std::size_t, std::less<>> mServicesByName;
  // Indices into the workspaces of the document by key.
  std::map<KeyDigest, std::size_t> mWorkspacesByKey;
};

} // namespace apricotyard

#endif
