#include "upstreams.h"

#include "snapshot.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

// Number of replicas that announce each key range of a shard. Replicas that disagree with the
// majority are not used, because their replies would cover other keys.
using RangeVotes = std::map<ShardKey, std::map<std::pair<std::uint64_t, std::uint64_t>, int>>;

ShardKey
KeyOf(const UpstreamInfo& aInfo)
{
  return { aInfo.mService, aInfo.mMap, aInfo.mShard };
}

RangeVotes
CountRanges(const std::vector<UpstreamInfo>& aUpstreams)
{
  RangeVotes votes;
  for (const UpstreamInfo& info : aUpstreams) {
    if (info.mState != UpstreamState::Left) {
      ++votes[KeyOf(info)][{ info.mRange.mLow, info.mRange.mHigh }];
    }
  }
  return votes;
}

KeyRange
MajorityRange(const std::map<std::pair<std::uint64_t, std::uint64_t>, int>& aVotes)
{
  const auto most =
    std::max_element(aVotes.begin(), aVotes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return { most->first.first, most->first.second };
}

ShardState&
FindOrAddShard(Engine& aEngine, const ShardKey& aKey, const KeyRange& aRange)
{
  std::unique_ptr<ShardState>& shard = aEngine.mShards[aKey];
  if (shard == nullptr) {
    shard = std::make_unique<ShardState>();
    shard->mKey = aKey;
    shard->mNumber = aEngine.mNextShardNumber++;
    aEngine.mShardNumbers[shard->mNumber] = shard.get();
    std::unique_ptr<ServiceState>& service = aEngine.mServices[aKey.mService];
    if (service == nullptr) {
      service = std::make_unique<ServiceState>();
    }
    shard->mService = service.get();
  }
  shard->mRange = aRange;
  return *shard;
}

// Applies one announcement. A new incarnation discards the latency and health of the old process.
// aShardServed tells whether the shard had replicas before, so that a new one needs a slow start.
void
UpdateReplica(Engine& aEngine, Replica& aReplica, const UpstreamInfo& aInfo, bool aShardServed)
{
  const UpstreamInfo& old = aReplica.mInfo;
  const bool isNew = aReplica.mSerial == 0;
  if (isNew) {
    aReplica.mSerial = aEngine.mNextSerial++;
    aReplica.mSlowStartDue = aShardServed;
  } else if (old.mIncarnation != aInfo.mIncarnation) {
    aEngine.mRestartedUpstreams.push_back(aInfo.mId);
    aReplica.mLatency = {};
    aReplica.mHealth = {};
    aReplica.mSlowStartDue = true;
  } else if (old.mState == UpstreamState::Starting && aInfo.mState == UpstreamState::Ready) {
    aReplica.mSlowStartDue = true;
  }
  if (old.mIncarnation != aInfo.mIncarnation || old.mSequence != aInfo.mSequence ||
      old.mVersions != aInfo.mVersions) {
    aReplica.mRejectedVersions.clear();
  }
  aReplica.mInfo = aInfo;
}

std::uint32_t
SlotsOf(const Engine& aEngine, const UpstreamInfo& aInfo)
{
  if (!aEngine.mShares) {
    return aInfo.mSlots;
  }
  const auto found = aEngine.mShares->find(aInfo.mId);
  return found == aEngine.mShares->end() ? 0 : std::min(found->second, aInfo.mSlots);
}

// Returns how many attempts may be in flight to the upstream. A slot of a replica in another data
// centre is idle while requests and replies travel. Keeping it busy takes slots * (service time +
// round trip) / service time attempts, which Tuning::mRemoteWindow approximates by a fixed factor.
// The extra attempts are on the link, not in the replica.
std::uint32_t
MaxInFlight(const Engine& aEngine, const UpstreamInfo& aInfo)
{
  const std::uint32_t share = SlotsOf(aEngine, aInfo);
  const bool local = aInfo.mDataCentre == aEngine.mDataCentre;
  return local ? share : share * aEngine.mTuning.mRemoteWindow;
}

void
RemoveUnlisted(Engine& aEngine, const std::set<std::string_view>& aListed)
{
  absl::erase_if(aEngine.mReplicas, [&](auto& aEntry) {
    if (aListed.contains(aEntry.first)) {
      return false;
    }
    aEntry.second->mShard = nullptr;
    if (aEntry.second->mInFlight > 0) {
      aEngine.mRemoved.push_back(std::move(aEntry.second));
    }
    return true;
  });
  std::erase_if(aEngine.mRemoved, [](const auto& aReplica) { return aReplica->mInFlight == 0; });
}

void
RemoveUnusedShards(Engine& aEngine)
{
  std::erase_if(aEngine.mShards, [&aEngine](const auto& aEntry) {
    const ShardState& shard = *aEntry.second;
    if (!shard.mReplicas.empty() || shard.mReferences > 0) {
      return false;
    }
    aEngine.mShardNumbers.erase(shard.mNumber);
    return true;
  });
}

// Recomputes the slots and the full shards, and schedules all waiting work for another try.
void
RecountShards(Engine& aEngine)
{
  for (auto& [name, service] : aEngine.mServices) {
    service->mFullShards = 0;
  }
  for (auto& [key, shard] : aEngine.mShards) {
    shard->mFull = false;
    shard->mInFlight = 0;
    for (Replica* const replica : shard->mReplicas) {
      replica->mMaxInFlight = MaxInFlight(aEngine, replica->mInfo);
      shard->mInFlight += replica->mInFlight;
    }
    UpdateSlots(aEngine, *shard);
    ScheduleDispatch(aEngine, *shard);
  }
  aEngine.mPlans.clear();
  aEngine.mAdmissionPending = true;
  aEngine.mUpstreamsChanged = true;
}

} // namespace

