// Guards against tokens that are granted twice or never, and against calls that change a ledger
// although they are old, malformed or of another process.
#include "property.h"
#include "quota_ledger.h"

#include <cmath>
#include <limits>

#include <cppunit/TestFixture.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };
// When a new owner is certain that gateways hold no shares of an earlier one.
const TimePoint kSettled = kStart + kQuotaWindow;

QuotaLedger
MakeLedger(const QuotaLimit& aLimit)
{
  QuotaLedger ledger = StartQuotaLedger(1, kStart);
  SetQuotaLimits(ledger, { { "w", aLimit } }, kStart);
  return ledger;
}

QuotaCall
MakeCall(std::uint64_t aNumber, std::uint32_t aWanted)
{
  QuotaCall call;
  call.mGateway = "10.0.0.1";
  call.mIncarnation = 1;
  call.mNumber = aNumber;
  call.mTerm = 1;
  call.mDemands = { { "w", aWanted, 0, 0, 0 } };
  return call;
}

} // namespace

class QuotaLedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaLedgerTest);
  CPPUNIT_TEST(BucketLimitsABurst);
  CPPUNIT_TEST(RefusedRequestsGetSuccessiveSlots);
  CPPUNIT_TEST(LateCallChangesNothing);
  CPPUNIT_TEST(WorkspaceWithoutLimitGetsEverything);
  CPPUNIT_TEST(ReturnedTokensCountOnlyInTheirTerm);
  CPPUNIT_TEST(SilentGatewayIsChargedItsShare);
  CPPUNIT_TEST(NewOwnerStartsWithFewTokens);
  CPPUNIT_TEST(ReportsEndTheChargeForOldShares);
  CPPUNIT_TEST(EarlyReportsDoNotCount);
  CPPUNIT_TEST(LapsedShareIsReturned);
  CPPUNIT_TEST(LoweredLimitLowersSharesAndDebt);
  CPPUNIT_TEST(ChangedLimitEndsPromises);
  CPPUNIT_TEST(ReservesAreLimitedAndLapse);
  CPPUNIT_TEST(ExtraTokensOfTwoIntervalsAreLimited);
  CPPUNIT_TEST(RestartedGatewayReturnsNothing);
  CPPUNIT_TEST(EmptyBucketIsKept);
  CPPUNIT_TEST(AnyCallKeepsTheLedgerSound);
  CPPUNIT_TEST_SUITE_END();

