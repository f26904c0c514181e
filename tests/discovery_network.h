// Simulation of entry hosts in virtual time, over a network with delay, loss and partitions. The
// hosts run the production functions; the simulated network takes the place of the Peer service.
#ifndef APRICOTYARD_TEST_DISCOVERY_NETWORK_H
#define APRICOTYARD_TEST_DISCOVERY_NETWORK_H

#include "directory.h"
#include "discovery_node.h"
#include "failure_detector.h"
#include "gossip.h"

#include <functional>
#include <queue>

#include <fmt/format.h>

namespace apricotyard {

struct SimHost
{
  std::string mName;
  bool mIsUp = true;
  Directory mDirectory;
  GossipState mGossip;
  FailureDetector mDetector;
  TimePoint mNextLeaseCheck;
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mRecordsReceived = 0;
  std::size_t mLargestMessageBytes = 0;
  std::vector<PeerChange> mChanges;
};

class SimNetwork
{
public:
  // Interval at which each host checks its timers.
  Duration mTickInterval = std::chrono::milliseconds(20);
  double mLossRate = 0;
  Duration mMinDelay = std::chrono::milliseconds(4);
  // Mean of the extra delay, which is exponentially distributed and cut at ten times the mean.
  Duration mMeanExtraDelay{};
  // Returns true if messages from the first to the second host are lost.
  std::function<bool(int, int)> mIsBlocked = [](int, int) { return false; };
  TimePoint mNow{ std::chrono::hours(1) };
  std::vector<SimHost> mHosts;
  Rng mRng;
  Chart mChart;

  SimNetwork(int aHosts, std::uint64_t aSeed)
    : mRng(aSeed)
    , mChart(LoadPeerChart(SOURCE_FOLDER "/charts/peer.toml").value())
  {
    mHosts.resize(aHosts);
    for (int i = 0; i < aHosts; ++i) {
      mHosts[i].mName = fmt::format("entry-{:03}", i);
    }
    for (int i = 0; i < aHosts; ++i) {
      Restart(i);
      ScheduleAt(mNow + mTickInterval * (i % 16) / 16, [this, i] { Tick(i); });
    }
  }

  // Starts or restarts the host with empty tables and the next incarnation.
  void Restart(int aHost)
  {
    SimHost& host = mHosts[aHost];
    const std::uint64_t incarnation = host.mDirectory.mIncarnation + 1;
    host.mDirectory = {};
    host.mGossip = {};
    host.mDetector = {};
    host.mDirectory.mHost = host.mDetector.mHost = host.mName;
    host.mDirectory.mIncarnation = host.mDetector.mIncarnation = incarnation;
    host.mDetector.mChart = &mChart;
    std::vector<std::string> names;
    for (const SimHost& other : mHosts) {
      names.push_back(other.mName);
    }
    SetDetectorPeers(host.mDetector, names, mNow);
    UpdateGossipPeers(host);
    host.mIsUp = true;
  }

  // Advances the virtual time by aTime and runs the tasks that are due.
  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (!mEvents.empty() && mEvents.top().mWhen <= end) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mWhen;
      event.mTask();
    }
    mNow = end;
  }

  // Runs until aDone holds on every host that is up, for at most aLimit. Returns the virtual time
  // that this took.
  Duration RunUntil(Duration aLimit, const std::function<bool(const SimHost&)>& aDone)
  {
    const TimePoint start = mNow;
    while (mNow - start < aLimit) {
      bool all = true;
      for (const SimHost& host : mHosts) {
        all = all && (!host.mIsUp || aDone(host));
      }
      if (all) {
        break;
      }
      Run(std::chrono::milliseconds(10));
    }
    return mNow - start;
  }

  void ScheduleAt(TimePoint aWhen, std::function<void()> aTask)
  {
    mEvents.push({ aWhen, mNextEventNumber++, std::move(aTask) });
  }

  void Announce(int aHost, const UpstreamInfo& aInfo)
  {
    ApplyAnnouncement(mHosts[aHost].mDirectory, aInfo, mNow);
    QueueChanges(mHosts[aHost], true);
  }

