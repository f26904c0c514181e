#include "fleet_client.h"

#include "fleet.grpc.pb.h"
#include "fleet_messages.h"
#include "log.h"
#include "settings.h"

#include <map>
#include <optional>
#include <set>
#include <thread>

#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

// A call that takes longer is given up; several round trips between data centres.
constexpr std::chrono::milliseconds kSyncTimeout{ 700 };
// Calls without an answer after which the connection is replaced: it may have gone silent while
// new ones work.
constexpr int kSilentCalls = 2;
// From the arrival of a document until the loop has applied it and raised the version.
constexpr std::chrono::milliseconds kApplyTime{ 150 };
// A coordinator that restarts is back within a second; until then it is asked more often.
constexpr Duration kRetryPause = std::chrono::milliseconds(60);
constexpr int kQuickRetries = 25;
constexpr int kReconnectMinMillis = 100;
constexpr int kReconnectMaxMillis = 400;

std::unique_ptr<rpc::Fleet::Stub>
OpenStub(const std::string& aAddress, const RpcSecurity& aSecurity)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMinMillis);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMaxMillis);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMaxMillis);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return rpc::Fleet::NewStub(
    grpc::CreateCustomChannel(aAddress, MakeChannelCredentials(aSecurity), arguments));
}

// Shared by the threads of all coordinators.
struct Shared
{
  absl::Mutex mMutex;
  rpc::FleetHost mSelf;
  DocumentVersion mDocumentVersion = 0;
  // The link that fetches the document, and until when the others leave it to it.
  std::string mFetching;
  absl::Time mFetchingUntil = absl::InfinitePast();
  // Raised to make every thread call at once.
  std::uint64_t mKick = 0;
  std::optional<rpc::FleetJoinRequest> mJoin;
  // Raised with each join request.
  std::uint64_t mJoinNumber = 0;
  bool mStopping = false;
  Duration mSecondaryPause{};
  // Coordinators that answered last, by whether they are in another data centre, and address. The
  // first one is the primary.
  std::set<std::pair<bool, std::string>> mReachable;
};

class CoordinatorLink
{
public:
  using Deliver = std::function<bool(rpc::FleetSyncReply)>;

  CoordinatorLink(Shared& aShared,
                  std::string aAddress,
                  const FleetClientSettings& aSettings,
                  Deliver aDeliver)
    : mShared(aShared)
    , mAddress(std::move(aAddress))
    , mSettings(aSettings)
    , mDeliver(std::move(aDeliver))
    , mThread([this] { Main(); })
  {
  }

  // Precondition: mShared.mStopping is set.
  ~CoordinatorLink() { mThread.join(); }

  // Ends the call under way.
  void Cancel()
  {
    mShared.mMutex.AssertHeld();
    if (mContext != nullptr) {
      mContext->TryCancel();
    }
  }

