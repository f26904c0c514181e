// Checks the invariants I1 to I5 under random schedules of faults: failures of every kind, late and
// misdirected replies, restarts, retired versions, repartitions, changing shares and claims.
#include "engine_rig.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kSeeds = 400;
constexpr int kSteps = 150;

struct Schedule : EngineRig
{
  // Attempts that the schedule may still answer or fail. Some are completed twice, or after their
  // query was answered.
  std::vector<SendSubrequest> mOpen;
  std::map<std::string, int> mStarted;
  std::size_t mSentProcessed = 0;
  std::size_t mClaimsSeen = 0;
  std::vector<QueryId> mUnrepeatable;

  explicit Schedule(std::uint64_t aSeed)
  {
    mServe = false;
    mRng.seed(aSeed);
    mEngine.mHost = "entry-1";
    AddServices(3, 3, 2);
    AddClass("soon", 1, milliseconds(200)).mCoverage = CoveragePolicy::Soon;
    mConfig.mClasses["soon"].mMinCoverage = 0.5;
    mConfig.mClasses["soon"].mAnswerAfter = milliseconds(50);
    mConfig.mClasses["check"].mQueueLimit = 3;
    mConfig.mClasses["check"].mWhenFull = WhenFull::Displace;
    AddUpstream("one1", "one", 2);
    AddUpstream("one2", "one", 2);
    mConfig.mCollections["book"] = { "book", { "one" }, "check" };
    Announce();
  }

  std::uint64_t RandomBelow(std::uint64_t aBelow) { return mRng() % aBelow; }

  SimulatedUpstream& RandomUpstream()
  {
    auto upstream = mUpstreams.begin();
    std::advance(upstream, static_cast<std::ptrdiff_t>(RandomBelow(mUpstreams.size())));
    return upstream->second;
  }

  void ChangeUpstreams()
  {
    UpstreamInfo& info = RandomUpstream().mInfo;
    switch (RandomBelow(5)) {
      case 0:
        ++info.mIncarnation;
        break;
      case 1:
        info.mVersions = { info.mVersions.back() + 1 };
        break;
      case 2:
        info.mState =
          info.mState == UpstreamState::Ready ? UpstreamState::Draining : UpstreamState::Ready;
        break;
      case 3:
        // Repartition: the service moves to a new partition map.
        for (auto& [id, upstream] : mUpstreams) {
          upstream.mInfo.mMap += upstream.mInfo.mService == info.mService ? 1 : 0;
        }
        break;
      default:
        SetShares(mEngine, RandomShares());
        break;
    }
    Announce();
  }

  std::map<std::string, std::uint32_t> RandomShares()
  {
    std::map<std::string, std::uint32_t> shares;
    for (const auto& [id, upstream] : mUpstreams) {
      shares[id] = static_cast<std::uint32_t>(RandomBelow(3));
    }
    return shares;
  }

  static std::string Tag(const SendSubrequest& aSend)
  {
    return fmt::format(
      "{}/{}/{}/{}", aSend.mVersion, aSend.mShard.mService, aSend.mShard.mMap, aSend.mShard.mShard);
  }

  void CompleteRandomAttempt()
  {
    if (mOpen.empty()) {
      return;
    }
    const std::size_t position = RandomBelow(mOpen.size());
    const SendSubrequest send = mOpen[position];
    // Some replies and failures are delivered a second time.
    if (RandomBelow(5) != 0) {
      mOpen.erase(mOpen.begin() + static_cast<std::ptrdiff_t>(position));
    }
    switch (RandomBelow(4)) {
      case 0:
        FailWith(send, static_cast<FailureKind>(RandomBelow(10)));
        break;
      case 1:
        ReplyFromAnotherSnapshot(send);
        break;
      default:
        ReplyWith({ send.mAttempt, send.mShard, send.mVersion, { Tag(send) } });
        break;
    }
  }

  // The item names the snapshot and shard it comes from, so that CheckAnswers detects it if it is
  // merged.
  void ReplyFromAnotherSnapshot(const SendSubrequest& aSend)
  {
    SendSubrequest other = aSend;
    other.mVersion += RandomBelow(2);
    other.mShard.mMap += static_cast<std::uint32_t>(RandomBelow(2));
    ReplyWith({ aSend.mAttempt, other.mShard, other.mVersion, { Tag(other) } });
  }

  void SubmitRandom()
  {
    if (RandomBelow(4) != 0) {
      Submit(RandomBelow(2) == 0 ? "check" : "soon", "c" + fmt::to_string(RandomBelow(3)));
      return;
    }
    QueryRequest request = MakeRequest("check", "c");
    request.mCollection = "book";
    mUnrepeatable.push_back(request.mId);
    Actions actions;
    SubmitUnrepeatable(mEngine, { std::move(request), "7.key" }, mNow, mRng, actions);
    ExecuteActions(std::move(actions));
  }

