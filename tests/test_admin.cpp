// Tests of the administration API and of apricotctl. They guard against:
// - calls that are accepted although they are malformed, lack permission or reach a follower,
// - changes that are lost or applied twice when a reply is lost or the process restarts,
// - heartbeats that are granted a lease although they are invalid.
#include "admin.h"
#include "cmdline.h"
#include "ctl_api.h"
#include "ctl_commands.h"
#include "ctl_explain.h"
#include "http_client.h"
#include "local_log.h"
#include "test_address.h"

#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace apricotyard;
using Json = nlohmann::json;

namespace {

constexpr std::uint16_t kPort = 7910;
const std::string kIp = TestIp(7);
const std::string kDocument = "[class.check]\ndeadline = \"1s\"\n";

std::string
DocumentWithTeams()
{
  return fmt::format("{}[team.admin]\nkey_sha256 = \"{}\"\nsections = [\"*\"]\n"
                     "[team.desk]\nkey_sha256 = \"{}\"\nsections = [\"class.check\"]\n",
                     kDocument,
                     KeySha256("admin"),
                     KeySha256("desk"));
}

rpc::ControlHost
LocalControlHost()
{
  rpc::ControlHost self;
  self.set_id("control-1");
  self.set_admin_address(fmt::format("{}:{}", kIp, kPort));
  self.set_rpc_address(fmt::format("{}:{}", kIp, kPort + 1));
  return self;
}

// The log of a follower. aLeader is the id of the leader, or empty if none is known.
class FollowerLog final : public ReplicatedLog
{
public:
  explicit FollowerLog(std::string aLeader)
    : mLeader(std::move(aLeader))
  {
  }
  void Propose(std::string /*aCommand*/, OutcomeHandler aDone) override
  {
    aDone(Fail(Result::NotLeader, "follower"));
  }
  void ReadBarrier(DoneHandler aDone) override { aDone(Fail(Result::NotLeader, "follower")); }
  void AddLearner(const LogMember& /*aMember*/, DoneHandler aDone) override { aDone({}); }
  void Promote(const std::string& /*aMember*/, DoneHandler aDone) override { aDone({}); }
  void Remove(const std::string& /*aMember*/, DoneHandler aDone) override { aDone({}); }
  LogStatus Status() const override
  {
    LogStatus status;
    status.mSelf = "control-1";
    status.mLeader = mLeader;
    return status;
  }

private:
  std::string mLeader;
};

// Runs a ControlCore and the administration API in an event loop on its own thread.
struct AdminFixture
{
  Loop mLoop;
  ControlCore mCore{ mLoop, LocalControlHost() };
  std::unique_ptr<HttpServer> mServer;
  std::thread mThread;

  explicit AdminFixture(std::unique_ptr<ReplicatedLog> aLog = nullptr,
                        const std::string& aFolder = "")
  {
    if (aLog == nullptr) {
      auto log =
        OpenLocalLog(mLoop, aFolder, { "control-1", { kIp, 1 } }, mCore.MakeStateMachine());
      CPPUNIT_ASSERT_MESSAGE(log ? "" : log.error().mMessage, log.has_value());
      aLog = *std::move(log);
    }
    mCore.Start(std::move(aLog));
    auto server = HttpServer::Builder(mLoop, { kIp, kPort })
                    .MaxBody(kMaxAdminBodyBytes)
                    .OnRequest([this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                      HandleAdminRequest(mCore, aRequest, aRespond);
                    })
                    .Start();
    CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error().mMessage, server.has_value());
    mServer = *std::move(server);
    mThread = std::thread([this] { mLoop.Run(); });
  }
  ~AdminFixture()
  {
    mLoop.Stop();
    mThread.join();
  }
  AdminFixture(const AdminFixture&) = delete;
  AdminFixture& operator=(const AdminFixture&) = delete;

  // Runs aWork on the thread of the loop and returns its result.
  template<typename Work>
  auto RunOnLoop(Work aWork)
  {
    std::promise<decltype(aWork(mCore))> result;
    mLoop.Post([&] { result.set_value(aWork(mCore)); });
    return result.get_future().get();
  }

  Revision LatestRevision()
  {
    return RunOnLoop([](ControlCore& aCore) { return NewestRevision(aCore.State()); });
  }

  std::string State()
  {
    return RunOnLoop([](ControlCore& aCore) { return SaveState(aCore.State()); });
  }

