// Guards against requests that go on crashing replicas, and against stopping other requests with
// them. Coordinators, gateways and replicas are processes.
#include "coordinator_process.h"
#include "gateway_process.h"
#include "process_caller.h"
#include "process_protocol.h"
#include "replica_process.h"
#include "test_address.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Runs that may begin later than kReactionTime after the third crash.
constexpr std::size_t kMaxLateRuns = 3;
constexpr std::size_t kCrashesToStop = 3;
constexpr Duration kReactionTime = seconds(4);
constexpr milliseconds kOtherPause{ 10 };
// Targets of the other requests, each of which is repeated again and again.
constexpr int kOtherTargets = 16;
// At the end of a scenario, when all replicas are back and all must be served.
constexpr Duration kCalmTime = seconds(2);

struct Scenario
{
  CrashKind mKind = CrashKind::Close;
  milliseconds mAway{ 3000 };
  milliseconds mCrashPause{ 300 };
  Duration mLength = seconds(16);
  // Pause between two restarts of the first gateway, or 0 for none.
  milliseconds mRestartPause{ 0 };
  // The route moves to another service, and later the first gateway is stopped and started again.
  bool mPlannedChanges = false;
};

struct Outcome
{
  std::size_t mCrashes = 0;
  std::size_t mLateRuns = 0;
  std::size_t mServed = 0;
  std::size_t mRefused = 0;
  std::size_t mFailed = 0;
  // The coordinators accepted the planned change of the route.
  bool mRouteMoved = false;
  // Of the other requests sent in the last kCalmTime.
  std::size_t mCalmUnserved = 0;
};

