#include "discovery_node.h"

#include "codec.h"
#include "failure_detector.h"
#include "gossip.h"
#include "log.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

// Shorter than every interval of the modules. Changes of upstreams are collected for up to this
// time before they are passed to the engine and the shares.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(250);
// A replica that is no longer listed keeps its slots in the layout for this time, so that a restart
// does not move slots.
constexpr Duration kLayoutRetention = std::chrono::seconds(60);
// The layout is also recomputed at this interval if nothing has changed.
constexpr Duration kLayoutInterval = std::chrono::seconds(5);
// Each refused host is logged at most once in this time.
constexpr Duration kRefusalLogInterval = std::chrono::seconds(10);

// Event numbers of charts/entry_host.toml, in the order of its list.
constexpr ChartEvent kAdmitted = 0;
constexpr ChartEvent kLeaseLost = 1;
constexpr ChartEvent kStop = 2;

constexpr std::string_view kHostStateNames[] = { "joining",
                                                 "serving",
                                                 "suspended",
                                                 "leaving",
                                                 "stopped" };

// A peer and what it last reported about itself.
struct KnownPeer
{
  PeerInfo mInfo;
  EntryHostState mState = EntryHostState::Joining;
  std::uint64_t mLoad = 0;
  std::uint64_t mIncarnation = 0;
};

rpc::RumourItem
ToMessage(const Rumour& aRumour)
{
  rpc::RumourItem item;
  item.set_subject(aRumour.mSubject);
  item.set_incarnation(aRumour.mIncarnation);
  item.set_denial(aRumour.mRefutation);
  item.set_state(static_cast<std::uint32_t>(aRumour.mState));
  return item;
}

rpc::LayoutReport
ToMessage(const ViewReport& aReport)
{
  rpc::LayoutReport report;
  report.set_group(aReport.mGroup);
  report.set_view(aReport.mView);
  report.set_layout(aReport.mLayout);
  report.set_ack_view(aReport.mAckView);
  report.set_ack_incarnation(aReport.mAckIncarnation);
  return report;
}

Expected<Chart>
LoadEntryHostChart(const std::string& aPath)
{
  auto chart = LoadChart(aPath);
  if (chart) {
    const auto names = CheckChartNames(*chart,
                                       { std::begin(kHostStateNames), std::end(kHostStateNames) },
                                       { "admitted", "lease_lost", "stop", "finished" });
    if (!names) {
      return tl::unexpected(names.error());
    }
  }
  return chart;
}

} // namespace

std::string_view
EntryHostStateName(EntryHostState aState)
{
  return kHostStateNames[static_cast<std::size_t>(aState)];
}

void
ToMessage(const DirectoryRecord& aRecord, Duration aIdle, rpc::Record& aMessage)
{
  const UpstreamInfo& info = aRecord.mInfo;
  aMessage.set_id(info.mId);
  aMessage.set_incarnation(info.mIncarnation);
  aMessage.set_sequence(info.mSequence);
  aMessage.set_service(info.mService);
  aMessage.set_map(info.mMap);
  aMessage.set_shard(info.mShard);
  aMessage.set_low(info.mRange.mLow);
  aMessage.set_high(info.mRange.mHigh);
  aMessage.set_address(FormatSocketAddress(info.mAddress));
  aMessage.set_data_centre(info.mDataCentre);
  aMessage.set_slots(info.mSlots);
  aMessage.set_connections(info.mConnections);
  for (const IndexVersion version : info.mVersions) {
    aMessage.add_versions(version);
  }
  aMessage.set_state(static_cast<std::uint32_t>(info.mState));
  aMessage.set_registrar(aRecord.mRegistrar);
  aMessage.set_registrar_incarnation(aRecord.mRegistrarIncarnation);
  aMessage.set_gone(aRecord.mGone);
  aMessage.set_idle_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(aIdle.count(), 0)) / 1000);
}

void
SetWarmup(const UpstreamInfo& aInfo, TimePoint aNow, rpc::Record& aMessage)
{
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(aInfo.mWarmupUntil - aNow);
  aMessage.set_warming_ms(left.count() > 0 ? static_cast<std::uint64_t>(left.count()) : 0);
}

TimePoint
WarmupUntil(const rpc::Record& aMessage, TimePoint aNow)
{
  // Keeps the sum within the range of TimePoint. No upstream warms up for longer.
  constexpr std::chrono::milliseconds kMaxWarmup = std::chrono::hours(24);
  const std::chrono::milliseconds left(
    std::min<std::uint64_t>(aMessage.warming_ms(), kMaxWarmup.count()));
  return left.count() > 0 ? aNow + left : TimePoint();
}

