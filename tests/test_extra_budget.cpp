// Guards against extra sends above the bound that all gateways share, in any window of its length.
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
  CPPUNIT_TEST(SumOverGatewaysKeepsToTheBound);
  CPPUNIT_TEST(IdleServiceHasItsFixedPart);
  CPPUNIT_TEST(OldSendsAreForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  // Six gateways send as many extra requests as they may, under a load that swings; every sliding
  // window is checked against the bound by a count of its own.
  void SumOverGatewaysKeepsToTheBound()
  {
    constexpr std::size_t kGateways = 6;
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 52 };
    std::vector<ExtraBudget> budgets(kGateways);
    Rng rng(7);
    std::deque<TimePoint> first;
    std::deque<TimePoint> extra;
    std::size_t allowed = 0;
    for (int tick = 0; tick < 40'000; ++tick) {
      const TimePoint now{ seconds(1000) + milliseconds(tick) };
      // Load stops for 10 s in the middle, where a budget that saves up would burst.
      const bool loaded = tick < 15'000 || tick > 25'000;
      ExtraBudget& budget = budgets[rng() % kGateways];
      if (loaded && rng() % 10 < 2) {
        CountFirstSend(budget, limits, now);
        first.push_back(now);
      }
      if (TryExtraSend(budget, limits, kGateways, now)) {
        extra.push_back(now);
        ++allowed;
      }
      while (!extra.empty() && extra.front() + limits.mWindow <= now) {
        extra.pop_front();
      }
      // The bound counts the requests of the window or of the one before, whichever is more.
      while (!first.empty() && first.front() + 2 * limits.mWindow <= now) {
        first.pop_front();
      }
      const double bound = limits.mRatio * static_cast<double>(first.size()) + limits.mFixed;
      CPPUNIT_ASSERT(static_cast<double>(extra.size()) <= bound);
    }
    CPPUNIT_ASSERT(allowed > 800);
  }

  void IdleServiceHasItsFixedPart()
  {
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 60 };
    ExtraBudget budget;
    const TimePoint now{ seconds(1000) };
    int allowed = 0;
    while (TryExtraSend(budget, limits, 6, now)) {
      ++allowed;
    }
    CPPUNIT_ASSERT_EQUAL(8, allowed);
    CPPUNIT_ASSERT(ExtraBudgetUsed(budget, limits, 6, now) >= 1.0);
  }

  void OldSendsAreForgotten()
  {
    const ExtraBudgetLimits limits{ 0.2, seconds(10), 60 };
    ExtraBudget budget;
    const TimePoint now{ seconds(1000) };
    while (TryExtraSend(budget, limits, 6, now)) {
    }
    CPPUNIT_ASSERT(!TryExtraSend(budget, limits, 6, now + seconds(9)));
    CPPUNIT_ASSERT(TryExtraSend(budget, limits, 6, now + seconds(12)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExtraBudgetTest);
