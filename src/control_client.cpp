#include "control_client.h"

#include "control.grpc.pb.h"
#include "log.h"
#include "rpc_runtime.h"
#include "settings.h"

#include <set>

#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// Short enough that after an unanswered call two more can be sent before the lease ends.
constexpr std::chrono::milliseconds kCallTimeout{ 700 };
constexpr std::chrono::milliseconds kWitnessTimeout{ 500 };
// A reply is lost if the message queue of the loop is full. After this time the client stops
// waiting for it.
constexpr Duration kSyncReplyTimeout = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr int kMaxReplyBytes = 4 * 1024 * 1024;
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 500;

// Creates a channel that does not share its connection with other channels to the same address. A
// new channel therefore opens a new connection, which works even if a middlebox silently drops the
// data of the old one.
std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress,
            const std::shared_ptr<grpc::ChannelCredentials>& aCredentials)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetMaxReceiveMessageSize(kMaxReplyBytes);
  return grpc::CreateCustomChannel(aAddress, aCredentials, arguments);
}

// The calls in flight, which the destructor of the client cancels and waits for.
struct CallsInFlight
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
    , mConfigHandler(std::move(aOnConfig))
  {
    mLeaseState.mHost = mIdentity.mHost;
  }

  // Starts an asynchronous call. aStart must pass the given call and callback to gRPC. aDone runs
  // on the loop, unless the client has been destroyed or the queue of the loop is full.
  template<typename Request, typename Reply, typename Start, typename Done>
  void Send(Request aRequest, std::chrono::milliseconds aTimeout, Start aStart, Done aDone)
  {
    auto call = std::make_shared<Call<Request, Reply>>();
    call->mRequest = std::move(aRequest);
    call->mContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
    {
      absl::MutexLock lock(&mCallsInFlight.mMutex);
      if (mCallsInFlight.mClosing) {
        return;
      }
      mCallsInFlight.mContexts.insert(&call->mContext);
    }
    aStart(*call, [this, call, done = std::move(aDone)](const grpc::Status& aStatus) {
      std::weak_ptr<State> weak = weak_from_this();
      mLoop.Post([weak, call, done, aStatus] {
        if (const auto state = weak.lock()) {
          done(*state, aStatus, call->mReply);
        }
      });
      absl::MutexLock lock(&mCallsInFlight.mMutex);
      mCallsInFlight.mContexts.erase(&call->mContext);
    });
  }

  void Tick();
  void SendSync();
  void OnSync(const grpc::Status& aStatus, const rpc::SyncReply& aReply, TimePoint aSentAt);
  void UpdateLists(const rpc::SyncReply& aReply);
  void AdoptReceivedConfig();
  void SelectNextControlHost();
  void ReopenChannel(std::size_t aIndex);
  void AskWitnesses();
  rpc::Control::Stub& CurrentStub() { return *mStubs[mCurrentControl]; }

  // Sends aRequest until it is answered or aDeadline passes. The request may be delivered more than
  // once, so the control hosts must be able to detect duplicates.
  template<typename Request, typename Start>
  void SendUntilDeadline(Request aRequest, Start aStart, TimePoint aDeadline, ClaimHandler aDone);

  Loop& mLoop;
  HostIdentity mIdentity;
  std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  ConfigHandler mConfigHandler;
  std::function<void()> mViewHandler;
  HostLeaseState mLeaseState;
  // The newest configuration received but not adopted yet; revision 0 if there is none.
  ConfigUpdate mReceivedConfig;
  ControlView mView;
  std::uint64_t mListsVersion = 0;
  std::vector<SocketAddress> mControlAddresses;
  std::vector<std::unique_ptr<rpc::Control::Stub>> mStubs;
  std::size_t mCurrentControl = 0;
  bool mSyncInFlight = false;
  TimePoint mSyncSentAt;
  TimePoint mNextSync;
  bool mMayServe = false;
  bool mClosed = false;
  std::map<std::string, std::unique_ptr<rpc::Witness::Stub>> mWitnessStubs;
  CallsInFlight mCallsInFlight;
};

void
ControlClient::State::ReopenChannel(std::size_t aIndex)
{
  mStubs[aIndex] = rpc::Control::NewStub(
    OpenChannel(FormatSocketAddress(mControlAddresses[aIndex]), mCredentials));
}

