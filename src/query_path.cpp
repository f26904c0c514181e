#include "query_path.h"

#include "codec.h"
#include "log.h"
#include "upstream_reply.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Added to the timeout of the transfer, so that the reply to a cancellation at the deadline still
// arrives and the connection can be reused.
constexpr Duration kCancelGrace = std::chrono::milliseconds(200);
constexpr Duration kDeleteTimeout = std::chrono::seconds(1);
constexpr std::size_t kMinKeyRandom = 8;
constexpr std::size_t kMaxKeyRandom = 64;
constexpr std::size_t kMaxKeyEpoch = 19;

bool
IsDigit(char aC)
{
  return aC >= '0' && aC <= '9';
}

bool
IsKeyCharacter(char aC)
{
  return IsDigit(aC) || (aC >= 'a' && aC <= 'z') || (aC >= 'A' && aC <= 'Z') || aC == '-' ||
         aC == '_';
}

} // namespace

bool
IsIdempotencyKey(std::string_view aKey)
{
  const std::size_t dot = aKey.find('.');
  if (dot == std::string_view::npos || dot == 0 || dot > kMaxKeyEpoch) {
    return false;
  }
  const std::string_view epoch = aKey.substr(0, dot);
  const std::string_view random = aKey.substr(dot + 1);
  return std::all_of(epoch.begin(), epoch.end(), IsDigit) && random.size() >= kMinKeyRandom &&
         random.size() <= kMaxKeyRandom &&
         std::all_of(random.begin(), random.end(), IsKeyCharacter);
}

QueryPath::QueryPath(Loop& aLoop,
                     MetricsRegistry& aMetrics,
                     const std::string& aHost,
                     const std::string& aDataCentre,
                     const std::string& aSourceIp,
                     std::uint64_t aIncarnation)
  : mLoop(aLoop)
  , mHost(aHost)
  , mIncarnation(aIncarnation)
  , mQueries(aMetrics.AddCounter("apricot_queries_total", "Queries received."))
  , mSubrequests(aMetrics.AddCounter("apricot_subrequests_total", "Sub-requests sent."))
  , mCancellations(aMetrics.AddCounter("apricot_cancellations_total", "Sub-requests cancelled."))
  , mLatency(aMetrics.AddDistribution("apricot_query_seconds", "Time from arrival to answer."))
  , mRng(aIncarnation)
  , mClient(aLoop, aSourceIp, 0)
{
  mEngine.mHost = aHost;
  mEngine.mDataCentre = aDataCentre;
  // Distinct from the attempt identifiers of earlier incarnations.
  mEngine.mNextAttempt = aIncarnation << 12U;
}

void
QueryPath::SetHooks(QueryHooks aHooks)
{
  mHooks = std::move(aHooks);
}

void
QueryPath::Register(QueryRequest& aRequest, HttpResponder aRespond)
{
  mQueries.Add();
  aRequest.mId = mNextQuery++;
  if (aRequest.mRequestId.empty()) {
    aRequest.mRequestId = fmt::format("{}-{}-{}", mHost, mIncarnation, aRequest.mId);
  }
  mPending.emplace(aRequest.mId, Pending{ aRequest.mRequestId, std::move(aRespond) });
}

void
QueryPath::Query(QueryRequest aRequest, HttpResponder aRespond)
{
  Register(aRequest, std::move(aRespond));
  Actions actions;
  SubmitQuery(mEngine, std::move(aRequest), SteadyNow(), mRng, actions);
  ExecuteActions(actions);
}

void
QueryPath::Submit(QueryRequest aRequest, std::string aKey, HttpResponder aRespond)
{
  Register(aRequest, std::move(aRespond));
  Actions actions;
  SubmitUnrepeatable(mEngine, { std::move(aRequest), std::move(aKey) }, SteadyNow(), mRng, actions);
  ExecuteActions(actions);
}

void
QueryPath::ProcessChanges()
{
  Actions actions;
  OnTimer(mEngine, SteadyNow(), mRng, actions);
  ExecuteActions(actions);
}

void
QueryPath::ExecuteActions(const Actions& aActions)
{
  for (const Action& action : aActions) {
    if (const auto* const send = std::get_if<SendSubrequest>(&action)) {
      Send(*send);
    } else if (const auto* const cancel = std::get_if<CancelSubrequest>(&action)) {
      Cancel(*cancel);
    } else if (const auto* const respond = std::get_if<Respond>(&action)) {
      Answer(*respond);
    } else if (const auto* const decision = std::get_if<LogDecision>(&action)) {
      LogEvent(decision->mEvent, decision->mFields);
    } else if (const auto* const claim = std::get_if<ClaimRequest>(&action)) {
      Claim(*claim);
    } else if (const auto* const outcome = std::get_if<RecordOutcome>(&action)) {
      if (mHooks.mRecordOutcome) {
        mHooks.mRecordOutcome(*outcome);
      }
    } else if (const auto* const share = std::get_if<ShareStrike>(&action)) {
      if (mHooks.mShareStrike) {
        mHooks.mShareStrike(share->mStrike);
      }
    }
  }
  ArmTimer();
}

