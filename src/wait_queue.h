// Requests that wait for a free place at a service's replicas. Pure; not thread-safe.
//
// The load that this answers: bursts, and replicas that stand still for a moment, so that for some
// milliseconds more work is there than the places that this gateway may use. Refusing it at once
// would lose requests that are served in time a moment later; waiting without bound would only make
// all of them late.
#ifndef APRICOTYARD_WAIT_QUEUE_H
#define APRICOTYARD_WAIT_QUEUE_H

#include "types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace apricotyard {

// Most requests that wait for one service: as many as its replicas finish within an objective.
inline constexpr std::size_t kMaxWaiting = 32;
// What one step of rank is worth in waiting time: a request that is more urgent by one step goes
// before those that fall due up to this much earlier. Less urgent ones still get their turn.
inline constexpr Duration kRankAdvance = std::chrono::milliseconds(100);

// aKey identifies a waiting request; it is unique.
template<typename Key>
class WaitQueue
{
public:
  // aDueAt is the time at which the answer begins to be worth less; aRank 0 is the most urgent.
  // Returns false if the queue is full.
  bool Push(Key aKey, TimePoint aDueAt, std::uint32_t aRank)
  {
    if (mWaiting.size() >= kMaxWaiting) {
      return false;
    }
    mWaiting.emplace(std::pair(aDueAt + kRankAdvance * aRank, mNext++), std::move(aKey));
    return true;
  }

  // The request whose turn it is.
  std::optional<Key> Pop()
  {
    if (mWaiting.empty()) {
      return std::nullopt;
    }
    return std::move(mWaiting.extract(mWaiting.begin()).mapped());
  }

  // Drops the requests for which aGone(key) is true.
  template<typename Predicate>
  void Drop(Predicate aGone)
  {
    std::erase_if(mWaiting, [&aGone](const auto& aEntry) { return aGone(aEntry.second); });
  }

  std::size_t Size() const { return mWaiting.size(); }

private:
  std::map<std::pair<TimePoint, std::uint64_t>, Key> mWaiting;
  std::uint64_t mNext = 0;
};

} // namespace apricotyard

#endif
