#include "snapshot.h"

#include <algorithm>

namespace apricotyard {

namespace {

bool
TakesNewWork(const UpstreamInfo& aInfo)
{
  return aInfo.mState == UpstreamState::Ready;
}

// The shards of each announced partition map of one service.
using MapShards = std::map<std::uint32_t, std::map<std::uint32_t, KeyRange>>;

MapShards
CollectMaps(const Engine& aEngine, const std::string& aService)
{
  MapShards maps;
  const auto first = aEngine.mShardReplicas.lower_bound(ShardKey{ aService, 0, 0 });
  for (auto entry = first; entry != aEngine.mShardReplicas.end(); ++entry) {
    const ShardKey& key = entry->first;
    if (key.mService != aService) {
      break;
    }
    for (const std::string& id : entry->second) {
      const UpstreamInfo& info = aEngine.mReplicas.at(id).mInfo;
      if (info.mState != UpstreamState::Left) {
        maps[key.mMap].emplace(key.mShard, info.mRange);
      }
    }
  }
  return maps;
}

bool
IsComplete(const std::map<std::uint32_t, KeyRange>& aShards)
{
  std::vector<KeyRange> ranges;
  for (const auto& [shard, range] : aShards) {
    ranges.push_back(range);
  }
  return CoversKeySpace(std::move(ranges));
}

void
ChooseMap(const Engine& aEngine, const std::string& aService, SnapshotChoice& aChoice)
{
  const MapShards maps = CollectMaps(aEngine, aService);
  for (auto map = maps.rbegin(); map != maps.rend(); ++map) {
    if (!IsComplete(map->second)) {
      continue;
    }
    aChoice.mSnapshot.mMaps[aService] = map->first;
    for (const auto& [shard, range] : map->second) {
      aChoice.mExpected.push_back({ aService, map->first, shard });
    }
    return;
  }
  const ShardKey unknown{ aService, 0, 0 };
  aChoice.mExpected.push_back(unknown);
  aChoice.mMissing.push_back({ unknown, MissingReason::NotAnnounced });
}

std::set<IndexVersion>
VersionsOf(const Engine& aEngine, const ShardKey& aShard)
{
  std::set<IndexVersion> versions;
  const auto found = aEngine.mShardReplicas.find(aShard);
  if (found == aEngine.mShardReplicas.end()) {
    return versions;
  }
  for (const std::string& id : found->second) {
    const UpstreamInfo& info = aEngine.mReplicas.at(id).mInfo;
    if (TakesNewWork(info)) {
      versions.insert(info.mVersions.begin(), info.mVersions.end());
    }
  }
  return versions;
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

SnapshotChoice
ChooseSnapshot(const Engine& aEngine, const CollectionPolicy& aCollection)
{
  SnapshotChoice choice;
  for (const std::string& service : aCollection.mServices) {
    ChooseMap(aEngine, service, choice);
  }
  std::map<IndexVersion, std::uint32_t> coverage;
  for (const ShardKey& shard : choice.mExpected) {
    for (const IndexVersion version : VersionsOf(aEngine, shard)) {
      ++coverage[version];
    }
  }
  std::uint32_t best = 0;
  for (const auto& [version, shards] : coverage) {
    if (shards >= best) {
      best = shards;
      choice.mSnapshot.mVersion = version;
    }
  }
  return choice;
}

} // namespace apricotyard
