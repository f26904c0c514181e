// Guards against a faulty upstream that corrupts an answer, and against classifying a failure as
// "not run" although the request ran. Every row runs the simulated upstream against the real HTTP
// client and codec.
#include "codec.h"
#include "http_client.h"
#include "standin.h"
#include "test_address.h"
#include "upstream_reply.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace apricotyard;
using std::chrono::milliseconds;

namespace {

// Limits the duration of the rows that must time out; all others end much earlier.
constexpr Duration kTimeout = milliseconds(400);
constexpr IndexVersion kVersion = 7;

struct FaultRow
{
  const char* mName;
  // The body of POST /v1/faults.
  const char* mFaults;
  // A connection is opened before the fault is set.
  bool mOpenBefore;
  // The field "failure" of the log event SubrequestFailed; empty if the reply is merged.
  const char* mFailure;
  bool mMayHaveStarted;
  // How often the upstream ran the sub-request, or -1 if it cannot be asked because its process is
  // gone or the connection is silent.
  int mRuns;
  Result mResult;
};

constexpr FaultRow kRows[] = {
  { "no fault", "{}", true, "", true, 1, Result::Ok },
  { "slow", R"({"delay_factor":20})", true, "", true, 1, Result::Ok },
  { "cost of a connection", R"({"connect_cost_ms":20})", false, "", true, 1, Result::Ok },
  { "misleading endpoints",
    R"({"misleading_health":true,"misleading_load":true})",
    true,
    "",
    true,
    1,
    Result::Ok },
  { "drain just begun", R"({"drain":true})", true, "", true, 1, Result::Ok },
  { "shed", R"({"shed":true})", true, "shed", false, 0, Result::CoverageBelowMinimum },
  { "version retired",
    R"({"versions":[8]})",
    true,
    "version_gone",
    false,
    0,
    Result::CoverageBelowMinimum },
  { "map changed",
    R"({"map":2,"range_low":0,"range_high":9})",
    true,
    "version_gone",
    false,
    0,
    Result::CoverageBelowMinimum },
  { "refused connection",
    R"({"refuse_connections":true})",
    false,
    "not_connected",
    false,
    0,
    Result::CoverageBelowMinimum },
  { "dropped reply",
    R"({"drop_replies":true})",
    true,
    "timed_out",
    true,
    1,
    Result::CoverageBelowMinimum },
  { "silent connection",
    R"({"silence_connections":true})",
    true,
    "timed_out",
    true,
    -1,
    Result::CoverageBelowMinimum },
  { "closed after reading",
    R"({"close_after_read":true})",
    false,
    "lost",
    true,
    1,
    Result::CoverageBelowMinimum },
  { "truncated reply",
    R"({"truncate_reply":true})",
    true,
    "lost",
    true,
    1,
    Result::CoverageBelowMinimum },
  { "crossed reply",
    R"({"crossed_reply":true})",
    true,
    "bad_reply",
    true,
    1,
    Result::CoverageBelowMinimum },
  { "oversized reply",
    R"({"oversized_reply":true})",
    true,
    "bad_reply",
    true,
    1,
    Result::CoverageBelowMinimum },
  { "wrong version",
    R"({"wrong_version":true})",
    true,
    "bad_reply",
    true,
    1,
    Result::CoverageBelowMinimum },
  { "crash", R"({"crash_on":"marked"})", false, "lost", true, -1, Result::CoverageBelowMinimum },
};

// The upstream reads the request on a reused connection, which is then lost.
constexpr FaultRow kReusedRows[] = {
  { "crash, reused connection",
    R"({"crash_on":"marked"})",
    true,
    "lost",
    true,
    -1,
    Result::CoverageBelowMinimum },
  { "closed after reading, reused connection",
    R"({"close_after_read":true})",
    true,
    "lost",
    true,
    1,
    Result::CoverageBelowMinimum },
};

struct BadFaults
{
  const char* mBody;
  const char* mMessage;
};

constexpr BadFaults kBadFaults[] = {
  { "", "not a JSON object" },
  { "[]", "not a JSON object" },
  { R"({"drop_reply":true})", "unknown field 'drop_reply'" },
  { R"({"drop_replies":1})", "'drop_replies' must be true or false" },
  { R"({"delay_factor":0})", "'delay_factor' must be an integer from 1 to 10000" },
  { R"({"delay_factor":-1})", "'delay_factor'" },
  { R"({"range_low":1})", "'range_low' and 'range_high'" },
  { R"({"range_low":5,"range_high":5})", "'range_low' and 'range_high'" },
  { R"({"versions":["a"]})", "'versions'" },
  { R"({"crash_on":7})", "'crash_on' must be a text" },
};

StandinSettings
MakeSettings()
{
  StandinSettings settings;
  UpstreamInfo& info = settings.mInfo;
  info.mId = "a-1";
  info.mService = "a";
  info.mMap = 1;
  info.mDataCentre = "dc";
  info.mAddress = { TestIp(2), 7910 };
  info.mSlots = 1;
  info.mConnections = 10;
  info.mVersions = { kVersion };
  settings.mServiceTime = milliseconds(1);
  return settings;
}

enum class Via : std::uint8_t
{
  Search,  // the first connection for sub-requests
  Second,  // the second connection for sub-requests
  Control, // the connection for fault control and status
};

struct Step
{
  Via mVia = Via::Control;
  ClientRequest mRequest;
  // If true, the next step is sent after the reply to this one; otherwise immediately.
  bool mAwaitReply = true;
};

Step
Control(const char* aMethod, const char* aPath, const std::string& aBody = "")
{
  Step step;
  step.mRequest.mMethod = aMethod;
  step.mRequest.mPath = aPath;
  step.mRequest.mBody = aBody;
  return step;
}

Step
Search(AttemptId aAttempt,
       const std::string& aBody,
       Via aVia = Via::Search,
       bool aAwaitReply = true)
{
  Step step;
  step.mVia = aVia;
  step.mAwaitReply = aAwaitReply;
  step.mRequest.mPath = "/v1/search";
  step.mRequest.mBody = aBody;
  step.mRequest.mTimeout = kTimeout;
  step.mRequest.mExpectedHeader = { kHeaderSubrequest, fmt::to_string(aAttempt) };
  step.mRequest.mHeaders = { { kHeaderSubrequest, fmt::to_string(aAttempt) },
                             { kHeaderDeadline, "300" },
                             { kHeaderVersion, fmt::to_string(kVersion) },
                             { kHeaderMap, "1" } };
  return step;
}

// Runs a simulated upstream and a list of requests to it in one event loop.
class Script
{
public:
  explicit Script(std::vector<Step> aSteps)
    : mSteps(std::move(aSteps))
    , mReplies(mSteps.size())
  {
  }

