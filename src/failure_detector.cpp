#include "failure_detector.h"

#include <algorithm>
#include <tuple>

namespace apricotyard {

namespace {

// The numbers of the chart's events, in the order of charts/peer.toml.
constexpr ChartEvent kHeard = 0;
constexpr ChartEvent kMissed = 1;
constexpr ChartEvent kReported = 2;
constexpr ChartEvent kRefuted = 3;
constexpr ChartEvent kExpired = 4;

void
Spread(Detector& aDetector, const Rumour& aRumour)
{
  aDetector.mRumours[aRumour.mSubject] = { aRumour, kRumourSends };
  aDetector.mUrgentRounds = kUrgentRounds;
}

std::optional<PeerChange>
Apply(Detector& aDetector,
      const std::string& aName,
      DetectorPeer& aPeer,
      ChartEvent aEvent,
      TimePoint aNow)
{
  const auto state = static_cast<ChartState>(aPeer.mState);
  const ChartState next = Step(*aDetector.mChart, state, aEvent);
  if (next == kNoTransition || next == state) {
    return std::nullopt;
  }
  aPeer.mState = static_cast<PeerState>(next);
  if (aPeer.mState == PeerState::Suspect) {
    aPeer.mSuspectSince = aNow;
  }
  return PeerChange{ aName, aPeer.mState };
}

std::string
RandomPeer(const Detector& aDetector, Rng& aRng)
{
  return aDetector.mNames[aRng() % aDetector.mNames.size()];
}

void
ProbeIndirectly(const Detector& aDetector,
                const std::string& aSubject,
                Rng& aRng,
                DetectorActions& aActions)
{
  std::set<std::string> via;
  // A few draws more than needed, as draws may repeat.
  for (std::size_t i = 0; i < 4 * kIndirectProbes && via.size() < kIndirectProbes; ++i) {
    std::string peer = RandomPeer(aDetector, aRng);
    if (peer != aSubject && aDetector.mPeers.at(peer).mState != PeerState::Dead) {
      via.insert(std::move(peer));
    }
  }
  for (const std::string& host : via) {
    aActions.mIndirect.push_back({ host, aSubject });
  }
}

void
Ping(Detector& aDetector,
     const std::string& aName,
     DetectorPeer& aPeer,
     TimePoint aNow,
     DetectorActions& aActions)
{
  aDetector.mWatched.insert(aName);
  aPeer.mNextProbe = aNow + kProbeInterval;
  if (!aPeer.mProbedSince) {
    aPeer.mProbedSince = aNow;
  }
  aActions.mPings.push_back(aName);
}

// Judges a peer by the time since its first unanswered probe, and probes it again.
void
Judge(Detector& aDetector,
      const std::string& aName,
      DetectorPeer& aPeer,
      TimePoint aNow,
      Rng& aRng,
      DetectorActions& aActions)
{
  const Duration unanswered = aNow - *aPeer.mProbedSince;
  std::optional<PeerChange> change;
  if (unanswered >= kSuspectAfter) {
    change = Apply(aDetector, aName, aPeer, kMissed, aNow);
    if (change) {
      Spread(aDetector, { aName, aPeer.mIncarnation, aPeer.mDenial, PeerState::Suspect });
    }
  }
  if (!change && aPeer.mState == PeerState::Suspect && aNow - aPeer.mSuspectSince >= kDeadAfter) {
    change = Apply(aDetector, aName, aPeer, kExpired, aNow);
  }
  if (change) {
    aActions.mChanges.push_back(*change);
  }
  // Later probes find a peer that returned; a dead one is probed only in its turn.
  if (aNow >= aPeer.mNextProbe && aPeer.mState != PeerState::Dead) {
    Ping(aDetector, aName, aPeer, aNow, aActions);
    if (unanswered >= kIndirectAfter) {
      ProbeIndirectly(aDetector, aName, aRng, aActions);
    }
  }
}

void
StartRound(Detector& aDetector, TimePoint aNow, Rng& aRng, DetectorActions& aActions)
{
  // The first round falls at a random time, so that hosts that start together do not probe at once.
  const bool few = aDetector.mPeers.size() <= kProbeAllPeers;
  const Duration interval = few ? kProbeInterval : 2 * kProbeInterval;
  const bool first = aDetector.mNextRound == TimePoint{};
  aDetector.mNextRound = aNow + interval * static_cast<std::int64_t>(900 + aRng() % 201) / 1000;
  if (first) {
    aDetector.mNextRound = aNow + interval * static_cast<std::int64_t>(aRng() % 1000) / 1000;
    return;
  }
  if (!few) {
    const std::string name = RandomPeer(aDetector, aRng);
    Ping(aDetector, name, aDetector.mPeers.at(name), aNow, aActions);
    return;
  }
  for (auto& [name, peer] : aDetector.mPeers) {
    if (!peer.mProbedSince || peer.mState == PeerState::Dead) {
      Ping(aDetector, name, peer, aNow, aActions);
    }
  }
}

} // namespace

std::string_view
PeerStateName(PeerState aState)
{
  constexpr std::string_view kNames[] = { "alive", "suspect", "dead" };
  return kNames[static_cast<std::size_t>(aState)];
}

Expected<Chart>
LoadPeerChart(const std::string& aPath)
{
  auto chart = LoadChart(aPath);
  if (chart) {
    const auto names = CheckNames(*chart,
                                  { "alive", "suspect", "dead" },
                                  { "heard", "missed", "reported", "refuted", "expired" });
    if (!names) {
      return tl::unexpected(names.error());
    }
  }
  return chart;
}

void
SetDetectorPeers(Detector& aDetector, const std::vector<std::string>& aPeers, TimePoint aNow)
{
  std::map<std::string, DetectorPeer> peers;
  for (const std::string& name : aPeers) {
    if (name == aDetector.mHost) {
      continue;
    }
    const auto known = aDetector.mPeers.find(name);
    if (known != aDetector.mPeers.end()) {
      peers.emplace(name, known->second);
    } else {
      peers[name].mHeardAt = aNow;
    }
  }
  aDetector.mPeers = std::move(peers);
  aDetector.mNames.clear();
  aDetector.mWatched.clear();
  for (const auto& [name, peer] : aDetector.mPeers) {
    aDetector.mNames.push_back(name);
    aDetector.mWatched.insert(name);
  }
}

DetectorActions
DetectorTick(Detector& aDetector, TimePoint aNow, Rng& aRng)
{
  DetectorActions actions;
  // A copy, because judging a peer may watch it again.
  const std::vector<std::string> watched(aDetector.mWatched.begin(), aDetector.mWatched.end());
  for (const std::string& name : watched) {
    DetectorPeer& peer = aDetector.mPeers.at(name);
    if (peer.mProbedSince) {
      Judge(aDetector, name, peer, aNow, aRng, actions);
    } else if (peer.mState == PeerState::Suspect && aNow - peer.mSuspectSince >= kDeadAfter) {
      // Suspected by a rumour and never denied.
      if (const auto change = Apply(aDetector, name, peer, kExpired, aNow)) {
        actions.mChanges.push_back(*change);
      }
    }
    if (peer.mState == PeerState::Dead || (!peer.mProbedSince && peer.mState == PeerState::Alive)) {
      aDetector.mWatched.erase(name);
    }
  }
  if (aNow >= aDetector.mNextRound && !aDetector.mPeers.empty()) {
    StartRound(aDetector, aNow, aRng, actions);
  }
  if (aDetector.mUrgentRounds > 0 && aNow >= aDetector.mNextUrgent) {
    --aDetector.mUrgentRounds;
    aDetector.mNextUrgent = aNow + kUrgentInterval;
    for (std::size_t i = 0; i < kUrgentPings && !aDetector.mPeers.empty(); ++i) {
      actions.mPings.push_back(RandomPeer(aDetector, aRng));
    }
  }
  return actions;
}

void
OnProbeSent(Detector& aDetector, const std::string& aPeer, TimePoint aNow)
{
  const auto peer = aDetector.mPeers.find(aPeer);
  if (peer != aDetector.mPeers.end() && !peer->second.mProbedSince) {
    peer->second.mProbedSince = aNow;
    peer->second.mNextProbe = aNow + kProbeInterval;
    aDetector.mWatched.insert(aPeer);
  }
}

std::optional<PeerChange>
OnHeard(Detector& aDetector, const std::string& aPeer, std::uint64_t aIncarnation, TimePoint aNow)
{
  const auto found = aDetector.mPeers.find(aPeer);
  if (found == aDetector.mPeers.end() || aIncarnation < found->second.mIncarnation) {
    return std::nullopt;
  }
  DetectorPeer& peer = found->second;
  if (aIncarnation > peer.mIncarnation) {
    peer.mIncarnation = aIncarnation;
    peer.mDenial = 0;
  }
  peer.mHeardAt = std::max(peer.mHeardAt, aNow);
  peer.mProbedSince.reset();
  auto change = Apply(aDetector, aPeer, peer, kHeard, aNow);
  if (change) {
    // Only the subject may deny for others; this host just stops spreading its own suspicion.
    aDetector.mRumours.erase(aPeer);
  }
  return change;
}

std::optional<PeerChange>
OnRumour(Detector& aDetector, const Rumour& aRumour, TimePoint aNow)
{
  if (aRumour.mSubject == aDetector.mHost) {
    const bool current =
      aRumour.mIncarnation == 0 ||
      (aRumour.mIncarnation == aDetector.mIncarnation && aRumour.mDenial >= aDetector.mDenial);
    if (aRumour.mState != PeerState::Alive && current) {
      aDetector.mDenial = std::max(aDetector.mDenial, aRumour.mDenial) + 1;
      Spread(aDetector,
             { aDetector.mHost, aDetector.mIncarnation, aDetector.mDenial, PeerState::Alive });
    }
    return std::nullopt;
  }
  const auto found = aDetector.mPeers.find(aRumour.mSubject);
  if (found == aDetector.mPeers.end()) {
    return std::nullopt;
  }
  DetectorPeer& peer = found->second;
  const auto offered = std::tie(aRumour.mIncarnation, aRumour.mDenial);
  const auto known = std::tie(peer.mIncarnation, peer.mDenial);
  if (aRumour.mState == PeerState::Alive) {
    if (offered <= known) {
      return std::nullopt;
    }
    peer.mIncarnation = aRumour.mIncarnation;
    peer.mDenial = aRumour.mDenial;
    peer.mProbedSince.reset();
    Spread(aDetector, aRumour);
    return Apply(aDetector, aRumour.mSubject, peer, kRefuted, aNow);
  }
  // A host that never heard the subject does not know its incarnation and reports 0.
  const bool unknown = aRumour.mIncarnation == 0;
  if (!unknown && offered < known) {
    return std::nullopt;
  }
  if (aNow - peer.mHeardAt < kSuspectAfter) {
    if (!peer.mProbedSince) {
      peer.mProbedSince = peer.mNextProbe = aNow;
      aDetector.mWatched.insert(aRumour.mSubject);
    }
    return std::nullopt;
  }
  if (!unknown) {
    peer.mIncarnation = aRumour.mIncarnation;
    peer.mDenial = aRumour.mDenial;
  }
  auto change = Apply(aDetector, aRumour.mSubject, peer, kReported, aNow);
  if (change) {
    aDetector.mWatched.insert(aRumour.mSubject);
    Spread(aDetector, { aRumour.mSubject, peer.mIncarnation, peer.mDenial, PeerState::Suspect });
  }
  return change;
}

std::vector<Rumour>
TakeRumours(Detector& aDetector)
{
  std::vector<Rumour> rumours;
  for (auto held = aDetector.mRumours.begin();
       held != aDetector.mRumours.end() && rumours.size() < kMaxRumours;) {
    rumours.push_back(held->second.mRumour);
    held = --held->second.mSendsLeft == 0 ? aDetector.mRumours.erase(held) : std::next(held);
  }
  return rumours;
}

bool
IsIsolated(const Detector& aDetector, TimePoint aNow)
{
  return !aDetector.mPeers.empty() &&
         std::all_of(aDetector.mPeers.begin(), aDetector.mPeers.end(), [&](const auto& aEntry) {
           return aNow - aEntry.second.mHeardAt >= kSuspectAfter + kDeadAfter;
         });
}

} // namespace apricotyard
