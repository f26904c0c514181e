#include "control_client.h"

#include "control.grpc.pb.h"
#include "log.h"
#include "rpc_runtime.h"
#include "settings.h"

#include <set>

#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
// Two calls fit into a lease after one that got no answer.
constexpr std::chrono::milliseconds kCallTimeout{ 700 };
constexpr std::chrono::milliseconds kWitnessTimeout{ 500 };
// A reply that has not reached the loop after this time was lost in a full mailbox.
constexpr Duration kLostReply = std::chrono::seconds(2);
constexpr Duration kRetryPause = std::chrono::milliseconds(50);
constexpr int kMaxMessage = 4 * 1024 * 1024;
constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 500;

// A channel with a connection of its own: a new channel to the same address opens a new connection,
// which works after a middlebox stopped delivering the data of the old one.
std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress,
            const std::shared_ptr<grpc::ChannelCredentials>& aCredentials)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetMaxReceiveMessageSize(kMaxMessage);
  return grpc::CreateCustomChannel(aAddress, aCredentials, arguments);
}

// Calls under way, so that the end of the client can cancel them and wait for them.
struct OpenCalls
{
  absl::Mutex mMutex;
  std::set<grpc::ClientContext*> mContexts;
  bool mClosing = false;
};

template<typename Request, typename Reply>
struct Call
{
  grpc::ClientContext mContext;
  Request mRequest;
  Reply mReply;
};

} // namespace

struct ControlClient::State : std::enable_shared_from_this<ControlClient::State>
{
  State(Loop& aLoop, HostIdentity aIdentity, ConfigHandler aOnConfig)
    : mLoop(aLoop)
    , mIdentity(std::move(aIdentity))
    , mOnConfig(std::move(aOnConfig))
  {
    mAuthority.mHost = mIdentity.mHost;
  }

  // Starts a call. aStart receives the prepared call and the callback; aDone runs on the loop.
  template<typename Request, typename Reply, typename Start, typename Done>
  void Send(Request aRequest, std::chrono::milliseconds aTimeout, Start aStart, Done aDone)
  {
    auto call = std::make_shared<Call<Request, Reply>>();
    call->mRequest = std::move(aRequest);
    call->mContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
    {
      absl::MutexLock lock(&mCalls.mMutex);
      if (mCalls.mClosing) {
        return;
      }
      mCalls.mContexts.insert(&call->mContext);
    }
    aStart(*call, [this, call, done = std::move(aDone)](const grpc::Status& aStatus) {
      std::weak_ptr<State> weak = weak_from_this();
      mLoop.Post([weak, call, done, aStatus] {
        if (const auto state = weak.lock()) {
          done(*state, aStatus, call->mReply);
        }
      });
      absl::MutexLock lock(&mCalls.mMutex);
      mCalls.mContexts.erase(&call->mContext);
    });
  }

  void Tick();
  void SendSync();
  void OnSync(const grpc::Status& aStatus, const rpc::SyncReply& aReply, TimePoint aSentAt);
  void TakeLists(const rpc::SyncReply& aReply);
  void Adopt();
  void NextControl();
  void Reopen(std::size_t aIndex);
  void AskWitnesses();
  rpc::Control::Stub& Stub() { return *mStubs[mCurrent]; }

  // Sends a request that control deduplicates until it is answered or aDeadline passes.
  template<typename Request, typename Start>
  void Repeat(Request aRequest, Start aStart, TimePoint aDeadline, ClaimHandler aDone);

  Loop& mLoop;
  HostIdentity mIdentity;
  std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  ConfigHandler mOnConfig;
  std::function<void()> mOnView;
  HostAuthority mAuthority;
  // The newest document received; run as soon as mAuthority allows.
  ConfigUpdate mHeld;
  ControlView mView;
  std::uint64_t mListsVersion = 0;
  std::vector<SocketAddress> mControl;
  std::vector<std::unique_ptr<rpc::Control::Stub>> mStubs;
  std::size_t mCurrent = 0;
  bool mSyncing = false;
  TimePoint mSyncSent;
  TimePoint mNextSync;
  bool mMayServe = false;
  bool mClosed = false;
  std::map<std::string, std::unique_ptr<rpc::Witness::Stub>> mPeers;
  OpenCalls mCalls;
};

