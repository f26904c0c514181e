// Guards against result and event numbers that are used but not listed, listed but not used, or
// used twice, and against stale pages in docs.
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

// Names that follow "Event::" or "Result::" in the sources of the programs.
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
CheckTable(const Infos& aInfos, const std::string& aEnum)
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
  void ResultsAreListedAndUsed() { CheckTable(AllResults(), "Result"); }
  void EventsAreListedAndUsed() { CheckTable(AllEvents(), "Event"); }

  // Run scripts/docs.sh when this fails.
  void PagesAreCurrent()
  {
    CPPUNIT_ASSERT(ReadAll(SOURCE_FOLDER "/docs/results.md") == ResultsPage());
    CPPUNIT_ASSERT(ReadAll(SOURCE_FOLDER "/docs/events.md") == EventsPage());
  }

  // A generator draws the same values in every run: the first numbers of the fixed seed.
  void PropertiesHaveAFixedSeed()
  {
    const char* const parameters = std::getenv("RC_PARAMS");
    CPPUNIT_ASSERT(parameters != nullptr && std::string(parameters).find("seed=") == 0);
    std::ostringstream printed;
    std::streambuf* const before = std::cerr.rdbuf(printed.rdbuf());
    const bool held = rc::check("the seed", [] {});
    std::cerr.rdbuf(before);
    CPPUNIT_ASSERT(held);
    // RapidCheck prints the configuration only when none of it was given from outside.
    CPPUNIT_ASSERT(printed.str().find("Using configuration: seed=") == std::string::npos ||
                   printed.str().find(std::string("seed=20261204")) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesTest);
