// Guards against a merge that loses a change, a comment or a conflict, and against a section whose
// text changes another section.
#include "config_merge.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

const std::string kBase = R"(# Owned by the platform team.

# Inspectors wait for these.
[class.check]
deadline = "290ms"

[class.list]
deadline = "5s" # renewal lists

[collection.desk]
services = ["a", "b"]
default_class = "check"
)";

std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const std::size_t position = aText.find(aOld);
  CPPUNIT_ASSERT_MESSAGE(aOld, position != std::string::npos);
  return aText.replace(position, aOld.size(), aNew);
}

std::vector<DocumentSection>
Split(const std::string& aText)
{
  auto sections = SplitSections(aText);
  CPPUNIT_ASSERT_MESSAGE(sections ? "" : sections.error().mMessage, sections.has_value());
  return *sections;
}

MergeResult
Merge(const std::string& aTheirs, const std::string& aMine)
{
  return MergeSections(Split(kBase), Split(aTheirs), Split(aMine));
}

} // namespace

class ConfigMergeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigMergeTest);
  CPPUNIT_TEST(SplitKeepsTextAndComments);
  CPPUNIT_TEST(MergesEditsOfDifferentSections);
  CPPUNIT_TEST(ReportsConflictOfOneSection);
  CPPUNIT_TEST(EqualEditsDoNotConflict);
  CPPUNIT_TEST(MergesAddedAndRemovedSections);
  CPPUNIT_TEST(RejectsSectionsWithoutOwnHeader);
  CPPUNIT_TEST(IgnoresHeaderInsideString);
  CPPUNIT_TEST(DiffShowsChangedLines);
  CPPUNIT_TEST(PatternsMatchSections);
  CPPUNIT_TEST_SUITE_END();

public:
  void SplitKeepsTextAndComments()
  {
    std::string joined;
    for (const DocumentSection& section : Split(kBase)) {
      joined += section.mText;
    }
    CPPUNIT_ASSERT_EQUAL(kBase, joined);
    CPPUNIT_ASSERT(SectionText(Split(kBase), "class.check").starts_with("# Inspectors wait"));
    CPPUNIT_ASSERT_EQUAL(std::string("# Owned by the platform team.\n"),
                         SectionText(Split(kBase), kPreamble));
  }

  void MergesEditsOfDifferentSections()
  {
    const std::string theirs = Replace(kBase, "290ms", "250ms");
    const std::string mine = Replace(kBase, "\"5s\" # renewal lists", "\"8s\" # all lists");
    const MergeResult result = Merge(theirs, mine);
    CPPUNIT_ASSERT(result.mConflicts.empty());
    CPPUNIT_ASSERT_EQUAL(Replace(mine, "290ms", "250ms"), result.mDocument);
  }

  void ReportsConflictOfOneSection()
  {
    const MergeResult result =
      Merge(Replace(kBase, "290ms", "250ms"), Replace(kBase, "290ms", "200ms"));
    CPPUNIT_ASSERT(std::vector<std::string>{ "class.check" } == result.mConflicts);
    CPPUNIT_ASSERT(result.mDocument.empty());
    // Removing a section that the other side edited is also a conflict.
    const std::string removed =
      Replace(kBase, "[class.list]\ndeadline = \"5s\" # renewal lists\n", "");
    CPPUNIT_ASSERT(std::vector<std::string>{ "class.list" } ==
                   Merge(Replace(kBase, "\"5s\"", "\"6s\""), removed).mConflicts);
  }

  void EqualEditsDoNotConflict()
  {
    const std::string edited = Replace(kBase, "290ms", "250ms");
    CPPUNIT_ASSERT_EQUAL(edited, Merge(edited, edited).mDocument);
  }

  void MergesAddedAndRemovedSections()
  {
    const std::string theirs = Replace(
      kBase, "[collection.desk]", "# New.\n[class.bulk]\ndeadline = \"9s\"\n\n[collection.desk]");
    const std::string mine =
      Replace(kBase, "[class.list]\ndeadline = \"5s\" # renewal lists\n\n", "") +
      "\n[caller.x]\ncollections = []\nclasses = []\n";
    const MergeResult result = Merge(theirs, mine);
    CPPUNIT_ASSERT(result.mConflicts.empty());
    const std::vector<DocumentSection> merged = Split(result.mDocument);
    CPPUNIT_ASSERT(SectionText(merged, "class.list").empty());
    CPPUNIT_ASSERT(SectionText(merged, "class.bulk").starts_with("# New."));
    CPPUNIT_ASSERT(!SectionText(merged, "caller.x").empty());
    CPPUNIT_ASSERT(!SectionText(merged, "collection.desk").empty());
  }

  void RejectsSectionsWithoutOwnHeader()
  {
    for (const char* const text : {
           "class = { check = { deadline = \"1s\" } }",
           "[class]\ncheck = { deadline = \"1s\" }",
           "class.check.deadline = \"1s\"",
           "loose = 1",
           "[class.a]\ndeadline = \"1s\"\n[class.b.c]\nx = 1\n[class.d]\ny = 1\n[class.b]\nz = 1",
           "[class.a\n",
         }) {
      const auto sections = SplitSections(text);
      CPPUNIT_ASSERT_MESSAGE(text, !sections.has_value());
      CPPUNIT_ASSERT(sections.error().mResult == Result::InvalidDocument);
    }
  }

  void IgnoresHeaderInsideString()
  {
    const auto sections =
      Split("[class.a]\nnote = \"\"\"\n[class.b]\n# text\"\"\"\n[class.c]\nx = 1\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, sections.size());
    CPPUNIT_ASSERT_EQUAL(std::string("[class.c]\nx = 1\n"), sections[2].mText);
  }

  void DiffShowsChangedLines()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(" b\n c\n-d\n+D\n e\n f\n"),
                         LineDiff("a\nb\nc\nd\ne\nf\ng\n", "a\nb\nc\nD\ne\nf\ng\n"));
    CPPUNIT_ASSERT_EQUAL(std::string(), LineDiff("a\n", "a\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("+a\n"), LineDiff("", "a\n"));
  }

  void PatternsMatchSections()
  {
    struct Case
    {
      const char* mPattern;
      const char* mName;
      bool mMatches;
    };
    for (const Case& c : { Case{ "*", "class.a", true },
                           Case{ "*", "preamble", true },
                           Case{ "class.*", "class.a", true },
                           Case{ "class.*", "classes.a", false },
                           Case{ "class.a", "class.a", true },
                           Case{ "class.a", "class.ab", false },
                           Case{ "preamble", "preamble", false },
                           Case{ "", "class.a", false },
                           Case{ ".*", "class.a", false } }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::string(c.mPattern) + " " + c.mName, c.mMatches, CoversSection(c.mPattern, c.mName));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigMergeTest);
