// Dissemination of changed records between entry hosts: to which peers a change is pushed, and when
// the tables of two hosts are compared. Does no I/O and reads no clock; not thread-safe.
//
// With few peers the registrar pushes a change to all of them, and no other host forwards it. With
// many peers every host that receives a new record forwards it to a few random peers (Demers et
// al., "Epidemic algorithms for replicated database maintenance", 1987). A record that the host
// already holds is not forwarded. The periodic digest exchange repairs whatever the pushes missed.
#ifndef APRICOTYARD_GOSSIP_H
#define APRICOTYARD_GOSSIP_H

#include "types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// With at most this many peers, the registrar pushes a change to each of them.
inline constexpr std::size_t kMaxDirectPeers = 16;
// Number of random peers that receive a push if there are more than kMaxDirectPeers.
inline constexpr std::size_t kFanout = 4;
// A host forwards a change in three rounds, which makes 12 messages. After one round e^-4 = 1.8% of
// the hosts depend on the digest exchange, after two rounds e^-8 = 0.03%. With 780 hosts, the
// latter is one host in every fourth change, and that host learns of the change up to 1.2 s late.
// After three rounds it is e^-12.
inline constexpr std::uint32_t kPushRounds = 3;
// Changes that arrive within this time are sent together, in one message per peer.
inline constexpr Duration kFlushInterval = std::chrono::milliseconds(50);
// Average time between two digest exchanges that a host starts.
inline constexpr Duration kDigestInterval = std::chrono::seconds(1);
// Delay until the next exchange after a truncated pull. It limits the rate at which a host with an
// empty table pulls records.
inline constexpr Duration kTruncatedPullDelay = std::chrono::milliseconds(100);
// At about 200 bytes a record this keeps a message below 16 KiB.
inline constexpr std::size_t kMaxRecordsPerMessage = 64;
inline constexpr std::size_t kMaxRecordsPerPull = 64;
// Maximum number of changes that wait to be pushed. When it is exceeded, the oldest change is
// dropped and left to the digest exchange, so that a mass restart cannot flood the network.
inline constexpr std::size_t kMaxQueuedChanges = 1024;

struct QueuedChange
{
  std::string mUpstream;
  // Pushes that are still to be made, including the next one.
  std::uint32_t mRoundsLeft = 1;
};

struct GossipState
{
  // Peers that the failure detector has not declared dead.
  std::vector<std::string> mPeers;
  // Changes by queue number, oldest first. An upstream is queued at most once; the push carries its
  // record as it is at that time.
  std::map<std::uint64_t, QueuedChange> mQueue;
  // Queue number of each queued upstream.
  std::map<std::string, std::uint64_t> mQueueNumbers;
  std::uint64_t mNextQueueNumber = 1;
  TimePoint mNextPushAt;
  TimePoint mNextDigestAt;
  // Changes that were dropped because the queue was full.
  std::uint64_t mDropped = 0;
};

// Queues the record of aUpstream for the next push. aLocal is true if this host is the registrar of
// the record or has just ended its lease. With at most kMaxDirectPeers peers, only local changes
// are queued.
void
QueueChange(GossipState& aGossip, const std::string& aUpstream, bool aLocal);

// Records to send, and the peers that each get all of them.
struct GossipPush
{
  std::vector<std::string> mPeers;
  std::vector<std::string> mUpstreams;
};

// Returns the push that is due at aNow, if any. Pushes are kFlushInterval apart, varied by 20%.
// Each carries at most kMaxRecordsPerMessage upstreams and goes to at most kMaxDirectPeers peers.
std::optional<GossipPush>
NextPush(GossipState& aGossip, TimePoint aNow, Rng& aRng);

// Returns a random peer to compare digests with if an exchange is due at aNow. Exchanges are
// kDigestInterval apart, varied by 20%.
std::optional<std::string>
NextDigestPeer(GossipState& aGossip, TimePoint aNow, Rng& aRng);

// Schedules the next exchange at most kTruncatedPullDelay after aNow. Call it after a truncated
// pull.
void
ContinuePull(GossipState& aGossip, TimePoint aNow);

// Returns aInterval, changed at random by up to 20% in either direction.
Duration
WithJitter(Duration aInterval, Rng& aRng);

} // namespace apricotyard

#endif
