#include "admin.h"

#include "config_merge.h"
#include "log.h"
#include "settings.h"

#include <charconv>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kDefaultListed = 50;
constexpr std::size_t kMaxListed = 10'000;

std::string
Dump(const Json& aBody)
{
  return aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// One call under way.
struct AdminCall
{
  ControlCore& mCore;
  HttpRequest mRequest;
  HttpResponder mRespond;
  std::string mKeySha256;
  // The fields of a POST.
  Json mBody;
};

Json
ResultJson(Result aResult, std::string_view aMessage)
{
  const ResultInfo& info = Describe(aResult);
  return { { "code", info.mNumber }, { "name", info.mName }, { "message", aMessage } };
}

void
Answer(const AdminCall& aCall, Json aBody)
{
  aBody["result"] = ResultJson(Result::Ok, "");
  aCall.mRespond({ 200, Dump(aBody) });
}

void
Refuse(const AdminCall& aCall, Result aResult, std::string_view aMessage)
{
  Json body{ { "result", ResultJson(aResult, aMessage) } };
  if (aResult == Result::NotLeader) {
    body["leader"] = aCall.mCore.Leader().admin_address();
  }
  aCall.mRespond({ Describe(aResult).mHttpStatus, Dump(body) });
}

void
Refuse(const AdminCall& aCall, const Error& aError)
{
  Refuse(aCall, aError.mResult, aError.mMessage);
}

// ---- reading of the fields of a call

enum class FieldKind : std::uint8_t
{
  Text,
  Number,
  Flag,
};

struct Field
{
  std::string_view mName;
  FieldKind mKind = FieldKind::Text;
  bool mRequired = false;
};

Expected<Json>
ReadFields(const std::string& aBody, const std::vector<Field>& aFields)
{
  Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(Result::BadRequest, "the body must be a JSON object");
  }
  std::set<std::string, std::less<>> known;
  for (const Field& field : aFields) {
    known.emplace(field.mName);
    const auto value = body.find(field.mName);
    if (value == body.end()) {
      if (field.mRequired) {
        return Fail(Result::BadRequest, fmt::format("the field '{}' is missing", field.mName));
      }
      continue;
    }
    const bool good = field.mKind == FieldKind::Text     ? value->is_string()
                      : field.mKind == FieldKind::Number ? value->is_number_unsigned()
                                                         : value->is_boolean();
    if (!good) {
      constexpr std::string_view kExpected[] = { "a text",
                                                 "a whole number from 0",
                                                 "true or false" };
      return Fail(Result::BadRequest,
                  fmt::format("the field '{}' must be {}",
                              field.mName,
                              kExpected[static_cast<std::size_t>(field.mKind)]));
    }
  }
  for (const auto& [name, value] : body.items()) {
    if (!known.contains(name)) {
      return Fail(Result::BadRequest, fmt::format("unknown field '{}'", name.substr(0, 64)));
    }
  }
  return body;
}

Expected<std::uint64_t>
ReadNumber(const HttpRequest& aRequest, std::string_view aName, std::uint64_t aDefault)
{
  const std::string_view text = aRequest.Argument(aName);
  std::uint64_t value = aDefault;
  if (text.empty()) {
    return value;
  }
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return Fail(Result::BadRequest,
                fmt::format("the argument '{}' must be a whole number from 0", aName));
  }
  return value;
}

rpc::Command
OperatorCommand(const AdminCall& aCall)
{
  rpc::Command command;
  command.mutable_operator_()->set_author(aCall.mBody.value("author", ""));
  command.mutable_operator_()->set_reason(aCall.mBody.value("reason", ""));
  command.mutable_operator_()->set_key_sha256(aCall.mKeySha256);
  return command;
}

Json
OutcomeJson(const rpc::Outcome& aOutcome)
{
  Json body{ { "result", ResultJson(static_cast<Result>(aOutcome.result()), aOutcome.message()) } };
  if (aOutcome.revision() != 0) {
    body["revision"] = aOutcome.revision();
  }
  if (aOutcome.resent()) {
    body["resent"] = true;
  }
  if (aOutcome.changed_size() != 0) {
    body["changed"] =
      std::vector<std::string>(aOutcome.changed().begin(), aOutcome.changed().end());
    body["difference"] = aOutcome.difference();
  }
  for (const rpc::SectionConflict& conflict : aOutcome.conflicts()) {
    body["conflicts"].push_back({ { "section", conflict.section() },
                                  { "author", conflict.author() },
                                  { "revision", conflict.revision() },
                                  { "difference", conflict.difference() } });
  }
  for (const rpc::Problem& problem : aOutcome.problems()) {
    body["problems"].push_back(
      { { "line", problem.line() }, { "key", problem.key() }, { "message", problem.message() } });
  }
  return body;
}

