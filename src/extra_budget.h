// One gateway's share of a fleet-wide limit on extra sends, that is, retries and hedges. Not
// thread-safe.
//
// For each service and within any window, the limit is a share of the service's requests plus a
// fixed number. Every gateway applies the share to its own requests and takes an equal part of the
// fixed number, so that the total stays within the limit without coordination.
#ifndef APRICOTYARD_EXTRA_BUDGET_H
#define APRICOTYARD_EXTRA_BUDGET_H

#include "types.h"

#include <array>
#include <cstddef>

namespace apricotyard {

struct ExtraBudgetLimits
{
  double mRatio = 0.2;
  Duration mWindow = std::chrono::seconds(10);
  double mFixed = 50;
};

// Share of the limit that is used. The rest covers extra sends whose first sends fall into an
// adjacent window, and gateways that do not know of each other yet.
inline constexpr double kBudgetSafetyFactor = 0.8;
// Share of the allowance that hedges may use, because they only save time. The rest is reserved for
// retries, without which a request fails.
inline constexpr double kHedgeAllowanceShare = 0.75;
// Time slots in which sends are counted. The window spans all but one of them.
inline constexpr std::size_t kBudgetSlots = 11;

struct ExtraBudget
{
  std::array<std::uint32_t, kBudgetSlots> mFirstSends{};
  std::array<std::uint32_t, kBudgetSlots> mExtraSends{};
  // Number of the current slot since the clock's epoch.
  std::int64_t mSlot = 0;
};

void
CountFirstSend(ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, TimePoint aNow);

enum class ExtraSend : std::uint8_t
{
  // The earlier send failed.
  Retry,
  // The earlier send may still get a reply.
  Hedge,
  // The earlier send never reached a replica, so this one is not extra load: always allowed and not
  // counted.
  Replacement,
};

// Returns true and counts the send if the budget allows it. aGatewayCount is the number of gateways
// that share the limit; at least 1.
bool
TryExtraSend(ExtraBudget& aBudget,
             const ExtraBudgetLimits& aLimits,
             std::size_t aGatewayCount,
             ExtraSend aKind,
             TimePoint aNow);

// Used share of the current allowance, from 0 to 1; 1 if nothing is allowed.
double
ExtraBudgetUsed(ExtraBudget& aBudget,
                const ExtraBudgetLimits& aLimits,
                std::size_t aGatewayCount,
                TimePoint aNow);

} // namespace apricotyard

#endif
