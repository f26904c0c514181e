#include "control_state.h"

#include "config_merge.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace apricotyard {

namespace {

constexpr std::uint32_t kSnapshotFormat = 1;
constexpr std::size_t kMinSubmissionIdLength = 8;
constexpr std::size_t kMaxSubmissionIdLength = 64;
constexpr std::size_t kMinClaimTokenLength = 8;
constexpr std::size_t kMaxClaimTokenLength = 64;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxReasonLength = 1024;
constexpr std::size_t kMaxProblems = 20;
// Longer differences are truncated in recorded outcomes. A resend still gets the same decision, and
// the size of the record is bounded.
constexpr std::size_t kMaxRecordedDifferenceBytes = 4096;

rpc::Outcome
Refuse(Result aResult, std::string aMessage)
{
  rpc::Outcome outcome;
  outcome.set_result(static_cast<std::uint32_t>(aResult));
  outcome.set_message(std::move(aMessage));
  return outcome;
}

bool
IsToken(std::string_view aText, std::size_t aMin, std::size_t aMax)
{
  return aText.size() >= aMin && aText.size() <= aMax &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aC) {
           return std::isalnum(aC) != 0 || aC == '-' || aC == '_';
         });
}

bool
IsPrintableText(std::string_view aText, std::size_t aMin, std::size_t aMax)
{
  return aText.size() >= aMin && aText.size() <= aMax &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aC) { return aC >= ' '; });
}

std::optional<std::string>
FindOperatorError(const rpc::Operator& aOperator)
{
  if (!IsPrintableText(aOperator.author(), 1, kMaxNameLength)) {
    return "the author must be a text of 1 to 64 bytes without control characters";
  }
  if (!IsPrintableText(aOperator.reason(), 1, kMaxReasonLength)) {
    return "the reason must be a text of 1 to 1024 bytes without control characters";
  }
  return std::nullopt;
}

void
AppendAudit(ControlState& aState,
            const rpc::Command& aCommand,
            const std::string& aTeam,
            rpc::AuditEntry aEntry)
{
  aEntry.set_time_ms(aCommand.time_ms());
  aEntry.set_author(aCommand.operator_().author());
  aEntry.set_reason(aCommand.operator_().reason());
  aEntry.set_team(aTeam);
  aState.mAudit.push_back(std::move(aEntry));
  if (aState.mAudit.size() > kMaxAuditEntries) {
    aState.mAudit.pop_front();
  }
}

std::uint64_t
SubmissionFingerprint(const rpc::Command& aCommand)
{
  // Time, author and reason are left out, because a resend may carry a new time.
  std::string text = aCommand.operator_().key_sha256();
  if (aCommand.has_submit()) {
    text += fmt::format("|submit|{}|{}|{}",
                        aCommand.submit().base_revision(),
                        aCommand.submit().wanted_revision(),
                        aCommand.submit().document());
  } else {
    text += fmt::format(
      "|rollback|{}|{}", aCommand.rollback().to_revision(), aCommand.rollback().base_revision());
  }
  return XXH3_64bits(text.data(), text.size());
}

void
StoreRevision(ControlState& aState, const std::string& aDocument, Config aConfig)
{
  const Revision revision = NewestRevision(aState) + 1;
  aConfig.mRevision = revision;
  aState.mConfig = std::move(aConfig);
  aState.mRevisions[revision] = aDocument;
  aState.mHistoryBytes += aDocument.size();
  while (aState.mRevisions.size() > 1 &&
         (aState.mRevisions.size() > kMaxRevisions || aState.mHistoryBytes > kMaxHistoryBytes)) {
    aState.mHistoryBytes -= aState.mRevisions.begin()->second.size();
    aState.mRevisions.erase(aState.mRevisions.begin());
  }
}

// The newest audit entry after revision aBase that changed aSection, or nullptr.
const rpc::AuditEntry*
FindLastChange(const ControlState& aState, std::string_view aSection, Revision aBase)
{
  for (auto entry = aState.mAudit.rbegin(); entry != aState.mAudit.rend(); ++entry) {
    const bool changesSection =
      std::find(entry->changed().begin(), entry->changed().end(), aSection) !=
      entry->changed().end();
    if (changesSection && entry->revision() > aBase) {
      return &*entry;
    }
  }
  return nullptr;
}

rpc::Outcome
RefuseWithProblems(const std::vector<SettingsProblem>& aProblems, std::string aMessage)
{
  rpc::Outcome outcome = Refuse(Result::InvalidDocument, std::move(aMessage));
  for (const SettingsProblem& problem : aProblems) {
    if (static_cast<std::size_t>(outcome.problems_size()) == kMaxProblems) {
      break;
    }
    rpc::Problem& out = *outcome.add_problems();
    out.set_line(problem.mLine);
    out.set_key(problem.mKey);
    out.set_message(problem.mMessage);
  }
  return outcome;
}

