// What an upstream says about itself in its replies, as decoded by the platform's adapter.
#ifndef APRICOTYARD_UPSTREAM_SIGNALS_H
#define APRICOTYARD_UPSTREAM_SIGNALS_H

#include "types.h"

#include <optional>
#include <string>

namespace apricotyard {

struct UpstreamSignals
{
  // Requests per second that the upstream takes from all gateways together. Not negative. Empty if
  // the reply names no limit.
  std::optional<double> mRequestLimit;
  // The upstream is about to stop.
  bool mLeaving = false;
  // The upstream turned the request away and wants none from this gateway for this time. Not
  // negative.
  std::optional<Duration> mRetryAfter;
  // Name of a header whose value could not be read; empty if all could. The other headers hold.
  std::string mUnreadable;
};

} // namespace apricotyard

#endif
