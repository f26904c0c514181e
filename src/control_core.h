// Connects the replicated control state to the control service and the administration API. Also
// holds the volatile state of the leader: leases, the revision in force, roster changes and claim
// batches.
#ifndef APRICOTYARD_CONTROL_CORE_H
#define APRICOTYARD_CONTROL_CORE_H

#include "authority.h"
#include "control.pb.h"
#include "control_state.h"
#include "loop.h"
#include "replicated_log.h"

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace apricotyard {

// All methods must be called on the thread of the loop.
class ControlCore
{
public:
  using OutcomeHandler = std::function<void(Expected<rpc::Outcome>)>;
  using ClaimHandler = std::function<void(const rpc::ClaimReply&)>;

  ControlCore(Loop& aLoop, rpc::ControlHost aSelf);

  // Returns the callbacks for the replicated log; they must not be called after this object is
  // destroyed.
  StateMachine MakeStateMachine();
  // Takes ownership of the log and starts the periodic calls of Tick. Must be called once, before
  // any method that follows.
  void Start(std::unique_ptr<ReplicatedLog> aLog);

  // Answers a sync request of an entry host. Fails with BadRequest if the request is malformed, if
  // it comes from an earlier incarnation of the host or if too many hosts are known.
  Expected<rpc::SyncReply> Sync(const rpc::SyncRequest& aRequest, TimePoint aNow);
  // Claims a submission or records its outcome. Requests that arrive within a short time share one
  // log entry. A request fails with NotLeader if this member is not the ready leader, with
  // ControlUnavailable if it was not applied for another reason, or with ClaimOutcomeUnknown if it
  // may have been applied.
  void Claim(const rpc::Claim& aClaim, ClaimHandler aDone);
  void RecordOutcome(const rpc::ClaimOutcome& aOutcome, ClaimHandler aDone);

  // Quarantines a fingerprint. Unlike in the stored state, until_ms of aQuarantine is a duration
  // from now, in milliseconds; it is limited to one hour. The errors are those of Propose.
  void Quarantine(rpc::Quarantine aQuarantine, ClaimHandler aDone);

  // Sets the time of aCommand and proposes it to the log. Fails with NotLeader or NoLeader if this
  // member does not lead, with ControlOutcomeUnknown if the command may still be applied, or with
  // the error of the log.
  void Propose(rpc::Command aCommand, OutcomeHandler aDone);
  // Does the periodic work of the leader: updates the revision in force and proposes the roster and
  // claim epoch changes that are due at aNow.
  void Tick(TimePoint aNow);

  const ControlState& State() const { return mState; }
  const ControlLeaseState& LeaseState() const { return mLeaseState; }
  ReplicatedLog& Log() { return *mLog; }
  LogStatus Status() const { return mLog->Status(); }
  // True while this member leads and has applied everything that was committed before its term.
  // Only then does it grant leases and accept commands.
  bool IsReadyLeader() const;
  // The entry hosts by name, as described in their last sync request.
  const std::map<std::string, rpc::Host>& EntryHosts() const { return mEntryHosts; }
  // The addresses of the leader; empty if the leader is not known.
  rpc::ControlHost Leader() const;

private:
  struct QueuedClaim
  {
    std::variant<rpc::Claim, rpc::ClaimOutcome> mRequest;
    ClaimHandler mDone;
  };

  std::string ApplyAndLog(std::string_view aCommand);
  void UpdateLeadership();
  void ProposeRosterStep(const RosterView& aRoster, TimePoint aNow);
  void EnqueueClaim(QueuedClaim aClaim);
  void FlushClaims();
  void ProposeInternal(rpc::Command aCommand);
  RosterView MakeRosterView() const;

  Loop& mLoop;
  rpc::ControlHost mSelf;
  ControlState mState;
  std::unique_ptr<ReplicatedLog> mLog;
  ControlLeaseState mLeaseState;
  std::map<std::string, rpc::Host> mEntryHosts;
  // The term in which this member leads and its read barrier has completed; 0 if there is none.
  std::uint64_t mReadyTerm = 0;
  // The term for which a read barrier was last started; 0 if there is none.
  std::uint64_t mBarrierTerm = 0;
  // True while a command from ProposeInternal is under way.
  bool mInternalProposalPending = false;
  TimePoint mClaimEpochStart;
  // Incremented whenever the list of quarantines or the list of drains may have changed.
  std::uint64_t mListsVersion = 1;
  std::vector<QueuedClaim> mQueuedClaims;
  TimerId mClaimFlushTimer = 0;
};

} // namespace apricotyard

#endif
