// Client of the Fleet service: synchronizes a host periodically with every coordinator. Uses one
// thread for each coordinator.
#ifndef APRICOTYARD_FLEET_CLIENT_H
#define APRICOTYARD_FLEET_CLIENT_H

#include "document_choice.h"
#include "fleet.pb.h"
#include "fleet_registry.h"
#include "link_pacing.h"
#include "loop.h"
#include "quarantine.h"
#include "routing.h"
#include "rpc_credentials.h"

#include <functional>
#include <memory>

namespace apricotyard {

struct FleetClientSettings
{
  // Port on which all coordinators serve Fleet.
  std::uint16_t mRpcPort = 0;
  RpcSecurity mSecurity;
  // Pause between two calls to the primary coordinator, and the shortest pause for the others.
  Duration mPause = kFleetSyncPause;
  // Whether to fetch the document with the replies. Coordinators do not need it; they have it from
  // their control group.
  bool mFetchDocuments = false;
  // The data centre whose coordinators are preferred as the primary. The pause between two
  // calls is mPause for the primary and the secondary pause for the others; see link_pacing.h.
  std::string mDataCentre;
};

// Call all methods on the loop's thread only.
class FleetClient
{
public:
  // Receives the IP address of a coordinator, its reply, and when the request was sent. Ages in the
  // reply count from then, because the machine may have been suspended before the reply was read.
  using ReplyHandler =
    std::function<void(const std::string&, const rpc::FleetSyncReply&, TimePoint)>;

  // aOnReply is called on the loop's thread for each reply.
  FleetClient(Loop& aLoop, FleetClientSettings aSettings, ReplyHandler aOnReply);
  // Cancels the open calls and waits until their threads have ended. Precondition: the loop has
  // stopped.
  ~FleetClient();
  FleetClient(const FleetClient&) = delete;
  FleetClient& operator=(const FleetClient&) = delete;

  // Starts to synchronize with a coordinator. aDataCentre is empty if it is not known. Does nothing
  // if the coordinator was added before.
  void AddCoordinator(const std::string& aIp, const std::string& aDataCentre = "");
  // Ends the pause after failed calls to a coordinator, which is known to be back.
  void RetryNow(const std::string& aIp);
  // Sets the description of this host for the next calls, and calls all coordinators immediately.
  void SetLocalHost(const FleetHost& aSelf);
  // Sets the load that the next calls report, without calling at once.
  void SetLoad(double aLoad);
  // Sets the document that this host holds.
  void SetDocument(const DocumentIdentity& aDocument);
  // Sets whether the next calls ask for the age of the coordinator's last read; see
  // document_lease.h.
  void SetReadAgeWanted(bool aWanted);
  // Sets the crashes of upstreams that the next calls report, and those that coordinators get once
  // after they were started.
  void SetCrashes(const std::vector<Strike>& aRecent, const std::vector<Strike>& aKnown);
  // Sets what the next calls report as the term of the oldest share of a quota, 0 for none.
  void SetQuotaShareTerm(std::uint64_t aTerm);
  // Sets the pauses between two calls to the primary, FleetClientSettings::mPause by default, and
  // to another coordinator, which is never shorter.
  void SetPauses(const LinkPauses& aPauses);
  // Sets the number of hosts that share the coordinators. By default 1 for coordinators and
  // kUnknownHosts for gateways.
  void SetHostCount(std::size_t aCount);
  // Immediately asks all coordinators to add this host to the control group. aIdentity is the
  // host's member identity, which includes the nonce of its disk.
  void RequestJoin(const std::string& aName, const SocketAddress& aAddress, std::string aIdentity);
  // Messages to and from coordinators of this data centre or of others, without framing.
  struct Traffic
  {
    std::uint64_t mCalls = 0;
    std::uint64_t mBytes = 0;
  };
  Traffic TrafficOf(bool aNear) const;
  // Returns the IP addresses of the coordinators that were added.
  std::vector<std::string> Coordinators() const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
