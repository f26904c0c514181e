// Tests of the request limits of replicas. They guard against a replica that gets more requests
// than it asked for, summed over all gateways, and against a limit that is left unused or held for
// good.
#include "request_limit.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };
constexpr Duration kWindow = seconds(4);

// Sends of all gateways to one replica with a limit, in order. Each gateway wants to send
// continuously; the replica names its limit in every reply, one step later.
std::vector<TimePoint>
PlayGateways(std::size_t aGateways, double aTotal, Duration aTime)
{
  constexpr Duration kStep = milliseconds(5);
  std::vector<RequestLimit> limits(aGateways);
  std::vector<TimePoint> sends;
  for (std::size_t i = 0; i < aGateways; ++i) {
    UpdateRequestLimit(
      limits[i], aTotal, { aGateways, (static_cast<double>(i) + 0.5) / aGateways }, kStart);
  }
  for (TimePoint now = kStart; now < kStart + aTime; now += kStep) {
    for (std::size_t i = 0; i < aGateways; ++i) {
      if (AllowsRequest(limits[i], now)) {
        CountRequest(limits[i], now);
        sends.push_back(now);
        UpdateRequestLimit(limits[i],
                           aTotal,
                           { aGateways, (static_cast<double>(i) + 0.5) / aGateways },
                           now + kStep);
      }
    }
  }
  return sends;
}

std::size_t
MostInWindow(const std::vector<TimePoint>& aSends)
{
  std::size_t most = 0;
  for (auto first = aSends.begin(); first != aSends.end(); ++first) {
    const auto last = std::lower_bound(first, aSends.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

} // namespace

class RequestLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestLimitTest);
  CPPUNIT_TEST(GatewaysTogetherKeepToTheLimit);
  CPPUNIT_TEST(LimitIsUsed);
  CPPUNIT_TEST(IdleGatewaysSaveNoMoreThanABurst);
  CPPUNIT_TEST(LimitEndsWithTheFirstReplyThatNamesNone);
  CPPUNIT_TEST(LimitOfZeroIsProbed);
  CPPUNIT_TEST(NextRequestIsAllowedAtItsTime);
  CPPUNIT_TEST(ReplicasOfAServiceShareAQueue);
  CPPUNIT_TEST_SUITE_END();

public:
  void GatewaysTogetherKeepToTheLimit()
  {
    for (const std::size_t gateways : { 1, 6, 12, 60, 200 }) {
      for (const double total : { 0.0, 0.5, 3.0, 10.0, 31.4, 250.0 }) {
        const std::size_t most = MostInWindow(PlayGateways(gateways, total, seconds(100)));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " gateways, limit " +
                                 std::to_string(total) + ", got " + std::to_string(most),
                               static_cast<double>(most) <= 6 * total + 5);
      }
    }
  }

  void LimitIsUsed()
  {
    for (const std::size_t gateways : { 1, 6, 9 }) {
      const auto sends = PlayGateways(gateways, 30, seconds(20));
      CPPUNIT_ASSERT(sends.size() > 0.95 * 30 * 20);
    }
    // Too little for an equal share of each gateway.
    CPPUNIT_ASSERT(PlayGateways(60, 10, seconds(20)).size() > 0.7 * 10 * 20);
  }

  void IdleGatewaysSaveNoMoreThanABurst()
  {
    RequestLimit limit;
    UpdateRequestLimit(limit, 8.0, { 1, 0 }, kStart);
    const TimePoint later = kStart + seconds(60);
    int sent = 0;
    for (; AllowsRequest(limit, later); ++sent) {
      CountRequest(limit, later);
    }
    CPPUNIT_ASSERT_EQUAL(4, sent);
  }

  void LimitEndsWithTheFirstReplyThatNamesNone()
  {
    RequestLimit limit;
    CPPUNIT_ASSERT(AllowsRequest(limit, kStart));
    UpdateRequestLimit(limit, 2.0, { 1, 0 }, kStart);
    CPPUNIT_ASSERT(!AllowsRequest(limit, kStart));
    UpdateRequestLimit(limit, std::nullopt, { 1, 0 }, kStart);
    CPPUNIT_ASSERT(AllowsRequest(limit, kStart));
    CountRequest(limit, kStart);
    CPPUNIT_ASSERT(AllowsRequest(limit, kStart));
  }

  void LimitOfZeroIsProbed()
  {
    RequestLimit limit;
    UpdateRequestLimit(limit, 0.0, { 6, 0.5 }, kStart);
    CPPUNIT_ASSERT(!AllowsRequest(limit, kStart + seconds(11)));
    const TimePoint probe = kStart + seconds(24);
    CPPUNIT_ASSERT(AllowsRequest(limit, probe));
    CountRequest(limit, probe);
    CPPUNIT_ASSERT(!AllowsRequest(limit, probe));
  }

  void NextRequestIsAllowedAtItsTime()
  {
    RequestLimit limit;
    UpdateRequestLimit(limit, 3.0, { 1, 0 }, kStart);
    TimePoint now = kStart;
    for (int i = 0; i < 10; ++i) {
      const TimePoint third = NextRequestAt(limit, 2, now);
      CPPUNIT_ASSERT(third - now <= seconds(1) + milliseconds(1));
      now = NextRequestAt(limit, 0, now);
      CPPUNIT_ASSERT(AllowsRequest(limit, now));
      CountRequest(limit, now);
    }
    CPPUNIT_ASSERT(std::abs((now - kStart) / milliseconds(1) - 3333) < 10);
  }

  void ReplicasOfAServiceShareAQueue()
  {
    RequestLimit fast;
    RequestLimit slow;
    UpdateRequestLimit(fast, 8.0, { 1, 0 }, kStart);
    UpdateRequestLimit(slow, 2.0, { 1, 0 }, kStart);
    const std::vector<const RequestLimit*> both{ &fast, &slow };
    const auto waitMillis = [&](std::size_t aAhead) {
      return (NextRequestAt(both, aAhead, kStart) - kStart) / milliseconds(1);
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 125 }, static_cast<std::int64_t>(waitMillis(0)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1125 }, static_cast<std::int64_t>(waitMillis(10)));
    const RequestLimit unlimited;
    const std::vector<const RequestLimit*> withUnlimited{ &fast, &unlimited };
    CPPUNIT_ASSERT(NextRequestAt(withUnlimited, 10, kStart) == kStart);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitTest);
