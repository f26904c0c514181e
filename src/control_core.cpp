#include "control_core.h"

#include "log.h"
#include "settings.h"

#include <chrono>

#include <fmt/format.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kClaimEpochLength = std::chrono::hours(1);
// How long a claim waits for further claims to share its log entry.
constexpr Duration kClaimBatchDelay = std::chrono::milliseconds(1);
constexpr std::size_t kMaxBatchSize = 512;
constexpr std::size_t kMaxQueuedClaims = 16'384;
constexpr std::size_t kMaxEntryHosts = 4096;
// How long a host outside the roster is remembered after its last sync.
constexpr Duration kHostRetention = std::chrono::minutes(1);
constexpr Duration kMaxQuarantineTime = std::chrono::hours(1);
constexpr std::size_t kMaxHostName = 64;

std::uint64_t
WallClockMs()
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count());
}

void
FillRoster(const Roster& aRoster, rpc::Roster& aOut)
{
  aOut.set_epoch(aRoster.mEpoch);
  for (const auto& [name, host] : aRoster.mHosts) {
    *aOut.add_hosts() = host;
  }
  for (const std::string& witness : Witnesses(aRoster)) {
    aOut.add_witnesses(witness);
  }
}

rpc::Host
MakeHost(const rpc::SyncRequest& aRequest)
{
  rpc::Host host;
  host.set_host(aRequest.host());
  host.set_incarnation(aRequest.incarnation());
  host.set_data_centre(aRequest.data_centre());
  host.set_caller_address(aRequest.caller_address());
  host.set_peer_address(aRequest.peer_address());
  host.set_loops(std::max(aRequest.loops(), 1U));
  return host;
}

// Ignores the incarnation: a restart does not change the assignment of slots, so it needs no new
// roster epoch.
bool
EqualExceptIncarnation(rpc::Host aFirst, const rpc::Host& aSecond)
{
  aFirst.set_incarnation(aSecond.incarnation());
  return aFirst.SerializeAsString() == aSecond.SerializeAsString();
}

bool
IsValidName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxHostName &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aC) { return aC > ' '; });
}

rpc::ClaimReply
RefuseClaim(Result aResult)
{
  rpc::ClaimReply reply;
  reply.set_result(static_cast<std::uint32_t>(aResult));
  return reply;
}

} // namespace

ControlCore::ControlCore(Loop& aLoop, rpc::ControlHost aSelf)
  : mLoop(aLoop)
  , mSelf(std::move(aSelf))
  , mClaimEpochStart(SteadyNow())
{
}

StateMachine
ControlCore::MakeStateMachine()
{
  return {
    [this](std::uint64_t /*aIndex*/, std::string_view aCommand) { return ApplyAndLog(aCommand); },
    [this] { return SaveState(mState); },
    [this](std::string_view aSnapshot) -> Expected<void> {
      auto restored = RestoreState(mState, aSnapshot);
      if (!restored) {
        LogEvent(Event::StateUnreadable, { { "message", restored.error().mMessage } });
      }
      mListsVersion += 1;
      return restored;
    },
  };
}

std::string
ControlCore::ApplyAndLog(std::string_view aCommand)
{
  rpc::Command command;
  if (!command.ParseFromArray(aCommand.data(), static_cast<int>(aCommand.size()))) {
    LogEvent(Event::StateUnreadable, { { "message", "cannot parse a committed command" } });
    return ApplyCommand(mState, aCommand);
  }
  const Revision oldRevision = NewestRevision(mState);
  const std::uint64_t oldEpoch = mState.mSettled.mEpoch;
  const rpc::Outcome outcome = Apply(mState, command);
  if (NewestRevision(mState) != oldRevision) {
    LogEvent(Event::ConfigurationAccepted,
             { { "revision", NewestRevision(mState) },
               { "author", command.operator_().author() },
               { "team", outcome.team() },
               { "reason", command.operator_().reason() } });
  } else if (command.has_submit() && outcome.result() != 0) {
    LogEvent(Event::ConfigurationRefused,
             { { "author", command.operator_().author() },
               { "result", outcome.result() },
               { "message", outcome.message() } });
  }
  if (command.has_quarantine() || command.has_lift_quarantine() || command.has_drain()) {
    mListsVersion += 1;
  }
  if (command.has_advance_claim_epoch()) {
    mClaimEpochStart = SteadyNow();
  }
  if (command.has_change_roster() && outcome.result() == 0) {
    LogEvent(Event::RosterPending,
             { { "epoch", mState.mPending->mEpoch }, { "hosts", mState.mPending->mHosts.size() } });
  }
  if (mState.mSettled.mEpoch != oldEpoch) {
    LogEvent(Event::RosterSettled,
             { { "epoch", mState.mSettled.mEpoch }, { "hosts", mState.mSettled.mHosts.size() } });
  }
  return outcome.SerializeAsString();
}

