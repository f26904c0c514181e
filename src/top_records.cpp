#include "top_records.h"

#include <algorithm>

namespace apricotyard {

std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t offset = 0; offset + kRecordSize <= part.size(); offset += kRecordSize) {
      records.push_back(part.substr(offset, kRecordSize));
    }
  }
  const std::size_t count = std::min(aCount, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(records.begin(), end, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordSize);
  std::for_each(
    records.begin(), end, [&merged](std::string_view aRecord) { merged.append(aRecord); });
  return merged;
}

} // namespace apricotyard
