// Merges the answers of shards into the greatest records. Pure.
#ifndef APRICOTYARD_TOP_RECORDS_H
#define APRICOTYARD_TOP_RECORDS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// Bytes of one record.
inline constexpr std::size_t kRecordSize = 16;

// The greatest aCount records of all parts, greatest first, compared as unsigned bytes. Equal
// records all count. A part is records in no order; a remainder at its end is not a record.
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, std::size_t aCount);

} // namespace apricotyard

#endif
