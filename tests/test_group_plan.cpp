// Tests of the membership plan. They guard against a group that loses its majority: a voter removed
// without a replacement, an even number of voters, or a lost disk that still counts as a voter.
#include "group_plan.h"

#include <algorithm>
#include <set>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };

LogMember
Member(int aNumber, MemberRole aRole, const std::string& aNonce = "n")
{
  LogMember member;
  member.mId = "m" + std::to_string(aNumber) + "." + aNonce;
  member.mAddress = { "10.0.0." + std::to_string(aNumber), 7755 };
  member.mRole = aRole;
  member.mMatchIndex = 1000;
  return member;
}

MembershipView
MakeView(int aVoters, int aLearners)
{
  MembershipView view;
  view.mLastIndex = 1000;
  view.mLeader = "m1.n";
  view.mLeadingSince = kStart;
  for (int i = 1; i <= aVoters + aLearners; ++i) {
    view.mMembers.push_back(Member(i, i <= aVoters ? MemberRole::Voter : MemberRole::Learner));
    view.mHeardAt["10.0.0." + std::to_string(i)] = kStart + seconds(100);
  }
  return view;
}

// A host that starts with an empty disk.
struct Arrival
{
  int mHost = 0;
  seconds mAt{};
};

// A host that is lost for good. It announces its stop mNotice before.
struct Loss
{
  int mHost = 0;
  seconds mAt{};
  seconds mNotice{};
};

// The voters and the hosts that run at one moment.
struct GroupMoment
{
  TimePoint mAt;
  std::set<std::string> mVoters;
  std::set<std::string> mRunning;
};

// A host that starts counts as recovered after this time.
constexpr seconds kCatchUpTime{ 4 };
constexpr Duration kStepInterval = std::chrono::milliseconds(500);

void
ApplyChange(MembershipView& aView, const MembershipChange& aChange)
{
  const auto member = std::find_if(
    aView.mMembers.begin(), aView.mMembers.end(), [&aChange](const LogMember& aMember) {
      return aMember.mId == aChange.mMember.mId;
    });
  switch (aChange.mChange) {
    case MembershipChangeKind::AddLearner:
      aView.mMembers.push_back(aChange.mMember);
      break;
    case MembershipChangeKind::Promote:
      member->mRole = MemberRole::Voter;
      break;
    case MembershipChangeKind::Remove:
      aView.mMembers.erase(member);
      break;
  }
}

// Plays the plan over time, for a group whose leader, host 1, stays. Returns the moments at which
// every host that was lost has a successor that had time to catch up.
std::vector<GroupMoment>
PlayReplacements(int aVoters,
                 const std::vector<Arrival>& aArrivals,
                 const std::vector<Loss>& aLosses)
{
  constexpr seconds kPlayTime{ 60 };
  MembershipView view = MakeView(aVoters, 0);
  std::set<std::string> running;
  for (const LogMember& member : view.mMembers) {
    running.insert(member.mAddress.mIp);
  }
  std::vector<GroupMoment> moments;
  for (TimePoint now = kStart; now < kStart + kPlayTime; now += kStepInterval) {
    bool settled = true;
    view.mJoining.clear();
    for (const Arrival& arrival : aArrivals) {
      const LogMember member = Member(arrival.mHost, MemberRole::Learner);
      if (kStart + arrival.mAt <= now) {
        running.insert(member.mAddress.mIp);
        view.mJoining.push_back(member);
        settled &= kStart + arrival.mAt + kCatchUpTime <= now;
      }
    }
    std::size_t lost = 0;
    for (const Loss& loss : aLosses) {
      const std::string ip = Member(loss.mHost, MemberRole::Voter).mAddress.mIp;
      if (kStart + loss.mAt - loss.mNotice <= now) {
        view.mLeaving.insert(ip);
      }
      if (kStart + loss.mAt <= now) {
        running.erase(ip);
        ++lost;
      }
    }
    const std::size_t arrived = view.mJoining.size();
    for (const std::string& ip : running) {
      view.mHeardAt[ip] = now;
    }
    if (const auto change = PlanMembershipChange(view, now)) {
      ApplyChange(view, *change);
    }
    GroupMoment moment{ now, {}, running };
    for (const LogMember& member : view.mMembers) {
      if (member.mRole == MemberRole::Voter) {
        moment.mVoters.insert(member.mAddress.mIp);
      }
    }
    if (settled && lost <= arrived) {
      moments.push_back(std::move(moment));
    }
  }
  return moments;
}

void
CheckSurvivesOneMoreLoss(const std::vector<GroupMoment>& aMoments)
{
  CPPUNIT_ASSERT(!aMoments.empty());
  for (const GroupMoment& moment : aMoments) {
    const auto alive =
      std::count_if(moment.mVoters.begin(),
                    moment.mVoters.end(),
                    [&moment](const std::string& aIp) { return moment.mRunning.contains(aIp); });
    CPPUNIT_ASSERT_MESSAGE("at " + std::to_string((moment.mAt - kStart) / seconds(1)) + " s, " +
                             std::to_string(alive) + " of " +
                             std::to_string(moment.mVoters.size()) + " voters run",
                           static_cast<std::size_t>(alive) >= moment.mVoters.size() / 2 + 2);
  }
}

} // namespace

class GroupPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GroupPlanTest);
  CPPUNIT_TEST(HealthyGroupIsUnchanged);
  CPPUNIT_TEST(NewHostBecomesALearner);
  CPPUNIT_TEST(VoterCountStaysOdd);
  CPPUNIT_TEST(UnreachableVoterIsReplacedOnlyByCaughtUpLearner);
  CPPUNIT_TEST(TimeoutCountsFromStartOfLeadership);
  CPPUNIT_TEST(MemberWithNewDiskIsRemovedAndReadded);
  CPPUNIT_TEST(GroupSurvivesALossAfterTwoHostsWereReplaced);
  CPPUNIT_TEST(GroupDoesNotGrowWhileAVoterMayBeLost);
  CPPUNIT_TEST(GroupGrowsOnlyToItsTarget);
  CPPUNIT_TEST(GroupShrinksToItsTarget);
  CPPUNIT_TEST(LeavingVoterIsReplacedBeforeItStops);
  CPPUNIT_TEST(RemovedVoterThatReturnsAsksToJoin);
  CPPUNIT_TEST_SUITE_END();

public:
  void HealthyGroupIsUnchanged()
  {
    const TimePoint now = kStart + seconds(101);
    CPPUNIT_ASSERT(!PlanMembershipChange(MakeView(3, 0), now));
    CPPUNIT_ASSERT(!PlanMembershipChange(MakeView(3, 1), now));
    // Without a replacement a lost voter stays a member, since removing it gains nothing.
    MembershipView view = MakeView(3, 0);
    view.mHeardAt.erase("10.0.0.3");
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
  }

  void NewHostBecomesALearner()
  {
    MembershipView view = MakeView(3, 0);
    view.mJoining = { Member(4, MemberRole::Learner) };
    const auto step = PlanMembershipChange(view, kStart + seconds(101));
    CPPUNIT_ASSERT(step && step->mChange == MembershipChangeKind::AddLearner);
    CPPUNIT_ASSERT_EQUAL(std::string("m4.n"), step->mMember.mId);
  }

  void VoterCountStaysOdd()
  {
    const TimePoint now = kStart + seconds(101);
    const auto even = PlanMembershipChange(MakeView(2, 1), now);
    CPPUNIT_ASSERT(even && even->mChange == MembershipChangeKind::Promote);
    const auto pair = PlanMembershipChange(MakeView(3, 2), now);
    CPPUNIT_ASSERT(pair && pair->mChange == MembershipChangeKind::Promote);
    CPPUNIT_ASSERT(!PlanMembershipChange(MakeView(7, 2), now));
    MembershipView behind = MakeView(2, 1);
    behind.mMembers.back().mMatchIndex = 10;
    CPPUNIT_ASSERT(!PlanMembershipChange(behind, now));
  }

  void UnreachableVoterIsReplacedOnlyByCaughtUpLearner()
  {
    const TimePoint now = kStart + seconds(101);
    MembershipView view = MakeView(3, 1);
    view.mHeardAt["10.0.0.3"] = kStart;
    view.mMembers.back().mMatchIndex = 10;
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
    // A short time without contact may be a lost packet.
    view.mMembers.back().mMatchIndex = 1000;
    view.mHeardAt["10.0.0.3"] = now - seconds(1);
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
    view.mHeardAt["10.0.0.3"] = kStart;
    const auto promote = PlanMembershipChange(view, now);
    CPPUNIT_ASSERT(promote && promote->mChange == MembershipChangeKind::Promote);
    CPPUNIT_ASSERT_EQUAL(std::string("m4.n"), promote->mMember.mId);
    ApplyChange(view, *promote);
    const auto remove = PlanMembershipChange(view, now);
    CPPUNIT_ASSERT(remove && remove->mChange == MembershipChangeKind::Remove);
    CPPUNIT_ASSERT_EQUAL(std::string("m3.n"), remove->mMember.mId);
    ApplyChange(view, *remove);
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
  }

  void TimeoutCountsFromStartOfLeadership()
  {
    MembershipView view = MakeView(3, 1);
    view.mHeardAt.erase("10.0.0.3");
    view.mHeardAt["10.0.0.4"] = kStart;
    CPPUNIT_ASSERT(!PlanMembershipChange(view, kStart + seconds(1)));
    view.mHeardAt["10.0.0.4"] = kStart + seconds(3);
    CPPUNIT_ASSERT(PlanMembershipChange(view, kStart + seconds(3)));
  }

  void MemberWithNewDiskIsRemovedAndReadded()
  {
    const TimePoint now = kStart + seconds(101);
    MembershipView view = MakeView(3, 0);
    view.mJoining = { Member(3, MemberRole::Learner, "fresh") };
    const auto remove = PlanMembershipChange(view, now);
    CPPUNIT_ASSERT(remove && remove->mChange == MembershipChangeKind::Remove);
    CPPUNIT_ASSERT_EQUAL(std::string("m3.n"), remove->mMember.mId);
    view.mMembers.pop_back();
    const auto add = PlanMembershipChange(view, now);
    CPPUNIT_ASSERT(add && add->mChange == MembershipChangeKind::AddLearner);
    view.mMembers.push_back(Member(3, MemberRole::Learner, "fresh"));
    const auto promote = PlanMembershipChange(view, now);
    CPPUNIT_ASSERT(promote && promote->mChange == MembershipChangeKind::Promote);
  }

  // Host 2 is lost and replaced by 4; host 5 joins to replace 3, which is stopped 4 s later.
  void GroupSurvivesALossAfterTwoHostsWereReplaced()
  {
    const std::vector<Arrival> arrivals{ { 4, seconds(21) }, { 5, seconds(28) } };
    const std::vector<Loss> losses{ { 2, seconds(20) }, { 3, seconds(33), seconds(1) } };
    CheckSurvivesOneMoreLoss(PlayReplacements(3, arrivals, losses));
  }

  void GroupDoesNotGrowWhileAVoterMayBeLost()
  {
    MembershipView view = MakeView(3, 2);
    view.mHeardAt["10.0.0.3"] = kStart + seconds(99);
    // No growth while a voter may be lost.
    CPPUNIT_ASSERT(!PlanMembershipChange(view, kStart + std::chrono::milliseconds(100'600)));
  }

  void GroupGrowsOnlyToItsTarget()
  {
    const TimePoint now = kStart + seconds(100);
    MembershipView view = MakeView(3, 2);
    view.mTargetVoters = VotersFor(1);
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
    view.mTargetVoters = VotersFor(2);
    CPPUNIT_ASSERT(PlanMembershipChange(view, now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, VotersFor(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, VotersFor(2));
    CPPUNIT_ASSERT_EQUAL(kMaxVoters, VotersFor(9));
  }

  void GroupShrinksToItsTarget()
  {
    const TimePoint now = kStart + seconds(100);
    MembershipView view = MakeView(4, 0);
    view.mTargetVoters = VotersFor(1);
    view.mHeardAt["10.0.0.3"] = now - std::chrono::milliseconds(400);
    const auto step = PlanMembershipChange(view, now);
    CPPUNIT_ASSERT(step && step->mChange == MembershipChangeKind::Remove);
    CPPUNIT_ASSERT_EQUAL(std::string("m3.n"), step->mMember.mId);
    // Two of five that are gone for good need no replacement.
    view = MakeView(5, 0);
    view.mTargetVoters = VotersFor(1);
    view.mHeardAt["10.0.0.4"] = kStart;
    view.mHeardAt["10.0.0.5"] = kStart;
    for (const std::string expected : { "m4.n", "m5.n" }) {
      const auto removal = PlanMembershipChange(view, now);
      CPPUNIT_ASSERT(removal && removal->mChange == MembershipChangeKind::Remove);
      CPPUNIT_ASSERT_EQUAL(expected, removal->mMember.mId);
      ApplyChange(view, *removal);
    }
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
  }

  void LeavingVoterIsReplacedBeforeItStops()
  {
    const TimePoint now = kStart + seconds(100);
    MembershipView view = MakeView(3, 1);
    view.mLeaving = { "10.0.0.1" };
    for (const auto expected : { MembershipChangeKind::Promote, MembershipChangeKind::Remove }) {
      const auto step = PlanMembershipChange(view, now);
      CPPUNIT_ASSERT(step && step->mChange == expected);
      ApplyChange(view, *step);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("m2.n"), view.mMembers.front().mId);
  }

  void RemovedVoterThatReturnsAsksToJoin()
  {
    // Its own member list still names it.
    LogStatus status;
    status.mSelf = "m3.n";
    status.mMembers = MakeView(3, 0).mMembers;
    CPPUNIT_ASSERT(!ShouldRequestJoin(status, seconds(1)));
    CPPUNIT_ASSERT(ShouldRequestJoin(status, seconds(4)));
    status.mMembers.pop_back();
    CPPUNIT_ASSERT(ShouldRequestJoin(status, seconds(0)));
    // The leader adds it as a learner, with the identity that it had, and ignores a present member.
    MembershipView view = MakeView(2, 1);
    view.mMembers.back().mMatchIndex = 0;
    view.mJoining = { Member(4, MemberRole::Learner) };
    const auto step = PlanMembershipChange(view, kStart + seconds(100));
    CPPUNIT_ASSERT(step && step->mChange == MembershipChangeKind::AddLearner);
    ApplyChange(view, *step);
    view.mMembers.back().mMatchIndex = 0;
    view.mHeardAt["10.0.0.4"] = kStart + seconds(99);
    CPPUNIT_ASSERT(!PlanMembershipChange(view, kStart + seconds(100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupPlanTest);
