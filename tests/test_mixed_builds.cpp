// Guards against an upgrade, or its way back, during which callers are not served or documents are
// lost: hosts of the previous build and of this one run beside each other while they are replaced
// one after the other.
#include "coordinator_process.h"
#include "gateway_process.h"
#include "mixed_builds.h"
#include "process_caller.h"
#include "process_protocol.h"
#include "replica_process.h"
#include "test_address.h"

#include <iostream>
#include <map>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kOk = 200;
constexpr int kFirstCoordinator = 101;
constexpr int kCoordinators = 3;
constexpr int kFirstGateway = 111;
constexpr int kGateways = 2;
constexpr int kReplicaHost = 121;
constexpr int kReplicas = 4;
constexpr std::uint16_t kFirstReplicaPort = 7951;
constexpr milliseconds kRequestPause{ 20 };
// Time for a host to come back, and then to serve without a failure.
constexpr Duration kReturnTime = seconds(5);
constexpr Duration kCalmTime = seconds(2);

std::string&
PreviousProgram()
{
  static std::string sProgram;
  return sProgram;
}

// Three coordinators, two gateways and four replicas, and callers that ask the other gateway once
// if one fails.
class MixedFleet
{
public:
  MixedFleet()
    : mFolder(std::filesystem::temp_directory_path() / ("apricot-mixed-" + TestIp(1)))
    , mCoordinators(kFirstCoordinator, kCoordinators, 1, PreviousProgram())
  {
    std::filesystem::remove_all(mFolder);
    std::filesystem::create_directories(mFolder);
    for (int i = 0; i < kCoordinators; ++i) {
      mCoordinatorIps.push_back(mCoordinators.Ip(i));
    }
    for (int i = 0; i < kGateways; ++i) {
      StartGateway(i, true);
    }
    for (int i = 0; i < kReplicas; ++i) {
      ReplicaProcessSettings settings;
      settings.mAddress = { TestIp(kReplicaHost),
                            static_cast<std::uint16_t>(kFirstReplicaPort + i) };
      settings.mService = "s";
      settings.mCrashLog = mFolder / "crashes";
      settings.mCoordinators = mCoordinatorIps;
      mReplicas.push_back(
        std::make_unique<ChildProcess>(ReplicaArguments(settings), mFolder / "replicas.log"));
    }
  }
  ~MixedFleet() { std::filesystem::remove_all(mFolder); }
  MixedFleet(const MixedFleet&) = delete;
  MixedFleet& operator=(const MixedFleet&) = delete;

  void ReplaceCoordinator(int aMember, bool aPrevious)
  {
    mCoordinators.Kill(aMember);
    mCoordinators.Start(aMember, aPrevious ? PreviousProgram() : kThisProgram);
  }

  void StartGateway(int aIndex, bool aPrevious)
  {
    const std::string ip = TestIp(kFirstGateway + aIndex);
    mGateways[aIndex].reset();
    std::vector<std::string> arguments = GatewayArguments(ip, mCoordinatorIps);
    if (aPrevious) {
      // The previous build has no limit for revocations, which follows the address.
      arguments.erase(arguments.begin() + 2);
    }
    mGateways[aIndex] = std::make_unique<ChildProcess>(
      arguments, mFolder / (ip + ".log"), aPrevious ? PreviousProgram() : kThisProgram);
  }

  // Offers a new document to each coordinator, and checks that each of them then returns it.
  void ChangeDocument()
  {
    const std::string text = fmt::format("{} one s", ++mVersion);
    CPPUNIT_ASSERT_MESSAGE(
      "version is not accepted: " + text, Poll([&] {
        for (const std::string& ip : mCoordinatorIps) {
          if (Call("PUT", { ip, kControlPort }, "/document", text).mStatus == kOk) {
            return true;
          }
        }
        return false;
      }));
    for (const std::string& ip : mCoordinatorIps) {
      CPPUNIT_ASSERT_MESSAGE(ip + " does not return " + text, Poll([&] {
                               return Call("GET", { ip, kControlPort }, "/document").mBody == text;
                             }));
    }
  }

  // Waits until both gateways serve, then sends requests for kCalmTime. All must be served.
  void CheckService(const std::string& aStage)
  {
    for (int i = 0; i < kGateways; ++i) {
      CPPUNIT_ASSERT_MESSAGE(aStage + ": a gateway does not serve",
                             Poll([&] { return Ask(i) == kOk; }));
    }
    int failed = 0;
    int requests = 0;
    for (const TimePoint end = SteadyNow() + kCalmTime; SteadyNow() < end; RunFor(kRequestPause)) {
      const int gateway = ++requests % kGateways;
      failed += Ask(gateway) == kOk || Ask((gateway + 1) % kGateways) == kOk ? 0 : 1;
    }
    std::cout << fmt::format("{}: {} requests, {} failed", aStage, requests, failed) << std::endl;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aStage, 0, failed);
  }

private:
  int Ask(int aGateway)
  {
    return Call("GET", { TestIp(kFirstGateway + aGateway), kCallerPort }, "/q").mStatus;
  }

  ClientReply Call(const std::string& aMethod,
                   const SocketAddress& aAddress,
                   const std::string& aPath,
                   const std::string& aBody = "")
  {
    ClientRequest request;
    request.mMethod = aMethod;
    request.mAddress = aAddress;
    request.mPath = aPath;
    request.mBody = aBody;
    request.mForwarded = aAddress.mPort == kCallerPort;
    request.mTimeout = seconds(2);
    if (request.mForwarded) {
      request.mHeaders = { { "Host", "h" }, { "X-Id", "request" } };
    }
    return apricotyard::Call(mLoop, mClient, std::move(request));
  }

  void RunFor(Duration aTime) { apricotyard::RunFor(mLoop, aTime); }

  bool Poll(const std::function<bool()>& aCondition)
  {
    return apricotyard::Poll(mLoop, kReturnTime, aCondition);
  }

  const std::filesystem::path mFolder;
  CoordinatorGroup mCoordinators;
  std::vector<std::string> mCoordinatorIps;
  std::map<int, std::unique_ptr<ChildProcess>> mGateways;
  std::vector<std::unique_ptr<ChildProcess>> mReplicas;
  Loop mLoop;
  HttpClient mClient{ mLoop, "", 0 };
  int mVersion = 0;
};

} // namespace

namespace apricotyard {

void
SetPreviousProgram(std::string aProgram)
{
  PreviousProgram() = std::move(aProgram);
}

} // namespace apricotyard

class MixedBuildsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MixedBuildsTest);
  CPPUNIT_TEST(UpgradeAndWayBackServeCallers);
  CPPUNIT_TEST_SUITE_END();

public:
  void UpgradeAndWayBackServeCallers()
  {
    MixedFleet fleet;
    fleet.ChangeDocument();
    fleet.CheckService("all of the previous build");
    for (const bool previous : { false, true }) {
      const std::string build = previous ? "previous" : "this";
      // Gateways first on the way there and coordinators first on the way back, so that each side
      // meets the other one's older and newer build.
      for (const bool gateways : { !previous, previous }) {
        for (int i = 0; i < (gateways ? kGateways : kCoordinators); ++i) {
          gateways ? fleet.StartGateway(i, previous) : fleet.ReplaceCoordinator(i, previous);
          fleet.ChangeDocument();
          fleet.CheckService(
            fmt::format("{} {} of {} build", gateways ? "gateway" : "coordinator", i, build));
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MixedBuildsTest, kMixedBuildsSuite);