// Returns an error message if the document defines teams but none that may change everything.
// Operators would then be locked out of some changes for good.
std::optional<std::string>
FindLockout(const Config& aConfig)
{
  const auto grantsAll = [](const auto& aTeam) {
    const std::vector<std::string>& sections = aTeam.second.mSections;
    return std::find(sections.begin(), sections.end(), "*") != sections.end();
  };
  if (aConfig.mTeams.empty() ||
      std::any_of(aConfig.mTeams.begin(), aConfig.mTeams.end(), grantsAll)) {
    return std::nullopt;
  }
  return "no team has the section \"*\", so nobody could change the members or the other sections";
}

rpc::Outcome
RefuseWithConflicts(const ControlState& aState,
                    Revision aBase,
                    const std::vector<DocumentSection>& aTheirs,
                    const std::vector<DocumentSection>& aMine,
                    const std::vector<std::string>& aSections)
{
  rpc::Outcome outcome = Refuse(
    Result::SectionConflict,
    fmt::format("{} changed since revision {}; fetch revision {}, apply your edit to it and submit",
                aSections.size() == 1 ? "a section that you edited has"
                                      : "sections that you edited have",
                aBase,
                NewestRevision(aState)));
  for (const std::string& section : aSections) {
    rpc::SectionConflict& conflict = *outcome.add_conflicts();
    conflict.set_section(section);
    if (const rpc::AuditEntry* const change = FindLastChange(aState, section, aBase)) {
      conflict.set_author(change->author());
      conflict.set_revision(change->revision());
    }
    conflict.set_difference(LineDiff(SectionText(aTheirs, section), SectionText(aMine, section)));
  }
  outcome.set_revision(NewestRevision(aState));
  return outcome;
}

// Stores aDocument as the next revision if it is valid and the team may change all sections that
// differ. A dry run makes the same checks but stores nothing.
rpc::Outcome
AcceptDocument(ControlState& aState,
               const rpc::Command& aCommand,
               const std::string& aTeam,
               const std::string& aDocument,
               bool aDryRun,
               rpc::AuditEntry aEntry)
{
  if (aDocument.size() > kMaxDocumentBytes) {
    return Refuse(Result::InvalidDocument, "the document has more than 1 MiB");
  }
  ConfigResult parsed = ParseConfig("document", aDocument);
  if (!parsed.mProblems.empty()) {
    return RefuseWithProblems(
      parsed.mProblems, "the document is not valid after it was merged with the newest revision");
  }
  if (const auto lockout = FindLockout(parsed.mConfig)) {
    return Refuse(Result::InvalidDocument, *lockout);
  }
  const std::string* const newest = FindDocument(aState, NewestRevision(aState));
  const auto before = SplitSections(*newest);
  const auto after = SplitSections(aDocument);
  if (!before || !after) {
    return Refuse(Result::InvalidDocument, (before ? after : before).error().mMessage);
  }
  const std::vector<std::string> changed = ChangedSections(*before, *after);
  if (changed.empty()) {
    rpc::Outcome outcome = Refuse(Result::NoChange, "the document equals the newest revision");
    outcome.set_revision(NewestRevision(aState));
    return outcome;
  }
  rpc::Outcome outcome;
  std::string forbidden;
  for (const std::string& section : changed) {
    if (!Authorize(aState, aCommand.operator_().key_sha256(), section)) {
      forbidden += (forbidden.empty() ? "" : ", ") + section;
    }
    outcome.add_changed(section);
    aEntry.add_changed(section);
    outcome.mutable_difference()->append(fmt::format(
      "[{}]\n{}", section, LineDiff(SectionText(*before, section), SectionText(*after, section))));
  }
  if (!forbidden.empty()) {
    return Refuse(Result::Forbidden, fmt::format("team {} may not change {}", aTeam, forbidden));
  }
  outcome.set_revision(NewestRevision(aState) + 1);
  outcome.set_team(aTeam);
  if (!aDryRun) {
    aEntry.set_revision(outcome.revision());
    StoreRevision(aState, aDocument, std::move(parsed.mConfig));
    AppendAudit(aState, aCommand, aTeam, std::move(aEntry));
  }
  return outcome;
}

rpc::Outcome
RefuseUnknownRevision(const ControlState& aState, Revision aRevision)
{
  return Refuse(Result::UnknownRevision,
                fmt::format("revision {} is not kept; kept are {} to {}",
                            aRevision,
                            aState.mRevisions.empty() ? 0 : aState.mRevisions.begin()->first,
                            NewestRevision(aState)));
}

rpc::Outcome
RefuseRevisionTaken(const ControlState& aState, Revision aRevision)
{
  std::string author;
  for (const rpc::AuditEntry& entry : aState.mAudit) {
    if (entry.revision() == aRevision) {
      author = fmt::format("; revision {} is by {}: {}", aRevision, entry.author(), entry.reason());
    }
  }
  rpc::Outcome outcome =
    Refuse(Result::RevisionTaken,
           fmt::format("the newest revision is {}{}", NewestRevision(aState), author));
  outcome.set_revision(NewestRevision(aState));
  return outcome;
}

