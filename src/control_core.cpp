#include "control_core.h"

#include "log.h"
#include "settings.h"

#include <chrono>

#include <fmt/format.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kClaimEpoch = std::chrono::hours(1);
// Claims wait this long for others to share their log entry.
constexpr Duration kClaimWait = std::chrono::milliseconds(1);
constexpr std::size_t kMaxBatch = 512;
constexpr std::size_t kMaxWaitingClaims = 16'384;
constexpr std::size_t kMaxEntryHosts = 4096;
// A host outside the roster that does not sync is forgotten after this time.
constexpr Duration kForgetHost = std::chrono::minutes(1);
constexpr Duration kMaxQuarantine = std::chrono::hours(1);
constexpr std::size_t kMaxHostName = 64;

std::uint64_t
WallMilliseconds()
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count());
}

void
DescribeRoster(const Roster& aRoster, rpc::Roster& aOut)
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
DescribeHost(const rpc::SyncRequest& aRequest)
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

// A restart alone changes nothing in the division of slots, so it makes no roster epoch.
bool
SameInRoster(rpc::Host aOne, const rpc::Host& aTwo)
{
  aOne.set_incarnation(aTwo.incarnation());
  return aOne.SerializeAsString() == aTwo.SerializeAsString();
}

bool
IsShortText(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxHostName &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aC) { return aC > ' '; });
}

rpc::ClaimReply
ClaimRefusal(Result aResult)
{
  rpc::ClaimReply reply;
  reply.set_result(static_cast<std::uint32_t>(aResult));
  return reply;
}

} // namespace

ControlCore::ControlCore(Loop& aLoop, rpc::ControlHost aSelf)
  : mLoop(aLoop)
  , mSelf(std::move(aSelf))
  , mClaimEpochSince(SteadyNow())
{
}

