// Whom an entry host tells about changed records, and when it compares tables. Pure; not
// thread-safe.
//
// With few peers the registrar pushes a change to all of them and nobody forwards. With many peers
// every host that learns something new forwards it to a few random peers (Demers et al., "Epidemic
// algorithms for replicated database maintenance", 1987); a record that is already known is not
// forwarded. Whatever a push misses, the digest exchange finds.
#ifndef APRICOTYARD_GOSSIP_H
#define APRICOTYARD_GOSSIP_H

#include "types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// Up to this number of peers a change is pushed to each of them directly.
inline constexpr std::size_t kDirectPeers = 16;
inline constexpr std::size_t kFanout = 4;
// A host forwards a change in three rounds, 12 messages. One round leaves e^-4 = 1.8% of the hosts
// to the digest exchange and two rounds e^-8 = 0.03%, which of 780 hosts is one in every fourth
// change and up to 1.2 s late; three rounds leave e^-12.
inline constexpr std::uint32_t kForwardRounds = 3;
// A flush collects the changes of this time into one message per peer.
inline constexpr Duration kFlushInterval = std::chrono::milliseconds(50);
inline constexpr Duration kDigestInterval = std::chrono::seconds(1);
// A truncated pull goes on after this time, so that a host that joins empty is bounded in rate.
inline constexpr Duration kPullPause = std::chrono::milliseconds(100);
// At about 200 bytes a record this keeps a message below 16 KiB.
inline constexpr std::size_t kMaxRecordsPerMessage = 64;
inline constexpr std::size_t kMaxRecordsPerPull = 64;
// Changes that wait to be forwarded. Beyond this the oldest are left to the digest exchange, so
// that a mass restart cannot flood.
inline constexpr std::size_t kMaxForwardQueue = 1024;

struct QueuedChange
{
  std::string mUpstream;
  std::uint32_t mRounds = 1;
};

struct Gossip
{
  // Peers that are not known to be dead.
  std::vector<std::string> mPeers;
  // In order of arrival; an upstream is queued once, and its newest record is sent.
  std::map<std::uint64_t, QueuedChange> mQueue;
  std::map<std::string, std::uint64_t> mQueued;
  std::uint64_t mNextNumber = 1;
  TimePoint mNextFlush;
  TimePoint mNextDigest;
  std::uint64_t mDropped = 0;
};

// Queues a change for pushing. aLocal means that this host is the registrar or ended the lease.
void
QueueChange(Gossip& aGossip, const std::string& aUpstream, bool aLocal);

struct GossipPush
{
  std::vector<std::string> mPeers;
  std::vector<std::string> mUpstreams;
};

// The push that is due at aNow, if any. At most kMaxRecordsPerMessage upstreams to at most
// kDirectPeers peers per kFlushInterval.
std::optional<GossipPush>
NextPush(Gossip& aGossip, TimePoint aNow, Rng& aRng);

// The random peer to compare digests with, if an exchange is due. The interval varies by 20%.
std::optional<std::string>
NextDigestPeer(Gossip& aGossip, TimePoint aNow, Rng& aRng);

// Makes the next exchange due soon, after a pull that was cut at its limit.
void
ContinuePull(Gossip& aGossip, TimePoint aNow);

// aInterval varied by up to 20% in either direction.
Duration
Jittered(Duration aInterval, Rng& aRng);

} // namespace apricotyard

#endif
