#include "peer_service.h"

#include "log.h"
#include "peer.grpc.pb.h"
#include "rpc_runtime.h"
#include "settings.h"

#include <atomic>
#include <map>
#include <unordered_set>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

namespace apricotyard {

namespace {

// Maximum number of open calls in each direction.
constexpr std::size_t kMaxOpenCalls = 512;
// Ten times the round trip over a congested link. A heartbeat that takes longer is of no use.
constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
// Short enough to reach a restarted peer again within one heartbeat.
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 500;
constexpr int kMaxGrpcThreads = 8;
constexpr int kMaxMessageBytes = 256 * 1024;

// An incoming call. It is finished exactly once, either by the loop or when the service is
// destroyed.
struct OpenCall
{
  grpc::ServerUnaryReactor* mReactor = nullptr;
  std::atomic<bool> mFinished{ false };

  void Finish(const grpc::Status& aStatus)
  {
    if (!mFinished.exchange(true)) {
      mReactor->Finish(aStatus);
    }
  }
};

grpc::Status
ToStatus(const Expected<void>& aResult)
{
  return aResult ? grpc::Status::OK
                 : grpc::Status(grpc::StatusCode::PERMISSION_DENIED, aResult.error().mMessage);
}

// The open calls of both directions. Thread-safe.
class CallTable
{
public:
  // Returns nullptr, and refuses the call, if too many calls are open or the table is stopping.
  std::shared_ptr<OpenCall> Open(grpc::ServerUnaryReactor* aReactor)
  {
    auto call = std::make_shared<OpenCall>();
    call->mReactor = aReactor;
    {
      const absl::MutexLock lock(&mMutex);
      if (!mStopping && mIncoming.size() < kMaxOpenCalls) {
        mIncoming.insert(call);
        return call;
      }
    }
    call->Finish({ grpc::StatusCode::RESOURCE_EXHAUSTED, "too many open calls" });
    return nullptr;
  }

  void Close(const std::shared_ptr<OpenCall>& aCall, const grpc::Status& aStatus)
  {
    {
      const absl::MutexLock lock(&mMutex);
      mIncoming.erase(aCall);
    }
    aCall->Finish(aStatus);
  }

  // Returns false if too many calls are open or the table is stopping.
  bool OpenOutgoing(grpc::ClientContext* aContext)
  {
    const absl::MutexLock lock(&mMutex);
    return !mStopping && mOutgoing.size() < kMaxOpenCalls && mOutgoing.insert(aContext).second;
  }

  void CloseOutgoing(grpc::ClientContext* aContext)
  {
    const absl::MutexLock lock(&mMutex);
    mOutgoing.erase(aContext);
  }

  // Refuses the incoming calls, cancels the outgoing ones, and admits no further calls.
  void CancelAll()
  {
    std::unordered_set<std::shared_ptr<OpenCall>> incoming;
    {
      const absl::MutexLock lock(&mMutex);
      mStopping = true;
      incoming.swap(mIncoming);
      for (grpc::ClientContext* const context : mOutgoing) {
        context->TryCancel();
      }
    }
    for (const auto& call : incoming) {
      call->Finish({ grpc::StatusCode::UNAVAILABLE, "the host stops" });
    }
  }

  // Blocks until all outgoing calls have ended.
  void AwaitOutgoing()
  {
    const absl::MutexLock lock(&mMutex);
    mMutex.Await(absl::Condition(
      +[](CallTable* aTable) { return aTable->mOutgoing.empty(); }, this));
  }

private:
  absl::Mutex mMutex;
  bool mStopping = false;
  std::unordered_set<std::shared_ptr<OpenCall>> mIncoming;
  std::unordered_set<grpc::ClientContext*> mOutgoing;
};

struct TrafficCounters
{
  std::atomic<std::uint64_t> mMessagesSent{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mMessagesReceived{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };

  void Sent(std::size_t aBytes)
  {
    mMessagesSent.fetch_add(1, std::memory_order_relaxed);
    mBytesSent.fetch_add(aBytes, std::memory_order_relaxed);
  }
  void Received(std::size_t aBytes)
  {
    mMessagesReceived.fetch_add(1, std::memory_order_relaxed);
    mBytesReceived.fetch_add(aBytes, std::memory_order_relaxed);
  }
};

// Receives calls on gRPC's threads and passes them to the loop.
class PeerServer final : public rpc::Peer::CallbackService
{
public:
  PeerServer(Loop& aLoop, PeerHandlers aHandlers, CallTable& aCalls, TrafficCounters& aTraffic)
    : mLoop(aLoop)
    , mHandlers(std::move(aHandlers))
    , mCalls(aCalls)
    , mTraffic(aTraffic)
  {
  }

