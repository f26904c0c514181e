// Division of the slots and connections of each replica among the entry hosts. Pure functions; not
// thread-safe.
//
// The layout of a collection group is computed from the roster and the replicas of the group by
// rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998). Hosts may temporarily see different rosters or replicas and thus compute different
// layouts. A host therefore uses only the slots that it owns in every layout since the last one
// that all its peers confirmed.
#ifndef APRICOTYARD_SHARES_H
#define APRICOTYARD_SHARES_H

#include "config.h"
#include "types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

// Maximum number of home hosts of a collection group. It limits the number of peers that must
// confirm a layout.
inline constexpr std::size_t kMaxHomeHosts = 16;

struct ShareHost
{
  std::string mName;
  std::string mDataCentre;

  bool operator==(const ShareHost&) const = default;
};

struct RosterEpoch
{
  std::uint64_t mEpoch = 0;
  std::vector<ShareHost> mHosts;

  bool operator==(const RosterEpoch&) const = default;
};

struct ShareReplica
{
  std::string mId;
  std::string mService;
  std::uint32_t mMap = 0;
  std::uint32_t mShard = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;

  auto operator<=>(const ShareReplica&) const = default;
};

// A group of collections that share services, directly or through other collections. They are
// divided together, because the slots of a replica can be divided only once.
struct ShareGroup
{
  // The name of the first collection of the group in alphabetical order.
  std::string mName;
  std::vector<ShareReplica> mReplicas;
};

// The group name of each collection and of each service.
struct GroupNames
{
  std::map<std::string, std::string, std::less<>> mByCollection;
  std::map<std::string, std::string, std::less<>> mByService;
};
GroupNames
NameGroups(const Config& aConfig);

// Assigns the replicas to their groups, in sorted order. Replicas without slots, and those of
// services that no collection uses, are left out.
std::map<std::string, ShareGroup>
MakeGroups(const GroupNames& aNames, const std::vector<ShareReplica>& aReplicas);

// Slot numbers by replica, counted from 0 and in ascending order.
using SlotMap = std::map<std::string, std::vector<std::uint32_t>>;

struct Layout
{
  std::vector<ShareHost> mHomes;
  std::map<std::string, SlotMap> mByHost;
  // Two hosts compute the same hash if and only if they see the same candidate hosts, roster epoch
  // and replicas (up to hash collisions).
  std::uint64_t mHash = 0;
};

// Returns the hosts that may become home hosts of the group, highest rank first; at most
// kMaxHomeHosts.
std::vector<ShareHost>
CandidateHosts(const std::string& aGroup, const RosterEpoch& aRoster);

// Chooses the home hosts of the group, spread over the data centres. Their number is chosen so that
// the shard with the fewest slots gives each host two slots. If that shard has at least two slots,
// there are at least two home hosts.
std::vector<ShareHost>
HomeHosts(const ShareGroup& aGroup, const RosterEpoch& aRoster);

// Assigns each slot of each replica to exactly one home host. Within a shard, the slot counts of
// two home hosts differ by at most one, and the slots of a host are on different replicas where
// possible.
Layout
ComputeLayout(const ShareGroup& aGroup, const RosterEpoch& aRoster);

// Returns the number of connections to a replica for a host that holds aHeld of its aSlots slots. A
// quarter of the connections is reserved for connections of crashed or partitioned hosts that the
// upstream has not closed yet.
std::uint32_t
ConnectionShare(std::uint32_t aConnections, std::uint32_t aSlots, std::uint32_t aHeld);

// ---- Agreement on the layout -------------------------------------------------------------------

// The state of one group that a host reports to a peer.
struct ViewReport
{
  std::string mGroup;
  // Incremented whenever the sender's layout changes.
  std::uint64_t mView = 0;
  std::uint64_t mLayout = 0;
  // The newest view that the sender has received from the receiver, and the receiver's incarnation
  // at that time.
  std::uint64_t mAckView = 0;
  std::uint64_t mAckIncarnation = 0;
};

struct PeerView
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mView = 0;
  // The view of this host that the peer has confirmed: it reported the same layout after it had
  // received that view.
  std::uint64_t mConfirmedView = 0;
};

struct GroupView
{
  std::uint64_t mView = 0;
  Layout mLayout;
  SlotMap mUsed;
  // All required peers have confirmed the layout, so mUsed contains all slots that the host owns in
  // it.
  bool mSettled = false;
  std::set<std::string> mRequired;
  std::map<std::string, PeerView> mPeers;
};

struct ShareState
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::map<std::string, GroupView> mGroups;
};

// Adopts a new roster or new replicas. aPrevious is the preceding roster epoch as long as control
// reports that some of its hosts have neither confirmed aRoster nor lost their lease; otherwise
// null. Returns true if the used slots changed.
bool
SetView(ShareState& aState,
        const std::map<std::string, ShareGroup>& aGroups,
        const RosterEpoch& aRoster,
        const RosterEpoch* aPrevious);

// Returns the reports for one peer. They must be sent after each change and with every heartbeat.
std::vector<ViewReport>
ReportsFor(const ShareState& aState, const std::string& aPeer);

// Processes the reports of a peer. Returns true if the used slots changed.
bool
OnReports(ShareState& aState,
          const std::string& aPeer,
          std::uint64_t aIncarnation,
          const std::vector<ViewReport>& aReports);

struct ReplicaShare
{
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;

  bool operator==(const ReplicaShare&) const = default;
};

// Returns the slots and connections that this host may use now, by replica. Replicas of which it
// uses no slot are left out.
std::map<std::string, ReplicaShare>
UsedShares(const ShareState& aState, const std::map<std::string, ShareGroup>& aGroups);

} // namespace apricotyard

#endif
