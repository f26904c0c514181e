#include "raft_node.h"

#include "log.h"
#include "raft.grpc.pb.h"
#include "rpc_runtime.h"
#include "settings.h"

#include <algorithm>
#include <random>
#include <thread>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(25);
// Interval at which the initial member with the lowest name asks the others for their identities,
// until it can write the first member list.
constexpr Duration kBootstrapInterval = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kIdentifyTimeout{ 1000 };
// Limits of the send queue of one peer. Beyond them the oldest message is dropped; Raft sends it
// again.
constexpr std::size_t kMaxQueuedMessages = 4096;
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 32 } * 1024 * 1024;
// Messages are repeated at least this often after a start (StartPoll in raft.h). With 200 ms, a
// member that started before its peers spent most of the time for the first election on this wait.
constexpr absl::Duration kReconnectDelay = absl::Milliseconds(50);
// A connection attempt to a peer that was heard meanwhile is given up only after this time, which a
// handshake with a busy peer takes.
constexpr absl::Duration kMinAttemptTime = absl::Milliseconds(200);
// A connection that silently stops delivering is closed after the sum of the two times.
constexpr int kKeepaliveMillis = 1000;
constexpr int kKeepaliveTimeoutMillis = 1000;
constexpr int kMaxMessageBytes = 64 * 1024 * 1024;
constexpr int kMaxServerThreads = 32;
// gRPC's delay between attempts to connect to a peer that refuses connections.
constexpr int kMinReconnectBackoffMillis = 50;
constexpr int kMaxReconnectBackoffMillis = 1000;

std::size_t
MemoryBytes(const RaftMessage& aMessage)
{
  std::size_t size = sizeof(RaftMessage) + aMessage.mData.size();
  for (const LogEntry& entry : aMessage.mEntries) {
    size += sizeof(LogEntry) + entry.mData.size();
  }
  return size;
}

rpc::RaftEnvelope
Encode(RaftMessage aMessage, const SocketAddress& aFrom)
{
  rpc::RaftEnvelope envelope;
  envelope.set_type(static_cast<rpc::RaftEnvelope::Type>(aMessage.mType));
  envelope.set_from(std::move(aMessage.mFrom));
  envelope.set_to(std::move(aMessage.mTo));
  envelope.set_term(aMessage.mTerm);
  envelope.set_index(aMessage.mIndex);
  envelope.set_log_term(aMessage.mLogTerm);
  envelope.set_committed(aMessage.mCommitIndex);
  envelope.set_granted(aMessage.mGranted);
  envelope.set_hint(aMessage.mRejectHint);
  envelope.set_sent_at(aMessage.mSentAt.time_since_epoch().count());
  envelope.set_offset(aMessage.mOffset);
  envelope.set_total(aMessage.mTotal);
  envelope.set_data(std::move(aMessage.mData));
  envelope.set_read(aMessage.mReadId);
  envelope.set_process(aMessage.mProcess);
  envelope.set_from_ip(aFrom.mIp);
  envelope.set_from_port(aFrom.mPort);
  for (LogEntry& entry : aMessage.mEntries) {
    rpc::RaftEntry& out = *envelope.add_entries();
    out.set_index(entry.mIndex);
    out.set_term(entry.mTerm);
    out.set_kind(static_cast<std::uint32_t>(entry.mKind));
    out.set_data(std::move(entry.mData));
  }
  for (const LogMember& member : aMessage.mMembers) {
    rpc::RaftMember& out = *envelope.add_members();
    out.set_id(member.mId);
    out.set_ip(member.mAddress.mIp);
    out.set_port(member.mAddress.mPort);
    out.set_voter(member.mRole == MemberRole::Voter);
  }
  return envelope;
}

