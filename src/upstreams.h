// The engine's table of upstreams: shards, replicas, slots, and which shards are full.
#ifndef APRICOTYARD_UPSTREAMS_H
#define APRICOTYARD_UPSTREAMS_H

#include "engine.h"

namespace apricotyard {

// A shard whose replicas all fail does not hold back admission after this many failures in a row,
// so that queries still get the other shards' answers.
inline constexpr std::uint32_t kFailuresOfDeadShard = 16;

// Recomputes whether the shard takes further queries, after its load, slots or failures changed.
void
UpdateFull(Engine& aEngine, ShardState& aShard);

// Recomputes the slots of a shard after the state or share of a replica changed.
void
UpdateSlots(Engine& aEngine, ShardState& aShard);

// Queues the shard for the next round of sends.
void
QueuePump(Engine& aEngine, ShardState& aShard);

// The snapshot for a new query of the collection, from the cache if nothing changed.
std::shared_ptr<const SnapshotPlan>
PlanFor(Engine& aEngine, const CollectionPolicy& aCollection);

// True if no shard of the collection's services is full.
bool
HasRoom(const Engine& aEngine, const CollectionPolicy& aCollection);

} // namespace apricotyard

#endif