Expected<DirectoryRecord>
FromMessage(const rpc::Record& aMessage)
{
  DirectoryRecord record;
  UpstreamInfo& info = record.mInfo;
  info.mId = aMessage.id();
  info.mIncarnation = aMessage.incarnation();
  info.mSequence = aMessage.sequence();
  info.mService = aMessage.service();
  info.mMap = aMessage.map();
  info.mShard = aMessage.shard();
  info.mRange = { aMessage.low(), aMessage.high() };
  const auto address = ParseSocketAddress(aMessage.address());
  info.mDataCentre = aMessage.data_centre();
  info.mSlots = aMessage.slots();
  info.mConnections = aMessage.connections();
  info.mVersions.assign(aMessage.versions().begin(), aMessage.versions().end());
  info.mState = static_cast<UpstreamState>(aMessage.state());
  record.mRegistrar = aMessage.registrar();
  record.mRegistrarIncarnation = aMessage.registrar_incarnation();
  record.mGone = aMessage.gone();
  if (!address || info.mId.empty() || info.mSlots == 0 || info.mRange.mHigh > kKeySpace ||
      info.mRange.mHigh <= info.mRange.mLow ||
      aMessage.state() > static_cast<std::uint32_t>(UpstreamState::Left)) {
    return Fail(Result::BadRequest, fmt::format("record of '{}' is malformed", info.mId));
  }
  info.mAddress = *address;
  return record;
}

struct DiscoveryNode::Impl
{
  Loop& mLoop;
  DiscoveryIdentity mIdentity;
  DiscoveryHooks mHooks;
  Rng mRng;
  Chart mPeerChart;
  Chart mHostChart;
  EntryHostState mState = EntryHostState::Joining;
  Directory mDirectory;
  GossipState mGossip;
  FailureDetector mDetector;
  ShareState mShares;
  std::shared_ptr<const Config> mConfig;
  GroupNames mGroupNames;
  std::map<std::string, ShareGroup> mGroups;
  RosterEpoch mRoster;
  std::optional<RosterEpoch> mPendingRoster;
  bool mRosterFromControl = false;
  std::map<std::string, KnownPeer> mPeers;
  std::unique_ptr<PeerService> mService;
  bool mUpstreamsChanged = false;
  bool mLayoutOutdated = true;
  TimePoint mNextLayoutAt;
  bool mExchangeOpen = false;
  std::map<std::string, TimePoint> mRefusalLoggedAt;
  std::uint64_t mConflictsLogged = 0;
  Gauge& mListedUpstreams;
  Gauge& mBytesSent;
  Gauge& mBytesReceived;
  Gauge& mMessagesSent;
  Gauge& mShareSlots;

  Impl(Loop& aLoop, DiscoveryIdentity aIdentity, DiscoveryHooks aHooks, MetricsRegistry& aMetrics)
    : mLoop(aLoop)
    , mIdentity(std::move(aIdentity))
    , mHooks(std::move(aHooks))
    , mRng(mIdentity.mIncarnation)
    , mListedUpstreams(
        aMetrics.AddGauge("apricot_upstreams", "Upstreams that are announced and confirmed."))
    , mBytesSent(aMetrics.AddGauge("apricot_peer_sent_bytes",
                                   "Encoded messages sent to other entry hosts since the start."))
    , mBytesReceived(
        aMetrics.AddGauge("apricot_peer_received_bytes",
                          "Encoded messages received from other entry hosts since the start."))
    , mMessagesSent(aMetrics.AddGauge("apricot_peer_sent_messages",
                                      "Messages sent to other entry hosts since the start."))
    , mShareSlots(
        aMetrics.AddGauge("apricot_share_slots", "Upstream slots that this host may use."))
  {
    mDirectory.mHost = mDetector.mHost = mShares.mHost = mIdentity.mHost;
    mDirectory.mIncarnation = mDetector.mIncarnation = mShares.mIncarnation =
      mIdentity.mIncarnation;
  }

  // ---- Messages ----

  rpc::Sender MakeSender() const
  {
    rpc::Sender sender;
    sender.set_host(mIdentity.mHost);
    sender.set_incarnation(mIdentity.mIncarnation);
    sender.set_state(static_cast<std::uint32_t>(mState));
    sender.set_load(mHooks.mLoad ? mHooks.mLoad() : 0);
    return sender;
  }

