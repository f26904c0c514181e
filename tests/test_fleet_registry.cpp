// Tests that upstreams are not listed after they left, and that gateways which have left or stopped
// calling are not named to callers.
#include "fleet_messages.h"
#include "fleet_registry.h"
#include "latest_file.h"
#include "quota_owner.h"

#include <cstdio>
#include <set>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };

UpstreamInfo
MakeAnnouncement(const std::string& aId, std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  UpstreamInfo info;
  info.mId = aId;
  info.mIncarnation = aIncarnation;
  info.mSequence = aSequence;
  info.mService = "s";
  info.mAddress = { "10.0.0.1", 8080 };
  info.mState = UpstreamState::Ready;
  return info;
}

FleetRegistry
MakeRegistry(const std::string& aHost)
{
  FleetRegistry registry;
  registry.mDirectory.mHost = aHost;
  registry.mDirectory.mIncarnation = 1;
  return registry;
}

FleetHost
MakeGateway(const std::string& aIp, const std::string& aDataCentre)
{
  FleetHost host;
  host.mIp = aIp;
  host.mPublicAddress = { aIp, 80 };
  host.mDataCentre = aDataCentre;
  host.mIncarnation = 1;
  host.mServing = true;
  return host;
}

} // namespace

class FleetRegistryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetRegistryTest);
  CPPUNIT_TEST(LateAnnouncementDoesNotRestoreAnUpstreamThatLeft);
  CPPUNIT_TEST(NoticeOfAnEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(NoticeSupersedesARecordOfAnotherCoordinator);
  CPPUNIT_TEST(LeavingUpstreamsAreForwarded);
  CPPUNIT_TEST(RepeatedNoticeChangesNothing);
  CPPUNIT_TEST(RenewalsDoNotCountAsChanges);
  CPPUNIT_TEST(ChangesArriveInParts);
  CPPUNIT_TEST(OnlyNewChangesAreRead);
  CPPUNIT_TEST(UpstreamsWithoutRenewalsExpire);
  CPPUNIT_TEST(StaleAndLeavingGatewaysAreNotNamed);
  CPPUNIT_TEST(SlowGatewaysAreNamedForThreePauses);
  CPPUNIT_TEST(StoppingGatewaysHoldNoShares);
  CPPUNIT_TEST(CallOfAnEarlierProcessIsIgnored);
  CPPUNIT_TEST(GatewaysWithoutReplicasAreNamedOnlyIfAllAre);
  CPPUNIT_TEST(HintFileKeepsTheLastVersion);
  CPPUNIT_TEST_SUITE_END();

public:
  void LateAnnouncementDoesNotRestoreAnUpstreamThatLeft()
  {
    FleetRegistry registry = MakeRegistry("c1");
    RegisterUpstream(registry, MakeAnnouncement("u", 5, 1), kStart);
    CPPUNIT_ASSERT(RemoveUpstream(registry, "u", 0, kStart));
    RegisterUpstream(registry, MakeAnnouncement("u", 5, 2), kStart + milliseconds(10));
    CPPUNIT_ASSERT(ListUpstreams(registry.mDirectory).empty());
    // The next incarnation with the same identifier is another upstream.
    RegisterUpstream(registry, MakeAnnouncement("u", 6, 1), kStart + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ListUpstreams(registry.mDirectory).size());
  }

  void NoticeOfAnEarlierIncarnationIsIgnored()
  {
    FleetRegistry registry = MakeRegistry("c1");
    RegisterUpstream(registry, MakeAnnouncement("u", 6, 1), kStart);
    CPPUNIT_ASSERT(!RemoveUpstream(registry, "u", 5, kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ListUpstreams(registry.mDirectory).size());
    CPPUNIT_ASSERT(!RemoveUpstream(registry, "unknown", 0, kStart));
  }

  // The notice that an upstream leaves may reach another coordinator than its announcements did. A
  // gateway that receives both records must apply the notice, in either order.
  void NoticeSupersedesARecordOfAnotherCoordinator()
  {
    FleetRegistry first = MakeRegistry("c1");
    FleetRegistry second = MakeRegistry("c2");
    RegisterUpstream(first, MakeAnnouncement("u", 5, 9), kStart);
    const DirectoryRecord announcement = *ChangedSince(first, 0, RecordScope::Own).front();
    ApplyRemoteRecord(second, announcement, Duration::zero(), kStart);
    CPPUNIT_ASSERT(ChangedSince(second, 0, RecordScope::Own).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ChangedSince(second, 0, RecordScope::All).size());
    CPPUNIT_ASSERT(RemoveUpstream(second, "u", 0, kStart));
    const DirectoryRecord notice = *ChangedSince(second, 0, RecordScope::All).front();
    for (const bool noticeFirst : { true, false }) {
      Directory gateway;
      gateway.mHost = "g";
      ApplyRecord(gateway, noticeFirst ? notice : announcement, Duration::zero(), kStart);
      ApplyRecord(gateway, noticeFirst ? announcement : notice, Duration::zero(), kStart);
      CPPUNIT_ASSERT(ListUpstreams(gateway).empty());
    }
  }

  // Guards against a departure that only the coordinator tells which received it. The others tell
  // it to the next process of that coordinator as well, whose file may be older.
  void LeavingUpstreamsAreForwarded()
  {
    FleetRegistry first = MakeRegistry("c1");
    FleetRegistry second = MakeRegistry("c2");
    for (const std::string id : { "stays", "drains", "leaves" }) {
      RegisterUpstream(first, MakeAnnouncement(id, 5, 1), kStart);
    }
    UpstreamInfo draining = MakeAnnouncement("drains", 5, 2);
    draining.mState = UpstreamState::Draining;
    RegisterUpstream(first, draining, kStart);
    CPPUNIT_ASSERT(RemoveUpstream(first, "leaves", 5, kStart));
    for (const DirectoryRecord* const record : ChangedSince(first, 0, RecordScope::Own)) {
      ApplyRemoteRecord(second, *record, Duration::zero(), kStart);
    }
    CPPUNIT_ASSERT(ChangedSince(second, 0, RecordScope::Own).empty());
    const auto forwarded = ChangedSince(second, 0, RecordScope::OwnAndLeaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, forwarded.size());
    FleetRegistry restarted = MakeRegistry("c1");
    restarted.mDirectory.mIncarnation = 2;
    for (const std::string id : { "stays", "drains", "leaves" }) {
      RegisterUpstream(restarted, MakeAnnouncement(id, 5, 1), kStart);
    }
    for (const DirectoryRecord* const record : forwarded) {
      ApplyRemoteRecord(restarted, *record, Duration::zero(), kStart);
    }
    std::map<std::string, UpstreamState> listed;
    for (const UpstreamInfo& info : ListUpstreams(restarted.mDirectory)) {
      listed[info.mId] = info.mState;
    }
    CPPUNIT_ASSERT(listed ==
                   (std::map<std::string, UpstreamState>{ { "drains", UpstreamState::Draining },
                                                          { "stays", UpstreamState::Ready } }));
  }

  void RepeatedNoticeChangesNothing()
  {
    FleetRegistry registry = MakeRegistry("c1");
    RegisterUpstream(registry, MakeAnnouncement("u", 5, 1), kStart);
    CPPUNIT_ASSERT(RemoveUpstream(registry, "u", 5, kStart));
    const std::uint64_t cursor = registry.mCursor;
    CPPUNIT_ASSERT(RemoveUpstream(registry, "u", 0, kStart + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(cursor, registry.mCursor);
  }

  void RenewalsDoNotCountAsChanges()
  {
    FleetRegistry registry = MakeRegistry("c1");
    RegisterUpstream(registry, MakeAnnouncement("u", 5, 1), kStart);
    const std::uint64_t cursor = registry.mCursor;
    for (std::uint64_t i = 2; i < 20; ++i) {
      RegisterUpstream(registry, MakeAnnouncement("u", 5, i), kStart + seconds(i));
    }
    CPPUNIT_ASSERT_EQUAL(cursor, registry.mCursor);
    UpstreamInfo draining = MakeAnnouncement("u", 5, 30);
    draining.mState = UpstreamState::Draining;
    RegisterUpstream(registry, draining, kStart + seconds(20));
    const auto changed = ChangedSince(registry, cursor, RecordScope::Own);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed.size());
    CPPUNIT_ASSERT(changed.front()->mInfo.mState == UpstreamState::Draining);
  }

  // A host that gets every part once knows all upstreams, also those that change meanwhile.
  void ChangesArriveInParts()
  {
    FleetRegistry registry = MakeRegistry("c1");
    for (int i = 0; i < 25; ++i) {
      RegisterUpstream(registry, MakeAnnouncement("u" + std::to_string(i * 7 % 25), 5, 1), kStart);
    }
    std::set<std::string> seen;
    std::uint64_t cursor = 0;
    std::size_t parts = 0;
    for (bool more = true; more; ++parts) {
      const RecordChanges changes = NextChanges(registry, cursor, RecordScope::All, 10);
      CPPUNIT_ASSERT(changes.mRecords.size() <= 10);
      for (const DirectoryRecord* const record : changes.mRecords) {
        seen.insert(record->mInfo.mId + (record->mGone ? " gone" : ""));
      }
      cursor = changes.mCursor;
      more = changes.mMore;
      if (parts == 0) {
        CPPUNIT_ASSERT(RemoveUpstream(registry, "u0", 0, kStart));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), parts);
    CPPUNIT_ASSERT_EQUAL(std::size_t(26), seen.size());
    CPPUNIT_ASSERT_EQUAL(registry.mCursor, cursor);
  }

  // Guards against replies that take longer the more upstreams there are, and against a list of
  // changes that grows with each change.
  void OnlyNewChangesAreRead()
  {
    FleetRegistry registry = MakeRegistry("c1");
    for (int i = 0; i < 500; ++i) {
      for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        UpstreamInfo info = MakeAnnouncement("u" + std::to_string(i), 5, sequence);
        info.mState = sequence % 2 == 0 ? UpstreamState::Draining : UpstreamState::Ready;
        RegisterUpstream(registry, info, kStart);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(500), registry.mUpstreamByChange.size());
    const std::uint64_t cursor = registry.mCursor;
    RegisterUpstream(registry, MakeAnnouncement("new", 5, 1), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ChangedSince(registry, cursor, RecordScope::All).size());
    CPPUNIT_ASSERT_EQUAL(registry.mCursor, registry.mUpstreamByChange.rbegin()->first);
    ExpireRegistry(registry, kStart + seconds(6));
    ExpireRegistry(registry, kStart + seconds(7) + kRecordRetention);
    CPPUNIT_ASSERT(registry.mUpstreamByChange.empty());
    CPPUNIT_ASSERT(registry.mChangedAt.empty());
  }

  void UpstreamsWithoutRenewalsExpire()
  {
    FleetRegistry registry = MakeRegistry("c1");
    RegisterUpstream(registry, MakeAnnouncement("u", 5, 1), kStart);
    const std::uint64_t cursor = registry.mCursor;
    ExpireRegistry(registry, kStart + seconds(4));
    CPPUNIT_ASSERT(ChangedSince(registry, cursor, RecordScope::Own).empty());
    ExpireRegistry(registry, kStart + seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ChangedSince(registry, cursor, RecordScope::Own).size());
    CPPUNIT_ASSERT(ListUpstreams(registry.mDirectory).empty());
  }

  void StaleAndLeavingGatewaysAreNotNamed()
  {
    FleetRegistry registry = MakeRegistry("c1");
    RecordHostCall(registry, MakeGateway("10.0.0.1", "a"), kStart);
    FleetHost leaving = MakeGateway("10.0.0.2", "a");
    leaving.mServing = false;
    RecordHostCall(registry, leaving, kStart + seconds(2));
    CPPUNIT_ASSERT(ServingGateways(registry, kStart + seconds(2)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ServingGateways(registry, kStart).size());
  }

  void SlowGatewaysAreNamedForThreePauses()
  {
    FleetRegistry registry = MakeRegistry("c1");
    FleetHost slow = MakeGateway("10.0.0.1", "a");
    slow.mPause = seconds(1);
    RecordHostCall(registry, slow, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         ServingGateways(registry, kStart + milliseconds(2900)).size());
    CPPUNIT_ASSERT(ServingGateways(registry, kStart + milliseconds(3100)).empty());
  }

  void GatewaysWithoutReplicasAreNamedOnlyIfAllAre()
  {
    FleetHost cutOff = MakeGateway("10.0.0.1", "a");
    cutOff.mAvoidCallers = true;
    FleetHost sound = MakeGateway("10.0.0.2", "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, PreferredGateways({ &cutOff, &sound }).size());
    CPPUNIT_ASSERT(PreferredGateways({ &cutOff, &sound }).front() == &sound);
    sound.mAvoidCallers = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, PreferredGateways({ &cutOff, &sound }).size());
  }

  // Guards against a new owner of quotas that waits for gateways which were stopped, and against
  // one that does not wait for their successors.
  void StoppingGatewaysHoldNoShares()
  {
    FleetRegistry registry = MakeRegistry("c1");
    FleetHost gateway = MakeGateway("10.0.0.1", "a");
    RecordHostCall(registry, gateway, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, PossibleShareHolders(registry, kStart).size());
    gateway.mQuotaSharesGivenUp = true;
    const auto received = FromMessage(ToMessage(gateway));
    CPPUNIT_ASSERT(received);
    RecordHostCall(registry, *received, kStart);
    CPPUNIT_ASSERT(PossibleShareHolders(registry, kStart).empty());
    ++gateway.mIncarnation;
    gateway.mQuotaSharesGivenUp = false;
    RecordHostCall(registry, gateway, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, PossibleShareHolders(registry, kStart).size());
    CPPUNIT_ASSERT(PossibleShareHolders(registry, kStart + seconds(16)).empty());
  }

  void CallOfAnEarlierProcessIsIgnored()
  {
    FleetRegistry registry = MakeRegistry("c1");
    FleetHost fresh = MakeGateway("10.0.0.1", "a");
    fresh.mIncarnation = 2;
    FleetHost old = MakeGateway("10.0.0.1", "a");
    old.mServing = false;
    RecordHostCall(registry, fresh, kStart);
    RecordHostCall(registry, old, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ServingGateways(registry, kStart).size());
  }

  void HintFileKeepsTheLastVersion()
  {
    const std::string path = "/tmp/apricot-hint-test";
    std::remove(path.c_str());
    CPPUNIT_ASSERT(LatestFile::Load(path).empty());
    {
      LatestFile file(path);
      const std::string big(200'000, 'b');
      file.Save(big);
      for (int i = 0; i < 200 && LatestFile::Load(path) != big; ++i) {
        std::this_thread::sleep_for(milliseconds(10));
      }
      CPPUNIT_ASSERT(LatestFile::Load(path) == big);
    }
    std::remove(path.c_str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRegistryTest);
