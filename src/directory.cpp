#include "directory.h"

#include "settings.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

// Serializes all fields of an announcement except its sequence number.
std::string
SerializeContent(const UpstreamInfo& aInfo)
{
  return fmt::format("{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}",
                     aInfo.mService,
                     aInfo.mMap,
                     aInfo.mShard,
                     aInfo.mRange.mLow,
                     aInfo.mRange.mHigh,
                     aInfo.mAddress.mIp,
                     aInfo.mAddress.mPort,
                     aInfo.mDataCentre,
                     aInfo.mSlots,
                     aInfo.mConnections,
                     fmt::join(aInfo.mVersions, ","),
                     static_cast<int>(aInfo.mState));
}

std::uint64_t
HashRecord(const DirectoryRecord& aRecord)
{
  const UpstreamInfo& info = aRecord.mInfo;
  const std::string text = fmt::format("{}\n{}\n{}\n{}\n{}\n{}\n{}",
                                       info.mId,
                                       info.mIncarnation,
                                       info.mSequence,
                                       aRecord.mGone ? 1 : 0,
                                       SerializeContent(info),
                                       aRecord.mRegistrar,
                                       aRecord.mRegistrarIncarnation);
  return XXH3_64bits(text.data(), text.size());
}

// Returns whether the two ends of a warm-up differ, as far as they are not in the past.
bool
DiffersInWarmup(const UpstreamInfo& aLeft, const UpstreamInfo& aRight, TimePoint aNow)
{
  const Duration difference =
    std::max(aLeft.mWarmupUntil, aNow) - std::max(aRight.mWarmupUntil, aNow);
  return std::chrono::abs(difference) > kWarmupTolerance;
}

// Total order of the records of one upstream: by incarnation, then by sequence number, then records
// that are gone after those that are not. Records that agree in all three are ordered by content,
// so that every table keeps the same one.
bool
IsGreater(const DirectoryRecord& aLeft, const DirectoryRecord& aRight)
{
  const auto version = [](const DirectoryRecord& aRecord) {
    return std::make_tuple(aRecord.mInfo.mIncarnation, aRecord.mInfo.mSequence, aRecord.mGone);
  };
  if (version(aLeft) != version(aRight)) {
    return version(aLeft) > version(aRight);
  }
  const auto content = [](const DirectoryRecord& aRecord) {
    return std::make_tuple(
      SerializeContent(aRecord.mInfo), aRecord.mRegistrar, aRecord.mRegistrarIncarnation);
  };
  return content(aLeft) > content(aRight);
}

bool
IsRegisteredHere(const Directory& aDirectory, const DirectoryRecord& aRecord)
{
  return aRecord.mRegistrar == aDirectory.mHost &&
         aRecord.mRegistrarIncarnation == aDirectory.mIncarnation;
}

// Returns whether the record is live at aNow: not gone, its lease not over, its registrar not dead.
bool
IsLive(const Directory& aDirectory, const DirectoryRecord& aRecord, TimePoint aNow)
{
  const Duration lease = IsRegisteredHere(aDirectory, aRecord) ? kRegistrarLease : kUpstreamLease;
  if (aRecord.mGone || LastConfirmed(aDirectory, aRecord) + lease <= aNow) {
    return false;
  }
  const auto status = aDirectory.mRegistrars.find(aRecord.mRegistrar);
  return status == aDirectory.mRegistrars.end() || !status->second.mDeclaredDead ||
         status->second.mIncarnation != aRecord.mRegistrarIncarnation;
}

void
StoreRecord(Directory& aDirectory, DirectoryRecord aRecord, TimePoint aNow)
{
  aRecord.mHash = HashRecord(aRecord);
  aRecord.mListed = IsLive(aDirectory, aRecord, aNow);
  aDirectory.mChangedUpstreams.insert(aRecord.mInfo.mId);
  aDirectory.mRecords[aRecord.mInfo.mId] = std::move(aRecord);
}

} // namespace

