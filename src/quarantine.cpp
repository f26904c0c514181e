#include "quarantine.h"

#include <algorithm>

#include <xxhash.h>

namespace apricotyard {

namespace {

// Strikes at which a proven fingerprint is stopped.
constexpr std::size_t kStrikesToStop = 2;

bool
IsStopped(const Suspect& aSuspect)
{
  return aSuspect.mProven && aSuspect.mCrashes.size() >= kStrikesToStop;
}

void
RemoveSuspect(Quarantine& aQuarantine, Fingerprint aFingerprint)
{
  const auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found != aQuarantine.mSuspects.end()) {
    aQuarantine.mExpiry.erase({ found->second.mExpires, aFingerprint });
    aQuarantine.mSuspects.erase(found);
  }
}

// Extends the expiry to aExpires if that is later. Removes the entry that expires first if the
// table exceeds its limit.
void
ExtendExpiry(Quarantine& aQuarantine,
             Fingerprint aFingerprint,
             Suspect& aSuspect,
             TimePoint aExpires)
{
  if (aExpires > aSuspect.mExpires) {
    aQuarantine.mExpiry.erase({ aSuspect.mExpires, aFingerprint });
    aSuspect.mExpires = aExpires;
    aQuarantine.mExpiry.emplace(aExpires, aFingerprint);
  }
  if (aQuarantine.mSuspects.size() > kMaxSuspects) {
    RemoveSuspect(aQuarantine, aQuarantine.mExpiry.begin()->second);
  }
}

} // namespace

Fingerprint
MakeFingerprint(std::string_view aCollection, std::string_view aQuery)
{
  const std::uint64_t seed = XXH3_64bits(aCollection.data(), aCollection.size());
  return XXH3_64bits_withSeed(aQuery.data(), aQuery.size(), seed);
}

Permission
Permit(const Quarantine& aQuarantine,
       Fingerprint aFingerprint,
       std::string_view aHost,
       TimePoint aNow)
{
  const auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found == aQuarantine.mSuspects.end()) {
    return Permission::Unrestricted;
  }
  const Suspect& suspect = found->second;
  if (IsStopped(suspect)) {
    return Permission::Stopped;
  }
  if (suspect.mCrashes.empty() && suspect.mLossUntil <= aNow) {
    return Permission::Unrestricted;
  }
  const bool otherHostFirst =
    std::any_of(suspect.mCrashes.begin(), suspect.mCrashes.end(), [aHost](const auto& aCrash) {
      return aCrash.second < aHost;
    });
  if (suspect.mRunning > 0 || suspect.mAloneLossUntil > aNow ||
      (suspect.mCrashes.size() >= kStrikesToStop && otherHostFirst)) {
    return Permission::Busy;
  }
  return Permission::Alone;
}

bool
IsSuspect(const Quarantine& aQuarantine, Fingerprint aFingerprint)
{
  const auto found = aQuarantine.mSuspects.find(aFingerprint);
  return found != aQuarantine.mSuspects.end() && !found->second.mCrashes.empty();
}

TimePoint
SuspectUntil(const Quarantine& aQuarantine, Fingerprint aFingerprint, TimePoint aNow)
{
  const auto found = aQuarantine.mSuspects.find(aFingerprint);
  return found != aQuarantine.mSuspects.end() ? std::max(found->second.mExpires, aNow) : aNow;
}

void
AddConnectionLoss(Quarantine& aQuarantine,
                  const std::string& aUpstream,
                  const ConnectionLoss& aLoss)
{
  std::vector<ConnectionLoss>& losses = aQuarantine.mLosses[aUpstream];
  std::erase_if(
    losses, [&aLoss](const ConnectionLoss& aOld) { return aOld.mAt + kCrashWindow <= aLoss.mAt; });
  losses.push_back(aLoss);
  Suspect& suspect = aQuarantine.mSuspects[aLoss.mFingerprint];
  suspect.mLossUntil = aLoss.mAt + kCrashWindow;
  if (aLoss.mAlone) {
    suspect.mAloneLossUntil = suspect.mLossUntil;
  }
  ExtendExpiry(aQuarantine, aLoss.mFingerprint, suspect, suspect.mLossUntil);
}

std::vector<Strike>
ConfirmCrash(Quarantine& aQuarantine,
             const std::string& aUpstream,
             const std::string& aHost,
             TimePoint aNow)
{
  std::vector<Strike> strikes;
  const auto node = aQuarantine.mLosses.extract(aUpstream);
  if (node.empty()) {
    return strikes;
  }
  for (const ConnectionLoss& loss : node.mapped()) {
    const Strike strike{ loss.mFingerprint, aHost, aUpstream, loss.mIncarnation, loss.mAlone };
    if (loss.mAt + kCrashWindow > aNow && AddStrike(aQuarantine, strike, aNow)) {
      strikes.push_back(strike);
    }
  }
  return strikes;
}

bool
AddStrike(Quarantine& aQuarantine, const Strike& aStrike, TimePoint aNow)
{
  Suspect& suspect = aQuarantine.mSuspects[aStrike.mFingerprint];
  const bool isNew =
    suspect.mCrashes.emplace(std::pair{ aStrike.mUpstream, aStrike.mIncarnation }, aStrike.mHost)
      .second;
  if (!isNew && (suspect.mProven || !aStrike.mAlone)) {
    return false;
  }
  suspect.mProven = suspect.mProven || aStrike.mAlone;
  ExtendExpiry(aQuarantine, aStrike.mFingerprint, suspect, aNow + kQuarantineTime);
  return true;
}

void
BeginSuspectRun(Quarantine& aQuarantine, Fingerprint aFingerprint)
{
  const auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found != aQuarantine.mSuspects.end()) {
    ++found->second.mRunning;
  }
}

void
EndSuspectRun(Quarantine& aQuarantine, Fingerprint aFingerprint)
{
  const auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found != aQuarantine.mSuspects.end() && found->second.mRunning > 0) {
    --found->second.mRunning;
  }
}

void
ClearSuspicion(Quarantine& aQuarantine,
               Fingerprint aFingerprint,
               std::span<const std::string> aUpstreams)
{
  const auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found == aQuarantine.mSuspects.end() || found->second.mProven) {
    return;
  }
  std::erase_if(found->second.mCrashes, [aUpstreams](const auto& aCrash) {
    return std::find(aUpstreams.begin(), aUpstreams.end(), aCrash.first.first) != aUpstreams.end();
  });
}

void
ExpireQuarantine(Quarantine& aQuarantine, TimePoint aNow)
{
  while (!aQuarantine.mExpiry.empty() && aQuarantine.mExpiry.begin()->first <= aNow) {
    RemoveSuspect(aQuarantine, aQuarantine.mExpiry.begin()->second);
  }
}

std::vector<QuarantineEntry>
ListQuarantine(const Quarantine& aQuarantine)
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [expires, fingerprint] : aQuarantine.mExpiry) {
    const Suspect& suspect = aQuarantine.mSuspects.at(fingerprint);
    entries.push_back({ fingerprint, suspect.mCrashes.size(), IsStopped(suspect), expires });
  }
  return entries;
}

bool
LiftQuarantine(Quarantine& aQuarantine, Fingerprint aFingerprint)
{
  const bool known = aQuarantine.mSuspects.contains(aFingerprint);
  RemoveSuspect(aQuarantine, aFingerprint);
  return known;
}

} // namespace apricotyard
