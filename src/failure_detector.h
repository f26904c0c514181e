// Failure detector for the other entry hosts. Does no I/O and reads no clock; not thread-safe.
//
// Follows SWIM (Das, Gupta and Motivala, 2002): a host probes its peers at random, asks other hosts
// to probe a peer before it suspects it, and gives the suspected host time to refute the suspicion.
// An answer to an indirect probe shows that the peer is alive, so a link that fails in one
// direction does not make either host suspect.
#ifndef APRICOTYARD_FAILURE_DETECTOR_H
#define APRICOTYARD_FAILURE_DETECTOR_H

#include "chart.h"
#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

// Time between probe rounds, and between repeated probes of a peer that has not answered.
inline constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
// If a probe has had no answer for this time when it is repeated, the host asks others to probe the
// peer as well. One-way delays between data centres are 4 ms.
inline constexpr Duration kIndirectProbeDelay = std::chrono::milliseconds(400);
// How long a probe may stay unanswered until the peer becomes suspect, and how long a suspicion may
// stay unrefuted until the peer is dead. Detection must take less than the lease of 6 s. At 780
// hosts it takes 0.5 s on average until some host probes the peer, 1.25 s until that host suspects
// it, 0.5 s until all hosts know, and 1.25 s until the peer is dead.
inline constexpr Duration kSuspectTimeout = std::chrono::milliseconds(1250);
inline constexpr Duration kDeadTimeout = std::chrono::milliseconds(1250);
// Number of hosts that are asked to probe a peer.
inline constexpr std::size_t kIndirectProbes = 3;
// With at most this many peers, each of them is probed in every round. With more, a round takes
// twice as long and probes one random peer; the digest exchange of each second then counts as
// another probe.
inline constexpr std::size_t kMaxFullyProbedPeers = 16;
// A new rumour is spread by extra pings at once: kRumourBurstPings in each of kRumourBurstRounds,
// which are kRumourBurstInterval apart. With regular heartbeats alone a rumour takes 12 s to
// reach 100 hosts, and a refutation comes too late.
inline constexpr std::size_t kRumourBurstPings = 4;
inline constexpr std::uint32_t kRumourBurstRounds = 3;
inline constexpr Duration kRumourBurstInterval = std::chrono::milliseconds(50);
// Maximum number of rumours in one message, and the number of messages that carry each rumour.
inline constexpr std::size_t kMaxRumoursPerMessage = 8;
inline constexpr std::uint32_t kRumourTransmissions = 30;

// The values are the state numbers of charts/peer.toml.
enum class PeerState : ChartState
{
  Alive,
  Suspect,
  Dead,
};

std::string_view
PeerStateName(PeerState aState);

// Loads the state chart and checks its names against PeerState and the detector's events. Fails
// with InvalidChart.
Expected<Chart>
LoadPeerChart(const std::string& aPath);

// A claim about the state of a host that hosts pass on to each other: a suspicion, or its
// refutation if mState is Alive.
struct Rumour
{
  // The host that the rumour is about.
  std::string mSubject;
  // 0 if the sender has never heard from the subject.
  std::uint64_t mIncarnation = 0;
  // Number of the refutation. The subject raises it each time it refutes a suspicion.
  std::uint64_t mRefutation = 0;
  PeerState mState = PeerState::Alive;
};

struct DetectorPeer
{
  PeerState mState = PeerState::Alive;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mRefutation = 0;
  TimePoint mHeardAt;
  TimePoint mSuspectSince;
  // When the oldest unanswered probe was sent.
  std::optional<TimePoint> mProbedSince;
  TimePoint mNextProbeAt;
};

// A rumour that is still to be sent.
struct PendingRumour
{
  Rumour mRumour;
  std::uint32_t mTransmissionsLeft = 0;
};

struct FailureDetector
{
  // Must be set, and must outlive the detector.
  const Chart* mChart = nullptr;
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mRefutation = 0;
  std::map<std::string, DetectorPeer> mPeers;
  // The keys of mPeers, for choosing one at random.
  std::vector<std::string> mPeerNames;
  // Peers with an unanswered probe or a suspicion. A tick examines only these.
  std::set<std::string> mPeersToCheck;
  // Rumours to send, by subject.
  std::map<std::string, PendingRumour> mRumours;
  TimePoint mNextRoundAt;
  std::uint32_t mBurstRoundsLeft = 0;
  TimePoint mNextBurstAt;
};

// Asks the host mVia to probe mSubject.
struct IndirectProbe
{
  std::string mVia;
  std::string mSubject;
};

struct PeerChange
{
  std::string mPeer;
  PeerState mState = PeerState::Alive;
};

// What the caller must send, and the state changes that it must act on.
struct DetectorActions
{
  std::vector<std::string> mPings;
  std::vector<IndirectProbe> mIndirectProbes;
  std::vector<PeerChange> mChanges;
};

// Replaces the set of peers. Known peers keep their state; new ones are treated as heard at aNow.
// An entry of this host is ignored.
void
SetDetectorPeers(FailureDetector& aDetector,
                 const std::vector<std::string>& aPeers,
                 TimePoint aNow);

// Performs the actions that are due at aNow. Call it at least every 100 ms.
DetectorActions
DetectorTick(FailureDetector& aDetector, TimePoint aNow, Rng& aRng);

// Records that a message other than a ping was sent to the peer. Its answer is expected like that
// of a probe.
void
OnProbeSent(FailureDetector& aDetector, const std::string& aPeer, TimePoint aNow);

// Records that a message or an answer of a peer arrived, directly or through another host. Returns
// the change of the peer's state, if any.
std::optional<PeerChange>
OnPeerHeard(FailureDetector& aDetector,
            const std::string& aPeer,
            std::uint64_t aIncarnation,
            TimePoint aNow);

// Handles a received rumour, and returns the change of the subject's state, if any. A suspicion of
// this host is refuted. A suspicion of a peer that was heard within kSuspectTimeout only causes a
// probe, so that an isolated host cannot make its peers suspect.
std::optional<PeerChange>
OnRumour(FailureDetector& aDetector, const Rumour& aRumour, TimePoint aNow);

// Returns the rumours for the next message and counts them as sent once.
std::vector<Rumour>
TakeRumours(FailureDetector& aDetector);

// Returns true if there are peers and none of them was heard for kSuspectTimeout plus kDeadTimeout.
// The fault is then more likely to be at this host.
bool
IsIsolated(const FailureDetector& aDetector, TimePoint aNow);

} // namespace apricotyard

#endif
