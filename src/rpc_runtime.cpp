#include "rpc_runtime.h"

#include "control.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

// A channel that fails every call without opening a connection, and never goes away.
struct Holder
{
  std::shared_ptr<grpc::Channel> mChannel = grpc::CreateChannel("unused", nullptr);
  std::unique_ptr<rpc::Control::Stub> mStub = rpc::Control::NewStub(mChannel);
  grpc::ClientContext mContext;
  rpc::SyncRequest mRequest;
  rpc::SyncReply mReply;
};

} // namespace

void
HoldCallbackQueue()
{
  static Holder* const sHolder = [] {
    auto* const holder = new Holder;
    // The first asynchronous call is what makes a channel use the queue.
    holder->mStub->async()->Sync(
      &holder->mContext, &holder->mRequest, &holder->mReply, [](const grpc::Status&) {});
    return holder;
  }();
  (void)sHolder;
}

} // namespace apricotyard
