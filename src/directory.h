// Table of the announced upstreams, replicated on all entry hosts. Coordinators and gateways keep
// their upstreams in the same kind of table. Free functions over a plain struct; not thread-safe.
//
// A record holds the newest announcement of one upstream and its registrar, which is the host that
// received the announcement. Records are totally ordered, and a table keeps the greatest record of
// each upstream. Two tables that were given the same records are therefore equal, whatever the
// order and the duplicates. This makes the table a state-based replicated data type (Shapiro et
// al., "Conflict-free Replicated Data Types", 2011).
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

// An upstream that does not renew its announcement within this time is no longer listed.
inline constexpr Duration kUpstreamLease = std::chrono::seconds(6);
// The registrar ends a lease earlier than kUpstreamLease, so that every host has learned of a
// silent upstream by the time its lease is over. Leases are checked every 250 ms, and at 780 hosts
// it takes up to 1 s until the last host knows. An upstream that renews every 2 s and waits 1 s for
// an answer still has time to try two other hosts.
inline constexpr Duration kRegistrarLease = std::chrono::milliseconds(4750);
// A record that is gone or whose lease has ended is kept for this time, so that an old announcement
// cannot restore the upstream. At 2,100 restarts a day this is about 2,100 records of 200 bytes.
inline constexpr Duration kRecordRetention = std::chrono::hours(24);
// Maximum number of records. When the table is full, announcements of unknown upstreams are
// refused.
inline constexpr std::size_t kMaxRecords = 65'536;
// Number of hashes in a digest. Records are assigned to buckets by the hash of their identifier.
inline constexpr std::size_t kDigestBuckets = 64;
// A change of the end of an upstream's warm-up by more than this time is announced to other hosts.
// Smaller differences arise because announcements and messages take different times to arrive.
inline constexpr Duration kWarmupTolerance = std::chrono::milliseconds(500);

struct DirectoryRecord
{
  // mInfo.mSequence is the sequence number of the last change. Renewals do not raise it, so that
  // they do not change the digest. mInfo.mWarmupUntil is not part of the order of records.
  UpstreamInfo mInfo;
  // The host that received the announcement, and its incarnation.
  std::string mRegistrar;
  std::uint64_t mRegistrarIncarnation = 0;
  // The upstream left, or its registrar ended the lease.
  bool mGone = false;

  // The fields below are local to one table and are not sent to other hosts.

  // When the upstream or its registrar last confirmed the record, or when the record became gone.
  TimePoint mConfirmedAt;
  // The newest sequence number that this host received as the registrar, renewals included. In a
  // record of another registrar it equals mInfo.mSequence.
  std::uint64_t mLastSequence = 0;
  // Hash of the replicated fields.
  std::uint64_t mHash = 0;
  // Whether the upstream was live when ExpireLeases last ran or the record last changed, whichever
  // was later.
  bool mListed = false;
};

// What this host knows of another host that is the registrar of records.
struct RegistrarStatus
{
  std::uint64_t mIncarnation = 0;
  TimePoint mHeardAt;
  // The failure detector declared the registrar dead. Its records are not listed until it is heard
  // again.
  bool mDeclaredDead = false;
};

struct Directory
{
  // The host that holds this table, and its incarnation.
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::map<std::string, DirectoryRecord> mRecords;
  std::map<std::string, RegistrarStatus> mRegistrars;
  // Upstreams whose record has changed since the last TakeChanges.
  std::set<std::string> mChangedUpstreams;
  // Number of conflicts: two announcements with the same incarnation and sequence but different
  // content.
  std::uint64_t mConflicts = 0;
};

enum class AnnounceOutcome : std::uint8_t
{
  Changed, // the record is new or differs, or the upstream is listed again
  Renewed, // the lease was extended, nothing else changed
  Stale,   // an equal or newer announcement is already known
  Full,    // the table holds kMaxRecords
};

// Applies an announcement that an upstream sent to this host, and makes this host its registrar.
AnnounceOutcome
ApplyAnnouncement(Directory& aDirectory, const UpstreamInfo& aInfo, TimePoint aNow);

// Applies a record that another host sent. aIdle is the time since the sender last had the record
// confirmed. An equal record from which the upstream warms up for longer changes the known one,
// because hosts of an earlier build pass records on without their warm-up. If this host is the
// registrar and has received a renewal that is newer than aRecord, it keeps its own record and sets
// the sequence number of that record to the one of the renewal. The outcome is then Stale, but
// TakeChanges returns the upstream.
AnnounceOutcome
ApplyRecord(Directory& aDirectory, const DirectoryRecord& aRecord, Duration aIdle, TimePoint aNow);

// Confirms, as of aHeardAt, all records that aHost received as the registrar in the incarnation
// aIncarnation. A heartbeat does not confirm records of an earlier incarnation.
void
ConfirmRegistrar(Directory& aDirectory,
                 const std::string& aHost,
                 std::uint64_t aIncarnation,
                 TimePoint aHeardAt);

// Marks a registrar as dead. The next ExpireLeases stops listing its records.
void
MarkRegistrarDead(Directory& aDirectory, const std::string& aHost);

// Ends the leases that are over, deletes records that were last confirmed kRecordRetention ago, and
// returns the upstreams that were listed until this call. Only the registrar marks a record as gone
// for all hosts. A host that has lost contact with the registrar merely stops listing the record,
// so that a partition cannot delete live records.
std::vector<UpstreamInfo>
ExpireLeases(Directory& aDirectory, TimePoint aNow);

// Returns all listed upstreams, ordered by identifier. A lease that is over counts as valid until
// the next ExpireLeases.
std::vector<UpstreamInfo>
ListUpstreams(const Directory& aDirectory);

// Returns when the record was last confirmed, either by its upstream or by a heartbeat of its
// registrar.
TimePoint
LastConfirmed(const Directory& aDirectory, const DirectoryRecord& aRecord);

// Returns the upstreams whose record has changed, and clears the set.
std::vector<std::string>
TakeChanges(Directory& aDirectory);

using Digest = std::array<std::uint64_t, kDigestBuckets>;

// Returns the digest bucket of an upstream.
std::size_t
BucketOf(const std::string& aUpstream);

// Returns one hash per bucket. It does not depend on the order in which records were inserted.
Digest
ComputeDigest(const Directory& aDirectory);

// Returns the indices of the buckets that differ, in ascending order.
std::vector<std::uint32_t>
DifferingBuckets(const Digest& aLeft, const Digest& aRight);

// Returns the hashes of all records in the given buckets.
std::vector<std::uint64_t>
BucketHashes(const Directory& aDirectory, std::span<const std::uint32_t> aBuckets);

// The difference between a peer's buckets and this table.
struct BucketDifference
{
  // Upstreams whose record the peer does not have.
  std::vector<std::string> mUpstreamsToSend;
  // Hashes of records that this table does not have.
  std::vector<std::uint64_t> mMissingHashes;
};

// Compares aBuckets of this table with aHashes, the peer's record hashes for the same buckets.
// Returns at most aMaxRecords upstreams to send.
BucketDifference
CompareBuckets(const Directory& aDirectory,
               std::span<const std::uint32_t> aBuckets,
               std::span<const std::uint64_t> aHashes,
               std::size_t aMaxRecords);

} // namespace apricotyard

#endif