  CoordinatorLink(const CoordinatorLink&) = delete;
  CoordinatorLink& operator=(const CoordinatorLink&) = delete;

private:
  // Runs aCall with a context that Cancel reaches.
  template<typename Function>
  grpc::Status Call(const Function& aCall)
  {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kSyncTimeout);
    {
      absl::MutexLock lock(&mShared.mMutex);
      if (mShared.mStopping) {
        return { grpc::StatusCode::CANCELLED, "the process is stopping" };
      }
      mContext = &context;
    }
    grpc::Status status = aCall(context);
    absl::MutexLock lock(&mShared.mMutex);
    mContext = nullptr;
    return status;
  }

  rpc::FleetSyncRequest NextRequest()
  {
    rpc::FleetSyncRequest request;
    absl::MutexLock lock(&mShared.mMutex);
    *request.mutable_self() = mShared.mSelf;
    request.set_document_version(mShared.mDocumentVersion);
    request.set_cursor(mCursor);
    request.set_cursor_incarnation(mCursorIncarnation);
    request.set_wants_document(MayFetch());
    mSeenKick = mShared.mKick;
    return request;
  }

  // True if this link is to fetch the document. One link at a time does, so that it crosses the
  // network once; the version is known from an earlier reply.
  bool MayFetch()
  {
    mShared.mMutex.AssertHeld();
    const absl::Time now = absl::Now();
    if (mKnownVersion <= mShared.mDocumentVersion ||
        (mShared.mFetchingUntil > now && mShared.mFetching != mAddress)) {
      return false;
    }
    mShared.mFetching = mAddress;
    mShared.mFetchingUntil = now + absl::FromChrono(kSyncTimeout);
    return true;
  }

  // Learns the version that the coordinator holds; if it is newer, the document is fetched at once.
  void NoteVersion(DocumentVersion aVersion)
  {
    absl::MutexLock lock(&mShared.mMutex);
    mKnownVersion = aVersion;
    mFetchNow = aVersion > mShared.mDocumentVersion &&
                (mShared.mFetchingUntil <= absl::Now() || mShared.mFetching == mAddress);
  }

  void Sync()
  {
    const rpc::FleetSyncRequest request = NextRequest();
    rpc::FleetSyncReply reply;
    const grpc::Status status =
      Call([&](grpc::ClientContext& aContext) { return mStub->Sync(&aContext, request, &reply); });
    if (!status.ok()) {
      Failed(status);
      return;
    }
    if (!mReachable) {
      LogEvent(Event::CoordinatorReached, { { "coordinator", mAddress } });
    }
    mReachable = true;
    mFailures = 0;
    NoteReachable(reply.self().data_centre());
    const bool fetched = !reply.document().empty();
    if (fetched) {
      absl::MutexLock lock(&mShared.mMutex);
      mShared.mFetchingUntil = absl::Now() + absl::FromChrono(kApplyTime);
    }
    if (mSettings.mFetchDocuments) {
      NoteVersion(fetched ? 0 : reply.document_version());
    }
    const std::uint64_t cursor = reply.cursor();
    const std::uint64_t incarnation = reply.self().incarnation();
    // A reply that the loop cannot take is asked for again.
    if (mDeliver(std::move(reply))) {
      mCursor = cursor;
      mCursorIncarnation = incarnation;
    }
  }

  void Failed(const grpc::Status& aStatus)
  {
    if ((mReachable || mFailures == 0) && aStatus.error_code() != grpc::StatusCode::CANCELLED) {
      LogEvent(Event::CoordinatorLost,
               { { "coordinator", mAddress }, { "reason", aStatus.error_message() } });
    }
    mReachable = false;
    NoteUnreachable();
    // A new connection does not wait for the back-off of the old one.
    if (++mFailures >= kSilentCalls || aStatus.error_code() == grpc::StatusCode::UNAVAILABLE) {
      mStub = OpenStub(mAddress, mSettings.mSecurity);
    }
  }

  void Join()
  {
    rpc::FleetJoinRequest request;
    {
      absl::MutexLock lock(&mShared.mMutex);
      if (mSeenJoin == mShared.mJoinNumber || !mShared.mJoin) {
        return;
      }
      mSeenJoin = mShared.mJoinNumber;
      request = *mShared.mJoin;
    }
    rpc::FleetJoinReply reply;
    const grpc::Status status =
      Call([&](grpc::ClientContext& aContext) { return mStub->Join(&aContext, request, &reply); });
    if (status.ok() && reply.accepted()) {
      LogEvent(Event::JoinAccepted, { { "coordinator", mAddress } });
    }
  }

  void NoteReachable(const std::string& aDataCentre)
  {
    absl::MutexLock lock(&mShared.mMutex);
    mPlace = { aDataCentre != mSettings.mDataCentre, mAddress };
    mShared.mReachable.insert(mPlace);
  }

  void NoteUnreachable()
  {
    absl::MutexLock lock(&mShared.mMutex);
    mShared.mReachable.erase(mPlace);
    // Leaves the document to the other links: a silent coordinator must not keep them from it.
    mKnownVersion = 0;
    if (mShared.mFetching == mAddress) {
      mShared.mFetchingUntil = absl::InfinitePast();
    }
  }

  Duration NextPause() const
  {
    mShared.mMutex.AssertHeld();
    if (mFailures > 0 && mFailures < kQuickRetries) {
      return std::min(kRetryPause, mSettings.mPause);
    }
    const bool primary = mShared.mReachable.empty() || *mShared.mReachable.begin() == mPlace;
    return primary ? mSettings.mPause : std::max(mSettings.mPause, mShared.mSecondaryPause);
  }

  // Returns false when the link must end.
  bool Pause()
  {
    absl::MutexLock lock(&mShared.mMutex);
    const auto due = [this] {
      return mShared.mStopping || mFetchNow || mShared.mKick != mSeenKick;
    };
    mShared.mMutex.AwaitWithTimeout(absl::Condition(&due), absl::FromChrono(NextPause()));
    mFetchNow = false;
    return !mShared.mStopping;
  }

  void Main()
  {
    mStub = OpenStub(mAddress, mSettings.mSecurity);
    do {
      Join();
      Sync();
    } while (Pause());
  }

  Shared& mShared;
  const std::string mAddress;
  const FleetClientSettings& mSettings;
  const Deliver mDeliver;
  std::unique_ptr<rpc::Fleet::Stub> mStub;
  std::uint64_t mCursor = 0;
  std::uint64_t mCursorIncarnation = 0;
  std::uint64_t mSeenKick = 0;
  std::uint64_t mSeenJoin = 0;
  std::pair<bool, std::string> mPlace;
  grpc::ClientContext* mContext = nullptr;
  // The version that the coordinator named last, unless it has just been fetched.
  DocumentVersion mKnownVersion = 0;
  bool mFetchNow = false;
  bool mReachable = false;
  int mFailures = 0;
  // Last, because it uses the members above.
  std::thread mThread;
};

} // namespace

