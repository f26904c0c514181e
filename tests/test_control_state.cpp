// Guards against operators losing each other's changes, a change without permission, a submission
// or a claim that counts twice, and members whose states differ.
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
Document(const std::string& aCheck, const std::string& aList, const std::string& aTeams = "")
{
  return fmt::format("[class.check]\ndeadline = \"{}\"\n\n[class.list]\ndeadline = \"{}\"\n{}",
                     aCheck,
                     aList,
                     aTeams);
}

std::string
Teams()
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
Expect(Result aResult, const rpc::Outcome& aOutcome)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aOutcome.message(),
                               std::string(Describe(aResult).mName),
                               std::string(Describe(static_cast<Result>(aOutcome.result())).mName));
}

Result
Claim(ControlState& aState,
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
Finish(ControlState& aState, const std::string& aKey, std::uint64_t aId, const std::string& aBody)
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
AdvanceEpoch(ControlState& aState, std::uint64_t aTimes)
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

// A random command out of small domains, so that conflicts, resends and repeats are frequent.
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
                           Document(fmt::format("{}ms", 1 + pick(3)),
                                    fmt::format("{}s", 1 + pick(3)),
                                    pick(3) == 0 ? Teams() : ""),
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
  CPPUNIT_TEST(OneOfTwoEqualNumbersWins);
  CPPUNIT_TEST(ResendGetsTheFirstOutcome);
  CPPUNIT_TEST(RollbackMakesANewRevision);
  CPPUNIT_TEST(TeamsChangeOnlyTheirSections);
  CPPUNIT_TEST(MergeCannotBreakReferences);
  CPPUNIT_TEST(RefusesMalformedSubmissions);
  CPPUNIT_TEST(DryRunChangesNothing);
  CPPUNIT_TEST(HistoryIsBounded);
  CPPUNIT_TEST(KeyIsClaimedOnce);
  CPPUNIT_TEST(ExpiredEpochsAreRefusedAndDropped);
  CPPUNIT_TEST(FullClaimTableRefuses);
  CPPUNIT_TEST(RosterChangesInTwoSteps);
  CPPUNIT_TEST(WitnessesSpreadOverDataCentres);
  CPPUNIT_TEST(UnreadableInputChangesNothing);
  CPPUNIT_TEST(SnapshotAndReplayGiveEqualStates);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mState = ControlState{};
    Expect(Result::Ok, Apply(mState, SubmitCommand("first-submission", 0, Document("1s", "1s"))));
  }

  void MergesConcurrentEdits()
  {
    Expect(Result::Ok, Apply(mState, SubmitCommand("submission-a", 1, Document("2s", "1s"))));
    const rpc::Outcome merged =
      Apply(mState, SubmitCommand("submission-b", 1, Document("1s", "3s"), "bo"));
    Expect(Result::Ok, merged);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, merged.revision());
    CPPUNIT_ASSERT_EQUAL(Document("2s", "3s"), *FindDocument(mState, 3));
    CPPUNIT_ASSERT_EQUAL(std::string("class.list"), mState.mAudit.back().changed(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, mState.mAudit.back().base_revision());
  }

  void ConflictNamesAuthorRevisionAndDifference()
  {
    Apply(mState, SubmitCommand("submission-a", 1, Document("2s", "1s")));
    const rpc::Outcome refused =
      Apply(mState, SubmitCommand("submission-b", 1, Document("3s", "1s"), "bo"));
    Expect(Result::SectionConflict, refused);
    CPPUNIT_ASSERT_EQUAL(1, refused.conflicts_size());
    CPPUNIT_ASSERT_EQUAL(std::string("ada"), refused.conflicts(0).author());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, refused.conflicts(0).revision());
    CPPUNIT_ASSERT_EQUAL(std::string(" [class.check]\n-deadline = \"2s\"\n+deadline = \"3s\"\n"),
                         refused.conflicts(0).difference());
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
  }

  void OneOfTwoEqualNumbersWins()
  {
    rpc::Command one = SubmitCommand("submission-a", 1, Document("2s", "1s"));
    rpc::Command two = SubmitCommand("submission-b", 1, Document("1s", "2s"), "bo");
    one.mutable_submit()->set_wanted_revision(2);
    two.mutable_submit()->set_wanted_revision(2);
    Expect(Result::Ok, Apply(mState, one));
    const rpc::Outcome refused = Apply(mState, two);
    Expect(Result::RevisionTaken, refused);
    CPPUNIT_ASSERT(refused.message().find("ada") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(Document("2s", "1s"), *FindDocument(mState, 2));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
  }

  void ResendGetsTheFirstOutcome()
  {
    const rpc::Command lost = SubmitCommand("submission-a", 1, Document("2s", "1s"));
    Apply(mState, lost);
    Apply(mState, SubmitCommand("submission-b", 2, Document("5s", "1s")));
    rpc::Command again = lost;
    again.set_time_ms(9000);
    const rpc::Outcome outcome = Apply(mState, again);
    Expect(Result::Ok, outcome);
    CPPUNIT_ASSERT(outcome.resent());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, outcome.revision());
    CPPUNIT_ASSERT_EQUAL(Document("5s", "1s"), *FindDocument(mState, NewestRevision(mState)));
    // A refusal is an outcome as well: a later resend must not slip through.
    const rpc::Command conflict = SubmitCommand("submission-c", 1, Document("7s", "1s"));
    Expect(Result::SectionConflict, Apply(mState, conflict));
    Apply(mState, RollbackCommand("submission-d", 1, 0));
    Expect(Result::SectionConflict, Apply(mState, conflict));
    Expect(Result::SubmissionReused,
           Apply(mState, SubmitCommand("submission-a", 1, Document("8s", "1s"))));
  }

  void RollbackMakesANewRevision()
  {
    Apply(mState, SubmitCommand("submission-a", 1, Document("2s", "1s")));
    const rpc::Outcome outcome = Apply(mState, RollbackCommand("submission-b", 1, 2));
    Expect(Result::Ok, outcome);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, outcome.revision());
    CPPUNIT_ASSERT_EQUAL(Document("1s", "1s"), *FindDocument(mState, 3));
    CPPUNIT_ASSERT(mState.mConfig.mClasses.at("check").mDeadline == std::chrono::seconds(1));
    Expect(Result::RevisionTaken, Apply(mState, RollbackCommand("submission-c", 2, 2)));
    Expect(Result::UnknownRevision, Apply(mState, RollbackCommand("submission-d", 9, 0)));
    Expect(Result::NoChange, Apply(mState, RollbackCommand("submission-e", 1, 0)));
    CPPUNIT_ASSERT_EQUAL(Revision{ 3 }, NewestRevision(mState));
  }

  void TeamsChangeOnlyTheirSections()
  {
    Expect(Result::Ok,
           Apply(mState, SubmitCommand("submission-a", 1, Document("1s", "1s", Teams()))));
    const auto submit =
      [&](const char* aId, const std::string& aDocument, const std::string& aKey) {
        return Apply(mState, SubmitCommand(aId, NewestRevision(mState), aDocument, "bo", aKey));
      };
    Expect(Result::Unauthorized, submit("submission-b", Document("2s", "1s", Teams()), ""));
    Expect(Result::Unauthorized, submit("submission-b", Document("2s", "1s", Teams()), "00"));
    Expect(Result::Forbidden, submit("submission-c", Document("1s", "2s", Teams()), kDeskKey));
    // A permitted edit does not carry a forbidden one with it.
    Expect(Result::Forbidden, submit("submission-d", Document("2s", "2s", Teams()), kDeskKey));
    Expect(Result::Forbidden,
           submit("submission-e", "# note\n\n" + Document("1s", "1s", Teams()), kDeskKey));
    Expect(Result::InvalidDocument,
           submit("submission-f",
                  Document("1s", "1s", Teams().substr(Teams().find("\n[team.desk]"))),
                  kAdminKey));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
    const rpc::Outcome good = submit("submission-g", Document("2s", "1s", Teams()), kDeskKey);
    Expect(Result::Ok, good);
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), good.team());
    CPPUNIT_ASSERT(Authorize(mState, kDeskKey, kOperationMembers).error().mResult ==
                   Result::Forbidden);
    CPPUNIT_ASSERT(Authorize(mState, kAdminKey, kOperationMembers).has_value());
  }

  void MergeCannotBreakReferences()
  {
    const std::string caller = "\n[caller.x]\ncollections = []\nclasses = [\"list\"]\n";
    Apply(mState, SubmitCommand("submission-a", 1, Document("1s", "1s", caller)));
    // Valid alone, but the merge would leave a caller of a class that is gone.
    Expect(Result::InvalidDocument,
           Apply(mState, SubmitCommand("submission-b", 1, "[class.check]\ndeadline = \"1s\"\n")));
    CPPUNIT_ASSERT_EQUAL(Revision{ 2 }, NewestRevision(mState));
  }

  void RefusesMalformedSubmissions()
  {
    const std::string good = Document("2s", "1s");
    Expect(Result::BadRequest, Apply(mState, SubmitCommand("short", 1, good)));
    Expect(Result::BadRequest, Apply(mState, SubmitCommand("submission a", 1, good)));
    Expect(Result::BadRequest, Apply(mState, SubmitCommand("submission-a", 1, good, "")));
    Expect(Result::BadRequest, Apply(mState, SubmitCommand("submission-a", 1, good, "a\nb")));
    Expect(Result::UnknownRevision, Apply(mState, SubmitCommand("submission-b", 2, good)));
    Expect(Result::InvalidDocument, Apply(mState, SubmitCommand("submission-c", 1, "[class.")));
    Expect(Result::InvalidDocument,
           Apply(mState, SubmitCommand("submission-d", 1, good + std::string(kMaxDocument, '#'))));
    Expect(Result::NoChange, Apply(mState, SubmitCommand("submission-e", 1, Document("1s", "1s"))));
    CPPUNIT_ASSERT_EQUAL(Revision{ 1 }, NewestRevision(mState));
  }

  void DryRunChangesNothing()
  {
    const std::string before = SaveState(mState);
    rpc::Command command = SubmitCommand("submission-a", 1, Document("2s", "1s"));
    command.mutable_submit()->set_dry_run(true);
    const rpc::Outcome outcome = Apply(mState, command);
    Expect(Result::Ok, outcome);
    CPPUNIT_ASSERT(outcome.difference().find("+deadline = \"2s\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(before, SaveState(mState));
  }

  void HistoryIsBounded()
  {
    const std::string filler = "\n# " + std::string(kMaxDocument - 1000, 'x') + "\n";
    for (int i = 0; i < 40; ++i) {
      Expect(Result::Ok,
             Apply(mState,
                   SubmitCommand(fmt::format("submission-{}", i),
                                 NewestRevision(mState),
                                 Document(fmt::format("{}ms", i + 1), "1s") + filler)));
    }
    CPPUNIT_ASSERT(mState.mHistoryBytes <= kMaxHistoryBytes);
    CPPUNIT_ASSERT_EQUAL(Revision{ 41 }, NewestRevision(mState));
    Expect(Result::UnknownRevision,
           Apply(mState, SubmitCommand("submission-old", 1, Document("9s", "1s"))));
  }

  void KeyIsClaimedOnce()
  {
    CPPUNIT_ASSERT(Claim(mState, "1.random-key", 1) == Result::Ok);
    // The repeated claim of the same submission after a lost answer is granted, another one is not.
    CPPUNIT_ASSERT(Claim(mState, "1.random-key", 1) == Result::Ok);
    CPPUNIT_ASSERT(Claim(mState, "1.random-key", 2) == Result::ClaimHeld);
    CPPUNIT_ASSERT(Claim(mState, "1.random-key", 2, 8) == Result::ClaimMismatch);
    CPPUNIT_ASSERT(Finish(mState, "1.random-key", 2, "x").result() ==
                   static_cast<std::uint32_t>(Result::ClaimHeld));
    CPPUNIT_ASSERT_EQUAL(0U, Finish(mState, "1.random-key", 1, "first").result());
    CPPUNIT_ASSERT_EQUAL(0U, Finish(mState, "1.random-key", 1, "second").result());
    CPPUNIT_ASSERT(Claim(mState, "1.random-key", 1) == Result::OutcomeRecorded);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), mState.mClaims.at(1).at("random-key").mBody);
    CPPUNIT_ASSERT(Claim(mState, "1.another-key", 1) == Result::Ok);
    CPPUNIT_ASSERT_EQUAL(0U, Finish(mState, "1.another-key", 1, std::string(5000, 'x')).result());
    CPPUNIT_ASSERT(mState.mClaims.at(1).at("another-key").mBody.empty());
    for (const char* const bad :
         { "", "1", "1.", "1.short", "x.random-key", "1.random key", "-1.random-key" }) {
      CPPUNIT_ASSERT_MESSAGE(bad, Claim(mState, bad, 1) == Result::BadRequest);
    }
  }

  void ExpiredEpochsAreRefusedAndDropped()
  {
    CPPUNIT_ASSERT(Claim(mState, "2.random-key", 1) == Result::IdentityExpired);
    Claim(mState, "1.random-key", 1);
    Finish(mState, "1.random-key", 1, "body");
    AdvanceEpoch(mState, kKeptClaimEpochs);
    CPPUNIT_ASSERT(Claim(mState, "1.random-key", 1) == Result::OutcomeRecorded);
    AdvanceEpoch(mState, 1);
    CPPUNIT_ASSERT(Claim(mState, "1.random-key", 1) == Result::IdentityExpired);
    CPPUNIT_ASSERT(Claim(mState, "1.new-random-key", 1) == Result::IdentityExpired);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mState.mClaimCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mState.mOutcomeBytes);
    // A second leader that proposes the same step does not advance twice.
    rpc::Command late;
    late.mutable_advance_claim_epoch()->set_from(mState.mClaimEpoch - 1);
    Expect(Result::NoChange, Apply(mState, late));
  }

  void FullClaimTableRefuses()
  {
    mState.mMaxClaims = 2;
    CPPUNIT_ASSERT(Claim(mState, "1.random-key-1", 1) == Result::Ok);
    CPPUNIT_ASSERT(Claim(mState, "1.random-key-2", 1) == Result::Ok);
    CPPUNIT_ASSERT(Claim(mState, "1.random-key-3", 1) == Result::ClaimTableFull);
    CPPUNIT_ASSERT(!Describe(Result::ClaimTableFull).mMayHaveRun);
    CPPUNIT_ASSERT(Claim(mState, "1.random-key-1", 2) == Result::ClaimHeld);
    AdvanceEpoch(mState, kKeptClaimEpochs + 1);
    CPPUNIT_ASSERT(Claim(mState, "20.random-key-3", 1) == Result::Ok);
  }

  void RosterChangesInTwoSteps()
  {
    Expect(Result::Ok, Apply(mState, RosterCommand(0, { "a1", "b1" }, "")));
    CPPUNIT_ASSERT(mState.mSettled.mHosts.empty());
    Expect(Result::RosterBusy, Apply(mState, RosterCommand(0, { "c1" }, "")));
    rpc::Command settle;
    settle.mutable_settle_roster()->set_epoch(2);
    Expect(Result::RosterBusy, Apply(mState, settle));
    settle.mutable_settle_roster()->set_epoch(1);
    Expect(Result::Ok, Apply(mState, settle));
    Expect(Result::RosterBusy, Apply(mState, settle));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mState.mSettled.mHosts.size());
    Expect(Result::RosterBusy, Apply(mState, RosterCommand(0, { "c1" }, "")));
    Expect(Result::Ok, Apply(mState, RosterCommand(1, { "c1" }, "a1")));
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
    Expect(Result::UnreadableState, outcome);
    Expect(Result::UnreadableState, Apply(mState, rpc::Command()));
    CPPUNIT_ASSERT(!RestoreState(mState, "\xff\xff").has_value());
    CPPUNIT_ASSERT(!RestoreState(mState, "").has_value());
    CPPUNIT_ASSERT_EQUAL(before, SaveState(mState));
  }

  // A member that restores a snapshot in the middle must end in the same state, and give the same
  // outcomes, as one that applied every command.
  void SnapshotAndReplayGiveEqualStates()
  {
    const auto property = [] {
      ControlState whole;
      ControlState restored;
      const std::size_t count = 60;
      const auto cut = *rc::gen::inRange<std::size_t>(0, count);
      Revision newest = 0;
      for (std::size_t i = 0; i < count; ++i) {
        if (i == cut) {
          RC_ASSERT(RestoreState(restored, SaveState(whole)).has_value());
        }
        const std::string command = RandomCommand().SerializeAsString();
        const std::string outcome = ApplyCommand(whole, command);
        if (i >= cut) {
          RC_ASSERT(outcome == ApplyCommand(restored, command));
        }
        RC_ASSERT(NewestRevision(whole) == newest || NewestRevision(whole) == newest + 1);
        newest = NewestRevision(whole);
      }
      RC_ASSERT(SaveState(whole) == SaveState(restored));
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
