#include "chart.h"

#include "cmdline.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <toml++/toml.h>

namespace apricotyard {

namespace {

constexpr std::size_t kMaxChartBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxNames = 64;

// Marks a table cell that the file does not define. Replaced or reported before parsing ends.
constexpr ChartState kUndefined = 0xfe;

struct ChartParser
{
  std::string mFile;
  Chart mChart;
  std::vector<std::string> mProblems;

  void AddProblem(const toml::source_region& aWhere, const std::string& aMessage)
  {
    mProblems.push_back(fmt::format("{}:{}: {}", mFile, aWhere.begin.line, aMessage));
  }

  std::vector<std::string> ReadNames(const toml::table& aTable, std::string_view aKey)
  {
    std::vector<std::string> names;
    const toml::array* const array = aTable[aKey].as_array();
    if (array == nullptr) {
      AddProblem(aTable.source(), fmt::format("'{}' must be a list of names", aKey));
      return names;
    }
    for (const toml::node& node : *array) {
      const auto name = node.value_exact<std::string>();
      if (!name || name->empty()) {
        AddProblem(node.source(), fmt::format("'{}' must be a list of names", aKey));
      } else if (std::find(names.begin(), names.end(), *name) != names.end()) {
        AddProblem(node.source(), fmt::format("'{}' is listed twice in '{}'", *name, aKey));
      } else {
        names.push_back(*name);
      }
    }
    if (names.size() > kMaxNames) {
      AddProblem(array->source(), fmt::format("'{}' has more than {} names", aKey, kMaxNames));
      names.resize(kMaxNames);
    }
    return names;
  }

  ChartState& Cell(ChartState aState, ChartEvent aEvent)
  {
    return mChart.mTable[aState * mChart.mEvents.size() + aEvent];
  }

  void SetTransition(ChartState aState,
                     std::string_view aEventName,
                     ChartState aTarget,
                     const toml::source_region& aWhere)
  {
    const auto event = FindEvent(mChart, aEventName);
    if (!event) {
      AddProblem(aWhere, fmt::format("unknown event '{}'", aEventName));
      return;
    }
    ChartState& cell = Cell(aState, *event);
    if (cell != kUndefined) {
      AddProblem(
        aWhere,
        fmt::format("event '{}' is given twice in state '{}'", aEventName, mChart.mStates[aState]));
      return;
    }
    cell = aTarget;
  }

  void SetTransitions(ChartState aState, const toml::node& aList, ChartState aTarget)
  {
    const toml::array* const array = aList.as_array();
    if (array == nullptr) {
      AddProblem(aList.source(), "'ignore' and 'forbid' must be lists of events");
      return;
    }
    for (const toml::node& node : *array) {
      SetTransition(aState, node.value_exact<std::string>().value_or(""), aTarget, node.source());
    }
  }

  void ParseStateTable(ChartState aState, const toml::table& aTable)
  {
    for (const auto& [key, node] : aTable) {
      if (key.str() == "ignore") {
        SetTransitions(aState, node, aState);
      } else if (key.str() == "forbid") {
        SetTransitions(aState, node, kNoTransition);
      } else {
        const std::string target = node.value_exact<std::string>().value_or("");
        const auto number = FindState(mChart, target);
        if (!number) {
          AddProblem(node.source(), fmt::format("unknown state '{}'", target));
        }
        SetTransition(aState, key.str(), number.value_or(aState), key.source());
      }
    }
  }

  void ParseStates(const toml::table& aDocument)
  {
    const toml::table* const states = aDocument["state"].as_table();
    if (states == nullptr) {
      AddProblem(aDocument.source(), "the chart has no [state.NAME] tables");
      return;
    }
    for (const auto& [key, node] : *states) {
      const auto number = FindState(mChart, key.str());
      const toml::table* const table = node.as_table();
      if (!number) {
        AddProblem(key.source(), fmt::format("unknown state '{}'", key.str()));
      } else if (table == nullptr) {
        AddProblem(key.source(), fmt::format("state '{}' must be a table", key.str()));
      } else {
        ParseStateTable(*number, *table);
        CheckComplete(*number, key.source());
      }
    }
  }

  void CheckComplete(ChartState aState, const toml::source_region& aWhere)
  {
    for (ChartEvent event = 0; event < mChart.mEvents.size(); ++event) {
      if (Cell(aState, event) == kUndefined) {
        AddProblem(aWhere,
                   fmt::format("state '{}' has no transition for event '{}'",
                               mChart.mStates[aState],
                               mChart.mEvents[event]));
      }
    }
  }