void
ControlClient::State::Reopen(std::size_t aIndex)
{
  mStubs[aIndex] =
    rpc::Control::NewStub(OpenChannel(FormatSocketAddress(mControl[aIndex]), mCredentials));
}

void
ControlClient::State::NextControl()
{
  mCurrent = (mCurrent + 1) % mStubs.size();
}

void
ControlClient::State::SendSync()
{
  rpc::SyncRequest request;
  request.set_host(mIdentity.mHost);
  request.set_incarnation(mIdentity.mIncarnation);
  request.set_data_centre(mIdentity.mDataCentre);
  request.set_caller_address(FormatSocketAddress(mIdentity.mAddress));
  if (mIdentity.mPeerAddress.mPort != 0) {
    request.set_peer_address(FormatSocketAddress(mIdentity.mPeerAddress));
  }
  request.set_revision(mAuthority.mRun);
  request.set_held_revision(mAuthority.mHeld);
  request.set_roster_epoch(mAuthority.mEpoch);
  request.set_settled_epoch(mView.mSettled.epoch());
  request.set_lists_version(mListsVersion);
  request.set_loops(1);
  const TimePoint sentAt = SteadyNow();
  mSyncing = true;
  mSyncSent = sentAt;
  mNextSync = sentAt + kSyncInterval;
  Send<rpc::SyncRequest, rpc::SyncReply>(
    std::move(request),
    kCallTimeout,
    [this](auto& aCall, auto aCallback) {
      Stub().async()->Sync(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aCallback));
    },
    [sentAt](State& aState, const grpc::Status& aStatus, const rpc::SyncReply& aReply) {
      aState.OnSync(aStatus, aReply, sentAt);
    });
}

void
ControlClient::State::OnSync(const grpc::Status& aStatus,
                             const rpc::SyncReply& aReply,
                             TimePoint aSentAt)
{
  if (!mSyncing || aSentAt != mSyncSent) {
    return;
  }
  mSyncing = false;
  if (!aStatus.ok()) {
    LogEvent(Event::ControlUnreachable,
             { { "control", FormatSocketAddress(mControl[mCurrent]) },
               { "message", aStatus.error_message() } });
    if (aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      Reopen(mCurrent);
    }
    NextControl();
    return;
  }
  if (!aReply.leading()) {
    NextControl();
    for (std::size_t i = 0; i < mControl.size(); ++i) {
      if (FormatSocketAddress(mControl[i]) == aReply.leader()) {
        mCurrent = i;
      }
    }
    return;
  }
  SyncGrant grant;
  grant.mRequiredRevision = aReply.required_revision();
  grant.mRequiredEpoch = aReply.settled_epoch();
  grant.mNewest = mAuthority.mHeld;
  if (!aReply.document().empty() && aReply.revision() > mAuthority.mHeld) {
    ConfigResult parsed =
      ParseConfig("revision " + std::to_string(aReply.revision()), aReply.document());
    if (parsed.mProblems.empty()) {
      parsed.mConfig.mRevision = aReply.revision();
      mHeld = { aReply.revision(), aReply.document(), std::move(parsed.mConfig) };
      grant.mNewest = aReply.revision();
    } else {
      // The host keeps its revision and stops serving once control requires the newer one.
      LogEvent(Event::ConfigurationNotAdopted,
               { { "revision", aReply.revision() },
                 { "problem", FormatProblem(parsed.mProblems.front()) } });
    }
  }
  if (aReply.has_settled()) {
    mView.mSettled = aReply.settled();
  }
  if (aReply.has_pending()) {
    mView.mPending = aReply.pending();
  }
  if (aReply.pending_epoch() == 0) {
    mView.mPending.Clear();
  }
  const rpc::Roster& newest =
    mView.mPending.epoch() > mView.mSettled.epoch() ? mView.mPending : mView.mSettled;
  grant.mEpoch = newest.epoch();
  grant.mWitnesses.assign(newest.witnesses().begin(), newest.witnesses().end());
  const std::uint64_t epoch = mAuthority.mEpoch;
  OnSyncGrant(mAuthority, grant, aSentAt, SteadyNow());
  TakeLists(aReply);
  if (mAuthority.mEpoch != epoch) {
    // The confirmation is not delayed until the next interval.
    mNextSync = SteadyNow();
  }
  Adopt();
}

