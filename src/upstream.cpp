// apricot-upstream: simulated shard replica for tests and demonstrations.
#include "cmdline.h"
#include "standin.h"

using namespace apricotyard;

int
main(int argc, char** argv)
{
  CommonOptions options;
  int exitCode = kExitOk;
  if (!ParseCommonOptions(
        argc, argv, "Simulated shard replica with configurable faults.", options, exitCode)) {
    return exitCode;
  }
  StandinSettings settings;
  const auto read = [&settings](SettingsReader& aReader) {
    ReadStandinSettings(aReader, settings);
  };
  if (!LoadSettings(options, read, exitCode)) {
    return exitCode;
  }
  return RunStandin(settings);
}
