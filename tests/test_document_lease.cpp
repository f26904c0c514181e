// Guards against revoked keys that are accepted by a gateway whose document may be outdated: after
// a suspension, a restart, with coordinators that have lost their group or that run an earlier
// build, and with a document that is not the newest.
#include "caller_identity.h"
#include "coordinator_process.h"
#include "document_lease.h"
#include "document_state.h"
#include "fleet.grpc.pb.h"
#include "fleet_messages.h"
#include "gateway.h"
#include "gateway_process.h"
#include "http_client.h"
#include "process_protocol.h"
#include "simulated_suspension.h"
#include "test_address.h"

#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <grpcpp/grpcpp.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };
constexpr Duration kLimit = seconds(5);
constexpr Duration kPollPause = milliseconds(20);
constexpr Duration kFormationTime = seconds(30);
// Several calls of a gateway.
constexpr Duration kSeveralCalls = milliseconds(1500);
const DocumentIdentity kFive{ 5, true, 55 };
// In milliseconds; greater than any age that a test accepts.
constexpr std::uint32_t kNoAge = 60'000;

bool
WaitUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  for (const TimePoint end = SteadyNow() + aLimit; SteadyNow() < end;) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollPause);
  }
  return aCondition();
}

ClientReply
SendHttp(const SocketAddress& aAddress,
         const std::string& aMethod,
         const std::string& aPath,
         const std::string& aBody = "",
         const std::string& aKey = "")
{
  Loop loop;
  HttpClient client(loop, "", 1);
  ClientRequest request;
  request.mMethod = aMethod;
  request.mAddress = aAddress;
  request.mPath = aPath;
  request.mBody = aBody;
  request.mForwarded = true;
  request.mHeaders = { { "Host", "h" }, { "X-Id", "id-1" } };
  if (!aKey.empty()) {
    request.mHeaders.push_back({ "X-Key", aKey });
  }
  ClientReply reply;
  client.Send(std::move(request), [&](ClientReply aReply) {
    reply = std::move(aReply);
    loop.Stop();
  });
  loop.Run();
  return reply;
}

// A coordinator whose document and reads the test sets.
class ScriptedCoordinator final : public rpc::Fleet::Service
{
public:
  explicit ScriptedCoordinator(const std::string& aIp)
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(FormatSocketAddress({ aIp, kRpcPort }),
                             grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    mServer = builder.BuildAndStart();
    CPPUNIT_ASSERT(mServer != nullptr);
  }

  grpc::Status Sync(grpc::ServerContext* /*aContext*/,
                    const rpc::FleetSyncRequest* aRequest,
                    rpc::FleetSyncReply* aReply) override
  {
    const absl::MutexLock lock(&mMutex);
    ++mCalls;
    mAsked = aRequest->wants_read_age();
    aReply->mutable_self()->set_data_centre("a");
    aReply->mutable_self()->set_incarnation(1);
    aReply->set_current(true);
    aReply->set_document_version(mDocument.mVersion);
    const std::string encoded = EncodeDocument(mDocument);
    aReply->set_document_digest(DocumentDigest(encoded));
    if (mSendsDocument && aRequest->wants_document()) {
      aReply->set_document(encoded);
    }
    if (mReadAge) {
      aReply->set_read_age_ms(*mReadAge);
    }
    return grpc::Status::OK;
  }

  void SetReadAge(std::optional<std::uint32_t> aMillis)
  {
    const absl::MutexLock lock(&mMutex);
    mReadAge = aMillis;
  }

  void SetDocument(StoredDocument aDocument, bool aSends)
  {
    const absl::MutexLock lock(&mMutex);
    mDocument = std::move(aDocument);
    mSendsDocument = aSends;
  }

  int Calls() const
  {
    const absl::MutexLock lock(&mMutex);
    return mCalls;
  }

  // Whether the last call asked for the age of the read.
  bool WasAsked() const
  {
    const absl::MutexLock lock(&mMutex);
    return mAsked;
  }

private:
  mutable absl::Mutex mMutex;
  std::optional<std::uint32_t> mReadAge;
  StoredDocument mDocument{ 1, "1 one s workspace=w:k" };
  bool mSendsDocument = true;
  int mCalls = 0;
  bool mAsked = false;
  std::unique_ptr<grpc::Server> mServer;
};

