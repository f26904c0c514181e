#include "failure_detector.h"

#include <algorithm>
#include <tuple>

namespace apricotyard {

namespace {

// Event numbers of charts/peer.toml, in the order of its list.
constexpr ChartEvent kHeard = 0;
constexpr ChartEvent kMissed = 1;
constexpr ChartEvent kReported = 2;
constexpr ChartEvent kRefuted = 3;
constexpr ChartEvent kExpired = 4;

void
SpreadRumour(FailureDetector& aDetector, const Rumour& aRumour)
{
  aDetector.mRumours[aRumour.mSubject] = { aRumour, kRumourTransmissions };
  aDetector.mBurstRoundsLeft = kRumourBurstRounds;
}

std::optional<PeerChange>
ApplyEvent(FailureDetector& aDetector,
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
RandomPeer(const FailureDetector& aDetector, Rng& aRng)
{
  return aDetector.mPeerNames[aRng() % aDetector.mPeerNames.size()];
}

void
ProbeIndirectly(const FailureDetector& aDetector,
                const std::string& aSubject,
                Rng& aRng,
                DetectorActions& aActions)
{
  std::set<std::string> via;
  // Draws more often than needed, because a draw may repeat a peer or hit a dead one.
  for (std::size_t i = 0; i < 4 * kIndirectProbes && via.size() < kIndirectProbes; ++i) {
    std::string peer = RandomPeer(aDetector, aRng);
    if (peer != aSubject && aDetector.mPeers.at(peer).mState != PeerState::Dead) {
      via.insert(std::move(peer));
    }
  }
  for (const std::string& host : via) {
    aActions.mIndirectProbes.push_back({ host, aSubject });
  }
}

void
Ping(FailureDetector& aDetector,
     const std::string& aName,
     DetectorPeer& aPeer,
     TimePoint aNow,
     DetectorActions& aActions)
{
  aDetector.mPeersToCheck.insert(aName);
  aPeer.mNextProbeAt = aNow + kProbeInterval;
  if (!aPeer.mProbedSince) {
    aPeer.mProbedSince = aNow;
  }
  aActions.mPings.push_back(aName);
}

// Updates the state of a peer by the time since its oldest unanswered probe, and probes it again if
// due.
void
CheckUnansweredPeer(FailureDetector& aDetector,
                    const std::string& aName,
                    DetectorPeer& aPeer,
                    TimePoint aNow,
                    Rng& aRng,
                    DetectorActions& aActions)
{
  const Duration unanswered = aNow - *aPeer.mProbedSince;
  std::optional<PeerChange> change;
  if (unanswered >= kSuspectTimeout) {
    change = ApplyEvent(aDetector, aName, aPeer, kMissed, aNow);
    if (change) {
      SpreadRumour(aDetector, { aName, aPeer.mIncarnation, aPeer.mRefutation, PeerState::Suspect });
    }
  }
  if (!change && aPeer.mState == PeerState::Suspect && aNow - aPeer.mSuspectSince >= kDeadTimeout) {
    change = ApplyEvent(aDetector, aName, aPeer, kExpired, aNow);
  }
  if (change) {
    aActions.mChanges.push_back(*change);
  }
  // Repeated probes detect that a peer has returned. A dead peer is probed only in the regular
  // rounds.
  if (aNow >= aPeer.mNextProbeAt && aPeer.mState != PeerState::Dead) {
    Ping(aDetector, aName, aPeer, aNow, aActions);
    if (unanswered >= kIndirectProbeDelay) {
      ProbeIndirectly(aDetector, aName, aRng, aActions);
    }
  }
}

void
StartRound(FailureDetector& aDetector, TimePoint aNow, Rng& aRng, DetectorActions& aActions)
{
  // The first round starts at a random time, so that hosts that start together do not probe at the
  // same time.
  const bool probesAll = aDetector.mPeers.size() <= kMaxFullyProbedPeers;
  const Duration interval = probesAll ? kProbeInterval : 2 * kProbeInterval;
  const bool first = aDetector.mNextRoundAt == TimePoint{};
  aDetector.mNextRoundAt = aNow + interval * static_cast<std::int64_t>(900 + aRng() % 201) / 1000;
  if (first) {
    aDetector.mNextRoundAt = aNow + interval * static_cast<std::int64_t>(aRng() % 1000) / 1000;
    return;
  }
  if (!probesAll) {
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
    const auto names = CheckChartNames(*chart,
                                       { "alive", "suspect", "dead" },
                                       { "heard", "missed", "reported", "refuted", "expired" });
    if (!names) {
      return tl::unexpected(names.error());
    }
  }
  return chart;
}

void
SetDetectorPeers(FailureDetector& aDetector, const std::vector<std::string>& aPeers, TimePoint aNow)
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
  aDetector.mPeerNames.clear();
  aDetector.mPeersToCheck.clear();
  for (const auto& [name, peer] : aDetector.mPeers) {
    aDetector.mPeerNames.push_back(name);
    aDetector.mPeersToCheck.insert(name);
  }
}

DetectorActions
DetectorTick(FailureDetector& aDetector, TimePoint aNow, Rng& aRng)
{
  DetectorActions actions;
  // Iterates over a copy, because checking a peer may insert it again.
  const std::vector<std::string> peersToCheck(aDetector.mPeersToCheck.begin(),
                                              aDetector.mPeersToCheck.end());
  for (const std::string& name : peersToCheck) {
    DetectorPeer& peer = aDetector.mPeers.at(name);
    if (peer.mProbedSince) {
      CheckUnansweredPeer(aDetector, name, peer, aNow, aRng, actions);
    } else if (peer.mState == PeerState::Suspect && aNow - peer.mSuspectSince >= kDeadTimeout) {
      // The suspicion came from a rumour, and nobody has refuted it.
      if (const auto change = ApplyEvent(aDetector, name, peer, kExpired, aNow)) {
        actions.mChanges.push_back(*change);
      }
    }
    if (peer.mState == PeerState::Dead || (!peer.mProbedSince && peer.mState == PeerState::Alive)) {
      aDetector.mPeersToCheck.erase(name);
    }
  }
  if (aNow >= aDetector.mNextRoundAt && !aDetector.mPeers.empty()) {
    StartRound(aDetector, aNow, aRng, actions);
  }
  if (aDetector.mBurstRoundsLeft > 0 && aNow >= aDetector.mNextBurstAt) {
    --aDetector.mBurstRoundsLeft;
    aDetector.mNextBurstAt = aNow + kRumourBurstInterval;
    for (std::size_t i = 0; i < kRumourBurstPings && !aDetector.mPeers.empty(); ++i) {
      actions.mPings.push_back(RandomPeer(aDetector, aRng));
    }
  }
  return actions;
}

void
OnProbeSent(FailureDetector& aDetector, const std::string& aPeer, TimePoint aNow)
{
  const auto peer = aDetector.mPeers.find(aPeer);
  if (peer != aDetector.mPeers.end() && !peer->second.mProbedSince) {
    peer->second.mProbedSince = aNow;
    peer->second.mNextProbeAt = aNow + kProbeInterval;
    aDetector.mPeersToCheck.insert(aPeer);
  }
}

std::optional<PeerChange>
OnPeerHeard(FailureDetector& aDetector,
            const std::string& aPeer,
            std::uint64_t aIncarnation,
            TimePoint aNow)
{
  const auto found = aDetector.mPeers.find(aPeer);
  if (found == aDetector.mPeers.end() || aIncarnation < found->second.mIncarnation) {
    return std::nullopt;
  }
  DetectorPeer& peer = found->second;
  if (aIncarnation > peer.mIncarnation) {
    peer.mIncarnation = aIncarnation;
    peer.mRefutation = 0;
  }
  peer.mHeardAt = std::max(peer.mHeardAt, aNow);
  peer.mProbedSince.reset();
  auto change = ApplyEvent(aDetector, aPeer, peer, kHeard, aNow);
  if (change) {
    // Only the subject may refute a suspicion towards other hosts. This host just stops spreading
    // its own suspicion.
    aDetector.mRumours.erase(aPeer);
  }
  return change;
}

std::optional<PeerChange>
OnRumour(FailureDetector& aDetector, const Rumour& aRumour, TimePoint aNow)
{
  if (aRumour.mSubject == aDetector.mHost) {
    const bool current =
      aRumour.mIncarnation == 0 || (aRumour.mIncarnation == aDetector.mIncarnation &&
                                    aRumour.mRefutation >= aDetector.mRefutation);
    if (aRumour.mState != PeerState::Alive && current) {
      aDetector.mRefutation = std::max(aDetector.mRefutation, aRumour.mRefutation) + 1;
      SpreadRumour(
        aDetector,
        { aDetector.mHost, aDetector.mIncarnation, aDetector.mRefutation, PeerState::Alive });
    }
    return std::nullopt;
  }
  const auto found = aDetector.mPeers.find(aRumour.mSubject);
  if (found == aDetector.mPeers.end()) {
    return std::nullopt;
  }
  DetectorPeer& peer = found->second;
  const auto received = std::tie(aRumour.mIncarnation, aRumour.mRefutation);
  const auto known = std::tie(peer.mIncarnation, peer.mRefutation);
  if (aRumour.mState == PeerState::Alive) {
    if (received <= known) {
      return std::nullopt;
    }
    peer.mIncarnation = aRumour.mIncarnation;
    peer.mRefutation = aRumour.mRefutation;
    peer.mProbedSince.reset();
    SpreadRumour(aDetector, aRumour);
    return ApplyEvent(aDetector, aRumour.mSubject, peer, kRefuted, aNow);
  }
  // A host that has never heard from the subject does not know its incarnation and sends 0.
  const bool unknownIncarnation = aRumour.mIncarnation == 0;
  if (!unknownIncarnation && received < known) {
    return std::nullopt;
  }
  if (aNow - peer.mHeardAt < kSuspectTimeout) {
    if (!peer.mProbedSince) {
      peer.mProbedSince = peer.mNextProbeAt = aNow;
      aDetector.mPeersToCheck.insert(aRumour.mSubject);
    }
    return std::nullopt;
  }
  if (!unknownIncarnation) {
    peer.mIncarnation = aRumour.mIncarnation;
    peer.mRefutation = aRumour.mRefutation;
  }
  auto change = ApplyEvent(aDetector, aRumour.mSubject, peer, kReported, aNow);
  if (change) {
    aDetector.mPeersToCheck.insert(aRumour.mSubject);
    SpreadRumour(aDetector,
                 { aRumour.mSubject, peer.mIncarnation, peer.mRefutation, PeerState::Suspect });
  }
  return change;
}

std::vector<Rumour>
TakeRumours(FailureDetector& aDetector)
{
  std::vector<Rumour> rumours;
  for (auto pending = aDetector.mRumours.begin();
       pending != aDetector.mRumours.end() && rumours.size() < kMaxRumoursPerMessage;) {
    rumours.push_back(pending->second.mRumour);
    pending = --pending->second.mTransmissionsLeft == 0 ? aDetector.mRumours.erase(pending)
                                                        : std::next(pending);
  }
  return rumours;
}

bool
IsIsolated(const FailureDetector& aDetector, TimePoint aNow)
{
  return !aDetector.mPeers.empty() &&
         std::all_of(aDetector.mPeers.begin(), aDetector.mPeers.end(), [&](const auto& aEntry) {
           return aNow - aEntry.second.mHeardAt >= kSuspectTimeout + kDeadTimeout;
         });
}

} // namespace apricotyard
