// Tests that the tables of all hosts converge, and that old announcements do not restore an
// upstream that has left.
#include "directory.h"
#include "discovery_network.h"
#include "property.h"

#include <cppunit/TestFixture.h>

using namespace apricotyard;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ hours(1) };

Directory
MakeDirectory(const std::string& aHost)
{
  Directory directory;
  directory.mHost = aHost;
  directory.mIncarnation = 1;
  return directory;
}

UpstreamInfo
Announced(std::uint64_t aIncarnation, std::uint64_t aSequence, UpstreamState aState)
{
  return SimUpstream(0, aIncarnation, aSequence, aState);
}

// Applies every record of aFrom to aTo.
void
CopyAll(const Directory& aFrom, Directory& aTo, TimePoint aNow)
{
  for (const auto& [id, record] : aFrom.mRecords) {
    ApplyRecord(aTo, record, aNow - LastConfirmed(aFrom, record), aNow);
  }
}

DirectoryRecord
ArbitraryRecord()
{
  DirectoryRecord record;
  record.mInfo = SimUpstream(*rc::gen::inRange(0, 3),
                             *rc::gen::inRange<std::uint64_t>(1, 4),
                             *rc::gen::inRange<std::uint64_t>(1, 5),
                             static_cast<UpstreamState>(*rc::gen::inRange(0, 4)));
  record.mInfo.mSlots = *rc::gen::inRange(1, 4);
  record.mRegistrar = *rc::gen::element<std::string>("a", "b");
  record.mRegistrarIncarnation = *rc::gen::inRange(1, 3);
  record.mGone = *rc::gen::arbitrary<bool>();
  return record;
}

} // namespace

class DirectoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(RecordsConvergeInAnyOrder);
  CPPUNIT_TEST(RegistrarsConvergeUnderReplaysAndConflicts);
  CPPUNIT_TEST(OldAnnouncementsDoNotRestoreUpstreams);
  CPPUNIT_TEST(RecordsOfADeadRegistrarExpireWithinTheLease);
  CPPUNIT_TEST(RenewalsDoNotChangeTheDigest);
  CPPUNIT_TEST(PartitionDeletesNoLiveRecord);
  CPPUNIT_TEST(ReplayToAnotherHostDoesNotChangeTheRegistrar);
  CPPUNIT_TEST_SUITE_END();