// Proposes the command and answers with its outcome.
void
ProposeAndAnswer(const AdminCall& aCall, rpc::Command aCommand)
{
  const std::string author = aCommand.operator_().author();
  aCall.mCore.Propose(std::move(aCommand), [aCall, author](const Expected<rpc::Outcome>& aOutcome) {
    LogEvent(
      Event::AdministrationCall,
      { { "path", aCall.mRequest.mPath },
        { "author", author },
        { "peer", aCall.mRequest.mPeer },
        { "result",
          aOutcome ? aOutcome->result() : static_cast<std::uint32_t>(aOutcome.error().mResult) } });
    if (!aOutcome) {
      Refuse(aCall, aOutcome.error());
      return;
    }
    const int status = Describe(static_cast<Result>(aOutcome->result())).mHttpStatus;
    aCall.mRespond({ status, Dump(OutcomeJson(*aOutcome)) });
  });
}

// ---- configuration

void
GetConfig(const AdminCall& aCall)
{
  const ControlState& state = aCall.mCore.State();
  const auto revision = ReadNumber(aCall.mRequest, "revision", NewestRevision(state));
  if (!revision) {
    Refuse(aCall, revision.error());
    return;
  }
  const std::string* const document = FindDocument(state, *revision);
  if (document == nullptr) {
    Refuse(aCall, Result::UnknownRevision, fmt::format("revision {} is not kept", *revision));
    return;
  }
  Answer(aCall, { { "revision", *revision }, { "document", *document } });
}

void
SubmitConfig(const AdminCall& aCall)
{
  rpc::Command command = OperatorCommand(aCall);
  rpc::Submit& submit = *command.mutable_submit();
  submit.set_submission_id(aCall.mBody.value("submission_id", ""));
  submit.set_base_revision(aCall.mBody.value("base_revision", std::uint64_t{ 0 }));
  submit.set_wanted_revision(aCall.mBody.value("revision", std::uint64_t{ 0 }));
  submit.set_document(aCall.mBody.value("document", ""));
  submit.set_dry_run(aCall.mBody.value("dry_run", false));
  if (!submit.dry_run()) {
    ProposeAndAnswer(aCall, std::move(command));
    return;
  }
  if (!aCall.mCore.Ready()) {
    Refuse(aCall, Result::NoLeader, "this member does not lead");
    return;
  }
  // A dry run is decided on a copy of what the decision reads, without the log.
  ControlState copy;
  const ControlState& state = aCall.mCore.State();
  copy.mConfig = state.mConfig;
  copy.mRevisions = state.mRevisions;
  copy.mAudit = state.mAudit;
  const rpc::Outcome outcome = Apply(copy, command);
  const int status = Describe(static_cast<Result>(outcome.result())).mHttpStatus;
  Json body = OutcomeJson(outcome);
  body["dry_run"] = true;
  aCall.mRespond({ status, Dump(body) });
}

void
ValidateConfig(const AdminCall& aCall)
{
  const ConfigResult parsed = ParseConfig("document", aCall.mBody.value("document", ""));
  Json problems = Json::array();
  for (const SettingsProblem& problem : parsed.mProblems) {
    problems.push_back(
      { { "line", problem.mLine }, { "key", problem.mKey }, { "message", problem.mMessage } });
  }
  Answer(aCall, { { "valid", problems.empty() }, { "problems", problems } });
}

