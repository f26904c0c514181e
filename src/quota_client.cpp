#include "quota_client.h"

#include "fleet.grpc.pb.h"
#include "rpc_runtime.h"

#include <algorithm>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

// gRPC connects anew after these times. Calls fail at once while there is no connection.
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1000;
// After a failed call to the leader, another coordinator is called for this time.
constexpr Duration kDetourTime = std::chrono::seconds(5);

// One call. Owned by its callback.
struct OpenQuotaCall
{
  grpc::ClientContext mContext;
  rpc::QuotaRequest mRequest;
  rpc::QuotaReply mReply;
  std::shared_ptr<rpc::Fleet::Stub> mStub;
  QuotaChannels::ReplyHandler mHandler;
};

} // namespace

struct QuotaChannels::State
{
  State(Loop& aLoop, std::uint16_t aRpcPort, RpcSecurity aSecurity)
    : mLoop(aLoop)
    , mRpcPort(aRpcPort)
    , mSecurity(std::move(aSecurity))
  {
  }

  std::shared_ptr<rpc::Fleet::Stub> StubOf(const std::string& aIp)
  {
    std::shared_ptr<rpc::Fleet::Stub>& stub = mStubs[aIp];
    if (stub == nullptr) {
      grpc::ChannelArguments arguments;
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
      arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
      arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
      stub = rpc::Fleet::NewStub(grpc::CreateCustomChannel(
        FormatSocketAddress({ aIp, mRpcPort }), MakeChannelCredentials(mSecurity), arguments));
    }
    return stub;
  }

  bool IsStopping()
  {
    absl::MutexLock lock(&mMutex);
    return mStopping;
  }

  Loop& mLoop;
  const std::uint16_t mRpcPort;
  const RpcSecurity mSecurity;
  std::map<std::string, std::shared_ptr<rpc::Fleet::Stub>> mStubs;
  absl::Mutex mMutex;
  bool mStopping = false;
  std::map<std::uint64_t, std::shared_ptr<OpenQuotaCall>> mOpen;
  std::uint64_t mNextCall = 0;
};

QuotaChannels::QuotaChannels(Loop& aLoop, std::uint16_t aRpcPort, RpcSecurity aSecurity)
  : mState(std::make_shared<State>(aLoop, aRpcPort, std::move(aSecurity)))
{
  KeepCallbackQueueAlive();
}

QuotaChannels::~QuotaChannels()
{
  absl::MutexLock lock(&mState->mMutex);
  mState->mStopping = true;
  for (const auto& [number, call] : mState->mOpen) {
    call->mContext.TryCancel();
  }
  const auto ended = [this] { return mState->mOpen.empty(); };
  mState->mMutex.Await(absl::Condition(&ended));
}

void
QuotaChannels::Call(const std::string& aIp,
                    rpc::QuotaRequest aRequest,
                    Duration aTimeout,
                    ReplyHandler aHandler)
{
  const auto call = std::make_shared<OpenQuotaCall>();
  call->mRequest = std::move(aRequest);
  call->mHandler = std::move(aHandler);
  call->mStub = mState->StubOf(aIp);
  call->mContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
  std::uint64_t number = 0;
  {
    absl::MutexLock lock(&mState->mMutex);
    number = mState->mNextCall++;
    mState->mOpen[number] = call;
  }
  call->mStub->async()->AcquireQuota(
    &call->mContext,
    &call->mRequest,
    &call->mReply,
    [state = mState, weak = std::weak_ptr<State>(mState), call, number](
      const grpc::Status& aStatus) {
      const bool succeeded = aStatus.ok();
      absl::MutexLock lock(&state->mMutex);
      // The loop may end as soon as the call is no longer open.
      if (!state->mStopping) {
        state->mLoop.Post([weak, call, succeeded] {
          const auto live = weak.lock();
          if (live == nullptr || live->IsStopping()) {
            return;
          }
          call->mHandler(succeeded ? std::optional(std::move(call->mReply)) : std::nullopt);
        });
      }
      state->mOpen.erase(number);
    });
}

QuotaClient::QuotaClient(Loop& aLoop,
                         std::uint16_t aRpcPort,
                         const RpcSecurity& aSecurity,
                         std::string aDataCentre)
  : mChannels(aLoop, aRpcPort, aSecurity)
  , mDataCentre(std::move(aDataCentre))
{
}

void
QuotaClient::AddCoordinator(const std::string& aIp, const std::string& aDataCentre)
{
  std::string& dataCentre = mCoordinators[aIp];
  if (!aDataCentre.empty()) {
    dataCentre = aDataCentre;
  }
}

void
QuotaClient::SetLeader(const std::string& aIp)
{
  if (!aIp.empty() && aIp != mLeader) {
    mLeader = aIp;
    mDetour.clear();
  }
}

// The leader; without one, or after it failed, the detour, which each failure moves on by one
// coordinator, those of this data centre first.
std::string
QuotaClient::ChooseCoordinator(TimePoint aNow)
{
  if (!mDetour.empty() && aNow < mDetourUntil) {
    return mDetour;
  }
  mDetour.clear();
  if (!mLeader.empty()) {
    return mLeader;
  }
  return mCoordinators.empty() ? "" : mCoordinators.begin()->first;
}

void
QuotaClient::Call(rpc::QuotaRequest aRequest,
                  Duration aTimeout,
                  QuotaChannels::ReplyHandler aHandler)
{
  const std::string called = ChooseCoordinator(SteadyNow());
  if (called.empty()) {
    aHandler(std::nullopt);
    return;
  }
  mChannels.Call(
    called,
    std::move(aRequest),
    aTimeout,
    [this, called, handler = std::move(aHandler)](std::optional<rpc::QuotaReply> aReply) {
      if (aReply && aReply->term() > 0) {
        SetLeader(aReply->owner());
      } else {
        std::vector<std::string> order;
        for (const bool near : { true, false }) {
          for (const auto& [ip, dataCentre] : mCoordinators) {
            if ((dataCentre == mDataCentre) == near) {
              order.push_back(ip);
            }
          }
        }
        const auto at = std::find(order.begin(), order.end(), called);
        const bool tookDetour = called == mDetour && at != order.end();
        const std::size_t next =
          tookDetour ? static_cast<std::size_t>(at - order.begin() + 1) % order.size() : 0;
        mDetour = order.empty()           ? ""
                  : order[next] == called ? order[(next + 1) % order.size()]
                                          : order[next];
        mDetourUntil = SteadyNow() + kDetourTime;
      }
      handler(std::move(aReply));
    });
}

} // namespace apricotyard
