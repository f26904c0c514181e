// Division of the slots and connections of every replica over the entry hosts. Pure; not
// thread-safe.
//
// The division of a collection group follows from the roster and from the replicas of the group by
// rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998). Hosts may see different rosters or replicas for a while, so a host uses only the slots
// that are its own under every layout since the last one that all its peers confirmed.
#ifndef APRICOTYARD_SHARES_H
#define APRICOTYARD_SHARES_H

#include "config.h"
#include "types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

// Largest number of home hosts of a collection. It bounds the peers that must confirm a layout.
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

// Collections that share a service, directly or through others, form one group, because the slots
// of a replica can be divided only once.
struct ShareGroup
{
  // The first of the collections by name.
  std::string mName;
  std::vector<ShareReplica> mReplicas;
};

// The group of each collection, and the group of each service.
struct GroupNames
{
  std::map<std::string, std::string, std::less<>> mByCollection;
  std::map<std::string, std::string, std::less<>> mByService;
};
GroupNames
NameGroups(const Config& aConfig);

// The replicas of each group, in order. Replicas of services that no collection lists are left out.
std::map<std::string, ShareGroup>
MakeGroups(const GroupNames& aNames, const std::vector<ShareReplica>& aReplicas);

// Numbers of the slots of each replica, from 0, in order.
using SlotMap = std::map<std::string, std::vector<std::uint32_t>>;

struct Layout
{
  std::vector<ShareHost> mHomes;
  std::map<std::string, SlotMap> mByHost;
  // Equal on two hosts exactly if they see the same roster and replicas.
  std::uint64_t mHash = 0;
};

// The hosts that may become home hosts of the group, best first, at most kMaxHomeHosts.
std::vector<ShareHost>
CandidateHosts(const std::string& aGroup, const RosterEpoch& aRoster);

// As many home hosts as the scarcest shard allows with two slots each, but two hosts if it has at
// least two slots; spread over the data centres.
std::vector<ShareHost>
HomeHosts(const ShareGroup& aGroup, const RosterEpoch& aRoster);

// Every slot of every replica goes to exactly one home host. Within a shard the numbers of slots of
// two home hosts differ by at most one, and a host's slots lie on different replicas where
// possible.
Layout
ComputeLayout(const ShareGroup& aGroup, const RosterEpoch& aRoster);

// Connections for aHeld of the slots of a replica. A quarter of the replica's connections stays in
// reserve for connections of dead or partitioned hosts that linger at the upstream.
std::uint32_t
ConnectionShare(std::uint32_t aConnections, std::uint32_t aSlots, std::uint32_t aHeld);

// ---- Agreement on the layout -------------------------------------------------------------------

// What a host tells a peer about one group.
struct ViewReport
{
  std::string mGroup;
  // Raised whenever the sender's layout changes.
  std::uint64_t mView = 0;
  std::uint64_t mLayout = 0;
  // The newest view of the receiver that the sender knew, and the receiver's incarnation then.
  std::uint64_t mAckView = 0;
  std::uint64_t mAckIncarnation = 0;
};

struct PeerView
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mView = 0;
  // The own view that the peer confirmed by running the same layout after it knew of that view.
  std::uint64_t mConfirmedView = 0;
};

struct GroupView
{
  std::uint64_t mView = 0;
  Layout mLayout;
  SlotMap mUsed;
  // All required peers confirmed the layout, so mUsed is the whole share.
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

// Adopts a changed view. aPrevious is the epoch before, while some of its hosts neither confirmed
// aRoster nor lost their lease; control decides that. Returns true if the used slots changed.
bool
SetView(ShareState& aState,
        const std::map<std::string, ShareGroup>& aGroups,
        const RosterEpoch& aRoster,
        const RosterEpoch* aPrevious);

// Reports for one peer. To be sent after each change and with every heartbeat.
std::vector<ViewReport>
ReportsFor(const ShareState& aState, const std::string& aPeer);

// Takes in the reports of a peer. Returns true if the used slots changed.
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

// The slots and connections that this host may use now, by replica. Replicas without a slot are
// left out.
std::map<std::string, ReplicaShare>
UsedShares(const ShareState& aState, const std::map<std::string, ShareGroup>& aGroups);

} // namespace apricotyard

#endif
