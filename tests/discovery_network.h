// Entry hosts in virtual time over a network with delay, loss and partitions. The hosts run the
// production functions; the network stands in for the Peer service.
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
  bool mUp = true;
  Directory mDirectory;
  Gossip mGossip;
  Detector mDetector;
  TimePoint mNextLeaseCheck;
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::uint64_t mRecordsReceived = 0;
  std::size_t mLargest = 0;
  std::vector<PeerChange> mChanges;
};

class SimNetwork
{
public:
  // The time that one host takes between two looks at its timers.
  Duration mTick = std::chrono::milliseconds(20);
  double mLoss = 0;
  Duration mMinDelay = std::chrono::milliseconds(4);
  // Added with exponential distribution, cut at ten times the mean.
  Duration mMeanExtra{};
  // True if messages from the first to the second host are lost.
  std::function<bool(int, int)> mBlocked = [](int, int) { return false; };
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
      At(mNow + mTick * (i % 16) / 16, [this, i] { Tick(i); });
    }
  }

  // Starts the host with empty tables under a new incarnation.
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
    UpdatePeers(host);
    host.mUp = true;
  }

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

  // Runs until every running host fulfils aDone, aLimit at most. Returns the time it took.
  Duration RunUntil(Duration aLimit, const std::function<bool(const SimHost&)>& aDone)
  {
    const TimePoint start = mNow;
    while (mNow - start < aLimit) {
      bool all = true;
      for (const SimHost& host : mHosts) {
        all = all && (!host.mUp || aDone(host));
      }
      if (all) {
        break;
      }
      Run(std::chrono::milliseconds(10));
    }
    return mNow - start;
  }

  void At(TimePoint aWhen, std::function<void()> aTask)
  {
    mEvents.push({ aWhen, mNextEvent++, std::move(aTask) });
  }

  void Announce(int aHost, const UpstreamInfo& aInfo)
  {
    ApplyAnnouncement(mHosts[aHost].mDirectory, aInfo, mNow);
    TakeLocalChanges(mHosts[aHost], true);
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

  static void UpdatePeers(SimHost& aHost)
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
    ++from.mMessages;
    from.mBytes += aBytes;
    from.mLargest = std::max(from.mLargest, aBytes);
    const auto uniform = [this] { return static_cast<double>(mRng() >> 11U) * 0x1.0p-53; };
    if (mBlocked(aFrom, aTo) || uniform() < mLoss) {
      return;
    }
    const double extra = std::min(-std::log(1.0 - uniform()), 10.0);
    const Duration delay =
      mMinDelay + Duration(static_cast<std::int64_t>(extra * mMeanExtra.count()));
    At(mNow + delay, [this, aFrom, aTo, task = std::move(aTask)] {
      if (mHosts[aTo].mUp) {
        Heard(mHosts[aTo], mHosts[aFrom].mName, mHosts[aFrom].mDirectory.mIncarnation);
        task();
      }
    });
  }

  void Heard(SimHost& aHost, const std::string& aPeer, std::uint64_t aIncarnation)
  {
    Note(aHost, OnHeard(aHost.mDetector, aPeer, aIncarnation, mNow));
    VouchRegistrar(aHost.mDirectory, aPeer, aIncarnation, mNow);
  }

  void Note(SimHost& aHost, const std::optional<PeerChange>& aChange)
  {
    if (aChange) {
      aHost.mChanges.push_back(*aChange);
      if (aChange->mState == PeerState::Dead) {
        DropRegistrar(aHost.mDirectory, aChange->mPeer);
      }
      UpdatePeers(aHost);
    }
  }

  void TakeLocalChanges(SimHost& aHost, bool aLocal)
  {
    for (const std::string& upstream : TakeChanges(aHost.mDirectory)) {
      const bool own = aHost.mDirectory.mRecords.at(upstream).mRegistrar == aHost.mName;
      QueueChange(aHost.mGossip, upstream, aLocal || own);
    }
  }

  void SendRecords(int aFrom, int aTo, const std::vector<std::string>& aUpstreams)
  {
    struct Sent
    {
      DirectoryRecord mRecord;
      Duration mIdle;
    };
    std::vector<Sent> records;
    std::size_t bytes = kEnvelope;
    const Directory& directory = mHosts[aFrom].mDirectory;
    for (const std::string& upstream : aUpstreams) {
      const DirectoryRecord& record = directory.mRecords.at(upstream);
      const Duration idle = mNow - LastVouched(directory, record);
      rpc::Record message;
      ToMessage(record, idle, message);
      bytes += message.ByteSizeLong() + 3;
      records.push_back({ record, idle });
    }
    Deliver(aFrom, aTo, bytes, [this, aTo, records] {
      for (const Sent& sent : records) {
        ApplyRecord(mHosts[aTo].mDirectory, sent.mRecord, sent.mIdle, mNow);
        ++mHosts[aTo].mRecordsReceived;
      }
      TakeLocalChanges(mHosts[aTo], false);
    });
  }

  void Ping(int aFrom, int aTo, const std::function<void()>& aOnAnswer)
  {
    const auto rumours = TakeRumours(mHosts[aFrom].mDetector);
    const std::size_t bytes = kEnvelope + rumours.size() * kRumourBytes;
    Deliver(aFrom, aTo, bytes, [this, aFrom, aTo, rumours, aOnAnswer] {
      TakeRumoursOf(mHosts[aTo], rumours);
      const auto answer = TakeRumours(mHosts[aTo].mDetector);
      const std::size_t answerBytes = kEnvelope + answer.size() * kRumourBytes;
      Deliver(aTo, aFrom, answerBytes, [this, aFrom, answer, aOnAnswer] {
        TakeRumoursOf(mHosts[aFrom], answer);
        aOnAnswer();
      });
    });
  }

  void TakeRumoursOf(SimHost& aHost, const std::vector<Rumour>& aRumours)
  {
    for (const Rumour& rumour : aRumours) {
      Note(aHost, OnRumour(aHost.mDetector, rumour, mNow));
    }
  }

  void Pull(int aFrom, int aTo)
  {
    const Digest digest = ComputeDigest(mHosts[aFrom].mDirectory);
    Deliver(aFrom, aTo, kEnvelope + sizeof(digest), [this, aFrom, aTo, digest] {
      const auto buckets = DifferingBuckets(digest, ComputeDigest(mHosts[aTo].mDirectory));
      Deliver(aTo, aFrom, kEnvelope + buckets.size(), [this, aFrom, aTo, buckets] {
        if (buckets.empty()) {
          return;
        }
        const auto hashes = BucketHashes(mHosts[aFrom].mDirectory, buckets);
        const std::size_t bytes = kEnvelope + buckets.size() + 8 * hashes.size();
        Deliver(aFrom, aTo, bytes, [this, aFrom, aTo, buckets, hashes] {
          const auto difference =
            CompareBuckets(mHosts[aTo].mDirectory, buckets, hashes, kMaxRecordsPerPull);
          if (!difference.mSend.empty()) {
            SendRecords(aTo, aFrom, difference.mSend);
          }
          Deliver(
            aTo, aFrom, kEnvelope + 8 * difference.mWant.size(), [this, aFrom, aTo, difference] {
              SendWanted(aFrom, aTo, difference.mWant);
              if (difference.mSend.size() >= kMaxRecordsPerPull) {
                ContinuePull(mHosts[aFrom].mGossip, mNow);
              }
            });
        });
      });
    });
  }

  void SendWanted(int aFrom, int aTo, const std::vector<std::uint64_t>& aWant)
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
    At(mNow + mTick, [this, aHost] { Tick(aHost); });
    if (!host.mUp) {
      return;
    }
    const DetectorActions actions = DetectorTick(host.mDetector, mNow, mRng);
    for (const std::string& peer : actions.mPings) {
      Ping(aHost, IndexOf(peer), [] {});
    }
    for (const IndirectProbe& probe : actions.mIndirect) {
      const int via = IndexOf(probe.mVia);
      const int subject = IndexOf(probe.mSubject);
      Deliver(aHost, via, kEnvelope, [this, aHost, via, subject] {
        Ping(via, subject, [this, aHost, via, subject] {
          const std::uint64_t incarnation = mHosts[subject].mDirectory.mIncarnation;
          Deliver(via, aHost, kEnvelope, [this, aHost, subject, incarnation] {
            Heard(mHosts[aHost], mHosts[subject].mName, incarnation);
          });
        });
      });
    }
    for (const PeerChange& change : actions.mChanges) {
      Note(host, change);
    }
    if (mNow >= host.mNextLeaseCheck) {
      host.mNextLeaseCheck = mNow + std::chrono::milliseconds(250);
      if (host.mDetector.mPeers.size() > kProbeAllPeers && !IsIsolated(host.mDetector, mNow)) {
        for (const auto& [name, peer] : host.mDetector.mPeers) {
          if (peer.mState == PeerState::Alive) {
            VouchRegistrar(
              host.mDirectory, name, std::max<std::uint64_t>(peer.mIncarnation, 1), mNow);
          }
        }
      }
      ExpireLeases(host.mDirectory, mNow);
      TakeLocalChanges(host, true);
    }
    if (const auto push = NextPush(host.mGossip, mNow, mRng)) {
      for (const std::string& peer : push->mPeers) {
        SendRecords(aHost, IndexOf(peer), push->mUpstreams);
      }
    }
    if (const auto peer = NextDigestPeer(host.mGossip, mNow, mRng)) {
      OnProbeSent(host.mDetector, *peer, mNow);
      Pull(aHost, IndexOf(*peer));
    }
  }

  // Encoded size of a message without its lists; test_gossip checks it against the real encoding.
  static constexpr std::size_t kEnvelope = 40;
  static constexpr std::size_t kRumourBytes = 32;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextEvent = 0;
};

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
