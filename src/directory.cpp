#include "directory.h"

#include <tuple>

namespace apricotyard {

namespace {

bool
SameContent(const UpstreamInfo& aLeft, UpstreamInfo aRight)
{
  aRight.mSequence = aLeft.mSequence;
  return aLeft == aRight;
}

} // namespace

AnnounceOutcome
ApplyAnnouncement(Directory& aDirectory, const UpstreamInfo& aInfo, TimePoint aNow)
{
  const auto known = aDirectory.mRecords.find(aInfo.mId);
  if (known == aDirectory.mRecords.end()) {
    aDirectory.mRecords.emplace(aInfo.mId, DirectoryRecord{ aInfo, aNow + kUpstreamLease });
    return AnnounceOutcome::Changed;
  }
  UpstreamInfo& held = known->second.mInfo;
  if (std::tie(aInfo.mIncarnation, aInfo.mSequence) <=
      std::tie(held.mIncarnation, held.mSequence)) {
    return AnnounceOutcome::Stale;
  }
  const bool same = SameContent(held, aInfo);
  held = aInfo;
  known->second.mLeaseEnd = aNow + kUpstreamLease;
  return same ? AnnounceOutcome::Renewed : AnnounceOutcome::Changed;
}

std::vector<UpstreamInfo>
ExpireLeases(Directory& aDirectory, TimePoint aNow)
{
  std::vector<UpstreamInfo> expired;
  for (auto record = aDirectory.mRecords.begin(); record != aDirectory.mRecords.end();) {
    if (record->second.mLeaseEnd > aNow) {
      ++record;
      continue;
    }
    expired.push_back(record->second.mInfo);
    record = aDirectory.mRecords.erase(record);
  }
  return expired;
}

std::vector<UpstreamInfo>
ListUpstreams(const Directory& aDirectory)
{
  std::vector<UpstreamInfo> upstreams;
  upstreams.reserve(aDirectory.mRecords.size());
  for (const auto& [id, record] : aDirectory.mRecords) {
    upstreams.push_back(record.mInfo);
  }
  return upstreams;
}

} // namespace apricotyard