public:
  void BucketLimitsABurst()
  {
    QuotaLedger ledger = MakeLedger({ 10, 20 });
    const auto reply = AcquireQuota(ledger, MakeCall(1, 100), kSettled + seconds(60));
    // The burst and 0.1 s of the rate.
    CPPUNIT_ASSERT_EQUAL(21U, reply->mGrants.front().mGranted);
    const auto later = AcquireQuota(ledger, MakeCall(2, 100), kSettled + seconds(61));
    CPPUNIT_ASSERT(later->mGrants.front().mGranted >= 9 && later->mGrants.front().mGranted <= 11);
  }

  void RefusedRequestsGetSuccessiveSlots()
  {
    QuotaLedger ledger = MakeLedger({ 10, 1 });
    const TimePoint now = kSettled + seconds(60);
    AcquireQuota(ledger, MakeCall(1, 2), now);
    const auto first = AcquireQuota(ledger, MakeCall(2, 3), now)->mGrants.front();
    const auto second = AcquireQuota(ledger, MakeCall(3, 1), now)->mGrants.front();
    CPPUNIT_ASSERT_EQUAL(0U, first.mGranted);
    CPPUNIT_ASSERT(first.mWait > Duration::zero() && first.mWait <= milliseconds(200));
    // Three slots of 100 ms were promised before.
    CPPUNIT_ASSERT(second.mWait >= first.mWait + milliseconds(299));
    // Not beyond the window, however many were refused.
    AcquireQuota(ledger, MakeCall(4, 1000), now);
    CPPUNIT_ASSERT(AcquireQuota(ledger, MakeCall(5, 1), now)->mGrants.front().mWait <=
                   kQuotaWindow);
  }

  void LateCallChangesNothing()
  {
    QuotaLedger ledger = MakeLedger({ 10, 20 });
    CPPUNIT_ASSERT(AcquireQuota(ledger, MakeCall(5, 1), kSettled).has_value());
    CPPUNIT_ASSERT(!AcquireQuota(ledger, MakeCall(5, 1), kSettled).has_value());
    CPPUNIT_ASSERT(!AcquireQuota(ledger, MakeCall(4, 1), kSettled).has_value());
    // The clock from which incarnations come may be set back.
    for (const std::uint64_t incarnation : { 2, 1 }) {
      QuotaCall restarted = MakeCall(1, 1);
      restarted.mIncarnation = incarnation;
      CPPUNIT_ASSERT(AcquireQuota(ledger, restarted, kSettled).has_value());
    }
  }

  void WorkspaceWithoutLimitGetsEverything()
  {
    QuotaLedger ledger = MakeLedger({ 0, 0 });
    CPPUNIT_ASSERT_EQUAL(50U, AcquireQuota(ledger, MakeCall(1, 50), kStart)->mGrants[0].mGranted);
    SetQuotaLimits(ledger, {}, kStart);
    CPPUNIT_ASSERT_EQUAL(50U, AcquireQuota(ledger, MakeCall(2, 50), kStart)->mGrants[0].mGranted);
  }

  void ReturnedTokensCountOnlyInTheirTerm()
  {
    for (const std::uint64_t term : { 1, 9 }) {
      QuotaLedger ledger = MakeLedger({ 10, 20 });
      const TimePoint now = kSettled + seconds(60);
      AcquireQuota(ledger, MakeCall(1, 100), now);
      QuotaCall call = MakeCall(2, 10);
      call.mTerm = term;
      call.mDemands.front().mReturned = 5;
      CPPUNIT_ASSERT_EQUAL(term == 1 ? 5U : 0U,
                           AcquireQuota(ledger, call, now)->mGrants.front().mGranted);
    }
  }

  // Guards against two parts of the gateways that use the whole limit each, one of them without an
  // owner.
  void SilentGatewayIsChargedItsShare()
  {
    QuotaLedger ledger = MakeLedger({ 10, 10 });
    TimePoint now = kSettled;
    double share = 0;
    for (std::uint64_t i = 1; i <= 100; ++i) {
      now += milliseconds(100);
      QuotaCall call = MakeCall(i, 1);
      call.mDemands.front().mShare = share;
      share = AcquireQuota(ledger, call, now)->mGrants.front().mShare;
    }
    CPPUNIT_ASSERT(share > 7 && share <= 10);
    QuotaCall other = MakeCall(1, 1000);
    other.mGateway = "10.0.0.2";
    AcquireQuota(ledger, other, now);
    other.mNumber = 2;
    const auto left = AcquireQuota(ledger, other, now + seconds(1))->mGrants.front();
    CPPUNIT_ASSERT(left.mGranted <= 4);
    // A share lapses after the window.
    other.mNumber = 3;
    AcquireQuota(ledger, other, now + seconds(6));
    other.mNumber = 4;
    CPPUNIT_ASSERT(AcquireQuota(ledger, other, now + seconds(7))->mGrants.front().mGranted >= 9);
  }

  void NewOwnerStartsWithFewTokens()
  {
    for (const auto& [limit, expected] :
         { std::pair{ QuotaLimit{ 100, 500 }, 8U }, std::pair{ QuotaLimit{ 2, 10 }, 2U } }) {
      QuotaLedger ledger = MakeLedger(limit);
      CPPUNIT_ASSERT_EQUAL(expected,
                           AcquireQuota(ledger, MakeCall(1, 100), kStart)->mGrants[0].mGranted);
      // Gateways may still use shares of the previous owner.
      CPPUNIT_ASSERT_EQUAL(
        0U, AcquireQuota(ledger, MakeCall(2, 100), kStart + seconds(1))->mGrants[0].mGranted);
    }
  }

  void ReportsEndTheChargeForOldShares()
  {
    QuotaLedger ledger = MakeLedger({ 10, 100 });
    const std::vector<std::string> gateways{ "10.0.0.1", "10.0.0.2" };
    const TimePoint now = kStart + seconds(1);
    AcquireQuota(ledger, MakeCall(1, 100), now);
    ReportShareTerm(ledger, gateways[0], 0, now);
    EndUnknownShares(ledger, gateways, now);
    CPPUNIT_ASSERT(ledger.mUnknownUntil > now);
    ledger.mTerm = 3;
    ReportShareTerm(ledger, gateways[1], 2, now);
    EndUnknownShares(ledger, gateways, now);
    CPPUNIT_ASSERT(ledger.mUnknownUntil > now);
    ReportShareTerm(ledger, gateways[1], 3, now);
    EndUnknownShares(ledger, gateways, now);
    CPPUNIT_ASSERT(ledger.mUnknownUntil == now);
  }

  // Guards against a reply of the previous owner that gives a share after the report.
  void EarlyReportsDoNotCount()
  {
    QuotaLedger ledger = MakeLedger({ 10, 100 });
    const std::vector<std::string> gateways{ "10.0.0.1" };
    ReportShareTerm(ledger, gateways[0], 0, kStart + milliseconds(500));
    EndUnknownShares(ledger, gateways, kStart + milliseconds(700));
    CPPUNIT_ASSERT(ledger.mUnknownUntil == kSettled);
  }

  // Guards against tokens that are lost because a gateway falls silent.
  void LapsedShareIsReturned()
  {
    QuotaLedger ledger = MakeLedger({ 10, 100 });
    const TimePoint now = HoldShare(ledger);
    CPPUNIT_ASSERT(Drain(ledger, 1, now + kQuotaWindow + seconds(1)) >= 9);
  }

  void LoweredLimitLowersSharesAndDebt()
  {
    QuotaLedger ledger = MakeLedger({ 10, 100 });
    const TimePoint now = HoldShare(ledger);
    SetQuotaLimits(ledger, { { "w", { 5, 50 } } }, now);
    const auto grant = AcquireQuota(ledger, MakeCall(101, 1000), now + seconds(1))->mGrants.front();
    // A second of the lowered rate, not of the share under the earlier one.
    CPPUNIT_ASSERT(grant.mGranted <= 5);
    // What gateways may hold of a previous owner is lowered too.
    QuotaLedger started = MakeLedger({ 10, 10 });
    AcquireQuota(started, MakeCall(1, 100), kStart);
    SetQuotaLimits(started, { { "w", { 5, 5 } } }, kStart);
    CPPUNIT_ASSERT(
      AcquireQuota(started, MakeCall(2, 100), kSettled + seconds(1))->mGrants.front().mGranted >=
      4);
  }

  // Guards against a Retry-After that follows the earlier limit.
  void ChangedLimitEndsPromises()
  {
    QuotaLedger ledger = MakeLedger({ 1, 1 });
    AcquireQuota(ledger, MakeCall(1, 100), kSettled);
    SetQuotaLimits(ledger, { { "w", { 100, 1 } } }, kSettled);
    const auto grant = AcquireQuota(ledger, MakeCall(2, 100), kSettled)->mGrants.front();
    CPPUNIT_ASSERT(grant.mWait <= milliseconds(100));
  }

  void ReservesAreLimitedAndLapse()
  {
    QuotaLedger ledger = MakeLedger({ 100, 1000 });
    const TimePoint now = kSettled + seconds(60);
    const auto reserve = [&](int aGateway, std::uint64_t aNumber, TimePoint aNow) {
      QuotaCall call = MakeCall(aNumber, 5);
      call.mGateway = std::to_string(aGateway);
      return AcquireQuota(ledger, call, aNow)->mGrants.front().mReserve;
    };
    for (int gateway = 1; gateway <= 6; ++gateway) {
      CPPUNIT_ASSERT_EQUAL(1U, reserve(gateway, 1, now));
    }
    CPPUNIT_ASSERT_EQUAL(0U, reserve(7, 1, now));
    CPPUNIT_ASSERT_EQUAL(1U, reserve(7, 2, now + kQuotaWindow + seconds(1)));
  }

  // Guards against extra tokens above the bound, which adds those of two adjacent intervals.
  void ExtraTokensOfTwoIntervalsAreLimited()
  {
    QuotaLedger ledger = MakeLedger({ 10, 10 });
    const TimePoint now = kSettled + seconds(60);
    CPPUNIT_ASSERT_EQUAL(3U, AcquireQuota(ledger, MakeCall(1, 1), now)->mGrants[0].mGranted);
    CPPUNIT_ASSERT_EQUAL(
      1U, AcquireQuota(ledger, MakeCall(2, 1), now + milliseconds(1500))->mGrants[0].mGranted);
  }

  // Guards against a process that returns tokens which its predecessor used.
  void RestartedGatewayReturnsNothing()
  {
    QuotaLedger ledger = MakeLedger({ 10, 20 });
    AcquireQuota(ledger, MakeCall(1, 100), kSettled + seconds(60));
    QuotaCall restarted = MakeCall(1, 10);
    restarted.mIncarnation = 2;
    restarted.mDemands.front().mReturned = 5;
    CPPUNIT_ASSERT_EQUAL(
      0U, AcquireQuota(ledger, restarted, kSettled + seconds(60))->mGrants.front().mGranted);
  }

  // Guards against a burst that is granted twice because the bucket was forgotten meanwhile.
  void EmptyBucketIsKept()
  {
    QuotaLedger ledger = MakeLedger({ 1, 1000 });
    const TimePoint now = kSettled + seconds(3600);
    CPPUNIT_ASSERT(Drain(ledger, 1, now) >= 1000);
    QuotaCall other = MakeCall(1, 1);
    other.mGateway = "10.0.0.3";
    other.mDemands.front().mWorkspace = "other";
    AcquireQuota(ledger, other, now + seconds(70));
    CPPUNIT_ASSERT(Drain(ledger, 2, now + seconds(71)) <= 71);
  }

  void AnyCallKeepsTheLedgerSound()
  {
    CheckProperty("levels and shares stay within their limits", [] {
      const QuotaLimit limit{ static_cast<double>(*rc::gen::inRange(1, 1000)) / 10,
                              static_cast<double>(*rc::gen::inRange(0, 1000)) };
      QuotaLedger ledger = MakeLedger(limit);
      TimePoint now = kStart;
      for (std::uint64_t i = 1; i <= 50; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 3000));
        QuotaCall call = MakeCall(i, *rc::gen::arbitrary<std::uint32_t>());
        call.mGateway = std::to_string(*rc::gen::inRange(0, 4));
        call.mTerm = *rc::gen::inRange<std::uint64_t>(0, 3);
        QuotaDemand& demand = call.mDemands.front();
        demand.mReturned = *rc::gen::arbitrary<std::uint32_t>();
        demand.mUsedAlone = *rc::gen::arbitrary<std::uint32_t>();
        demand.mShare =
          *rc::gen::element(0.0, -5.0, 3.0, 1e300, std::numeric_limits<double>::quiet_NaN());
        const auto reply = AcquireQuota(ledger, call, now);
        RC_ASSERT(reply.has_value());
        const QuotaGrant& grant = reply->mGrants.front();
        const QuotaBucket& bucket = ledger.mBuckets.at("w");
        const double capacity = std::max(limit.mBurst, 1.0) + 0.1 * limit.mRate;
        RC_ASSERT(std::isfinite(bucket.mLevel));
        RC_ASSERT(bucket.mLevel <= capacity && bucket.mLevel >= -(limit.mRate + capacity));
        RC_ASSERT(bucket.mShares <= limit.mRate + 1e-6 && bucket.mShares >= 0);
        RC_ASSERT(grant.mShare >= 0 && grant.mShare <= limit.mRate);
        RC_ASSERT(bucket.mReserves <= 6);
        RC_ASSERT(grant.mWait >= Duration::zero());
        if (*rc::gen::inRange(0, 10) == 0) {
          SetQuotaLimits(ledger, { { "w", limit } }, now);
        }
      }
    });
  }

private:
  // Takes all tokens with a call of another gateway than that of MakeCall.
  static std::uint32_t Drain(QuotaLedger& aLedger, std::uint64_t aNumber, TimePoint aNow)
  {
    QuotaCall call = MakeCall(aNumber, 10'000);
    call.mGateway = "10.0.0.2";
    return AcquireQuota(aLedger, call, aNow)->mGrants.front().mGranted;
  }

  // Gives the gateway of MakeCall most of the rate as its share by calls up to number 100, the last
  // of which leaves the bucket empty. Returns the time of the last call.
  static TimePoint HoldShare(QuotaLedger& aLedger)
  {
    TimePoint now = kSettled;
    for (std::uint64_t i = 1; i <= 100; ++i) {
      now += milliseconds(100);
      AcquireQuota(aLedger, MakeCall(i, i < 100 ? 1 : 1000), now);
    }
    return now;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTest);
