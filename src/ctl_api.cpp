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
constexpr std::chrono::milliseconds kRetryPause{ 300 };
constexpr std::size_t kMaxReply = std::size_t{ 64 } * 1024 * 1024;

ClientReply
CallOnce(const SocketAddress& aAddress, ClientRequest aRequest)
{
  Loop loop;
  HttpClient client(loop, "", 1);
  aRequest.mAddress = aAddress;
  aRequest.mFreshConnection = true;
  aRequest.mMaxReply = kMaxReply;
  ClientReply result;
  client.Send(std::move(aRequest), [&](ClientReply aReply) {
    result = std::move(aReply);
    loop.Stop();
  });
  loop.Run();
  return result;
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
  const auto known = std::find_if(AllResults().begin(), AllResults().end(), [&](const auto& aInfo) {
    return aInfo.mNumber == number;
  });
  return known == AllResults().end() ? Result::Internal : known->mResult;
}

std::string
AdminReply::Message() const
{
  const auto result = mBody.find("result");
  if (result == mBody.end() || !result->is_object()) {
    return "the answer is not one of this interface";
  }
  return result->value("message", "");
}

Expected<AdminReply>
CallAdmin(const AdminTarget& aTarget,
          const std::string& aMethod,
          const std::string& aPath,
          const nlohmann::json& aBody,
          Resend aResend)
{
  const TimePoint end = SteadyNow() + aTarget.mTimeout;
  std::size_t next = 0;
  bool lost = false;
  std::string last = "no control host was tried";
  SocketAddress address = aTarget.mAddresses.front();
  // Set after an answer that named the leader, so that two members that name each other while an
  // election runs are not asked without a pause.
  bool followed = false;
  for (;;) {
    const Duration left = end - SteadyNow();
    if (left <= Duration::zero()) {
      return Fail(lost ? Result::ControlOutcomeUnknown : Result::NoLeader, last);
    }
    ClientRequest request;
    request.mMethod = aMethod;
    request.mPath = aPath;
    request.mBody = aMethod == "GET" ? "" : aBody.dump();
    request.mTimeout = std::min(left, kAttemptTimeout);
    if (!aTarget.mKey.empty()) {
      request.mHeaders.push_back({ "Authorization", "Bearer " + aTarget.mKey });
    }
    const ClientReply reply = CallOnce(address, std::move(request));
    if (reply.mEnd == TransferEnd::Complete) {
      AdminReply answer{ reply.mStatus,
                         nlohmann::json::parse(reply.mBody, nullptr, false),
                         address };
      const Result code = answer.mBody.is_object() ? answer.Code() : Result::Internal;
      if (code != Result::NotLeader && code != Result::NoLeader &&
          code != Result::ControlOutcomeUnknown) {
        return answer;
      }
      last = fmt::format("{} answers: {}", FormatSocketAddress(address), answer.Message());
      lost = lost || code == Result::ControlOutcomeUnknown;
      if (lost && aResend == Resend::Never) {
        return Fail(Result::ControlOutcomeUnknown, last);
      }
      const auto leader = ParseSocketAddress(answer.mBody.value("leader", ""));
      if (code == Result::NotLeader && leader && !followed) {
        address = *leader;
        followed = true;
        continue;
      }
    } else {
      last = fmt::format("no answer from {}: {}", FormatSocketAddress(address), reply.mMessage);
      const bool unsent =
        reply.mEnd == TransferEnd::NotConnected || reply.mEnd == TransferEnd::NotSent;
      lost = lost || !unsent;
      if (lost && aResend == Resend::Never) {
        return Fail(Result::ControlOutcomeUnknown, last);
      }
    }
    followed = false;
    next = (next + 1) % aTarget.mAddresses.size();
    address = aTarget.mAddresses[next];
    if (next == 0) {
      std::this_thread::sleep_for(kRetryPause);
    }
  }
}

Expected<AdminReply>
GetPage(const SocketAddress& aAddress, const std::string& aPath, Duration aTimeout)
{
  ClientRequest request;
  request.mMethod = "GET";
  request.mPath = aPath;
  request.mTimeout = aTimeout;
  const ClientReply reply = CallOnce(aAddress, std::move(request));
  AdminReply answer{ reply.mStatus, nlohmann::json::parse(reply.mBody, nullptr, false), aAddress };
  if (reply.mEnd != TransferEnd::Complete || !answer.mBody.is_object()) {
    return Fail(
      Result::Internal,
      fmt::format("no answer from {}: {}", FormatSocketAddress(aAddress), reply.mMessage));
  }
  return answer;
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
