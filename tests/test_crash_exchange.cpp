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
  CPPUNIT_TEST(RestartedGatewayLearnsWhatItReportedBefore);
  CPPUNIT_TEST(EarlierBuildsSeeConfirmedCrashesOnly);
  CPPUNIT_TEST(CrashesOfEarlierBuildsAreConfirmed);
  CPPUNIT_TEST(GatewayAsksAtOnceForTheRest);
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

  void RestartedGatewayLearnsWhatItReportedBefore()
  {
    mFirst.SeeCrash(1, mNow);
    mFirst.Call(mCoordinators[0], mNow);
    rpc::FleetSyncRequest request;
    request.mutable_self()->set_ip("10.0.0.1");
    rpc::FleetSyncReply reply;
    ExchangeCrashes(mCoordinators[0].mLog, request, 1, mNow, reply);
    CPPUNIT_ASSERT_EQUAL(1, reply.crashes_size());
  }

  // An earlier build takes all that it reads for confirmed.
  void EarlierBuildsSeeConfirmedCrashesOnly()
  {
    rpc::FleetSyncRequest request;
    for (const CrashState state :
         { CrashState::Suspected, CrashState::Confirmed, CrashState::Cleared }) {
      AddCrash({ 7, "10.0.0.1", "i-1", 1, false, state }, request);
    }
    CPPUNIT_ASSERT_EQUAL(1, request.crashes_size());
    CPPUNIT_ASSERT_EQUAL(2, request.unconfirmed_crashes_size());
    rpc::FleetSyncReply reply;
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 3 },
      ExchangeCrashes(mCoordinators[0].mLog, request, 1, mNow, reply).mNew.size());
    rpc::FleetSyncReply toOther;
    ExchangeCrashes(mCoordinators[0].mLog, {}, 1, mNow, toOther);
    CPPUNIT_ASSERT_EQUAL(1, toOther.crashes_size());
    CPPUNIT_ASSERT(!toOther.crashes(0).alone());
    CPPUNIT_ASSERT(FromMessage(toOther.crashes(0))->mState == CrashState::Confirmed);
    CPPUNIT_ASSERT_EQUAL(2, toOther.unconfirmed_crashes_size());
    CPPUNIT_ASSERT(FromMessage(toOther.unconfirmed_crashes(0))->mState == CrashState::Suspected);
    CPPUNIT_ASSERT(FromMessage(toOther.unconfirmed_crashes(1))->mState == CrashState::Cleared);
  }

  void CrashesOfEarlierBuildsAreConfirmed()
  {
    rpc::UpstreamCrash message;
    message.set_fingerprint(7);
    message.set_host("10.0.0.1");
    message.set_upstream("i-1");
    message.set_incarnation(1);
    message.set_alone(true);
    CPPUNIT_ASSERT(FromMessage(message)->mState == CrashState::Confirmed);
    constexpr std::uint32_t kUnknownState = 3;
    message.set_state(kUnknownState);
    CPPUNIT_ASSERT(!FromMessage(message));
  }

  void GatewayAsksAtOnceForTheRest()
  {
    for (std::uint64_t i = 0; i <= kMaxStrikesPerMessage; ++i) {
      Append(mCoordinators[0].mLog, { 7, "10.0.0.1", "i-1", i, false }, mNow);
    }
    rpc::FleetSyncRequest request;
    rpc::FleetSyncReply reply;
    ExchangeCrashes(mCoordinators[0].mLog, request, 1, mNow, reply);
    CPPUNIT_ASSERT(reply.more_records());
    request.set_cursor_incarnation(1);
    request.set_crash_cursor(reply.crash_cursor());
    rpc::FleetSyncReply rest;
    ExchangeCrashes(mCoordinators[0].mLog, request, 1, mNow, rest);
    CPPUNIT_ASSERT_EQUAL(1, rest.crashes_size());
    CPPUNIT_ASSERT(!rest.more_records());
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
