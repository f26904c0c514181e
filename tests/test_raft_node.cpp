// Tests of complete members over gRPC, real files and the event loop. They guard against faults
// that appear only when these parts work together.
#include "memory_files.h"
#include "raft_node.h"
#include "simulated_suspension.h"
#include "test_address.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <filesystem>
#include <future>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

constexpr std::uint16_t kPort = 7400;
// Wall-clock limit after which a test fails instead of hanging.
constexpr std::chrono::seconds kTimeLimit{ 20 };

// A state machine that records all commands.
struct RecordingMachine
{
  std::string mText;

  StateMachine MakeStateMachine()
  {
    return { [this](std::uint64_t, std::string_view aCommand) {
              mText += aCommand;
              mText += ';';
              return "done " + std::string(aCommand);
            },
             [this] { return mText; },
             [this](std::string_view aSnapshot) -> Expected<void> {
               mText = aSnapshot;
               return {};
             } };
  }
};

// A group of members on one loop, which runs on its own thread.
class TestGroup
{
public:
  TestGroup()
    : mFolder(std::filesystem::temp_directory_path() / ("apricot-node-" + TestIp(0)))
    , mThread([this] { mLoop.Run(); })
  {
    std::filesystem::remove_all(mFolder);
    std::filesystem::create_directories(mFolder);
  }

  ~TestGroup()
  {
    Call([this] { mNodes.clear(); });
    mLoop.Stop();
    mThread.join();
    std::filesystem::remove_all(mFolder);
  }

  template<typename Function>
  auto Call(Function aFunction) -> decltype(aFunction())
  {
    std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
    auto result = task.get_future();
    mLoop.Post([&task] { task(); });
    return result.get();
  }

  // Calls aFunction on the loop until it returns true. Returns false after the time limit.
  bool WaitUntil(const std::function<bool()>& aFunction)
  {
    const auto end = std::chrono::steady_clock::now() + kTimeLimit;
    while (!Call(aFunction)) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
  }

  static SocketAddress Address(int aMember) { return { TestIp(aMember), kPort }; }
  static std::string Name(int aMember) { return "control-" + std::to_string(aMember); }
  std::string Folder(int aMember) const { return (mFolder / Name(aMember)).string(); }

  Expected<void> Start(int aMember, int aInitial)
  {
    return Call([&]() -> Expected<void> {
      std::vector<LogMember> initial;
      for (int i = 1; i <= aInitial; ++i) {
        initial.push_back({ Name(i), Address(i) });
      }
      MemberSettings settings;
      settings.mRaft.mElectionTimeout = std::chrono::milliseconds(300);
      settings.mRaft.mHeartbeatInterval = std::chrono::milliseconds(60);
      settings.mRaft.mTrailingEntries = 5;
      settings.mRaft.mSnapshotChunkBytes = 64;
      settings.mSnapshotEntries = 20;
      mMachines[aMember] = {};
      RaftNode::Builder builder(mLoop);
      builder.Name(Name(aMember))
        .Folder(Folder(aMember))
        .Address(Address(aMember))
        .InitialMembers(initial)
        .Machine(mMachines[aMember].MakeStateMachine())
        .ChartFile(SOURCE_FOLDER "/charts/control_member.toml")
        .Settings(settings);
      if (mCustomise) {
        mCustomise(builder);
      }
      auto node = builder.Start();
      if (!node) {
        return tl::unexpected(node.error());
      }
      mNodes[aMember] = std::move(*node);
      return {};
    });
  }

