// Simulated cluster in virtual time, in which the decision bench runs the production engine.
//
// The cluster executes the actions of the engines, one per entry host. It models connections,
// network delays and packet loss, runs sub-requests in the slots of fake replicas, and reports the
// outcomes to the engines. It records what each replica actually did, and checks every answer
// against that record. All arithmetic is on integers, so a seed gives the same results on every
// machine.
#ifndef APRICOTYARD_BENCH_WORLD_H
#define APRICOTYARD_BENCH_WORLD_H

#include "bench_baseline.h"

#include <deque>
#include <functional>
#include <queue>

namespace apricotyard {

enum class BenchPolicy : std::uint8_t
{
  Current,  // the production engine (engine.h)
  Baseline, // the simple policy of bench_baseline.h
};

// Text of the poison query. It crashes a replica with FakeFaults::mCrashOnPoisonQuery that runs it.
inline constexpr const char* kPoisonQuery = "marked";

// Faults of a replica. They apply from the moment they are set.
struct FakeFaults
{
  // Multiplies the service time.
  std::uint32_t mSlowFactor = 1;
  // Sub-requests run, but their replies are never sent.
  bool mDropReplies = false;
  // Sub-requests run, but their connections are closed instead of a reply.
  bool mCloseAfterRead = false;
  bool mTruncateReply = false;
  // A reply names another shard or belongs to another attempt.
  bool mMismatchedReply = false;
  // A reply arrives twice.
  bool mDuplicateReply = false;
  // A reply carries the next index version.
  bool mWrongVersion = false;
  bool mCrashOnPoisonQuery = false;
  bool mRefuseConnections = false;
  // Every sub-request is refused because of overload.
  bool mShed = false;
  // The replica is unreachable: packets to it and from it are lost, so connections are not refused.
  bool mIsolated = false;
};

struct FakeReplica
{
  UpstreamInfo mInfo;
  // Extra time until a new connection is usable.
  Duration mConnectCost{};
  FakeFaults mFaults;
  bool mAlive = true;
  TimePoint mDrainingSince;
  // After a start at mColdSince the service times are longer until mWarmUpTime has passed.
  TimePoint mColdSince;
  Duration mWarmUpTime{};
  std::uint32_t mRunning = 0;
  // Indexes of the sub-requests that wait for a slot.
  std::deque<std::size_t> mQueue;
  std::uint64_t mRunCount = 0;
};

// A query as its caller sends it.
struct QuerySpec
{
  std::string mCollection;
  std::string mClass;
  std::string mText;
  // How often the caller sends the query again, at most, if it fails.
  std::uint32_t mCallerRetries = 0;
};

// The course and result of one submitted query.
struct QueryRecord
{
  QuerySpec mSpec;
  std::size_t mHost = 0;
  TimePoint mArrived;
  std::uint32_t mAnswerCount = 0;
  Result mResult = Result::Internal;
  Duration mLatency{};
  // Shards expected and answered, as the answer states them.
  std::uint32_t mExpected = 0;
  std::uint32_t mAnswered = 0;
  std::uint32_t mAttemptsSent = 0;
  // How many times replicas started the query, by shard.
  std::map<ShardKey, std::uint32_t> mRunsByShard;
  // Shards to which at least one sub-request was sent.
  std::set<ShardKey> mShardsSent;
  // Shards from which the engine received a reply with the right attempt, shard and version.
  std::set<ShardKey> mShardsReplied;
};

// A violation of one of the invariants that the cluster checks:
// - I1: an answer merges replies at one index version and, per service, of one partition map, and
//   counts no key range twice;
// - I2: an answer states its coverage correctly;
// - I3: each query is answered exactly once, and only with replies to that query;
// - I4: a result that promises "not run" is given only if no replica ran the query;
// - I5: an unrepeatable request runs at most once per shard.
struct Violation
{
  std::string_view mInvariant;
  QueryId mQuery = 0;
  std::string mMessage;
};

struct ClusterOptions
{
  BenchPolicy mPolicy = BenchPolicy::Current;
  std::uint64_t mSeed = 1;
  // The data centre of each entry host. Each host has one engine.
  std::vector<std::string> mHostDataCentres;
  bool mTrace = false;
};

// Draws an exponentially distributed duration. Uses von Neumann's comparison method, which needs no
// logarithm and thus works on integers (J. von Neumann, "Various techniques used in connection with
// random digits", 1951).
Duration
DrawExponential(Rng& aRng, Duration aMean);

// Draws a service time of a healthy replica.
Duration
DrawServiceTime(Rng& aRng);
// Mean of the distribution of DrawServiceTime.
inline constexpr Duration kMeanServiceTime = std::chrono::microseconds(6175);

// Hosts and replicas are numbered from 0 in the order in which they were added. Not thread-safe.
class SimulatedCluster
{
public:
  SimulatedCluster(ClusterOptions aOptions, std::shared_ptr<const Config> aConfig);
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Adds a replica and returns its index. Every host knows its announcement at once, unless its
  // state is Starting. A zero incarnation or sequence becomes 1.
  std::size_t AddReplica(UpstreamInfo aInfo, Duration aConnectCost);
  FakeReplica& At(std::size_t aReplica) { return mReplicas[aReplica]; }
  std::size_t ReplicaCount() const { return mReplicas.size(); }
  std::vector<std::size_t> ReplicasOf(const std::string& aService) const;