rpc::Outcome
ApplySubmit(ControlState& aState, const rpc::Command& aCommand, const std::string& aTeam)
{
  const rpc::Submit& submit = aCommand.submit();
  const Revision newest = NewestRevision(aState);
  if (submit.document().size() > kMaxDocumentBytes) {
    return Refuse(Result::InvalidDocument, "the document has more than 1 MiB");
  }
  const ConfigResult parsed = ParseConfig("document", submit.document());
  if (!parsed.mProblems.empty()) {
    return RefuseWithProblems(parsed.mProblems, "the document contains mistakes");
  }
  const auto mine = SplitSections(submit.document());
  if (!mine) {
    return Refuse(Result::InvalidDocument, mine.error().mMessage);
  }
  if (submit.wanted_revision() != 0 && submit.wanted_revision() != newest + 1) {
    return RefuseRevisionTaken(aState, submit.wanted_revision());
  }
  const std::string* const baseText = FindDocument(aState, submit.base_revision());
  if (baseText == nullptr) {
    return RefuseUnknownRevision(aState, submit.base_revision());
  }
  const auto base = SplitSections(*baseText);
  const auto theirs = SplitSections(*FindDocument(aState, newest));
  if (!base || !theirs) {
    return Refuse(Result::InvalidDocument, (base ? theirs : base).error().mMessage);
  }
  std::string document = submit.document();
  if (submit.base_revision() != newest) {
    MergeResult merged = MergeSections(*base, *theirs, *mine);
    if (!merged.mConflicts.empty()) {
      return RefuseWithConflicts(aState, submit.base_revision(), *theirs, *mine, merged.mConflicts);
    }
    document = std::move(merged.mDocument);
  }
  rpc::AuditEntry entry;
  entry.set_action("submit");
  entry.set_base_revision(submit.base_revision());
  return AcceptDocument(aState, aCommand, aTeam, document, submit.dry_run(), std::move(entry));
}

rpc::Outcome
ApplyRollback(ControlState& aState, const rpc::Command& aCommand, const std::string& aTeam)
{
  const rpc::Rollback& rollback = aCommand.rollback();
  if (rollback.base_revision() != 0 && rollback.base_revision() != NewestRevision(aState)) {
    return RefuseRevisionTaken(aState, rollback.base_revision() + 1);
  }
  const std::string* const document = FindDocument(aState, rollback.to_revision());
  if (document == nullptr || rollback.to_revision() == 0) {
    return RefuseUnknownRevision(aState, rollback.to_revision());
  }
  rpc::AuditEntry entry;
  entry.set_action(fmt::format("rollback to revision {}", rollback.to_revision()));
  entry.set_base_revision(NewestRevision(aState));
  return AcceptDocument(aState, aCommand, aTeam, std::string(*document), false, std::move(entry));
}

void
RecordSubmission(ControlState& aState,
                 const std::string& aId,
                 std::uint64_t aFingerprint,
                 rpc::Outcome aOutcome)
{
  const auto truncateText = [](std::string& aText) {
    if (aText.size() > kMaxRecordedDifferenceBytes) {
      aText.resize(kMaxRecordedDifferenceBytes);
      aText += "\n...\n";
    }
  };
  truncateText(*aOutcome.mutable_difference());
  for (rpc::SectionConflict& conflict : *aOutcome.mutable_conflicts()) {
    truncateText(*conflict.mutable_difference());
  }
  aState.mSubmissions[aId] = { aFingerprint, std::move(aOutcome) };
  aState.mSubmissionOrder.push_back(aId);
  if (aState.mSubmissionOrder.size() > kMaxSubmissions) {
    aState.mSubmissions.erase(aState.mSubmissionOrder.front());
    aState.mSubmissionOrder.pop_front();
  }
}

// Applies a submission or a rollback once. A resend gets the recorded outcome.
rpc::Outcome
ApplyConfigChange(ControlState& aState, const rpc::Command& aCommand)
{
  const bool isSubmit = aCommand.has_submit();
  const std::string& id =
    isSubmit ? aCommand.submit().submission_id() : aCommand.rollback().submission_id();
  if (!IsToken(id, kMinSubmissionIdLength, kMaxSubmissionIdLength)) {
    return Refuse(Result::BadRequest,
                  "the submission id must have 8 to 64 characters out of letters, digits, - and _");
  }
  if (const auto error = FindOperatorError(aCommand.operator_())) {
    return Refuse(Result::BadRequest, *error);
  }
  const std::uint64_t fingerprint = SubmissionFingerprint(aCommand);
  const auto known = aState.mSubmissions.find(id);
  if (known != aState.mSubmissions.end()) {
    if (known->second.mFingerprint != fingerprint) {
      return Refuse(Result::SubmissionReused, "use a new submission id for a new submission");
    }
    rpc::Outcome outcome = known->second.mOutcome;
    outcome.set_resent(true);
    return outcome;
  }
  const auto team = FindTeam(aState, aCommand.operator_().key_sha256());
  if (!team) {
    return Refuse(team.error().mResult, team.error().mMessage);
  }
  rpc::Outcome outcome =
    isSubmit ? ApplySubmit(aState, aCommand, *team) : ApplyRollback(aState, aCommand, *team);
  if (!isSubmit || !aCommand.submit().dry_run()) {
    RecordSubmission(aState, id, fingerprint, outcome);
  }
  return outcome;
}

