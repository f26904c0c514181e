// Tests that entry hosts learn of upstreams in time, that a mass restart causes no flood of
// messages, and that a host does not pull the whole table after a partition. Set APRICOT_FIGURES=1
// to print the measured figures.
#include "discovery_network.h"
#include "gossip.h"

#include <chrono>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool
ShouldPrintFigures()
{
  return std::getenv("APRICOT_FIGURES") != nullptr;
}

bool
IsListedInState(const SimHost& aHost, const std::string& aUpstream, UpstreamState aState)
{
  const auto record = aHost.mDirectory.mRecords.find(aUpstream);
  return record != aHost.mDirectory.mRecords.end() && record->second.mListed &&
         record->second.mInfo.mState == aState;
}

bool
IsListed(const SimHost& aHost, const std::string& aUpstream)
{
  const auto record = aHost.mDirectory.mRecords.find(aUpstream);
  return record != aHost.mDirectory.mRecords.end() && record->second.mListed;
}

void
ResetTraffic(SimNetwork& aNetwork)
{
  for (SimHost& host : aNetwork.mHosts) {
    host.mMessagesSent = host.mBytesSent = host.mRecordsReceived = 0;
    host.mLargestMessageBytes = 0;
  }
}

// Announces an upstream, drains it and stops renewing it, and checks the time limits of the design,
// section 7.7.
void
CheckTimeLimits(SimNetwork& aNetwork, const std::string& aName)
{
  aNetwork.Run(seconds(3));
  const std::string id = SimUpstream(0, 1, 1, UpstreamState::Ready).mId;
  aNetwork.Announce(1, SimUpstream(0, 1, 1, UpstreamState::Ready));
  const Duration added = aNetwork.RunUntil(seconds(20), [&](const SimHost& aHost) {
    return IsListedInState(aHost, id, UpstreamState::Ready);
  });
  aNetwork.Announce(1, SimUpstream(0, 1, 2, UpstreamState::Draining));
  const TimePoint last = aNetwork.mNow;
  const Duration drained = aNetwork.RunUntil(seconds(20), [&](const SimHost& aHost) {
    return IsListedInState(aHost, id, UpstreamState::Draining);
  });
  aNetwork.RunUntil(seconds(20), [&](const SimHost& aHost) { return !IsListed(aHost, id); });
  const Duration expired = aNetwork.mNow - last;
  // The registrar and its upstream stop at the same time.
  aNetwork.Announce(1, SimUpstream(1, 1, 1, UpstreamState::Ready));
  aNetwork.Run(seconds(3));
  aNetwork.mHosts[1].mIsUp = false;
  const std::string second = SimUpstream(1, 1, 1, UpstreamState::Ready).mId;
  const Duration lostWithRegistrar =
    aNetwork.RunUntil(seconds(20), [&](const SimHost& aHost) { return !IsListed(aHost, second); });
  if (ShouldPrintFigures()) {
    fmt::print("{}: added {} ms, drained {} ms, silent {} ms, registrar lost {} ms\n",
               aName,
               added.count() / 1000,
               drained.count() / 1000,
               expired.count() / 1000,
               lostWithRegistrar.count() / 1000);
  }
  CPPUNIT_ASSERT_MESSAGE(aName, added <= seconds(1));
  CPPUNIT_ASSERT_MESSAGE(aName, drained <= seconds(2));
  CPPUNIT_ASSERT_MESSAGE(aName, expired <= kUpstreamLease);
  CPPUNIT_ASSERT_MESSAGE(aName, lostWithRegistrar <= kUpstreamLease);
}

} // namespace

class GossipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GossipTest);
  CPPUNIT_TEST(ChangesReach9HostsInTime);
  CPPUNIT_TEST(ChangesReach780HostsInTime);
  CPPUNIT_TEST(DrainReachesAllHostsInTimeUnderLoss);
  CPPUNIT_TEST(MassRestartDoesNotFlood);
  CPPUNIT_TEST(RestartedHostPullsTableInBoundedMessages);
  CPPUNIT_TEST(RejoiningHostPullsOnlyChangedRecords);
  CPPUNIT_TEST(TrafficOf780HostsFitsItsBudget);
  CPPUNIT_TEST(SimulatedSizesCoverEncodedSizes);
  CPPUNIT_TEST_SUITE_END();

