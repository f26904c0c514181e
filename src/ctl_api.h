// Client of the administration API for apricotctl. It tries several control hosts, follows
// redirections to the leader and retries calls that are safe to retry.
#ifndef APRICOTYARD_CTL_API_H
#define APRICOTYARD_CTL_API_H

#include "types.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace apricotyard {

// Exit codes of apricotctl, as listed in docs/administration.md. cmdline.h defines 0 to 2, which
// all programs share.
inline constexpr int kExitNoAnswer = 3;
inline constexpr int kExitConflict = 4;
inline constexpr int kExitNotAllowed = 5;
inline constexpr int kExitOutcomeUnknown = 6;

// Where and how to call the administration API.
struct AdminTarget
{
  // Administration addresses of the control hosts, tried in turn. Must not be empty for a call.
  std::vector<SocketAddress> mAddresses;
  // The team key, sent as "Authorization: Bearer". If empty, the header is omitted.
  std::string mKey;
  // Time limit for a call including all retries.
  Duration mTimeout = std::chrono::seconds(10);
};

// Whether a call may be sent again when it may already have taken effect. A call that was not sent
// or was refused by a member that does not lead is retried in both cases.
enum class RetryPolicy : std::uint8_t
{
  // For reads, and for changes that can be repeated safely: the control hosts recognize them by
  // their submission id, or a second one has no effect.
  AfterLostReply,
  // For all other changes: the call fails with ControlOutcomeUnknown after a lost reply.
  NeverAfterLostReply,
};

struct AdminReply
{
  // The HTTP status.
  int mStatus = 0;
  nlohmann::json mBody;
  // The host that replied.
  SocketAddress mFrom;

  // The result code of the body, or Internal if the body has no known code.
  Result Code() const;
  // The result message of the body, or a substitute if the body has no result.
  std::string Message() const;
};

// Makes a call and retries it until the time limit of aTarget; blocks the calling thread. aBody is
// not sent with GET. The first reply other than NotLeader, NoLeader and ControlOutcomeUnknown is
// returned, whether it reports success or an error. Fails with NoLeader if no host accepted the
// call in time and nothing was changed, or with ControlOutcomeUnknown if the call may have taken
// effect but its reply was lost.
Expected<AdminReply>
CallAdmin(const AdminTarget& aTarget,
          const std::string& aMethod,
          const std::string& aPath,
          const nlohmann::json& aBody,
          RetryPolicy aRetryPolicy);

// Sends one GET request to any process that replies with a JSON object, without retries. Blocks the
// calling thread. Fails with Internal if there is no reply or its body is not a JSON object.
Expected<AdminReply>
GetJson(const SocketAddress& aAddress, const std::string& aPath, Duration aTimeout);

// Maps the result code of a reply to an exit code. Internal means that the outcome is unknown.
int
ExitCode(const AdminReply& aReply);

} // namespace apricotyard

#endif