StateMachine
ControlCore::Machine()
{
  return {
    [this](std::uint64_t /*aIndex*/, std::string_view aCommand) { return OnApply(aCommand); },
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
ControlCore::OnApply(std::string_view aCommand)
{
  rpc::Command command;
  if (!command.ParseFromArray(aCommand.data(), static_cast<int>(aCommand.size()))) {
    LogEvent(Event::StateUnreadable, { { "message", "a committed command cannot be read" } });
    return ApplyCommand(mState, aCommand);
  }
  const Revision before = NewestRevision(mState);
  const std::uint64_t settled = mState.mSettled.mEpoch;
  const rpc::Outcome outcome = Apply(mState, command);
  if (NewestRevision(mState) != before) {
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
    mClaimEpochSince = SteadyNow();
  }
  if (command.has_change_roster() && outcome.result() == 0) {
    LogEvent(Event::RosterPending,
             { { "epoch", mState.mPending->mEpoch }, { "hosts", mState.mPending->mHosts.size() } });
  }
  if (mState.mSettled.mEpoch != settled) {
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
ControlCore::Ready() const
{
  const LogStatus status = mLog->Status();
  return status.mLeading && status.mTerm == mReadyTerm;
}

rpc::ControlHost
ControlCore::Leader() const
{
  const LogStatus status = mLog->Status();
  const auto known = mState.mControlHosts.find(std::string(MemberName(status.mLeader)));
  return known == mState.mControlHosts.end() ? rpc::ControlHost() : known->second;
}

RosterView
ControlCore::View() const
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
  if (!IsShortText(aRequest.host()) || !IsShortText(aRequest.data_centre()) ||
      aRequest.incarnation() == 0 || !ParseSocketAddress(aRequest.caller_address()) ||
      (!aRequest.peer_address().empty() && !ParseSocketAddress(aRequest.peer_address()))) {
    return Fail(Result::BadRequest,
                "host, data centre, incarnation or an address is missing or malformed");
  }
  rpc::SyncReply reply;
  reply.set_leading(Ready());
  if (!reply.leading()) {
    reply.set_leader(Leader().rpc_address());
    return reply;
  }
  if (!mEntryHosts.contains(aRequest.host()) && mEntryHosts.size() >= kMaxEntryHosts) {
    return Fail(Result::BadRequest, "control knows the largest number of entry hosts already");
  }
  const Revision newest = NewestRevision(mState);
  // Read before this sync is recorded, so that the reply never promises less than was reported.
  UpdateInForce(mAuthority, View(), newest, aNow);
  if (!OnSync(mAuthority,
              aRequest.host(),
              aRequest.incarnation(),
              aRequest.revision(),
              aRequest.held_revision(),
              aRequest.roster_epoch(),
              newest,
              aNow)) {
    return Fail(Result::BadRequest, "a newer incarnation of this host has synced already");
  }
  mEntryHosts[aRequest.host()] = DescribeHost(aRequest);
  reply.set_revision(newest);
  if (aRequest.held_revision() < newest) {
    reply.set_document(*FindDocument(mState, newest));
  }
  reply.set_required_revision(RequiredRevision(mAuthority));
  reply.set_lease_ms(std::chrono::duration_cast<std::chrono::milliseconds>(kLease).count());
  reply.set_settled_epoch(mState.mSettled.mEpoch);
  if (aRequest.settled_epoch() < mState.mSettled.mEpoch) {
    DescribeRoster(mState.mSettled, *reply.mutable_settled());
  }
  if (mState.mPending) {
    reply.set_pending_epoch(mState.mPending->mEpoch);
    if (aRequest.roster_epoch() < mState.mPending->mEpoch) {
      DescribeRoster(*mState.mPending, *reply.mutable_pending());
    }
  }
  reply.set_claim_epoch(mState.mClaimEpoch);
  // The incarnation-like part keeps versions of two leaders apart.
  const std::uint64_t version = mListsVersion ^ (mReadyTerm << 40U);
  reply.set_lists_version(version);
  if (aRequest.lists_version() != version) {
    const std::uint64_t wall = WallMilliseconds();
    for (const auto& [key, quarantine] : mState.mQuarantines) {
      if (quarantine.until_ms() > wall) {
        rpc::Quarantine& out = *reply.add_quarantines();
        out = quarantine;
        out.set_until_ms(quarantine.until_ms() - wall);
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
  Enqueue({ aClaim, std::move(aDone) });
}

void
ControlCore::Record(const rpc::ClaimOutcome& aOutcome, ClaimHandler aDone)
{
  Enqueue({ aOutcome, std::move(aDone) });
}

void
ControlCore::Quarantine(rpc::Quarantine aQuarantine, ClaimHandler aDone)
{
  const auto longest = static_cast<std::uint64_t>(kMaxQuarantine.count() / 1000);
  aQuarantine.set_until_ms(WallMilliseconds() + std::min(aQuarantine.until_ms(), longest));
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
ControlCore::Enqueue(WaitingClaim aClaim)
{
  if (!Ready()) {
    aClaim.mDone(ClaimRefusal(Result::NotLeader));
    return;
  }
  if (mWaiting.size() >= kMaxWaitingClaims) {
    aClaim.mDone(ClaimRefusal(Result::ControlUnavailable));
    return;
  }
  mWaiting.push_back(std::move(aClaim));
  if (mClaimTimer == 0) {
    mClaimTimer = mLoop.AddTimer(SteadyNow() + kClaimWait, [this] { FlushClaims(); });
  }
}

void
ControlCore::FlushClaims()
{
  mClaimTimer = 0;
  std::vector<WaitingClaim> waiting;
  waiting.swap(mWaiting);
  for (std::size_t begin = 0; begin < waiting.size(); begin += kMaxBatch) {
    const std::size_t end = std::min(waiting.size(), begin + kMaxBatch);
    rpc::Command command;
    auto claims = std::make_shared<std::vector<ClaimHandler>>();
    std::vector<ClaimHandler> outcomes;
    for (std::size_t i = begin; i < end; ++i) {
      if (const auto* const claim = std::get_if<rpc::Claim>(&waiting[i].mRequest)) {
        *command.mutable_batch()->add_claims() = *claim;
        claims->push_back(std::move(waiting[i].mDone));
      } else {
        *command.mutable_batch()->add_outcomes() = std::get<rpc::ClaimOutcome>(waiting[i].mRequest);
        outcomes.push_back(std::move(waiting[i].mDone));
      }
    }
    std::move(outcomes.begin(), outcomes.end(), std::back_inserter(*claims));
    Propose(std::move(command), [claims](const Expected<rpc::Outcome>& aOutcome) {
      for (std::size_t i = 0; i < claims->size(); ++i) {
        if (aOutcome && aOutcome->claims_size() == static_cast<int>(claims->size())) {
          (*claims)[i](aOutcome->claims(static_cast<int>(i)));
          continue;
        }
        const bool mayHaveRun = aOutcome || Describe(aOutcome.error().mResult).mMayHaveRun;
        (*claims)[i](
          ClaimRefusal(mayHaveRun ? Result::ClaimOutcomeUnknown : Result::ControlUnavailable));
      }
    });
  }
}

void
ControlCore::Propose(rpc::Command aCommand, OutcomeHandler aDone)
{
  if (!Ready()) {
    const bool known = !Leader().admin_address().empty() && !mLog->Status().mLeading;
    aDone(Fail(known ? Result::NotLeader : Result::NoLeader, "this member does not lead"));
    return;
  }
  aCommand.set_time_ms(WallMilliseconds());
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
  // One at a time: the next decision needs the state that this one makes.
  mInternalProposal = true;
  Propose(std::move(aCommand),
          [this](const Expected<rpc::Outcome>&) { mInternalProposal = false; });
}

void
ControlCore::FollowLeadership()
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
    BeginLeading(mAuthority, NewestRevision(mState), SteadyNow());
    mReadyTerm = term;
    LogEvent(Event::LeadershipGained, { { "term", term }, { "revision", NewestRevision(mState) } });
  });
}

void
ControlCore::ChangeRoster(const RosterView& aRoster, TimePoint aNow)
{
  rpc::Command command;
  if (MaySettle(mAuthority, aRoster, aNow)) {
    command.mutable_settle_roster()->set_epoch(aRoster.mPendingEpoch);
    ProposeInternal(std::move(command));
    return;
  }
  RosterProposal proposal = ProposeRoster(mAuthority, aRoster, aNow);
  for (const auto& [name, host] : mState.mSettled.mHosts) {
    const auto current = mEntryHosts.find(name);
    if (aRoster.mPendingEpoch == 0 && current != mEntryHosts.end() &&
        !SameInRoster(host, current->second)) {
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
  FollowLeadership();
  if (!Ready()) {
    return;
  }
  const RosterView roster = View();
  const Revision before = mAuthority.mInForce;
  if (UpdateInForce(mAuthority, roster, NewestRevision(mState), aNow) != before) {
    LogEvent(Event::ConfigurationInForce, { { "revision", mAuthority.mInForce } });
  }
  std::erase_if(mAuthority.mContacts, [&](const auto& aContact) {
    const bool forget = aNow >= aContact.second.mLast + kForgetHost &&
                        !mState.mSettled.mHosts.contains(aContact.first) &&
                        !(mState.mPending && mState.mPending->mHosts.contains(aContact.first));
    if (forget) {
      mEntryHosts.erase(aContact.first);
    }
    return forget;
  });
  if (mInternalProposal) {
    return;
  }
  const auto self = mState.mControlHosts.find(mSelf.id());
  rpc::Command command;
  if (self == mState.mControlHosts.end() ||
      self->second.SerializeAsString() != mSelf.SerializeAsString()) {
    *command.mutable_control_host() = mSelf;
    ProposeInternal(std::move(command));
  } else if (aNow >= mClaimEpochSince + kClaimEpoch) {
    command.mutable_advance_claim_epoch()->set_from(mState.mClaimEpoch);
    ProposeInternal(std::move(command));
  } else {
    ChangeRoster(roster, aNow);
  }
}

} // namespace apricotyard
