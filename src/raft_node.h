// A member of the control group: the replicated log on an event loop, with its peers over gRPC.
#ifndef APRICOTYARD_RAFT_NODE_H
#define APRICOTYARD_RAFT_NODE_H

#include "loop.h"
#include "raft_member.h"

namespace grpc {
class ServerCredentials;
class ChannelCredentials;
} // namespace grpc

namespace apricotyard {

// Owns the data folder, the peer server and one sending thread per peer. The methods of
// ReplicatedLog, the construction and the destruction belong to the thread of the loop.
//
// A member is known by its identity NAME.NONCE; the nonce belongs to the disk. The first member
// list is written once every initial member has answered with an empty folder; the initial member
// with the lowest name writes it. A member with an empty folder whose group exists already waits to
// be added as a learner.
//
// AddLearner, Promote and Remove accept a name without nonce: AddLearner then asks the address for
// the identity, the others look for the only member with this name.
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

    // The name of this member, without nonce. Required.
    Builder& Name(std::string aName);
    // Required.
    Builder& Folder(std::string aFolder);
    // Where the peers reach this member. Required.
    Builder& Address(SocketAddress aAddress);
    // Names and addresses of the first voters, this one included. Ignored once the folder holds a
    // member list. Empty for a member that is to be added as a learner.
    Builder& InitialMembers(std::vector<LogMember> aMembers);
    // Required.
    Builder& Machine(StateMachine aMachine);
    // The file of the state chart; charts/control_member.toml by default.
    Builder& ChartFile(std::string aPath);
    // Without this call the connections are not encrypted.
    Builder& Credentials(std::shared_ptr<grpc::ServerCredentials> aServer,
                         std::shared_ptr<grpc::ChannelCredentials> aClient);
    // Limits and times, for tests and measurements.
    Builder& Settings(MemberSettings aSettings);
    // The file operations, for tests.
    Builder& Files(FileOps aOps);
    // Called once after a failed file operation; the node then refuses everything. By default the
    // loop stops.
    Builder& OnFatal(std::function<void(const Error&)> aHandler);

    // Opens the folder, restores the state machine and starts to listen. Errors: those of
    // Storage::Open, InvalidChart, and Internal if the address is in use.
    Expected<std::unique_ptr<RaftNode>> Start();

  private:
    Loop& mLoop;
    std::string mName;
    std::string mFolder;
    SocketAddress mAddress;
    std::vector<LogMember> mInitial;
    StateMachine mMachine;
    std::string mChartFile = "charts/control_member.toml";
    std::shared_ptr<grpc::ServerCredentials> mServerCredentials;
    std::shared_ptr<grpc::ChannelCredentials> mClientCredentials;
    MemberSettings mSettings;
    FileOps mFiles = SystemFileOps();
    std::function<void(const Error&)> mOnFatal;
  };

  // Reports every waiting proposal and read as unknown.
  ~RaftNode() override;

  void Propose(std::string aCommand, OutcomeHandler aDone) override;
  void ReadBarrier(DoneHandler aDone) override;
  void AddLearner(const LogMember& aMember, DoneHandler aDone) override;
  void Promote(const std::string& aMember, DoneHandler aDone) override;
  void Remove(const std::string& aMember, DoneHandler aDone) override;
  LogStatus Status() const override;
  // Commands that the log of this member holds and that are not known to be committed.
  std::vector<std::string> UncommittedCommands() const;

private:
  struct State;
  explicit RaftNode(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace apricotyard

#endif
