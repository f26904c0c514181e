#include "extra_budget.h"

#include <algorithm>
#include <numeric>

namespace apricotyard {

namespace {

void
AdvanceSlot(ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, TimePoint aNow)
{
  const Duration width = aLimits.mWindow / static_cast<std::int64_t>(kBudgetSlots - 1);
  const std::int64_t slot = aNow.time_since_epoch() / width;
  const std::int64_t steps =
    std::min<std::int64_t>(slot - aBudget.mSlot, static_cast<std::int64_t>(kBudgetSlots));
  for (std::int64_t i = 1; i <= steps; ++i) {
    const auto index = static_cast<std::size_t>(aBudget.mSlot + i) % kBudgetSlots;
    aBudget.mFirstSends[index] = 0;
    aBudget.mExtraSends[index] = 0;
  }
  if (steps == static_cast<std::int64_t>(kBudgetSlots)) {
    aBudget.mFirstSends.fill(0);
    aBudget.mExtraSends.fill(0);
  }
  aBudget.mSlot = std::max(aBudget.mSlot, slot);
}

std::size_t
CurrentSlotIndex(const ExtraBudget& aBudget)
{
  return static_cast<std::size_t>(aBudget.mSlot) % kBudgetSlots;
}

double
Allowance(const ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, std::size_t aGatewayCount)
{
  const double firstSends =
    std::accumulate(aBudget.mFirstSends.begin(), aBudget.mFirstSends.end(), 0.0);
  return kBudgetSafetyFactor *
         (aLimits.mRatio * firstSends +
          aLimits.mFixed / static_cast<double>(std::max<std::size_t>(aGatewayCount, 1)));
}

double
ExtraSendCount(const ExtraBudget& aBudget)
{
  return std::accumulate(aBudget.mExtraSends.begin(), aBudget.mExtraSends.end(), 0.0);
}

} // namespace

void
CountFirstSend(ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, TimePoint aNow)
{
  AdvanceSlot(aBudget, aLimits, aNow);
  ++aBudget.mFirstSends[CurrentSlotIndex(aBudget)];
}

bool
TryExtraSend(ExtraBudget& aBudget,
             const ExtraBudgetLimits& aLimits,
             std::size_t aGatewayCount,
             ExtraSend aKind,
             TimePoint aNow)
{
  if (aKind == ExtraSend::Replacement) {
    return true;
  }
  AdvanceSlot(aBudget, aLimits, aNow);
  const double usableShare = aKind == ExtraSend::Hedge ? kHedgeAllowanceShare : 1.0;
  if (ExtraSendCount(aBudget) + 1 > usableShare * Allowance(aBudget, aLimits, aGatewayCount)) {
    return false;
  }
  ++aBudget.mExtraSends[CurrentSlotIndex(aBudget)];
  return true;
}

double
ExtraBudgetUsed(ExtraBudget& aBudget,
                const ExtraBudgetLimits& aLimits,
                std::size_t aGatewayCount,
                TimePoint aNow)
{
  AdvanceSlot(aBudget, aLimits, aNow);
  const double allowance = Allowance(aBudget, aLimits, aGatewayCount);
  return allowance <= 0 ? 1.0 : std::min(1.0, ExtraSendCount(aBudget) / allowance);
}

} // namespace apricotyard
