// Table of announced upstreams. Free functions over a plain struct; not thread-safe.
#ifndef APRICOTYARD_DIRECTORY_H
#define APRICOTYARD_DIRECTORY_H

#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace apricotyard {

// An upstream that does not renew within this time is removed.
inline constexpr Duration kUpstreamLease = std::chrono::seconds(6);

struct DirectoryRecord
{
  UpstreamInfo mInfo;
  TimePoint mLeaseEnd;
};

struct Directory
{
  std::map<std::string, DirectoryRecord> mRecords;
};

enum class AnnounceOutcome : std::uint8_t
{
  Changed, // the record is new or differs
  Renewed, // the lease was extended, nothing else changed
  Stale,   // an equal or newer announcement is already known
};

// Applies an announcement. Announcements of one upstream are ordered by (incarnation, sequence), so
// that duplicates and reordering settle to the same table.
AnnounceOutcome
ApplyAnnouncement(Directory& aDirectory, const UpstreamInfo& aInfo, TimePoint aNow);

// Removes the records whose lease ended and returns their upstreams.
std::vector<UpstreamInfo>
ExpireLeases(Directory& aDirectory, TimePoint aNow);

// Every known upstream, in order of their identifiers.
std::vector<UpstreamInfo>
ListUpstreams(const Directory& aDirectory);

} // namespace apricotyard

#endif
