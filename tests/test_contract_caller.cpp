// Guards against entry hosts that answer a caller or an announcing upstream with the wrong result
// code, or that terminate on a malformed message. Every row is sent to a real apricot-entry
// process, which runs without control and therefore has no configuration.
#include "http_client.h"
#include "test_address.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

using namespace apricotyard;

namespace {

constexpr std::uint16_t kPort = 7920;
constexpr Duration kRetry = std::chrono::milliseconds(20);
constexpr int kMaxTries = 250;

struct CallRow
{
  const char* mName;
  const char* mMethod;
  const char* mPath;
  std::string mBody;
  Result mResult;
  // Expected substring of the error message.
  const char* mMessage;
  // The event that the entry host must log; empty if none is checked.
  const char* mEvent;
};

std::string
Announcement(const char* aChanges)
{
  auto body = nlohmann::json::parse(
    R"({"id":"a-1","incarnation":1,"sequence":1,"service":"a","map":1,"shard":0,"low":0,
        "high":4294967296,"address":"127.0.0.1:1","data_centre":"dc","slots":1,"connections":1,
        "versions":[1],"state":"ready"})");
  body.update(nlohmann::json::parse(aChanges));
  return body.dump();
}

std::vector<CallRow>
Rows()
{
  const std::string query = R"({"collection":"a","query":"q"})";
  const char* const rejected = "AnnouncementRejected";
  const char* const announce = "/v1/announce";
  const std::string large(std::size_t{ 17 } * 1024, 'x');
  const std::string huge(std::size_t{ 1025 } * 1024, 'x');
  return {
    { "no configuration", "POST", "/v1/query", query, Result::NoConfiguration, "", "" },
    { "unknown path", "GET", "/v1/nothing", "", Result::NotFound, "", "" },
    { "wrong method", "GET", "/v1/query", "", Result::MethodNotAllowed, "", "" },
    { "empty body", "POST", "/v1/query", "", Result::BadRequest, "not a JSON object", "" },
    { "truncated JSON", "POST", "/v1/query", R"({"collection":)", Result::BadRequest, "JSON", "" },
    { "no collection",
      "POST",
      "/v1/query",
      R"({"query":"q"})",
      Result::BadRequest,
      "'collection'",
      "" },
    { "unknown field",
      "POST",
      "/v1/query",
      R"({"collection":"a","query":"q","limit":1})",
      Result::BadRequest,
      "unknown field 'limit'",
      "" },
    { "coverage above one",
      "POST",
      "/v1/query",
      R"({"collection":"a","query":"q","min_coverage":1.5})",
      Result::BadRequest,
      "'min_coverage' must be a number from 0 to 1",
      "" },
    { "no time left",
      "POST",
      "/v1/query",
      R"({"collection":"a","query":"q","deadline_ms":0})",
      Result::BadRequest,
      "'deadline_ms'",
      "" },
    { "oversized body", "POST", "/v1/query", huge, Result::BodyTooLarge, "", "" },
    { "announcement", "POST", announce, Announcement("{}"), Result::Ok, "", "UpstreamAnnounced" },
    { "announcement twice", "POST", announce, Announcement("{}"), Result::Ok, "", "" },
    { "announcement without JSON", "POST", announce, "x", Result::BadRequest, "JSON", rejected },
    { "empty key range",
      "POST",
      announce,
      Announcement(R"({"low":5,"high":5})"),
      Result::BadRequest,
      "'high' must exceed 'low'",
      rejected },
    { "host name as address",
      "POST",
      announce,
      Announcement(R"({"address":"localhost:1"})"),
      Result::BadRequest,
      "'address' must be of the form IP:PORT",
      rejected },
    { "unknown state",
      "POST",
      announce,
      Announcement(R"({"state":"asleep"})"),
      Result::BadRequest,
      "'state'",
      rejected },
    { "no slots",
      "POST",
      announce,
      Announcement(R"({"slots":0})"),
      Result::BadRequest,
      "'slots'",
      rejected },
    { "oversized announcement", "POST", announce, large, Result::BodyTooLarge, "16 KiB", "" },
  };
}

