// The query engine: the state of all running queries and every decision about them.
//
// The engine is a plain struct with free functions. Each call receives the current time and the
// random source, and appends the actions to perform to a list that the caller executes. The
// functions make no system calls and take no locks, so tests can run them in virtual time. They are
// not thread-safe: an engine belongs to one event loop.
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
  // Chosen by the caller of the engine; unique among its queries.
  QueryId mId = 0;
  // The request identifier supplied by the caller; used in logs and by `apricotctl explain`.
  std::string mRequestId;
  std::string mCaller;
  std::string mCollection;
  // If empty, the default class of the collection is used.
  std::string mClass;
  std::string mQuery;
  std::optional<double> mMinCoverage;
  // Time left when the query arrived. The effective deadline is the earlier of this and the
  // deadline of the class.
  std::optional<Duration> mDeadline;
};

// A request that must run at most once.
struct UnrepeatableRequest
{
  QueryRequest mQuery;
  // The Idempotency-Key header of the caller, in the form EPOCH.RANDOM.
  std::string mKey;
};

enum class ClaimState : std::uint8_t
{
  Granted,        // only this host may send the request
  Known,          // an earlier submission with this key has a recorded outcome
  OutcomeUnknown, // an earlier submission with this key was granted but has no recorded outcome
  Refused,        // no claim was made, and the request must not run
};

// Control's answer to a ClaimRequest.
struct ClaimReply
{
  QueryId mQuery = 0;
  ClaimState mState = ClaimState::Refused;
  // For Known, the recorded result and body. For Refused, the reason; it must be a result that
  // guarantees that the request did not run.
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

// A complete reply from an upstream, with the shard and version that the upstream reported.
struct SubrequestReply
{
  AttemptId mAttempt = 0;
  ShardKey mShard;
  IndexVersion mVersion = 0;
  // One JSON value per document.
  std::vector<std::string> mItems;
};

enum class FailureKind : std::uint8_t
{
  NotConnected, // connection refused or connect timeout
  NotSent,      // connection lost before the first byte of the request was written
  Shed,         // rejected by an overloaded upstream
  VersionGone,  // the upstream no longer serves the pinned snapshot
  Draining,     // rejected by an upstream that is draining
  Lost,         // connection lost after the request was sent
  TimedOut,     // no complete reply before the timeout
  BadReply,     // truncated, malformed or oversized reply, or a reply to another request
  ErrorStatus,  // any other HTTP error status
  Silent,       // no byte received within SendSubrequest::mSilence on a reused connection
};

// Returns false only if the failure proves that the upstream did not start the sub-request.
bool
MayHaveStarted(FailureKind aKind);

// Returns the name of the failure in log events.
std::string_view
FailureName(FailureKind aKind);

struct SubrequestFailure
{
  AttemptId mAttempt = 0;
  FailureKind mKind = FailureKind::Lost;
  std::string mMessage;
};

// ---- Outputs -----------------------------------------------------------------------------------

struct Snapshot
{
  IndexVersion mVersion = 0;
  // The partition map number of each service.
  std::map<std::string, std::uint32_t> mMaps;
};

enum class MissingReason : std::uint8_t
{
  NotAnnounced, // no complete partition map of the service is known
  NoReplica,    // no usable replica serves the pinned snapshot
  VersionGone,  // the pinned snapshot was retired while the query was running
  Failed,       // every permitted attempt failed
  TimedOut,     // no reply before the deadline
  Quarantined,  // the request was stopped because it crashed upstreams
};

// Returns the name of the reason in answers to callers.
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
  // How long a rejected caller should wait before it retries; zero if no advice is given.
  Duration mRetryAfter{};

  // The fraction of expected shards that answered; 0 if no shard was expected.
  double Coverage() const;
};

struct SendSubrequest
{
  AttemptId mAttempt = 0;
  QueryId mQuery = 0;
  std::string mUpstream;
  SocketAddress mAddress;
  ShardKey mShard;
  IndexVersion mVersion = 0;
  std::shared_ptr<const std::string> mBody;
  Duration mTimeout{};
  // Open a new connection instead of reusing an idle one.
  bool mFreshConnection = false;
  // Report FailureKind::Silent if a reused connection delivers no byte within this time. Zero
  // disables the check.
  Duration mSilence{};
};