void
QueryPath::Send(const SendSubrequest& aSend)
{
  mSubrequests.Add();
  ClientRequest request;
  request.mAddress = aSend.mAddress;
  request.mPath = "/v1/search";
  request.mBody = *aSend.mBody;
  request.mTimeout = aSend.mTimeout + kCancelGrace;
  request.mFreshConnection = aSend.mFreshConnection;
  request.mExpectedHeader = { kHeaderSubrequest, fmt::to_string(aSend.mAttempt) };
  request.mHeaders = {
    { kHeaderSubrequest, fmt::to_string(aSend.mAttempt) },
    { kHeaderDeadline,
      fmt::to_string(std::chrono::floor<std::chrono::milliseconds>(aSend.mTimeout).count()) },
    { kHeaderVersion, fmt::to_string(aSend.mVersion) },
    { kHeaderMap, fmt::to_string(aSend.mShard.mMap) },
  };
  const AttemptId attempt = aSend.mAttempt;
  Transfer& transfer = mTransfers[attempt];
  if (aSend.mSilence > Duration::zero()) {
    transfer.mSilenceTimer =
      mLoop.AddTimer(SteadyNow() + aSend.mSilence, [this, attempt] { OnSilence(attempt); });
  }
  transfer.mId = mClient.Send(std::move(request), [this, attempt](const ClientReply& aReply) {
    OnSubrequestReply(attempt, aReply);
  });
}

void
QueryPath::Cancel(const CancelSubrequest& aCancel)
{
  if (!mTransfers.contains(aCancel.mAttempt)) {
    return;
  }
  mCancellations.Add();
  ClientRequest request;
  request.mMethod = "DELETE";
  request.mAddress = aCancel.mAddress;
  request.mPath = fmt::format("/v1/search/{}", aCancel.mAttempt);
  request.mTimeout = kDeleteTimeout;
  mClient.Send(std::move(request), [](const ClientReply&) {});
}

void
QueryPath::Claim(const ClaimRequest& aClaim)
{
  const auto answer = [this](ClaimReply aReply) {
    Actions actions;
    OnClaim(mEngine, std::move(aReply), SteadyNow(), mRng, actions);
    ExecuteActions(actions);
  };
  if (mHooks.mClaim) {
    mHooks.mClaim(aClaim, answer);
  } else {
    answer({ aClaim.mQuery, ClaimState::Refused, Result::ClaimRefused, {} });
  }
}

void
QueryPath::OnSubrequestReply(AttemptId aAttempt, const ClientReply& aReply)
{
  const auto transfer = mTransfers.extract(aAttempt);
  if (!transfer.empty()) {
    mLoop.CancelTimer(transfer.mapped().mSilenceTimer);
  }
  Actions actions;
  const TimePoint now = SteadyNow();
  auto outcome = ReadUpstreamReply(aAttempt, aReply);
  if (auto* const reply = std::get_if<SubrequestReply>(&outcome)) {
    OnReply(mEngine, std::move(*reply), now, mRng, actions);
  } else {
    const SubrequestFailure& failure = std::get<SubrequestFailure>(outcome);
    if (failure.mKind == FailureKind::BadReply) {
      LogEvent(Event::ReplyDiscarded, { { "attempt", aAttempt }, { "message", failure.mMessage } });
    }
    OnFailure(mEngine, failure, now, mRng, actions);
  }
  ExecuteActions(actions);
}

void
QueryPath::OnSilence(AttemptId aAttempt)
{
  const auto transfer = mTransfers.find(aAttempt);
  if (transfer == mTransfers.end() || !mClient.IsSilent(transfer->second.mId)) {
    return;
  }
  mClient.Cancel(transfer->second.mId);
  mTransfers.erase(transfer);
  Actions actions;
  OnFailure(mEngine,
            { aAttempt, FailureKind::Silent, "no byte received on the reused connection" },
            SteadyNow(),
            mRng,
            actions);
  ExecuteActions(actions);
}

void
QueryPath::Answer(const Respond& aRespond)
{
  const auto node = mPending.extract(aRespond.mAnswer.mQuery);
  if (node.empty()) {
    return;
  }
  mLatency.Record(aRespond.mAnswer.mElapsed);
  HttpResponse response;
  response.mStatus = Describe(aRespond.mAnswer.mResult).mHttpStatus;
  response.mBody = EncodeAnswer(node.mapped().mRequestId, aRespond.mAnswer);
  if (aRespond.mAnswer.mRetryAfter > Duration::zero()) {
    const auto wait = std::chrono::ceil<std::chrono::seconds>(aRespond.mAnswer.mRetryAfter);
    response.mHeaders.push_back({ "Retry-After", fmt::to_string(wait.count()) });
  }
  node.mapped().mRespond(std::move(response));
}

void
QueryPath::ArmTimer()
{
  const std::optional<TimePoint> next = NextTimer(mEngine);
  if (next == mTimerAt) {
    return;
  }
  mLoop.CancelTimer(mTimer);
  mTimerAt = next;
  if (next) {
    mTimer = mLoop.AddTimer(*next, [this] {
      mTimerAt.reset();
      ProcessChanges();
    });
  }
}

} // namespace apricotyard