// Three coordinators, four gateways and ten replicas of one service.
class Fleet
{
public:
  explicit Fleet(const Scenario& aScenario)
    : mScenario(aScenario)
    , mFolder(std::filesystem::temp_directory_path() / ("apricot-crashes-" + TestIp(1)))
    , mCrashLog(mFolder / "crashes")
    , mCoordinators(kFirstCoordinator, 3, 1)
  {
    std::filesystem::remove_all(mFolder);
    std::filesystem::create_directories(mFolder);
    for (int i = 0; i < 3; ++i) {
      mCoordinatorIps.push_back(mCoordinators.Ip(i));
    }
    for (int i = 0; i < kGateways; ++i) {
      StartGateway(i);
    }
    for (int i = 0; i < kReplicas; ++i) {
      ReplicaProcessSettings settings;
      settings.mAddress = { TestIp(kReplicaHost), static_cast<std::uint16_t>(kFirstPort + i) };
      settings.mService = mScenario.mPlannedChanges && i % 2 == 1 ? "t" : "s";
      settings.mKind = mScenario.mKind;
      settings.mAway = mScenario.mAway;
      settings.mCrashLog = mCrashLog;
      settings.mCoordinators = mCoordinatorIps;
      std::rotate(settings.mCoordinators.begin(),
                  settings.mCoordinators.begin() + i % 3,
                  settings.mCoordinators.end());
      mReplicas.push_back(
        std::make_unique<ChildProcess>(ReplicaArguments(settings), mFolder / "replicas.log"));
    }
    OfferDocument("1 one s");
    for (int i = 0; i < kGateways; ++i) {
      WaitUntilServing(i);
    }
  }
  ~Fleet() { std::filesystem::remove_all(mFolder); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Outcome Play()
  {
    const TimePoint start = SteadyNow();
    mCalmFrom = start + mScenario.mLength;
    Every(kOtherPause, [this] { SendOther(); });
    Every(mScenario.mCrashPause, [this] { Send(NextGateway(), "/crash", [](int) {}); });
    if (mScenario.mRestartPause > milliseconds::zero()) {
      Every(mScenario.mRestartPause, [this] { StartGateway(0); });
    }
    if (mScenario.mPlannedChanges) {
      PlanChanges(start);
    }
    RunFor(mScenario.mLength + kCalmTime);
    CountCrashes();
    std::cout << fmt::format(
                   "crash kind {}, away {} ms: {} replicas ended, {} of them late; others: "
                   "{} served, {} refused, {} failed, {} unserved at the end",
                   static_cast<int>(mScenario.mKind),
                   mScenario.mAway.count(),
                   mOutcome.mCrashes,
                   mOutcome.mLateRuns,
                   mOutcome.mServed,
                   mOutcome.mRefused,
                   mOutcome.mFailed,
                   mOutcome.mCalmUnserved)
              << std::endl;
    return mOutcome;
  }

  // Replaces the routing document.
  void OfferDocument(const std::string& aText)
  {
    const bool accepted = Poll([&] {
      return Call("PUT", { mCoordinatorIps.front(), kControlPort }, "/document", aText) == kOk;
    });
    CPPUNIT_ASSERT_MESSAGE("the document is not accepted", accepted);
  }

private:
  static constexpr int kFirstCoordinator = 101;
  static constexpr int kFirstGateway = 111;
  static constexpr int kReplicaHost = 121;
  static constexpr int kGateways = 4;
  static constexpr int kReplicas = 10;
  static constexpr std::uint16_t kFirstPort = 7940;

  void StartGateway(int aIndex)
  {
    const std::string ip = TestIp(kFirstGateway + aIndex);
    mGateways[aIndex].reset();
    mGateways[aIndex] = std::make_unique<ChildProcess>(
      GatewayArguments(ip, mCoordinatorIps), mFolder / fmt::format("gateway-{}.log", aIndex));
  }

  void RunFor(Duration aTime) { apricotyard::RunFor(mLoop, aTime); }

  // Calls aTask with a pause between until the scenario ends.
  void Every(Duration aPause, std::function<void()> aTask)
  {
    mLoop.AddTimer(SteadyNow() + aPause, [this, aPause, task = std::move(aTask)] {
      task();
      Every(aPause, task);
    });
  }

  int Call(const std::string& aMethod,
           const SocketAddress& aAddress,
           const std::string& aPath,
           const std::string& aBody = "")
  {
    ClientRequest request;
    request.mMethod = aMethod;
    request.mAddress = aAddress;
    request.mPath = aPath;
    request.mBody = aBody;
    return apricotyard::Call(mLoop, mClient, std::move(request)).mStatus;
  }

  void PlanChanges(TimePoint aStart)
  {
    mLoop.AddTimer(aStart + seconds(6), [this] {
      ClientRequest request;
      request.mMethod = "PUT";
      request.mAddress = { mCoordinatorIps.front(), kControlPort };
      request.mPath = "/document";
      request.mBody = "2 one t";
      mClient.Send(std::move(request), [this](const ClientReply& aReply) {
        mOutcome.mRouteMoved = aReply.mStatus == kOk;
      });
    });
    mLoop.AddTimer(aStart + seconds(8), [this] { mGateways.at(0)->Signal(SIGTERM); });
    mLoop.AddTimer(aStart + seconds(15), [this] { StartGateway(0); });
  }

  bool Poll(const std::function<bool()>& aCondition)
  {
    return apricotyard::Poll(mLoop, seconds(30), aCondition);
  }

  void WaitUntilServing(int aIndex)
  {
    const std::string ip = TestIp(kFirstGateway + aIndex);
    const bool serving = Poll(
      [&] { return apricotyard::Call(mLoop, mClient, MakeRequest(ip, "/first")).mStatus == kOk; });
    CPPUNIT_ASSERT_MESSAGE("gateway " + ip + " does not serve", serving);
  }

  std::string NextGateway() { return TestIp(kFirstGateway + mNextGateway++ % kGateways); }

  ClientRequest MakeRequest(const std::string& aGateway, const std::string& aPath)
  {
    ClientRequest request;
    request.mMethod = "GET";
    request.mAddress = { aGateway, kCallerPort };
    request.mPath = aPath;
    request.mForwarded = true;
    request.mTimeout = seconds(3);
    request.mHeaders = { { "Host", "h" }, { "X-Id", fmt::format("r-{}", ++mRequests) } };
    return request;
  }

  void Send(const std::string& aGateway, const std::string& aPath, std::function<void(int)> aDone)
  {
    mClient.Send(MakeRequest(aGateway, aPath),
                 [done = std::move(aDone)](const ClientReply& aReply) { done(aReply.mStatus); });
  }

  void SendOther()
  {
    const bool calm = SteadyNow() >= mCalmFrom;
    const std::string path = fmt::format("/other/{}", mRequests % kOtherTargets);
    // A gateway that is being restarted refuses connections.
    const int gateway = mScenario.mPlannedChanges || mScenario.mRestartPause > milliseconds::zero()
                          ? 1 + mNextOther++ % (kGateways - 1)
                          : mNextOther++ % kGateways;
    Send(TestIp(kFirstGateway + gateway), path, [this, calm](int aStatus) {
      mOutcome.mServed += aStatus == kOk ? 1 : 0;
      mOutcome.mRefused += aStatus == kUnavailable ? 1 : 0;
      mOutcome.mFailed += aStatus != kOk && aStatus != kUnavailable ? 1 : 0;
      mOutcome.mCalmUnserved += calm && aStatus != kOk ? 1 : 0;
    });
  }

  void CountCrashes()
  {
    std::vector<std::int64_t> crashes;
    std::ifstream log(mCrashLog);
    for (std::int64_t at = 0; log >> at;) {
      crashes.push_back(at);
    }
    std::sort(crashes.begin(), crashes.end());
    mOutcome.mCrashes = crashes.size();
    if (crashes.size() >= kCrashesToStop) {
      const std::int64_t from = crashes[kCrashesToStop - 1] + kReactionTime.count();
      mOutcome.mLateRuns = static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(), [from](auto aAt) { return aAt > from; }));
    }
  }

  const Scenario mScenario;
  const std::filesystem::path mFolder;
  const std::filesystem::path mCrashLog;
  CoordinatorGroup mCoordinators;
  std::vector<std::string> mCoordinatorIps;
  std::map<int, std::unique_ptr<ChildProcess>> mGateways;
  std::vector<std::unique_ptr<ChildProcess>> mReplicas;
  Loop mLoop;
  HttpClient mClient{ mLoop, "", 0 };
  int mNextGateway = 0;
  int mNextOther = 0;
  std::uint64_t mRequests = 0;
  TimePoint mCalmFrom = TimePoint::max();
  Outcome mOutcome;
};

