// Guards against requests that are routed to a wrong service, invalid or damaged documents that are
// accepted, and wrongly merged records.
#include "document_state.h"
#include "routing.h"
#include "top_records.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;

namespace {

Route
MakeRoute(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  Route route;
  route.mName = aName;
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mTimeout = milliseconds(500);
  route.mServices = { { "s", 1 } };
  return route;
}

RoutingDocument
MakeDocument()
{
  RoutingDocument document;
  document.mVersion = 3;
  document.mRoutes = { MakeRoute("short", "a.example", "/x/"),
                       MakeRoute("long", "A.Example", "/x/y/"),
                       MakeRoute("other", "b.example", "/") };
  document.mServices = { { "s", 10 } };
  return document;
}

std::string
FindRouteName(const RoutingTable& aTable, const std::string& aHost, const std::string& aPath)
{
  const Route* const route = aTable.Find(aHost, aPath);
  return route != nullptr ? route->mName : "";
}

} // namespace

class RoutingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(FindsLongestPrefixOfHost);
  CPPUNIT_TEST(RejectsInvalidDocuments);
  CPPUNIT_TEST(KeepsHighestVersion);
  CPPUNIT_TEST(SnapshotRestoresDocument);
  CPPUNIT_TEST(RejectsDamagedDocuments);
  CPPUNIT_TEST(MergesGreatestRecords);
  CPPUNIT_TEST_SUITE_END();

public:
  void FindsLongestPrefixOfHost()
  {
    const RoutingTable table(MakeDocument());
    CPPUNIT_ASSERT_EQUAL(std::string("short"), FindRouteName(table, "a.example", "/x/z"));
    CPPUNIT_ASSERT_EQUAL(std::string("long"), FindRouteName(table, "a.example:80", "/x/y/z/q"));
    CPPUNIT_ASSERT_EQUAL(std::string("long"), FindRouteName(table, "A.EXAMPLE", "/x/y/"));
    CPPUNIT_ASSERT_EQUAL(std::string("short"), FindRouteName(table, "a.example", "/x/yy"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), FindRouteName(table, "a.example", "/x"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), FindRouteName(table, "a.example", "/"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), FindRouteName(table, "b.example", "/x/y/z"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), FindRouteName(table, "c.example", "/x/y/z"));
  }

  void RejectsInvalidDocuments()
  {
    CPPUNIT_ASSERT(CheckRouting(MakeDocument()).has_value());
    const std::vector<std::pair<std::string, std::function<void(RoutingDocument&)>>> mistakes = {
      { "unknown service",
        [](auto& aDoc) {
          aDoc.mRoutes[0].mServices = { { "t", 1 } };
        } },
      { "no service", [](auto& aDoc) { aDoc.mRoutes[0].mServices.clear(); } },
      { "same place", [](auto& aDoc) { aDoc.mRoutes[1].mPathPrefix = "/x/"; } },
      { "no weight",
        [](auto& aDoc) {
          aDoc.mRoutes[0].mServices = { { "s", 0 }, { "s", 0 } };
        } },
      { "negative weight",
        [](auto& aDoc) {
          aDoc.mRoutes[0].mServices = { { "s", 2 }, { "s", -1 } };
        } },
      { "no timeout", [](auto& aDoc) { aDoc.mRoutes[0].mTimeout = Duration::zero(); } },
      { "no slash", [](auto& aDoc) { aDoc.mRoutes[0].mPathPrefix = "/x"; } },
    };
    for (const auto& [name, makeInvalid] : mistakes) {
      RoutingDocument document = MakeDocument();
      makeInvalid(document);
      CPPUNIT_ASSERT_MESSAGE(name, !CheckRouting(document).has_value());
    }
  }

  void KeepsHighestVersion()
  {
    int changes = 0;
    DocumentState state([&changes] { ++changes; });
    const StateMachine machine = state.MakeStateMachine();
    CPPUNIT_ASSERT_EQUAL(std::string("7"), machine.mApply(1, EncodeDocument({ 7, "seven" })));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), machine.mApply(2, EncodeDocument({ 5, "five" })));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), machine.mApply(3, EncodeDocument({ 7, "other" })));
    CPPUNIT_ASSERT_EQUAL(std::string("seven"), state.Current().mBytes);
    CPPUNIT_ASSERT_EQUAL(std::string("9"), machine.mApply(4, EncodeDocument({ 9, "nine" })));
    CPPUNIT_ASSERT_EQUAL(std::string("nine"), state.Current().mBytes);
    CPPUNIT_ASSERT_EQUAL(2, changes);
  }

  void SnapshotRestoresDocument()
  {
    DocumentState first([] {});
    const std::string text(100'000, 'r');
    first.MakeStateMachine().mApply(1, EncodeDocument({ 4, text }));
    CPPUNIT_ASSERT(first.EncodedDocument().size() < text.size() / 10);
    DocumentState second([] {});
    CPPUNIT_ASSERT(
      second.MakeStateMachine().mRestore(first.MakeStateMachine().mSnapshot()).has_value());
    CPPUNIT_ASSERT_EQUAL(DocumentVersion(4), second.Current().mVersion);
    CPPUNIT_ASSERT(second.Current().mBytes == text);
    // A snapshot taken before the first document.
    DocumentState empty([] {});
    CPPUNIT_ASSERT(
      empty.MakeStateMachine().mRestore(DocumentState([] {}).MakeStateMachine().mSnapshot()));
    CPPUNIT_ASSERT_EQUAL(DocumentVersion(0), empty.Current().mVersion);
  }

  void RejectsDamagedDocuments()
  {
    const std::string packed = EncodeDocument({ 4, std::string(1000, 'a') + "tail" });
    for (std::size_t length = 0; length < packed.size(); ++length) {
      CPPUNIT_ASSERT(!DecodeDocument(packed.substr(0, length)).has_value());
    }
    std::string huge = packed;
    huge[14] = '\x7f';
    CPPUNIT_ASSERT(!DecodeDocument(huge).has_value());
    DocumentState state([] {});
    CPPUNIT_ASSERT(!state.MakeStateMachine().mRestore(packed.substr(0, 20)).has_value());
  }

  void MergesGreatestRecords()
  {
    const std::string low(16, 'a');
    const std::string middle(16, 'm');
    const std::string high(16, '\xff');
    CPPUNIT_ASSERT(MergeTopRecords({ low + high, middle }, 2) == high + middle);
    // Duplicates are kept, and an incomplete record is ignored.
    CPPUNIT_ASSERT(MergeTopRecords({ middle + "zzzz", middle + low }, 3) == middle + middle + low);
    CPPUNIT_ASSERT(MergeTopRecords({ "zzz", "" }, 3).empty());
    CPPUNIT_ASSERT(MergeTopRecords({ low }, 0).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
