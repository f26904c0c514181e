// Tests of the replicated control state. They guard against operators overwriting each other's
// changes, changes without permission, submissions or claims that are applied twice, and members
// whose states diverge.
#include "config_merge.h"
#include "control_state.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace apricotyard;

namespace {

const std::string kAdminKey = KeySha256("admin-key");
const std::string kDeskKey = KeySha256("desk-key");

std::string
MakeDocument(const std::string& aCheck, const std::string& aList, const std::string& aTeams = "")
{
  return fmt::format("[class.check]\ndeadline = \"{}\"\n\n[class.list]\ndeadline = \"{}\"\n{}",
                     aCheck,
                     aList,
                     aTeams);
}

std::string
MakeTeams()
{
  return fmt::format("\n[team.admin]\nkey_sha256 = \"{}\"\nsections = [\"*\"]\n"
                     "\n[team.desk]\nkey_sha256 = \"{}\"\nsections = [\"class.check\"]\n",
                     kAdminKey,
                     kDeskKey);
}

rpc::Command
SubmitCommand(const std::string& aId,
              Revision aBase,
              const std::string& aDocument,
              const std::string& aAuthor = "ada",
              const std::string& aKey = "")
{
  rpc::Command command;
  command.set_time_ms(1000);
  command.mutable_operator_()->set_author(aAuthor);
  command.mutable_operator_()->set_reason("test");
  command.mutable_operator_()->set_key_sha256(aKey);
  command.mutable_submit()->set_submission_id(aId);
  command.mutable_submit()->set_base_revision(aBase);
  command.mutable_submit()->set_document(aDocument);
  return command;
}

rpc::Command
RollbackCommand(const std::string& aId, Revision aTo, Revision aBase)
{
  rpc::Command command = SubmitCommand("", 0, "");
  command.mutable_rollback()->set_submission_id(aId);
  command.mutable_rollback()->set_to_revision(aTo);
  command.mutable_rollback()->set_base_revision(aBase);
  return command;
}

void
ExpectResult(Result aResult, const rpc::Outcome& aOutcome)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aOutcome.message(),
                               std::string(Describe(aResult).mName),
                               std::string(Describe(static_cast<Result>(aOutcome.result())).mName));
}

Result
MakeClaim(ControlState& aState,
          const std::string& aKey,
          std::uint64_t aId,
          std::uint64_t aFingerprint = 7)
{
  rpc::Command command;
  rpc::Claim& claim = *command.mutable_batch()->add_claims();
  claim.set_key(aKey);
  claim.set_fingerprint(aFingerprint);
  claim.set_host("entry-1");
  claim.set_incarnation(1);
  claim.set_claim_id(aId);
  return static_cast<Result>(Apply(aState, command).claims(0).result());
}

rpc::ClaimReply
RecordOutcome(ControlState& aState,
              const std::string& aKey,
              std::uint64_t aId,
              const std::string& aBody)
{
  rpc::Command command;
  rpc::ClaimOutcome& outcome = *command.mutable_batch()->add_outcomes();
  outcome.set_key(aKey);
  outcome.set_host("entry-1");
  outcome.set_incarnation(1);
  outcome.set_claim_id(aId);
  outcome.set_result(100);
  outcome.set_body(aBody);
  return Apply(aState, command).claims(0);
}

void
AdvanceClaimEpochs(ControlState& aState, std::uint64_t aTimes)
{
  for (std::uint64_t i = 0; i < aTimes; ++i) {
    rpc::Command command;
    command.mutable_advance_claim_epoch()->set_from(aState.mClaimEpoch);
    Apply(aState, command);
  }
}

rpc::Command
RosterCommand(std::uint64_t aSettled,
              const std::vector<std::string>& aPresent,
              const std::string& aAbsent)
{
  rpc::Command command;
  command.mutable_change_roster()->set_settled_epoch(aSettled);
  for (const std::string& name : aPresent) {
    rpc::Host& host = *command.mutable_change_roster()->add_present();
    host.set_host(name);
    host.set_data_centre(name.substr(0, 1));
  }
  if (!aAbsent.empty()) {
    command.mutable_change_roster()->add_absent(aAbsent);
  }
  return command;
}

