#include "caller_limits.h"

#include <algorithm>

namespace apricotyard {

namespace {

// One request must leave most of the memory of a small host (112 MB) to others. A head takes up to
// 50 times its bytes once it is parsed, a body twice its bytes.
constexpr std::size_t kLargestHeadBytes = std::size_t{ 256 } * 1024;
constexpr std::size_t kLargestBodyBytes = std::size_t{ 16 } * 1024 * 1024;
// Headers that a gateway adds when it passes a request on, or writes with other values.
constexpr std::size_t kAddedHeaderBytes = 256;
// The shortest header line has four bytes. A gateway writes a blank after each colon.
constexpr std::size_t kShortestHeaderBytes = 4;

std::size_t
LimitOr(std::size_t aLimit, std::size_t aDefault, std::size_t aLargest)
{
  return aLimit == 0 ? aDefault : std::min(aLimit, aLargest);
}

} // namespace

HttpLimits
LimitsForCallers(const CallerLimits& aLimits)
{
  const HttpLimits defaults;
  return { LimitOr(aLimits.mMaxHeader, defaults.mMaxHeadBytes, kLargestHeadBytes),
           LimitOr(aLimits.mMaxBody, defaults.mMaxBodyBytes, kLargestBodyBytes) };
}

HttpLimits
LimitsForConnections(const CallerLimits& aLimits)
{
  HttpLimits limits = LimitsForCallers(aLimits);
  limits.mMaxHeadBytes += limits.mMaxHeadBytes / kShortestHeaderBytes + kAddedHeaderBytes;
  return limits;
}

bool
IsWithinLimits(const HttpRequest& aRequest, const CallerLimits& aLimits, bool aWasPassedOn)
{
  const std::size_t added = aWasPassedOn ? aRequest.mRawHeaders.size() + kAddedHeaderBytes : 0;
  return aRequest.mHeadBytes <= LimitsForCallers(aLimits).mMaxHeadBytes + added;
}

} // namespace apricotyard
