// Guards against sending requests to paused, failing, draining or remote replicas while better ones
// are available, and against unsafe retries and refusals of requests that may have run.
#include "placement.h"
#include "relay_policy.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };
constexpr Duration kTypicalLatency = milliseconds(10);

struct ReplicaSet
{
  std::vector<ReplicaView> mReplicas;
  std::vector<ReplicaView*> mPointers;

  explicit ReplicaSet(const std::vector<std::string>& aDataCentres)
  {
    for (std::size_t i = 0; i < aDataCentres.size(); ++i) {
      ReplicaView view;
      view.mInfo.mId = std::to_string(i);
      view.mInfo.mDataCentre = aDataCentres[i];
      view.mInfo.mSlots = 2;
      view.mInfo.mState = UpstreamState::Ready;
      mReplicas.push_back(view);
    }
    for (ReplicaView& view : mReplicas) {
      mPointers.push_back(&view);
    }
  }

  // Number of times each replica is chosen out of 100.
  std::vector<int> CountChoices(const std::set<std::string>& aExcluded, TimePoint aNow)
  {
    Rng rng(1);
    PlacementLimits limits;
    limits.mDataCentre = "a";
    std::vector<int> counts(mReplicas.size());
    for (int i = 0; i < 100; ++i) {
      if (const ReplicaView* const chosen =
            ChooseReplica(mPointers, aExcluded, limits, kTypicalLatency, aNow, rng)) {
        ++counts[static_cast<std::size_t>(std::stoi(chosen->mInfo.mId))];
      }
    }
    return counts;
  }
};