rpc::Outcome
ApplyChangeRoster(ControlState& aState, const rpc::ChangeRoster& aChange)
{
  if (aState.mPending || aChange.settled_epoch() != aState.mSettled.mEpoch) {
    return Refuse(Result::RosterBusy, "a roster epoch is pending or the epoch is out of order");
  }
  Roster next = aState.mSettled;
  next.mEpoch += 1;
  for (const std::string& host : aChange.absent()) {
    next.mHosts.erase(host);
  }
  for (const rpc::Host& host : aChange.present()) {
    next.mHosts[host.host()] = host;
  }
  aState.mPending = std::move(next);
  return {};
}

rpc::Outcome
ApplySettleRoster(ControlState& aState, const rpc::SettleRoster& aSettle)
{
  if (!aState.mPending || aState.mPending->mEpoch != aSettle.epoch()) {
    return Refuse(Result::RosterBusy, "this epoch is not pending");
  }
  aState.mSettled = *std::move(aState.mPending);
  aState.mPending.reset();
  std::erase_if(aState.mGone,
                [&](const auto& aGone) { return !aState.mSettled.mHosts.contains(aGone.first); });
  return {};
}

rpc::Outcome
ApplyAdvanceClaimEpoch(ControlState& aState, const rpc::AdvanceClaimEpoch& aAdvance)
{
  // Two leaders may propose the same step, which must advance the epoch only once.
  if (aAdvance.from() != aState.mClaimEpoch) {
    return Refuse(Result::NoChange, "the claim epoch has advanced already");
  }
  aState.mClaimEpoch += 1;
  while (!aState.mClaims.empty() &&
         aState.mClaims.begin()->first + kRetainedClaimEpochs < aState.mClaimEpoch) {
    for (const auto& [key, claim] : aState.mClaims.begin()->second) {
      aState.mOutcomeBytes -= claim.mBody.size();
    }
    aState.mClaimCount -= aState.mClaims.begin()->second.size();
    aState.mClaims.erase(aState.mClaims.begin());
  }
  return {};
}

struct ClaimKey
{
  std::uint64_t mEpoch = 0;
  std::string mToken;
};

std::optional<ClaimKey>
ParseClaimKey(std::string_view aKey)
{
  ClaimKey key;
  const auto [end, error] = std::from_chars(aKey.data(), aKey.data() + aKey.size(), key.mEpoch);
  const auto epochLength = static_cast<std::size_t>(end - aKey.data());
  if (error != std::errc{} || epochLength >= aKey.size() || aKey[epochLength] != '.') {
    return std::nullopt;
  }
  key.mToken = aKey.substr(epochLength + 1);
  if (!IsToken(key.mToken, kMinClaimTokenLength, kMaxClaimTokenLength)) {
    return std::nullopt;
  }
  return key;
}

std::uint32_t
InternHost(ControlState& aState, const std::string& aHost)
{
  const auto [entry, added] = aState.mClaimHostIndex.try_emplace(
    aHost, static_cast<std::uint32_t>(aState.mClaimHosts.size()));
  if (added) {
    aState.mClaimHosts.push_back(aHost);
  }
  return entry->second;
}

rpc::ClaimReply
MakeClaimReply(Result aResult)
{
  rpc::ClaimReply reply;
  reply.set_result(static_cast<std::uint32_t>(aResult));
  return reply;
}

