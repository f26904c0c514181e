// Guards against unrepeatable requests that run twice, and against a "not run" result for a request
// that ran.
#include "engine_rig.h"
#include "query_path.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Rig : EngineRig
{
  Rig()
  {
    mServe = false;
    AddServices(1, 3, 2);
    Announce();
  }

  const SendSubrequest& Dispatch(QueryId& aQuery)
  {
    aQuery = SubmitOnce("7.abc");
    Claim(aQuery, ClaimState::Granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mSent.size());
    return mSent.front();
  }
};

} // namespace

class SubmitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SubmitTest);
  CPPUNIT_TEST(FailurePointsDecideWhetherItIsSentAgain);
  CPPUNIT_TEST(DispatchesOnlyAfterTheGrant);
  CPPUNIT_TEST(ClaimAnswerDeterminesResult);
  CPPUNIT_TEST(LateGrantDoesNotRunTheRequest);
  CPPUNIT_TEST(NeverHedgedAndAlwaysOnANewConnection);
  CPPUNIT_TEST(DeadlineInFlightIsOutcomeUnknown);
  CPPUNIT_TEST(LateReplyRecordsTheOutcome);
  CPPUNIT_TEST(NeedsExactlyOneShard);
  CPPUNIT_TEST(RefusalsPromiseNotRun);
  CPPUNIT_TEST(UnrepeatableClassNeedsAKey);
  CPPUNIT_TEST(ChecksKeyFormat);
  CPPUNIT_TEST_SUITE_END();

