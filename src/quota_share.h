// Tokens of workspaces that a gateway holds, and what it lets pass while it has no owner. A struct
// and functions without clocks or I/O. docs/design/quotas.md explains the rules.
//
// Inputs: requests, and the replies to calls of the owner. Output: whether a request may run, and
// the next call.
#ifndef APRICOTYARD_QUOTA_SHARE_H
#define APRICOTYARD_QUOTA_SHARE_H

#include "quota_ledger.h"

namespace apricotyard {

// A call without a reply for this time has failed. A later reply has no effect.
inline constexpr Duration kQuotaCallTimeout = std::chrono::milliseconds(300);
// Time for which tokens without a request are held.
inline constexpr Duration kTokenLifetime = std::chrono::seconds(1);
// Interval within which tokens are returned and shares are renewed.
inline constexpr Duration kQuotaRenewal = std::chrono::milliseconds(500);
// After a failed call, requests do without the owner for this time unless a call succeeds.
inline constexpr Duration kOwnerRetry = std::chrono::milliseconds(300);
// Pause after a failed call before the next one.
inline constexpr Duration kQuotaCallPause = std::chrono::milliseconds(100);

// What a gateway has of one workspace.
struct WorkspaceQuota
{
  // Limit in force at this gateway.
  double mRate = 0;
  // Tokens without a request. Valid until mTokensUntil.
  std::uint32_t mTokens = 0;
  TimePoint mTokensUntil;
  // Whether the tokens are of the present term, so that they can be returned.
  bool mReturnable = false;
  // Requests that wait for a token and are in no call yet.
  std::uint32_t mWanted = 0;
  // Tokens to be returned with the next call.
  std::uint32_t mReturned = 0;
  // Requests that passed by the share and are in no answered call.
  std::uint32_t mUsedAlone = 0;
  // Share as the owner gave it, the limit at that time, and when the share lapses.
  double mShare = 0;
  double mShareOfRate = 0;
  TimePoint mShareUntil;
  std::uint64_t mShareTerm = 0;
  // Requests that may pass by the share, as of mCreditAt.
  double mCredit = 0;
  // Requests that may pass without it until the share lapses.
  std::uint32_t mReserve = 0;
  // Time after the loss of the owner in which requests may pass, as the owner gave it at
  // mAnsweredAt, and the number that has passed so since.
  Duration mFreeTime{};
  TimePoint mAnsweredAt;
  std::uint32_t mFreeUsed = 0;
  TimePoint mCreditAt;
  // When the workspace was last in a call.
  TimePoint mCalledAt;
};

struct QuotaShare
{
  std::string mGateway;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mTerm = 0;
  std::uint64_t mNumber = 0;
  bool mCallOpen = false;
  TimePoint mCalledAt;
  // Demands of the open call.
  std::vector<QuotaDemand> mAsked;
  // Whether the last call failed, and when.
  bool mOwnerLost = false;
  TimePoint mFailedAt;
  // When the first of the calls that failed since was made.
  TimePoint mLostAt;
  absl::flat_hash_map<std::string, WorkspaceQuota> mWorkspaces;
  // Workspaces with requests that wait and are in no call yet.
  std::vector<std::string> mWaiting;
  // When the workspaces are looked through for tokens to return and shares to renew.
  TimePoint mRenewalAt = TimePoint::max();
  // Requests that passed by a share are to be reported now.
  bool mReportDue = false;
  // No share is taken any more, because the process stops.
  bool mSharesGivenUp = false;
};

enum class QuotaDecision : std::uint8_t
{
  // Has a token of the owner.
  Granted,
  // Passes by the share of this gateway.
  GrantedAlone,
  // Waits for the next call.
  Wait,
  // There is no owner and no share.
  Unavailable,
};

// What became of the requests of a workspace that were in a call, in the order of their arrival:
// mGranted of them, then mAlone, may run, and mDenied may not.
struct QuotaOutcome
{
  std::string mWorkspace;
  std::uint32_t mGranted = 0;
  std::uint32_t mAlone = 0;
  std::uint32_t mDenied = 0;
  // The denied ones have no owner.
  bool mUnavailable = false;
  // For the denied ones: when a token is expected for the first of them, and how much later for
  // each further one.
  Duration mWait{};
  Duration mSlot{};
};

// The functions below are thread-safe for distinct shares. Their aNow must not decrease.

// Decides on a request. aRate is the limit of the workspace in force. Precondition: aRate is
// positive.
QuotaDecision
TakeToken(QuotaShare& aShare, const std::string& aWorkspace, double aRate, TimePoint aNow);

// Returns the token of a request that did not run. aAlone is whether it passed by the share, and
// aTerm the term in which it got the token.
void
ReturnToken(QuotaShare& aShare,
            const std::string& aWorkspace,
            bool aAlone,
            std::uint64_t aTerm,
            TimePoint aNow);

// Holds a token for the next request that was granted for one that no longer waits.
void
KeepToken(QuotaShare& aShare, const std::string& aWorkspace, TimePoint aNow);

// Drops all shares and takes no further ones. Requests need a token of the owner from then on.
void
GiveUpShares(QuotaShare& aShare);

// Returns the term of the oldest share that has not lapsed, or 0 if there is none.
std::uint64_t
OldestShareTerm(const QuotaShare& aShare, TimePoint aNow);

// When the next call is due: TimePoint::max() if there is nothing to call for, or while one is
// open.
TimePoint
NextCallAt(const QuotaShare& aShare, TimePoint aNow);

// Returns the next call, without demands if there is nothing to call for. It is open then only if
// it has demands. Precondition: no call is open.
QuotaCall
BeginCall(QuotaShare& aShare, TimePoint aNow);

// Takes the reply to the open call, or nothing if it failed. Returns what became of its requests.
// Precondition: a call is open.
std::vector<QuotaOutcome>
EndCall(QuotaShare& aShare, const std::optional<QuotaReply>& aReply, TimePoint aNow);

} // namespace apricotyard

#endif