ClientReply
MakeReply(TransferEnd aEnd, int aStatus, bool aSigned, bool aNotRun)
{
  ClientReply reply;
  reply.mEnd = aEnd;
  reply.mStatus = aStatus;
  if (aSigned) {
    reply.mRawHeaders.push_back({ "Signature", "s" });
  }
  if (aNotRun) {
    reply.mRawHeaders.push_back({ "Not-Run", "1" });
  }
  return reply;
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(PrefersLocalDataCentre);
  CPPUNIT_TEST(StaysInItsDataCentreDespiteVariation);
  CPPUNIT_TEST(KeepsReplicaAfterOnePause);
  CPPUNIT_TEST(AvoidsSlowReplica);
  CPPUNIT_TEST(AvoidsPausedReplica);
  CPPUNIT_TEST(AvoidanceGrowsWithFailures);
  CPPUNIT_TEST(QuotasLeaveConnectionsForRestart);
  CPPUNIT_TEST(KeepsToOneReplicaIfConnectionsAreScarce);
  CPPUNIT_TEST(PrefersLocalReplicaIfConnectionsAreScarce);
  CPPUNIT_TEST(PrefersOpenConnections);
  CPPUNIT_TEST(AllowsSecondRequestAtLocalReplica);
  CPPUNIT_TEST(AvoidsFrequentlyFailingReplica);
  CPPUNIT_TEST(ExcludesDrainingFullAndTriedReplicas);
  CPPUNIT_TEST(ClassifiesAttempts);
  CPPUNIT_TEST(RetriesOnlySafeRequests);
  CPPUNIT_TEST(DecidesGathers);
  CPPUNIT_TEST(HedgeDelayFollowsTailLatency);
  CPPUNIT_TEST_SUITE_END();

public:
  void PrefersLocalDataCentre()
  {
    ReplicaSet replicas({ "a", "b", "c" });
    for (int i = 0; i < 50; ++i) {
      RecordSuccess(replicas.mReplicas[0], milliseconds(10), kTypicalLatency, kStart);
      RecordSuccess(replicas.mReplicas[1], milliseconds(18), kTypicalLatency, kStart);
      RecordSuccess(replicas.mReplicas[2], milliseconds(18), kTypicalLatency, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(100, replicas.CountChoices({}, kStart)[0]);
  }

  // Replicas may pause for 100 ms every few seconds and are as fast as before afterwards. Sending
  // requests to another data centre after each pause would cost transit time for nothing.
  // On a small host, replies wait for the processor about as long as replicas work. Requests are to
  // stay in the data centre nevertheless, and to leave it while its replica is twice as slow.
  void StaysInItsDataCentreDespiteVariation()
  {
    for (const double slowdown : { 1.0, 2.0 }) {
      ReplicaSet set({ "a", "b", "c" });
      Rng rng(3);
      PlacementLimits limits;
      limits.mDataCentre = "a";
      std::lognormal_distribution<double> work(0.0, 0.35);
      std::uniform_real_distribution<double> wait(0.0, 1.0);
      const Duration typical = milliseconds(50);
      int local = 0;
      constexpr int kRequests = 2000;
      for (int i = 0; i < kRequests; ++i) {
        const TimePoint now = kStart + milliseconds(400) * i;
        ReplicaView* const chosen = ChooseReplica(set.mPointers, {}, limits, typical, now, rng);
        const bool isLocal = chosen == &set.mReplicas[0];
        local += isLocal ? 1 : 0;
        const double tookMs =
          28 * work(rng) * (isLocal ? slowdown : 1.0) + 45 * wait(rng) + (isLocal ? 0 : 9);
        RecordSuccess(
          *chosen,
          std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(tookMs)),
          typical,
          now);
      }
      if (slowdown > 1.0) {
        CPPUNIT_ASSERT(local < kRequests / 4);
      } else {
        CPPUNIT_ASSERT(local > kRequests * 9 / 10);
      }
    }
  }

  void KeepsReplicaAfterOnePause()
  {
    ReplicaSet replicas({ "a", "b" });
    for (int i = 0; i < 50; ++i) {
      RecordSuccess(replicas.mReplicas[0], milliseconds(10), kTypicalLatency, kStart);
      RecordSuccess(replicas.mReplicas[1], milliseconds(18), kTypicalLatency, kStart);
    }
    RecordSuccess(replicas.mReplicas[0], milliseconds(110), kTypicalLatency, kStart);
    CPPUNIT_ASSERT(replicas.CountChoices({}, kStart)[0] > 80);
  }

  void AvoidsSlowReplica()
  {
    ReplicaSet replicas({ "a", "b" });
    for (int i = 0; i < 50; ++i) {
      RecordSuccess(replicas.mReplicas[0], milliseconds(80), kTypicalLatency, kStart);
      RecordSuccess(replicas.mReplicas[1], milliseconds(18), kTypicalLatency, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(100, replicas.CountChoices({}, kStart)[1]);
  }

  void AvoidsPausedReplica()
  {
    ReplicaSet replicas({ "a", "b" });
    replicas.mReplicas[0].mInFlightSince.insert(kStart);
    CPPUNIT_ASSERT(
      !IsLikelyPaused(replicas.mReplicas[0], kTypicalLatency, kStart + milliseconds(20)));
    CPPUNIT_ASSERT(
      IsLikelyPaused(replicas.mReplicas[0], kTypicalLatency, kStart + milliseconds(30)));
    CPPUNIT_ASSERT_EQUAL(100, replicas.CountChoices({}, kStart + milliseconds(30))[1]);
    // A paused replica is still used if it is the only one left.
    CPPUNIT_ASSERT_EQUAL(100, replicas.CountChoices({ "1" }, kStart + milliseconds(30))[0]);
  }

  void AvoidanceGrowsWithFailures()
  {
    ReplicaSet replicas({ "a", "b" });
    RecordFailure(replicas.mReplicas[0], kStart);
    CPPUNIT_ASSERT_EQUAL(0, replicas.CountChoices({}, kStart + milliseconds(200))[0]);
    CPPUNIT_ASSERT(replicas.CountChoices({}, kStart + milliseconds(300))[0] > 0);
    for (int i = 0; i < 20; ++i) {
      RecordFailure(replicas.mReplicas[0], kStart);
    }
    CPPUNIT_ASSERT_EQUAL(0, replicas.CountChoices({}, kStart + milliseconds(3900))[0]);
    // After that time it is used again if it is the only one left, and a few seconds later also
    // besides another replica.
    CPPUNIT_ASSERT_EQUAL(100, replicas.CountChoices({ "1" }, kStart + milliseconds(4100))[0]);
    CPPUNIT_ASSERT(replicas.CountChoices({}, kStart + seconds(8))[0] > 0);
    RecordSuccess(replicas.mReplicas[0], kTypicalLatency, kTypicalLatency, kStart + seconds(8));
    CPPUNIT_ASSERT(replicas.CountChoices({}, kStart + seconds(8))[0] > 0);
  }

  // All gateways lose power and restart while the replicas still hold the connections of the dead
  // processes. When 0.85 of the connections were in use, most new ones were reset for 10 s.
  void QuotasLeaveConnectionsForRestart()
  {
    for (const auto& [connections, gateways] :
         std::vector<std::pair<std::uint32_t, std::size_t>>{ { 25, 6 }, { 41, 9 }, { 110, 9 } }) {
      const ConnectionQuota share = AllocateConnections(connections, gateways, 3);
      CPPUNIT_ASSERT(!share.mConnectionsScarce);
      CPPUNIT_ASSERT_EQUAL(share.mConnections, share.mRemoteConnections);
      CPPUNIT_ASSERT(2 * share.mConnections * gateways <= connections);
    }
    CPPUNIT_ASSERT(AllocateConnections(64, 65, 3).mConnectionsScarce);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), AllocateConnections(64, 65, 3).mRemoteConnections);
    // The idle connections of all gateways must leave each of them one connection to the service
    // for a restart after a power loss.
    for (const auto& [connections, gateways] :
         std::vector<std::pair<std::uint32_t, std::size_t>>{ { 25, 6 }, { 64, 65 }, { 73, 82 } }) {
      std::size_t idleConnections = 0;
      for (std::size_t i = 0; i < gateways; ++i) {
        const double rounding = HashToFraction("g" + std::to_string(i), "s");
        idleConnections += IdleConnectionQuota(connections, 3, gateways, rounding);
      }
      CPPUNIT_ASSERT(idleConnections + gateways <= std::size_t{ connections } * 3);
    }
    // Local gateways get a second connection each if the limit permits, or else one.
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), AllocateConnections(64, 65, 3).mConnections);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), AllocateConnections(64, 130, 3).mConnections);
  }

  // A handshake costs more than the random differences between equal replicas, but less than a
  // pause.
  void PrefersOpenConnections()
  {
    ReplicaSet replicas({ "a", "a", "a" });
    replicas.mReplicas[0].mConnected = false;
    replicas.mReplicas[1].mConnected = false;
    CPPUNIT_ASSERT_EQUAL(100, replicas.CountChoices({}, kStart)[2]);
    replicas.mReplicas[2].mInFlightSince.insert(kStart - seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, replicas.CountChoices({}, kStart)[2]);
  }

  // With two requests at a time, the second one must not go to another data centre, and a remote
  // replica must not get more connections than its quota.
  void AllowsSecondRequestAtLocalReplica()
  {
    ReplicaSet replicas({ "a", "b" });
    PlacementLimits limits;
    limits.mDataCentre = "a";
    limits.mConnectionsScarce = true;
    limits.mMaxInFlight = 2;
    limits.mMaxInFlightRemote = 1;
    Rng rng(1);
    const auto choose = [&] {
      return ChooseReplica(replicas.mPointers, {}, limits, kTypicalLatency, kStart, rng);
    };
    replicas.mReplicas[0].mInFlightSince.insert(kStart);
    CPPUNIT_ASSERT(choose() == &replicas.mReplicas[0]);
    replicas.mReplicas[0].mInFlightSince.insert(kStart);
    CPPUNIT_ASSERT(choose() == &replicas.mReplicas[1]);
    replicas.mReplicas[1].mInFlightSince.insert(kStart);
    CPPUNIT_ASSERT(choose() == nullptr);
  }

  // The fixed preference among remote replicas must not outweigh a local replica.
  void PrefersLocalReplicaIfConnectionsAreScarce()
  {
    ReplicaSet replicas({ "b", "a", "b" });
    for (int gateway = 0; gateway < 65; ++gateway) {
      PlacementLimits limits;
      limits.mDataCentre = "a";
      limits.mHost = "g" + std::to_string(gateway);
      limits.mConnectionsScarce = true;
      Rng rng(1);
      for (int i = 0; i < 50; ++i) {
        RecordSuccess(replicas.mReplicas[0], milliseconds(18), kTypicalLatency, kStart);
        RecordSuccess(replicas.mReplicas[1], milliseconds(10), kTypicalLatency, kStart);
        RecordSuccess(replicas.mReplicas[2], milliseconds(18), kTypicalLatency, kStart);
      }
      const ReplicaView* const chosen =
        ChooseReplica(replicas.mPointers, {}, limits, kTypicalLatency, kStart, rng);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), chosen->mInfo.mId);
    }
  }

  // 65 gateways share three replicas that accept 64 connections each. Every gateway must keep to
  // one replica, or the connection limits are exceeded.
  void KeepsToOneReplicaIfConnectionsAreScarce()
  {
    ReplicaSet replicas({ "b", "b", "b" });
    std::vector<int> gatewaysByReplica(3);
    for (int gateway = 0; gateway < 65; ++gateway) {
      PlacementLimits limits;
      limits.mDataCentre = "a";
      limits.mHost = "g" + std::to_string(gateway);
      limits.mConnectionsScarce = true;
      Rng rng(static_cast<std::uint64_t>(gateway));
      std::set<std::string> used;
      for (int i = 0; i < 50; ++i) {
        used.insert(
          ChooseReplica(replicas.mPointers, {}, limits, kTypicalLatency, kStart, rng)->mInfo.mId);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), used.size());
      ++gatewaysByReplica[static_cast<std::size_t>(std::stoi(*used.begin()))];
    }
    for (const int gateways : gatewaysByReplica) {
      CPPUNIT_ASSERT(gateways > 10 && gateways < 33);
    }
  }

  // Half of the replicas refuse 60% of their requests and serve the rest at normal speed. A success
  // between two refusals must not restore such a replica's rating.
  void AvoidsFrequentlyFailingReplica()
  {
    ReplicaSet replicas({ "a", "a" });
    for (int i = 0; i < 30; ++i) {
      RecordSuccess(replicas.mReplicas[1], kTypicalLatency, kTypicalLatency, kStart);
      RecordFailure(replicas.mReplicas[0], kStart);
      RecordSuccess(replicas.mReplicas[0], kTypicalLatency, kTypicalLatency, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(100, replicas.CountChoices({}, kStart)[1]);
    // It is tried again after some seconds without a result.
    CPPUNIT_ASSERT(replicas.CountChoices({}, kStart + seconds(10))[0] > 20);
  }

  void ExcludesDrainingFullAndTriedReplicas()
  {
    ReplicaSet replicas({ "a", "a", "a", "a" });
    replicas.mReplicas[0].mInfo.mState = UpstreamState::Draining;
    replicas.mReplicas[1].mMisplaced = true;
    for (int i = 0; i < 4; ++i) {
      replicas.mReplicas[2].mInFlightSince.insert(kStart);
    }
    const auto counts = replicas.CountChoices({}, kStart);
    CPPUNIT_ASSERT_EQUAL(100, counts[3]);
    const auto none = replicas.CountChoices({ "3" }, kStart);
    CPPUNIT_ASSERT_EQUAL(0, none[0] + none[1] + none[2] + none[3]);
  }

  void ClassifiesAttempts()
  {
    HeaderNames names;
    names.mSignature = "signature";
    names.mNotRun = "not-run";
    const auto end = [&names](TransferEnd aEnd, int aStatus, bool aSigned, bool aNotRun) {
      return ClassifyAttempt(MakeReply(aEnd, aStatus, aSigned, aNotRun), names);
    };
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 200, true, false) == AttemptEnd::Answered);
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 404, true, false) == AttemptEnd::Answered);
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 500, true, false) == AttemptEnd::RanAndFailed);
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 503, true, true) == AttemptEnd::NotRun);
    // A 503 without the not-run header may have run.
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 503, true, false) == AttemptEnd::RanAndFailed);
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 503, false, false) == AttemptEnd::Lost);
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 421, false, false) == AttemptEnd::Misplaced);
    CPPUNIT_ASSERT(end(TransferEnd::Complete, 200, false, false) == AttemptEnd::Lost);
    CPPUNIT_ASSERT(end(TransferEnd::Lost, 200, true, false) == AttemptEnd::Lost);
    CPPUNIT_ASSERT(end(TransferEnd::Mismatched, 200, true, false) == AttemptEnd::Lost);
    CPPUNIT_ASSERT(end(TransferEnd::TimedOut, 0, false, false) == AttemptEnd::Lost);
    CPPUNIT_ASSERT(end(TransferEnd::NotConnected, 0, false, false) == AttemptEnd::NotRun);
  }

  void RetriesOnlySafeRequests()
  {
    CPPUNIT_ASSERT(MayRetry(AttemptEnd::Lost, true) && !MayRetry(AttemptEnd::Lost, false));
    CPPUNIT_ASSERT(MayRetry(AttemptEnd::RanAndFailed, true));
    CPPUNIT_ASSERT(!MayRetry(AttemptEnd::RanAndFailed, false));
    CPPUNIT_ASSERT(MayRetry(AttemptEnd::NotRun, false) && MayRetry(AttemptEnd::Misplaced, false));
    CPPUNIT_ASSERT(!MayRetry(AttemptEnd::Answered, true));
  }

  void DecidesGathers()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), RequiredShards(10, 0.89));
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), RequiredShards(10, 0.9));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), RequiredShards(10, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), RequiredShards(10, 1));
    const auto decide =
      [](std::size_t aAnswered, std::size_t aPending, bool aObjectivePassed, bool aDeadlinePassed) {
        return DecideGather({ 10, aAnswered, aPending, 0.8, aObjectivePassed, aDeadlinePassed });
      };
    CPPUNIT_ASSERT(decide(9, 1, false, false) == GatherDecision::Wait);
    CPPUNIT_ASSERT(decide(10, 0, false, false) == GatherDecision::Answer);
    CPPUNIT_ASSERT(decide(8, 0, false, false) == GatherDecision::Answer);
    CPPUNIT_ASSERT(decide(8, 2, true, false) == GatherDecision::Answer);
    CPPUNIT_ASSERT(decide(7, 3, true, false) == GatherDecision::Wait);
    CPPUNIT_ASSERT(decide(7, 3, true, true) == GatherDecision::Fail);
    // The minimum coverage is out of reach, so there is no reason to wait for the rest.
    CPPUNIT_ASSERT(decide(0, 7, false, false) == GatherDecision::Fail);
  }

  void HedgeDelayFollowsTailLatency()
  {
    LatencyHistogram history;
    // Without samples, the hedge must be early enough for its reply to arrive within the objective.
    CPPUNIT_ASSERT(RelayHedgeDelay(history, milliseconds(100)) <= milliseconds(50));
    for (int i = 0; i < 1000; ++i) {
      RecordLatency(history, i % 20 == 0 ? milliseconds(100) : milliseconds(10), kStart);
    }
    const Duration delay = RelayHedgeDelay(history, milliseconds(250));
    CPPUNIT_ASSERT(delay >= milliseconds(8) && delay <= milliseconds(14));
    CPPUNIT_ASSERT(TypicalLatency(history, milliseconds(250)) <= milliseconds(12));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
