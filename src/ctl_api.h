// Calls of apricotctl to the administration API: tries several control hosts, follows the leader
// and repeats what is safe to repeat.
#ifndef APRICOTYARD_CTL_API_H
#define APRICOTYARD_CTL_API_H

#include "types.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace apricotyard {

// Exit codes of apricotctl; docs/administration.md lists them. 0 to 2 are those of every program.
inline constexpr int kExitNoAnswer = 3;
inline constexpr int kExitConflict = 4;
inline constexpr int kExitNotAllowed = 5;
inline constexpr int kExitOutcomeUnknown = 6;

struct AdminTarget
{
  std::vector<SocketAddress> mAddresses;
  // Sent as Authorization: Bearer; empty sends none.
  std::string mKey;
  // The whole time for a call with its repetitions.
  Duration mTimeout = std::chrono::seconds(10);
};

// Whether a call may be sent again after its answer was lost.
enum class Resend : std::uint8_t
{
  Safe,  // reads, and changes that control recognizes by their submission id or their effect
  Never, // the outcome is then unknown
};

struct AdminReply
{
  int mStatus = 0;
  nlohmann::json mBody;
  // The control host that answered.
  SocketAddress mFrom;

  // The result code of the body; Internal if it carries none.
  Result Code() const;
  std::string Message() const;
};

// Fails with NoLeader if no host accepted the call in time (nothing was changed), or with
// ControlOutcomeUnknown if an answer was lost.
Expected<AdminReply>
CallAdmin(const AdminTarget& aTarget,
          const std::string& aMethod,
          const std::string& aPath,
          const nlohmann::json& aBody,
          Resend aResend);

// One GET of any process's page, without repetition.
Expected<AdminReply>
GetPage(const SocketAddress& aAddress, const std::string& aPath, Duration aTimeout);

int
ExitCode(const AdminReply& aReply);

} // namespace apricotyard

#endif
