#include "authority.h"

#include <algorithm>
#include <functional>

namespace apricotyard {

void
OnSyncGrant(HostLeaseState& aHost, const SyncGrant& aGrant, TimePoint aSentAt, TimePoint aNow)
{
  aHost.mReceivedRevision = std::max(aHost.mReceivedRevision, aGrant.mNewest);
  if (aGrant.mEpoch > aHost.mReceivedEpoch) {
    aHost.mReceivedEpoch = aGrant.mEpoch;
    aHost.mReceivedWitnesses = aGrant.mWitnesses;
  }
  AdoptReceived(aHost, aNow);
  // Checked after the adoption: the lease is not valid for a host that must not adopt the required
  // revision yet.
  if (aHost.mRunningRevision >= aGrant.mRequiredRevision &&
      aHost.mConfirmedEpoch >= aGrant.mRequiredEpoch) {
    aHost.mControlLeaseEnd = std::max(aHost.mControlLeaseEnd, aSentAt + kLease);
  }
}

bool
AdoptReceived(HostLeaseState& aHost, TimePoint aNow)
{
  if (aNow < aHost.mPromiseEnd) {
    return false;
  }
  const bool changed = aHost.mReceivedRevision > aHost.mRunningRevision ||
                       aHost.mReceivedEpoch > aHost.mConfirmedEpoch;
  aHost.mRunningRevision = std::max(aHost.mRunningRevision, aHost.mReceivedRevision);
  if (aHost.mReceivedEpoch > aHost.mConfirmedEpoch) {
    aHost.mConfirmedEpoch = aHost.mReceivedEpoch;
    aHost.mWitnesses = aHost.mReceivedWitnesses;
  }
  return changed;
}

bool
MayServe(const HostLeaseState& aHost, TimePoint aNow)
{
  return aHost.mRunningRevision > 0 &&
         (aNow < aHost.mControlLeaseEnd || aNow < aHost.mWitnessLeaseEnd);
}

std::optional<WitnessQuestion>
StartWitnessRound(HostLeaseState& aHost, TimePoint aNow)
{
  const bool overdue = aNow + kRenewalMargin >= aHost.mControlLeaseEnd;
  const bool roundSent = !aHost.mRoundGrants.empty() || aHost.mRoundSentAt != TimePoint{};
  if (aHost.mRunningRevision == 0 || !overdue ||
      (roundSent && aNow < aHost.mRoundSentAt + kWitnessInterval)) {
    return std::nullopt;
  }
  aHost.mRoundSentAt = aNow;
  aHost.mRoundEpoch = aHost.mConfirmedEpoch;
  aHost.mRoundGrants.clear();
  return WitnessQuestion{ aHost.mHost, aHost.mRunningRevision, aHost.mConfirmedEpoch };
}

bool
OnWitnessQuestion(HostLeaseState& aHost, const WitnessQuestion& aQuestion, TimePoint aNow)
{
  const bool overdue = aNow + kRenewalMargin >= aHost.mControlLeaseEnd;
  if (aHost.mRunningRevision == 0 || !overdue || aQuestion.mRevision < aHost.mRunningRevision ||
      aQuestion.mEpoch < aHost.mConfirmedEpoch) {
    return false;
  }
  aHost.mPromiseEnd = std::max(aHost.mPromiseEnd, aNow + kLeaseWithDrift);
  return true;
}

void
OnWitnessGrant(HostLeaseState& aHost, const std::string& aWitness, TimePoint aSentAt)
{
  const bool current = aSentAt == aHost.mRoundSentAt && aHost.mRoundEpoch == aHost.mConfirmedEpoch;
  const bool isWitness =
    std::find(aHost.mWitnesses.begin(), aHost.mWitnesses.end(), aWitness) != aHost.mWitnesses.end();
  if (!current || !isWitness) {
    return;
  }
  aHost.mRoundGrants.insert(aWitness);
  if (aHost.mRoundGrants.size() * 2 > aHost.mWitnesses.size()) {
    aHost.mWitnessLeaseEnd = std::max(aHost.mWitnessLeaseEnd, aSentAt + kLease);
  }
}

void
BeginLeading(ControlLeaseState& aControl, Revision aNewest, TimePoint aNow)
{
  aControl = ControlLeaseState{};
  aControl.mLeadingSince = aNow;
  aControl.mInitialRevision = aNewest;
}

bool
RecordSync(ControlLeaseState& aControl,
           const std::string& aHost,
           std::uint64_t aIncarnation,
           Revision aRunningRevision,
           Revision aReceivedRevision,
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
    contact.mFirstSync = aNow;
    contact.mRevisionAtFirstSync = aNewest;
  }
  // Syncs can arrive out of order, and a host never goes back to an older revision or epoch.
  contact.mRunningRevision = std::max(contact.mRunningRevision, aRunningRevision);
  contact.mReceivedRevision = std::max(contact.mReceivedRevision, aReceivedRevision);
  contact.mConfirmedEpoch = std::max(contact.mConfirmedEpoch, aEpoch);
  contact.mLastSync = aNow;
  contact.mLeaseEnd = aNow + kLeaseWithDrift;
  return true;
}