// Returns nothing if the message is malformed.
std::optional<RaftMessage>
Decode(rpc::RaftEnvelope& aEnvelope)
{
  if (!rpc::RaftEnvelope::Type_IsValid(aEnvelope.type())) {
    return std::nullopt;
  }
  RaftMessage message;
  message.mType = static_cast<MessageType>(aEnvelope.type());
  message.mFrom = aEnvelope.from();
  message.mTo = aEnvelope.to();
  message.mTerm = aEnvelope.term();
  message.mIndex = aEnvelope.index();
  message.mLogTerm = aEnvelope.log_term();
  message.mCommitIndex = aEnvelope.committed();
  message.mGranted = aEnvelope.granted();
  message.mRejectHint = aEnvelope.hint();
  message.mSentAt = TimePoint(Duration(aEnvelope.sent_at()));
  message.mOffset = aEnvelope.offset();
  message.mTotal = aEnvelope.total();
  message.mData = std::move(*aEnvelope.mutable_data());
  message.mReadId = aEnvelope.read();
  message.mProcess = aEnvelope.process();
  for (rpc::RaftEntry& entry : *aEnvelope.mutable_entries()) {
    if (entry.kind() > static_cast<std::uint32_t>(EntryKind::Members)) {
      return std::nullopt;
    }
    message.mEntries.push_back({ entry.index(),
                                 entry.term(),
                                 static_cast<EntryKind>(entry.kind()),
                                 std::move(*entry.mutable_data()) });
  }
  for (const rpc::RaftMember& member : aEnvelope.members()) {
    message.mMembers.push_back({ member.id(),
                                 { member.ip(), static_cast<std::uint16_t>(member.port()) },
                                 member.voter() ? MemberRole::Voter : MemberRole::Learner });
  }
  return message;
}

std::shared_ptr<grpc::Channel>
OpenChannel(const SocketAddress& aAddress,
            const std::shared_ptr<grpc::ChannelCredentials>& aCredentials)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMillis);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMillis);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMillis);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMillis);
  // One connection per link, so that a problem on one link does not affect the others.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(FormatSocketAddress(aAddress), aCredentials, arguments);
}

// Sends messages to one peer, in order, over one stream and on its own thread.
class PeerLink
{
public:
  PeerLink(std::string aPeer,
           const SocketAddress& aPeerAddress,
           SocketAddress aOwnAddress,
           const std::shared_ptr<grpc::ChannelCredentials>& aCredentials)
    : mPeer(std::move(aPeer))
    , mPeerAddress(aPeerAddress)
    , mOwnAddress(std::move(aOwnAddress))
    , mCredentials(aCredentials)
    , mChannel(OpenChannel(aPeerAddress, aCredentials))
    , mStub(rpc::Raft::NewStub(mChannel))
    , mThread([this] { ThreadMain(); })
  {
  }

  ~PeerLink()
  {
    {
      absl::MutexLock lock(&mMutex);
      mStopping = true;
      if (mContext != nullptr) {
        mContext->TryCancel();
      }
    }
    mThread.join();
  }

  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  const SocketAddress& Address() const { return mPeerAddress; }

  // Ends the wait before the next attempt to connect, or an attempt that got no answer, because the
  // peer has just been heard. If the peer's host had no power when the attempt began, the kernel
  // repeats the first packet only after a second. Thread-safe.
  void ReconnectNow()
  {
    absl::MutexLock lock(&mMutex);
    if (mWaiting && !mReconnectNow) {
      mReconnectNow = true;
      grpc::experimental::ChannelResetConnectionBackoff(mChannel.get());
    } else if (mContext != nullptr && mOpenedAt + kMinAttemptTime < absl::Now() &&
               mChannel->GetState(false) == GRPC_CHANNEL_CONNECTING) {
      mReplaceChannel = true;
      mContext->TryCancel();
    }
  }

  // Thread-safe.
  void Send(RaftMessage aMessage)
  {
    absl::MutexLock lock(&mMutex);
    mQueuedBytes += MemoryBytes(aMessage);
    mSendQueue.push_back(std::move(aMessage));
    while (mSendQueue.size() > kMaxQueuedMessages || mQueuedBytes > kMaxQueuedBytes) {
      mQueuedBytes -= MemoryBytes(mSendQueue.front());
      mSendQueue.pop_front();
    }
  }

private:
  // Waits for the next message to send. Returns nothing when the link is stopping.
  std::optional<RaftMessage> WaitForMessage()
  {
    absl::MutexLock lock(&mMutex);
    const auto ready = [this] { return mStopping || !mSendQueue.empty(); };
    mMutex.Await(absl::Condition(&ready));
    if (mStopping) {
      return std::nullopt;
    }
    RaftMessage message = std::move(mSendQueue.front());
    mSendQueue.pop_front();
    mQueuedBytes -= MemoryBytes(message);
    return message;
  }

