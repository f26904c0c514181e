// Guards against requests that go on crashing replicas while crashes cannot be proven, and against
// restricting requests that only ran on a replica when it crashed.
#include "crash_ledger.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Fingerprint kRequest = 7;
constexpr Fingerprint kOther = 8;
constexpr Duration kTick = milliseconds(10);

ReplicaRun
Run(std::uint64_t aIncarnation)
{
  return { "i-1", aIncarnation };
}

Strike
ReportOf(std::uint64_t aIncarnation, CrashState aState)
{
  return { kRequest, "10.0.0.2", "i-1", aIncarnation, false, aState };
}

} // namespace

class CrashLedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashLedgerTest);
  CPPUNIT_TEST(SuspectedCrashesRestrictBeforeTheyAreProven);
  CPPUNIT_TEST(OnlyConfirmedCrashesStopForGood);
  CPPUNIT_TEST(SignOfLifeAfterTheLossClears);
  CPPUNIT_TEST(SignOfLifeFromBeforeTheLossClearsNothing);
  CPPUNIT_TEST(RequestSentAfterTheCrashIsNotBlamed);
  CPPUNIT_TEST(AnswerClearsOnlyTheRequestThatWasAnswered);
  CPPUNIT_TEST(WhatWasClearedAtOnceIsNotPassedOn);
  CPPUNIT_TEST(SingleLossWithoutProofIsNotPassedOn);
  CPPUNIT_TEST(OtherGatewaysLearnThatARequestWasCleared);
  CPPUNIT_TEST(LateReportDoesNotRestoreAClearedCrash);
  CPPUNIT_TEST(SuspicionsBecomeOverdue);
  CPPUNIT_TEST(OneIsolatedRunAtATime);
  CPPUNIT_TEST(RestrictionsAreListedForRestartedCoordinators);
  CPPUNIT_TEST(RequestsExpire);
  CPPUNIT_TEST_SUITE_END();

