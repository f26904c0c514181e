#include "tables.h"

#include "events.h"
#include "results.h"

#include <fmt/format.h>

namespace apricotyard {

namespace {

std::string_view
LogLevelName(LogLevel aLevel)
{
  constexpr std::string_view kNames[] = { "debug", "info", "warning", "error" };
  return kNames[static_cast<std::size_t>(aLevel)];
}

} // namespace

std::string
ResultsPage()
{
  std::string page =
    "# Result codes\n\n"
    "Written by `apricotctl docs results` from `src/results.def`. \"Not run\" is a "
    "promise that no upstream\nstarted the request.\n\n"
    "| code | name | HTTP | promise | meaning |\n"
    "| --- | --- | --- | --- | --- |\n";
  for (const ResultInfo& info : AllResults()) {
    page += fmt::format("| {} | `{}` | {} | {} | {} |\n",
                        info.mNumber,
                        info.mName,
                        info.mHttpStatus,
                        info.mMayHaveRun ? "may have run" : "not run",
                        info.mText);
  }
  return page;
}

std::string
EventsPage()
{
  std::string page = "# Log events\n\n"
                     "Written by `apricotctl docs events` from `src/events.def`.\n\n"
                     "| event | name | level | meaning |\n"
                     "| --- | --- | --- | --- |\n";
  for (const EventInfo& info : AllEvents()) {
    page += fmt::format(
      "| {} | `{}` | {} | {} |\n", info.mNumber, info.mName, LogLevelName(info.mLevel), info.mText);
  }
  return page;
}

} // namespace apricotyard
