// Discovery on one entry host: keeps the table of upstreams and the states of the other entry
// hosts. Connects the modules that do no I/O (directory, gossip, failure detector, shares and
// address answer) to the event loop and to the Peer service.
#ifndef APRICOTYARD_DISCOVERY_NODE_H
#define APRICOTYARD_DISCOVERY_NODE_H

#include "address_answer.h"
#include "chart.h"
#include "directory.h"
#include "metrics.h"
#include "peer_service.h"
#include "shares.h"

#include <functional>
#include <memory>
#include <optional>

namespace apricotyard {

// Identity and addresses of this host.
struct DiscoveryIdentity
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  SocketAddress mCallerAddress;
  // Where the Peer service listens. With port 0 the host runs without peers.
  SocketAddress mPeerAddress;
  // Folder that contains peer.toml and entry_host.toml.
  std::string mChartFolder = "charts";
  RpcSecurity mSecurity;
};

// The values are the state numbers of charts/entry_host.toml.
enum class EntryHostState : ChartState
{
  Joining,
  Serving,
  Suspended,
  Leaving,
  Stopped,
};

std::string_view
EntryHostStateName(EntryHostState aState);

// Callbacks that the owner sets before Start. All of them run on the loop's thread; unset ones are
// skipped.
struct DiscoveryHooks
{
  // Further services to register on the server for peers. They must outlive the node.
  std::vector<grpc::Service*> mServices;
  // Called with all listed upstreams when they have changed.
  std::function<void(const std::vector<UpstreamInfo>&)> mSetUpstreams;
  // Called with the slots and connections that this host may use, by upstream, when they have
  // changed.
  std::function<void(const std::map<std::string, ReplicaShare>&)> mSetShares;
  // Called when another host asks for a witness lease. If unset, the lease is not granted.
  std::function<void(const rpc::WitnessRequest&, rpc::WitnessReply&)> mWitness;
  // Called when another host reports a quarantine strike.
  std::function<void(const rpc::SuspectRequest&)> mSuspect;
  // Returns the number of queries that run on this host. All hosts use it to choose the hosts in
  // their address answers.
  std::function<std::uint64_t()> mLoad;
};

// Call all methods on the loop's thread only.
class DiscoveryNode
{
public:
  DiscoveryNode(Loop& aLoop,
                DiscoveryIdentity aIdentity,
                DiscoveryHooks aHooks,
                MetricsRegistry& aMetrics);
  // Precondition: the loop has stopped.
  ~DiscoveryNode();
  DiscoveryNode(const DiscoveryNode&) = delete;
  DiscoveryNode& operator=(const DiscoveryNode&) = delete;

  // Loads the state charts and starts to listen for peers. Fails with InvalidChart, or with
  // Internal if the address cannot be bound.
  Expected<void> Start();

  // Replaces the set of other entry hosts. An entry of this host is ignored.
  void SetPeers(const std::vector<PeerInfo>& aPeers);
  // Sets the roster by which slots are divided. aPending is the previous epoch, as long as some of
  // its hosts have neither confirmed aRoster nor lost their lease. Until the first call, the roster
  // consists of this host and the peers of SetPeers.
  void SetRoster(const RosterEpoch& aRoster, std::optional<RosterEpoch> aPending);
  void SetConfig(std::shared_ptr<const Config> aConfig);
  // Sets whether this host may serve its configuration revision.
  void SetMayServe(bool aMayServe);
  // Moves this host to the state Leaving, which removes it from the address answers of all hosts.
  // The caller must stop passing announcements to Announce.
  void BeginLeaving();
  EntryHostState State() const;

  // Applies an announcement that an upstream sent to this host.
  AnnounceOutcome Announce(const UpstreamInfo& aInfo);
  // Returns the JSON body of an address answer. An empty collection stands for any. Fails with
  // UnknownCollection or NoServingHost.
  Expected<std::string> AddressAnswer(const std::string& aCollection,
                                      const std::string& aDataCentre);
  // Returns the home host to which a query of the collection should be forwarded, or nothing if it
  // runs on this host.
  std::optional<AddressHost> ForwardTarget(const std::string& aCollection);
  // Sends a quarantine strike to all peers that are not dead.
  void SendSuspect(const rpc::SuspectRequest& aRequest);
  // Asks one peer for a witness lease. Without a Peer service aCallback is not called.
  void AskWitness(const std::string& aPeer,
                  rpc::WitnessRequest aRequest,
                  PeerCallback<rpc::WitnessReply> aCallback);
  // Returns the part of GET /v1/status that covers upstreams, peers and shares, as a JSON object.
  std::string StatusJson() const;

  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

// Conversion of a record to its message. aIdle is the time since the record was last confirmed.
void
ToMessage(const DirectoryRecord& aRecord, Duration aIdle, rpc::Record& aMessage);
// Adds the time for which the upstream still warms up at aNow, when the message is sent.
void
SetWarmup(const UpstreamInfo& aInfo, TimePoint aNow, rpc::Record& aMessage);
// Until when the upstream of a message that arrived at aNow warms up.
TimePoint
WarmupUntil(const rpc::Record& aMessage, TimePoint aNow);
// Conversion back, without the warm-up. Fails with BadRequest if the identifier is empty, the slots
// are 0, or the address, the key range or the state is invalid.
Expected<DirectoryRecord>
FromMessage(const rpc::Record& aMessage);

} // namespace apricotyard

#endif