// Sends DELETE /v1/search/ID to the upstream. The transfer of the sub-request itself stays open:
// the attempt occupies a slot until its end is reported through OnReply or OnFailure as usual.
struct CancelSubrequest
{
  AttemptId mAttempt = 0;
  SocketAddress mAddress;
};

// Asks control for a durable claim. The answer is delivered through OnClaim.
struct ClaimRequest
{
  QueryId mQuery = 0;
  std::string mKey;
  Fingerprint mFingerprint = 0;
};

// Records the outcome of a granted claim. If a reply arrives after OutcomeUnknown was recorded, a
// second record with the same key replaces it.
struct RecordOutcome
{
  std::string mKey;
  Fingerprint mFingerprint = 0;
  Result mResult = Result::OutcomeUnknown;
  // At most kMaxOutcomeBody bytes; empty if the body is larger than that.
  std::string mBody;
};
inline constexpr std::size_t kMaxOutcomeBody = 4096;

// Reports a crash of an upstream to the other entry hosts.
struct ShareStrike
{
  Strike mStrike;
};

struct Respond
{
  Answer mAnswer;
};

// Logs a routing decision with its inputs.
struct LogDecision
{
  Event mEvent;
  std::vector<LogField> mFields;
};

using Action = std::variant<SendSubrequest,
                            CancelSubrequest,
                            Respond,
                            LogDecision,
                            ClaimRequest,
                            RecordOutcome,
                            ShareStrike>;
using Actions = std::vector<Action>;

// ---- State -------------------------------------------------------------------------------------

// Policy parameters, which the decision bench varies. The defaults are the production values.
struct Tuning
{
  bool mHedging = true;
  bool mAdmission = true;
  bool mEjection = true;
  bool mRetryBudget = true;
  ChoicePolicy mChoice = ChoicePolicy::PowerOfTwo;
  double mHedgeShare = kHedgeShare;
  // Sub-requests that may wait at a shard, as a fraction of its slots. Without this backlog, shards
  // would sit idle while admission waits for the busiest one.
  double mOvercommit = 0.5;
  // Round-trip time to another data centre (4 ms one way; docs/design.md, section 1.3).
  Duration mRemoteLink = std::chrono::milliseconds(8);
  // Concurrent attempts per slot of a replica in another data centre. The default suits service
  // times of about the round-trip time or longer.
  std::uint32_t mRemoteWindow = 2;
};

struct ShardState;

struct Replica
{
  UpstreamInfo mInfo;
  // Unique for the lifetime of the engine, unlike the address of this struct.
  std::uint32_t mSerial = 0;
  // Null if the upstream is no longer listed, or if its key range differs from the range that most
  // replicas of the shard announce.
  ShardState* mShard = nullptr;
  // The largest number of attempts that this host may have in flight to the replica.
  std::uint32_t mMaxInFlight = 0;
  // Attempts that occupy a slot, including cancelled ones that have not ended.
  std::uint32_t mInFlight = 0;
  ReplicaLatency mLatency;
  Health mHealth;
  TokenBucket mRetries = MakeBucket(kReplicaRetryBurst);
  // Versions that the upstream announced but then refused to serve.
  std::set<IndexVersion> mRejectedVersions;
  // A suspect request is running here in isolation, so nothing else may be sent.
  bool mExclusive = false;
  // Until this time the replica is reserved: a suspect request waits for the running attempts to
  // end, and nothing else is sent.
  TimePoint mReservedUntil;
  // The next call that receives the time and the actions must begin a slow start.
  bool mSlowStartDue = false;
};

// Position of a sub-request in the wait queue of its shard.
struct WaitKey
{
  // Dispatch time of the query plus a fixed delay per urgency level, so that urgent queries
  // overtake others but cannot starve them. The arrival time is not used, because a query that
  // spent a long time in the admission queue would overtake urgent ones.
  TimePoint mRank;
  QueryId mQuery = 0;
  std::uint32_t mIndex = 0;

  auto operator<=>(const WaitKey&) const = default;
};

