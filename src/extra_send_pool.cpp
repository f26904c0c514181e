#include "extra_send_pool.h"

namespace apricotyard {

namespace {

constexpr char kPrefix = '\x01';
// Part of what the pool grants in a window that it may grant at once.
constexpr double kBurstPart = 0.5;

} // namespace

std::string
ExtraSendPool(std::string_view aService)
{
  std::string name(1, kPrefix);
  return name.append(aService);
}

bool
IsExtraSendPool(std::string_view aName)
{
  return aName.starts_with(kPrefix);
}

QuotaLimit
ExtraSendPoolLimit(const ExtraBudgetLimits& aLimits)
{
  const double perWindow = kPooledFixedPart * aLimits.mFixed;
  const double seconds = std::chrono::duration<double>(aLimits.mWindow).count();
  return { (1 - kBurstPart) * perWindow / seconds, kBurstPart * perWindow };
}

ExtraBudgetLimits
OwnExtraSendLimits(ExtraBudgetLimits aLimits, bool aPooled)
{
  aLimits.mFixed *= aPooled ? kOwnFixedPart : 1.0;
  return aLimits;
}

} // namespace apricotyard
