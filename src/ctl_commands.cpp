#include "ctl_commands.h"

#include "cmdline.h"
#include "config.h"
#include "control_state.h"
#include "ctl_explain.h"
#include "loop.h"
#include "service_account.h"
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
using Strings = std::vector<std::string>;

constexpr std::string_view kExportPrefix = "# apricotyard revision ";
constexpr Duration kStatusPageTimeout = std::chrono::seconds(2);
constexpr std::chrono::seconds kWatchInterval{ 1 };
constexpr std::chrono::milliseconds kInForcePollInterval{ 200 };
// Target I8 of docs/design.md, section 1.1, for the larger deployment size.
constexpr Duration kInForceTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxLogFileBytes = std::size_t{ 1024 } * 1024 * 1024;

void
PrintError(std::string_view aProblem, std::string_view aMeaning, std::string_view aNextStep)
{
  fmt::print(stderr, "error: {}\n", aProblem);
  if (!aMeaning.empty()) {
    fmt::print(stderr, "  meaning: {}\n", aMeaning);
  }
  if (!aNextStep.empty()) {
    fmt::print(stderr, "  next: {}\n", aNextStep);
  }
}

// Advice to the operator after the administration API refused a call.
std::string_view
NextStep(Result aResult)
{
  switch (aResult) {
    case Result::Unauthorized:
      return "write your team's key to a file and give its path in --key-file or APRICOT_KEY_FILE";
    case Result::Forbidden:
      return "ask the team that owns the section, or an operator whose team has section \"*\"";
    case Result::InvalidDocument:
      return "correct the document; 'apricotctl config validate FILE' checks it";
    case Result::SectionConflict:
      return "run 'apricotctl config export', repeat your edit in the new document and submit "
             "it";
    case Result::RevisionTaken:
    case Result::UnknownRevision:
      return "see 'apricotctl config history' and base the submission on the newest revision";
    case Result::SubmissionReused:
      return "submit without --submission to use a new id";
    case Result::RosterBusy:
      return "wait a few seconds, then check 'apricotctl entries'";
    default:
      return "see 'apricotctl status' and docs/results.md";
  }
}