void
DiffConfig(const AdminCall& aCall)
{
  const ControlState& state = aCall.mCore.State();
  const auto to = ReadNumber(aCall.mRequest, "to", NewestRevision(state));
  const auto from = ReadNumber(aCall.mRequest, "from", to && *to > 0 ? *to - 1 : 0);
  if (!to || !from) {
    Refuse(aCall, (to ? from : to).error());
    return;
  }
  const std::string* const before = FindDocument(state, *from);
  const std::string* const after = FindDocument(state, *to);
  if (before == nullptr || after == nullptr) {
    Refuse(aCall,
           Result::UnknownRevision,
           fmt::format("revision {} is not kept", before == nullptr ? *from : *to));
    return;
  }
  const auto oldSections = SplitSections(*before);
  const auto newSections = SplitSections(*after);
  if (!oldSections || !newSections) {
    Refuse(aCall, (oldSections ? newSections : oldSections).error());
    return;
  }
  const std::vector<std::string> changed = ChangedSections(*oldSections, *newSections);
  std::string difference;
  for (const std::string& section : changed) {
    difference += fmt::format(
      "[{}]\n{}",
      section,
      LineDifference(SectionText(*oldSections, section), SectionText(*newSections, section)));
  }
  Answer(
    aCall,
    { { "from", *from }, { "to", *to }, { "changed", changed }, { "difference", difference } });
}

void
RollbackConfig(const AdminCall& aCall)
{
  rpc::Command command = OperatorCommand(aCall);
  rpc::Rollback& rollback = *command.mutable_rollback();
  rollback.set_submission_id(aCall.mBody.value("submission_id", ""));
  rollback.set_to_revision(aCall.mBody.value("to_revision", std::uint64_t{ 0 }));
  rollback.set_base_revision(aCall.mBody.value("base_revision", std::uint64_t{ 0 }));
  ProposeAndAnswer(aCall, std::move(command));
}

void
ListAudit(const AdminCall& aCall, bool aRevisionsOnly)
{
  const auto limit = ReadNumber(aCall.mRequest, "limit", kDefaultListed);
  if (!limit) {
    Refuse(aCall, limit.error());
    return;
  }
  const std::size_t most = std::min<std::size_t>(*limit, kMaxListed);
  Json entries = Json::array();
  const auto& audit = aCall.mCore.State().mAudit;
  for (auto entry = audit.rbegin(); entry != audit.rend() && entries.size() < most; ++entry) {
    if (aRevisionsOnly && entry->revision() == 0) {
      continue;
    }
    entries.push_back(
      { { "time_ms", entry->time_ms() },
        { "author", entry->author() },
        { "team", entry->team() },
        { "reason", entry->reason() },
        { "action", entry->action() },
        { "revision", entry->revision() },
        { "base_revision", entry->base_revision() },
        { "changed",
          std::vector<std::string>(entry->changed().begin(), entry->changed().end()) } });
  }
  Answer(aCall, { { "entries", entries } });
}

// ---- hosts and members

