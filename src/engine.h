// The query engine: all state of running queries, and the decisions about them.
//
// Free functions over a plain struct. They receive the time and the random source, append actions
// for the adapter to carry out, make no system call and take no lock. One engine belongs to one
// request loop; none of the functions is thread-safe.
#ifndef APRICOTYARD_ENGINE_H
#define APRICOTYARD_ENGINE_H

#include "admission.h"
#include "config.h"
#include "health.h"
#include "hedge.h"
#include "latency.h"
#include "log.h"
#include "quarantine.h"
#include "replica_choice.h"
#include "retry_budget.h"
#include "types.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/container/node_hash_map.h>

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

// A request that must run at most once.
struct UnrepeatableRequest
{
  QueryRequest mQuery;
  // EPOCH.RANDOM, from the caller's Idempotency-Key.
  std::string mKey;
};

enum class ClaimState : std::uint8_t
{
  Granted,        // this host, and only this host, may send the request
  Known,          // an earlier submission of the key has a recorded outcome
  OutcomeUnknown, // an earlier submission of the key was granted and has no outcome
  Refused,        // no claim was made; the request does not run
};

// The answer of control to a ClaimRequest.
struct ClaimReply
{
  QueryId mQuery = 0;
  ClaimState mState = ClaimState::Refused;
  // Known: the recorded result and body. Refused: the reason, which must promise "not run".
  Result mResult = Result::ClaimRefused;
  std::string mBody;
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
  Silent,       // no byte within SendSub::mSilence on a reused connection
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
  Quarantined,  // the request crashed upstreams and was stopped
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
  // Open a new connection for this attempt.
  bool mFreshConnection = false;
  // Report FailureKind::Silent if no byte arrives on a reused connection within this time; zero
  // disables the detection.
  Duration mSilence{};
};

// Ask the upstream to stop, by DELETE /v1/search/ID, and keep the transfer: its end is reported by
// OnReply or OnFailure as usual, because the attempt holds its slot until then.
struct CancelSub
{
  AttemptId mAttempt = 0;
  SocketAddress mAddress;
};

// Make a durable claim; the answer comes by OnClaim.
struct ClaimRequest
{
  QueryId mQuery = 0;
  std::string mKey;
  Fingerprint mFingerprint = 0;
};

// Record the outcome of a granted claim. A later record for the same key, after a late reply,
// replaces OutcomeUnknown.
struct RecordOutcome
{
  std::string mKey;
  Fingerprint mFingerprint = 0;
  Result mResult = Result::OutcomeUnknown;
  // At most kMaxOutcomeBody bytes; empty if the body is larger.
  std::string mBody;
};
inline constexpr std::size_t kMaxOutcomeBody = 4096;

// Tell the other entry hosts of a death.
struct ShareStrike
{
  Strike mStrike;
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

using Action =
  std::variant<SendSub, CancelSub, Respond, LogDecision, ClaimRequest, RecordOutcome, ShareStrike>;
using Actions = std::vector<Action>;

// ---- State -------------------------------------------------------------------------------------

// Switches of the policies, for the decision bench. The defaults are what production uses.
struct Tuning
{
  bool mHedging = true;
  bool mAdmission = true;
  bool mEjection = true;
  bool mRetryBudget = true;
  ChoicePolicy mChoice = ChoicePolicy::PowerOfTwo;
  double mHedgeShare = kHedgeShare;
  // Sub-requests that may wait per shard, as a share of its slots. Without them a shard idles while
  // admission waits for the busiest one.
  double mOvercommit = 0.5;
  // Round trip to another data centre (section 1.3: 4 ms one way).
  Duration mRemoteLink = std::chrono::milliseconds(8);
  // Attempts under way per slot of a replica in another data centre, for service times of about the
  // round trip and more.
  std::uint32_t mRemoteWindow = 2;
};

struct ShardState;

struct Replica
{
  UpstreamInfo mInfo;
  // Never used again within the engine, unlike the address of this struct.
  std::uint32_t mSerial = 0;
  // Null if the upstream is no longer listed or contradicts the ranges of its map.
  ShardState* mShard = nullptr;
  std::uint32_t mShare = 0;
  // Attempts that hold a slot, cancelled ones included.
  std::uint32_t mInFlight = 0;
  ReplicaLatency mLatency;
  Health mHealth;
  TokenBucket mRetries = MakeBucket(kReplicaRetryBurst);
  // Versions that the upstream refused although it had announced them.
  std::set<IndexVersion> mGone;
  // A suspect runs here alone.
  bool mExclusive = false;
  // A suspect waits for the running attempts to end; nothing else is sent until then.
  TimePoint mReservedUntil;
  // A slow start begins at the next call that receives the time.
  bool mStartsCold = false;
};

// The place of a sub-request in the queue of its shard.
struct WaitKey
{
  // Dispatch of the query, later by a fixed time per level of urgency: urgent ones overtake, and
  // nobody starves. Not its arrival, because a query that queued for long would overtake urgent
  // ones.
  TimePoint mRank;
  QueryId mQuery = 0;
  std::uint32_t mIndex = 0;