  AdminReply Call(const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "",
                  const std::string& aKey = "")
  {
    Loop loop;
    HttpClient client(loop, "", 1);
    ClientRequest request;
    request.mMethod = aMethod;
    request.mAddress = { kIp, kPort };
    request.mPath = aPath;
    request.mBody = aBody;
    request.mTimeout = std::chrono::seconds(30);
    if (!aKey.empty()) {
      request.mHeaders.push_back({ "Authorization", "Bearer " + aKey });
    }
    ClientReply httpReply;
    client.Send(std::move(request), [&](ClientReply aReply) {
      httpReply = std::move(aReply);
      loop.Stop();
    });
    loop.Run();
    CPPUNIT_ASSERT_MESSAGE(httpReply.mMessage, httpReply.mEnd == TransferEnd::Complete);
    return { httpReply.mStatus, Json::parse(httpReply.mBody, nullptr, false), {} };
  }

  AdminReply Submit(const std::string& aId,
                    Revision aBase,
                    const std::string& aDocument,
                    const std::string& aKey = "")
  {
    const Json body{ { "submission_id", aId },
                     { "base_revision", aBase },
                     { "document", aDocument },
                     { "author", "ada" },
                     { "reason", "test" } };
    return Call("POST", "/v1/admin/config", body.dump(), aKey);
  }
};

void
AssertResult(Result aResult, const AdminReply& aReply, const std::string& aContext)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aContext + ": " + aReply.Message(),
                               std::string(Describe(aResult).mName),
                               std::string(Describe(aReply.Code()).mName));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aContext, Describe(aResult).mHttpStatus, aReply.mStatus);
}

rpc::SyncRequest
MakeHeartbeat(Revision aRevision)
{
  rpc::SyncRequest request;
  request.set_host("entry-1");
  request.set_incarnation(5);
  request.set_data_centre("bolu");
  request.set_caller_address("127.0.0.1:7200");
  request.set_revision(aRevision);
  request.set_held_revision(aRevision);
  return request;
}

// Returns a path that only this process uses and that does not exist yet.
std::string
PrepareFolder(const std::string& aName)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / fmt::format("apricot-admin-{}-{}", getpid(), aName))
      .string();
  std::filesystem::remove_all(folder);
  return folder;
}

} // namespace

class AdminTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AdminTest);
  CPPUNIT_TEST(RejectsInvalidCalls);
  CPPUNIT_TEST(RejectsCallsWithoutPermission);
  CPPUNIT_TEST(FollowerReportsLeaderAddress);
  CPPUNIT_TEST(CallsReturnExpectedReplies);
  CPPUNIT_TEST(AcceptedChangesSurviveRestart);
  CPPUNIT_TEST(HeartbeatDeliversDocumentOrFails);
  CPPUNIT_TEST(ConcurrentClaimsAreBatched);
  CPPUNIT_TEST(ClientFollowsLeaderAndRetries);
  CPPUNIT_TEST(ExplainListsOnlyMatchingRequest);
  CPPUNIT_TEST(CommandLineParsesAndFormatsSafely);
  CPPUNIT_TEST_SUITE_END();