  // Records that the sender of a message was heard, with its state and load. Fails with BadRequest
  // if the sender is not in the roster.
  Expected<void> AcceptSender(const rpc::Sender& aSender)
  {
    const auto peer = mPeers.find(aSender.host());
    if (peer == mPeers.end()) {
      const TimePoint now = SteadyNow();
      // Bounds the table even if a sender makes up host names.
      if (mRefusalLoggedAt.size() > 64) {
        mRefusalLoggedAt.clear();
      }
      const auto [refusal, first] = mRefusalLoggedAt.emplace(aSender.host(), now);
      if (first || now - refusal->second >= kRefusalLogInterval) {
        refusal->second = now;
        LogEvent(Event::PeerRefused,
                 { { "peer", aSender.host() }, { "reason", "not in the roster" } });
      }
      return Fail(Result::BadRequest, "host '" + aSender.host() + "' is not in the roster");
    }
    RecordPeerHeard(peer->first, aSender.incarnation());
    if (aSender.incarnation() >= peer->second.mIncarnation) {
      peer->second.mIncarnation = aSender.incarnation();
      peer->second.mState = static_cast<EntryHostState>(
        std::min(aSender.state(), static_cast<std::uint32_t>(EntryHostState::Stopped)));
      peer->second.mLoad = aSender.load();
    }
    return {};
  }

  void RecordPeerHeard(const std::string& aPeer, std::uint64_t aIncarnation)
  {
    const TimePoint now = SteadyNow();
    OnPeerChange(OnPeerHeard(mDetector, aPeer, aIncarnation, now));
    ConfirmRegistrar(mDirectory, aPeer, aIncarnation, now);
  }

  void OnPeerChange(const std::optional<PeerChange>& aChange)
  {
    if (!aChange) {
      return;
    }
    switch (aChange->mState) {
      case PeerState::Alive:
        LogEvent(Event::PeerAlive, { { "peer", aChange->mPeer } });
        ConfirmRegistrar(mDirectory,
                         aChange->mPeer,
                         mDetector.mPeers.at(aChange->mPeer).mIncarnation,
                         SteadyNow());
        break;
      case PeerState::Suspect:
        LogEvent(Event::PeerSuspected, { { "peer", aChange->mPeer } });
        break;
      case PeerState::Dead:
        LogEvent(Event::PeerDead, { { "peer", aChange->mPeer } });
        MarkRegistrarDead(mDirectory, aChange->mPeer);
        break;
    }
    UpdateGossipPeers();
  }

  void UpdateGossipPeers()
  {
    mGossip.mPeers.clear();
    for (const auto& [name, peer] : mDetector.mPeers) {
      if (peer.mState != PeerState::Dead) {
        mGossip.mPeers.push_back(name);
      }
    }
  }

  rpc::PingMessage MakePing(const std::string& aPeer)
  {
    rpc::PingMessage message;
    *message.mutable_sender() = MakeSender();
    for (const Rumour& rumour : TakeRumours(mDetector)) {
      *message.add_rumours() = ToMessage(rumour);
    }
    for (const ViewReport& report : ReportsFor(mShares, aPeer)) {
      *message.add_layouts() = ToMessage(report);
    }
    return message;
  }

  Expected<void> HandlePing(const rpc::PingMessage& aMessage)
  {
    if (auto accepted = AcceptSender(aMessage.sender()); !accepted) {
      return accepted;
    }
    for (const rpc::RumourItem& item : aMessage.rumours()) {
      const Rumour rumour{ item.subject(),
                           item.incarnation(),
                           item.denial(),
                           static_cast<PeerState>(
                             std::min(item.state(), static_cast<std::uint32_t>(PeerState::Dead))) };
      OnPeerChange(OnRumour(mDetector, rumour, SteadyNow()));
    }
    std::vector<ViewReport> reports;
    for (const rpc::LayoutReport& report : aMessage.layouts()) {
      reports.push_back({ report.group(),
                          report.view(),
                          report.layout(),
                          report.ack_view(),
                          report.ack_incarnation() });
    }
    const auto& sender = aMessage.sender();
    if (OnReports(mShares, sender.host(), sender.incarnation(), reports)) {
      PublishShares();
    }
    return {};
  }

  void SendPing(const std::string& aPeer)
  {
    mService->Ping(aPeer, MakePing(aPeer), [this](const Expected<rpc::PingMessage>& aReply) {
      if (aReply) {
        (void)HandlePing(*aReply);
      }
    });
  }

  Expected<void> RelayPing(const rpc::IndirectPing& aRequest,
                           const std::function<void(std::uint64_t)>& aAnswer)
  {
    if (auto accepted = AcceptSender(aRequest.sender()); !accepted) {
      return accepted;
    }
    mService->Ping(aRequest.subject(),
                   MakePing(aRequest.subject()),
                   [this, aAnswer](const Expected<rpc::PingMessage>& aReply) {
                     if (aReply) {
                       (void)HandlePing(*aReply);
                     }
                     aAnswer(aReply ? aReply->sender().incarnation() : 0);
                   });
    return {};
  }

  // ---- Records ----

