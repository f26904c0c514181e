// Decides whether an entry host may serve the revision that it runs, and when control may report a
// revision as in force (docs/design.md, section 7.6). Once a revision is reported in force, no host
// may serve an older one. Free functions over plain structs, without I/O; not thread-safe.
//
// A host may serve while it holds a control lease or a witness lease. Three rules make this safe:
//
// 1. Control knows every host to which it granted a control lease. It does not report a revision in
//    force before all of these hosts run it.
// 2. A host that control does not answer asks the witnesses for a witness lease. A majority of them
//    must promise to adopt nothing newer while the lease runs. Control reports a revision in force
//    only if a majority of the same witnesses runs it.
// 3. A process that restarts runs no revision, so it grants no leases as a witness. Control does
//    not count it as a witness until the promises of its earlier incarnation have ended.
#ifndef APRICOTYARD_AUTHORITY_H
#define APRICOTYARD_AUTHORITY_H

#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

inline constexpr Duration kSyncInterval = std::chrono::milliseconds(500);
// The holder counts the lease from the time at which it sent the request.
inline constexpr Duration kLease = std::chrono::seconds(2);
// The time for which the grantor counts the lease as held: the lease and twice the drift bound of
// 1%, because both clocks may drift.
inline constexpr Duration kLeaseWithDrift = kLease + kLease / 50;
// A host whose control lease ends within this time has missed at least one renewal. From then on it
// asks the witnesses for a lease, and makes promises as a witness. Hosts therefore keep serving
// without a gap if control fails.
inline constexpr Duration kRenewalMargin = std::chrono::seconds(1);
inline constexpr Duration kWitnessInterval = std::chrono::milliseconds(250);
// A host that has not synced for this time is removed from the roster.
inline constexpr Duration kRosterTimeout = std::chrono::seconds(10);

// ---- entry host

// Asks a witness to promise that it adopts nothing new while the lease runs. A witness that has
// already adopted a newer revision or epoch refuses.
struct WitnessQuestion
{
  std::string mHost;
  Revision mRevision = 0;
  std::uint64_t mEpoch = 0;
};

// The leases and promises of one entry host.
struct HostLeaseState
{
  std::string mHost;
  // The revision that the host runs, 0 if none. Never decreases.
  Revision mRunningRevision = 0;
  // The newest revision received. It is adopted as soon as no promise forbids it.
  Revision mReceivedRevision = 0;
  // The roster epoch that the host has adopted and confirms to control, and its witnesses.
  std::uint64_t mConfirmedEpoch = 0;
  std::vector<std::string> mWitnesses;
  // The newest roster epoch received, and its witnesses.
  std::uint64_t mReceivedEpoch = 0;
  std::vector<std::string> mReceivedWitnesses;
  TimePoint mControlLeaseEnd;
  TimePoint mWitnessLeaseEnd;
  // As a witness, the host has promised not to adopt anything newer before this time.
  TimePoint mPromiseEnd;
  // The current round of questions to the witnesses, and the witnesses that granted it.
  TimePoint mRoundSentAt;
  std::uint64_t mRoundEpoch = 0;
  std::set<std::string> mRoundGrants;
};

// The fields of a sync reply from control that concern leases.
struct SyncGrant
{
  Revision mNewest = 0;
  // The lease is valid only if the host runs at least this revision and has confirmed at least this
  // epoch.
  Revision mRequiredRevision = 0;
  std::uint64_t mRequiredEpoch = 0;
  // The newest roster epoch, settled or pending, and its witnesses.
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mWitnesses;
};

// Processes the reply to a sync request that was sent at aSentAt. Precondition: the caller holds
// the document of aGrant.mNewest.
void
OnSyncGrant(HostLeaseState& aHost, const SyncGrant& aGrant, TimePoint aSentAt, TimePoint aNow);

// Adopts the received revision and roster epoch unless a promise forbids it. Returns true if either
// was adopted. Must be called again when mPromiseEnd has passed.
bool
AdoptReceived(HostLeaseState& aHost, TimePoint aNow);

// True while the host runs a revision and holds a control or witness lease.
bool
MayServe(const HostLeaseState& aHost, TimePoint aNow);