public:
  void RejectsInvalidCalls()
  {
    struct Case
    {
      const char* mMethod;
      const char* mPath;
      const char* mBody;
      Result mResult;
    };
    const Case cases[] = {
      { "GET", "/v1/admin", "", Result::NotFound },
      { "GET", "/v1/admin/status/", "", Result::NotFound },
      { "POST", "/v1/admin/status", "{}", Result::MethodNotAllowed },
      { "DELETE", "/v1/admin/config", "", Result::MethodNotAllowed },
      { "GET", "/v1/admin/config?revision=x", "", Result::BadRequest },
      { "GET", "/v1/admin/config?revision=-1", "", Result::BadRequest },
      { "GET", "/v1/admin/config?revision=9", "", Result::UnknownRevision },
      { "GET", "/v1/admin/config/diff?from=9", "", Result::UnknownRevision },
      { "GET", "/v1/admin/config/diff?to=99999999999999999999", "", Result::BadRequest },
      { "GET", "/v1/admin/config/history?limit=many", "", Result::BadRequest },
      { "POST", "/v1/admin/config", "", Result::BadRequest },
      { "POST", "/v1/admin/config", "[class.check]", Result::BadRequest },
      { "POST", "/v1/admin/config", "{}", Result::BadRequest },
      { "POST", "/v1/admin/config", "[[[[[[[[", Result::BadRequest },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"submission-1","base_revision":-1,"document":"","author":"a","reason":"r"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"submission-1","base_revision":1.5,"document":"","author":"a","reason":"r"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":7,"base_revision":0,"document":"","author":"a","reason":"r"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"submission-1","base_revision":0,"document":"","author":"a","reason":"r","colour":1})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"short","base_revision":0,"document":"","author":"a","reason":"r"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"submission-1","base_revision":0,"document":"","author":"","reason":"r"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"submission-1","base_revision":0,"document":"[class.","author":"a","reason":"r"})",
        Result::InvalidDocument },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"submission-2","base_revision":0,"document":"\u0000","author":"a","reason":"r"})",
        Result::InvalidDocument },
      { "POST",
        "/v1/admin/config",
        R"({"submission_id":"submission-3","base_revision":8,"document":"","author":"a","reason":"r"})",
        Result::UnknownRevision },
      { "POST", "/v1/admin/config/validate", R"({"document":1})", Result::BadRequest },
      { "POST",
        "/v1/admin/config/rollback",
        R"({"submission_id":"submission-4","to_revision":1,"author":"a","reason":"r"})",
        Result::ConfirmationNeeded },
      { "POST",
        "/v1/admin/config/rollback",
        R"({"submission_id":"submission-4","to_revision":1,"author":"a","reason":"r","yes":"true"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/config/rollback",
        R"({"submission_id":"submission-5","to_revision":0,"author":"a","reason":"r","yes":true})",
        Result::UnknownRevision },
      { "POST",
        "/v1/admin/entries/gone",
        R"({"host":"entry-1","author":"a","reason":"r"})",
        Result::ConfirmationNeeded },
      { "POST",
        "/v1/admin/entries/gone",
        R"({"host":"entry-1","author":"a","reason":"r","yes":true})",
        Result::NotFound },
      { "POST",
        "/v1/admin/members/add",
        R"({"id":"control-2","address":"host:1","author":"a","reason":"r"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/members/add",
        R"({"id":"control-2","address":"127.0.0.1:1","author":"a","reason":"r"})",
        Result::BadRequest },
      { "POST", "/v1/admin/members/promote", R"({"author":"a","reason":"r"})", Result::BadRequest },
      { "POST",
        "/v1/admin/members/remove",
        R"({"id":"control-1","author":"a","reason":"r"})",
        Result::ConfirmationNeeded },
      { "POST",
        "/v1/admin/quarantine/lift",
        R"({"collection":"desk","fingerprint":"xyz","author":"a","reason":"r"})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/quarantine/lift",
        R"({"collection":"desk","fingerprint":"0f","author":"a","reason":"r"})",
        Result::NotFound },
      { "POST",
        "/v1/admin/upstreams/drain",
        R"({"upstream":"u1","author":"a","reason":"r"})",
        Result::ConfirmationNeeded },
      { "POST",
        "/v1/admin/upstreams/drain",
        R"({"upstream":"","author":"a","reason":"r","yes":true})",
        Result::BadRequest },
      { "POST",
        "/v1/admin/upstreams/undrain",
        R"({"upstream":"u1","author":"a","reason":"r"})",
        Result::NoChange },
    };
    AdminFixture fixture;
    for (const Case& testCase : cases) {
      AssertResult(testCase.mResult,
                   fixture.Call(testCase.mMethod, testCase.mPath, testCase.mBody),
                   std::string(testCase.mPath) + " " + testCase.mBody);
    }
    CPPUNIT_ASSERT_EQUAL(Revision{ 0 }, fixture.LatestRevision());
    CPPUNIT_ASSERT_EQUAL(
      413,
      fixture.Call("POST", "/v1/admin/config", std::string(kMaxAdminBodyBytes + 1, 'x')).mStatus);
  }

  void RejectsCallsWithoutPermission()
  {
    AdminFixture fixture;
    AssertResult(Result::Ok, fixture.Submit("submission-1", 0, DocumentWithTeams()), "first");
    const std::string drainBody = R"({"upstream":"u1","author":"a","reason":"r","yes":true})";
    const std::string memberBody = R"({"id":"control-2","author":"a","reason":"r"})";
    AssertResult(Result::Unauthorized, fixture.Call("GET", "/v1/admin/config"), "no key");
    AssertResult(
      Result::Unauthorized, fixture.Call("GET", "/v1/admin/audit", "", "wrong"), "wrong key");
    AssertResult(Result::Unauthorized, fixture.Submit("submission-2", 1, kDocument), "no key");
    // A caller without a key must not get error messages about the fields.
    AssertResult(Result::Unauthorized, fixture.Call("POST", "/v1/admin/config", "{"), "no key");
    AssertResult(
      Result::Forbidden, fixture.Submit("submission-3", 1, kDocument, "desk"), "other sections");
    AssertResult(Result::Forbidden,
                 fixture.Call("POST", "/v1/admin/upstreams/drain", drainBody, "desk"),
                 "drain");
    AssertResult(Result::Forbidden,
                 fixture.Call("POST", "/v1/admin/members/promote", memberBody, "desk"),
                 "members");
    AssertResult(
      Result::Ok, fixture.Call("POST", "/v1/admin/upstreams/drain", drainBody, "admin"), "drain");
    AssertResult(Result::Ok, fixture.Call("GET", "/v1/admin/config", "", "desk"), "read");
    CPPUNIT_ASSERT_EQUAL(Revision{ 1 }, fixture.LatestRevision());
  }

  void FollowerReportsLeaderAddress()
  {
    {
      AdminFixture withoutLeader(std::make_unique<FollowerLog>(""));
      AssertResult(
        Result::NoLeader, withoutLeader.Submit("submission-1", 0, kDocument), "no leader");
    }
    AdminFixture follower(std::make_unique<FollowerLog>("control-2"));
    rpc::Command command;
    command.mutable_control_host()->set_id("control-2");
    command.mutable_control_host()->set_admin_address("127.0.0.9:7100");
    command.mutable_control_host()->set_rpc_address("127.0.0.9:7101");
    follower.RunOnLoop([&](ControlCore& aCore) {
      return aCore.MakeStateMachine().mApply(1, command.SerializeAsString());
    });
    const AdminReply reply = follower.Submit("submission-1", 0, kDocument);
    AssertResult(Result::NotLeader, reply, "follower");
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.9:7100"), reply.mBody.value("leader", ""));
    CPPUNIT_ASSERT_EQUAL(false,
                         follower.Call("GET", "/v1/admin/status").mBody.value("leading", true));
    const auto heartbeatReply = follower.RunOnLoop(
      [](ControlCore& aCore) { return aCore.Sync(MakeHeartbeat(0), SteadyNow()); });
    CPPUNIT_ASSERT(heartbeatReply.has_value() && !heartbeatReply->leading() &&
                   heartbeatReply->document().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.9:7101"), heartbeatReply->leader());
  }

  void CallsReturnExpectedReplies()
  {
    AdminFixture fixture;
    AssertResult(Result::Ok, fixture.Submit("submission-1", 0, kDocument), "submit");
    AssertResult(Result::Ok,
                 fixture.Submit("submission-2", 1, "[class.check]\ndeadline = \"2s\"\n"),
                 "submit");
    const AdminReply resent =
      fixture.Submit("submission-2", 1, "[class.check]\ndeadline = \"2s\"\n");
    AssertResult(Result::Ok, resent, "resend");
    CPPUNIT_ASSERT(resent.mBody.value("resent", false) && resent.mBody.value("revision", 0) == 2);
    const AdminReply conflict =
      fixture.Submit("submission-3", 1, "[class.check]\ndeadline = \"3s\"\n");
    AssertResult(Result::SectionConflict, conflict, "conflict");
    CPPUNIT_ASSERT_EQUAL(std::string("ada"), conflict.mBody["conflicts"][0].value("author", ""));
    const std::string rollbackBody =
      R"({"submission_id":"submission-4","to_revision":1,"author":"a","reason":"r","yes":true})";
    AssertResult(
      Result::Ok, fixture.Call("POST", "/v1/admin/config/rollback", rollbackBody), "rollback");
    CPPUNIT_ASSERT_EQUAL(kDocument,
                         fixture.Call("GET", "/v1/admin/config").mBody.value("document", ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 },
                         fixture.Call("GET", "/v1/admin/config/history").mBody["entries"].size());
    const AdminReply diff = fixture.Call("GET", "/v1/admin/config/diff?from=1&to=2");
    CPPUNIT_ASSERT(diff.mBody.value("difference", "").find("+deadline = \"2s\"") !=
                   std::string::npos);
    const AdminReply invalid =
      fixture.Call("POST", "/v1/admin/config/validate", R"({"document":"[class.x]\n"})");
    CPPUNIT_ASSERT(!invalid.mBody.value("valid", true) && invalid.mBody["problems"].size() == 1);
    for (const char* const path :
         { "status", "entries", "members", "quarantine", "upstreams", "audit" }) {
      AssertResult(Result::Ok, fixture.Call("GET", std::string("/v1/admin/") + path), path);
    }
  }

  void AcceptedChangesSurviveRestart()
  {
    const std::string folder = PrepareFolder("restart");
    {
      AdminFixture fixture(nullptr, folder);
      AssertResult(Result::Ok, fixture.Submit("submission-1", 0, kDocument), "submit");
    }
    // Simulates a crash during a write, which leaves an incomplete record at the end of the file.
    std::ofstream(folder + "/commands", std::ios::app) << std::string("\x20\0\0\0\0\0\0\0torn", 12);
    std::string state;
    {
      AdminFixture fixture(nullptr, folder);
      CPPUNIT_ASSERT_EQUAL(Revision{ 1 }, fixture.LatestRevision());
      const AdminReply resent = fixture.Submit("submission-1", 0, kDocument);
      CPPUNIT_ASSERT(resent.mBody.value("resent", false));
      state = fixture.State();
    }
    AdminFixture fixture(nullptr, folder);
    CPPUNIT_ASSERT_EQUAL(state, fixture.State());
    std::filesystem::remove_all(folder);
  }

  void HeartbeatDeliversDocumentOrFails()
  {
    AdminFixture fixture;
    AssertResult(Result::Ok, fixture.Submit("submission-1", 0, kDocument), "submit");
    const TimePoint now = SteadyNow();
    const auto sendHeartbeat = [&](const rpc::SyncRequest& aRequest) {
      return fixture.RunOnLoop([&](ControlCore& aCore) { return aCore.Sync(aRequest, now); });
    };
    const auto firstReply = sendHeartbeat(MakeHeartbeat(0));
    CPPUNIT_ASSERT(firstReply.has_value() && firstReply->leading());
    CPPUNIT_ASSERT_EQUAL(kDocument, firstReply->document());
    CPPUNIT_ASSERT(sendHeartbeat(MakeHeartbeat(1))->document().empty());
    rpc::SyncRequest invalid = MakeHeartbeat(1);
    invalid.set_incarnation(4);
    CPPUNIT_ASSERT(!sendHeartbeat(invalid).has_value());
    invalid = MakeHeartbeat(1);
    invalid.set_caller_address("elsewhere");
    CPPUNIT_ASSERT(!sendHeartbeat(invalid).has_value());
    invalid = MakeHeartbeat(1);
    invalid.set_host(std::string(65, 'x'));
    CPPUNIT_ASSERT(!sendHeartbeat(invalid).has_value());
    // Ticks with a time one minute ahead, when all leases have expired.
    const Revision inForce = fixture.RunOnLoop([&](ControlCore& aCore) {
      aCore.Tick(now + std::chrono::minutes(1));
      return aCore.LeaseState().mInForce;
    });
    CPPUNIT_ASSERT_EQUAL(Revision{ 1 }, inForce);
  }

  void ConcurrentClaimsAreBatched()
  {
    AdminFixture fixture;
    AssertResult(Result::Ok, fixture.Submit("submission-1", 0, kDocument), "submit");
    std::promise<std::uint64_t> appliedEntries;
    int granted = 0;
    int alreadyHeld = 0;
    fixture.mLoop.Post([&] {
      const std::uint64_t appliedBefore = fixture.mCore.Status().mApplied;
      for (int i = 0; i < 100; ++i) {
        rpc::Claim claim;
        claim.set_key(fmt::format("1.random-key-{}", i % 50));
        claim.set_host("entry-1");
        claim.set_claim_id(i + 1);
        fixture.mCore.Claim(claim, [&, appliedBefore](const rpc::ClaimReply& aReply) {
          granted += aReply.result() == 0 ? 1 : 0;
          alreadyHeld += aReply.result() == static_cast<std::uint32_t>(Result::ClaimHeld) ? 1 : 0;
          if (granted + alreadyHeld == 100) {
            appliedEntries.set_value(fixture.mCore.Status().mApplied - appliedBefore);
          }
        });
      }
    });
    // The periodic tasks of the loop may add log entries as well.
    CPPUNIT_ASSERT(appliedEntries.get_future().get() < 10);
    CPPUNIT_ASSERT_EQUAL(50, granted);
    CPPUNIT_ASSERT_EQUAL(50, alreadyHeld);
  }

  // The client gets an address without a listener and the address of a follower. The follower names
  // the leader, which reports the outcome of the first attempt as unknown. The client must repeat
  // the call with the same submission id only if the retry policy allows it.
  void ClientFollowsLeaderAndRetries()
  {
    Loop loop;
    int submissions = 0;
    std::vector<std::string> submissionIds;
    const auto startServer = [&](std::uint16_t aPort, HttpHandler aHandler) {
      auto server =
        HttpServer::Builder(loop, { kIp, aPort }).OnRequest(std::move(aHandler)).Start();
      CPPUNIT_ASSERT(server.has_value());
      return *std::move(server);
    };
    const auto follower = startServer(7921, [&](const HttpRequest&, const HttpResponder& aRespond) {
      const Json body{ { "result", { { "code", 200 }, { "message", "" } } },
                       { "leader", fmt::format("{}:7922", kIp) } };
      aRespond({ 421, body.dump() });
    });
    const auto leader =
      startServer(7922, [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        submissionIds.push_back(Json::parse(aRequest.mBody).value("submission_id", ""));
        const bool outcomeUnknown = ++submissions == 1;
        aRespond({ outcomeUnknown ? 504 : 200,
                   outcomeUnknown ? R"({"result":{"code":208,"message":"lost"}})"
                                  : R"({"result":{"code":0,"message":""},"revision":7})" });
      });
    std::thread loopThread([&] { loop.Run(); });
    AdminTarget target;
    target.mAddresses = { { kIp, 7920 }, { kIp, 7921 } };
    const Json body{ { "submission_id", "submission-1" } };
    const auto retried =
      CallAdmin(target, "POST", "/v1/admin/config", body, RetryPolicy::AfterLostReply);
    submissions = 0;
    const auto notRetried =
      CallAdmin(target, "POST", "/v1/admin/config", body, RetryPolicy::NeverAfterLostReply);
    loop.Stop();
    loopThread.join();
    CPPUNIT_ASSERT(retried.has_value());
    CPPUNIT_ASSERT_EQUAL(7, retried->mBody.value("revision", 0));
    CPPUNIT_ASSERT(submissionIds.size() == 3 && submissionIds[0] == "submission-1" &&
                   submissionIds[1] == submissionIds[0]);
    CPPUNIT_ASSERT(!notRetried && notRetried.error().mResult == Result::ControlOutcomeUnknown);
  }

  void ExplainListsOnlyMatchingRequest()
  {
    const std::vector<std::string> history = ExplainRequest(
      {
        "2026-01-01T00:00:02Z event=1104 name=QueryAnswered request=r1 message=\"a \\\"b\\\" c\"",
        "2026-01-01T00:00:01Z event=1101 name=QueryDispatched request=r1 shards=2",
        "2026-01-01T00:00:01Z event=1101 name=QueryDispatched request=r10 shards=2",
        "2026-01-01T00:00:01Z event=1102 name=SubrequestSent request=\"x request=r1\"",
        "=r1 = broken \"",
      },
      "r1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, history.size());
    CPPUNIT_ASSERT(history[0].find("QueryDispatched") != std::string::npos);
    CPPUNIT_ASSERT(history[1].ends_with("message=a \"b\" c"));
  }

  void CommandLineParsesAndFormatsSafely()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("a    b\nxyz  ?[31m\n"),
                         FormatTable({ { "a", "b" }, { "xyz", "\x1b[31m" } }));
    CPPUNIT_ASSERT(ExportedRevision(ExportHeader(12) + kDocument) == Revision{ 12 });
    for (const char* const text :
         { "", "# apricotyard revision ", "# apricotyard revision 1x\n", "[a]" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !ExportedRevision(text));
    }
    CPPUNIT_ASSERT_EQUAL(kExitUsage, RunCommand({}, { "status" }));
    CPPUNIT_ASSERT_EQUAL(kExitUsage, RunCommand({}, { "members", "add", "only-id" }));
    // A command without a dry run must refuse --dry-run, otherwise it would make the change.
    CtlOptions dryRun;
    dryRun.mTarget.mAddresses = { { kIp, 7920 } };
    dryRun.mTarget.mTimeout = std::chrono::milliseconds(1);
    dryRun.mDryRun = true;
    dryRun.mConfirmed = true;
    CPPUNIT_ASSERT_EQUAL(kExitUsage, RunCommand(dryRun, { "drain", "u1" }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminTest);
