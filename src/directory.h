// Table of announced upstreams that all entry hosts share. Free functions over a plain struct; not
// thread-safe.
//
// A record is the newest announcement of one upstream together with its registrar, the entry host
// that received it. Records are totally ordered, and a table keeps the greatest record of each
// upstream, so tables that saw the same records are equal whatever the order and the duplicates.
// The table is a state-based replicated data type (Shapiro et al., "Conflict-free Replicated Data
// Types", 2011).
#ifndef APRICOTYARD_DIRECTORY_H
#define APRICOTYARD_DIRECTORY_H

#include "types.h"

#include <array>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace apricotyard {

// An upstream that does not renew within this time is no longer listed.
inline constexpr Duration kUpstreamLease = std::chrono::seconds(6);
// The registrar ends the lease early, so that every host has learned of a silent upstream when its
// lease is over: 250 ms between checks and, at 780 hosts, up to 1 s until the last host knows. An
// upstream that renews every 2 s and waits 1 s for an answer can still try two other hosts.
inline constexpr Duration kRegistrarLease = std::chrono::milliseconds(4750);
// A record that is gone or whose lease ended is kept this long, so that an old announcement cannot
// revive it. At 2,100 restarts a day this is about 2,100 records of 200 bytes.
inline constexpr Duration kRecordKeep = std::chrono::hours(24);
// The table never holds more records; further unknown upstreams are refused.
inline constexpr std::size_t kMaxRecords = 65'536;
inline constexpr std::size_t kDigestBuckets = 64;

struct DirectoryRecord
{
  // mInfo.mSequence is the sequence at the last change; renewals do not raise it, so that they
  // change no digest.
  UpstreamInfo mInfo;
  std::string mRegistrar;
  std::uint64_t mRegistrarIncarnation = 0;
  // The upstream left, or its registrar saw its lease end.
  bool mGone = false;

  // The fields below are local to one table.
  // When the upstream or its registrar last confirmed the record, or when it went.
  TimePoint mVouchedAt;
  // The newest sequence that this host received as the registrar.
  std::uint64_t mLastSequence = 0;
  std::uint64_t mHash = 0;
  bool mListed = false;
};

struct RegistrarSign
{
  std::uint64_t mIncarnation = 0;
  TimePoint mHeardAt;
  // Declared dead; its records are not listed until it is heard again.
  bool mLost = false;
};

struct Directory
{
  // The entry host that holds this table.
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::map<std::string, DirectoryRecord> mRecords;
  std::map<std::string, RegistrarSign> mRegistrars;
  // Upstreams whose record changed since TakeChanges.
  std::set<std::string> mChanges;
  // Announcements with equal (incarnation, sequence) and different content.
  std::uint64_t mContradictions = 0;
};

enum class AnnounceOutcome : std::uint8_t
{
  Changed, // the record is new or differs
  Renewed, // the lease was extended, nothing else changed
  Stale,   // an equal or newer announcement is already known
  Full,    // the table holds kMaxRecords
};

// Applies an announcement that an upstream sent to this host.
AnnounceOutcome
ApplyAnnouncement(Directory& aDirectory, const UpstreamInfo& aInfo, TimePoint aNow);

// Applies a record of another entry host. aIdle is the time since its sender last had it confirmed.
// If this host is the registrar and knows a newer renewal, it raises its own record above aRecord
// and lists it as a change.
AnnounceOutcome
ApplyRecord(Directory& aDirectory, const DirectoryRecord& aRecord, Duration aIdle, TimePoint aNow);

// Confirms every record of a registrar. A heartbeat of another incarnation confirms none of the
// records that an earlier incarnation received.
void
VouchRegistrar(Directory& aDirectory,
               const std::string& aHost,
               std::uint64_t aIncarnation,
               TimePoint aHeardAt);

// Stops listing the records of a registrar that was declared dead, at the next ExpireLeases.
void
DropRegistrar(Directory& aDirectory, const std::string& aHost);

// Ends leases, forgets records after kRecordKeep and returns the upstreams that are no longer
// listed. Only the registrar marks a record as gone for all hosts; another host that lost contact
// with the registrar merely stops listing it, so that a partition cannot erase live records.
std::vector<UpstreamInfo>
ExpireLeases(Directory& aDirectory, TimePoint aNow);

// Every upstream that is announced and confirmed, in order of their identifiers.
std::vector<UpstreamInfo>
ListUpstreams(const Directory& aDirectory);

// When the record was last confirmed, by the upstream or by its registrar's heartbeat.
TimePoint
LastVouched(const Directory& aDirectory, const DirectoryRecord& aRecord);

// Returns and clears the upstreams whose record changed, for pushing.
std::vector<std::string>
TakeChanges(Directory& aDirectory);

using Digest = std::array<std::uint64_t, kDigestBuckets>;

std::size_t
BucketOf(const std::string& aUpstream);

// One hash per bucket, independent of the order of insertion.
Digest
ComputeDigest(const Directory& aDirectory);

// Buckets that differ, in order.
std::vector<std::uint32_t>
DifferingBuckets(const Digest& aLeft, const Digest& aRight);

// Hashes of the records in the given buckets.
std::vector<std::uint64_t>
BucketHashes(const Directory& aDirectory, std::span<const std::uint32_t> aBuckets);

// The difference between a peer's buckets and this table.
struct BucketDifference
{
  // Upstreams whose record the peer lacks, at most aMaxRecords.
  std::vector<std::string> mSend;
  // Hashes that this table lacks.
  std::vector<std::uint64_t> mWant;
};
BucketDifference
CompareBuckets(const Directory& aDirectory,
               std::span<const std::uint32_t> aBuckets,
               std::span<const std::uint64_t> aHashes,
               std::size_t aMaxRecords);

} // namespace apricotyard

#endif