  void AnswerClaims()
  {
    for (; mClaimsSeen < mClaims.size(); ++mClaimsSeen) {
      Claim(mClaims[mClaimsSeen].mQuery,
            RandomBelow(4) == 0 ? ClaimState::Refused : ClaimState::Granted);
    }
  }

  void Step()
  {
    switch (RandomBelow(8)) {
      case 0:
        ChangeUpstreams();
        break;
      case 1:
        RunFor(Duration(static_cast<Duration::rep>(RandomBelow(60'000))));
        break;
      case 2:
        AnswerClaims();
        break;
      case 3:
      case 4:
        SubmitRandom();
        break;
      default:
        CompleteRandomAttempt();
        break;
    }
    for (; mSentProcessed < mSent.size(); ++mSentProcessed) {
      mOpen.push_back(mSent[mSentProcessed]);
    }
    CheckSlots();
  }

  void CheckSlots() const
  {
    for (const auto& [id, replica] : mEngine.mReplicas) {
      CPPUNIT_ASSERT_MESSAGE(id, replica->mInFlight <= replica->mInfo.mSlots);
    }
  }

  // After any schedule, every query has been answered exactly once and no state is left.
  void CheckEnd()
  {
    RunFor(seconds(5));
    AnswerClaims();
    RunFor(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ mNextQuery - 1 }, mAnswers.size());
    CPPUNIT_ASSERT(mEngine.mQueries.empty() && mEngine.mAttempts.empty());
    CPPUNIT_ASSERT(mEngine.mCancelled.empty() && mEngine.mLateClaims.empty());
    for (const auto& [key, shard] : mEngine.mShards) {
      CPPUNIT_ASSERT(shard->mReferences == 0 && shard->mInFlight == 0 && shard->mWaiting.empty());
      CPPUNIT_ASSERT(!shard->mFull);
    }
    for (const auto& [id, replica] : mEngine.mReplicas) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 0U, replica->mInFlight);
    }
  }

  void CheckAnswers() const
  {
    for (const auto& [id, answer] : mAnswers) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ answer.mExpected - answer.mAnswered },
                           answer.mMissing.size());
      std::set<std::string> seen;
      for (const std::string& item : answer.mItems) {
        CPPUNIT_ASSERT_MESSAGE("a shard was merged twice", seen.insert(item).second);
        CPPUNIT_ASSERT_MESSAGE(item, IsOf(item, answer.mSnapshot));
      }
      if (answer.mResult == Result::Ok || answer.mResult == Result::PartialAnswer) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ answer.mAnswered }, answer.mItems.size());
      }
    }
  }

  static bool IsOf(const std::string& aItem, const Snapshot& aSnapshot)
  {
    return std::any_of(aSnapshot.mMaps.begin(), aSnapshot.mMaps.end(), [&](const auto& aMap) {
      return aItem.starts_with(
        fmt::format("{}/{}/{}/", aSnapshot.mVersion, aMap.first, aMap.second));
    });
  }

  // I4 and I5: an unrepeatable request is sent again only after a failure that proves that it did
  // not start, and a result that promises "not run" is given only if no attempt may have started.
  void CheckUnrepeatable(const std::map<AttemptId, FailureKind>& aFailures) const
  {
    for (const QueryId id : mUnrepeatable) {
      int mayHaveRun = 0;
      for (const SendSubrequest& send : mSent) {
        const auto failure = aFailures.find(send.mAttempt);
        const bool unstarted = failure != aFailures.end() && !MayHaveStarted(failure->second);
        mayHaveRun += send.mQuery == id && !unstarted ? 1 : 0;
      }
      CPPUNIT_ASSERT(mayHaveRun <= 1);
      CPPUNIT_ASSERT(Describe(mAnswers.at(id).mResult).mMayHaveRun || mayHaveRun == 0);
    }
  }
};

} // namespace

class EngineFaultsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EngineFaultsTest);
  CPPUNIT_TEST(InvariantsHoldUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  void InvariantsHoldUnderRandomFaults()
  {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      try {
        Schedule schedule(static_cast<std::uint64_t>(seed));
        for (int step = 0; step < kSteps; ++step) {
          schedule.Step();
        }
        schedule.CheckEnd();
        schedule.CheckAnswers();
        schedule.CheckUnrepeatable(schedule.mFirstFailures);
      } catch (const CppUnit::Exception& error) {
        CPPUNIT_FAIL(fmt::format("seed {}: {}", seed, error.what()));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineFaultsTest);
