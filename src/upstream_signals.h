// What an upstream says about itself in its replies, as decoded by the platform's adapter.
#ifndef APRICOTYARD_UPSTREAM_SIGNALS_H
#define APRICOTYARD_UPSTREAM_SIGNALS_H

#include <optional>
#include <string>

namespace apricotyard {

struct UpstreamSignals
{
  // Requests per second that the upstream takes from all gateways together. Not negative. Empty if
  // the reply names no limit.
  std::optional<double> mRequestLimit;
  // Name of a header whose value could not be read; empty if all could.
  std::string mUnreadable;
};

} // namespace apricotyard

#endif