void
CheckStopped(const Outcome& aOutcome)
{
  CPPUNIT_ASSERT(aOutcome.mCrashes >= kCrashesToStop);
  CPPUNIT_ASSERT(aOutcome.mLateRuns <= kMaxLateRuns);
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, aOutcome.mCalmUnserved);
}

} // namespace

class CrashingRequestsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingRequestsTest);
  CPPUNIT_TEST(CrashWithClosedConnectionsIsStopped);
  CPPUNIT_TEST(CrashWithResetConnectionsIsStopped);
  CPPUNIT_TEST(CrashOfReplicaWhoseAddressIsSilentIsStopped);
  CPPUNIT_TEST(CrashOfReplicaThatReturnsSoonIsStopped);
  CPPUNIT_TEST(CrashWithoutAnySignIsStopped);
  CPPUNIT_TEST(RestartedGatewayDoesNotRunStoppedRequest);
  CPPUNIT_TEST(VerdictHoldsBesidePlannedChanges);
  CPPUNIT_TEST_SUITE_END();

public:
  void CrashWithClosedConnectionsIsStopped()
  {
    CheckStopped(Fleet({ CrashKind::Close, milliseconds(3000) }).Play());
  }

  void CrashWithResetConnectionsIsStopped()
  {
    CheckStopped(Fleet({ CrashKind::Reset, milliseconds(300) }).Play());
  }

  void CrashOfReplicaWhoseAddressIsSilentIsStopped()
  {
    CheckStopped(Fleet({ CrashKind::ResetSilent, milliseconds(6000), milliseconds(500) }).Play());
  }

  void CrashOfReplicaThatReturnsSoonIsStopped()
  {
    CheckStopped(Fleet({ CrashKind::ResetSilent, milliseconds(1000) }).Play());
  }

  void CrashWithoutAnySignIsStopped()
  {
    CheckStopped(Fleet({ CrashKind::Silent, milliseconds(3000) }).Play());
  }

  void RestartedGatewayDoesNotRunStoppedRequest()
  {
    CheckStopped(Fleet({ CrashKind::Close,
                         milliseconds(1000),
                         milliseconds(1000),
                         seconds(20),
                         milliseconds(3000) })
                   .Play());
  }

  void VerdictHoldsBesidePlannedChanges()
  {
    Scenario scenario{ CrashKind::ResetSilent, milliseconds(2000) };
    scenario.mLength = seconds(19);
    scenario.mPlannedChanges = true;
    const Outcome outcome = Fleet(scenario).Play();
    CheckStopped(outcome);
    CPPUNIT_ASSERT(outcome.mRouteMoved);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestsTest);