// Returns a random command. Its values come from small ranges, so that conflicts and resends are
// frequent.
rpc::Command
RandomCommand()
{
  const auto pick = [](std::uint64_t aEnd) { return *rc::gen::inRange<std::uint64_t>(0, aEnd); };
  const std::string id = fmt::format("submission-{}", pick(12));
  const std::string key = fmt::format("{}.random-key-{}", pick(30), pick(4));
  rpc::Command command;
  switch (pick(9)) {
    case 0:
    case 1:
      return SubmitCommand(id,
                           pick(8),
                           MakeDocument(fmt::format("{}ms", 1 + pick(3)),
                                        fmt::format("{}s", 1 + pick(3)),
                                        pick(3) == 0 ? MakeTeams() : ""),
                           "ada",
                           pick(2) == 0 ? kAdminKey : kDeskKey);
    case 2:
      return RollbackCommand(id, pick(6), pick(6));
    case 3:
      return RosterCommand(pick(4), { fmt::format("h{}", pick(4)) }, fmt::format("h{}", pick(4)));
    case 4:
      command.mutable_settle_roster()->set_epoch(pick(5));
      return command;
    case 5:
      command.mutable_advance_claim_epoch()->set_from(pick(30));
      return command;
    case 6: {
      rpc::Claim& claim = *command.mutable_batch()->add_claims();
      claim.set_key(key);
      claim.set_host(fmt::format("h{}", pick(3)));
      claim.set_claim_id(pick(2));
      rpc::ClaimOutcome& outcome = *command.mutable_batch()->add_outcomes();
      outcome.set_key(key);
      outcome.set_host(fmt::format("h{}", pick(3)));
      outcome.set_claim_id(pick(2));
      outcome.set_body(std::string(pick(5000), 'b'));
      return command;
    }
    case 7:
      command.set_time_ms(pick(100));
      command.mutable_quarantine()->set_collection("desk");
      command.mutable_quarantine()->set_fingerprint(pick(3));
      command.mutable_quarantine()->set_until_ms(pick(200));
      return command;
    default:
      command = SubmitCommand("", 0, "", "ada", kAdminKey);
      command.mutable_drain()->set_upstream(fmt::format("u{}", pick(3)));
      command.mutable_drain()->set_draining(pick(2) == 0);
      return command;
  }
}

} // namespace

class ControlStateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlStateTest);
  CPPUNIT_TEST(MergesConcurrentEdits);
  CPPUNIT_TEST(ConflictNamesAuthorRevisionAndDifference);
  CPPUNIT_TEST(WantedRevisionIsGivenOnce);
  CPPUNIT_TEST(ResendGetsRecordedOutcome);
  CPPUNIT_TEST(RollbackCreatesNewRevision);
  CPPUNIT_TEST(TeamsChangeOnlyTheirSections);
  CPPUNIT_TEST(MergedDocumentIsValidated);
  CPPUNIT_TEST(RefusesMalformedSubmissions);
  CPPUNIT_TEST(DryRunChangesNothing);
  CPPUNIT_TEST(HistoryIsBounded);
  CPPUNIT_TEST(KeyIsClaimedOnce);
  CPPUNIT_TEST(ExpiredClaimEpochsAreDropped);
  CPPUNIT_TEST(FullClaimTableRefusesNewKeys);
  CPPUNIT_TEST(RosterChangeIsProposedThenSettled);
  CPPUNIT_TEST(WitnessesSpreadOverDataCentres);
  CPPUNIT_TEST(UnreadableInputChangesNothing);
  CPPUNIT_TEST(SnapshotAndReplayGiveEqualStates);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mState = ControlState{};
    ExpectResult(Result::Ok,
                 Apply(mState, SubmitCommand("first-submission", 0, MakeDocument("1s", "1s"))));
  }

  void MergesConcurrentEdits()
  {
    ExpectResult(Result::Ok,
                 Apply(mState, SubmitCommand("submission-a", 1, MakeDocument("2s", "1s"))));
    const rpc::Outcome merged =
      Apply(mState, SubmitCommand("submission-b", 1, MakeDocument("1s", "3s"), "bo"));
    ExpectResult(Result::Ok, merged);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, merged.revision());
    CPPUNIT_ASSERT_EQUAL(MakeDocument("2s", "3s"), *FindDocument(mState, 3));
    CPPUNIT_ASSERT_EQUAL(std::string("class.list"), mState.mAudit.back().changed(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, mState.mAudit.back().base_revision());
  }

  void ConflictNamesAuthorRevisionAndDifference()
  {
    Apply(mState, SubmitCommand("submission-a", 1, MakeDocument("2s", "1s")));
    const rpc::Outcome refused =
      Apply(mState, SubmitCommand("submission-b", 1, MakeDocument("3s", "1s"), "bo"));
    ExpectResult(Result::SectionConflict, refused);
    CPPUNIT_ASSERT_EQUAL(1, refused.conflicts_size());
    CPPUNIT_ASSERT_EQUAL(std::string("ada"), refused.conflicts(0).author());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, refused.conflicts(0).revision());
    CPPUNIT_ASSERT_EQUAL(std::string(" [class.check]\n-deadline = \"2s\"\n+deadline = \"3s\"\n"),
                         refused.conflicts(0).difference());
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
  }

  void WantedRevisionIsGivenOnce()
  {
    rpc::Command one = SubmitCommand("submission-a", 1, MakeDocument("2s", "1s"));
    rpc::Command two = SubmitCommand("submission-b", 1, MakeDocument("1s", "2s"), "bo");
    one.mutable_submit()->set_wanted_revision(2);
    two.mutable_submit()->set_wanted_revision(2);
    ExpectResult(Result::Ok, Apply(mState, one));
    const rpc::Outcome refused = Apply(mState, two);
    ExpectResult(Result::RevisionTaken, refused);
    CPPUNIT_ASSERT(refused.message().find("ada") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(MakeDocument("2s", "1s"), *FindDocument(mState, 2));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
  }

  void ResendGetsRecordedOutcome()
  {
    const rpc::Command original = SubmitCommand("submission-a", 1, MakeDocument("2s", "1s"));
    Apply(mState, original);
    Apply(mState, SubmitCommand("submission-b", 2, MakeDocument("5s", "1s")));
    rpc::Command resend = original;
    resend.set_time_ms(9000);
    const rpc::Outcome outcome = Apply(mState, resend);
    ExpectResult(Result::Ok, outcome);
    CPPUNIT_ASSERT(outcome.resent());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, outcome.revision());
    CPPUNIT_ASSERT_EQUAL(MakeDocument("5s", "1s"), *FindDocument(mState, NewestRevision(mState)));
    // A refusal is recorded too: a resend is refused even if the submission would now be valid.
    const rpc::Command conflict = SubmitCommand("submission-c", 1, MakeDocument("7s", "1s"));
    ExpectResult(Result::SectionConflict, Apply(mState, conflict));
    Apply(mState, RollbackCommand("submission-d", 1, 0));
    ExpectResult(Result::SectionConflict, Apply(mState, conflict));
    ExpectResult(Result::SubmissionReused,
                 Apply(mState, SubmitCommand("submission-a", 1, MakeDocument("8s", "1s"))));
  }

  void RollbackCreatesNewRevision()
  {
    Apply(mState, SubmitCommand("submission-a", 1, MakeDocument("2s", "1s")));
    const rpc::Outcome outcome = Apply(mState, RollbackCommand("submission-b", 1, 2));
    ExpectResult(Result::Ok, outcome);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, outcome.revision());
    CPPUNIT_ASSERT_EQUAL(MakeDocument("1s", "1s"), *FindDocument(mState, 3));
    CPPUNIT_ASSERT(mState.mConfig.mClasses.at("check").mDeadline == std::chrono::seconds(1));
    ExpectResult(Result::RevisionTaken, Apply(mState, RollbackCommand("submission-c", 2, 2)));
    ExpectResult(Result::UnknownRevision, Apply(mState, RollbackCommand("submission-d", 9, 0)));
    ExpectResult(Result::NoChange, Apply(mState, RollbackCommand("submission-e", 1, 0)));
    CPPUNIT_ASSERT_EQUAL(Revision{ 3 }, NewestRevision(mState));
  }

  void TeamsChangeOnlyTheirSections()
  {
    ExpectResult(
      Result::Ok,
      Apply(mState, SubmitCommand("submission-a", 1, MakeDocument("1s", "1s", MakeTeams()))));
    const auto submit =
      [&](const char* aId, const std::string& aDocument, const std::string& aKey) {
        return Apply(mState, SubmitCommand(aId, NewestRevision(mState), aDocument, "bo", aKey));
      };
    ExpectResult(Result::Unauthorized,
                 submit("submission-b", MakeDocument("2s", "1s", MakeTeams()), ""));
    ExpectResult(Result::Unauthorized,
                 submit("submission-b", MakeDocument("2s", "1s", MakeTeams()), "00"));
    ExpectResult(Result::Forbidden,
                 submit("submission-c", MakeDocument("1s", "2s", MakeTeams()), kDeskKey));
    // One forbidden edit makes the whole submission forbidden.
    ExpectResult(Result::Forbidden,
                 submit("submission-d", MakeDocument("2s", "2s", MakeTeams()), kDeskKey));
    ExpectResult(
      Result::Forbidden,
      submit("submission-e", "# note\n\n" + MakeDocument("1s", "1s", MakeTeams()), kDeskKey));
    ExpectResult(
      Result::InvalidDocument,
      submit("submission-f",
             MakeDocument("1s", "1s", MakeTeams().substr(MakeTeams().find("\n[team.desk]"))),
             kAdminKey));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
    const rpc::Outcome accepted =
      submit("submission-g", MakeDocument("2s", "1s", MakeTeams()), kDeskKey);
    ExpectResult(Result::Ok, accepted);
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), accepted.team());
    CPPUNIT_ASSERT(Authorize(mState, kDeskKey, kOperationMembers).error().mResult ==
                   Result::Forbidden);
    CPPUNIT_ASSERT(Authorize(mState, kAdminKey, kOperationMembers).has_value());
  }

  void MergedDocumentIsValidated()
  {
    const std::string caller = "\n[caller.x]\ncollections = []\nclasses = [\"list\"]\n";
    Apply(mState, SubmitCommand("submission-a", 1, MakeDocument("1s", "1s", caller)));
    // The document is valid by itself, but the merged document has a caller of a class that no
    // longer exists.
    ExpectResult(
      Result::InvalidDocument,
      Apply(mState, SubmitCommand("submission-b", 1, "[class.check]\ndeadline = \"1s\"\n")));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
  }

  void RefusesMalformedSubmissions()
  {
    const std::string validDocument = MakeDocument("2s", "1s");
    ExpectResult(Result::BadRequest, Apply(mState, SubmitCommand("short", 1, validDocument)));
    ExpectResult(Result::BadRequest,
                 Apply(mState, SubmitCommand("submission a", 1, validDocument)));
    ExpectResult(Result::BadRequest,
                 Apply(mState, SubmitCommand("submission-a", 1, validDocument, "")));
    ExpectResult(Result::BadRequest,
                 Apply(mState, SubmitCommand("submission-a", 1, validDocument, "a\nb")));
    ExpectResult(Result::UnknownRevision,
                 Apply(mState, SubmitCommand("submission-b", 2, validDocument)));
    ExpectResult(Result::InvalidDocument,
                 Apply(mState, SubmitCommand("submission-c", 1, "[class.")));
    ExpectResult(
      Result::InvalidDocument,
      Apply(mState,
            SubmitCommand("submission-d", 1, validDocument + std::string(kMaxDocumentBytes, '#'))));
    ExpectResult(Result::NoChange,
                 Apply(mState, SubmitCommand("submission-e", 1, MakeDocument("1s", "1s"))));
    CPPUNIT_ASSERT_EQUAL(Revision{ 1 }, NewestRevision(mState));
  }

  void DryRunChangesNothing()
  {
    const std::string before = SaveState(mState);
    rpc::Command command = SubmitCommand("submission-a", 1, MakeDocument("2s", "1s"));
    command.mutable_submit()->set_dry_run(true);
    const rpc::Outcome outcome = Apply(mState, command);
    ExpectResult(Result::Ok, outcome);
    CPPUNIT_ASSERT(outcome.difference().find("+deadline = \"2s\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(before, SaveState(mState));
  }

  void HistoryIsBounded()
  {
    const std::string filler = "\n# " + std::string(kMaxDocumentBytes - 1000, 'x') + "\n";
    for (int i = 0; i < 40; ++i) {
      ExpectResult(Result::Ok,
                   Apply(mState,
                         SubmitCommand(fmt::format("submission-{}", i),
                                       NewestRevision(mState),
                                       MakeDocument(fmt::format("{}ms", i + 1), "1s") + filler)));
    }
    CPPUNIT_ASSERT(mState.mHistoryBytes <= kMaxHistoryBytes);
    CPPUNIT_ASSERT_EQUAL(Revision{ 41 }, NewestRevision(mState));
    ExpectResult(Result::UnknownRevision,
                 Apply(mState, SubmitCommand("submission-old", 1, MakeDocument("9s", "1s"))));
  }

  void KeyIsClaimedOnce()
  {
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key", 1) == Result::Ok);
    // After a lost reply the same submission may claim the key again, but another submission may
    // not.
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key", 1) == Result::Ok);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key", 2) == Result::ClaimHeld);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key", 2, 8) == Result::ClaimMismatch);
    CPPUNIT_ASSERT(RecordOutcome(mState, "1.random-key", 2, "x").result() ==
                   static_cast<std::uint32_t>(Result::ClaimHeld));
    CPPUNIT_ASSERT_EQUAL(0U, RecordOutcome(mState, "1.random-key", 1, "first").result());
    CPPUNIT_ASSERT_EQUAL(0U, RecordOutcome(mState, "1.random-key", 1, "second").result());
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key", 1) == Result::OutcomeRecorded);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), mState.mClaims.at(1).at("random-key").mBody);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.another-key", 1) == Result::Ok);
    CPPUNIT_ASSERT_EQUAL(
      0U, RecordOutcome(mState, "1.another-key", 1, std::string(5000, 'x')).result());
    CPPUNIT_ASSERT(mState.mClaims.at(1).at("another-key").mBody.empty());
    for (const char* const malformed :
         { "", "1", "1.", "1.short", "x.random-key", "1.random key", "-1.random-key" }) {
      CPPUNIT_ASSERT_MESSAGE(malformed, MakeClaim(mState, malformed, 1) == Result::BadRequest);
    }
  }

  void ExpiredClaimEpochsAreDropped()
  {
    CPPUNIT_ASSERT(MakeClaim(mState, "2.random-key", 1) == Result::IdentityExpired);
    MakeClaim(mState, "1.random-key", 1);
    RecordOutcome(mState, "1.random-key", 1, "body");
    AdvanceClaimEpochs(mState, kRetainedClaimEpochs);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key", 1) == Result::OutcomeRecorded);
    AdvanceClaimEpochs(mState, 1);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key", 1) == Result::IdentityExpired);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.new-random-key", 1) == Result::IdentityExpired);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mState.mClaimCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mState.mOutcomeBytes);
    // A second leader that proposes the same step does not advance the epoch again.
    rpc::Command late;
    late.mutable_advance_claim_epoch()->set_from(mState.mClaimEpoch - 1);
    ExpectResult(Result::NoChange, Apply(mState, late));
  }

  void FullClaimTableRefusesNewKeys()
  {
    mState.mMaxClaims = 2;
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key-1", 1) == Result::Ok);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key-2", 1) == Result::Ok);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key-3", 1) == Result::ClaimTableFull);
    CPPUNIT_ASSERT(!Describe(Result::ClaimTableFull).mMayHaveRun);
    CPPUNIT_ASSERT(MakeClaim(mState, "1.random-key-1", 2) == Result::ClaimHeld);
    AdvanceClaimEpochs(mState, kRetainedClaimEpochs + 1);
    CPPUNIT_ASSERT(MakeClaim(mState, "20.random-key-3", 1) == Result::Ok);
  }

  void RosterChangeIsProposedThenSettled()
  {
    ExpectResult(Result::Ok, Apply(mState, RosterCommand(0, { "a1", "b1" }, "")));
    CPPUNIT_ASSERT(mState.mSettled.mHosts.empty());
    ExpectResult(Result::RosterBusy, Apply(mState, RosterCommand(0, { "c1" }, "")));
    rpc::Command settle;
    settle.mutable_settle_roster()->set_epoch(2);
    ExpectResult(Result::RosterBusy, Apply(mState, settle));
    settle.mutable_settle_roster()->set_epoch(1);
    ExpectResult(Result::Ok, Apply(mState, settle));
    ExpectResult(Result::RosterBusy, Apply(mState, settle));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mState.mSettled.mHosts.size());
    ExpectResult(Result::RosterBusy, Apply(mState, RosterCommand(0, { "c1" }, "")));
    ExpectResult(Result::Ok, Apply(mState, RosterCommand(1, { "c1" }, "a1")));
    CPPUNIT_ASSERT(mState.mSettled.mHosts.contains("a1") &&
                   !mState.mPending->mHosts.contains("a1"));
  }

  void WitnessesSpreadOverDataCentres()
  {
    Roster roster;
    for (const char* const name : { "a1", "a2", "a3", "a4", "b1", "c1" }) {
      roster.mHosts[name].set_data_centre(std::string(1, name[0]));
    }
    CPPUNIT_ASSERT((std::vector<std::string>{ "a1", "b1", "c1", "a2", "a3" }) == Witnesses(roster));
    for (int i = 0; i < 40; ++i) {
      roster.mHosts[fmt::format("d{}", i)].set_data_centre("d");
    }
    CPPUNIT_ASSERT_EQUAL(kMaxWitnesses, Witnesses(roster).size());
  }

  void UnreadableInputChangesNothing()
  {
    const std::string before = SaveState(mState);
    rpc::Outcome outcome;
    outcome.ParseFromString(ApplyCommand(mState, "\xff\xff\xff"));
    ExpectResult(Result::UnreadableState, outcome);
    ExpectResult(Result::UnreadableState, Apply(mState, rpc::Command()));
    CPPUNIT_ASSERT(!RestoreState(mState, "\xff\xff").has_value());
    CPPUNIT_ASSERT(!RestoreState(mState, "").has_value());
    CPPUNIT_ASSERT_EQUAL(before, SaveState(mState));
  }

  // A member that starts from a snapshot must produce the same outcomes and end in the same state
  // as a member that applied every command.
  void SnapshotAndReplayGiveEqualStates()
  {
    const auto property = [] {
      ControlState replayed;
      ControlState restored;
      const std::size_t count = 60;
      const auto snapshotAt = *rc::gen::inRange<std::size_t>(0, count);
      Revision newest = 0;
      for (std::size_t i = 0; i < count; ++i) {
        if (i == snapshotAt) {
          RC_ASSERT(RestoreState(restored, SaveState(replayed)).has_value());
        }
        const std::string command = RandomCommand().SerializeAsString();
        const std::string outcome = ApplyCommand(replayed, command);
        if (i >= snapshotAt) {
          RC_ASSERT(outcome == ApplyCommand(restored, command));
        }
        RC_ASSERT(NewestRevision(replayed) == newest || NewestRevision(replayed) == newest + 1);
        newest = NewestRevision(replayed);
      }
      RC_ASSERT(SaveState(replayed) == SaveState(restored));
    };
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 200;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CPPUNIT_ASSERT_MESSAGE(text.str(), result.template is<rc::detail::SuccessResult>());
  }

private:
  ControlState mState;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlStateTest);
