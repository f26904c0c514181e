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

constexpr std::size_t kDefaultListLimit = 50;
constexpr std::size_t kMaxListLimit = 10'000;

std::string
SerializeJson(const Json& aBody)
{
  return aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// A request that has not been answered yet.
struct AdminCall
{
  ControlCore& mCore;
  HttpRequest mRequest;
  HttpResponder mRespond;
  std::string mKeySha256;
  // The parsed body of a POST, otherwise an empty object.
  Json mBody;
};

Json
ResultJson(Result aResult, std::string_view aMessage)
{
  const ResultInfo& info = Describe(aResult);
  return { { "code", info.mNumber }, { "name", info.mName }, { "message", aMessage } };
}

void
RespondOk(const AdminCall& aCall, Json aBody)
{
  aBody["result"] = ResultJson(Result::Ok, "");
  aCall.mRespond({ 200, SerializeJson(aBody) });
}

void
RespondError(const AdminCall& aCall, Result aResult, std::string_view aMessage)
{
  Json body{ { "result", ResultJson(aResult, aMessage) } };
  if (aResult == Result::NotLeader) {
    body["leader"] = aCall.mCore.Leader().admin_address();
  }
  aCall.mRespond({ Describe(aResult).mHttpStatus, SerializeJson(body) });
}

void
RespondError(const AdminCall& aCall, const Error& aError)
{
  RespondError(aCall, aError.mResult, aError.mMessage);
}

// ---- Request parsing

enum class FieldType : std::uint8_t
{
  String,
  Number,
  Boolean,
};

struct BodyField
{
  std::string_view mName;
  FieldType mType = FieldType::String;
  bool mRequired = false;
};

Expected<Json>
ParseBody(const std::string& aBody, const std::vector<BodyField>& aFields)
{
  Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(Result::BadRequest, "the body must be a JSON object");
  }
  std::set<std::string, std::less<>> knownNames;
  for (const BodyField& field : aFields) {
    knownNames.emplace(field.mName);
    const auto value = body.find(field.mName);
    if (value == body.end()) {
      if (field.mRequired) {
        return Fail(Result::BadRequest, fmt::format("the field '{}' is missing", field.mName));
      }
      continue;
    }
    const bool validType = field.mType == FieldType::String   ? value->is_string()
                           : field.mType == FieldType::Number ? value->is_number_unsigned()
                                                              : value->is_boolean();
    if (!validType) {
      constexpr std::string_view kExpectedTypes[] = { "a text",
                                                      "a whole number from 0",
                                                      "true or false" };
      return Fail(Result::BadRequest,
                  fmt::format("the field '{}' must be {}",
                              field.mName,
                              kExpectedTypes[static_cast<std::size_t>(field.mType)]));
    }
  }
  for (const auto& [name, value] : body.items()) {
    if (!knownNames.contains(name)) {
      return Fail(Result::BadRequest, fmt::format("unknown field '{}'", name.substr(0, 64)));
    }
  }
  return body;
}

Expected<std::uint64_t>
ParseNumberArgument(const HttpRequest& aRequest, std::string_view aName, std::uint64_t aDefault)
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
MakeOperatorCommand(const AdminCall& aCall)
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

// Proposes the command to the replicated log and responds with its outcome.
void
ProposeAndRespond(const AdminCall& aCall, rpc::Command aCommand)
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
      RespondError(aCall, aOutcome.error());
      return;
    }
    const int status = Describe(static_cast<Result>(aOutcome->result())).mHttpStatus;
    aCall.mRespond({ status, SerializeJson(OutcomeJson(*aOutcome)) });
  });
}

// ---- Configuration

void
GetConfig(const AdminCall& aCall)
{
  const ControlState& state = aCall.mCore.State();
  const auto revision = ParseNumberArgument(aCall.mRequest, "revision", NewestRevision(state));
  if (!revision) {
    RespondError(aCall, revision.error());
    return;
  }
  const std::string* const document = FindDocument(state, *revision);
  if (document == nullptr) {
    RespondError(aCall, Result::UnknownRevision, fmt::format("revision {} is not kept", *revision));
    return;
  }
  RespondOk(aCall, { { "revision", *revision }, { "document", *document } });
}

