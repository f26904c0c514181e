// Tests that an unresponsive coordinator neither delays the shutdown of a host nor keeps it from
// fetching a new document from another coordinator.
#include "fleet.grpc.pb.h"
#include "fleet_client.h"
#include "settings.h"
#include "simulated_suspension.h"
#include "test_address.h"

#include <atomic>
#include <optional>
#include <thread>

#include <absl/synchronization/notification.h>
#include <arpa/inet.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Answers the first aAnswers calls and blocks every further one until Release.
class FakeCoordinator final : public rpc::Fleet::Service
{
public:
  FakeCoordinator(const std::string& aIp, std::uint16_t aPort, int aAnswers)
    : mAnswers(aAnswers)
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(FormatSocketAddress({ aIp, aPort }),
                             grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    mServer = builder.BuildAndStart();
    CPPUNIT_ASSERT(mServer != nullptr);
  }

  grpc::Status Sync(grpc::ServerContext* /*aContext*/,
                    const rpc::FleetSyncRequest* aRequest,
                    rpc::FleetSyncReply* aReply) override
  {
    if (mAnswers.fetch_sub(1) <= 0) {
      mBlocked = true;
      mReleased.WaitForNotification();
    }
    ++mCalls;
    mWantsAll = !aRequest->own_records_only();
    aReply->mutable_self()->set_data_centre(mDataCentre);
    aReply->set_current(true);
    aReply->set_document_version(5);
    aReply->set_document_digest(mDigest);
    if (aRequest->wants_document()) {
      aReply->set_document("document");
    }
    return grpc::Status::OK;
  }

