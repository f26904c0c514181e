#include "fleet_client.h"

#include "fleet.grpc.pb.h"
#include "fleet_messages.h"
#include "log.h"
#include "settings.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <thread>

#include <grpcpp/grpcpp.h>

namespace apricotyard {

namespace {

// Time allowed to the loop to handle a document that has arrived and to call SetDocument. No
// other link fetches the document in this time.
constexpr std::chrono::milliseconds kDocumentApplyTime{ 150 };
// Coordinators call each other every kFleetSyncPause. One that another has not reached for this
// time is cut off from it.
constexpr std::chrono::milliseconds kMaxCoordinatorIdle{ 1500 };
// One that was not reached for this time is gone for good.
constexpr std::chrono::milliseconds kCoordinatorGoneIdle{ 30'000 };
// gRPC starts the next attempt to connect by itself after this time, while a call waits for it.
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1000;

std::unique_ptr<rpc::Fleet::Stub>
OpenStub(const std::string& aAddress, const RpcSecurity& aSecurity, Duration aConnectTimeout)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  // gRPC also takes this as the time limit of an attempt to connect.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   static_cast<int>(aConnectTimeout / std::chrono::milliseconds(1)));
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return rpc::Fleet::NewStub(
    grpc::CreateCustomChannel(aAddress, MakeChannelCredentials(aSecurity), arguments));
}

// Returns whether the coordinator that sent aReply has the records of all other coordinators.
bool
HearsAllCoordinators(const rpc::FleetSyncReply& aReply)
{
  return std::none_of(
    aReply.coordinators().begin(), aReply.coordinators().end(), [](const auto& aHost) {
      return aHost.idle_ms() > kMaxCoordinatorIdle.count() &&
             aHost.idle_ms() < kCoordinatorGoneIdle.count();
    });
}

// Coordinators have no preferred data centre: they are few, so all of them are near to each other.
bool
IsNear(const std::string& aDataCentre, const FleetClientSettings& aSettings)
{
  return aSettings.mDataCentre.empty() || aDataCentre == aSettings.mDataCentre;
}

// State that the threads of all links share.
struct SharedState
{
  absl::Mutex mMutex;
  rpc::FleetHost mSelf;
  DocumentIdentity mDocument;
  bool mReadAgeWanted = false;
  std::vector<Strike> mRecentCrashes;
  std::vector<Strike> mKnownCrashes;
  std::uint64_t mQuotaShareTerm = 0;
  // The link that fetches the document, and until when the other links do not fetch it themselves.
  std::string mFetchingLink;
  absl::Time mFetchReservedUntil = absl::InfinitePast();
  // Incremented to make every thread call its coordinator immediately.
  std::uint64_t mCallNowNumber = 0;
  std::optional<rpc::FleetJoinRequest> mJoinRequest;
  // Incremented with each join request.
  std::uint64_t mJoinNumber = 0;
  bool mStopping = false;
  // Calls in progress that had to open their connection.
  std::size_t mOpeningCalls = 0;
  std::size_t mHosts = 1;
  LinkPauses mPauses;
  FleetClient::Traffic mNearTraffic;
  FleetClient::Traffic mFarTraffic;
  // Whether the primary had the records of all coordinators and was in contact with its group when
  // it last replied.
  bool mPrimaryHearsAll = true;
  bool mPrimaryUpToDate = false;
  // When a coordinator was reachable last, and when the primary was up to date last.
  TimePoint mReachableAt = SteadyNow();
  TimePoint mUpToDateAt = SteadyNow();
  // Coordinators whose last call succeeded, as pairs of whether they are in another data centre,
  // and their address. The first element is the primary.
  std::set<std::pair<bool, std::string>> mReachable;
};

// Connection to one coordinator, with a thread that calls it periodically.
class CoordinatorLink
{
public:
  using DeliverFunction = std::function<bool(rpc::FleetSyncReply, TimePoint)>;

