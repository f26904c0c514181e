// The reference pages docs/results.md and docs/events.md, generated from results.def and
// events.def.
#ifndef APRICOTYARD_TABLES_H
#define APRICOTYARD_TABLES_H

#include <string>

namespace apricotyard {

// Return the pages as Markdown. apricotctl prints them, and a test compares them with the files in
// docs. Thread-safe.
std::string
ResultsPage();
std::string
EventsPage();

} // namespace apricotyard

#endif
