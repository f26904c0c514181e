// Guards against a bench that cannot fail: results that differ between runs, or checks that miss an
// answer that breaks an invariant.
#include "bench_scenarios.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;

namespace {

std::shared_ptr<const Config>
MakeConfig()
{
  auto config = std::make_shared<Config>();
  config->mClasses["check"].mName = "check";
  config->mCollections["desk"] = { "desk", { "a" }, "check" };
  return config;
}

// One service in two shards with one replica each.
void
AddShards(World& aWorld)
{
  for (std::uint32_t shard = 0; shard < 2; ++shard) {
    UpstreamInfo info;
    info.mId = shard == 0 ? "a-0" : "a-1";
    info.mService = "a";
    info.mMap = 1;
    info.mShard = shard;
    info.mRange = { shard * (kKeySpace / 2), (shard + 1) * (kKeySpace / 2) };
    info.mAddress = { "127.0.0.1", 1 };
    info.mDataCentre = "dc";
    info.mSlots = 1;
    info.mConnections = 4;
    info.mVersions = { 1 };
    info.mState = UpstreamState::Ready;
    aWorld.AddReplica(info, milliseconds(1));
  }
}

std::size_t
CountViolations(const World& aWorld, std::string_view aInvariant)
{
  std::size_t count = 0;
  for (const Violation& violation : aWorld.Violations()) {
    count += violation.mInvariant == aInvariant ? 1 : 0;
  }
  return count;
}

} // namespace

class BenchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BenchTest);
  CPPUNIT_TEST(RepeatsResults);
  CPPUNIT_TEST(DrawsWithStatedMeans);
  CPPUNIT_TEST(AcceptsCorrectAnswer);
  CPPUNIT_TEST(FindsKeyRangeCountedTwice);
  CPPUNIT_TEST(LeavesOutWrongVersion);
  CPPUNIT_TEST_SUITE_END();

public:
  void RepeatsResults()
  {
    const ScheduleResult first = RunSchedule(11, false);
    CPPUNIT_ASSERT_EQUAL(first.mSignature, RunSchedule(11, false).mSignature);
    CPPUNIT_ASSERT(first.mSignature != RunSchedule(12, false).mSignature);
  }

  void DrawsWithStatedMeans()
  {
    constexpr int kDraws = 100'000;
    Rng rng(1);
    Duration exponential{};
    Duration service{};
    for (int i = 0; i < kDraws; ++i) {
      exponential += DrawExponential(rng, kMeanServiceTime);
      service += DrawServiceTime(rng);
    }
    // Five standard errors of the mean of the exponential distribution are 1.6%.
    const auto bound = kMeanServiceTime.count() * 16 / 1000;
    CPPUNIT_ASSERT(std::abs((exponential / kDraws - kMeanServiceTime).count()) <= bound);
    CPPUNIT_ASSERT(std::abs((service / kDraws - kMeanServiceTime).count()) <= bound);
  }

  void AcceptsCorrectAnswer()
  {
    World world({ BenchPolicy::Current, 1, { "dc" }, false }, MakeConfig());
    AddShards(world);
    world.Schedule(milliseconds(1), [&world] { world.Submit({ "desk", "check", "q", 0 }, 0); });
    world.Run();
    CPPUNIT_ASSERT(world.Queries().at(0).mResult == Result::Ok);
    CPPUNIT_ASSERT(world.Violations().empty());
  }

  // The second replica searches the range of the first one and states its own; no engine can see
  // that, so the check must report it.
  void FindsKeyRangeCountedTwice()
  {
    World world({ BenchPolicy::Current, 1, { "dc" }, false }, MakeConfig());
    AddShards(world);
    world.At(1).mInfo.mRange = world.At(0).mInfo.mRange;
    world.Schedule(milliseconds(1), [&world] { world.Submit({ "desk", "check", "q", 0 }, 0); });
    world.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountViolations(world, "I1"));
  }

  // A reply at another version is neither merged nor counted as answered by either policy.
  void LeavesOutWrongVersion()
  {
    for (const BenchPolicy policy : { BenchPolicy::Current, BenchPolicy::Baseline }) {
      World world({ policy, 1, { "dc" }, false }, MakeConfig());
      AddShards(world);
      world.At(1).mFaults.mWrongVersion = true;
      world.Schedule(milliseconds(1), [&world] { world.Submit({ "desk", "check", "q", 0 }, 0); });
      world.Run();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountViolations(world, "I1"));
      CPPUNIT_ASSERT(world.Queries().at(0).mResult == Result::CoverageBelowMinimum);
      CPPUNIT_ASSERT_EQUAL(1U, world.Queries().at(0).mAnswered);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BenchTest);