rpc::ClaimReply
ApplyClaim(ControlState& aState, const rpc::Claim& aClaim)
{
  auto key = ParseClaimKey(aClaim.key());
  if (!key || !IsPrintableText(aClaim.host(), 1, kMaxNameLength)) {
    return MakeClaimReply(Result::BadRequest);
  }
  if (key->mEpoch > aState.mClaimEpoch || key->mEpoch + kRetainedClaimEpochs < aState.mClaimEpoch) {
    return MakeClaimReply(Result::IdentityExpired);
  }
  auto& claims = aState.mClaims[key->mEpoch];
  const auto known = claims.find(key->mToken);
  if (known == claims.end()) {
    if (aState.mClaimCount >= aState.mMaxClaims) {
      if (claims.empty()) {
        aState.mClaims.erase(key->mEpoch);
      }
      return MakeClaimReply(Result::ClaimTableFull);
    }
    StoredClaim claim;
    claim.mFingerprint = aClaim.fingerprint();
    claim.mIncarnation = aClaim.incarnation();
    claim.mClaimId = aClaim.claim_id();
    claim.mHost = InternHost(aState, aClaim.host());
    claims.emplace(std::move(key->mToken), std::move(claim));
    aState.mClaimCount += 1;
    return MakeClaimReply(Result::Ok);
  }
  const StoredClaim& claim = known->second;
  if (claim.mFingerprint != aClaim.fingerprint()) {
    return MakeClaimReply(Result::ClaimMismatch);
  }
  if (claim.mDone) {
    rpc::ClaimReply reply = MakeClaimReply(Result::OutcomeRecorded);
    reply.set_outcome(claim.mResult);
    reply.set_body(claim.mBody);
    return reply;
  }
  const bool sameSubmission = aState.mClaimHosts[claim.mHost] == aClaim.host() &&
                              claim.mIncarnation == aClaim.incarnation() &&
                              claim.mClaimId == aClaim.claim_id();
  return MakeClaimReply(sameSubmission ? Result::Ok : Result::ClaimHeld);
}

rpc::ClaimReply
ApplyOutcome(ControlState& aState, const rpc::ClaimOutcome& aOutcome)
{
  const auto key = ParseClaimKey(aOutcome.key());
  if (!key) {
    return MakeClaimReply(Result::BadRequest);
  }
  const auto epoch = aState.mClaims.find(key->mEpoch);
  if (epoch == aState.mClaims.end() || !epoch->second.contains(key->mToken)) {
    return MakeClaimReply(Result::NotFound);
  }
  StoredClaim& claim = epoch->second.find(key->mToken)->second;
  if (aState.mClaimHosts[claim.mHost] != aOutcome.host() ||
      claim.mIncarnation != aOutcome.incarnation() || claim.mClaimId != aOutcome.claim_id()) {
    return MakeClaimReply(Result::ClaimHeld);
  }
  // Only the first outcome is recorded; a resend changes nothing.
  if (!claim.mDone) {
    claim.mDone = true;
    claim.mResult = static_cast<std::uint16_t>(aOutcome.result());
    // A body that exceeds a limit is dropped; the result is recorded without it.
    if (aOutcome.body().size() <= kMaxOutcomeBody &&
        aState.mOutcomeBytes + aOutcome.body().size() <= kMaxOutcomeBytes) {
      claim.mBody = aOutcome.body();
      aState.mOutcomeBytes += claim.mBody.size();
    }
  }
  return MakeClaimReply(Result::Ok);
}

rpc::Outcome
ApplyBatch(ControlState& aState, const rpc::Batch& aBatch)
{
  rpc::Outcome outcome;
  for (const rpc::Claim& claim : aBatch.claims()) {
    *outcome.add_claims() = ApplyClaim(aState, claim);
  }
  for (const rpc::ClaimOutcome& result : aBatch.outcomes()) {
    *outcome.add_claims() = ApplyOutcome(aState, result);
  }
  return outcome;
}

rpc::Outcome
ApplyQuarantine(ControlState& aState, const rpc::Command& aCommand)
{
  const rpc::Quarantine& reported = aCommand.quarantine();
  std::erase_if(aState.mQuarantines,
                [&](const auto& aEntry) { return aEntry.second.until_ms() <= aCommand.time_ms(); });
  if (!IsPrintableText(reported.collection(), 1, kMaxNameLength)) {
    return Refuse(Result::BadRequest, "the collection must have 1 to 64 bytes");
  }
  const std::pair key(reported.collection(), reported.fingerprint());
  if (!aState.mQuarantines.contains(key) && aState.mQuarantines.size() >= kMaxQuarantines) {
    return Refuse(Result::ClaimTableFull, "the quarantine list is full");
  }
  rpc::Quarantine& held = aState.mQuarantines[key];
  held.set_collection(reported.collection());
  held.set_fingerprint(reported.fingerprint());
  held.set_strikes(std::max(held.strikes(), reported.strikes()));
  held.set_until_ms(std::max(held.until_ms(), reported.until_ms()));
  return {};
}

// Checks that the operator is valid and may do aOperation, and returns its team.
Expected<std::string>
AuthorizeOperation(const ControlState& aState,
                   const rpc::Operator& aOperator,
                   std::string_view aOperation)
{
  if (const auto error = FindOperatorError(aOperator)) {
    return Fail(Result::BadRequest, *error);
  }
  if (auto allowed = Authorize(aState, aOperator.key_sha256(), aOperation); !allowed) {
    return tl::unexpected(allowed.error());
  }
  return FindTeam(aState, aOperator.key_sha256());
}

