#include "ctl_api.h"

#include "cmdline.h"
#include "http_client.h"
#include "settings.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

namespace apricotyard {

namespace {

constexpr Duration kAttemptTimeout = std::chrono::seconds(3);
constexpr std::chrono::milliseconds kRetryDelay{ 300 };
constexpr std::size_t kMaxReplyBytes = std::size_t{ 64 } * 1024 * 1024;

ClientReply
CallOnce(const SocketAddress& aAddress, ClientRequest aRequest)
{
  Loop loop;
  HttpClient client(loop, "", 1);
  aRequest.mAddress = aAddress;
  aRequest.mFreshConnection = true;
  aRequest.mMaxReply = kMaxReplyBytes;
  ClientReply reply;
  client.Send(std::move(aRequest), [&](ClientReply aReply) {
    reply = std::move(aReply);
    loop.Stop();
  });
  loop.Run();
  return reply;
}

} // namespace

Result
AdminReply::Code() const
{
  const auto result = mBody.find("result");
  if (result == mBody.end() || !result->is_object()) {
    return Result::Internal;
  }
  const auto code = result->find("code");
  if (code == result->end() || !code->is_number_unsigned()) {
    return Result::Internal;
  }
  const auto number = code->get<std::uint64_t>();
  const auto info = std::find_if(AllResults().begin(), AllResults().end(), [&](const auto& aInfo) {
    return aInfo.mNumber == number;
  });
  return info == AllResults().end() ? Result::Internal : info->mResult;
}

std::string
AdminReply::Message() const
{
  const auto result = mBody.find("result");
  if (result == mBody.end() || !result->is_object()) {
    return "the reply is not an administration API reply";
  }
  return result->value("message", "");
}

Expected<AdminReply>
CallAdmin(const AdminTarget& aTarget,
          const std::string& aMethod,
          const std::string& aPath,
          const nlohmann::json& aBody,
          RetryPolicy aRetryPolicy)
{
  const TimePoint deadline = SteadyNow() + aTarget.mTimeout;
  std::size_t addressIndex = 0;
  bool replyLost = false;
  std::string lastError = "the time limit expired before a control host was tried";
  SocketAddress address = aTarget.mAddresses.front();
  // Set after following one redirection to the leader. During an election two members can name each
  // other; following only one redirection in a row avoids a loop without pauses.
  bool redirected = false;
  for (;;) {
    const Duration remaining = deadline - SteadyNow();
    if (remaining <= Duration::zero()) {
      return Fail(replyLost ? Result::ControlOutcomeUnknown : Result::NoLeader, lastError);
    }
    ClientRequest request;
    request.mMethod = aMethod;
    request.mPath = aPath;
    request.mBody = aMethod == "GET" ? "" : aBody.dump();
    request.mTimeout = std::min(remaining, kAttemptTimeout);
    if (!aTarget.mKey.empty()) {
      request.mHeaders.push_back({ "Authorization", "Bearer " + aTarget.mKey });
    }
    const ClientReply httpReply = CallOnce(address, std::move(request));
    if (httpReply.mEnd == TransferEnd::Complete) {
      AdminReply adminReply{ httpReply.mStatus,
                             nlohmann::json::parse(httpReply.mBody, nullptr, false),
                             address };
      const Result code = adminReply.mBody.is_object() ? adminReply.Code() : Result::Internal;
      if (code != Result::NotLeader && code != Result::NoLeader &&
          code != Result::ControlOutcomeUnknown) {
        return adminReply;
      }
      lastError = fmt::format("{} replied: {}", FormatSocketAddress(address), adminReply.Message());
      replyLost = replyLost || code == Result::ControlOutcomeUnknown;
      if (replyLost && aRetryPolicy == RetryPolicy::NeverAfterLostReply) {
        return Fail(Result::ControlOutcomeUnknown, lastError);
      }
      const auto leader = ParseSocketAddress(adminReply.mBody.value("leader", ""));
      if (code == Result::NotLeader && leader && !redirected) {
        address = *leader;
        redirected = true;
        continue;
      }
    } else {
      lastError =
        fmt::format("no answer from {}: {}", FormatSocketAddress(address), httpReply.mMessage);
      const bool notSent =
        httpReply.mEnd == TransferEnd::NotConnected || httpReply.mEnd == TransferEnd::NotSent;
      replyLost = replyLost || !notSent;
      if (replyLost && aRetryPolicy == RetryPolicy::NeverAfterLostReply) {
        return Fail(Result::ControlOutcomeUnknown, lastError);
      }
    }
    redirected = false;
    addressIndex = (addressIndex + 1) % aTarget.mAddresses.size();
    address = aTarget.mAddresses[addressIndex];
    if (addressIndex == 0) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

Expected<AdminReply>
GetJson(const SocketAddress& aAddress, const std::string& aPath, Duration aTimeout)
{
  ClientRequest request;
  request.mMethod = "GET";
  request.mPath = aPath;
  request.mTimeout = aTimeout;
  const ClientReply httpReply = CallOnce(aAddress, std::move(request));
  AdminReply adminReply{ httpReply.mStatus,
                         nlohmann::json::parse(httpReply.mBody, nullptr, false),
                         aAddress };
  if (httpReply.mEnd != TransferEnd::Complete || !adminReply.mBody.is_object()) {
    return Fail(
      Result::Internal,
      fmt::format("no answer from {}: {}", FormatSocketAddress(aAddress), httpReply.mMessage));
  }
  return adminReply;
}

int
ExitCode(const AdminReply& aReply)
{
  switch (aReply.Code()) {
    case Result::Ok:
    case Result::NoChange:
      return kExitOk;
    case Result::SectionConflict:
    case Result::RevisionTaken:
    case Result::UnknownRevision:
    case Result::RosterBusy:
    case Result::SubmissionReused:
      return kExitConflict;
    case Result::Unauthorized:
    case Result::Forbidden:
      return kExitNotAllowed;
    case Result::Internal:
      return kExitOutcomeUnknown;
    default:
      return kExitFailure;
  }
}

} // namespace apricotyard
