// Tests of evacuations and warm-ups. They guard against an acknowledged order that is lost or
// forgotten at a gateway, against states that the previous build cannot read, and against replicas
// that get more requests than they can take while they warm up.
#include "coordinator_process.h"
#include "directory.h"
#include "discovery_node.h"
#include "document_state.h"
#include "fleet.grpc.pb.h"
#include "fleet_messages.h"
#include "gateway_process.h"
#include "http_client.h"
#include "process_protocol.h"
#include "replica_signals.h"
#include "settings.h"
#include "test_address.h"

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <map>
#include <optional>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <zlib.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::set<std::string>;

namespace {

const TimePoint kStart{ seconds(1000) };

// The state machine of the previous build, with the same steps: it decodes a header and a
// compressed text, ignores what follows, and keeps what has the highest version.
struct PreviousBuild
{
  struct Header
  {
    std::uint64_t mVersion = 0;
    std::uint64_t mSize = 0;
  };

  static std::optional<StoredDocument> Decode(std::string_view aData)
  {
    Header header;
    if (aData.size() < sizeof(header)) {
      return std::nullopt;
    }
    std::memcpy(&header, aData.data(), sizeof(header));
    const std::string_view compressed = aData.substr(sizeof(header));
    StoredDocument document{ header.mVersion, std::string(header.mSize, '\0') };
    uLongf size = header.mSize;
    const int result = uncompress(reinterpret_cast<Bytef*>(document.mBytes.data()),
                                  &size,
                                  reinterpret_cast<const Bytef*>(compressed.data()),
                                  compressed.size());
    if (header.mSize > 0 && (result != Z_OK || size != header.mSize)) {
      return std::nullopt;
    }
    return document;
  }

  // Both a command and a snapshot. Returns whether it could be read.
  bool Take(std::string_view aData)
  {
    const auto document = Decode(aData);
    if (document && document->mVersion > mDocument.mVersion) {
      mDocument = *document;
      mEncoded = aData;
    }
    return document.has_value();
  }

  StoredDocument mDocument;
  std::string mEncoded;
};

// Version 7 of the text "seven seven seven", as the previous build wrote it to its log and its
// snapshots.
const std::string kPreviousBytes("\x07\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0"
                                 "\x78\x01\x2b\x4e\x2d\x4b\xcd\x53\x28\x46\x90\x00\x3b\xea\x06\xa4",
                                 32);

EvacuationReport
Committed(Revision aRevision, Names aDataCentres)
{
  return { { aRevision, std::move(aDataCentres) }, {}, true };
}

EvacuationReport
Uncommitted(Names aDataCentres, bool aCurrent = false)
{
  return { {}, std::move(aDataCentres), aCurrent };
}

UpstreamInfo
MakeUpstream(std::uint64_t aSequence, TimePoint aWarmupUntil)
{
  UpstreamInfo info;
  info.mId = "u";
  info.mIncarnation = 1;
  info.mSequence = aSequence;
  info.mService = "s";
  info.mAddress = { "10.0.0.1", 80 };
  info.mDataCentre = "a";
  info.mState = UpstreamState::Ready;
  info.mWarmupUntil = aWarmupUntil;
  return info;
}

int
Call(const SocketAddress& aAddress, const std::string& aMethod, const std::string& aPath)
{
  Loop loop;
  HttpClient client(loop, "", 1);
  ClientRequest request;
  request.mMethod = aMethod;
  request.mAddress = aAddress;
  request.mPath = aPath;
  request.mTimeout = seconds(3);
  int status = 0;
  client.Send(std::move(request), [&](const ClientReply& aReply) {
    status = aReply.mEnd == TransferEnd::Complete ? aReply.mStatus : 0;
    loop.Stop();
  });
  loop.Run();
  return status;
}

std::optional<rpc::FleetSyncReply>
Sync(const SocketAddress& aAddress)
{
  const auto stub = rpc::Fleet::NewStub(
    grpc::CreateChannel(FormatSocketAddress(aAddress), grpc::InsecureChannelCredentials()));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + seconds(1));
  rpc::FleetSyncRequest request;
  request.mutable_self()->set_ip("127.0.0.1");
  request.mutable_self()->set_public_address("127.0.0.1:1");
  rpc::FleetSyncReply reply;
  return stub->Sync(&context, request, &reply).ok() ? std::optional(reply) : std::nullopt;
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  constexpr Duration kFormationTime = seconds(30);
  for (const TimePoint end = SteadyNow() + kFormationTime; SteadyNow() < end;) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return aCondition();
}

// Sends an order to all members until one acknowledges it. The others redirect to it.
void
Order(const CoordinatorGroup& aGroup, int aMembers, const std::string& aMethod)
{
  CPPUNIT_ASSERT(WaitUntil([&] {
    for (int member = 0; member < aMembers; ++member) {
      if (Call(aGroup.ControlAddress(member), aMethod, "/evacuated/b") == 200) {
        return true;
      }
    }
    return false;
  }));
}

// What a gateway that starts takes for evacuated after these replies.
Names
EvacuatedAfter(const std::vector<rpc::FleetSyncReply>& aReplies)
{
  EvacuationView view;
  for (std::size_t i = 0; i < aReplies.size(); ++i) {
    LearnEvacuations(view, std::to_string(i), EvacuationsOf(aReplies[i]), kStart);
  }
  return EvacuatedDataCentres(view);
}

