// apricot-control: the control host program. Stores the control state on disk and serves the
// administration API and the control service.
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
                          "Stores the durable control state and serves the administration API.",
                          options,
                          exitCode)) {
    return exitCode;
  }
  ControlSettings settings;
  const auto readSettings = [&settings](SettingsReader& aReader) {
    ReadControlSettings(aReader, settings);
  };
  if (!LoadSettings(options, readSettings, exitCode)) {
    return exitCode;
  }
  return RunControl(settings);
}