Json
EntriesJson(const ControlCore& aCore)
{
  const ControlState& state = aCore.State();
  const TimePoint now = SteadyNow();
  const std::vector<std::string> witnesses = Witnesses(state.mSettled);
  std::set<std::string> names;
  for (const auto& [name, host] : state.mSettled.mHosts) {
    names.insert(name);
  }
  for (const auto& [name, host] : aCore.EntryHosts()) {
    names.insert(name);
  }
  Json entries = Json::array();
  for (const std::string& name : names) {
    const auto listed = state.mSettled.mHosts.find(name);
    const auto known = aCore.EntryHosts().find(name);
    const rpc::Host& host = known != aCore.EntryHosts().end() ? known->second : listed->second;
    const auto contact = aCore.Authority().mContacts.find(name);
    const bool heard = contact != aCore.Authority().mContacts.end();
    Json entry{
      { "host", name },
      { "data_centre", host.data_centre() },
      { "caller_address", host.caller_address() },
      { "peer_address", host.peer_address() },
      { "incarnation", host.incarnation() },
      { "in_roster", listed != state.mSettled.mHosts.end() },
      { "witness", std::find(witnesses.begin(), witnesses.end(), name) != witnesses.end() },
      { "declared_gone", state.mGone.contains(name) },
      { "lease", heard && now < contact->second.mLeaseEnd },
      { "revision", heard ? contact->second.mRun : 0 },
      { "held_revision", heard ? contact->second.mHeld : 0 },
      { "roster_epoch", heard ? contact->second.mEpoch : 0 },
    };
    if (heard) {
      entry["last_sync_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - contact->second.mLast).count();
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

Json
MembersJson(const ControlCore& aCore)
{
  Json members = Json::array();
  const LogStatus status = aCore.Status();
  for (const LogMember& member : status.mMembers) {
    const auto known = aCore.State().mControlHosts.find(std::string(MemberName(member.mId)));
    members.push_back(
      { { "id", member.mId },
        { "address", FormatSocketAddress(member.mAddress) },
        { "admin_address",
          known == aCore.State().mControlHosts.end() ? "" : known->second.admin_address() },
        { "role", member.mRole == MemberRole::Voter ? "voter" : "learner" },
        { "matched", member.mMatched },
        { "leader", member.mId == status.mLeader } });
  }
  return members;
}

void
GetStatus(const AdminCall& aCall)
{
  const ControlCore& core = aCall.mCore;
  const ControlState& state = core.State();
  const LogStatus status = core.Status();
  Answer(aCall,
         { { "host", status.mSelf },
           { "leading", core.Ready() },
           { "leader", status.mLeader },
           { "leader_address", core.Leader().admin_address() },
           { "term", status.mTerm },
           { "last_index", status.mLastIndex },
           { "committed", status.mCommitted },
           { "applied", status.mApplied },
           { "revision", NewestRevision(state) },
           { "in_force", core.Authority().mInForce },
           { "roster_epoch", state.mSettled.mEpoch },
           { "pending_epoch", state.mPending ? state.mPending->mEpoch : 0 },
           { "entry_hosts", state.mSettled.mHosts.size() },
           { "claim_epoch", state.mClaimEpoch },
           { "claims", state.mClaimCount },
           { "quarantined", state.mQuarantines.size() },
           { "drained", state.mDrains.size() },
           { "members", MembersJson(core) } });
}

void
DeclareGone(const AdminCall& aCall)
{
  const std::string host = aCall.mBody.value("host", "");
  const auto& contacts = aCall.mCore.Authority().mContacts;
  const auto contact = contacts.find(host);
  const auto& settled = aCall.mCore.State().mSettled.mHosts;
  const auto listed = settled.find(host);
  rpc::Command command = OperatorCommand(aCall);
  command.mutable_host_gone()->set_host(host);
  command.mutable_host_gone()->set_incarnation(
    contact != contacts.end() ? contact->second.mIncarnation
    : listed != settled.end() ? listed->second.incarnation()
                              : 0);
  if (contact != contacts.end() && SteadyNow() < contact->second.mLeaseEnd) {
    Refuse(aCall, Result::RosterBusy, "the host holds a lease; it is not gone");
    return;
  }
  ProposeAndAnswer(aCall, std::move(command));
}

// Answers a change of the members and records it in the audit log.
ReplicatedLog::DoneHandler
MemberAnswer(const AdminCall& aCall, const std::string& aAction)
{
  return [aCall, aAction](const Expected<void>& aDone) {
    if (!aDone) {
      Refuse(aCall, aDone.error());
      return;
    }
    rpc::Command command = OperatorCommand(aCall);
    command.set_members_changed(aAction);
    ProposeAndAnswer(aCall, std::move(command));
  };
}

void
AddMember(const AdminCall& aCall)
{
  const auto address = ParseSocketAddress(aCall.mBody.value("address", ""));
  if (!address) {
    Refuse(aCall, Result::BadRequest, "the field 'address' must have the form IP:PORT");
    return;
  }
  const std::string id = aCall.mBody.value("id", "");
  aCall.mCore.Log().AddLearner({ id, *address, MemberRole::Learner },
                               MemberAnswer(aCall, "add member " + id));
}

void
PromoteMember(const AdminCall& aCall)
{
  const std::string id = aCall.mBody.value("id", "");
  aCall.mCore.Log().Promote(id, MemberAnswer(aCall, "promote member " + id));
}

void
RemoveMember(const AdminCall& aCall)
{
  const std::string id = aCall.mBody.value("id", "");
  aCall.mCore.Log().Remove(id, MemberAnswer(aCall, "remove member " + id));
}

// ---- quarantine and drains

void
ListQuarantine(const AdminCall& aCall)
{
  const auto wall =
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count());
  Json list = Json::array();
  for (const auto& [key, quarantine] : aCall.mCore.State().mQuarantines) {
    if (quarantine.until_ms() > wall) {
      list.push_back({ { "collection", quarantine.collection() },
                       { "fingerprint", fmt::format("{:016x}", quarantine.fingerprint()) },
                       { "strikes", quarantine.strikes() },
                       { "remaining_ms", quarantine.until_ms() - wall } });
    }
  }
  Answer(aCall, { { "quarantine", list } });
}

void
LiftQuarantine(const AdminCall& aCall)
{
  const std::string text = aCall.mBody.value("fingerprint", "");
  std::uint64_t fingerprint = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
  if (error != std::errc{} || end != text.data() + text.size()) {
    Refuse(
      aCall, Result::BadRequest, "the field 'fingerprint' must have up to 16 hexadecimal digits");
    return;
  }
  rpc::Command command = OperatorCommand(aCall);
  command.mutable_lift_quarantine()->set_collection(aCall.mBody.value("collection", ""));
  command.mutable_lift_quarantine()->set_fingerprint(fingerprint);
  ProposeAndAnswer(aCall, std::move(command));
}

void
ListDrains(const AdminCall& aCall)
{
  Json list = Json::array();
  for (const auto& [upstream, time] : aCall.mCore.State().mDrains) {
    list.push_back({ { "upstream", upstream }, { "since_ms", time } });
  }
  Answer(aCall, { { "drained", list } });
}

void
Drain(const AdminCall& aCall, bool aDraining)
{
  rpc::Command command = OperatorCommand(aCall);
  command.mutable_drain()->set_upstream(aCall.mBody.value("upstream", ""));
  command.mutable_drain()->set_draining(aDraining);
  ProposeAndAnswer(aCall, std::move(command));
}

// ---- routing

struct AdminRoute
{
  std::string_view mMethod;
  std::string_view mPath;
  // The fields of the body besides author and reason.
  std::vector<Field> mFields;
  // The pseudo section that the team needs; empty if the state machine decides or any team may
  // call.
  std::string_view mSection;
  // True if the call can do harm and needs the field yes.
  bool mConfirm = false;
  // False only for reads that a follower may answer from its own state.
  bool mLeaderOnly = true;
  std::function<void(const AdminCall&)> mHandle;
};

const std::vector<AdminRoute>&
Routes()
{
  using K = FieldKind;
  static const std::vector<AdminRoute> sRoutes = {
    { "GET", "/v1/admin/status", {}, "", false, false, GetStatus },
    { "GET", "/v1/admin/config", {}, "", false, true, GetConfig },
    { "POST",
      "/v1/admin/config",
      { { "submission_id", K::Text, true },
        { "base_revision", K::Number, true },
        { "document", K::Text, true },
        { "revision", K::Number },
        { "dry_run", K::Flag } },
      "",
      false,
      true,
      SubmitConfig },
    { "POST",
      "/v1/admin/config/validate",
      { { "document", K::Text, true } },
      "",
      false,
      true,
      ValidateConfig },
    { "GET", "/v1/admin/config/diff", {}, "", false, true, DiffConfig },
    { "GET",
      "/v1/admin/config/history",
      {},
      "",
      false,
      true,
      [](const AdminCall& aCall) { ListAudit(aCall, true); } },
    { "POST",
      "/v1/admin/config/rollback",
      { { "submission_id", K::Text, true },
        { "to_revision", K::Number, true },
        { "base_revision", K::Number } },
      "",
      true,
      true,
      RollbackConfig },
    { "GET",
      "/v1/admin/entries",
      {},
      "",
      false,
      true,
      [](const AdminCall& aCall) {
        Answer(aCall, { { "entries", EntriesJson(aCall.mCore) } });
      } },
    { "POST",
      "/v1/admin/entries/gone",
      { { "host", K::Text, true } },
      kOperationEntries,
      true,
      true,
      DeclareGone },
    { "GET",
      "/v1/admin/members",
      {},
      "",
      false,
      true,
      [](const AdminCall& aCall) {
        Answer(aCall, { { "members", MembersJson(aCall.mCore) } });
      } },
    { "POST",
      "/v1/admin/members/add",
      { { "id", K::Text, true }, { "address", K::Text, true } },
      kOperationMembers,
      false,
      true,
      AddMember },
    { "POST",
      "/v1/admin/members/promote",
      { { "id", K::Text, true } },
      kOperationMembers,
      false,
      true,
      PromoteMember },
    { "POST",
      "/v1/admin/members/remove",
      { { "id", K::Text, true } },
      kOperationMembers,
      true,
      true,
      RemoveMember },
    { "GET", "/v1/admin/quarantine", {}, "", false, true, ListQuarantine },
    { "POST",
      "/v1/admin/quarantine/lift",
      { { "collection", K::Text, true }, { "fingerprint", K::Text, true } },
      kOperationQuarantine,
      false,
      true,
      LiftQuarantine },
    { "GET", "/v1/admin/upstreams", {}, "", false, true, ListDrains },
    { "POST",
      "/v1/admin/upstreams/drain",
      { { "upstream", K::Text, true } },
      kOperationDrain,
      true,
      true,
      [](const AdminCall& aCall) { Drain(aCall, true); } },
    { "POST",
      "/v1/admin/upstreams/undrain",
      { { "upstream", K::Text, true } },
      kOperationDrain,
      false,
      true,
      [](const AdminCall& aCall) { Drain(aCall, false); } },
    { "GET",
      "/v1/admin/audit",
      {},
      "",
      false,
      true,
      [](const AdminCall& aCall) { ListAudit(aCall, false); } },
  };
  return sRoutes;
}

// Checks key, fields and confirmation, in this order, so that a caller without a key learns nothing
// about the fields.
Expected<void>
CheckCall(AdminCall& aCall, const AdminRoute& aRoute)
{
  if (auto team = FindTeam(aCall.mCore.State(), aCall.mKeySha256); !team) {
    return tl::unexpected(team.error());
  }
  if (!aRoute.mSection.empty()) {
    auto allowed = Authorize(aCall.mCore.State(), aCall.mKeySha256, aRoute.mSection);
    if (!allowed) {
      return allowed;
    }
  }
  if (aRoute.mMethod != "POST") {
    return {};
  }
  std::vector<Field> fields = aRoute.mFields;
  const bool validates = aRoute.mPath == "/v1/admin/config/validate";
  fields.push_back({ "author", FieldKind::Text, !validates });
  fields.push_back({ "reason", FieldKind::Text, !validates });
  if (aRoute.mConfirm) {
    fields.push_back({ "yes", FieldKind::Flag });
  }
  auto body = ReadFields(aCall.mRequest.mBody, fields);
  if (!body) {
    return tl::unexpected(body.error());
  }
  aCall.mBody = *std::move(body);
  if (aRoute.mConfirm && !aCall.mBody.value("yes", false)) {
    return Fail(Result::ConfirmationNeeded, "state \"yes\": true to confirm this call");
  }
  return {};
}

void
RunCall(AdminCall aCall, const AdminRoute& aRoute)
{
  if (aRoute.mLeaderOnly && !aCall.mCore.Ready()) {
    const bool known =
      !aCall.mCore.Status().mLeading && !aCall.mCore.Leader().admin_address().empty();
    Refuse(aCall,
           known ? Result::NotLeader : Result::NoLeader,
           known ? "this member does not lead; ask the member named by 'leader'"
                 : "no leader is known; try again in a few seconds");
    return;
  }
  if (const auto checked = CheckCall(aCall, aRoute); !checked) {
    Refuse(aCall, checked.error());
    return;
  }
  if (!aRoute.mLeaderOnly) {
    aRoute.mHandle(aCall);
    return;
  }
  aCall.mCore.Log().ReadBarrier([aCall, &aRoute](const Expected<void>& aDone) {
    if (aDone) {
      aRoute.mHandle(aCall);
    } else {
      Refuse(aCall, Result::NoLeader, aDone.error().mMessage);
    }
  });
}

} // namespace

void
HandleAdmin(ControlCore& aCore, const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view authorization = aRequest.Header("authorization");
  AdminCall call{ aCore, aRequest, aRespond, "", Json::object() };
  if (authorization.starts_with(kBearer)) {
    call.mKeySha256 = KeySha256(authorization.substr(kBearer.size()));
  }
  Result refusal = Result::NotFound;
  for (const AdminRoute& route : Routes()) {
    if (route.mPath == aRequest.mPath && route.mMethod == aRequest.mMethod) {
      RunCall(std::move(call), route);
      return;
    }
    if (route.mPath == aRequest.mPath) {
      refusal = Result::MethodNotAllowed;
    }
  }
  Refuse(call, refusal, "docs/administration.md lists the calls of this interface");
}

} // namespace apricotyard
