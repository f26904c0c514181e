// Tests of the membership plan. They guard against a group that loses its majority: a voter removed
// without a replacement, an even number of voters, or a lost disk that still counts as a voter.
#include "group_plan.h"

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
    const auto step = PlanMembershipChange(view, now);
    CPPUNIT_ASSERT(step && step->mChange == MembershipChangeKind::Remove);
    CPPUNIT_ASSERT_EQUAL(std::string("m3.n"), step->mMember.mId);
    view.mMembers.back().mMatchIndex = 10;
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
    // A short time without contact may be a restart.
    view.mMembers.back().mMatchIndex = 1000;
    view.mHeardAt["10.0.0.3"] = now - seconds(5);
    CPPUNIT_ASSERT(!PlanMembershipChange(view, now));
  }

  void TimeoutCountsFromStartOfLeadership()
  {
    MembershipView view = MakeView(3, 1);
    view.mHeardAt.erase("10.0.0.3");
    CPPUNIT_ASSERT(!PlanMembershipChange(view, kStart + seconds(5)));
    CPPUNIT_ASSERT(PlanMembershipChange(view, kStart + seconds(20)));
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupPlanTest);
