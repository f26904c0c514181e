// Tests of the account of lost service, on made-up log lines. They guard against losses that are
// counted twice, not at all, or under a wrong cause.
#include "service_account.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace apricotyard;

namespace {

// A log of a gateway; each element is the text after the program's name.
std::vector<LogLine>
ParseLog(const std::vector<std::string>& aLines)
{
  std::vector<LogLine> log;
  int millisecond = 0;
  for (const std::string& line : aLines) {
    log.push_back(ParseLogLine("2026-12-06T16:43:33." + std::to_string(100 + millisecond++) +
                               "Z level=info program=apricot-gateway " + line));
  }
  return log;
}

std::string
Answer(const std::string& aRequest, const std::string& aRest)
{
  return "event=1114 name=RequestAnswered request=" + aRequest + " route=search version=2 " + aRest;
}

// Kind and cause of the only loss in the log.
std::string
OnlyLoss(const std::vector<std::string>& aLines)
{
  const std::vector<Loss> losses = FindLosses(ParseLog(aLines));
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, losses.size());
  return std::string(LossKindName(losses[0].mKind)) + ": " + losses[0].mCause;
}

void
CheckLoss(const std::string& aExpected, const std::vector<std::string>& aLines)
{
  CPPUNIT_ASSERT_EQUAL(aExpected, OnlyLoss(aLines));
}

} // namespace

class ServiceAccountTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServiceAccountTest);
  CPPUNIT_TEST(ServedRequestsAreNoLoss);
  CPPUNIT_TEST(RefusalsNameTheirCause);
  CPPUNIT_TEST(FailuresNameTheLastFailedAttempt);
  CPPUNIT_TEST(PartialAndLateAnswersAreLosses);
  CPPUNIT_TEST(AttemptsOfOtherRequestsDoNotCount);
  CPPUNIT_TEST(LossesNameWhereAndWhen);
  CPPUNIT_TEST(CountsAreSorted);
  CPPUNIT_TEST(FormatsTableAndJson);
  CPPUNIT_TEST_SUITE_END();

