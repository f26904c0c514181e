// The contract between the replicated state machine and the log that replicates it.
#ifndef APRICOTYARD_REPLICATED_LOG_H
#define APRICOTYARD_REPLICATED_LOG_H

#include "types.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// The functions of a state machine. They are deterministic: the same commands in the same order
// give the same state and the same outcomes on every member. All are called on the thread of the
// loop.
struct StateMachine
{
  // Applies a committed command and returns its outcome. Each index is applied once, in order.
  std::function<std::string(std::uint64_t aIndex, std::string_view aCommand)> mApply;
  // The whole state as bytes.
  std::function<std::string()> mSnapshot;
  // Replaces the whole state. An error means that the snapshot is unreadable.
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
  // Last index known to be held; exact only on the leader.
  std::uint64_t mMatched = 0;
};

// The name in a member's identity, which is NAME or NAME.NONCE. Pure.
std::string_view
MemberName(std::string_view aId);

struct LogStatus
{
  std::string mSelf;
  // True only while the leader lease holds.
  bool mLeading = false;
  // Empty if no leader is known.
  std::string mLeader;
  std::uint64_t mTerm = 0;
  std::uint64_t mLastIndex = 0;
  std::uint64_t mCommitted = 0;
  std::uint64_t mApplied = 0;
  std::vector<LogMember> mMembers;
};

// All methods only on the thread of the loop. Callbacks run on the same thread, exactly once.
class ReplicatedLog
{
public:
  using OutcomeHandler = std::function<void(Expected<std::string>)>;
  using DoneHandler = std::function<void(Expected<void>)>;

  virtual ~ReplicatedLog() = default;

  // Replicates a command and reports its outcome once it is durable on a majority and applied here.
  // An error whose result may have run leaves the outcome open: the command may still be applied.
  virtual void Propose(std::string aCommand, OutcomeHandler aDone) = 0;
  // Reports success once the local state holds everything that was committed before this call.
  virtual void ReadBarrier(DoneHandler aDone) = 0;
  // Changes the membership by one step. aDone reports success once the change is committed.
  virtual void AddLearner(const LogMember& aMember, DoneHandler aDone) = 0;
  virtual void Promote(const std::string& aMember, DoneHandler aDone) = 0;
  virtual void Remove(const std::string& aMember, DoneHandler aDone) = 0;
  virtual LogStatus Status() const = 0;
};

} // namespace apricotyard

#endif