// Sends of all gateways to one replica that warms up, in order. Each gateway sends as much as it
// may, after pauses of aPause.
std::vector<TimePoint>
PlayWarmup(std::size_t aGateways, double aRate, std::uint64_t aReplica, Duration aPause)
{
  constexpr Duration kStep = milliseconds(5);
  constexpr Duration kPlayTime = seconds(20);
  std::vector<ReplicaView> views(aGateways);
  std::vector<LimitDivision> divisions;
  for (std::size_t i = 0; i < aGateways; ++i) {
    divisions.push_back(
      { aGateways, HashToFraction(fmt::format("10.0.{}.1", i), fmt::format("i-{}", aReplica)) });
    views[i].mInfo = MakeUpstream(1, kStart + seconds(60));
    UpdateWarmup(views[i], aRate, divisions[i], kStart);
  }
  std::vector<TimePoint> sends;
  TimePoint sendFrom = kStart + aPause;
  for (TimePoint now = kStart; now < kStart + kPlayTime; now += kStep) {
    if (now >= sendFrom + seconds(1)) {
      sendFrom = now + aPause;
    }
    for (std::size_t i = 0; i < aGateways; ++i) {
      if (now >= sendFrom && TakesRequest(views[i], now)) {
        CountRequest(views[i].mRequestLimit, now);
        sends.push_back(now);
        // A reply that names no limit must not lift that of the warm-up.
        ApplySignals(views[i], {}, divisions[i], now);
      }
    }
  }
  return sends;
}

