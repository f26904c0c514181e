#include "rpc_runtime.h"

#include "control.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

// Keeps a channel that is never released. Every call on it fails without opening a connection.
struct PermanentChannel
{
  std::shared_ptr<grpc::Channel> mChannel = grpc::CreateChannel("unused", nullptr);
  std::unique_ptr<rpc::Control::Stub> mStub = rpc::Control::NewStub(mChannel);
  grpc::ClientContext mContext;
  rpc::SyncRequest mRequest;
  rpc::SyncReply mReply;
};

} // namespace

void
KeepCallbackQueueAlive()
{
  static PermanentChannel* const sChannel = [] {
    auto* const channel = new PermanentChannel;
    // A channel starts to use the callback queue with its first asynchronous call.
    channel->mStub->async()->Sync(
      &channel->mContext, &channel->mRequest, &channel->mReply, [](const grpc::Status&) {});
    return channel;
  }();
  (void)sChannel;
}

} // namespace apricotyard
