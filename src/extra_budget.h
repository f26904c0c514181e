// The share of one gateway in a fleet-wide bound on extra sends: retries and hedges. Pure; not
// thread-safe.
//
// The bound allows, for each service and within any window, a share of the requests for it plus a
// fixed number. Every gateway keeps to the share of its own requests and to an equal part of the
// fixed number, so that the sum keeps to the bound without a coordinator.
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

// Parts of the bound that are used. The rest covers sends that were counted in a neighbouring
// window, and gateways that do not know of each other yet.
inline constexpr double kBudgetUse = 0.8;
// Part of the allowance that sends may use which only save time. The rest is left for sends that
// replace a failed one, without which the request fails.
inline constexpr double kHedgeUse = 0.75;
// Slots in which sends are counted; a window is covered by all but one.
inline constexpr std::size_t kBudgetSlots = 11;

struct ExtraBudget
{
  std::array<std::uint32_t, kBudgetSlots> mFirst{};
  std::array<std::uint32_t, kBudgetSlots> mExtra{};
  // Number of the slot that was counted last since the clock's epoch.
  std::int64_t mSlot = 0;
};

void
CountFirstSend(ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, TimePoint aNow);

enum class ExtraSend : std::uint8_t
{
  // The earlier send failed.
  Retry,
  // The earlier send may still be answered.
  Hedge,
  // The earlier send never reached a replica, so this one is not extra: it is always allowed and
  // not counted.
  Replacement,
};

// Counts an extra send and returns true if the budget allows it. aGateways is the number of hosts
// that share the bound, at least 1.
bool
TryExtraSend(ExtraBudget& aBudget,
             const ExtraBudgetLimits& aLimits,
             std::size_t aGateways,
             ExtraSend aKind,
             TimePoint aNow);

// The share of the window's allowance that is used, from 0 to 1.
double
ExtraBudgetUsed(ExtraBudget& aBudget,
                const ExtraBudgetLimits& aLimits,
                std::size_t aGateways,
                TimePoint aNow);

} // namespace apricotyard

#endif
