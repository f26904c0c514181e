#include "forwarding.h"
#include "relay_state.h"
#include "settings.h"
#include "top_records.h"

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Range of the Retry-After value of a refusal. A random value keeps callers from retrying at the
// same time.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(450);
// If queues have no room for longer, the range begins when they will, at most after this time, and
// ends at this multiple of its beginning.
constexpr Duration kMaxRoomWait = std::chrono::seconds(5);
constexpr double kRetrySpread = 1.5;

} // namespace

bool
MayHaveRun(const RelayedRequest& aRelayed)
{
  return aRelayed.mMayHaveRunAtPeer ||
         std::any_of(
           aRelayed.mSubrequests.begin(),
           aRelayed.mSubrequests.end(),
           [](const RelaySubrequest& aOne) { return aOne.mPossibleRuns > 0 || aOne.mAnswered; });
}

bool
IsRefusal(int aStatus)
{
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  return aStatus == kTooManyRequests || aStatus == kServiceUnavailable;
}

HttpResponse
Relay::State::MakeForwardedResponse(const RelaySubrequest& aSubrequest) const
{
  HttpResponse response;
  response.mStatus = aSubrequest.mReply.mStatus;
  response.mBody = aSubrequest.mReply.mBody;
  response.mContentType.clear();
  response.mHeaders =
    EndToEndHeaders(aSubrequest.mReply.mRawHeaders, aSubrequest.mReply.Header("connection"));
  return response;
}

HttpResponse
Relay::State::MakeMergedResponse(const RelayedRequest& aRelayed) const
{
  const HeaderNames& names = mProtocol.mHeaders;
  std::vector<std::string_view> bodies;
  std::string signatures;
  for (const RelaySubrequest& subrequest : aRelayed.mSubrequests) {
    if (subrequest.mAnswered) {
      bodies.emplace_back(subrequest.mReply.mBody);
      signatures += signatures.empty() ? "" : ", ";
      signatures += subrequest.mReply.Header(names.mSignature);
    }
  }
  HttpResponse response;
  response.mBody = MergeTopRecords(bodies, aRelayed.mRoute->mTopRecords);
  response.mContentType = "application/octet-stream";
  response.mHeaders.push_back({ names.mRequestId, aRelayed.mId });
  response.mHeaders.push_back({ names.mPartSignatures, signatures });
  response.mHeaders.push_back(
    { names.mMissingParts, std::to_string(aRelayed.mSubrequests.size() - bodies.size()) });
  return response;
}

// The response to a request that cannot be answered successfully. A refusal states that nothing
// ran, so it is sent only if that is certain.
HttpResponse
Relay::State::MakeFailureResponse(const RelayedRequest& aRelayed)
{
  // Another gateway that has got the request may run it.
  const bool mayHaveRun = MayHaveRun(aRelayed) || mClient.IsSent(aRelayed.mPeerTransfer);
  if (!mayHaveRun && IsRevoked(aRelayed)) {
    return MakeRevokedRefusal(aRelayed);
  }
  const RelaySubrequest& first = aRelayed.mSubrequests.front();
  // A refusal of a replica is passed back only if it is true for the other attempts as well.
  const bool mayForward = !mayHaveRun || !IsRefusal(first.mReply.mStatus);
  if (aRelayed.mRoute->mTarget == RouteTarget::OneService && first.mReply.mStatus != 0 &&
      !aRelayed.mDeadlinePassed && mayForward) {
    return MakeForwardedResponse(first);
  }
  if (aRelayed.mQuotaState == QuotaState::Waiting || aRelayed.mQuotaState == QuotaState::Paused) {
    return MakeRefusal(Result::QuotaUnavailable, "no token was granted in time");
  }
  if (!mayHaveRun && IsAnyStopped(aRelayed)) {
    return MakeStoppedRefusal(aRelayed);
  }
  if (!mayHaveRun) {
    return MakeRefusal(Result::NoReplica, "no replica took the request", RoomIn(aRelayed));
  }
  return aRelayed.mDeadlinePassed
           ? ErrorResponse(Result::RelayTimeout, "no replica answered in time")
           : ErrorResponse(Result::RelayFailed, "no replica gave a whole answer");
}

HttpResponse
Relay::State::MakeRefusal(Result aResult, std::string_view aMessage, Duration aRoomIn)
{
  HttpResponse response = ErrorResponse(aResult, aMessage);
  const Duration earliest = std::clamp(aRoomIn, kMinRetryAfter, kMaxRoomWait);
  const Duration latest =
    std::max(kMaxRetryAfter, std::chrono::duration_cast<Duration>(earliest * kRetrySpread));
  std::uniform_int_distribution<std::int64_t> delay(earliest.count(), latest.count());
  const std::chrono::duration<double> seconds = Duration(delay(mRng));
  response.mHeaders.push_back({ "Retry-After", fmt::format("{:.2f}", seconds.count()) });
  return response;
}

Duration
Relay::State::RoomIn(const RelayedRequest& aRelayed) const
{
  Duration longest{};
  for (const RelaySubrequest& subrequest : aRelayed.mSubrequests) {
    if (const auto service = mServices.find(subrequest.mService); service != mServices.end()) {
      longest = std::max(longest, TimeUntilRoom(service->second.mQueue));
    }
  }
  return longest;
}

// Names the time for which equal requests stay stopped, because earlier ones would be refused as
// well. If another attempt decides first whether the request is the cause, that time is short.
HttpResponse
Relay::State::MakeStoppedRefusal(const RelayedRequest& aRelayed)
{
  const TimePoint now = SteadyNow();
  TimePoint until = now;
  std::vector<Fingerprint> fingerprints;
  for (const RelaySubrequest& subrequest : aRelayed.mSubrequests) {
    fingerprints.push_back(FingerprintOf(aRelayed, subrequest));
    fingerprints.push_back(ContentFingerprintOf(aRelayed, subrequest));
  }
  for (const Fingerprint fingerprint : fingerprints) {
    if (Judge(mLedger, fingerprint) == Permission::Stopped) {
      until = std::max(until, LastStrikeAt(mLedger, fingerprint) + kQuarantineTime);
    }
  }
  constexpr std::string_view kMessage = "equal requests crashed replicas; not run";
  if (until == now) {
    return MakeRefusal(Result::StoppedCrashes, kMessage);
  }
  HttpResponse response = ErrorResponse(Result::StoppedCrashes, kMessage);
  const std::chrono::duration<double> seconds = until - now;
  response.mHeaders.push_back({ "Retry-After", fmt::format("{:.2f}", seconds.count()) });
  return response;
}

} // namespace apricotyard
