// State charts: loaded from files, validated and compiled into a transition table.
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

// A compiled state chart. States and events are numbered in file order. Not modified after loading,
// so threads may share it.
struct Chart
{
  std::string mName;
  std::vector<std::string> mStates;
  std::vector<std::string> mEvents;
  ChartState mInitial = 0;
  // Indexed by state.
  std::vector<bool> mFinal;
  // The target state, indexed by state * number of events + event. kNoTransition if the state
  // forbids the event.
  std::vector<ChartState> mTable;
};

inline constexpr ChartState kNoTransition = 0xff;

// Parses and validates a chart. aFile is used only in messages. Fails with InvalidChart and one
// line per error, "file:line: text". Errors are, among others, an unknown state or event, an
// unreachable state, a state that is not final and has no table, and an event for which a state has
// no transition and no entry in its "ignore" or "forbid" list. Thread-safe.
Expected<Chart>
ParseChart(const std::string& aFile, std::string_view aText);

// Reads and parses the file. Fails as ReadFile or ParseChart does. Thread-safe.
Expected<Chart>
LoadChart(const std::string& aPath);

// Returns the number of a state or event, or std::nullopt if the chart does not list the name.
// Thread-safe.
std::optional<ChartState>
FindState(const Chart& aChart, std::string_view aName);
std::optional<ChartEvent>
FindEvent(const Chart& aChart, std::string_view aName);

// Returns the state after aEvent: aState itself if it ignores the event, kNoTransition if it
// forbids the event. Constant time. Precondition: both numbers are valid in this chart.
// Thread-safe.
inline ChartState
Step(const Chart& aChart, ChartState aState, ChartEvent aEvent)
{
  return aChart.mTable[aState * aChart.mEvents.size() + aEvent];
}

// Checks that the chart lists exactly the given states and events in this order, so that callers
// may use the values of their own enumerations as state and event numbers. Fails with InvalidChart.
// Thread-safe.
Expected<void>
CheckChartNames(const Chart& aChart,
                const std::vector<std::string>& aStates,
                const std::vector<std::string>& aEvents);

} // namespace apricotyard

#endif
