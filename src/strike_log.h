// Numbered list of the latest strikes, with which hosts pass strikes on. Pure functions over a
// plain struct; not thread-safe.
//
// Gateways do not call each other. Each one reports the crashes that it saw to all coordinators,
// and learns those of the others from any coordinator. Coordinators keep strikes only in memory: a
// restarted one gets the recent strikes again from the gateways that saw the crashes.
#ifndef APRICOTYARD_STRIKE_LOG_H
#define APRICOTYARD_STRIKE_LOG_H

#include "quarantine.h"

#include <deque>
#include <string_view>

namespace apricotyard {

// Most strikes that are kept. Beyond it, the oldest are dropped.
inline constexpr std::size_t kMaxLoggedStrikes = 4096;
// A gateway reports each crash that it saw for this time, so that a coordinator that was restarted
// or not in contact learns of it as well.
inline constexpr Duration kStrikeReportTime = std::chrono::seconds(30);
// Most strikes in one message; the newest in a report, the oldest that the receiver lacks in a
// reply.
inline constexpr std::size_t kMaxStrikesPerMessage = 64;

struct LoggedStrike
{
  std::uint64_t mNumber = 0;
  TimePoint mAt;
  Strike mStrike;
};

struct StrikeLog
{
  // In the order of their numbers, which start at 1.
  std::deque<LoggedStrike> mStrikes;
  std::uint64_t mLastNumber = 0;
};

// Whether both are the same crash in the same state, whoever reported it.
bool
IsSameCrash(const Strike& aLeft, const Strike& aRight);

// Adds a strike and drops those older than kQuarantineTime. Returns false if it is already listed.
bool
Append(StrikeLog& aLog, const Strike& aStrike, TimePoint aNow);

// Returns up to kMaxStrikesPerMessage strikes with a number above aCursor. They are valid until
// the log changes.
std::vector<const LoggedStrike*>
StrikesAfter(const StrikeLog& aLog, std::uint64_t aCursor);

// Returns the strikes of aHost that it has to report now, at most kMaxStrikesPerMessage.
std::vector<Strike>
StrikesToReport(const StrikeLog& aLog, std::string_view aHost, TimePoint aNow);

} // namespace apricotyard

#endif