private:
  struct Event
  {
    TimePoint mWhen;
    std::uint64_t mNumber;
    std::function<void()> mTask;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mWhen, aOther.mNumber) < std::tie(mWhen, mNumber);
    }
  };

  static void UpdateGossipPeers(SimHost& aHost)
  {
    aHost.mGossip.mPeers.clear();
    for (const auto& [name, peer] : aHost.mDetector.mPeers) {
      if (peer.mState != PeerState::Dead) {
        aHost.mGossip.mPeers.push_back(name);
      }
    }
  }

  static int IndexOf(const std::string& aName) { return std::stoi(aName.substr(6)); }

  void Deliver(int aFrom, int aTo, std::size_t aBytes, std::function<void()> aTask)
  {
    SimHost& from = mHosts[aFrom];
    ++from.mMessagesSent;
    from.mBytesSent += aBytes;
    from.mLargestMessageBytes = std::max(from.mLargestMessageBytes, aBytes);
    const auto uniform = [this] { return static_cast<double>(mRng() >> 11U) * 0x1.0p-53; };
    if (mIsBlocked(aFrom, aTo) || uniform() < mLossRate) {
      return;
    }
    const double extraFactor = std::min(-std::log(1.0 - uniform()), 10.0);
    const Duration delay =
      mMinDelay + Duration(static_cast<std::int64_t>(extraFactor * mMeanExtraDelay.count()));
    ScheduleAt(mNow + delay, [this, aFrom, aTo, task = std::move(aTask)] {
      if (mHosts[aTo].mIsUp) {
        RecordPeerHeard(mHosts[aTo], mHosts[aFrom].mName, mHosts[aFrom].mDirectory.mIncarnation);
        task();
      }
    });
  }

  void RecordPeerHeard(SimHost& aHost, const std::string& aPeer, std::uint64_t aIncarnation)
  {
    RecordChange(aHost, OnPeerHeard(aHost.mDetector, aPeer, aIncarnation, mNow));
    ConfirmRegistrar(aHost.mDirectory, aPeer, aIncarnation, mNow);
  }

  void RecordChange(SimHost& aHost, const std::optional<PeerChange>& aChange)
  {
    if (aChange) {
      aHost.mChanges.push_back(*aChange);
      if (aChange->mState == PeerState::Dead) {
        MarkRegistrarDead(aHost.mDirectory, aChange->mPeer);
      }
      UpdateGossipPeers(aHost);
    }
  }

  void QueueChanges(SimHost& aHost, bool aLocal)
  {
    for (const std::string& upstream : TakeChanges(aHost.mDirectory)) {
      const bool own = aHost.mDirectory.mRecords.at(upstream).mRegistrar == aHost.mName;
      QueueChange(aHost.mGossip, upstream, aLocal || own);
    }
  }

  void SendRecords(int aFrom, int aTo, const std::vector<std::string>& aUpstreams)
  {
    struct SentRecord
    {
      DirectoryRecord mRecord;
      Duration mIdle;
    };
    std::vector<SentRecord> records;
    std::size_t bytes = kEnvelopeBytes;
    const Directory& directory = mHosts[aFrom].mDirectory;
    for (const std::string& upstream : aUpstreams) {
      const DirectoryRecord& record = directory.mRecords.at(upstream);
      const Duration idle = mNow - LastConfirmed(directory, record);
      rpc::Record message;
      ToMessage(record, idle, message);
      bytes += message.ByteSizeLong() + 3;
      records.push_back({ record, idle });
    }
    Deliver(aFrom, aTo, bytes, [this, aTo, records] {
      for (const SentRecord& sent : records) {
        ApplyRecord(mHosts[aTo].mDirectory, sent.mRecord, sent.mIdle, mNow);
        ++mHosts[aTo].mRecordsReceived;
      }
      QueueChanges(mHosts[aTo], false);
    });
  }

  void Ping(int aFrom, int aTo, const std::function<void()>& aOnReply)
  {
    const auto rumours = TakeRumours(mHosts[aFrom].mDetector);
    const std::size_t bytes = kEnvelopeBytes + rumours.size() * kRumourBytes;
    Deliver(aFrom, aTo, bytes, [this, aFrom, aTo, rumours, aOnReply] {
      ApplyRumours(mHosts[aTo], rumours);
      const auto replyRumours = TakeRumours(mHosts[aTo].mDetector);
      const std::size_t replyBytes = kEnvelopeBytes + replyRumours.size() * kRumourBytes;
      Deliver(aTo, aFrom, replyBytes, [this, aFrom, replyRumours, aOnReply] {
        ApplyRumours(mHosts[aFrom], replyRumours);
        aOnReply();
      });
    });
  }

  void ApplyRumours(SimHost& aHost, const std::vector<Rumour>& aRumours)
  {
    for (const Rumour& rumour : aRumours) {
      RecordChange(aHost, OnRumour(aHost.mDetector, rumour, mNow));
    }
  }

  void ExchangeDigests(int aFrom, int aTo)
  {
    const Digest digest = ComputeDigest(mHosts[aFrom].mDirectory);
    Deliver(aFrom, aTo, kEnvelopeBytes + sizeof(digest), [this, aFrom, aTo, digest] {
      const auto buckets = DifferingBuckets(digest, ComputeDigest(mHosts[aTo].mDirectory));
      Deliver(aTo, aFrom, kEnvelopeBytes + buckets.size(), [this, aFrom, aTo, buckets] {
        if (buckets.empty()) {
          return;
        }
        const auto hashes = BucketHashes(mHosts[aFrom].mDirectory, buckets);
        const std::size_t bytes = kEnvelopeBytes + buckets.size() + 8 * hashes.size();
        Deliver(aFrom, aTo, bytes, [this, aFrom, aTo, buckets, hashes] {
          const auto difference =
            CompareBuckets(mHosts[aTo].mDirectory, buckets, hashes, kMaxRecordsPerPull);
          if (!difference.mUpstreamsToSend.empty()) {
            SendRecords(aTo, aFrom, difference.mUpstreamsToSend);
          }
          Deliver(aTo,
                  aFrom,
                  kEnvelopeBytes + 8 * difference.mMissingHashes.size(),
                  [this, aFrom, aTo, difference] {
                    SendRequestedRecords(aFrom, aTo, difference.mMissingHashes);
                    if (difference.mUpstreamsToSend.size() >= kMaxRecordsPerPull) {
                      ContinuePull(mHosts[aFrom].mGossip, mNow);
                    }
                  });
        });
      });
    });
  }

  void SendRequestedRecords(int aFrom, int aTo, const std::vector<std::uint64_t>& aWant)
  {
    const std::set<std::uint64_t> wanted(aWant.begin(), aWant.end());
    std::vector<std::string> upstreams;
    for (const auto& [id, record] : mHosts[aFrom].mDirectory.mRecords) {
      if (wanted.contains(record.mHash) && upstreams.size() < kMaxRecordsPerMessage) {
        upstreams.push_back(id);
      }
    }
    if (!upstreams.empty()) {
      SendRecords(aFrom, aTo, upstreams);
    }
  }

  void Tick(int aHost)
  {
    SimHost& host = mHosts[aHost];
    ScheduleAt(mNow + mTickInterval, [this, aHost] { Tick(aHost); });
    if (!host.mIsUp) {
      return;
    }
    const DetectorActions actions = DetectorTick(host.mDetector, mNow, mRng);
    for (const std::string& peer : actions.mPings) {
      Ping(aHost, IndexOf(peer), [] {});
    }
    for (const IndirectProbe& probe : actions.mIndirectProbes) {
      const int via = IndexOf(probe.mVia);
      const int subject = IndexOf(probe.mSubject);
      Deliver(aHost, via, kEnvelopeBytes, [this, aHost, via, subject] {
        Ping(via, subject, [this, aHost, via, subject] {
          const std::uint64_t incarnation = mHosts[subject].mDirectory.mIncarnation;
          Deliver(via, aHost, kEnvelopeBytes, [this, aHost, subject, incarnation] {
            RecordPeerHeard(mHosts[aHost], mHosts[subject].mName, incarnation);
          });
        });
      });
    }
    for (const PeerChange& change : actions.mChanges) {
      RecordChange(host, change);
    }
    if (mNow >= host.mNextLeaseCheck) {
      host.mNextLeaseCheck = mNow + std::chrono::milliseconds(250);
      if (host.mDetector.mPeers.size() > kMaxFullyProbedPeers &&
          !IsIsolated(host.mDetector, mNow)) {
        for (const auto& [name, peer] : host.mDetector.mPeers) {
          if (peer.mState == PeerState::Alive) {
            ConfirmRegistrar(
              host.mDirectory, name, std::max<std::uint64_t>(peer.mIncarnation, 1), mNow);
          }
        }
      }
      ExpireLeases(host.mDirectory, mNow);
      QueueChanges(host, true);
    }
    if (const auto push = NextPush(host.mGossip, mNow, mRng)) {
      for (const std::string& peer : push->mPeers) {
        SendRecords(aHost, IndexOf(peer), push->mUpstreams);
      }
    }
    if (const auto peer = NextDigestPeer(host.mGossip, mNow, mRng)) {
      OnProbeSent(host.mDetector, *peer, mNow);
      ExchangeDigests(aHost, IndexOf(*peer));
    }
  }

  // Encoded size in bytes of a message without its lists. test_gossip checks it against the real
  // encoding.
  static constexpr std::size_t kEnvelopeBytes = 40;
  // Encoded size of one rumour.
  static constexpr std::size_t kRumourBytes = 32;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextEventNumber = 0;
};

// Announcement of upstream aNumber. Three upstreams form one service.
inline UpstreamInfo
SimUpstream(int aNumber, std::uint64_t aIncarnation, std::uint64_t aSequence, UpstreamState aState)
{
  UpstreamInfo info;
  info.mId = fmt::format("service-{}-{}", aNumber / 3, aNumber % 3);
  info.mIncarnation = aIncarnation;
  info.mSequence = aSequence;
  info.mService = fmt::format("service-{}", aNumber / 3);
  info.mMap = 1;
  info.mAddress = { fmt::format("10.1.{}.{}", aNumber / 250, 1 + aNumber % 250), 7300 };
  info.mDataCentre = "sakarya";
  info.mSlots = 5;
  info.mConnections = 40;
  info.mVersions = { 1841, 1842 };
  info.mState = aState;
  return info;
}

} // namespace apricotyard

#endif