public:
  void ChangesReach9HostsInTime()
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      SimNetwork network(9, seed);
      CheckTimeLimits(network, fmt::format("9 hosts, seed {}", seed));
    }
  }

  void ChangesReach780HostsInTime()
  {
    for (std::uint64_t seed = 1; seed <= (ShouldPrintFigures() ? 3 : 1); ++seed) {
      SimNetwork network(780, seed);
      network.mTickInterval = milliseconds(50);
      CheckTimeLimits(network, fmt::format("780 hosts, seed {}", seed));
    }
  }

  // A drain must reach all hosts in time even if a push is lost. Losing whole messages is a harder
  // test than a real link, because the Peer service runs over TCP, which repeats lost packets.
  void DrainReachesAllHostsInTimeUnderLoss()
  {
    Duration worst{};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      SimNetwork network(9, seed);
      network.mLossRate = 0.02;
      network.mMeanExtraDelay = milliseconds(10);
      network.Announce(1, SimUpstream(0, 1, 1, UpstreamState::Ready));
      network.Run(seconds(4));
      network.Announce(1, SimUpstream(0, 1, 2, UpstreamState::Draining));
      const Duration drained = network.RunUntil(seconds(20), [&](const SimHost& aHost) {
        return IsListedInState(aHost, "service-0-0", UpstreamState::Draining);
      });
      worst = std::max(worst, drained);
    }
    if (ShouldPrintFigures()) {
      fmt::print("9 hosts, 2% of messages lost, 200 seeds: drained after {} ms at worst\n",
                 worst.count() / 1000);
    }
    CPPUNIT_ASSERT(worst <= seconds(2));
  }

  // When every upstream restarts, a host must still send at most one message per peer and
  // flush.
  void MassRestartDoesNotFlood()
  {
    constexpr int kUpstreams = 600;
    SimNetwork network(60, 7);
    network.Run(seconds(3));
    ResetTraffic(network);
    for (int i = 0; i < kUpstreams; ++i) {
      const TimePoint when = network.mNow + Duration(network.mRng() % 2'000'000);
      network.ScheduleAt(when, [&network, i] {
        network.Announce(i % 60, SimUpstream(i, 1, 1, UpstreamState::Starting));
      });
      network.ScheduleAt(when + milliseconds(100), [&network, i] {
        network.Announce(i % 60, SimUpstream(i, 1, 2, UpstreamState::Ready));
      });
    }
    network.Run(seconds(3));
    std::uint64_t maxMessages = 0;
    std::uint64_t maxBytes = 0;
    std::size_t maxMessageBytes = 0;
    for (const SimHost& host : network.mHosts) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ kUpstreams }, ListUpstreams(host.mDirectory).size());
      maxMessages = std::max(maxMessages, host.mMessagesSent);
      maxBytes = std::max(maxBytes, host.mBytesSent);
      maxMessageBytes = std::max(maxMessageBytes, host.mLargestMessageBytes);
    }
    if (ShouldPrintFigures()) {
      fmt::print(
        "60 hosts, 600 upstreams restart within 2 s: at most {} messages and {} KB sent by "
        "a host in 3 s, largest message {} bytes\n",
        maxMessages,
        maxBytes / 1000,
        maxMessageBytes);
    }
    CPPUNIT_ASSERT(maxMessageBytes <= std::size_t{ 16 } * 1024);
    // At most 25 flushes/s to kFanout peers, and as much again for heartbeats and digests.
    CPPUNIT_ASSERT(maxMessages <= std::size_t{ 3 } * 25 * kFanout * 2);
  }

  // A host that joins must not pull the whole table in one message, and must not depend on pushes.
  void RestartedHostPullsTableInBoundedMessages()
  {
    SimNetwork network(9, 3);
    for (int i = 0; i < 300; ++i) {
      network.Announce(1 + i % 8, SimUpstream(i, 1, 1, UpstreamState::Ready));
    }
    network.Run(seconds(3));
    ResetTraffic(network);
    network.Restart(0);
    const Duration took = network.RunUntil(
      seconds(20), [&](const SimHost& aHost) { return aHost.mDirectory.mRecords.size() == 300; });
    std::size_t maxMessageBytes = 0;
    for (const SimHost& host : network.mHosts) {
      maxMessageBytes = std::max(maxMessageBytes, host.mLargestMessageBytes);
    }
    if (ShouldPrintFigures()) {
      fmt::print("9 hosts, 300 upstreams: a restarted host knows all after {} ms, largest "
                 "message {} "
                 "bytes\n",
                 took.count() / 1000,
                 maxMessageBytes);
    }
    CPPUNIT_ASSERT(took <= seconds(3));
    CPPUNIT_ASSERT(maxMessageBytes <= std::size_t{ 16 } * 1024);
  }

  // After a partition, the host that was cut off must receive only the records that changed, not
  // the whole table.
  void RejoiningHostPullsOnlyChangedRecords()
  {
    SimNetwork network(9, 5);
    for (int i = 0; i < 300; ++i) {
      network.Announce(1 + i % 8, SimUpstream(i, 1, 1, UpstreamState::Ready));
    }
    // Upstreams renew every 2 s; otherwise their leases would end.
    std::uint64_t sequence = 2;
    const auto renew = [&](seconds aTime) {
      for (int round = 0; round < aTime / seconds(2); ++round, ++sequence) {
        for (int i = 0; i < 300; ++i) {
          network.Announce(1 + i % 8, SimUpstream(i, 1, sequence, UpstreamState::Ready));
        }
        network.Run(seconds(2));
      }
    };
    renew(seconds(4));
    network.mIsBlocked = [](int aFrom, int aTo) { return aFrom == 0 || aTo == 0; };
    renew(seconds(20));
    CPPUNIT_ASSERT(ListUpstreams(network.mHosts[0].mDirectory).empty());
    for (int i = 0; i < 10; ++i) {
      network.Announce(1 + i % 8, SimUpstream(i, 2, 1, UpstreamState::Ready));
    }
    renew(seconds(20));
    for (int i = 0; i < 10; ++i) {
      network.Announce(1 + i % 8, SimUpstream(i, 2, sequence, UpstreamState::Ready));
    }
    ResetTraffic(network);
    network.mIsBlocked = [](int, int) { return false; };
    const Duration took = network.RunUntil(seconds(20), [&](const SimHost& aHost) {
      return ListUpstreams(aHost.mDirectory).size() == 300 &&
             ComputeDigest(aHost.mDirectory) == ComputeDigest(network.mHosts[1].mDirectory);
    });
    const std::uint64_t received = network.mHosts[0].mRecordsReceived;
    if (ShouldPrintFigures()) {
      fmt::print(
        "9 hosts, 300 upstreams, 10 changed during a partition of 40 s: rejoined after {} ms "
        "with {} records received\n",
        took.count() / 1000,
        received);
    }
    CPPUNIT_ASSERT(took <= seconds(5));
    CPPUNIT_ASSERT(received <= 60);
  }

  // The target of 2,100 restarts a day is 1.46 restarts a minute, with four changes each. This test
  // runs 2 restarts in a minute.
  void TrafficOf780HostsFitsItsBudget()
  {
    constexpr int kSeconds = 60;
    constexpr int kRestarts = 2;
    constexpr double kCallOverheadBytes = 250;
    SimNetwork network(780, 11);
    network.mTickInterval = milliseconds(50);
    network.Run(seconds(3));
    ResetTraffic(network);
    for (int i = 0; i < kRestarts; ++i) {
      const TimePoint when = network.mNow + seconds(20 * i);
      for (int change = 0; change < 4; ++change) {
        network.ScheduleAt(when + milliseconds(300 * change), [&network, i, change] {
          constexpr UpstreamState kStates[] = { UpstreamState::Draining,
                                                UpstreamState::Left,
                                                UpstreamState::Starting,
                                                UpstreamState::Ready };
          const std::uint64_t incarnation = change < 2 ? 1 : 2;
          network.Announce(i, SimUpstream(i, incarnation, change + 1, kStates[change]));
        });
      }
    }
    network.Run(seconds(kSeconds));
    double total = 0;
    double maxBytesPerSecond = 0;
    double messages = 0;
    for (const SimHost& host : network.mHosts) {
      const double bytesPerSecond = (static_cast<double>(host.mBytesSent) +
                                     kCallOverheadBytes * static_cast<double>(host.mMessagesSent)) /
                                    kSeconds;
      total += bytesPerSecond;
      messages += static_cast<double>(host.mMessagesSent) / kSeconds;
      maxBytesPerSecond = std::max(maxBytesPerSecond, bytesPerSecond);
    }
    const double mean = total / 780;
    if (ShouldPrintFigures()) {
      fmt::print("780 hosts, 2 upstream restarts a minute: {:.0f} bytes/s sent per host on "
                 "average, {:.0f} at most, {:.1f} messages/s; 250 bytes of framing per message "
                 "included\n",
                 mean,
                 maxBytesPerSecond,
                 messages / 780);
    }
    CPPUNIT_ASSERT(mean <= 4000);
  }

  // The simulated network must not understate the size of the real messages.
  void SimulatedSizesCoverEncodedSizes()
  {
    DirectoryRecord record;
    record.mInfo = SimUpstream(4899, 1'764'839'700'000'000, 40'000, UpstreamState::Ready);
    record.mRegistrar = "entry-779";
    record.mRegistrarIncarnation = 1'764'839'700'000'000;
    rpc::Record message;
    ToMessage(record, milliseconds(1500), message);
    rpc::Sender sender;
    sender.set_host("entry-779");
    sender.set_incarnation(1'764'839'700'000'000);
    sender.set_state(1);
    sender.set_load(100);
    rpc::PullRequest pull;
    *pull.mutable_sender() = sender;
    for (std::size_t i = 0; i < kDigestBuckets; ++i) {
      pull.add_digest(i << 50U);
    }
    rpc::PingMessage ping;
    *ping.mutable_sender() = sender;
    const std::size_t pingBytes = ping.ByteSizeLong();
    CPPUNIT_ASSERT(pingBytes <= 40);
    CPPUNIT_ASSERT(pull.ByteSizeLong() <= 40 + sizeof(Digest));
    CPPUNIT_ASSERT(kMaxRecordsPerMessage * (message.ByteSizeLong() + 3) <=
                   std::size_t{ 16 } * 1024);
    const auto back = FromMessage(message);
    CPPUNIT_ASSERT(back && back->mInfo == record.mInfo);

    // The times are printed but not checked, because they depend on the machine.
    Directory directory;
    directory.mHost = "b";
    constexpr int kRecords = 4900;
    std::vector<std::string> encoded;
    for (int i = 0; i < kRecords; ++i) {
      DirectoryRecord next = record;
      next.mInfo = SimUpstream(i, 1, 1, UpstreamState::Ready);
      rpc::Record item;
      ToMessage(next, milliseconds(0), item);
      encoded.push_back(item.SerializeAsString());
    }
    const auto started = std::chrono::steady_clock::now();
    for (const std::string& text : encoded) {
      rpc::Record item;
      item.ParseFromString(text);
      ApplyRecord(directory, *FromMessage(item), Duration(0), TimePoint{});
    }
    const auto applied = std::chrono::steady_clock::now();
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(ComputeDigest(directory)[0] != 0);
    }
    const auto digested = std::chrono::steady_clock::now();
    if (ShouldPrintFigures()) {
      const auto micros = [](auto aTime) {
        return std::chrono::duration<double, std::micro>(aTime).count();
      };
      fmt::print(
        "record {} bytes, ping {} bytes, digest {} bytes; decode and apply a record {:.2f} "
        "us, digest of 4,900 records {:.0f} us\n",
        message.ByteSizeLong(),
        pingBytes,
        pull.ByteSizeLong(),
        micros(applied - started) / kRecords,
        micros(digested - applied) / 100);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);
