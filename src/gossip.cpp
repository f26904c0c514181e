#include "gossip.h"

#include <algorithm>

namespace apricotyard {

namespace {

void
Drop(Gossip& aGossip, std::map<std::uint64_t, QueuedChange>::iterator aChange)
{
  aGossip.mQueued.erase(aChange->second.mUpstream);
  aGossip.mQueue.erase(aChange);
}

std::vector<std::string>
ChoosePeers(const std::vector<std::string>& aPeers, Rng& aRng)
{
  if (aPeers.size() <= kDirectPeers) {
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
QueueChange(Gossip& aGossip, const std::string& aUpstream, bool aLocal)
{
  const bool forwarding = aGossip.mPeers.size() > kDirectPeers;
  if (!aLocal && !forwarding) {
    return;
  }
  if (const auto queued = aGossip.mQueued.find(aUpstream); queued != aGossip.mQueued.end()) {
    Drop(aGossip, aGossip.mQueue.find(queued->second));
  }
  const std::uint64_t number = aGossip.mNextNumber++;
  aGossip.mQueue[number] = { aUpstream, forwarding ? kForwardRounds : 1 };
  aGossip.mQueued[aUpstream] = number;
  if (aGossip.mQueue.size() > kMaxForwardQueue) {
    Drop(aGossip, aGossip.mQueue.begin());
    ++aGossip.mDropped;
  }
}

std::optional<GossipPush>
NextPush(Gossip& aGossip, TimePoint aNow, Rng& aRng)
{
  if (aGossip.mQueue.empty() || aGossip.mPeers.empty() || aNow < aGossip.mNextFlush) {
    return std::nullopt;
  }
  aGossip.mNextFlush = aNow + Jittered(kFlushInterval, aRng);
  GossipPush push;
  push.mPeers = ChoosePeers(aGossip.mPeers, aRng);
  std::vector<QueuedChange> again;
  while (!aGossip.mQueue.empty() && push.mUpstreams.size() < kMaxRecordsPerMessage) {
    const auto first = aGossip.mQueue.begin();
    const QueuedChange change = first->second;
    Drop(aGossip, first);
    push.mUpstreams.push_back(change.mUpstream);
    if (change.mRounds > 1) {
      again.push_back({ change.mUpstream, change.mRounds - 1 });
    }
  }
  for (QueuedChange& change : again) {
    const std::uint64_t number = aGossip.mNextNumber++;
    aGossip.mQueued[change.mUpstream] = number;
    aGossip.mQueue[number] = std::move(change);
  }
  return push;
}

std::optional<std::string>
NextDigestPeer(Gossip& aGossip, TimePoint aNow, Rng& aRng)
{
  if (aGossip.mPeers.empty() || aNow < aGossip.mNextDigest) {
    return std::nullopt;
  }
  aGossip.mNextDigest = aNow + Jittered(kDigestInterval, aRng);
  return aGossip.mPeers[aRng() % aGossip.mPeers.size()];
}

void
ContinuePull(Gossip& aGossip, TimePoint aNow)
{
  aGossip.mNextDigest = std::min(aGossip.mNextDigest, aNow + kPullPause);
}

Duration
Jittered(Duration aInterval, Rng& aRng)
{
  return aInterval * static_cast<std::int64_t>(800 + aRng() % 401) / 1000;
}

} // namespace apricotyard
