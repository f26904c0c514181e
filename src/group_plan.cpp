#include "group_plan.h"

#include <algorithm>

namespace apricotyard {

namespace {

// A learner that lacks at most this many entries has caught up.
constexpr std::uint64_t kCaughtUp = 64;

Duration
Silence(const MembershipView& aView, const LogMember& aMember, TimePoint aNow)
{
  const auto heard = aView.mHeardAt.find(aMember.mAddress.mIp);
  const TimePoint since = heard == aView.mHeardAt.end()
                            ? aView.mLeadingSince
                            : std::max(heard->second, aView.mLeadingSince);
  return aNow - since;
}

bool
IsSilent(const MembershipView& aView, const LogMember& aMember, Duration aFor, TimePoint aNow)
{
  return aMember.mId != aView.mLeader && Silence(aView, aMember, aNow) >= aFor;
}

} // namespace

std::optional<GroupStep>
PlanGroup(const MembershipView& aView, TimePoint aNow)
{
  // A host that joins with another identity has lost its disk; the old identity never comes back.
  for (const LogMember& joining : aView.mJoining) {
    for (const LogMember& member : aView.mMembers) {
      if (member.mAddress == joining.mAddress && member.mId != joining.mId) {
        return GroupStep{ GroupChange::Remove, member };
      }
    }
  }
  for (const LogMember& joining : aView.mJoining) {
    const bool known =
      std::any_of(aView.mMembers.begin(),
                  aView.mMembers.end(),
                  [&joining](const LogMember& aMember) { return aMember.mId == joining.mId; });
    if (!known) {
      return GroupStep{ GroupChange::AddLearner, joining };
    }
  }
  std::size_t voters = 0;
  std::vector<LogMember> ready;
  const LogMember* silentVoter = nullptr;
  for (const LogMember& member : aView.mMembers) {
    if (member.mRole == MemberRole::Voter) {
      ++voters;
      if (IsSilent(aView, member, kVoterSilence, aNow)) {
        silentVoter = &member;
      }
    } else if (IsSilent(aView, member, kLearnerSilence, aNow)) {
      return GroupStep{ GroupChange::Remove, member };
    } else if (member.mMatched + kCaughtUp >= aView.mLastIndex &&
               !IsSilent(aView, member, kVoterSilence, aNow)) {
      ready.push_back(member);
    }
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  if (voters % 2 == 0 || (ready.size() >= 2 && voters + 2 <= kMaxVoters)) {
    return GroupStep{ GroupChange::Promote, ready.front() };
  }
  if (silentVoter != nullptr) {
    return GroupStep{ GroupChange::Remove, *silentVoter };
  }
  return std::nullopt;
}

} // namespace apricotyard
