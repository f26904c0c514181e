// Guards against a request that crashes one upstream after another, and against stopping requests
// that only ran on the same upstream.
#include "engine_rig.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// One shard with five replicas. A query whose text starts with "kill" crashes every process that
// runs it.
struct Rig : EngineRig
{
  int mCrashes = 0;

  Rig()
  {
    mServe = false;
    mEngine.mHost = "entry-1";
    AddServices(1, 5, 4);
    mConfig.mClasses["check"].mDeadline = seconds(5);
    Announce();
  }

  QueryId SubmitText(const std::string& aQuery)
  {
    QueryRequest request = MakeRequest("check", "c");
    request.mQuery = aQuery;
    return Submit(std::move(request));
  }

  // Crashes the process that runs the attempt: all attempts on it are lost, and it restarts.
  void Crash(const SendSubrequest& aSend)
  {
    ++mCrashes;
    // Copied, because retries are appended to mSent.
    const std::vector<SendSubrequest> sent = mSent;
    const std::string upstream = aSend.mUpstream;
    for (const SendSubrequest& other : sent) {
      if (other.mUpstream == upstream && mEngine.mAttempts.contains(other.mAttempt)) {
        FailWith(other, FailureKind::Lost);
      }
    }
    ++mUpstreams.at(upstream).mInfo.mIncarnation;
  }

  // Runs until every query is answered. Each attempt of a "kill" query crashes its replica, which
  // announces its new incarnation after aRestart.
  void RunUntilAnswered(Duration aRestart)
  {
    for (std::size_t next = 0; !mEngine.mQueries.empty(); ++next) {
      if (next >= mSent.size()) {
        RunFor(milliseconds(30));
        --next;
        continue;
      }
      const SendSubrequest send = mSent[next];
      if (!mEngine.mAttempts.contains(send.mAttempt)) {
        continue;
      }
      if (send.mBody->starts_with("kill")) {
        Crash(send);
        RunFor(aRestart);
        Announce();
      } else {
        Reply(send);
      }
      RunFor(milliseconds(30));
    }
  }
};

} // namespace

class QuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(StopsAfterTwoCrashes);
  CPPUNIT_TEST(StopsEvenIfCrashesAreDetectedLate);
  CPPUNIT_TEST(RepeatedSubmissionsDoNotCrashMore);
  CPPUNIT_TEST(ConcurrentRequestsAreNotStopped);
  CPPUNIT_TEST(LostConnectionAloneIsNoStrike);
  CPPUNIT_TEST(SharedStrikesLimitCrashesToThree);
  CPPUNIT_TEST(ExpiresAndCanBeLifted);
  CPPUNIT_TEST_SUITE_END();

