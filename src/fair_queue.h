// Queue of requests that wait until a replica of a service can take them. Free functions over plain
// structs, without a clock; not thread-safe.
//
// Absorbs bursts and short pauses of replicas, and divides what the replicas can take when callers
// demand more. Order: by priority, where less urgent requests get a fixed share of the departures
// (urgency_share.h); within a priority, start-time fair queueing between workspaces; within a
// workspace, by arrival. The length is bounded: in a full queue, the workspace with the longest
// backlog loses its newest request. A request that cannot be served in time at the measured rate of
// departures is refused at once.
#ifndef APRICOTYARD_FAIR_QUEUE_H
#define APRICOTYARD_FAIR_QUEUE_H

#include "drain_rate.h"
#include "urgency_share.h"

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// Capacity of the queue of one service: about as many as its replicas finish within an objective.
inline constexpr std::size_t kMaxQueuedRequests = 32;
// Part of the capacity that requests of less urgent priorities may occupy together even if more
// urgent ones would need it. Without it, a flood of urgent requests would leave them no room.
inline constexpr std::size_t kLessUrgentRoom = 8;
// Typical latencies that a request needs after it has left the queue. With a margin of 1, almost
// half of the requests that leave it at the last moment would be answered too late.
inline constexpr double kServeMargin = 1.5;
// Departures after which their rate is used to refuse requests. Fewer may be a pause.
inline constexpr std::uint32_t kMinRateSamples = 8;
// A rate is forgotten if nothing departed for this time.
inline constexpr Duration kRateLifetime = std::chrono::seconds(5);

// Smaller values are more urgent. The workspace takes precedence over the route.
struct QueuePriority
{
  std::uint32_t mWorkspace = 0;
  std::uint32_t mRoute = 0;

  auto operator<=>(const QueuePriority&) const = default;
};

// Identifies a queued request.
using QueueTicket = std::uint64_t;

struct QueuedRequest
{
  QueueTicket mTicket = 0;
  // Empty for callers without a workspace, which share one turn.
  std::string mWorkspace;
  QueuePriority mPriority;
  // Share of the workspace relative to the others of its priority; positive.
  double mWeight = 1;
  // When it must have left the queue to be served in time. See kServeMargin.
  TimePoint mServeBy = TimePoint::max();
  // Virtual time at which its service starts; set by Push.
  double mStartTag = 0;
};

// Requests of one workspace within a priority.
struct WorkspaceBacklog
{
  std::deque<QueuedRequest> mRequests;
  double mWeight = 1;
  // Virtual time at which the service of its last request ends.
  double mFinishTag = 0;
};

struct PriorityQueue
{
  QueuePriority mUrgency;
  double mWeight = 1;
  double mCredit = 0;
  std::size_t mSize = 0;
  double mVirtualTime = 0;
  std::map<std::string, WorkspaceBacklog> mWorkspaces;
};

// What Pop changes in a priority.
struct PriorityState
{
  QueuePriority mUrgency;
  double mCredit = 0;
  double mVirtualTime = 0;
};

struct FairQueue
{
  std::map<QueuePriority, PriorityQueue> mPriorities;
  std::size_t mSize = 0;
  // Of the departures while requests wait, and when the last one was.
  DrainRate mRate;
  TimePoint mLastDepartureAt{};
  // Credits and virtual times before the last Pop, for Restore.
  std::vector<PriorityState> mBeforePop;
};

enum class PushOutcome : std::uint8_t
{
  Queued,
  // Full, and no other request is to be displaced.
  Full,
  // It would leave the queue too late.
  TooLate,
};

struct PushResult
{
  PushOutcome mOutcome = PushOutcome::Queued;
  // Was removed to make room.
  std::optional<QueueTicket> mDisplaced;
};

// Queues the request. Precondition: its ticket is unique in the queue.
PushResult
Push(FairQueue& aQueue, QueuedRequest aRequest, TimePoint aNow);

// Whether Push would queue the request.
bool
Accepts(const FairQueue& aQueue, const QueuedRequest& aRequest, TimePoint aNow);

// Removes and returns the next request. Empty if none is queued. Call RecordPopped if the request
// was sent, or Restore if it was not.
std::optional<QueuedRequest>
Pop(FairQueue& aQueue);

// Counts the departure of a request that was popped and sent.
void
RecordPopped(FairQueue& aQueue, TimePoint aNow);

// Puts a request back that could not be sent. It is the next one again. Precondition: the queue was
// not changed since it was popped.
void
Restore(FairQueue& aQueue, QueuedRequest aRequest);

// Removes the requests for which aPredicate is true.
void
RemoveIf(FairQueue& aQueue, const std::function<bool(QueueTicket)>& aPredicate);

// Expected time that the request would wait, zero if the rate is not known.
Duration
ExpectedWait(const FairQueue& aQueue, const QueuedRequest& aRequest);

// Time after which the queue is expected to have room for requests that are refused now; zero if
// it is not known.
Duration
TimeUntilRoom(const FairQueue& aQueue);

} // namespace apricotyard

#endif
