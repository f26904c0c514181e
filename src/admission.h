// The admission queue of one collection: queries waiting for dispatch. Free functions over plain
// structs; not thread-safe.
//
// The most urgent class with waiting queries is served first. The other classes with waiting
// queries together get a fixed share of the dispatches, divided by weight. Within a class, callers
// are served round robin.
#ifndef APRICOTYARD_ADMISSION_H
#define APRICOTYARD_ADMISSION_H

#include "config.h"
#include "drain_rate.h"
#include "urgency_share.h"

#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

namespace apricotyard {

struct ClassQueue
{
  std::uint32_t mUrgency = 1;
  std::uint32_t mWeight = 1;
  // Whether more urgent queries may displace queries of this class.
  bool mMayDisplace = true;
  // Waiting queries by caller, oldest first. mCallerOrder holds the callers that have waiting
  // queries, in round-robin order.
  std::map<std::string, std::deque<QueryId>> mCallers;
  std::deque<std::string> mCallerOrder;
  std::size_t mSize = 0;
  // Accumulated share of dispatches; the class may be served at 1.
  double mCredit = 0;
};

struct AdmissionQueue
{
  std::map<std::string, ClassQueue> mClasses;
  std::size_t mSize = 0;
  // Of the dispatches; the basis of RetryAfter.
  DrainRate mRate;
};

enum class EnqueueOutcome : std::uint8_t
{
  Queued,
  Displaced, // queued; mDisplaced was removed to make room
  Refused,
};

struct EnqueueResult
{
  EnqueueOutcome mOutcome = EnqueueOutcome::Queued;
  QueryId mDisplaced = 0;
};

// Queues a query. If the queue of its class is full, applies the class's policy: displaces the
// newest query of the least urgent class, or rejects this one. Also rejects it if no less urgent
// query may be displaced. Precondition: query identifiers increase from call to call.
EnqueueResult
Enqueue(AdmissionQueue& aQueue,
        const ClassPolicy& aClass,
        const std::string& aCaller,
        QueryId aQuery);

// Removes and returns the query to dispatch next, or nothing if the queue is empty.
std::optional<QueryId>
Dequeue(AdmissionQueue& aQueue, TimePoint aNow);

// Removes an expired query. Returns false if it is not queued.
bool
RemoveQueued(AdmissionQueue& aQueue,
             const std::string& aClass,
             const std::string& aCaller,
             QueryId aQuery);

// How long a rejected caller should wait: the estimated time to drain the queue, limited to the
// range from 50 ms to 10 s.
Duration
RetryAfter(const AdmissionQueue& aQueue);

} // namespace apricotyard

#endif