void
ControlClient::State::SelectNextControlHost()
{
  mCurrentControl = (mCurrentControl + 1) % mStubs.size();
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
  request.set_revision(mLeaseState.mRunningRevision);
  request.set_held_revision(mLeaseState.mReceivedRevision);
  request.set_roster_epoch(mLeaseState.mConfirmedEpoch);
  request.set_settled_epoch(mView.mSettled.epoch());
  request.set_lists_version(mListsVersion);
  request.set_loops(1);
  const TimePoint sentAt = SteadyNow();
  mSyncInFlight = true;
  mSyncSentAt = sentAt;
  mNextSync = sentAt + kSyncInterval;
  Send<rpc::SyncRequest, rpc::SyncReply>(
    std::move(request),
    kCallTimeout,
    [this](auto& aCall, auto aCallback) {
      CurrentStub().async()->Sync(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aCallback));
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
  if (!mSyncInFlight || aSentAt != mSyncSentAt) {
    return;
  }
  mSyncInFlight = false;
  if (!aStatus.ok()) {
    LogEvent(Event::ControlUnreachable,
             { { "control", FormatSocketAddress(mControlAddresses[mCurrentControl]) },
               { "message", aStatus.error_message() } });
    if (aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      ReopenChannel(mCurrentControl);
    }
    SelectNextControlHost();
    return;
  }
  if (!aReply.leading()) {
    SelectNextControlHost();
    for (std::size_t i = 0; i < mControlAddresses.size(); ++i) {
      if (FormatSocketAddress(mControlAddresses[i]) == aReply.leader()) {
        mCurrentControl = i;
      }
    }
    return;
  }
  SyncGrant grant;
  grant.mRequiredRevision = aReply.required_revision();
  grant.mRequiredEpoch = aReply.settled_epoch();
  grant.mNewest = mLeaseState.mReceivedRevision;
  if (!aReply.document().empty() && aReply.revision() > mLeaseState.mReceivedRevision) {
    ConfigResult parsed =
      ParseConfig("revision " + std::to_string(aReply.revision()), aReply.document());
    if (parsed.mProblems.empty()) {
      parsed.mConfig.mRevision = aReply.revision();
      mReceivedConfig = { aReply.revision(), aReply.document(), std::move(parsed.mConfig) };
      grant.mNewest = aReply.revision();
    } else {
      // The host keeps its current revision. It stops serving once control requires the newer one.
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
  const std::uint64_t epoch = mLeaseState.mConfirmedEpoch;
  OnSyncGrant(mLeaseState, grant, aSentAt, SteadyNow());
  UpdateLists(aReply);
  if (mLeaseState.mConfirmedEpoch != epoch) {
    // Confirm the new epoch at once instead of after the usual interval.
    mNextSync = SteadyNow();
  }
  AdoptReceivedConfig();
}

void
ControlClient::State::UpdateLists(const rpc::SyncReply& aReply)
{
  mView.mClaimEpoch = aReply.claim_epoch();
  if (aReply.lists_version() != mListsVersion) {
    mListsVersion = aReply.lists_version();
    mView.mQuarantines.assign(aReply.quarantines().begin(), aReply.quarantines().end());
    mView.mDrains.assign(aReply.drains().begin(), aReply.drains().end());
    mView.mListsAt = SteadyNow();
  }
  if (mViewHandler) {
    mViewHandler();
  }
}

// Adopts the received configuration as soon as no promise forbids it, and logs when the permission
// to serve changes.
void
ControlClient::State::AdoptReceivedConfig()
{
  const TimePoint now = SteadyNow();
  AdoptReceived(mLeaseState, now);
  if (mReceivedConfig.mRevision == mLeaseState.mRunningRevision &&
      !mReceivedConfig.mDocument.empty()) {
    ConfigUpdate update;
    std::swap(update, mReceivedConfig);
    mConfigHandler(update);
    mNextSync = now;
  }
  const bool mayServe = apricotyard::MayServe(mLeaseState, now);
  if (mayServe != mMayServe) {
    mMayServe = mayServe;
    LogEvent(mayServe ? Event::PermissionGained : Event::PermissionLost,
             { { "revision", mLeaseState.mRunningRevision },
               { "roster_epoch", mLeaseState.mConfirmedEpoch } });
  }
}

void
ControlClient::State::AskWitnesses()
{
  const TimePoint now = SteadyNow();
  const auto question = StartWitnessRound(mLeaseState, now);
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
  for (const std::string& witness : mLeaseState.mWitnesses) {
    if (witness == mIdentity.mHost) {
      if (OnWitnessQuestion(mLeaseState, *question, now)) {
        OnWitnessGrant(mLeaseState, witness, now);
      }
      continue;
    }
    const auto host = std::find_if(roster.hosts().begin(),
                                   roster.hosts().end(),
                                   [&](const rpc::Host& aHost) { return aHost.host() == witness; });
    if (host == roster.hosts().end() || host->peer_address().empty()) {
      continue;
    }
    auto& stub = mWitnessStubs[host->peer_address()];
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
          OnWitnessGrant(aState.mLeaseState, witness, now);
        } else if (aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
          aState.mWitnessStubs.erase(address);
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
  AdoptReceivedConfig();
  AskWitnesses();
  const TimePoint now = SteadyNow();
  if (mSyncInFlight && now >= mSyncSentAt + kSyncReplyTimeout) {
    mSyncInFlight = false;
    SelectNextControlHost();
  }
  if (!mSyncInFlight && now >= mNextSync) {
    SendSync();
  }
}

template<typename Request, typename Start>
void
ControlClient::State::SendUntilDeadline(Request aRequest,
                                        Start aStart,
                                        TimePoint aDeadline,
                                        ClaimHandler aDone)
{
  const Duration remaining = aDeadline - SteadyNow();
  if (remaining <= Duration::zero()) {
    rpc::ClaimReply reply;
    reply.set_result(static_cast<std::uint32_t>(Result::ControlUnavailable));
    aDone(reply);
    return;
  }
  const auto timeout =
    std::min(kCallTimeout, std::chrono::ceil<std::chrono::milliseconds>(remaining));
  const std::size_t usedControl = mCurrentControl;
  Send<Request, rpc::ClaimReply>(
    aRequest,
    timeout,
    [this, aStart](auto& aCall, auto aCallback) {
      aStart(CurrentStub(), aCall, std::move(aCallback));
    },
    [aRequest, aStart, aDeadline, usedControl, done = std::move(aDone)](
      State& aState, const grpc::Status& aStatus, const rpc::ClaimReply& aReply) {
      const auto result = static_cast<Result>(aReply.result());
      const bool retry = !aStatus.ok() || result == Result::NotLeader ||
                         result == Result::NoLeader || result == Result::ClaimOutcomeUnknown;
      if (!retry) {
        done(aReply);
        return;
      }
      if (usedControl == aState.mCurrentControl && (!aStatus.ok() || result == Result::NotLeader)) {
        aState.SelectNextControlHost();
      }
      std::weak_ptr<State> weak = aState.weak_from_this();
      aState.mLoop.AddTimer(SteadyNow() + kRetryDelay, [weak, aRequest, aStart, aDeadline, done] {
        if (const auto state = weak.lock()) {
          state->SendUntilDeadline(aRequest, aStart, aDeadline, done);
        }
      });
    });
}

ControlClient::ControlClient(Loop& aLoop,
                             HostIdentity aIdentity,
                             const std::vector<SocketAddress>& aControlAddresses,
                             ConfigHandler aOnConfig)
  : mState(std::make_shared<State>(aLoop, std::move(aIdentity), std::move(aOnConfig)))
{
  KeepCallbackQueueAlive();
  mState->mCredentials = MakeChannelCredentials(mState->mIdentity.mSecurity);
  mState->mControlAddresses = aControlAddresses;
  mState->mStubs.resize(aControlAddresses.size());
  for (std::size_t i = 0; i < aControlAddresses.size(); ++i) {
    mState->ReopenChannel(i);
  }
  std::weak_ptr<State> weak = mState;
  aLoop.AddPeriodic(kTickInterval, [weak] {
    if (const auto state = weak.lock()) {
      state->Tick();
    }
  });
}

ControlClient::~ControlClient()
{
  mState->mClosed = true;
  CallsInFlight& calls = mState->mCallsInFlight;
  absl::MutexLock lock(&calls.mMutex);
  calls.mClosing = true;
  for (grpc::ClientContext* const context : calls.mContexts) {
    context->TryCancel();
  }
  calls.mMutex.Await(absl::Condition(
    +[](CallsInFlight* aCalls) { return aCalls->mContexts.empty(); }, &calls));
}

bool
ControlClient::MayServe() const
{
  return apricotyard::MayServe(mState->mLeaseState, SteadyNow());
}

const ControlView&
ControlClient::View() const
{
  return mState->mView;
}

void
ControlClient::OnViewChanged(std::function<void()> aHandler)
{
  mState->mViewHandler = std::move(aHandler);
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
  mState->SendUntilDeadline(
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
  mState->SendUntilDeadline(
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
                                Duration aDuration,
                                TimePoint aDeadline)
{
  rpc::Quarantine quarantine;
  quarantine.set_collection(aCollection);
  quarantine.set_fingerprint(aFingerprint);
  quarantine.set_strikes(aStrikes);
  quarantine.set_until_ms(
    static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(aDuration).count()));
  mState->SendUntilDeadline(
    std::move(quarantine),
    [](rpc::Control::Stub& aStub, auto& aCall, auto aCallback) {
      aStub.async()->ReportQuarantine(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aCallback));
    },
    aDeadline,
    [](const rpc::ClaimReply&) {});
}

namespace {

// The longest time that a call waits for the loop. It is bounded so that calls do not delay the
// shutdown of the server.
constexpr absl::Duration kLoopWaitTimeout = absl::Milliseconds(400);

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
                           OnWitnessQuestion(state->mLeaseState, question, SteadyNow());
      absl::MutexLock lock(&answer->mMutex);
      answer->mDone = true;
      answer->mGranted = granted;
    });
    absl::MutexLock lock(&answer->mMutex);
    if (!posted ||
        !answer->mMutex.AwaitWithTimeout(absl::Condition(&answer->mDone), kLoopWaitTimeout)) {
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
