// Guards against extra sends that exceed the fleet-wide limit in any sliding window.
#include "extra_budget.h"

#include <deque>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ExtraBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ExtraBudgetTest);
  CPPUNIT_TEST(TotalOverGatewaysStaysWithinBound);
  CPPUNIT_TEST(IdleServiceGetsFixedShare);
  CPPUNIT_TEST(ExpiresOldSends);
  CPPUNIT_TEST(ReservesAllowanceForRetries);
  CPPUNIT_TEST(ReplacementsAreNotCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Six gateways make as many extra sends as their budgets allow, under a changing load. Every
  // sliding window is checked against an independent count.
  void TotalOverGatewaysStaysWithinBound()
  {
    constexpr std::size_t kGateways = 6;
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 52 };
    std::vector<ExtraBudget> budgets(kGateways);
    Rng rng(7);
    std::deque<TimePoint> firstSends;
    std::deque<TimePoint> extraSends;
    std::size_t allowed = 0;
    for (int tick = 0; tick < 40'000; ++tick) {
      const TimePoint now{ seconds(1000) + milliseconds(tick) };
      // The load stops for 10 s. A budget that accumulated unused allowance would burst afterwards.
      const bool loaded = tick < 15'000 || tick > 25'000;
      ExtraBudget& budget = budgets[rng() % kGateways];
      if (loaded && rng() % 10 < 2) {
        CountFirstSend(budget, limits, now);
        firstSends.push_back(now);
      }
      const ExtraSend kind = rng() % 2 == 0 ? ExtraSend::Retry : ExtraSend::Hedge;
      if (TryExtraSend(budget, limits, kGateways, kind, now)) {
        extraSends.push_back(now);
        ++allowed;
      }
      while (!extraSends.empty() && extraSends.front() + limits.mWindow <= now) {
        extraSends.pop_front();
      }
      // The bound counts the requests of this window and the one before.
      while (!firstSends.empty() && firstSends.front() + 2 * limits.mWindow <= now) {
        firstSends.pop_front();
      }
      const double bound = limits.mRatio * static_cast<double>(firstSends.size()) + limits.mFixed;
      CPPUNIT_ASSERT(static_cast<double>(extraSends.size()) <= bound);
    }
    CPPUNIT_ASSERT(allowed > 800);
  }

  void IdleServiceGetsFixedShare()
  {
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 60 };
    ExtraBudget budget;
    const TimePoint now{ seconds(1000) };
    int allowed = 0;
    while (TryExtraSend(budget, limits, 6, ExtraSend::Retry, now)) {
      ++allowed;
    }
    CPPUNIT_ASSERT_EQUAL(8, allowed);
    CPPUNIT_ASSERT(ExtraBudgetUsed(budget, limits, 6, now) >= 1.0);
  }

  void ExpiresOldSends()
  {
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 60 };
    ExtraBudget budget;
    const TimePoint now{ seconds(1000) };
    while (TryExtraSend(budget, limits, 6, ExtraSend::Retry, now)) {
    }
    CPPUNIT_ASSERT(!TryExtraSend(budget, limits, 6, ExtraSend::Retry, now + seconds(9)));
    CPPUNIT_ASSERT(TryExtraSend(budget, limits, 6, ExtraSend::Retry, now + seconds(12)));
  }

  // When replicas pause so often that every request is hedged, a failed request must still be
  // retried.
  void ReservesAllowanceForRetries()
  {
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 60 };
    ExtraBudget budget;
    const TimePoint now{ seconds(1000) };
    int hedges = 0;
    while (TryExtraSend(budget, limits, 6, ExtraSend::Hedge, now)) {
      ++hedges;
    }
    CPPUNIT_ASSERT_EQUAL(6, hedges);
    CPPUNIT_ASSERT(TryExtraSend(budget, limits, 6, ExtraSend::Retry, now));
  }

  // A gateway that has just started has little allowance, which refused connections must not use
  // up.
  void ReplacementsAreNotCounted()
  {
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 60 };
    ExtraBudget budget;
    const TimePoint now{ seconds(1000) };
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(TryExtraSend(budget, limits, 6, ExtraSend::Replacement, now));
    }
    CPPUNIT_ASSERT_EQUAL(0.0, ExtraBudgetUsed(budget, limits, 6, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExtraBudgetTest);