  // Waits before the next connection attempt and drops the queue, which would be outdated by then;
  // but not what is sent once the peer is heard again. Returns true if the link is stopping.
  bool WaitBeforeReconnect()
  {
    absl::MutexLock lock(&mMutex);
    if (std::exchange(mReplaceChannel, false)) {
      mChannel = OpenChannel(mPeerAddress, mCredentials);
      mStub = rpc::Raft::NewStub(mChannel);
      mOpenedAt = absl::Now();
      return mStopping;
    }
    const auto ready = [this] { return mStopping || mReconnectNow; };
    mWaiting = true;
    mSendQueue.clear();
    mQueuedBytes = 0;
    if (!mMutex.AwaitWithTimeout(absl::Condition(&ready), kReconnectDelay)) {
      mSendQueue.clear();
      mQueuedBytes = 0;
    }
    mWaiting = false;
    mReconnectNow = false;
    return mStopping;
  }

  // Sends queued messages until the stream fails or the link is stopped.
  void RunStream(RaftMessage aFirst)
  {
    grpc::ClientContext context;
    {
      absl::MutexLock lock(&mMutex);
      if (mStopping) {
        return;
      }
      mContext = &context;
    }
    rpc::DeliverReply reply;
    const auto writer = mStub->Deliver(&context, &reply);
    std::optional<RaftMessage> message = std::move(aFirst);
    while (message && writer->Write(Encode(std::move(*message), mOwnAddress))) {
      message = WaitForMessage();
    }
    context.TryCancel();
    const grpc::Status status = writer->Finish();
    absl::MutexLock lock(&mMutex);
    mContext = nullptr;
    if (!mStopping) {
      LogEvent(Event::PeerStreamEnded,
               { { "peer", mPeer },
                 { "address", FormatSocketAddress(mPeerAddress) },
                 { "message", status.error_message() } });
    }
  }

  void ThreadMain()
  {
    while (auto message = WaitForMessage()) {
      RunStream(std::move(*message));
      if (WaitBeforeReconnect()) {
        return;
      }
    }
  }

  const std::string mPeer;
  const SocketAddress mPeerAddress;
  const SocketAddress mOwnAddress;
  const std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  absl::Mutex mMutex;
  // Replaced by the thread of the link only, with the mutex held.
  std::shared_ptr<grpc::Channel> mChannel;
  std::unique_ptr<rpc::Raft::Stub> mStub;
  absl::Time mOpenedAt = absl::Now();
  bool mReplaceChannel = false;
  std::deque<RaftMessage> mSendQueue;
  std::size_t mQueuedBytes = 0;
  bool mStopping = false;
  // The link waits before it connects again, and the wait is to end.
  bool mWaiting = false;
  bool mReconnectNow = false;
  grpc::ClientContext* mContext = nullptr;
  std::thread mThread;
};

// Receives the messages of all peers, on gRPC's threads.
class PeerService final : public rpc::Raft::Service
{
public:
  using Receiver = std::function<void(RaftMessage, SocketAddress)>;

  PeerService(std::string aIdentity, Receiver aReceive)
    : mIdentity(std::move(aIdentity))
    , mReceive(std::move(aReceive))
  {
  }

  grpc::Status Deliver(grpc::ServerContext* /*aContext*/,
                       grpc::ServerReader<rpc::RaftEnvelope>* aReader,
                       rpc::DeliverReply* /*aReply*/) override
  {
    rpc::RaftEnvelope envelope;
    while (aReader->Read(&envelope)) {
      if (envelope.to() != mIdentity) {
        // The sender addresses the identity of a disk that this host had before.
        LogEvent(Event::WrongIdentity, { { "from", envelope.from() }, { "to", envelope.to() } });
        return { grpc::StatusCode::NOT_FOUND, "this host has another identity" };
      }
      SocketAddress from{ envelope.from_ip(), static_cast<std::uint16_t>(envelope.from_port()) };
      auto message = Decode(envelope);
      if (!message) {
        return { grpc::StatusCode::INVALID_ARGUMENT, "malformed message" };
      }
      mReceive(std::move(*message), std::move(from));
    }
    return grpc::Status::OK;
  }

  grpc::Status Identify(grpc::ServerContext* /*aContext*/,
                        const rpc::IdentifyRequest* /*aRequest*/,
                        rpc::IdentifyReply* aReply) override
  {
    aReply->set_identity(mIdentity);
    aReply->set_formed(mBootstrapped.load());
    return grpc::Status::OK;
  }

  void SetBootstrapped(bool aBootstrapped) { mBootstrapped.store(aBootstrapped); }

private:
  const std::string mIdentity;
  const Receiver mReceive;
  std::atomic<bool> mBootstrapped{ false };
};

