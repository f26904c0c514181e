// Which replica of a service gets a request. Pure; not thread-safe.
//
// The load that this answers: services of a few replicas with few slots each, shared by several
// gateways that do not talk to each other about single requests. Replicas differ in speed, pause
// for short times and may hang or fail while they look healthy, so a replica is judged only by what
// this gateway sees of it.
#ifndef APRICOTYARD_PLACEMENT_H
#define APRICOTYARD_PLACEMENT_H

#include "latency.h"
#include "types.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// What this gateway knows of one replica.
struct ReplicaView
{
  UpstreamInfo mInfo;
  // Times at which the requests that run there were sent.
  std::multiset<TimePoint> mRunning;
  ReplicaLatency mLatency;
  // Failures without a success in between.
  std::uint32_t mFailuresInARow = 0;
  // Recent share of failures; counts less as time passes without a result.
  double mFailureShare = 0;
  TimePoint mJudgedAt{};
  // Until then it is used only if no other replica is left.
  TimePoint mAvoidUntil{};
  // How long it keeps an idle connection, as it said last.
  std::chrono::seconds mKeepsIdle{ 30 };
  // Another upstream answered at its address, so it is gone; its record has not ended yet.
  bool mMisplaced = false;
  // A request would not have to wait for a new connection.
  bool mConnected = true;
};

struct PlacementLimits
{
  // Data centre of this gateway.
  std::string mDataCentre;
  // Added to the cost of a replica elsewhere for the use of the link. The time on the way is part
  // of its measured latency.
  Duration mRemoteCost = std::chrono::milliseconds(2);
  // Added to the cost of a replica that needs a new connection: a handshake takes a place at the
  // replica for up to 6 ms, and a round trip.
  Duration mConnectCost = std::chrono::milliseconds(8);
  // Requests that this gateway may run at one replica of its own data centre, and elsewhere.
  std::size_t mMaxRunning = 4;
  std::size_t mMaxRunningRemote = 4;
  // Name of this gateway, unique among them.
  std::string mHost;
  // There are too few connections for every gateway to keep one to every replica, so each keeps to
  // replicas of its own as long as they do well.
  bool mScarce = false;
};

// Share of a replica's connections that the gateways use together. When gateways lose power, the
// replicas keep their connections until an idle time-out; the other half has room for new ones.
inline constexpr double kConnectionUse = 0.5;

struct ConnectionAllotment
{
  // Connections of one gateway to one replica of its data centre, and elsewhere; at least 1.
  std::size_t mConnections = 1;
  std::size_t mRemoteConnections = 1;
  bool mScarce = false;
};

// Divides the connections that one replica accepts. If there are too few for all gateways, those of
// its own data centre get a second one each if there is room: without it a gateway that answers two
// requests at a time sends all of the second one to other data centres. Preconditions: aGateways
// and aDataCentres are at least 1.
ConnectionAllotment
AllotConnections(std::uint32_t aMaxConnections, std::size_t aGateways, std::size_t aDataCentres);

// A fixed number from 0 to 1 for a gateway and something it shares with others; it spreads the
// gateways' choices evenly.
double
PairFraction(std::string_view aHost, std::string_view aOther);

// Share of a replica's connections that idle ones may take where connections are scarce. A gateway
// that returns opens one connection a service at first, for which the rest has room.
inline constexpr double kPoolUse = 0.6;

// Connections that one gateway may keep open to all replicas of a service together, at least 1.
// aRounding, from 0 to 1, decides whether the part of a connection that is left over counts as one.
// Preconditions: as above.
std::size_t
PooledConnections(std::uint32_t aMaxConnections,
                  std::size_t aReplicas,
                  std::size_t aGateways,
                  double aRounding);

// A replica whose oldest request runs longer than this many times the usual latency is taken to
// pause: work that is sent there waits as well.
inline constexpr double kPauseFactor = 2.5;
// Lower bound of that, so that jitter of a fast service does not count.
inline constexpr Duration kMinPause = std::chrono::milliseconds(25);
// First time that a failing replica is avoided; doubles with each failure in a row.
inline constexpr Duration kFirstAvoid = std::chrono::milliseconds(250);
inline constexpr Duration kLongestAvoid = std::chrono::seconds(4);

// True if the replica's oldest request is so late that the replica seems to stand still.
bool
SeemsPaused(const ReplicaView& aReplica, Duration aUsual, TimePoint aNow);

// The share of failures to expect of the replica now.
double
ExpectedFailures(const ReplicaView& aReplica, TimePoint aNow);

// The best replica for one more request, or null if every one is excluded, leaving or full. aUsual
// is the usual latency of such a request. Replicas in aTried are excluded.
ReplicaView*
ChooseReplica(std::span<ReplicaView* const> aReplicas,
              const std::set<std::string>& aTried,
              const PlacementLimits& aLimits,
              Duration aUsual,
              TimePoint aNow,
              Rng& aRng);

// Records how a request at the replica ended; aUsual is the usual latency of such a request.
void
RecordSuccess(ReplicaView& aReplica, Duration aLatency, Duration aUsual, TimePoint aNow);
void
RecordFailure(ReplicaView& aReplica, TimePoint aNow);

} // namespace apricotyard

#endif