  void StartAll(int aMembers)
  {
    for (int member = 1; member <= aMembers; ++member) {
      const auto started = Start(member, aMembers);
      CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().mMessage, started.has_value());
    }
  }

  // True if the first successful linearizable read on the member returns exactly this text.
  // Retries, because a member that does not yet know the leader refuses reads.
  bool ReadReturns(int aMember, const std::string& aText)
  {
    const auto end = std::chrono::steady_clock::now() + kTimeLimit;
    Expected<void> read;
    do {
      read = Await([&](auto aDone) { mNodes[aMember]->ReadBarrier(aDone); });
    } while (!read && std::chrono::steady_clock::now() < end);
    return read && Call([&] { return mMachines[aMember].mText; }) == aText;
  }

  void Stop(int aMember)
  {
    Call([&] { mNodes.erase(aMember); });
  }

  // The number of the leader, or 0 if none appears within the time limit.
  int Leader()
  {
    int leader = 0;
    WaitUntil([&] {
      for (const auto& [number, node] : mNodes) {
        leader = node->Status().mLeading ? number : leader;
      }
      return leader != 0;
    });
    return leader;
  }

  Expected<std::string> Propose(int aMember, const std::string& aCommand)
  {
    auto done = std::make_shared<std::promise<Expected<std::string>>>();
    auto result = done->get_future();
    Call([&] {
      mNodes[aMember]->Propose(
        aCommand, [done](Expected<std::string> aOutcome) { done->set_value(std::move(aOutcome)); });
    });
    return result.get();
  }

  // Runs aCall on the loop and waits for the result that it reports through its DoneHandler.
  Expected<void> Await(const std::function<void(ReplicatedLog::DoneHandler)>& aCall)
  {
    auto done = std::make_shared<std::promise<Expected<void>>>();
    auto result = done->get_future();
    Call([&] { aCall([done](Expected<void> aOutcome) { done->set_value(std::move(aOutcome)); }); });
    return result.get();
  }

  std::filesystem::path mFolder;
  std::function<void(RaftNode::Builder&)> mCustomise;
  Loop mLoop;
  std::map<int, RecordingMachine> mMachines;
  std::map<int, std::unique_ptr<RaftNode>> mNodes;
  std::thread mThread;
};

using FullDisks = std::array<std::atomic<bool>, 3>;

// Starts the members. Writes of a member fail while its element of the result is true. Their files
// are in memory, because a sync of a busy disk can take longer than the lease of the leader.
std::shared_ptr<FullDisks>
StartWithFullDisks(TestGroup& aGroup, int aMembers)
{
  auto full = std::make_shared<FullDisks>();
  auto next = std::make_shared<std::size_t>(0);
  auto disks = std::make_shared<std::vector<std::unique_ptr<MemoryDisk>>>();
  aGroup.mCustomise = [full, next, disks](RaftNode::Builder& aBuilder) {
    disks->push_back(std::make_unique<MemoryDisk>(*next));
    FileOps ops = disks->back()->StartProcess();
    ops.mWrite = [full, member = (*next)++, write = ops.mWrite](
                   int aFd, std::string_view aData, std::uint64_t aOffset) -> ssize_t {
      return (*full)[member] ? -ENOSPC : write(aFd, aData, aOffset);
    };
    aBuilder.Files(ops);
  };
  aGroup.StartAll(aMembers);
  return full;
}

} // namespace

class RaftNodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RaftNodeTest);
  CPPUNIT_TEST(ReplicatesAndReadsOnEveryMember);
  CPPUNIT_TEST(RestartedMembersKeepState);
  CPPUNIT_TEST(RestartedGroupElectsLeaderWithoutWait);
  CPPUNIT_TEST(MemberWithNewDiskRejoinsAsLearner);
  CPPUNIT_TEST(RecoveredMemberIsOnlyVoter);
  CPPUNIT_TEST(FailedSyncStopsMember);
  CPPUNIT_TEST(ChangesAreAcceptedWhileOneDiskIsFull);
  CPPUNIT_TEST(ChangesAreRefusedWhileNoMajorityCanWrite);
  CPPUNIT_TEST(SuspendedLeaderRefusesReads);
  CPPUNIT_TEST(SuspendedFollowerKnowsNoLeader);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReplicatesAndReadsOnEveryMember()
  {
    TestGroup group;
    group.StartAll(3);
    const int leader = group.Leader();
    CPPUNIT_ASSERT(leader != 0);
    const auto outcome = group.Propose(leader, "a");
    CPPUNIT_ASSERT_MESSAGE(outcome ? "" : outcome.error().mMessage, outcome.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("done a"), *outcome);
    for (int member = 1; member <= 3; ++member) {
      const auto read = group.Await([&](auto aDone) { group.mNodes[member]->ReadBarrier(aDone); });
      CPPUNIT_ASSERT_MESSAGE(read ? "" : read.error().mMessage, read.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("a;"),
                           group.Call([&] { return group.mMachines[member].mText; }));
      const auto refused = group.Propose(member, "b" + std::to_string(member));
      CPPUNIT_ASSERT_EQUAL(member == leader, refused.has_value());
      CPPUNIT_ASSERT(refused || refused.error().mResult == Result::NotLeader);
      if (member == leader) {
        break;
      }
    }
  }

  void RestartedMembersKeepState()
  {
    TestGroup group;
    group.StartAll(3);
    const int leader = group.Leader();
    std::string expected;
    for (int i = 0; i < 50; ++i) {
      expected += std::to_string(i) + ";";
      CPPUNIT_ASSERT(group.Propose(leader, std::to_string(i)).has_value());
    }
    for (int member = 1; member <= 3; ++member) {
      group.Stop(member);
    }
    group.StartAll(3);
    CPPUNIT_ASSERT(group.Leader() != 0);
    for (int member = 1; member <= 3; ++member) {
      CPPUNIT_ASSERT(group.ReadReturns(member, expected));
    }
  }

  // Members that started before their peers used to wait longer than an election takes until they
  // connected again, and all of them waited for the end of old leases.
  void RestartedGroupElectsLeaderWithoutWait()
  {
    TestGroup group;
    // So long that the test passes only without the wait, also on a busy machine.
    group.mCustomise = [](RaftNode::Builder& aBuilder) {
      MemberSettings settings;
      settings.mRaft.mElectionTimeout = std::chrono::seconds(5);
      aBuilder.Settings(settings);
    };
    group.StartAll(5);
    CPPUNIT_ASSERT(group.Leader() != 0);
    CPPUNIT_ASSERT(group.Propose(group.Leader(), "a").has_value());
    for (int member = 1; member <= 5; ++member) {
      CPPUNIT_ASSERT(group.ReadReturns(member, "a;"));
    }
    for (int member = 1; member <= 5; ++member) {
      group.Stop(member);
    }
    const auto start = std::chrono::steady_clock::now();
    group.StartAll(5);
    CPPUNIT_ASSERT(group.Leader() != 0);
    const auto took = std::chrono::steady_clock::now() - start;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(took / std::chrono::milliseconds(1)) + " ms",
                           took < std::chrono::seconds(4));
    for (int member = 1; member <= 5; ++member) {
      CPPUNIT_ASSERT(group.ReadReturns(member, "a;"));
    }
  }

  // Replacement of a lost disk as the design page describes it: add the new identity as a learner,
  // which needs a snapshot, remove the old identity and promote the learner.
  void MemberWithNewDiskRejoinsAsLearner()
  {
    TestGroup group;
    group.StartAll(3);
    std::string expected;
    for (int i = 0; i < 60; ++i) {
      expected += std::to_string(i) + ";";
      CPPUNIT_ASSERT(group.Propose(group.Leader(), std::to_string(i)).has_value());
    }
    const int lost = group.Leader() % 3 + 1;
    const std::string old = group.Call([&] { return group.mNodes[lost]->Status().mSelf; });
    group.Stop(lost);
    std::filesystem::remove_all(group.Folder(lost));
    CPPUNIT_ASSERT(group.Start(lost, 3).has_value());
    CPPUNIT_ASSERT(old != group.Call([&] { return group.mNodes[lost]->Status().mSelf; }));
    RaftNode& leader = *group.mNodes[group.Leader()];
    const LogMember learner{ TestGroup::Name(lost), TestGroup::Address(lost), MemberRole::Learner };
    const auto added = group.Await([&](auto aDone) { leader.AddLearner(learner, aDone); });
    CPPUNIT_ASSERT_MESSAGE(added ? "" : added.error().mMessage, added.has_value());
    const std::string fresh = group.Call([&] { return group.mNodes[lost]->Status().mSelf; });
    CPPUNIT_ASSERT(group.WaitUntil([&] { return group.mMachines[lost].mText == expected; }));
    // Two members share the name until the old identity is removed.
    const auto ambiguous =
      group.Await([&](auto aDone) { leader.Promote(TestGroup::Name(lost), aDone); });
    CPPUNIT_ASSERT(!ambiguous && ambiguous.error().mResult == Result::UnknownMember);
    const auto removed = group.Await([&](auto aDone) { leader.Remove(old, aDone); });
    CPPUNIT_ASSERT_MESSAGE(removed ? "" : removed.error().mMessage, removed.has_value());
    const auto promoted =
      group.Await([&](auto aDone) { leader.Promote(TestGroup::Name(lost), aDone); });
    CPPUNIT_ASSERT_MESSAGE(promoted ? "" : promoted.error().mMessage, promoted.has_value());
    const LogStatus status = group.Call([&] { return leader.Status(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, status.mMembers.size());
    CPPUNIT_ASSERT(std::any_of(status.mMembers.begin(), status.mMembers.end(), [&](auto& aMember) {
      return aMember.mId == fresh && aMember.mRole == MemberRole::Voter;
    }));
  }

  void RecoveredMemberIsOnlyVoter()
  {
    TestGroup group;
    group.StartAll(3);
    CPPUNIT_ASSERT(group.Propose(group.Leader(), "a").has_value());
    const int survivor = group.Leader();
    const auto running = RecoverMember(
      SystemFileOps(), group.Folder(survivor), TestGroup::Address(survivor), 1, false);
    CPPUNIT_ASSERT(!running && running.error().mResult == Result::StorageLocked);
    const std::uint64_t last =
      group.Call([&] { return group.mNodes[survivor]->Status().mLastIndex; });
    for (int member = 1; member <= 3; ++member) {
      group.Stop(member);
    }
    const auto planned =
      RecoverMember(SystemFileOps(), group.Folder(survivor), TestGroup::Address(survivor), 1, true);
    CPPUNIT_ASSERT_MESSAGE(planned ? "" : planned.error().mMessage, planned.has_value());
    CPPUNIT_ASSERT_EQUAL(last, planned->mLastIndex);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, planned->mOldMembers.size());
    const auto done = RecoverMember(
      SystemFileOps(), group.Folder(survivor), TestGroup::Address(survivor), 1, false);
    CPPUNIT_ASSERT_EQUAL(last, done->mLastIndex);
    CPPUNIT_ASSERT_EQUAL(planned->mOldIdentity, done->mOldIdentity);
    CPPUNIT_ASSERT(done->mOldIdentity != done->mNewIdentity);
    CPPUNIT_ASSERT(group.Start(survivor, 3).has_value());
    CPPUNIT_ASSERT_EQUAL(survivor, group.Leader());
    CPPUNIT_ASSERT(group.Propose(survivor, "b").has_value());
    CPPUNIT_ASSERT(group.ReadReturns(survivor, "a;b;"));
    CPPUNIT_ASSERT(!RecoverMember(SystemFileOps(), group.Folder(9), TestGroup::Address(9), 1, false)
                      .has_value());
  }

  // Disks fill up one after the other, beginning with that of the leader.
  void ChangesAreAcceptedWhileOneDiskIsFull()
  {
    TestGroup group;
    const auto full = StartWithFullDisks(group, 3);
    std::string expected;
    for (int round = 0; round < 6; ++round) {
      const int leader = group.Leader();
      const int member = (leader + round - 1) % 3;
      (*full)[static_cast<std::size_t>(member)] = true;
      for (int i = 0; i < 10; ++i) {
        const std::string command = std::to_string(round) + "-" + std::to_string(i);
        const auto outcome = group.Propose(leader, command);
        CPPUNIT_ASSERT_MESSAGE(outcome ? "" : outcome.error().mMessage, outcome.has_value());
        expected += command + ";";
      }
      (*full)[static_cast<std::size_t>(member)] = false;
    }
    for (int member = 1; member <= 3; ++member) {
      CPPUNIT_ASSERT(group.ReadReturns(member, expected));
    }
  }

  void ChangesAreRefusedWhileNoMajorityCanWrite()
  {
    TestGroup group;
    const auto full = StartWithFullDisks(group, 1);
    CPPUNIT_ASSERT(group.Propose(group.Leader(), "a").has_value());
    (*full)[0] = true;
    // The first one finds the disk full and waits for space, the next ones are refused.
    auto waiting = std::make_shared<std::promise<Expected<std::string>>>();
    group.Call([&] {
      group.mNodes[1]->Propose("b", [waiting](Expected<std::string> aOutcome) {
        waiting->set_value(std::move(aOutcome));
      });
    });
    CPPUNIT_ASSERT(group.WaitUntil([&] { return group.mNodes[1]->Status().mLastIndex >= 4; }));
    const auto refused = group.Propose(1, "c");
    CPPUNIT_ASSERT(!refused && refused.error().mResult == Result::DiskFull);
    (*full)[0] = false;
    CPPUNIT_ASSERT(waiting->get_future().get().has_value());
    CPPUNIT_ASSERT(group.Propose(1, "d").has_value());
    CPPUNIT_ASSERT(group.ReadReturns(1, "a;b;d;"));
  }

  // After a failed sync the member must acknowledge nothing.
  void FailedSyncStopsMember()
  {
    TestGroup group;
    auto broken = std::make_shared<std::atomic<bool>>(false);
    auto failures = std::make_shared<std::atomic<int>>(0);
    group.mCustomise = [&](RaftNode::Builder& aBuilder) {
      FileOps ops = SystemFileOps();
      ops.mSync = [broken, sync = ops.mSync](int aFd) { return *broken ? -EIO : sync(aFd); };
      aBuilder.Files(ops).OnFatal([failures](const Error&) { ++*failures; });
    };
    group.StartAll(1);
    const int leader = group.Leader();
    CPPUNIT_ASSERT(group.Propose(leader, "a").has_value());
    *broken = true;
    const auto open = group.Propose(leader, "b");
    CPPUNIT_ASSERT(!open && open.error().mResult == Result::ProposalUnknown);
    *broken = false;
    CPPUNIT_ASSERT(group.Propose(leader, "c").error().mResult == Result::NotLeader);
    CPPUNIT_ASSERT_EQUAL(1, failures->load());
    CPPUNIT_ASSERT(!group.Call([&] { return group.mNodes[leader]->Status().mLeading; }));
  }

  // Guards against a leader that answers reads from its old state after a suspension in which
  // another member may have become the leader.
  void SuspendedLeaderRefusesReads()
  {
    TestGroup group;
    group.StartAll(3);
    const int leader = group.Leader();
    CPPUNIT_ASSERT(group.Propose(leader, "a").has_value());
    CPPUNIT_ASSERT(group.Await([&](auto aDone) { group.mNodes[leader]->ReadBarrier(aDone); }));
    // In one task of the loop, so that no message of another member is handled in between.
    const auto read = group.Await([&](auto aDone) {
      SimulateSuspension(std::chrono::seconds(5));
      group.mNodes[leader]->ReadBarrier(aDone);
      CPPUNIT_ASSERT(!group.mNodes[leader]->Status().mLeading);
    });
    CPPUNIT_ASSERT(!read && read.error().mResult == Result::ReadUnavailable);
  }

  // Guards against a follower that reports its state as current after a suspension.
  void SuspendedFollowerKnowsNoLeader()
  {
    TestGroup group;
    group.StartAll(3);
    const int follower = group.Leader() % 3 + 1;
    CPPUNIT_ASSERT(
      group.WaitUntil([&] { return !group.mNodes[follower]->Status().mLeader.empty(); }));
    const std::string known = group.Call([&] {
      SimulateSuspension(std::chrono::seconds(5));
      return group.mNodes[follower]->Status().mLeader;
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), known);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftNodeTest);
