#include "extra_budget.h"

#include <algorithm>
#include <numeric>

namespace apricotyard {

namespace {

void
Advance(ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, TimePoint aNow)
{
  const Duration width = aLimits.mWindow / static_cast<std::int64_t>(kBudgetSlots - 1);
  const std::int64_t slot = aNow.time_since_epoch() / width;
  const std::int64_t steps =
    std::min<std::int64_t>(slot - aBudget.mSlot, static_cast<std::int64_t>(kBudgetSlots));
  for (std::int64_t i = 1; i <= steps; ++i) {
    const auto index = static_cast<std::size_t>(aBudget.mSlot + i) % kBudgetSlots;
    aBudget.mFirst[index] = 0;
    aBudget.mExtra[index] = 0;
  }
  if (steps == static_cast<std::int64_t>(kBudgetSlots)) {
    aBudget.mFirst.fill(0);
    aBudget.mExtra.fill(0);
  }
  aBudget.mSlot = std::max(aBudget.mSlot, slot);
}

std::size_t
CurrentIndex(const ExtraBudget& aBudget)
{
  return static_cast<std::size_t>(aBudget.mSlot) % kBudgetSlots;
}

double
Allowance(const ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, std::size_t aGateways)
{
  const double first = std::accumulate(aBudget.mFirst.begin(), aBudget.mFirst.end(), 0.0);
  return kBudgetUse * (aLimits.mRatio * first +
                       aLimits.mFixed / static_cast<double>(std::max<std::size_t>(aGateways, 1)));
}

double
Extra(const ExtraBudget& aBudget)
{
  return std::accumulate(aBudget.mExtra.begin(), aBudget.mExtra.end(), 0.0);
}

} // namespace

void
CountFirstSend(ExtraBudget& aBudget, const ExtraBudgetLimits& aLimits, TimePoint aNow)
{
  Advance(aBudget, aLimits, aNow);
  ++aBudget.mFirst[CurrentIndex(aBudget)];
}

bool
TryExtraSend(ExtraBudget& aBudget,
             const ExtraBudgetLimits& aLimits,
             std::size_t aGateways,
             ExtraSend aKind,
             TimePoint aNow)
{
  if (aKind == ExtraSend::Replacement) {
    return true;
  }
  Advance(aBudget, aLimits, aNow);
  const double use = aKind == ExtraSend::Hedge ? kHedgeUse : 1.0;
  if (Extra(aBudget) + 1 > use * Allowance(aBudget, aLimits, aGateways)) {
    return false;
  }
  ++aBudget.mExtra[CurrentIndex(aBudget)];
  return true;
}

double
ExtraBudgetUsed(ExtraBudget& aBudget,
                const ExtraBudgetLimits& aLimits,
                std::size_t aGateways,
                TimePoint aNow)
{
  Advance(aBudget, aLimits, aNow);
  const double allowance = Allowance(aBudget, aLimits, aGateways);
  return allowance <= 0 ? 1.0 : std::min(1.0, Extra(aBudget) / allowance);
}

} // namespace apricotyard
