#include "departures.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace apricotyard {

namespace {

// Returns nothing while the departure has to wait.
std::optional<DepartureOutcome>
OutcomeOf(const Departures& aDepartures,
          const PendingDeparture& aPending,
          std::size_t aCopiesNeeded,
          TimePoint aNow)
{
  const auto copies = static_cast<std::size_t>(std::count_if(
    aDepartures.mCopiedUpTo.begin(), aDepartures.mCopiedUpTo.end(), [&](const auto& aEntry) {
      return aEntry.second >= aPending.mChange;
    }));
  const bool copied = copies >= aCopiesNeeded;
  if (copied && aDepartures.mWrittenUpTo >= aPending.mChange) {
    return DepartureOutcome::Confirmed;
  }
  if (copied && (aDepartures.mUnwritableUpTo >= aPending.mChange || aNow >= aPending.mDeadline)) {
    return DepartureOutcome::NotWritten;
  }
  return aNow < aPending.mDeadline ? std::nullopt : std::optional(DepartureOutcome::TooFewCopies);
}

} // namespace

std::size_t
CopiesNeeded(std::size_t aToleratedLosses, std::size_t aMembers)
{
  return std::min(aToleratedLosses, aMembers > 0 ? aMembers - 1 : 0);
}

void
RecordCopy(Departures& aDepartures, const std::string& aCoordinator, std::uint64_t aChange)
{
  aDepartures.mCopiedUpTo[aCoordinator] = aChange;
}

void
CompleteDepartures(Departures& aDepartures, std::size_t aCopiesNeeded, TimePoint aNow)
{
  std::vector<PendingDeparture> waiting;
  std::vector<std::pair<PendingDeparture, DepartureOutcome>> ended;
  for (PendingDeparture& pending : aDepartures.mPending) {
    if (const auto outcome = OutcomeOf(aDepartures, pending, aCopiesNeeded, aNow)) {
      ended.emplace_back(std::move(pending), *outcome);
    } else {
      waiting.push_back(std::move(pending));
    }
  }
  aDepartures.mPending = std::move(waiting);
  for (const auto& [pending, outcome] : ended) {
    pending.mDone(outcome);
  }
}

} // namespace apricotyard
