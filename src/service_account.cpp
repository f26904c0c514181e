#include "service_account.h"

#include "ctl_commands.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <numeric>
#include <optional>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

// HTTP statuses that the classification names.
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kGatewayTimeout = 504;

// Length of a time to the second, as in 2026-12-06T16:43:33.
constexpr std::size_t kSecondLength = 19;

// Values of TransferEnd (http_client.h) as AttemptFailed and PassOnFailed write them. Logs may come
// from another build, so they are compared as text.
constexpr std::string_view kTransferNotConnected = "1";
constexpr std::string_view kTransferNotSent = "2";
constexpr std::string_view kTransferLost = "3";
constexpr std::string_view kTransferTimedOut = "4";
// Values of AttemptEnd (relay_policy.h).
constexpr std::string_view kEndNotRun = "2";
constexpr std::string_view kEndMisplaced = "3";

constexpr std::string_view kUnknownValue = "-";

constexpr LossDimension kDimensions[] = { LossDimension::Cause,
                                          LossDimension::Route,
                                          LossDimension::DataCentre,
                                          LossDimension::Workspace,
                                          LossDimension::Second };

// What the log says about a request before its answer.
struct RequestTrace
{
  std::string mLastFailure;
  bool mQuarantined = false;
};

std::int64_t
Number(std::string_view aText)
{
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::int64_t
NumberField(const LogLine& aLine, std::string_view aKey)
{
  return Number(aLine.Field(aKey));
}

bool
IsTrue(const LogLine& aLine, std::string_view aKey)
{
  return aLine.Field(aKey) == "true";
}

std::string
AttemptFailure(const LogLine& aLine)
{
  const std::string_view transfer = aLine.Field("transfer");
  const std::string_view end = aLine.Field("end");
  if (IsTrue(aLine, "refused")) {
    return "the replica's host refused the connection";
  }
  if (transfer == kTransferNotConnected) {
    return "no connection to the replica";
  }
  if (transfer == kTransferNotSent || transfer == kTransferLost) {
    return IsTrue(aLine, "reused") ? "an open connection to the replica was lost"
                                   : "a new connection to the replica was lost";
  }
  if (transfer == kTransferTimedOut) {
    return "the replica did not answer in time";
  }
  if (end == kEndMisplaced) {
    return "another replica has the address";
  }
  if (end == kEndNotRun) {
    return "the replica shed the request";
  }
  return fmt::format("the replica answered {}", aLine.Field("status"));
}

std::string
RefusalCause(const LogLine& aLine, const RequestTrace& aTrace)
{
  if (aTrace.mQuarantined) {
    return "equal requests crash replicas";
  }
  switch (NumberField(aLine, "status")) {
    case kUnauthorized:
      return "the key is missing or unknown";
    case kForbidden:
      return "the caller may not use the route";
    case kNotFound:
      return "no route matches";
    case kTooManyRequests:
      return "the limit of the caller is reached";
    case kGatewayTimeout:
      return "no replica became free before the deadline";
    default:
      break;
  }
  if (NumberField(aLine, "version") == 0) {
    return "the gateway has no document";
  }
  if (IsTrue(aLine, "deadline_over")) {
    return "no replica became free before the deadline";
  }
  return "no replica could take it";
}

std::string
FailureCause(const LogLine& aLine, const RequestTrace& aTrace)
{
  if (aTrace.mQuarantined) {
    return "the request crashes replicas";
  }
  if (!aTrace.mLastFailure.empty()) {
    return aTrace.mLastFailure;
  }
  if (NumberField(aLine, "passed_on") > 0) {
    return "another gateway answered with an error";
  }
  return IsTrue(aLine, "deadline_over") ? "replicas were silent until the deadline"
                                        : "the log names no failed attempt";
}

std::string
PartialCause(const LogLine& aLine, const RequestTrace& aTrace)
{
  if (NumberField(aLine, "sends") < NumberField(aLine, "parts")) {
    return "no replica of a shard could be asked";
  }
  if (!aTrace.mLastFailure.empty()) {
    return aTrace.mLastFailure;
  }
  return "a shard was silent until the deadline";
}

std::string
LateCause(const LogLine& aLine, const RequestTrace& aTrace)
{
  if (!aTrace.mLastFailure.empty()) {
    return "sent again: " + aTrace.mLastFailure;
  }
  if (NumberField(aLine, "passed_on") > 0) {
    return "passed on to another gateway";
  }
  return NumberField(aLine, "sends") > NumberField(aLine, "parts") ? "slow in spite of a hedge"
                                                                   : "a slow replica or queue";
}

// Returns kind and cause of a RequestAnswered line, or nothing if no service was lost.
std::optional<std::pair<LossKind, std::string>>
ClassifyAnswer(const LogLine& aLine, const RequestTrace& aTrace)
{
  const std::int64_t status = NumberField(aLine, "status");
  const std::int64_t parts = NumberField(aLine, "parts");
  const std::int64_t passedOn = NumberField(aLine, "passed_on");
  const bool sent = NumberField(aLine, "sends") > 0 || passedOn > 0;
  const std::string reason(aLine.Field("reason"));
  const auto explained = [&reason](LossKind aKind, const std::string& aCause) {
    return std::pair(aKind, reason.empty() ? aCause : reason);
  };
  // A replica's own 4xx is an answer.
  if (!sent && status >= kBadRequest) {
    return explained(LossKind::Refused, RefusalCause(aLine, aTrace));
  }
  if (status >= kServerError) {
    return explained(LossKind::Failed, FailureCause(aLine, aTrace));
  }
  if (passedOn == 0 && NumberField(aLine, "answered") < parts) {
    return explained(LossKind::Partial, PartialCause(aLine, aTrace));
  }
  if (IsTrue(aLine, "objective_over")) {
    return explained(LossKind::Late, LateCause(aLine, aTrace));
  }
  return std::nullopt;
}

std::string
ValueOf(const Loss& aLoss, LossDimension aDimension)
{
  switch (aDimension) {
    case LossDimension::Cause:
      return fmt::format("{}: {}", LossKindName(aLoss.mKind), aLoss.mCause);
    case LossDimension::Route:
      return aLoss.mRoute;
    case LossDimension::DataCentre:
      return aLoss.mDataCentre;
    case LossDimension::Workspace:
      return aLoss.mWorkspace;
    case LossDimension::Second:
      return aLoss.mSecond;
  }
  return {};
}

} // namespace