  // Returns the replies in the order of the steps.
  std::vector<ClientReply> Run()
  {
    auto chart = LoadStandinChart(SOURCE_FOLDER "/charts/upstream.toml");
    CPPUNIT_ASSERT(chart.has_value());
    mStandin = std::make_unique<Standin>(mLoop, MakeSettings(), *std::move(chart), [this] {
      // Deferred, because the object must not be destroyed during its own call.
      mLoop.AddTimer(SteadyNow(), [this] { mStandin.reset(); });
    });
    const auto started = mStandin->Start();
    CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().mMessage, started.has_value());
    SendFrom(0);
    mLoop.Run();
    return mReplies;
  }

private:
  void SendFrom(std::size_t aStep)
  {
    if (aStep == mSteps.size()) {
      return;
    }
    Step& step = mSteps[aStep];
    const bool awaitReply = step.mAwaitReply;
    step.mRequest.mAddress = MakeSettings().mInfo.mAddress;
    mClients[static_cast<std::size_t>(step.mVia)].Send(
      std::move(step.mRequest), [this, aStep, awaitReply](ClientReply aReply) {
        mReplies[aStep] = std::move(aReply);
        if (++mDone == mSteps.size()) {
          mLoop.Stop();
        } else if (awaitReply) {
          SendFrom(aStep + 1);
        }
      });
    if (!awaitReply) {
      SendFrom(aStep + 1);
    }
  }