std::size_t
MostInASecond(const std::vector<TimePoint>& aSends)
{
  std::size_t most = 0;
  for (auto first = aSends.begin(); first != aSends.end(); ++first) {
    const auto last = std::lower_bound(first, aSends.end(), *first + seconds(1));
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

// Three coordinators and two gateways as processes, and two replicas of one service in this one,
// one of them in the data centre b. Requests arrive all the time.
class EvacuatedFleet
{
public:
  explicit EvacuatedFleet(milliseconds aWarmup = {})
    : mWarmup(aWarmup)
    , mFolder(std::filesystem::temp_directory_path() / ("apricot-evacuation-" + TestIp(1)))
    , mCoordinators(kFirstCoordinator, kMembers, 1)
  {
    std::filesystem::create_directories(mFolder);
    for (const std::string dataCentre : { "a", "b" }) {
      const SocketAddress address{ TestIp(kReplicaHost),
                                   static_cast<std::uint16_t>(kFirstPort + mServers.size()) };
      auto server = HttpServer::Builder(mLoop, address)
                      .PreserveRawRequest()
                      .OnRequest([this, dataCentre](const HttpRequest& aRequest,
                                                    const HttpResponder& aRespond) {
                        mRuns[dataCentre].push_back(SteadyNow());
                        aRespond({ 200,
                                   "",
                                   "text/plain",
                                   { { "X-Id", std::string(aRequest.Header("x-id")) },
                                     { "X-Signature", "s" } } });
                      })
                      .Start();
      CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error().mMessage, server.has_value());
      mServers.push_back(*std::move(server));
      Every(milliseconds(400), [this, dataCentre, address] { Announce(dataCentre, address); });
    }
    StartGateways();
    Every(milliseconds(5), [this] { SendRequest(); });
  }
  ~EvacuatedFleet() { std::filesystem::remove_all(mFolder); }
  EvacuatedFleet(const EvacuatedFleet&) = delete;
  EvacuatedFleet& operator=(const EvacuatedFleet&) = delete;

  // Sends a call to all coordinators, one after the other, until one of them acknowledges it.
  void CallUntilAcknowledged(const std::string& aMethod,
                             const std::string& aPath,
                             const std::string& aBody = "")
  {
    bool acknowledged = false;
    const TimePoint end = SteadyNow() + seconds(30);
    for (int i = 0; !acknowledged && SteadyNow() < end; ++i) {
      ClientRequest request;
      request.mMethod = aMethod;
      request.mAddress = mCoordinators.ControlAddress(i % kMembers);
      request.mPath = aPath;
      request.mBody = aBody;
      mClient.Send(std::move(request), [&](const ClientReply& aReply) {
        acknowledged = aReply.mEnd == TransferEnd::Complete && aReply.mStatus == 200;
        mLoop.Stop();
      });
      mLoop.Run();
      RunFor(milliseconds(20));
    }
    CPPUNIT_ASSERT(acknowledged);
  }

  // Whether the replica of the data centre runs requests within the time.
  bool IsServedWithin(const std::string& aDataCentre, Duration aTime)
  {
    const TimePoint start = SteadyNow();
    while (RunsSince(aDataCentre, start) == 0 && SteadyNow() < start + aTime) {
      RunFor(milliseconds(50));
    }
    return RunsSince(aDataCentre, start) > 0;
  }

  const std::vector<TimePoint>& RunsOf(const std::string& aDataCentre)
  {
    return mRuns[aDataCentre];
  }

  std::size_t RunsSince(const std::string& aDataCentre, TimePoint aTime)
  {
    const std::vector<TimePoint>& runs = mRuns[aDataCentre];
    return static_cast<std::size_t>(runs.end() - std::upper_bound(runs.begin(), runs.end(), aTime));
  }

  // As a power loss on all hosts of the tier.
  void RestartAll()
  {
    mGateways.clear();
    for (int member = 0; member < kMembers; ++member) {
      mCoordinators.Kill(member);
    }
    for (int member = 0; member < kMembers; ++member) {
      mCoordinators.Start(member);
    }
    StartGateways();
  }

  void RunFor(Duration aTime)
  {
    mLoop.AddTimer(SteadyNow() + aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

private:
  static constexpr int kMembers = 3;
  static constexpr int kFirstCoordinator = 87;
  static constexpr int kFirstGateway = 91;
  static constexpr int kGateways = 2;
  static constexpr int kReplicaHost = 93;
  static constexpr std::uint16_t kFirstPort = 7940;

  void StartGateways()
  {
    std::vector<std::string> seeds;
    for (int member = 0; member < kMembers; ++member) {
      seeds.push_back(mCoordinators.Ip(member));
    }
    for (int i = 0; i < kGateways; ++i) {
      mGateways.push_back(std::make_unique<ChildProcess>(
        GatewayArguments(TestIp(kFirstGateway + i), seeds), mFolder / fmt::format("{}.log", i)));
    }
  }

  void Every(Duration aPause, std::function<void()> aTask)
  {
    mLoop.AddTimer(SteadyNow() + aPause, [this, aPause, task = std::move(aTask)] {
      task();
      Every(aPause, task);
    });
  }

  void Announce(const std::string& aDataCentre, const SocketAddress& aAddress)
  {
    ClientRequest request;
    request.mMethod = "PUT";
    request.mAddress = mCoordinators.ControlAddress(static_cast<int>(++mSequence % kMembers));
    request.mPath =
      fmt::format("/upstreams/u-{0}?sequence={1}&address={2}&data_centre={0}&warmup={3}",
                  aDataCentre,
                  mSequence,
                  FormatSocketAddress(aAddress),
                  mWarmup.count());
    mClient.Send(std::move(request), [](const ClientReply&) {});
  }

  void SendRequest()
  {
    ClientRequest request;
    request.mMethod = "GET";
    request.mAddress = { TestIp(kFirstGateway + static_cast<int>(++mRequests % kGateways)),
                         kCallerPort };
    request.mPath = "/";
    request.mForwarded = true;
    request.mHeaders = { { "Host", "h" }, { "X-Id", fmt::format("r-{}", mRequests) } };
    mClient.Send(std::move(request), [](const ClientReply&) {});
  }

  const milliseconds mWarmup;
  const std::filesystem::path mFolder;
  CoordinatorGroup mCoordinators;
  std::vector<std::unique_ptr<ChildProcess>> mGateways;
  Loop mLoop;
  HttpClient mClient{ mLoop, "", 0 };
  std::vector<std::unique_ptr<HttpServer>> mServers;
  // When the replica of each data centre began to run requests.
  std::map<std::string, std::vector<TimePoint>> mRuns;
  std::uint64_t mSequence = 0;
  std::uint64_t mRequests = 0;
};

} // namespace

class EvacuationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(OrdersAreIdempotent);
  CPPUNIT_TEST(OrderBeyondTheLimitChangesNothing);
  CPPUNIT_TEST(SnapshotHoldsOrders);
  CPPUNIT_TEST(SnapshotWithoutDocumentHoldsOrders);
  CPPUNIT_TEST(OlderSnapshotTakesNothingBack);
  CPPUNIT_TEST(PreviousBuildIgnoresOrders);
  CPPUNIT_TEST(PreviousBuildReadsSnapshots);
  CPPUNIT_TEST(BytesOfThePreviousBuildAreRead);
  CPPUNIT_TEST(DamagedOrdersAndListsAreRejected);
  CPPUNIT_TEST(GatewayKeepsTheHighestRevision);
  CPPUNIT_TEST(GatewayHeedsOrdersThatMayBeAcknowledged);
  CPPUNIT_TEST(ReplyOfThePreviousBuildChangesNothing);
  CPPUNIT_TEST(AcknowledgedOrderSurvivesRestartOfAllCoordinators);
  CPPUNIT_TEST(AcknowledgedOrderIsKnownWithoutLeader);
  CPPUNIT_TEST(LaggingMemberIsNotCurrentBeforeItHasTheOrder);
  CPPUNIT_TEST(StateOfAnEarlierTermIsNotCurrent);
  CPPUNIT_TEST(NoRequestReachesAnEvacuatedReplica);
  CPPUNIT_TEST(DataCentreReturnsWarmingUp);
  CPPUNIT_TEST(AcknowledgedOrderSurvivesReplacementOfTheLeader);
  CPPUNIT_TEST(MemberWithoutLeaderRefusesOrders);
  CPPUNIT_TEST(WarmupTravelsWithRecords);
  CPPUNIT_TEST(WarmupMayStartLater);
  CPPUNIT_TEST(WarmupOfCoordinatorReachesGateways);
  CPPUNIT_TEST(LowerLimitHoldsDuringWarmup);
  CPPUNIT_TEST(RateOfZeroLimitsNothing);
  CPPUNIT_TEST(GatewaysTogetherKeepToTheWarmupRate);
  CPPUNIT_TEST_SUITE_END();

public:
  void OrdersAreIdempotent()
  {
    Evacuations list;
    CPPUNIT_ASSERT(ApplyOrder(list, { "b", false }, 4));
    CPPUNIT_ASSERT(!ApplyOrder(list, { "b", false }, 5));
    CPPUNIT_ASSERT(!ApplyOrder(list, { "c", true }, 6));
    CPPUNIT_ASSERT_EQUAL(Revision(4), list.mRevision);
    CPPUNIT_ASSERT(list.mDataCentres == Names{ "b" });
    CPPUNIT_ASSERT(ApplyOrder(list, { "b", true }, 7));
    CPPUNIT_ASSERT_EQUAL(Revision(7), list.mRevision);
    CPPUNIT_ASSERT(list.mDataCentres.empty());
  }

  void OrderBeyondTheLimitChangesNothing()
  {
    Evacuations list;
    for (std::size_t i = 0; i < kMaxEvacuated; ++i) {
      CPPUNIT_ASSERT(ApplyOrder(list, { std::to_string(i), false }, i + 1));
    }
    CPPUNIT_ASSERT(!ApplyOrder(list, { "one more", false }, 1000));
    CPPUNIT_ASSERT(ApplyOrder(list, { "0", true }, 1001));
    CPPUNIT_ASSERT(ApplyOrder(list, { "one more", false }, 1002));
  }

  void SnapshotHoldsOrders()
  {
    DocumentState first([] {});
    const StateMachine machine = first.MakeStateMachine();
    machine.mApply(1, EncodeDocument({ 4, "four" }));
    CPPUNIT_ASSERT_EQUAL(std::string("4"), machine.mApply(2, EncodeOrderCommand({ "b", false })));
    machine.mApply(3, EncodeOrderCommand({ "c", false }));
    machine.mApply(4, EncodeOrderCommand({ "b", true }));
    DocumentState second([] {});
    CPPUNIT_ASSERT(second.MakeStateMachine().mRestore(machine.mSnapshot()).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("four"), second.Current().mBytes);
    CPPUNIT_ASSERT_EQUAL(Revision(4), second.CurrentEvacuations().mRevision);
    CPPUNIT_ASSERT(second.CurrentEvacuations().mDataCentres == Names{ "c" });
    // Gateways get the document without what follows it, with the same hash at every coordinator.
    CPPUNIT_ASSERT(second.EncodedDocument() == first.EncodedDocument());
    CPPUNIT_ASSERT(second.MakeStateMachine().mSnapshot() == machine.mSnapshot());
    // A list that became empty must not be forgotten, or an older one would come back.
    machine.mApply(9, EncodeOrderCommand({ "c", true }));
    CPPUNIT_ASSERT(second.MakeStateMachine().mRestore(machine.mSnapshot()).has_value());
    CPPUNIT_ASSERT_EQUAL(Revision(9), second.CurrentEvacuations().mRevision);
    CPPUNIT_ASSERT(second.CurrentEvacuations().mDataCentres.empty());
  }

  void SnapshotWithoutDocumentHoldsOrders()
  {
    DocumentState first([] {});
    first.MakeStateMachine().mApply(3, EncodeOrderCommand({ "b", false }));
    const std::string snapshot = first.MakeStateMachine().mSnapshot();
    DocumentState second([] {});
    CPPUNIT_ASSERT(second.MakeStateMachine().mRestore(snapshot).has_value());
    CPPUNIT_ASSERT(second.CurrentEvacuations().mDataCentres == Names{ "b" });
    CPPUNIT_ASSERT(second.EncodedDocument().empty());
    PreviousBuild previous;
    CPPUNIT_ASSERT(previous.Take(snapshot));
    CPPUNIT_ASSERT_EQUAL(DocumentVersion(0), previous.mDocument.mVersion);
  }

  void OlderSnapshotTakesNothingBack()
  {
    DocumentState state([] {});
    const StateMachine machine = state.MakeStateMachine();
    machine.mApply(3, EncodeOrderCommand({ "b", false }));
    const std::string older = machine.mSnapshot();
    machine.mApply(5, EncodeOrderCommand({ "c", false }));
    CPPUNIT_ASSERT(machine.mRestore(older).has_value());
    CPPUNIT_ASSERT(machine.mRestore(kPreviousBytes).has_value());
    CPPUNIT_ASSERT(state.CurrentEvacuations().mDataCentres == (Names{ "b", "c" }));
    CPPUNIT_ASSERT_EQUAL(DocumentVersion(7), state.Current().mVersion);
  }

  void PreviousBuildIgnoresOrders()
  {
    PreviousBuild previous;
    CPPUNIT_ASSERT(previous.Take(kPreviousBytes));
    CPPUNIT_ASSERT(previous.Take(EncodeOrderCommand({ "b", false })));
    CPPUNIT_ASSERT(previous.Take(EncodeOrderCommand({ "b", true })));
    CPPUNIT_ASSERT_EQUAL(std::string("seven seven seven"), previous.mDocument.mBytes);
    // Nor does it offer the order of an uncommitted entry as a document.
    CPPUNIT_ASSERT_EQUAL(DocumentVersion(0),
                         PreviousBuild::Decode(EncodeOrderCommand({ "b", false }))->mVersion);
  }

  void PreviousBuildReadsSnapshots()
  {
    DocumentState state([] {});
    const StateMachine machine = state.MakeStateMachine();
    machine.mApply(1, kPreviousBytes);
    machine.mApply(2, EncodeOrderCommand({ "b", false }));
    PreviousBuild previous;
    CPPUNIT_ASSERT(previous.Take(machine.mSnapshot()));
    CPPUNIT_ASSERT_EQUAL(DocumentVersion(7), previous.mDocument.mVersion);
    CPPUNIT_ASSERT_EQUAL(std::string("seven seven seven"), previous.mDocument.mBytes);
    // It passes the bytes on as its own snapshot, and as the document to gateways.
    DocumentState later([] {});
    CPPUNIT_ASSERT(later.MakeStateMachine().mRestore(previous.mEncoded).has_value());
    CPPUNIT_ASSERT(later.CurrentEvacuations().mDataCentres == Names{ "b" });
    const auto atGateway = DecodeDocument(previous.mEncoded);
    CPPUNIT_ASSERT(atGateway && atGateway->mBytes == "seven seven seven");
  }

  void BytesOfThePreviousBuildAreRead()
  {
    DocumentState restored([] {});
    CPPUNIT_ASSERT(restored.MakeStateMachine().mRestore(kPreviousBytes).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("seven seven seven"), restored.Current().mBytes);
    CPPUNIT_ASSERT_EQUAL(Revision(0), restored.CurrentEvacuations().mRevision);
    // Without an order, this build writes what the previous one wrote.
    CPPUNIT_ASSERT(restored.MakeStateMachine().mSnapshot() == kPreviousBytes);
    DocumentState applied([] {});
    CPPUNIT_ASSERT_EQUAL(std::string("7"), applied.MakeStateMachine().mApply(1, kPreviousBytes));
    CPPUNIT_ASSERT(EvacuationsBegunBy(std::vector{ kPreviousBytes }).empty());
  }

  void DamagedOrdersAndListsAreRejected()
  {
    const std::string order = EncodeOrderCommand({ "b", false });
    DocumentState state([] {});
    const StateMachine machine = state.MakeStateMachine();
    for (std::size_t length = 0; length < order.size(); ++length) {
      machine.mApply(1, order.substr(0, length));
    }
    machine.mApply(1, EncodeDocument({ 0, "neither" }));
    CPPUNIT_ASSERT_EQUAL(Revision(0), state.CurrentEvacuations().mRevision);
    machine.mApply(2, kPreviousBytes);
    machine.mApply(3, order);
    const std::string snapshot = machine.mSnapshot();
    for (std::size_t length = 1; length < snapshot.size(); ++length) {
      // Without the whole list, the snapshot is one of the previous build.
      const bool complete = length == kPreviousBytes.size();
      CPPUNIT_ASSERT_EQUAL(
        complete,
        DocumentState([] {}).MakeStateMachine().mRestore(snapshot.substr(0, length)).has_value());
    }
  }

  void GatewayKeepsTheHighestRevision()
  {
    EvacuationView view;
    CPPUNIT_ASSERT(LearnEvacuations(view, "c1", Committed(5, { "b" }), kStart));
    CPPUNIT_ASSERT(!LearnEvacuations(view, "c2", Committed(3, { "a" }), kStart));
    CPPUNIT_ASSERT(!LearnEvacuations(view, "c3", Committed(0, {}), kStart));
    CPPUNIT_ASSERT(EvacuatedDataCentres(view) == Names{ "b" });
    CPPUNIT_ASSERT(LearnEvacuations(view, "c2", Committed(8, {}), kStart));
    CPPUNIT_ASSERT(EvacuatedDataCentres(view).empty());
  }

  void GatewayHeedsOrdersThatMayBeAcknowledged()
  {
    EvacuationView view;
    CPPUNIT_ASSERT(LearnEvacuations(view, "c1", Uncommitted({ "b" }), kStart));
    // The others do not have it.
    LearnEvacuations(view, "c2", Committed(0, {}), kStart + seconds(1));
    CPPUNIT_ASSERT(EvacuatedDataCentres(view) == Names{ "b" });
    // A silent coordinator is not forgotten while there is no leader.
    const TimePoint later = kStart + kUncommittedOrderLifetime + seconds(1);
    LearnEvacuations(view, "c2", Uncommitted({}), later);
    CPPUNIT_ASSERT(EvacuatedDataCentres(view) == Names{ "b" });
    CPPUNIT_ASSERT(LearnEvacuations(view, "c2", Committed(0, {}), later));
    CPPUNIT_ASSERT(EvacuatedDataCentres(view).empty());
    // Once committed, it stays without the report.
    LearnEvacuations(view, "c1", Uncommitted({ "b" }), later);
    CPPUNIT_ASSERT(!LearnEvacuations(view, "c1", Committed(9, { "b" }), later));
    CPPUNIT_ASSERT(EvacuatedDataCentres(view) == Names{ "b" });
    // An order that was replaced in the log ends with the next reply.
    LearnEvacuations(view, "c2", Uncommitted({ "c" }), later);
    CPPUNIT_ASSERT(LearnEvacuations(view, "c2", Committed(9, { "b" }), later));
    CPPUNIT_ASSERT(EvacuatedDataCentres(view) == Names{ "b" });
  }

  void ReplyOfThePreviousBuildChangesNothing()
  {
    EvacuationView view;
    LearnEvacuations(view, "c1", Committed(5, { "b" }), kStart);
    rpc::FleetSyncReply reply;
    reply.set_current(true);
    CPPUNIT_ASSERT(!LearnEvacuations(view, "c2", EvacuationsOf(reply), kStart));
    CPPUNIT_ASSERT(EvacuatedDataCentres(view) == Names{ "b" });
  }

  // As after a power loss. No gateway that starts meanwhile may use the data centre, whether it
  // hears one member in contact with its group or a majority of the voters.
  void AcknowledgedOrderSurvivesRestartOfAllCoordinators()
  {
    constexpr int kMembers = 3;
    CoordinatorGroup group(71, kMembers, 1);
    Order(group, kMembers, "POST");
    for (int member = 0; member < kMembers; ++member) {
      group.Kill(member);
    }
    for (int member = 0; member < kMembers; ++member) {
      group.Start(member);
    }
    int currentReplies = 0;
    CPPUNIT_ASSERT(WaitUntil([&] {
      std::vector<rpc::FleetSyncReply> replies;
      for (int member = 0; member < kMembers; ++member) {
        const auto reply = Sync(group.RpcAddress(member));
        if (reply && reply->current()) {
          ++currentReplies;
          CPPUNIT_ASSERT(EvacuatedAfter({ *reply }) == Names{ "b" });
        }
        if (reply && reply->voters() > 0) {
          replies.push_back(*reply);
        }
      }
      if (replies.size() > kMembers / 2) {
        CPPUNIT_ASSERT(EvacuatedAfter(replies) == Names{ "b" });
      }
      return currentReplies >= 3 * kMembers;
    }));
    // Repeated orders are acknowledged, and an order that ends the evacuation as well.
    Order(group, kMembers, "POST");
    Order(group, kMembers, "DELETE");
    Order(group, kMembers, "DELETE");
    CPPUNIT_ASSERT(WaitUntil([&] {
      for (int member = 0; member < kMembers; ++member) {
        const auto reply = Sync(group.RpcAddress(member));
        if (!reply || !EvacuatedAfter({ *reply }).empty()) {
          return false;
        }
      }
      return true;
    }));
  }

  // No member knows after a power loss which entries are committed, and here none can find out.
  void AcknowledgedOrderIsKnownWithoutLeader()
  {
    constexpr int kMembers = 3;
    CoordinatorGroup group(95, kMembers, 1);
    Order(group, kMembers, "POST");
    for (int member = 0; member < kMembers; ++member) {
      CPPUNIT_ASSERT(WaitUntil([&] {
        const auto reply = Sync(group.RpcAddress(member));
        return reply && reply->evacuated_size() == 1;
      }));
    }
    for (int member = 0; member < kMembers; ++member) {
      group.Kill(member);
    }
    group.Start(0);
    std::optional<rpc::FleetSyncReply> reply;
    CPPUNIT_ASSERT(WaitUntil([&] {
      reply = Sync(group.RpcAddress(0));
      return reply.has_value();
    }));
    CPPUNIT_ASSERT(!reply->current());
    CPPUNIT_ASSERT(EvacuatedAfter({ *reply }) == Names{ "b" });
  }

  // The member was away when the order was committed.
  void LaggingMemberIsNotCurrentBeforeItHasTheOrder()
  {
    constexpr int kMembers = 3;
    CoordinatorGroup group(98, kMembers, 1);
    Order(group, kMembers, "DELETE");
    group.Kill(2);
    Order(group, 2, "POST");
    group.Kill(0);
    group.Kill(1);
    for (int member = 0; member < kMembers; ++member) {
      group.Start(member);
    }
    int currentReplies = 0;
    CPPUNIT_ASSERT(WaitUntil([&] {
      const auto reply = Sync(group.RpcAddress(2));
      if (reply && reply->current()) {
        ++currentReplies;
        CPPUNIT_ASSERT(EvacuatedAfter({ *reply }) == Names{ "b" });
      }
      return currentReplies >= kMembers;
    }));
  }

  // Guards against a starting gateway that adopts the state of a member which hears the leader but
  // lacks an acknowledged order or document. Between processes this lasts only milliseconds.
  void StateOfAnEarlierTermIsNotCurrent()
  {
    LogStatus status;
    status.mTerm = 3;
    status.mAppliedTerm = 3;
    CPPUNIT_ASSERT(!IsStateCurrent(status));
    status.mLeader = "c1";
    CPPUNIT_ASSERT(IsStateCurrent(status));
    status.mAppliedTerm = 2;
    CPPUNIT_ASSERT(!IsStateCurrent(status));
    status.mLeading = true;
    CPPUNIT_ASSERT(!IsStateCurrent(status));
  }

  // With processes of all kinds: gateways learn of the order in time, and again after a power loss.
  // The replica goes on announcing itself.
  void NoRequestReachesAnEvacuatedReplica()
  {
    constexpr Duration kTimeToEvacuate = seconds(5);
    EvacuatedFleet fleet;
    fleet.CallUntilAcknowledged("PUT", "/document", "1 one s");
    // Most requests stay in the data centre a of the gateways.
    CPPUNIT_ASSERT(fleet.IsServedWithin("a", seconds(30)));
    fleet.CallUntilAcknowledged("POST", "/evacuated/a");
    const TimePoint evacuatedAt = SteadyNow();
    CPPUNIT_ASSERT(fleet.IsServedWithin("b", seconds(10)));
    fleet.RunFor(evacuatedAt + kTimeToEvacuate - SteadyNow());
    fleet.RestartAll();
    CPPUNIT_ASSERT(fleet.IsServedWithin("b", seconds(30)));
    fleet.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.RunsSince("a", evacuatedAt + kTimeToEvacuate));
    fleet.CallUntilAcknowledged("DELETE", "/evacuated/a");
    CPPUNIT_ASSERT(fleet.IsServedWithin("a", seconds(30)));
  }

  // With processes of all kinds: the announced warm-up must reach the limits of the gateways.
  // Callers send 200 requests a second.
  void DataCentreReturnsWarmingUp()
  {
    constexpr double kRate = 4;
    EvacuatedFleet fleet{ milliseconds(600'000) };
    fleet.CallUntilAcknowledged("POST", "/evacuated/a");
    fleet.CallUntilAcknowledged("PUT", "/document", fmt::format("1 one s:{}", kRate));
    CPPUNIT_ASSERT(fleet.IsServedWithin("b", seconds(30)));
    CPPUNIT_ASSERT(fleet.RunsOf("a").empty());
    fleet.CallUntilAcknowledged("DELETE", "/evacuated/a");
    CPPUNIT_ASSERT(fleet.IsServedWithin("a", seconds(10)));
    fleet.RunFor(seconds(4));
    for (const std::string dataCentre : { "a", "b" }) {
      const std::size_t most = MostInASecond(fleet.RunsOf(dataCentre));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(most), static_cast<double>(most) <= kRate * 1.5 + 5);
      CPPUNIT_ASSERT(fleet.RunsOf(dataCentre).size() >= 4);
    }
  }

  void AcknowledgedOrderSurvivesReplacementOfTheLeader()
  {
    constexpr int kMembers = 3;
    CoordinatorGroup group(75, kMembers, 1);
    Order(group, kMembers, "POST");
    int leader = -1;
    for (int member = 0; member < kMembers; ++member) {
      const int status = Call(group.ControlAddress(member), "POST", "/evacuated/b");
      CPPUNIT_ASSERT(status == 200 || status == 307);
      leader = status == 200 ? member : leader;
    }
    CPPUNIT_ASSERT(leader >= 0);
    group.Kill(leader);
    const int other = (leader + 1) % kMembers;
    CPPUNIT_ASSERT(WaitUntil([&] {
      const auto reply = Sync(group.RpcAddress(other));
      CPPUNIT_ASSERT(!reply || EvacuatedAfter({ *reply }) == Names{ "b" });
      return reply && reply->current() && reply->evacuated_size() == 1;
    }));
    Order(group, kMembers, "DELETE");
  }

  void MemberWithoutLeaderRefusesOrders()
  {
    CoordinatorGroup group(79, 3, 1);
    Order(group, 3, "POST");
    group.Kill(1);
    group.Kill(2);
    CPPUNIT_ASSERT(
      WaitUntil([&] { return Call(group.ControlAddress(0), "DELETE", "/evacuated/b") == 503; }));
    // Neither does it forget the order.
    const auto reply = Sync(group.RpcAddress(0));
    CPPUNIT_ASSERT(reply && EvacuatedAfter({ *reply }) == Names{ "b" });
  }

  void WarmupTravelsWithRecords()
  {
    DirectoryRecord record;
    record.mInfo = MakeUpstream(1, kStart + milliseconds(2500));
    rpc::Record message;
    SetWarmup(record.mInfo, kStart + milliseconds(1000), message);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1500), message.warming_ms());
    // The clocks of two hosts differ.
    const TimePoint received{ seconds(5) };
    CPPUNIT_ASSERT(WarmupUntil(message, received) == received + milliseconds(1500));
    SetWarmup(record.mInfo, kStart + seconds(9), message);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), message.warming_ms());
    CPPUNIT_ASSERT(WarmupUntil(message, received) <= received);
    message.set_warming_ms(~std::uint64_t(0));
    CPPUNIT_ASSERT(WarmupUntil(message, received) > received);
  }

  void WarmupMayStartLater()
  {
    Directory directory;
    directory.mHost = "c1";
    const auto announce = [&directory](std::uint64_t aSequence, TimePoint aUntil, TimePoint aNow) {
      return ApplyAnnouncement(directory, MakeUpstream(aSequence, aUntil), aNow);
    };
    CPPUNIT_ASSERT(announce(1, kStart, kStart) == AnnounceOutcome::Changed);
    CPPUNIT_ASSERT(announce(2, kStart + seconds(2), kStart + seconds(2)) ==
                   AnnounceOutcome::Renewed);
    // It starts to warm up.
    TakeChanges(directory);
    CPPUNIT_ASSERT(announce(3, kStart + seconds(20), kStart + seconds(4)) ==
                   AnnounceOutcome::Changed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), TakeChanges(directory).size());
    const DirectoryRecord sent = directory.mRecords.at("u");
    // Differences in transit are no change, nor is the end at its time.
    CPPUNIT_ASSERT(announce(4, kStart + milliseconds(20'300), kStart + seconds(6)) ==
                   AnnounceOutcome::Renewed);
    CPPUNIT_ASSERT(announce(5, kStart + seconds(21), kStart + seconds(21)) ==
                   AnnounceOutcome::Renewed);
    // A host that has the earlier record learns of the warm-up.
    Directory gateway;
    gateway.mHost = "g1";
    DirectoryRecord earlier = sent;
    earlier.mInfo = MakeUpstream(1, TimePoint());
    ApplyRecord(gateway, earlier, {}, kStart);
    CPPUNIT_ASSERT(ApplyRecord(gateway, sent, {}, kStart + seconds(4)) == AnnounceOutcome::Changed);
    CPPUNIT_ASSERT(ListUpstreams(gateway).front().mWarmupUntil == kStart + seconds(20));
    // The same record by way of a coordinator of the previous build changes nothing.
    DirectoryRecord stripped = sent;
    stripped.mInfo.mWarmupUntil = {};
    CPPUNIT_ASSERT(ApplyRecord(gateway, stripped, {}, kStart + seconds(5)) ==
                   AnnounceOutcome::Stale);
    CPPUNIT_ASSERT(ListUpstreams(gateway).front().mWarmupUntil == kStart + seconds(20));
    Directory other;
    other.mHost = "g2";
    ApplyRecord(other, stripped, {}, kStart + seconds(5));
    CPPUNIT_ASSERT(ApplyRecord(other, sent, {}, kStart + seconds(5)) == AnnounceOutcome::Changed);
    CPPUNIT_ASSERT(ListUpstreams(other).front().mWarmupUntil == kStart + seconds(20));
  }

  void WarmupOfCoordinatorReachesGateways()
  {
    CoordinatorGroup group(83, 1, 0);
    const auto announce = [&group](int aSequence, const std::string& aWarmup) {
      return Call(group.ControlAddress(0),
                  "PUT",
                  fmt::format("/upstreams/u?sequence={}&warmup={}", aSequence, aWarmup));
    };
    CPPUNIT_ASSERT(WaitUntil([&] { return announce(1, "0") == 200; }));
    const auto left = [&group]() -> std::uint64_t {
      const auto reply = Sync(group.RpcAddress(0));
      return reply && reply->records_size() == 1 ? reply->records(0).warming_ms() : 0;
    };
    CPPUNIT_ASSERT_EQUAL(200, announce(2, "60000"));
    CPPUNIT_ASSERT(WaitUntil([&] { return left() > 50'000 && left() <= 60'000; }));
    // The file of the coordinator keeps it.
    std::this_thread::sleep_for(milliseconds(1500));
    group.Kill(0);
    group.Start(0);
    CPPUNIT_ASSERT(WaitUntil([&] { return left() > 50'000 && left() <= 60'000; }));
  }

  void LowerLimitHoldsDuringWarmup()
  {
    ReplicaView replica;
    replica.mInfo = MakeUpstream(1, kStart + seconds(10));
    CPPUNIT_ASSERT(UpdateWarmup(replica, 40, {}, kStart));
    CPPUNIT_ASSERT_EQUAL(40 * kWarmupUse, replica.mRequestLimit.mTotal.value_or(-1));
    CPPUNIT_ASSERT(!TakesRequest(replica, kStart));
    UpstreamSignals signals;
    signals.mRequestLimit = 7;
    ApplySignals(replica, signals, {}, kStart);
    CPPUNIT_ASSERT_EQUAL(7.0, replica.mRequestLimit.mTotal.value_or(-1));
    signals.mRequestLimit = 100;
    ApplySignals(replica, signals, {}, kStart);
    CPPUNIT_ASSERT_EQUAL(40 * kWarmupUse, replica.mRequestLimit.mTotal.value_or(-1));
    CPPUNIT_ASSERT(!UpdateWarmup(replica, 40, {}, kStart + seconds(9)));
    // After the warm-up the limit that it named holds again.
    CPPUNIT_ASSERT(UpdateWarmup(replica, 40, {}, kStart + seconds(10)));
    CPPUNIT_ASSERT_EQUAL(100.0, replica.mRequestLimit.mTotal.value_or(-1));
    ApplySignals(replica, {}, {}, kStart + seconds(11));
    CPPUNIT_ASSERT(TakesRequest(replica, kStart + seconds(11)));
  }

  void RateOfZeroLimitsNothing()
  {
    ReplicaView replica;
    replica.mInfo = MakeUpstream(1, kStart + seconds(10));
    CPPUNIT_ASSERT(!UpdateWarmup(replica, 0, {}, kStart));
    CPPUNIT_ASSERT(!replica.mRequestLimit.mTotal);
    UpstreamSignals signals;
    signals.mRequestLimit = 7;
    ApplySignals(replica, signals, {}, kStart);
    const RequestLimit before = replica.mRequestLimit;
    CPPUNIT_ASSERT(!UpdateWarmup(replica, 0, {}, kStart + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(7.0, replica.mRequestLimit.mTotal.value_or(-1));
    CPPUNIT_ASSERT(before.mRefilledAt == replica.mRequestLimit.mRefilledAt);
  }

  // Continuous demand, and demand after pauses in which every gateway saves a burst.
  void GatewaysTogetherKeepToTheWarmupRate()
  {
    for (const std::size_t gateways : { 1, 6, 62, 96, 300 }) {
      for (const double rate : { 1.0, 5.0, 20.0, 60.0, 100.0, 130.0, 400.0 }) {
        for (const Duration pause : { Duration::zero(), Duration(seconds(3)) }) {
          for (std::uint64_t replica = 0; replica < 4; ++replica) {
            const std::size_t most = MostInASecond(PlayWarmup(gateways, rate, replica, pause));
            CPPUNIT_ASSERT_MESSAGE(
              fmt::format("{} gateways, rate {}, most {}", gateways, rate, most),
              static_cast<double>(most) <= rate * 1.5 + 5);
          }
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);