  grpc::ServerUnaryReactor* Gossip(grpc::CallbackServerContext* aContext,
                                   const rpc::GossipMessage* aRequest,
                                   rpc::GossipReply* aReply) override
  {
    return Handle(
      aContext, *aRequest, *aReply, [this, aRequest] { return mHandlers.mGossip(*aRequest); });
  }

  grpc::ServerUnaryReactor* Pull(grpc::CallbackServerContext* aContext,
                                 const rpc::PullRequest* aRequest,
                                 rpc::PullReply* aReply) override
  {
    return Handle(aContext, *aRequest, *aReply, [this, aRequest, aReply] {
      return mHandlers.mPull(*aRequest, *aReply);
    });
  }

  grpc::ServerUnaryReactor* Ping(grpc::CallbackServerContext* aContext,
                                 const rpc::PingMessage* aRequest,
                                 rpc::PingMessage* aReply) override
  {
    return Handle(aContext, *aRequest, *aReply, [this, aRequest, aReply] {
      return mHandlers.mPing(*aRequest, *aReply);
    });
  }

  grpc::ServerUnaryReactor* Witness(grpc::CallbackServerContext* aContext,
                                    const rpc::WitnessRequest* aRequest,
                                    rpc::WitnessReply* aReply) override
  {
    return Handle(aContext, *aRequest, *aReply, [this, aRequest, aReply]() -> Expected<void> {
      return mHandlers.mWitness(*aRequest, *aReply);
    });
  }

  grpc::ServerUnaryReactor* Suspect(grpc::CallbackServerContext* aContext,
                                    const rpc::SuspectRequest* aRequest,
                                    rpc::SuspectReply* aReply) override
  {
    return Handle(
      aContext, *aRequest, *aReply, [this, aRequest] { return mHandlers.mSuspect(*aRequest); });
  }

  grpc::ServerUnaryReactor* PingThrough(grpc::CallbackServerContext* aContext,
                                        const rpc::IndirectPing* aRequest,
                                        rpc::IndirectPingReply* aReply) override
  {
    mTraffic.Received(aRequest->ByteSizeLong());
    grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
    const auto call = mCalls.Open(reactor);
    Post(call, [this, call, aRequest, aReply] {
      const auto accepted =
        mHandlers.mPingThrough(*aRequest, [this, call, aReply](std::uint64_t aIncarnation) {
          // If the service was destroyed, the call has been refused and the reply no longer exists.
          if (!call->mFinished) {
            aReply->set_incarnation(aIncarnation);
            mTraffic.Sent(aReply->ByteSizeLong());
            mCalls.Close(call, grpc::Status::OK);
          }
        });
      if (!accepted) {
        mCalls.Close(call, ToStatus(accepted));
      }
    });
    return reactor;
  }

private:
  void Post(const std::shared_ptr<OpenCall>& aCall, Loop::Task aTask)
  {
    if (aCall != nullptr && !mLoop.Post(std::move(aTask))) {
      LogEvent(Event::PeerMessageDropped, { { "reason", "the mailbox is full" } });
      mCalls.Close(aCall, { grpc::StatusCode::RESOURCE_EXHAUSTED, "the mailbox is full" });
    }
  }

