// The routing document: which requests go to which services. Pure; not thread-safe, but a finished
// table may be read by any thread.
#ifndef APRICOTYARD_ROUTING_H
#define APRICOTYARD_ROUTING_H

#include "types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

using DocumentVersion = std::uint64_t;

struct WeightedService
{
  std::string mService;
  double mWeight = 1;
};

// Where the requests of a route go.
enum class RouteTarget : std::uint8_t
{
  // One replica of one service, chosen by the weights of mServices.
  OneService,
  // One replica of every service in mServices; the answers are merged.
  AllShards,
};

struct Route
{
  std::string mName;
  // Lower case.
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  // False if a request may run at most once.
  bool mRepeatable = true;
  // The longest time that a request may be kept waiting.
  Duration mTimeout{};
  // An answer within this time is worth most to the caller.
  Duration mObjective{};
  // 0 is the most urgent.
  std::uint32_t mRank = 0;
  // Replicas of one service that may run the same request.
  std::uint32_t mMaxAttempts = 1;
  RouteTarget mTarget = RouteTarget::OneService;
  std::vector<WeightedService> mServices;
  // AllShards: records in a merged answer, and the smallest share of the shards in one.
  std::size_t mTopRecords = 0;
  double mMinCoverage = 0;
};

struct RoutedService
{
  std::string mName;
  // Connections that one replica accepts from all hosts together.
  std::uint32_t mMaxConnections = 0;
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
  CallerLimits mLimits;
};

// Fails with InvalidDocument if a route names an unknown service or none, two routes share host and
// prefix, the weights of a route add up to 0, a timeout is 0 or a prefix lacks a slash at an end.
Expected<void>
CheckRouting(const RoutingDocument& aDocument);

// A checked document with an index for look-ups.
class RoutingTable
{
public:
  // Precondition: CheckRouting accepted aDocument.
  explicit RoutingTable(RoutingDocument aDocument);

  DocumentVersion Version() const { return mDocument.mVersion; }
  const RoutingDocument& Document() const { return mDocument; }
  // The route with the longest prefix of aPath among those of aHost; a port in aHost is ignored.
  // Null if there is none. The route lives as long as the table.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  // Null for a service that the document does not name.
  const RoutedService* FindService(std::string_view aName) const;

private:
  RoutingDocument mDocument;
  // Positions in mRoutes by host and prefix.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> mByHost;
  std::map<std::string, std::size_t, std::less<>> mServices;
};

} // namespace apricotyard

#endif