void
UpdateFull(Engine& aEngine, ShardState& aShard)
{
  const auto waiting = static_cast<std::uint32_t>(aShard.mWaiting.size());
  const auto backlog = static_cast<std::uint32_t>(
    std::ceil(static_cast<double>(aShard.mSlots) * aEngine.mTuning.mOvercommit));
  const bool full = aShard.mSlots > 0 && aShard.mConsecutiveFailures < kFailuresUntilShardDown &&
                    aShard.mInFlight + waiting >= aShard.mSlots + backlog;
  if (full == aShard.mFull) {
    return;
  }
  aShard.mFull = full;
  if (full) {
    ++aShard.mService->mFullShards;
  } else {
    --aShard.mService->mFullShards;
    aEngine.mAdmissionPending = true;
  }
}

void
UpdateSlots(Engine& aEngine, ShardState& aShard)
{
  aShard.mSlots = 0;
  for (const Replica* const replica : aShard.mReplicas) {
    if (replica->mInfo.mState == UpstreamState::Ready) {
      aShard.mSlots += replica->mMaxInFlight;
    }
  }
  UpdateFull(aEngine, aShard);
}

void
ScheduleDispatch(Engine& aEngine, ShardState& aShard)
{
  if (!aShard.mDispatchScheduled) {
    aShard.mDispatchScheduled = true;
    aEngine.mDispatchPending.push_back(&aShard);
  }
}

std::shared_ptr<const SnapshotPlan>
PlanFor(Engine& aEngine, const CollectionPolicy& aCollection)
{
  std::shared_ptr<const SnapshotPlan>& plan = aEngine.mPlans[aCollection.mName];
  if (plan == nullptr) {
    plan = std::make_shared<const SnapshotPlan>(ChooseSnapshot(aEngine, aCollection));
  }
  return plan;
}

bool
HasCapacity(const Engine& aEngine, const CollectionPolicy& aCollection)
{
  return std::all_of(aCollection.mServices.begin(),
                     aCollection.mServices.end(),
                     [&aEngine](const std::string& aName) {
                       const auto service = aEngine.mServices.find(aName);
                       return service == aEngine.mServices.end() ||
                              service->second->mFullShards == 0;
                     });
}

void
SetUpstreams(Engine& aEngine, const std::vector<UpstreamInfo>& aUpstreams)
{
  const RangeVotes votes = CountRanges(aUpstreams);
  std::set<ShardKey> servedShards;
  for (ShardState* const shard : aEngine.mDispatchPending) {
    shard->mDispatchScheduled = false;
  }
  aEngine.mDispatchPending.clear();
  for (auto& [key, shard] : aEngine.mShards) {
    if (!shard->mReplicas.empty()) {
      servedShards.insert(key);
    }
    shard->mReplicas.clear();
  }
  std::set<std::string_view> listed;
  for (const UpstreamInfo& info : aUpstreams) {
    if (info.mState == UpstreamState::Left || !listed.insert(info.mId).second) {
      continue;
    }
    std::unique_ptr<Replica>& replica = aEngine.mReplicas[info.mId];
    if (replica == nullptr) {
      replica = std::make_unique<Replica>();
    }
    const ShardKey key = KeyOf(info);
    UpdateReplica(aEngine, *replica, info, servedShards.contains(key));
    const KeyRange range = MajorityRange(votes.at(key));
    replica->mShard = nullptr;
    if (range == info.mRange) {
      ShardState& shard = FindOrAddShard(aEngine, key, range);
      shard.mReplicas.push_back(replica.get());
      replica->mShard = &shard;
    }
  }
  RemoveUnlisted(aEngine, listed);
  RemoveUnusedShards(aEngine);
  RecountShards(aEngine);
}

void
SetShares(Engine& aEngine, std::map<std::string, std::uint32_t> aShares)
{
  aEngine.mShares = std::move(aShares);
  RecountShards(aEngine);
}

} // namespace apricotyard