void
ControlCore::Start(std::unique_ptr<ReplicatedLog> aLog)
{
  mLog = std::move(aLog);
  Tick(SteadyNow());
  mLoop.AddPeriodic(kTickInterval, [this] { Tick(SteadyNow()); });
}

bool
ControlCore::IsReadyLeader() const
{
  const LogStatus status = mLog->Status();
  return status.mLeading && status.mTerm == mReadyTerm;
}

rpc::ControlHost
ControlCore::Leader() const
{
  const LogStatus status = mLog->Status();
  const auto found = mState.mControlHosts.find(std::string(MemberName(status.mLeader)));
  return found == mState.mControlHosts.end() ? rpc::ControlHost() : found->second;
}

RosterView
ControlCore::MakeRosterView() const
{
  RosterView view;
  view.mSettledEpoch = mState.mSettled.mEpoch;
  for (const auto& [name, host] : mState.mSettled.mHosts) {
    view.mSettledHosts.push_back(name);
  }
  view.mSettledWitnesses = Witnesses(mState.mSettled);
  if (mState.mPending) {
    view.mPendingEpoch = mState.mPending->mEpoch;
    view.mPendingWitnesses = Witnesses(*mState.mPending);
  }
  view.mGone = mState.mGone;
  return view;
}

Expected<rpc::SyncReply>
ControlCore::Sync(const rpc::SyncRequest& aRequest, TimePoint aNow)
{
  if (!IsValidName(aRequest.host()) || !IsValidName(aRequest.data_centre()) ||
      aRequest.incarnation() == 0 || !ParseSocketAddress(aRequest.caller_address()) ||
      (!aRequest.peer_address().empty() && !ParseSocketAddress(aRequest.peer_address()))) {
    return Fail(Result::BadRequest,
                "host, data centre, incarnation or an address is missing or malformed");
  }
  rpc::SyncReply reply;
  reply.set_leading(IsReadyLeader());
  if (!reply.leading()) {
    reply.set_leader(Leader().rpc_address());
    return reply;
  }
  if (!mEntryHosts.contains(aRequest.host()) && mEntryHosts.size() >= kMaxEntryHosts) {
    return Fail(Result::BadRequest, "control knows the largest number of entry hosts already");
  }
  const Revision newest = NewestRevision(mState);
  // Done before this sync is recorded, so that the reply requires at least the revision that was
  // reported in force.
  UpdateRevisionInForce(mLeaseState, MakeRosterView(), newest, aNow);
  if (!RecordSync(mLeaseState,
                  aRequest.host(),
                  aRequest.incarnation(),
                  aRequest.revision(),
                  aRequest.held_revision(),
                  aRequest.roster_epoch(),
                  newest,
                  aNow)) {
    return Fail(Result::BadRequest, "a newer incarnation of this host has synced already");
  }
  mEntryHosts[aRequest.host()] = MakeHost(aRequest);
  reply.set_revision(newest);
  if (aRequest.held_revision() < newest) {
    reply.set_document(*FindDocument(mState, newest));
  }
  reply.set_required_revision(RequiredRevision(mLeaseState));
  reply.set_lease_ms(std::chrono::duration_cast<std::chrono::milliseconds>(kLease).count());
  reply.set_settled_epoch(mState.mSettled.mEpoch);
  if (aRequest.settled_epoch() < mState.mSettled.mEpoch) {
    FillRoster(mState.mSettled, *reply.mutable_settled());
  }
  if (mState.mPending) {
    reply.set_pending_epoch(mState.mPending->mEpoch);
    if (aRequest.roster_epoch() < mState.mPending->mEpoch) {
      FillRoster(*mState.mPending, *reply.mutable_pending());
    }
  }
  reply.set_claim_epoch(mState.mClaimEpoch);
  // Each leader counts on its own, so the term is mixed in to make versions of different leaders
  // differ.
  const std::uint64_t version = mListsVersion ^ (mReadyTerm << 40U);
  reply.set_lists_version(version);
  if (aRequest.lists_version() != version) {
    const std::uint64_t now = WallClockMs();
    for (const auto& [key, quarantine] : mState.mQuarantines) {
      if (quarantine.until_ms() > now) {
        rpc::Quarantine& out = *reply.add_quarantines();
        out = quarantine;
        out.set_until_ms(quarantine.until_ms() - now);
      }
    }
    for (const auto& [upstream, time] : mState.mDrains) {
      reply.add_drains(upstream);
    }
  }
  return reply;
}

