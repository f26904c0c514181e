// The Peer service, by which entry hosts call each other, and its client.
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

// Another entry host and its addresses.
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

// Handlers of incoming calls. All of them run on the loop's thread. A handler that returns an error
// refuses the call.
struct PeerHandlers
{
  std::function<Expected<void>(const rpc::GossipMessage&)> mGossip;
  std::function<Expected<void>(const rpc::PullRequest&, rpc::PullReply&)> mPull;
  std::function<Expected<void>(const rpc::PingMessage&, rpc::PingMessage&)> mPing;
  // The handler must call its second argument exactly once, then or later, with the incarnation of
  // the subject, or 0 if the subject did not answer.
  std::function<Expected<void>(const rpc::IndirectPing&, std::function<void(std::uint64_t)>)>
    mPingThrough;
  std::function<Expected<void>(const rpc::WitnessRequest&, rpc::WitnessReply&)> mWitness;
  std::function<Expected<void>(const rpc::SuspectRequest&)> mSuspect;
};

template<typename Reply>
using PeerCallback = std::function<void(Expected<Reply>)>;

// Messages sent and received since the start, and their encoded size.
struct PeerTraffic
{
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mMessagesReceived = 0;
  std::uint64_t mBytesReceived = 0;
};

// Call all methods on the loop's thread only. Incoming calls and the answers to outgoing calls pass
// through the loop's mailbox. An incoming call is refused if the mailbox or the table of open calls
// is full.
class PeerService
{
public:
  PeerService(Loop& aLoop, const RpcSecurity& aSecurity, PeerHandlers aHandlers);
  // Refuses the open incoming calls, cancels the outgoing ones and waits for gRPC's threads.
  // Precondition: the loop has stopped. The loop must be destroyed after this object.
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  // Starts to listen for peers. Also serves aServices on the same address; they must outlive this
  // object. Fails with Internal if the address cannot be bound.
  Expected<void> Start(const SocketAddress& aAddress, const std::vector<grpc::Service*>& aServices);
  // Replaces the set of peers. Connections to unchanged addresses are kept.
  void SetPeers(const std::vector<PeerInfo>& aPeers);

  // The calls to a peer. Each callback is called once on the loop's thread, with an error if the
  // peer is unknown, too many calls are open or the call fails. It is not called if the service is
  // destroyed first or if the loop's mailbox is full when the answer arrives.
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

  // Returns the traffic in both directions. Sizes exclude the framing of HTTP/2 and TCP.
  PeerTraffic Traffic() const;

  struct State;

private:
  std::unique_ptr<State> mState;
};

} // namespace apricotyard

#endif
