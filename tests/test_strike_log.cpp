// Guards against crashes that do not reach the other gateways, or reach them only in part.
#include "fleet_messages.h"
#include "strike_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::seconds;

namespace {

Strike
CrashOf(std::uint64_t aIncarnation, const std::string& aHost = "10.0.0.1")
{
  return { 7, aHost, "i-1", aIncarnation, false };
}

} // namespace

class StrikeLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StrikeLogTest);
  CPPUNIT_TEST(EachCrashIsListedOnce);
  CPPUNIT_TEST(ReceiverGetsAllCrashesInSteps);
  CPPUNIT_TEST(HostReportsItsRecentCrashes);
  CPPUNIT_TEST(OldCrashesAreDropped);
  CPPUNIT_TEST(NumberOfCrashesIsBounded);
  CPPUNIT_TEST(MessageKeepsTheCrash);
  CPPUNIT_TEST(IncompleteMessageIsRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void EachCrashIsListedOnce()
  {
    StrikeLog log;
    CPPUNIT_ASSERT(Append(log, CrashOf(1), mNow));
    CPPUNIT_ASSERT(!Append(log, CrashOf(1), mNow));
    CPPUNIT_ASSERT(Append(log, CrashOf(2), mNow));
    Strike proof = CrashOf(2);
    proof.mAlone = true;
    CPPUNIT_ASSERT(Append(log, proof, mNow));
  }

  void ReceiverGetsAllCrashesInSteps()
  {
    constexpr std::size_t kCrashes = 3 * kMaxStrikesPerMessage / 2;
    StrikeLog log;
    for (std::size_t i = 0; i < kCrashes; ++i) {
      Append(log, CrashOf(i), mNow);
    }
    std::uint64_t cursor = 0;
    std::uint64_t next = 0;
    for (int call = 0; call < 3; ++call) {
      for (const LoggedStrike* const logged : StrikesAfter(log, cursor)) {
        CPPUNIT_ASSERT_EQUAL(next++, logged->mStrike.mIncarnation);
        cursor = logged->mNumber;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kCrashes }, next);
    CPPUNIT_ASSERT(StrikesAfter(log, cursor).empty());
  }

  void HostReportsItsRecentCrashes()
  {
    StrikeLog log;
    Append(log, CrashOf(1), mNow);
    Append(log, CrashOf(2, "10.0.0.2"), mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, StrikesToReport(log, "10.0.0.1", mNow).size());
    CPPUNIT_ASSERT(StrikesToReport(log, "10.0.0.1", mNow + kStrikeReportTime).empty());
  }

  void OldCrashesAreDropped()
  {
    StrikeLog log;
    Append(log, CrashOf(1), mNow);
    CPPUNIT_ASSERT(Append(log, CrashOf(1), mNow + kQuarantineTime));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, log.mStrikes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, StrikesAfter(log, 1).size());
  }

  void NumberOfCrashesIsBounded()
  {
    StrikeLog log;
    for (std::size_t i = 0; i < kMaxLoggedStrikes + 10; ++i) {
      Append(log, CrashOf(i), mNow);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxLoggedStrikes, log.mStrikes.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, log.mStrikes.front().mStrike.mIncarnation);
  }

  void MessageKeepsTheCrash()
  {
    rpc::UpstreamCrash message;
    const Strike strike{ 0xfedcba9876543210, "10.0.0.1", "i-1", 5, true };
    ToMessage(strike, message);
    const auto read = FromMessage(message);
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(strike.mFingerprint, read->mFingerprint);
    CPPUNIT_ASSERT_EQUAL(strike.mHost, read->mHost);
    CPPUNIT_ASSERT_EQUAL(strike.mUpstream, read->mUpstream);
    CPPUNIT_ASSERT_EQUAL(strike.mIncarnation, read->mIncarnation);
    CPPUNIT_ASSERT(read->mAlone);
  }

  void IncompleteMessageIsRejected()
  {
    rpc::UpstreamCrash message;
    message.set_upstream("i-1");
    CPPUNIT_ASSERT(!FromMessage(message).has_value());
    message.set_host(std::string(1000, 'x'));
    CPPUNIT_ASSERT(!FromMessage(message).has_value());
  }

private:
  const TimePoint mNow{ seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrikeLogTest);