void
ControlClient::State::TakeLists(const rpc::SyncReply& aReply)
{
  mView.mClaimEpoch = aReply.claim_epoch();
  if (aReply.lists_version() != mListsVersion) {
    mListsVersion = aReply.lists_version();
    mView.mQuarantines.assign(aReply.quarantines().begin(), aReply.quarantines().end());
    mView.mDrains.assign(aReply.drains().begin(), aReply.drains().end());
    mView.mListsAt = SteadyNow();
  }
  if (mOnView) {
    mOnView();
  }
}

// Runs what mAuthority has adopted and notes whether the host may serve.
void
ControlClient::State::Adopt()
{
  const TimePoint now = SteadyNow();
  AdoptHeld(mAuthority, now);
  if (mHeld.mRevision == mAuthority.mRun && !mHeld.mDocument.empty()) {
    ConfigUpdate update;
    std::swap(update, mHeld);
    mOnConfig(update);
    mNextSync = now;
  }
  const bool mayServe = apricotyard::MayServe(mAuthority, now);
  if (mayServe != mMayServe) {
    mMayServe = mayServe;
    LogEvent(mayServe ? Event::PermissionGained : Event::PermissionLost,
             { { "revision", mAuthority.mRun }, { "roster_epoch", mAuthority.mEpoch } });
  }
}

void
ControlClient::State::AskWitnesses()
{
  const TimePoint now = SteadyNow();
  const auto question = StartWitnessRound(mAuthority, now);
  if (!question) {
    return;
  }
  const rpc::Roster& roster =
    mView.mPending.epoch() == question->mEpoch ? mView.mPending : mView.mSettled;
  rpc::WitnessQuestion request;
  request.set_host(question->mHost);
  request.set_incarnation(mIdentity.mIncarnation);
  request.set_revision(question->mRevision);
  request.set_roster_epoch(question->mEpoch);
  for (const std::string& witness : mAuthority.mWitnesses) {
    if (witness == mIdentity.mHost) {
      if (OnWitnessQuestion(mAuthority, *question, now)) {
        OnWitnessGrant(mAuthority, witness, now);
      }
      continue;
    }
    const auto host = std::find_if(roster.hosts().begin(),
                                   roster.hosts().end(),
                                   [&](const rpc::Host& aHost) { return aHost.host() == witness; });
    if (host == roster.hosts().end() || host->peer_address().empty()) {
      continue;
    }
    auto& stub = mPeers[host->peer_address()];
    if (stub == nullptr) {
      stub = rpc::Witness::NewStub(OpenChannel(host->peer_address(), mCredentials));
    }
    Send<rpc::WitnessQuestion, rpc::WitnessAnswer>(
      request,
      kWitnessTimeout,
      [&stub](auto& aCall, auto aCallback) {
        stub->async()->Ask(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aCallback));
      },
      [now, witness, address = host->peer_address()](
        State& aState, const grpc::Status& aStatus, const rpc::WitnessAnswer& aReply) {
        if (aStatus.ok() && aReply.granted()) {
          OnWitnessGrant(aState.mAuthority, witness, now);
        } else if (aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
          aState.mPeers.erase(address);
        }
      });
  }
}