// Starts a round of questions if the renewal of the control lease is overdue and the last round was
// sent at least kWitnessInterval ago. The caller must send the returned question to every host in
// mWitnesses, including itself if it is listed.
std::optional<WitnessQuestion>
StartWitnessRound(HostLeaseState& aHost, TimePoint aNow);

// Answers a question as a witness. If it returns true, this host has made the promise.
bool
OnWitnessQuestion(HostLeaseState& aHost, const WitnessQuestion& aQuestion, TimePoint aNow);

// Records that a witness granted the round that was sent at aSentAt. Grants of earlier rounds are
// ignored.
void
OnWitnessGrant(HostLeaseState& aHost, const std::string& aWitness, TimePoint aSentAt);

// ---- control, on the leader

// What the leader knows from the syncs of one incarnation of an entry host.
struct HostContact
{
  std::uint64_t mIncarnation = 0;
  Revision mRunningRevision = 0;
  Revision mReceivedRevision = 0;
  std::uint64_t mConfirmedEpoch = 0;
  // The newest revision at the first sync, which a starting host adopts from the reply. While the
  // host reports no revision it counts as running this one. Otherwise every start of a host would
  // hold up the report of a revision in force until its second sync.
  Revision mRevisionAtFirstSync = 0;
  // Times of the first and of the last sync of this incarnation.
  TimePoint mFirstSync;
  TimePoint mLastSync;
  // The host may hold a control lease until this time.
  TimePoint mLeaseEnd;
};

// The leases granted by the leader of the control hosts, and the revision that it reports in force.
struct ControlLeaseState
{
  // The time from which this leader grants leases. Leases of an earlier leader may run until
  // kLeaseWithDrift after it.
  TimePoint mLeadingSince;
  // The newest revision at that time. An earlier leader may already have reported it in force.
  Revision mInitialRevision = 0;
  // The newest revision that this leader reported in force.
  Revision mInForce = 0;
  std::map<std::string, HostContact> mContacts;
};

// The parts of the replicated state on which the decisions depend.
struct RosterView
{
  std::uint64_t mSettledEpoch = 0;
  std::vector<std::string> mSettledHosts;
  std::vector<std::string> mSettledWitnesses;
  // 0 if no roster is pending.
  std::uint64_t mPendingEpoch = 0;
  std::vector<std::string> mPendingWitnesses;
  // Hosts that an operator declared gone, each with the incarnation of the process that ended.
  std::map<std::string, std::uint64_t> mGone;
};

// Resets the state at the start of a term as leader. aNewest is the newest committed revision, read
// after a read barrier.
void
BeginLeading(ControlLeaseState& aControl, Revision aNewest, TimePoint aNow);

// Records a sync whose reply contains revision aNewest. Returns false if it comes from an earlier
// incarnation of the host, which must not get a lease.
bool
RecordSync(ControlLeaseState& aControl,
           const std::string& aHost,
           std::uint64_t aIncarnation,
           Revision aRunningRevision,
           Revision aReceivedRevision,
           std::uint64_t aEpoch,
           Revision aNewest,
           TimePoint aNow);

// The lowest revision that a host must run for its control lease to be valid.
Revision
RequiredRevision(const ControlLeaseState& aControl);

// Raises mInForce to the newest revision that can be reported in force, and returns it. Does not
// raise it while leases of an earlier leader may still run.
Revision
UpdateRevisionInForce(ControlLeaseState& aControl,
                      const RosterView& aRoster,
                      Revision aNewest,
                      TimePoint aNow);

// True if the pending roster can become the settled one: a majority of the settled witnesses and
// every settled host that may hold a lease have confirmed its epoch. False while leases of an
// earlier leader may still run.
bool
CanSettleRoster(const ControlLeaseState& aControl, const RosterView& aRoster, TimePoint aNow);

// Hosts to add to and to remove from the settled roster.
struct RosterProposal
{
  std::vector<std::string> mPresent;
  std::vector<std::string> mAbsent;
};

// Proposes to add hosts that have synced recently and to remove hosts that have not synced for
// kRosterTimeout. Empty while a roster is pending and while leases of an earlier leader may still
// run.
RosterProposal
ProposeRosterChange(const ControlLeaseState& aControl, const RosterView& aRoster, TimePoint aNow);

} // namespace apricotyard

#endif