// One Identify call on its own thread. It does not use gRPC's callback interface because version
// 1.51 aborts the process when the last channel that used that interface is destroyed inside a
// callback.
class IdentifyCall
{
public:
  using Handler = std::function<void(Expected<rpc::IdentifyReply>)>;

  // aDone runs on the new thread.
  IdentifyCall(std::shared_ptr<grpc::Channel> aChannel, Handler aDone)
    : mStub(rpc::Raft::NewStub(std::move(aChannel)))
    , mThread([this, done = std::move(aDone)] { ThreadMain(done); })
  {
  }

  ~IdentifyCall()
  {
    mContext.TryCancel();
    mThread.join();
  }

  IdentifyCall(const IdentifyCall&) = delete;
  IdentifyCall& operator=(const IdentifyCall&) = delete;

private:
  void ThreadMain(const Handler& aDone)
  {
    rpc::IdentifyReply reply;
    mContext.set_deadline(std::chrono::system_clock::now() + kIdentifyTimeout);
    const grpc::Status status = mStub->Identify(&mContext, {}, &reply);
    if (status.ok()) {
      aDone(std::move(reply));
    } else {
      aDone(Fail(Result::ReadUnavailable, status.error_message()));
    }
  }

  const std::unique_ptr<rpc::Raft::Stub> mStub;
  grpc::ClientContext mContext;
  std::thread mThread;
};

} // namespace

