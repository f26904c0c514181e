#include "shares.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

// Slots of each shard that each home host should get.
constexpr std::uint32_t kSlotsPerHome = 2;

std::uint64_t
RendezvousWeight(std::string_view aHost, std::string_view aKey)
{
  return XXH3_64bits_withSeed(aHost.data(), aHost.size(), XXH3_64bits(aKey.data(), aKey.size()));
}

std::vector<ShareHost>
RankHosts(std::vector<ShareHost> aHosts, std::string_view aKey)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    order.emplace_back(RendezvousWeight(aHosts[i].mName, aKey), i);
  }
  std::sort(order.begin(), order.end(), [&](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.first, aHosts[aLeft.second].mName) >
           std::tie(aRight.first, aHosts[aRight.second].mName);
  });
  std::vector<ShareHost> ranked;
  for (const auto& [weight, index] : order) {
    ranked.push_back(aHosts[index]);
  }
  return ranked;
}

using ShardReplicas = std::map<std::string, std::vector<const ShareReplica*>>;

ShardReplicas
ByShard(const ShareGroup& aGroup)
{
  ShardReplicas shards;
  for (const ShareReplica& replica : aGroup.mReplicas) {
    shards[fmt::format("{}/{}/{}", replica.mService, replica.mMap, replica.mShard)].push_back(
      &replica);
  }
  return shards;
}

std::uint32_t
TotalSlots(const std::vector<const ShareReplica*>& aReplicas)
{
  std::uint32_t total = 0;
  for (const ShareReplica* const replica : aReplicas) {
    total += replica->mSlots;
  }
  return total;
}

// Returns the smallest number of slots that a shard of the group has. If a service has several
// partition maps, only the one whose smallest shard is largest counts, so that a new map whose
// replicas are still arriving does not reduce the number of home hosts.
std::uint32_t
MinShardSlots(const ShareGroup& aGroup)
{
  std::map<std::string, std::map<std::uint32_t, std::uint32_t>> maps;
  for (const auto& [shard, replicas] : ByShard(aGroup)) {
    auto& scarcest = maps[replicas.front()->mService];
    const auto entry = scarcest.emplace(replicas.front()->mMap, UINT32_MAX).first;
    entry->second = std::min(entry->second, TotalSlots(replicas));
  }
  std::uint32_t scarcest = UINT32_MAX;
  for (const auto& [service, byMap] : maps) {
    std::uint32_t best = 0;
    for (const auto& [map, slots] : byMap) {
      best = std::max(best, slots);
    }
    scarcest = std::min(scarcest, best);
  }
  return scarcest;
}

// Divides the slots of one shard among the home hosts. In mOwners and mCounts, each row is a
// replica. mOwners holds the owner of each slot, and mCounts the number of slots of each host.
class ShardDivision
{
public:
  ShardDivision(const std::string& aShard,
                const std::vector<const ShareReplica*>& aReplicas,
                const std::vector<ShareHost>& aHomes)
    : mReplicas(aReplicas)
    , mHosts(RankHosts(aHomes, aShard))
    , mOwners(aReplicas.size())
    , mCounts(aReplicas.size(), std::vector<std::uint32_t>(aHomes.size(), 0))
  {
    const auto hosts = static_cast<std::uint32_t>(mHosts.size());
    const std::uint32_t total = TotalSlots(aReplicas);
    for (std::uint32_t i = 0; i < hosts; ++i) {
      mQuota.push_back(total / hosts + (i < total % hosts ? 1 : 0));
    }
    // Assigns the first slot of every replica, then the second, and so on. Going replica by replica
    // could use up the quota of a host on a single replica.
    const std::uint32_t maxSlots =
      (*std::max_element(aReplicas.begin(),
                         aReplicas.end(),
                         [](auto* aLeft, auto* aRight) { return aLeft->mSlots < aRight->mSlots; }))
        ->mSlots;
    for (std::uint32_t slot = 0; slot < maxSlots; ++slot) {
      for (std::size_t row = 0; row < aReplicas.size(); ++row) {
        if (slot < aReplicas[row]->mSlots) {
          Assign(row, slot);
        }
      }
    }
  }

