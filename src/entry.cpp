// apricot-entry: the server process of an entry host.
#include "cmdline.h"
#include "entry_server.h"
#include "entry_settings.h"
#include "log.h"

#include <fmt/format.h>

using namespace apricotyard;

int
main(int argc, char** argv)
{
  CommonOptions options;
  int exitCode = kExitOk;
  if (!ParseCommonOptions(argc,
                          argv,
                          "Scatters the queries of callers to upstreams and merges the replies.",
                          options,
                          exitCode)) {
    return exitCode;
  }
  EntrySettings settings;
  const auto read = [&settings](SettingsReader& aReader) { ReadEntrySettings(aReader, settings); };
  if (!LoadSettings(options, read, exitCode)) {
    return exitCode;
  }
  return RunEntry(settings);
}
