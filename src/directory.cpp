#include "directory.h"

#include "settings.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

// Everything that an announcement says, but for its sequence.
std::string
ContentOf(const UpstreamInfo& aInfo)
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
HashOf(const DirectoryRecord& aRecord)
{
  const UpstreamInfo& info = aRecord.mInfo;
  const std::string text = fmt::format("{}\n{}\n{}\n{}\n{}\n{}\n{}",
                                       info.mId,
                                       info.mIncarnation,
                                       info.mSequence,
                                       aRecord.mGone ? 1 : 0,
                                       ContentOf(info),
                                       aRecord.mRegistrar,
                                       aRecord.mRegistrarIncarnation);
  return XXH3_64bits(text.data(), text.size());
}

// Total order of the records of one upstream. A record that is gone is greater than the same record
// alive; equal versions are ordered by their content, so that every table keeps the same one.
bool
IsGreater(const DirectoryRecord& aLeft, const DirectoryRecord& aRight)
{
  const auto version = [](const DirectoryRecord& aRecord) {
    return std::make_tuple(aRecord.mInfo.mIncarnation, aRecord.mInfo.mSequence, aRecord.mGone);
  };
  if (version(aLeft) != version(aRight)) {
    return version(aLeft) > version(aRight);
  }
  const auto rest = [](const DirectoryRecord& aRecord) {
    return std::make_tuple(
      ContentOf(aRecord.mInfo), aRecord.mRegistrar, aRecord.mRegistrarIncarnation);
  };
  return rest(aLeft) > rest(aRight);
}

bool
IsOwn(const Directory& aDirectory, const DirectoryRecord& aRecord)
{
  return aRecord.mRegistrar == aDirectory.mHost &&
         aRecord.mRegistrarIncarnation == aDirectory.mIncarnation;
}

// True if the upstream is to be listed.
bool
IsValid(const Directory& aDirectory, const DirectoryRecord& aRecord, TimePoint aNow)
{
  const Duration lease = IsOwn(aDirectory, aRecord) ? kRegistrarLease : kUpstreamLease;
  if (aRecord.mGone || LastVouched(aDirectory, aRecord) + lease <= aNow) {
    return false;
  }
  const auto sign = aDirectory.mRegistrars.find(aRecord.mRegistrar);
  return sign == aDirectory.mRegistrars.end() || !sign->second.mLost ||
         sign->second.mIncarnation != aRecord.mRegistrarIncarnation;
}

void
Store(Directory& aDirectory, DirectoryRecord aRecord, TimePoint aNow)
{
  aRecord.mHash = HashOf(aRecord);
  aRecord.mListed = IsValid(aDirectory, aRecord, aNow);
  aDirectory.mChanges.insert(aRecord.mInfo.mId);
  aDirectory.mRecords[aRecord.mInfo.mId] = std::move(aRecord);
}

} // namespace

