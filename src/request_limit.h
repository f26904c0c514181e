// Keeps to the request rate that a replica asks for. A struct and functions without clocks or I/O.
//
// The limit holds for all gateways together, and each of them gets an equal share without asking
// the others. Answers replicas that turn slow under a load that others could take: their limit is
// used in full, what exceeds it goes to other replicas, and what no replica takes is refused at
// once.
#ifndef APRICOTYARD_REQUEST_LIMIT_H
#define APRICOTYARD_REQUEST_LIMIT_H

#include "types.h"

#include <cstddef>
#include <optional>
#include <span>

namespace apricotyard {

// A gateway whose equal share of a limit would be smaller gets either this share or none. Requests
// per second.
inline constexpr double kMinRequestShare = 1.0;
// Gateways without a share each send a single request from time to time, to learn whether the limit
// still holds. Together they use this part of the limit, and at least this rate per second.
inline constexpr double kProbeUse = 0.1;
inline constexpr double kMinProbeRate = 0.5;

// The limit of one replica, as this gateway keeps to it.
struct RequestLimit
{
  // What the replica named last, in requests per second. Empty if it takes any rate.
  std::optional<double> mTotal;
  // Share of this gateway in requests per second.
  double mShare = 0;
  // Requests that may be sent now, as of mRefilledAt. At most the burst that BurstOf allows.
  double mTokens = 0;
  TimePoint mRefilledAt{};
  // While mShare is 0, when one request may be sent, and how long after it the next one.
  TimePoint mProbeAt{};
  Duration mProbeInterval{};
};

// How the limit of a replica is divided.
struct LimitDivision
{
  // Gateways that share the replica, at least 1.
  std::size_t mGateways = 1;
  // Fixed number in [0, 1) for the pair of this gateway and the replica. Selects the gateways that
  // get a share if it would be too small for all.
  double mFraction = 0;
};

// The functions below are thread-safe for distinct limits. Their aNow must not decrease.

// Applies what a reply of the replica said. aTotal is empty if it named no limit. Precondition:
// aTotal is finite and not negative.
void
UpdateRequestLimit(RequestLimit& aLimit,
                   std::optional<double> aTotal,
                   const LimitDivision& aDivision,
                   TimePoint aNow);

bool
AllowsRequest(const RequestLimit& aLimit, TimePoint aNow);

// Counts a request that is sent now.
void
CountRequest(RequestLimit& aLimit, TimePoint aNow);

// When the request that follows aAhead others may be sent, aNow at the earliest.
TimePoint
NextRequestAt(const RequestLimit& aLimit, std::size_t aAhead, TimePoint aNow);

// The same for replicas of which any can take the requests. Precondition: aLimits is not empty.
TimePoint
NextRequestAt(std::span<const RequestLimit* const> aLimits, std::size_t aAhead, TimePoint aNow);

} // namespace apricotyard

#endif
