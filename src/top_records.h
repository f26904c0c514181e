// Merges the records of several shards. Pure functions.
#ifndef APRICOTYARD_TOP_RECORDS_H
#define APRICOTYARD_TOP_RECORDS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// Size of a record in bytes.
inline constexpr std::size_t kRecordSize = 16;

// Returns the greatest aCount records of all parts in descending order, compared as unsigned bytes.
// Duplicates are kept. The records of a part need not be sorted. An incomplete record at the end of
// a part is ignored.
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, std::size_t aCount);

} // namespace apricotyard

#endif
