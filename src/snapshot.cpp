#include "snapshot.h"

#include <algorithm>
#include <functional>

namespace apricotyard {

namespace {

// The shards of one partition map of a service.
using MapShards = std::vector<ShardState*>;

// Returns the complete partition maps of the service, newest first.
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
AnyServesVersion(const ShardState& aShard, IndexVersion aVersion)
{
  return std::any_of(
    aShard.mReplicas.begin(), aShard.mReplicas.end(), [aVersion](const Replica* aReplica) {
      return ServesVersion(*aReplica, aVersion);
    });
}

bool
IsReady(const ShardState& aShard)
{
  return std::any_of(aShard.mReplicas.begin(), aShard.mReplicas.end(), [](const Replica* aReplica) {
    return aReplica->mInfo.mState == UpstreamState::Ready;
  });
}

std::size_t
CountServing(const MapShards& aShards, IndexVersion aVersion)
{
  return static_cast<std::size_t>(
    std::count_if(aShards.begin(), aShards.end(), [aVersion](const ShardState* aShard) {
      return AnyServesVersion(*aShard, aVersion);
    }));
}

// Returns the newest map whose shards all have a ready replica, or else the newest map. A new map
// that is still starting must not replace one that serves.
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

struct SnapshotCandidate
{
  IndexVersion mVersion = 0;
  std::size_t mServed = 0;
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

// Finds the version with the largest coverage of the given maps. Of equals, the newest is returned.
SnapshotCandidate
FindBestCoverage(const std::vector<const MapShards*>& aMaps,
                 const std::set<IndexVersion, std::greater<>>& aVersions)
{
  SnapshotCandidate best{ 0, 0, aMaps };
  for (const IndexVersion version : aVersions) {
    std::size_t served = 0;
    for (const MapShards* const shards : aMaps) {
      served += CountServing(*shards, version);
    }
    if (served > best.mServed) {
      best.mVersion = version;
      best.mServed = served;
    }
  }
  return best;
}

// Finds the newest version for which every service has a fully covered complete map.
std::optional<SnapshotCandidate>
FindFullCoverage(const std::vector<std::vector<MapShards>>& aServices,
                 const std::set<IndexVersion, std::greater<>>& aVersions)
{
  for (const IndexVersion version : aVersions) {
    SnapshotCandidate candidate{ version, 0, {} };
    for (const std::vector<MapShards>& maps : aServices) {
      const auto coveringMap =
        std::find_if(maps.begin(), maps.end(), [version](const MapShards& aShards) {
          return CountServing(aShards, version) == aShards.size();
        });
      if (coveringMap == maps.end()) {
        break;
      }
      candidate.mMaps.push_back(&*coveringMap);
    }
    if (candidate.mMaps.size() == aServices.size()) {
      return candidate;
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
ServesVersion(const Replica& aReplica, IndexVersion aVersion)
{
  const std::vector<IndexVersion>& versions = aReplica.mInfo.mVersions;
  return aReplica.mInfo.mState == UpstreamState::Ready &&
         std::find(versions.begin(), versions.end(), aVersion) != versions.end() &&
         !aReplica.mRejectedVersions.contains(aVersion);
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
  SnapshotCandidate candidate = FindBestCoverage(newest, versions);
  if (candidate.mServed < candidate.Expected()) {
    candidate = FindFullCoverage(services, versions).value_or(std::move(candidate));
  }
  plan.mSnapshot.mVersion = candidate.mVersion;
  for (const MapShards* const shards : candidate.mMaps) {
    plan.mSnapshot.mMaps[shards->front()->mKey.mService] = shards->front()->mKey.mMap;
    plan.mShards.insert(plan.mShards.end(), shards->begin(), shards->end());
  }
  return plan;
}

} // namespace apricotyard
