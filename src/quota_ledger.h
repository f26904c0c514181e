// Token buckets of workspaces, as their owner keeps them for all gateways. A struct and functions
// without clocks or I/O. docs/design/quotas.md explains the rules and the bound.
//
// Inputs: the limits of the document and the calls of gateways. Output: tokens, the wait until the
// next one, and the share that a gateway may use while it cannot reach an owner.
//
//   token          permission for one request; it expires after kTokenLifetime (quota_share.h)
//   extra          token granted beyond those wanted, for the next request of the same gateway
//   share          rate at which a gateway may let requests pass without asking; charged in advance
//   reserve        one request beyond the share, for gateways whose share is below 1 per second
//   alone          passed by share, reserve or free time, without a token
//   free time      time without an owner in which gateways let pass what they usually get
//   unknown share  rate charged for shares that gateways may hold of a previous owner
//   holder         use of one workspace by one gateway
#ifndef APRICOTYARD_QUOTA_LEDGER_H
#define APRICOTYARD_QUOTA_LEDGER_H

#include "types.h"

#include <optional>
#include <span>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace apricotyard {

// Window for which the number of a workspace's requests is limited. A share lapses after the same
// time without a call.
inline constexpr Duration kQuotaWindow = std::chrono::seconds(5);
// Most tokens in the bucket of a new owner, because the previous one may have granted a whole
// burst.
inline constexpr double kFirstTokens = 8;

// Limit of a workspace over all gateways. A rate of 0 means no limit.
struct QuotaLimit
{
  // Requests per second, and how many may exceed it at once.
  double mRate = 0;
  double mBurst = 0;

  bool operator==(const QuotaLimit&) const = default;
};

// What a gateway needs of one workspace.
struct QuotaDemand
{
  std::string mWorkspace;
  std::uint32_t mWanted = 0;
  // Tokens of the term of the call that were not used.
  std::uint32_t mReturned = 0;
  // Requests that the gateway let pass by its share since its last answered call.
  std::uint32_t mUsedAlone = 0;
  // Share that the gateway knows, in requests per second.
  double mShare = 0;
};

struct QuotaCall
{
  std::string mGateway;
  // Start of the gateway's process, and the number of the call, which increases.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mNumber = 0;
  // Term of the last reply that the gateway received, or 0.
  std::uint64_t mTerm = 0;
  std::vector<QuotaDemand> mDemands;
};

struct QuotaGrant
{
  std::string mWorkspace;
  // May exceed what was wanted.
  std::uint32_t mGranted = 0;
  // If less was granted than wanted: when a token is expected.
  Duration mWait{};
  double mShare = 0;
  // Requests that the gateway may let pass, beyond its share, while it cannot reach an owner.
  std::uint32_t mReserve = 0;
  // Time without an owner for which the bucket could serve all callers as they ask at present.
  Duration mFreeTime{};
};

struct QuotaReply
{
  // 0 if no owner is known.
  std::uint64_t mTerm = 0;
  std::vector<QuotaGrant> mGrants;
};

// Use of one workspace by one gateway.
struct QuotaHolder
{
  std::uint64_t mIncarnation = 0;
  // Share for which the bucket is charged since mHeardAt, in requests per second.
  double mShare = 0;
  TimePoint mHeardAt;
  // Requests granted, decaying over kQuotaWindow.
  double mRecent = 0;
  std::uint32_t mReserve = 0;
};

struct QuotaBucket
{
  // As of mFilledAt. Negative if gateways used more by themselves than was charged.
  double mLevel = 0;
  TimePoint mFilledAt;
  // Sum of the shares of all holders, and of what gateways may hold of a previous owner.
  double mShares = 0;
  double mUnknownShare = 0;
  // Sum of the reserves of all holders.
  std::uint32_t mReserves = 0;
  // Extra tokens granted in the present and the previous interval.
  std::uint64_t mExtraInterval = 0;
  double mExtras = 0;
  double mPreviousExtras = 0;
  // Requests of all gateways, decaying over kQuotaWindow, as of mFilledAt.
  double mRecent = 0;
  // Time of the last slot that was promised to a refused request.
  TimePoint mPromisedAt;
  TimePoint mSweptAt;
  // Keyed by the number of the gateway.
  absl::flat_hash_map<std::uint32_t, QuotaHolder> mHolders;
};

struct QuotaLedger
{
  std::uint64_t mTerm = 0;
  TimePoint mStartedAt;
  // Until when gateways may hold shares of a previous owner.
  TimePoint mUnknownUntil;
  absl::flat_hash_map<std::string, QuotaLimit> mLimits;
  // Workspaces that were used lately.
  absl::flat_hash_map<std::string, QuotaBucket> mBuckets;
  struct Caller
  {
    std::uint32_t mIndex = 0;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mNumber = 0;
  };
  // By IP address.
  absl::flat_hash_map<std::string, Caller> mCallers;
  // Gateways that reported to hold no share of a previous owner.
  absl::flat_hash_set<std::string> mWithoutOldShares;
  TimePoint mSweptAt;
};

// The functions below are thread-safe for distinct ledgers. Their aNow must not decrease.

// Starts the ledger of an owner that leads in aTerm since aNow or earlier.
QuotaLedger
StartQuotaLedger(std::uint64_t aTerm, TimePoint aNow);

// Replaces the limits. Precondition: rates and bursts are finite and not negative.
void
SetQuotaLimits(QuotaLedger& aLedger,
               absl::flat_hash_map<std::string, QuotaLimit> aLimits,
               TimePoint aNow);

// Serves a call of a gateway. Returns nothing for one that was overtaken by a later call of the
// same process. Numbers in the call that cannot be right are limited or ignored.
std::optional<QuotaReply>
AcquireQuota(QuotaLedger& aLedger, const QuotaCall& aCall, TimePoint aNow);

// Records a report of a gateway on the term of the oldest share that it holds, 0 if it holds none.
void
ReportShareTerm(QuotaLedger& aLedger,
                const std::string& aGateway,
                std::uint64_t aTerm,
                TimePoint aNow);

// Ends the charge for shares of previous owners if none of the gateways can hold one any more.
// aGateways are all that may have been served in the last window.
void
EndUnknownShares(QuotaLedger& aLedger, std::span<const std::string> aGateways, TimePoint aNow);

} // namespace apricotyard

#endif
