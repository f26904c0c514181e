// Guards against gateways that go on without any link to replicas, and against taking slow or
// crashed replicas for that.
#include "reachability.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ReachabilityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReachabilityTest);
  CPPUNIT_TEST(SilenceOfSeveralReplicasIsChecked);
  CPPUNIT_TEST(SilenceOfOneReplicaOfManyIsNotChecked);
  CPPUNIT_TEST(OneAcceptedConnectionIsEnough);
  CPPUNIT_TEST(ChecksGoOnUntilAReplicaIsReached);
  CPPUNIT_TEST(LateResultOfAnEarlierCheckIsIgnored);
  CPPUNIT_TEST(FlappingGatewayKeepsCallersAwayLonger);
  CPPUNIT_TEST_SUITE_END();

public:
  void SilenceOfSeveralReplicasIsChecked()
  {
    SendToAll();
    CPPUNIT_ASSERT(!NeedsCheck(mState, 10, mNow));
    CPPUNIT_ASSERT(NeedsCheck(mState, 10, mNow + kSuspiciousSilence));
    RecordReached(mState, mNow);
    CPPUNIT_ASSERT(!NeedsCheck(mState, 10, mNow + kSuspiciousSilence));
  }

  void SilenceOfOneReplicaOfManyIsNotChecked()
  {
    for (int i = 0; i < 10; ++i) {
      RecordSend(mState, "r1", mNow);
    }
    CPPUNIT_ASSERT(!NeedsCheck(mState, 10, mNow + seconds(1)));
    CPPUNIT_ASSERT(NeedsCheck(mState, 1, mNow + seconds(1)));
  }

  void OneAcceptedConnectionIsEnough()
  {
    SendToAll();
    const std::uint64_t check = BeginCheck(mState, 3);
    CPPUNIT_ASSERT(!RecordUnreached(mState, check, 0, mNow));
    CPPUNIT_ASSERT(!RecordReached(mState, mNow));
    CPPUNIT_ASSERT(!RecordUnreached(mState, check, 0, mNow));
    CPPUNIT_ASSERT(!RecordUnreached(mState, check, 0, mNow));
    CPPUNIT_ASSERT(!ShouldAvoidCallers(mState, mNow));
  }

  void ChecksGoOnUntilAReplicaIsReached()
  {
    CutOff(mNow);
    CPPUNIT_ASSERT(ShouldAvoidCallers(mState, mNow));
    CPPUNIT_ASSERT(!NeedsCheck(mState, 3, mNow));
    CPPUNIT_ASSERT(NeedsCheck(mState, 3, mNow + kRecheckPause));
    BeginCheck(mState, 3);
    CPPUNIT_ASSERT(RecordReached(mState, mNow));
    CPPUNIT_ASSERT(!mState.mCutOff);
    CPPUNIT_ASSERT(ShouldAvoidCallers(mState, mNow));
    CPPUNIT_ASSERT(!ShouldAvoidCallers(mState, mNow + kMinStableTime));
  }

  void LateResultOfAnEarlierCheckIsIgnored()
  {
    SendToAll();
    const std::uint64_t earlier = BeginCheck(mState, 1);
    RecordReached(mState, mNow);
    SendToAll();
    const std::uint64_t later = BeginCheck(mState, 1);
    CPPUNIT_ASSERT(!RecordUnreached(mState, earlier, 0, mNow));
    CPPUNIT_ASSERT(RecordUnreached(mState, later, 0, mNow));
  }

  void FlappingGatewayKeepsCallersAwayLonger()
  {
    Duration previous{};
    for (int i = 0; i < 3; ++i) {
      CutOff(mNow);
      mNow += milliseconds(100);
      RecordReached(mState, mNow);
      CPPUNIT_ASSERT(mState.mStableTime > previous);
      previous = mState.mStableTime;
      mNow += previous;
    }
    for (int i = 0; i < 10; ++i) {
      CutOff(mNow);
      RecordReached(mState, mNow);
    }
    CPPUNIT_ASSERT(mState.mStableTime == kMaxStableTime);
    mNow += 3 * kMaxStableTime;
    CutOff(mNow);
    CPPUNIT_ASSERT(mState.mStableTime == kMinStableTime);
  }

private:
  void SendToAll()
  {
    for (const char* const replica : { "r1", "r2", "r3" }) {
      RecordSend(mState, replica, mNow);
    }
  }

  void CutOff(TimePoint aNow)
  {
    SendToAll();
    CPPUNIT_ASSERT(RecordUnreached(mState, BeginCheck(mState, 1), 0, aNow));
  }

  Reachability mState;
  TimePoint mNow{ seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachabilityTest);
