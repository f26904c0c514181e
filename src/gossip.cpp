#include "gossip.h"

#include <algorithm>

namespace apricotyard {

namespace {

void
RemoveFromQueue(GossipState& aGossip, std::map<std::uint64_t, QueuedChange>::iterator aChange)
{
  aGossip.mQueueNumbers.erase(aChange->second.mUpstream);
  aGossip.mQueue.erase(aChange);
}

std::vector<std::string>
ChoosePeers(const std::vector<std::string>& aPeers, Rng& aRng)
{
  if (aPeers.size() <= kMaxDirectPeers) {
    return aPeers;
  }
  std::vector<std::string> chosen;
  while (chosen.size() < kFanout) {
    const std::string& peer = aPeers[aRng() % aPeers.size()];
    if (std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
      chosen.push_back(peer);
    }
  }
  return chosen;
}

} // namespace

void
QueueChange(GossipState& aGossip, const std::string& aUpstream, bool aLocal)
{
  const bool hasManyPeers = aGossip.mPeers.size() > kMaxDirectPeers;
  if (!aLocal && !hasManyPeers) {
    return;
  }
  if (const auto queued = aGossip.mQueueNumbers.find(aUpstream);
      queued != aGossip.mQueueNumbers.end()) {
    RemoveFromQueue(aGossip, aGossip.mQueue.find(queued->second));
  }
  const std::uint64_t number = aGossip.mNextQueueNumber++;
  aGossip.mQueue[number] = { aUpstream, hasManyPeers ? kPushRounds : 1 };
  aGossip.mQueueNumbers[aUpstream] = number;
  if (aGossip.mQueue.size() > kMaxQueuedChanges) {
    RemoveFromQueue(aGossip, aGossip.mQueue.begin());
    ++aGossip.mDropped;
  }
}

std::optional<GossipPush>
NextPush(GossipState& aGossip, TimePoint aNow, Rng& aRng)
{
  if (aGossip.mQueue.empty() || aGossip.mPeers.empty() || aNow < aGossip.mNextPushAt) {
    return std::nullopt;
  }
  aGossip.mNextPushAt = aNow + WithJitter(kFlushInterval, aRng);
  GossipPush push;
  push.mPeers = ChoosePeers(aGossip.mPeers, aRng);
  std::vector<QueuedChange> requeued;
  while (!aGossip.mQueue.empty() && push.mUpstreams.size() < kMaxRecordsPerMessage) {
    const auto first = aGossip.mQueue.begin();
    const QueuedChange change = first->second;
    RemoveFromQueue(aGossip, first);
    push.mUpstreams.push_back(change.mUpstream);
    if (change.mRoundsLeft > 1) {
      requeued.push_back({ change.mUpstream, change.mRoundsLeft - 1 });
    }
  }
  for (QueuedChange& change : requeued) {
    const std::uint64_t number = aGossip.mNextQueueNumber++;
    aGossip.mQueueNumbers[change.mUpstream] = number;
    aGossip.mQueue[number] = std::move(change);
  }
  return push;
}

std::optional<std::string>
NextDigestPeer(GossipState& aGossip, TimePoint aNow, Rng& aRng)
{
  if (aGossip.mPeers.empty() || aNow < aGossip.mNextDigestAt) {
    return std::nullopt;
  }
  aGossip.mNextDigestAt = aNow + WithJitter(kDigestInterval, aRng);
  return aGossip.mPeers[aRng() % aGossip.mPeers.size()];
}

void
ContinuePull(GossipState& aGossip, TimePoint aNow)
{
  aGossip.mNextDigestAt = std::min(aGossip.mNextDigestAt, aNow + kTruncatedPullDelay);
}

Duration
WithJitter(Duration aInterval, Rng& aRng)
{
  return aInterval * static_cast<std::int64_t>(800 + aRng() % 401) / 1000;
}

} // namespace apricotyard
