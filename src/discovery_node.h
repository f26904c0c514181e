// What one entry host knows of upstreams and of the other entry hosts: connects the pure modules
// directory, gossip, failure detector, shares and address answer to the loop and to the Peer
// service.
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

struct DiscoveryIdentity
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  SocketAddress mCallerAddress;
  // Where the Peer service listens; port 0 runs the host without peers.
  SocketAddress mPeerAddress;
  // Folder of peer.toml and entry_host.toml.
  std::string mChartFolder = "charts";
  RpcSecurity mSecurity;
};

// The numbers follow charts/entry_host.toml.
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

// Functions that the owner sets before Start. All run on the loop's thread; unset ones are skipped.
struct DiscoveryHooks
{
  // Further services for the server that listens for peers; they must outlive the node.
  std::vector<grpc::Service*> mServices;
  // The listed upstreams changed.
  std::function<void(const std::vector<UpstreamInfo>&)> mSetUpstreams;
  // The slots and connections that this host may use, by upstream.
  std::function<void(const std::map<std::string, ReplicaShare>&)> mSetShares;
  // Another host asks for a witness lease; unset, it is not granted.
  std::function<void(const rpc::WitnessRequest&, rpc::WitnessReply&)> mWitness;
  // Another host shares a quarantine strike.
  std::function<void(const rpc::SuspectRequest&)> mSuspect;
  // Queries that are running here, for the address answers of all hosts.
  std::function<std::uint64_t()> mLoad;
};

// All methods only on the loop's thread.
class DiscoveryNode
{
public:
  DiscoveryNode(Loop& aLoop,
                DiscoveryIdentity aIdentity,
                DiscoveryHooks aHooks,
                MetricsRegistry& aMetrics);
  // The loop must not run any more.
  ~DiscoveryNode();
  DiscoveryNode(const DiscoveryNode&) = delete;
  DiscoveryNode& operator=(const DiscoveryNode&) = delete;

  // Loads the charts and listens for peers. Fails with InvalidChart or Internal.
  Expected<void> Start();

  // The other hosts and their addresses. An entry of this host is ignored.
  void SetPeers(const std::vector<PeerInfo>& aPeers);
  // The roster by which slots are divided. aPending is the epoch before, until all its hosts have
  // confirmed aRoster or lost their lease. Without a call the peers of SetPeers and this host form
  // the roster.
  void SetRoster(const RosterEpoch& aRoster, std::optional<RosterEpoch> aPending);
  void SetConfig(std::shared_ptr<const Config> aConfig);
  // Whether this host may serve its revision.
  void SetMayServe(bool aMayServe);
  // The host leaves the address answers and takes no further announcements.
  void BeginLeaving();
  EntryHostState State() const;

  AnnounceOutcome Announce(const UpstreamInfo& aInfo);
  // Body of an address answer, or UnknownCollection or NoServingHost. An empty collection stands
  // for any.
  Expected<std::string> AddressAnswer(const std::string& aCollection,
                                      const std::string& aDataCentre);
  // The home host that should take a query of the collection, or nothing if it runs here.
  std::optional<AddressHost> ForwardTarget(const std::string& aCollection);
  // Shares a quarantine strike with all peers.
  void SendSuspect(const rpc::SuspectRequest& aRequest);
  // Asks one peer for a witness lease.
  void AskWitness(const std::string& aPeer,
                  rpc::WitnessRequest aRequest,
                  PeerCallback<rpc::WitnessReply> aCallback);
  // The part of GET /v1/status about upstreams, peers and shares, as a JSON object.
  std::string StatusJson() const;

  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

// Conversions between records and their messages, also used by the tests that measure sizes.
void
ToMessage(const DirectoryRecord& aRecord, Duration aIdle, rpc::Record& aMessage);
// Fails with BadRequest on an impossible state, range or address.
Expected<DirectoryRecord>
FromMessage(const rpc::Record& aMessage);

} // namespace apricotyard

#endif
