#include "upstream_reply.h"

#include "codec.h"

namespace apricotyard {

namespace {

FailureKind
ClassifyReply(const ClientReply& aReply)
{
  switch (aReply.mEnd) {
    case TransferEnd::NotConnected:
      return FailureKind::NotConnected;
    case TransferEnd::NotSent:
      return FailureKind::NotSent;
    case TransferEnd::Lost:
      return FailureKind::Lost;
    case TransferEnd::TimedOut:
      return FailureKind::TimedOut;
    case TransferEnd::TooLarge:
    case TransferEnd::Mismatched:
      return FailureKind::BadReply;
    case TransferEnd::Complete:
      break;
  }
  if (aReply.Header(kHeaderNotRun) != "true") {
    return FailureKind::ErrorStatus;
  }
  return aReply.mStatus == 409                   ? FailureKind::VersionGone
         : aReply.Header("x-draining") == "true" ? FailureKind::Draining
                                                 : FailureKind::Shed;
}

} // namespace

std::variant<SubrequestReply, SubrequestFailure>
ReadUpstreamReply(AttemptId aAttempt, const ClientReply& aReply)
{
  if (aReply.mEnd != TransferEnd::Complete || aReply.mStatus != 200) {
    return SubrequestFailure{ aAttempt, ClassifyReply(aReply), aReply.mMessage };
  }
  auto reply = DecodeSubrequestReply(aReply.mBody);
  if (!reply) {
    return SubrequestFailure{ aAttempt, FailureKind::BadReply, reply.error().mMessage };
  }
  if (reply->mAttempt != aAttempt) {
    return SubrequestFailure{ aAttempt, FailureKind::BadReply, "crossed" };
  }
  return *std::move(reply);
}

} // namespace apricotyard