rpc::Outcome
ApplyLiftQuarantine(ControlState& aState, const rpc::Command& aCommand)
{
  const auto team = AuthorizeOperation(aState, aCommand.operator_(), kOperationQuarantine);
  if (!team) {
    return Refuse(team.error().mResult, team.error().mMessage);
  }
  const rpc::LiftQuarantine& lift = aCommand.lift_quarantine();
  if (aState.mQuarantines.erase({ lift.collection(), lift.fingerprint() }) == 0) {
    return Refuse(Result::NotFound, "this fingerprint is not in quarantine");
  }
  rpc::AuditEntry entry;
  entry.set_action(
    fmt::format("lift quarantine of {:016x} in {}", lift.fingerprint(), lift.collection()));
  AppendAudit(aState, aCommand, *team, std::move(entry));
  return {};
}

rpc::Outcome
ApplyDrain(ControlState& aState, const rpc::Command& aCommand)
{
  const rpc::Drain& drain = aCommand.drain();
  const auto team = AuthorizeOperation(aState, aCommand.operator_(), kOperationDrain);
  if (!team) {
    return Refuse(team.error().mResult, team.error().mMessage);
  }
  if (!IsPrintableText(drain.upstream(), 1, kMaxNameLength)) {
    return Refuse(Result::BadRequest, "the upstream must be a text of 1 to 64 bytes");
  }
  const bool draining = aState.mDrains.contains(drain.upstream());
  if (draining == drain.draining()) {
    return Refuse(Result::NoChange,
                  draining ? "the upstream is drained already" : "the upstream is not drained");
  }
  if (drain.draining() && aState.mDrains.size() >= kMaxDrains) {
    return Refuse(Result::BadRequest, "10000 upstreams are drained already");
  }
  if (drain.draining()) {
    aState.mDrains[drain.upstream()] = aCommand.time_ms();
  } else {
    aState.mDrains.erase(drain.upstream());
  }
  rpc::AuditEntry entry;
  entry.set_action((drain.draining() ? "drain " : "undrain ") + drain.upstream());
  AppendAudit(aState, aCommand, *team, std::move(entry));
  return {};
}

rpc::Outcome
ApplyHostGone(ControlState& aState, const rpc::Command& aCommand)
{
  const auto team = AuthorizeOperation(aState, aCommand.operator_(), kOperationEntries);
  if (!team) {
    return Refuse(team.error().mResult, team.error().mMessage);
  }
  const std::string& host = aCommand.host_gone().host();
  const bool known = aState.mSettled.mHosts.contains(host) ||
                     (aState.mPending && aState.mPending->mHosts.contains(host));
  if (!known) {
    return Refuse(Result::NotFound, "the roster has no such entry host");
  }
  aState.mGone[host] = aCommand.host_gone().incarnation();
  rpc::AuditEntry entry;
  entry.set_action("declare entry host gone: " + host);
  AppendAudit(aState, aCommand, *team, std::move(entry));
  return {};
}

rpc::Outcome
ApplyMembersChanged(ControlState& aState, const rpc::Command& aCommand)
{
  const auto team = AuthorizeOperation(aState, aCommand.operator_(), kOperationMembers);
  rpc::AuditEntry entry;
  entry.set_action(aCommand.members_changed());
  AppendAudit(aState, aCommand, team.value_or(""), std::move(entry));
  return {};
}

} // namespace

rpc::Outcome
Apply(ControlState& aState, const rpc::Command& aCommand)
{
  switch (aCommand.kind_case()) {
    case rpc::Command::kSubmit:
    case rpc::Command::kRollback:
      return ApplyConfigChange(aState, aCommand);
    case rpc::Command::kChangeRoster:
      return ApplyChangeRoster(aState, aCommand.change_roster());
    case rpc::Command::kSettleRoster:
      return ApplySettleRoster(aState, aCommand.settle_roster());
    case rpc::Command::kAdvanceClaimEpoch:
      return ApplyAdvanceClaimEpoch(aState, aCommand.advance_claim_epoch());
    case rpc::Command::kBatch:
      return ApplyBatch(aState, aCommand.batch());
    case rpc::Command::kQuarantine:
      return ApplyQuarantine(aState, aCommand);
    case rpc::Command::kLiftQuarantine:
      return ApplyLiftQuarantine(aState, aCommand);
    case rpc::Command::kDrain:
      return ApplyDrain(aState, aCommand);
    case rpc::Command::kControlHost:
      aState.mControlHosts[aCommand.control_host().id()] = aCommand.control_host();
      return {};
    case rpc::Command::kMembersChanged:
      return ApplyMembersChanged(aState, aCommand);
    case rpc::Command::kHostGone:
      return ApplyHostGone(aState, aCommand);
    case rpc::Command::KIND_NOT_SET:
      break;
  }
  return Refuse(Result::UnreadableState, "the command is of an unknown kind");
}

std::string
ApplyCommand(ControlState& aState, std::string_view aCommand)
{
  rpc::Command command;
  if (!command.ParseFromArray(aCommand.data(), static_cast<int>(aCommand.size()))) {
    return Refuse(Result::UnreadableState, "the command cannot be read").SerializeAsString();
  }
  return Apply(aState, command).SerializeAsString();
}