void
SubmitConfig(const AdminCall& aCall)
{
  rpc::Command command = MakeOperatorCommand(aCall);
  rpc::Submit& submit = *command.mutable_submit();
  submit.set_submission_id(aCall.mBody.value("submission_id", ""));
  submit.set_base_revision(aCall.mBody.value("base_revision", std::uint64_t{ 0 }));
  submit.set_wanted_revision(aCall.mBody.value("revision", std::uint64_t{ 0 }));
  submit.set_document(aCall.mBody.value("document", ""));
  submit.set_dry_run(aCall.mBody.value("dry_run", false));
  if (!submit.dry_run()) {
    ProposeAndRespond(aCall, std::move(command));
    return;
  }
  if (!aCall.mCore.IsReadyLeader()) {
    RespondError(aCall, Result::NoLeader, "this member does not lead");
    return;
  }
  // A dry run bypasses the log and applies the command to a copy. The copy holds only the
  // parts on which the outcome of a submission depends.
  ControlState scratchState;
  const ControlState& state = aCall.mCore.State();
  scratchState.mConfig = state.mConfig;
  scratchState.mRevisions = state.mRevisions;
  scratchState.mAudit = state.mAudit;
  const rpc::Outcome outcome = Apply(scratchState, command);
  const int status = Describe(static_cast<Result>(outcome.result())).mHttpStatus;
  Json body = OutcomeJson(outcome);
  body["dry_run"] = true;
  aCall.mRespond({ status, SerializeJson(body) });
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
  RespondOk(aCall, { { "valid", problems.empty() }, { "problems", problems } });
}

void
DiffConfig(const AdminCall& aCall)
{
  const ControlState& state = aCall.mCore.State();
  const auto to = ParseNumberArgument(aCall.mRequest, "to", NewestRevision(state));
  const auto from = ParseNumberArgument(aCall.mRequest, "from", to && *to > 0 ? *to - 1 : 0);
  if (!to || !from) {
    RespondError(aCall, (to ? from : to).error());
    return;
  }
  const std::string* const before = FindDocument(state, *from);
  const std::string* const after = FindDocument(state, *to);
  if (before == nullptr || after == nullptr) {
    RespondError(aCall,
                 Result::UnknownRevision,
                 fmt::format("revision {} is not kept", before == nullptr ? *from : *to));
    return;
  }
  const auto oldSections = SplitSections(*before);
  const auto newSections = SplitSections(*after);
  if (!oldSections || !newSections) {
    RespondError(aCall, (oldSections ? newSections : oldSections).error());
    return;
  }
  const std::vector<std::string> changed = ChangedSections(*oldSections, *newSections);
  std::string difference;
  for (const std::string& section : changed) {
    difference +=
      fmt::format("[{}]\n{}",
                  section,
                  LineDiff(SectionText(*oldSections, section), SectionText(*newSections, section)));
  }
  RespondOk(
    aCall,
    { { "from", *from }, { "to", *to }, { "changed", changed }, { "difference", difference } });
}

void
RollbackConfig(const AdminCall& aCall)
{
  rpc::Command command = MakeOperatorCommand(aCall);
  rpc::Rollback& rollback = *command.mutable_rollback();
  rollback.set_submission_id(aCall.mBody.value("submission_id", ""));
  rollback.set_to_revision(aCall.mBody.value("to_revision", std::uint64_t{ 0 }));
  rollback.set_base_revision(aCall.mBody.value("base_revision", std::uint64_t{ 0 }));
  ProposeAndRespond(aCall, std::move(command));
}

