// Chooses the leader's next change to the membership of a Raft group. Pure functions.
//
// The number of voters is kept odd: an even number tolerates no more failures than the odd number
// below it, and every change has to wait for one more disk. A spare member stays a learner, so that
// it can replace a voter immediately.
#ifndef APRICOTYARD_GROUP_PLAN_H
#define APRICOTYARD_GROUP_PLAN_H

#include "replicated_log.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// A voter that was not heard from for this time may be replaced by a learner that has caught up.
// Longer than a restart, a freeze or a short partition.
inline constexpr Duration kVoterTimeout = std::chrono::seconds(10);
// A learner that was not heard from for this time is removed.
inline constexpr Duration kLearnerTimeout = std::chrono::seconds(60);
// Maximum number of voters. More would only make every change slower.
inline constexpr std::size_t kMaxVoters = 7;

enum class MembershipChangeKind : std::uint8_t
{
  AddLearner,
  Promote,
  Remove,
};

struct MembershipChange
{
  MembershipChangeKind mChange = MembershipChangeKind::AddLearner;
  LogMember mMember;
};

struct MembershipView
{
  // The member list in effect and the leader's last log index.
  std::vector<LogMember> mMembers;
  std::uint64_t mLastIndex = 0;
  std::string mLeader;
  // Hosts that ask to join, with the identity of their disk and their address.
  std::vector<LogMember> mJoining;
  // When each member was last heard from, by the IP address of its host.
  std::map<std::string, TimePoint> mHeardAt;
  // When this host became the leader. The time without contact counts from then at the earliest.
  TimePoint mLeadingSince;
};

// The next membership change, or nothing if none is needed. aNow is on the clock of aView.
// Thread-safe.
std::optional<MembershipChange>
PlanMembershipChange(const MembershipView& aView, TimePoint aNow);

} // namespace apricotyard

#endif
