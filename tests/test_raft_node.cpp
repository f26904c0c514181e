// Guards against members that work alone but not together over gRPC, files and the event loop.
#include "raft_node.h"
#include "test_address.h"

#include <filesystem>
#include <future>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

constexpr std::uint16_t kPort = 7400;
// Real time: only a bound after which a test fails instead of hanging.
constexpr std::chrono::seconds kPatience{ 20 };

// A state machine that keeps all commands.
struct Journal
{
  std::string mText;

  StateMachine Machine()
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

// Members on one loop that runs on its own thread.
class Group
{
public:
  Group()
    : mFolder(std::filesystem::temp_directory_path() / ("apricot-node-" + TestIp(0)))
    , mThread([this] { mLoop.Run(); })
  {
    std::filesystem::remove_all(mFolder);
    std::filesystem::create_directories(mFolder);
  }

  ~Group()
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

  // Repeats aFunction on the loop until it returns true.
  bool Until(const std::function<bool()>& aFunction)
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
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
      settings.mRaft.mElection = std::chrono::milliseconds(300);
      settings.mRaft.mHeartbeat = std::chrono::milliseconds(60);
      settings.mRaft.mKeptEntries = 5;
      settings.mRaft.mChunkBytes = 64;
      settings.mSnapshotEntries = 20;
      mJournals[aMember] = {};
      auto node = RaftNode::Builder(mLoop)
                    .Name(Name(aMember))
                    .Folder(Folder(aMember))
                    .Address(Address(aMember))
                    .InitialMembers(initial)
                    .Machine(mJournals[aMember].Machine())
                    .ChartFile(SOURCE_FOLDER "/charts/control_member.toml")
                    .Settings(settings)
                    .Start();
      if (!node) {
        return tl::unexpected(node.error());
      }
      mNodes[aMember] = std::move(*node);
      return {};
    });
  }

  void Stop(int aMember)
  {
    Call([&] { mNodes.erase(aMember); });
  }

  // The number of the leader, 0 if there is none.
  int Leader()
  {
    int leader = 0;
    Until([&] {
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

  // Runs a call that reports through a DoneHandler.
  Expected<void> Await(const std::function<void(ReplicatedLog::DoneHandler)>& aCall)
  {
    auto done = std::make_shared<std::promise<Expected<void>>>();
    auto result = done->get_future();
    Call([&] { aCall([done](Expected<void> aOutcome) { done->set_value(std::move(aOutcome)); }); });
    return result.get();
  }

  std::filesystem::path mFolder;
  Loop mLoop;
  std::map<int, Journal> mJournals;
  std::map<int, std::unique_ptr<RaftNode>> mNodes;
  std::thread mThread;
};

} // namespace

class RaftNodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RaftNodeTest);
  CPPUNIT_TEST(ReplicatesAndReadsOnEveryMember);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReplicatesAndReadsOnEveryMember()
  {
    Group group;
    for (int member = 1; member <= 3; ++member) {
      const auto started = group.Start(member, 3);
      CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().mMessage, started.has_value());
    }
    const int leader = group.Leader();
    CPPUNIT_ASSERT(leader != 0);
    const auto outcome = group.Propose(leader, "a");
    CPPUNIT_ASSERT_MESSAGE(outcome ? "" : outcome.error().mMessage, outcome.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("done a"), *outcome);
    for (int member = 1; member <= 3; ++member) {
      const auto read = group.Await([&](auto aDone) { group.mNodes[member]->ReadBarrier(aDone); });
      CPPUNIT_ASSERT_MESSAGE(read ? "" : read.error().mMessage, read.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("a;"),
                           group.Call([&] { return group.mJournals[member].mText; }));
      const auto refused = group.Propose(member, "b" + std::to_string(member));
      CPPUNIT_ASSERT_EQUAL(member == leader, refused.has_value());
      CPPUNIT_ASSERT(refused || refused.error().mResult == Result::NotLeader);
      if (member == leader) {
        break;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftNodeTest);