  auto operator<=>(const WaitKey&) const = default;
};

struct ServiceState
{
  // Shards that take no further query.
  std::uint32_t mFullShards = 0;
};

struct ShardState
{
  ShardKey mKey;
  std::uint64_t mNumber = 0;
  KeyRange mRange;
  std::vector<Replica*> mReplicas;
  ServiceState* mService = nullptr;
  LatencyHistogram mLatency;
  // Sub-requests that wait for a slot.
  std::set<WaitKey> mWaiting;
  // Sub-requests that wait for a replica or for budget, oldest first. Entries of finished queries
  // are dropped when they are reached.
  std::deque<std::pair<QueryId, std::uint32_t>> mParked;
  bool mProbeArmed = false;
  bool mPumpQueued = false;
  bool mFull = false;
  std::uint32_t mSlots = 0;
  std::uint32_t mInFlight = 0;
  std::uint32_t mFailuresInARow = 0;
  // Running queries that refer to this shard.
  std::uint32_t mUsers = 0;
  std::uint64_t mTurn = 0;
};

enum class TimerKind : std::uint8_t
{
  Deadline,    // of a query, waiting or running
  AnswerAfter, // of a query with CoveragePolicy::Soon
  Hedge,       // of an attempt
  ReleaseSlot, // of a cancelled attempt
  Probe,       // of a shard with parked sub-requests
};

struct Timer
{
  TimePoint mWhen;
  TimerKind mKind = TimerKind::Deadline;
  std::uint64_t mId = 0;

