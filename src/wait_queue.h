// Priority queue of requests that wait until a replica of a service can take them. Not thread-safe.
//
// Absorbs bursts and short pauses of replicas, during which more requests arrive for some
// milliseconds than the replicas can take. Refusing them at once would reject requests that could
// be served in time moments later. An unbounded queue would only make all of them late.
#ifndef APRICOTYARD_WAIT_QUEUE_H
#define APRICOTYARD_WAIT_QUEUE_H

#include "types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace apricotyard {

// Capacity of the queue of one service: about as many as its replicas finish within an objective.
inline constexpr std::size_t kMaxQueuedRequests = 32;
// Advantage of one priority step: a request goes before those of the next lower priority that are
// due up to this much earlier. This keeps less urgent requests from starving.
inline constexpr Duration kPriorityStep = std::chrono::milliseconds(100);

// Key identifies a queued request.
template<typename Key>
class WaitQueue
{
public:
  // Returns false if the queue is full. aDueAt is the time of the request's objective. Priority 0
  // is the most urgent.
  bool Push(Key aKey, TimePoint aDueAt, std::uint32_t aPriority)
  {
    if (mEntries.size() >= kMaxQueuedRequests) {
      return false;
    }
    mEntries.emplace(std::pair(aDueAt + kPriorityStep * aPriority, mNextSequence++),
                     std::move(aKey));
    return true;
  }

  // Removes and returns the next request. Empty if none is queued.
  std::optional<Key> Pop()
  {
    if (mEntries.empty()) {
      return std::nullopt;
    }
    return std::move(mEntries.extract(mEntries.begin()).mapped());
  }

  // Removes the requests for which aPredicate(key) is true.
  template<typename Predicate>
  void RemoveIf(Predicate aPredicate)
  {
    std::erase_if(mEntries,
                  [&aPredicate](const auto& aEntry) { return aPredicate(aEntry.second); });
  }

  std::size_t Size() const { return mEntries.size(); }

private:
  std::map<std::pair<TimePoint, std::uint64_t>, Key> mEntries;
  std::uint64_t mNextSequence = 0;
};

} // namespace apricotyard

#endif
