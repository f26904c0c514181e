#include "authority.h"

#include <algorithm>
#include <functional>

namespace apricotyard {

void
OnSyncGrant(HostAuthority& aHost, const SyncGrant& aGrant, TimePoint aSentAt, TimePoint aNow)
{
  aHost.mHeld = std::max(aHost.mHeld, aGrant.mNewest);
  if (aGrant.mEpoch > aHost.mHeldEpoch) {
    aHost.mHeldEpoch = aGrant.mEpoch;
    aHost.mHeldWitnesses = aGrant.mWitnesses;
  }
  AdoptHeld(aHost, aNow);
  // Checked after the adoption: a host that may not adopt yet must not serve on this lease.
  if (aHost.mRun >= aGrant.mRequiredRevision && aHost.mEpoch >= aGrant.mRequiredEpoch) {
    aHost.mControlLeaseEnd = std::max(aHost.mControlLeaseEnd, aSentAt + kLease);
  }
}

bool
AdoptHeld(HostAuthority& aHost, TimePoint aNow)
{
  if (aNow < aHost.mPromiseEnd) {
    return false;
  }
  const bool changed = aHost.mHeld > aHost.mRun || aHost.mHeldEpoch > aHost.mEpoch;
  aHost.mRun = std::max(aHost.mRun, aHost.mHeld);
  if (aHost.mHeldEpoch > aHost.mEpoch) {
    aHost.mEpoch = aHost.mHeldEpoch;
    aHost.mWitnesses = aHost.mHeldWitnesses;
  }
  return changed;
}

bool
MayServe(const HostAuthority& aHost, TimePoint aNow)
{
  return aHost.mRun > 0 && (aNow < aHost.mControlLeaseEnd || aNow < aHost.mWitnessLeaseEnd);
}

std::optional<WitnessQuestion>
StartWitnessRound(HostAuthority& aHost, TimePoint aNow)
{
  const bool overdue = aNow + kRenewalOverdue >= aHost.mControlLeaseEnd;
  const bool recent = !aHost.mGranted.empty() || aHost.mRoundSent != TimePoint{};
  if (aHost.mRun == 0 || !overdue || (recent && aNow < aHost.mRoundSent + kWitnessInterval)) {
    return std::nullopt;
  }
  aHost.mRoundSent = aNow;
  aHost.mRoundEpoch = aHost.mEpoch;
  aHost.mGranted.clear();
  return WitnessQuestion{ aHost.mHost, aHost.mRun, aHost.mEpoch };
}

bool
OnWitnessQuestion(HostAuthority& aHost, const WitnessQuestion& aQuestion, TimePoint aNow)
{
  const bool overdue = aNow + kRenewalOverdue >= aHost.mControlLeaseEnd;
  if (aHost.mRun == 0 || !overdue || aQuestion.mRevision < aHost.mRun ||
      aQuestion.mEpoch < aHost.mEpoch) {
    return false;
  }
  aHost.mPromiseEnd = std::max(aHost.mPromiseEnd, aNow + kGrantedLease);
  return true;
}

void
OnWitnessGrant(HostAuthority& aHost, const std::string& aWitness, TimePoint aSentAt)
{
  const bool current = aSentAt == aHost.mRoundSent && aHost.mRoundEpoch == aHost.mEpoch;
  const bool witness =
    std::find(aHost.mWitnesses.begin(), aHost.mWitnesses.end(), aWitness) != aHost.mWitnesses.end();
  if (!current || !witness) {
    return;
  }
  aHost.mGranted.insert(aWitness);
  if (aHost.mGranted.size() * 2 > aHost.mWitnesses.size()) {
    aHost.mWitnessLeaseEnd = std::max(aHost.mWitnessLeaseEnd, aSentAt + kLease);
  }
}

void
BeginLeading(ControlAuthority& aControl, Revision aNewest, TimePoint aNow)
{
  aControl = ControlAuthority{};
  aControl.mSince = aNow;
  aControl.mFloor = aNewest;
}

bool
OnSync(ControlAuthority& aControl,
       const std::string& aHost,
       std::uint64_t aIncarnation,
       Revision aRun,
       Revision aHeld,
       std::uint64_t aEpoch,
       Revision aNewest,
       TimePoint aNow)
{
  HostContact& contact = aControl.mContacts[aHost];
  if (aIncarnation < contact.mIncarnation) {
    return false;
  }
  if (aIncarnation > contact.mIncarnation) {
    contact = HostContact{};
    contact.mIncarnation = aIncarnation;
    contact.mFirst = aNow;
    contact.mFirstNewest = aNewest;
  }
  // Syncs can arrive out of order; a revision that was run once is never left.
  contact.mRun = std::max(contact.mRun, aRun);
  contact.mHeld = std::max(contact.mHeld, aHeld);
  contact.mEpoch = std::max(contact.mEpoch, aEpoch);
  contact.mLast = aNow;
  contact.mLeaseEnd = aNow + kGrantedLease;
  return true;
}

Revision
RequiredRevision(const ControlAuthority& aControl)
{
  return std::max(aControl.mFloor, aControl.mInForce);
}

namespace {

// True if a majority of aWitnesses satisfies aCondition. Vacuous for an empty set: without
// witnesses no host gets a witness lease.
bool
Majority(const ControlAuthority& aControl,
         const std::vector<std::string>& aWitnesses,
         const std::map<std::string, std::uint64_t>& aGone,
         TimePoint aNow,
         const std::function<bool(const HostContact&)>& aCondition)
{
  std::size_t good = 0;
  for (const std::string& witness : aWitnesses) {
    const auto contact = aControl.mContacts.find(witness);
    const auto gone = aGone.find(witness);
    const bool ended = gone != aGone.end() && (contact == aControl.mContacts.end() ||
                                               contact->second.mIncarnation <= gone->second);
    const bool agrees = contact != aControl.mContacts.end() &&
                        aNow >= contact->second.mFirst + kGrantedLease &&
                        aCondition(contact->second);
    // A process that has ended grants nothing, so it stands for agreement.
    good += ended || agrees ? 1 : 0;
  }
  return aWitnesses.empty() || good * 2 > aWitnesses.size();
}

// Leases that an earlier leader granted have ended.
bool
KnowsLeases(const ControlAuthority& aControl, TimePoint aNow)
{
  return aNow >= aControl.mSince + kGrantedLease;
}

} // namespace

Revision
UpdateInForce(ControlAuthority& aControl,
              const RosterView& aRoster,
              Revision aNewest,
              TimePoint aNow)
{
  if (!KnowsLeases(aControl, aNow)) {
    return aControl.mInForce;
  }
  Revision candidate = aNewest;
  for (const auto& [host, contact] : aControl.mContacts) {
    if (aNow < contact.mLeaseEnd) {
      candidate = std::min(candidate, contact.mRun == 0 ? contact.mFirstNewest : contact.mRun);
    }
  }
  const auto runs = [&](const HostContact& aContact) { return aContact.mRun >= candidate; };
  const bool agreed = Majority(aControl, aRoster.mSettledWitnesses, aRoster.mGone, aNow, runs) &&
                      (aRoster.mPendingEpoch == 0 ||
                       Majority(aControl, aRoster.mPendingWitnesses, aRoster.mGone, aNow, runs));
  if (agreed) {
    aControl.mInForce = std::max(aControl.mInForce, candidate);
  }
  return aControl.mInForce;
}

bool
MaySettle(const ControlAuthority& aControl, const RosterView& aRoster, TimePoint aNow)
{
  if (aRoster.mPendingEpoch == 0 || !KnowsLeases(aControl, aNow)) {
    return false;
  }
  const auto confirmed = [&](const HostContact& aContact) {
    return aContact.mEpoch >= aRoster.mPendingEpoch;
  };
  const bool all = std::all_of(
    aRoster.mSettledHosts.begin(), aRoster.mSettledHosts.end(), [&](const std::string& aHost) {
      const auto contact = aControl.mContacts.find(aHost);
      return contact == aControl.mContacts.end() || aNow >= contact->second.mLeaseEnd ||
             confirmed(contact->second);
    });
  return all && Majority(aControl, aRoster.mSettledWitnesses, aRoster.mGone, aNow, confirmed);
}

RosterProposal
ProposeRoster(const ControlAuthority& aControl, const RosterView& aRoster, TimePoint aNow)
{
  RosterProposal proposal;
  if (aRoster.mPendingEpoch != 0 || !KnowsLeases(aControl, aNow)) {
    return proposal;
  }
  const auto listed = [&](const std::string& aHost) {
    return std::find(aRoster.mSettledHosts.begin(), aRoster.mSettledHosts.end(), aHost) !=
           aRoster.mSettledHosts.end();
  };
  for (const auto& [host, contact] : aControl.mContacts) {
    if (!listed(host) && aNow < contact.mLast + kLease) {
      proposal.mPresent.push_back(host);
    }
  }
  for (const std::string& host : aRoster.mSettledHosts) {
    const auto contact = aControl.mContacts.find(host);
    const TimePoint last =
      contact == aControl.mContacts.end() ? aControl.mSince : contact->second.mLast;
    if (aNow >= last + kRosterTimeout) {
      proposal.mAbsent.push_back(host);
    }
  }
  return proposal;
}

} // namespace apricotyard