  TimePoint Now() const { return mNow; }
  TimePoint Start() const { return mStart; }
  Rng& Random() { return mRng; }
  // Calls aTask at Start() + aAfter, or at once if that time has passed.
  void Schedule(Duration aAfter, std::function<void()> aTask);
  // Processes events until none is left, then checks the invariants that concern the whole run.
  void Run();

  // Submits a query to the engine of host aHost at the current virtual time.
  void Submit(const QuerySpec& aSpec, std::size_t aHost);
  // Announces the current state of the replica. Each host receives it after a random delay.
  void Announce(std::size_t aReplica);
  // Sets the state Draining and announces it.
  void Drain(std::size_t aReplica);
  // Crashes the process of the replica; does nothing if it is down. It starts again after aRestart
  // with a new incarnation. If aRestart is zero, it stays down and its lease expires.
  void Crash(std::size_t aReplica, Duration aRestart);
  // Removes the replica from the tables of all hosts when its lease ends, unless it is reachable
  // or has a new incarnation by then.
  void ScheduleLeaseExpiry(std::size_t aReplica);
  // The open connections of a host stop delivering data, without reporting an error.
  void SilenceConnections(std::size_t aHost);
  // Prints aText with the virtual time in microseconds if tracing is on.
  void Trace(std::string_view aText) const;

  const std::vector<QueryRecord>& Queries() const { return mQueries; }
  const std::vector<Violation>& Violations() const { return mViolations; }
  // Sub-requests sent beyond the first one to each shard of each query, and those first ones.
  std::uint64_t ExtraSubrequests() const { return mExtraSubrequests; }
  std::uint64_t FirstSubrequests() const { return mFirstSubrequests; }
  // Crashes by the poison query, by index of the host that sent the sub-request.
  const std::vector<std::uint32_t>& PoisonQueryCrashes() const { return mPoisonQueryCrashes; }
  // Returns the largest number of sub-requests that the replicas of a service received in any
  // window of 100 ms that begins at aSince or later.
  std::uint64_t PeakArrivals(const std::string& aService, TimePoint aSince) const;

private:
  struct Host
  {
    std::string mDataCentre;
    Engine mEngine;
    BaselineEngine mBaseline;
    Rng mRng;
    std::map<std::string, UpstreamInfo> mKnownUpstreams;
    std::optional<TimePoint> mTimerDue;
  };

  struct Connection
  {
    std::size_t mHost = 0;
    std::size_t mReplica = 0;
    bool mOpen = true;
    bool mSilent = false;
    // A reply was received on the connection before.
    bool mUsedBefore = false;
    // Index of the sub-request that uses the connection, or kNoIndex.
    std::size_t mSubrequest = 0;
  };

  // Connections of one host to one replica.
  struct Pool
  {
    std::vector<std::size_t> mIdleConnections;
    std::deque<std::size_t> mWaitingSubrequests;
    std::uint32_t mOpen = 0;
  };

  struct Subrequest
  {
    SendSubrequest mSend;
    std::size_t mHost = 0;
    std::size_t mReplica = 0;
    std::size_t mConnection = 0;
    // Incarnation of the replica that accepted the sub-request.
    std::uint64_t mIncarnation = 0;
    // The engine has received the outcome, or abandoned the sub-request.
    bool mFinished = false;
    bool mRunning = false;
    bool mQueued = false;
    bool mMerged = false;
    // What the replica actually searched.
    ShardKey mShard;
    IndexVersion mVersion = 0;
    KeyRange mRange;
  };

