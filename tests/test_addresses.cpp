// Guards against sending callers to hosts that are stopping, may not serve or are not home hosts.
#include "address_answer.h"

#include <map>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

AddressHost
MakeHost(const std::string& aName,
         const std::string& aDataCentre,
         bool aServing = true,
         std::uint64_t aLoad = 0)
{
  return { aName, aDataCentre, { "127.0.0.1", 7200 }, aServing, aLoad };
}

} // namespace

class AddressesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AddressesTest);
  CPPUNIT_TEST(ListsLocalHomeHostsFirst);
  CPPUNIT_TEST(OmitsHostsThatDoNotServe);
  CPPUNIT_TEST(PrefersLessLoadedHosts);
  CPPUNIT_TEST(TruncatedListKeepsRemoteHost);
  CPPUNIT_TEST(ForwardsOnlyToServingHomeHosts);
  CPPUNIT_TEST_SUITE_END();

public:
  void ListsLocalHomeHostsFirst()
  {
    Rng rng(1);
    const std::vector<AddressHost> hosts{
      MakeHost("a", "x"), MakeHost("b", "y"), MakeHost("c", "y"), MakeHost("d", "x")
    };
    for (int i = 0; i < 100; ++i) {
      const auto chosen = ChooseAddresses(hosts, { "a", "b", "c" }, "y", rng);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, chosen.size());
      CPPUNIT_ASSERT(chosen[0].mDataCentre == "y" && chosen[1].mDataCentre == "y");
      CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen[2].mName);
    }
  }

  void OmitsHostsThatDoNotServe()
  {
    Rng rng(1);
    const std::vector<AddressHost> hosts{ MakeHost("a", "x", false),
                                          MakeHost("b", "x"),
                                          MakeHost("c", "x", false) };
    const auto chosen = ChooseAddresses(hosts, { "a", "b" }, "x", rng);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, chosen.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen[0].mName);
    // Without a serving home host the other hosts are listed. Without any serving host the list is
    // empty.
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ChooseAddresses(hosts, { "a" }, "x", rng).at(0).mName);
    CPPUNIT_ASSERT(ChooseAddresses({ hosts[0] }, { "a" }, "x", rng).empty());
  }

  void PrefersLessLoadedHosts()
  {
    Rng rng(5);
    const std::vector<AddressHost> hosts{ MakeHost("a", "x", true, 9),
                                          MakeHost("b", "x"),
                                          MakeHost("c", "x") };
    std::map<std::string, int> first;
    for (int i = 0; i < 2100; ++i) {
      ++first[ChooseAddresses(hosts, {}, "x", rng)[0].mName];
    }
    // The weights are 1/10, 1 and 1, so the expected counts are 100, 1000 and 1000.
    CPPUNIT_ASSERT(first["a"] > 50 && first["a"] < 150);
    CPPUNIT_ASSERT(first["b"] > 900 && first["c"] > 900);
  }

  void TruncatedListKeepsRemoteHost()
  {
    Rng rng(2);
    std::vector<AddressHost> hosts{ MakeHost("z", "far") };
    for (char name = 'a'; name < 'k'; ++name) {
      hosts.push_back(MakeHost(std::string(1, name), "near"));
    }
    const auto chosen = ChooseAddresses(hosts, {}, "near", rng);
    CPPUNIT_ASSERT_EQUAL(kMaxAddresses, chosen.size());
    CPPUNIT_ASSERT_EQUAL(std::string("z"), chosen.back().mName);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), chosen.front().mDataCentre);
  }

  void ForwardsOnlyToServingHomeHosts()
  {
    Rng rng(3);
    const std::vector<AddressHost> hosts{ MakeHost("a", "x"),
                                          MakeHost("b", "y"),
                                          MakeHost("c", "x", false) };
    CPPUNIT_ASSERT(!ChooseForwardTarget(hosts, { "a", "b" }, "a", "x", rng));
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         ChooseForwardTarget(hosts, { "b", "c" }, "a", "x", rng)->mName);
    CPPUNIT_ASSERT(!ChooseForwardTarget(hosts, { "c" }, "a", "x", rng));
    CPPUNIT_ASSERT(!ChooseForwardTarget(hosts, {}, "a", "x", rng));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressesTest);