  template<typename Request, typename Reply>
  grpc::ServerUnaryReactor* Handle(grpc::CallbackServerContext* aContext,
                                   const Request& aRequest,
                                   Reply& aReply,
                                   std::function<Expected<void>()> aHandler)
  {
    mTraffic.Received(aRequest.ByteSizeLong());
    grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
    const auto call = mCalls.Open(reactor);
    Post(call, [this, call, &aReply, handler = std::move(aHandler)] {
      if (call->mFinished) {
        return;
      }
      const Expected<void> result = handler();
      mTraffic.Sent(aReply.ByteSizeLong());
      mCalls.Close(call, ToStatus(result));
    });
    return reactor;
  }

  Loop& mLoop;
  PeerHandlers mHandlers;
  CallTable& mCalls;
  TrafficCounters& mTraffic;
};

template<typename Request, typename Reply>
struct ClientCall
{
  grpc::ClientContext mContext;
  Request mRequest;
  Reply mReply;
  PeerCallback<Reply> mCallback;
};

struct PeerChannel
{
  SocketAddress mAddress;
  std::shared_ptr<rpc::Peer::Stub> mStub;
};

std::shared_ptr<rpc::Peer::Stub>
Connect(const SocketAddress& aAddress,
        const std::shared_ptr<grpc::ChannelCredentials>& aCredentials)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  return rpc::Peer::NewStub(
    grpc::CreateCustomChannel(FormatSocketAddress(aAddress), aCredentials, arguments));
}

} // namespace

struct PeerService::State
{
  std::shared_ptr<grpc::ServerCredentials> mServerCredentials;
  std::shared_ptr<grpc::ChannelCredentials> mClientCredentials;
  Loop& mLoop;
  CallTable mCalls;
  TrafficCounters mTraffic;
  PeerServer mService;
  std::unique_ptr<grpc::Server> mServer;
  std::map<std::string, PeerChannel> mChannels;

  State(Loop& aLoop, PeerHandlers aHandlers)
    : mLoop(aLoop)
    , mService(aLoop, std::move(aHandlers), mCalls, mTraffic)
  {
  }

