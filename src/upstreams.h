// The engine's table of upstreams: shards, replicas, slots, and which shards are full. Internal to
// the engine; not thread-safe.
#ifndef APRICOTYARD_UPSTREAMS_H
#define APRICOTYARD_UPSTREAMS_H

#include "engine.h"

namespace apricotyard {

// After this many consecutive failures a shard counts as down and no longer holds back admission,
// so that queries still get the answers of the other shards.
inline constexpr std::uint32_t kFailuresUntilShardDown = 16;

// Recomputes whether the shard is full. Must be called after its load, slots or consecutive
// failures change.
void
UpdateFull(Engine& aEngine, ShardState& aShard);

// Recomputes the slots of the shard. Must be called after the state or limit of a replica changes.
void
UpdateSlots(Engine& aEngine, ShardState& aShard);

// Marks the shard so that its waiting sub-requests are sent before the current or next engine call
// ends.
void
ScheduleDispatch(Engine& aEngine, ShardState& aShard);

// Returns the plan for a new query of the collection, cached until something changes.
std::shared_ptr<const SnapshotPlan>
PlanFor(Engine& aEngine, const CollectionPolicy& aCollection);

// Returns true if no shard of the collection's services is full.
bool
HasCapacity(const Engine& aEngine, const CollectionPolicy& aCollection);

} // namespace apricotyard

#endif
