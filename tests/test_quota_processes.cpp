// Guards against quotas that hold in the model but not between processes: coordinators that do not
// forward calls, gateways that do not find a new owner, and restarts that void a limit.
#include "coordinator_process.h"
#include "gateway_process.h"
#include "process_caller.h"
#include "process_protocol.h"
#include "quota_client.h"
#include "quota_ledger.h"
#include "quota_model.h"
#include "replica_process.h"
#include "test_address.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kFirstCoordinator = 131;
constexpr int kFirstGateway = 141;
constexpr int kReplicaHost = 151;
constexpr int kGateways = 3;
constexpr int kReplicas = 6;
constexpr std::uint16_t kFirstPort = 7960;
const QuotaLimit kLimit{ 20, 10 };

struct Answer
{
  TimePoint mSentAt;
  TimePoint mAt;
  int mStatus = 0;
  double mRetryAfter = -1;
};

// Three coordinators, three gateways and six replicas, and callers of one workspace.
class QuotaFleet
{
public:
  QuotaFleet()
    : mFolder(std::filesystem::temp_directory_path() / ("apricot-quota-" + TestIp(1)))
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
      settings.mService = "s";
      settings.mCrashLog = mFolder / "crashes";
      settings.mCoordinators = mCoordinatorIps;
      mReplicas.push_back(
        std::make_unique<ChildProcess>(ReplicaArguments(settings), mFolder / "replicas.log"));
    }
    OfferDocument(1);
    for (int i = 0; i < kGateways; ++i) {
      const std::string ip = TestIp(kFirstGateway + i);
      CPPUNIT_ASSERT_MESSAGE(ip + " does not serve", Poll([&] {
                               return Call("GET", { ip, kCallerPort }, "/first").mStatus == kOk;
                             }));
    }
  }
  ~QuotaFleet() { std::filesystem::remove_all(mFolder); }
  QuotaFleet(const QuotaFleet&) = delete;
  QuotaFleet& operator=(const QuotaFleet&) = delete;

  void StartGateway(int aIndex)
  {
    mGateways[aIndex].reset();
    mGateways[aIndex] = std::make_unique<ChildProcess>(
      GatewayArguments(TestIp(kFirstGateway + aIndex), mCoordinatorIps),
      mFolder / fmt::format("gateway-{}.log", aIndex));
  }

  // Sends requests of the workspace to the gateways in turn, and calls aFault after aFaultAt.
  void Play(double aRate, Duration aLength, Duration aFaultAt, std::function<void()> aFault)
  {
    mStart = SteadyNow();
    mEnd = mStart + aLength;
    mPause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / aRate));
    if (aFault) {
      mLoop.AddTimer(mStart + aFaultAt, std::move(aFault));
    }
    SendNext();
    RunFor(aLength + seconds(1));
    for (const Answer& answer : mAnswers) {
      if (answer.mStatus == kOk) {
        mPassed.push_back(answer.mAt);
      }
    }
    std::sort(mPassed.begin(), mPassed.end());
  }

  void KillLeader()
  {
    const ClientReply reply =
      Call("PUT", { mCoordinatorIps[0], kControlPort }, "/document", Document(++mVersion));
    int leader = 0;
    for (int i = 1; i < 3; ++i) {
      leader =
        reply.Header("location").find(mCoordinatorIps[i]) != std::string_view::npos ? i : leader;
    }
    mCoordinators.Kill(leader);
  }

  // Asks a coordinator for one token of the workspace.
  std::optional<rpc::QuotaReply> AcquireToken(int aCoordinator, bool aForwarded)
  {
    RpcSecurity security;
    security.mPlaintext = true;
    QuotaChannels channels(mLoop, kRpcPort, security);
    rpc::QuotaRequest request;
    request.set_gateway("192.0.2.1");
    request.set_incarnation(1);
    request.set_number(++mTokenCalls);
    request.set_forwarded(aForwarded);
    rpc::QuotaDemand& demand = *request.add_demands();
    demand.set_workspace("w");
    demand.set_wanted(1);
    std::optional<rpc::QuotaReply> result;
    channels.Call(mCoordinatorIps[static_cast<std::size_t>(aCoordinator)],
                  request,
                  seconds(2),
                  [&](std::optional<rpc::QuotaReply> aReply) {
                    result = std::move(aReply);
                    mLoop.Stop();
                  });
    mLoop.Run();
    return result;
  }

  double Excess() const
  {
    return ExcessOverBound(mPassed, kLimit, TimePoint::min(), TimePoint::max());
  }
  // Answers with the status to requests sent between the times after the start.
  std::size_t Count(int aStatus, Duration aFrom, Duration aUntil) const
  {
    return static_cast<std::size_t>(
      std::count_if(mAnswers.begin(), mAnswers.end(), [&](const Answer& aAnswer) {
        return aAnswer.mStatus == aStatus && aAnswer.mSentAt >= mStart + aFrom &&
               aAnswer.mSentAt < mStart + aUntil;
      }));
  }
  const std::vector<Answer>& Answers() const { return mAnswers; }

  void Print(const std::string& aScenario) const
  {
    std::map<int, int> statuses;
    for (const Answer& answer : mAnswers) {
      ++statuses[answer.mStatus];
    }
    std::cout << aScenario << ":";
    for (const auto& [status, count] : statuses) {
      std::cout << fmt::format(" {} x {},", status, count);
    }
    std::cout << fmt::format(" {} below the bound of Q1", -Excess()) << std::endl;
  }

