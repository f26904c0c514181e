// Keeps an entry host in contact with the control hosts, on a thread of its own.
#ifndef APRICOTYARD_CONTROL_CLIENT_H
#define APRICOTYARD_CONTROL_CLIENT_H

#include "loop.h"

#include <functional>
#include <memory>

namespace apricotyard {

struct HostIdentity
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  SocketAddress mAddress;
};

struct ConfigUpdate
{
  Revision mRevision = 0;
  std::string mDocument;
};

class ControlClient
{
public:
  // aOnConfig runs on the thread of aLoop for each configuration that is newer than the last one.
  ControlClient(Loop& aLoop,
                HostIdentity aIdentity,
                const std::vector<SocketAddress>& aControl,
                std::function<void(ConfigUpdate)> aOnConfig);
  // Ends the thread; waits for a call that is under way, which its deadline bounds.
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace apricotyard

#endif