public:
  void StopsAfterTwoCrashes()
  {
    Rig rig;
    const QueryId query = rig.SubmitText("kill");
    rig.RunUntilAnswered(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(2, rig.mCrashes);
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::StoppedByQuarantine);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rig.mShared.size());
  }

  // Guards against a retry on a third replica before the second crash is detected.
  void StopsEvenIfCrashesAreDetectedLate()
  {
    Rig rig;
    rig.SubmitText("kill");
    rig.RunUntilAnswered(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(2, rig.mCrashes);
  }

  void RepeatedSubmissionsDoNotCrashMore()
  {
    Rig rig;
    for (int i = 0; i < 5; ++i) {
      rig.SubmitText("kill");
    }
    rig.RunUntilAnswered(milliseconds(10));
    // Copies that were sent before the first crash was detected still crash their replicas.
    const int before = rig.mCrashes;
    const QueryId query = rig.SubmitText("kill");
    rig.RunUntilAnswered(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(before, rig.mCrashes);
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::Quarantined);
    CPPUNIT_ASSERT(!Describe(Result::Quarantined).mMayHaveRun);
  }

  // Guards against stopping a frequent query because it ran on the same replicas as crashing ones.
  void ConcurrentRequestsAreNotStopped()
  {
    Rig rig;
    std::vector<QueryId> concurrent;
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 8; ++i) {
        concurrent.push_back(rig.SubmitText("good"));
      }
      // A different crashing query is used in each round, because the previous one is stopped.
      rig.SubmitText("kill-" + fmt::to_string(round));
      const SendSubrequest crashing = rig.mSent.back();
      CPPUNIT_ASSERT(crashing.mBody->starts_with("kill"));
      rig.Crash(crashing);
      rig.RunFor(milliseconds(10));
      rig.Announce();
      rig.RunUntilAnswered(milliseconds(10));
    }
    for (const QueryId id : concurrent) {
      CPPUNIT_ASSERT(rig.mAnswers.at(id).mResult == Result::Ok);
    }
    const Fingerprint harmless = MakeFingerprint("desk", "good");
    CPPUNIT_ASSERT(Permit(rig.mEngine.mQuarantine, harmless, "entry-1", rig.mNow) !=
                   Permission::Stopped);
    CPPUNIT_ASSERT_EQUAL(6, rig.mCrashes);
  }

  // Guards against stopping harmless requests whose connections were reset by a middlebox.
  void LostConnectionAloneIsNoStrike()
  {
    Rig rig;
    const QueryId query = rig.SubmitText("good");
    rig.FailWith(rig.mSent[0], FailureKind::Lost);
    rig.Reply(rig.mSent.at(1));
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::Ok);
    CPPUNIT_ASSERT(rig.mShared.empty());
    rig.RunFor(seconds(3));
    rig.SubmitText("good");
    CPPUNIT_ASSERT(rig.mEngine.mQuarantine.mSuspects.empty());
  }

  // Guards against four crashes in all, two by each of two hosts.
  void SharedStrikesLimitCrashesToThree()
  {
    Rig first;
    Rig second;
    second.mEngine.mHost = "entry-2";
    // Both hosts run the request before either knows of a crash.
    first.SubmitText("kill");
    second.SubmitText("kill");
    first.Crash(first.mSent.back());
    second.Crash(second.mSent.back());
    first.RunFor(milliseconds(1));
    second.RunFor(milliseconds(1));
    first.Announce();
    second.Announce();
    // Each host has already sent its retry in isolation. Now they exchange strikes, and only the
    // retry of the first host goes on to crash its replica.
    for (const Strike& strike : first.mShared) {
      OnSharedStrike(second.mEngine, strike, second.mNow);
    }
    for (const Strike& strike : second.mShared) {
      OnSharedStrike(first.mEngine, strike, first.mNow);
    }
    const Fingerprint crashingFingerprint = MakeFingerprint("desk", "kill");
    CPPUNIT_ASSERT(
      Permit(second.mEngine.mQuarantine, crashingFingerprint, "entry-2", second.mNow) ==
      Permission::Busy);
    first.RunUntilAnswered(milliseconds(10));
    for (const Strike& strike : first.mShared) {
      OnSharedStrike(second.mEngine, strike, second.mNow);
      OnSharedStrike(second.mEngine, strike, second.mNow);
    }
    CPPUNIT_ASSERT(
      Permit(second.mEngine.mQuarantine, crashingFingerprint, "entry-2", second.mNow) ==
      Permission::Stopped);
    CPPUNIT_ASSERT_EQUAL(2, first.mCrashes);
    CPPUNIT_ASSERT_EQUAL(1, second.mCrashes);
  }

  void ExpiresAndCanBeLifted()
  {
    Rig rig;
    rig.SubmitText("kill");
    rig.RunUntilAnswered(milliseconds(10));
    const auto listed = ListQuarantine(rig.mEngine.mQuarantine);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, listed.size());
    CPPUNIT_ASSERT(listed[0].mStopped && listed[0].mStrikes == 2);
    Quarantine copy = rig.mEngine.mQuarantine;
    CPPUNIT_ASSERT(LiftQuarantine(copy, listed[0].mFingerprint));
    CPPUNIT_ASSERT(!LiftQuarantine(copy, listed[0].mFingerprint));
    CPPUNIT_ASSERT(ListQuarantine(copy).empty());
    const TimePoint end = listed[0].mExpires;
    CPPUNIT_ASSERT(end >= rig.mNow + minutes(9));
    ExpireQuarantine(rig.mEngine.mQuarantine, end - Duration(1));
    CPPUNIT_ASSERT(!ListQuarantine(rig.mEngine.mQuarantine).empty());
    ExpireQuarantine(rig.mEngine.mQuarantine, end);
    CPPUNIT_ASSERT(ListQuarantine(rig.mEngine.mQuarantine).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