public:
  void SuspectedCrashesRestrictBeforeTheyAreProven()
  {
    Suspect(kRequest, 1);
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Unrestricted);
    Suspect(kRequest, 2);
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Alone);
    Suspect(kRequest, 3);
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Busy);
    CPPUNIT_ASSERT(Judge(mLedger, kOther) == Permission::Unrestricted);
  }

  void OnlyConfirmedCrashesStopForGood()
  {
    for (std::uint64_t run = 1; run <= kCrashesToStop; ++run) {
      CPPUNIT_ASSERT(Judge(mLedger, kRequest) != Permission::Stopped);
      Suspect(kRequest, run);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ConfirmCrash(mLedger, Run(run), mNow).size());
    }
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Stopped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountStopped(mLedger));
    CPPUNIT_ASSERT(ConfirmCrash(mLedger, Run(1), mNow).empty());
  }

  void SignOfLifeAfterTheLossClears()
  {
    for (std::uint64_t run = 1; run <= kCrashesToStop; ++run) {
      Suspect(kRequest, run);
    }
    for (std::uint64_t run = 1; run <= kCrashesToStop; ++run) {
      const std::size_t restricted = run < kCrashesToStop ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(restricted, RecordLife(mLedger, Run(run), mNow + kTick).size());
    }
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Unrestricted);
    CPPUNIT_ASSERT(mLedger.mRequests.empty());
    CPPUNIT_ASSERT(mLedger.mCrashes.empty());
  }

  void SignOfLifeFromBeforeTheLossClearsNothing()
  {
    Suspect(kRequest, 1);
    CPPUNIT_ASSERT(RecordLife(mLedger, Run(1), mNow).empty());
    ConfirmCrash(mLedger, Run(1), mNow);
    CPPUNIT_ASSERT(RecordLife(mLedger, Run(1), mNow + kTick).empty());
  }

  void RequestSentAfterTheCrashIsNotBlamed()
  {
    Suspect(kRequest, 1);
    CPPUNIT_ASSERT(SuspectCrash(mLedger, kOther, false, Run(1), mNow, mNow + kTick));
    const Fingerprint late = 9;
    CPPUNIT_ASSERT(!SuspectCrash(mLedger, late, false, Run(1), mNow + kTick, mNow + kTick));
    ConfirmCrash(mLedger, Run(1), mNow);
    CPPUNIT_ASSERT(!SuspectCrash(mLedger, late, false, Run(1), mNow + kTick, mNow + kTick));
    CPPUNIT_ASSERT(!mLedger.mRequests.contains(late));
  }

  void AnswerClearsOnlyTheRequestThatWasAnswered()
  {
    for (std::uint64_t run = 1; run <= kCrashesToStop; ++run) {
      Suspect(kRequest, run);
      Suspect(kOther, run);
      ConfirmCrash(mLedger, Run(run), mNow);
    }
    CPPUNIT_ASSERT(ClearRequest(mLedger, kOther, mNow));
    CPPUNIT_ASSERT(!ClearRequest(mLedger, kOther, mNow));
    CPPUNIT_ASSERT(Judge(mLedger, kOther) == Permission::Unrestricted);
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Stopped);
  }

  void WhatWasClearedAtOnceIsNotPassedOn()
  {
    Suspect(kRequest, 1);
    ClearRequest(mLedger, kRequest, mNow);
    CPPUNIT_ASSERT(TakeReports(mLedger, mNow + kSuspectedReportDelay).empty());
  }

  void SingleLossWithoutProofIsNotPassedOn()
  {
    Suspect(kRequest, 1);
    CPPUNIT_ASSERT(TakeReports(mLedger, mNow + kSuspectedReportDelay).empty());
    ConfirmCrash(mLedger, Run(1), mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         TakeReports(mLedger, mNow + kConfirmedReportDelay).size());
  }

  void OtherGatewaysLearnThatARequestWasCleared()
  {
    Suspect(kRequest, 1);
    Suspect(kRequest, 2);
    CPPUNIT_ASSERT(TakeReports(mLedger, mNow + kSuspectedReportDelay - kTick).empty());
    CrashLedger other;
    PassOn(other, mNow + kSuspectedReportDelay);
    CPPUNIT_ASSERT(Judge(other, kRequest) == Permission::Alone);
    ConfirmCrash(mLedger, Run(1), mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, PassOn(other, mNow + kConfirmedReportDelay));
    CPPUNIT_ASSERT(other.mRequests.at(kRequest).mStrikes.at(Run(1)).mState ==
                   CrashState::Confirmed);
    ClearRequest(mLedger, kRequest, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, PassOn(other, mNow));
    CPPUNIT_ASSERT(other.mRequests.at(kRequest).mStrikes.at(Run(1)).mState == CrashState::Cleared);
  }

  void LateReportDoesNotRestoreAClearedCrash()
  {
    CPPUNIT_ASSERT(LearnStrike(mLedger, ReportOf(1, CrashState::Cleared), mNow));
    CPPUNIT_ASSERT(!LearnStrike(mLedger, ReportOf(1, CrashState::Suspected), mNow));
    CPPUNIT_ASSERT(!LearnStrike(mLedger, ReportOf(1, CrashState::Confirmed), mNow));
    LearnStrike(mLedger, ReportOf(2, CrashState::Confirmed), mNow);
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Unrestricted);
  }

  void SuspicionsBecomeOverdue()
  {
    Suspect(kRequest, 1);
    LearnStrike(mLedger, ReportOf(2, CrashState::Suspected), mNow + kTick);
    CPPUNIT_ASSERT(OverdueSuspicions(mLedger, mNow + kSuspicionTime - kTick).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         OverdueSuspicions(mLedger, mNow + kSuspicionTime).size());
    ConfirmCrash(mLedger, Run(1), mNow + kSuspicionTime);
    CPPUNIT_ASSERT(OverdueSuspicions(mLedger, mNow + kSuspicionTime).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         OverdueSuspicions(mLedger, mNow + kTick + kSuspicionTime).size());
  }

  void OneIsolatedRunAtATime()
  {
    Suspect(kRequest, 1);
    Suspect(kRequest, 2);
    BeginIsolatedRun(mLedger, kRequest);
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Busy);
    EndIsolatedRun(mLedger, kRequest);
    CPPUNIT_ASSERT(Judge(mLedger, kRequest) == Permission::Alone);
  }

  void RestrictionsAreListedForRestartedCoordinators()
  {
    Suspect(kOther, 1);
    LearnStrike(mLedger, ReportOf(2, CrashState::Confirmed), mNow);
    LearnStrike(mLedger, ReportOf(3, CrashState::Confirmed), mNow);
    const std::vector<Strike> known = RestrictingStrikes(mLedger, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, known.size());
    CPPUNIT_ASSERT_EQUAL(kRequest, known.front().mFingerprint);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RestrictingStrikes(mLedger, 1).size());
  }

  void RequestsExpire()
  {
    Suspect(kRequest, 1);
    ConfirmCrash(mLedger, Run(1), mNow);
    ExpireLedger(mLedger, mNow + kCrashMemory);
    CPPUNIT_ASSERT(mLedger.mCrashes.empty());
    CPPUNIT_ASSERT(!mLedger.mRequests.empty());
    ExpireLedger(mLedger, mNow + kQuarantineTime);
    CPPUNIT_ASSERT(mLedger.mRequests.empty());
  }

private:
  void Suspect(Fingerprint aFingerprint, std::uint64_t aRun)
  {
    CPPUNIT_ASSERT(SuspectCrash(mLedger, aFingerprint, false, Run(aRun), mNow - kTick, mNow));
  }

  // Passes the reports that are due on to another gateway and returns their number.
  std::size_t PassOn(CrashLedger& aOther, TimePoint aNow)
  {
    const std::vector<Strike> reports = TakeReports(mLedger, aNow);
    for (const Strike& strike : reports) {
      LearnStrike(aOther, strike, aNow);
    }
    return reports.size();
  }

  const TimePoint mNow{ seconds(1000) };
  CrashLedger mLedger;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);
