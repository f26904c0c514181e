// apricotctl: the operator's command line.
#include "cmdline.h"
#include "config.h"
#include "http_client.h"
#include "tables.h"

#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

using namespace apricotyard;

namespace {

constexpr std::size_t kMaxDocument = std::size_t{ 1024 } * 1024;
constexpr Duration kCallTimeout = std::chrono::seconds(10);

// Makes one call to the administration API and waits for its reply.
ClientReply
Call(const SocketAddress& aAddress, std::string aMethod, std::string aPath, std::string aBody)
{
  Loop loop;
  HttpClient client(loop, "", 1);
  ClientRequest request;
  request.mMethod = std::move(aMethod);
  request.mAddress = aAddress;
  request.mPath = std::move(aPath);
  request.mBody = std::move(aBody);
  request.mTimeout = kCallTimeout;
  ClientReply result;
  client.Send(std::move(request), [&](ClientReply aReply) {
    result = std::move(aReply);
    loop.Stop();
  });
  loop.Run();
  return result;
}

int
ConfigValidate(const std::string& aFile)
{
  const auto text = ReadFile(aFile, kMaxDocument);
  if (!text) {
    fmt::print(stderr, "{}\n", text.error().mMessage);
    return kExitFailure;
  }
  const ConfigResult parsed = ParseConfig(aFile, *text);
  for (const SettingsProblem& problem : parsed.mProblems) {
    fmt::print(stderr, "{}\n", FormatProblem(problem));
  }
  if (!parsed.mProblems.empty()) {
    return kExitFailure;
  }
  fmt::print("{}: the configuration is valid\n", aFile);
  return kExitOk;
}

int
ConfigSubmit(const SocketAddress& aControl, const std::string& aFile)
{
  const auto text = ReadFile(aFile, kMaxDocument);
  if (!text) {
    fmt::print(stderr, "{}\n", text.error().mMessage);
    return kExitFailure;
  }
  const ClientReply reply = Call(aControl, "POST", "/v1/admin/config", *text);
  if (reply.mEnd != TransferEnd::Complete) {
    fmt::print(stderr,
               "no answer from {}: {}; the outcome is unknown\n",
               FormatSocketAddress(aControl),
               reply.mMessage);
    return kExitFailure;
  }
  fmt::print("{}\n", reply.mBody);
  return reply.mStatus == 200 ? kExitOk : kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  char* control = nullptr;
  int version = 0;
  const poptOption table[] = {
    { "control",
      'c',
      POPT_ARG_STRING,
      static_cast<void*>(&control),
      0,
      "administration address of a control host",
      "IP:PORT" },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, argc, const_cast<const char**>(argv), table, 0);
  poptSetOtherOptionHelp(context, "[OPTION...] config validate FILE | config submit FILE");
  const int rc = poptGetNextOpt(context);
  std::vector<std::string> words;
  while (const char* const word = poptGetArg(context)) {
    words.emplace_back(word);
  }
  int exitCode = kExitUsage;
  const auto address = ParseSocketAddress(control != nullptr ? control : "");
  if (rc < -1) {
    fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(rc));
  } else if (version != 0) {
    fmt::print("{}\n", kVersion);
    exitCode = kExitOk;
  } else if (words.size() == 2 && words[0] == "docs" && words[1] == "results") {
    fmt::print("{}", ResultsPage());
    exitCode = kExitOk;
  } else if (words.size() == 2 && words[0] == "docs" && words[1] == "events") {
    fmt::print("{}", EventsPage());
    exitCode = kExitOk;
  } else if (words.size() == 3 && words[0] == "config" && words[1] == "validate") {
    exitCode = ConfigValidate(words[2]);
  } else if (words.size() == 3 && words[0] == "config" && words[1] == "submit" && address) {
    exitCode = ConfigSubmit(*address, words[2]);
  } else {
    fmt::print(stderr, "unknown command, or --control IP:PORT is missing; see --help\n");
  }
  poptFreeContext(context);
  free(control);
  return exitCode;
}
