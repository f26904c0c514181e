#include "control_server.h"

#include "admin.h"
#include "cmdline.h"
#include "control.grpc.pb.h"
#include "control_core.h"
#include "log.h"
#include "loop_calls.h"
#include "raft_node.h"
#include "suspension.h"

#include <thread>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

// Limit for requests from entry hosts. Requests are small; only replies contain documents.
constexpr int kMaxRequestBytes = 64 * 1024;
constexpr std::chrono::milliseconds kShutdownGrace{ 500 };

Expected<std::unique_ptr<ReplicatedLog>>
StartLog(Loop& aLoop, const ControlSettings& aSettings, StateMachine aMachine)
{
  auto node = RaftNode::Builder(aLoop)
                .Name(aSettings.mHost)
                .Folder(aSettings.mDataFolder)
                .Address(aSettings.mPeerAddress)
                .InitialMembers(aSettings.mInitialMembers)
                .Machine(std::move(aMachine))
                .ChartFile(aSettings.mCharts + "/control_member.toml")
                .Credentials(MakeServerCredentials(aSettings.mSecurity),
                             MakeChannelCredentials(aSettings.mSecurity))
                .Start();
  if (!node) {
    return tl::unexpected(node.error());
  }
  return *std::move(node);
}

// Forwards each call to the event loop, which answers it.
class ControlService final : public rpc::Control::CallbackService
{
public:
  ControlService(Loop& aLoop, ControlCore& aCore)
    : mCalls(aLoop)
    , mCore(aCore)
  {
  }

  // Ends all open calls with an error. Needed at shutdown, because a call that waits for the
  // replicated log may never be answered. Must be called on the loop's thread.
  void AbandonCalls() { mCalls.Abandon(); }

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* aContext,
                                 const rpc::SyncRequest* aRequest,
                                 rpc::SyncReply* aReply) override
  {
    return mCalls.PostToLoop(
      aContext, aReply, [this, aRequest](const OpenCall<rpc::SyncReply>& aCall) {
        auto reply = mCore.Sync(*aRequest, SteadyNow());
        if (reply) {
          mCalls.Finish(aCall, *reply, grpc::Status::OK);
        } else {
          mCalls.Finish(aCall, {}, { grpc::StatusCode::INVALID_ARGUMENT, reply.error().mMessage });
        }
      });
  }

  grpc::ServerUnaryReactor* MakeClaim(grpc::CallbackServerContext* aContext,
                                      const rpc::Claim* aRequest,
                                      rpc::ClaimReply* aReply) override
  {
    return mCalls.PostToLoop(
      aContext, aReply, [this, aRequest](const OpenCall<rpc::ClaimReply>& aCall) {
        mCore.Claim(*aRequest, MakeReplyHandler(aCall));
      });
  }

  grpc::ServerUnaryReactor* RecordOutcome(grpc::CallbackServerContext* aContext,
                                          const rpc::ClaimOutcome* aRequest,
                                          rpc::ClaimReply* aReply) override
  {
    return mCalls.PostToLoop(
      aContext, aReply, [this, aRequest](const OpenCall<rpc::ClaimReply>& aCall) {
        mCore.RecordOutcome(*aRequest, MakeReplyHandler(aCall));
      });
  }

  grpc::ServerUnaryReactor* ReportQuarantine(grpc::CallbackServerContext* aContext,
                                             const rpc::Quarantine* aRequest,
                                             rpc::ClaimReply* aReply) override
  {
    return mCalls.PostToLoop(
      aContext, aReply, [this, aRequest](const OpenCall<rpc::ClaimReply>& aCall) {
        mCore.Quarantine(*aRequest, MakeReplyHandler(aCall));
      });
  }

private:
  ControlCore::ClaimHandler MakeReplyHandler(const OpenCall<rpc::ClaimReply>& aCall)
  {
    return [this, aCall](const rpc::ClaimReply& aReply) {
      mCalls.Finish(aCall, aReply, grpc::Status::OK);
    };
  }

  LoopCalls mCalls;
  ControlCore& mCore;
};

} // namespace

