// Connects the query engine to HTTP: callers on one side, upstreams on the other.
#ifndef APRICOTYARD_QUERY_PATH_H
#define APRICOTYARD_QUERY_PATH_H

#include "engine.h"
#include "http_client.h"
#include "loop.h"
#include "metrics.h"

#include <functional>

namespace apricotyard {

// Connections to control and to the other entry hosts. They are called on the loop's thread; a hook
// that is not set refuses claims and drops the rest.
struct QueryHooks
{
  // Makes a durable claim and calls the function once, on the loop's thread, with the answer.
  std::function<void(const ClaimRequest&, std::function<void(ClaimReply)>)> mClaim;
  std::function<void(const RecordOutcome&)> mRecordOutcome;
  std::function<void(const Strike&)> mShareStrike;
};

// All methods only on the loop's thread.
class QueryPath
{
public:
  // aSourceIp is the local address of the connections to upstreams.
  QueryPath(Loop& aLoop,
            MetricsRegistry& aMetrics,
            const std::string& aHost,
            const std::string& aDataCentre,
            const std::string& aSourceIp,
            std::uint64_t aIncarnation);

  void SetHooks(QueryHooks aHooks);
  Engine& State() { return mEngine; }
  // Requests that are not answered yet.
  std::size_t Running() const { return mPending.size(); }

  // The engine's identifier of aRequest is chosen here; an empty mRequestId is filled in. aRespond
  // is called exactly once.
  void Query(QueryRequest aRequest, HttpResponder aRespond);
  // As Query, at most once by the idempotency key.
  void Submit(QueryRequest aRequest, std::string aKey, HttpResponder aRespond);
  // Carries on after a change of the engine's upstreams, shares or quarantine.
  void Wake();

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
  void CarryOut(const Actions& aActions);
  void Send(const SendSub& aSend);
  void Cancel(const CancelSub& aCancel);
  void Claim(const ClaimRequest& aClaim);
  void OnSubReply(AttemptId aAttempt, const ClientReply& aReply);
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

// Checks the form EPOCH.RANDOM of an Idempotency-Key: digits, a dot, 8 to 64 letters, digits, '-'
// or
// '_'. Pure.
bool
IsIdempotencyKey(std::string_view aKey);

} // namespace apricotyard

#endif