  void AddRecord(const std::string& aUpstream, auto& aRecords) const
  {
    const auto record = mDirectory.mRecords.find(aUpstream);
    if (record != mDirectory.mRecords.end()) {
      const Duration idle = SteadyNow() - LastConfirmed(mDirectory, record->second);
      ToMessage(record->second, idle, *aRecords.Add());
    }
  }

  std::size_t ApplyRecords(const auto& aRecords)
  {
    std::size_t changed = 0;
    const TimePoint now = SteadyNow();
    for (const rpc::Record& message : aRecords) {
      const auto record = FromMessage(message);
      if (!record) {
        LogEvent(Event::AnnouncementRejected, { { "message", record.error().mMessage } });
        continue;
      }
      const Duration idle = std::chrono::milliseconds(
        std::min<std::uint64_t>(message.idle_ms(), kRecordRetention.count() / 1000));
      if (ApplyRecord(mDirectory, *record, idle, now) == AnnounceOutcome::Changed) {
        ++changed;
      }
    }
    QueueChanges(false);
    return changed;
  }

  void QueueChanges(bool aLocal)
  {
    for (const std::string& upstream : TakeChanges(mDirectory)) {
      const auto record = mDirectory.mRecords.find(upstream);
      // A record that this host registered counts as local even if a message of a peer made this
      // host raise its sequence number.
      const bool own =
        record != mDirectory.mRecords.end() && record->second.mRegistrar == mIdentity.mHost;
      QueueChange(mGossip, upstream, aLocal || own);
      mUpstreamsChanged = true;
    }
    if (mDirectory.mConflicts != mConflictsLogged) {
      mConflictsLogged = mDirectory.mConflicts;
      LogEvent(Event::AnnouncementRejected,
               { { "message", "two announcements with the same sequence number differ in content" },
                 { "count", mConflictsLogged } });
    }
  }

  void SendPush(const GossipPush& aPush)
  {
    rpc::GossipMessage message;
    *message.mutable_sender() = MakeSender();
    for (const std::string& upstream : aPush.mUpstreams) {
      AddRecord(upstream, *message.mutable_records());
    }
    for (const std::string& peer : aPush.mPeers) {
      mService->Gossip(peer, message);
    }
  }

  Expected<void> HandlePull(const rpc::PullRequest& aRequest, rpc::PullReply& aReply)
  {
    if (auto accepted = AcceptSender(aRequest.sender()); !accepted) {
      return accepted;
    }
    *aReply.mutable_sender() = MakeSender();
    if (aRequest.digest_size() == static_cast<int>(kDigestBuckets)) {
      Digest digest{};
      std::copy(aRequest.digest().begin(), aRequest.digest().end(), digest.begin());
      for (const std::uint32_t bucket : DifferingBuckets(digest, ComputeDigest(mDirectory))) {
        aReply.add_buckets(bucket);
      }
      return {};
    }
    const std::vector<std::uint32_t> buckets(aRequest.buckets().begin(), aRequest.buckets().end());
    const std::vector<std::uint64_t> hashes(aRequest.hashes().begin(), aRequest.hashes().end());
    const BucketDifference difference =
      CompareBuckets(mDirectory, buckets, hashes, kMaxRecordsPerPull);
    for (const std::string& upstream : difference.mUpstreamsToSend) {
      AddRecord(upstream, *aReply.mutable_records());
    }
    for (const std::uint64_t hash : difference.mMissingHashes) {
      aReply.add_want(hash);
    }
    aReply.set_truncated(difference.mUpstreamsToSend.size() >= kMaxRecordsPerPull);
    return {};
  }

  void StartDigestExchange(const std::string& aPeer)
  {
    rpc::PullRequest request;
    *request.mutable_sender() = MakeSender();
    for (const std::uint64_t hash : ComputeDigest(mDirectory)) {
      request.add_digest(hash);
    }
    mExchangeOpen = true;
    mService->Pull(aPeer, request, [this, aPeer](const Expected<rpc::PullReply>& aReply) {
      mExchangeOpen = false;
      if (aReply && AcceptSender(aReply->sender()) && aReply->buckets_size() > 0) {
        RequestBuckets(aPeer, { aReply->buckets().begin(), aReply->buckets().end() });
      }
    });
  }

  void RequestBuckets(const std::string& aPeer, const std::vector<std::uint32_t>& aBuckets)
  {
    rpc::PullRequest request;
    *request.mutable_sender() = MakeSender();
    for (const std::uint32_t bucket : aBuckets) {
      request.add_buckets(bucket);
    }
    for (const std::uint64_t hash : BucketHashes(mDirectory, aBuckets)) {
      request.add_hashes(hash);
    }
    mExchangeOpen = true;
    mService->Pull(aPeer, request, [this, aPeer](const Expected<rpc::PullReply>& aReply) {
      mExchangeOpen = false;
      if (aReply && AcceptSender(aReply->sender())) {
        HandlePulledRecords(aPeer, *aReply);
      }
    });
  }

