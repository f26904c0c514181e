// A member of a Raft group on an event loop: the replicated log, exchanged with the other members
// over gRPC.
#ifndef APRICOTYARD_RAFT_NODE_H
#define APRICOTYARD_RAFT_NODE_H

#include "loop.h"
#include "raft_member.h"

namespace grpc {
class ServerCredentials;
class ChannelCredentials;
} // namespace grpc

namespace apricotyard {

// Owns the data folder, the gRPC server for the peers and one sending thread per peer.
// Construction, destruction and all methods must run on the loop's thread.
//
// A member's identity is NAME.NONCE, where the nonce belongs to the disk. The initial member with
// the lowest name writes the first member list, once every initial member has answered that it
// holds none. A member with an empty folder whose group already exists waits until it is added as a
// learner.
//
// AddLearner, Promote and Remove also accept a name without the nonce. AddLearner then asks the
// member at the given address for its identity; Promote and Remove look for the only member with
// this name.
class RaftNode final : public ReplicatedLog
{
public:
  class Builder
  {
  public:
    // Precondition: aLoop outlives the node.
    explicit Builder(Loop& aLoop)
      : mLoop(aLoop)
    {
    }

    // The name of this member, without the nonce. Required.
    Builder& Name(std::string aName);
    // Required.
    Builder& Folder(std::string aFolder);
    // The address at which peers reach this member. Required.
    Builder& Address(SocketAddress aAddress);
    // Names and addresses of the first voters, including this member. Ignored once the folder holds
    // a member list. Empty for a member that will be added as a learner.
    Builder& InitialMembers(std::vector<LogMember> aMembers);
    // Required.
    Builder& Machine(StateMachine aMachine);
    // Path of the state chart; charts/control_member.toml by default.
    Builder& ChartFile(std::string aPath);
    // Connections are unencrypted by default.
    Builder& Credentials(std::shared_ptr<grpc::ServerCredentials> aServer,
                         std::shared_ptr<grpc::ChannelCredentials> aClient);
    // Limits and timeouts. The defaults are for production.
    Builder& Settings(MemberSettings aSettings);
    // Replaces the file operations, for fault injection in tests.
    Builder& Files(FileOps aOps);
    // Called once after a file operation failed. The node then refuses all requests. By default the
    // loop is stopped.
    Builder& OnFatal(std::function<void(const Error&)> aHandler);

    // Opens the folder, restores the state machine and starts listening. Errors: those of
    // Storage::Open, LoadChart, CheckRaftChart and RaftMember::Open, and Internal if the address is
    // in use.
    Expected<std::unique_ptr<RaftNode>> Start();

  private:
    Loop& mLoop;
    std::string mName;
    std::string mFolder;
    SocketAddress mAddress;
    std::vector<LogMember> mInitialMembers;
    StateMachine mMachine;
    std::string mChartFile = "charts/control_member.toml";
    std::shared_ptr<grpc::ServerCredentials> mServerCredentials;
    std::shared_ptr<grpc::ChannelCredentials> mClientCredentials;
    MemberSettings mSettings;
    FileOps mFiles = SystemFileOps();
    std::function<void(const Error&)> mOnFatal;
  };

  // Reports all pending proposals and reads as failed, the proposals with an unknown outcome.
  ~RaftNode() override;

  void Propose(std::string aCommand, OutcomeHandler aDone) override;
  void ReadBarrier(DoneHandler aDone) override;
  void AddLearner(const LogMember& aMember, DoneHandler aDone) override;
  void Promote(const std::string& aMember, DoneHandler aDone) override;
  void Remove(const std::string& aMember, DoneHandler aDone) override;
  LogStatus Status() const override;
  // Commands in this member's log that are not known to be committed.
  std::vector<std::string> UncommittedCommands() const;

private:
  struct State;
  explicit RaftNode(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
