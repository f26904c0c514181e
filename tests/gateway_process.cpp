#include "gateway_process.h"

#include "gateway.h"
#include "process_protocol.h"

#include <cstdlib>

namespace apricotyard {

int
RunGatewayProcess(int aCount, char** aArguments)
{
  enum Argument
  {
    Self = 2,
    RevocationLimit,
    FirstSeed,
  };
  if (aCount <= FirstSeed) {
    return EXIT_FAILURE;
  }
  GatewaySettings settings;
  const std::string ip = aArguments[Self];
  settings.mHost = ip;
  settings.mDataCentre = std::string("a");
  settings.mCallerAddress = { ip, kCallerPort };
  settings.mReadyAddress = { ip, kReadyPort };
  settings.mRpcPort = kRpcPort;
  settings.mExtraSends.mLimits = { 0.2, std::chrono::seconds(10), 50 };
  settings.mSecurity.mPlaintext = true;
  if (const auto limit = ParseDuration(aArguments[RevocationLimit]); limit && limit->count() > 0) {
    settings.mRevocationLimit = *limit;
  }
  for (int i = FirstSeed; i < aCount; ++i) {
    settings.mSeeds.push_back({ aArguments[i], kControlPort });
  }
  return RunGateway(settings, MakeProcessProtocol(), [] { return std::nullopt; });
}

std::vector<std::string>
GatewayArguments(const std::string& aIp,
                 const std::vector<std::string>& aSeeds,
                 std::optional<Duration> aRevocationLimit)
{
  std::vector<std::string> arguments;
  arguments.emplace_back(kRunGatewayArgument);
  arguments.push_back(aIp);
  arguments.push_back(FormatDuration(aRevocationLimit.value_or(Duration::zero())));
  arguments.insert(arguments.end(), aSeeds.begin(), aSeeds.end());
  return arguments;
}

} // namespace apricotyard
