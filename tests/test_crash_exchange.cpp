// Guards against crashes of replicas that stay unknown to some gateways.
#include "crash_exchange.h"
#include "fleet_messages.h"

#include <array>
#include <map>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::seconds;

namespace {

struct Coordinator
{
  std::uint64_t mIncarnation = 1;
  StrikeLog mLog;
};

// Calls coordinators as a gateway does.
class CallingGateway
{
public:
  explicit CallingGateway(std::string aIp)
    : mIp(std::move(aIp))
  {
  }

  void SeeCrash(std::uint64_t aIncarnation, TimePoint aNow)
  {
    Append(mLog, { 7, mIp, "i-1", aIncarnation, false }, aNow);
  }

  void Call(Coordinator& aCoordinator, TimePoint aNow)
  {
    rpc::FleetSyncRequest request;
    request.mutable_self()->set_ip(mIp);
    for (const Strike& strike : StrikesToReport(mLog, mIp, aNow)) {
      ToMessage(strike, *request.add_crashes());
    }
    auto& [incarnation, cursor] = mCursors[&aCoordinator];
    request.set_cursor_incarnation(incarnation);
    request.set_crash_cursor(cursor);
    rpc::FleetSyncReply reply;
    CPPUNIT_ASSERT(
      ExchangeCrashes(aCoordinator.mLog, request, aCoordinator.mIncarnation, aNow, reply)
        .mProblems.empty());
    rpc::FleetSyncReply received;
    CPPUNIT_ASSERT(received.ParseFromString(reply.SerializeAsString()));
    for (const rpc::UpstreamCrash& crash : received.crashes()) {
      CPPUNIT_ASSERT(crash.host() != mIp);
      Append(mLog, *FromMessage(crash), aNow);
    }
    incarnation = aCoordinator.mIncarnation;
    cursor = received.crash_cursor();
    mReceived += static_cast<std::size_t>(received.crashes_size());
  }

  std::size_t KnownCrashes() const { return mLog.mStrikes.size(); }
  std::size_t Received() const { return mReceived; }

private:
  const std::string mIp;
  StrikeLog mLog;
  std::map<Coordinator*, std::pair<std::uint64_t, std::uint64_t>> mCursors;
  std::size_t mReceived = 0;
};

} // namespace

class CrashExchangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashExchangeTest);
  CPPUNIT_TEST(CrashesReachGatewaysOfOtherCoordinators);
  CPPUNIT_TEST(RestartedCoordinatorLearnsRecentCrashes);
  CPPUNIT_TEST(RestartedGatewayLearnsAllCrashes);
  CPPUNIT_TEST(UnreadableCrashIsReportedAndOthersHold);
  CPPUNIT_TEST_SUITE_END();

public:
  void CrashesReachGatewaysOfOtherCoordinators()
  {
    mFirst.SeeCrash(1, mNow);
    mSecond.SeeCrash(2, mNow);
    // Each gateway calls all coordinators; the third one hears only one of them.
    for (Coordinator& coordinator : mCoordinators) {
      mFirst.Call(coordinator, mNow);
      mSecond.Call(coordinator, mNow);
    }
    mThird.Call(mCoordinators[1], mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mThird.KnownCrashes());
    mThird.Call(mCoordinators[1], mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mThird.Received());
    mFirst.Call(mCoordinators[0], mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mFirst.KnownCrashes());
  }

  void RestartedCoordinatorLearnsRecentCrashes()
  {
    Coordinator& coordinator = mCoordinators[0];
    mFirst.SeeCrash(1, mNow);
    mFirst.Call(coordinator, mNow);
    coordinator = { 2, {} };
    mFirst.Call(coordinator, mNow + kStrikeReportTime / 2);
    mSecond.Call(coordinator, mNow + kStrikeReportTime / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mSecond.KnownCrashes());
  }

  void RestartedGatewayLearnsAllCrashes()
  {
    mFirst.SeeCrash(1, mNow);
    mFirst.Call(mCoordinators[0], mNow);
    CallingGateway restarted("10.0.0.4");
    restarted.Call(mCoordinators[0], mNow + kQuarantineTime / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, restarted.KnownCrashes());
  }

  void UnreadableCrashIsReportedAndOthersHold()
  {
    rpc::FleetSyncRequest request;
    request.add_crashes();
    ToMessage(Strike{ 7, "10.0.0.1", "i-1", 1, false }, *request.add_crashes());
    rpc::FleetSyncReply reply;
    const CrashExchange exchange = ExchangeCrashes(mCoordinators[0].mLog, request, 1, mNow, reply);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, exchange.mProblems.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, exchange.mNew.size());
  }

private:
  const TimePoint mNow{ seconds(1000) };
  std::array<Coordinator, 2> mCoordinators;
  CallingGateway mFirst{ "10.0.0.1" };
  CallingGateway mSecond{ "10.0.0.2" };
  CallingGateway mThird{ "10.0.0.3" };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashExchangeTest);