struct ServiceState
{
  // Number of shards that cannot take another query.
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
  // Sub-requests waiting for a slot.
  std::set<WaitKey> mWaiting;
  // Sub-requests waiting for a replica or for retry budget, oldest first. Entries of finished
  // queries are dropped lazily, when they reach the front.
  std::deque<std::pair<QueryId, std::uint32_t>> mDeferred;
  bool mProbeScheduled = false;
  bool mDispatchScheduled = false;
  bool mFull = false;
  // Sum of mMaxInFlight of the ready replicas.
  std::uint32_t mSlots = 0;
  // Sum of mInFlight of all replicas.
  std::uint32_t mInFlight = 0;
  std::uint32_t mConsecutiveFailures = 0;
  // Number of running queries that refer to this shard.
  std::uint32_t mReferences = 0;
  // State of ChoicePolicy::RoundRobin.
  std::uint64_t mRoundRobinCounter = 0;
};

enum class TimerKind : std::uint8_t
{
  Deadline,    // of a query, queued or running
  AnswerAfter, // of a query with CoveragePolicy::Soon
  Hedge,       // of an attempt
  ReleaseSlot, // of a cancelled attempt
  Probe,       // of a shard with deferred sub-requests
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
  // Index into RunningQuery::mSubrequests.
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
  // Sent for a suspect request, with no other attempt on the replica.
  bool mAlone = false;
  // Idempotency key of an unrepeatable request, so that an outcome that arrives after cancellation
  // can be recorded.
  std::string mKey;
};

enum class SubrequestState : std::uint8_t
{
  Waiting,  // in ShardState::mWaiting, for a slot
  Running,  // at least one attempt is in progress
  Deferred, // in ShardState::mDeferred, for a replica or budget
  Answered,
  Missing,
};

struct Subrequest
{
  ShardState* mShard = nullptr;
  SubrequestState mState = SubrequestState::Deferred;
  // Why the shard has not answered yet, or why it is reported as missing.
  MissingReason mReason = MissingReason::TimedOut;
  // The previous attempt ended because its reused connection was silent; the next attempt opens a
  // new connection.
  bool mReconnect = false;
  bool mWasSent = false;
  absl::InlinedVector<AttemptId, 2> mAttempts;
  // Serial numbers of the replicas on which an attempt failed.
  absl::InlinedVector<std::uint32_t, 4> mTriedReplicas;
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
  // The query is in the admission queue. The members below are unset until dispatch.
  bool mQueued = false;
  TimePoint mDispatched;
  // With CoveragePolicy::Soon, the time from which the minimum coverage is enough to answer.
  std::optional<TimePoint> mAnswerAfter;
  // mAnswerAfter has passed.
  bool mAnswerAtMinimum = false;
  std::uint32_t mRestarts = 0;
  Snapshot mSnapshot;
  std::shared_ptr<const std::string> mBody;
  std::vector<Subrequest> mSubrequests;
  // Services without a complete partition map.
  std::vector<MissingShard> mNotAnnounced;
  // Number of sub-requests that are neither answered nor missing.
  std::uint32_t mOpenSubrequests = 0;
  std::uint32_t mAnswered = 0;
  std::vector<std::string> mItems;
  std::uint32_t mAttempts = 0;
  // The idempotency key of an unrepeatable request; empty for an ordinary query.
  std::string mKey;
  bool mClaiming = false;
  bool mClaimed = false;
  // An attempt of an unrepeatable request failed in a way that does not rule out that it started.
  bool mMayHaveRun = false;
};

// The snapshot and shards for the next query of a collection. Cached until the upstreams or the
// configuration change.
struct SnapshotPlan
{
  Snapshot mSnapshot;
  std::vector<ShardState*> mShards;
  std::vector<MissingShard> mNotAnnounced;
};

