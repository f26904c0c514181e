// Tests that two entry hosts exchange records, divide the slots of an upstream, and do not name a
// host in an address answer that may not serve.
#include "discovery_network.h"
#include "discovery_node.h"
#include "test_address.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

constexpr std::uint16_t kPort = 17201;

PeerInfo
MakePeer(int aHost)
{
  const std::string ip = TestIp(aHost);
  return { fmt::format("entry-{}", aHost), "bolu", { ip, kPort }, { ip, 7200 } };
}

DiscoveryIdentity
MakeIdentity(int aHost)
{
  const PeerInfo peer = MakePeer(aHost);
  return { peer.mHost,
           1,
           peer.mDataCentre,
           peer.mCallerAddress,
           peer.mPeerAddress,
           SOURCE_FOLDER "/charts",
           { .mPlaintext = true } };
}

} // namespace

class DiscoveryNodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DiscoveryNodeTest);
  CPPUNIT_TEST(TwoHostsShareRecordsAndSlots);
  CPPUNIT_TEST_SUITE_END();

public:
  void TwoHostsShareRecordsAndSlots()
  {
    Loop loop;
    MetricsRegistry metrics;
    bool listed = false;
    std::uint32_t slots[2] = { 0, 0 };
    const auto recordShares = [&](int aIndex) {
      return [&, aIndex](const std::map<std::string, ReplicaShare>& aShares) {
        slots[aIndex] = aShares.empty() ? 0 : aShares.begin()->second.mSlots;
        if (listed && slots[0] + slots[1] == 5) {
          loop.Stop();
        }
      };
    };
    DiscoveryHooks firstHooks;
    firstHooks.mSetShares = recordShares(0);
    DiscoveryHooks secondHooks;
    secondHooks.mSetShares = recordShares(1);
    secondHooks.mSetUpstreams = [&](const std::vector<UpstreamInfo>& aUpstreams) {
      listed = aUpstreams.size() == 1 && aUpstreams[0].mId == "service-0-0";
    };
    DiscoveryNode first(loop, MakeIdentity(1), firstHooks, metrics);
    DiscoveryNode second(loop, MakeIdentity(2), secondHooks, metrics);
    CPPUNIT_ASSERT(first.Start().has_value() && second.Start().has_value());
    auto config = std::make_shared<Config>();
    config->mCollections["desk"] = { "desk", { "service-0" }, "" };
    for (DiscoveryNode* const node : { &first, &second }) {
      node->SetPeers({ MakePeer(1), MakePeer(2) });
      node->SetConfig(config);
    }
    first.Announce(SimUpstream(0, 1, 1, UpstreamState::Ready));
    // Ends the run if the hosts never agree. The checks below then fail.
    loop.AddTimer(SteadyNow() + std::chrono::seconds(20), [&] { loop.Stop(); });
    loop.Run();
    CPPUNIT_ASSERT(listed);
    CPPUNIT_ASSERT_EQUAL(5U, slots[0] + slots[1]);
    CPPUNIT_ASSERT(slots[0] >= 2 && slots[1] >= 2);
    CPPUNIT_ASSERT(!second.AddressAnswer("desk", "bolu").has_value());
    second.SetMayServe(true);
    CPPUNIT_ASSERT(second.AddressAnswer("desk", "bolu").value().find("entry-2") !=
                   std::string::npos);
    CPPUNIT_ASSERT(second.AddressAnswer("none", "bolu").error().mResult ==
                   Result::UnknownCollection);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiscoveryNodeTest);