  void AppendTo(std::map<std::string, SlotMap>& aByHost) const
  {
    for (std::size_t row = 0; row < mReplicas.size(); ++row) {
      for (std::uint32_t slot = 0; slot < mOwners[row].size(); ++slot) {
        aByHost[mHosts[mOwners[row][slot]].mName][mReplicas[row]->mId].push_back(slot);
      }
    }
  }

private:
  void Assign(std::size_t aRow, std::uint32_t aSlot)
  {
    const std::string key = fmt::format("{}#{}", mReplicas[aRow]->mId, aSlot);
    std::size_t best = mHosts.size();
    std::uint64_t bestWeight = 0;
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      if (mQuota[host] == 0) {
        continue;
      }
      const std::uint64_t weight = RendezvousWeight(mHosts[host].mName, key);
      if (best == mHosts.size() || mCounts[aRow][host] < mCounts[aRow][best] ||
          (mCounts[aRow][host] == mCounts[aRow][best] && weight > bestWeight)) {
        best = host;
        bestWeight = weight;
      }
    }
    --mQuota[best];
    mOwners[aRow].push_back(best);
    ++mCounts[aRow][best];
    if (mCounts[aRow][best] > 1) {
      SwapSlot(aRow, aSlot, best);
    }
  }

  // Called if aHost has another slot on this replica. Swaps this slot with a slot on a replica
  // where aHost has none; the owner of that slot must have none on this replica. If no such slot
  // exists, nothing changes.
  void SwapSlot(std::size_t aRow, std::uint32_t aSlot, std::size_t aHost)
  {
    for (std::size_t row = 0; row < mOwners.size(); ++row) {
      if (mCounts[row][aHost] > 0) {
        continue;
      }
      for (std::size_t& owner : mOwners[row]) {
        if (mCounts[aRow][owner] == 0) {
          ++mCounts[aRow][owner];
          --mCounts[row][owner];
          --mCounts[aRow][aHost];
          ++mCounts[row][aHost];
          mOwners[aRow][aSlot] = owner;
          owner = aHost;
          return;
        }
      }
    }
  }

  const std::vector<const ShareReplica*>& mReplicas;
  std::vector<ShareHost> mHosts;
  std::vector<std::vector<std::size_t>> mOwners;
  std::vector<std::vector<std::uint32_t>> mCounts;
  std::vector<std::uint32_t> mQuota;
};

std::uint64_t
HashLayout(const ShareGroup& aGroup, const RosterEpoch& aRoster)
{
  std::string text = fmt::format("{}\n{}", aGroup.mName, aRoster.mEpoch);
  for (const ShareHost& host : CandidateHosts(aGroup.mName, aRoster)) {
    text += fmt::format("\n{}/{}", host.mName, host.mDataCentre);
  }
  for (const ShareReplica& replica : aGroup.mReplicas) {
    text += fmt::format("\n{}/{}/{}/{}/{}/{}",
                        replica.mId,
                        replica.mService,
                        replica.mMap,
                        replica.mShard,
                        replica.mSlots,
                        replica.mConnections);
  }
  return XXH3_64bits(text.data(), text.size());
}

SlotMap
Intersect(const SlotMap& aLeft, const SlotMap& aRight)
{
  SlotMap common;
  for (const auto& [replica, slots] : aLeft) {
    const auto other = aRight.find(replica);
    if (other == aRight.end()) {
      continue;
    }
    std::vector<std::uint32_t> both;
    std::set_intersection(slots.begin(),
                          slots.end(),
                          other->second.begin(),
                          other->second.end(),
                          std::back_inserter(both));
    if (!both.empty()) {
      common[replica] = std::move(both);
    }
  }
  return common;
}

SlotMap
OwnSlots(const ShareState& aState, const Layout& aLayout)
{
  const auto own = aLayout.mByHost.find(aState.mHost);
  return own == aLayout.mByHost.end() ? SlotMap{} : own->second;
}

// Puts all own slots of the layout into use once every required peer has confirmed the current
// view. Returns true if the used slots changed.
bool
SettleIfConfirmed(const ShareState& aState, GroupView& aGroup)
{
  if (aGroup.mSettled) {
    return false;
  }
  for (const std::string& host : aGroup.mRequired) {
    const auto peer = aGroup.mPeers.find(host);
    if (peer == aGroup.mPeers.end() || peer->second.mConfirmedView != aGroup.mView) {
      return false;
    }
  }
  aGroup.mSettled = true;
  SlotMap own = OwnSlots(aState, aGroup.mLayout);
  const bool changed = own != aGroup.mUsed;
  aGroup.mUsed = std::move(own);
  return changed;
}

} // namespace

