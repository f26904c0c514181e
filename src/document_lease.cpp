#include "document_lease.h"

#include <algorithm>
#include <limits>

namespace apricotyard {

bool
IsReadWanted(const DocumentReads& aReads, TimePoint aNow)
{
  return aReads.mAskedAt && aNow - *aReads.mAskedAt < kReadInterest;
}

bool
RecordReadWanted(DocumentReads& aReads, TimePoint aNow)
{
  const bool wanted = IsReadWanted(aReads, aNow);
  aReads.mAskedAt = aNow;
  return !wanted;
}

void
RecordRead(DocumentReads& aReads, TimePoint aStartedAt)
{
  aReads.mConfirmedAt = std::max(aReads.mConfirmedAt.value_or(aStartedAt), aStartedAt);
}

std::optional<std::uint32_t>
ReadAge(const DocumentReads& aReads, TimePoint aNow)
{
  if (!aReads.mConfirmedAt) {
    return std::nullopt;
  }
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(aNow - *aReads.mConfirmedAt);
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, kMax));
}

bool
IsLeaseValid(const DocumentLease& aLease, TimePoint aNow)
{
  return !aLease.mLimit ||
         (aLease.mConfirmedAt && aNow - *aLease.mConfirmedAt < *aLease.mLimit - kLeaseMargin);
}

void
RenewLease(DocumentLease& aLease,
           const DocumentIdentity& aHeld,
           const DocumentIdentity& aReported,
           std::optional<std::uint32_t> aReadAge,
           TimePoint aSentAt)
{
  const bool includesReported = aHeld.mVersion > 0 && aHeld.mCommitted && aReported.mCommitted &&
                                aHeld.mVersion >= aReported.mVersion;
  if (aReadAge && includesReported) {
    const TimePoint confirmedAt = aSentAt - std::chrono::milliseconds(*aReadAge);
    aLease.mConfirmedAt = std::max(aLease.mConfirmedAt.value_or(confirmedAt), confirmedAt);
  }
}

std::optional<Duration>
LeaseAge(const DocumentLease& aLease, TimePoint aNow)
{
  return aLease.mConfirmedAt ? std::optional<Duration>(aNow - *aLease.mConfirmedAt) : std::nullopt;
}

} // namespace apricotyard
