#include "group_plan.h"

#include <algorithm>

namespace apricotyard {

namespace {

// A learner that lacks at most this many entries has caught up.
constexpr std::uint64_t kMaxPromotionLag = 64;

Duration
TimeSinceHeard(const MembershipView& aView, const LogMember& aMember, TimePoint aNow)
{
  const auto heard = aView.mHeardAt.find(aMember.mAddress.mIp);
  const TimePoint since = heard == aView.mHeardAt.end()
                            ? aView.mLeadingSince
                            : std::max(heard->second, aView.mLeadingSince);
  return aNow - since;
}

bool
IsUnreachable(const MembershipView& aView,
              const LogMember& aMember,
              Duration aTimeout,
              TimePoint aNow)
{
  return aMember.mId != aView.mLeader && TimeSinceHeard(aView, aMember, aNow) >= aTimeout;
}

} // namespace

std::optional<MembershipChange>
PlanMembershipChange(const MembershipView& aView, TimePoint aNow)
{
  // A host that joins with a new identity has lost its disk, so its old identity will never return.
  for (const LogMember& joining : aView.mJoining) {
    for (const LogMember& member : aView.mMembers) {
      if (member.mAddress == joining.mAddress && member.mId != joining.mId) {
        return MembershipChange{ MembershipChangeKind::Remove, member };
      }
    }
  }
  for (const LogMember& joining : aView.mJoining) {
    const bool isMember =
      std::any_of(aView.mMembers.begin(),
                  aView.mMembers.end(),
                  [&joining](const LogMember& aMember) { return aMember.mId == joining.mId; });
    if (!isMember) {
      return MembershipChange{ MembershipChangeKind::AddLearner, joining };
    }
  }
  std::size_t voters = 0;
  std::vector<LogMember> promotable;
  const LogMember* unreachableVoter = nullptr;
  for (const LogMember& member : aView.mMembers) {
    if (member.mRole == MemberRole::Voter) {
      ++voters;
      if (IsUnreachable(aView, member, kVoterTimeout, aNow)) {
        unreachableVoter = &member;
      }
    } else if (IsUnreachable(aView, member, kLearnerTimeout, aNow)) {
      return MembershipChange{ MembershipChangeKind::Remove, member };
    } else if (member.mMatchIndex + kMaxPromotionLag >= aView.mLastIndex &&
               !IsUnreachable(aView, member, kVoterTimeout, aNow)) {
      promotable.push_back(member);
    }
  }
  if (promotable.empty()) {
    return std::nullopt;
  }
  // Promotes a learner if that makes the number of voters odd, or if a second learner can be
  // promoted after it.
  if (voters % 2 == 0 || (promotable.size() >= 2 && voters + 2 <= kMaxVoters)) {
    return MembershipChange{ MembershipChangeKind::Promote, promotable.front() };
  }
  // The removal makes the number of voters even, so the next change promotes a learner.
  if (unreachableVoter != nullptr) {
    return MembershipChange{ MembershipChangeKind::Remove, *unreachableVoter };
  }
  return std::nullopt;
}

} // namespace apricotyard
