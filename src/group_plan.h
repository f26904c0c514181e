// Chooses the leader's next change to the membership of a Raft group. Pure functions.
//
// The number of voters is kept odd: an even number tolerates no more failures than the odd number
// below it, and every change has to wait for one more disk. It is kept at what the tolerated losses
// require: each further voter that is lost for good has to be replaced as well, or it counts
// against the majority from then on. Other members stay learners, so that they can replace a voter
// immediately.
#ifndef APRICOTYARD_GROUP_PLAN_H
#define APRICOTYARD_GROUP_PLAN_H

#include "replicated_log.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

// A voter that was not heard from for this time is replaced by a learner that has caught up. It is
// shorter than the time in which the next host may be lost, and longer than an election. A voter
// that was replaced and returns becomes a learner.
inline constexpr Duration kVoterTimeout = std::chrono::seconds(2);
// The group grows only if every voter was heard from within this time.
inline constexpr Duration kSteadyContact = std::chrono::milliseconds(1500);
// A learner that was not heard from for this time is removed.
inline constexpr Duration kLearnerTimeout = std::chrono::seconds(60);
// Maximum number of voters. More would only make every change slower.
inline constexpr std::size_t kMaxVoters = 7;
inline constexpr std::size_t kMinVoters = 3;

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
  // When each member last answered the leader, by the IP address of its host.
  std::map<std::string, TimePoint> mHeardAt;
  // IP addresses of the hosts that announced their stop.
  std::set<std::string> mLeaving;
  // The group grows to this number of voters, which is odd.
  std::size_t mTargetVoters = kMaxVoters;
  // When this host became the leader. The time without contact counts from then at the earliest.
  TimePoint mLeadingSince;
};

// The number of voters of which aToleratedLosses may fail at once, from kMinVoters to kMaxVoters.
// Thread-safe.
std::size_t
VotersFor(std::size_t aToleratedLosses);

// A member that knew no leader for this time may have been removed while it was out of contact, and
// asks to join. Longer than an election.
inline constexpr Duration kRejoinTimeout = std::chrono::seconds(3);

// Whether a host asks the leader to add it: it is in no member list that it knows of, or has not
// known a leader for aLeaderless. Thread-safe.
bool
ShouldRequestJoin(const LogStatus& aStatus, Duration aLeaderless);

// The next membership change, or nothing if none is needed. aNow is on the clock of aView.
// Thread-safe.
std::optional<MembershipChange>
PlanMembershipChange(const MembershipView& aView, TimePoint aNow);

} // namespace apricotyard

#endif