  void HandlePulledRecords(const std::string& aPeer, const rpc::PullReply& aReply)
  {
    const std::size_t changed = ApplyRecords(aReply.records());
    rpc::GossipMessage message;
    *message.mutable_sender() = MakeSender();
    const std::set<std::uint64_t> wanted(aReply.want().begin(), aReply.want().end());
    for (const auto& [id, record] : mDirectory.mRecords) {
      if (wanted.contains(record.mHash) &&
          message.records_size() < static_cast<int>(kMaxRecordsPerMessage)) {
        AddRecord(id, *message.mutable_records());
      }
    }
    if (message.records_size() > 0) {
      mService->Gossip(aPeer, message);
    }
    if (changed + message.records_size() > 0) {
      LogEvent(Event::TablesCompared,
               { { "peer", aPeer }, { "received", changed }, { "sent", message.records_size() } });
    }
    if (aReply.truncated()) {
      ContinuePull(mGossip, SteadyNow());
    }
  }

  // ---- Shares ----

  void UpdateLayout(TimePoint aNow)
  {
    mLayoutOutdated = false;
    mNextLayoutAt = aNow + kLayoutInterval;
    std::vector<ShareReplica> replicas;
    for (const auto& [id, record] : mDirectory.mRecords) {
      if (record.mListed || LastConfirmed(mDirectory, record) + kLayoutRetention > aNow) {
        const UpstreamInfo& info = record.mInfo;
        replicas.push_back(
          { id, info.mService, info.mMap, info.mShard, info.mSlots, info.mConnections });
      }
    }
    mGroups = MakeGroups(mGroupNames, replicas);
    std::vector<std::uint64_t> viewsBefore;
    for (const auto& [name, group] : mShares.mGroups) {
      viewsBefore.push_back(group.mView);
    }
    const bool changed =
      SetView(mShares, mGroups, mRoster, mPendingRoster ? &*mPendingRoster : nullptr);
    std::vector<std::uint64_t> viewsAfter;
    for (const auto& [name, group] : mShares.mGroups) {
      viewsAfter.push_back(group.mView);
    }
    if (changed) {
      PublishShares();
    }
    if (viewsBefore != viewsAfter && mService != nullptr &&
        mDetector.mPeers.size() <= kMaxFullyProbedPeers) {
      // Peers wait until this host has confirmed the new view, so it sends its reports now and not
      // with the next heartbeat.
      for (const std::string& peer : mGossip.mPeers) {
        SendPing(peer);
      }
    }
  }

  void PublishShares()
  {
    const auto shares = UsedShares(mShares, mGroups);
    std::uint64_t slots = 0;
    for (const auto& [id, share] : shares) {
      slots += share.mSlots;
    }
    mShareSlots.Set(static_cast<double>(slots));
    LogEvent(Event::SharesChanged, { { "replicas", shares.size() }, { "slots", slots } });
    if (mHooks.mSetShares) {
      mHooks.mSetShares(shares);
    }
  }

  // ---- Timers ----

  void Tick()
  {
    const TimePoint now = SteadyNow();
    if (mService != nullptr) {
      RunDetector(now);
      if (const auto push = NextPush(mGossip, now, mRng)) {
        SendPush(*push);
      }
      if (!mExchangeOpen) {
        if (const auto peer = NextDigestPeer(mGossip, now, mRng)) {
          OnProbeSent(mDetector, *peer, now);
          StartDigestExchange(*peer);
        }
      }
    }
    if (mUpstreamsChanged) {
      mUpstreamsChanged = false;
      mLayoutOutdated = true;
      const std::vector<UpstreamInfo> listed = ListUpstreams(mDirectory);
      mListedUpstreams.Set(static_cast<double>(listed.size()));
      if (mHooks.mSetUpstreams) {
        mHooks.mSetUpstreams(listed);
      }
    }
    if (mLayoutOutdated || now >= mNextLayoutAt) {
      UpdateLayout(now);
    }
  }

  void RunDetector(TimePoint aNow)
  {
    const DetectorActions actions = DetectorTick(mDetector, aNow, mRng);
    for (const std::string& peer : actions.mPings) {
      SendPing(peer);
    }
    for (const IndirectProbe& probe : actions.mIndirectProbes) {
      rpc::IndirectPing request;
      *request.mutable_sender() = MakeSender();
      request.set_subject(probe.mSubject);
      mService->PingThrough(
        probe.mVia,
        request,
        [this, subject = probe.mSubject](const Expected<rpc::IndirectPingReply>& aReply) {
          if (aReply && aReply->incarnation() != 0) {
            RecordPeerHeard(subject, aReply->incarnation());
          }
        });
    }
    for (const PeerChange& change : actions.mChanges) {
      OnPeerChange(change);
    }
  }

