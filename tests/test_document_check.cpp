// Tests of the checks of a routing document before it is submitted. They guard against mistakes
// that are valid and therefore go unnoticed, against findings on documents without mistakes, and
// against differences that are not listed.
#include "caller_identity.h"
#include "document_check.h"

#include <functional>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;

namespace {

Route
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.mName = aName;
  route.mHost = "h";
  route.mPathPrefix = aPrefix;
  route.mTimeout = milliseconds(800);
  route.mObjective = milliseconds(100);
  route.mMaxAttempts = 2;
  route.mServices = { { "s", 1 }, { "t", 3 } };
  return route;
}

RoutingDocument
MakeDocument()
{
  RoutingDocument document;
  document.mVersion = 4;
  document.mRoutes = { MakeRoute("split", "/a/"), MakeRoute("all", "/b/") };
  document.mRoutes[1].mTarget = RouteTarget::AllShards;
  document.mRoutes[1].mTopRecords = 10;
  document.mRoutes[1].mMinCoverage = 0.9;
  document.mServices = { { "s", 20 }, { "t", 20 } };
  document.mWorkspaces = { { "w1", { DigestKey("k1") }, 1, 10, 5 },
                           { "w2", { DigestKey("k2"), DigestKey("k3") }, std::nullopt, 0, 0 } };
  return document;
}

// The only finding after aChange.
Finding
FindingAfter(const std::function<void(RoutingDocument&)>& aChange)
{
  RoutingDocument document = MakeDocument();
  aChange(document);
  const std::vector<Finding> findings = CheckDocument(document);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
  return findings.front();
}

void
CheckWarning(DocumentField aField,
             std::size_t aItem,
             const std::function<void(RoutingDocument&)>& aChange)
{
  const Finding finding = FindingAfter(aChange);
  CPPUNIT_ASSERT_MESSAGE(finding.mText, finding.mSeverity == Severity::Warning);
  CPPUNIT_ASSERT_MESSAGE(finding.mText, finding.mField.mField == aField);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(finding.mText, aItem, finding.mField.mItem);
}

const ItemChange*
FindChange(const DocumentDifference& aDifference, ItemKind aItem, ChangeKind aKind)
{
  const ItemChange* found = nullptr;
  for (const ItemChange& change : aDifference.mChanges) {
    if (change.mItem == aItem && change.mKind == aKind) {
      CPPUNIT_ASSERT(found == nullptr);
      found = &change;
    }
  }
  return found;
}

} // namespace

class DocumentCheckTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DocumentCheckTest);
  CPPUNIT_TEST(DocumentWithoutMistakesHasNoFindings);
  CPPUNIT_TEST(ErrorsAreThoseOfTheCoordinator);
  CPPUNIT_TEST(FindsRoutesThatNoRequestMatches);
  CPPUNIT_TEST(FindsPartsWithoutEffect);
  CPPUNIT_TEST(FindsLimitsThatContradictEachOther);
  CPPUNIT_TEST(FindsServicesWithoutUse);
  CPPUNIT_TEST(FindsWorkspacesWithoutUse);
  CPPUNIT_TEST(FindsQuotasThatContradictThemselves);
  CPPUNIT_TEST(EqualDocumentsDoNotDiffer);
  CPPUNIT_TEST(ListsDifferences);
  CPPUNIT_TEST(NamesRoutesOfAChangedService);
  CPPUNIT_TEST(OlderVersionIsFound);
  CPPUNIT_TEST_SUITE_END();