GroupNames
NameGroups(const Config& aConfig)
{
  GroupNames names;
  // Collections are iterated in alphabetical order, so a group is named after its first collection.
  for (const auto& [collection, policy] : aConfig.mCollections) {
    std::set<std::string> joined{ collection };
    for (const std::string& service : policy.mServices) {
      if (const auto known = names.mByService.find(service); known != names.mByService.end()) {
        joined.insert(known->second);
      }
    }
    const std::string group = *joined.begin();
    names.mByCollection[collection] = group;
    for (const std::string& service : policy.mServices) {
      names.mByService[service] = group;
    }
    for (auto& [name, held] : names.mByCollection) {
      held = joined.contains(held) ? group : held;
    }
    for (auto& [name, held] : names.mByService) {
      held = joined.contains(held) ? group : held;
    }
  }
  return names;
}

std::map<std::string, ShareGroup>
MakeGroups(const GroupNames& aNames, const std::vector<ShareReplica>& aReplicas)
{
  std::map<std::string, ShareGroup> groups;
  for (const auto& [collection, group] : aNames.mByCollection) {
    groups[group].mName = group;
  }
  for (const ShareReplica& replica : aReplicas) {
    const auto group = aNames.mByService.find(replica.mService);
    if (group != aNames.mByService.end() && replica.mSlots > 0) {
      groups[group->second].mReplicas.push_back(replica);
    }
  }
  for (auto& [name, group] : groups) {
    std::sort(group.mReplicas.begin(), group.mReplicas.end());
  }
  return groups;
}

std::vector<ShareHost>
CandidateHosts(const std::string& aGroup, const RosterEpoch& aRoster)
{
  std::vector<ShareHost> ranked = RankHosts(aRoster.mHosts, aGroup);
  ranked.resize(std::min(ranked.size(), kMaxHomeHosts));
  return ranked;
}

std::vector<ShareHost>
HomeHosts(const ShareGroup& aGroup, const RosterEpoch& aRoster)
{
  const std::vector<ShareHost> candidates = CandidateHosts(aGroup.mName, aRoster);
  const std::uint32_t scarcest = MinShardSlots(aGroup);
  const std::size_t wantedHomes =
    std::max(std::min<std::size_t>(scarcest, 2), std::size_t{ scarcest / kSlotsPerHome });
  const std::size_t count = std::min(wantedHomes, candidates.size());
  std::map<std::string, std::size_t> centres;
  for (const ShareHost& host : candidates) {
    centres.emplace(host.mDataCentre, 0);
  }
  std::vector<ShareHost> homes;
  // Takes the highest-ranked candidates, but limits the number per data centre, so that home hosts
  // remain if one data centre is lost.
  const std::size_t maxPerCentre =
    centres.empty() ? 0 : (count + centres.size() - 1) / centres.size();
  std::vector<ShareHost> remaining;
  for (const ShareHost& host : candidates) {
    if (homes.size() < count && centres[host.mDataCentre] < maxPerCentre) {
      ++centres[host.mDataCentre];
      homes.push_back(host);
    } else {
      remaining.push_back(host);
    }
  }
  for (std::size_t i = 0; homes.size() < count; ++i) {
    homes.push_back(remaining[i]);
  }
  return homes;
}

Layout
ComputeLayout(const ShareGroup& aGroup, const RosterEpoch& aRoster)
{
  Layout layout;
  layout.mHash = HashLayout(aGroup, aRoster);
  layout.mHomes = HomeHosts(aGroup, aRoster);
  if (!layout.mHomes.empty()) {
    for (const auto& [shard, replicas] : ByShard(aGroup)) {
      ShardDivision(shard, replicas, layout.mHomes).AppendTo(layout.mByHost);
    }
  }
  return layout;
}