  // With more than kMaxFullyProbedPeers peers, a peer is rarely heard directly. Confirms the
  // records of all registrars that no host suspects, unless this host is isolated.
  void ConfirmUnsuspectedRegistrars(TimePoint aNow)
  {
    if (mDetector.mPeers.size() <= kMaxFullyProbedPeers || IsIsolated(mDetector, aNow)) {
      return;
    }
    for (const auto& [name, peer] : mDetector.mPeers) {
      if (peer.mState == PeerState::Alive && peer.mIncarnation != 0) {
        ConfirmRegistrar(mDirectory, name, peer.mIncarnation, aNow);
      }
    }
  }

  void CheckLeases()
  {
    const TimePoint now = SteadyNow();
    ConfirmUnsuspectedRegistrars(now);
    for (const UpstreamInfo& info : ExpireLeases(mDirectory, now)) {
      LogEvent(Event::UpstreamExpired, { { "upstream", info.mId }, { "service", info.mService } });
      mUpstreamsChanged = true;
    }
    QueueChanges(true);
    if (mService != nullptr) {
      const PeerTraffic traffic = mService->Traffic();
      mBytesSent.Set(static_cast<double>(traffic.mBytesSent));
      mMessagesSent.Set(static_cast<double>(traffic.mMessagesSent));
      mBytesReceived.Set(static_cast<double>(traffic.mBytesReceived));
    }
  }

  void ApplyHostEvent(ChartEvent aEvent)
  {
    const auto state = static_cast<ChartState>(mState);
    const ChartState next = Step(mHostChart, state, aEvent);
    if (next == kNoTransition || next == state) {
      return;
    }
    mState = static_cast<EntryHostState>(next);
    LogEvent(Event::HostStateChanged, { { "state", EntryHostStateName(mState) } });
    // Reports the new state to all peers at once, so that they do not direct callers to a host that
    // is stopping.
    if (mService != nullptr) {
      for (const std::string& peer : mGossip.mPeers) {
        SendPing(peer);
      }
    }
  }

  // ---- Addresses ----

  std::vector<AddressHost> AddressHosts() const
  {
    std::vector<AddressHost> hosts{ { mIdentity.mHost,
                                      mIdentity.mDataCentre,
                                      mIdentity.mCallerAddress,
                                      mState == EntryHostState::Serving,
                                      mHooks.mLoad ? mHooks.mLoad() : 0 } };
    for (const auto& [name, peer] : mPeers) {
      const auto detectorPeer = mDetector.mPeers.find(name);
      const bool alive =
        detectorPeer != mDetector.mPeers.end() && detectorPeer->second.mState == PeerState::Alive;
      hosts.push_back({ name,
                        peer.mInfo.mDataCentre,
                        peer.mInfo.mCallerAddress,
                        alive && peer.mState == EntryHostState::Serving,
                        peer.mLoad });
    }
    return hosts;
  }

  std::set<std::string> HomeHosts(const std::string& aCollection) const
  {
    std::set<std::string> homeHosts;
    const auto group = mGroupNames.mByCollection.find(aCollection);
    if (group == mGroupNames.mByCollection.end()) {
      return homeHosts;
    }
    const auto view = mShares.mGroups.find(group->second);
    if (view != mShares.mGroups.end()) {
      for (const ShareHost& host : view->second.mLayout.mHomes) {
        homeHosts.insert(host.mName);
      }
    }
    return homeHosts;
  }
};

DiscoveryNode::DiscoveryNode(Loop& aLoop,
                             DiscoveryIdentity aIdentity,
                             DiscoveryHooks aHooks,
                             MetricsRegistry& aMetrics)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aIdentity), std::move(aHooks), aMetrics))
{
}

DiscoveryNode::~DiscoveryNode() = default;

