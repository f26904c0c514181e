// Calls to processes over HTTP that wait for the reply on the loop of the test.
#ifndef APRICOTYARD_PROCESS_CALLER_H
#define APRICOTYARD_PROCESS_CALLER_H

#include "http_client.h"
#include "loop.h"

#include <functional>
#include <utility>

namespace apricotyard {

inline void
RunFor(Loop& aLoop, Duration aTime)
{
  aLoop.AddTimer(SteadyNow() + aTime, [&aLoop] { aLoop.Stop(); });
  aLoop.Run();
}

// Checks the condition again and again. Returns false if it does not hold within the limit.
inline bool
Poll(Loop& aLoop, Duration aLimit, const std::function<bool()>& aCondition)
{
  constexpr Duration kPause = std::chrono::milliseconds(50);
  for (const TimePoint end = SteadyNow() + aLimit; SteadyNow() < end;) {
    if (aCondition()) {
      return true;
    }
    RunFor(aLoop, kPause);
  }
  return false;
}

// Sends the request and runs the loop until the reply or a failure.
inline ClientReply
Call(Loop& aLoop, HttpClient& aClient, ClientRequest aRequest)
{
  ClientReply result;
  bool done = false;
  aClient.Send(std::move(aRequest), [&](ClientReply aReply) {
    result = std::move(aReply);
    done = true;
    aLoop.Stop();
  });
  while (!done) {
    aLoop.Run();
  }
  return result;
}

} // namespace apricotyard

#endif