void
ControlCore::Claim(const rpc::Claim& aClaim, ClaimHandler aDone)
{
  EnqueueClaim({ aClaim, std::move(aDone) });
}

void
ControlCore::RecordOutcome(const rpc::ClaimOutcome& aOutcome, ClaimHandler aDone)
{
  EnqueueClaim({ aOutcome, std::move(aDone) });
}

void
ControlCore::Quarantine(rpc::Quarantine aQuarantine, ClaimHandler aDone)
{
  const auto maxMs = static_cast<std::uint64_t>(kMaxQuarantineTime.count() / 1000);
  aQuarantine.set_until_ms(WallClockMs() + std::min(aQuarantine.until_ms(), maxMs));
  rpc::Command command;
  *command.mutable_quarantine() = std::move(aQuarantine);
  Propose(std::move(command), [done = std::move(aDone)](const Expected<rpc::Outcome>& aOutcome) {
    rpc::ClaimReply reply;
    reply.set_result(aOutcome ? aOutcome->result()
                              : static_cast<std::uint32_t>(aOutcome.error().mResult));
    done(reply);
  });
}

void
ControlCore::EnqueueClaim(QueuedClaim aClaim)
{
  if (!IsReadyLeader()) {
    aClaim.mDone(RefuseClaim(Result::NotLeader));
    return;
  }
  if (mQueuedClaims.size() >= kMaxQueuedClaims) {
    aClaim.mDone(RefuseClaim(Result::ControlUnavailable));
    return;
  }
  mQueuedClaims.push_back(std::move(aClaim));
  if (mClaimFlushTimer == 0) {
    mClaimFlushTimer = mLoop.AddTimer(SteadyNow() + kClaimBatchDelay, [this] { FlushClaims(); });
  }
}

void
ControlCore::FlushClaims()
{
  mClaimFlushTimer = 0;
  std::vector<QueuedClaim> queued;
  queued.swap(mQueuedClaims);
  for (std::size_t begin = 0; begin < queued.size(); begin += kMaxBatchSize) {
    const std::size_t end = std::min(queued.size(), begin + kMaxBatchSize);
    rpc::Command command;
    auto handlers = std::make_shared<std::vector<ClaimHandler>>();
    std::vector<ClaimHandler> outcomeHandlers;
    for (std::size_t i = begin; i < end; ++i) {
      if (const auto* const claim = std::get_if<rpc::Claim>(&queued[i].mRequest)) {
        *command.mutable_batch()->add_claims() = *claim;
        handlers->push_back(std::move(queued[i].mDone));
      } else {
        *command.mutable_batch()->add_outcomes() = std::get<rpc::ClaimOutcome>(queued[i].mRequest);
        outcomeHandlers.push_back(std::move(queued[i].mDone));
      }
    }
    // The outcome of a batch lists the replies to all claims, then those to all outcomes.
    std::move(outcomeHandlers.begin(), outcomeHandlers.end(), std::back_inserter(*handlers));
    Propose(std::move(command), [handlers](const Expected<rpc::Outcome>& aOutcome) {
      for (std::size_t i = 0; i < handlers->size(); ++i) {
        if (aOutcome && aOutcome->claims_size() == static_cast<int>(handlers->size())) {
          (*handlers)[i](aOutcome->claims(static_cast<int>(i)));
          continue;
        }
        const bool mayHaveRun = aOutcome || Describe(aOutcome.error().mResult).mMayHaveRun;
        (*handlers)[i](
          RefuseClaim(mayHaveRun ? Result::ClaimOutcomeUnknown : Result::ControlUnavailable));
      }
    });
  }
}

void
ControlCore::Propose(rpc::Command aCommand, OutcomeHandler aDone)
{
  if (!IsReadyLeader()) {
    const bool leaderKnown = !Leader().admin_address().empty() && !mLog->Status().mLeading;
    aDone(Fail(leaderKnown ? Result::NotLeader : Result::NoLeader, "this member does not lead"));
    return;
  }
  aCommand.set_time_ms(WallClockMs());
  mLog->Propose(aCommand.SerializeAsString(),
                [done = std::move(aDone)](const Expected<std::string>& aOutcome) {
                  rpc::Outcome outcome;
                  if (!aOutcome) {
                    const bool mayHaveRun = Describe(aOutcome.error().mResult).mMayHaveRun;
                    done(Fail(mayHaveRun ? Result::ControlOutcomeUnknown : aOutcome.error().mResult,
                              aOutcome.error().mMessage));
                  } else if (!outcome.ParseFromString(*aOutcome)) {
                    done(Fail(Result::UnreadableState, "the outcome cannot be read"));
                  } else {
                    done(std::move(outcome));
                  }
                });
}