  void Release() { mReleased.Notify(); }
  // Returns false if no call is blocked within two seconds.
  bool AwaitCall() const
  {
    for (int i = 0; i < 200 && !mBlocked; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return mBlocked;
  }
  // Blocks the calls from now on.
  void Block() { mAnswers = 0; }
  int Calls() const { return mCalls; }
  // Whether the last call asked for the records of all coordinators.
  bool WantsAll() const { return mWantsAll; }

  // Set before the first call.
  std::string mDataCentre;
  std::uint64_t mDigest = 0;

private:
  std::atomic<int> mAnswers;
  std::atomic<int> mCalls{ 0 };
  std::atomic<bool> mWantsAll{ false };
  std::atomic<bool> mBlocked{ false };
  absl::Notification mReleased;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace

class FleetClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetClientTest);
  CPPUNIT_TEST(UnresponsiveCoordinatorDoesNotDelayShutdown);
  CPPUNIT_TEST(DocumentIsFetchedFromAnotherCoordinator);
  CPPUNIT_TEST(AllRecordsComeFromThePrimary);
  CPPUNIT_TEST(CommittedDocumentReplacesOneThatWasOnlyLogged);
  CPPUNIT_TEST(AgeOfReplyIncludesSuspension);
  CPPUNIT_TEST_SUITE_END();

public:
  void UnresponsiveCoordinatorDoesNotDelayShutdown()
  {
    // The kernel accepts the connections, and nobody answers them.
    const std::string ip = TestIp(21);
    constexpr std::uint16_t kPort = 7950;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(0, bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    CPPUNIT_ASSERT_EQUAL(0, listen(fd, 16));
    Loop loop;
    FleetClientSettings settings;
    settings.mRpcPort = kPort;
    settings.mSecurity.mPlaintext = true;
    auto client = std::make_unique<FleetClient>(
      loop, settings, [](const std::string&, const rpc::FleetSyncReply&, TimePoint) {});
    client->AddCoordinator(ip);
    // By now the call is open and has most of its 700 ms left.
    std::this_thread::sleep_for(milliseconds(150));
    const TimePoint start = SteadyNow();
    client.reset();
    CPPUNIT_ASSERT(SteadyNow() - start < milliseconds(300));
    close(fd);
  }

  // One coordinator reports a new version and stops answering while the document is being fetched
  // from it. The other one has the document too. It must arrive within the call timeout of 700 ms
  // and two pauses.
  void DocumentIsFetchedFromAnotherCoordinator()
  {
    constexpr std::uint16_t kPort = 7951;
    FakeCoordinator unresponsive(TestIp(22), kPort, 1);
    FakeCoordinator healthy(TestIp(23), kPort, 1'000'000);
    Loop loop;
    bool arrived = false;
    FleetClientSettings settings;
    settings.mRpcPort = kPort;
    settings.mSecurity.mPlaintext = true;
    settings.mPause = milliseconds(200);
    settings.mFetchDocuments = true;
    FleetClient client(
      loop, settings, [&](const std::string&, const rpc::FleetSyncReply& aReply, TimePoint) {
        if (!aReply.document().empty()) {
          arrived = true;
          loop.Stop();
        }
      });
    client.AddCoordinator(TestIp(22));
    std::this_thread::sleep_for(milliseconds(60));
    client.AddCoordinator(TestIp(23));
    loop.AddTimer(SteadyNow() + milliseconds(1200), [&loop] { loop.Stop(); });
    loop.Run();
    unresponsive.Release();
    CPPUNIT_ASSERT(arrived);
  }

  // The near coordinator is called often and asked for all records, the far one seldom and for its
  // own. When the near one stops answering, the far one replaces it within the call timeout.
  void AllRecordsComeFromThePrimary()
  {
    constexpr std::uint16_t kPort = 7952;
    FakeCoordinator near(TestIp(24), kPort, 1'000'000);
    near.mDataCentre = "a";
    FakeCoordinator far(TestIp(25), kPort, 1'000'000);
    far.mDataCentre = "b";
    Loop loop;
    const auto runFor = [&loop](Duration aTime) {
      loop.AddTimer(SteadyNow() + aTime, [&loop] { loop.Stop(); });
      loop.Run();
    };
    FleetClientSettings settings;
    settings.mRpcPort = kPort;
    settings.mSecurity.mPlaintext = true;
    settings.mPause = milliseconds(50);
    settings.mDataCentre = "a";
    {
      FleetClient client(
        loop, settings, [](const std::string&, const rpc::FleetSyncReply&, TimePoint) {});
      client.SetPauses({ settings.mPause, seconds(4) });
      client.AddCoordinator(TestIp(24));
      client.AddCoordinator(TestIp(25));
      runFor(milliseconds(1500));
      CPPUNIT_ASSERT(near.WantsAll());
      CPPUNIT_ASSERT(!far.WantsAll());
      CPPUNIT_ASSERT(near.Calls() > 10);
      CPPUNIT_ASSERT(far.Calls() <= 4);
      near.Block();
      runFor(milliseconds(1500));
      CPPUNIT_ASSERT(far.WantsAll());
      CPPUNIT_ASSERT(far.Calls() > 8);
    }
    near.Release();
  }

  void CommittedDocumentReplacesOneThatWasOnlyLogged()
  {
    constexpr std::uint16_t kPort = 7953;
    FakeCoordinator coordinator(TestIp(26), kPort, 1'000'000);
    coordinator.mDigest = DocumentDigest("committed");
    FleetClientSettings settings;
    settings.mRpcPort = kPort;
    settings.mSecurity.mPlaintext = true;
    settings.mPause = milliseconds(50);
    settings.mFetchDocuments = true;
    for (const std::string held : { "dropped", "committed" }) {
      Loop loop;
      bool fetched = false;
      FleetClient client(
        loop, settings, [&](const std::string&, const rpc::FleetSyncReply& aReply, TimePoint) {
          fetched |= !aReply.document().empty();
        });
      client.SetDocument({ 5, false, DocumentDigest(held) });
      client.AddCoordinator(TestIp(26));
      loop.AddTimer(SteadyNow() + milliseconds(1000), [&loop] { loop.Stop(); });
      loop.Run();
      CPPUNIT_ASSERT_EQUAL(held == "dropped", fetched);
    }
  }

  // Guards against records of upstreams that count as new because the reply waited while the
  // machine was suspended.
  void AgeOfReplyIncludesSuspension()
  {
    constexpr std::uint16_t kPort = 7954;
    constexpr Duration kSuspended = seconds(3);
    FakeCoordinator coordinator(TestIp(27), kPort, 0);
    FleetClientSettings settings;
    settings.mRpcPort = kPort;
    settings.mSecurity.mPlaintext = true;
    Loop loop;
    std::optional<Duration> age;
    FleetClient client(
      loop, settings, [&](const std::string&, const rpc::FleetSyncReply&, TimePoint aSentAt) {
        // The next call may have been answered as well before the loop runs.
        age = age.value_or(SteadyNow() - aSentAt);
        loop.Stop();
      });
    client.AddCoordinator(TestIp(27));
    CPPUNIT_ASSERT(coordinator.AwaitCall());
    SimulateSuspension(kSuspended);
    coordinator.Release();
    loop.AddTimer(SteadyNow() + seconds(2), [&loop] { loop.Stop(); });
    loop.Run();
    CPPUNIT_ASSERT(age.has_value());
    CPPUNIT_ASSERT(*age >= kSuspended);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetClientTest);
