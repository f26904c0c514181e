#include "admission.h"

#include <algorithm>

namespace apricotyard {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

// Removes the query at aPosition among those of the caller. A caller without queries also leaves
// the round-robin order.
void
RemoveAt(AdmissionQueue& aQueue,
         ClassQueue& aClass,
         const std::string& aCaller,
         std::size_t aPosition)
{
  const auto caller = aClass.mCallers.find(aCaller);
  caller->second.erase(caller->second.begin() + static_cast<std::ptrdiff_t>(aPosition));
  if (caller->second.empty()) {
    const auto position =
      std::find(aClass.mCallerOrder.begin(), aClass.mCallerOrder.end(), aCaller);
    aClass.mCallerOrder.erase(position);
    aClass.mCallers.erase(caller);
  }
  --aQueue.mSize;
  // An idle class must not accumulate credit.
  if (--aClass.mSize == 0) {
    aClass.mCredit = 0;
  }
}

// Removes the newest query of the least urgent class that is less urgent than aUrgency and may be
// displaced. Query identifiers increase, so the newest query is the largest of the callers' last
// entries.
std::optional<QueryId>
DisplaceLessUrgent(AdmissionQueue& aQueue, std::uint32_t aUrgency)
{
  ClassQueue* victim = nullptr;
  for (auto& [name, candidate] : aQueue.mClasses) {
    if (candidate.mSize > 0 && candidate.mMayDisplace && candidate.mUrgency > aUrgency &&
        (victim == nullptr || candidate.mUrgency > victim->mUrgency)) {
      victim = &candidate;
    }
  }
  if (victim == nullptr) {
    return std::nullopt;
  }
  const auto newest = std::max_element(
    victim->mCallers.begin(), victim->mCallers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.back() < aRight.second.back();
    });
  const QueryId query = newest->second.back();
  RemoveAt(aQueue, *victim, std::string(newest->first), newest->second.size() - 1);
  return query;
}

} // namespace

EnqueueResult
Enqueue(AdmissionQueue& aQueue,
        const ClassPolicy& aClass,
        const std::string& aCaller,
        QueryId aQuery)
{
  ClassQueue& queue = aQueue.mClasses[aClass.mName];
  queue.mUrgency = aClass.mUrgency;
  queue.mWeight = aClass.mWeight;
  queue.mMayDisplace = aClass.mWhenFull != WhenFull::Wait;
  EnqueueResult result;
  if (queue.mSize >= aClass.mQueueLimit) {
    const std::optional<QueryId> displaced = aClass.mWhenFull == WhenFull::Displace
                                               ? DisplaceLessUrgent(aQueue, aClass.mUrgency)
                                               : std::nullopt;
    if (!displaced) {
      return { EnqueueOutcome::Refused, 0 };
    }
    result = { EnqueueOutcome::Displaced, *displaced };
  }
  auto& waiting = queue.mCallers[aCaller];
  if (waiting.empty()) {
    queue.mCallerOrder.push_back(aCaller);
  }
  waiting.push_back(aQuery);
  ++queue.mSize;
  ++aQueue.mSize;
  return result;
}

std::optional<QueryId>
Dequeue(AdmissionQueue& aQueue, TimePoint aNow)
{
  ClassQueue* const chosen = ChooseByUrgency(aQueue.mClasses);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const std::string caller = chosen->mCallerOrder.front();
  const QueryId query = chosen->mCallers.at(caller).front();
  chosen->mCallerOrder.pop_front();
  chosen->mCallerOrder.push_back(caller);
  RemoveAt(aQueue, *chosen, caller, 0);
  RecordDeparture(aQueue.mRate, aNow);
  return query;
}

bool
RemoveQueued(AdmissionQueue& aQueue,
             const std::string& aClass,
             const std::string& aCaller,
             QueryId aQuery)
{
  const auto queue = aQueue.mClasses.find(aClass);
  if (queue == aQueue.mClasses.end()) {
    return false;
  }
  const auto caller = queue->second.mCallers.find(aCaller);
  if (caller == queue->second.mCallers.end()) {
    return false;
  }
  const auto found = std::find(caller->second.begin(), caller->second.end(), aQuery);
  if (found == caller->second.end()) {
    return false;
  }
  RemoveAt(
    aQueue, queue->second, aCaller, static_cast<std::size_t>(found - caller->second.begin()));
  return true;
}

Duration
RetryAfter(const AdmissionQueue& aQueue)
{
  const Duration wait = DrainTime(aQueue.mRate, aQueue.mSize);
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace apricotyard
