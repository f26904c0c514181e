// The query engine: all state of running queries, and the decisions about them.
//
// Free functions over a plain struct. They receive the time and the random source, append actions
// for the adapter to carry out, make no system call and take no lock. One engine belongs to one
// request loop; none of the functions is thread-safe.
#ifndef APRICOTYARD_ENGINE_H
#define APRICOTYARD_ENGINE_H

#include "config.h"
#include "log.h"
#include "types.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace apricotyard {

// ---- Inputs ------------------------------------------------------------------------------------

struct QueryRequest
{
  // Unique within the engine; chosen by the adapter.
  QueryId mId = 0;
  // The caller's own name for the request, for logs and `apricotctl explain`.
  std::string mRequestId;
  std::string mCaller;
  std::string mCollection;
  // Empty selects the default class of the collection.
  std::string mClass;
  std::string mQuery;
  std::optional<double> mMinCoverage;
  // Time left at arrival; the deadline of the class applies if it is shorter.
  std::optional<Duration> mDeadline;
};

struct ShardKey
{
  std::string mService;
  std::uint32_t mMap = 0;
  std::uint32_t mShard = 0;

  auto operator<=>(const ShardKey&) const = default;
};

// A whole reply of an upstream, with the identity that the upstream echoed.
struct SubReply
{
  AttemptId mAttempt = 0;
  ShardKey mShard;
  IndexVersion mVersion = 0;
  // One JSON value per document.
  std::vector<std::string> mItems;
};

enum class FailureKind : std::uint8_t
{
  NotConnected, // connection refused, connect timeout
  NotSent,      // connection lost before the first byte was written
  Shed,         // the upstream refused because it is overloaded
  VersionGone,  // the upstream no longer serves the pinned snapshot
  Draining,     // the upstream is leaving
  Lost,         // connection lost after sending
  TimedOut,     // no whole reply in time
  BadReply,     // truncated, malformed, oversized or crossed reply
  ErrorStatus,  // any other status
};

// False only if the upstream provably did not start the sub-request.
bool
MayHaveStarted(FailureKind aKind);

std::string_view
FailureName(FailureKind aKind);

struct SubFailure
{
  AttemptId mAttempt = 0;
  FailureKind mKind = FailureKind::Lost;
  std::string mMessage;
};

// ---- Outputs -----------------------------------------------------------------------------------

struct Snapshot
{
  IndexVersion mVersion = 0;
  // The partition map of each service.
  std::map<std::string, std::uint32_t> mMaps;
};

enum class MissingReason : std::uint8_t
{
  NotAnnounced, // no complete partition map of the service is known
  NoReplica,    // no usable replica serves the pinned snapshot
  VersionGone,  // the pinned snapshot was retired while the query ran
  Failed,       // every permitted attempt failed
  TimedOut,     // no reply before the deadline
};

std::string_view
MissingReasonName(MissingReason aReason);

struct MissingShard
{
  ShardKey mShard;
  MissingReason mReason = MissingReason::Failed;
};

struct Answer
{
  QueryId mQuery = 0;
  Result mResult = Result::Internal;
  Snapshot mSnapshot;
  std::uint32_t mExpected = 0;
  std::uint32_t mAnswered = 0;
  std::vector<MissingShard> mMissing;
  std::vector<std::string> mItems;
  Duration mElapsed{};
  std::uint32_t mAttempts = 0;
  // How long a refused caller should wait; zero gives no advice.
  Duration mRetryAfter{};

  // Answered over expected; 0 if nothing was expected.
  double Coverage() const;
};

struct SendSub
{
  AttemptId mAttempt = 0;
  QueryId mQuery = 0;
  std::string mUpstream;
  SocketAddress mAddress;
  ShardKey mShard;
  IndexVersion mVersion = 0;
  std::shared_ptr<const std::string> mBody;
  Duration mTimeout{};
};

struct CancelSub
{
  AttemptId mAttempt = 0;
  SocketAddress mAddress;
};

struct Respond
{
  Answer mAnswer;
};

// A routing decision for the log, with its inputs.
struct LogDecision
{
  Event mEvent;
  std::vector<LogField> mFields;
};

using Action = std::variant<SendSub, CancelSub, Respond, LogDecision>;
using Actions = std::vector<Action>;

// ---- State -------------------------------------------------------------------------------------

struct Replica
{
  UpstreamInfo mInfo;
  std::uint32_t mInFlight = 0;
};

struct Attempt
{
  QueryId mQuery = 0;
  ShardKey mShard;
  std::string mUpstream;
  TimePoint mSentAt;
};

enum class ShardProgress : std::uint8_t
{
  Waiting,
  Answered,
  Missing,
};

struct ShardRun
{
  ShardProgress mProgress = ShardProgress::Waiting;
  MissingReason mReason = MissingReason::TimedOut;
  std::set<std::string> mTried;
};

struct RunningQuery
{
  QueryRequest mRequest;
  ClassPolicy mClass;
  double mMinCoverage = 1.0;
  TimePoint mArrived;
  TimePoint mDeadline;
  Snapshot mSnapshot;
  std::shared_ptr<const std::string> mBody;
  std::map<ShardKey, ShardRun> mShards;
  std::uint32_t mOpenShards = 0;
  std::vector<std::string> mItems;
  std::uint32_t mAttempts = 0;
};

struct Engine
{
  std::string mDataCentre;
  std::shared_ptr<const Config> mConfig;
  std::map<std::string, Replica> mReplicas;
  std::map<ShardKey, std::vector<std::string>> mShardReplicas;
  absl::flat_hash_map<QueryId, RunningQuery> mQueries;
  absl::flat_hash_map<AttemptId, Attempt> mAttempts;
  std::set<std::pair<TimePoint, QueryId>> mDeadlines;
  // Attempt identifiers start at a value that differs between incarnations of the host.
  AttemptId mNextAttempt = 1;
  std::uint64_t mDiscardedReplies = 0;
};

// ---- Functions ---------------------------------------------------------------------------------

// Adopts a configuration. Running queries keep the policy that they started with.
void
SetConfig(Engine& aEngine, std::shared_ptr<const Config> aConfig);

// Replaces the table of known upstreams.
void
SetUpstreams(Engine& aEngine, const std::vector<UpstreamInfo>& aUpstreams);

// Accepts or refuses a query. Every submitted query gets exactly one Respond action, here or later.
void
SubmitQuery(Engine& aEngine, QueryRequest aRequest, TimePoint aNow, Rng& aRng, Actions& aActions);

void
OnReply(Engine& aEngine, SubReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions);

void
OnFailure(Engine& aEngine,
          const SubFailure& aFailure,
          TimePoint aNow,
          Rng& aRng,
          Actions& aActions);

// Handles everything that is due at aNow.
void
OnTimer(Engine& aEngine, TimePoint aNow, Rng& aRng, Actions& aActions);

// When OnTimer must be called next, or nothing if no query is running.
std::optional<TimePoint>
NextTimer(const Engine& aEngine);

} // namespace apricotyard

#endif