  CoordinatorLink(SharedState& aShared,
                  std::string aAddress,
                  const std::string& aDataCentre,
                  std::size_t aSeedIndex,
                  const FleetClientSettings& aSettings,
                  DeliverFunction aDeliver)
    : mShared(aShared)
    , mAddress(std::move(aAddress))
    , mSettings(aSettings)
    , mDeliver(std::move(aDeliver))
    , mSeedIndex(aSeedIndex)
    , mDataCentre(aDataCentre)
    , mNear(aDataCentre.empty() || IsNear(aDataCentre, aSettings))
    , mRng(std::hash<std::string>()(mAddress) ^
           static_cast<std::uint64_t>(SteadyNow().time_since_epoch().count()))
    , mThread([this] { Run(); })
  {
  }

  // Precondition: mShared.mStopping is set.
  ~CoordinatorLink() { mThread.join(); }

  // Sets the data centre of a coordinator that was added without it. Precondition: mShared.mMutex
  // is held.
  void LearnDataCentre(const std::string& aDataCentre)
  {
    mShared.mMutex.AssertHeld();
    if (mDataCentre.empty() && !aDataCentre.empty()) {
      mDataCentre = aDataCentre;
      mNear = IsNear(aDataCentre, mSettings);
    }
  }

  // Ends the pause after a failed call. Precondition: mShared.mMutex is held.
  void RetryNow()
  {
    mShared.mMutex.AssertHeld();
    mRetryNow = true;
  }

  // Cancels the open call. Precondition: mShared.mMutex is held.
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
  // Runs aCall with a context that Cancel can reach, and with a deadline.
  template<typename Function>
  grpc::Status CallWithDeadline(const Function& aCall)
  {
    grpc::ClientContext context;
    {
      absl::MutexLock lock(&mShared.mMutex);
      if (mShared.mStopping) {
        return { grpc::StatusCode::CANCELLED, "the process is stopping" };
      }
      context.set_deadline(std::chrono::system_clock::now() +
                           (mConnected ? kCallTimeout : ConnectTimeout(mShared.mHosts)));
      mContext = &context;
      mShared.mOpeningCalls += mConnected ? 0 : 1;
    }
    grpc::Status status = aCall(context);
    absl::MutexLock lock(&mShared.mMutex);
    mContext = nullptr;
    mShared.mOpeningCalls -= mConnected ? 0 : 1;
    mConnected |= status.ok();
    mConnectedOnce |= status.ok();
    return status;
  }

  rpc::FleetSyncRequest NextRequest()
  {
    rpc::FleetSyncRequest request;
    absl::MutexLock lock(&mShared.mMutex);
    *request.mutable_self() = mShared.mSelf;
    request.set_document_version(mShared.mDocument.mVersion);
    request.set_document_uncommitted(!mShared.mDocument.mCommitted);
    request.set_document_digest(mShared.mDocument.mDigest);
    request.set_wants_read_age(mShared.mReadAgeWanted);
    request.set_own_records_only(!WantsAllRecords());
    request.set_cursor(request.own_records_only() ? mOwnCursor : mAllCursor);
    request.set_cursor_incarnation(mCursorIncarnation);
    mReportsKnownCrashes = mCursorIncarnation != mCrashesReportedTo;
    for (const Strike& crash :
         mReportsKnownCrashes ? mShared.mKnownCrashes : mShared.mRecentCrashes) {
      AddCrash(crash, request);
    }
    request.set_crash_cursor(mCrashCursor);
    request.set_quota_share_term(mShared.mQuotaShareTerm);
    request.set_wants_document(ReserveFetch());
    mAnnouncedPause = RegularPause(Status(), Pauses());
    request.mutable_self()->set_pause_ms(
      static_cast<std::uint32_t>(mAnnouncedPause / std::chrono::milliseconds(1)));
    mSeenCallNowNumber = mShared.mCallNowNumber;
    return request;
  }

  // Returns whether this link is to fetch the document now, and if so reserves the fetch for it.
  // Only one link at a time fetches the document, so that it crosses the network once.
  // Whether the coordinator has one to fetch is known from its previous reply.
  bool ReserveFetch()
  {
    mShared.mMutex.AssertHeld();
    const absl::Time now = absl::Now();
    if (!Supersedes(mCoordinatorDocument, mShared.mDocument) ||
        (mShared.mFetchReservedUntil > now && mShared.mFetchingLink != mAddress)) {
      return false;
    }
    mShared.mFetchingLink = mAddress;
    mShared.mFetchReservedUntil = now + absl::FromChrono(kCallTimeout);
    return true;
  }

