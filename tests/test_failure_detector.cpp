// Tests that live hosts are not declared dead and that dead hosts are detected in time. Set
// APRICOT_FIGURES=1 to print the measured figures.
#include "discovery_network.h"
#include "failure_detector.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

int
CountChanges(const SimNetwork& aNetwork, PeerState aState)
{
  int count = 0;
  for (const SimHost& host : aNetwork.mHosts) {
    for (const PeerChange& change : host.mChanges) {
      count += change.mState == aState ? 1 : 0;
    }
  }
  return count;
}

PeerState
StateOf(const SimHost& aHost, const std::string& aPeer)
{
  return aHost.mDetector.mPeers.at(aPeer).mState;
}

} // namespace

class FailureDetectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailureDetectorTest);
  CPPUNIT_TEST(NoLiveHostIsDeadUnderLossAndDelay);
  CPPUNIT_TEST(NoLiveHostIsDeadAmong780);
  CPPUNIT_TEST(AllHostsDetectACrashWithinTheLease);
  CPPUNIT_TEST(BrokenLinkMakesNoHostSuspect);
  CPPUNIT_TEST(IsolatedHostIsDeclaredDeadAndReturns);
  CPPUNIT_TEST(SubjectRefutesAFalseSuspicion);
  CPPUNIT_TEST_SUITE_END();

public:
  // No live host may be declared dead, because its records would no longer be listed. Each setting
  // runs nine hosts, for half an hour if figures are printed and for five minutes otherwise.
  void NoLiveHostIsDeadUnderLossAndDelay()
  {
    const minutes time(std::getenv("APRICOT_FIGURES") != nullptr ? 30 : 5);
    for (const double loss : { 0.0, 0.01, 0.05, 0.10 }) {
      for (const auto meanExtraDelay : { milliseconds(5), milliseconds(50), milliseconds(150) }) {
        SimNetwork network(9, 42);
        network.mTickInterval = milliseconds(50);
        network.mLossRate = loss;
        network.mMeanExtraDelay = meanExtraDelay;
        network.Run(time);
        const int suspects = CountChanges(network, PeerState::Suspect);
        const int dead = CountChanges(network, PeerState::Dead);
        if (std::getenv("APRICOT_FIGURES") != nullptr) {
          fmt::print("9 hosts, {} min, loss {:.0f}%, mean extra delay {} ms: {} "
                     "suspicions, {} dead\n",
                     time.count(),
                     loss * 100,
                     meanExtraDelay.count(),
                     suspects,
                     dead);
        }
        CPPUNIT_ASSERT_EQUAL(0, dead);
      }
    }
  }

  void NoLiveHostIsDeadAmong780()
  {
    SimNetwork network(780, 42);
    network.mTickInterval = milliseconds(100);
    network.mLossRate = 0.02;
    network.mMeanExtraDelay = milliseconds(50);
    network.Run(seconds(60));
    if (std::getenv("APRICOT_FIGURES") != nullptr) {
      fmt::print("780 hosts, 60 s, loss 2%, mean extra delay 50 ms: {} suspicions, {} dead\n",
                 CountChanges(network, PeerState::Suspect),
                 CountChanges(network, PeerState::Dead));
    }
    CPPUNIT_ASSERT_EQUAL(0, CountChanges(network, PeerState::Dead));
  }

  void AllHostsDetectACrashWithinTheLease()
  {
    Duration longest{};
    for (const int hosts : { 6, 9, 100 }) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimNetwork network(hosts, seed);
        network.mTickInterval = milliseconds(50);
        network.mLossRate = 0.01;
        network.mMeanExtraDelay = milliseconds(10);
        network.Run(seconds(5));
        network.mHosts[2].mIsUp = false;
        const Duration took = network.RunUntil(seconds(30), [&](const SimHost& aHost) {
          return StateOf(aHost, "entry-002") == PeerState::Dead;
        });
        longest = std::max(longest, took);
        CPPUNIT_ASSERT_MESSAGE(
          fmt::format("{} hosts, seed {}: {} ms", hosts, seed, took.count() / 1000),
          took <= seconds(6));
      }
    }
    if (std::getenv("APRICOT_FIGURES") != nullptr) {
      fmt::print(
        "6, 9 and 100 hosts, 20 seeds each: a crash is known everywhere after {} ms at worst\n",
        longest.count() / 1000);
    }
  }

  // A link between two hosts that fails in one direction or in both must not make either of them
  // suspect.
  void BrokenLinkMakesNoHostSuspect()
  {
    for (const bool both : { false, true }) {
      SimNetwork network(9, 8);
      network.mIsBlocked = [both](int aFrom, int aTo) {
        return (aFrom == 1 && aTo == 2) || (both && aFrom == 2 && aTo == 1);
      };
      network.Run(minutes(5));
      CPPUNIT_ASSERT_EQUAL(0, CountChanges(network, PeerState::Suspect));
    }
  }

  // A host that was isolated must not make its peers suspect when it returns.
  void IsolatedHostIsDeclaredDeadAndReturns()
  {
    SimNetwork network(9, 9);
    network.Run(seconds(5));
    network.mIsBlocked = [](int aFrom, int aTo) { return aFrom == 4 || aTo == 4; };
    network.Run(seconds(6));
    for (const SimHost& host : network.mHosts) {
      if (host.mName != "entry-004") {
        CPPUNIT_ASSERT(StateOf(host, "entry-004") == PeerState::Dead);
      }
    }
    CPPUNIT_ASSERT(IsIsolated(network.mHosts[4].mDetector, network.mNow));
    network.Run(minutes(2));
    const int before = CountChanges(network, PeerState::Dead);
    network.mIsBlocked = [](int, int) { return false; };
    const Duration took = network.RunUntil(seconds(20), [&](const SimHost& aHost) {
      return std::all_of(aHost.mDetector.mPeers.begin(),
                         aHost.mDetector.mPeers.end(),
                         [](const auto& aPeer) { return aPeer.second.mState == PeerState::Alive; });
    });
    CPPUNIT_ASSERT(took <= seconds(2));
    network.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(before, CountChanges(network, PeerState::Dead));
  }

  // A suspicion that spreads by rumours alone must be refuted by its subject.
  void SubjectRefutesAFalseSuspicion()
  {
    SimNetwork network(40, 10);
    network.mTickInterval = milliseconds(50);
    network.Run(seconds(5));
    const auto& subject = network.mHosts[7];
    const Rumour rumour{ subject.mName, subject.mDirectory.mIncarnation, 0, PeerState::Suspect };
    for (SimHost& host : network.mHosts) {
      if (host.mName != subject.mName) {
        host.mDetector.mPeers.at(subject.mName).mHeardAt = network.mNow - seconds(60);
      }
    }
    CPPUNIT_ASSERT(OnRumour(network.mHosts[3].mDetector, rumour, network.mNow).has_value());
    network.Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(0, CountChanges(network, PeerState::Dead));
    CPPUNIT_ASSERT(StateOf(network.mHosts[3], subject.mName) == PeerState::Alive);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDetectorTest);
