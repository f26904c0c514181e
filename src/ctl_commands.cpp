#include "ctl_commands.h"

#include "cmdline.h"
#include "config.h"
#include "control_state.h"
#include "ctl_explain.h"
#include "loop.h"
#include "tables.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <unistd.h>

namespace apricotyard {

namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;

constexpr std::string_view kExportPrefix = "# apricotyard revision ";
constexpr Duration kPageTimeout = std::chrono::seconds(2);
constexpr std::chrono::seconds kWatchInterval{ 1 };
constexpr std::chrono::milliseconds kWaitInterval{ 200 };
// The target of docs/design.md, section 1.1, I8, at the larger size.
constexpr Duration kInForceLimit = std::chrono::seconds(10);
constexpr std::size_t kMaxLog = std::size_t{ 1024 } * 1024 * 1024;

void
PrintError(std::string_view aWhat, std::string_view aMeaning, std::string_view aNext)
{
  fmt::print(stderr, "error: {}\n", aWhat);
  if (!aMeaning.empty()) {
    fmt::print(stderr, "  meaning: {}\n", aMeaning);
  }
  if (!aNext.empty()) {
    fmt::print(stderr, "  next: {}\n", aNext);
  }
}

// What the operator should do after a refusal.
std::string_view
NextStep(Result aResult)
{
  switch (aResult) {
    case Result::Unauthorized:
      return "put your team's key into a file and name it by --key-file or APRICOT_KEY_FILE";
    case Result::Forbidden:
      return "ask the owning team to make the change, or an operator whose team has section \"*\"";
    case Result::InvalidDocument:
      return "correct the document; 'apricotctl config validate FILE' checks it";
    case Result::SectionConflict:
      return "run 'apricotctl config export', make your edit again in the new document and submit "
             "it";
    case Result::RevisionTaken:
    case Result::UnknownRevision:
      return "look at 'apricotctl config history' and submit on the newest revision";
    case Result::SubmissionReused:
      return "submit without --submission to get a new id";
    case Result::RosterBusy:
      return "wait some seconds and look at 'apricotctl entries'";
    default:
      return "look at 'apricotctl status' and docs/results.md";
  }
}

int
ReportFailure(const Error& aError)
{
  const bool unknown = aError.mResult == Result::ControlOutcomeUnknown;
  PrintError(aError.mMessage,
             unknown ? "the change may have been accepted" : "nothing was changed",
             unknown
               ? "look at 'apricotctl audit'; a submission can be sent again with the same "
                 "--submission"
               : "check the --control addresses and whether a majority of the control hosts run");
  return unknown ? kExitOutcomeUnknown : kExitNoAnswer;
}

int
ReportRefusal(const AdminReply& aReply)
{
  const ResultInfo& info = Describe(aReply.Code());
  PrintError(fmt::format("{} {}: {}", info.mNumber, info.mName, aReply.Message()),
             info.mText,
             NextStep(aReply.Code()));
  for (const Json& problem : aReply.mBody.value("problems", Json::array())) {
    fmt::print(stderr,
               "  line {}: {}: {}\n",
               problem.value("line", 0),
               problem.value("key", ""),
               problem.value("message", ""));
  }
  for (const Json& conflict : aReply.mBody.value("conflicts", Json::array())) {
    fmt::print(stderr,
               "  [{}] was changed by {} in revision {}; theirs '-', yours '+':\n{}",
               conflict.value("section", ""),
               conflict.value("author", ""),
               conflict.value("revision", 0),
               conflict.value("difference", ""));
  }
  return ExitCode(aReply);
}

// Makes a call and prints it with aPrint, or as JSON.
int
CallAndPrint(const CtlOptions& aOptions,
             const std::string& aMethod,
             const std::string& aPath,
             const Json& aBody,
             Resend aResend,
             const std::function<void(const Json&)>& aPrint)
{
  const auto reply = CallAdmin(aOptions.mTarget, aMethod, aPath, aBody, aResend);
  if (!reply) {
    if (aOptions.mJson) {
      const ResultInfo& info = Describe(reply.error().mResult);
      fmt::print("{}\n",
                 Json{ { "result",
                         { { "code", info.mNumber },
                           { "name", info.mName },
                           { "message", reply.error().mMessage } } } }
                   .dump(2));
    }
    return ReportFailure(reply.error());
  }
  if (aOptions.mJson) {
    fmt::print("{}\n", reply->mBody.dump(2));
    return ExitCode(*reply);
  }
  if (reply->mStatus != 200) {
    return ReportRefusal(*reply);
  }
  aPrint(reply->mBody);
  return ExitCode(*reply);
}

int
Get(const CtlOptions& aOptions,
    const std::string& aPath,
    const std::function<void(const Json&)>& aPrint)
{
  return CallAndPrint(aOptions, "GET", aPath, {}, Resend::Safe, aPrint);
}

Json
OperatorFields(const CtlOptions& aOptions)
{
  return { { "author", aOptions.mAuthor }, { "reason", aOptions.mReason } };
}

std::string
NewSubmissionId()
{
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

// Asks before a call that can do harm.
bool
Confirm(const CtlOptions& aOptions, const std::string& aWhat)
{
  if (aOptions.mYes) {
    return true;
  }
  if (isatty(STDIN_FILENO) == 0) {
    PrintError(aWhat + " needs a confirmation", "nothing was changed", "add --yes");
    return false;
  }
  fmt::print(stderr, "{}. Continue? Type yes: ", aWhat);
  std::string answer;
  std::getline(std::cin, answer);
  if (answer != "yes") {
    PrintError("not confirmed", "nothing was changed", "");
    return false;
  }
  return true;
}

std::string
FormatTime(std::uint64_t aMilliseconds)
{
  const auto seconds = static_cast<std::time_t>(aMilliseconds / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  (void)std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

std::string
Text(const Json& aObject, const char* aKey)
{
  const auto value = aObject.find(aKey);
  if (value == aObject.end()) {
    return "-";
  }
  return value->is_string() ? value->get<std::string>() : value->dump();
}

// A table with one row per element of aList and one column per key.
void
PrintList(const Json& aList, const std::vector<const char*>& aKeys)
{
  std::vector<Words> rows(1);
  for (const char* const key : aKeys) {
    rows[0].emplace_back(key);
  }
  for (const Json& element : aList) {
    Words row;
    for (const char* const key : aKeys) {
      row.push_back(Text(element, key));
    }
    rows.push_back(std::move(row));
  }
  fmt::print("{}", FormatTable(rows));
}

// ---- commands

int
Status(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  return Get(aOptions, "/v1/admin/status", [](const Json& aBody) {
    std::vector<Words> rows{ { "key", "value" } };
    for (const char* const key : { "host",
                                   "leading",
                                   "leader",
                                   "leader_address",
                                   "term",
                                   "committed",
                                   "applied",
                                   "revision",
                                   "in_force",
                                   "roster_epoch",
                                   "pending_epoch",
                                   "entry_hosts",
                                   "claim_epoch",
                                   "claims",
                                   "quarantined",
                                   "drained" }) {
      rows.push_back({ key, Text(aBody, key) });
    }
    fmt::print("{}\n", FormatTable(rows));
    PrintList(aBody.value("members", Json::array()),
              { "id", "role", "leader", "matched", "address", "admin_address" });
  });
}

int
ConfigValidate(const CtlOptions& aOptions, const Words& aWords)
{
  const auto text = ReadFile(aWords[2], kMaxDocument);
  if (!text) {
    PrintError(text.error().mMessage, "", "");
    return kExitFailure;
  }
  const ConfigResult parsed = ParseConfig(aWords[2], *text);
  if (aOptions.mJson) {
    Json problems = Json::array();
    for (const SettingsProblem& problem : parsed.mProblems) {
      problems.push_back(
        { { "line", problem.mLine }, { "key", problem.mKey }, { "message", problem.mMessage } });
    }
    fmt::print("{}\n", Json{ { "valid", problems.empty() }, { "problems", problems } }.dump(2));
    return parsed.mProblems.empty() ? kExitOk : kExitFailure;
  }
  for (const SettingsProblem& problem : parsed.mProblems) {
    fmt::print(stderr, "{}\n", FormatProblem(problem));
  }
  if (parsed.mProblems.empty()) {
    fmt::print("{}: the configuration is valid\n", aWords[2]);
  }
  return parsed.mProblems.empty() ? kExitOk : kExitFailure;
}

// The revision that the document is based on: --base, the header of an export, or nothing yet.
Expected<Revision>
FindBase(const CtlOptions& aOptions, const std::string& aDocument)
{
  if (!aOptions.mBase.empty() && aOptions.mBase != "newest") {
    Revision base = 0;
    const char* const last = aOptions.mBase.data() + aOptions.mBase.size();
    const auto [end, error] = std::from_chars(aOptions.mBase.data(), last, base);
    if (error != std::errc{} || end != last) {
      return Fail(Result::BadRequest, "--base must be a revision number or 'newest'");
    }
    return base;
  }
  const auto exported = ExportedRevision(aDocument);
  if (exported && aOptions.mBase.empty()) {
    return *exported;
  }
  const auto reply = CallAdmin(aOptions.mTarget, "GET", "/v1/admin/config", {}, Resend::Safe);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  if (reply->mStatus != 200) {
    return Fail(reply->Code(), reply->Message());
  }
  const Revision newest = reply->mBody.value("revision", Revision{ 0 });
  if (newest != 0 && aOptions.mBase.empty()) {
    return Fail(
      Result::BadRequest,
      fmt::format("the document names no base revision, and revision {} exists; start from "
                  "'apricotctl config export' or state --base",
                  newest));
  }
  return newest;
}

int
WaitInForce(const CtlOptions& aOptions, Revision aRevision)
{
  (void)std::fflush(stdout);
  const TimePoint end = SteadyNow() + kInForceLimit;
  while (SteadyNow() < end) {
    const auto reply = CallAdmin(aOptions.mTarget, "GET", "/v1/admin/status", {}, Resend::Safe);
    // Only the leader knows what is in force.
    if (reply && reply->mBody.value("leading", false) &&
        reply->mBody.value("in_force", Revision{ 0 }) >= aRevision) {
      fmt::print(stderr, "revision {} is in force\n", aRevision);
      return kExitOk;
    }
    std::this_thread::sleep_for(kWaitInterval);
  }
  PrintError(fmt::format("revision {} is accepted, but not in force after 10 s", aRevision),
             "an entry host that may serve still runs an older revision",
             "look at the column revision of 'apricotctl entries'");
  return kExitFailure;
}

void
PrintChange(const Json& aBody)
{
  const auto changed = aBody.value("changed", Words{});
  if (aBody.value("dry_run", false)) {
    fmt::print("{}", aBody.value("difference", ""));
    fmt::print("dry run: revision {} would be accepted, changed: {}\n",
               Text(aBody, "revision"),
               fmt::join(changed, ", "));
  } else if (changed.empty()) {
    fmt::print("nothing to change; the newest revision is {}\n", Text(aBody, "revision"));
  } else {
    fmt::print("revision {} is accepted{}, changed: {}\n",
               Text(aBody, "revision"),
               aBody.value("resent", false) ? " (by the first submission)" : "",
               fmt::join(changed, ", "));
  }
}

// Sends a submission or a rollback and waits, if asked, until it is in force.
int
SendChange(const CtlOptions& aOptions, const std::string& aPath, Json aBody)
{
  const std::string id = aOptions.mSubmission.empty() ? NewSubmissionId() : aOptions.mSubmission;
  aBody["submission_id"] = id;
  Revision accepted = 0;
  // The same id goes with every repetition, so a lost answer cannot make a second revision.
  int code = CallAndPrint(aOptions, "POST", aPath, aBody, Resend::Safe, [&](const Json& aReply) {
    PrintChange(aReply);
    accepted = aReply.value("revision", Revision{ 0 });
  });
  if (code == kExitOutcomeUnknown) {
    fmt::print(stderr, "  submission id: {}\n", id);
  }
  if (code == kExitOk && aOptions.mWait && !aOptions.mDryRun && accepted != 0) {
    code = WaitInForce(aOptions, accepted);
  }
  return code;
}

int
ConfigSubmit(const CtlOptions& aOptions, const Words& aWords)
{
  auto text = ReadFile(aWords[2], kMaxDocument);
  if (!text) {
    PrintError(text.error().mMessage, "nothing was changed", "");
    return kExitFailure;
  }
  const auto base = FindBase(aOptions, *text);
  if (!base) {
    if (base.error().mResult == Result::NoLeader) {
      return ReportFailure(base.error());
    }
    PrintError(base.error().mMessage, "nothing was changed", NextStep(base.error().mResult));
    return kExitUsage;
  }
  if (ExportedRevision(*text)) {
    text->erase(0, text->find('\n') + 1);
  }
  Json body = OperatorFields(aOptions);
  body["base_revision"] = *base;
  body["document"] = *text;
  body["dry_run"] = aOptions.mDryRun;
  return SendChange(aOptions, "/v1/admin/config", std::move(body));
}

int
ConfigDiff(const CtlOptions& aOptions, const Words& aWords)
{
  std::string path = "/v1/admin/config/diff";
  if (aWords.size() > 2) {
    path += "?from=" + aWords[2] + (aWords.size() > 3 ? "&to=" + aWords[3] : "");
  }
  return Get(aOptions, path, [](const Json& aBody) {
    fmt::print("from revision {} to revision {}, '-' removed, '+' added\n{}",
               Text(aBody, "from"),
               Text(aBody, "to"),
               aBody.value("difference", ""));
  });
}

void
PrintAudit(const Json& aBody)
{
  std::vector<Words> rows{
    { "time", "author", "team", "revision", "base", "action", "changed", "reason" }
  };
  for (const Json& entry : aBody.value("entries", Json::array())) {
    rows.push_back({ FormatTime(entry.value("time_ms", std::uint64_t{ 0 })),
                     Text(entry, "author"),
                     Text(entry, "team"),
                     Text(entry, "revision"),
                     Text(entry, "base_revision"),
                     Text(entry, "action"),
                     fmt::format("{}", fmt::join(entry.value("changed", Words{}), ",")),
                     Text(entry, "reason") });
  }
  fmt::print("{}", FormatTable(rows));
}

int
ConfigHistory(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  return Get(
    aOptions, fmt::format("/v1/admin/config/history?limit={}", aOptions.mLimit), PrintAudit);
}

int
AuditLog(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  return Get(aOptions, fmt::format("/v1/admin/audit?limit={}", aOptions.mLimit), PrintAudit);
}

int
ConfigRollback(const CtlOptions& aOptions, const Words& aWords)
{
  Revision to = 0;
  const char* const last = aWords[2].data() + aWords[2].size();
  const auto [end, error] = std::from_chars(aWords[2].data(), last, to);
  if (error != std::errc{} || end != last) {
    PrintError(
      "the revision must be a number", "nothing was changed", "see 'apricotctl config history'");
    return kExitUsage;
  }
  if (aOptions.mDryRun) {
    return Get(aOptions, fmt::format("/v1/admin/config/diff?from={}", to), [](const Json& aBody) {
      fmt::print("dry run: a rollback would undo ('+' lines go, '-' lines come back):\n{}",
                 aBody.value("difference", ""));
    });
  }
  if (!Confirm(aOptions,
               fmt::format("this makes a new revision with the document of revision {}", to))) {
    return kExitFailure;
  }
  Json body = OperatorFields(aOptions);
  body["to_revision"] = to;
  body["yes"] = true;
  return SendChange(aOptions, "/v1/admin/config/rollback", std::move(body));
}

int
ConfigExport(const CtlOptions& aOptions, const Words& aWords)
{
  const std::string path =
    aWords.size() > 2 ? "/v1/admin/config?revision=" + aWords[2] : "/v1/admin/config";
  return Get(aOptions, path, [](const Json& aBody) {
    fmt::print(
      "{}{}", ExportHeader(aBody.value("revision", Revision{ 0 })), aBody.value("document", ""));
  });
}

int
Entries(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  return Get(aOptions, "/v1/admin/entries", [](const Json& aBody) {
    PrintList(aBody.value("entries", Json::array()),
              { "host",
                "data_centre",
                "caller_address",
                "in_roster",
                "witness",
                "lease",
                "revision",
                "held_revision",
                "roster_epoch",
                "last_sync_ms",
                "declared_gone" });
  });
}

int
EntryGone(const CtlOptions& aOptions, const Words& aWords)
{
  if (!Confirm(
        aOptions,
        fmt::format("this states that the process on entry host {} has ended for good; if it "
                    "still runs, it may serve an old configuration",
                    aWords[2]))) {
    return kExitFailure;
  }
  Json body = OperatorFields(aOptions);
  body["host"] = aWords[2];
  body["yes"] = true;
  return CallAndPrint(
    aOptions, "POST", "/v1/admin/entries/gone", body, Resend::Safe, [&](const Json&) {
      fmt::print("{} is declared gone\n", aWords[2]);
    });
}

// Asks the entry hosts that control knows for their upstreams, until one answers.
int
Upstreams(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  const auto entries = CallAdmin(aOptions.mTarget, "GET", "/v1/admin/entries", {}, Resend::Safe);
  const auto drains = CallAdmin(aOptions.mTarget, "GET", "/v1/admin/upstreams", {}, Resend::Safe);
  if (!entries || !drains) {
    return ReportFailure((entries ? drains : entries).error());
  }
  if (entries->mStatus != 200 || drains->mStatus != 200) {
    return ReportRefusal(entries->mStatus != 200 ? *entries : *drains);
  }
  Words drained;
  for (const Json& drain : drains->mBody.value("drained", Json::array())) {
    drained.push_back(drain.value("upstream", ""));
  }
  for (const Json& entry : entries->mBody.value("entries", Json::array())) {
    const auto address = ParseSocketAddress(entry.value("caller_address", ""));
    const auto page = address ? GetPage(*address, "/v1/status", kPageTimeout)
                              : Expected<AdminReply>(Fail(Result::Internal, "no address"));
    if (!page) {
      continue;
    }
    Json list = page->mBody.value("upstreams", Json::array());
    for (Json& upstream : list) {
      upstream["drained_by_operator"] =
        std::find(drained.begin(), drained.end(), Text(upstream, "id")) != drained.end();
    }
    if (aOptions.mJson) {
      fmt::print(
        "{}\n",
        Json{ { "seen_by", entry["host"] }, { "upstreams", list }, { "drained", drained } }.dump(
          2));
    } else {
      fmt::print("as entry host {} sees them\n", Text(entry, "host"));
      PrintList(list,
                { "id", "service", "shard", "map", "versions", "state", "drained_by_operator" });
    }
    return kExitOk;
  }
  PrintError(
    "no entry host answered", "the upstreams are not known", "look at 'apricotctl entries'");
  return kExitNoAnswer;
}

int
Drain(const CtlOptions& aOptions, const Words& aWords)
{
  const bool drain = aWords[0] == "drain";
  if (drain && !Confirm(aOptions, fmt::format("upstream {} gets no new work", aWords[1]))) {
    return kExitFailure;
  }
  Json body = OperatorFields(aOptions);
  body["upstream"] = aWords[1];
  if (drain) {
    body["yes"] = true;
  }
  return CallAndPrint(
    aOptions, "POST", "/v1/admin/upstreams/" + aWords[0], body, Resend::Safe, [&](const Json&) {
      fmt::print("{} is {}\n", aWords[1], drain ? "draining" : "in use again");
    });
}

int
Members(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  return Get(aOptions, "/v1/admin/members", [](const Json& aBody) {
    PrintList(aBody.value("members", Json::array()),
              { "id", "role", "leader", "matched", "address", "admin_address" });
  });
}

int
ChangeMember(const CtlOptions& aOptions, const Words& aWords)
{
  Json body = OperatorFields(aOptions);
  body["id"] = aWords[2];
  if (aWords[1] == "add") {
    body["address"] = aWords[3];
  }
  if (aWords[1] == "remove") {
    if (!Confirm(aOptions, fmt::format("this removes control member {}", aWords[2]))) {
      return kExitFailure;
    }
    body["yes"] = true;
  }
  return CallAndPrint(
    aOptions, "POST", "/v1/admin/members/" + aWords[1], body, Resend::Never, [&](const Json&) {
      fmt::print("members {} {}: done\n", aWords[1], aWords[2]);
    });
}

int
QuarantineList(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  return Get(aOptions, "/v1/admin/quarantine", [](const Json& aBody) {
    PrintList(aBody.value("quarantine", Json::array()),
              { "collection", "fingerprint", "strikes", "remaining_ms" });
  });
}

int
QuarantineLift(const CtlOptions& aOptions, const Words& aWords)
{
  Json body = OperatorFields(aOptions);
  body["collection"] = aWords[2];
  body["fingerprint"] = aWords[3];
  return CallAndPrint(
    aOptions, "POST", "/v1/admin/quarantine/lift", body, Resend::Safe, [](const Json&) {
      fmt::print("the quarantine is lifted\n");
    });
}

int
Watch(const CtlOptions& aOptions, const Words& /*aWords*/)
{
  std::string last;
  for (std::uint64_t round = 0; aOptions.mCount == 0 || round < aOptions.mCount; ++round) {
    if (round != 0) {
      std::this_thread::sleep_for(kWatchInterval);
    }
    const auto reply = CallAdmin(aOptions.mTarget, "GET", "/v1/admin/status", {}, Resend::Safe);
    std::string line = reply ? "" : reply.error().mMessage;
    if (reply) {
      for (const char* const key :
           { "leader", "term", "revision", "in_force", "roster_epoch", "entry_hosts", "drained" }) {
        line += fmt::format("{}={} ", key, Text(reply->mBody, key));
      }
    }
    if (line != last) {
      const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
      fmt::print("{} {}\n", FormatTime(static_cast<std::uint64_t>(now.count())), line);
      (void)std::fflush(stdout);
      last = line;
    }
  }
  return kExitOk;
}

int
Explain(const CtlOptions& aOptions, const Words& aWords)
{
  if (aOptions.mLogs.empty()) {
    PrintError("no log file is named", "", "add --log FILE for each entry host's log");
    return kExitUsage;
  }
  Words lines;
  for (const std::string& file : aOptions.mLogs) {
    const auto text = ReadFile(file, kMaxLog);
    if (!text) {
      PrintError(text.error().mMessage, "", "");
      return kExitFailure;
    }
    std::istringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(std::move(line));
    }
  }
  const Words path = ExplainRequest(lines, aWords[1]);
  if (path.empty()) {
    PrintError(fmt::format("no line of these logs names request {}", aWords[1]),
               "the request reached other hosts, or the log level hides its decisions",
               "add the logs of the other entry hosts");
    return kExitFailure;
  }
  if (aOptions.mJson) {
    fmt::print("{}\n", Json(path).dump(2));
  } else {
    fmt::print("{}\n", fmt::join(path, "\n"));
  }
  return kExitOk;
}

int
Docs(const CtlOptions& /*aOptions*/, const Words& aWords)
{
  fmt::print("{}", aWords[1] == "results" ? ResultsPage() : EventsPage());
  return kExitOk;
}

struct Command
{
  // Words that must match; arguments are upper case, those in brackets are optional.
  std::string_view mPattern;
  std::string_view mHelp;
  bool mNeedsControl = true;
  int (*mRun)(const CtlOptions&, const Words&) = nullptr;
};

constexpr Command kCommands[] = {
  { "status", "state of control and what is in force", true, Status },
  { "watch", "print the state whenever it changes (--count)", true, Watch },
  { "config validate FILE", "check a document without a control host", false, ConfigValidate },
  { "config export [REVISION]", "print a document with its revision", true, ConfigExport },
  { "config submit FILE", "submit a document (--base --dry-run --wait)", true, ConfigSubmit },
  { "config diff [FROM] [TO]", "what changed between two revisions", true, ConfigDiff },
  { "config history", "accepted revisions (--limit)", true, ConfigHistory },
  { "config rollback REVISION", "new revision with an older document", true, ConfigRollback },
  { "audit", "every change by operators (--limit)", true, AuditLog },
  { "entries", "entry hosts, their leases and revisions", true, Entries },
  { "entries gone HOST", "state that an entry host has ended for good", true, EntryGone },
  { "upstreams", "announced upstreams", true, Upstreams },
  { "drain UPSTREAM", "give an upstream no new work", true, Drain },
  { "undrain UPSTREAM", "use an upstream again", true, Drain },
  { "members", "control members", true, Members },
  { "members add ID ADDRESS", "add a learner at its rpc address", true, ChangeMember },
  { "members promote ID", "make a learner a voter", true, ChangeMember },
  { "members remove ID", "remove a member", true, ChangeMember },
  { "quarantine list", "stopped request fingerprints", true, QuarantineList },
  { "quarantine lift COLLECTION FINGERPRINT", "let a fingerprint run again", true, QuarantineLift },
  { "explain REQUEST", "path of one request (--log FILE, repeatable)", false, Explain },
  { "docs results", "page of result codes", false, Docs },
  { "docs events", "page of log events", false, Docs },
};

bool
Matches(std::string_view aPattern, const Words& aWords)
{
  std::istringstream stream{ std::string(aPattern) };
  std::size_t at = 0;
  for (std::string word; stream >> word; ++at) {
    const bool optional = word.front() == '[';
    const bool argument = std::isupper(static_cast<unsigned char>(word[optional ? 1 : 0])) != 0;
    if (at >= aWords.size()) {
      return optional;
    }
    if (!argument && aWords[at] != word) {
      return false;
    }
  }
  return at == aWords.size();
}

} // namespace

int
RunCommand(const CtlOptions& aOptions, const std::vector<std::string>& aWords)
{
  for (const Command& command : kCommands) {
    if (Matches(command.mPattern, aWords)) {
      if (command.mNeedsControl && aOptions.mTarget.mAddresses.empty()) {
        PrintError("--control IP:PORT is missing",
                   "the command asks a control host",
                   "state the admin_address of one or more control hosts");
        return kExitUsage;
      }
      const bool hasDryRun = command.mRun == ConfigSubmit || command.mRun == ConfigRollback;
      if (aOptions.mDryRun && !hasDryRun) {
        PrintError("this command has no --dry-run",
                   "nothing was changed",
                   "only config submit and config rollback have it");
        return kExitUsage;
      }
      return command.mRun(aOptions, aWords);
    }
  }
  PrintError(fmt::format("unknown command '{}'", fmt::join(aWords, " ")),
             "nothing was changed",
             "'apricotctl --help' lists the commands");
  return kExitUsage;
}

std::string
CommandSummary()
{
  std::string text = "[OPTION...] COMMAND\n\nCommands:\n";
  for (const Command& command : kCommands) {
    text += fmt::format("  {:<40} {}\n", command.mPattern, command.mHelp);
  }
  return text;
}

std::string
ExportHeader(Revision aRevision)
{
  return fmt::format("{}{}\n", kExportPrefix, aRevision);
}

std::optional<Revision>
ExportedRevision(std::string_view aDocument)
{
  if (!aDocument.starts_with(kExportPrefix)) {
    return std::nullopt;
  }
  const std::string_view digits =
    aDocument.substr(kExportPrefix.size(), aDocument.find('\n') - kExportPrefix.size());
  Revision revision = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), revision);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return revision;
}

std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const Words& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Words& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      std::replace_if(
        cell.begin(), cell.end(), [](unsigned char aC) { return aC < ' ' || aC == 0x7f; }, '?');
      line += fmt::format("{:<{}}", cell, i + 1 < row.size() ? widths[i] + 2 : 0);
    }
    text += line + "\n";
  }
  return text;
}

} // namespace apricotyard
