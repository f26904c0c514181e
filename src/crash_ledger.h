// A gateway's record of replicas that may have crashed under a request, and the decision which
// requests may still run. Pure functions over a plain struct; not thread-safe.
//
// A crash cannot always be proven: the address of a process that ended refuses connections, but
// that of a host that went down is silent, and so is one behind a partition. A replica that gives
// no answer to a request is therefore suspected to have crashed until it shows a sign of life, and
// suspected crashes restrict the request like confirmed ones. Only confirmed crashes stop it for
// good. Requests that happened to run on a replica that crashed are cleared by their next answer.
#ifndef APRICOTYARD_CRASH_LEDGER_H
#define APRICOTYARD_CRASH_LEDGER_H

#include "directory.h"
#include "quarantine.h"

#include <deque>
#include <span>

namespace apricotyard {

// Crashes from which on a request needs a replica for itself, and from which on it is not run.
inline constexpr std::size_t kCrashesToIsolate = 2;
inline constexpr std::size_t kCrashesToStop = 3;
// Time after which a crash is passed on to the other gateways. Most requests are answered by
// another replica in this time and are cleared. A suspicion is often refuted by the replica itself.
inline constexpr Duration kConfirmedReportDelay = std::chrono::milliseconds(100);
inline constexpr Duration kSuspectedReportDelay = std::chrono::milliseconds(400);
// A replica that is still listed after this time has renewed its lease since the crash was
// suspected, so it is alive. One that is not listed is gone.
inline constexpr Duration kSuspicionTime = kUpstreamLease + std::chrono::seconds(1);
// Time for which requests that reach a crashed replica are not taken for the cause of its crash.
inline constexpr Duration kCrashMemory = std::chrono::seconds(30);

// One incarnation of a replica.
struct ReplicaRun
{
  std::string mUpstream;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const ReplicaRun&) const = default;
};

struct LedgerStrike
{
  CrashState mState = CrashState::Suspected;
  // Other gateways know of it.
  bool mShared = false;
};

struct LedgerRequest
{
  std::map<ReplicaRun, LedgerStrike> mStrikes;
  // The fingerprint is of the content alone, without the service.
  bool mOfContent = false;
  TimePoint mLastStrikeAt;
  // Isolated attempts that are running on this host.
  std::uint32_t mRunning = 0;
};

struct LedgerCrash
{
  // When this host first learned of it.
  TimePoint mSince;
  bool mSuspected = true;
  std::set<Fingerprint> mFingerprints;
};

struct CrashLedger
{
  // This gateway, as the reporting host of strikes.
  std::string mHost;
  absl::flat_hash_map<Fingerprint, LedgerRequest> mRequests;
  std::map<ReplicaRun, LedgerCrash> mCrashes;
  // Strikes to pass on, and when.
  struct Report
  {
    TimePoint mDue;
    Fingerprint mFingerprint = 0;
    ReplicaRun mRun;
  };
  std::deque<Report> mReports;
};

// Suspects that aRun crashed under a request that was sent at aSentAt. aOfContent tells that the
// fingerprint does not include the service. The suspicion is passed on after aReportDelay. Returns
// false, and blames nothing on the request, if the crash was known before it was sent, or if the
// strike is not new.
bool
SuspectCrash(CrashLedger& aLedger,
             Fingerprint aFingerprint,
             bool aOfContent,
             const ReplicaRun& aRun,
             TimePoint aSentAt,
             TimePoint aNow,
             Duration aReportDelay = kSuspectedReportDelay);

// Confirms that aRun has ended, if it is suspected. Returns the requests concerned.
std::vector<Fingerprint>
ConfirmCrash(CrashLedger& aLedger, const ReplicaRun& aRun, TimePoint aNow);

// Records that aRun answered a request that was sent at aSentAt, or otherwise showed that it was
// alive then. Clears the requests that were suspected of a crash before. Returns those that were
// restricted.
std::vector<Fingerprint>
RecordLife(CrashLedger& aLedger, const ReplicaRun& aRun, TimePoint aSentAt);

// Records that a replica answered the request, which therefore is not what crashes replicas.
// Returns true if it was restricted.
bool
ClearRequest(CrashLedger& aLedger, Fingerprint aFingerprint, TimePoint aNow);

// Records a strike that another gateway reported. Returns false if it changes nothing.
bool
LearnStrike(CrashLedger& aLedger, const Strike& aStrike, TimePoint aNow);

// Suspected crashes that are older than kSuspicionTime.
std::vector<ReplicaRun>
OverdueSuspicions(const CrashLedger& aLedger, TimePoint aNow);

// How a request may run. Busy: it must not run now, because another attempt runs or crashes are
// still to be confirmed or refuted.
Permission
Judge(const CrashLedger& aLedger, Fingerprint aFingerprint);

// Whether the request needs a replica for itself, and when the last crash was attributed to it.
bool
NeedsReplicaForItself(const CrashLedger& aLedger, Fingerprint aFingerprint);
TimePoint
LastStrikeAt(const CrashLedger& aLedger, Fingerprint aFingerprint);

// Count the running isolated attempts, for Permission::Busy.
void
BeginIsolatedRun(CrashLedger& aLedger, Fingerprint aFingerprint);
void
EndIsolatedRun(CrashLedger& aLedger, Fingerprint aFingerprint);

// Returns the strikes that are due to be passed on.
std::vector<Strike>
TakeReports(CrashLedger& aLedger, TimePoint aNow);

// Strikes of all requests that are restricted, whoever reported them, at most aLimit.
std::vector<Strike>
RestrictingStrikes(const CrashLedger& aLedger, std::size_t aLimit);

// Number of requests that are stopped. A request that is stopped both at a service and everywhere
// counts once.
std::size_t
CountStopped(const CrashLedger& aLedger);

// Removes requests kQuarantineTime after their last strike, and old crashes.
void
ExpireLedger(CrashLedger& aLedger, TimePoint aNow);

} // namespace apricotyard

#endif
