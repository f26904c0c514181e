// Whether an entry host may serve the revision that it runs, and when control may report a revision
// in force (docs/design.md, section 7.6). Pure; not thread-safe.
//
// Safety rests on three rules. A host under a control lease is known to control, which reports no
// revision in force that such a host does not run. A host under a witness lease holds the promise
// of a majority of the witnesses not to adopt anything newer, and control needs a majority of the
// same witnesses. A process that restarts holds no revision, so it grants nothing, and control does
// not count it as a witness until the promises of its earlier incarnation have ended.
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
// Counted by the holder from the time at which it sent the request.
inline constexpr Duration kLease = std::chrono::seconds(2);
// What a grantor waits: the lease, and twice the drift bound of 1% between two clocks.
inline constexpr Duration kGrantedLease = kLease + kLease / 50;
// A host whose control lease ends within this time has missed at least one renewal. It asks the
// witnesses already, and grants as a witness, so that a loss of control leaves no gap.
inline constexpr Duration kRenewalOverdue = std::chrono::seconds(1);
inline constexpr Duration kWitnessInterval = std::chrono::milliseconds(250);
inline constexpr Duration kRosterTimeout = std::chrono::seconds(10);

// ---- entry host

struct WitnessQuestion
{
  std::string mHost;
  Revision mRevision = 0;
  std::uint64_t mEpoch = 0;
};

struct HostAuthority
{
  std::string mHost;
  // The revision that the host runs; never decreases. 0 if it has none.
  Revision mRun = 0;
  // The newest revision received; adopted as soon as no promise forbids it.
  Revision mHeld = 0;
  // The newest roster epoch confirmed and received, and the witnesses of each.
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mWitnesses;
  std::uint64_t mHeldEpoch = 0;
  std::vector<std::string> mHeldWitnesses;
  TimePoint mControlLeaseEnd;
  TimePoint mWitnessLeaseEnd;
  // As a witness: nothing newer is adopted before this time.
  TimePoint mPromiseEnd;
  // The current round of questions to the witnesses.
  TimePoint mRoundSent;
  std::uint64_t mRoundEpoch = 0;
  std::set<std::string> mGranted;
};

// The part of a reply of control that matters here.
struct SyncGrant
{
  Revision mNewest = 0;
  // The lease counts only for a host that runs at least this.
  Revision mRequiredRevision = 0;
  std::uint64_t mRequiredEpoch = 0;
  // The newest epoch, settled or pending, with its witnesses.
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mWitnesses;
};

// Takes a reply to the request that was sent at aSentAt. The caller has stored the document of
// mNewest before.
void
OnSyncGrant(HostAuthority& aHost, const SyncGrant& aGrant, TimePoint aSentAt, TimePoint aNow);

// Adopts what is held unless a promise forbids it. Returns true if mRun or mEpoch changed. Call
// after OnSyncGrant and whenever mPromiseEnd has passed.
bool
AdoptHeld(HostAuthority& aHost, TimePoint aNow);

bool
MayServe(const HostAuthority& aHost, TimePoint aNow);

// Starts a round if the control lease is overdue and the last round is old enough; the caller then
// sends the question to every host of mWitnesses, itself included.
std::optional<WitnessQuestion>
StartWitnessRound(HostAuthority& aHost, TimePoint aNow);

// Answers a question as a witness; true is a promise.
bool
OnWitnessQuestion(HostAuthority& aHost, const WitnessQuestion& aQuestion, TimePoint aNow);

// Takes the grant of a witness to the round that was sent at aSentAt.
void
OnWitnessGrant(HostAuthority& aHost, const std::string& aWitness, TimePoint aSentAt);

// ---- control, on the leader

struct HostContact
{
  std::uint64_t mIncarnation = 0;
  Revision mRun = 0;
  Revision mHeld = 0;
  std::uint64_t mEpoch = 0;
  // What a host that runs nothing yet adopts at its first sync. Without it every start of a host
  // would hold back the report of a revision until the second sync.
  Revision mFirstNewest = 0;
  // First contact of this incarnation.
  TimePoint mFirst;
  TimePoint mLast;
  // The host may hold a lease until then.
  TimePoint mLeaseEnd;
};

struct ControlAuthority
{
  // When this member could first grant leases; leases of an earlier leader may run until
  // kGrantedLease later.
  TimePoint mSince;
  // The newest revision at that time. An earlier leader may have reported it in force.
  Revision mFloor = 0;
  // The newest revision that this leader reported in force.
  Revision mInForce = 0;
  std::map<std::string, HostContact> mContacts;
};

// The facts of the replicated state that the decisions need.
struct RosterView
{
  std::uint64_t mSettledEpoch = 0;
  std::vector<std::string> mSettledHosts;
  std::vector<std::string> mSettledWitnesses;
  // 0 if no epoch is pending.
  std::uint64_t mPendingEpoch = 0;
  std::vector<std::string> mPendingWitnesses;
  // Hosts that an operator declared gone, with their incarnation.
  std::map<std::string, std::uint64_t> mGone;
};

// Starts a term as leader. aNewest is the newest committed revision, read behind a barrier.
void
BeginLeading(ControlAuthority& aControl, Revision aNewest, TimePoint aNow);

// Records a sync that is answered with revision aNewest. Returns false if an earlier incarnation
// sent it; it must then get no lease.
bool
OnSync(ControlAuthority& aControl,
       const std::string& aHost,
       std::uint64_t aIncarnation,
       Revision aRun,
       Revision aHeld,
       std::uint64_t aEpoch,
       Revision aNewest,
       TimePoint aNow);

// The revision that a host must run for its lease to count.
Revision
RequiredRevision(const ControlAuthority& aControl);

// Raises mInForce as far as the contacts allow and returns it.
Revision
UpdateInForce(ControlAuthority& aControl,
              const RosterView& aRoster,
              Revision aNewest,
              TimePoint aNow);

// True if the pending epoch may become the settled one.
bool
MaySettle(const ControlAuthority& aControl, const RosterView& aRoster, TimePoint aNow);

struct RosterProposal
{
  std::vector<std::string> mPresent;
  std::vector<std::string> mAbsent;
};

// Hosts to add to and remove from the settled roster; empty while an epoch is pending.
RosterProposal
ProposeRoster(const ControlAuthority& aControl, const RosterView& aRoster, TimePoint aNow);

} // namespace apricotyard

#endif