namespace {

void
SaveRoster(const Roster& aRoster, rpc::StateSnapshot::HeldRoster& aOut)
{
  aOut.set_epoch(aRoster.mEpoch);
  for (const auto& [name, host] : aRoster.mHosts) {
    *aOut.add_hosts() = host;
  }
}

Roster
LoadRoster(const rpc::StateSnapshot::HeldRoster& aHeld)
{
  Roster roster;
  roster.mEpoch = aHeld.epoch();
  for (const rpc::Host& host : aHeld.hosts()) {
    roster.mHosts[host.host()] = host;
  }
  return roster;
}

void
SaveClaims(const ControlState& aState, rpc::StateSnapshot& aOut)
{
  for (const auto& [epoch, claims] : aState.mClaims) {
    const std::string prefix = std::to_string(epoch) + ".";
    for (const auto& [key, claim] : claims) {
      rpc::StateSnapshot::HeldClaim& held = *aOut.add_claims();
      held.mutable_claim()->set_key(prefix + key);
      held.mutable_claim()->set_fingerprint(claim.mFingerprint);
      held.mutable_claim()->set_host(aState.mClaimHosts[claim.mHost]);
      held.mutable_claim()->set_incarnation(claim.mIncarnation);
      held.mutable_claim()->set_claim_id(claim.mClaimId);
      held.set_done(claim.mDone);
      held.set_result(claim.mResult);
      held.set_body(claim.mBody);
    }
  }
}

bool
LoadClaims(const rpc::StateSnapshot& aSnapshot, ControlState& aState)
{
  for (const rpc::StateSnapshot::HeldClaim& held : aSnapshot.claims()) {
    auto key = ParseClaimKey(held.claim().key());
    if (!key) {
      return false;
    }
    StoredClaim claim;
    claim.mFingerprint = held.claim().fingerprint();
    claim.mIncarnation = held.claim().incarnation();
    claim.mClaimId = held.claim().claim_id();
    claim.mHost = InternHost(aState, held.claim().host());
    claim.mResult = static_cast<std::uint16_t>(held.result());
    claim.mDone = held.done();
    claim.mBody = held.body();
    aState.mOutcomeBytes += claim.mBody.size();
    aState.mClaimCount += 1;
    auto& claims = aState.mClaims[key->mEpoch];
    // Snapshots list the claims in order, so each one belongs at the end.
    claims.emplace_hint(claims.end(), std::move(key->mToken), std::move(claim));
  }
  return true;
}

} // namespace

std::string
SaveState(const ControlState& aState)
{
  // The arena avoids two heap allocations per claim.
  google::protobuf::Arena arena;
  rpc::StateSnapshot& out = *google::protobuf::Arena::CreateMessage<rpc::StateSnapshot>(&arena);
  out.set_format(kSnapshotFormat);
  for (const auto& [revision, document] : aState.mRevisions) {
    rpc::StateSnapshot::HeldRevision& held = *out.add_revisions();
    held.set_revision(revision);
    held.set_document(document);
  }
  for (const rpc::AuditEntry& entry : aState.mAudit) {
    *out.add_audit() = entry;
  }
  for (const std::string& id : aState.mSubmissionOrder) {
    const StoredSubmission& submission = aState.mSubmissions.find(id)->second;
    rpc::StateSnapshot::HeldSubmission& held = *out.add_submissions();
    held.set_id(id);
    *held.mutable_outcome() = submission.mOutcome;
    held.set_fingerprint(submission.mFingerprint);
  }
  SaveRoster(aState.mSettled, *out.mutable_settled());
  if (aState.mPending) {
    SaveRoster(*aState.mPending, *out.mutable_pending());
  }
  out.set_claim_epoch(aState.mClaimEpoch);
  SaveClaims(aState, out);
  for (const auto& [key, quarantine] : aState.mQuarantines) {
    *out.add_quarantines() = quarantine;
  }
  for (const auto& [upstream, time] : aState.mDrains) {
    rpc::StateSnapshot::HeldDrain& held = *out.add_drains();
    held.set_upstream(upstream);
    held.set_time_ms(time);
  }
  for (const auto& [id, host] : aState.mControlHosts) {
    *out.add_control_hosts() = host;
  }
  for (const auto& [host, incarnation] : aState.mGone) {
    rpc::HostGone& gone = *out.add_gone();
    gone.set_host(host);
    gone.set_incarnation(incarnation);
  }
  return out.SerializeAsString();
}