  struct TimedEvent
  {
    TimePoint mWhen;
    // Orders events of the same time by their insertion.
    std::uint64_t mSequenceNumber;
    std::function<void()> mTask;
  };
  // Makes the priority queue return the earliest event first.
  struct RunsLater
  {
    bool operator()(const TimedEvent& aLeft, const TimedEvent& aRight) const
    {
      return aLeft.mWhen != aRight.mWhen ? aLeft.mWhen > aRight.mWhen
                                         : aLeft.mSequenceNumber > aRight.mSequenceNumber;
    }
  };

  void ScheduleAt(TimePoint aWhen, std::function<void()> aTask);
  Duration DrawOneWayDelay(std::size_t aHost, std::size_t aReplica);
  Pool& PoolOf(std::size_t aHost, std::size_t aReplica);
  std::uint32_t ConnectionLimit(std::size_t aReplica) const;

  void ExecuteActions(std::size_t aHost, const Actions& aActions);
  void ArmTimer(std::size_t aHost);
  void HandleAnnouncement(std::size_t aHost, const UpstreamInfo& aInfo);
  void UpdateUpstreams(std::size_t aHost);

  void Send(std::size_t aHost, const SendSubrequest& aSend);
  void AssignConnection(std::size_t aSubrequest);
  void Connect(std::size_t aSubrequest);
  void CloseConnection(std::size_t aConnection);
  void ReleaseConnection(std::size_t aConnection);
  void StartNextWaiting(std::size_t aHost, std::size_t aReplica);
  void Cancel(std::size_t aHost, AttemptId aAttempt);
  void ReplyToCancelled(std::size_t aSubrequest);
  void CheckSilence(std::size_t aSubrequest);
  void GossipStrike(std::size_t aHost, const Strike& aStrike);
  void HandleTimeout(std::size_t aSubrequest);

  void HandleArrival(std::size_t aSubrequest);
  void StartNext(std::size_t aReplica);
  void FinishRun(std::size_t aSubrequest);
  void SendReply(std::size_t aSubrequest);
  void AbortRun(std::size_t aSubrequest);
  // Reports the failure to the engine after aDelay.
  void ScheduleFailure(std::size_t aSubrequest, FailureKind aKind, Duration aDelay);
  void ReportFailure(std::size_t aSubrequest, FailureKind aKind);
  void ReportReply(std::size_t aSubrequest, SubrequestReply aReply);

  void CheckAnswer(const Answer& aAnswer);
  void CheckCoverage(const Answer& aAnswer, const QueryRecord& aRecord);
  void CheckItems(const Answer& aAnswer, const QueryRecord& aRecord);
  void CheckFinalState();
  void AddViolation(std::string_view aInvariant, QueryId aQuery, std::string aMessage);

  ClusterOptions mOptions;
  std::shared_ptr<const Config> mConfig;
  Rng mRng;
  TimePoint mStart{ std::chrono::seconds(1000) };
  TimePoint mNow = mStart;
  std::uint64_t mSequenceNumber = 0;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, RunsLater> mEvents;
  std::vector<Host> mHosts;
  std::vector<FakeReplica> mReplicas;
  // Index of each replica, by upstream identity.
  std::map<std::string, std::size_t> mReplicaIndexes;
  std::vector<Connection> mConnections;
  // One pool per replica and host; see PoolOf.
  std::vector<Pool> mPools;
  std::deque<Subrequest> mSubrequests;
  // Index of each unfinished sub-request, by host and attempt.
  std::map<std::pair<std::size_t, AttemptId>, std::size_t> mLiveAttempts;
  std::vector<QueryRecord> mQueries;
  // Key ranges of the shards of every partition map announced so far, by service and map.
  std::map<std::pair<std::string, std::uint32_t>, std::map<std::uint32_t, KeyRange>> mPartitionMaps;
  std::map<std::string, std::vector<TimePoint>> mArrivalTimes;
  std::vector<Violation> mViolations;
  std::vector<std::uint32_t> mPoisonQueryCrashes;
  std::uint64_t mFirstSubrequests = 0;
  std::uint64_t mExtraSubrequests = 0;
};

} // namespace apricotyard

#endif
