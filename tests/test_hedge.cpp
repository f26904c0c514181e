// Guards against slow replicas that determine the latency of whole queries, and against unlimited
// extra load from hedging.
#include "engine_rig.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct StragglerRun
{
  Duration mP99{};
  double mExtraLoad = 0;
};

// Simulates 10 services with 10 replicas each. The first aStragglers replicas of each service are
// 20 times slower.
StragglerRun
RunWithStragglers(int aStragglers, const Tuning& aTuning)
{
  EngineRig rig;
  rig.mEngine.mTuning = aTuning;
  rig.AddServices(10, 10, 5);
  for (auto& [id, upstream] : rig.mUpstreams) {
    if (std::stoi(id.substr(1)) <= aStragglers) {
      upstream.mServiceTime *= 20;
    }
  }
  rig.Announce();
  rig.Offer("check", 1000, seconds(5));
  rig.RunFor(seconds(6));
  const auto needed = static_cast<double>(rig.mOffered["check"].size() * 10);
  return { rig.Quantile("check", 0.99), static_cast<double>(rig.mSent.size()) / needed - 1 };
}

} // namespace

class HedgeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HedgeTest);
  CPPUNIT_TEST(QuantileFollowsSamplesAndDecays);
  CPPUNIT_TEST(StragglerDoesNotDetermineTailLatency);
  CPPUNIT_TEST(HedgeGoesToAnotherReplicaAndSlowerIsCancelled);
  CPPUNIT_TEST(LateReplyIsNotMergedTwice);
  CPPUNIT_TEST(NoHedgeWithoutBudget);
  CPPUNIT_TEST(PrefersLocalReplicaByAMargin);
  CPPUNIT_TEST(SlowReplicaIsUsedAgainLater);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against estimates that are off by more than a histogram bucket, and against old samples
  // that never decay.
  void QuantileFollowsSamplesAndDecays()
  {
    LatencyHistogram histogram;
    const TimePoint start{};
    CPPUNIT_ASSERT(!LatencyQuantile(histogram, 0.5));
    for (int i = 1; i <= 1000; ++i) {
      RecordLatency(histogram, Duration(i * 10), start);
    }
    for (const double quantile : { 0.1, 0.5, 0.95, 0.99 }) {
      const auto estimate = static_cast<double>(LatencyQuantile(histogram, quantile)->count());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(quantile * 10'000, estimate, quantile * 10'000 * 0.125);
    }
    for (int i = 0; i < 100; ++i) {
      RecordLatency(histogram, milliseconds(50), start + seconds(60));
    }
    CPPUNIT_ASSERT(LatencyQuantile(histogram, 0.5) > milliseconds(40));
    RecordLatency(histogram, std::chrono::hours(1), start + seconds(60));
    CPPUNIT_ASSERT(LatencyQuantile(histogram, 1.0) > seconds(10));
  }

  // Acceptance threshold of the design, section 5: with stragglers, p99 is at most 1.3 times that
  // without and at most a quarter of that of round robin without hedging, at 5% extra load or less.
  void StragglerDoesNotDetermineTailLatency()
  {
    const StragglerRun clean = RunWithStragglers(0, {});
    const StragglerRun slow = RunWithStragglers(1, {});
    Tuning plain;
    plain.mHedging = false;
    plain.mEjection = false;
    plain.mChoice = ChoicePolicy::RoundRobin;
    const StragglerRun roundRobin = RunWithStragglers(1, plain);
    const std::string figures = fmt::format("p99 {} us clean, {} us with stragglers, {} us plain",
                                            clean.mP99.count(),
                                            slow.mP99.count(),
                                            roundRobin.mP99.count());
    CPPUNIT_ASSERT_MESSAGE(figures, slow.mP99.count() * 10 <= clean.mP99.count() * 13);
    CPPUNIT_ASSERT_MESSAGE(figures, slow.mP99 * 4 <= roundRobin.mP99);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("extra load {}", slow.mExtraLoad), slow.mExtraLoad <= 0.05);
  }

  void HedgeGoesToAnotherReplicaAndSlowerIsCancelled()
  {
    EngineRig rig;
    RecordSamples(rig);
    const std::size_t before = rig.mSent.size();
    const QueryId query = rig.Submit();
    rig.RunFor(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(before + 2, rig.mSent.size());
    const SendSubrequest first = rig.mSent[before];
    const SendSubrequest second = rig.mSent[before + 1];
    CPPUNIT_ASSERT(first.mUpstream != second.mUpstream && first.mAttempt != second.mAttempt);
    rig.Reply(second);
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::Ok);
    CPPUNIT_ASSERT_EQUAL(first.mAttempt, rig.mCancelled.back().mAttempt);
  }

  // Guards against merging the reply of the slower attempt into the answer or into another query.
  void LateReplyIsNotMergedTwice()
  {
    EngineRig rig;
    RecordSamples(rig);
    const QueryId query = rig.Submit();
    rig.RunFor(milliseconds(20));
    const SendSubrequest first = rig.mSent[rig.mSent.size() - 2];
    rig.Reply(rig.mSent.back());
    rig.Reply(first);
    rig.Reply(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, rig.mAnswers.at(query).mItems.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, rig.mEngine.mDiscardedReplies);
    CPPUNIT_ASSERT(rig.mEngine.mCancelled.empty());
  }

  void NoHedgeWithoutBudget()
  {
    EngineRig rig;
    RecordSamples(rig);
    rig.mEngine.mHedges.mTokens = 0;
    const std::size_t before = rig.mSent.size();
    rig.Submit();
    rig.RunFor(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(before + 1, rig.mSent.size());
  }

  // Guards against traffic to another data centre although the local replica is as fast, and
  // against staying local although the local replica is much slower.
  void PrefersLocalReplicaByAMargin()
  {
    const Duration link = milliseconds(8);
    std::vector<Candidate> candidates{ { 0, 0, 2000, true }, { 1, 0, 10'000, false } };
    std::uint64_t turn = 0;
    Rng rng{ 3 };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         ChooseCandidate(candidates, ChoicePolicy::PowerOfTwo, link, turn, rng));
    candidates[0].mLatencyUs = 40'000;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         ChooseCandidate(candidates, ChoicePolicy::PowerOfTwo, link, turn, rng));
  }

  // Guards against never using a replica again after it was slow once.
  void SlowReplicaIsUsedAgainLater()
  {
    ReplicaLatency estimate;
    const TimePoint start{};
    RecordReplicaLatency(estimate, milliseconds(100), start);
    CPPUNIT_ASSERT(ExpectedLatencyUs(estimate, 2000, start) > 90'000);
    CPPUNIT_ASSERT(ExpectedLatencyUs(estimate, 2000, start + seconds(60)) < 2200);
  }

private:
  // Sets up two replicas and records enough samples for hedging. Afterwards the test replies
  // itself.
  static void RecordSamples(EngineRig& aRig)
  {
    aRig.AddServices(1, 2, 4);
    aRig.Announce();
    aRig.Offer("check", 500, seconds(1));
    aRig.RunFor(seconds(2));
    aRig.mEngine.mDiscardedReplies = 0;
    aRig.mServe = false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgeTest);
