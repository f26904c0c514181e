// Chooses the snapshot that a query is pinned to.
#ifndef APRICOTYARD_SNAPSHOT_H
#define APRICOTYARD_SNAPSHOT_H

#include "engine.h"

namespace apricotyard {

// The snapshot that a query of the collection gets now: by section 5.1 the newest index version
// that every shard of the newest complete maps offers on a ready replica, else the version with the
// largest coverage. If the newest maps cannot be covered, for example because a repartition and a
// new index are half announced, older complete maps are tried before coverage is given up. A
// service without a complete map is listed as one missing shard with map 0. Pure.
SnapshotPlan
ChooseSnapshot(const Engine& aEngine, const CollectionPolicy& aCollection);

// True if the replica takes new work at this version.
bool
Offers(const Replica& aReplica, IndexVersion aVersion);

// True if the ranges cover the key space without gap or overlap. The order does not matter.
bool
CoversKeySpace(std::vector<KeyRange> aRanges);

} // namespace apricotyard

#endif
