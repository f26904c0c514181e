// Tests that every result and event number is listed, used and unique, and that the reference pages
// in docs are up to date.
#include "events.h"
#include "results.h"
#include "tables.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <regex>
#include <set>
#include <sstream>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace apricotyard;

namespace {

std::string
ReadAll(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the names that follow "Event::" or "Result::" in the sources in src.
std::set<std::string>
UsedNames(const std::string& aEnum)
{
  std::set<std::string> names;
  const std::regex pattern("\\b" + aEnum + "::([A-Z][A-Za-z]+)");
  for (const auto& entry : std::filesystem::directory_iterator(SOURCE_FOLDER "/src")) {
    const std::string text = ReadAll(entry.path());
    for (auto match = std::sregex_iterator(text.begin(), text.end(), pattern);
         match != std::sregex_iterator();
         ++match) {
      names.insert((*match)[1]);
    }
  }
  return names;
}

template<typename Infos>
void
CheckListedAndUsed(const Infos& aInfos, const std::string& aEnum)
{
  std::set<std::uint16_t> numbers;
  std::set<std::string> listed;
  for (const auto& info : aInfos) {
    CPPUNIT_ASSERT_MESSAGE("number used twice: " + std::to_string(info.mNumber),
                           numbers.insert(info.mNumber).second);
    listed.emplace(info.mName);
  }
  const std::set<std::string> used = UsedNames(aEnum);
  for (const std::string& name : listed) {
    CPPUNIT_ASSERT_MESSAGE(aEnum + " is listed but not used: " + name, used.contains(name));
  }
  for (const std::string& name : used) {
    CPPUNIT_ASSERT_MESSAGE(aEnum + " is used but not listed: " + name, listed.contains(name));
  }
}

} // namespace

class TablesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TablesTest);
  CPPUNIT_TEST(ResultsAreListedAndUsed);
  CPPUNIT_TEST(EventsAreListedAndUsed);
  CPPUNIT_TEST(PagesAreCurrent);
  CPPUNIT_TEST(PropertiesHaveAFixedSeed);
  CPPUNIT_TEST_SUITE_END();

public:
  void ResultsAreListedAndUsed() { CheckListedAndUsed(AllResults(), "Result"); }
  void EventsAreListedAndUsed() { CheckListedAndUsed(AllEvents(), "Event"); }

  // If this test fails, run scripts/docs.sh.
  void PagesAreCurrent()
  {
    CPPUNIT_ASSERT(ReadAll(SOURCE_FOLDER "/docs/results.md") == ResultsPage());
    CPPUNIT_ASSERT(ReadAll(SOURCE_FOLDER "/docs/events.md") == EventsPage());
  }

  // Generators must draw the same values in every run, so RapidCheck must use the fixed seed.
  void PropertiesHaveAFixedSeed()
  {
    const char* const parameters = std::getenv("RC_PARAMS");
    CPPUNIT_ASSERT(parameters != nullptr && std::string(parameters).find("seed=") == 0);
    std::ostringstream printed;
    std::streambuf* const originalBuffer = std::cerr.rdbuf(printed.rdbuf());
    const bool passed = rc::check("the seed", [] {});
    std::cerr.rdbuf(originalBuffer);
    CPPUNIT_ASSERT(passed);
    // RapidCheck prints its configuration only if no part of it was set from outside.
    CPPUNIT_ASSERT(printed.str().find("Using configuration: seed=") == std::string::npos ||
                   printed.str().find(std::string("seed=20261204")) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesTest);
