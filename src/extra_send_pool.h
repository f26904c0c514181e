// Divides the fleet-wide limit on extra sends (extra_budget.h) between gateways and a pool of each
// service, which the owner of the quotas keeps (quota_ledger.h). Pure functions, thread-safe.
//
// Answers replicas that reject part of their requests while many gateways share the limit. Each
// gateway's part is then a few sends per service and window, and a gather fails as soon as two of
// its shards have used up theirs, while most of the limit is unused elsewhere. A retry that the
// gateway's own part does not allow may take a token from the pool.
#ifndef APRICOTYARD_EXTRA_SEND_POOL_H
#define APRICOTYARD_EXTRA_SEND_POOL_H

#include "extra_budget.h"
#include "quota_ledger.h"

#include <string>
#include <string_view>

namespace apricotyard {

// With fewer gateways, each one's part is large enough.
inline constexpr std::size_t kMinGatewaysForPool = 16;
// Parts of the fixed number of extra sends that gateways divide among themselves, of which they use
// kBudgetSafetyFactor, and that the pool grants in a window. While some gateways run a build
// without the pool, these use the whole fixed number for themselves; the sum then stays below the
// limit unless fewer than a third of the gateways, with the pool, use all of it.
inline constexpr double kOwnFixedPart = 0.3;
inline constexpr double kPooledFixedPart = 0.5;

// Name of a service's pool among the workspaces of the ledger, which never begin with a control
// character.
std::string
ExtraSendPool(std::string_view aService);

bool
IsExtraSendPool(std::string_view aName);

// Limit of each pool: in any window of aLimits, at most kPooledFixedPart of the fixed number, half
// of it at once.
QuotaLimit
ExtraSendPoolLimit(const ExtraBudgetLimits& aLimits);

// Limits that a gateway applies by itself. aPooled is whether the pools may be used.
ExtraBudgetLimits
OwnExtraSendLimits(ExtraBudgetLimits aLimits, bool aPooled);

} // namespace apricotyard

#endif