private:
  static std::string Document(int aVersion)
  {
    return fmt::format("{} one s workspace=w:secret:{}:{}", aVersion, kLimit.mRate, kLimit.mBurst);
  }

  void OfferDocument(int aVersion)
  {
    mVersion = aVersion;
    CPPUNIT_ASSERT(Poll([&] {
      const ClientReply reply =
        Call("PUT", { mCoordinatorIps.front(), kControlPort }, "/document", Document(aVersion));
      const std::string location(reply.Header("location"));
      const auto leader =
        std::find_if(mCoordinatorIps.begin(), mCoordinatorIps.end(), [&](const auto& aIp) {
          return location.find("/" + aIp + ":") != std::string::npos;
        });
      return reply.mStatus == kOk ||
             (leader != mCoordinatorIps.end() &&
              Call("PUT", { *leader, kControlPort }, "/document", Document(aVersion)).mStatus ==
                kOk);
    }));
  }

  void RunFor(Duration aTime) { apricotyard::RunFor(mLoop, aTime); }

  bool Poll(const std::function<bool()>& aCondition)
  {
    return apricotyard::Poll(mLoop, seconds(30), aCondition);
  }

  // A request or call without a key.
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
    request.mForwarded = aMethod == "GET";
    request.mTimeout = seconds(3);
    if (request.mForwarded) {
      request.mHeaders = { { "Host", "h" }, { "X-Id", "first" }, { "X-Key", "secret" } };
    }
    return apricotyard::Call(mLoop, mClient, std::move(request));
  }

  void SendNext()
  {
    if (SteadyNow() >= mEnd) {
      return;
    }
    mLoop.AddTimer(SteadyNow() + mPause, [this] { SendNext(); });
    ClientRequest request;
    request.mMethod = "GET";
    request.mAddress = { TestIp(kFirstGateway + static_cast<int>(mRequests % kGateways)),
                         kCallerPort };
    request.mPath = fmt::format("/{}", mRequests);
    request.mForwarded = true;
    request.mTimeout = seconds(1);
    request.mHeaders = { { "Host", "h" },
                         { "X-Id", fmt::format("r-{}", mRequests) },
                         { "X-Key", "secret" } };
    ++mRequests;
    mClient.Send(std::move(request), [this, sentAt = SteadyNow()](const ClientReply& aReply) {
      const std::string retryAfter(aReply.Header("retry-after"));
      mAnswers.push_back(
        { sentAt, SteadyNow(), aReply.mStatus, retryAfter.empty() ? -1 : std::stod(retryAfter) });
    });
  }

  const std::filesystem::path mFolder;
  CoordinatorGroup mCoordinators;
  std::vector<std::string> mCoordinatorIps;
  std::map<int, std::unique_ptr<ChildProcess>> mGateways;
  std::vector<std::unique_ptr<ChildProcess>> mReplicas;
  Loop mLoop;
  HttpClient mClient{ mLoop, "", 0 };
  int mVersion = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mTokenCalls = 0;
  TimePoint mStart;
  TimePoint mEnd;
  Duration mPause{};
  std::vector<Answer> mAnswers;
  std::vector<TimePoint> mPassed;
};

} // namespace

class QuotaProcessesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaProcessesTest);
  CPPUNIT_TEST(GatewaysTogetherKeepToTheLimit);
  CPPUNIT_TEST(RequestsBelowTheLimitAreServedWithoutTheOwner);
  CPPUNIT_TEST(LimitOutlastsTheLossOfTheOwner);
  CPPUNIT_TEST(LimitOutlastsTheRestartOfAGateway);
  CPPUNIT_TEST(EveryCoordinatorForwardsToTheOwner);
  CPPUNIT_TEST_SUITE_END();

public:
  void GatewaysTogetherKeepToTheLimit()
  {
    QuotaFleet fleet;
    fleet.Play(5 * kLimit.mRate, seconds(8), {}, {});
    fleet.Print("all up, 5 times the limit");
    CPPUNIT_ASSERT(fleet.Excess() <= 0);
    const std::size_t passed = fleet.Count(kOk, seconds(2), seconds(8));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(passed), passed >= 114);
    for (const Answer& answer : fleet.Answers()) {
      CPPUNIT_ASSERT(answer.mStatus == kOk || answer.mStatus == kTooManyRequests);
      CPPUNIT_ASSERT(answer.mStatus == kOk || (answer.mRetryAfter >= 0 && answer.mRetryAfter < 7));
    }
  }

  void RequestsBelowTheLimitAreServedWithoutTheOwner()
  {
    QuotaFleet fleet;
    fleet.Play(0.75 * kLimit.mRate, seconds(14), seconds(6), [&] { fleet.KillLeader(); });
    fleet.Print("leader killed, 0.75 of the limit");
    CPPUNIT_ASSERT(fleet.Excess() <= 0);
    const std::size_t healthy = fleet.Count(kOk, seconds(3), seconds(6));
    const std::size_t without = fleet.Count(kOk, seconds(6), seconds(7));
    const std::size_t after = fleet.Count(kOk, seconds(11), seconds(14));
    const std::string figures =
      fmt::format("{} of 45 before, {} of 15 without, {} of 45 after", healthy, without, after);
    std::cout << figures << std::endl;
    CPPUNIT_ASSERT_MESSAGE(figures, healthy >= 43 && without >= 7 && after >= 43);
  }

  void LimitOutlastsTheLossOfTheOwner()
  {
    QuotaFleet fleet;
    fleet.Play(5 * kLimit.mRate, seconds(14), seconds(6), [&] { fleet.KillLeader(); });
    fleet.Print("leader killed, 5 times the limit");
    CPPUNIT_ASSERT(fleet.Excess() <= 0);
    CPPUNIT_ASSERT(fleet.Count(kOk, seconds(11), seconds(14)) >= 57);
  }

  void LimitOutlastsTheRestartOfAGateway()
  {
    QuotaFleet fleet;
    fleet.Play(5 * kLimit.mRate, seconds(12), seconds(4), [&] { fleet.StartGateway(0); });
    fleet.Print("gateway restarted, 5 times the limit");
    CPPUNIT_ASSERT(fleet.Excess() <= 0);
    CPPUNIT_ASSERT(fleet.Count(kOk, seconds(9), seconds(12)) >= 57);
  }

  // Guards against gateways that reach a coordinator but not the leader and get no tokens.
  void EveryCoordinatorForwardsToTheOwner()
  {
    QuotaFleet fleet;
    std::set<std::string> owners;
    for (int i = 0; i < 3; ++i) {
      const auto reply = fleet.AcquireToken(i, false);
      CPPUNIT_ASSERT(reply && reply->term() > 0);
      // One, and an extra one while the bucket is far from empty.
      CPPUNIT_ASSERT(reply->grants(0).granted() >= 1);
      owners.insert(reply->owner());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, owners.size());
    // A call is forwarded once: of those that were, only the leader serves one.
    int served = 0;
    for (int i = 0; i < 3; ++i) {
      const auto reply = fleet.AcquireToken(i, true);
      served += reply && reply->term() > 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaProcessesTest);
