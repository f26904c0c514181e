// Fake replicas in virtual time, which the decision bench puts around the production engine.
//
// The world carries out the actions of one or several engines: it keeps connections, delays and
// loses messages, runs sub-requests in the slots of fake replicas and reports the outcomes. It
// knows what every replica really did, and checks the answers against that knowledge. All
// arithmetic is on integers, so a seed gives the same results on every machine. Not thread-safe.
#ifndef APRICOTYARD_BENCH_WORLD_H
#define APRICOTYARD_BENCH_WORLD_H

#include "bench_baseline.h"

#include <deque>
#include <functional>
#include <queue>

namespace apricotyard {

enum class BenchPolicy : std::uint8_t
{
  Current,
  Baseline,
};

// The text of a query that crashes a replica whose mCrashOnMarked is set.
inline constexpr const char* kMarkedQuery = "marked";

struct FakeFaults
{
  std::uint32_t mSlowFactor = 1;
  bool mDropReplies = false;
  bool mCloseAfterRead = false;
  bool mTruncate = false;
  bool mCrossed = false;
  bool mDuplicate = false;
  bool mWrongVersion = false;
  bool mCrashOnMarked = false;
  bool mRefuse = false;
  bool mShed = false;
  // The host is unreachable: nothing arrives and nothing is refused.
  bool mIsolated = false;
};

struct FakeReplica
{
  UpstreamInfo mInfo;
  Duration mConnectCost{};
  FakeFaults mFaults;
  bool mAlive = true;
  TimePoint mDrainStart;
  TimePoint mColdStart;
  Duration mColdTime{};
  std::uint32_t mRunning = 0;
  std::deque<std::size_t> mQueue;
  std::uint64_t mRuns = 0;
};

struct QueryPlan
{
  std::string mCollection;
  std::string mClass;
  std::string mText;
  // The caller sends the query again when it fails, at most this many times.
  std::uint32_t mResends = 0;
};

// What the bench keeps about one query.
struct QueryRecord
{
  QueryPlan mPlan;
  std::size_t mHost = 0;
  TimePoint mArrived;
  std::uint32_t mAnswers = 0;
  Result mResult = Result::Internal;
  Duration mLatency{};
  std::uint32_t mExpected = 0;
  std::uint32_t mAnswered = 0;
  std::uint32_t mSent = 0;
  // How often the query was started on replicas, by shard.
  std::map<ShardKey, std::uint32_t> mRuns;
  std::set<ShardKey> mSentTo;
  // Shards whose genuine reply reached the engine.
  std::set<ShardKey> mReplied;
};

struct Violation
{
  std::string_view mInvariant;
  QueryId mQuery = 0;
  std::string mWhat;
};

struct WorldOptions
{
  BenchPolicy mPolicy = BenchPolicy::Current;
  std::uint64_t mSeed = 1;
  // The data centre of each entry host; one engine each.
  std::vector<std::string> mHosts;
  bool mTrace = false;
};

// An exponentially distributed duration by von Neumann's comparison method, which needs no
// logarithm (J. von Neumann, "Various techniques used in connection with random digits", 1951).
Duration
DrawExponential(Rng& aRng, Duration aMean);

// A service time of a healthy replica, and the mean of that distribution.
Duration
DrawServiceTime(Rng& aRng);
inline constexpr Duration kMeanServiceTime = std::chrono::microseconds(6175);

class World
{
public:
  World(WorldOptions aOptions, std::shared_ptr<const Config> aConfig);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Adds a replica whose announcement every host already knows.
  std::size_t AddReplica(UpstreamInfo aInfo, Duration aConnectCost);
  FakeReplica& At(std::size_t aReplica) { return mReplicas[aReplica]; }
  std::size_t Replicas() const { return mReplicas.size(); }
  std::vector<std::size_t> ReplicasOf(const std::string& aService) const;

  TimePoint Now() const { return mNow; }
  TimePoint Start() const { return mStart; }
  Rng& Random() { return mRng; }
  // Calls aTask at aAfter from the start of the run.
  void Schedule(Duration aAfter, std::function<void()> aTask);
  // Runs until nothing is left to happen.
  void Run();

  void Submit(const QueryPlan& aPlan, std::size_t aHost);
  // Tells every host, after a delay, what the replica now announces.
  void Announce(std::size_t aReplica);
  void Drain(std::size_t aReplica);
  // The process dies. It starts again after aRestart with a new incarnation, or stays away if
  // aRestart is zero.
  void Crash(std::size_t aReplica, Duration aRestart);
  // The lease of an unreachable replica ends at every host.
  void ExpireLater(std::size_t aReplica);
  // Open connections of a host stop to deliver without an error.
  void SilenceConnections(std::size_t aHost);
  void Trace(std::string_view aText) const;

