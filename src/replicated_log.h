// Interface between a replicated state machine and the log that replicates its commands.
#ifndef APRICOTYARD_REPLICATED_LOG_H
#define APRICOTYARD_REPLICATED_LOG_H

#include "types.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// A state machine as a set of functions, all called on the loop's thread. They must be
// deterministic: the same commands in the same order give the same state and the same outcomes on
// every member.
struct StateMachine
{
  // Applies a committed command and returns its outcome. Called once per index, in ascending order.
  std::function<std::string(std::uint64_t aIndex, std::string_view aCommand)> mApply;
  // Serializes the whole state.
  std::function<std::string()> mSnapshot;
  // Replaces the whole state. Returns an error if the snapshot is unreadable.
  std::function<Expected<void>(std::string_view aSnapshot)> mRestore;
};

enum class MemberRole : std::uint8_t
{
  Voter,
  Learner,
};

struct LogMember
{
  std::string mId;
  SocketAddress mAddress;
  MemberRole mRole = MemberRole::Voter;
  // Last log index that the member is known to hold. Exact only on the leader.
  std::uint64_t mMatchIndex = 0;
  // Send time of the last message that the member has answered. Set only on the leader, and not for
  // the leader itself.
  std::optional<TimePoint> mHeardAt = std::nullopt;
};

// The name part of a member's identity, which is NAME or NAME.NONCE. Thread-safe.
std::string_view
MemberName(std::string_view aId);

struct LogStatus
{
  std::string mSelf;
  // True only while this member is the leader and its lease is valid.
  bool mLeading = false;
  // Empty if no leader is known.
  std::string mLeader;
  std::uint64_t mTerm = 0;
  std::uint64_t mLastIndex = 0;
  std::uint64_t mCommitted = 0;
  std::uint64_t mApplied = 0;
  // Term of the entry at mApplied. If it equals mTerm, the state includes everything that was
  // committed before the present leader was elected.
  std::uint64_t mAppliedTerm = 0;
  std::vector<LogMember> mMembers;
  // Log index of mMembers.
  std::uint64_t mMembersIndex = 0;
};

// Not thread-safe: all methods must be called on the loop's thread. Each callback runs exactly
// once, on the same thread.
class ReplicatedLog
{
public:
  using OutcomeHandler = std::function<void(Expected<std::string>)>;
  using DoneHandler = std::function<void(Expected<void>)>;

  virtual ~ReplicatedLog() = default;

  // Replicates a command and reports its outcome once the command is durable on a majority and
  // applied on this member. If Describe(error).mMayHaveRun, the command may still be applied.
  virtual void Propose(std::string aCommand, OutcomeHandler aDone) = 0;
  // Linearizable read: reports success once the local state includes everything that was committed
  // before this call.
  virtual void ReadBarrier(DoneHandler aDone) = 0;
  // Each of these changes the membership by one member. aDone reports success once the change is
  // committed.
  virtual void AddLearner(const LogMember& aMember, DoneHandler aDone) = 0;
  virtual void Promote(const std::string& aMember, DoneHandler aDone) = 0;
  virtual void Remove(const std::string& aMember, DoneHandler aDone) = 0;
  virtual LogStatus Status() const = 0;
};

} // namespace apricotyard

#endif