  // Records the document that the coordinator holds. If it supersedes that of this host, the next
  // call is made at once to fetch it, unless another link is fetching.
  void RecordDocument(const DocumentIdentity& aDocument)
  {
    absl::MutexLock lock(&mShared.mMutex);
    mCoordinatorDocument = aDocument;
    mFetchNow = Supersedes(aDocument, mShared.mDocument) &&
                (mShared.mFetchReservedUntil <= absl::Now() || mShared.mFetchingLink == mAddress);
  }

  void Sync()
  {
    const rpc::FleetSyncRequest request = NextRequest();
    rpc::FleetSyncReply reply;
    const TimePoint sentAt = SteadyNow();
    const grpc::Status status = CallWithDeadline(
      [&](grpc::ClientContext& aContext) { return mStub->Sync(&aContext, request, &reply); });
    if (!status.ok()) {
      mFailingSince = mFailures == 0 ? sentAt : mFailingSince;
      HandleFailure(status);
      return;
    }
    if (!mReachable) {
      LogEvent(Event::CoordinatorReached, { { "coordinator", mAddress } });
    }
    mReachable = true;
    mFailures = 0;
    MarkReachable(reply);
    CountTraffic(request.ByteSizeLong() + reply.ByteSizeLong());
    const bool fetched = !reply.document().empty();
    if (fetched) {
      absl::MutexLock lock(&mShared.mMutex);
      mShared.mFetchReservedUntil = absl::Now() + absl::FromChrono(kDocumentApplyTime);
    }
    if (mSettings.mFetchDocuments) {
      RecordDocument(fetched ? DocumentIdentity() : DocumentOf(reply));
    }
    const bool more = reply.more_records();
    const std::uint64_t cursor = reply.cursor();
    const std::uint64_t crashCursor = reply.crash_cursor();
    const std::uint64_t incarnation = reply.self().incarnation();
    // If the loop does not accept the reply, the cursor stays, and the next call requests the same
    // changes again.
    if (mDeliver(std::move(reply), sentAt)) {
      if (mCursorIncarnation != incarnation) {
        mAllCursor = 0;
      }
      mOwnCursor = cursor;
      mCrashCursor = crashCursor;
      mCrashesReportedTo = mReportsKnownCrashes ? incarnation : mCrashesReportedTo;
      mAllCursor = request.own_records_only() ? mAllCursor : cursor;
      mCursorIncarnation = incarnation;
    }
    absl::MutexLock lock(&mShared.mMutex);
    mFetchNow |= more || (request.own_records_only() && WantsAllRecords());
  }

  // Records of all coordinators come from the primary, so that they cross the network once. The
  // first call to a coordinator is to find out whether it is the primary.
  bool WantsAllRecords() const
  {
    mShared.mMutex.AssertHeld();
    return mConnectedOnce && (IsPrimary() || !mShared.mPrimaryHearsAll);
  }

  void HandleFailure(const grpc::Status& aStatus)
  {
    if ((mReachable || mFailures == 0) && aStatus.error_code() != grpc::StatusCode::CANCELLED) {
      LogEvent(Event::CoordinatorLost,
               { { "coordinator", mAddress }, { "reason", aStatus.error_message() } });
    }
    mReachable = false;
    MarkUnreachable();
    ++mFailures;
    // A new connection does not wait for the reconnect back-off of the old one.
    if (!mConnected || aStatus.error_code() == grpc::StatusCode::UNAVAILABLE ||
        SteadyNow() - mFailingSince >= ReplacementTime(HostCount())) {
      Reconnect();
    }
  }

  void Reconnect()
  {
    mStub = OpenStub(mAddress, mSettings.mSecurity, ConnectTimeout(HostCount()));
    mConnected = false;
  }

  std::size_t HostCount() const
  {
    absl::MutexLock lock(&mShared.mMutex);
    return mShared.mHosts;
  }