// Starts apricot-entry from the folder of this program, and kills it on destruction.
class EntryProcess
{
public:
  EntryProcess()
    : mFolder(std::filesystem::temp_directory_path() / fmt::format("apricot-entry-{}", getpid()))
  {
    std::filesystem::create_directories(mFolder);
    std::ofstream(mFolder / "entry.toml")
      << fmt::format("host = 'e'\ndata_centre = 'dc'\naddress = '{0}:{1}'\npeer_address = "
                     "'{0}:7922'\ncontrol = ['{0}:7921']\n[tls]\nplaintext = true\n",
                     TestIp(3),
                     kPort);
    const std::string program =
      std::filesystem::read_symlink("/proc/self/exe").parent_path() / "apricot-entry";
    const std::string settings = mFolder / "entry.toml";
    const std::string log = mFolder / "log";
    mPid = fork();
    if (mPid == 0) {
      const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
      // The log is written to standard output, and errors in the settings to standard error.
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
      _exit(127);
    }
  }

  ~EntryProcess()
  {
    // A graceful stop would wait until the address answers expire.
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    std::filesystem::remove_all(mFolder);
  }
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  std::string Log() const
  {
    std::ifstream file(mFolder / "log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

private:
  std::filesystem::path mFolder;
  pid_t mPid = -1;
};

// Sends the rows one after another. The first is repeated until the process accepts connections.
class RowSender
{
public:
  explicit RowSender(const std::vector<CallRow>& aRows)
    : mRows(aRows)
  {
  }

  std::vector<ClientReply> Send()
  {
    SendNext();
    mLoop.Run();
    return mReplies;
  }

private:
  void SendNext()
  {
    const CallRow& row = mRows[mReplies.size()];
    ClientRequest request;
    request.mAddress = { TestIp(3), kPort };
    request.mMethod = row.mMethod;
    request.mPath = row.mPath;
    request.mBody = row.mBody;
    mClient.Send(std::move(request), [this](ClientReply aReply) {
      if (mReplies.empty() && aReply.mEnd == TransferEnd::NotConnected && ++mTries < kMaxTries) {
        mLoop.AddTimer(SteadyNow() + kRetry, [this] { SendNext(); });
        return;
      }
      mReplies.push_back(std::move(aReply));
      if (mReplies.size() == mRows.size()) {
        mLoop.Stop();
      } else {
        SendNext();
      }
    });
  }

  const std::vector<CallRow>& mRows;
  std::vector<ClientReply> mReplies;
  int mTries = 0;
  Loop mLoop;
  HttpClient mClient{ mLoop, "", 1 };
};

std::size_t
CountIn(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

void
CheckReply(const CallRow& aRow, const ClientReply& aReply)
{
  const std::string context = fmt::format("{}: {} {}", aRow.mName, aReply.mStatus, aReply.mBody);
  CPPUNIT_ASSERT_MESSAGE(context, aReply.mEnd == TransferEnd::Complete);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(context, Describe(aRow.mResult).mHttpStatus, aReply.mStatus);
  const auto body = nlohmann::json::parse(aReply.mBody, nullptr, false);
  CPPUNIT_ASSERT_MESSAGE(context, body.is_object());
  if (aRow.mResult == Result::Ok) {
    CPPUNIT_ASSERT_MESSAGE(context, body.value("lease_ms", 0) > 0);
    return;
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    context, static_cast<int>(aRow.mResult), body["result"].value("code", -1));
  const std::string message = body["result"].value("message", "");
  CPPUNIT_ASSERT_MESSAGE(context, message.find(aRow.mMessage) != std::string::npos);
}

} // namespace

class CallerContractTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerContractTest);
  CPPUNIT_TEST(AnswersEveryRow);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersEveryRow()
  {
    const std::vector<CallRow> rows = Rows();
    const EntryProcess entry;
    const std::vector<ClientReply> replies = RowSender(rows).Send();
    std::map<std::string, std::size_t> events;
    for (std::size_t i = 0; i < rows.size(); ++i) {
      CheckReply(rows[i], replies[i]);
      if (*rows[i].mEvent != '\0') {
        ++events[rows[i].mEvent];
      }
    }
    // The log is written asynchronously, so the last lines may not be in the file yet.
    for (const auto& [event, count] : events) {
      for (int i = 0; i < kMaxTries && CountIn(entry.Log(), event) < count; ++i) {
        usleep(static_cast<useconds_t>(kRetry.count()));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(event, count, CountIn(entry.Log(), event));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerContractTest);
