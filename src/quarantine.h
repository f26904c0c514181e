// Stops requests that crash the upstreams that run them. Pure; not thread-safe.
//
// A death of an upstream process gives one strike to each fingerprint that was running on it. That
// makes the fingerprint suspect and proves nothing, because the others ran there by chance. A
// suspect runs alone: one attempt at a time on this host, on a replica that runs nothing else. A
// death under these conditions proves the guilt, and the fingerprint is stopped.
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

// A stop expires after this time.
inline constexpr Duration kQuarantineTime = std::chrono::minutes(10);
// A connection loss counts as a death if the new incarnation or a refused connection is seen within
// this time.
inline constexpr Duration kDeathWindow = std::chrono::seconds(2);
// Limit of the table; the entry that expires first is dropped.
inline constexpr std::size_t kMaxSuspects = 10'000;

// One death, as entry hosts share it.
struct Strike
{
  Fingerprint mFingerprint = 0;
  // The entry host that saw the death.
  std::string mHost;
  std::string mUpstream;
  // The incarnation that died; with the upstream it names the death.
  std::uint64_t mIncarnation = 0;
  // The fingerprint ran alone, so the death proves its guilt.
  bool mAlone = false;
};

struct Suspect
{
  // Deaths by (upstream, incarnation), each with the host that saw it.
  std::map<std::pair<std::string, std::uint64_t>, std::string> mDeaths;
  bool mProven = false;
  TimePoint mExpires;
  // Until these times a lost connection may turn out to be a death: of an ordinary attempt, and of
  // an attempt that ran alone.
  TimePoint mLossUntil;
  TimePoint mAloneLossUntil;
  // Sub-requests of this fingerprint that run on this host now.
  std::uint32_t mRunning = 0;
};

// A connection that was lost while a request ran. It becomes a strike if the upstream's process
// turns out to have died.
struct Loss
{
  Fingerprint mFingerprint = 0;
  std::uint64_t mIncarnation = 0;
  bool mAlone = false;
  TimePoint mAt;
};

struct Quarantine
{
  // By upstream; only losses within the death window.
  absl::flat_hash_map<std::string, std::vector<Loss>> mLosses;
  absl::flat_hash_map<Fingerprint, Suspect> mSuspects;
  std::set<std::pair<TimePoint, Fingerprint>> mExpiry;
};

enum class Permission : std::uint8_t
{
  Free,    // no suspicion
  Alone,   // suspect: one attempt at a time, alone on its replica
  Busy,    // suspect, and its one attempt is running
  Stopped, // crashed at most two replicas here and three in all
};

// Hash of collection and query.
Fingerprint
MakeFingerprint(std::string_view aCollection, std::string_view aQuery);

// aHost is this entry host. With strikes from several hosts, only the host with the lowest name may
// try again, so that a last try on each host does not exceed three crashes in all.
Permission
Permit(const Quarantine& aQuarantine,
       Fingerprint aFingerprint,
       std::string_view aHost,
       TimePoint aNow);

// Records that a connection was lost after aLoss.mFingerprint was sent on it. Until the cause is
// known the fingerprint is treated as suspect, and it is held if it ran alone.
void
AddLoss(Quarantine& aQuarantine, const std::string& aUpstream, const Loss& aLoss);

// The process of aUpstream died: a new incarnation was announced or a connection was refused.
// Turns the losses of the last two seconds into strikes and returns the new ones, to be shared.
std::vector<Strike>
ConfirmDeath(Quarantine& aQuarantine,
             const std::string& aUpstream,
             const std::string& aHost,
             TimePoint aNow);

// Records a death seen here or reported by another entry host. Returns false if it is known. A
// death reported twice counts once.
bool
AddStrike(Quarantine& aQuarantine, const Strike& aStrike, TimePoint aNow);

// Counts attempts of suspects, for Permission::Busy.
void
BeginSuspectRun(Quarantine& aQuarantine, Fingerprint aFingerprint);
void
EndSuspectRun(Quarantine& aQuarantine, Fingerprint aFingerprint);

// A suspect was answered while it ran alone. Unless its guilt is proven, that clears it of the
// deaths of aUpstreams, the replicas of the same shard.
void
ClearSuspicion(Quarantine& aQuarantine,
               Fingerprint aFingerprint,
               std::span<const std::string> aUpstreams);

// Forgets expired entries.
void
ExpireQuarantine(Quarantine& aQuarantine, TimePoint aNow);

// The operator's list and lift. Lift returns false if the fingerprint is not listed.
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