  auto operator<=>(const Timer&) const = default;
};

struct Attempt
{
  QueryId mQuery = 0;
  // Position in RunningQuery::mShards.
  std::uint32_t mIndex = 0;
  ShardKey mShard;
  Replica* mReplica = nullptr;
  std::uint64_t mIncarnation = 0;
  IndexVersion mVersion = 0;
  TimePoint mSentAt;
  TimePoint mEndsBy;
  std::optional<TimePoint> mHedgeAt;
  Fingerprint mFingerprint = 0;
  bool mIsFirst = true;
  bool mAlone = false;
  // Set for a cancelled attempt of an unrepeatable request, to record a late outcome.
  std::string mKey;
};

enum class ShardProgress : std::uint8_t
{
  Waiting, // in ShardState::mWaiting
  Running, // at least one attempt
  Parked,  // in ShardState::mParked
  Answered,
  Missing,
};

struct ShardRun
{
  ShardState* mShard = nullptr;
  ShardProgress mProgress = ShardProgress::Parked;
  // Why the shard is not answered yet, or why it is missing.
  MissingReason mReason = MissingReason::TimedOut;
  // The next attempt repeats one on a silent connection, so it opens a new connection.
  bool mFresh = false;
  bool mWasSent = false;
  absl::InlinedVector<AttemptId, 2> mAttempts;
  // Serials of the replicas that failed.
  absl::InlinedVector<std::uint32_t, 4> mTried;
};

struct RunningQuery
{
  QueryRequest mRequest;
  ClassPolicy mClass;
  const CollectionPolicy* mCollection = nullptr;
  // Keeps mCollection alive.
  std::shared_ptr<const Config> mConfig;
  double mMinCoverage = 1.0;
  Fingerprint mFingerprint = 0;
  TimePoint mArrived;
  TimePoint mDeadline;
  // In the admission queue; nothing below is set.
  bool mQueued = false;
  TimePoint mDispatched;
  std::optional<TimePoint> mAnswerAfter;
  bool mAnswerAtMinimum = false;
  std::uint32_t mRestarts = 0;
  Snapshot mSnapshot;
  std::shared_ptr<const std::string> mBody;
  std::vector<ShardRun> mShards;
  std::vector<MissingShard> mNotAnnounced;
  std::uint32_t mOpenShards = 0;
  std::uint32_t mAnswered = 0;
  std::vector<std::string> mItems;
  std::uint32_t mAttempts = 0;
  // The idempotency key of an unrepeatable request, else empty.
  std::string mKey;
  bool mClaiming = false;
  bool mClaimed = false;
  // An attempt of an unrepeatable request failed after it may have started.
  bool mMayHaveRun = false;
};

// What a query of a collection gets now. Kept until upstreams or configuration change.
struct SnapshotPlan
{
  Snapshot mSnapshot;
  std::vector<ShardState*> mShards;
  std::vector<MissingShard> mNotAnnounced;
};

struct CollectionState
{
  AdmissionQueue mQueue;
  // Time from dispatch to answer.
  LatencyHistogram mLatency;
};

// Counters for metrics.
struct EngineCounts
{
  std::uint64_t mFirstAttempts = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mRestarts = 0;
  std::uint64_t mEjections = 0;
  std::uint64_t mSilentConnections = 0;
};

struct Engine
{
  // The name of this entry host, for strikes.
  std::string mHost;
  std::string mDataCentre;
  Tuning mTuning;
  std::shared_ptr<const Config> mConfig;
  absl::flat_hash_map<std::string, std::unique_ptr<Replica>> mReplicas;
  std::map<ShardKey, std::unique_ptr<ShardState>> mShards;
  std::map<std::uint64_t, ShardState*> mShardNumbers;
  std::map<std::string, std::unique_ptr<ServiceState>> mServices;
  // Slots per upstream; absent until SetShares.
  std::optional<std::map<std::string, std::uint32_t>> mShares;
  absl::flat_hash_map<std::string, std::shared_ptr<const SnapshotPlan>> mPlans;
  absl::flat_hash_map<std::string, CollectionState> mCollections;
  absl::node_hash_map<QueryId, RunningQuery> mQueries;
  absl::flat_hash_map<AttemptId, Attempt> mAttempts;
  // Key and fingerprint of requests that were answered "not run" before their claim was.
  absl::flat_hash_map<QueryId, std::pair<std::string, Fingerprint>> mLateClaims;
  // Cancelled attempts that still hold their slot.
  absl::flat_hash_map<AttemptId, Attempt> mCancelled;
  // Replicas that are no longer listed but have attempts.
  std::vector<std::unique_ptr<Replica>> mRemoved;
  std::set<Timer> mTimers;
  std::vector<ShardState*> mToPump;
  // Queries of suspects whose only permitted attempt has ended.
  std::vector<QueryId> mToResume;
  bool mAdmissionDue = false;
  // Set by SetUpstreams and SetShares until the next call that receives the time.
  bool mUpstreamsChanged = false;
  std::vector<std::string> mRestartedUpstreams;
  TimePoint mLastNow;
  absl::flat_hash_map<std::string, TokenBucket> mClassRetries;
  TokenBucket mHedges{ 0, kHedgeBurst };
  RateBucket mConnects;
  Quarantine mQuarantine;
  std::uint32_t mNextSerial = 1;
  std::uint64_t mNextShardNumber = 1;
  // Attempt identifiers start at a value that differs between incarnations of the host.
  AttemptId mNextAttempt = 1;
  std::uint64_t mDiscardedReplies = 0;
  EngineCounts mCounts;
};

// ---- Functions ---------------------------------------------------------------------------------

// Adopts a configuration. Running queries keep the policy that they started with.
void
SetConfig(Engine& aEngine, std::shared_ptr<const Config> aConfig);

// Replaces the table of known upstreams. What follows from the change (sub-requests that wait for a
// replica, deaths that a new incarnation confirms, slow starts) is done by the next call that
// receives the time; OnTimer is due at once.
void
SetUpstreams(Engine& aEngine, const std::vector<UpstreamInfo>& aUpstreams);

// This host's share of the slots of each upstream; an upstream that is not listed gets none.
// Until the first call the engine uses the announced slots. A lower share takes effect as running
// attempts end.
void
SetShares(Engine& aEngine, std::map<std::string, std::uint32_t> aShares);

// Accepts or refuses a query. Every submitted query gets exactly one Respond action, here or later.
void
SubmitQuery(Engine& aEngine, QueryRequest aRequest, TimePoint aNow, Rng& aRng, Actions& aActions);

// Accepts or refuses a request that must run at most once. Emits ClaimRequest at dispatch. The
// collection must have exactly one shard. Gets exactly one Respond action.
void
SubmitUnrepeatable(Engine& aEngine,
                   UnrepeatableRequest aRequest,
                   TimePoint aNow,
                   Rng& aRng,
                   Actions& aActions);

// The answer to a ClaimRequest. A grant that comes after the deadline is not used.
void
OnClaim(Engine& aEngine, ClaimReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions);

// Another entry host saw a death.
void
OnSharedStrike(Engine& aEngine, const Strike& aStrike, TimePoint aNow);

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
