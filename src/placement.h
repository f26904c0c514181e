// Chooses the replica of a service that gets a request. Not thread-safe.
//
// Designed for services of a few replicas with few slots each, shared by several gateways that do
// not coordinate individual requests. Replicas differ in speed, pause briefly, and may hang or fail
// while they report themselves healthy. A replica is therefore rated only by what this gateway
// observes.
#ifndef APRICOTYARD_PLACEMENT_H
#define APRICOTYARD_PLACEMENT_H

#include "latency.h"
#include "request_limit.h"
#include "types.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// This gateway's view of one replica.
struct ReplicaView
{
  UpstreamInfo mInfo;
  // Send times of this gateway's requests in flight at the replica.
  std::multiset<TimePoint> mInFlightSince;
  ReplicaLatency mLatency;
  // Failures since the last success.
  std::uint32_t mConsecutiveFailures = 0;
  // Smoothed failure rate as of mLastResultAt; see ExpectedFailureRate for its decay.
  double mFailureRate = 0;
  TimePoint mLastResultAt{};
  // Until this time the replica is used only if no other is available.
  TimePoint mAvoidUntil{};
  // Idle timeout of its connections, from its last Keep-Alive header.
  std::chrono::seconds mIdleTimeout{ 30 };
  // Another upstream answered at this address, so the replica is gone, but its record has not
  // expired yet.
  bool mMisplaced = false;
  // An open connection is available, so a request need not wait for a handshake.
  bool mConnected = true;
  // Keeps to the lower one of mDeclaredLimit and the limit during the warm-up.
  RequestLimit mRequestLimit;
  // Requests per second that it takes over all gateways, as it said last. Empty for any rate.
  std::optional<double> mDeclaredLimit;
  // Requests per second that it takes over all gateways while it warms up; 0 for any rate.
  double mWarmupRate = 0;
  // Whether it warmed up when UpdateWarmup was last called.
  bool mWarmingUp = false;
  // Its data centre is evacuated.
  bool mEvacuated = false;
  // It announced that it is about to stop.
  bool mLeaving = false;
  // It wants no request until this time, at its own wish. mHoldCut is true if it wished for longer.
  TimePoint mHeldUntil = TimePoint::min();
  bool mHoldCut = false;
  // A request that may crash it is in flight there and must be the only one.
  bool mIsolated = false;
  // When it last answered a request, or accepted a connection that was opened to check it.
  TimePoint mHeardAt = TimePoint::min();
  // When an unreadable header of its replies was logged last.
  TimePoint mUnreadableLoggedAt = TimePoint::min();
};

struct PlacementLimits
{
  // Data centre of this gateway.
  std::string mDataCentre;
  // Cost of the link to another data centre: a fixed time and a share of the typical latency. The
  // transit time is already part of the measured latency, but on a small host the measured
  // latencies vary more than that, because replies wait for the host. Without the share, every
  // fourth request would cross between data centres without need; with a larger one, requests would
  // stay at a local replica that is twice as slow.
  Duration mRemoteCost = std::chrono::milliseconds(2);
  double mRemoteCostShare = 0.25;
  // Cost of opening a connection: a handshake takes a round trip and occupies a slot of the
  // replica, that is, one of the requests that it runs at a time, for up to 6 ms.
  Duration mConnectCost = std::chrono::milliseconds(8);
  // Maximum number of requests that this gateway may have in flight at one local replica, and at
  // one remote replica.
  std::size_t mMaxInFlight = 4;
  std::size_t mMaxInFlightRemote = 4;
  // Unique identifier of this gateway.
  std::string mHost;
  // There are too few connections for every gateway to keep one to every replica. Each gateway then
  // prefers a fixed replica while that one performs well.
  bool mConnectionsScarce = false;
  // Leaves out replicas with a request limit. For requests that are not necessary, such as hedges.
  bool mSpareLimited = false;
  // If not empty, leaves out replicas in data centres that are not listed.
  std::vector<std::string_view> mOnlyDataCentres;
};

// Share of a replica's connections that all gateways use together. When gateways lose power,
// replicas keep the dead connections until an idle timeout; the other half leaves room for new
// ones.
inline constexpr double kUsableConnectionShare = 0.5;

struct ConnectionQuota
{
  // Connections of one gateway to one local replica, and to one remote replica; at least 1.
  std::size_t mConnections = 1;
  std::size_t mRemoteConnections = 1;
  bool mConnectionsScarce = false;
};

// Divides the connections that one replica accepts among the gateways. If there are too few for
// all, the gateways in the replica's data centre get a second one each where the limit permits.
// With only one, a gateway that handles two requests at a time would send every second one to
// another data centre. Preconditions: aGatewayCount and aDataCentreCount are at least 1.
ConnectionQuota
AllocateConnections(std::uint32_t aMaxConnections,
                    std::size_t aGatewayCount,
                    std::size_t aDataCentreCount);

// Hashes the pair of a gateway and a shared resource, such as a replica or a service, to a fixed
// number in [0, 1). Spreads the gateways' choices evenly.
double
HashToFraction(std::string_view aHost, std::string_view aResource);

// Share of a replica's connections that idle ones may occupy. The rest leaves room for restarted
// gateways, each of which first opens one connection per service.
inline constexpr double kIdleConnectionShare = 0.6;

// Idle connections that one gateway may keep to all replicas of a service together; at least 1.
// aRoundingOffset, from 0 to 1, is added before rounding down, so that differing offsets spread the
// fractions over the gateways. Precondition: aGatewayCount is at least 1.
std::size_t
IdleConnectionQuota(std::uint32_t aMaxConnections,
                    std::size_t aReplicaCount,
                    std::size_t aGatewayCount,
                    double aRoundingOffset);

// A replica is considered paused if its oldest request has taken longer than this multiple of the
// typical latency. Further requests there would wait as well.
inline constexpr double kPauseFactor = 2.5;
// Lower bound of that time, so that jitter of a fast service is not taken for a pause.
inline constexpr Duration kMinPause = std::chrono::milliseconds(25);
// Time for which a replica is avoided after a failure. Doubles with each consecutive failure up to
// the maximum.
inline constexpr Duration kMinAvoidTime = std::chrono::milliseconds(250);
inline constexpr Duration kMaxAvoidTime = std::chrono::seconds(4);

// True if the replica's oldest request is so late that the replica is probably paused.
bool
IsLikelyPaused(const ReplicaView& aReplica, Duration aTypicalLatency, TimePoint aNow);

// Failure rate of the replica at aNow, decayed by the time since its last result.
double
ExpectedFailureRate(const ReplicaView& aReplica, TimePoint aNow);

// Returns the replica with the lowest expected cost, or null if all are excluded, not usable, full,
// or want no request now. aExcluded holds replica identifiers. aTypicalLatency
// is the typical latency of such a request.
ReplicaView*
ChooseReplica(std::span<ReplicaView* const> aReplicas,
              const std::set<std::string>& aExcluded,
              const PlacementLimits& aLimits,
              Duration aTypicalLatency,
              TimePoint aNow,
              Rng& aRng);

// Records the result of a request at the replica. aTypicalLatency is the typical latency of such a
// request.
void
RecordSuccess(ReplicaView& aReplica, Duration aLatency, Duration aTypicalLatency, TimePoint aNow);
void
RecordFailure(ReplicaView& aReplica, TimePoint aNow);

} // namespace apricotyard

#endif
