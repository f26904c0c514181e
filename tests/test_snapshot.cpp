// Guards against answers that mix versions or partition maps, that count a key range twice or omit
// one without reporting it, and that the coverage policies give too early or too late.
#include "engine_rig.h"
#include "snapshot.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kHalf = kKeySpace / 2;

struct Rig : EngineRig
{
  Rig() { mServe = false; }

  UpstreamInfo& Add(const std::string& aId,
                    std::uint32_t aMap,
                    std::uint32_t aShard,
                    KeyRange aRange,
                    std::vector<IndexVersion> aVersions)
  {
    UpstreamInfo& info = AddUpstream(aId, "a").mInfo;
    info.mMap = aMap;
    info.mShard = aShard;
    info.mRange = aRange;
    info.mVersions = std::move(aVersions);
    return info;
  }

  SnapshotPlan Choose() { return ChooseSnapshot(mEngine, mConfig.mCollections.at("desk")); }

  // Replies to all running attempts in the order in which they were sent.
  void ReplyToAll()
  {
    for (std::size_t i = 0; i < mSent.size(); ++i) {
      const SendSubrequest send = mSent[i];
      if (mEngine.mAttempts.contains(send.mAttempt)) {
        Reply(send);
      }
    }
  }
};

} // namespace

class SnapshotTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SnapshotTest);
  CPPUNIT_TEST(ReplyOfAnotherVersionIsRetriedAtThePinnedOne);
  CPPUNIT_TEST(RestartsWhenThePinnedVersionIsRetired);
  CPPUNIT_TEST(RestartsAtMostTwice);
  CPPUNIT_TEST(RepartitionMidQueryRestartsOnTheNewMap);
  CPPUNIT_TEST(ReplyOfAnotherMapIsNotMerged);
  CPPUNIT_TEST(MapThatIsNotReadyDoesNotReplaceOneThatServes);
  CPPUNIT_TEST(NewestOfEqualVersionsIsPinned);
  CPPUNIT_TEST(OlderMapServesWhileVersionsDiffer);
  CPPUNIT_TEST(ReplicaWithDifferentRangeIsNotUsed);
  CPPUNIT_TEST(WholeWaitsForAReplicaUntilTheDeadline);
  CPPUNIT_TEST(SoonAnswersOnceTheMinimumIsReached);
  CPPUNIT_TEST(DrainingReplicaGetsNoNewWork);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReplyOfAnotherVersionIsRetriedAtThePinnedOne()
  {
    Rig rig;
    rig.Add("a1", 1, 0, {}, { 1 });
    rig.Add("a2", 1, 0, {}, { 1 });
    rig.Announce();
    const QueryId query = rig.Submit();
    const SendSubrequest first = rig.mSent[0];
    rig.ReplyWith({ first.mAttempt, first.mShard, 2, { "wrong" } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rig.mSent.size());
    CPPUNIT_ASSERT(rig.mSent[1].mUpstream != first.mUpstream && rig.mSent[1].mVersion == 1);
    rig.Reply(rig.mSent[1]);
    CPPUNIT_ASSERT((rig.mAnswers.at(query).mItems == std::vector<std::string>{ "1" }));
  }

  void RestartsWhenThePinnedVersionIsRetired()
  {
    Rig rig;
    rig.Add("a1", 1, 0, { 0, kHalf }, { 5 });
    rig.Add("a2", 1, 1, { kHalf, kKeySpace }, { 5 });
    rig.Announce();
    const QueryId query = rig.Submit();
    rig.Reply(rig.mSent[0]);
    rig.mUpstreams.at("a1").mInfo.mVersions = { 6 };
    rig.mUpstreams.at("a2").mInfo.mVersions = { 6 };
    rig.Announce();
    rig.FailWith(rig.mSent[1], FailureKind::VersionGone);
    rig.ReplyToAll();
    const Answer& answer = rig.mAnswers.at(query);
    CPPUNIT_ASSERT(answer.mResult == Result::Ok && answer.mSnapshot.mVersion == 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, answer.mItems.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, rig.mSent.size());
  }

  // Guards against a query that restarts with every new version and never ends.
  void RestartsAtMostTwice()
  {
    Rig rig;
    rig.Add("a1", 1, 0, {}, { 1 });
    rig.Announce();
    const QueryId query = rig.Submit();
    for (IndexVersion version = 2; version < 6; ++version) {
      rig.mUpstreams.at("a1").mInfo.mVersions = { version };
      rig.Announce();
      rig.FailWith(rig.mSent.back(), FailureKind::VersionGone);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, rig.mSent.size());
    rig.RunFor(milliseconds(290));
    const Answer& answer = rig.mAnswers.at(query);
    CPPUNIT_ASSERT(answer.mResult == Result::CoverageBelowMinimum);
    CPPUNIT_ASSERT(answer.mMissing.at(0).mReason == MissingReason::VersionGone);
  }

  // Guards against counting keys twice or losing keys when a shard is split while the query runs.
  void RepartitionMidQueryRestartsOnTheNewMap()
  {
    Rig rig;
    rig.Add("a1", 1, 0, { 0, kHalf }, { 1 });
    rig.Add("a2", 1, 1, { kHalf, kKeySpace }, { 1 });
    rig.Announce();
    const QueryId query = rig.Submit();
    rig.Reply(rig.mSent[0]);
    // The second shard is split, the first moves to new processes, and the old processes leave.
    rig.mUpstreams.clear();
    rig.Add("b1", 2, 0, { 0, kHalf }, { 1 });
    rig.Add("b2", 2, 1, { kHalf, kHalf + kHalf / 2 }, { 1 });
    rig.Add("b3", 2, 2, { kHalf + kHalf / 2, kKeySpace }, { 1 });
    rig.Announce();
    rig.FailWith(rig.mSent[1], FailureKind::Lost);
    rig.ReplyToAll();
    const Answer& answer = rig.mAnswers.at(query);
    CPPUNIT_ASSERT(answer.mResult == Result::Ok && answer.mSnapshot.mMaps.at("a") == 2);
    CPPUNIT_ASSERT(answer.mExpected == 3 && answer.mItems.size() == 3);
  }

  void ReplyOfAnotherMapIsNotMerged()
  {
    Rig rig;
    rig.Add("a1", 1, 0, {}, { 1 });
    rig.Announce();
    const QueryId query = rig.Submit();
    rig.ReplyWith({ rig.mSent[0].mAttempt, { "a", 2, 0 }, 1, { "wrong" } });
    rig.RunFor(milliseconds(290));
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mItems.empty());
    CPPUNIT_ASSERT_EQUAL(0U, rig.mAnswers.at(query).mAnswered);
  }

  void MapThatIsNotReadyDoesNotReplaceOneThatServes()
  {
    Rig rig;
    rig.Add("a1", 1, 0, {}, { 1 });
    rig.Add("b1", 2, 0, { 0, kHalf }, { 1 });
    rig.Add("b2", 2, 1, { kHalf, kKeySpace }, { 1 }).mState = UpstreamState::Starting;
    rig.Announce();
    CPPUNIT_ASSERT_EQUAL(1U, rig.Choose().mSnapshot.mMaps.at("a"));
    rig.mUpstreams.at("b2").mInfo.mState = UpstreamState::Ready;
    rig.Announce();
    CPPUNIT_ASSERT_EQUAL(2U, rig.Choose().mSnapshot.mMaps.at("a"));
    // Also while no version covers all services.
    rig.mUpstreams.at("b2").mInfo.mState = UpstreamState::Starting;
    rig.mConfig.mCollections["desk"].mServices = { "a", "b" };
    rig.AddUpstream("other", "b").mInfo.mVersions = { 9 };
    rig.Announce();
    CPPUNIT_ASSERT_EQUAL(1U, rig.Choose().mSnapshot.mMaps.at("a"));
  }

  void NewestOfEqualVersionsIsPinned()
  {
    Rig rig;
    rig.Add("a1", 1, 0, {}, { 1, 2 });
    rig.Announce();
    CPPUNIT_ASSERT_EQUAL(IndexVersion{ 2 }, rig.Choose().mSnapshot.mVersion);
    // A replica that rejected a version no longer serves it, whatever it announces.
    Replica replica;
    replica.mInfo = rig.mUpstreams.at("a1").mInfo;
    CPPUNIT_ASSERT(ServesVersion(replica, 2));
    replica.mRejectedVersions.insert(2);
    CPPUNIT_ASSERT(!ServesVersion(replica, 2));
  }

  // Guards against losing coverage during a simultaneous repartition and index rollout, although
  // one snapshot is complete.
  void OlderMapServesWhileVersionsDiffer()
  {
    Rig rig;
    rig.mConfig.mCollections["desk"].mServices = { "a", "b" };
    rig.Add("a1", 1, 0, {}, { 5 });
    rig.Add("a2", 2, 0, {}, { 6 });
    rig.AddUpstream("b1", "b").mInfo.mVersions = { 5 };
    rig.Announce();
    const SnapshotPlan plan = rig.Choose();
    CPPUNIT_ASSERT(plan.mSnapshot.mVersion == 5 && plan.mSnapshot.mMaps.at("a") == 1);
  }

  // Guards against using a replica that announces another key range than the other replicas of its
  // shard.
  void ReplicaWithDifferentRangeIsNotUsed()
  {
    Rig rig;
    rig.Add("a1", 1, 0, { 0, kHalf }, { 1 });
    rig.Add("a2", 1, 0, {}, { 1 });
    rig.Add("a3", 1, 0, {}, { 1 });
    rig.Announce();
    for (int i = 0; i < 4; ++i) {
      rig.Submit();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, rig.mSent.size());
    for (const SendSubrequest& send : rig.mSent) {
      CPPUNIT_ASSERT(send.mUpstream != "a1");
    }
  }

  void WholeWaitsForAReplicaUntilTheDeadline()
  {
    Rig rig;
    rig.Add("a1", 1, 0, {}, { 1 });
    rig.Announce();
    const QueryId first = rig.Submit();
    rig.FailWith(rig.mSent[0], FailureKind::Lost);
    CPPUNIT_ASSERT(!rig.mAnswers.contains(first));
    rig.Add("a2", 1, 0, {}, { 1 });
    rig.Announce();
    CPPUNIT_ASSERT_EQUAL(std::string("a2"), rig.mSent.back().mUpstream);
    rig.Reply(rig.mSent.back());
    CPPUNIT_ASSERT(rig.mAnswers.at(first).mResult == Result::Ok);
  }

  void SoonAnswersOnceTheMinimumIsReached()
  {
    Rig rig;
    ClassPolicy& policy = rig.AddClass("soon", 0, milliseconds(290));
    policy.mCoverage = CoveragePolicy::Soon;
    policy.mAnswerAfter = milliseconds(100);
    policy.mMinCoverage = 0.5;
    rig.Add("a1", 1, 0, { 0, kHalf }, { 1 });
    rig.Add("a2", 1, 1, { kHalf, kKeySpace }, { 1 });
    rig.Announce();
    const QueryId early = rig.Submit("soon");
    rig.Reply(rig.mSent[0]);
    rig.RunFor(milliseconds(99));
    CPPUNIT_ASSERT(!rig.mAnswers.contains(early));
    rig.RunFor(milliseconds(1));
    const Answer& answer = rig.mAnswers.at(early);
    CPPUNIT_ASSERT(answer.mResult == Result::PartialAnswer && answer.Coverage() == 0.5);
    CPPUNIT_ASSERT(answer.mMissing.at(0).mReason == MissingReason::TimedOut);
    // The minimum is not reached at that time, so the answer is given with the reply that reaches
    // it.
    const QueryId late = rig.Submit("soon");
    rig.RunFor(milliseconds(150));
    CPPUNIT_ASSERT(!rig.mAnswers.contains(late));
    rig.Reply(rig.mSent.back());
    CPPUNIT_ASSERT(rig.mAnswers.at(late).mResult == Result::PartialAnswer);
    // The minimum coverage of the caller overrides that of the class.
    QueryRequest strict = rig.MakeRequest("soon", "c");
    strict.mMinCoverage = 1.0;
    const QueryId whole = rig.Submit(std::move(strict));
    rig.Reply(rig.mSent.back());
    rig.RunFor(milliseconds(290));
    CPPUNIT_ASSERT(rig.mAnswers.at(whole).mResult == Result::CoverageBelowMinimum);
  }

  // I6: guards against sending work to an upstream that has reported that it is draining.
  void DrainingReplicaGetsNoNewWork()
  {
    Rig rig;
    rig.Add("a1", 1, 0, {}, { 1 });
    rig.Add("a2", 1, 0, {}, { 1 });
    rig.Announce();
    rig.Submit();
    const std::string leaving = rig.mSent[0].mUpstream;
    rig.FailWith(rig.mSent[0], FailureKind::Draining);
    for (int i = 0; i < 3; ++i) {
      rig.Submit();
    }
    for (std::size_t i = 1; i < rig.mSent.size(); ++i) {
      CPPUNIT_ASSERT(rig.mSent[i].mUpstream != leaving);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);
