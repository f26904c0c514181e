// Guards against lost coverage when replicas fail, against load that grows during an outage, and
// against ejecting healthy replicas.
#include "engine_rig.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

class RetriesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetriesTest);
  CPPUNIT_TEST(LostReplicasCostNoCoverage);
  CPPUNIT_TEST(OutageAddsLittleLoadAndEndsWithoutSurge);
  CPPUNIT_TEST(NoRetryWithoutTimeLeft);
  CPPUNIT_TEST(EjectsOutlierButNeverTheLastReplica);
  CPPUNIT_TEST(EjectionDoublesAndEndsWithSlowStart);
  CPPUNIT_TEST(NewReplicaStartsSlowly);
  CPPUNIT_TEST(SilentConnectionIsRepeatedOnANewOne);
  CPPUNIT_TEST(ConnectBudgetLimitsNewConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  // Acceptance threshold of the design, section 5, for the loss of one replica in three.
  void LostReplicasCostNoCoverage()
  {
    EngineRig rig;
    rig.AddServices(10, 3, 5);
    rig.Announce();
    rig.Offer("check", 1000, seconds(1));
    rig.RunFor(seconds(1));
    for (auto& [id, upstream] : rig.mUpstreams) {
      upstream.mDown = id.ends_with("1");
    }
    rig.Offer("check", 1000, seconds(1));
    rig.RunFor(seconds(1));
    rig.mOffered.clear();
    const std::size_t sent = rig.mSent.size();
    rig.Offer("check", 1000, seconds(5));
    rig.RunFor(seconds(6));
    const auto queries = static_cast<double>(rig.mOffered["check"].size());
    const auto complete = static_cast<double>(rig.CountResults("check", Result::Ok));
    const double extra = static_cast<double>(rig.mSent.size() - sent) / (queries * 10) - 1;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {}", complete, queries), complete >= queries * 0.999);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("extra load {}", extra), extra < 0.1);
  }

  // Acceptance threshold of the design, section 5, for a full outage of one service.
  void OutageAddsLittleLoadAndEndsWithoutSurge()
  {
    EngineRig rig;
    rig.AddServices(5, 3, 5);
    rig.Announce();
    rig.Offer("check", 500, seconds(10));
    rig.RunFor(seconds(2));
    SetDown(rig, true);
    const std::size_t first = rig.mEngine.mCounts.mFirstAttempts;
    const std::size_t sent = rig.mSent.size();
    rig.RunFor(seconds(4));
    const auto firsts = static_cast<double>(rig.mEngine.mCounts.mFirstAttempts - first);
    const double extra = static_cast<double>(rig.mSent.size() - sent) / firsts - 1;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("extra load {}", extra), extra < 0.1);
    const std::uint64_t retriesBefore = rig.mEngine.mCounts.mRetries;
    rig.RunFor(seconds(1));
    const std::uint64_t retriesLate = rig.mEngine.mCounts.mRetries - retriesBefore;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} retries in the fifth second", retriesLate),
                           retriesLate <= 25);
    SetDown(rig, false);
    rig.RunFor(seconds(1));
    const std::uint64_t received = Received(rig);
    rig.RunFor(milliseconds(500));
    rig.mOffered.clear();
    rig.RunFor(milliseconds(500));
    // 500 queries/s are offered. Nothing from the time of the outage may be sent in addition.
    CPPUNIT_ASSERT(Received(rig) - received <= 600);
    rig.RunFor(seconds(5));
    CPPUNIT_ASSERT_EQUAL(rig.mOffered["check"].size(), rig.CountResults("check", Result::Ok));
  }

  // Guards against retries that cannot finish before the deadline and only add load.
  void NoRetryWithoutTimeLeft()
  {
    CPPUNIT_ASSERT(RetryFits(milliseconds(3), milliseconds(2)));
    CPPUNIT_ASSERT(!RetryFits(milliseconds(2), milliseconds(2)));
    CPPUNIT_ASSERT(!RetryFits(Duration::zero(), std::nullopt));
    EngineRig rig;
    rig.AddServices(1, 3, 5);
    rig.Announce();
    rig.Offer("check", 500, seconds(1));
    rig.RunFor(seconds(2));
    rig.mServe = false;
    rig.mEngine.mTuning.mHedging = false;
    rig.Submit();
    const SendSubrequest sent = rig.mSent.back();
    const std::size_t count = rig.mSent.size();
    rig.RunFor(milliseconds(290) - Duration(500));
    rig.FailWith(sent, FailureKind::Lost);
    CPPUNIT_ASSERT_EQUAL(count, rig.mSent.size());
  }

  // Guards against ejecting the only replica of a shard, or most of its replicas.
  void EjectsOutlierButNeverTheLastReplica()
  {
    std::vector<Health> health(3);
    std::vector<HealthView> views;
    for (const Health& one : health) {
      views.push_back({ &one, 2000, 50 });
    }
    for (int i = 0; i < 5; ++i) {
      RecordHealth(health[0], false);
    }
    CPPUNIT_ASSERT(ShouldEject(views, 0));
    CPPUNIT_ASSERT(!ShouldEject({ views.data(), 2 }, 0));
    CPPUNIT_ASSERT(!ShouldEject({ views.data(), 1 }, 0));
    Eject(health[0], TimePoint());
    for (int i = 0; i < 5; ++i) {
      RecordHealth(health[1], false);
    }
    CPPUNIT_ASSERT(!ShouldEject(views, 1));
    // If all replicas fail equally, none is an outlier.
    std::vector<Health> failing(3);
    for (int i = 0; i < 20; ++i) {
      for (Health& one : failing) {
        RecordHealth(one, false);
      }
    }
    const std::vector<HealthView> equal{ { &failing[0] }, { &failing[1] }, { &failing[2] } };
    CPPUNIT_ASSERT(!ShouldEject(equal, 0));
    // A replica much slower than the others is an outlier.
    health.assign(3, {});
    views[0].mMeanLatencyUs = 40'000;
    CPPUNIT_ASSERT(ShouldEject(views, 0));
  }

  void EjectionDoublesAndEndsWithSlowStart()
  {
    Health health;
    TimePoint now{};
    for (const int length : { 1, 2, 4, 8, 16, 30, 30 }) {
      Eject(health, now);
      RefreshHealth(health, now + seconds(length) - Duration(1));
      CPPUNIT_ASSERT(health.mEjected);
      now += seconds(length);
      RefreshHealth(health, now);
      CPPUNIT_ASSERT(!health.mEjected && health.mOnProbation);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, SlowStartShare(health, now), 1e-9);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, SlowStartShare(health, now + milliseconds(2500)), 1e-9);
    RefreshHealth(health, now + seconds(5));
    CPPUNIT_ASSERT_EQUAL(1.0, SlowStartShare(health, now + seconds(5)));
  }

  // Guards against a new replica that gets its full share of the load immediately.
  void NewReplicaStartsSlowly()
  {
    EngineRig rig;
    rig.AddServices(1, 2, 10);
    rig.Announce();
    rig.AddUpstream("a3", "a", 10);
    rig.Announce();
    rig.mServe = false;
    for (int i = 0; i < 21; ++i) {
      rig.Submit();
    }
    CPPUNIT_ASSERT_EQUAL(1U, rig.mEngine.mReplicas.at("a3")->mInFlight);
  }

  // Guards against requests that wait for their deadline on a connection whose middlebox lost its
  // state, and against ejecting the replica for it.
  void SilentConnectionIsRepeatedOnANewOne()
  {
    EngineRig rig;
    rig.AddServices(1, 3, 5);
    rig.Announce();
    rig.Offer("check", 500, seconds(1));
    rig.RunFor(seconds(2));
    rig.mServe = false;
    rig.mEngine.mTuning.mHedging = false;
    const QueryId query = rig.Submit();
    const SendSubrequest first = rig.mSent.back();
    CPPUNIT_ASSERT(!first.mFreshConnection && first.mSilence == milliseconds(50));
    const double errors = rig.mEngine.mReplicas.at(first.mUpstream)->mHealth.mFailureRate;
    rig.RunFor(milliseconds(50));
    rig.FailWith(first, FailureKind::Silent);
    const SendSubrequest second = rig.mSent.back();
    CPPUNIT_ASSERT(second.mAttempt != first.mAttempt && second.mFreshConnection);
    CPPUNIT_ASSERT(second.mSilence == Duration::zero());
    CPPUNIT_ASSERT_EQUAL(errors, rig.mEngine.mReplicas.at(first.mUpstream)->mHealth.mFailureRate);
    rig.Reply(second);
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::Ok);
  }

  // Guards against opening thousands of connections at once after a middlebox failure.
  void ConnectBudgetLimitsNewConnections()
  {
    RateBucket bucket;
    TimePoint now{ seconds(1) };
    int opened = 0;
    for (int i = 0; i < 1000; ++i) {
      opened += TrySpend(bucket, now) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(20, opened);
    for (int i = 0; i < 1000; ++i) {
      now += milliseconds(1);
      opened += TrySpend(bucket, now) ? 1 : 0;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(70, opened, 1);
  }

private:
  static void SetDown(EngineRig& aRig, bool aDown)
  {
    for (auto& [id, upstream] : aRig.mUpstreams) {
      if (id.starts_with("a")) {
        upstream.mDown = aDown;
      }
    }
  }

  static std::uint64_t Received(const EngineRig& aRig)
  {
    std::uint64_t received = 0;
    for (const auto& [id, upstream] : aRig.mUpstreams) {
      received += id.starts_with("a") ? upstream.mReceived : 0;
    }
    return received;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetriesTest);