void
ControlCore::ProposeInternal(rpc::Command aCommand)
{
  // Only one command at a time, because the next decision depends on the state after this one.
  mInternalProposalPending = true;
  Propose(std::move(aCommand),
          [this](const Expected<rpc::Outcome>&) { mInternalProposalPending = false; });
}

void
ControlCore::UpdateLeadership()
{
  const LogStatus status = mLog->Status();
  if (!status.mLeading) {
    if (mReadyTerm != 0) {
      LogEvent(Event::LeadershipLost, { { "term", mReadyTerm } });
    }
    mReadyTerm = 0;
    mBarrierTerm = 0;
    return;
  }
  if (mBarrierTerm == status.mTerm) {
    return;
  }
  mBarrierTerm = status.mTerm;
  mReadyTerm = 0;
  mLog->ReadBarrier([this, term = status.mTerm](const Expected<void>& aDone) {
    if (mBarrierTerm != term) {
      return;
    }
    if (!aDone) {
      mBarrierTerm = 0;
      return;
    }
    BeginLeading(mLeaseState, NewestRevision(mState), SteadyNow());
    mReadyTerm = term;
    LogEvent(Event::LeadershipGained, { { "term", term }, { "revision", NewestRevision(mState) } });
  });
}

void
ControlCore::ProposeRosterStep(const RosterView& aRoster, TimePoint aNow)
{
  rpc::Command command;
  if (CanSettleRoster(mLeaseState, aRoster, aNow)) {
    command.mutable_settle_roster()->set_epoch(aRoster.mPendingEpoch);
    ProposeInternal(std::move(command));
    return;
  }
  RosterProposal proposal = ProposeRosterChange(mLeaseState, aRoster, aNow);
  for (const auto& [name, host] : mState.mSettled.mHosts) {
    const auto current = mEntryHosts.find(name);
    if (aRoster.mPendingEpoch == 0 && current != mEntryHosts.end() &&
        !EqualExceptIncarnation(host, current->second)) {
      proposal.mPresent.push_back(name);
    }
  }
  if (proposal.mPresent.empty() && proposal.mAbsent.empty()) {
    return;
  }
  rpc::ChangeRoster& change = *command.mutable_change_roster();
  change.set_settled_epoch(aRoster.mSettledEpoch);
  for (const std::string& host : proposal.mPresent) {
    *change.add_present() = mEntryHosts[host];
  }
  for (const std::string& host : proposal.mAbsent) {
    change.add_absent(host);
  }
  ProposeInternal(std::move(command));
}

void
ControlCore::Tick(TimePoint aNow)
{
  UpdateLeadership();
  if (!IsReadyLeader()) {
    return;
  }
  const RosterView roster = MakeRosterView();
  const Revision oldRevision = mLeaseState.mInForce;
  if (UpdateRevisionInForce(mLeaseState, roster, NewestRevision(mState), aNow) != oldRevision) {
    LogEvent(Event::ConfigurationInForce, { { "revision", mLeaseState.mInForce } });
  }
  std::erase_if(mLeaseState.mContacts, [&](const auto& aContact) {
    const bool remove = aNow >= aContact.second.mLastSync + kHostRetention &&
                        !mState.mSettled.mHosts.contains(aContact.first) &&
                        !(mState.mPending && mState.mPending->mHosts.contains(aContact.first));
    if (remove) {
      mEntryHosts.erase(aContact.first);
    }
    return remove;
  });
  if (mInternalProposalPending) {
    return;
  }
  const auto self = mState.mControlHosts.find(mSelf.id());
  rpc::Command command;
  if (self == mState.mControlHosts.end() ||
      self->second.SerializeAsString() != mSelf.SerializeAsString()) {
    *command.mutable_control_host() = mSelf;
    ProposeInternal(std::move(command));
  } else if (aNow >= mClaimEpochStart + kClaimEpochLength) {
    command.mutable_advance_claim_epoch()->set_from(mState.mClaimEpoch);
    ProposeInternal(std::move(command));
  } else {
    ProposeRosterStep(roster, aNow);
  }
}

} // namespace apricotyard
