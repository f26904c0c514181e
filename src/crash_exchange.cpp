#include "crash_exchange.h"

#include "fleet_messages.h"

namespace apricotyard {

CrashExchange
ExchangeCrashes(StrikeLog& aLog,
                const rpc::FleetSyncRequest& aRequest,
                std::uint64_t aIncarnation,
                TimePoint aNow,
                rpc::FleetSyncReply& aReply)
{
  CrashExchange result;
  for (const rpc::UpstreamCrash& message : aRequest.crashes()) {
    const auto strike = FromMessage(message);
    if (!strike) {
      result.mProblems.push_back(strike.error().mMessage);
    } else if (Append(aLog, *strike, aNow)) {
      result.mNew.push_back(*strike);
    }
  }
  std::uint64_t cursor =
    aRequest.cursor_incarnation() == aIncarnation ? aRequest.crash_cursor() : 0;
  for (const LoggedStrike* const logged : StrikesAfter(aLog, cursor)) {
    cursor = logged->mNumber;
    if (logged->mStrike.mHost != aRequest.self().ip()) {
      ToMessage(logged->mStrike, *aReply.add_crashes());
    }
  }
  aReply.set_crash_cursor(cursor);
  return result;
}

} // namespace apricotyard