public:
  // The table in section 5.8 of the design, row by row.
  void FailurePointsDecideWhetherItIsSentAgain()
  {
    const std::pair<FailureKind, bool> rows[] = {
      { FailureKind::NotConnected, false }, { FailureKind::NotSent, false },
      { FailureKind::Shed, false },         { FailureKind::VersionGone, false },
      { FailureKind::Draining, false },     { FailureKind::Lost, true },
      { FailureKind::TimedOut, true },      { FailureKind::BadReply, true },
      { FailureKind::ErrorStatus, true },   { FailureKind::Silent, true },
    };
    for (const auto& [kind, mayHaveStarted] : rows) {
      const std::string name(FailureName(kind));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, mayHaveStarted, MayHaveStarted(kind));
      Rig rig;
      QueryId query = 0;
      const SendSubrequest first = rig.Dispatch(query);
      rig.FailWith(first, kind);
      if (mayHaveStarted) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{ 1 }, rig.mSent.size());
        CPPUNIT_ASSERT_MESSAGE(name, rig.mAnswers.at(query).mResult == Result::OutcomeUnknown);
        CPPUNIT_ASSERT_MESSAGE(name, rig.mOutcomes.at(0).mResult == Result::OutcomeUnknown);
        continue;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{ 2 }, rig.mSent.size());
      CPPUNIT_ASSERT_MESSAGE(name, rig.mSent[1].mAttempt != first.mAttempt);
      rig.Reply(rig.mSent[1]);
      CPPUNIT_ASSERT_MESSAGE(name, rig.mAnswers.at(query).mResult == Result::Ok);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{ 1 }, rig.mOutcomes.size());
      CPPUNIT_ASSERT_MESSAGE(name, rig.mOutcomes[0].mResult == Result::Ok);
    }
  }

  void DispatchesOnlyAfterTheGrant()
  {
    Rig rig;
    const QueryId query = rig.SubmitOnce("7.abc");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, rig.mClaims.size());
    CPPUNIT_ASSERT_EQUAL(std::string("7.abc"), rig.mClaims[0].mKey);
    CPPUNIT_ASSERT(rig.mSent.empty());
    rig.Claim(query, ClaimState::Granted);
    rig.Claim(query, ClaimState::Granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, rig.mSent.size());
  }

  void ClaimAnswerDeterminesResult()
  {
    struct Row
    {
      ClaimState mState;
      Result mRecorded;
      Result mExpected;
    };
    const Row rows[] = {
      { ClaimState::Known, Result::Ok, Result::Ok },
      { ClaimState::Known, Result::NotRun, Result::NotRun },
      { ClaimState::OutcomeUnknown, Result::Ok, Result::OutcomeUnknown },
      { ClaimState::Refused, Result::ClaimRefused, Result::ClaimRefused },
    };
    for (const Row& row : rows) {
      Rig rig;
      const QueryId query = rig.SubmitOnce("7.abc");
      rig.Claim(query, row.mState, row.mRecorded);
      CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == row.mExpected);
      CPPUNIT_ASSERT(rig.mSent.empty() && rig.mOutcomes.empty());
      CPPUNIT_ASSERT_EQUAL(row.mExpected == Result::Ok, rig.mAnswers.at(query).mItems.size() == 1);
    }
  }

  // Guards against running a request after its caller was told "not run".
  void LateGrantDoesNotRunTheRequest()
  {
    Rig rig;
    const QueryId query = rig.SubmitOnce("7.abc");
    rig.RunFor(milliseconds(290));
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::NotRun);
    rig.Claim(query, ClaimState::Granted);
    CPPUNIT_ASSERT(rig.mSent.empty());
    CPPUNIT_ASSERT(rig.mOutcomes.at(0).mResult == Result::NotRun);
  }

  void NeverHedgedAndAlwaysOnANewConnection()
  {
    EngineRig rig;
    rig.AddServices(1, 3, 2);
    rig.Announce();
    rig.Offer("check", 200, seconds(1));
    rig.RunFor(seconds(2));
    rig.mServe = false;
    rig.mSent.clear();
    const QueryId query = rig.SubmitOnce("7.abc");
    rig.Claim(query, ClaimState::Granted);
    rig.RunFor(milliseconds(280));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, rig.mSent.size());
    CPPUNIT_ASSERT(rig.mSent[0].mFreshConnection && rig.mSent[0].mSilence == Duration::zero());
  }

  void DeadlineInFlightIsOutcomeUnknown()
  {
    Rig rig;
    QueryId query = 0;
    rig.Dispatch(query);
    rig.RunFor(milliseconds(290));
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::OutcomeUnknown);
    CPPUNIT_ASSERT(rig.mOutcomes.at(0).mResult == Result::OutcomeUnknown);
    CPPUNIT_ASSERT(rig.mCancelled.empty());
  }

  // Guards against losing the outcome of a late reply, which the caller can still request.
  void LateReplyRecordsTheOutcome()
  {
    Rig rig;
    QueryId query = 0;
    const SendSubrequest sent = rig.Dispatch(query);
    rig.RunFor(milliseconds(300));
    rig.Reply(sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rig.mOutcomes.size());
    CPPUNIT_ASSERT(rig.mOutcomes[1].mResult == Result::Ok && rig.mOutcomes[1].mKey == "7.abc");
  }

  // Guards against an unrepeatable request that is sent to several shards.
  void NeedsExactlyOneShard()
  {
    EngineRig rig;
    rig.AddServices(2, 1, 2);
    rig.Announce();
    const QueryId query = rig.SubmitOnce("7.abc");
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::UnrepeatableNeedsOneShard);
    CPPUNIT_ASSERT(rig.mClaims.empty() && rig.mSent.empty());
  }

  // Every rejection before dispatch has a result that promises "not run" (I4).
  void RefusalsPromiseNotRun()
  {
    Rig rig;
    for (int i = 0; i < 200; ++i) {
      rig.SubmitOnce("7." + fmt::to_string(i));
    }
    rig.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 200 }, rig.mAnswers.size());
    CPPUNIT_ASSERT(rig.mSent.empty());
    for (const auto& [id, answer] : rig.mAnswers) {
      CPPUNIT_ASSERT(!Describe(answer.mResult).mMayHaveRun);
    }
  }

  // Guards against hedging and retrying an unrepeatable request that is sent as an ordinary query.
  void UnrepeatableClassNeedsAKey()
  {
    Rig rig;
    rig.mConfig.mClasses["check"].mRepeatable = false;
    SetConfig(rig.mEngine, std::make_shared<const Config>(rig.mConfig));
    const QueryId query = rig.Submit();
    CPPUNIT_ASSERT(rig.mAnswers.at(query).mResult == Result::UseSubmit && rig.mSent.empty());
  }

  void ChecksKeyFormat()
  {
    for (const char* const good : { "0.abcdefgh", "123.AZ-_09az" }) {
      CPPUNIT_ASSERT_MESSAGE(good, IsIdempotencyKey(good));
    }
    for (const char* const bad : { "",
                                   ".",
                                   "1",
                                   "1.",
                                   "1.short",
                                   ".abcdefgh",
                                   "x.abcdefgh",
                                   "1.abc defgh",
                                   "1.abcd.efgh",
                                   "12345678901234567890.abcdefgh" }) {
      CPPUNIT_ASSERT_MESSAGE(bad, !IsIdempotencyKey(bad));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmitTest);