// A gateway process that knows one coordinator and no replica.
class GatewayRig
{
public:
  GatewayRig(int aHost, const std::string& aCoordinatorIp, std::optional<Duration> aLimit)
    : mIp(TestIp(aHost))
    , mArguments(GatewayArguments(mIp, { aCoordinatorIp }, aLimit))
  {
    Restart();
  }

  ~GatewayRig()
  {
    mProcess.reset();
    std::filesystem::remove(mLog);
  }
  GatewayRig(const GatewayRig&) = delete;
  GatewayRig& operator=(const GatewayRig&) = delete;

  void Restart()
  {
    mProcess.reset();
    mProcess = std::make_unique<ChildProcess>(mArguments, mLog);
  }

  // What the gateway makes of a key: "accepted" if it only lacks a replica.
  std::string Verdict(const std::string& aKey) const
  {
    const ClientReply reply = SendHttp({ mIp, kCallerPort }, "GET", "/", "", aKey);
    const auto hasCode = [&reply](int aCode) {
      return reply.mBody.find(fmt::format("\"code\":{},", aCode)) != std::string::npos;
    };
    if (reply.mStatus == 503 && hasCode(static_cast<int>(Result::NoReplica))) {
      return "accepted";
    }
    if (reply.mStatus == 503 && hasCode(static_cast<int>(Result::NoLease))) {
      return "no lease";
    }
    return reply.mStatus == 401 ? "denied" : fmt::format("{} {}", reply.mStatus, reply.mBody);
  }

  bool Becomes(const std::string& aVerdict, const std::string& aKey, Duration aLimit) const
  {
    return WaitUntil([&] { return Verdict(aKey) == aVerdict; }, aLimit);
  }

private:
  const std::string mIp;
  const std::vector<std::string> mArguments;
  const std::filesystem::path mLog =
    std::filesystem::temp_directory_path() / ("apricot-gateway-" + mIp + ".log");
  std::unique_ptr<ChildProcess> mProcess;
};

// Returns the age that a coordinator reports to a gateway, or nothing.
std::optional<std::uint32_t>
FetchReadAge(const SocketAddress& aCoordinator, bool aAsks)
{
  const auto stub = rpc::Fleet::NewStub(
    grpc::CreateChannel(FormatSocketAddress(aCoordinator), grpc::InsecureChannelCredentials()));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + seconds(1));
  rpc::FleetSyncRequest request;
  request.mutable_self()->set_ip("127.0.0.1");
  request.mutable_self()->set_public_address("127.0.0.1:1");
  request.set_wants_read_age(aAsks);
  rpc::FleetSyncReply reply;
  const bool answered = stub->Sync(&context, request, &reply).ok();
  return answered && reply.has_read_age_ms() ? std::optional(reply.read_age_ms()) : std::nullopt;
}

// Decodes aBytes by the message type aType of the schema without the fields of the lease, encodes
// the message again without what that schema does not know, and returns the bytes.
std::string
PassThroughEarlierBuild(const std::string& aBytes, const google::protobuf::Descriptor& aType)
{
  google::protobuf::DescriptorPool pool;
  google::protobuf::FileDescriptorProto imported;
  aType.file()->dependency(0)->CopyTo(&imported);
  google::protobuf::FileDescriptorProto file;
  aType.file()->CopyTo(&file);
  int removed = 0;
  for (google::protobuf::DescriptorProto& type : *file.mutable_message_type()) {
    for (int i = type.field_size() - 1; i >= 0; --i) {
      if (type.field(i).name() == "wants_read_age" || type.field(i).name() == "read_age_ms") {
        // The number of the synthetic group of an optional field refers to the list of groups.
        if (type.field(i).has_oneof_index()) {
          type.mutable_oneof_decl()->DeleteSubrange(type.field(i).oneof_index(), 1);
        }
        type.mutable_field()->DeleteSubrange(i, 1);
        ++removed;
      }
    }
  }
  CPPUNIT_ASSERT_EQUAL(2, removed);
  for (int i = 0; i < imported.dependency_size(); ++i) {
    CPPUNIT_FAIL("the imported file imports others");
  }
  CPPUNIT_ASSERT(pool.BuildFile(imported) != nullptr);
  CPPUNIT_ASSERT(pool.BuildFile(file) != nullptr);
  google::protobuf::DynamicMessageFactory factory(&pool);
  const std::unique_ptr<google::protobuf::Message> message(
    factory.GetPrototype(pool.FindMessageTypeByName(std::string(aType.full_name())))->New());
  CPPUNIT_ASSERT(message->ParseFromString(aBytes));
  message->DiscardUnknownFields();
  return message->SerializeAsString();
}

} // namespace

class DocumentLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DocumentLeaseTest);
  CPPUNIT_TEST(LeaseEndsBeforeTheLimit);
  CPPUNIT_TEST(NoLimitNeedsNoLease);
  CPPUNIT_TEST(LeaseOutlastsSixTenthsOfTheLimit);
  CPPUNIT_TEST(OnlyTheNewestCommittedDocumentRenews);
  CPPUNIT_TEST(LateRepliesShortenNoLease);
  CPPUNIT_TEST(AgeIsRoundedUpAndGrowsWithoutReads);
  CPPUNIT_TEST(CoordinatorReadsWhileAsked);
  CPPUNIT_TEST(SuspensionAgesReadsAndLeases);
  CPPUNIT_TEST(EarlierBuildsAcceptTheMessages);
  CPPUNIT_TEST(SettingIsOptionalAndChecked);
  CPPUNIT_TEST(CoordinatorWithoutGroupConfirmsNothing);
  CPPUNIT_TEST(GatewayJudgesKeysOnlyWithLease);
  CPPUNIT_TEST(RestartedGatewayHasNoLease);
  CPPUNIT_TEST(GatewayThatLacksTheNewestDocumentGetsNoLease);
  CPPUNIT_TEST(GatewayAsksOnlyIfItNeedsALease);
  CPPUNIT_TEST_SUITE_END();