  void Join()
  {
    rpc::FleetJoinRequest request;
    {
      absl::MutexLock lock(&mShared.mMutex);
      if (mSeenJoinNumber == mShared.mJoinNumber || !mShared.mJoinRequest) {
        return;
      }
      mSeenJoinNumber = mShared.mJoinNumber;
      request = *mShared.mJoinRequest;
    }
    rpc::FleetJoinReply reply;
    const grpc::Status status = CallWithDeadline(
      [&](grpc::ClientContext& aContext) { return mStub->Join(&aContext, request, &reply); });
    if (status.ok() && reply.accepted()) {
      LogEvent(Event::JoinAccepted, { { "coordinator", mAddress } });
    }
  }

  void MarkReachable(const rpc::FleetSyncReply& aReply)
  {
    absl::MutexLock lock(&mShared.mMutex);
    LearnDataCentre(aReply.self().data_centre());
    mReachableKey = { !mNear, mAddress };
    mShared.mReachable.insert(mReachableKey);
    mShared.mReachableAt = SteadyNow();
    if (IsPrimary()) {
      mShared.mPrimaryHearsAll = HearsAllCoordinators(aReply);
      SetPrimaryUpToDate(mShared.mPrimaryHearsAll && aReply.current());
    }
  }

  void CountTraffic(std::size_t aBytes)
  {
    absl::MutexLock lock(&mShared.mMutex);
    FleetClient::Traffic& traffic = mNear ? mShared.mNearTraffic : mShared.mFarTraffic;
    ++traffic.mCalls;
    traffic.mBytes += aBytes;
  }

  bool IsPrimary() const
  {
    mShared.mMutex.AssertHeld();
    return mShared.mReachable.empty() || *mShared.mReachable.begin() == mReachableKey;
  }

  // Makes the other links call at once if they may have paused for longer than they should now.
  void SetPrimaryUpToDate(bool aUpToDate)
  {
    mShared.mMutex.AssertHeld();
    if (mShared.mPrimaryUpToDate && !aUpToDate) {
      ++mShared.mCallNowNumber;
    }
    mShared.mPrimaryUpToDate = aUpToDate;
    mShared.mUpToDateAt = aUpToDate ? SteadyNow() : mShared.mUpToDateAt;
  }

  void MarkUnreachable()
  {
    absl::MutexLock lock(&mShared.mMutex);
    if (IsPrimary()) {
      SetPrimaryUpToDate(false);
    }
    mShared.mReachable.erase(mReachableKey);
    // Lets the other links fetch the document, so that an unresponsive coordinator does not delay
    // it.
    mCoordinatorDocument = {};
    if (mShared.mFetchingLink == mAddress) {
      mShared.mFetchReservedUntil = absl::InfinitePast();
    }
  }

  LinkStatus Status() const
  {
    mShared.mMutex.AssertHeld();
    return { IsPrimary(),   mNear, mFailures, !mShared.mReachable.empty(), mShared.mPrimaryUpToDate,
             mShared.mHosts };
  }

  LinkPauses Pauses() const
  {
    mShared.mMutex.AssertHeld();
    return mShared.mPauses;
  }

  double Random() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRng); }

  // Precondition: the last call succeeded.
  Duration NextPause() const
  {
    // The coordinator expects the next call after the announced pause.
    return std::min(RegularPause(Status(), Pauses()), mAnnouncedPause);
  }

  // Waits until the next call is due. Returns false if the link must end.
  bool WaitForNextCall()
  {
    absl::MutexLock lock(&mShared.mMutex);
    // A coordinator that fails is not called earlier, whatever there is to tell it.
    if (mFailures > 0) {
      mFetchNow = false;
      mRetryNow = false;
      WaitUntilDue(RetryPause);
      return !mShared.mStopping;
    }
    const auto due = [this] {
      return mShared.mStopping || mFetchNow || mShared.mCallNowNumber != mSeenCallNowNumber;
    };
    mShared.mMutex.AwaitWithTimeout(absl::Condition(&due), absl::FromChrono(NextPause()));
    mFetchNow = false;
    return !mShared.mStopping;
  }

