#include "control_server.h"

#include "cmdline.h"
#include "config.h"
#include "control.grpc.pb.h"
#include "http_server.h"
#include "log.h"
#include "loop.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace apricotyard {

namespace {

constexpr std::size_t kMaxDocument = std::size_t{ 1024 } * 1024;

struct HeldConfig
{
  Revision mRevision = 0;
  std::string mDocument;
};

// Writes aText to a new file, syncs it, renames it over aPath and syncs the folder.
Expected<void>
WriteDurably(const std::filesystem::path& aPath, const std::string& aText)
{
  const std::filesystem::path temporary = aPath.string() + ".new";
  const int fd = open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool good = fd >= 0;
  std::size_t done = 0;
  while (good && done < aText.size()) {
    const ssize_t written = write(fd, aText.data() + done, aText.size() - done);
    good = written > 0;
    done += good ? static_cast<std::size_t>(written) : 0;
  }
  good = good && fsync(fd) == 0;
  if (fd >= 0) {
    close(fd);
  }
  good = good && std::rename(temporary.c_str(), aPath.c_str()) == 0;
  const int folder = open(aPath.parent_path().c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  good = good && folder >= 0 && fsync(folder) == 0;
  if (folder >= 0) {
    close(folder);
  }
  if (!good) {
    return Fail(Result::Internal,
                fmt::format("cannot write {}: {}", aPath.string(), std::strerror(errno)));
  }
  return {};
}

// The configuration, shared between the administration thread and the control service.
class ConfigStore
{
public:
  explicit ConfigStore(const std::string& aFolder)
    : mPath(std::filesystem::path(aFolder) / "config")
  {
  }

  Expected<void> Load()
  {
    std::error_code error;
    std::filesystem::create_directories(mPath.parent_path(), error);
    if (!std::filesystem::exists(mPath)) {
      return {};
    }
    const auto text = ReadFile(mPath.string(), kMaxDocument + 64);
    if (!text) {
      return tl::unexpected(text.error());
    }
    const std::size_t newline = text->find('\n');
    absl::MutexLock lock(&mMutex);
    mHeld.mRevision = std::strtoull(text->c_str(), nullptr, 10);
    mHeld.mDocument = text->substr(newline + 1);
    return {};
  }

  HeldConfig Held() const
  {
    absl::MutexLock lock(&mMutex);
    return mHeld;
  }

  Expected<Revision> Accept(const std::string& aDocument)
  {
    absl::MutexLock lock(&mMutex);
    const Revision next = mHeld.mRevision + 1;
    if (auto written = WriteDurably(mPath, fmt::format("{}\n{}", next, aDocument)); !written) {
      return tl::unexpected(written.error());
    }
    mHeld = { next, aDocument };
    return next;
  }

private:
  std::filesystem::path mPath;
  mutable absl::Mutex mMutex;
  HeldConfig mHeld;
};

class ControlService final : public rpc::Control::Service
{
public:
  explicit ControlService(ConfigStore& aStore)
    : mStore(aStore)
  {
  }

  grpc::Status Sync(grpc::ServerContext* /*aContext*/,
                    const rpc::SyncRequest* aRequest,
                    rpc::SyncReply* aReply) override
  {
    const HeldConfig held = mStore.Held();
    aReply->set_revision(held.mRevision);
    if (held.mRevision > aRequest->revision()) {
      aReply->set_document(held.mDocument);
    }
    return grpc::Status::OK;
  }

private:
  ConfigStore& mStore;
};

void
HandleSubmit(ConfigStore& aStore, const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const ConfigResult parsed = ParseConfig("document", aRequest.mBody);
  if (!parsed.mProblems.empty()) {
    nlohmann::json problems = nlohmann::json::array();
    for (const SettingsProblem& problem : parsed.mProblems) {
      problems.push_back(
        { { "line", problem.mLine }, { "key", problem.mKey }, { "message", problem.mMessage } });
    }
    LogEvent(Event::ConfigurationRefused, { { "problems", parsed.mProblems.size() } });
    aRespond({ 400, nlohmann::json{ { "problems", problems } }.dump() });
    return;
  }
  const auto revision = aStore.Accept(aRequest.mBody);
  if (!revision) {
    aRespond(ErrorResponse(revision.error().mResult, revision.error().mMessage));
    return;
  }
  LogEvent(Event::ConfigurationAccepted, { { "revision", *revision } });
  aRespond({ 200, fmt::format(R"({{"revision":{}}})", *revision) });
}

void
HandleAdmin(ConfigStore& aStore, const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  if (aRequest.mPath != "/v1/admin/config") {
    aRespond(ErrorResponse(Result::NotFound, "no such path"));
  } else if (aRequest.mMethod == "POST") {
    HandleSubmit(aStore, aRequest, aRespond);
  } else if (aRequest.mMethod == "GET") {
    const HeldConfig held = aStore.Held();
    aRespond({ 200,
               fmt::format(R"({{"revision":{},"document":{}}})",
                           held.mRevision,
                           JsonQuote(held.mDocument)) });
  } else {
    aRespond(ErrorResponse(Result::MethodNotAllowed, "use GET or POST"));
  }
}

} // namespace

void
ReadControlSettings(SettingsReader& aReader, ControlSettings& aSettings)
{
  aReader.Text("host", Presence::Required, 1, 64, aSettings.mHost);
  aReader.Text("data_folder", Presence::Required, 1, 4096, aSettings.mDataFolder);
  aReader.Address("admin_address", Presence::Required, aSettings.mAdminAddress);
  aReader.Address("rpc_address", Presence::Required, aSettings.mRpcAddress);
  ReadLogSettings(aReader, aSettings.mLogLevel);
}

int
RunControl(const ControlSettings& aSettings)
{
  Loop loop;
  HandleStopSignals(loop, nullptr);
  StartLogger("apricot-control", aSettings.mLogLevel);
  ConfigStore store(aSettings.mDataFolder);
  std::string failure;
  if (const auto loaded = store.Load(); !loaded) {
    failure = loaded.error().mMessage;
  }
  auto server = HttpServer::Builder(loop, aSettings.mAdminAddress)
                  .MaxBody(kMaxDocument)
                  .OnRequest([&store](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                    HandleAdmin(store, aRequest, aRespond);
                  })
                  .Start();
  if (!server) {
    failure = server.error().mMessage;
  }
  ControlService service(store);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(
    FormatSocketAddress(aSettings.mRpcAddress), grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&service);
  const std::unique_ptr<grpc::Server> rpcServer = builder.BuildAndStart();
  if (rpcServer == nullptr || port == 0) {
    failure = "cannot listen on " + FormatSocketAddress(aSettings.mRpcAddress);
  }
  if (failure.empty()) {
    LogEvent(Event::ProcessStarted,
             { { "host", aSettings.mHost }, { "revision", store.Held().mRevision } });
    loop.Run();
    rpcServer->Shutdown();
    LogEvent(Event::ProcessStopped, { { "host", aSettings.mHost } });
  } else {
    LogEvent(Event::StartFailed, { { "reason", failure } });
  }
  StopLogger();
  return failure.empty() ? kExitOk : kExitFailure;
}

} // namespace apricotyard
