// Tests of the data folder. They guard against lost or invented state and against corruption that
// is silently accepted.
#include "memory_files.h"
#include "storage.h"

#include <algorithm>
#include <cerrno>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace apricotyard;

namespace {

constexpr const char* kFolder = "/data";
constexpr const char* kLog = "/data/log-00000001";

using StoragePtr = std::unique_ptr<Storage>;

Expected<StoragePtr>
OpenDisk(MemoryDisk& aDisk)
{
  return Storage::Open(aDisk.StartProcess(), kFolder, "c1", 7);
}

LogEntry
MakeEntry(std::uint64_t aIndex, std::uint64_t aTerm)
{
  return { aIndex, aTerm, EntryKind::Command, fmt::format("command {} of {}", aIndex, aTerm) };
}

// State that a test expects in the folder.
struct ExpectedState
{
  VoteState mVote;
  std::uint64_t mSnapshot = 0;
  std::vector<LogEntry> mEntries;

  bool operator==(const ExpectedState&) const = default;
};

ExpectedState
LoadState(Storage& aStorage)
{
  RaftInitialState start = aStorage.TakeInitialState();
  return { start.mVote, start.mSnapshot.mIndex, std::move(start.mEntries) };
}

// Runs one step of the script and changes aState to the state after it.
Expected<void>
RunStep(Storage& aStorage, int aStep, ExpectedState& aState)
{
  const std::uint64_t last = aState.mSnapshot + aState.mEntries.size();
  const auto term = static_cast<std::uint64_t>(aStep) + 1;
  if (aStep % 5 == 0) {
    aState.mVote = { term, "c2.0000abcd" };
    return aStorage.SaveVote(aState.mVote);
  }
  if (aStep % 7 == 3) {
    const std::uint64_t index = last - 1;
    const SnapshotMeta meta{ index, aState.mEntries[index - aState.mSnapshot - 1].mTerm, {}, 5 };
    aState.mEntries.erase(aState.mEntries.begin(), aState.mEntries.end() - 1);
    aState.mSnapshot = index;
    return aStorage.SaveSnapshot(meta, "state", true);
  }
  if (aStep % 11 == 8) {
    // A snapshot from a leader, which replaces the log.
    aState.mEntries.clear();
    aState.mSnapshot = last + 5;
    return aStorage.SaveSnapshot({ last + 5, term, {}, 5 }, "state", false);
  }
  // Every third append replaces the last entry.
  const bool replace = aStep % 3 == 0 && aState.mEntries.size() > 1;
  const std::uint64_t first = replace ? last : last + 1;
  std::vector<LogEntry> entries;
  for (std::uint64_t index = first; index < first + 3; ++index) {
    entries.push_back(MakeEntry(index, term));
  }
  if (replace) {
    aState.mEntries.pop_back();
  }
  aState.mEntries.insert(aState.mEntries.end(), entries.begin(), entries.end());
  return aStorage.Append(entries);
}

constexpr int kSteps = 24;

// Runs the script until a step fails. Returns the confirmed state and the state that the failed
// step may have reached.
std::pair<ExpectedState, ExpectedState>
RunScript(MemoryDisk& aDisk)
{
  ExpectedState confirmed;
  auto storage = OpenDisk(aDisk);
  if (!storage) {
    return { confirmed, confirmed };
  }
  for (int step = 0; step < kSteps; ++step) {
    ExpectedState next = confirmed;
    if (!RunStep(**storage, step, next)) {
      return { confirmed, next };
    }
    confirmed = next;
  }
  return { confirmed, confirmed };
}

} // namespace

class StorageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StorageTest);
  CPPUNIT_TEST(CrashAtEveryOperationKeepsConfirmedState);
  CPPUNIT_TEST(EveryFailedOperationIsReported);
  CPPUNIT_TEST(FailedSyncIsNotRetried);
  CPPUNIT_TEST(FullDiskRefusesAndRecovers);
  CPPUNIT_TEST(CorruptionBeforeTailIsRefusedWithFileAndOffset);
  CPPUNIT_TEST(TornTailIsTruncated);
  CPPUNIT_TEST(SecondProcessIsRefused);
  CPPUNIT_TEST(MissingFilesAndUnknownFormatsAreRefused);
  CPPUNIT_TEST(WipedDiskGetsNewIdentity);
  CPPUNIT_TEST_SUITE_END();

