// Connects the query engine to HTTP: callers on one side, upstreams on the other.
#ifndef APRICOTYARD_QUERY_PATH_H
#define APRICOTYARD_QUERY_PATH_H

#include "engine.h"
#include "http_client.h"
#include "loop.h"
#include "metrics.h"

#include <functional>

namespace apricotyard {

// Callbacks to control and the other entry hosts, called on the loop's thread. If mClaim is not
// set, claims are refused. Outcomes and strikes without a callback are dropped.
struct QueryHooks
{
  // Makes a durable claim. The function must be called exactly once with the answer, on the loop's
  // thread.
  std::function<void(const ClaimRequest&, std::function<void(ClaimReply)>)> mClaim;
  std::function<void(const RecordOutcome&)> mRecordOutcome;
  std::function<void(const Strike&)> mShareStrike;
};

// Not thread-safe: all methods must be called on the loop's thread.
class QueryPath
{
public:
  // aSourceIp is the local address for connections to upstreams.
  QueryPath(Loop& aLoop,
            MetricsRegistry& aMetrics,
            const std::string& aHost,
            const std::string& aDataCentre,
            const std::string& aSourceIp,
            std::uint64_t aIncarnation);

  void SetHooks(QueryHooks aHooks);
  Engine& State() { return mEngine; }
  // Number of unanswered requests.
  std::size_t Running() const { return mPending.size(); }

  // Runs a query. mId is assigned here, and mRequestId is generated if it is empty. aRespond is
  // called exactly once.
  void Query(QueryRequest aRequest, HttpResponder aRespond);
  // Like Query, but runs the request at most once for the idempotency key.
  void Submit(QueryRequest aRequest, std::string aKey, HttpResponder aRespond);
  // Runs the engine after its upstreams, shares or quarantine were changed directly.
  void ProcessChanges();

private:
  struct Pending
  {
    std::string mRequestId;
    HttpResponder mRespond;
  };

  struct Transfer
  {
    TransferId mId = 0;
    TimerId mSilenceTimer = 0;
  };

  void Register(QueryRequest& aRequest, HttpResponder aRespond);
  void ExecuteActions(const Actions& aActions);
  void Send(const SendSubrequest& aSend);
  void Cancel(const CancelSubrequest& aCancel);
  void Claim(const ClaimRequest& aClaim);
  void OnSubrequestReply(AttemptId aAttempt, const ClientReply& aReply);
  void OnSilence(AttemptId aAttempt);
  void Answer(const Respond& aRespond);
  void ArmTimer();

  Loop& mLoop;
  std::string mHost;
  std::uint64_t mIncarnation;
  Counter& mQueries;
  Counter& mSubrequests;
  Counter& mCancellations;
  Distribution& mLatency;
  Rng mRng;
  Engine mEngine;
  HttpClient mClient;
  QueryHooks mHooks;
  absl::flat_hash_map<QueryId, Pending> mPending;
  absl::flat_hash_map<AttemptId, Transfer> mTransfers;
  QueryId mNextQuery = 1;
  TimerId mTimer = 0;
  std::optional<TimePoint> mTimerAt;
};

// Returns true if the key has the form EPOCH.RANDOM: 1 to 19 digits, a dot, and 8 to 64 letters,
// digits, '-' or '_'. Pure.
bool
IsIdempotencyKey(std::string_view aKey);

} // namespace apricotyard

#endif
