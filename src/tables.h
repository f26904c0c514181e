// The tables of docs/results.md and docs/events.md, written from results.def and events.def.
#ifndef APRICOTYARD_TABLES_H
#define APRICOTYARD_TABLES_H

#include <string>

namespace apricotyard {

// Markdown pages; apricotctl prints them, and a test compares them with the files in docs. Pure.
std::string
ResultsPage();
std::string
EventsPage();

} // namespace apricotyard

#endif
