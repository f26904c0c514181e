// Keeps a host in contact with every coordinator: one thread for each, which synchronizes
// periodically.
#ifndef APRICOTYARD_FLEET_CLIENT_H
#define APRICOTYARD_FLEET_CLIENT_H

#include "fleet.pb.h"
#include "fleet_registry.h"
#include "loop.h"
#include "routing.h"
#include "rpc_credentials.h"

#include <functional>
#include <memory>

namespace apricotyard {

// Pause between two calls to one coordinator. A change reaches every host within one pause and one
// round trip; the shortest bound on such a change is 3 s.
inline constexpr Duration kFleetPause = std::chrono::milliseconds(250);

struct FleetClientSettings
{
  // Port on which every coordinator serves Fleet.
  std::uint16_t mRpcPort = 0;
  RpcSecurity mSecurity;
  Duration mPause = kFleetPause;
  // Whether the replies are to bring the document; coordinators have it from their group.
  bool mFetchDocuments = false;
  // If set, one coordinator, of this data centre if possible, is called at every pause and the
  // others at the secondary pause.
  std::string mDataCentre;
};

// All methods only on the loop's thread.
class FleetClient
{
public:
  // The IP address of the coordinator that answered, and its answer.
  using ReplyHandler = std::function<void(const std::string&, const rpc::FleetSyncReply&)>;

  // aOnReply runs on the loop's thread.
  FleetClient(Loop& aLoop, FleetClientSettings aSettings, ReplyHandler aOnReply);
  // Waits until the calls under way have ended. The loop must not run any more.
  ~FleetClient();
  FleetClient(const FleetClient&) = delete;
  FleetClient& operator=(const FleetClient&) = delete;

  // Begins to synchronize with a coordinator, unless it is known.
  void AddCoordinator(const std::string& aIp);
  // What the next calls say of this host. Calls go out at once, without waiting for the pause.
  void SetSelf(const FleetHost& aSelf);
  void SetDocumentVersion(DocumentVersion aVersion);
  // Without a call the secondary pause is the pause.
  void SetSecondaryPause(Duration aPause);
  // Asks all coordinators at once to add this host to the control group.
  void AskToJoin(const std::string& aName, const SocketAddress& aAddress, std::string aIdentity);
  // The coordinators that were added.
  std::vector<std::string> Coordinators() const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
