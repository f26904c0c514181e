// Tests of what replicas say about themselves. They guard against requests to a replica that leaves
// or wants none, and against a replica that is left alone for good.
#include "replica_signals.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };

ReplicaView
ReadyReplica()
{
  ReplicaView replica;
  replica.mInfo.mId = "i-1";
  replica.mInfo.mState = UpstreamState::Ready;
  return replica;
}

UpstreamSignals
WantsNothingFor(Duration aTime)
{
  UpstreamSignals signals;
  signals.mRetryAfter = aTime;
  return signals;
}

UpstreamSignals
Leaves()
{
  UpstreamSignals signals;
  signals.mLeaving = true;
  return signals;
}

} // namespace

class ReplicaSignalsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaSignalsTest);
  CPPUNIT_TEST(LeavingReplicaGetsNoNewRequests);
  CPPUNIT_TEST(ReplicaIsLeftAloneForTheTimeItNames);
  CPPUNIT_TEST(GatewaysDoNotReturnTogether);
  CPPUNIT_TEST(HugeTimeIsCutAndProbed);
  CPPUNIT_TEST(UnreadableValueTakesNothingBack);
  CPPUNIT_TEST(WaitFollowsTheReplicaThatReturnsFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void LeavingReplicaGetsNoNewRequests()
  {
    ReplicaView replica = ReadyReplica();
    CPPUNIT_ASSERT(TakesRequest(replica, kStart));
    CPPUNIT_ASSERT(ApplySignals(replica, Leaves(), {}, kStart).mLeavingChanged);
    CPPUNIT_ASSERT(!TakesRequest(replica, kStart));
    // A reply that was under way.
    CPPUNIT_ASSERT(!ApplySignals(replica, {}, {}, kStart + seconds(1)).mLeavingChanged);
    CPPUNIT_ASSERT(!TakesRequest(replica, kStart + seconds(100)));
    CPPUNIT_ASSERT(!IsUsable(replica));
  }

  void ReplicaIsLeftAloneForTheTimeItNames()
  {
    ReplicaView replica = ReadyReplica();
    CPPUNIT_ASSERT(ApplySignals(replica, WantsNothingFor(seconds(5)), {}, kStart).mHeld);
    // Replies to requests that were under way, one of them with a shorter time.
    ApplySignals(replica, {}, {}, kStart + milliseconds(10));
    CPPUNIT_ASSERT(
      !ApplySignals(replica, WantsNothingFor(seconds(1)), {}, kStart + milliseconds(20)).mHeld);
    CPPUNIT_ASSERT(!TakesRequest(replica, kStart + milliseconds(4990)));
    CPPUNIT_ASSERT(TakesRequest(replica, kStart + milliseconds(5000)));
    CPPUNIT_ASSERT(IsUsable(replica));
  }

  void GatewaysDoNotReturnTogether()
  {
    ReplicaView first = ReadyReplica();
    ReplicaView second = ReadyReplica();
    ApplySignals(first, WantsNothingFor(seconds(10)), { 2, 0.0 }, kStart);
    ApplySignals(second, WantsNothingFor(seconds(10)), { 2, 0.5 }, kStart);
    CPPUNIT_ASSERT(TakesRequest(first, kStart + seconds(10)));
    CPPUNIT_ASSERT(!TakesRequest(second, kStart + milliseconds(10'900)));
    CPPUNIT_ASSERT(TakesRequest(second, kStart + seconds(11)));
  }

  void HugeTimeIsCutAndProbed()
  {
    ReplicaView replica = ReadyReplica();
    ApplySignals(replica, WantsNothingFor(std::chrono::hours(24)), {}, kStart);
    const TimePoint end = kStart + kMaxHoldTime;
    CPPUNIT_ASSERT(!TakesRequest(replica, end - milliseconds(1)));
    CPPUNIT_ASSERT(TakesRequest(replica, end));
    replica.mInFlightSince.insert(end);
    CPPUNIT_ASSERT(!TakesRequest(replica, end));
    replica.mInFlightSince.clear();
    ApplySignals(replica, {}, {}, end + milliseconds(10));
    replica.mInFlightSince.insert(end);
    CPPUNIT_ASSERT(TakesRequest(replica, end + milliseconds(10)));
  }

  void UnreadableValueTakesNothingBack()
  {
    ReplicaView replica = ReadyReplica();
    UpstreamSignals limited;
    limited.mRequestLimit = 1;
    CPPUNIT_ASSERT(ApplySignals(replica, limited, {}, kStart).mLimitChanged);
    UpstreamSignals unreadable;
    unreadable.mUnreadable = "limit";
    CPPUNIT_ASSERT(!ApplySignals(replica, unreadable, {}, kStart).mLimitChanged);
    CPPUNIT_ASSERT(!TakesRequest(replica, kStart));
    CPPUNIT_ASSERT(ApplySignals(replica, {}, {}, kStart).mLimitChanged);
    CPPUNIT_ASSERT(TakesRequest(replica, kStart));
  }

  void WaitFollowsTheReplicaThatReturnsFirst()
  {
    ReplicaView first = ReadyReplica();
    ReplicaView second = ReadyReplica();
    ReplicaView leaving = ReadyReplica();
    const std::vector<ReplicaView*> replicas{ &first, &second, &leaving };
    ApplySignals(leaving, Leaves(), {}, kStart);
    CPPUNIT_ASSERT(TakesRequestAt(replicas, 5, kStart) == kStart);
    ApplySignals(first, WantsNothingFor(seconds(3)), {}, kStart);
    CPPUNIT_ASSERT(TakesRequestAt(replicas, 5, kStart) == kStart);
    ApplySignals(second, WantsNothingFor(seconds(2)), {}, kStart);
    CPPUNIT_ASSERT(TakesRequestAt(replicas, 5, kStart) == kStart + seconds(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaSignalsTest);