struct FleetClient::State : std::enable_shared_from_this<FleetClient::State>
{
  State(Loop& aLoop, FleetClientSettings aSettings, ReplyHandler aOnReply)
    : mLoop(aLoop)
    , mSettings(std::move(aSettings))
    , mOnReply(std::move(aOnReply))
  {
  }

  Loop& mLoop;
  const FleetClientSettings mSettings;
  const ReplyHandler mOnReply;
  Shared mShared;
  std::map<std::string, std::unique_ptr<CoordinatorLink>> mLinks;
};

FleetClient::FleetClient(Loop& aLoop, FleetClientSettings aSettings, ReplyHandler aOnReply)
  : mState(std::make_shared<State>(aLoop, std::move(aSettings), std::move(aOnReply)))
{
}

FleetClient::~FleetClient()
{
  {
    absl::MutexLock lock(&mState->mShared.mMutex);
    mState->mShared.mStopping = true;
    for (const auto& [ip, link] : mState->mLinks) {
      link->Cancel();
    }
  }
  mState->mLinks.clear();
}

void
FleetClient::AddCoordinator(const std::string& aIp)
{
  std::unique_ptr<CoordinatorLink>& link = mState->mLinks[aIp];
  if (link != nullptr) {
    return;
  }
  const auto deliver =
    [weak = mState->weak_from_this(), loop = &mState->mLoop, aIp](rpc::FleetSyncReply aReply) {
      const auto shared = std::make_shared<rpc::FleetSyncReply>(std::move(aReply));
      return loop->Post([weak, aIp, shared] {
        if (const auto state = weak.lock()) {
          state->mOnReply(aIp, *shared);
        }
      });
    };
  link = std::make_unique<CoordinatorLink>(mState->mShared,
                                           FormatSocketAddress({ aIp, mState->mSettings.mRpcPort }),
                                           mState->mSettings,
                                           deliver);
}

void
FleetClient::SetSelf(const FleetHost& aSelf)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mSelf = ToMessage(aSelf);
  ++mState->mShared.mKick;
}

void
FleetClient::SetDocumentVersion(DocumentVersion aVersion)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mDocumentVersion = aVersion;
}

void
FleetClient::SetSecondaryPause(Duration aPause)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mSecondaryPause = aPause;
}

void
FleetClient::AskToJoin(const std::string& aName,
                       const SocketAddress& aAddress,
                       std::string aIdentity)
{
  rpc::FleetJoinRequest request;
  request.set_name(aName);
  request.set_ip(aAddress.mIp);
  request.set_port(aAddress.mPort);
  request.set_identity(std::move(aIdentity));
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mJoin = std::move(request);
  ++mState->mShared.mJoinNumber;
  ++mState->mShared.mKick;
}

std::vector<std::string>
FleetClient::Coordinators() const
{
  std::vector<std::string> coordinators;
  for (const auto& [ip, link] : mState->mLinks) {
    coordinators.push_back(ip);
  }
  return coordinators;
}

} // namespace apricotyard