void
ControlClient::State::Tick()
{
  if (mClosed) {
    return;
  }
  Adopt();
  AskWitnesses();
  const TimePoint now = SteadyNow();
  if (mSyncing && now >= mSyncSent + kLostReply) {
    mSyncing = false;
    NextControl();
  }
  if (!mSyncing && now >= mNextSync) {
    SendSync();
  }
}

template<typename Request, typename Start>
void
ControlClient::State::Repeat(Request aRequest,
                             Start aStart,
                             TimePoint aDeadline,
                             ClaimHandler aDone)
{
  const Duration left = aDeadline - SteadyNow();
  if (left <= Duration::zero()) {
    rpc::ClaimReply reply;
    reply.set_result(static_cast<std::uint32_t>(Result::ControlUnavailable));
    aDone(reply);
    return;
  }
  const auto timeout = std::min(kCallTimeout, std::chrono::ceil<std::chrono::milliseconds>(left));
  const std::size_t used = mCurrent;
  Send<Request, rpc::ClaimReply>(
    aRequest,
    timeout,
    [this, aStart](auto& aCall, auto aCallback) { aStart(Stub(), aCall, std::move(aCallback)); },
    [aRequest, aStart, aDeadline, used, done = std::move(aDone)](
      State& aState, const grpc::Status& aStatus, const rpc::ClaimReply& aReply) {
      const auto result = static_cast<Result>(aReply.result());
      const bool again = !aStatus.ok() || result == Result::NotLeader ||
                         result == Result::NoLeader || result == Result::ClaimOutcomeUnknown;
      if (!again) {
        done(aReply);
        return;
      }
      if (used == aState.mCurrent && (!aStatus.ok() || result == Result::NotLeader)) {
        aState.NextControl();
      }
      std::weak_ptr<State> weak = aState.weak_from_this();
      aState.mLoop.AddTimer(SteadyNow() + kRetryPause, [weak, aRequest, aStart, aDeadline, done] {
        if (const auto state = weak.lock()) {
          state->Repeat(aRequest, aStart, aDeadline, done);
        }
      });
    });
}

ControlClient::ControlClient(Loop& aLoop,
                             HostIdentity aIdentity,
                             const std::vector<SocketAddress>& aControl,
                             ConfigHandler aOnConfig)
  : mState(std::make_shared<State>(aLoop, std::move(aIdentity), std::move(aOnConfig)))
{
  HoldCallbackQueue();
  mState->mCredentials = MakeChannelCredentials(mState->mIdentity.mSecurity);
  mState->mControl = aControl;
  mState->mStubs.resize(aControl.size());
  for (std::size_t i = 0; i < aControl.size(); ++i) {
    mState->Reopen(i);
  }
  std::weak_ptr<State> weak = mState;
  aLoop.AddPeriodic(kTick, [weak] {
    if (const auto state = weak.lock()) {
      state->Tick();
    }
  });
}

ControlClient::~ControlClient()
{
  mState->mClosed = true;
  OpenCalls& calls = mState->mCalls;
  absl::MutexLock lock(&calls.mMutex);
  calls.mClosing = true;
  for (grpc::ClientContext* const context : calls.mContexts) {
    context->TryCancel();
  }
  calls.mMutex.Await(absl::Condition(
    +[](OpenCalls* aCalls) { return aCalls->mContexts.empty(); }, &calls));
}

bool
ControlClient::MayServe() const
{
  return apricotyard::MayServe(mState->mAuthority, SteadyNow());
}

const ControlView&
ControlClient::View() const
{
  return mState->mView;
}

void
ControlClient::OnView(std::function<void()> aHandler)
{
  mState->mOnView = std::move(aHandler);
}