AnnounceOutcome
ApplyAnnouncement(Directory& aDirectory, const UpstreamInfo& aInfo, TimePoint aNow)
{
  const auto known = aDirectory.mRecords.find(aInfo.mId);
  if (known != aDirectory.mRecords.end()) {
    DirectoryRecord& held = known->second;
    const auto announced = std::tie(aInfo.mIncarnation, aInfo.mSequence);
    // Renewals raise mLastSequence only.
    const std::uint64_t newestSequence = std::max(held.mInfo.mSequence, held.mLastSequence);
    if (announced <= std::tie(held.mInfo.mIncarnation, newestSequence)) {
      const bool equal = announced == std::tie(held.mInfo.mIncarnation, newestSequence);
      if (equal && !held.mGone && SerializeContent(held.mInfo) != SerializeContent(aInfo)) {
        ++aDirectory.mConflicts;
      }
      return AnnounceOutcome::Stale;
    }
    if (IsRegisteredHere(aDirectory, held) && !held.mGone &&
        held.mInfo.mIncarnation == aInfo.mIncarnation &&
        SerializeContent(held.mInfo) == SerializeContent(aInfo) &&
        !DiffersInWarmup(held.mInfo, aInfo, aNow)) {
      held.mLastSequence = aInfo.mSequence;
      held.mConfirmedAt = aNow;
      const bool listed = held.mListed;
      held.mListed = true;
      return listed ? AnnounceOutcome::Renewed : AnnounceOutcome::Changed;
    }
  } else if (aDirectory.mRecords.size() >= kMaxRecords) {
    return AnnounceOutcome::Full;
  }
  DirectoryRecord record;
  record.mInfo = aInfo;
  record.mRegistrar = aDirectory.mHost;
  record.mRegistrarIncarnation = aDirectory.mIncarnation;
  record.mGone = aInfo.mState == UpstreamState::Left;
  record.mConfirmedAt = aNow;
  record.mLastSequence = aInfo.mSequence;
  StoreRecord(aDirectory, std::move(record), aNow);
  return AnnounceOutcome::Changed;
}

AnnounceOutcome
ApplyRecord(Directory& aDirectory, const DirectoryRecord& aRecord, Duration aIdle, TimePoint aNow)
{
  if (aIdle >= kRecordRetention) {
    return AnnounceOutcome::Stale;
  }
  const TimePoint confirmedAt = aNow - std::max(aIdle, Duration(0));
  const auto known = aDirectory.mRecords.find(aRecord.mInfo.mId);
  if (known == aDirectory.mRecords.end()) {
    if (aDirectory.mRecords.size() >= kMaxRecords) {
      return AnnounceOutcome::Full;
    }
  } else {
    DirectoryRecord& held = known->second;
    if (!IsGreater(aRecord, held)) {
      // An equal record may have been confirmed more recently at the sender.
      if (!IsGreater(held, aRecord) && !IsRegisteredHere(aDirectory, held) && !held.mGone) {
        held.mConfirmedAt = std::max(held.mConfirmedAt, confirmedAt);
        if (aRecord.mInfo.mWarmupUntil > held.mInfo.mWarmupUntil &&
            DiffersInWarmup(aRecord.mInfo, held.mInfo, aNow)) {
          held.mInfo.mWarmupUntil = aRecord.mInfo.mWarmupUntil;
          aDirectory.mChangedUpstreams.insert(held.mInfo.mId);
          return AnnounceOutcome::Changed;
        }
      }
      return AnnounceOutcome::Stale;
    }
    if (aRecord.mInfo.mIncarnation == held.mInfo.mIncarnation &&
        aRecord.mInfo.mSequence == held.mInfo.mSequence &&
        SerializeContent(aRecord.mInfo) != SerializeContent(held.mInfo)) {
      ++aDirectory.mConflicts;
    }
    if (IsRegisteredHere(aDirectory, held) && !held.mGone &&
        std::tie(held.mInfo.mIncarnation, held.mLastSequence) >
          std::tie(aRecord.mInfo.mIncarnation, aRecord.mInfo.mSequence)) {
      // This host has received a newer renewal, so its own record must win on all hosts.
      held.mInfo.mSequence = held.mLastSequence;
      held.mHash = HashRecord(held);
      aDirectory.mChangedUpstreams.insert(held.mInfo.mId);
      return AnnounceOutcome::Stale;
    }
  }
  DirectoryRecord record = aRecord;
  record.mConfirmedAt = confirmedAt;
  record.mLastSequence = aRecord.mInfo.mSequence;
  StoreRecord(aDirectory, std::move(record), aNow);
  return AnnounceOutcome::Changed;
}

void
ConfirmRegistrar(Directory& aDirectory,
                 const std::string& aHost,
                 std::uint64_t aIncarnation,
                 TimePoint aHeardAt)
{
  RegistrarStatus& status = aDirectory.mRegistrars[aHost];
  if (aIncarnation < status.mIncarnation) {
    return;
  }
  status.mIncarnation = aIncarnation;
  status.mHeardAt = std::max(status.mHeardAt, aHeardAt);
  status.mDeclaredDead = false;
}

