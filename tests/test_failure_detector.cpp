// Guards against live hosts that are declared dead and dead hosts that are used on. Set
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
  CPPUNIT_TEST(FalsePositivesUnderLossAndDelay);
  CPPUNIT_TEST(FalsePositivesAtTheTarget);
  CPPUNIT_TEST(CrashIsKnownEverywhereWithinTheLease);
  CPPUNIT_TEST(AsymmetricPartitionMakesNoSuspect);
  CPPUNIT_TEST(IsolatedHostIsDeadAndReturns);
  CPPUNIT_TEST(SubjectDeniesAStaleSuspicion);
  CPPUNIT_TEST_SUITE_END();

public:
  // The bound is the purpose of the detector: no live host loses its records. Nine hosts per
  // setting, half an hour for the figures and five minutes otherwise.
  void FalsePositivesUnderLossAndDelay()
  {
    const minutes time(std::getenv("APRICOT_FIGURES") != nullptr ? 30 : 5);
    for (const double loss : { 0.0, 0.01, 0.05, 0.10 }) {
      for (const auto extra : { milliseconds(5), milliseconds(50), milliseconds(150) }) {
        SimNetwork network(9, 42);
        network.mTick = milliseconds(50);
        network.mLoss = loss;
        network.mMeanExtra = extra;
        network.Run(time);
        const int suspects = CountChanges(network, PeerState::Suspect);
        const int dead = CountChanges(network, PeerState::Dead);
        if (std::getenv("APRICOT_FIGURES") != nullptr) {
          fmt::print(
            "9 hosts, {} min, loss {:.0f}%, mean extra delay {} ms: {} suspicions, {} dead\n",
            time.count(),
            loss * 100,
            extra.count(),
            suspects,
            dead);
        }
        CPPUNIT_ASSERT_EQUAL(0, dead);
      }
    }
  }

  void FalsePositivesAtTheTarget()
  {
    SimNetwork network(780, 42);
    network.mTick = milliseconds(100);
    network.mLoss = 0.02;
    network.mMeanExtra = milliseconds(50);
    network.Run(seconds(60));
    if (std::getenv("APRICOT_FIGURES") != nullptr) {
      fmt::print("780 hosts, 60 s, loss 2%, mean extra delay 50 ms: {} suspicions, {} dead\n",
                 CountChanges(network, PeerState::Suspect),
                 CountChanges(network, PeerState::Dead));
    }
    CPPUNIT_ASSERT_EQUAL(0, CountChanges(network, PeerState::Dead));
  }

  void CrashIsKnownEverywhereWithinTheLease()
  {
    Duration worst{};
    for (const int hosts : { 6, 9, 100 }) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimNetwork network(hosts, seed);
        network.mTick = milliseconds(50);
        network.mLoss = 0.01;
        network.mMeanExtra = milliseconds(10);
        network.Run(seconds(5));
        network.mHosts[2].mUp = false;
        const Duration took = network.RunUntil(seconds(30), [&](const SimHost& aHost) {
          return StateOf(aHost, "entry-002") == PeerState::Dead;
        });
        worst = std::max(worst, took);
        CPPUNIT_ASSERT_MESSAGE(
          fmt::format("{} hosts, seed {}: {} ms", hosts, seed, took.count() / 1000),
          took <= seconds(6));
      }
    }
    if (std::getenv("APRICOT_FIGURES") != nullptr) {
      fmt::print(
        "6, 9 and 100 hosts, 20 seeds each: a crash is known everywhere after {} ms at worst\n",
        worst.count() / 1000);
    }
  }

  // Guards against a link that fails in one direction, or between two hosts, and makes either dead.
  void AsymmetricPartitionMakesNoSuspect()
  {
    for (const bool both : { false, true }) {
      SimNetwork network(9, 8);
      network.mBlocked = [both](int aFrom, int aTo) {
        return (aFrom == 1 && aTo == 2) || (both && aFrom == 2 && aTo == 1);
      };
      network.Run(minutes(5));
      CPPUNIT_ASSERT_EQUAL(0, CountChanges(network, PeerState::Suspect));
    }
  }

  // Guards against an isolated host that spreads suspicions of all others when it returns.
  void IsolatedHostIsDeadAndReturns()
  {
    SimNetwork network(9, 9);
    network.Run(seconds(5));
    network.mBlocked = [](int aFrom, int aTo) { return aFrom == 4 || aTo == 4; };
    network.Run(seconds(6));
    for (const SimHost& host : network.mHosts) {
      if (host.mName != "entry-004") {
        CPPUNIT_ASSERT(StateOf(host, "entry-004") == PeerState::Dead);
      }
    }
    CPPUNIT_ASSERT(IsIsolated(network.mHosts[4].mDetector, network.mNow));
    network.Run(minutes(2));
    const int before = CountChanges(network, PeerState::Dead);
    network.mBlocked = [](int, int) { return false; };
    const Duration took = network.RunUntil(seconds(20), [&](const SimHost& aHost) {
      return std::all_of(aHost.mDetector.mPeers.begin(),
                         aHost.mDetector.mPeers.end(),
                         [](const auto& aPeer) { return aPeer.second.mState == PeerState::Alive; });
    });
    CPPUNIT_ASSERT(took <= seconds(2));
    network.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(before, CountChanges(network, PeerState::Dead));
  }

  // Guards against a suspicion that spreads by rumour alone and is never lifted.
  void SubjectDeniesAStaleSuspicion()
  {
    SimNetwork network(40, 10);
    network.mTick = milliseconds(50);
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