  std::vector<Step> mSteps;
  std::vector<ClientReply> mReplies;
  std::size_t mDone = 0;
  Loop mLoop;
  HttpClient mClients[3] = { { mLoop, "", 1 }, { mLoop, "", 1 }, { mLoop, "", 1 } };
  std::unique_ptr<Standin> mStandin;
};

int
RunsIn(const ClientReply& aReply, const std::string& aKey)
{
  const auto body = nlohmann::json::parse(aReply.mBody, nullptr, false);
  CPPUNIT_ASSERT_MESSAGE(aReply.mBody, body.is_object());
  return body["runs"].value(aKey, 0);
}

// An engine that has sent one attempt for a query of a single shard.
struct EngineFixture
{
  Engine mEngine;
  Rng mRng{ 1 };
  TimePoint mNow{ std::chrono::seconds(1) };
  Actions mActions;

  EngineFixture()
  {
    auto config = std::make_shared<Config>();
    config->mClasses["check"].mName = "check";
    config->mCollections["desk"] = { "desk", { "a" }, "check" };
    SetConfig(mEngine, config);
    UpstreamInfo info = MakeSettings().mInfo;
    info.mState = UpstreamState::Ready;
    SetUpstreams(mEngine, { info });
    QueryRequest request;
    request.mId = 1;
    request.mCollection = "desk";
    SubmitQuery(mEngine, request, mNow, mRng, mActions);
  }

  AttemptId Sent() const
  {
    for (const Action& action : mActions) {
      if (const auto* const send = std::get_if<SendSubrequest>(&action)) {
        return send->mAttempt;
      }
    }
    CPPUNIT_FAIL("the engine sent no sub-request");
    return 0;
  }

  const Answer* Answered() const
  {
    for (const Action& action : mActions) {
      if (const auto* const respond = std::get_if<Respond>(&action)) {
        return &respond->mAnswer;
      }
    }
    return nullptr;
  }

  // Returns the field "failure" of the first log event SubrequestFailed, or an empty string.
  std::string LoggedFailure() const
  {
    for (const Action& action : mActions) {
      const auto* const decision = std::get_if<LogDecision>(&action);
      if (decision == nullptr || decision->mEvent != Event::SubrequestFailed) {
        continue;
      }
      for (const LogField& field : decision->mFields) {
        if (field.mKey == "failure") {
          return field.mValue;
        }
      }
    }
    return "";
  }

  void Deliver(std::variant<SubrequestReply, SubrequestFailure> aOutcome)
  {
    if (auto* const reply = std::get_if<SubrequestReply>(&aOutcome)) {
      OnReply(mEngine, std::move(*reply), mNow, mRng, mActions);
    } else {
      OnFailure(mEngine, std::get<SubrequestFailure>(aOutcome), mNow, mRng, mActions);
    }
    // Retries get no reply, so the query ends at its deadline at the latest.
    for (int i = 0; i < 100 && Answered() == nullptr; ++i) {
      mNow = *NextTimer(mEngine);
      OnTimer(mEngine, mNow, mRng, mActions);
    }
  }
};

