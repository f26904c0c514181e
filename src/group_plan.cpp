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

bool
IsLeaving(const MembershipView& aView, const LogMember& aMember)
{
  return aView.mLeaving.contains(aMember.mAddress.mIp);
}

// The members by what the plan may do with them.
struct MemberGroups
{
  std::vector<LogMember> mVoters;
  // Voters that are to be replaced, those that are unreachable first.
  std::vector<LogMember> mLostVoters;
  // Learners that may be promoted.
  std::vector<LogMember> mReadyLearners;
  std::optional<LogMember> mLostLearner;
  bool mAllVotersInContact = true;
};

MemberGroups
GroupMembers(const MembershipView& aView, TimePoint aNow)
{
  MemberGroups groups;
  std::vector<LogMember> leavingVoters;
  for (const LogMember& member : aView.mMembers) {
    const bool unreachable = IsUnreachable(aView, member, kVoterTimeout, aNow);
    if (member.mRole == MemberRole::Voter) {
      groups.mVoters.push_back(member);
      groups.mAllVotersInContact &= !IsUnreachable(aView, member, kSteadyContact, aNow);
      if (unreachable) {
        groups.mLostVoters.push_back(member);
      } else if (IsLeaving(aView, member)) {
        leavingVoters.push_back(member);
      }
    } else if (IsUnreachable(aView, member, kLearnerTimeout, aNow)) {
      groups.mLostLearner = member;
    } else if (member.mMatchIndex + kMaxPromotionLag >= aView.mLastIndex && !unreachable &&
               !IsLeaving(aView, member)) {
      groups.mReadyLearners.push_back(member);
    }
  }
  groups.mLostVoters.insert(groups.mLostVoters.end(), leavingVoters.begin(), leavingVoters.end());
  return groups;
}

// A host that joins with a new identity has lost its disk, so its old identity will never return.
std::optional<MembershipChange>
RemoveLostIdentity(const MembershipView& aView)
{
  for (const LogMember& joining : aView.mJoining) {
    for (const LogMember& member : aView.mMembers) {
      if (member.mAddress == joining.mAddress && member.mId != joining.mId) {
        return MembershipChange{ MembershipChangeKind::Remove, member };
      }
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
AddJoiningHost(const MembershipView& aView)
{
  for (const LogMember& joining : aView.mJoining) {
    const bool isMember =
      std::any_of(aView.mMembers.begin(),
                  aView.mMembers.end(),
                  [&joining](const LogMember& aMember) { return aMember.mId == joining.mId; });
    if (!isMember) {
      return MembershipChange{ MembershipChangeKind::AddLearner, joining };
    }
  }
  return std::nullopt;
}

// Replaces a lost voter by a learner. The learner is promoted first: if another voter loses its
// disk in between, a lost voter that returns completes the majority again.
std::optional<MembershipChange>
ReplaceLostVoter(const MembershipView& aView, const MemberGroups& aGroups)
{
  const std::size_t voters = aGroups.mVoters.size();
  const bool spare = voters > kMinVoters && (voters % 2 == 0 || voters > aView.mTargetVoters);
  if (spare) {
    return MembershipChange{ MembershipChangeKind::Remove, aGroups.mLostVoters.front() };
  }
  if (!aGroups.mReadyLearners.empty()) {
    return MembershipChange{ MembershipChangeKind::Promote, aGroups.mReadyLearners.front() };
  }
  return std::nullopt;
}

// The voter that the group misses least: not the leader, and the one that was heard from least
// recently.
const LogMember&
MostDispensable(const MembershipView& aView, const MemberGroups& aGroups, TimePoint aNow)
{
  return *std::max_element(aGroups.mVoters.begin(),
                           aGroups.mVoters.end(),
                           [&aView, aNow](const LogMember& aLeft, const LogMember& aRight) {
                             const auto rank = [&](const LogMember& aMember) {
                               return aMember.mId == aView.mLeader
                                        ? Duration(-1)
                                        : TimeSinceHeard(aView, aMember, aNow);
                             };
                             return rank(aLeft) < rank(aRight);
                           });
}

// Brings the number of voters of a group without losses closer to the target.
std::optional<MembershipChange>
ResizeGroup(const MembershipView& aView, const MemberGroups& aGroups, TimePoint aNow)
{
  const std::size_t voters = aGroups.mVoters.size();
  const std::size_t ready = aGroups.mReadyLearners.size();
  if (voters > aView.mTargetVoters && aGroups.mAllVotersInContact) {
    return MembershipChange{ MembershipChangeKind::Remove, MostDispensable(aView, aGroups, aNow) };
  }
  // Promotes a learner if that makes the number of voters odd, or if a second learner can be
  // promoted after it.
  const bool completes = voters % 2 == 0 && ready >= 1 && voters < aView.mTargetVoters;
  const bool grows = voters % 2 == 1 && ready >= 2 && voters + 2 <= aView.mTargetVoters &&
                     aGroups.mAllVotersInContact;
  if (completes || grows) {
    return MembershipChange{ MembershipChangeKind::Promote, aGroups.mReadyLearners.front() };
  }
  return std::nullopt;
}

} // namespace

std::size_t
VotersFor(std::size_t aToleratedLosses)
{
  return std::clamp(2 * aToleratedLosses + 1, kMinVoters, kMaxVoters);
}

bool
ShouldRequestJoin(const LogStatus& aStatus, Duration aLeaderless)
{
  const bool isMember =
    std::any_of(aStatus.mMembers.begin(),
                aStatus.mMembers.end(),
                [&aStatus](const LogMember& aMember) { return aMember.mId == aStatus.mSelf; });
  return !isMember || aLeaderless >= kRejoinTimeout;
}

std::optional<MembershipChange>
PlanMembershipChange(const MembershipView& aView, TimePoint aNow)
{
  if (auto removal = RemoveLostIdentity(aView)) {
    return removal;
  }
  if (auto addition = AddJoiningHost(aView)) {
    return addition;
  }
  const MemberGroups groups = GroupMembers(aView, aNow);
  if (groups.mLostLearner) {
    return MembershipChange{ MembershipChangeKind::Remove, *groups.mLostLearner };
  }
  return groups.mLostVoters.empty() ? ResizeGroup(aView, groups, aNow)
                                    : ReplaceLostVoter(aView, groups);
}

} // namespace apricotyard
