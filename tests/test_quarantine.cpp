// Guards against a request that crashes one upstream after another, and against stopping requests
// that only ran next to it.
#include "engine_rig.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// Five replicas of one shard. A query "kill..." crashes every process that runs it.
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

  QueryId Ask(const std::string& aQuery)
  {
    QueryRequest request = MakeRequest("check", "c");
    request.mQuery = aQuery;
    return Submit(std::move(request));
  }

  // Crashes the process of the attempt: all that runs there is lost, and it restarts.
  void Crash(const SendSub& aSend)
  {
    ++mCrashes;
    // Copies, because a retry is appended to mSent.
    const std::vector<SendSub> sent = mSent;
    const std::string upstream = aSend.mUpstream;
    for (const SendSub& one : sent) {
      if (one.mUpstream == upstream && mEngine.mAttempts.contains(one.mAttempt)) {
        FailWith(one, FailureKind::Lost);
      }
    }
    ++mUpstreams.at(upstream).mInfo.mIncarnation;
  }

  // Runs until every query is answered; each attempt of "kill" crashes its replica. The restarted
  // processes announce themselves after aRestart.
  void Play(Duration aRestart)
  {
    for (std::size_t next = 0; !mEngine.mQueries.empty(); ++next) {
      if (next >= mSent.size()) {
        RunFor(milliseconds(30));
        --next;
        continue;
      }
      const SendSub send = mSent[next];
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
  CPPUNIT_TEST(StopsEvenIfDeathsAreSeenLate);
  CPPUNIT_TEST(RepeatedSubmissionsDoNotCrashMore);
  CPPUNIT_TEST(NeighboursAreNotPunished);
  CPPUNIT_TEST(LostConnectionAloneIsNoStrike);
  CPPUNIT_TEST(SharedStrikesLimitCrashesToThree);
  CPPUNIT_TEST(ExpiresAndCanBeLifted);
  CPPUNIT_TEST_SUITE_END();

public:
  void StopsAfterTwoCrashes()
  {
    Rig rig;
    const QueryId query = rig.Ask("kill");
    rig.Play(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(2, rig.mCrashes);
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::StoppedByQuarantine);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rig.mShared.size());
  }

  // The retry runs on a third replica before the death of the second one is known.
  void StopsEvenIfDeathsAreSeenLate()
  {
    Rig rig;
    rig.Ask("kill");
    rig.Play(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(2, rig.mCrashes);
  }

  void RepeatedSubmissionsDoNotCrashMore()
  {
    Rig rig;
    for (int i = 0; i < 5; ++i) {
      rig.Ask("kill");
    }
    rig.Play(milliseconds(10));
    // The copies that were sent before the first death was seen crash the replicas they run on.
    const int before = rig.mCrashes;
    const QueryId query = rig.Ask("kill");
    rig.Play(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(before, rig.mCrashes);
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::Quarantined);
    CPPUNIT_ASSERT(!Describe(Result::Quarantined).mMayHaveRun);
  }

  // A popular query ran next to the crashing one on both replicas, and is stopped for it.
  void NeighboursAreNotPunished()
  {
    Rig rig;
    std::vector<QueryId> neighbours;
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 8; ++i) {
        neighbours.push_back(rig.Ask("good"));
      }
      // Another one each time, because the first is stopped before it can run next to others again.
      rig.Ask("kill-" + fmt::to_string(round));
      const SendSub killer = rig.mSent.back();
      CPPUNIT_ASSERT(killer.mBody->starts_with("kill"));
      rig.Crash(killer);
      rig.RunFor(milliseconds(10));
      rig.Announce();
      rig.Play(milliseconds(10));
    }
    for (const QueryId id : neighbours) {
      CPPUNIT_ASSERT(rig.mAnswers.at(id).mResult == Result::Ok);
    }
    const Fingerprint good = MakeFingerprint("desk", "good");
    CPPUNIT_ASSERT(Permit(rig.mEngine.mQuarantine, good, "entry-1", rig.mNow) !=
                   Permission::Stopped);
    CPPUNIT_ASSERT_EQUAL(6, rig.mCrashes);
  }

  // A middlebox that resets connections gets good requests stopped.
  void LostConnectionAloneIsNoStrike()
  {
    Rig rig;
    const QueryId query = rig.Ask("good");
    rig.FailWith(rig.mSent[0], FailureKind::Lost);
    rig.Reply(rig.mSent.at(1));
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::Ok);
    CPPUNIT_ASSERT(rig.mShared.empty());
    rig.RunFor(seconds(3));
    rig.Ask("good");
    CPPUNIT_ASSERT(rig.mEngine.mQuarantine.mSuspects.empty());
  }

  // Two hosts each crash two replicas.
  void SharedStrikesLimitCrashesToThree()
  {
    Rig first;
    Rig second;
    second.mEngine.mHost = "entry-2";
    // Both hosts run the request before either knows of a death.
    first.Ask("kill");
    second.Ask("kill");
    first.Crash(first.mSent.back());
    second.Crash(second.mSent.back());
    first.RunFor(milliseconds(1));
    second.RunFor(milliseconds(1));
    first.Announce();
    second.Announce();
    // The retries were sent at once, alone. Only one of them crashes its replica before the hosts
    // hear of each other's strikes.
    for (const Strike& strike : first.mShared) {
      OnSharedStrike(second.mEngine, strike, second.mNow);
    }
    for (const Strike& strike : second.mShared) {
      OnSharedStrike(first.mEngine, strike, first.mNow);
    }
    const Fingerprint kill = MakeFingerprint("desk", "kill");
    CPPUNIT_ASSERT(Permit(second.mEngine.mQuarantine, kill, "entry-2", second.mNow) ==
                   Permission::Busy);
    first.Play(milliseconds(10));
    for (const Strike& strike : first.mShared) {
      OnSharedStrike(second.mEngine, strike, second.mNow);
      OnSharedStrike(second.mEngine, strike, second.mNow);
    }
    CPPUNIT_ASSERT(Permit(second.mEngine.mQuarantine, kill, "entry-2", second.mNow) ==
                   Permission::Stopped);
    CPPUNIT_ASSERT_EQUAL(2, first.mCrashes);
    CPPUNIT_ASSERT_EQUAL(1, second.mCrashes);
  }

  void ExpiresAndCanBeLifted()
  {
    Rig rig;
    rig.Ask("kill");
    rig.Play(milliseconds(10));
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