void
RunRow(const FaultRow& aRow)
{
  EngineFixture engine;
  const AttemptId attempt = engine.Sent();
  std::vector<Step> steps;
  if (aRow.mOpenBefore) {
    steps.push_back(Search(1, "warm"));
  }
  steps.push_back(Control("POST", "/v1/faults", aRow.mFaults));
  steps.push_back(Search(attempt, "marked query"));
  steps.push_back(Control("GET", "/v1/runs"));
  const std::vector<ClientReply> replies = Script(std::move(steps)).Run();
  const std::size_t faults = aRow.mOpenBefore ? 1 : 0;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mName, 200, replies.front().mStatus);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mName, 200, replies[faults].mStatus);
  const auto outcome = ReadUpstreamReply(attempt, replies[faults + 1]);
  if (const auto* const failure = std::get_if<SubrequestFailure>(&outcome)) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mName, aRow.mMayHaveStarted, MayHaveStarted(failure->mKind));
  }
  engine.Deliver(outcome);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mName, std::string(aRow.mFailure), engine.LoggedFailure());
  CPPUNIT_ASSERT_MESSAGE(aRow.mName, engine.Answered() != nullptr);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mName,
                               std::string(Describe(aRow.mResult).mName),
                               std::string(Describe(engine.Answered()->mResult).mName));
  if (aRow.mRuns >= 0) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mName, aRow.mRuns, RunsIn(replies.back(), "marked query"));
  }
}

} // namespace

class UpstreamContractTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamContractTest);
  CPPUNIT_TEST(ClassifiesEveryFault);
  CPPUNIT_TEST(SendsOnceOnReusedConnection);
  CPPUNIT_TEST(NewConnectionsWorkBesideSilentOnes);
  CPPUNIT_TEST(CancelsWork);
  CPPUNIT_TEST(RefusesMalformedFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  void ClassifiesEveryFault()
  {
    for (const FaultRow& row : kRows) {
      RunRow(row);
    }
  }

  // Guards against libcurl repeating a request on its own. The upstream would then run one attempt
  // twice, and a crash would look like a refused connection, which is classified as "not run".
  void SendsOnceOnReusedConnection()
  {
    for (const FaultRow& row : kReusedRows) {
      RunRow(row);
    }
  }

  void NewConnectionsWorkBesideSilentOnes()
  {
    const auto replies = Script({ Search(1, "warm"),
                                  Control("POST", "/v1/faults", R"({"silence_connections":true})"),
                                  Search(2, "silent"),
                                  Search(3, "fresh") })
                           .Run();
    CPPUNIT_ASSERT(replies[2].mEnd == TransferEnd::TimedOut);
    // The timeout closed the silent connection, so the last request opened a new one.
    CPPUNIT_ASSERT(replies[3].mEnd == TransferEnd::Complete && !replies[3].mReusedConnection);
  }

  void CancelsWork()
  {
    // Only one of the two requests can take the slot. The load requests are round trips that give
    // both requests time to arrive.
    const auto replies = Script({ Control("POST", "/v1/faults", R"({"delay_factor":200})"),
                                  Search(11, "first", Via::Search, false),
                                  Search(12, "second", Via::Second, false),
                                  Control("GET", "/v1/load"),
                                  Control("GET", "/v1/load"),
                                  Control("GET", "/v1/load"),
                                  Control("DELETE", "/v1/search/12"),
                                  Control("DELETE", "/v1/search/11"),
                                  Control("GET", "/v1/runs") })
                           .Run();
    int notRun = 0;
    for (const ClientReply& reply : { replies[1], replies[2] }) {
      notRun += reply.Header(kHeaderNotRun) == "true" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, notRun);
    // "Not run" must be correct: only the other request may have run.
    CPPUNIT_ASSERT_EQUAL(1, RunsIn(replies.back(), "first") + RunsIn(replies.back(), "second"));
  }

  void RefusesMalformedFaults()
  {
    for (const BadFaults& bad : kBadFaults) {
      const auto request = DecodeFaults(bad.mBody, {});
      CPPUNIT_ASSERT_MESSAGE(bad.mBody, !request.has_value());
      CPPUNIT_ASSERT_MESSAGE(request.error().mMessage,
                             request.error().mMessage.find(bad.mMessage) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamContractTest);
