// The control state behind its log: what the control service and the administration API call. Owns
// the volatile decisions of the leader (leases, what is in force, roster changes, claim batches).
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

// All methods only on the thread of the loop.
class ControlCore
{
public:
  using OutcomeHandler = std::function<void(Expected<rpc::Outcome>)>;
  using ClaimHandler = std::function<void(const rpc::ClaimReply&)>;

  ControlCore(Loop& aLoop, rpc::ControlHost aSelf);

  // The functions that the log calls; valid as long as this object.
  StateMachine Machine();
  // Takes the log and starts the periodic decisions.
  void Start(std::unique_ptr<ReplicatedLog> aLog);

  // Answers a heartbeat. Fails with BadRequest if it is malformed.
  Expected<rpc::SyncReply> Sync(const rpc::SyncRequest& aRequest, TimePoint aNow);
  // Claims and outcomes are proposed in batches.
  void Claim(const rpc::Claim& aClaim, ClaimHandler aDone);
  void Record(const rpc::ClaimOutcome& aOutcome, ClaimHandler aDone);

  // Quarantines a fingerprint; until_ms of the request is the time from now.
  void Quarantine(rpc::Quarantine aQuarantine, ClaimHandler aDone);

  // Stamps aCommand with the time and proposes it. Fails with NotLeader or NoLeader, or with
  // ControlOutcomeUnknown if the command may still be applied.
  void Propose(rpc::Command aCommand, OutcomeHandler aDone);
  // Runs the decisions of the leader that are due at aNow; called periodically.
  void Tick(TimePoint aNow);

  const ControlState& State() const { return mState; }
  const ControlAuthority& Authority() const { return mAuthority; }
  ReplicatedLog& Log() { return *mLog; }
  LogStatus Status() const { return mLog->Status(); }
  // True while this member leads, holds everything that is committed and may grant leases.
  bool Ready() const;
  // The entry hosts as they described themselves, by name.
  const std::map<std::string, rpc::Host>& EntryHosts() const { return mEntryHosts; }
  // Addresses of the leader, empty if it is not known.
  rpc::ControlHost Leader() const;

private:
  struct WaitingClaim
  {
    std::variant<rpc::Claim, rpc::ClaimOutcome> mRequest;
    ClaimHandler mDone;
  };

  std::string OnApply(std::string_view aCommand);
  void FollowLeadership();
  void ChangeRoster(const RosterView& aRoster, TimePoint aNow);
  void Enqueue(WaitingClaim aClaim);
  void FlushClaims();
  void ProposeInternal(rpc::Command aCommand);
  RosterView View() const;

  Loop& mLoop;
  rpc::ControlHost mSelf;
  ControlState mState;
  std::unique_ptr<ReplicatedLog> mLog;
  ControlAuthority mAuthority;
  std::map<std::string, rpc::Host> mEntryHosts;
  // The term for which the barrier has passed.
  std::uint64_t mReadyTerm = 0;
  std::uint64_t mBarrierTerm = 0;
  bool mInternalProposal = false;
  TimePoint mClaimEpochSince;
  // Changes whenever the quarantine list or the drains change.
  std::uint64_t mListsVersion = 1;
  std::vector<WaitingClaim> mWaiting;
  TimerId mClaimTimer = 0;
};

} // namespace apricotyard

#endif