std::uint64_t
LossRow::Total() const
{
  return std::accumulate(std::begin(mCounts), std::end(mCounts), std::uint64_t{ 0 });
}

std::vector<Loss>
FindLosses(const std::vector<LogLine>& aLog)
{
  std::vector<Loss> losses;
  // Requests that are not answered yet, and some that had attempts which ended after the answer.
  std::map<std::string, RequestTrace, std::less<>> traces;
  std::string dataCentre;
  for (const LogLine& line : aLog) {
    const std::string_view name = line.Field("name");
    const std::string_view request = line.Field("request");
    const auto add = [&](LossKind aKind, std::string aCause) {
      const std::string_view named = line.Field("data_centre");
      losses.push_back({ aKind,
                         std::move(aCause),
                         line.mTime.substr(0, kSecondLength),
                         std::string(line.Field("route")),
                         named.empty() ? dataCentre : std::string(named),
                         std::string(line.Field("workspace")) });
    };
    if (name == "ProcessStarted") {
      dataCentre = line.Field("data_centre");
      traces.clear();
    } else if (name == "AttemptFailed") {
      traces[std::string(request)].mLastFailure = AttemptFailure(line);
    } else if (name == "PassOnFailed") {
      traces[std::string(request)].mLastFailure = "another gateway gave no answer";
    } else if (name == "RequestQuarantined" && !request.empty()) {
      traces[std::string(request)].mQuarantined = true;
    } else if (name == "RequestRejected") {
      add(LossKind::Refused, fmt::format("rejected as {}", line.Field("result")));
    } else if (name == "RequestAnswered") {
      const auto trace = traces.find(request);
      const RequestTrace known = trace != traces.end() ? trace->second : RequestTrace();
      if (auto loss = ClassifyAnswer(line, known)) {
        add(loss->first, std::move(loss->second));
      }
      if (trace != traces.end()) {
        traces.erase(trace);
      }
    } else if (name == "CallerGone") {
      add(LossKind::Late, "the caller closed its connection before the answer");
      traces.erase(std::string(request));
    }
  }
  return losses;
}

std::vector<LossRow>
CountLosses(const std::vector<Loss>& aLosses, LossDimension aDimension)
{
  std::map<std::string, LossRow> byValue;
  for (const Loss& loss : aLosses) {
    ++byValue[ValueOf(loss, aDimension)].mCounts[static_cast<std::size_t>(loss.mKind)];
  }
  std::vector<LossRow> rows;
  for (auto& [value, row] : byValue) {
    row.mValue = value;
    rows.push_back(std::move(row));
  }
  if (aDimension != LossDimension::Second) {
    std::stable_sort(rows.begin(), rows.end(), [](const LossRow& aLeft, const LossRow& aRight) {
      return aLeft.Total() > aRight.Total();
    });
  }
  return rows;
}

std::string_view
LossKindName(LossKind aKind)
{
  constexpr std::string_view kNames[kLossKinds] = { "refused", "failed", "partial", "late" };
  return kNames[static_cast<std::size_t>(aKind)];
}

std::string_view
LossDimensionName(LossDimension aDimension)
{
  constexpr std::string_view kNames[] = { "cause", "route", "data_centre", "workspace", "second" };
  return kNames[static_cast<std::size_t>(aDimension)];
}

std::string
FormatAccount(const std::vector<Loss>& aLosses, std::size_t aMaxRows)
{
  std::string text = fmt::format("requests that lost service: {}\n", aLosses.size());
  for (const LossDimension dimension : kDimensions) {
    const std::vector<LossRow> rows = CountLosses(aLosses, dimension);
    std::vector<std::vector<std::string>> table = {
      { std::string(LossDimensionName(dimension)), "lost", "refused", "failed", "partial", "late" }
    };
    for (const LossRow& row : rows) {
      if (table.size() > aMaxRows) {
        break;
      }
      table.push_back({ row.mValue.empty() ? std::string(kUnknownValue) : row.mValue,
                        std::to_string(row.Total()) });
      for (const std::uint64_t count : row.mCounts) {
        table.back().push_back(std::to_string(count));
      }
    }
    text += "\n" + FormatTable(table);
    if (rows.size() > aMaxRows) {
      text += fmt::format("({} more)\n", rows.size() - aMaxRows);
    }
  }
  return text;
}

std::string
FormatAccountJson(const std::vector<Loss>& aLosses)
{
  nlohmann::json account = { { "lost", aLosses.size() } };
  for (const LossDimension dimension : kDimensions) {
    nlohmann::json list = nlohmann::json::array();
    for (const LossRow& row : CountLosses(aLosses, dimension)) {
      nlohmann::json item = { { "value", row.mValue }, { "lost", row.Total() } };
      for (std::size_t kind = 0; kind < kLossKinds; ++kind) {
        item[std::string(LossKindName(static_cast<LossKind>(kind)))] = row.mCounts[kind];
      }
      list.push_back(std::move(item));
    }
    account[std::string(LossDimensionName(dimension))] = std::move(list);
  }
  return account.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace apricotyard