public:
  void ServedRequestsAreNoLoss()
  {
    const std::vector<Loss> losses = FindLosses(ParseLog({
      Answer("a", "status=200 parts=3 answered=3 sends=3 objective_over=false passed_on=0"),
      // Hedged, but whole and in time.
      Answer("b", "status=200 parts=3 answered=3 sends=5 objective_over=false passed_on=0"),
      // The replica's own answer.
      Answer("c", "status=404 parts=1 answered=1 sends=1 objective_over=false passed_on=0"),
      // Answered by another gateway.
      Answer("d", "status=200 parts=3 answered=0 sends=0 objective_over=false passed_on=1"),
      "event=1322 name=DocumentAdopted version=3",
      "",
      "no line of this format \"",
    }));
    CPPUNIT_ASSERT(losses.empty());
  }

  void RefusalsNameTheirCause()
  {
    CheckLoss("refused: the gateway has no document",
              { "event=1114 name=RequestAnswered request=a route=\"\" version=0 status=503 parts=0 "
                "answered=0 sends=0" });
    CheckLoss("refused: no replica could take it",
              { Answer("a", "status=503 parts=2 answered=0 sends=0 deadline_over=false") });
    CheckLoss("refused: no replica became free before the deadline",
              { Answer("a", "status=503 parts=2 answered=0 sends=0 deadline_over=true") });
    CheckLoss("refused: the limit of the caller is reached",
              { Answer("a", "status=429 parts=0 answered=0 sends=0") });
    CheckLoss("refused: the key is missing or unknown",
              { Answer("a", "status=401 parts=0 answered=0 sends=0") });
    // A reason that the line names is more exact than what follows from the status.
    CheckLoss("refused: no valid lease",
              { Answer("a", "status=503 parts=0 answered=0 sends=0 reason=\"no valid lease\"") });
    CheckLoss("refused: equal requests crash replicas",
              { "event=1112 name=RequestQuarantined request=a fingerprint=1",
                Answer("a", "status=503 parts=2 answered=0 sends=0") });
    CheckLoss("refused: rejected as BodyTooLarge",
              { "event=1005 name=RequestRejected peer=127.0.0.1 path=/ result=BodyTooLarge" });
  }

  void FailuresNameTheLastFailedAttempt()
  {
    const std::string failed = Answer("a", "status=502 parts=1 answered=0 sends=2 passed_on=0");
    const std::string attempt = "event=1115 name=AttemptFailed request=a upstream=u ";
    CheckLoss("failed: the replica's host refused the connection",
              { attempt + "end=2 transfer=4 status=0 refused=false",
                attempt + "end=4 transfer=1 status=0 refused=true",
                failed });
    CheckLoss("failed: a new connection to the replica was lost",
              { attempt + "end=4 transfer=3 status=0 reused=false refused=false", failed });
    CheckLoss("failed: an open connection to the replica was lost",
              { attempt + "end=4 transfer=3 status=0 reused=true refused=false", failed });
    CheckLoss("failed: the replica did not answer in time",
              { attempt + "end=4 transfer=4 status=0 refused=false", failed });
    CheckLoss("failed: the replica shed the request",
              { attempt + "end=2 transfer=0 status=503 refused=false", failed });
    CheckLoss("failed: the replica answered 500",
              { attempt + "end=1 transfer=0 status=500 refused=false", failed });
    CheckLoss("failed: another gateway gave no answer",
              { "event=1124 name=PassOnFailed request=a transfer=4 status=0",
                Answer("a", "status=504 parts=1 answered=0 sends=0 passed_on=1") });
    CheckLoss("failed: replicas were silent until the deadline",
              { Answer("a", "status=504 parts=1 answered=0 sends=1 deadline_over=true") });
  }

  void PartialAndLateAnswersAreLosses()
  {
    CheckLoss("partial: no replica of a shard could be asked",
              { Answer("a", "status=200 parts=3 answered=2 sends=2 objective_over=true") });
    CheckLoss("partial: a shard was silent until the deadline",
              { Answer("a", "status=200 parts=3 answered=2 sends=4 objective_over=true") });
    CheckLoss("late: a slow replica or queue",
              { Answer("a", "status=200 parts=3 answered=3 sends=3 objective_over=true") });
    CheckLoss("late: slow in spite of a hedge",
              { Answer("a", "status=200 parts=3 answered=3 sends=4 objective_over=true") });
    CheckLoss("late: sent again: the replica shed the request",
              { "event=1115 name=AttemptFailed request=a end=2 transfer=0 status=503",
                Answer("a", "status=200 parts=3 answered=3 sends=4 objective_over=true") });
    CheckLoss("late: the caller closed its connection before the answer",
              { "event=1116 name=CallerGone request=a" });
  }

  void AttemptsOfOtherRequestsDoNotCount()
  {
    CheckLoss("failed: the log names no failed attempt",
              { "event=1115 name=AttemptFailed request=b end=4 transfer=3 status=0",
                Answer("a", "status=502 parts=1 answered=0 sends=1 deadline_over=false") });
    // The id of a request may return with the next process.
    CheckLoss("failed: the log names no failed attempt",
              { "event=1115 name=AttemptFailed request=a end=4 transfer=3 status=0",
                "event=1000 name=ProcessStarted host=gw-1",
                Answer("a", "status=502 parts=1 answered=0 sends=1 deadline_over=false") });
  }

  void LossesNameWhereAndWhen()
  {
    const std::vector<Loss> losses = FindLosses(ParseLog({
      Answer("a", "status=503 parts=1 sends=0"),
      "event=1000 name=ProcessStarted host=gw-1 data_centre=dc-1",
      Answer("b", "status=503 parts=1 sends=0 workspace=\"acme inc\""),
      Answer("c", "status=503 parts=1 sends=0 data_centre=dc-2"),
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, losses.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12-06T16:43:33"), losses[1].mSecond);
    CPPUNIT_ASSERT_EQUAL(std::string("search"), losses[1].mRoute);
    CPPUNIT_ASSERT_EQUAL(std::string("acme inc"), losses[1].mWorkspace);
    CPPUNIT_ASSERT_EQUAL(std::string(), losses[0].mDataCentre);
    CPPUNIT_ASSERT_EQUAL(std::string("dc-1"), losses[1].mDataCentre);
    CPPUNIT_ASSERT_EQUAL(std::string("dc-2"), losses[2].mDataCentre);
  }

  void CountsAreSorted()
  {
    const std::vector<Loss> losses = {
      { LossKind::Late, "x", "10:00:02", "b", "", "" },
      { LossKind::Late, "x", "10:00:02", "a", "", "" },
      { LossKind::Failed, "x", "10:00:01", "a", "", "" },
    };
    const std::vector<LossRow> routes = CountLosses(losses, LossDimension::Route);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), routes[0].mValue);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, routes[0].Total());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         routes[0].mCounts[static_cast<std::size_t>(LossKind::Late)]);
    const std::vector<LossRow> seconds = CountLosses(losses, LossDimension::Second);
    CPPUNIT_ASSERT_EQUAL(std::string("10:00:01"), seconds[0].mValue);
    const std::vector<LossRow> causes = CountLosses(losses, LossDimension::Cause);
    CPPUNIT_ASSERT_EQUAL(std::string("late: x"), causes[0].mValue);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, causes.size());
  }

  void FormatsTableAndJson()
  {
    const std::vector<Loss> losses = {
      { LossKind::Refused, "x", "10:00:01", "a", "dc", "w" },
      { LossKind::Refused, "x", "10:00:02", "b", "dc", "" },
    };
    const std::string table = FormatAccount(losses, 1);
    CPPUNIT_ASSERT(table.starts_with("requests that lost service: 2\n"));
    CPPUNIT_ASSERT(table.find("\ncause       lost  refused  failed  partial  late\n"
                              "refused: x  2     2        0       0        0\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(table.find("(1 more)") != std::string::npos);
    const nlohmann::json account = nlohmann::json::parse(FormatAccountJson(losses));
    CPPUNIT_ASSERT_EQUAL(2, account["lost"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, account["data_centre"][0]["refused"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, account["workspace"].size());
    CPPUNIT_ASSERT_EQUAL(0, nlohmann::json::parse(FormatAccountJson({}))["lost"].get<int>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceAccountTest);
