#include "fleet_registry.h"

#include <algorithm>
#include <limits>

namespace apricotyard {

namespace {

// Sequence number of a removal. It is greater than every sequence number that an upstream reaches,
// so that no announcement of the removed incarnation is newer.
constexpr std::uint64_t kRemovalSequence = std::numeric_limits<std::uint32_t>::max();

bool
IsInScope(const Directory& aDirectory, const DirectoryRecord& aRecord, RecordScope aScope)
{
  const bool own = aRecord.mRegistrar == aDirectory.mHost &&
                   aRecord.mRegistrarIncarnation == aDirectory.mIncarnation;
  switch (aScope) {
    case RecordScope::Own:
      return own;
    case RecordScope::OwnAndLeaving:
      return own || IsLeaving(aRecord.mInfo);
    case RecordScope::All:
      return true;
  }
  return true;
}

void
AssignChangeNumbers(FleetRegistry& aRegistry)
{
  for (const std::string& id : TakeChanges(aRegistry.mDirectory)) {
    std::uint64_t& number = aRegistry.mChangedAt[id];
    aRegistry.mUpstreamByChange.erase(number);
    number = ++aRegistry.mCursor;
    aRegistry.mUpstreamByChange.emplace(number, id);
  }
}

} // namespace

bool
IsLeaving(const UpstreamInfo& aInfo)
{
  return aInfo.mState == UpstreamState::Draining || aInfo.mState == UpstreamState::Left;
}

AnnounceOutcome
RegisterUpstream(FleetRegistry& aRegistry, const UpstreamInfo& aInfo, TimePoint aNow)
{
  const AnnounceOutcome outcome = ApplyAnnouncement(aRegistry.mDirectory, aInfo, aNow);
  AssignChangeNumbers(aRegistry);
  return outcome;
}

bool
RemoveUpstream(FleetRegistry& aRegistry,
               const std::string& aId,
               std::uint64_t aIncarnation,
               TimePoint aNow)
{
  const auto known = aRegistry.mDirectory.mRecords.find(aId);
  if (known == aRegistry.mDirectory.mRecords.end() ||
      (aIncarnation != 0 && known->second.mInfo.mIncarnation > aIncarnation)) {
    return false;
  }
  UpstreamInfo info = known->second.mInfo;
  if (info.mState == UpstreamState::Left) {
    return true;
  }
  info.mState = UpstreamState::Left;
  info.mSequence = std::max(kRemovalSequence, info.mSequence + 1);
  RegisterUpstream(aRegistry, info, aNow);
  return true;
}

void
RecordHostCall(FleetRegistry& aRegistry, const FleetHost& aHost, TimePoint aNow)
{
  KnownHost& known = aRegistry.mHosts[aHost.mIp];
  // A call of an earlier process may arrive after the first call of its successor.
  if (aHost.mIncarnation >= known.mHost.mIncarnation) {
    known = { aHost, aNow };
  }
}

bool
IsRecentlyHeard(const KnownHost& aHost, TimePoint aNow)
{
  return aHost.mHeardAt + std::max(kMinGatewayTimeout, kGatewayTimeoutPauses * aHost.mHost.mPause) >
         aNow;
}

void
ApplyRemoteRecord(FleetRegistry& aRegistry,
                  const DirectoryRecord& aRecord,
                  Duration aIdle,
                  TimePoint aNow)
{
  ApplyRecord(aRegistry.mDirectory, aRecord, aIdle, aNow);
  AssignChangeNumbers(aRegistry);
}

void
ExpireRegistry(FleetRegistry& aRegistry, TimePoint aNow)
{
  ExpireLeases(aRegistry.mDirectory, aNow);
  AssignChangeNumbers(aRegistry);
  std::erase_if(aRegistry.mUpstreamByChange, [&aRegistry](const auto& aChange) {
    const bool forgotten = !aRegistry.mDirectory.mRecords.contains(aChange.second);
    if (forgotten) {
      aRegistry.mChangedAt.erase(aChange.second);
    }
    return forgotten;
  });
}

std::vector<const DirectoryRecord*>
ChangedSince(const FleetRegistry& aRegistry, std::uint64_t aCursor, RecordScope aScope)
{
  return NextChanges(aRegistry, aCursor, aScope, std::numeric_limits<std::size_t>::max()).mRecords;
}

RecordChanges
NextChanges(const FleetRegistry& aRegistry,
            std::uint64_t aCursor,
            RecordScope aScope,
            std::size_t aMaxRecords)
{
  RecordChanges changes;
  changes.mCursor = aRegistry.mCursor;
  const Directory& directory = aRegistry.mDirectory;
  std::uint64_t last = aCursor;
  for (auto change = aRegistry.mUpstreamByChange.upper_bound(aCursor);
       change != aRegistry.mUpstreamByChange.end();
       ++change) {
    const auto record = directory.mRecords.find(change->second);
    if (record == directory.mRecords.end() || !IsInScope(directory, record->second, aScope)) {
      continue;
    }
    if (changes.mRecords.size() == aMaxRecords) {
      changes.mCursor = last;
      changes.mMore = true;
      break;
    }
    changes.mRecords.push_back(&record->second);
    last = change->first;
  }
  return changes;
}

std::vector<const FleetHost*>
ServingGateways(const FleetRegistry& aRegistry, TimePoint aNow)
{
  std::vector<const FleetHost*> gateways;
  for (const auto& [ip, known] : aRegistry.mHosts) {
    if (known.mHost.mRole == FleetRole::Gateway && known.mHost.mServing &&
        IsRecentlyHeard(known, aNow)) {
      gateways.push_back(&known.mHost);
    }
  }
  return gateways;
}

std::vector<const FleetHost*>
PreferredGateways(std::vector<const FleetHost*> aGateways)
{
  std::vector<const FleetHost*> preferred;
  std::copy_if(aGateways.begin(),
               aGateways.end(),
               std::back_inserter(preferred),
               [](const FleetHost* aHost) { return !aHost->mAvoidCallers; });
  return preferred.empty() ? aGateways : preferred;
}

} // namespace apricotyard