public:
  // The result must not depend on the order of delivery or on duplicates.
  void RecordsConvergeInAnyOrder()
  {
    CheckProperty("tables are equal after any order and duplication", [] {
      const auto records =
        *rc::gen::container<std::vector<DirectoryRecord>>(rc::gen::exec(ArbitraryRecord));
      std::vector<DirectoryRecord> other = records;
      other.insert(other.end(), records.begin(), records.begin() + records.size() / 2);
      Rng rng(*rc::gen::arbitrary<std::uint64_t>());
      std::shuffle(other.begin(), other.end(), rng);
      Directory left = MakeDirectory("x");
      Directory right = MakeDirectory("y");
      for (const DirectoryRecord& record : records) {
        ApplyRecord(left, record, Duration(0), kStart);
      }
      for (const DirectoryRecord& record : other) {
        ApplyRecord(right, record, Duration(0), kStart);
      }
      RC_ASSERT(ComputeDigest(left) == ComputeDigest(right));
    });
  }

  // Registrars that receive announcements of the same upstream, replays included, must agree in the
  // end.
  void RegistrarsConvergeUnderReplaysAndConflicts()
  {
    CheckProperty("registrars agree after exchanging their records", [] {
      std::vector<Directory> hosts{ MakeDirectory("a"), MakeDirectory("b"), MakeDirectory("c") };
      const int steps = *rc::gen::inRange(0, 40);
      for (int i = 0; i < steps; ++i) {
        Directory& host = hosts[*rc::gen::inRange(0, 3)];
        if (*rc::gen::inRange(0, 3) == 0) {
          CopyAll(hosts[*rc::gen::inRange(0, 3)], host, kStart);
          continue;
        }
        const auto record = ArbitraryRecord();
        ApplyAnnouncement(host, record.mInfo, kStart);
      }
      // A registrar may raise the sequence number of its record in response to a record, so several
      // rounds are needed.
      for (int round = 0; round < 4; ++round) {
        for (const Directory& from : std::vector<Directory>(hosts)) {
          for (Directory& to : hosts) {
            CopyAll(from, to, kStart);
          }
        }
      }
      RC_ASSERT(ComputeDigest(hosts[0]) == ComputeDigest(hosts[1]));
      RC_ASSERT(ComputeDigest(hosts[0]) == ComputeDigest(hosts[2]));
    });
  }

  // A replayed announcement must not restore an upstream that left or whose lease ended.
  void OldAnnouncementsDoNotRestoreUpstreams()
  {
    for (const bool leaves : { true, false }) {
      Directory registrar = MakeDirectory("a");
      Directory other = MakeDirectory("b");
      ApplyAnnouncement(registrar, Announced(5, 1, UpstreamState::Ready), kStart);
      ApplyAnnouncement(registrar, Announced(5, 9, UpstreamState::Ready), kStart);
      CopyAll(registrar, other, kStart);
      if (leaves) {
        ApplyAnnouncement(registrar, Announced(5, 10, UpstreamState::Left), kStart);
      }
      ExpireLeases(registrar, kStart + kRegistrarLease);
      CopyAll(registrar, other, kStart + kRegistrarLease);
      for (Directory* const host : { &registrar, &other }) {
        CPPUNIT_ASSERT(ListUpstreams(*host).empty());
        const TimePoint late = kStart + kRecordRetention - seconds(1);
        ExpireLeases(*host, late);
        for (std::uint64_t sequence = 1; sequence <= 9; ++sequence) {
          CPPUNIT_ASSERT(ApplyAnnouncement(*host,
                                           Announced(5, sequence, UpstreamState::Ready),
                                           late) == AnnounceOutcome::Stale);
          CPPUNIT_ASSERT(ApplyAnnouncement(*host,
                                           Announced(4, sequence, UpstreamState::Ready),
                                           late) == AnnounceOutcome::Stale);
        }
        // Records of gone upstreams are deleted after kRecordRetention.
        ExpireLeases(*host, kStart + kRegistrarLease + kRecordRetention);
        CPPUNIT_ASSERT(host->mRecords.empty());
      }
    }
  }

  // Upstreams must not stay listed after their registrar died, and must stay listed if they have
  // announced themselves to another host.
  void RecordsOfADeadRegistrarExpireWithinTheLease()
  {
    Directory registrar = MakeDirectory("a");
    Directory other = MakeDirectory("b");
    ApplyAnnouncement(registrar, SimUpstream(0, 1, 1, UpstreamState::Ready), kStart);
    ApplyAnnouncement(registrar, SimUpstream(1, 1, 1, UpstreamState::Ready), kStart);
    CopyAll(registrar, other, kStart);
    ConfirmRegistrar(other, "a", 1, kStart + seconds(10));
    ExpireLeases(other, kStart + seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, ListUpstreams(other).size());
    ApplyAnnouncement(other, SimUpstream(1, 1, 2, UpstreamState::Ready), kStart + seconds(15));
    // A heartbeat of the next incarnation does not confirm records of the one that died.
    ConfirmRegistrar(other, "a", 2, kStart + seconds(15));
    const auto expired = ExpireLeases(other, kStart + seconds(16));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, expired.size());
    CPPUNIT_ASSERT_EQUAL(std::string("service-0-0"), expired[0].mId);
    CPPUNIT_ASSERT_EQUAL(std::string("service-0-1"), ListUpstreams(other).at(0).mId);
  }

  // Renewals must not make digest exchanges transfer records.
  void RenewalsDoNotChangeTheDigest()
  {
    Directory registrar = MakeDirectory("a");
    ApplyAnnouncement(registrar, Announced(1, 1, UpstreamState::Ready), kStart);
    TakeChanges(registrar);
    const Digest before = ComputeDigest(registrar);
    for (std::uint64_t i = 2; i < 100; ++i) {
      CPPUNIT_ASSERT(ApplyAnnouncement(registrar,
                                       Announced(1, i, UpstreamState::Ready),
                                       kStart + seconds(2 * i)) == AnnounceOutcome::Renewed);
    }
    CPPUNIT_ASSERT(before == ComputeDigest(registrar));
    CPPUNIT_ASSERT(TakeChanges(registrar).empty());
  }

  // A host that was cut off for minutes must not delete the live records of the others, and must
  // not need to pull the whole table.
  void PartitionDeletesNoLiveRecord()
  {
    Directory registrar = MakeDirectory("a");
    Directory isolated = MakeDirectory("b");
    ApplyAnnouncement(registrar, Announced(1, 1, UpstreamState::Ready), kStart);
    CopyAll(registrar, isolated, kStart);
    const TimePoint healed = kStart + std::chrono::minutes(5);
    ApplyAnnouncement(registrar, Announced(1, 2, UpstreamState::Ready), healed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ExpireLeases(isolated, healed).size());
    CPPUNIT_ASSERT(DifferingBuckets(ComputeDigest(registrar), ComputeDigest(isolated)).empty());
    CopyAll(isolated, registrar, healed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ListUpstreams(registrar).size());
    ConfirmRegistrar(isolated, "a", 1, healed);
    ExpireLeases(isolated, healed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ListUpstreams(isolated).size());
  }

  // An old announcement that is replayed to another host must not end the lease of an upstream
  // whose registrar has received newer renewals.
  void ReplayToAnotherHostDoesNotChangeTheRegistrar()
  {
    Directory registrar = MakeDirectory("a");
    Directory other = MakeDirectory("z");
    ApplyAnnouncement(registrar, Announced(1, 1, UpstreamState::Ready), kStart);
    CopyAll(registrar, other, kStart);
    ApplyAnnouncement(registrar, Announced(1, 50, UpstreamState::Ready), kStart + seconds(4));
    ApplyAnnouncement(other, Announced(1, 20, UpstreamState::Ready), kStart + seconds(4));
    TakeChanges(registrar);
    CopyAll(other, registrar, kStart + seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, TakeChanges(registrar).size());
    CopyAll(registrar, other, kStart + seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), other.mRecords.at("service-0-0").mRegistrar);
    CPPUNIT_ASSERT(ComputeDigest(registrar) == ComputeDigest(other));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);
