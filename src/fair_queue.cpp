#include "fair_queue.h"

#include <algorithm>

namespace apricotyard {

namespace {

// Removes the backlog of a workspace that has nothing queued once its last service has ended in
// virtual time. Until then, it must not get a new turn early.
void
DropIdle(PriorityQueue& aPriority)
{
  std::erase_if(aPriority.mWorkspaces, [&aPriority](const auto& aEntry) {
    return aEntry.second.mRequests.empty() &&
           (aPriority.mSize == 0 || aEntry.second.mFinishTag <= aPriority.mVirtualTime);
  });
}

// Updates the sizes after a request of the priority was removed.
void
CountRemoved(FairQueue& aQueue, PriorityQueue& aPriority)
{
  --aQueue.mSize;
  // An idle priority must not accumulate credit or virtual time.
  if (--aPriority.mSize == 0) {
    aPriority.mCredit = 0;
    aPriority.mVirtualTime = 0;
  }
}

const PriorityQueue*
MostUrgent(const FairQueue& aQueue)
{
  const auto found = std::find_if(aQueue.mPriorities.begin(),
                                  aQueue.mPriorities.end(),
                                  [](const auto& aEntry) { return aEntry.second.mSize > 0; });
  return found != aQueue.mPriorities.end() ? &found->second : nullptr;
}

const PriorityQueue*
LeastUrgent(const FairQueue& aQueue)
{
  const auto found = std::find_if(aQueue.mPriorities.rbegin(),
                                  aQueue.mPriorities.rend(),
                                  [](const auto& aEntry) { return aEntry.second.mSize > 0; });
  return found != aQueue.mPriorities.rend() ? &found->second : nullptr;
}

// A workspace within a priority.
struct Victim
{
  QueuePriority mPriority;
  std::string mWorkspace;
};

// The workspace of the priority with the longest backlog by weight. If aRequest is of this
// priority, it counts as queued, and is preferred among equals, because it is the newest.
Victim
LongestBacklog(const PriorityQueue& aPriority, const QueuedRequest& aRequest)
{
  const bool same = aPriority.mUrgency == aRequest.mPriority;
  Victim longest{ aPriority.mUrgency, same ? aRequest.mWorkspace : std::string() };
  double length = 0;
  if (same) {
    const auto own = aPriority.mWorkspaces.find(aRequest.mWorkspace);
    const std::size_t queued =
      own != aPriority.mWorkspaces.end() ? own->second.mRequests.size() : 0;
    length = static_cast<double>(queued + 1) / aRequest.mWeight;
  }
  for (const auto& [name, backlog] : aPriority.mWorkspaces) {
    const double candidate = static_cast<double>(backlog.mRequests.size()) / backlog.mWeight;
    if (candidate > length) {
      length = candidate;
      longest.mWorkspace = name;
    }
  }
  return longest;
}

// The workspace that loses a request in a full queue. Empty if it is aRequest that is refused.
std::optional<Victim>
ChooseVictim(const FairQueue& aQueue, const QueuedRequest& aRequest)
{
  const PriorityQueue& mostUrgent = *MostUrgent(aQueue);
  const PriorityQueue& leastUrgent = *LeastUrgent(aQueue);
  const std::size_t lessUrgent = aQueue.mSize - mostUrgent.mSize;
  const PriorityQueue* loser = &leastUrgent;
  if (aRequest.mPriority > mostUrgent.mUrgency) {
    if (lessUrgent < kLessUrgentRoom) {
      loser = &mostUrgent;
    } else if (aRequest.mPriority > leastUrgent.mUrgency) {
      return std::nullopt;
    }
  } else if (aRequest.mPriority == mostUrgent.mUrgency && lessUrgent <= kLessUrgentRoom) {
    loser = &mostUrgent;
  }
  Victim victim = LongestBacklog(*loser, aRequest);
  if (victim.mPriority == aRequest.mPriority && victim.mWorkspace == aRequest.mWorkspace) {
    return std::nullopt;
  }
  return victim;
}

// Removes the newest request of the workspace.
QueueTicket
RemoveNewest(FairQueue& aQueue, const Victim& aVictim)
{
  PriorityQueue& priority = aQueue.mPriorities.at(aVictim.mPriority);
  WorkspaceBacklog& backlog = priority.mWorkspaces.at(aVictim.mWorkspace);
  const QueuedRequest removed = std::move(backlog.mRequests.back());
  backlog.mRequests.pop_back();
  // The turn is free again.
  backlog.mFinishTag = removed.mStartTag;
  CountRemoved(aQueue, priority);
  return removed.mTicket;
}

// Virtual time at which the service of the request would start.
double
StartTag(const PriorityQueue& aPriority, const std::string& aWorkspace)
{
  const auto backlog = aPriority.mWorkspaces.find(aWorkspace);
  return backlog != aPriority.mWorkspaces.end()
           ? std::max(aPriority.mVirtualTime, backlog->second.mFinishTag)
           : aPriority.mVirtualTime;
}

// Requests of the priority that would be served before one with this start tag.
std::size_t
CountBefore(const PriorityQueue& aPriority, double aStartTag)
{
  std::size_t count = 0;
  for (const auto& [name, backlog] : aPriority.mWorkspaces) {
    count += static_cast<std::size_t>(std::count_if(
      backlog.mRequests.begin(), backlog.mRequests.end(), [aStartTag](const QueuedRequest& aOther) {
        return aOther.mStartTag <= aStartTag;
      }));
  }
  return count;
}

// Interval between departures, zero if it is not known.
Duration
CurrentInterval(const FairQueue& aQueue)
{
  return aQueue.mRate.mSamples < kMinRateSamples ? Duration::zero() : DrainTime(aQueue.mRate, 1);
}

// Whether the request would leave the queue too late, as far as the rate is known.
bool
IsTooLate(const FairQueue& aQueue, const QueuedRequest& aRequest, TimePoint aNow)
{
  const Duration wait = ExpectedWait(aQueue, aRequest);
  return wait > Duration::zero() && aNow + wait > aRequest.mServeBy;
}

} // namespace

PushResult
Push(FairQueue& aQueue, QueuedRequest aRequest, TimePoint aNow)
{
  if (aQueue.mSize == 0) {
    // The time without requests says nothing about the replicas.
    aQueue.mRate.mLastAt = {};
    if (aQueue.mLastDepartureAt + kRateLifetime < aNow) {
      aQueue.mRate = {};
    }
  }
  if (IsTooLate(aQueue, aRequest, aNow)) {
    return { PushOutcome::TooLate, std::nullopt };
  }
  PushResult result;
  if (aQueue.mSize >= kMaxQueuedRequests) {
    const std::optional<Victim> victim = ChooseVictim(aQueue, aRequest);
    if (!victim) {
      return { PushOutcome::Full, std::nullopt };
    }
    result.mDisplaced = RemoveNewest(aQueue, *victim);
  }
  PriorityQueue& priority = aQueue.mPriorities[aRequest.mPriority];
  priority.mUrgency = aRequest.mPriority;
  WorkspaceBacklog& backlog = priority.mWorkspaces[aRequest.mWorkspace];
  backlog.mWeight = aRequest.mWeight;
  aRequest.mStartTag = std::max(priority.mVirtualTime, backlog.mFinishTag);
  backlog.mFinishTag = aRequest.mStartTag + 1.0 / aRequest.mWeight;
  backlog.mRequests.push_back(std::move(aRequest));
  ++priority.mSize;
  ++aQueue.mSize;
  return result;
}

bool
Accepts(const FairQueue& aQueue, const QueuedRequest& aRequest, TimePoint aNow)
{
  return !IsTooLate(aQueue, aRequest, aNow) &&
         (aQueue.mSize < kMaxQueuedRequests || ChooseVictim(aQueue, aRequest).has_value());
}

std::optional<QueuedRequest>
Pop(FairQueue& aQueue)
{
  aQueue.mBeforePop.clear();
  for (auto& [urgency, priority] : aQueue.mPriorities) {
    DropIdle(priority);
    aQueue.mBeforePop.push_back({ urgency, priority.mCredit, priority.mVirtualTime });
  }
  PriorityQueue* const priority = ChooseByUrgency(aQueue.mPriorities);
  if (priority == nullptr) {
    return std::nullopt;
  }
  WorkspaceBacklog* next = nullptr;
  for (auto& [name, backlog] : priority->mWorkspaces) {
    if (!backlog.mRequests.empty() && (next == nullptr || backlog.mRequests.front().mStartTag <
                                                            next->mRequests.front().mStartTag)) {
      next = &backlog;
    }
  }
  QueuedRequest request = std::move(next->mRequests.front());
  next->mRequests.pop_front();
  priority->mVirtualTime = std::max(priority->mVirtualTime, request.mStartTag);
  CountRemoved(aQueue, *priority);
  return request;
}

void
RecordPopped(FairQueue& aQueue, TimePoint aNow)
{
  RecordDeparture(aQueue.mRate, aNow);
  aQueue.mLastDepartureAt = aNow;
}

void
Restore(FairQueue& aQueue, QueuedRequest aRequest)
{
  for (const PriorityState& before : aQueue.mBeforePop) {
    PriorityQueue& priority = aQueue.mPriorities[before.mUrgency];
    priority.mCredit = before.mCredit;
    priority.mVirtualTime = before.mVirtualTime;
  }
  PriorityQueue& priority = aQueue.mPriorities[aRequest.mPriority];
  priority.mWorkspaces[aRequest.mWorkspace].mRequests.push_front(std::move(aRequest));
  ++priority.mSize;
  ++aQueue.mSize;
}

void
RemoveIf(FairQueue& aQueue, const std::function<bool(QueueTicket)>& aPredicate)
{
  for (auto& [urgency, priority] : aQueue.mPriorities) {
    for (auto& [name, backlog] : priority.mWorkspaces) {
      const std::size_t removed =
        std::erase_if(backlog.mRequests, [&aPredicate](const QueuedRequest& aRequest) {
          return aPredicate(aRequest.mTicket);
        });
      for (std::size_t i = 0; i < removed; ++i) {
        CountRemoved(aQueue, priority);
      }
    }
    DropIdle(priority);
  }
}

Duration
ExpectedWait(const FairQueue& aQueue, const QueuedRequest& aRequest)
{
  const Duration interval = CurrentInterval(aQueue);
  if (interval == Duration::zero() || aQueue.mSize == 0) {
    return Duration::zero();
  }
  double moreUrgent = 0;
  double before = 0;
  for (const auto& [urgency, priority] : aQueue.mPriorities) {
    if (urgency < aRequest.mPriority) {
      moreUrgent += static_cast<double>(priority.mSize);
    } else if (urgency == aRequest.mPriority) {
      before += static_cast<double>(CountBefore(priority, StartTag(priority, aRequest.mWorkspace)));
    }
  }
  // With more urgent requests, it waits for these, or for the turns of the less urgent ones.
  const double turns =
    moreUrgent > 0 ? std::min(moreUrgent + before, (before + 1.0) / kLessUrgentShare) : before;
  return std::chrono::duration_cast<Duration>(interval * turns);
}

Duration
TimeUntilRoom(const FairQueue& aQueue)
{
  return CurrentInterval(aQueue) * static_cast<Duration::rep>(aQueue.mSize);
}

} // namespace apricotyard
