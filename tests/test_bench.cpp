// Guards against a decision bench whose results differ between runs of one seed, and against checks
// that accept an answer that violates an invariant.
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

// Adds one service with two shards and one replica per shard.
void
AddShards(SimulatedCluster& aCluster)
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
    aCluster.AddReplica(info, milliseconds(1));
  }
}

std::size_t
CountViolations(const SimulatedCluster& aCluster, std::string_view aInvariant)
{
  std::size_t count = 0;
  for (const Violation& violation : aCluster.Violations()) {
    count += violation.mInvariant == aInvariant ? 1 : 0;
  }
  return count;
}

} // namespace

class BenchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BenchTest);
  CPPUNIT_TEST(SameSeedGivesSameResults);
  CPPUNIT_TEST(DrawsMatchStatedMeans);
  CPPUNIT_TEST(AcceptsCorrectAnswer);
  CPPUNIT_TEST(DetectsKeyRangeMergedTwice);
  CPPUNIT_TEST(ExcludesReplyAtWrongVersion);
  CPPUNIT_TEST_SUITE_END();

public:
  void SameSeedGivesSameResults()
  {
    const FaultScheduleResult first = RunFaultSchedule(11, false);
    CPPUNIT_ASSERT_EQUAL(first.mSignature, RunFaultSchedule(11, false).mSignature);
    CPPUNIT_ASSERT(first.mSignature != RunFaultSchedule(12, false).mSignature);
  }

  void DrawsMatchStatedMeans()
  {
    constexpr int kDraws = 100'000;
    Rng rng(1);
    Duration exponential{};
    Duration service{};
    for (int i = 0; i < kDraws; ++i) {
      exponential += DrawExponential(rng, kMeanServiceTime);
      service += DrawServiceTime(rng);
    }
    // The bound of 1.6% is five standard errors of the mean of the exponential distribution.
    const auto bound = kMeanServiceTime.count() * 16 / 1000;
    CPPUNIT_ASSERT(std::abs((exponential / kDraws - kMeanServiceTime).count()) <= bound);
    CPPUNIT_ASSERT(std::abs((service / kDraws - kMeanServiceTime).count()) <= bound);
  }

  void AcceptsCorrectAnswer()
  {
    SimulatedCluster cluster({ BenchPolicy::Current, 1, { "dc" }, false }, MakeConfig());
    AddShards(cluster);
    cluster.Schedule(milliseconds(1), [&cluster] {
      cluster.Submit({ "desk", "check", "q", 0 }, 0);
    });
    cluster.Run();
    CPPUNIT_ASSERT(cluster.Queries().at(0).mResult == Result::Ok);
    CPPUNIT_ASSERT(cluster.Violations().empty());
  }

  // The second replica searches the key range of the first, but replies under its own shard. The
  // engine cannot detect this, so the check of the bench must report it.
  void DetectsKeyRangeMergedTwice()
  {
    SimulatedCluster cluster({ BenchPolicy::Current, 1, { "dc" }, false }, MakeConfig());
    AddShards(cluster);
    cluster.At(1).mInfo.mRange = cluster.At(0).mInfo.mRange;
    cluster.Schedule(milliseconds(1), [&cluster] {
      cluster.Submit({ "desk", "check", "q", 0 }, 0);
    });
    cluster.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountViolations(cluster, "I1"));
  }

  // Neither policy may merge a reply at another index version or count its shard as answered.
  void ExcludesReplyAtWrongVersion()
  {
    for (const BenchPolicy policy : { BenchPolicy::Current, BenchPolicy::Baseline }) {
      SimulatedCluster cluster({ policy, 1, { "dc" }, false }, MakeConfig());
      AddShards(cluster);
      cluster.At(1).mFaults.mWrongVersion = true;
      cluster.Schedule(milliseconds(1), [&cluster] {
        cluster.Submit({ "desk", "check", "q", 0 }, 0);
      });
      cluster.Run();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, CountViolations(cluster, "I1"));
      CPPUNIT_ASSERT(cluster.Queries().at(0).mResult == Result::CoverageBelowMinimum);
      CPPUNIT_ASSERT_EQUAL(1U, cluster.Queries().at(0).mAnswered);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BenchTest);
