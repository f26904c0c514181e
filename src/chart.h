// State charts that are read from files, checked at load and compiled into a transition table.
#ifndef APRICOTYARD_CHART_H
#define APRICOTYARD_CHART_H

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

using ChartState = std::uint8_t;
using ChartEvent = std::uint8_t;

// A compiled chart. States and events are numbered in the order of the file. Immutable after load,
// so it may be shared by threads.
struct Chart
{
  std::string mName;
  std::vector<std::string> mStates;
  std::vector<std::string> mEvents;
  ChartState mInitial = 0;
  std::vector<bool> mFinal;
  // Target state by state * number of events + event; kNoTransition where the event is an error.
  std::vector<ChartState> mTable;
};

inline constexpr ChartState kNoTransition = 0xff;

// Parses and checks a chart. aFile only names the document in messages. Fails with InvalidChart
// and a message of one line per mistake, "file:line: text": an unknown state or event, a state that
// cannot be reached, a state that is not final and has no way out, and a pair of state and event
// with neither a transition nor an entry in the state's "ignore" or "forbid" list.
Expected<Chart>
ParseChart(const std::string& aFile, std::string_view aText);

// Reads the file and parses it.
Expected<Chart>
LoadChart(const std::string& aPath);

// The number of a state or event by its name.
std::optional<ChartState>
FindState(const Chart& aChart, std::string_view aName);
std::optional<ChartEvent>
FindEvent(const Chart& aChart, std::string_view aName);

// The state after aEvent; aState itself if the chart ignores the event there; kNoTransition if the
// chart forbids it. Constant time. Preconditions: both numbers come from this chart.
inline ChartState
Step(const Chart& aChart, ChartState aState, ChartEvent aEvent)
{
  return aChart.mTable[aState * aChart.mEvents.size() + aEvent];
}

// Checks that the chart lists exactly the given states and events, in this order, so that code may
// use its own enumerations as numbers. Fails with InvalidChart.
Expected<void>
CheckNames(const Chart& aChart,
           const std::vector<std::string>& aStates,
           const std::vector<std::string>& aEvents);

} // namespace apricotyard

#endif