  const std::vector<QueryRecord>& Queries() const { return mQueries; }
  const std::vector<Violation>& Violations() const { return mViolations; }
  std::uint64_t ExtraSubs() const { return mExtraSubs; }
  std::uint64_t FirstSubs() const { return mFirstSubs; }
  // Crashes by a marked query, by the host that sent the sub-request.
  const std::vector<std::uint32_t>& MarkedCrashes() const { return mMarkedCrashes; }
  // The most sub-requests that a service received within any 100 ms that began after aSince.
  std::uint64_t PeakArrivals(const std::string& aService, TimePoint aSince) const;

private:
  struct Host
  {
    std::string mDataCentre;
    Engine mEngine;
    Baseline mBaseline;
    Rng mRng;
    std::map<std::string, UpstreamInfo> mKnown;
    std::optional<TimePoint> mTimerAt;
  };

  struct Connection
  {
    std::size_t mHost = 0;
    std::size_t mReplica = 0;
    bool mOpen = true;
    bool mSilent = false;
    bool mUsed = false;
    // The sub-request on the connection, or kNone.
    std::size_t mSub = 0;
  };

  struct Pool
  {
    std::vector<std::size_t> mIdle;
    std::deque<std::size_t> mWaiting;
    std::uint32_t mOpen = 0;
  };

  struct Sub
  {
    SendSub mSend;
    std::size_t mHost = 0;
    std::size_t mReplica = 0;
    std::size_t mConnection = 0;
    std::uint64_t mIncarnation = 0;
    bool mClosed = false;
    bool mRunning = false;
    bool mQueued = false;
    bool mMerged = false;
    // What the replica really searched.
    ShardKey mShard;
    IndexVersion mVersion = 0;
    KeyRange mRange;
  };

  struct Timed
  {
    TimePoint mWhen;
    std::uint64_t mOrder;
    std::function<void()> mTask;
  };
  struct Later
  {
    bool operator()(const Timed& a_, const Timed& aB) const
    {
      return a_.mWhen != aB.mWhen ? a_.mWhen > aB.mWhen : a_.mOrder > aB.mOrder;
    }
  };

  void Post(TimePoint aWhen, std::function<void()> aTask);
  Duration OneWay(std::size_t aHost, std::size_t aReplica);
  Pool& PoolOf(std::size_t aHost, std::size_t aReplica);
  std::uint32_t ConnectionLimit(std::size_t aReplica) const;

  void CarryOut(std::size_t aHost, const Actions& aActions);
  void ArmTimer(std::size_t aHost);
  void Learn(std::size_t aHost, const UpstreamInfo& aInfo);
  void Refresh(std::size_t aHost);

  void Send(std::size_t aHost, const SendSub& aSend);
  void UseConnection(std::size_t aSub);
  void Connect(std::size_t aSub);
  void CloseConnection(std::size_t aConnection);
  void ReleaseConnection(std::size_t aConnection);
  void StartWaiting(std::size_t aHost, std::size_t aReplica);
  void Cancel(std::size_t aHost, AttemptId aAttempt);
  void AnswerCancelled(std::size_t aSub);
  void CheckSilence(std::size_t aSub);
  void Share(std::size_t aHost, const Strike& aStrike);
  void Expire(std::size_t aSub);

  void Deliver(std::size_t aSub);
  void StartNext(std::size_t aReplica);
  void FinishRun(std::size_t aSub);
  void SendReply(std::size_t aSub);
  void AbortRun(std::size_t aSub);
  // The host sees the failure after aDelay.
  void FailLater(std::size_t aSub, FailureKind aKind, Duration aDelay);
  void ReportFailure(std::size_t aSub, FailureKind aKind);
  void ReportReply(std::size_t aSub, SubReply aReply);

  void CheckAnswer(const Answer& aAnswer);
  void CheckCoverage(const Answer& aAnswer, const QueryRecord& aRecord);
  void CheckItems(const Answer& aAnswer, const QueryRecord& aRecord);
  void CheckEnd();
  void Violate(std::string_view aInvariant, QueryId aQuery, std::string aWhat);

  WorldOptions mOptions;
  std::shared_ptr<const Config> mConfig;
  Rng mRng;
  TimePoint mStart{ std::chrono::seconds(1000) };
  TimePoint mNow = mStart;
  std::uint64_t mOrder = 0;
  std::priority_queue<Timed, std::vector<Timed>, Later> mEvents;
  std::vector<Host> mHosts;
  std::vector<FakeReplica> mReplicas;
  std::map<std::string, std::size_t> mReplicaIds;
  std::vector<Connection> mConnections;
  std::vector<Pool> mPools;
  std::deque<Sub> mSubs;
  std::map<std::pair<std::size_t, AttemptId>, std::size_t> mLive;
  std::vector<QueryRecord> mQueries;
  // The shards of every partition map that was ever announced.
  std::map<std::pair<std::string, std::uint32_t>, std::map<std::uint32_t, KeyRange>> mLayouts;
  std::map<std::string, std::vector<TimePoint>> mArrivals;
  std::vector<Violation> mViolations;
  std::vector<std::uint32_t> mMarkedCrashes;
  std::uint64_t mFirstSubs = 0;
  std::uint64_t mExtraSubs = 0;
};

} // namespace apricotyard

#endif
