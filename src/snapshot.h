// Selection of the snapshot to which a query is pinned.
#ifndef APRICOTYARD_SNAPSHOT_H
#define APRICOTYARD_SNAPSHOT_H

#include "engine.h"

namespace apricotyard {

// Chooses the snapshot for a new query of the collection (design, section 5.1). Pure.
//
// Preferred is the newest index version that a ready replica of every shard serves, using the
// newest complete partition map of each service. If no version covers these maps, for example while
// a repartition and a new index are being rolled out, older complete maps are tried. Only then is
// the version with the largest coverage of the newest maps used. A service without a complete map
// is reported as one missing shard with map 0.
SnapshotPlan
ChooseSnapshot(const Engine& aEngine, const CollectionPolicy& aCollection);

// Returns true if the replica is ready and serves this version.
bool
ServesVersion(const Replica& aReplica, IndexVersion aVersion);

// Returns true if the ranges, in any order, cover the key space without gaps or overlaps.
bool
CoversKeySpace(std::vector<KeyRange> aRanges);

} // namespace apricotyard

#endif