Revision
RequiredRevision(const ControlLeaseState& aControl)
{
  return std::max(aControl.mInitialRevision, aControl.mInForce);
}

namespace {

// True if a majority of aWitnesses satisfies aCondition. A witness counts only once the promises of
// its earlier incarnations have ended. Also true if there are no witnesses, because no host can
// then get a witness lease.
bool
MajorityAgrees(const ControlLeaseState& aControl,
               const std::vector<std::string>& aWitnesses,
               const std::map<std::string, std::uint64_t>& aGone,
               TimePoint aNow,
               const std::function<bool(const HostContact&)>& aCondition)
{
  std::size_t agreeing = 0;
  for (const std::string& witness : aWitnesses) {
    const auto contact = aControl.mContacts.find(witness);
    const auto gone = aGone.find(witness);
    const bool processEnded = gone != aGone.end() && (contact == aControl.mContacts.end() ||
                                                      contact->second.mIncarnation <= gone->second);
    const bool agrees = contact != aControl.mContacts.end() &&
                        aNow >= contact->second.mFirstSync + kLeaseWithDrift &&
                        aCondition(contact->second);
    // A process that has ended grants no leases, so it counts as agreeing.
    agreeing += processEnded || agrees ? 1 : 0;
  }
  return aWitnesses.empty() || agreeing * 2 > aWitnesses.size();
}

// True once all leases that an earlier leader granted have ended.
bool
EarlierLeasesEnded(const ControlLeaseState& aControl, TimePoint aNow)
{
  return aNow >= aControl.mLeadingSince + kLeaseWithDrift;
}

} // namespace

Revision
UpdateRevisionInForce(ControlLeaseState& aControl,
                      const RosterView& aRoster,
                      Revision aNewest,
                      TimePoint aNow)
{
  if (!EarlierLeasesEnded(aControl, aNow)) {
    return aControl.mInForce;
  }
  Revision candidate = aNewest;
  for (const auto& [host, contact] : aControl.mContacts) {
    if (aNow < contact.mLeaseEnd) {
      candidate = std::min(candidate,
                           contact.mRunningRevision == 0 ? contact.mRevisionAtFirstSync
                                                         : contact.mRunningRevision);
    }
  }
  const auto runsCandidate = [&](const HostContact& aContact) {
    return aContact.mRunningRevision >= candidate;
  };
  const bool agreed =
    MajorityAgrees(aControl, aRoster.mSettledWitnesses, aRoster.mGone, aNow, runsCandidate) &&
    (aRoster.mPendingEpoch == 0 ||
     MajorityAgrees(aControl, aRoster.mPendingWitnesses, aRoster.mGone, aNow, runsCandidate));
  if (agreed) {
    aControl.mInForce = std::max(aControl.mInForce, candidate);
  }
  return aControl.mInForce;
}

bool
CanSettleRoster(const ControlLeaseState& aControl, const RosterView& aRoster, TimePoint aNow)
{
  if (aRoster.mPendingEpoch == 0 || !EarlierLeasesEnded(aControl, aNow)) {
    return false;
  }
  const auto confirmed = [&](const HostContact& aContact) {
    return aContact.mConfirmedEpoch >= aRoster.mPendingEpoch;
  };
  const bool allConfirmed = std::all_of(
    aRoster.mSettledHosts.begin(), aRoster.mSettledHosts.end(), [&](const std::string& aHost) {
      const auto contact = aControl.mContacts.find(aHost);
      return contact == aControl.mContacts.end() || aNow >= contact->second.mLeaseEnd ||
             confirmed(contact->second);
    });
  return allConfirmed &&
         MajorityAgrees(aControl, aRoster.mSettledWitnesses, aRoster.mGone, aNow, confirmed);
}

RosterProposal
ProposeRosterChange(const ControlLeaseState& aControl, const RosterView& aRoster, TimePoint aNow)
{
  RosterProposal proposal;
  if (aRoster.mPendingEpoch != 0 || !EarlierLeasesEnded(aControl, aNow)) {
    return proposal;
  }
  const auto inRoster = [&](const std::string& aHost) {
    return std::find(aRoster.mSettledHosts.begin(), aRoster.mSettledHosts.end(), aHost) !=
           aRoster.mSettledHosts.end();
  };
  for (const auto& [host, contact] : aControl.mContacts) {
    if (!inRoster(host) && aNow < contact.mLastSync + kLease) {
      proposal.mPresent.push_back(host);
    }
  }
  for (const std::string& host : aRoster.mSettledHosts) {
    const auto contact = aControl.mContacts.find(host);
    const TimePoint last =
      contact == aControl.mContacts.end() ? aControl.mLeadingSince : contact->second.mLastSync;
    if (aNow >= last + kRosterTimeout) {
      proposal.mAbsent.push_back(host);
    }
  }
  return proposal;
}

} // namespace apricotyard
