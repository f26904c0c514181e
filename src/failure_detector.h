// Whether the other entry hosts are alive. Pure; not thread-safe.
//
// Follows SWIM (Das, Gupta and Motivala, 2002): random probes, indirect probes through other hosts
// before a suspicion, and a suspicion that the suspect can deny. An indirect answer counts as a
// sign of life, so a link that fails in one direction makes no host suspect.
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

// Time between probe rounds, and between repeated probes of a peer that did not answer.
inline constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
// Without an answer for this time, other hosts are asked to probe. One-way delays are 4 ms.
inline constexpr Duration kIndirectAfter = std::chrono::milliseconds(400);
// The times below add up to less than the lease of 6 s: at 780 hosts 0.5 s on average until some
// host probes, 1.25 s until it suspects, 0.5 s until all know, 1.25 s until the peer is dead.
inline constexpr Duration kSuspectAfter = std::chrono::milliseconds(1250);
inline constexpr Duration kDeadAfter = std::chrono::milliseconds(1250);
inline constexpr std::size_t kIndirectProbes = 3;
// Up to this number of peers each is probed in every round. Above it a round is twice as long and
// probes one random peer, and the digest exchange of each second counts as another probe.
inline constexpr std::size_t kProbeAllPeers = 16;
// A new rumour causes extra pings at once, as with heartbeats alone it took 12 s to reach 100 hosts
// and a denial came too late: pings in a round, rounds, and time between them.
inline constexpr std::size_t kUrgentPings = 4;
inline constexpr std::uint32_t kUrgentRounds = 3;
inline constexpr Duration kUrgentInterval = std::chrono::milliseconds(50);
// Rumours in one message, and the number of messages that carry each.
inline constexpr std::size_t kMaxRumours = 8;
inline constexpr std::uint32_t kRumourSends = 30;

// The numbers follow charts/peer.toml.
enum class PeerState : ChartState
{
  Alive,
  Suspect,
  Dead,
};

std::string_view
PeerStateName(PeerState aState);

// Loads the chart and checks its names against PeerState and the events of the detector.
Expected<Chart>
LoadPeerChart(const std::string& aPath);

// A suspicion, or its denial if mState is Alive.
struct Rumour
{
  std::string mSubject;
  // 0 if the sender never heard the subject.
  std::uint64_t mIncarnation = 0;
  // Raised by the subject with every denial.
  std::uint64_t mDenial = 0;
  PeerState mState = PeerState::Alive;
};

struct DetectorPeer
{
  PeerState mState = PeerState::Alive;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mDenial = 0;
  TimePoint mHeardAt;
  TimePoint mSuspectSince;
  // The first probe that has not been answered.
  std::optional<TimePoint> mProbedSince;
  TimePoint mNextProbe;
};

struct HeldRumour
{
  Rumour mRumour;
  std::uint32_t mSendsLeft = 0;
};

struct Detector
{
  // Precondition: set, and it outlives the detector.
  const Chart* mChart = nullptr;
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mDenial = 0;
  std::map<std::string, DetectorPeer> mPeers;
  // The names of mPeers, for random choice.
  std::vector<std::string> mNames;
  // Peers with an unanswered probe or a suspicion; a tick looks only at these.
  std::set<std::string> mWatched;
  std::map<std::string, HeldRumour> mRumours;
  TimePoint mNextRound;
  std::uint32_t mUrgentRounds = 0;
  TimePoint mNextUrgent;
};

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

struct DetectorActions
{
  std::vector<std::string> mPings;
  std::vector<IndirectProbe> mIndirect;
  std::vector<PeerChange> mChanges;
};

// Replaces the peers. Known peers keep their state; new ones count as heard now.
void
SetDetectorPeers(Detector& aDetector, const std::vector<std::string>& aPeers, TimePoint aNow);

// Handles what is due. To be called at least every 100 ms.
DetectorActions
DetectorTick(Detector& aDetector, TimePoint aNow, Rng& aRng);

// Another message that expects an answer was sent to the peer; it counts as a probe.
void
OnProbeSent(Detector& aDetector, const std::string& aPeer, TimePoint aNow);

// A message or answer of a peer arrived, directly or through another host. Returns the change of
// its state, if any.
std::optional<PeerChange>
OnHeard(Detector& aDetector, const std::string& aPeer, std::uint64_t aIncarnation, TimePoint aNow);

// A rumour arrived. One about this host is denied. One about a peer that was heard within
// kSuspectAfter only causes a probe, so that an isolated host cannot make others suspects.
std::optional<PeerChange>
OnRumour(Detector& aDetector, const Rumour& aRumour, TimePoint aNow);

// The rumours for the next message.
std::vector<Rumour>
TakeRumours(Detector& aDetector);

// True if no peer was heard for kSuspectAfter plus kDeadAfter: the fault is then more likely here.
bool
IsIsolated(const Detector& aDetector, TimePoint aNow);

} // namespace apricotyard

#endif
