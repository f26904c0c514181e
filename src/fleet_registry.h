// What one coordinator knows of upstreams, gateways and other coordinators. Free functions over a
// plain struct; not thread-safe.
#ifndef APRICOTYARD_FLEET_REGISTRY_H
#define APRICOTYARD_FLEET_REGISTRY_H

#include "directory.h"

#include <map>
#include <string>
#include <vector>

namespace apricotyard {

enum class FleetRole : std::uint8_t
{
  Gateway,
  Coordinator,
};

struct FleetHost
{
  std::string mName;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  FleetRole mRole = FleetRole::Gateway;
  std::string mIp;
  // Gateways: where callers connect. Coordinators: where upstreams announce themselves.
  SocketAddress mPublicAddress;
  // Gateways: takes new callers.
  bool mServing = false;
  // Gateways: pause between two calls to the same coordinator.
  Duration mPause{};
};

struct KnownHost
{
  FleetHost mHost;
  // When it last called this host itself.
  TimePoint mHeardAt;
};

// The last time that this coordinator took over what another one knows.
struct Takeover
{
  std::uint64_t mIncarnation = 0;
  TimePoint mAt;
};

struct FleetRegistry
{
  Directory mDirectory;
  // Number of the last change, and of the last change of each upstream's record.
  std::uint64_t mCursor = 0;
  std::map<std::string, std::uint64_t> mChangedAt;
  // By IP address.
  std::map<std::string, KnownHost> mHosts;
  std::map<std::string, Takeover> mTakeovers;
};

// A gateway that has not called for so many of its pauses, and for the shortest time, is not named
// to callers. Two calls may be lost.
inline constexpr int kGatewayPauses = 3;
inline constexpr Duration kGatewayFresh = std::chrono::milliseconds(1200);

// Applies an announcement that an upstream sent to this coordinator.
AnnounceOutcome
RegisterUpstream(FleetRegistry& aRegistry, const UpstreamInfo& aInfo, TimePoint aNow);

// Records that an upstream is gone; a late announcement of the same incarnation does not revive it.
// aIncarnation is 0 if the upstream did not tell it. Returns false if the upstream is unknown here
// or runs again as a later incarnation.
bool
RemoveUpstream(FleetRegistry& aRegistry,
               const std::string& aId,
               std::uint64_t aIncarnation,
               TimePoint aNow);

// Records a call of another host.
void
HearHost(FleetRegistry& aRegistry, const FleetHost& aHost, TimePoint aNow);

// Ends leases. Call at least twice a second.
void
ExpireRegistry(FleetRegistry& aRegistry, TimePoint aNow);

// True while the gateway counts as running.
bool
IsFresh(const KnownHost& aHost, TimePoint aNow);

// Applies a record of another coordinator.
void
TakeOverRecord(FleetRegistry& aRegistry,
               const DirectoryRecord& aRecord,
               Duration aIdle,
               TimePoint aNow);

enum class RecordScope : std::uint8_t
{
  // Those that this coordinator received itself.
  Own,
  // Those of every coordinator.
  All,
};

// The records that changed after aCursor.
std::vector<const DirectoryRecord*>
ChangedSince(const FleetRegistry& aRegistry, std::uint64_t aCursor, RecordScope aScope);

// The gateways that take callers, those of aDataCentre first.
std::vector<const FleetHost*>
ServingGateways(const FleetRegistry& aRegistry, const std::string& aDataCentre, TimePoint aNow);

} // namespace apricotyard

#endif