int
ReportFailure(const Error& aError)
{
  const bool outcomeUnknown = aError.mResult == Result::ControlOutcomeUnknown;
  PrintError(
    aError.mMessage,
    outcomeUnknown ? "the change may have been accepted" : "nothing was changed",
    outcomeUnknown
      ? "check 'apricotctl audit'; a submission can be sent again with the same "
        "--submission"
      : "check the --control addresses and that a majority of the control hosts is running");
  return outcomeUnknown ? kExitOutcomeUnknown : kExitNoAnswer;
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

// Makes a call to the administration API. Prints the reply with aPrint, or as JSON with --json, and
// returns the exit code.
int
CallAndPrint(const CtlOptions& aOptions,
             const std::string& aMethod,
             const std::string& aPath,
             const Json& aBody,
             RetryPolicy aRetryPolicy,
             const std::function<void(const Json&)>& aPrint)
{
  const auto reply = CallAdmin(aOptions.mTarget, aMethod, aPath, aBody, aRetryPolicy);
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
GetAndPrint(const CtlOptions& aOptions,
            const std::string& aPath,
            const std::function<void(const Json&)>& aPrint)
{
  return CallAndPrint(aOptions, "GET", aPath, {}, RetryPolicy::AfterLostReply, aPrint);
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

// Asks for confirmation of a disruptive call unless --yes is given. Returns false if not confirmed.
bool
Confirm(const CtlOptions& aOptions, const std::string& aAction)
{
  if (aOptions.mConfirmed) {
    return true;
  }
  if (isatty(STDIN_FILENO) == 0) {
    PrintError(aAction + "; this must be confirmed", "nothing was changed", "add --yes");
    return false;
  }
  fmt::print(stderr, "{}. Continue? Type yes: ", aAction);
  std::string answer;
  std::getline(std::cin, answer);
  if (answer != "yes") {
    PrintError("not confirmed", "nothing was changed", "");
    return false;
  }
  return true;
}

std::string
FormatTime(std::uint64_t aUnixMs)
{
  const auto seconds = static_cast<std::time_t>(aUnixMs / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  (void)std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

std::string
FieldText(const Json& aObject, const char* aKey)
{
  const auto value = aObject.find(aKey);
  if (value == aObject.end()) {
    return "-";
  }
  return value->is_string() ? value->get<std::string>() : value->dump();
}

// Prints a table with one row per object of aList and one column per key.
void
PrintTable(const Json& aList, const std::vector<const char*>& aKeys)
{
  std::vector<Strings> rows(1);
  for (const char* const key : aKeys) {
    rows[0].emplace_back(key);
  }
  for (const Json& element : aList) {
    Strings row;
    for (const char* const key : aKeys) {
      row.push_back(FieldText(element, key));
    }
    rows.push_back(std::move(row));
  }
  fmt::print("{}", FormatTable(rows));
}

// ---- Commands

int
ShowStatus(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  return GetAndPrint(aOptions, "/v1/admin/status", [](const Json& aBody) {
    std::vector<Strings> rows{ { "key", "value" } };
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
      rows.push_back({ key, FieldText(aBody, key) });
    }
    fmt::print("{}\n", FormatTable(rows));
    PrintTable(aBody.value("members", Json::array()),
               { "id", "role", "leader", "matched", "address", "admin_address" });
  });
}

int
ValidateConfig(const CtlOptions& aOptions, const Strings& aArguments)
{
  const auto text = ReadFile(aArguments[2], kMaxDocumentBytes);
  if (!text) {
    PrintError(text.error().mMessage, "", "");
    return kExitFailure;
  }
  const ConfigResult parsed = ParseConfig(aArguments[2], *text);
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
    fmt::print("{}: the configuration is valid\n", aArguments[2]);
  }
  return parsed.mProblems.empty() ? kExitOk : kExitFailure;
}

// Finds the revision that the document is based on: the number in --base, otherwise the export
// header of the document. Without either, the newest revision is used, if --base newest is given or
// no revision exists yet.
Expected<Revision>
FindBaseRevision(const CtlOptions& aOptions, const std::string& aDocument)
{
  if (!aOptions.mBaseRevision.empty() && aOptions.mBaseRevision != "newest") {
    Revision base = 0;
    const char* const last = aOptions.mBaseRevision.data() + aOptions.mBaseRevision.size();
    const auto [parsedEnd, error] = std::from_chars(aOptions.mBaseRevision.data(), last, base);
    if (error != std::errc{} || parsedEnd != last) {
      return Fail(Result::BadRequest, "--base must be a revision number or 'newest'");
    }
    return base;
  }
  const auto exported = ExportedRevision(aDocument);
  if (exported && aOptions.mBaseRevision.empty()) {
    return *exported;
  }
  const auto reply =
    CallAdmin(aOptions.mTarget, "GET", "/v1/admin/config", {}, RetryPolicy::AfterLostReply);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  if (reply->mStatus != 200) {
    return Fail(reply->Code(), reply->Message());
  }
  const Revision newest = reply->mBody.value("revision", Revision{ 0 });
  if (newest != 0 && aOptions.mBaseRevision.empty()) {
    return Fail(
      Result::BadRequest,
      fmt::format("the document names no base revision, but revision {} exists; start from "
                  "'apricotctl config export' or use --base",
                  newest));
  }
  return newest;
}

int
WaitUntilInForce(const CtlOptions& aOptions, Revision aRevision)
{
  (void)std::fflush(stdout);
  const TimePoint deadline = SteadyNow() + kInForceTimeout;
  while (SteadyNow() < deadline) {
    const auto reply =
      CallAdmin(aOptions.mTarget, "GET", "/v1/admin/status", {}, RetryPolicy::AfterLostReply);
    // Only the leader knows which revision is in force; a follower may have answered.
    if (reply && reply->mBody.value("leading", false) &&
        reply->mBody.value("in_force", Revision{ 0 }) >= aRevision) {
      fmt::print(stderr, "revision {} is in force\n", aRevision);
      return kExitOk;
    }
    std::this_thread::sleep_for(kInForcePollInterval);
  }
  PrintError(fmt::format("revision {} is accepted, but not in force after 10 s", aRevision),
             "an entry host that may serve queries still uses an older revision",
             "check the column 'revision' of 'apricotctl entries'");
  return kExitFailure;
}

void
PrintChangeOutcome(const Json& aBody)
{
  const auto changed = aBody.value("changed", Strings{});
  if (aBody.value("dry_run", false)) {
    fmt::print("{}", aBody.value("difference", ""));
    fmt::print("dry run: revision {} would be accepted, changed: {}\n",
               FieldText(aBody, "revision"),
               fmt::join(changed, ", "));
  } else if (changed.empty()) {
    fmt::print("nothing to change; the newest revision is {}\n", FieldText(aBody, "revision"));
  } else {
    fmt::print("revision {} is accepted{}, changed: {}\n",
               FieldText(aBody, "revision"),
               aBody.value("resent", false) ? " (by the first submission)" : "",
               fmt::join(changed, ", "));
  }
}

// Sends a submission or a rollback. With --wait, waits until the new revision is in force.
int
SubmitChange(const CtlOptions& aOptions, const std::string& aPath, Json aBody)
{
  const std::string submissionId =
    aOptions.mSubmissionId.empty() ? NewSubmissionId() : aOptions.mSubmissionId;
  aBody["submission_id"] = submissionId;
  Revision accepted = 0;
  // All attempts carry the same submission id, so a retry after a lost reply cannot create a second
  // revision.
  int exitCode = CallAndPrint(
    aOptions, "POST", aPath, aBody, RetryPolicy::AfterLostReply, [&](const Json& aReply) {
      PrintChangeOutcome(aReply);
      accepted = aReply.value("revision", Revision{ 0 });
    });
  if (exitCode == kExitOutcomeUnknown) {
    fmt::print(stderr, "  submission id: {}\n", submissionId);
  }
  if (exitCode == kExitOk && aOptions.mWait && !aOptions.mDryRun && accepted != 0) {
    exitCode = WaitUntilInForce(aOptions, accepted);
  }
  return exitCode;
}

int
SubmitConfig(const CtlOptions& aOptions, const Strings& aArguments)
{
  auto text = ReadFile(aArguments[2], kMaxDocumentBytes);
  if (!text) {
    PrintError(text.error().mMessage, "nothing was changed", "");
    return kExitFailure;
  }
  const auto base = FindBaseRevision(aOptions, *text);
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
  return SubmitChange(aOptions, "/v1/admin/config", std::move(body));
}

int
DiffConfig(const CtlOptions& aOptions, const Strings& aArguments)
{
  std::string path = "/v1/admin/config/diff";
  if (aArguments.size() > 2) {
    path += "?from=" + aArguments[2] + (aArguments.size() > 3 ? "&to=" + aArguments[3] : "");
  }
  return GetAndPrint(aOptions, path, [](const Json& aBody) {
    fmt::print("from revision {} to revision {}, '-' removed, '+' added\n{}",
               FieldText(aBody, "from"),
               FieldText(aBody, "to"),
               aBody.value("difference", ""));
  });
}

void
PrintAudit(const Json& aBody)
{
  std::vector<Strings> rows{
    { "time", "author", "team", "revision", "base", "action", "changed", "reason" }
  };
  for (const Json& entry : aBody.value("entries", Json::array())) {
    rows.push_back({ FormatTime(entry.value("time_ms", std::uint64_t{ 0 })),
                     FieldText(entry, "author"),
                     FieldText(entry, "team"),
                     FieldText(entry, "revision"),
                     FieldText(entry, "base_revision"),
                     FieldText(entry, "action"),
                     fmt::format("{}", fmt::join(entry.value("changed", Strings{}), ",")),
                     FieldText(entry, "reason") });
  }
  fmt::print("{}", FormatTable(rows));
}

int
ListConfigHistory(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  return GetAndPrint(
    aOptions, fmt::format("/v1/admin/config/history?limit={}", aOptions.mLimit), PrintAudit);
}

int
ListAuditLog(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  return GetAndPrint(
    aOptions, fmt::format("/v1/admin/audit?limit={}", aOptions.mLimit), PrintAudit);
}

int
RollbackConfig(const CtlOptions& aOptions, const Strings& aArguments)
{
  Revision to = 0;
  const char* const last = aArguments[2].data() + aArguments[2].size();
  const auto [parsedEnd, error] = std::from_chars(aArguments[2].data(), last, to);
  if (error != std::errc{} || parsedEnd != last) {
    PrintError(
      "the revision must be a number", "nothing was changed", "see 'apricotctl config history'");
    return kExitUsage;
  }
  if (aOptions.mDryRun) {
    return GetAndPrint(
      aOptions, fmt::format("/v1/admin/config/diff?from={}", to), [](const Json& aBody) {
        fmt::print("dry run: a rollback would remove the '+' lines and restore the '-' lines:\n{}",
                   aBody.value("difference", ""));
      });
  }
  if (!Confirm(aOptions,
               fmt::format("this creates a new revision with the document of revision {}", to))) {
    return kExitFailure;
  }
  Json body = OperatorFields(aOptions);
  body["to_revision"] = to;
  body["yes"] = true;
  return SubmitChange(aOptions, "/v1/admin/config/rollback", std::move(body));
}

int
ExportConfig(const CtlOptions& aOptions, const Strings& aArguments)
{
  const std::string path =
    aArguments.size() > 2 ? "/v1/admin/config?revision=" + aArguments[2] : "/v1/admin/config";
  return GetAndPrint(aOptions, path, [](const Json& aBody) {
    fmt::print(
      "{}{}", ExportHeader(aBody.value("revision", Revision{ 0 })), aBody.value("document", ""));
  });
}

int
ListEntryHosts(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  return GetAndPrint(aOptions, "/v1/admin/entries", [](const Json& aBody) {
    PrintTable(aBody.value("entries", Json::array()),
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
DeclareHostGone(const CtlOptions& aOptions, const Strings& aArguments)
{
  if (!Confirm(
        aOptions,
        fmt::format("this declares that the process on entry host {} has ended for good; if it "
                    "is still running, it may serve an old configuration",
                    aArguments[2]))) {
    return kExitFailure;
  }
  Json body = OperatorFields(aOptions);
  body["host"] = aArguments[2];
  body["yes"] = true;
  return CallAndPrint(aOptions,
                      "POST",
                      "/v1/admin/entries/gone",
                      body,
                      RetryPolicy::AfterLostReply,
                      [&](const Json&) { fmt::print("{} is declared gone\n", aArguments[2]); });
}

// Lists the upstreams as seen by one entry host: the first that answers, of those known to the
// control hosts.
int
ListUpstreams(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  const auto entries =
    CallAdmin(aOptions.mTarget, "GET", "/v1/admin/entries", {}, RetryPolicy::AfterLostReply);
  const auto drains =
    CallAdmin(aOptions.mTarget, "GET", "/v1/admin/upstreams", {}, RetryPolicy::AfterLostReply);
  if (!entries || !drains) {
    return ReportFailure((entries ? drains : entries).error());
  }
  if (entries->mStatus != 200 || drains->mStatus != 200) {
    return ReportRefusal(entries->mStatus != 200 ? *entries : *drains);
  }
  Strings drained;
  for (const Json& drain : drains->mBody.value("drained", Json::array())) {
    drained.push_back(drain.value("upstream", ""));
  }
  for (const Json& entry : entries->mBody.value("entries", Json::array())) {
    const auto address = ParseSocketAddress(entry.value("caller_address", ""));
    const auto status = address ? GetJson(*address, "/v1/status", kStatusPageTimeout)
                                : Expected<AdminReply>(Fail(Result::Internal, "no address"));
    if (!status) {
      continue;
    }
    Json upstreams = status->mBody.value("upstreams", Json::array());
    for (Json& upstream : upstreams) {
      upstream["drained_by_operator"] =
        std::find(drained.begin(), drained.end(), FieldText(upstream, "id")) != drained.end();
    }
    if (aOptions.mJson) {
      fmt::print(
        "{}\n",
        Json{ { "seen_by", entry["host"] }, { "upstreams", upstreams }, { "drained", drained } }
          .dump(2));
    } else {
      fmt::print("upstreams as seen by entry host {}\n", FieldText(entry, "host"));
      PrintTable(upstreams,
                 { "id", "service", "shard", "map", "versions", "state", "drained_by_operator" });
    }
    return kExitOk;
  }
  PrintError("no entry host answered", "the upstreams are not known", "check 'apricotctl entries'");
  return kExitNoAnswer;
}

int
SetDraining(const CtlOptions& aOptions, const Strings& aArguments)
{
  const bool draining = aArguments[0] == "drain";
  if (draining &&
      !Confirm(aOptions,
               fmt::format("this stops sending new work to upstream {}", aArguments[1]))) {
    return kExitFailure;
  }
  Json body = OperatorFields(aOptions);
  body["upstream"] = aArguments[1];
  if (draining) {
    body["yes"] = true;
  }
  return CallAndPrint(aOptions,
                      "POST",
                      "/v1/admin/upstreams/" + aArguments[0],
                      body,
                      RetryPolicy::AfterLostReply,
                      [&](const Json&) {
                        fmt::print(
                          "{} is {}\n", aArguments[1], draining ? "draining" : "in use again");
                      });
}

int
ListMembers(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  return GetAndPrint(aOptions, "/v1/admin/members", [](const Json& aBody) {
    PrintTable(aBody.value("members", Json::array()),
               { "id", "role", "leader", "matched", "address", "admin_address" });
  });
}

int
ChangeMember(const CtlOptions& aOptions, const Strings& aArguments)
{
  Json body = OperatorFields(aOptions);
  body["id"] = aArguments[2];
  if (aArguments[1] == "add") {
    body["address"] = aArguments[3];
  }
  if (aArguments[1] == "remove") {
    if (!Confirm(aOptions, fmt::format("this removes control member {}", aArguments[2]))) {
      return kExitFailure;
    }
    body["yes"] = true;
  }
  return CallAndPrint(
    aOptions,
    "POST",
    "/v1/admin/members/" + aArguments[1],
    body,
    RetryPolicy::NeverAfterLostReply,
    [&](const Json&) { fmt::print("members {} {}: done\n", aArguments[1], aArguments[2]); });
}

int
ListQuarantine(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  return GetAndPrint(aOptions, "/v1/admin/quarantine", [](const Json& aBody) {
    PrintTable(aBody.value("quarantine", Json::array()),
               { "collection", "fingerprint", "strikes", "remaining_ms" });
  });
}

int
LiftQuarantine(const CtlOptions& aOptions, const Strings& aArguments)
{
  Json body = OperatorFields(aOptions);
  body["collection"] = aArguments[2];
  body["fingerprint"] = aArguments[3];
  return CallAndPrint(aOptions,
                      "POST",
                      "/v1/admin/quarantine/lift",
                      body,
                      RetryPolicy::AfterLostReply,
                      [](const Json&) { fmt::print("the quarantine is lifted\n"); });
}

int
WatchStatus(const CtlOptions& aOptions, const Strings& /*aArguments*/)
{
  std::string previousLine;
  for (std::uint64_t poll = 0; aOptions.mWatchCount == 0 || poll < aOptions.mWatchCount; ++poll) {
    if (poll != 0) {
      std::this_thread::sleep_for(kWatchInterval);
    }
    const auto reply =
      CallAdmin(aOptions.mTarget, "GET", "/v1/admin/status", {}, RetryPolicy::AfterLostReply);
    std::string line = reply ? "" : reply.error().mMessage;
    if (reply) {
      for (const char* const key :
           { "leader", "term", "revision", "in_force", "roster_epoch", "entry_hosts", "drained" }) {
        line += fmt::format("{}={} ", key, FieldText(reply->mBody, key));
      }
    }
    if (line != previousLine) {
      const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
      fmt::print("{} {}\n", FormatTime(static_cast<std::uint64_t>(now.count())), line);
      (void)std::fflush(stdout);
      previousLine = line;
    }
  }
  return kExitOk;
}

int
ExplainHistory(const CtlOptions& aOptions, const Strings& aArguments)
{
  if (aOptions.mLogFiles.empty()) {
    PrintError("no log file is given", "", "add --log FILE for the log of each entry host");
    return kExitUsage;
  }
  Strings lines;
  for (const std::string& file : aOptions.mLogFiles) {
    const auto text = ReadFile(file, kMaxLogFileBytes);
    if (!text) {
      PrintError(text.error().mMessage, "", "");
      return kExitFailure;
    }
    std::istringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(std::move(line));
    }
  }
  const Strings history = ExplainRequest(lines, aArguments[1]);
  if (history.empty()) {
    PrintError(fmt::format("no log line belongs to request {}", aArguments[1]),
               "the request went to other hosts, or the log level excludes its events",
               "add the logs of the other entry hosts");
    return kExitFailure;
  }
  if (aOptions.mJson) {
    fmt::print("{}\n", Json(history).dump(2));
  } else {
    fmt::print("{}\n", fmt::join(history, "\n"));
  }
  return kExitOk;
}

int
PrintAccount(const CtlOptions& aOptions, const Strings& aArguments)
{
  std::vector<Loss> losses;
  for (std::size_t i = 1; i < aArguments.size(); ++i) {
    const auto text = ReadFile(aArguments[i], kMaxLogFileBytes);
    if (!text) {
      PrintError(text.error().mMessage, "", "");
      return kExitFailure;
    }
    std::vector<LogLine> log;
    std::istringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      log.push_back(ParseLogLine(line));
    }
    const std::vector<Loss> found = FindLosses(log);
    losses.insert(losses.end(), found.begin(), found.end());
  }
  if (aOptions.mJson) {
    fmt::print("{}\n", FormatAccountJson(losses));
  } else {
    fmt::print("{}", FormatAccount(losses, aOptions.mLimit));
  }
  return kExitOk;
}

int
PrintDocs(const CtlOptions& /*aOptions*/, const Strings& aArguments)
{
  fmt::print("{}", aArguments[1] == "results" ? ResultsPage() : EventsPage());
  return kExitOk;
}

struct Command
{
  // The words of the command. Words in upper case stand for arguments, which are optional in
  // brackets. A last word that ends with "..." stands for one or more arguments.
  std::string_view mPattern;
  std::string_view mHelp;
  bool mNeedsControlHost = true;
  int (*mHandler)(const CtlOptions&, const Strings&) = nullptr;
};

constexpr Command kCommands[] = {
  { "status", "state of the control hosts and the revision in force", true, ShowStatus },
  { "watch", "print the status whenever it changes (--count)", true, WatchStatus },
  { "config validate FILE",
    "check a document locally, without a control host",
    false,
    ValidateConfig },
  { "config export [REVISION]", "print a document with its revision number", true, ExportConfig },
  { "config submit FILE", "submit a document (--base --dry-run --wait)", true, SubmitConfig },
  { "config diff [FROM] [TO]", "difference between two revisions", true, DiffConfig },
  { "config history", "accepted revisions (--limit)", true, ListConfigHistory },
  { "config rollback REVISION",
    "create a new revision with an older document",
    true,
    RollbackConfig },
  { "audit", "changes made by operators (--limit)", true, ListAuditLog },
  { "entries", "entry hosts, their leases and revisions", true, ListEntryHosts },
  { "entries gone HOST", "declare that an entry host has ended for good", true, DeclareHostGone },
  { "upstreams", "announced upstreams", true, ListUpstreams },
  { "drain UPSTREAM", "send no new work to an upstream", true, SetDraining },
  { "undrain UPSTREAM", "use an upstream again", true, SetDraining },
  { "members", "control members", true, ListMembers },
  { "members add ID ADDRESS", "add a learner at its rpc address", true, ChangeMember },
  { "members promote ID", "make a learner a voter", true, ChangeMember },
  { "members remove ID", "remove a member", true, ChangeMember },
  { "quarantine list", "quarantined request fingerprints", true, ListQuarantine },
  { "quarantine lift COLLECTION FINGERPRINT",
    "end the quarantine of a fingerprint",
    true,
    LiftQuarantine },
  { "explain REQUEST",
    "history of one request from logs (--log FILE, repeatable)",
    false,
    ExplainHistory },
  { "account FILE...",
    "where service was lost, from gateway logs (--limit --json)",
    false,
    PrintAccount },
  { "docs results", "print the page of result codes", false, PrintDocs },
  { "docs events", "print the page of log events", false, PrintDocs },
};

bool
MatchesPattern(std::string_view aPattern, const Strings& aArguments)
{
  std::istringstream stream{ std::string(aPattern) };
  std::size_t index = 0;
  for (std::string word; stream >> word; ++index) {
    const bool optional = word.front() == '[';
    const bool argument = std::isupper(static_cast<unsigned char>(word[optional ? 1 : 0])) != 0;
    if (index >= aArguments.size()) {
      return optional;
    }
    if (!argument && aArguments[index] != word) {
      return false;
    }
    if (word.ends_with("...")) {
      return true;
    }
  }
  return index == aArguments.size();
}

} // namespace

int
RunCommand(const CtlOptions& aOptions, const std::vector<std::string>& aArguments)
{
  for (const Command& command : kCommands) {
    if (MatchesPattern(command.mPattern, aArguments)) {
      if (command.mNeedsControlHost && aOptions.mTarget.mAddresses.empty()) {
        PrintError("--control IP:PORT is missing",
                   "the command needs a control host",
                   "give the admin_address of one or more control hosts");
        return kExitUsage;
      }
      const bool hasDryRun = command.mHandler == SubmitConfig || command.mHandler == RollbackConfig;
      if (aOptions.mDryRun && !hasDryRun) {
        PrintError("this command has no --dry-run",
                   "nothing was changed",
                   "only config submit and config rollback have it");
        return kExitUsage;
      }
      return command.mHandler(aOptions, aArguments);
    }
  }
  PrintError(fmt::format("unknown command '{}'", fmt::join(aArguments, " ")),
             "nothing was changed",
             "'apricotctl --help' lists the commands");
  return kExitUsage;
}

std::string
CommandHelp()
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
  for (const Strings& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Strings& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      std::replace_if(
        cell.begin(),
        cell.end(),
        [](unsigned char aCharacter) { return aCharacter < ' ' || aCharacter == 0x7f; },
        '?');
      line += fmt::format("{:<{}}", cell, i + 1 < row.size() ? widths[i] + 2 : 0);
    }
    text += line + "\n";
  }
  return text;
}

} // namespace apricotyard
