// Stops requests that crash the upstreams on which they run. Pure functions; not thread-safe.
//
// When an upstream process crashes, each request fingerprint that was running on it gets a strike
// and becomes a suspect. A strike alone proves nothing, because most of these requests only
// happened to run there. A suspect is therefore run in isolation: one attempt at a time on this
// host, on a replica that runs nothing else. A crash in isolation proves that the request is the
// cause. A proven fingerprint with two strikes is stopped.
#ifndef APRICOTYARD_QUARANTINE_H
#define APRICOTYARD_QUARANTINE_H

#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <span>

#include <absl/container/flat_hash_map.h>

namespace apricotyard {

using Fingerprint = std::uint64_t;

// How long a suspect or stopped fingerprint is kept after its latest strike.
inline constexpr Duration kQuarantineTime = std::chrono::minutes(10);
// A lost connection counts as a crash if a new incarnation of the upstream or a refused connection
// is seen within this time.
inline constexpr Duration kCrashWindow = std::chrono::seconds(2);
// Maximum number of suspects; beyond it, the one that expires first is dropped.
inline constexpr std::size_t kMaxSuspects = 10'000;

// Whether an upstream crashed under a request. A later state replaces an earlier one.
enum class CrashState : std::uint8_t
{
  Suspected, // the upstream gave no answer and no sign of life since
  Confirmed, // its process has ended
  Cleared,   // it did not crash, or not because of the request
};

// One crash attributed to a fingerprint, as exchanged between hosts.
struct Strike
{
  Fingerprint mFingerprint = 0;
  // The entry host that observed the crash.
  std::string mHost;
  std::string mUpstream;
  // The incarnation of mUpstream that crashed. The pair identifies the crash.
  std::uint64_t mIncarnation = 0;
  // The fingerprint ran in isolation, so it caused the crash.
  bool mAlone = false;
  CrashState mState = CrashState::Confirmed;
  // The fingerprint is of the content alone, without the service.
  bool mOfContent = false;
};

struct Suspect
{
  // The observing host of each crash, by upstream and incarnation.
  std::map<std::pair<std::string, std::uint64_t>, std::string> mCrashes;
  bool mProven = false;
  TimePoint mExpires;
  // Until these times, a lost connection may still turn out to be a crash: of any attempt, and of
  // an attempt in isolation.
  TimePoint mLossUntil;
  TimePoint mAloneLossUntil;
  // Isolated attempts of this fingerprint that are running on this host.
  std::uint32_t mRunning = 0;
};

// A connection that was lost while a request was running. It becomes a strike if the upstream
// process turns out to have crashed.
struct ConnectionLoss
{
  Fingerprint mFingerprint = 0;
  std::uint64_t mIncarnation = 0;
  bool mAlone = false;
  TimePoint mAt;
};

struct Quarantine
{
  // By upstream. Losses older than the crash window are dropped when a new one is added.
  absl::flat_hash_map<std::string, std::vector<ConnectionLoss>> mLosses;
  absl::flat_hash_map<Fingerprint, Suspect> mSuspects;
  std::set<std::pair<TimePoint, Fingerprint>> mExpiry;
};

enum class Permission : std::uint8_t
{
  Unrestricted, // not a suspect
  Alone,        // suspect; may run now, in isolation
  Busy,         // suspect; another attempt is running or must be waited for
  Stopped,      // proven cause of crashes (at most two on a host, three in all)
};

// Hash of the collection and the query text.
Fingerprint
MakeFingerprint(std::string_view aCollection, std::string_view aQuery);

// Returns how the fingerprint may run on this host, aHost. Once strikes from several hosts are
// known, only the host with the lowest name may make another attempt. Otherwise each host could
// make a last attempt, and there could be more than three crashes in all.
Permission
Permit(const Quarantine& aQuarantine,
       Fingerprint aFingerprint,
       std::string_view aHost,
       TimePoint aNow);

// Whether crashes are attributed to the fingerprint.
bool
IsSuspect(const Quarantine& aQuarantine, Fingerprint aFingerprint);

// When a suspect or stopped fingerprint is forgotten, or aNow if it is not known.
TimePoint
SuspectUntil(const Quarantine& aQuarantine, Fingerprint aFingerprint, TimePoint aNow);

// Records that a connection was lost after a request was sent on it. The fingerprint is treated as
// a suspect until the crash window ends. If it ran in isolation, it is not sent again until then.
void
AddConnectionLoss(Quarantine& aQuarantine,
                  const std::string& aUpstream,
                  const ConnectionLoss& aLoss);

// Records that the process of aUpstream crashed, which is known from a new incarnation or a refused
// connection. Converts the losses within the crash window (2 s) into strikes, and returns the new
// strikes for the other entry hosts.
std::vector<Strike>
ConfirmCrash(Quarantine& aQuarantine,
             const std::string& aUpstream,
             const std::string& aHost,
             TimePoint aNow);

// Records a strike from this or another entry host. A crash that is reported twice counts once.
// Returns false if the strike adds nothing new.
bool
AddStrike(Quarantine& aQuarantine, const Strike& aStrike, TimePoint aNow);

// Count the running attempts of a suspect, for Permission::Busy.
void
BeginSuspectRun(Quarantine& aQuarantine, Fingerprint aFingerprint);
void
EndSuspectRun(Quarantine& aQuarantine, Fingerprint aFingerprint);

// Called after a suspect was answered while it ran in isolation. Removes its crashes of aUpstreams,
// the replicas of the same shard, unless it is already proven to be the cause.
void
ClearSuspicion(Quarantine& aQuarantine,
               Fingerprint aFingerprint,
               std::span<const std::string> aUpstreams);

// Removes expired entries.
void
ExpireQuarantine(Quarantine& aQuarantine, TimePoint aNow);

// For operators: lists the suspects, and removes one of them. LiftQuarantine returns false if the
// fingerprint is not listed.
struct QuarantineEntry
{
  Fingerprint mFingerprint = 0;
  std::size_t mStrikes = 0;
  bool mStopped = false;
  TimePoint mExpires;
};
std::vector<QuarantineEntry>
ListQuarantine(const Quarantine& aQuarantine);
bool
LiftQuarantine(Quarantine& aQuarantine, Fingerprint aFingerprint);

} // namespace apricotyard

#endif