Expected<void>
DiscoveryNode::Start()
{
  Impl& impl = *mImpl;
  auto peerChart = LoadPeerChart(impl.mIdentity.mChartFolder + "/peer.toml");
  auto hostChart = LoadEntryHostChart(impl.mIdentity.mChartFolder + "/entry_host.toml");
  if (!peerChart || !hostChart) {
    return tl::unexpected(peerChart ? hostChart.error() : peerChart.error());
  }
  impl.mPeerChart = *std::move(peerChart);
  impl.mHostChart = *std::move(hostChart);
  impl.mDetector.mChart = &impl.mPeerChart;
  if (impl.mIdentity.mPeerAddress.mPort != 0) {
    PeerHandlers handlers;
    handlers.mGossip = [&impl](const rpc::GossipMessage& aMessage) {
      auto accepted = impl.AcceptSender(aMessage.sender());
      if (accepted) {
        impl.ApplyRecords(aMessage.records());
      }
      return accepted;
    };
    handlers.mPull = [&impl](const rpc::PullRequest& aRequest, rpc::PullReply& aReply) {
      return impl.HandlePull(aRequest, aReply);
    };
    handlers.mPing = [&impl](const rpc::PingMessage& aMessage, rpc::PingMessage& aReply) {
      auto handled = impl.HandlePing(aMessage);
      if (handled) {
        aReply = impl.MakePing(aMessage.sender().host());
      }
      return handled;
    };
    handlers.mPingThrough = [&impl](const rpc::IndirectPing& aRequest,
                                    const std::function<void(std::uint64_t)>& aAnswer) {
      return impl.RelayPing(aRequest, aAnswer);
    };
    handlers.mWitness = [&impl](const rpc::WitnessRequest& aRequest, rpc::WitnessReply& aReply) {
      auto accepted = impl.AcceptSender(aRequest.sender());
      if (accepted && impl.mHooks.mWitness) {
        impl.mHooks.mWitness(aRequest, aReply);
      }
      return accepted;
    };
    handlers.mSuspect = [&impl](const rpc::SuspectRequest& aRequest) {
      auto accepted = impl.AcceptSender(aRequest.sender());
      if (accepted && impl.mHooks.mSuspect) {
        impl.mHooks.mSuspect(aRequest);
      }
      return accepted;
    };
    impl.mService =
      std::make_unique<PeerService>(impl.mLoop, impl.mIdentity.mSecurity, std::move(handlers));
    if (auto started = impl.mService->Start(impl.mIdentity.mPeerAddress, impl.mHooks.mServices);
        !started) {
      return started;
    }
  }
  SetPeers({});
  impl.mLoop.AddPeriodic(kTickInterval, [&impl] { impl.Tick(); });
  impl.mLoop.AddPeriodic(kLeaseCheckInterval, [&impl] { impl.CheckLeases(); });
  return {};
}

void
DiscoveryNode::SetPeers(const std::vector<PeerInfo>& aPeers)
{
  Impl& impl = *mImpl;
  std::map<std::string, KnownPeer> peers;
  std::vector<std::string> names;
  std::vector<PeerInfo> others;
  RosterEpoch roster{ 0, { { impl.mIdentity.mHost, impl.mIdentity.mDataCentre } } };
  for (const PeerInfo& info : aPeers) {
    if (info.mHost == impl.mIdentity.mHost) {
      continue;
    }
    const auto known = impl.mPeers.find(info.mHost);
    peers[info.mHost] = known == impl.mPeers.end() ? KnownPeer{} : known->second;
    peers[info.mHost].mInfo = info;
    names.push_back(info.mHost);
    others.push_back(info);
    roster.mHosts.push_back({ info.mHost, info.mDataCentre });
  }
  std::sort(roster.mHosts.begin(), roster.mHosts.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mName < aRight.mName;
  });
  impl.mPeers = std::move(peers);
  SetDetectorPeers(impl.mDetector, names, SteadyNow());
  impl.UpdateGossipPeers();
  if (impl.mService != nullptr) {
    impl.mService->SetPeers(others);
  }
  if (!impl.mRosterFromControl) {
    impl.mRoster = std::move(roster);
    impl.mLayoutOutdated = true;
  }
}

void
DiscoveryNode::SetRoster(const RosterEpoch& aRoster, std::optional<RosterEpoch> aPending)
{
  mImpl->mRosterFromControl = true;
  mImpl->mRoster = aRoster;
  mImpl->mPendingRoster = std::move(aPending);
  mImpl->mLayoutOutdated = true;
}

void
DiscoveryNode::SetConfig(std::shared_ptr<const Config> aConfig)
{
  mImpl->mConfig = std::move(aConfig);
  mImpl->mGroupNames = NameGroups(*mImpl->mConfig);
  mImpl->mLayoutOutdated = true;
}

void
DiscoveryNode::SetMayServe(bool aMayServe)
{
  mImpl->ApplyHostEvent(aMayServe ? kAdmitted : kLeaseLost);
}

void
DiscoveryNode::BeginLeaving()
{
  mImpl->ApplyHostEvent(kStop);
}

EntryHostState
DiscoveryNode::State() const
{
  return mImpl->mState;
}