// Shared with tasks in the loop's mailbox, which may outlive the node.
struct RaftNode::State : std::enable_shared_from_this<RaftNode::State>
{
  explicit State(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void SchedulePump();
  void Pump();
  void Tick();
  void TryBootstrap();
  void Identify(const SocketAddress& aAddress, IdentifyCall::Handler aDone);
  void SendToPeer(RaftMessage aMessage);
  void OnMessage(const RaftMessage& aMessage, const SocketAddress& aFrom);
  void OnStorageFailure(const Error& aError);
  Expected<std::string> ResolveMemberId(const std::string& aMember) const;

  Loop& mLoop;
  Chart mChart;
  std::string mName;
  SocketAddress mAddress;
  std::vector<LogMember> mInitialMembers;
  std::shared_ptr<grpc::ServerCredentials> mServerCredentials;
  std::shared_ptr<grpc::ChannelCredentials> mClientCredentials;
  std::function<void(const Error&)> mOnFatal;
  std::unique_ptr<RaftMember> mMember;
  std::unique_ptr<PeerService> mService;
  std::unique_ptr<grpc::Server> mServer;
  std::map<std::string, std::unique_ptr<PeerLink>> mLinks;
  // Addresses of the hosts that sent messages. A new learner needs them to reply to the leader
  // before it has a member list.
  std::map<std::string, SocketAddress> mSenderAddresses;
  std::map<std::string, std::string> mInitialIdentities;
  std::map<std::uint64_t, std::unique_ptr<IdentifyCall>> mIdentifyCalls;
  std::uint64_t mNextCallId = 1;
  std::atomic<bool> mShuttingDown{ false };
  TimePoint mNextBootstrap{};
  std::optional<Error> mFailure;
  bool mPumpPosted = false;
};

// Coalesces all input of one loop iteration into one Pump, so that a single sync covers it.
void
RaftNode::State::SchedulePump()
{
  if (!mPumpPosted) {
    // If the mailbox is full, Tick calls Pump instead.
    mPumpPosted = mLoop.Post([weak = weak_from_this()] {
      if (const auto state = weak.lock()) {
        state->mPumpPosted = false;
        state->Pump();
      }
    });
  }
}

void
RaftNode::State::Pump()
{
  if (mFailure) {
    return;
  }
  if (auto done = mMember->Pump(SteadyNow()); !done) {
    OnStorageFailure(done.error());
    return;
  }
  mService->SetBootstrapped(mMember->IsBootstrapped());
}

void
RaftNode::State::OnStorageFailure(const Error& aError)
{
  LogEvent(Event::StorageFatal, { { "reason", aError.mMessage } });
  mFailure = aError;
  mMember->FailPending();
  mOnFatal(aError);
}

void
RaftNode::State::Tick()
{
  if (mFailure) {
    return;
  }
  mMember->Tick(SteadyNow());
  if (!mMember->IsBootstrapped()) {
    TryBootstrap();
  }
  Pump();
  const auto& members = RaftMembers(mMember->Core());
  std::erase_if(mLinks, [&](const auto& aLink) {
    return !mSenderAddresses.contains(aLink.first) &&
           std::none_of(members.begin(), members.end(), [&](const LogMember& aMember) {
             return aMember.mId == aLink.first;
           });
  });
}

void
RaftNode::State::Identify(const SocketAddress& aAddress, IdentifyCall::Handler aDone)
{
  const std::uint64_t number = mNextCallId++;
  mIdentifyCalls[number] =
    std::make_unique<IdentifyCall>(OpenChannel(aAddress, mClientCredentials),
                                   [this, number, weak = weak_from_this(), done = std::move(aDone)](
                                     const Expected<rpc::IdentifyReply>& aReply) {
                                     const auto task = [weak, number, done, aReply] {
                                       if (const auto state = weak.lock()) {
                                         state->mIdentifyCalls.erase(number);
                                         done(aReply);
                                       }
                                     };
                                     // The node joins this thread in its destructor, so the loop
                                     // still exists here.
                                     while (!mLoop.Post(task) && !mShuttingDown.load()) {
                                       std::this_thread::sleep_for(kTickInterval);
                                     }
                                   });
}

void
RaftNode::State::TryBootstrap()
{
  const TimePoint now = SteadyNow();
  const auto lowest =
    std::min_element(mInitialMembers.begin(),
                     mInitialMembers.end(),
                     [](const auto& aLeft, const auto& aRight) { return aLeft.mId < aRight.mId; });
  if (now < mNextBootstrap || lowest == mInitialMembers.end() || lowest->mId != mName) {
    return;
  }
  mNextBootstrap = now + kBootstrapInterval;
  std::vector<LogMember> members;
  for (const LogMember& member : mInitialMembers) {
    if (member.mId == mName) {
      members.push_back({ mMember->Core().mSettings.mSelf, mAddress, MemberRole::Voter });
    } else if (const auto known = mInitialIdentities.find(member.mId);
               known != mInitialIdentities.end()) {
      members.push_back({ known->second, member.mAddress, MemberRole::Voter });
    }
  }
  if (members.size() == mInitialMembers.size()) {
    if (auto bootstrapped = mMember->Bootstrap(members, now); !bootstrapped) {
      OnStorageFailure(bootstrapped.error());
    }
    return;
  }
  // Discards earlier answers: a member may have lost its disk since.
  mInitialIdentities.clear();
  for (const LogMember& member : mInitialMembers) {
    if (member.mId == mName) {
      continue;
    }
    Identify(member.mAddress, [this, member](const Expected<rpc::IdentifyReply>& aReply) {
      const bool matches =
        aReply && !aReply->formed() && MemberName(aReply->identity()) == member.mId;
      if (matches) {
        mInitialIdentities[member.mId] = aReply->identity();
        return;
      }
      LogEvent(Event::FormationWaiting,
               { { "member", member.mId },
                 { "reason",
                   !aReply ? aReply.error().mMessage
                   : aReply->formed()
                     ? "it already has a member list; add this member as a learner instead"
                     : "it has the identity " + aReply->identity() } });
    });
  }
}

void
RaftNode::State::SendToPeer(RaftMessage aMessage)
{
  std::optional<SocketAddress> address;
  for (const LogMember& member : RaftMembers(mMember->Core())) {
    if (member.mId == aMessage.mTo) {
      address = member.mAddress;
    }
  }
  if (const auto sender = mSenderAddresses.find(aMessage.mTo);
      !address && sender != mSenderAddresses.end()) {
    address = sender->second;
  }
  std::unique_ptr<PeerLink>& link = mLinks[aMessage.mTo];
  if (!address && link == nullptr) {
    mLinks.erase(aMessage.mTo);
    return;
  }
  if (link == nullptr || (address && link->Address() != *address)) {
    link = std::make_unique<PeerLink>(aMessage.mTo, *address, mAddress, mClientCredentials);
  }
  link->Send(std::move(aMessage));
}

void
RaftNode::State::OnMessage(const RaftMessage& aMessage, const SocketAddress& aFrom)
{
  // Limits the memory used for senders that are not in the member list.
  constexpr std::size_t kMaxSenders = 16;
  if (mFailure) {
    return;
  }
  if (mSenderAddresses.size() >= kMaxSenders && !mSenderAddresses.contains(aMessage.mFrom)) {
    mSenderAddresses.clear();
  }
  mSenderAddresses[aMessage.mFrom] = aFrom;
  if (const auto link = mLinks.find(aMessage.mFrom); link != mLinks.end()) {
    link->second->ReconnectNow();
  }
  mMember->Receive(aMessage, SteadyNow());
  SchedulePump();
}

Expected<std::string>
RaftNode::State::ResolveMemberId(const std::string& aMember) const
{
  std::vector<std::string> found;
  for (const LogMember& member : RaftMembers(mMember->Core())) {
    if (member.mId == aMember) {
      return aMember;
    }
    if (MemberName(member.mId) == aMember) {
      found.push_back(member.mId);
    }
  }
  if (found.size() != 1) {
    return Fail(Result::UnknownMember,
                fmt::format("{} members are named '{}'; give the name with its nonce",
                            found.size(),
                            aMember));
  }
  return found.front();
}

RaftNode::RaftNode(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

RaftNode::~RaftNode()
{
  mState->mShuttingDown.store(true);
  mState->mIdentifyCalls.clear();
  mState->mServer->Shutdown(std::chrono::system_clock::now());
  mState->mMember->FailPending();
  mState->mLinks.clear();
  mState->mServer.reset();
}

void
RaftNode::Propose(std::string aCommand, OutcomeHandler aDone)
{
  if (mState->mFailure) {
    aDone(Fail(Result::NotLeader, "this member failed: " + mState->mFailure->mMessage));
    return;
  }
  mState->mMember->Propose(std::move(aCommand), std::move(aDone), SteadyNow());
  mState->SchedulePump();
}

void
RaftNode::ReadBarrier(DoneHandler aDone)
{
  if (mState->mFailure) {
    aDone(Fail(Result::ReadUnavailable, "this member failed: " + mState->mFailure->mMessage));
    return;
  }
  mState->mMember->ReadBarrier(std::move(aDone), SteadyNow());
  mState->SchedulePump();
}

void
RaftNode::AddLearner(const LogMember& aMember, DoneHandler aDone)
{
  if (mState->mFailure) {
    aDone(Fail(Result::NotLeader, "this member failed: " + mState->mFailure->mMessage));
    return;
  }
  if (MemberName(aMember.mId) != aMember.mId) {
    mState->mMember->AddLearner(aMember, std::move(aDone), SteadyNow());
    mState->SchedulePump();
    return;
  }
  const auto done = std::make_shared<DoneHandler>(std::move(aDone));
  mState->Identify(
    aMember.mAddress,
    [state = mState.get(), aMember, done](const Expected<rpc::IdentifyReply>& aReply) {
      if (!aReply || MemberName(aReply->identity()) != aMember.mId) {
        (*done)(Fail(Result::UnknownMember,
                     aReply ? "the address belongs to " + aReply->identity()
                            : "the address does not answer: " + aReply.error().mMessage));
        return;
      }
      LogMember member = aMember;
      member.mId = aReply->identity();
      state->mMember->AddLearner(member, *done, SteadyNow());
      state->SchedulePump();
    });
}

void
RaftNode::Promote(const std::string& aMember, DoneHandler aDone)
{
  const auto id = mState->ResolveMemberId(aMember);
  if (!id || mState->mFailure) {
    aDone(tl::unexpected(id ? *mState->mFailure : id.error()));
    return;
  }
  mState->mMember->Promote(*id, std::move(aDone), SteadyNow());
  mState->SchedulePump();
}

void
RaftNode::Remove(const std::string& aMember, DoneHandler aDone)
{
  const auto id = mState->ResolveMemberId(aMember);
  if (!id || mState->mFailure) {
    aDone(tl::unexpected(id ? *mState->mFailure : id.error()));
    return;
  }
  mState->mMember->Remove(*id, std::move(aDone), SteadyNow());
  mState->SchedulePump();
}

std::vector<std::string>
RaftNode::UncommittedCommands() const
{
  std::vector<std::string> commands;
  const Raft& core = mState->mMember->Core();
  for (const LogEntry& entry : core.mEntries) {
    if (entry.mIndex > core.mCommitIndex && entry.mKind == EntryKind::Command) {
      commands.push_back(entry.mData);
    }
  }
  return commands;
}

LogStatus
RaftNode::Status() const
{
  LogStatus status = mState->mMember->Status(SteadyNow());
  status.mLeading = status.mLeading && !mState->mFailure;
  return status;
}

RaftNode::Builder&
RaftNode::Builder::Name(std::string aName)
{
  mName = std::move(aName);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::Folder(std::string aFolder)
{
  mFolder = std::move(aFolder);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::Address(SocketAddress aAddress)
{
  mAddress = std::move(aAddress);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::InitialMembers(std::vector<LogMember> aMembers)
{
  mInitialMembers = std::move(aMembers);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::Machine(StateMachine aMachine)
{
  mMachine = std::move(aMachine);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::ChartFile(std::string aPath)
{
  mChartFile = std::move(aPath);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::Credentials(std::shared_ptr<grpc::ServerCredentials> aServer,
                               std::shared_ptr<grpc::ChannelCredentials> aClient)
{
  mServerCredentials = std::move(aServer);
  mClientCredentials = std::move(aClient);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::Settings(MemberSettings aSettings)
{
  mSettings = std::move(aSettings);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::Files(FileOps aOps)
{
  mFiles = std::move(aOps);
  return *this;
}

RaftNode::Builder&
RaftNode::Builder::OnFatal(std::function<void(const Error&)> aHandler)
{
  mOnFatal = std::move(aHandler);
  return *this;
}

Expected<std::unique_ptr<RaftNode>>
RaftNode::Builder::Start()
{
  KeepCallbackQueueAlive();
  auto state = std::make_shared<State>(mLoop);
  auto chart = LoadChart(mChartFile);
  if (!chart) {
    return tl::unexpected(chart.error());
  }
  if (auto checked = CheckRaftChart(*chart); !checked) {
    return tl::unexpected(checked.error());
  }
  state->mChart = std::move(*chart);
  state->mName = mName;
  state->mAddress = mAddress;
  state->mInitialMembers = mInitialMembers;
  state->mServerCredentials =
    mServerCredentials ? mServerCredentials : grpc::InsecureServerCredentials();
  state->mClientCredentials =
    mClientCredentials ? mClientCredentials : grpc::InsecureChannelCredentials();
  state->mOnFatal = mOnFatal ? mOnFatal : [&loop = mLoop](const Error& /*aError*/) { loop.Stop(); };
  std::random_device entropy;
  auto storage = Storage::Open(mFiles, mFolder, mName, entropy());
  if (!storage) {
    return tl::unexpected(storage.error());
  }
  mSettings.mSeed = (std::uint64_t{ entropy() } << 32) | entropy();
  auto member = RaftMember::Open(
    mSettings,
    state->mChart,
    std::move(*storage),
    mMachine,
    [raw = state.get()](RaftMessage aMessage) { raw->SendToPeer(std::move(aMessage)); },
    SteadyNow());
  if (!member) {
    return tl::unexpected(member.error());
  }
  state->mMember = std::move(*member);
  state->mService = std::make_unique<PeerService>(
    state->mMember->Core().mSettings.mSelf,
    [weak = std::weak_ptr<State>(state), &loop = mLoop](RaftMessage aMessage, SocketAddress aFrom) {
      auto shared = std::make_shared<RaftMessage>(std::move(aMessage));
      const bool posted = loop.Post([weak, shared, from = std::move(aFrom)] {
        if (const auto strong = weak.lock()) {
          strong->OnMessage(*shared, from);
        }
      });
      if (!posted) {
        LogEvent(Event::MessageDropped, { { "from", shared->mFrom } });
      }
    });
  state->mService->SetBootstrapped(state->mMember->IsBootstrapped());
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(FormatSocketAddress(mAddress), state->mServerCredentials, &port);
  builder.RegisterService(state->mService.get());
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 100);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  // With SO_REUSEPORT, two processes on the same address would share the incoming streams.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  grpc::ResourceQuota quota("raft");
  quota.SetMaxThreads(kMaxServerThreads);
  builder.SetResourceQuota(quota);
  state->mServer = builder.BuildAndStart();
  if (state->mServer == nullptr || port == 0) {
    return Fail(Result::Internal, "cannot listen on " + FormatSocketAddress(mAddress));
  }
  const auto tick = [weak = std::weak_ptr<State>(state)] {
    if (const auto strong = weak.lock()) {
      strong->Tick();
    }
  };
  mLoop.AddPeriodic(kTickInterval, tick);
  state->SchedulePump();
  return std::unique_ptr<RaftNode>(new RaftNode(std::move(state)));
}

} // namespace apricotyard
