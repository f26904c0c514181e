// Reports where service was lost, from the log lines of gateways: requests that were refused,
// failed, incomplete or late, by route, data centre, workspace, second and cause. Pure functions.
//
// A request counts once, by its RequestAnswered line. What its AttemptFailed, PassOnFailed and
// RequestQuarantined lines say explains the cause. Requests that did not reach the relay count by
// their RequestRejected line. Plain successes are logged once in 64, so that their number is not
// reported.
#ifndef APRICOTYARD_SERVICE_ACCOUNT_H
#define APRICOTYARD_SERVICE_ACCOUNT_H

#include "ctl_explain.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

enum class LossKind : std::uint8_t
{
  // The request was not run.
  Refused,
  // It was sent to a replica, and the caller got an error.
  Failed,
  // The answer lacks shards.
  Partial,
  // The whole answer came after the objective, or the caller did not wait for it.
  Late,
};
inline constexpr std::size_t kLossKinds = 4;

struct Loss
{
  LossKind mKind = LossKind::Refused;
  std::string mCause;
  // UTC, to the second.
  std::string mSecond;
  // Empty if no route matched or the line names none.
  std::string mRoute;
  // Of the gateway; empty if the log does not name it.
  std::string mDataCentre;
  std::string mWorkspace;
};

enum class LossDimension : std::uint8_t
{
  Cause,
  Route,
  DataCentre,
  Workspace,
  Second,
};

struct LossRow
{
  std::string mValue;
  std::uint64_t mCounts[kLossKinds] = {};

  std::uint64_t Total() const;
};

// Returns the lost requests in the order of the lines. aLog holds the lines of one log, in their
// order; the data centre is that of its last ProcessStarted line unless a line names another. Lines
// of other programs and unknown events are ignored. Thread-safe, like the other functions.
std::vector<Loss>
FindLosses(const std::vector<LogLine>& aLog);

// Counts the losses by the values of a dimension: seconds in their order, other values with the
// largest total first. A cause is preceded by its kind.
std::vector<LossRow>
CountLosses(const std::vector<Loss>& aLosses, LossDimension aDimension);

std::string_view
LossKindName(LossKind aKind);

std::string_view
LossDimensionName(LossDimension aDimension);

// The tables of all dimensions, each with at most aMaxRows rows and the number of rows left out.
std::string
FormatAccount(const std::vector<Loss>& aLosses, std::size_t aMaxRows);

// All rows of all dimensions as a JSON object.
std::string
FormatAccountJson(const std::vector<Loss>& aLosses);

} // namespace apricotyard

#endif
