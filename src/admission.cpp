#include "admission.h"

#include <algorithm>

namespace apricotyard {

namespace {

constexpr double kIntervalStep = 0.1;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

// Removes the query at aPosition of a caller; a caller without queries loses its turn.
void
RemoveAt(AdmissionQueue& aQueue,
         ClassQueue& aClass,
         const std::string& aCaller,
         std::size_t aPosition)
{
  const auto caller = aClass.mCallers.find(aCaller);
  caller->second.erase(caller->second.begin() + static_cast<std::ptrdiff_t>(aPosition));
  if (caller->second.empty()) {
    const auto turn = std::find(aClass.mTurns.begin(), aClass.mTurns.end(), aCaller);
    aClass.mTurns.erase(turn);
    aClass.mCallers.erase(caller);
  }
  --aQueue.mSize;
  // A class that has nothing waiting saves up no credit.
  if (--aClass.mSize == 0) {
    aClass.mCredit = 0;
  }
}

// Query identifiers increase, so the newest query of a class is the largest last one of a caller.
std::optional<QueryId>
RemoveNewest(AdmissionQueue& aQueue, std::uint32_t aUrgency)
{
  ClassQueue* victim = nullptr;
  for (auto& [name, one] : aQueue.mClasses) {
    if (one.mSize > 0 && one.mMayDisplace && one.mUrgency > aUrgency &&
        (victim == nullptr || one.mUrgency > victim->mUrgency)) {
      victim = &one;
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

// Gives each less urgent waiting class its part of one dispatch, and returns the class to serve.
ClassQueue*
ChooseClass(AdmissionQueue& aQueue)
{
  ClassQueue* urgent = nullptr;
  double weights = 0;
  for (auto& [name, one] : aQueue.mClasses) {
    if (one.mSize > 0) {
      weights += one.mWeight;
      if (urgent == nullptr || one.mUrgency < urgent->mUrgency) {
        urgent = &one;
      }
    }
  }
  if (urgent == nullptr) {
    return nullptr;
  }
  weights -= urgent->mWeight;
  ClassQueue* chosen = urgent;
  for (auto& [name, one] : aQueue.mClasses) {
    if (one.mSize == 0 || &one == urgent) {
      continue;
    }
    one.mCredit += kLessUrgentShare * one.mWeight / weights;
    if (one.mCredit >= 1 && (chosen == urgent || one.mCredit > chosen->mCredit)) {
      chosen = &one;
    }
  }
  if (chosen != urgent) {
    chosen->mCredit -= 1;
  }
  return chosen;
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
    const std::optional<QueryId> displaced =
      aClass.mWhenFull == WhenFull::Displace ? RemoveNewest(aQueue, aClass.mUrgency) : std::nullopt;
    if (!displaced) {
      return { EnqueueOutcome::Refused, 0 };
    }
    result = { EnqueueOutcome::Displaced, *displaced };
  }
  auto& waiting = queue.mCallers[aCaller];
  if (waiting.empty()) {
    queue.mTurns.push_back(aCaller);
  }
  waiting.push_back(aQuery);
  ++queue.mSize;
  ++aQueue.mSize;
  return result;
}

std::optional<QueryId>
Dequeue(AdmissionQueue& aQueue, TimePoint aNow)
{
  ClassQueue* const chosen = ChooseClass(aQueue);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const std::string caller = chosen->mTurns.front();
  const QueryId query = chosen->mCallers.at(caller).front();
  chosen->mTurns.pop_front();
  chosen->mTurns.push_back(caller);
  RemoveAt(aQueue, *chosen, caller, 0);
  const auto interval = static_cast<double>((aNow - aQueue.mLastDispatch).count());
  if (aQueue.mLastDispatch != TimePoint()) {
    aQueue.mIntervalUs += kIntervalStep * (interval - aQueue.mIntervalUs);
  }
  aQueue.mLastDispatch = aNow;
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
  const auto wait =
    Duration(static_cast<Duration::rep>(aQueue.mIntervalUs * static_cast<double>(aQueue.mSize)));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace apricotyard