  // Waits for the pause that aPause(status, random number) returns, or until RetryNow is called.
  // The pause follows the status. A link to another data centre is due earlier if it is needed.
  void WaitUntilDue(Duration (*aPause)(const LinkStatus&, double))
  {
    mShared.mMutex.AssertHeld();
    constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
    const auto retry = [this] { return mShared.mStopping || mRetryNow; };
    const TimePoint start = SteadyNow();
    const double random = Random();
    TimePoint neededAt = TimePoint::max();
    for (TimePoint now = start;; now = SteadyNow()) {
      if (!mNear && neededAt == TimePoint::max() &&
          NeedsFarLinks(now - mShared.mReachableAt, now - mShared.mUpToDateAt)) {
        neededAt = now + NeededLinkDelay(Random());
      }
      const TimePoint dueAt = std::min(start + aPause(Status(), random), neededAt);
      if (dueAt <= now) {
        return;
      }
      const Duration step = std::min(dueAt - now, kCheckInterval);
      if (mShared.mMutex.AwaitWithTimeout(absl::Condition(&retry), absl::FromChrono(step))) {
        return;
      }
    }
  }

  void WaitForFirstCall()
  {
    absl::MutexLock lock(&mShared.mMutex);
    if (mDataCentre.empty()) {
      const auto known = [this] { return mShared.mStopping || !mDataCentre.empty(); };
      mShared.mMutex.AwaitWithTimeout(absl::Condition(&known),
                                      absl::FromChrono(FirstSeedCallDelay(mSeedIndex, Random())));
    }
    if (!mDataCentre.empty()) {
      WaitUntilDue(FirstCallDelay);
    }
  }

  // Puts off a call of a gateway that is about to get its first answer from another coordinator.
  // The answer tells the data centres, so the call may then not be needed at all.
  void PostponeIfOthersAreOpen()
  {
    absl::MutexLock lock(&mShared.mMutex);
    const auto answered = [this] { return !mDataCentre.empty() || mConnectedOnce; };
    if (mSettings.mDataCentre.empty() ||
        !PostponesCall(answered(), mShared.mOpeningCalls, Duration::zero())) {
      return;
    }
    const auto due = [&] {
      return mShared.mStopping || answered() ||
             (mShared.mOpeningCalls == 0 && mShared.mReachable.empty());
    };
    mShared.mMutex.AwaitWithTimeout(absl::Condition(&due), absl::FromChrono(kMaxPostponement));
    if (!mNear) {
      WaitUntilDue(FirstCallDelay);
    }
  }

  void Run()
  {
    WaitForFirstCall();
    Reconnect();
    do {
      PostponeIfOthersAreOpen();
      Join();
      Sync();
    } while (WaitForNextCall());
  }

