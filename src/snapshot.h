// Chooses the snapshot that a query is pinned to.
#ifndef APRICOTYARD_SNAPSHOT_H
#define APRICOTYARD_SNAPSHOT_H

#include "engine.h"

namespace apricotyard {

struct SnapshotChoice
{
  Snapshot mSnapshot;
  // Every shard that the answer must account for. A service without a complete partition map
  // counts as one shard with map 0 and is also listed in mMissing.
  std::vector<ShardKey> mExpected;
  std::vector<MissingShard> mMissing;
};

// Pins the newest complete partition map of each service, and the newest index version that covers
// the most shards of these maps. Only upstreams in state Ready or Draining count; the latter serve
// running work but get no new sub-requests. Pure.
SnapshotChoice
ChooseSnapshot(const Engine& aEngine, const CollectionPolicy& aCollection);

// True if the ranges cover the key space without gap or overlap. The order does not matter.
bool
CoversKeySpace(std::vector<KeyRange> aRanges);

} // namespace apricotyard

#endif
