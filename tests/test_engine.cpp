// Guards against answers that mix snapshots or report a wrong coverage, and against queries that
// are never answered.
#include "engine.h"
#include "snapshot.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;

namespace {

UpstreamInfo
MakeUpstream(const std::string& aId,
             const std::string& aService,
             std::vector<IndexVersion> aVersions)
{
  UpstreamInfo info;
  info.mId = aId;
  info.mService = aService;
  info.mMap = 1;
  info.mAddress = { "127.0.0.1", 1 };
  info.mVersions = std::move(aVersions);
  info.mState = UpstreamState::Ready;
  return info;
}

struct Fixture
{
  Engine mEngine;
  Rng mRng{ 1 };
  TimePoint mNow{};
  Actions mActions;

  explicit Fixture(const std::vector<UpstreamInfo>& aUpstreams)
  {
    auto config = std::make_shared<Config>();
    ClassPolicy policy;
    policy.mName = "check";
    config->mClasses["check"] = policy;
    config->mCollections["desk"] = { "desk", { "a", "b" }, "check" };
    SetConfig(mEngine, config);
    SetUpstreams(mEngine, aUpstreams);
  }

  void Submit(double aMinCoverage = 1.0)
  {
    QueryRequest request;
    request.mId = 1;
    request.mCollection = "desk";
    request.mMinCoverage = aMinCoverage;
    SubmitQuery(mEngine, request, mNow, mRng, mActions);
  }

  std::vector<SendSubrequest> Sent() const
  {
    std::vector<SendSubrequest> sent;
    for (const Action& action : mActions) {
      if (const auto* const send = std::get_if<SendSubrequest>(&action)) {
        sent.push_back(*send);
      }
    }
    return sent;
  }

  void Reply(const SendSubrequest& aSend, IndexVersion aVersion)
  {
    OnReply(mEngine, { aSend.mAttempt, aSend.mShard, aVersion, { "1" } }, mNow, mRng, mActions);
  }

  const Answer* Answered() const
  {
    for (const Action& action : mActions) {
      if (const auto* const respond = std::get_if<Respond>(&action)) {
        return &respond->mAnswer;
      }
    }
    return nullptr;
  }
};

} // namespace

class EngineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EngineTest);
  CPPUNIT_TEST(MergesAllShards);
  CPPUNIT_TEST(PinsVersionThatAllShardsServe);
  CPPUNIT_TEST(DoesNotMergeAnotherVersion);
  CPPUNIT_TEST(CountsUnannouncedServiceAsMissing);
  CPPUNIT_TEST(AnswersAtDeadline);
  CPPUNIT_TEST(RejectsMapsWithGapsOrOverlaps);
  CPPUNIT_TEST_SUITE_END();

public:
  void MergesAllShards()
  {
    Fixture fixture({ MakeUpstream("a1", "a", { 1 }), MakeUpstream("b1", "b", { 1 }) });
    fixture.Submit();
    for (const SendSubrequest& send : fixture.Sent()) {
      fixture.Reply(send, 1);
    }
    const Answer* const answer = fixture.Answered();
    CPPUNIT_ASSERT(answer != nullptr && answer->mResult == Result::Ok);
    CPPUNIT_ASSERT_EQUAL(2U, answer->mAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, answer->mItems.size());
  }

  void PinsVersionThatAllShardsServe()
  {
    Fixture fixture({ MakeUpstream("a1", "a", { 1, 2 }), MakeUpstream("b1", "b", { 1 }) });
    fixture.Submit();
    for (const SendSubrequest& send : fixture.Sent()) {
      CPPUNIT_ASSERT_EQUAL(IndexVersion{ 1 }, send.mVersion);
    }
  }

  void DoesNotMergeAnotherVersion()
  {
    Fixture fixture({ MakeUpstream("a1", "a", { 1 }), MakeUpstream("b1", "b", { 1 }) });
    fixture.Submit();
    const auto sent = fixture.Sent();
    fixture.Reply(sent[0], 1);
    fixture.Reply(sent[1], 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.mEngine.mDiscardedReplies);
    fixture.mNow += std::chrono::seconds(1);
    OnTimer(fixture.mEngine, fixture.mNow, fixture.mRng, fixture.mActions);
    CPPUNIT_ASSERT(fixture.Answered()->mResult == Result::CoverageBelowMinimum);
    CPPUNIT_ASSERT_EQUAL(1U, fixture.Answered()->mAnswered);
  }

  void CountsUnannouncedServiceAsMissing()
  {
    Fixture fixture({ MakeUpstream("a1", "a", { 1 }) });
    fixture.Submit(0.5);
    fixture.Reply(fixture.Sent()[0], 1);
    const Answer* const answer = fixture.Answered();
    CPPUNIT_ASSERT(answer->mResult == Result::PartialAnswer);
    CPPUNIT_ASSERT_EQUAL(2U, answer->mExpected);
    CPPUNIT_ASSERT(answer->mMissing.at(0).mReason == MissingReason::NotAnnounced);
  }

  void AnswersAtDeadline()
  {
    Fixture fixture({ MakeUpstream("a1", "a", { 1 }), MakeUpstream("b1", "b", { 1 }) });
    fixture.Submit(0.5);
    fixture.Reply(fixture.Sent()[0], 1);
    CPPUNIT_ASSERT(fixture.Answered() == nullptr);
    fixture.mNow = *NextTimer(fixture.mEngine);
    OnTimer(fixture.mEngine, fixture.mNow, fixture.mRng, fixture.mActions);
    CPPUNIT_ASSERT(fixture.Answered()->mMissing.at(0).mReason == MissingReason::TimedOut);
    CPPUNIT_ASSERT(fixture.mEngine.mQueries.empty() && fixture.mEngine.mAttempts.empty());
  }

  void RejectsMapsWithGapsOrOverlaps()
  {
    constexpr std::uint64_t kHalf = kKeySpace / 2;
    CPPUNIT_ASSERT(CoversKeySpace({ { kHalf, kKeySpace }, { 0, kHalf } }));
    CPPUNIT_ASSERT(!CoversKeySpace({ { 0, kHalf }, { kHalf + 1, kKeySpace } }));
    CPPUNIT_ASSERT(!CoversKeySpace({ { 0, kHalf + 1 }, { kHalf, kKeySpace } }));
    CPPUNIT_ASSERT(!CoversKeySpace({ { 0, kHalf } }));
    CPPUNIT_ASSERT(!CoversKeySpace({}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTest);