public:
  void DocumentWithoutMistakesHasNoFindings()
  {
    CPPUNIT_ASSERT(CheckDocument(MakeDocument()).empty());
    CPPUNIT_ASSERT(CheckDocument(RoutingDocument()).empty());
  }

  void ErrorsAreThoseOfTheCoordinator()
  {
    const auto change = [](RoutingDocument& aDocument) {
      aDocument.mRoutes[1].mServices[1].mService = "none";
      // Not reported beside an error.
      aDocument.mRoutes[0].mServices[0].mWeight = 0;
    };
    RoutingDocument document = MakeDocument();
    change(document);
    const Finding finding = FindingAfter(change);
    CPPUNIT_ASSERT(finding.mSeverity == Severity::Error);
    CPPUNIT_ASSERT_EQUAL(CheckRouting(document).error().mMessage, finding.mText);
    CPPUNIT_ASSERT(finding.mField.mField == DocumentField::RouteServices);
    CPPUNIT_ASSERT(finding.mField.mItem == 1 && finding.mField.mPart == 1);
  }

  void FindsRoutesThatNoRequestMatches()
  {
    for (const char* const prefix : { "/a?b/", "/a#b/", "/a%20b/" }) {
      CheckWarning(DocumentField::RoutePrefix, 0, [prefix](RoutingDocument& aDocument) {
        aDocument.mRoutes[0].mPathPrefix = prefix;
      });
    }
    for (const char* const host : { "", "a b", "h/x" }) {
      CheckWarning(DocumentField::RouteHost, 1, [host](RoutingDocument& aDocument) {
        aDocument.mRoutes[1].mHost = host;
      });
    }
  }

  void FindsPartsWithoutEffect()
  {
    const Finding zero = FindingAfter(
      [](RoutingDocument& aDocument) { aDocument.mRoutes[0].mServices[1].mWeight = 0; });
    CPPUNIT_ASSERT(zero.mField.mField == DocumentField::RouteWeight && zero.mField.mPart == 1);
    CheckWarning(DocumentField::RouteServices, 1, [](RoutingDocument& aDocument) {
      aDocument.mRoutes[1].mServices.push_back({ "s", 1 });
    });
  }

  void FindsLimitsThatContradictEachOther()
  {
    CheckWarning(DocumentField::RouteObjective, 0, [](RoutingDocument& aDocument) {
      aDocument.mRoutes[0].mObjective = milliseconds(801);
    });
    for (const std::uint32_t attempts : { 0U, kMaxUsefulAttempts + 1 }) {
      CheckWarning(DocumentField::RouteAttempts, 1, [attempts](RoutingDocument& aDocument) {
        aDocument.mRoutes[1].mMaxAttempts = attempts;
      });
    }
    CheckWarning(DocumentField::RouteAttempts, 0, [](RoutingDocument& aDocument) {
      aDocument.mRoutes[0].mRepeatable = false;
    });
    CheckWarning(DocumentField::RouteTopRecords, 1, [](RoutingDocument& aDocument) {
      aDocument.mRoutes[1].mTopRecords = 0;
    });
    CheckWarning(DocumentField::RouteCoverage, 1, [](RoutingDocument& aDocument) {
      aDocument.mRoutes[1].mMinCoverage = 90;
    });
  }

  void FindsServicesWithoutUse()
  {
    CheckWarning(DocumentField::ServiceName, 2, [](RoutingDocument& aDocument) {
      aDocument.mServices.push_back({ "u", 20 });
    });
    CheckWarning(DocumentField::ServiceName, 2, [](RoutingDocument& aDocument) {
      aDocument.mServices.push_back({ "s", 10 });
    });
    CheckWarning(DocumentField::ServiceConnections, 1, [](RoutingDocument& aDocument) {
      aDocument.mServices[1].mMaxConnections = 0;
    });
  }

  void FindsWorkspacesWithoutUse()
  {
    CheckWarning(DocumentField::WorkspaceKeys, 0, [](RoutingDocument& aDocument) {
      aDocument.mWorkspaces[0].mKeys.clear();
    });
    const Finding twice = FindingAfter([](RoutingDocument& aDocument) {
      aDocument.mWorkspaces[1].mKeys.push_back(DigestKey("k2"));
    });
    CPPUNIT_ASSERT(twice.mField.mField == DocumentField::WorkspaceKeys && twice.mField.mPart == 2);
    CPPUNIT_ASSERT(twice.mText.find(KeyFingerprint(DigestKey("k2"))) != std::string::npos);
    CheckWarning(DocumentField::Document, 0, [](RoutingDocument& aDocument) {
      for (Route& route : aDocument.mRoutes) {
        route.mPublic = true;
      }
    });
  }

  void FindsQuotasThatContradictThemselves()
  {
    const auto quota = [](double aRate, double aBurst) {
      return [aRate, aBurst](RoutingDocument& aDocument) {
        aDocument.mWorkspaces[0].mRate = aRate;
        aDocument.mWorkspaces[0].mBurst = aBurst;
      };
    };
    CheckWarning(DocumentField::WorkspaceBurst, 0, quota(0, 5));
    CheckWarning(DocumentField::WorkspaceBurst, 0, quota(10, 0.5));
    CheckWarning(DocumentField::WorkspaceRate, 0, quota(0.1, 0));
    RoutingDocument slow = MakeDocument();
    quota(0.1, 1)(slow);
    CPPUNIT_ASSERT(CheckDocument(slow).empty());
  }

  void EqualDocumentsDoNotDiffer()
  {
    RoutingDocument newer = MakeDocument();
    ++newer.mVersion;
    std::swap(newer.mRoutes[0], newer.mRoutes[1]);
    std::swap(newer.mWorkspaces[1].mKeys[0], newer.mWorkspaces[1].mKeys[1]);
    newer.mRoutes[0].mHost = "H:80";
    const DocumentDifference difference = CompareDocuments(MakeDocument(), newer);
    CPPUNIT_ASSERT(difference.mChanges.empty() && difference.mFindings.empty());
  }

  void ListsDifferences()
  {
    RoutingDocument newer = MakeDocument();
    ++newer.mVersion;
    newer.mRoutes[0].mTimeout = milliseconds(900);
    newer.mRoutes[1].mPathPrefix = "/c/";
    newer.mWorkspaces[0].mKeys = { DigestKey("k9") };
    newer.mWorkspaces[0].mPriority.reset();
    newer.mWorkspaces[1].mName = "w3";
    const DocumentDifference difference = CompareDocuments(MakeDocument(), newer);
    const ItemChange* const route = FindChange(difference, ItemKind::Route, ChangeKind::Changed);
    CPPUNIT_ASSERT(route != nullptr && route->mIndex == 0 && route->mFields.size() == 1);
    CPPUNIT_ASSERT(route->mFields[0].mField == DocumentField::RouteTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("800 ms"), route->mFields[0].mBefore);
    CPPUNIT_ASSERT_EQUAL(std::string("900 ms"), route->mFields[0].mAfter);
    CPPUNIT_ASSERT_EQUAL(std::string("all (h/c/)"),
                         FindChange(difference, ItemKind::Route, ChangeKind::Added)->mName);
    CPPUNIT_ASSERT_EQUAL(std::string("all (h/b/)"),
                         FindChange(difference, ItemKind::Route, ChangeKind::Removed)->mName);
    const ItemChange* const workspace =
      FindChange(difference, ItemKind::Workspace, ChangeKind::Changed);
    CPPUNIT_ASSERT(workspace != nullptr && workspace->mFields.size() == 2);
    CPPUNIT_ASSERT_EQUAL(KeyFingerprint(DigestKey("k1")), workspace->mFields[0].mBefore);
    CPPUNIT_ASSERT_EQUAL(std::string("none"), workspace->mFields[1].mAfter);
    CPPUNIT_ASSERT(FindChange(difference, ItemKind::Workspace, ChangeKind::Added) != nullptr);
    CPPUNIT_ASSERT(FindChange(difference, ItemKind::Workspace, ChangeKind::Removed) != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), difference.mChanges.size());
  }

  void NamesRoutesOfAChangedService()
  {
    RoutingDocument newer = MakeDocument();
    ++newer.mVersion;
    newer.mServices[0].mWarmupRate = 5;
    const DocumentDifference difference = CompareDocuments(MakeDocument(), newer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), difference.mChanges.size());
    CPPUNIT_ASSERT(difference.mChanges[0].mFields[0].mField == DocumentField::ServiceWarmupRate);
    CPPUNIT_ASSERT(difference.mChanges[0].mRoutes == (std::vector<std::string>{ "all", "split" }));
  }

  void OlderVersionIsFound()
  {
    const DocumentDifference difference = CompareDocuments(MakeDocument(), MakeDocument());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), difference.mFindings.size());
    CPPUNIT_ASSERT(difference.mFindings[0].mField.mField == DocumentField::Version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentCheckTest);
