// The coordinator's part in passing crashes of upstreams from gateway to gateway. Pure function.
#ifndef APRICOTYARD_CRASH_EXCHANGE_H
#define APRICOTYARD_CRASH_EXCHANGE_H

#include "fleet.pb.h"
#include "strike_log.h"

namespace apricotyard {

struct CrashExchange
{
  // Reported crashes that were not known before.
  std::vector<Strike> mNew;
  // Why reports could not be read.
  std::vector<std::string> mProblems;
};

// Adds the crashes that a gateway reports to the log, and to the reply those of other gateways that
// it lacks. aIncarnation is that of this coordinator: the cursor of another one says nothing here.
CrashExchange
ExchangeCrashes(StrikeLog& aLog,
                const rpc::FleetSyncRequest& aRequest,
                std::uint64_t aIncarnation,
                TimePoint aNow,
                rpc::FleetSyncReply& aReply);

} // namespace apricotyard

#endif