// Each entry of initial_members has the form "NAME IP:PORT".
void
ReadInitialMembers(SettingsReader& aReader, ControlSettings& aSettings)
{
  std::vector<std::string> lines;
  aReader.TextList("initial_members", Presence::Required, lines);
  bool listsSelf = lines.empty();
  for (const std::string& line : lines) {
    const std::size_t space = line.find(' ');
    const auto address =
      ParseSocketAddress(space == std::string::npos ? "" : line.substr(space + 1));
    if (!address) {
      aReader.Problem("initial_members", fmt::format("'{}' is not of the form NAME IP:PORT", line));
      continue;
    }
    const std::string name = line.substr(0, space);
    listsSelf = listsSelf || (name == aSettings.mHost && *address == aSettings.mPeerAddress);
    aSettings.mInitialMembers.push_back({ name, *address, MemberRole::Voter });
  }
  if (!listsSelf) {
    aReader.Problem("initial_members",
                    "must list this host with its peer_address, or nobody for a host that joins");
  }
}

void
ReadControlSettings(SettingsReader& aReader, ControlSettings& aSettings)
{
  aReader.Text("host", Presence::Required, 1, 64, aSettings.mHost);
  aReader.Text("data_folder", Presence::Required, 1, 4096, aSettings.mDataFolder);
  aReader.Address("admin_address", Presence::Required, aSettings.mAdminAddress);
  aReader.Address("rpc_address", Presence::Required, aSettings.mRpcAddress);
  aReader.Address("peer_address", Presence::Required, aSettings.mPeerAddress);
  ReadInitialMembers(aReader, aSettings);
  aReader.Text("charts", Presence::Optional, 1, 4096, aSettings.mCharts);
  ReadRpcSecurity(aReader, aSettings.mSecurity);
  ReadLogSettings(aReader, aSettings.mLogLevel);
}

int
RunControl(const ControlSettings& aSettings)
{
  BlockStopSignals();
  Loop loop;
  rpc::ControlHost self;
  self.set_id(aSettings.mHost);
  self.set_admin_address(FormatSocketAddress(aSettings.mAdminAddress));
  self.set_rpc_address(FormatSocketAddress(aSettings.mRpcAddress));
  ControlCore core(loop, self);
  ControlService service(loop, core);
  std::unique_ptr<grpc::Server> rpcServer;
  std::thread shutdownThread;
  HandleStopSignals(loop, [&] {
    // The loop must keep running until every open call has been answered. Shutdown() waits for
    // these calls, so it runs on a thread of its own.
    if (!shutdownThread.joinable()) {
      loop.AddPeriodic(kShutdownGrace, [&] { service.AbandonCalls(); });
      shutdownThread = std::thread([&] {
        rpcServer->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
        loop.Stop();
      });
    }
  });
  StartLogger("apricot-control", aSettings.mLogLevel);
  std::string startError;
  auto log = StartLog(loop, aSettings, core.MakeStateMachine());
  if (!log) {
    startError = log.error().mMessage;
  } else {
    core.Start(*std::move(log));
  }
  auto server = HttpServer::Builder(loop, aSettings.mAdminAddress)
                  .MaxBody(kMaxAdminBodyBytes)
                  .OnRequest([&core](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                    HandleAdminRequest(core, aRequest, aRespond);
                  })
                  .Start();
  if (!server) {
    startError = server.error().mMessage;
  }
  grpc::ServerBuilder builder;
  int port = 0;
  builder.SetMaxReceiveMessageSize(kMaxRequestBytes);
  builder.AddListeningPort(
    FormatSocketAddress(aSettings.mRpcAddress), MakeServerCredentials(aSettings.mSecurity), &port);
  builder.RegisterService(&service);
  if (startError.empty()) {
    rpcServer = builder.BuildAndStart();
    if (rpcServer == nullptr || port == 0) {
      startError = "cannot listen on " + FormatSocketAddress(aSettings.mRpcAddress);
    }
  }
  if (startError.empty()) {
    ReportSuspensions(loop);
    LogEvent(Event::ProcessStarted,
             { { "host", aSettings.mHost }, { "revision", NewestRevision(core.State()) } });
    loop.Run();
    shutdownThread.join();
    LogEvent(Event::ProcessStopped, { { "host", aSettings.mHost } });
  } else {
    LogEvent(Event::StartFailed, { { "reason", startError } });
  }
  StopLogger();
  return startError.empty() ? kExitOk : kExitFailure;
}

} // namespace apricotyard
