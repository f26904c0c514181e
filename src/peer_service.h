// gRPC adapter between entry hosts: the Peer service and its client.
#ifndef APRICOTYARD_PEER_SERVICE_H
#define APRICOTYARD_PEER_SERVICE_H

#include "loop.h"
#include "peer.pb.h"
#include "rpc_credentials.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <grpcpp/impl/service_type.h>

namespace apricotyard {

struct PeerInfo
{
  std::string mHost;
  std::string mDataCentre;
  // Where the Peer service listens.
  SocketAddress mPeerAddress;
  // Where callers connect.
  SocketAddress mCallerAddress;

  bool operator==(const PeerInfo&) const = default;
};

// Handlers of incoming calls; all run on the loop's thread. An error refuses the call.
struct PeerHandlers
{
  std::function<Expected<void>(const rpc::GossipMessage&)> mGossip;
  std::function<Expected<void>(const rpc::PullRequest&, rpc::PullReply&)> mPull;
  std::function<Expected<void>(const rpc::PingMessage&, rpc::PingMessage&)> mPing;
  // Calls its second argument once, now or later, with the incarnation or 0.
  std::function<Expected<void>(const rpc::IndirectPing&, std::function<void(std::uint64_t)>)>
    mPingThrough;
  std::function<Expected<void>(const rpc::WitnessRequest&, rpc::WitnessReply&)> mWitness;
  std::function<Expected<void>(const rpc::SuspectRequest&)> mSuspect;
};

template<typename Reply>
using PeerCallback = std::function<void(Expected<Reply>)>;

struct PeerTraffic
{
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mMessagesReceived = 0;
  std::uint64_t mBytesReceived = 0;
};

// All methods only on the loop's thread. Calls and answers pass through the loop's mailbox; when it
// or the table of open calls is full, the sender gets an error.
class PeerService
{
public:
  PeerService(Loop& aLoop, const RpcSecurity& aSecurity, PeerHandlers aHandlers);
  // Refuses open calls, cancels own calls and waits for gRPC's threads. The loop must not run any
  // more, and it must be destroyed later.
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  // Listens for peers. Fails with Internal if the address cannot be bound.
  // aServices are served on the same address and must outlive this object.
  Expected<void> Start(const SocketAddress& aAddress, const std::vector<grpc::Service*>& aServices);
  void SetPeers(const std::vector<PeerInfo>& aPeers);

  // Every callback is called once on the loop's thread unless the service is destroyed first.
  // Unknown peers get an error.
  void Gossip(const std::string& aPeer, rpc::GossipMessage aMessage);
  void Pull(const std::string& aPeer,
            rpc::PullRequest aRequest,
            PeerCallback<rpc::PullReply> aCallback);
  void Ping(const std::string& aPeer,
            rpc::PingMessage aMessage,
            PeerCallback<rpc::PingMessage> aCallback);
  void PingThrough(const std::string& aPeer,
                   rpc::IndirectPing aRequest,
                   PeerCallback<rpc::IndirectPingReply> aCallback);
  void Witness(const std::string& aPeer,
               rpc::WitnessRequest aRequest,
               PeerCallback<rpc::WitnessReply> aCallback);
  void Suspect(const std::string& aPeer, rpc::SuspectRequest aRequest);

  // Encoded messages without the framing of HTTP/2 and TCP.
  PeerTraffic Traffic() const;

  struct State;

private:
  std::unique_ptr<State> mState;
};

} // namespace apricotyard

#endif