  // A final state without a table forbids every event. Any other state must have a table.
  void CompleteStatesWithoutTable(const toml::table& aDocument)
  {
    for (ChartState state = 0; state < mChart.mStates.size(); ++state) {
      const bool hasTable =
        aDocument["state"].is_table() && aDocument["state"][mChart.mStates[state]].is_table();
      for (ChartEvent event = 0; event < mChart.mEvents.size(); ++event) {
        ChartState& cell = Cell(state, event);
        if (cell == kUndefined && mChart.mFinal[state]) {
          cell = kNoTransition;
        }
      }
      if (!hasTable && !mChart.mFinal[state]) {
        AddProblem(aDocument.source(),
                   fmt::format("state '{}' is not final and has no table", mChart.mStates[state]));
      }
    }
  }

  void CheckReachable(const toml::table& aDocument)
  {
    std::vector<bool> reached(mChart.mStates.size(), false);
    std::vector<ChartState> pending{ mChart.mInitial };
    while (!pending.empty()) {
      const ChartState state = pending.back();
      pending.pop_back();
      if (reached[state]) {
        continue;
      }
      reached[state] = true;
      for (ChartEvent event = 0; event < mChart.mEvents.size(); ++event) {
        const ChartState target = Cell(state, event);
        if (target < mChart.mStates.size()) {
          pending.push_back(target);
        }
      }
    }
    for (ChartState state = 0; state < mChart.mStates.size(); ++state) {
      if (!reached[state]) {
        const toml::node* const node = aDocument["state"][mChart.mStates[state]].node();
        AddProblem(node != nullptr ? node->source() : aDocument.source(),
                   fmt::format("state '{}' cannot be reached", mChart.mStates[state]));
      }
    }
  }

  void Parse(const toml::table& aDocument)
  {
    mChart.mName = aDocument["name"].value_exact<std::string>().value_or("");
    mChart.mStates = ReadNames(aDocument, "states");
    mChart.mEvents = ReadNames(aDocument, "events");
    mChart.mFinal.assign(mChart.mStates.size(), false);
    mChart.mTable.assign(mChart.mStates.size() * mChart.mEvents.size(), kUndefined);
    for (const std::string& name : ReadNames(aDocument, "final")) {
      const auto state = FindState(mChart, name);
      if (state) {
        mChart.mFinal[*state] = true;
      } else {
        AddProblem(aDocument["final"].node()->source(), fmt::format("unknown state '{}'", name));
      }
    }
    const std::string initial = aDocument["initial"].value_exact<std::string>().value_or("");
    const auto state = FindState(mChart, initial);
    if (!state) {
      AddProblem(aDocument.source(), fmt::format("unknown initial state '{}'", initial));
      return;
    }
    mChart.mInitial = *state;
    ParseStates(aDocument);
    CompleteStatesWithoutTable(aDocument);
    CheckReachable(aDocument);
  }
};

} // namespace

Expected<Chart>
ParseChart(const std::string& aFile, std::string_view aText)
{
  ChartParser parser;
  parser.mFile = aFile;
  try {
    parser.Parse(toml::parse(aText, aFile));
  } catch (const toml::parse_error& error) {
    parser.AddProblem(error.source(), fmt::format("syntax error: {}", error.description()));
  }
  if (!parser.mProblems.empty()) {
    return Fail(Result::InvalidChart, fmt::format("{}", fmt::join(parser.mProblems, "\n")));
  }
  return std::move(parser.mChart);
}

Expected<Chart>
LoadChart(const std::string& aPath)
{
  const auto text = ReadFile(aPath, kMaxChartBytes);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ParseChart(aPath, *text);
}

std::optional<ChartState>
FindState(const Chart& aChart, std::string_view aName)
{
  const auto found = std::find(aChart.mStates.begin(), aChart.mStates.end(), aName);
  if (found == aChart.mStates.end()) {
    return std::nullopt;
  }
  return static_cast<ChartState>(found - aChart.mStates.begin());
}

std::optional<ChartEvent>
FindEvent(const Chart& aChart, std::string_view aName)
{
  const auto found = std::find(aChart.mEvents.begin(), aChart.mEvents.end(), aName);
  if (found == aChart.mEvents.end()) {
    return std::nullopt;
  }
  return static_cast<ChartEvent>(found - aChart.mEvents.begin());
}

Expected<void>
CheckChartNames(const Chart& aChart,
                const std::vector<std::string>& aStates,
                const std::vector<std::string>& aEvents)
{
  if (aChart.mStates != aStates) {
    return Fail(Result::InvalidChart,
                fmt::format("chart '{}' must list the states {} in this order",
                            aChart.mName,
                            fmt::join(aStates, ", ")));
  }
  if (aChart.mEvents != aEvents) {
    return Fail(Result::InvalidChart,
                fmt::format("chart '{}' must list the events {} in this order",
                            aChart.mName,
                            fmt::join(aEvents, ", ")));
  }
  return {};
}

} // namespace apricotyard