  template<typename Request, typename Reply, typename Start>
  void Call(const std::string& aPeer,
            Request aRequest,
            PeerCallback<Reply> aCallback,
            const Start& aStart)
  {
    const auto channel = mChannels.find(aPeer);
    auto call = std::make_shared<ClientCall<Request, Reply>>();
    call->mRequest = std::move(aRequest);
    call->mCallback = std::move(aCallback);
    if (channel == mChannels.end() || !mCalls.OpenOutgoing(&call->mContext)) {
      mLoop.Post([call] {
        call->mCallback(Fail(Result::Internal, "the peer is unknown or too many calls are open"));
      });
      return;
    }
    mTraffic.Sent(call->mRequest.ByteSizeLong());
    call->mContext.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    aStart(*channel->second.mStub, *call, [this, call](const grpc::Status& aStatus) {
      mTraffic.Received(aStatus.ok() ? call->mReply.ByteSizeLong() : 0);
      const bool posted = mLoop.Post([call, aStatus] {
        call->mCallback(aStatus.ok() ? Expected<Reply>(std::move(call->mReply))
                                     : Fail(Result::Internal, aStatus.error_message()));
      });
      if (!posted) {
        LogEvent(Event::PeerMessageDropped, { { "reason", "the mailbox is full" } });
      }
      mCalls.CloseOutgoing(&call->mContext);
    });
  }
};

PeerService::PeerService(Loop& aLoop, const RpcSecurity& aSecurity, PeerHandlers aHandlers)
  : mState(std::make_unique<State>(aLoop, std::move(aHandlers)))
{
  KeepCallbackQueueAlive();
  mState->mServerCredentials = MakeServerCredentials(aSecurity);
  mState->mClientCredentials = MakeChannelCredentials(aSecurity);
}

PeerService::~PeerService()
{
  mState->mCalls.CancelAll();
  if (mState->mServer != nullptr) {
    mState->mServer->Shutdown(std::chrono::system_clock::now());
    mState->mServer->Wait();
  }
  mState->mCalls.AwaitOutgoing();
}

Expected<void>
PeerService::Start(const SocketAddress& aAddress, const std::vector<grpc::Service*>& aServices)
{
  grpc::ServerBuilder builder;
  grpc::ResourceQuota quota("peer");
  quota.SetMaxThreads(kMaxGrpcThreads);
  builder.SetResourceQuota(quota);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  int port = 0;
  builder.AddListeningPort(FormatSocketAddress(aAddress), mState->mServerCredentials, &port);
  builder.RegisterService(&mState->mService);
  for (grpc::Service* const service : aServices) {
    builder.RegisterService(service);
  }
  mState->mServer = builder.BuildAndStart();
  if (mState->mServer == nullptr || port == 0) {
    return Fail(Result::Internal, "cannot listen on " + FormatSocketAddress(aAddress));
  }
  return {};
}

void
PeerService::SetPeers(const std::vector<PeerInfo>& aPeers)
{
  std::map<std::string, PeerChannel> channels;
  for (const PeerInfo& peer : aPeers) {
    const auto known = mState->mChannels.find(peer.mHost);
    const bool same =
      known != mState->mChannels.end() && known->second.mAddress == peer.mPeerAddress;
    channels[peer.mHost] = { peer.mPeerAddress,
                             same ? known->second.mStub
                                  : Connect(peer.mPeerAddress, mState->mClientCredentials) };
  }
  mState->mChannels = std::move(channels);
}

void
PeerService::Gossip(const std::string& aPeer, rpc::GossipMessage aMessage)
{
  mState->Call<rpc::GossipMessage, rpc::GossipReply>(
    aPeer,
    std::move(aMessage),
    [](const Expected<rpc::GossipReply>&) {},
    [](rpc::Peer::Stub& aStub, auto& aCall, auto aDone) {
      aStub.async()->Gossip(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    });
}

void
PeerService::Pull(const std::string& aPeer,
                  rpc::PullRequest aRequest,
                  PeerCallback<rpc::PullReply> aCallback)
{
  mState->Call<rpc::PullRequest, rpc::PullReply>(
    aPeer,
    std::move(aRequest),
    std::move(aCallback),
    [](rpc::Peer::Stub& aStub, auto& aCall, auto aDone) {
      aStub.async()->Pull(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    });
}

void
PeerService::Ping(const std::string& aPeer,
                  rpc::PingMessage aMessage,
                  PeerCallback<rpc::PingMessage> aCallback)
{
  mState->Call<rpc::PingMessage, rpc::PingMessage>(
    aPeer,
    std::move(aMessage),
    std::move(aCallback),
    [](rpc::Peer::Stub& aStub, auto& aCall, auto aDone) {
      aStub.async()->Ping(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    });
}

void
PeerService::PingThrough(const std::string& aPeer,
                         rpc::IndirectPing aRequest,
                         PeerCallback<rpc::IndirectPingReply> aCallback)
{
  mState->Call<rpc::IndirectPing, rpc::IndirectPingReply>(
    aPeer,
    std::move(aRequest),
    std::move(aCallback),
    [](rpc::Peer::Stub& aStub, auto& aCall, auto aDone) {
      aStub.async()->PingThrough(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    });
}

void
PeerService::Witness(const std::string& aPeer,
                     rpc::WitnessRequest aRequest,
                     PeerCallback<rpc::WitnessReply> aCallback)
{
  mState->Call<rpc::WitnessRequest, rpc::WitnessReply>(
    aPeer,
    std::move(aRequest),
    std::move(aCallback),
    [](rpc::Peer::Stub& aStub, auto& aCall, auto aDone) {
      aStub.async()->Witness(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    });
}

void
PeerService::Suspect(const std::string& aPeer, rpc::SuspectRequest aRequest)
{
  mState->Call<rpc::SuspectRequest, rpc::SuspectReply>(
    aPeer,
    std::move(aRequest),
    [](const Expected<rpc::SuspectReply>&) {},
    [](rpc::Peer::Stub& aStub, auto& aCall, auto aDone) {
      aStub.async()->Suspect(&aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    });
}

PeerTraffic
PeerService::Traffic() const
{
  const TrafficCounters& traffic = mState->mTraffic;
  return {
    traffic.mMessagesSent, traffic.mBytesSent, traffic.mMessagesReceived, traffic.mBytesReceived
  };
}

} // namespace apricotyard