public:
  // After a crash or power loss at any create, write, sync, rename, truncate or remove, the folder
  // must open with either the confirmed state or that of the interrupted step. Twelve seeds per
  // operation vary what is lost.
  void CrashAtEveryOperationKeepsConfirmedState()
  {
    MemoryDisk whole(1);
    RunScript(whole);
    const std::uint64_t operations = whole.OperationCount();
    CPPUNIT_ASSERT(operations > 80);
    for (std::uint64_t at = 1; at <= operations; ++at) {
      for (std::uint64_t seed = 0; seed < 12; ++seed) {
        MemoryDisk disk(seed * 1000 + at);
        disk.CrashAt(at);
        const auto [confirmed, running] = RunScript(disk);
        if (seed % 3 == 0) {
          disk.EndProcess();
        }
        disk.LosePower();
        auto storage = OpenDisk(disk);
        const std::string where = fmt::format("operation {} seed {}", at, seed);
        CPPUNIT_ASSERT_MESSAGE(where + (storage ? "" : ": " + storage.error().mMessage),
                               storage.has_value());
        const ExpectedState loaded = LoadState(**storage);
        CPPUNIT_ASSERT_MESSAGE(where, loaded == confirmed || loaded == running);
        // The folder must stay usable, and the loaded state must be durable.
        storage->reset();
        disk.LosePower();
        auto again = OpenDisk(disk);
        CPPUNIT_ASSERT_MESSAGE(where, again && LoadState(**again) == loaded);
      }
    }
  }

  // A step must not report success if one of its operations failed, except the removal of old
  // files.
  void EveryFailedOperationIsReported()
  {
    MemoryDisk whole(1);
    RunScript(whole);
    const std::uint64_t operations = whole.OperationCount();
    std::uint64_t failed = 0;
    for (std::uint64_t at = 1; at <= operations; ++at) {
      MemoryDisk disk(at);
      disk.FailAt(at, EIO);
      const auto [confirmed, running] = RunScript(disk);
      failed += confirmed == running && confirmed.mEntries.empty() ? 1U : 0U;
      disk.LosePower();
      auto storage = OpenDisk(disk);
      CPPUNIT_ASSERT_MESSAGE(storage ? "" : storage.error().mMessage, storage.has_value());
      const ExpectedState loaded = LoadState(**storage);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("operation {}", at),
                             loaded == confirmed || loaded == running);
    }
    // A failure during the creation of the folder leaves no state.
    CPPUNIT_ASSERT(failed > 5);
  }

  // The kernel may discard data that a failed sync could not write, so a later successful sync
  // proves nothing.
  void FailedSyncIsNotRetried()
  {
    MemoryDisk disk(1);
    auto storage = OpenDisk(disk);
    const LogEntry entry = MakeEntry(1, 1);
    disk.FailAt(disk.OperationCount() + 2, EIO);
    const auto failed = (*storage)->Append({ &entry, 1 });
    CPPUNIT_ASSERT(!failed && failed.error().mResult == Result::StorageFailed);
    const std::uint64_t operations = disk.OperationCount();
    CPPUNIT_ASSERT(!(*storage)->Append({ &entry, 1 }).has_value());
    CPPUNIT_ASSERT(!(*storage)->SaveVote({ 1, "" }).has_value());
    CPPUNIT_ASSERT_EQUAL(operations, disk.OperationCount());
  }

  // For each amount of free space: a refused write must have no effect, and must succeed once there
  // is space.
  void FullDiskRefusesAndRecovers()
  {
    std::uint64_t refused = 0;
    for (std::uint64_t space = 0; space < 400; space += 7) {
      MemoryDisk disk(space);
      auto storage = OpenDisk(disk);
      disk.SetCapacity(disk.UsedBytes() + space);
      ExpectedState model;
      for (int step = 0; step < kSteps; ++step) {
        ExpectedState next = model;
        auto done = RunStep(**storage, step, next);
        if (!done) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(done.error().mMessage,
                                       static_cast<int>(Result::DiskFull),
                                       static_cast<int>(done.error().mResult));
          CPPUNIT_ASSERT(done.error().mMessage.find(kFolder) != std::string::npos);
          ++refused;
          disk.SetCapacity(UINT64_MAX);
          next = model;
          done = RunStep(**storage, step, next);
          CPPUNIT_ASSERT_MESSAGE(done ? "" : done.error().mMessage, done.has_value());
          disk.SetCapacity(disk.UsedBytes() + space);
        }
        model = next;
      }
      storage->reset();
      disk.SetCapacity(UINT64_MAX);
      disk.LosePower();
      auto again = OpenDisk(disk);
      CPPUNIT_ASSERT_MESSAGE(again ? "" : again.error().mMessage, again.has_value());
      CPPUNIT_ASSERT(LoadState(**again) == model);
    }
    CPPUNIT_ASSERT(refused > 50);
  }

  // Any changed byte before the last record must be detected, and the error must name the file and
  // the offset.
  void CorruptionBeforeTailIsRefusedWithFileAndOffset()
  {
    MemoryDisk disk(1);
    std::size_t lastRecord = 0;
    {
      auto storage = OpenDisk(disk);
      for (std::uint64_t index = 1; index <= 5; ++index) {
        lastRecord = disk.Content(kLog).size();
        const LogEntry entry = MakeEntry(index, 1);
        CPPUNIT_ASSERT((*storage)->Append({ &entry, 1 }).has_value());
      }
    }
    const std::string good = disk.Content(kLog);
    for (std::size_t at = 0; at < lastRecord; ++at) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ 0x10);
      disk.SetContent(kLog, bad);
      const auto opened = OpenDisk(disk);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("byte {}", at), !opened.has_value());
      CPPUNIT_ASSERT(opened.error().mResult == Result::StorageCorrupt);
      CPPUNIT_ASSERT(opened.error().mMessage.find(std::string(kLog) + " is damaged at offset ") !=
                     std::string::npos);
      CPPUNIT_ASSERT_EQUAL(bad, disk.Content(kLog));
    }
  }

  // Any bytes after the last complete record are removed, and the log can be continued.
  void TornTailIsTruncated()
  {
    const bool held = rc::check("torn tail", [](const std::string& aGarbage, std::uint8_t aCut) {
      MemoryDisk disk(1);
      std::size_t whole = 0;
      {
        auto storage = OpenDisk(disk);
        const LogEntry first = MakeEntry(1, 1);
        const LogEntry second = MakeEntry(2, 1);
        RC_ASSERT((*storage)->Append({ &first, 1 }).has_value());
        whole = disk.Content(kLog).size();
        RC_ASSERT((*storage)->Append({ &second, 1 }).has_value());
      }
      const std::string log = disk.Content(kLog);
      const std::size_t kept = whole + aCut % (log.size() - whole);
      disk.SetContent(kLog, log.substr(0, kept) + aGarbage);
      RC_PRE(log.substr(0, kept) + aGarbage != log);
      auto storage = OpenDisk(disk);
      RC_ASSERT(storage.has_value());
      RC_ASSERT((*storage)->TruncatedBytes() == kept - whole + aGarbage.size());
      RC_ASSERT(LoadState(**storage).mEntries.size() == 1U);
      const LogEntry next = MakeEntry(2, 3);
      RC_ASSERT((*storage)->Append({ &next, 1 }).has_value());
      storage->reset();
      RC_ASSERT(LoadState(**OpenDisk(disk)).mEntries.back() == next);
    });
    CPPUNIT_ASSERT(held);
  }

  void SecondProcessIsRefused()
  {
    MemoryDisk disk(1);
    const FileOps ops = disk.StartProcess();
    auto first = Storage::Open(ops, kFolder, "c1", 1);
    CPPUNIT_ASSERT(first.has_value());
    const auto second = Storage::Open(ops, kFolder, "c1", 2);
    CPPUNIT_ASSERT(!second && second.error().mResult == Result::StorageLocked);
    first->reset();
    CPPUNIT_ASSERT(Storage::Open(ops, kFolder, "c1", 3).has_value());
  }

  // A member must not start from a folder that lost a file, since it would have forgotten its vote
  // or its log.
  void MissingFilesAndUnknownFormatsAreRefused()
  {
    for (const char* name : { "FORMAT", "identity", "vote", "log-00000001" }) {
      MemoryDisk disk(1);
      {
        auto storage = OpenDisk(disk);
        const LogEntry entry = MakeEntry(1, 1);
        CPPUNIT_ASSERT((*storage)->Append({ &entry, 1 }).has_value());
      }
      disk.Erase(fmt::format("{}/{}", kFolder, name));
      const auto opened = OpenDisk(disk);
      CPPUNIT_ASSERT_MESSAGE(name, !opened.has_value());
      CPPUNIT_ASSERT(opened.error().mMessage.find(name) != std::string::npos);
    }
    MemoryDisk disk(1);
    OpenDisk(disk)->reset();
    disk.SetContent("/data/FORMAT", "apricotyard-control 2\n");
    const auto opened = OpenDisk(disk);
    CPPUNIT_ASSERT(!opened && opened.error().mResult == Result::StorageFormat);
  }

  void WipedDiskGetsNewIdentity()
  {
    MemoryDisk disk(1);
    const std::string first = (*OpenDisk(disk))->Identity();
    CPPUNIT_ASSERT_EQUAL(first,
                         (*Storage::Open(disk.StartProcess(), kFolder, "c1", 8))->Identity());
    disk.Wipe();
    CPPUNIT_ASSERT(first != (*Storage::Open(disk.StartProcess(), kFolder, "c1", 8))->Identity());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StorageTest);
