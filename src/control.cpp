// apricot-control: the process on a host with a disk.
#include "cmdline.h"
#include "control_server.h"

using namespace apricotyard;

int
main(int argc, char** argv)
{
  CommonOptions options;
  int exitCode = kExitOk;
  if (!ParseCommonOptions(argc,
                          argv,
                          "Keeps the durable state and serves the administration API.",
                          options,
                          exitCode)) {
    return exitCode;
  }
  ControlSettings settings;
  const auto read = [&settings](SettingsReader& aReader) {
    ReadControlSettings(aReader, settings);
  };
  if (!LoadSettings(options, read, exitCode)) {
    return exitCode;
  }
  return RunControl(settings);
}
