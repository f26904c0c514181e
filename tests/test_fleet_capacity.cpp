// Measures the processor time that gateways cost a coordinator. Guards against calls and
// connections that a small coordinator cannot serve. Set APRICOT_FIGURES=1 to print the table of
// docs/CAPACITY.md.
#include "coordinator_process.h"
#include "fleet_client.h"
#include "process_protocol.h"
#include "settings.h"
#include "test_address.h"

#include <cstdlib>
#include <iostream>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kCoordinator = 170;

// A coordinator as a process of its own, and gateways that only call it.
class Fleet
{
public:
  Fleet(int aGateways, Duration aPause)
    : mGroup(kCoordinator, 1, 0)
  {
    FleetClientSettings settings;
    settings.mRpcPort = kRpcPort;
    settings.mSecurity.mPlaintext = true;
    settings.mPause = aPause;
    settings.mDataCentre = "a";
    for (int i = 0; i < aGateways; ++i) {
      mClients.push_back(std::make_unique<FleetClient>(
        mLoop, settings, [this](const std::string&, const rpc::FleetSyncReply&, TimePoint) {
          ++mReplies;
        }));
      FleetHost self;
      self.mName = fmt::format("gateway-{}", i);
      self.mDataCentre = "a";
      self.mIncarnation = static_cast<std::uint64_t>(i) + 1;
      self.mRole = FleetRole::Gateway;
      self.mIp = fmt::format("10.0.{}.{}", i / 250, i % 250);
      self.mPublicAddress = { self.mIp, 80 };
      self.mServing = true;
      mClients.back()->SetLocalHost(self);
    }
  }
  void Connect()
  {
    for (const auto& client : mClients) {
      client->AddCoordinator(mGroup.Ip(0), "a");
    }
  }
  void RunFor(Duration aTime)
  {
    mLoop.AddTimer(SteadyNow() + aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }
  Duration ProcessorTime() const { return mGroup.ProcessorTime(0); }

  int mReplies = 0;

private:
  Loop mLoop;
  CoordinatorGroup mGroup;
  std::vector<std::unique_ptr<FleetClient>> mClients;
};

} // namespace

class FleetCapacityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetCapacityTest);
  CPPUNIT_TEST(CallsAndConnectionsAreCheap);
  CPPUNIT_TEST_SUITE_END();

public:
  // A coordinator with 0.15 of a core, 60 near gateways and 240 others has 190 calls a second. One
  // call may then take 0.8 ms at most, without anything else.
  void CallsAndConnectionsAreCheap()
  {
    const bool print = std::getenv("APRICOT_FIGURES") != nullptr;
    for (const int gateways : print ? std::vector<int>{ 30, 100, 300 } : std::vector<int>{ 60 }) {
      Fleet fleet(gateways, milliseconds(500));
      fleet.RunFor(seconds(2));
      const Duration start = fleet.ProcessorTime();
      fleet.Connect();
      fleet.RunFor(seconds(2));
      const int firstCalls = fleet.mReplies;
      const Duration connected = fleet.ProcessorTime();
      fleet.RunFor(print ? seconds(8) : seconds(2));
      const int calls = fleet.mReplies - firstCalls;
      CPPUNIT_ASSERT(firstCalls >= gateways);
      CPPUNIT_ASSERT(calls >= gateways);
      const Duration call = (fleet.ProcessorTime() - connected) / calls;
      const Duration connection =
        std::max(Duration::zero(), (connected - start - call * firstCalls) / gateways);
      if (print) {
        std::cout << fmt::format("{} gateways: {} us a call, {} us a connection\n",
                                 gateways,
                                 call / std::chrono::microseconds(1),
                                 connection / std::chrono::microseconds(1));
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(call / std::chrono::microseconds(1)),
                             call < std::chrono::microseconds(800));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(connection / std::chrono::microseconds(1)),
                             connection < milliseconds(5));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetCapacityTest);