struct CollectionState
{
  AdmissionQueue mQueue;
  // Latency from dispatch to answer.
  LatencyHistogram mLatency;
};

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
  // The name of this entry host; reported in strikes.
  std::string mHost;
  std::string mDataCentre;
  Tuning mTuning;
  std::shared_ptr<const Config> mConfig;
  absl::flat_hash_map<std::string, std::unique_ptr<Replica>> mReplicas;
  std::map<ShardKey, std::unique_ptr<ShardState>> mShards;
  std::map<std::uint64_t, ShardState*> mShardNumbers;
  std::map<std::string, std::unique_ptr<ServiceState>> mServices;
  // Slots of each upstream that this host may use; unset until the first call of SetShares.
  std::optional<std::map<std::string, std::uint32_t>> mShares;
  absl::flat_hash_map<std::string, std::shared_ptr<const SnapshotPlan>> mPlans;
  absl::flat_hash_map<std::string, CollectionState> mCollections;
  absl::node_hash_map<QueryId, RunningQuery> mQueries;
  absl::flat_hash_map<AttemptId, Attempt> mAttempts;
  // Key and fingerprint of requests that were answered with a "not run" result before their claim
  // was answered.
  absl::flat_hash_map<QueryId, std::pair<std::string, Fingerprint>> mLateClaims;
  // Cancelled attempts that still occupy a slot.
  absl::flat_hash_map<AttemptId, Attempt> mCancelled;
  // Replicas that are no longer listed but still have attempts in progress.
  std::vector<std::unique_ptr<Replica>> mRemoved;
  std::set<Timer> mTimers;
  std::vector<ShardState*> mDispatchPending;
  // Queries of suspect requests whose single permitted attempt has ended.
  std::vector<QueryId> mResumePending;
  bool mAdmissionPending = false;
  // Set by SetUpstreams and SetShares, which do not receive the time. Cleared by the next call that
  // receives the time and the actions.
  bool mUpstreamsChanged = false;
  std::vector<std::string> mRestartedUpstreams;
  TimePoint mLastNow;
  absl::flat_hash_map<std::string, TokenBucket> mClassRetries;
  TokenBucket mHedges{ 0, kHedgeBurst };
  // Limits the new connections that replace silent ones.
  RateBucket mReconnects;
  Quarantine mQuarantine;
  std::uint32_t mNextSerial = 1;
  std::uint64_t mNextShardNumber = 1;
  // The owner sets an initial value that differs between incarnations of the host, so that
  // identifiers are not reused after a restart.
  AttemptId mNextAttempt = 1;
  std::uint64_t mDiscardedReplies = 0;
  EngineCounts mCounts;
};

// ---- Functions ---------------------------------------------------------------------------------

// Adopts a configuration. Running queries keep the policy with which they started.
void
SetConfig(Engine& aEngine, std::shared_ptr<const Config> aConfig);

// Replaces the table of known upstreams. The follow-up work needs the time and may emit actions, so
// it is done by the next call that receives both: retrying deferred sub-requests, confirming
// crashes from new incarnations, and beginning slow starts. NextTimer reports OnTimer as due
// immediately.
void
SetUpstreams(Engine& aEngine, const std::vector<UpstreamInfo>& aUpstreams);

// Sets how many slots of each upstream this host may use; an upstream that is not in the map gets
// none. Until the first call, the engine uses all slots that the upstreams announce. A lower limit
// takes effect as running attempts end.
void
SetShares(Engine& aEngine, std::map<std::string, std::uint32_t> aShares);

// Accepts or rejects a query. Each submitted query gets exactly one Respond action, from this call
// or a later one.
void
SubmitQuery(Engine& aEngine, QueryRequest aRequest, TimePoint aNow, Rng& aRng, Actions& aActions);

// Accepts or rejects a request that must run at most once. The collection must have exactly one
// shard. A ClaimRequest is emitted at dispatch, and exactly one Respond action from this call or a
// later one.
void
SubmitUnrepeatable(Engine& aEngine,
                   UnrepeatableRequest aRequest,
                   TimePoint aNow,
                   Rng& aRng,
                   Actions& aActions);

// Delivers the answer to a ClaimRequest. A grant that arrives after the query was answered is
// recorded as not run.
void
OnClaim(Engine& aEngine, ClaimReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions);

// Delivers a strike reported by another entry host.
void
OnSharedStrike(Engine& aEngine, const Strike& aStrike, TimePoint aNow);

// Delivers a complete reply to an attempt. A reply to an unknown or cancelled attempt is not
// merged.
void
OnReply(Engine& aEngine, SubrequestReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions);

// Delivers the failure of an attempt. A failure of an unknown attempt is ignored.
void
OnFailure(Engine& aEngine,
          const SubrequestFailure& aFailure,
          TimePoint aNow,
          Rng& aRng,
          Actions& aActions);

// Runs all timers that are due at aNow.
void
OnTimer(Engine& aEngine, TimePoint aNow, Rng& aRng, Actions& aActions);

// Returns the time at which OnTimer must be called next, or nothing if no timer is set.
std::optional<TimePoint>
NextTimer(const Engine& aEngine);

} // namespace apricotyard

#endif