AnnounceOutcome
ApplyAnnouncement(Directory& aDirectory, const UpstreamInfo& aInfo, TimePoint aNow)
{
  const auto known = aDirectory.mRecords.find(aInfo.mId);
  if (known != aDirectory.mRecords.end()) {
    DirectoryRecord& held = known->second;
    const auto offered = std::tie(aInfo.mIncarnation, aInfo.mSequence);
    const std::uint64_t newest = std::max(held.mInfo.mSequence, held.mLastSequence);
    if (offered <= std::tie(held.mInfo.mIncarnation, newest)) {
      const bool equal = offered == std::tie(held.mInfo.mIncarnation, newest);
      if (equal && !held.mGone && ContentOf(held.mInfo) != ContentOf(aInfo)) {
        ++aDirectory.mContradictions;
      }
      return AnnounceOutcome::Stale;
    }
    if (IsOwn(aDirectory, held) && !held.mGone && held.mInfo.mIncarnation == aInfo.mIncarnation &&
        ContentOf(held.mInfo) == ContentOf(aInfo)) {
      held.mLastSequence = aInfo.mSequence;
      held.mVouchedAt = aNow;
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
  record.mVouchedAt = aNow;
  record.mLastSequence = aInfo.mSequence;
  Store(aDirectory, std::move(record), aNow);
  return AnnounceOutcome::Changed;
}

AnnounceOutcome
ApplyRecord(Directory& aDirectory, const DirectoryRecord& aRecord, Duration aIdle, TimePoint aNow)
{
  if (aIdle >= kRecordKeep) {
    return AnnounceOutcome::Stale;
  }
  const TimePoint vouchedAt = aNow - std::max(aIdle, Duration(0));
  const auto known = aDirectory.mRecords.find(aRecord.mInfo.mId);
  if (known == aDirectory.mRecords.end()) {
    if (aDirectory.mRecords.size() >= kMaxRecords) {
      return AnnounceOutcome::Full;
    }
  } else {
    DirectoryRecord& held = known->second;
    if (!IsGreater(aRecord, held)) {
      if (!IsGreater(held, aRecord) && !IsOwn(aDirectory, held) && !held.mGone) {
        held.mVouchedAt = std::max(held.mVouchedAt, vouchedAt);
      }
      return AnnounceOutcome::Stale;
    }
    if (aRecord.mInfo.mIncarnation == held.mInfo.mIncarnation &&
        aRecord.mInfo.mSequence == held.mInfo.mSequence &&
        ContentOf(aRecord.mInfo) != ContentOf(held.mInfo)) {
      ++aDirectory.mContradictions;
    }
    if (IsOwn(aDirectory, held) && !held.mGone &&
        std::tie(held.mInfo.mIncarnation, held.mLastSequence) >
          std::tie(aRecord.mInfo.mIncarnation, aRecord.mInfo.mSequence)) {
      held.mInfo.mSequence = held.mLastSequence;
      held.mHash = HashOf(held);
      aDirectory.mChanges.insert(held.mInfo.mId);
      return AnnounceOutcome::Stale;
    }
  }
  DirectoryRecord record = aRecord;
  record.mVouchedAt = vouchedAt;
  record.mLastSequence = aRecord.mInfo.mSequence;
  Store(aDirectory, std::move(record), aNow);
  return AnnounceOutcome::Changed;
}

void
VouchRegistrar(Directory& aDirectory,
               const std::string& aHost,
               std::uint64_t aIncarnation,
               TimePoint aHeardAt)
{
  RegistrarSign& sign = aDirectory.mRegistrars[aHost];
  if (aIncarnation < sign.mIncarnation) {
    return;
  }
  sign.mIncarnation = aIncarnation;
  sign.mHeardAt = std::max(sign.mHeardAt, aHeardAt);
  sign.mLost = false;
}

void
DropRegistrar(Directory& aDirectory, const std::string& aHost)
{
  const auto sign = aDirectory.mRegistrars.find(aHost);
  if (sign != aDirectory.mRegistrars.end()) {
    sign->second.mLost = true;
  }
}

TimePoint
LastVouched(const Directory& aDirectory, const DirectoryRecord& aRecord)
{
  if (aRecord.mGone || IsOwn(aDirectory, aRecord)) {
    return aRecord.mVouchedAt;
  }
  const auto sign = aDirectory.mRegistrars.find(aRecord.mRegistrar);
  if (sign == aDirectory.mRegistrars.end() ||
      sign->second.mIncarnation != aRecord.mRegistrarIncarnation) {
    return aRecord.mVouchedAt;
  }
  return std::max(aRecord.mVouchedAt, sign->second.mHeardAt);
}

std::vector<UpstreamInfo>
ExpireLeases(Directory& aDirectory, TimePoint aNow)
{
  std::vector<UpstreamInfo> expired;
  for (auto entry = aDirectory.mRecords.begin(); entry != aDirectory.mRecords.end();) {
    DirectoryRecord& record = entry->second;
    const TimePoint vouched = LastVouched(aDirectory, record);
    if (vouched + kRecordKeep <= aNow) {
      entry = aDirectory.mRecords.erase(entry);
      continue;
    }
    const bool valid = IsValid(aDirectory, record, aNow);
    if (record.mListed && !valid) {
      expired.push_back(record.mInfo);
    }
    record.mListed = valid;
    if (!record.mGone && !valid && IsOwn(aDirectory, record)) {
      DirectoryRecord gone = record;
      gone.mGone = true;
      gone.mInfo.mSequence = gone.mLastSequence;
      gone.mVouchedAt = aNow;
      Store(aDirectory, std::move(gone), aNow);
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
  std::vector<std::string> changes(aDirectory.mChanges.begin(), aDirectory.mChanges.end());
  aDirectory.mChanges.clear();
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
  std::set<std::uint64_t> theirs(aHashes.begin(), aHashes.end());
  for (const auto& [id, record] : aDirectory.mRecords) {
    if (std::find(aBuckets.begin(), aBuckets.end(), BucketOf(id)) == aBuckets.end()) {
      continue;
    }
    if (theirs.erase(record.mHash) == 0 && difference.mSend.size() < aMaxRecords) {
      difference.mSend.push_back(id);
    }
  }
  difference.mWant.assign(theirs.begin(), theirs.end());
  return difference;
}

} // namespace apricotyard