void
ListAudit(const AdminCall& aCall, bool aRevisionsOnly)
{
  const auto limit = ParseNumberArgument(aCall.mRequest, "limit", kDefaultListLimit);
  if (!limit) {
    RespondError(aCall, limit.error());
    return;
  }
  const std::size_t maxEntries = std::min<std::size_t>(*limit, kMaxListLimit);
  Json entries = Json::array();
  const auto& audit = aCall.mCore.State().mAudit;
  for (auto entry = audit.rbegin(); entry != audit.rend() && entries.size() < maxEntries; ++entry) {
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
  RespondOk(aCall, { { "entries", entries } });
}

// ---- Hosts and members

Json
EntryHostsJson(const ControlCore& aCore)
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
    const auto rosterHost = state.mSettled.mHosts.find(name);
    const auto reportedHost = aCore.EntryHosts().find(name);
    const rpc::Host& host =
      reportedHost != aCore.EntryHosts().end() ? reportedHost->second : rosterHost->second;
    const auto contact = aCore.LeaseState().mContacts.find(name);
    const bool hasContact = contact != aCore.LeaseState().mContacts.end();
    Json entry{
      { "host", name },
      { "data_centre", host.data_centre() },
      { "caller_address", host.caller_address() },
      { "peer_address", host.peer_address() },
      { "incarnation", host.incarnation() },
      { "in_roster", rosterHost != state.mSettled.mHosts.end() },
      { "witness", std::find(witnesses.begin(), witnesses.end(), name) != witnesses.end() },
      { "declared_gone", state.mGone.contains(name) },
      { "lease", hasContact && now < contact->second.mLeaseEnd },
      { "revision", hasContact ? contact->second.mRunningRevision : 0 },
      { "held_revision", hasContact ? contact->second.mReceivedRevision : 0 },
      { "roster_epoch", hasContact ? contact->second.mConfirmedEpoch : 0 },
    };
    if (hasContact) {
      entry["last_sync_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - contact->second.mLastSync)
          .count();
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
    const auto controlHost = aCore.State().mControlHosts.find(std::string(MemberName(member.mId)));
    members.push_back(
      { { "id", member.mId },
        { "address", FormatSocketAddress(member.mAddress) },
        { "admin_address",
          controlHost == aCore.State().mControlHosts.end() ? ""
                                                           : controlHost->second.admin_address() },
        { "role", member.mRole == MemberRole::Voter ? "voter" : "learner" },
        { "matched", member.mMatchIndex },
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
  RespondOk(aCall,
            { { "host", status.mSelf },
              { "leading", core.IsReadyLeader() },
              { "leader", status.mLeader },
              { "leader_address", core.Leader().admin_address() },
              { "term", status.mTerm },
              { "last_index", status.mLastIndex },
              { "committed", status.mCommitted },
              { "applied", status.mApplied },
              { "revision", NewestRevision(state) },
              { "in_force", core.LeaseState().mInForce },
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
DeclareHostGone(const AdminCall& aCall)
{
  const std::string host = aCall.mBody.value("host", "");
  const auto& contacts = aCall.mCore.LeaseState().mContacts;
  const auto contact = contacts.find(host);
  const auto& settled = aCall.mCore.State().mSettled.mHosts;
  const auto rosterHost = settled.find(host);
  rpc::Command command = MakeOperatorCommand(aCall);
  command.mutable_host_gone()->set_host(host);
  command.mutable_host_gone()->set_incarnation(
    contact != contacts.end()     ? contact->second.mIncarnation
    : rosterHost != settled.end() ? rosterHost->second.incarnation()
                                  : 0);
  if (contact != contacts.end() && SteadyNow() < contact->second.mLeaseEnd) {
    RespondError(aCall, Result::RosterBusy, "the host holds a lease; it is not gone");
    return;
  }
  ProposeAndRespond(aCall, std::move(command));
}

// Returns the handler that records a completed membership change in the audit log and responds to
// the caller.
ReplicatedLog::DoneHandler
MemberChangeHandler(const AdminCall& aCall, const std::string& aAction)
{
  return [aCall, aAction](const Expected<void>& aDone) {
    if (!aDone) {
      RespondError(aCall, aDone.error());
      return;
    }
    rpc::Command command = MakeOperatorCommand(aCall);
    command.set_members_changed(aAction);
    ProposeAndRespond(aCall, std::move(command));
  };
}

void
AddMember(const AdminCall& aCall)
{
  const auto address = ParseSocketAddress(aCall.mBody.value("address", ""));
  if (!address) {
    RespondError(aCall, Result::BadRequest, "the field 'address' must have the form IP:PORT");
    return;
  }
  const std::string id = aCall.mBody.value("id", "");
  aCall.mCore.Log().AddLearner({ id, *address, MemberRole::Learner },
                               MemberChangeHandler(aCall, "add member " + id));
}

void
PromoteMember(const AdminCall& aCall)
{
  const std::string id = aCall.mBody.value("id", "");
  aCall.mCore.Log().Promote(id, MemberChangeHandler(aCall, "promote member " + id));
}

void
RemoveMember(const AdminCall& aCall)
{
  const std::string id = aCall.mBody.value("id", "");
  aCall.mCore.Log().Remove(id, MemberChangeHandler(aCall, "remove member " + id));
}

// ---- Quarantine and drains

void
ListQuarantine(const AdminCall& aCall)
{
  const auto nowMs =
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count());
  Json quarantines = Json::array();
  for (const auto& [key, quarantine] : aCall.mCore.State().mQuarantines) {
    if (quarantine.until_ms() > nowMs) {
      quarantines.push_back({ { "collection", quarantine.collection() },
                              { "fingerprint", fmt::format("{:016x}", quarantine.fingerprint()) },
                              { "strikes", quarantine.strikes() },
                              { "remaining_ms", quarantine.until_ms() - nowMs } });
    }
  }
  RespondOk(aCall, { { "quarantine", quarantines } });
}

void
LiftQuarantine(const AdminCall& aCall)
{
  const std::string text = aCall.mBody.value("fingerprint", "");
  std::uint64_t fingerprint = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
  if (error != std::errc{} || end != text.data() + text.size()) {
    RespondError(
      aCall, Result::BadRequest, "the field 'fingerprint' must have up to 16 hexadecimal digits");
    return;
  }
  rpc::Command command = MakeOperatorCommand(aCall);
  command.mutable_lift_quarantine()->set_collection(aCall.mBody.value("collection", ""));
  command.mutable_lift_quarantine()->set_fingerprint(fingerprint);
  ProposeAndRespond(aCall, std::move(command));
}

void
ListDrains(const AdminCall& aCall)
{
  Json drains = Json::array();
  for (const auto& [upstream, sinceMs] : aCall.mCore.State().mDrains) {
    drains.push_back({ { "upstream", upstream }, { "since_ms", sinceMs } });
  }
  RespondOk(aCall, { { "drained", drains } });
}

void
SetDraining(const AdminCall& aCall, bool aDraining)
{
  rpc::Command command = MakeOperatorCommand(aCall);
  command.mutable_drain()->set_upstream(aCall.mBody.value("upstream", ""));
  command.mutable_drain()->set_draining(aDraining);
  ProposeAndRespond(aCall, std::move(command));
}

// ---- Routing

struct AdminRoute
{
  std::string_view mMethod;
  std::string_view mPath;
  // Body fields other than author, reason and yes, which ValidateCall adds.
  std::vector<BodyField> mFields;
  // The section that the caller's team must be allowed to change. It stands for an administrative
  // operation and is not part of the document, but is granted to teams in the same way as the
  // sections of the document. Empty if any team may make the call or if the state machine checks
  // the permission.
  std::string_view mRequiredSection;
  // The call is disruptive: the body must contain "yes": true.
  bool mNeedsConfirmation = false;
  // False only for reads that a follower may answer from its local state.
  bool mLeaderOnly = true;
  std::function<void(const AdminCall&)> mHandler;
};

const std::vector<AdminRoute>&
Routes()
{
  using Type = FieldType;
  static const std::vector<AdminRoute> sRoutes = {
    { "GET", "/v1/admin/status", {}, "", false, false, GetStatus },
    { "GET", "/v1/admin/config", {}, "", false, true, GetConfig },
    { "POST",
      "/v1/admin/config",
      { { "submission_id", Type::String, true },
        { "base_revision", Type::Number, true },
        { "document", Type::String, true },
        { "revision", Type::Number },
        { "dry_run", Type::Boolean } },
      "",
      false,
      true,
      SubmitConfig },
    { "POST",
      "/v1/admin/config/validate",
      { { "document", Type::String, true } },
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
      { { "submission_id", Type::String, true },
        { "to_revision", Type::Number, true },
        { "base_revision", Type::Number } },
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
        RespondOk(aCall, { { "entries", EntryHostsJson(aCall.mCore) } });
      } },
    { "POST",
      "/v1/admin/entries/gone",
      { { "host", Type::String, true } },
      kOperationEntries,
      true,
      true,
      DeclareHostGone },
    { "GET",
      "/v1/admin/members",
      {},
      "",
      false,
      true,
      [](const AdminCall& aCall) {
        RespondOk(aCall, { { "members", MembersJson(aCall.mCore) } });
      } },
    { "POST",
      "/v1/admin/members/add",
      { { "id", Type::String, true }, { "address", Type::String, true } },
      kOperationMembers,
      false,
      true,
      AddMember },
    { "POST",
      "/v1/admin/members/promote",
      { { "id", Type::String, true } },
      kOperationMembers,
      false,
      true,
      PromoteMember },
    { "POST",
      "/v1/admin/members/remove",
      { { "id", Type::String, true } },
      kOperationMembers,
      true,
      true,
      RemoveMember },
    { "GET", "/v1/admin/quarantine", {}, "", false, true, ListQuarantine },
    { "POST",
      "/v1/admin/quarantine/lift",
      { { "collection", Type::String, true }, { "fingerprint", Type::String, true } },
      kOperationQuarantine,
      false,
      true,
      LiftQuarantine },
    { "GET", "/v1/admin/upstreams", {}, "", false, true, ListDrains },
    { "POST",
      "/v1/admin/upstreams/drain",
      { { "upstream", Type::String, true } },
      kOperationDrain,
      true,
      true,
      [](const AdminCall& aCall) { SetDraining(aCall, true); } },
    { "POST",
      "/v1/admin/upstreams/undrain",
      { { "upstream", Type::String, true } },
      kOperationDrain,
      false,
      true,
      [](const AdminCall& aCall) { SetDraining(aCall, false); } },
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

// Checks the key, the permission, the body fields and the confirmation. The key comes first, so
// that error messages do not describe the fields to a caller without a valid key.
Expected<void>
ValidateCall(AdminCall& aCall, const AdminRoute& aRoute)
{
  if (auto team = FindTeam(aCall.mCore.State(), aCall.mKeySha256); !team) {
    return tl::unexpected(team.error());
  }
  if (!aRoute.mRequiredSection.empty()) {
    auto allowed = Authorize(aCall.mCore.State(), aCall.mKeySha256, aRoute.mRequiredSection);
    if (!allowed) {
      return allowed;
    }
  }
  if (aRoute.mMethod != "POST") {
    return {};
  }
  std::vector<BodyField> fields = aRoute.mFields;
  const bool isValidation = aRoute.mPath == "/v1/admin/config/validate";
  fields.push_back({ "author", FieldType::String, !isValidation });
  fields.push_back({ "reason", FieldType::String, !isValidation });
  if (aRoute.mNeedsConfirmation) {
    fields.push_back({ "yes", FieldType::Boolean });
  }
  auto body = ParseBody(aCall.mRequest.mBody, fields);
  if (!body) {
    return tl::unexpected(body.error());
  }
  aCall.mBody = *std::move(body);
  if (aRoute.mNeedsConfirmation && !aCall.mBody.value("yes", false)) {
    return Fail(Result::ConfirmationNeeded, "state \"yes\": true to confirm this call");
  }
  return {};
}

void
DispatchCall(AdminCall aCall, const AdminRoute& aRoute)
{
  if (aRoute.mLeaderOnly && !aCall.mCore.IsReadyLeader()) {
    const bool leaderKnown =
      !aCall.mCore.Status().mLeading && !aCall.mCore.Leader().admin_address().empty();
    RespondError(aCall,
                 leaderKnown ? Result::NotLeader : Result::NoLeader,
                 leaderKnown ? "this member does not lead; ask the member named by 'leader'"
                             : "no leader is known; try again in a few seconds");
    return;
  }
  if (const auto valid = ValidateCall(aCall, aRoute); !valid) {
    RespondError(aCall, valid.error());
    return;
  }
  if (!aRoute.mLeaderOnly) {
    aRoute.mHandler(aCall);
    return;
  }
  aCall.mCore.Log().ReadBarrier([aCall, &aRoute](const Expected<void>& aDone) {
    if (aDone) {
      aRoute.mHandler(aCall);
    } else {
      RespondError(aCall, Result::NoLeader, aDone.error().mMessage);
    }
  });
}

} // namespace

void
HandleAdminRequest(ControlCore& aCore, const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  constexpr std::string_view kBearerPrefix = "Bearer ";
  const std::string_view authorization = aRequest.Header("authorization");
  AdminCall call{ aCore, aRequest, aRespond, "", Json::object() };
  if (authorization.starts_with(kBearerPrefix)) {
    call.mKeySha256 = KeySha256(authorization.substr(kBearerPrefix.size()));
  }
  Result error = Result::NotFound;
  for (const AdminRoute& route : Routes()) {
    if (route.mPath == aRequest.mPath && route.mMethod == aRequest.mMethod) {
      DispatchCall(std::move(call), route);
      return;
    }
    if (route.mPath == aRequest.mPath) {
      error = Result::MethodNotAllowed;
    }
  }
  RespondError(call, error, "docs/administration.md lists the calls of this interface");
}

} // namespace apricotyard
