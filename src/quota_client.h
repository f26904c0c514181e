// Calls AcquireQuota on coordinators, with the callback API of gRPC and without threads of its own.
#ifndef APRICOTYARD_QUOTA_CLIENT_H
#define APRICOTYARD_QUOTA_CLIENT_H

#include "fleet.pb.h"
#include "loop.h"
#include "rpc_credentials.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace apricotyard {

// Open channels to coordinators. Call all methods on the loop's thread.
class QuotaChannels
{
public:
  // Runs at most once for each call, on the loop's thread, without a value if the call failed. It
  // does not run if the loop's queue is full, so callers need a timer.
  using ReplyHandler = std::function<void(std::optional<rpc::QuotaReply>)>;

  // Precondition: aLoop outlives this object. aRpcPort is the port of Fleet on all coordinators.
  QuotaChannels(Loop& aLoop, std::uint16_t aRpcPort, RpcSecurity aSecurity);
  // Cancels the open calls, whose handlers do not run, and waits until gRPC has ended them.
  ~QuotaChannels();
  QuotaChannels(const QuotaChannels&) = delete;
  QuotaChannels& operator=(const QuotaChannels&) = delete;

  void Call(const std::string& aIp,
            rpc::QuotaRequest aRequest,
            Duration aTimeout,
            ReplyHandler aHandler);

  struct State;

private:
  std::shared_ptr<State> mState;
};

// Chooses the coordinator that a gateway calls: the leader, or while it cannot be reached another
// one, which forwards the call. Call all methods on the loop's thread.
class QuotaClient
{
public:
  // Precondition: aLoop outlives this object.
  QuotaClient(Loop& aLoop,
              std::uint16_t aRpcPort,
              const RpcSecurity& aSecurity,
              std::string aDataCentre);

  void AddCoordinator(const std::string& aIp, const std::string& aDataCentre);
  // Sets the leader that a coordinator named. Does nothing if aIp is empty.
  void SetLeader(const std::string& aIp);
  void Call(rpc::QuotaRequest aRequest, Duration aTimeout, QuotaChannels::ReplyHandler aHandler);

private:
  std::string ChooseCoordinator(TimePoint aNow);

  QuotaChannels mChannels;
  const std::string mDataCentre;
  // By IP address: the data centre, or empty.
  std::map<std::string, std::string> mCoordinators;
  std::string mLeader;
  // The coordinator that is called instead of the leader, and until when.
  std::string mDetour;
  TimePoint mDetourUntil;
};

} // namespace apricotyard

#endif
