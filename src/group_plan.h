// Which hosts form the control group: decides the leader's next membership change. Pure.
//
// Voters are kept at an odd number: an even one loses its majority as early as the odd number below
// it and waits for one more disk on every change. A spare member stays a learner, so that it can
// replace a voter at once.
#ifndef APRICOTYARD_GROUP_PLAN_H
#define APRICOTYARD_GROUP_PLAN_H

#include "replicated_log.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// A voter that was not heard for this time may be replaced by a learner that has caught up. Longer
// than a restart, a freeze or a short partition.
inline constexpr Duration kVoterSilence = std::chrono::seconds(10);
// A learner that was not heard for this time is removed.
inline constexpr Duration kLearnerSilence = std::chrono::seconds(60);
// Most voters; more would only slow down every change.
inline constexpr std::size_t kMaxVoters = 7;

enum class GroupChange : std::uint8_t
{
  AddLearner,
  Promote,
  Remove,
};

struct GroupStep
{
  GroupChange mChange = GroupChange::AddLearner;
  LogMember mMember;
};

struct MembershipView
{
  // The members in effect, and the leader's last index.
  std::vector<LogMember> mMembers;
  std::uint64_t mLastIndex = 0;
  std::string mLeader;
  // Hosts that ask to be members: identity of their disk and address.
  std::vector<LogMember> mJoining;
  // When each member was last heard, by the IP address of its host.
  std::map<std::string, TimePoint> mHeardAt;
  // When this host began to lead; silence counts from then at the earliest.
  TimePoint mLeadingSince;
};

// The next change, or nothing.
std::optional<GroupStep>
PlanGroup(const MembershipView& aView, TimePoint aNow);

} // namespace apricotyard

#endif
