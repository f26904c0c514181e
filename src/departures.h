// Holds back the acknowledgement of an upstream's departure until enough other coordinators know of
// it. An upstream says only once that it leaves and relies on the acknowledgement, so the loss of
// the coordinator that took the call must not undo it. Free functions over a plain struct; not
// thread-safe.
//
// Coordinators fetch changes from each other. Each request names the last change that its sender
// holds, which confirms all changes up to that one.
#ifndef APRICOTYARD_DEPARTURES_H
#define APRICOTYARD_DEPARTURES_H

#include "types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace apricotyard {

// An upstream waits one second for an answer before it calls another coordinator.
inline constexpr Duration kDepartureTimeout = std::chrono::milliseconds(800);

enum class DepartureOutcome : std::uint8_t
{
  // Enough other coordinators and the file of this one hold the departure.
  Confirmed,
  // Enough other coordinators hold it, but it could not be written, or not in time.
  NotWritten,
  // Too few other coordinators hold it.
  TooFewCopies,
};

struct PendingDeparture
{
  // Number of the change in the registry that records the departure.
  std::uint64_t mChange = 0;
  TimePoint mDeadline;
  std::function<void(DepartureOutcome)> mDone;
};

struct Departures
{
  // The last change that each other coordinator holds, by IP address.
  std::map<std::string, std::uint64_t> mCopiedUpTo;
  // The last change that the file of this coordinator holds.
  std::uint64_t mWrittenUpTo = 0;
  // The last change that could not be written to it.
  std::uint64_t mUnwritableUpTo = 0;
  std::vector<PendingDeparture> mPending;
};

// The number of other coordinators that must hold a departure: as many as may be lost, or all
// others if there are fewer. aMembers is the number of members of the control group.
std::size_t
CopiesNeeded(std::size_t aToleratedLosses, std::size_t aMembers);

// Records the last change that another coordinator holds. aChange is 0 if it holds none of this
// process, as after its restart.
void
RecordCopy(Departures& aDepartures, const std::string& aCoordinator, std::uint64_t aChange);

// Calls mDone once for each pending departure that is confirmed, or whose deadline has passed, and
// removes it. Must be called after each change of the struct, and regularly.
void
CompleteDepartures(Departures& aDepartures, std::size_t aCopiesNeeded, TimePoint aNow);

} // namespace apricotyard

#endif