std::uint32_t
ConnectionShare(std::uint32_t aConnections, std::uint32_t aSlots, std::uint32_t aHeld)
{
  const std::uint64_t usable = std::uint64_t{ aConnections } * 3 / 4;
  const std::uint64_t share = usable * aHeld / aSlots;
  // If there are fewer connections than slots, a host with a slot still gets one connection,
  // provided its part of all connections, without the reserve, is at least one.
  return static_cast<std::uint32_t>(
    share > 0 ? share : std::min<std::uint64_t>(1, std::uint64_t{ aConnections } * aHeld / aSlots));
}

bool
SetView(ShareState& aState,
        const std::map<std::string, ShareGroup>& aGroups,
        const RosterEpoch& aRoster,
        const RosterEpoch* aPrevious)
{
  bool changed = false;
  for (auto& [name, view] : aState.mGroups) {
    if (!aGroups.contains(name) && view.mLayout.mHash != 0) {
      ++view.mView;
      view.mLayout = {};
      view.mSettled = false;
      changed = changed || !view.mUsed.empty();
      view.mUsed.clear();
    }
  }
  for (const auto& [name, group] : aGroups) {
    GroupView& view = aState.mGroups[name];
    std::set<std::string> required;
    for (const RosterEpoch* const roster : { &aRoster, aPrevious }) {
      if (roster != nullptr) {
        for (const ShareHost& host : CandidateHosts(name, *roster)) {
          required.insert(host.mName);
        }
      }
    }
    required.erase(aState.mHost);
    view.mRequired = std::move(required);
    if (view.mView == 0 || view.mLayout.mHash != HashLayout(group, aRoster)) {
      ++view.mView;
      view.mLayout = ComputeLayout(group, aRoster);
      view.mSettled = false;
      SlotMap used = Intersect(view.mUsed, OwnSlots(aState, view.mLayout));
      changed = changed || used != view.mUsed;
      view.mUsed = std::move(used);
    }
    changed = SettleIfConfirmed(aState, view) || changed;
  }
  return changed;
}

std::vector<ViewReport>
ReportsFor(const ShareState& aState, const std::string& aPeer)
{
  std::vector<ViewReport> reports;
  for (const auto& [name, group] : aState.mGroups) {
    const auto peer = group.mPeers.find(aPeer);
    const bool known = peer != group.mPeers.end();
    if (!known && !group.mRequired.contains(aPeer)) {
      continue;
    }
    reports.push_back({ name,
                        group.mView,
                        group.mLayout.mHash,
                        known ? peer->second.mView : 0,
                        known ? peer->second.mIncarnation : 0 });
  }
  return reports;
}

bool
OnReports(ShareState& aState,
          const std::string& aPeer,
          std::uint64_t aIncarnation,
          const std::vector<ViewReport>& aReports)
{
  bool changed = false;
  for (const ViewReport& report : aReports) {
    const auto found = aState.mGroups.find(report.mGroup);
    if (found == aState.mGroups.end()) {
      continue;
    }
    GroupView& group = found->second;
    PeerView& peer = group.mPeers[aPeer];
    // Reports may arrive out of order. Ignore those that are older than the latest one.
    if (std::tie(aIncarnation, report.mView) < std::tie(peer.mIncarnation, peer.mView)) {
      continue;
    }
    peer.mIncarnation = aIncarnation;
    peer.mView = report.mView;
    if (report.mAckIncarnation == aState.mIncarnation && report.mAckView == group.mView &&
        report.mLayout == group.mLayout.mHash) {
      peer.mConfirmedView = group.mView;
    }
    changed = SettleIfConfirmed(aState, group) || changed;
  }
  return changed;
}

std::map<std::string, ReplicaShare>
UsedShares(const ShareState& aState, const std::map<std::string, ShareGroup>& aGroups)
{
  std::map<std::string, ReplicaShare> shares;
  for (const auto& [name, group] : aGroups) {
    const auto view = aState.mGroups.find(name);
    if (view == aState.mGroups.end()) {
      continue;
    }
    for (const ShareReplica& replica : group.mReplicas) {
      const auto used = view->second.mUsed.find(replica.mId);
      if (used != view->second.mUsed.end()) {
        const auto held = static_cast<std::uint32_t>(used->second.size());
        const std::uint32_t connections =
          ConnectionShare(replica.mConnections, replica.mSlots, held);
        shares[replica.mId] = { std::min(held, connections), connections };
      }
    }
  }
  return shares;
}

} // namespace apricotyard
