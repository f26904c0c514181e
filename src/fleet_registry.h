// Registry of upstreams, gateways and other coordinators on one coordinator. Free functions over a
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

// Description of a gateway or coordinator.
struct FleetHost
{
  std::string mName;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  FleetRole mRole = FleetRole::Gateway;
  std::string mIp;
  // Gateways: where callers connect. Coordinators: where upstreams announce themselves.
  SocketAddress mPublicAddress;
  // Gateways: whether it accepts new callers. Coordinators: false once it stops.
  bool mServing = false;
  // Gateways: the longest pause until the next call to this coordinator.
  Duration mPause{};
  // Gateways: see GatewayCandidate.
  double mLoad = 0;
  bool mReady = false;
  // Gateways: no replica can be reached from it, or not for long.
  bool mAvoidCallers = false;
  // Gateways: it stops, and neither holds nor takes a share of a quota any more.
  bool mQuotaSharesGivenUp = false;
};

// A gateway or coordinator that has called this coordinator.
struct KnownHost
{
  FleetHost mHost;
  // When the host last called this coordinator.
  TimePoint mHeardAt;
};

// The last reply that this coordinator applied from another one: the incarnation of the sender, and
// when the reply was requested.
struct LastSync
{
  std::uint64_t mIncarnation = 0;
  TimePoint mAt;
};

struct FleetRegistry
{
  Directory mDirectory;
  // Changes are numbered. mCursor is the number of the last change, mChangedAt holds the number of
  // the last change of each upstream's record, and mUpstreamByChange the upstreams by these
  // numbers.
  std::uint64_t mCursor = 0;
  std::map<std::string, std::uint64_t> mChangedAt;
  std::map<std::uint64_t, std::string> mUpstreamByChange;
  // Keyed by the IP address of the host.
  std::map<std::string, KnownHost> mHosts;
  std::map<std::string, LastSync> mLastSyncs;
};

// A gateway is not named to callers if its last call is longer ago than kGatewayTimeoutPauses times
// its pause and than kMinGatewayTimeout. This allows for the loss of two calls.
inline constexpr int kGatewayTimeoutPauses = 3;
inline constexpr Duration kMinGatewayTimeout = std::chrono::milliseconds(1200);

// Whether the upstream is about to leave or has left.
bool
IsLeaving(const UpstreamInfo& aInfo);

// Applies an announcement that an upstream sent to this coordinator.
AnnounceOutcome
RegisterUpstream(FleetRegistry& aRegistry, const UpstreamInfo& aInfo, TimePoint aNow);

// Records that an upstream has left. A late announcement of the same incarnation does not restore
// it, and a repeated notice changes nothing. aIncarnation is 0 if the notice did not name one.
// Returns false if the upstream is unknown here, or if a later incarnation than aIncarnation is
// registered.
bool
RemoveUpstream(FleetRegistry& aRegistry,
               const std::string& aId,
               std::uint64_t aIncarnation,
               TimePoint aNow);

// Records a call of another host. Calls of an earlier incarnation than the known one are ignored.
void
RecordHostCall(FleetRegistry& aRegistry, const FleetHost& aHost, TimePoint aNow);

// Ends the leases that have expired. Must be called at least twice a second.
void
ExpireRegistry(FleetRegistry& aRegistry, TimePoint aNow);

// Returns whether the gateway has called recently enough to be named to callers.
bool
IsRecentlyHeard(const KnownHost& aHost, TimePoint aNow);

// Applies a record that another coordinator sent. aIdle is the time since the sender last received
// a confirmation of the record.
void
ApplyRemoteRecord(FleetRegistry& aRegistry,
                  const DirectoryRecord& aRecord,
                  Duration aIdle,
                  TimePoint aNow);

enum class RecordScope : std::uint8_t
{
  // Records of announcements that this coordinator received itself.
  Own,
  // The same, and those of all coordinators about upstreams that are about to leave or have left. A
  // departure thus outlives the coordinator that received it.
  OwnAndLeaving,
  // Records of all coordinators.
  All,
};

// Returns the records whose change number is greater than aCursor, in the order of their changes.
// Takes time linear in the changes after aCursor, in any scope. The pointers are valid until the
// registry is changed.
std::vector<const DirectoryRecord*>
ChangedSince(const FleetRegistry& aRegistry, std::uint64_t aCursor, RecordScope aScope);

// Most records in one reply. A host that starts needs all of them; in parts, it gets on even if a
// busy coordinator does not answer every call in time.
inline constexpr std::size_t kMaxRecordsPerReply = 128;

struct RecordChanges
{
  std::vector<const DirectoryRecord*> mRecords;
  // Number of the last change that mRecords covers.
  std::uint64_t mCursor = 0;
  bool mMore = false;
};

// Returns the first records of ChangedSince, at most aMaxRecords.
RecordChanges
NextChanges(const FleetRegistry& aRegistry,
            std::uint64_t aCursor,
            RecordScope aScope,
            std::size_t aMaxRecords);

// Returns the gateways that accept callers and have called recently. The pointers are valid until
// the registry is changed.
std::vector<const FleetHost*>
ServingGateways(const FleetRegistry& aRegistry, TimePoint aNow);

// Returns the gateways that callers should use: those that reach replicas, or all if none does.
std::vector<const FleetHost*>
PreferredGateways(std::vector<const FleetHost*> aGateways);

} // namespace apricotyard

#endif
