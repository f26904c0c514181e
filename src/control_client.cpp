#include "control_client.h"

#include "control.grpc.pb.h"
#include "log.h"
#include "settings.h"

#include <thread>

#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

constexpr std::chrono::milliseconds kSyncInterval{ 500 };
constexpr std::chrono::milliseconds kSyncTimeout{ 1000 };

} // namespace

struct ControlClient::State
{
  Loop& mLoop;
  HostIdentity mIdentity;
  std::vector<std::unique_ptr<rpc::Control::Stub>> mStubs;
  std::function<void(ConfigUpdate)> mOnConfig;
  absl::Mutex mMutex;
  bool mStopping = false;
  std::thread mThread;
  std::size_t mCurrent = 0;
  Revision mRevision = 0;

  void SyncOnce();
  void Main();
};

void
ControlClient::State::SyncOnce()
{
  rpc::SyncRequest request;
  request.set_host(mIdentity.mHost);
  request.set_incarnation(mIdentity.mIncarnation);
  request.set_data_centre(mIdentity.mDataCentre);
  request.set_caller_address(FormatSocketAddress(mIdentity.mAddress));
  request.set_revision(mRevision);
  rpc::SyncReply reply;
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kSyncTimeout);
  const grpc::Status status = mStubs[mCurrent]->Sync(&context, request, &reply);
  if (!status.ok()) {
    LogEvent(Event::ControlUnreachable,
             { { "control", mCurrent }, { "message", status.error_message() } });
    mCurrent = (mCurrent + 1) % mStubs.size();
    return;
  }
  if (reply.revision() > mRevision) {
    mRevision = reply.revision();
    ConfigUpdate update{ reply.revision(), reply.document() };
    mLoop.Post([this, update = std::move(update)] { mOnConfig(update); });
  }
}

void
ControlClient::State::Main()
{
  for (;;) {
    SyncOnce();
    absl::MutexLock lock(&mMutex);
    if (mMutex.AwaitWithTimeout(absl::Condition(&mStopping), absl::FromChrono(kSyncInterval))) {
      return;
    }
  }
}

ControlClient::ControlClient(Loop& aLoop,
                             HostIdentity aIdentity,
                             const std::vector<SocketAddress>& aControl,
                             std::function<void(ConfigUpdate)> aOnConfig)
  : mState(new State{ aLoop, std::move(aIdentity), {}, std::move(aOnConfig) })
{
  for (const SocketAddress& address : aControl) {
    mState->mStubs.push_back(rpc::Control::NewStub(
      grpc::CreateChannel(FormatSocketAddress(address), grpc::InsecureChannelCredentials())));
  }
  mState->mThread = std::thread([state = mState.get()] { state->Main(); });
}

ControlClient::~ControlClient()
{
  {
    absl::MutexLock lock(&mState->mMutex);
    mState->mStopping = true;
  }
  mState->mThread.join();
}

} // namespace apricotyard