public:
  void LeaseEndsBeforeTheLimit()
  {
    DocumentLease lease{ kLimit, std::nullopt };
    CPPUNIT_ASSERT(!IsLeaseValid(lease, kStart));
    RenewLease(lease, kFive, kFive, 100, kStart);
    const TimePoint confirmedAt = kStart - milliseconds(100);
    CPPUNIT_ASSERT(IsLeaseValid(lease, kStart));
    CPPUNIT_ASSERT(IsLeaseValid(lease, confirmedAt + kLimit - kLeaseMargin - milliseconds(1)));
    CPPUNIT_ASSERT(!IsLeaseValid(lease, confirmedAt + kLimit - kLeaseMargin));
    CPPUNIT_ASSERT(!IsLeaseValid(lease, confirmedAt + seconds(3600)));
    CPPUNIT_ASSERT(LeaseAge(lease, kStart) == milliseconds(100));
  }

  void NoLimitNeedsNoLease()
  {
    CPPUNIT_ASSERT(IsLeaseValid({}, kStart));
    CPPUNIT_ASSERT(!LeaseAge({}, kStart));
  }

  // A gateway that has lost contact is useful to its callers for at least 3 s of 5 s.
  void LeaseOutlastsSixTenthsOfTheLimit()
  {
    // The last call was sent a whole pause before contact was lost, and the read was due.
    constexpr Duration kPause = milliseconds(250);
    constexpr Duration kReadTime = milliseconds(50);
    DocumentLease lease{ kLimit, std::nullopt };
    const auto age = static_cast<std::uint32_t>((kReadInterval + kReadTime) / milliseconds(1));
    RenewLease(lease, kFive, kFive, age, kStart - kPause);
    CPPUNIT_ASSERT(IsLeaseValid(lease, kStart + kLimit * 6 / 10));
  }

  void OnlyTheNewestCommittedDocumentRenews()
  {
    const DocumentIdentity four{ 4, true, 44 };
    const DocumentIdentity uncommitted{ 5, false, 55 };
    const auto renews = [](const DocumentIdentity& aHeld,
                           const DocumentIdentity& aReported,
                           std::optional<std::uint32_t> aAge) {
      DocumentLease lease{ kLimit, std::nullopt };
      RenewLease(lease, aHeld, aReported, aAge, kStart);
      return IsLeaseValid(lease, kStart);
    };
    CPPUNIT_ASSERT(renews(kFive, kFive, 0));
    CPPUNIT_ASSERT(renews(kFive, four, 0));
    CPPUNIT_ASSERT(!renews(four, kFive, 0));
    CPPUNIT_ASSERT(!renews(uncommitted, kFive, 0));
    // The group may have dropped this document and committed one that lacks the key.
    CPPUNIT_ASSERT(!renews(uncommitted, four, 0));
    CPPUNIT_ASSERT(!renews(kFive, uncommitted, 0));
    CPPUNIT_ASSERT(!renews({}, {}, 0));
    CPPUNIT_ASSERT(!renews(kFive, kFive, std::nullopt));
    CPPUNIT_ASSERT(!renews(kFive, kFive, 5000));
    CPPUNIT_ASSERT(!renews(kFive, kFive, std::numeric_limits<std::uint32_t>::max()));
  }

  void LateRepliesShortenNoLease()
  {
    DocumentLease lease{ kLimit, std::nullopt };
    RenewLease(lease, kFive, kFive, 0, kStart);
    RenewLease(lease, kFive, kFive, 300, kStart - seconds(1));
    CPPUNIT_ASSERT(LeaseAge(lease, kStart) == Duration::zero());
  }

  void AgeIsRoundedUpAndGrowsWithoutReads()
  {
    DocumentReads reads;
    CPPUNIT_ASSERT(!ReadAge(reads, kStart));
    RecordRead(reads, kStart);
    CPPUNIT_ASSERT_EQUAL(0U, *ReadAge(reads, kStart));
    CPPUNIT_ASSERT_EQUAL(1U, *ReadAge(reads, kStart + std::chrono::microseconds(1)));
    // The reads that are started from now on fail.
    CPPUNIT_ASSERT_EQUAL(7000U, *ReadAge(reads, kStart + seconds(7)));
    CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint32_t>::max(),
                         *ReadAge(reads, kStart + std::chrono::hours(24 * 365)));
    // A read that was started earlier and succeeds later proves less.
    RecordRead(reads, kStart + seconds(2));
    RecordRead(reads, kStart + seconds(1));
    CPPUNIT_ASSERT_EQUAL(1000U, *ReadAge(reads, kStart + seconds(3)));
  }

  void CoordinatorReadsWhileAsked()
  {
    DocumentReads reads;
    CPPUNIT_ASSERT(!IsReadWanted(reads, kStart));
    CPPUNIT_ASSERT(RecordReadWanted(reads, kStart));
    CPPUNIT_ASSERT(!RecordReadWanted(reads, kStart + milliseconds(1)));
    CPPUNIT_ASSERT(IsReadWanted(reads, kStart + seconds(4)));
    CPPUNIT_ASSERT(!IsReadWanted(reads, kStart + seconds(6)));
    CPPUNIT_ASSERT(RecordReadWanted(reads, kStart + seconds(6)));
  }

  void SuspensionAgesReadsAndLeases()
  {
    DocumentReads reads;
    RecordRead(reads, SteadyNow());
    DocumentLease lease{ kLimit, std::nullopt };
    RenewLease(lease, kFive, kFive, 0, SteadyNow());
    CPPUNIT_ASSERT(IsLeaseValid(lease, SteadyNow()));
    SimulateSuspension(kLimit);
    CPPUNIT_ASSERT(!IsLeaseValid(lease, SteadyNow()));
    // The age that a coordinator reports when it resumes is too great for a lease.
    RenewLease(lease, kFive, kFive, ReadAge(reads, SteadyNow()), SteadyNow());
    CPPUNIT_ASSERT(!IsLeaseValid(lease, SteadyNow()));
  }

  // Messages without the fields of the lease, and messages with them at a build without them.
  void EarlierBuildsAcceptTheMessages()
  {
    rpc::FleetSyncRequest request;
    request.mutable_self()->set_ip("127.0.0.1");
    request.set_document_version(7);
    request.set_wants_read_age(true);
    rpc::FleetSyncRequest receivedRequest;
    CPPUNIT_ASSERT(receivedRequest.ParseFromString(
      PassThroughEarlierBuild(request.SerializeAsString(), *request.GetDescriptor())));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), receivedRequest.document_version());
    CPPUNIT_ASSERT(!receivedRequest.wants_read_age());
    rpc::FleetSyncReply reply;
    reply.set_document_version(7);
    reply.set_active_gateways(3);
    reply.set_read_age_ms(12);
    rpc::FleetSyncReply receivedReply;
    CPPUNIT_ASSERT(receivedReply.ParseFromString(
      PassThroughEarlierBuild(reply.SerializeAsString(), *reply.GetDescriptor())));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), receivedReply.document_version());
    CPPUNIT_ASSERT_EQUAL(3U, receivedReply.active_gateways());
    CPPUNIT_ASSERT(!receivedReply.has_read_age_ms());
  }

  void SettingIsOptionalAndChecked()
  {
    const std::string required = "host = \"h\"\ndata_centre = \"d\"\n"
                                 "caller_address = \"127.0.0.1:1\"\n"
                                 "ready_address = \"127.0.0.1:2\"\nrpc_port = 3\nseeds = []\n";
    const auto read = [&required](const std::string& aLine, GatewaySettings& aSettings) {
      SettingsReader reader("gateway.toml", required + aLine + "\n[tls]\nplaintext = true\n");
      ReadGatewaySettings(reader, aSettings);
      return reader.Finish().size();
    };
    GatewaySettings settings;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), read("", settings));
    CPPUNIT_ASSERT(!settings.mRevocationLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), read("revocation_limit = \"5000ms\"", settings));
    CPPUNIT_ASSERT(settings.mRevocationLimit == seconds(5));
    for (const char* const value : { "\"200ms\"", "\"\"", "5", "\"x\"" }) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           read("revocation_limit = " + std::string(value), settings));
    }
  }

  // The last member of a group of three cannot read, so the age that it reports grows.
  void CoordinatorWithoutGroupConfirmsNothing()
  {
    CoordinatorGroup group(61, 3, 1);
    CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return SendHttp(group.ControlAddress(0), "PUT", "/document", "1 one s workspace=w:k")
                   .mStatus == 200 ||
               SendHttp(group.ControlAddress(1), "PUT", "/document", "1 one s workspace=w:k")
                   .mStatus == 200 ||
               SendHttp(group.ControlAddress(2), "PUT", "/document", "1 one s workspace=w:k")
                   .mStatus == 200;
      },
      kFormationTime));
    for (int member = 0; member < 3; ++member) {
      const SocketAddress address = group.RpcAddress(member);
      CPPUNIT_ASSERT(!FetchReadAge(address, false));
      CPPUNIT_ASSERT(WaitUntil([&] { return FetchReadAge(address, true).value_or(kNoAge) < 1000U; },
                               seconds(10)));
    }
    // The survivor answers, but its last read was before the others ended.
    group.Kill(0);
    group.Kill(1);
    const TimePoint endedAt = SteadyNow();
    std::this_thread::sleep_for(kSeveralCalls);
    const TimePoint before = SteadyNow();
    const auto age = FetchReadAge(group.RpcAddress(2), true);
    if (age) {
      constexpr Duration kLeaderLease = milliseconds(1000);
      CPPUNIT_ASSERT(milliseconds(*age) + kLeaderLease >= before - endedAt);
    }
    std::this_thread::sleep_for(kSeveralCalls);
    const auto later = FetchReadAge(group.RpcAddress(2), true);
    CPPUNIT_ASSERT(!later || !age || milliseconds(*later - *age) >= kSeveralCalls / 2);
    // Restarted members read again only after they have all commits of the group.
    group.Start(0);
    CPPUNIT_ASSERT(
      WaitUntil([&] { return FetchReadAge(group.RpcAddress(0), true).value_or(kNoAge) < 1000U; },
                kFormationTime));
  }

  void GatewayJudgesKeysOnlyWithLease()
  {
    ScriptedCoordinator coordinator(TestIp(64));
    const GatewayRig gateway(65, TestIp(64), seconds(2));
    CPPUNIT_ASSERT(gateway.Becomes("no lease", "k", seconds(10)));
    CPPUNIT_ASSERT_EQUAL(std::string("no lease"), gateway.Verdict("unknown"));
    CPPUNIT_ASSERT_EQUAL(std::string("no lease"), gateway.Verdict(""));
    coordinator.SetReadAge(10);
    CPPUNIT_ASSERT(gateway.Becomes("accepted", "k", seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::string("denied"), gateway.Verdict("unknown"));
    CPPUNIT_ASSERT_EQUAL(std::string("denied"), gateway.Verdict(""));
    // The coordinator still answers, but its reads fail from now on.
    coordinator.SetReadAge(std::nullopt);
    CPPUNIT_ASSERT(gateway.Becomes("no lease", "k", seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::string("no lease"), gateway.Verdict("unknown"));
  }

  void RestartedGatewayHasNoLease()
  {
    ScriptedCoordinator coordinator(TestIp(66));
    coordinator.SetReadAge(10);
    GatewayRig gateway(67, TestIp(66), kLimit);
    CPPUNIT_ASSERT(gateway.Becomes("accepted", "k", seconds(10)));
    coordinator.SetReadAge(std::nullopt);
    gateway.Restart();
    CPPUNIT_ASSERT(gateway.Becomes("no lease", "k", seconds(10)));
    std::this_thread::sleep_for(kSeveralCalls);
    CPPUNIT_ASSERT_EQUAL(std::string("no lease"), gateway.Verdict("k"));
  }

  // The coordinator names a document that revokes the key, and it does not arrive or cannot be
  // read.
  void GatewayThatLacksTheNewestDocumentGetsNoLease()
  {
    ScriptedCoordinator coordinator(TestIp(68));
    coordinator.SetReadAge(0);
    const GatewayRig gateway(69, TestIp(68), seconds(2));
    CPPUNIT_ASSERT(gateway.Becomes("accepted", "k", seconds(10)));
    coordinator.SetDocument({ 2, "2 one s workspace=w:other" }, false);
    CPPUNIT_ASSERT(gateway.Becomes("no lease", "k", seconds(3)));
    coordinator.SetDocument({ 2, "2 one s workspace=w:other" }, true);
    CPPUNIT_ASSERT(gateway.Becomes("denied", "k", seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), gateway.Verdict("other"));
  }

  void GatewayAsksOnlyIfItNeedsALease()
  {
    ScriptedCoordinator coordinator(TestIp(70));
    coordinator.SetDocument({ 1, "1 one s" }, true);
    const auto settlesAt = [&coordinator](bool aAsked) {
      return WaitUntil([&] { return coordinator.Calls() > 2 && coordinator.WasAsked() == aAsked; },
                       seconds(10));
    };
    {
      const GatewayRig gateway(71, TestIp(70), kLimit);
      // Without workspaces the gateway serves without a lease and stops asking.
      CPPUNIT_ASSERT(gateway.Becomes("accepted", "", seconds(10)));
      CPPUNIT_ASSERT(settlesAt(false));
      coordinator.SetDocument({ 2, "2 one s workspace=w:k" }, true);
      CPPUNIT_ASSERT(gateway.Becomes("no lease", "k", seconds(5)));
      CPPUNIT_ASSERT(settlesAt(true));
    }
    const GatewayRig gateway(72, TestIp(70), std::nullopt);
    // Without the setting, keys are judged by the document in force.
    CPPUNIT_ASSERT(gateway.Becomes("accepted", "k", seconds(10)));
    CPPUNIT_ASSERT_EQUAL(std::string("denied"), gateway.Verdict("unknown"));
    CPPUNIT_ASSERT(settlesAt(false));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentLeaseTest);
