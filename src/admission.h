// The queue of queries that wait for admission to one collection. Pure; not thread-safe.
//
// The most urgent waiting class is served first. The other waiting classes together keep a fixed
// share of the dispatches, divided by weight. Within a class the callers take turns.
#ifndef APRICOTYARD_ADMISSION_H
#define APRICOTYARD_ADMISSION_H

#include "config.h"

#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

namespace apricotyard {

// The share of dispatches that less urgent classes keep while more urgent ones wait.
inline constexpr double kLessUrgentShare = 0.2;

struct ClassQueue
{
  std::uint32_t mUrgency = 1;
  std::uint32_t mWeight = 1;
  bool mMayDisplace = true;
  // Waiting queries of each caller, oldest first, and the turn order of callers with some.
  std::map<std::string, std::deque<QueryId>> mCallers;
  std::deque<std::string> mTurns;
  std::size_t mSize = 0;
  // Dispatches that are owed to this class.
  double mCredit = 0;
};

struct AdmissionQueue
{
  std::map<std::string, ClassQueue> mClasses;
  std::size_t mSize = 0;
  // Mean time between dispatches from the queue, for the advice to refused callers.
  double mIntervalUs = 0;
  TimePoint mLastDispatch;
};

enum class EnqueueOutcome : std::uint8_t
{
  Queued,
  Displaced, // queued, and mDisplaced was removed to make room
  Refused,
};

struct EnqueueResult
{
  EnqueueOutcome mOutcome = EnqueueOutcome::Queued;
  QueryId mDisplaced = 0;
};

// Queues a query, or refuses it by the policy of its class when the queue of the class is full.
EnqueueResult
Enqueue(AdmissionQueue& aQueue,
        const ClassPolicy& aClass,
        const std::string& aCaller,
        QueryId aQuery);

// Removes and returns the query to dispatch next; nothing if none waits.
std::optional<QueryId>
Dequeue(AdmissionQueue& aQueue, TimePoint aNow);

// Removes one query, because it expired. False if it is not queued.
bool
RemoveQueued(AdmissionQueue& aQueue,
             const std::string& aClass,
             const std::string& aCaller,
             QueryId aQuery);

// How long a refused caller should wait: the time that the queue ahead of it takes, from 50 ms to
// 10 s.
Duration
RetryAfter(const AdmissionQueue& aQueue);

} // namespace apricotyard

#endif