  SharedState& mShared;
  const std::string mAddress;
  const FleetClientSettings& mSettings;
  const DeliverFunction mDeliver;
  std::unique_ptr<rpc::Fleet::Stub> mStub;
  // The cursors of the last reply that the loop accepted and of the last one with the records of
  // all coordinators, its cursor of crashes, and the incarnation of the coordinator that sent it.
  std::uint64_t mOwnCursor = 0;
  std::uint64_t mAllCursor = 0;
  std::uint64_t mCrashCursor = 0;
  std::uint64_t mCursorIncarnation = 0;
  // Whether the last request reported all known crashes, and the incarnation that got them last.
  bool mReportsKnownCrashes = false;
  std::uint64_t mCrashesReportedTo = 0;
  // The pause that the last request announced.
  Duration mAnnouncedPause{};
  std::uint64_t mSeenCallNowNumber = 0;
  std::uint64_t mSeenJoinNumber = 0;
  // The element of SharedState::mReachable that stands for this coordinator.
  std::pair<bool, std::string> mReachableKey;
  // The open call, or null. Guarded by mShared.mMutex.
  grpc::ClientContext* mContext = nullptr;
  // The document that the coordinator's last reply named, or none if that reply carried it.
  DocumentIdentity mCoordinatorDocument;
  // The next call is due immediately, to fetch the document or the records.
  bool mFetchNow = false;
  bool mReachable = false;
  // Guarded by mShared.mMutex.
  bool mRetryNow = false;
  // A call on the present connection has succeeded.
  bool mConnected = false;
  // The same on any connection.
  bool mConnectedOnce = false;
  // Position among the coordinators that were added without their data centre.
  const std::size_t mSeedIndex;
  // Empty while it is not known. Guarded by mShared.mMutex, like mNear.
  std::string mDataCentre;
  // Whether the coordinator is in the data centre of this host, or may be.
  bool mNear;
  Rng mRng;
  // Consecutive failed calls, and when the first of them began.
  int mFailures = 0;
  TimePoint mFailingSince{};
  // Declared last, because the thread uses the members above.
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
    mShared.mPauses.mPrimary = mSettings.mPause;
    // Coordinators are few, and nobody tells them of others.
    mShared.mHosts = mSettings.mDataCentre.empty() ? 1 : kUnknownHosts;
  }

  Loop& mLoop;
  const FleetClientSettings mSettings;
  const ReplyHandler mOnReply;
  SharedState mShared;
  std::map<std::string, std::unique_ptr<CoordinatorLink>> mLinks;
  // Coordinators that were added without their data centre.
  std::size_t mSeeds = 0;
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
FleetClient::AddCoordinator(const std::string& aIp, const std::string& aDataCentre)
{
  std::unique_ptr<CoordinatorLink>& link = mState->mLinks[aIp];
  if (link != nullptr) {
    absl::MutexLock lock(&mState->mShared.mMutex);
    link->LearnDataCentre(aDataCentre);
    return;
  }
  const auto deliver = [weak = mState->weak_from_this(), loop = &mState->mLoop, aIp](
                         rpc::FleetSyncReply aReply, TimePoint aSentAt) {
    const auto shared = std::make_shared<rpc::FleetSyncReply>(std::move(aReply));
    return loop->Post([weak, aIp, shared, aSentAt] {
      if (const auto state = weak.lock()) {
        state->mOnReply(aIp, *shared, aSentAt);
      }
    });
  };
  link = std::make_unique<CoordinatorLink>(mState->mShared,
                                           FormatSocketAddress({ aIp, mState->mSettings.mRpcPort }),
                                           aDataCentre,
                                           aDataCentre.empty() ? mState->mSeeds++ : 0,
                                           mState->mSettings,
                                           deliver);
}

void
FleetClient::RetryNow(const std::string& aIp)
{
  const auto link = mState->mLinks.find(aIp);
  if (link != mState->mLinks.end()) {
    absl::MutexLock lock(&mState->mShared.mMutex);
    link->second->RetryNow();
  }
}

void
FleetClient::SetLocalHost(const FleetHost& aSelf)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mSelf = ToMessage(aSelf);
  ++mState->mShared.mCallNowNumber;
}

void
FleetClient::SetLoad(double aLoad)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mSelf.set_load(aLoad);
}

void
FleetClient::SetDocument(const DocumentIdentity& aDocument)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mDocument = aDocument;
}

void
FleetClient::SetReadAgeWanted(bool aWanted)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mReadAgeWanted = aWanted;
}

void
FleetClient::SetCrashes(const std::vector<Strike>& aRecent, const std::vector<Strike>& aKnown)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mRecentCrashes = aRecent;
  mState->mShared.mKnownCrashes = aKnown;
}

void
FleetClient::SetQuotaShareTerm(std::uint64_t aTerm)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mQuotaShareTerm = aTerm;
}

void
FleetClient::SetPauses(const LinkPauses& aPauses)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mPauses = aPauses;
}

void
FleetClient::SetHostCount(std::size_t aCount)
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mHosts = aCount;
}

void
FleetClient::RequestJoin(const std::string& aName,
                         const SocketAddress& aAddress,
                         std::string aIdentity)
{
  rpc::FleetJoinRequest request;
  request.set_name(aName);
  request.set_ip(aAddress.mIp);
  request.set_port(aAddress.mPort);
  request.set_identity(std::move(aIdentity));
  absl::MutexLock lock(&mState->mShared.mMutex);
  mState->mShared.mJoinRequest = std::move(request);
  ++mState->mShared.mJoinNumber;
  ++mState->mShared.mCallNowNumber;
}

FleetClient::Traffic
FleetClient::TrafficOf(bool aNear) const
{
  absl::MutexLock lock(&mState->mShared.mMutex);
  return aNear ? mState->mShared.mNearTraffic : mState->mShared.mFarTraffic;
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
