// Guards against a host that does not stop in time because a coordinator is silent.
#include "fleet_client.h"
#include "test_address.h"

#include <thread>

#include <arpa/inet.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace apricotyard;
using std::chrono::milliseconds;

class FleetClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetClientTest);
  CPPUNIT_TEST(SilentCoordinatorDoesNotDelayTheEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void SilentCoordinatorDoesNotDelayTheEnd()
  {
    // Accepts connections in the kernel and never answers.
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
      loop, settings, [](const std::string&, const rpc::FleetSyncReply&) {});
    client->AddCoordinator(ip);
    // The call is under way now and has most of its 700 ms left.
    std::this_thread::sleep_for(milliseconds(150));
    const TimePoint began = SteadyNow();
    client.reset();
    CPPUNIT_ASSERT(SteadyNow() - began < milliseconds(300));
    close(fd);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetClientTest);