AnnounceOutcome
DiscoveryNode::Announce(const UpstreamInfo& aInfo)
{
  const AnnounceOutcome outcome = ApplyAnnouncement(mImpl->mDirectory, aInfo, SteadyNow());
  mImpl->mUpstreamsChanged = mImpl->mUpstreamsChanged || outcome == AnnounceOutcome::Changed;
  mImpl->QueueChanges(true);
  return outcome;
}

Expected<std::string>
DiscoveryNode::AddressAnswer(const std::string& aCollection, const std::string& aDataCentre)
{
  Impl& impl = *mImpl;
  if (!aCollection.empty() && impl.mConfig != nullptr &&
      !impl.mConfig->mCollections.contains(aCollection)) {
    return Fail(Result::UnknownCollection, "unknown collection '" + aCollection + "'");
  }
  const std::vector<AddressHost> chosen =
    ChooseAddresses(impl.AddressHosts(), impl.HomeHosts(aCollection), aDataCentre, impl.mRng);
  if (chosen.empty()) {
    return Fail(Result::NoServingHost, "no entry host that this host knows may serve");
  }
  nlohmann::json addresses = nlohmann::json::array();
  for (const AddressHost& host : chosen) {
    addresses.push_back({ { "host", host.mName },
                          { "address", FormatSocketAddress(host.mAddress) },
                          { "data_centre", host.mDataCentre } });
  }
  return nlohmann::json{
    { "addresses", addresses },
    { "lifetime_ms", std::chrono::milliseconds(kAddressLifetime).count() }
  }.dump();
}

std::optional<AddressHost>
DiscoveryNode::ForwardTarget(const std::string& aCollection)
{
  const std::set<std::string> homeHosts = mImpl->HomeHosts(aCollection);
  return ChooseForwardTarget(mImpl->AddressHosts(),
                             homeHosts,
                             mImpl->mIdentity.mHost,
                             mImpl->mIdentity.mDataCentre,
                             mImpl->mRng);
}

void
DiscoveryNode::SendSuspect(const rpc::SuspectRequest& aRequest)
{
  if (mImpl->mService == nullptr) {
    return;
  }
  for (const std::string& peer : mImpl->mGossip.mPeers) {
    rpc::SuspectRequest request = aRequest;
    *request.mutable_sender() = mImpl->MakeSender();
    mImpl->mService->Suspect(peer, std::move(request));
  }
}

void
DiscoveryNode::AskWitness(const std::string& aPeer,
                          rpc::WitnessRequest aRequest,
                          PeerCallback<rpc::WitnessReply> aCallback)
{
  if (mImpl->mService != nullptr) {
    *aRequest.mutable_sender() = mImpl->MakeSender();
    mImpl->mService->Witness(aPeer, std::move(aRequest), std::move(aCallback));
  }
}

std::string
DiscoveryNode::StatusJson() const
{
  const Impl& impl = *mImpl;
  const TimePoint now = SteadyNow();
  nlohmann::json upstreams = nlohmann::json::array();
  const auto shares = UsedShares(impl.mShares, impl.mGroups);
  for (const auto& [id, record] : impl.mDirectory.mRecords) {
    if (!record.mListed) {
      continue;
    }
    const auto share = shares.find(id);
    upstreams.push_back({ { "id", id },
                          { "service", record.mInfo.mService },
                          { "shard", record.mInfo.mShard },
                          { "map", record.mInfo.mMap },
                          { "versions", record.mInfo.mVersions },
                          { "state", UpstreamStateName(record.mInfo.mState) },
                          { "registrar", record.mRegistrar },
                          { "slots", share == shares.end() ? 0 : share->second.mSlots } });
  }
  nlohmann::json peers = nlohmann::json::array();
  for (const auto& [name, peer] : impl.mDetector.mPeers) {
    const auto known = impl.mPeers.find(name);
    peers.push_back(
      { { "host", name },
        { "state", PeerStateName(peer.mState) },
        { "serves", known == impl.mPeers.end() ? "" : EntryHostStateName(known->second.mState) },
        { "heard_ms_ago",
          std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.mHeardAt).count() } });
  }
  nlohmann::json groups = nlohmann::json::array();
  for (const auto& [name, group] : impl.mShares.mGroups) {
    nlohmann::json homeHosts = nlohmann::json::array();
    for (const ShareHost& host : group.mLayout.mHomes) {
      homeHosts.push_back(host.mName);
    }
    groups.push_back(
      { { "group", name }, { "home_hosts", homeHosts }, { "settled", group.mSettled } });
  }
  return nlohmann::json{
    { "state", EntryHostStateName(impl.mState) },
    { "roster_epoch", impl.mRoster.mEpoch },
    { "upstreams", upstreams },
    { "peers", peers },
    { "groups", groups }
  }.dump();
}

} // namespace apricotyard