Expected<void>
RestoreState(ControlState& aState, std::string_view aSnapshot)
{
  google::protobuf::Arena arena;
  rpc::StateSnapshot& held = *google::protobuf::Arena::CreateMessage<rpc::StateSnapshot>(&arena);
  if (!held.ParseFromArray(aSnapshot.data(), static_cast<int>(aSnapshot.size())) ||
      held.format() != kSnapshotFormat) {
    return Fail(Result::UnreadableState, "the snapshot is not of a known format");
  }
  ControlState state;
  state.mMaxClaims = aState.mMaxClaims;
  for (const rpc::StateSnapshot::HeldRevision& revision : held.revisions()) {
    state.mRevisions[revision.revision()] = revision.document();
    state.mHistoryBytes += revision.document().size();
  }
  if (!state.mRevisions.empty()) {
    // Parse problems are ignored: the revision was accepted earlier, so refusing the snapshot would
    // not help.
    state.mConfig = ParseConfig("document", state.mRevisions.rbegin()->second).mConfig;
    state.mConfig.mRevision = state.mRevisions.rbegin()->first;
  }
  state.mAudit.assign(held.audit().begin(), held.audit().end());
  for (const rpc::StateSnapshot::HeldSubmission& submission : held.submissions()) {
    state.mSubmissions[submission.id()] = { submission.fingerprint(), submission.outcome() };
    state.mSubmissionOrder.push_back(submission.id());
  }
  state.mSettled = LoadRoster(held.settled());
  if (held.has_pending()) {
    state.mPending = LoadRoster(held.pending());
  }
  state.mClaimEpoch = held.claim_epoch();
  if (!LoadClaims(held, state)) {
    return Fail(Result::UnreadableState, "the snapshot holds a claim with an unreadable key");
  }
  for (const rpc::Quarantine& quarantine : held.quarantines()) {
    state.mQuarantines[{ quarantine.collection(), quarantine.fingerprint() }] = quarantine;
  }
  for (const rpc::StateSnapshot::HeldDrain& drain : held.drains()) {
    state.mDrains[drain.upstream()] = drain.time_ms();
  }
  for (const rpc::ControlHost& host : held.control_hosts()) {
    state.mControlHosts[host.id()] = host;
  }
  for (const rpc::HostGone& gone : held.gone()) {
    state.mGone[gone.host()] = gone.incarnation();
  }
  aState = std::move(state);
  return {};
}

Revision
NewestRevision(const ControlState& aState)
{
  return aState.mRevisions.empty() ? 0 : aState.mRevisions.rbegin()->first;
}

const std::string*
FindDocument(const ControlState& aState, Revision aRevision)
{
  static const std::string sEmpty;
  if (aRevision == 0) {
    return &sEmpty;
  }
  const auto found = aState.mRevisions.find(aRevision);
  return found == aState.mRevisions.end() ? nullptr : &found->second;
}

Expected<std::string>
FindTeam(const ControlState& aState, std::string_view aKeySha256)
{
  if (aState.mConfig.mTeams.empty()) {
    return std::string();
  }
  for (const auto& [name, team] : aState.mConfig.mTeams) {
    if (!team.mKeySha256.empty() && team.mKeySha256 == aKeySha256) {
      return name;
    }
  }
  return Fail(Result::Unauthorized,
              aKeySha256.empty() ? "a team key is needed" : "no team has this key");
}

Expected<void>
Authorize(const ControlState& aState, std::string_view aKeySha256, std::string_view aSection)
{
  const auto team = FindTeam(aState, aKeySha256);
  if (!team) {
    return tl::unexpected(team.error());
  }
  if (team->empty()) {
    return {};
  }
  const TeamPolicy& policy = aState.mConfig.mTeams.find(*team)->second;
  const bool covered =
    std::any_of(policy.mSections.begin(), policy.mSections.end(), [&](const std::string& aPattern) {
      return CoversSection(aPattern, aSection);
    });
  if (!covered) {
    return Fail(Result::Forbidden, fmt::format("team {} may not change {}", *team, aSection));
  }
  return {};
}

std::vector<std::string>
Witnesses(const Roster& aRoster)
{
  std::map<std::string, std::vector<std::string>> centres;
  for (const auto& [name, host] : aRoster.mHosts) {
    centres[host.data_centre()].push_back(name);
  }
  std::vector<std::string> witnesses;
  for (std::size_t rank = 0; witnesses.size() < kMaxWitnesses; ++rank) {
    bool added = false;
    for (const auto& [centre, hosts] : centres) {
      if (rank < hosts.size() && witnesses.size() < kMaxWitnesses) {
        witnesses.push_back(hosts[rank]);
        added = true;
      }
    }
    if (!added) {
      break;
    }
  }
  // An even number of witnesses needs a larger majority, but tolerates no more failures than one
  // witness less.
  if (witnesses.size() > 1 && witnesses.size() % 2 == 0) {
    witnesses.pop_back();
  }
  return witnesses;
}

std::string
KeySha256(std::string_view aKey)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(), digest.data());
  std::string text;
  for (const unsigned char byte : digest) {
    text += fmt::format("{:02x}", byte);
  }
  return text;
}

} // namespace apricotyard