void
ControlClient::Claim(const std::string& aKey,
                     std::uint64_t aFingerprint,
                     std::uint64_t aClaimId,
                     TimePoint aDeadline,
                     ClaimHandler aDone)
{
  rpc::Claim claim;
  claim.set_key(aKey);
  claim.set_fingerprint(aFingerprint);
  claim.set_host(mState->mIdentity.mHost);
  claim.set_incarnation(mState->mIdentity.mIncarnation);
  claim.set_claim_id(aClaimId);
  mState->Repeat(
    std::move(claim),
    [](rpc::Control::Stub& aStub, auto& aCall, auto aCallback) {
      aStub.async()->MakeClaim(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aCallback));
    },
    aDeadline,
    std::move(aDone));
}

void
ControlClient::RecordOutcome(const std::string& aKey,
                             std::uint64_t aClaimId,
                             Result aResult,
                             std::string aBody,
                             TimePoint aDeadline,
                             ClaimHandler aDone)
{
  rpc::ClaimOutcome outcome;
  outcome.set_key(aKey);
  outcome.set_host(mState->mIdentity.mHost);
  outcome.set_incarnation(mState->mIdentity.mIncarnation);
  outcome.set_claim_id(aClaimId);
  outcome.set_result(static_cast<std::uint32_t>(aResult));
  outcome.set_body(std::move(aBody));
  mState->Repeat(
    std::move(outcome),
    [](rpc::Control::Stub& aStub, auto& aCall, auto aCallback) {
      aStub.async()->RecordOutcome(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aCallback));
    },
    aDeadline,
    std::move(aDone));
}

void
ControlClient::ReportQuarantine(const std::string& aCollection,
                                std::uint64_t aFingerprint,
                                std::uint32_t aStrikes,
                                Duration aFor,
                                TimePoint aDeadline)
{
  rpc::Quarantine quarantine;
  quarantine.set_collection(aCollection);
  quarantine.set_fingerprint(aFingerprint);
  quarantine.set_strikes(aStrikes);
  quarantine.set_until_ms(
    static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(aFor).count()));
  mState->Repeat(
    std::move(quarantine),
    [](rpc::Control::Stub& aStub, auto& aCall, auto aCallback) {
      aStub.async()->ReportQuarantine(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aCallback));
    },
    aDeadline,
    [](const rpc::ClaimReply&) {});
}

namespace {

// Waits at most this time for the loop, so that the end of the server is not held up.
constexpr absl::Duration kWitnessWait = absl::Milliseconds(400);

class WitnessService final : public rpc::Witness::Service
{
public:
  WitnessService(Loop& aLoop, std::weak_ptr<ControlClient::State> aState)
    : mLoop(aLoop)
    , mState(std::move(aState))
  {
  }

  grpc::Status Ask(grpc::ServerContext* /*aContext*/,
                   const rpc::WitnessQuestion* aRequest,
                   rpc::WitnessAnswer* aReply) override
  {
    struct Answer
    {
      absl::Mutex mMutex;
      bool mDone = false;
      bool mGranted = false;
    };
    const WitnessQuestion question{ aRequest->host(),
                                    aRequest->revision(),
                                    aRequest->roster_epoch() };
    const auto answer = std::make_shared<Answer>();
    const bool posted = mLoop.Post([weak = mState, answer, question] {
      const auto state = weak.lock();
      const bool granted = state != nullptr && !state->mClosed &&
                           OnWitnessQuestion(state->mAuthority, question, SteadyNow());
      absl::MutexLock lock(&answer->mMutex);
      answer->mDone = true;
      answer->mGranted = granted;
    });
    absl::MutexLock lock(&answer->mMutex);
    if (!posted ||
        !answer->mMutex.AwaitWithTimeout(absl::Condition(&answer->mDone), kWitnessWait)) {
      return { grpc::StatusCode::UNAVAILABLE, "the loop of the host is busy" };
    }
    aReply->set_granted(answer->mGranted);
    return grpc::Status::OK;
  }

private:
  Loop& mLoop;
  std::weak_ptr<ControlClient::State> mState;
};

} // namespace

std::unique_ptr<grpc::Service>
ControlClient::MakeWitnessService()
{
  return std::make_unique<WitnessService>(mState->mLoop, mState);
}

} // namespace apricotyard
