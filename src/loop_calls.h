// Hands calls of a gRPC callback service over to an event loop, which finishes them.
#ifndef APRICOTYARD_LOOP_CALLS_H
#define APRICOTYARD_LOOP_CALLS_H

#include "loop.h"

#include <set>
#include <utility>

#include <grpcpp/grpcpp.h>

namespace apricotyard {

// A gRPC call to be finished on the loop's thread.
template<typename Reply>
struct OpenCall
{
  grpc::ServerUnaryReactor* mReactor = nullptr;
  // Valid until the call is finished.
  Reply* mReply = nullptr;
};

class LoopCalls
{
public:
  // Precondition: aLoop outlives this object.
  explicit LoopCalls(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  // Runs aWork(OpenCall) on the loop's thread and returns the call's reactor. Fails the call with
  // RESOURCE_EXHAUSTED if the loop's queue is full. Thread-safe.
  template<typename Reply, typename Work>
  grpc::ServerUnaryReactor* PostToLoop(grpc::CallbackServerContext* aContext,
                                       Reply* aReply,
                                       Work aWork)
  {
    grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
    const bool posted = mLoop.Post([this, reactor, aReply, work = std::move(aWork)] {
      mOpen.insert(reactor);
      work(OpenCall<Reply>{ reactor, aReply });
    });
    if (!posted) {
      reactor->Finish({ grpc::StatusCode::RESOURCE_EXHAUSTED, "too many messages are waiting" });
    }
    return reactor;
  }

  // Finishes a call. No effect on a call that was abandoned. Call on the loop's thread.
  template<typename Reply>
  void Finish(const OpenCall<Reply>& aCall, const Reply& aReply, const grpc::Status& aStatus)
  {
    if (mOpen.erase(aCall.mReactor) != 0) {
      *aCall.mReply = aReply;
      aCall.mReactor->Finish(aStatus);
    }
  }

  // Fails all open calls with UNAVAILABLE. For shutdown. Call on the loop's thread.
  void Abandon()
  {
    for (grpc::ServerUnaryReactor* const reactor : std::exchange(mOpen, {})) {
      reactor->Finish({ grpc::StatusCode::UNAVAILABLE, "the process is stopping" });
    }
  }

private:
  Loop& mLoop;
  std::set<grpc::ServerUnaryReactor*> mOpen;
};

} // namespace apricotyard

#endif
