// The replicated control state: configuration, roster, claims, quarantines, drains and audit log. A
// deterministic state machine over the commands of proto/command.proto: the same commands in the
// same order produce the same state and the same outcomes on every member. Not thread-safe.
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

// Limits that bound the memory and the size of a snapshot. Documents and outcome bodies, the
// largest parts, are also limited by their total size.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{ 1024 } * 1024;
inline constexpr std::size_t kMaxRevisions = 1000;
inline constexpr std::size_t kMaxHistoryBytes = std::size_t{ 32 } * 1024 * 1024;
inline constexpr std::size_t kMaxAuditEntries = 10'000;
inline constexpr std::size_t kMaxSubmissions = 10'000;
inline constexpr std::size_t kMaxClaims = 1'000'000;
inline constexpr std::size_t kMaxOutcomeBody = 4096;
inline constexpr std::size_t kMaxOutcomeBytes = std::size_t{ 64 } * 1024 * 1024;
inline constexpr std::size_t kMaxQuarantines = 10'000;
inline constexpr std::size_t kMaxDrains = 10'000;
inline constexpr std::size_t kMaxWitnesses = 9;
// Number of earlier claim epochs whose claims are kept in addition to the current epoch.
inline constexpr std::uint64_t kRetainedClaimEpochs = 24;

// Operations that need a permission. A team is granted an operation in the same way as a section of
// the document: one of its section patterns must match the name.
inline constexpr std::string_view kOperationMembers = "operation.members";
inline constexpr std::string_view kOperationDrain = "operation.drain";
inline constexpr std::string_view kOperationEntries = "operation.entries";
inline constexpr std::string_view kOperationQuarantine = "operation.quarantine";

struct Roster
{
  std::uint64_t mEpoch = 0;
  // By host name.
  std::map<std::string, rpc::Host> mHosts;
};

struct StoredClaim
{
  std::uint64_t mFingerprint = 0;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mClaimId = 0;
  // Index into ControlState::mClaimHosts.
  std::uint32_t mHost = 0;
  // The recorded outcome; valid only if mDone is set.
  std::uint16_t mResult = 0;
  bool mDone = false;
  std::string mBody;
};

struct StoredSubmission
{
  // Hash of the key and of the requested change. It distinguishes a resend from another submission
  // that reuses the id.
  std::uint64_t mFingerprint = 0;
  rpc::Outcome mOutcome;
};

struct ControlState
{
  // The parsed document of the newest revision; empty at revision 0.
  Config mConfig;
  // Documents by revision. Old ones are dropped when a limit is reached, but never the newest.
  std::map<Revision, std::string> mRevisions;
  // Total size of the documents in mRevisions.
  std::size_t mHistoryBytes = 0;
  std::deque<rpc::AuditEntry> mAudit;
  std::map<std::string, StoredSubmission, std::less<>> mSubmissions;
  // The ids of mSubmissions, oldest decision first.
  std::deque<std::string> mSubmissionOrder;
  Roster mSettled;
  std::optional<Roster> mPending;
  std::uint64_t mClaimEpoch = 1;
  // By epoch, then by the token of the key, so that a whole epoch can be dropped at once. The
  // tokens are kept in order because a snapshot lists the claims in order, and sorting a million
  // keys for each snapshot would block the loop for a second.
  std::map<std::uint64_t, absl::btree_map<std::string, StoredClaim>> mClaims;
  std::size_t mClaimCount = 0;
  // Total size of the outcome bodies in mClaims.
  std::size_t mOutcomeBytes = 0;
  // Names of the hosts that have made claims. A claim stores only the index of its host.
  std::vector<std::string> mClaimHosts;
  absl::flat_hash_map<std::string, std::uint32_t> mClaimHostIndex;
  // By collection and fingerprint.
  std::map<std::pair<std::string, std::uint64_t>, rpc::Quarantine> mQuarantines;
  // The drained upstreams, each with the wall clock time of its drain in milliseconds.
  std::map<std::string, std::uint64_t> mDrains;
  std::map<std::string, rpc::ControlHost> mControlHosts;
  // Entry hosts that an operator declared gone, each with the incarnation of the process that
  // ended.
  std::map<std::string, std::uint64_t> mGone;
  // Set to a lower value only by tests.
  std::size_t mMaxClaims = kMaxClaims;
};

// Applies a serialized rpc::Command and returns its serialized rpc::Outcome. A command that cannot
// be parsed changes nothing, and its outcome is UnreadableState.
std::string
ApplyCommand(ControlState& aState, std::string_view aCommand);

// The same for a command and an outcome that are not serialized.
rpc::Outcome
Apply(ControlState& aState, const rpc::Command& aCommand);

// Serializes the whole state into a snapshot. Equal states give equal bytes.
std::string
SaveState(const ControlState& aState);

// Replaces the state with aSnapshot. Fails with UnreadableState and leaves the state unchanged if
// the snapshot cannot be read.
Expected<void>
RestoreState(ControlState& aState, std::string_view aSnapshot);

// The number of the newest revision; 0 if no document has been accepted.
Revision
NewestRevision(const ControlState& aState);

// The document of a revision, or nullptr if it is not kept. Revision 0 is the empty document. The
// result is valid until the next command is applied.
const std::string*
FindDocument(const ControlState& aState, Revision aRevision);

// The name of the team whose key has this SHA-256. Empty while the configuration defines no teams;
// every operator may then change everything. Fails with Unauthorized if no team has the key.
Expected<std::string>
FindTeam(const ControlState& aState, std::string_view aKeySha256);

// Fails with Unauthorized or Forbidden unless the team of the key may change aSection.
Expected<void>
Authorize(const ControlState& aState, std::string_view aKeySha256, std::string_view aSection);

// The hosts of which a majority must run a revision before it can be in force. An odd number of at
// most kMaxWitnesses hosts, taken from the data centres in turn. Empty if the roster is empty.
// Depends only on the roster, so that every member computes the same list.
std::vector<std::string>
Witnesses(const Roster& aRoster);

// The SHA-256 of a key in lower-case hexadecimal.
std::string
KeySha256(std::string_view aKey);

} // namespace apricotyard

#endif
