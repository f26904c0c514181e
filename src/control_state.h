// The replicated control state: configuration, roster, claims, quarantine, drains and audit. A pure
// state machine over the commands of proto/command.proto: the same commands in the same order give
// the same state and the same outcomes on every member. Not thread-safe.
#ifndef APRICOTYARD_CONTROL_STATE_H
#define APRICOTYARD_CONTROL_STATE_H

#include "command.pb.h"
#include "config.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

namespace apricotyard {

// Limits of the state. The sums of the documents and of the recorded bodies bound the snapshot.
inline constexpr std::size_t kMaxDocument = std::size_t{ 1024 } * 1024;
inline constexpr std::size_t kMaxRevisions = 1000;
inline constexpr std::size_t kMaxHistoryBytes = std::size_t{ 32 } * 1024 * 1024;
inline constexpr std::size_t kMaxAudit = 10'000;
inline constexpr std::size_t kMaxSubmissions = 10'000;
inline constexpr std::size_t kMaxClaims = 1'000'000;
inline constexpr std::size_t kMaxOutcomeBody = 4096;
inline constexpr std::size_t kMaxOutcomeBytes = std::size_t{ 64 } * 1024 * 1024;
inline constexpr std::size_t kMaxQuarantines = 10'000;
inline constexpr std::size_t kMaxDrains = 10'000;
inline constexpr std::size_t kMaxWitnesses = 9;
// Claims of the current and this many earlier epochs are kept.
inline constexpr std::uint64_t kKeptClaimEpochs = 24;

// Pseudo sections that the patterns of a team grant like sections of the document.
inline constexpr std::string_view kOperationMembers = "operation.members";
inline constexpr std::string_view kOperationDrain = "operation.drain";
inline constexpr std::string_view kOperationEntries = "operation.entries";
inline constexpr std::string_view kOperationQuarantine = "operation.quarantine";

struct Roster
{
  std::uint64_t mEpoch = 0;
  // In the order of the host names.
  std::map<std::string, rpc::Host> mHosts;
};

struct HeldClaim
{
  std::uint64_t mFingerprint = 0;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mClaimId = 0;
  // Index into ControlState::mClaimHosts.
  std::uint32_t mHost = 0;
  std::uint16_t mResult = 0;
  bool mDone = false;
  std::string mBody;
};

struct HeldSubmission
{
  // Hash of everything that the submission asks for; tells a resend from a reuse of the id.
  std::uint64_t mFingerprint = 0;
  rpc::Outcome mOutcome;
};

struct ControlState
{
  // The newest revision parsed; revision 0 is the empty document.
  Config mConfig;
  // Kept documents by revision. The newest is always kept.
  std::map<Revision, std::string> mRevisions;
  std::size_t mHistoryBytes = 0;
  std::deque<rpc::AuditEntry> mAudit;
  std::map<std::string, HeldSubmission, std::less<>> mSubmissions;
  // The submissions in the order of their decisions.
  std::deque<std::string> mSubmissionOrder;
  Roster mSettled;
  std::optional<Roster> mPending;
  std::uint64_t mClaimEpoch = 1;
  // By epoch, then by the rest of the key, so that an epoch is dropped at once. Ordered, because a
  // snapshot lists the claims in order: sorting a million keys would stop the loop for a second.
  std::map<std::uint64_t, absl::btree_map<std::string, HeldClaim>> mClaims;
  std::size_t mClaimCount = 0;
  std::size_t mOutcomeBytes = 0;
  std::vector<std::string> mClaimHosts;
  absl::flat_hash_map<std::string, std::uint32_t> mClaimHostIndex;
  std::map<std::pair<std::string, std::uint64_t>, rpc::Quarantine> mQuarantines;
  std::map<std::string, std::uint64_t> mDrains;
  std::map<std::string, rpc::ControlHost> mControlHosts;
  // Entry hosts that an operator declared gone, with the incarnation that ended.
  std::map<std::string, std::uint64_t> mGone;
  // Lower only in tests.
  std::size_t mMaxClaims = kMaxClaims;
};

// Applies a serialized rpc::Command and returns its serialized rpc::Outcome. A command that cannot
// be read changes nothing and gives UnreadableState.
std::string
ApplyCommand(ControlState& aState, std::string_view aCommand);

// As above, without the serialization.
rpc::Outcome
Apply(ControlState& aState, const rpc::Command& aCommand);

// The whole state as bytes; equal states give equal bytes.
std::string
SaveState(const ControlState& aState);

// Replaces the state by aSnapshot, or fails with UnreadableState and leaves the state alone.
Expected<void>
RestoreState(ControlState& aState, std::string_view aSnapshot);

Revision
NewestRevision(const ControlState& aState);

// The document of a kept revision; revision 0 is the empty document. Null if it is not kept.
const std::string*
FindDocument(const ControlState& aState, Revision aRevision);

// The team of the key with this SHA-256. While the configuration has no teams, every operator may
// do everything and the name is empty. Fails with Unauthorized if no team has the key.
Expected<std::string>
FindTeam(const ControlState& aState, std::string_view aKeySha256);

// Fails with Unauthorized or Forbidden unless the team of the key may change aSection.
Expected<void>
Authorize(const ControlState& aState, std::string_view aKeySha256, std::string_view aSection);

// The hosts whose majority decides whether a revision can be in force: an odd number, at most
// kMaxWitnesses, taken from the data centres in turn. Depends on the roster only.
std::vector<std::string>
Witnesses(const Roster& aRoster);

// The lower-case hexadecimal SHA-256 of a key.
std::string
KeySha256(std::string_view aKey);

} // namespace apricotyard

#endif
