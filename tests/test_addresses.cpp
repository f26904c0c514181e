// Guards against callers that are sent to hosts which stop, may not serve or hold no slots.
#include "address_answer.h"

#include <map>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

AddressHost
Host(const std::string& aName,
     const std::string& aCentre,
     bool aServing = true,
     std::uint64_t aLoad = 0)
{
  return { aName, aCentre, { "127.0.0.1", 7200 }, aServing, aLoad };
}

} // namespace

class AddressesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AddressesTest);
  CPPUNIT_TEST(HomeHostsOfTheOwnDataCentreComeFirst);
  CPPUNIT_TEST(HostsThatDoNotServeAreLeftOut);
  CPPUNIT_TEST(LoadedHostsComeFirstLessOften);
  CPPUNIT_TEST(LongAnswersKeepARemoteAddress);
  CPPUNIT_TEST(ForwardsOnlyToServingHomeHosts);
  CPPUNIT_TEST_SUITE_END();

public:
  void HomeHostsOfTheOwnDataCentreComeFirst()
  {
    Rng rng(1);
    const std::vector<AddressHost> hosts{
      Host("a", "x"), Host("b", "y"), Host("c", "y"), Host("d", "x")
    };
    for (int i = 0; i < 100; ++i) {
      const auto chosen = ChooseAddresses(hosts, { "a", "b", "c" }, "y", rng);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, chosen.size());
      CPPUNIT_ASSERT(chosen[0].mDataCentre == "y" && chosen[1].mDataCentre == "y");
      CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen[2].mName);
    }
  }

  void HostsThatDoNotServeAreLeftOut()
  {
    Rng rng(1);
    const std::vector<AddressHost> hosts{ Host("a", "x", false),
                                          Host("b", "x"),
                                          Host("c", "x", false) };
    const auto chosen = ChooseAddresses(hosts, { "a", "b" }, "x", rng);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, chosen.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen[0].mName);
    // Without a serving home host the others remain reachable; without any host nothing is made up.
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ChooseAddresses(hosts, { "a" }, "x", rng).at(0).mName);
    CPPUNIT_ASSERT(ChooseAddresses({ hosts[0] }, { "a" }, "x", rng).empty());
  }

  void LoadedHostsComeFirstLessOften()
  {
    Rng rng(5);
    const std::vector<AddressHost> hosts{ Host("a", "x", true, 9), Host("b", "x"), Host("c", "x") };
    std::map<std::string, int> first;
    for (int i = 0; i < 2100; ++i) {
      ++first[ChooseAddresses(hosts, {}, "x", rng)[0].mName];
    }
    // The weights are 1/10, 1 and 1, so the expected counts are 100, 1000 and 1000.
    CPPUNIT_ASSERT(first["a"] > 50 && first["a"] < 150);
    CPPUNIT_ASSERT(first["b"] > 900 && first["c"] > 900);
  }

  void LongAnswersKeepARemoteAddress()
  {
    Rng rng(2);
    std::vector<AddressHost> hosts{ Host("z", "far") };
    for (char name = 'a'; name < 'k'; ++name) {
      hosts.push_back(Host(std::string(1, name), "near"));
    }
    const auto chosen = ChooseAddresses(hosts, {}, "near", rng);
    CPPUNIT_ASSERT_EQUAL(kMaxAddresses, chosen.size());
    CPPUNIT_ASSERT_EQUAL(std::string("z"), chosen.back().mName);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), chosen.front().mDataCentre);
  }

  void ForwardsOnlyToServingHomeHosts()
  {
    Rng rng(3);
    const std::vector<AddressHost> hosts{ Host("a", "x"), Host("b", "y"), Host("c", "x", false) };
    CPPUNIT_ASSERT(!ChooseForward(hosts, { "a", "b" }, "a", "x", rng));
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         ChooseForward(hosts, { "b", "c" }, "a", "x", rng)->mName);
    CPPUNIT_ASSERT(!ChooseForward(hosts, { "c" }, "a", "x", rng));
    CPPUNIT_ASSERT(!ChooseForward(hosts, {}, "a", "x", rng));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressesTest);
