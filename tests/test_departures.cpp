// An upstream says only once that it leaves. Guards against a departure that is acknowledged and
// then lost with the coordinator that acknowledged it.
#include "coordinator_process.h"
#include "departures.h"
#include "fleet.grpc.pb.h"
#include "http_client.h"
#include "settings.h"

#include <optional>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };
constexpr Duration kFormationTime = seconds(30);
constexpr Duration kPollPause = milliseconds(20);
// Of an upstream for a call.
constexpr Duration kCallTime = seconds(1);

// Sends one HTTP call and returns the status of the response, or 0 if none came.
int
Call(const SocketAddress& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = "")
{
  Loop loop;
  HttpClient client(loop, "", 1);
  ClientRequest request;
  request.mMethod = aMethod;
  request.mAddress = aAddress;
  request.mPath = aPath;
  request.mBody = aBody;
  request.mTimeout = kCallTime;
  int status = 0;
  client.Send(std::move(request), [&](const ClientReply& aReply) {
    status = aReply.mEnd == TransferEnd::Complete ? aReply.mStatus : 0;
    loop.Stop();
  });
  loop.Run();
  return status;
}

// Returns what a gateway that starts now learns of an upstream from the coordinator at aAddress, or
// nothing if the coordinator does not answer or does not know the upstream.
std::optional<rpc::Record>
FetchRecord(const SocketAddress& aAddress, const std::string& aUpstream)
{
  const auto stub = rpc::Fleet::NewStub(
    grpc::CreateChannel(FormatSocketAddress(aAddress), grpc::InsecureChannelCredentials()));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + seconds(1));
  rpc::FleetSyncRequest request;
  request.mutable_self()->set_ip("127.0.0.1");
  request.mutable_self()->set_public_address("127.0.0.1:1");
  rpc::FleetSyncReply reply;
  if (!stub->Sync(&context, request, &reply).ok()) {
    return std::nullopt;
  }
  for (const rpc::Record& record : reply.records()) {
    if (record.id() == aUpstream) {
      return record;
    }
  }
  return std::nullopt;
}

bool
IsUsable(const std::optional<rpc::Record>& aRecord)
{
  return aRecord && !aRecord->gone() &&
         aRecord->state() == static_cast<std::uint32_t>(UpstreamState::Ready);
}

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

// Waits until the group has a leader and every member lists the upstream that announces itself to
// the first member.
void
AnnounceToFirst(const CoordinatorGroup& aGroup, int aMembers)
{
  CPPUNIT_ASSERT(WaitUntil(
    [&] { return Call(aGroup.ControlAddress(0), "PUT", "/upstreams/u?sequence=1") == 200; },
    kFormationTime));
  for (int member = 0; member < aMembers; ++member) {
    CPPUNIT_ASSERT(WaitUntil([&] { return IsUsable(FetchRecord(aGroup.RpcAddress(member), "u")); },
                             kFormationTime));
  }
}

PendingDeparture
MakePending(std::uint64_t aChange, std::vector<DepartureOutcome>& aOutcomes)
{
  return { aChange, kStart + kDepartureTimeout, [&aOutcomes](DepartureOutcome aOutcome) {
            aOutcomes.push_back(aOutcome);
          } };
}

} // namespace

class DeparturesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DeparturesTest);
  CPPUNIT_TEST(AcknowledgedDepartureSurvivesLossOfCoordinator);
  CPPUNIT_TEST(AcknowledgedDepartureSurvivesRestartOfAllCoordinators);
  CPPUNIT_TEST(AcknowledgedDrainingSurvivesLossOfCoordinator);
  CPPUNIT_TEST(DepartureIsRefusedWithoutOtherCoordinators);
  CPPUNIT_TEST(WaitsForCopiesAndFile);
  CPPUNIT_TEST(RestartedCoordinatorHoldsNoCopy);
  CPPUNIT_TEST(MissingCopiesAndFileAreTold);
  CPPUNIT_TEST(NeedsNoMoreCopiesThanThereAreMembers);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcknowledgedDepartureSurvivesLossOfCoordinator()
  {
    CoordinatorGroup group(41, 3, 1);
    AnnounceToFirst(group, 3);
    CPPUNIT_ASSERT_EQUAL(200, Call(group.ControlAddress(0), "DELETE", "/upstreams/u"));
    group.Kill(0);
    // Far less than the time after which a gateway must not use the upstream.
    for (const int member : { 1, 2 }) {
      CPPUNIT_ASSERT(WaitUntil(
        [&] {
          const auto record = FetchRecord(group.RpcAddress(member), "u");
          return record && record->gone();
        },
        seconds(1)));
    }
    // The file of the first one must not bring the upstream back.
    group.Start(0);
    std::optional<rpc::Record> record;
    CPPUNIT_ASSERT(WaitUntil(
      [&] {
        record = FetchRecord(group.RpcAddress(0), "u");
        return record.has_value();
      },
      kFormationTime));
    CPPUNIT_ASSERT(!IsUsable(record));
  }

  // The files must hold the departure, since no process does.
  void AcknowledgedDepartureSurvivesRestartOfAllCoordinators()
  {
    CoordinatorGroup group(44, 3, 1);
    AnnounceToFirst(group, 3);
    // By now the file lists the upstream.
    std::this_thread::sleep_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(200, Call(group.ControlAddress(0), "DELETE", "/upstreams/u"));
    for (int member = 0; member < 3; ++member) {
      group.Kill(member);
    }
    for (int member = 0; member < 3; ++member) {
      group.Start(member);
    }
    for (int member = 0; member < 3; ++member) {
      CPPUNIT_ASSERT(WaitUntil(
        [&] {
          const auto record = FetchRecord(group.RpcAddress(member), "u");
          return record && record->gone();
        },
        seconds(4)));
    }
  }

  void AcknowledgedDrainingSurvivesLossOfCoordinator()
  {
    CoordinatorGroup group(47, 3, 1);
    AnnounceToFirst(group, 3);
    CPPUNIT_ASSERT_EQUAL(
      200, Call(group.ControlAddress(0), "PUT", "/upstreams/u?sequence=2&state=draining"));
    group.Kill(0);
    for (const int member : { 1, 2 }) {
      CPPUNIT_ASSERT(WaitUntil(
        [&] {
          const auto record = FetchRecord(group.RpcAddress(member), "u");
          return record && !IsUsable(record);
        },
        seconds(1)));
    }
  }

  // The upstream must learn that it has to call another coordinator, in the time that it waits.
  void DepartureIsRefusedWithoutOtherCoordinators()
  {
    CoordinatorGroup group(50, 3, 1);
    AnnounceToFirst(group, 3);
    group.Kill(1);
    group.Kill(2);
    CPPUNIT_ASSERT_EQUAL(503, Call(group.ControlAddress(0), "DELETE", "/upstreams/u"));
    // The departure is told to whoever asks all the same.
    const auto record = FetchRecord(group.RpcAddress(0), "u");
    CPPUNIT_ASSERT(record && record->gone());
  }

  void WaitsForCopiesAndFile()
  {
    Departures departures;
    std::vector<DepartureOutcome> outcomes;
    departures.mPending.push_back(MakePending(7, outcomes));
    departures.mWrittenUpTo = 7;
    CompleteDepartures(departures, 1, kStart);
    RecordCopy(departures, "c2", 6);
    CompleteDepartures(departures, 1, kStart);
    CPPUNIT_ASSERT(outcomes.empty());
    RecordCopy(departures, "c2", 7);
    departures.mWrittenUpTo = 6;
    CompleteDepartures(departures, 1, kStart);
    CPPUNIT_ASSERT(outcomes.empty());
    departures.mWrittenUpTo = 9;
    CompleteDepartures(departures, 1, kStart);
    CPPUNIT_ASSERT(outcomes == std::vector{ DepartureOutcome::Confirmed });
    CompleteDepartures(departures, 1, kStart + seconds(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, outcomes.size());
  }

  void RestartedCoordinatorHoldsNoCopy()
  {
    Departures departures;
    std::vector<DepartureOutcome> outcomes;
    departures.mWrittenUpTo = 9;
    RecordCopy(departures, "c2", 7);
    RecordCopy(departures, "c2", 0);
    departures.mPending.push_back(MakePending(7, outcomes));
    CompleteDepartures(departures, 1, kStart);
    CPPUNIT_ASSERT(outcomes.empty());
    RecordCopy(departures, "c3", 8);
    CompleteDepartures(departures, 2, kStart);
    CPPUNIT_ASSERT(outcomes.empty());
    CompleteDepartures(departures, 1, kStart);
    CPPUNIT_ASSERT(outcomes == std::vector{ DepartureOutcome::Confirmed });
  }

  void MissingCopiesAndFileAreTold()
  {
    Departures departures;
    std::vector<DepartureOutcome> outcomes;
    departures.mPending.push_back(MakePending(7, outcomes));
    CompleteDepartures(departures, 1, kStart + kDepartureTimeout - milliseconds(1));
    CPPUNIT_ASSERT(outcomes.empty());
    CompleteDepartures(departures, 1, kStart + kDepartureTimeout);
    CPPUNIT_ASSERT(outcomes == std::vector{ DepartureOutcome::TooFewCopies });
    RecordCopy(departures, "c2", 7);
    departures.mPending.push_back(MakePending(7, outcomes));
    CompleteDepartures(departures, 1, kStart + kDepartureTimeout);
    CPPUNIT_ASSERT(outcomes.back() == DepartureOutcome::NotWritten);
    // A failed write need not be waited for.
    departures.mUnwritableUpTo = 7;
    departures.mPending.push_back(MakePending(7, outcomes));
    CompleteDepartures(departures, 1, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, outcomes.size());
    CPPUNIT_ASSERT(outcomes.back() == DepartureOutcome::NotWritten);
  }

  void NeedsNoMoreCopiesThanThereAreMembers()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CopiesNeeded(1, 3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, CopiesNeeded(2, 5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CopiesNeeded(2, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CopiesNeeded(1, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CopiesNeeded(1, 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeparturesTest);