void
MarkRegistrarDead(Directory& aDirectory, const std::string& aHost)
{
  const auto status = aDirectory.mRegistrars.find(aHost);
  if (status != aDirectory.mRegistrars.end()) {
    status->second.mDeclaredDead = true;
  }
}

TimePoint
LastConfirmed(const Directory& aDirectory, const DirectoryRecord& aRecord)
{
  if (aRecord.mGone || IsRegisteredHere(aDirectory, aRecord)) {
    return aRecord.mConfirmedAt;
  }
  const auto status = aDirectory.mRegistrars.find(aRecord.mRegistrar);
  if (status == aDirectory.mRegistrars.end() ||
      status->second.mIncarnation != aRecord.mRegistrarIncarnation) {
    return aRecord.mConfirmedAt;
  }
  return std::max(aRecord.mConfirmedAt, status->second.mHeardAt);
}

std::vector<UpstreamInfo>
ExpireLeases(Directory& aDirectory, TimePoint aNow)
{
  std::vector<UpstreamInfo> expired;
  for (auto entry = aDirectory.mRecords.begin(); entry != aDirectory.mRecords.end();) {
    DirectoryRecord& record = entry->second;
    const TimePoint confirmedAt = LastConfirmed(aDirectory, record);
    if (confirmedAt + kRecordRetention <= aNow) {
      entry = aDirectory.mRecords.erase(entry);
      continue;
    }
    const bool live = IsLive(aDirectory, record, aNow);
    if (record.mListed && !live) {
      expired.push_back(record.mInfo);
    }
    record.mListed = live;
    if (!record.mGone && !live && IsRegisteredHere(aDirectory, record)) {
      DirectoryRecord gone = record;
      gone.mGone = true;
      gone.mInfo.mSequence = gone.mLastSequence;
      gone.mConfirmedAt = aNow;
      StoreRecord(aDirectory, std::move(gone), aNow);
    }
    ++entry;
  }
  return expired;
}

std::vector<UpstreamInfo>
ListUpstreams(const Directory& aDirectory)
{
  std::vector<UpstreamInfo> upstreams;
  upstreams.reserve(aDirectory.mRecords.size());
  for (const auto& [id, record] : aDirectory.mRecords) {
    if (record.mListed) {
      upstreams.push_back(record.mInfo);
    }
  }
  return upstreams;
}

std::vector<std::string>
TakeChanges(Directory& aDirectory)
{
  std::vector<std::string> changes(aDirectory.mChangedUpstreams.begin(),
                                   aDirectory.mChangedUpstreams.end());
  aDirectory.mChangedUpstreams.clear();
  return changes;
}

std::size_t
BucketOf(const std::string& aUpstream)
{
  return XXH3_64bits(aUpstream.data(), aUpstream.size()) % kDigestBuckets;
}

Digest
ComputeDigest(const Directory& aDirectory)
{
  Digest digest{};
  for (const auto& [id, record] : aDirectory.mRecords) {
    digest[BucketOf(id)] ^= record.mHash;
  }
  return digest;
}

std::vector<std::uint32_t>
DifferingBuckets(const Digest& aLeft, const Digest& aRight)
{
  std::vector<std::uint32_t> buckets;
  for (std::uint32_t i = 0; i < kDigestBuckets; ++i) {
    if (aLeft[i] != aRight[i]) {
      buckets.push_back(i);
    }
  }
  return buckets;
}

std::vector<std::uint64_t>
BucketHashes(const Directory& aDirectory, std::span<const std::uint32_t> aBuckets)
{
  std::vector<std::uint64_t> hashes;
  for (const auto& [id, record] : aDirectory.mRecords) {
    if (std::find(aBuckets.begin(), aBuckets.end(), BucketOf(id)) != aBuckets.end()) {
      hashes.push_back(record.mHash);
    }
  }
  return hashes;
}

BucketDifference
CompareBuckets(const Directory& aDirectory,
               std::span<const std::uint32_t> aBuckets,
               std::span<const std::uint64_t> aHashes,
               std::size_t aMaxRecords)
{
  BucketDifference difference;
  std::set<std::uint64_t> peerHashes(aHashes.begin(), aHashes.end());
  for (const auto& [id, record] : aDirectory.mRecords) {
    if (std::find(aBuckets.begin(), aBuckets.end(), BucketOf(id)) == aBuckets.end()) {
      continue;
    }
    if (peerHashes.erase(record.mHash) == 0 && difference.mUpstreamsToSend.size() < aMaxRecords) {
      difference.mUpstreamsToSend.push_back(id);
    }
  }
  difference.mMissingHashes.assign(peerHashes.begin(), peerHashes.end());
  return difference;
}

} // namespace apricotyard
