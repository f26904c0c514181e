#include "crash_exchange.h"

#include "fleet_messages.h"

#include <algorithm>

namespace apricotyard {

CrashExchange
ExchangeCrashes(StrikeLog& aLog,
                const rpc::FleetSyncRequest& aRequest,
                std::uint64_t aIncarnation,
                TimePoint aNow,
                rpc::FleetSyncReply& aReply)
{
  CrashExchange result;
  std::vector<Strike> reported;
  for (const auto* const messages : { &aRequest.crashes(), &aRequest.unconfirmed_crashes() }) {
    for (const rpc::UpstreamCrash& message : *messages) {
      const auto strike = FromMessage(message);
      if (!strike) {
        result.mProblems.push_back(strike.error().mMessage);
        continue;
      }
      reported.push_back(*strike);
      if (Append(aLog, *strike, aNow)) {
        result.mNew.push_back(*strike);
      }
    }
  }
  std::uint64_t cursor =
    aRequest.cursor_incarnation() == aIncarnation ? aRequest.crash_cursor() : 0;
  for (const LoggedStrike* const logged : StrikesAfter(aLog, cursor)) {
    cursor = logged->mNumber;
    // A gateway that was restarted does not know what it reported before.
    if (std::none_of(reported.begin(), reported.end(), [logged](const Strike& aStrike) {
          return IsSameCrash(aStrike, logged->mStrike);
        })) {
      AddCrash(logged->mStrike, aReply);
    }
  }
  aReply.set_crash_cursor(cursor);
  aReply.set_more_records(aReply.more_records() || cursor < aLog.mLastNumber);
  return result;
}

} // namespace apricotyard
