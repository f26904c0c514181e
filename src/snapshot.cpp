#include "snapshot.h"

#include <algorithm>
#include <functional>

namespace apricotyard {

namespace {

// The shards of one partition map of a service.
using MapShards = std::vector<ShardState*>;

// Complete maps of the service, newest first.
std::vector<MapShards>
CompleteMaps(const Engine& aEngine, const std::string& aService)
{
  std::map<std::uint32_t, MapShards, std::greater<>> maps;
  auto entry = aEngine.mShards.lower_bound(ShardKey{ aService, 0, 0 });
  for (; entry != aEngine.mShards.end() && entry->first.mService == aService; ++entry) {
    if (!entry->second->mReplicas.empty()) {
      maps[entry->first.mMap].push_back(entry->second.get());
    }
  }
  std::vector<MapShards> complete;
  for (auto& [map, shards] : maps) {
    std::vector<KeyRange> ranges;
    for (const ShardState* const shard : shards) {
      ranges.push_back(shard->mRange);
    }
    if (CoversKeySpace(std::move(ranges))) {
      complete.push_back(std::move(shards));
    }
  }
  return complete;
}

bool
IsOffered(const ShardState& aShard, IndexVersion aVersion)
{
  return std::any_of(aShard.mReplicas.begin(),
                     aShard.mReplicas.end(),
                     [aVersion](const Replica* aReplica) { return Offers(*aReplica, aVersion); });
}

bool
IsReady(const ShardState& aShard)
{
  return std::any_of(aShard.mReplicas.begin(), aShard.mReplicas.end(), [](const Replica* aReplica) {
    return aReplica->mInfo.mState == UpstreamState::Ready;
  });
}

std::size_t
CountOffered(const MapShards& aShards, IndexVersion aVersion)
{
  return static_cast<std::size_t>(
    std::count_if(aShards.begin(), aShards.end(), [aVersion](const ShardState* aShard) {
      return IsOffered(*aShard, aVersion);
    }));
}

// A map that is announced but not yet ready must not replace one that serves.
const MapShards&
NewestReady(const std::vector<MapShards>& aMaps)
{
  const auto ready = std::find_if(aMaps.begin(), aMaps.end(), [](const MapShards& aShards) {
    return std::all_of(
      aShards.begin(), aShards.end(), [](const ShardState* aShard) { return IsReady(*aShard); });
  });
  return ready == aMaps.end() ? aMaps.front() : *ready;
}

std::set<IndexVersion, std::greater<>>
AllVersions(const std::vector<MapShards>& aMaps)
{
  std::set<IndexVersion, std::greater<>> versions;
  for (const MapShards& shards : aMaps) {
    for (const ShardState* const shard : shards) {
      for (const Replica* const replica : shard->mReplicas) {
        versions.insert(replica->mInfo.mVersions.begin(), replica->mInfo.mVersions.end());
      }
    }
  }
  return versions;
}

struct Pick
{
  IndexVersion mVersion = 0;
  std::size_t mOffered = 0;
  std::vector<const MapShards*> mMaps;

  std::size_t Expected() const
  {
    std::size_t expected = 0;
    for (const MapShards* const shards : mMaps) {
      expected += shards->size();
    }
    return expected;
  }
};

// The version with the largest coverage of the given maps, the newest among equals.
Pick
PickVersion(const std::vector<const MapShards*>& aMaps,
            const std::set<IndexVersion, std::greater<>>& aVersions)
{
  Pick best{ 0, 0, aMaps };
  for (const IndexVersion version : aVersions) {
    std::size_t offered = 0;
    for (const MapShards* const shards : aMaps) {
      offered += CountOffered(*shards, version);
    }
    if (offered > best.mOffered) {
      best.mVersion = version;
      best.mOffered = offered;
    }
  }
  return best;
}

// The newest version that some complete map of every service covers.
std::optional<Pick>
PickOlderMaps(const std::vector<std::vector<MapShards>>& aServices,
              const std::set<IndexVersion, std::greater<>>& aVersions)
{
  for (const IndexVersion version : aVersions) {
    Pick pick{ version, 0, {} };
    for (const std::vector<MapShards>& maps : aServices) {
      const auto covered =
        std::find_if(maps.begin(), maps.end(), [version](const MapShards& aShards) {
          return CountOffered(aShards, version) == aShards.size();
        });
      if (covered == maps.end()) {
        break;
      }
      pick.mMaps.push_back(&*covered);
    }
    if (pick.mMaps.size() == aServices.size()) {
      return pick;
    }
  }
  return std::nullopt;
}

} // namespace

bool
CoversKeySpace(std::vector<KeyRange> aRanges)
{
  std::sort(aRanges.begin(), aRanges.end(), [](const KeyRange& a_, const KeyRange& aB) {
    return a_.mLow < aB.mLow;
  });
  std::uint64_t covered = 0;
  for (const KeyRange& range : aRanges) {
    if (range.mLow != covered || range.mHigh <= range.mLow) {
      return false;
    }
    covered = range.mHigh;
  }
  return covered == kKeySpace;
}

bool
Offers(const Replica& aReplica, IndexVersion aVersion)
{
  const std::vector<IndexVersion>& versions = aReplica.mInfo.mVersions;
  return aReplica.mInfo.mState == UpstreamState::Ready &&
         std::find(versions.begin(), versions.end(), aVersion) != versions.end() &&
         !aReplica.mGone.contains(aVersion);
}

SnapshotPlan
ChooseSnapshot(const Engine& aEngine, const CollectionPolicy& aCollection)
{
  SnapshotPlan plan;
  std::vector<std::vector<MapShards>> services;
  std::vector<const MapShards*> newest;
  std::set<IndexVersion, std::greater<>> versions;
  for (const std::string& service : aCollection.mServices) {
    std::vector<MapShards> maps = CompleteMaps(aEngine, service);
    if (maps.empty()) {
      plan.mNotAnnounced.push_back({ { service, 0, 0 }, MissingReason::NotAnnounced });
      continue;
    }
    versions.merge(AllVersions(maps));
    services.push_back(std::move(maps));
  }
  for (const std::vector<MapShards>& maps : services) {
    newest.push_back(&NewestReady(maps));
  }
  Pick pick = PickVersion(newest, versions);
  if (pick.mOffered < pick.Expected()) {
    pick = PickOlderMaps(services, versions).value_or(std::move(pick));
  }
  plan.mSnapshot.mVersion = pick.mVersion;
  for (const MapShards* const shards : pick.mMaps) {
    plan.mSnapshot.mMaps[shards->front()->mKey.mService] = shards->front()->mKey.mMap;
    plan.mShards.insert(plan.mShards.end(), shards->begin(), shards->end());
  }
  return plan;
}

} // namespace apricotyard
