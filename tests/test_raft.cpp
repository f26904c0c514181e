// Guards against consensus faults: two leaders, lost or invented commands, stale reads, a member
// that disturbs the others after it was cut off.
#include "raft.h"
#include "raft_schedule.h"

#include <algorithm>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace apricotyard;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Chart&
RoleChart()
{
  static const Chart sChart = *LoadChart(SOURCE_FOLDER "/charts/control_member.toml");
  return sChart;
}

// Members whose messages arrive at once unless their link is cut. Each write is synced at once
// unless mHoldSync names the member.
struct Net
{
  TimePoint mNow{ seconds(1000) };
  std::map<std::string, Raft> mMembers;
  std::set<std::pair<std::string, std::string>> mCut;
  std::map<std::string, std::vector<LogEntry>> mCommitted;
  std::map<std::string, std::vector<ReadResult>> mReads;
  std::string mHoldSync;
  std::vector<RaftMessage> mHeldBack;

  static LogMember Member(const std::string& aId, MemberRole aRole = MemberRole::Voter)
  {
    return { aId, { "127.0.0.1", 1 }, aRole };
  }

  explicit Net(int aVoters)
  {
    std::vector<LogMember> voters;
    for (int i = 0; i < aVoters; ++i) {
      voters.push_back(Member(std::string(1, static_cast<char>('a' + i))));
    }
    for (const LogMember& voter : voters) {
      Start(voter.mId, { { 1, "" }, {}, { { 1, 1, EntryKind::Members, EncodeMembers(voters) } } });
    }
  }

  void Start(const std::string& aId, RaftStart aStart)
  {
    RaftSettings settings;
    settings.mSelf = aId;
    settings.mCaughtUpEntries = 2;
    settings.mBatchEntries = 4;
    settings.mInFlight = 1;
    mMembers[aId] =
      StartRaft(settings, RoleChart(), std::move(aStart), static_cast<std::uint64_t>(aId[0]), mNow);
  }

  // What the member has written, as after a restart.
  RaftStart Stored(const std::string& aId)
  {
    const Raft& raft = mMembers[aId];
    return { raft.mVote, raft.mBase, { raft.mEntries.begin(), raft.mEntries.end() } };
  }

  void Cut(const std::string& aId)
  {
    for (const auto& [other, raft] : mMembers) {
      mCut.insert({ aId, other });
      mCut.insert({ other, aId });
    }
  }

  // Takes and delivers outputs until nothing is left.
  void Settle()
  {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& [id, raft] : mMembers) {
        RaftOutput output = RaftTakeOutput(raft, mNow);
        busy = busy || !output.mMessages.empty() || !output.mWrite.Empty();
        if (!output.mWrite.Empty() && id != mHoldSync) {
          RaftSynced(raft, output.mWrite.mSequence, mNow);
        }
        auto& committed = mCommitted[id];
        committed.insert(committed.end(), output.mCommitted.begin(), output.mCommitted.end());
        auto& reads = mReads[id];
        reads.insert(reads.end(), output.mReads.begin(), output.mReads.end());
        for (const RaftMessage& message : output.mMessages) {
          const auto target = mMembers.find(message.mTo);
          if (target != mMembers.end() && !mCut.contains({ id, message.mTo })) {
            RaftReceive(target->second, message, mNow);
          }
        }
      }
    }
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += milliseconds(10)) {
      for (auto& [id, raft] : mMembers) {
        RaftTick(raft, mNow);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, raft.mChartFaults);
      }
      Settle();
    }
  }

  std::string Leader() const
  {
    std::string leader;
    for (const auto& [id, raft] : mMembers) {
      leader = RaftLeading(raft, mNow) ? id : leader;
    }
    return leader;
  }

  std::string ElectedLeader()
  {
    Run(seconds(5));
    CPPUNIT_ASSERT(!Leader().empty());
    return Leader();
  }

  Raft& operator[](const std::string& aId) { return mMembers[aId]; }
};

std::string
OtherThan(const std::string& aId)
{
  return aId == "a" ? "b" : "a";
}

Result
ErrorOf(const Expected<std::uint64_t>& aResult)
{
  return aResult ? Result::Ok : aResult.error().mResult;
}

} // namespace

class RaftTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RaftTest);
  CPPUNIT_TEST(SchedulesHold);
  CPPUNIT_TEST(ChartHasTheRolesOfTheCore);
  CPPUNIT_TEST(IsolatedLeaderStopsWithinItsLease);
  CPPUNIT_TEST(MemberCutOffForHoursDoesNotDisturb);
  CPPUNIT_TEST(RestartedMemberKeepsItsPromiseToTheLeader);
  CPPUNIT_TEST(LeaderCutFromOneMemberIsNotDeposed);
  CPPUNIT_TEST(VoterStandsUntilItsRemovalIsCommitted);
  CPPUNIT_TEST(MemberThatReturnedStaysAfterARestart);
  CPPUNIT_TEST(NothingCountsBeforeItsSync);
  CPPUNIT_TEST(OldIdentityNeverVotes);
  CPPUNIT_TEST(ReplyToAReadBeforeARestartIsIgnored);
  CPPUNIT_TEST(MembershipChangesAreGuarded);
  CPPUNIT_TEST(MembersSurviveEncoding);
  CPPUNIT_TEST_SUITE_END();

public:
  // Covers what no focused test names; each seed that ever failed is listed.
  void SchedulesHold()
  {
    std::vector<std::uint64_t> seeds = {
      4598, 8620, 9040, 11484, 22210, 24567, 25185, 28817, 403984
    };
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
      seeds.push_back(seed);
    }
    std::uint64_t acknowledged = 0;
    for (const std::uint64_t seed : seeds) {
      const ScheduleResult result = RunSchedule(RoleChart(), seed, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "replay: apricot-schedules --seed " + std::to_string(seed), std::string(), result.mFailure);
      acknowledged += result.mAcknowledged;
    }
    CPPUNIT_ASSERT(acknowledged > seeds.size() * 10);
  }

  void ChartHasTheRolesOfTheCore()
  {
    const auto checked = CheckRaftChart(RoleChart());
    CPPUNIT_ASSERT_MESSAGE(checked ? "" : checked.error().mMessage, checked.has_value());
    Chart other = RoleChart();
    std::swap(other.mStates[0], other.mStates[1]);
    CPPUNIT_ASSERT(!CheckRaftChart(other).has_value());
  }

  // A leader that acts on after its lease could answer reads that miss changes of the next one.
  void IsolatedLeaderStopsWithinItsLease()
  {
    Net net(3);
    const std::string leader = net.ElectedLeader();
    net.Cut(leader);
    const TimePoint cut = net.mNow;
    // The others promised for 1 s from the send time on; both clocks may be wrong by 1%.
    TimePoint answered{};
    for (const auto& [id, progress] : net[leader].mProgress) {
      answered = std::max(answered, progress.mEchoed);
    }
    CPPUNIT_ASSERT(RaftLeading(net[leader], answered + milliseconds(980)));
    CPPUNIT_ASSERT(!RaftLeading(net[leader], answered + milliseconds(981)));
    while (RaftLeading(net[leader], net.mNow)) {
      net.Run(milliseconds(10));
    }
    CPPUNIT_ASSERT(net.mNow <= cut + milliseconds(980) + milliseconds(10));
    CPPUNIT_ASSERT(net.Leader().empty());
    CPPUNIT_ASSERT(ErrorOf(RaftPropose(net[leader], "late", net.mNow)) == Result::NotLeader);
    RaftRead(net[leader], net.mNow);
    net.Settle();
    CPPUNIT_ASSERT(!net.mReads[leader].back().mIndex.has_value());
    net.Run(milliseconds(50));
    CPPUNIT_ASSERT(net[leader].mRole != RaftRole::Leader);
  }

  void MemberCutOffForHoursDoesNotDisturb()
  {
    Net net(3);
    const std::string old = net.ElectedLeader();
    net.Cut(old);
    // The old leader takes a change that no other member gets.
    CPPUNIT_ASSERT(RaftPropose(net[old], "lost", net.mNow).has_value());
    const std::string leader = net.ElectedLeader();
    CPPUNIT_ASSERT(leader != old);
    CPPUNIT_ASSERT(RaftPropose(net[leader], "kept", net.mNow).has_value());
    const std::uint64_t term = net[leader].mVote.mTerm;
    const std::uint64_t cutTerm = net[old].mVote.mTerm;
    net.Run(std::chrono::hours(3));
    CPPUNIT_ASSERT_EQUAL(cutTerm, net[old].mVote.mTerm);
    net.mCut.clear();
    for (int i = 0; i < 500; ++i) {
      net.Run(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(leader, net.Leader());
    }
    CPPUNIT_ASSERT_EQUAL(term, net[leader].mVote.mTerm);
    CPPUNIT_ASSERT(net[old].mEntries == net[leader].mEntries);
    for (const LogEntry& entry : net.mCommitted[old]) {
      CPPUNIT_ASSERT(entry.mData != "lost");
    }
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), net.mCommitted[old].back().mData);
  }

  // Without the waiting time a restart would void the promise on which the lease rests.
  void RestartedMemberKeepsItsPromiseToTheLeader()
  {
    Net net(3);
    const std::string leader = net.ElectedLeader();
    const std::string voter = OtherThan(leader);
    net.Start(voter, net.Stored(voter));
    RaftMessage vote;
    vote.mType = MessageType::Vote;
    vote.mFrom = "c";
    vote.mTo = voter;
    vote.mTerm = net[voter].mVote.mTerm + 1;
    vote.mIndex = 1000;
    vote.mLogTerm = vote.mTerm;
    RaftReceive(net[voter], vote, net.mNow + milliseconds(990));
    CPPUNIT_ASSERT(RaftTakeOutput(net[voter], net.mNow + milliseconds(990)).mMessages.empty());
    CPPUNIT_ASSERT_EQUAL(vote.mTerm - 1, net[voter].mVote.mTerm);
    RaftReceive(net[voter], vote, net.mNow + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), net[voter].mVote.mVote);
  }

  // One cut link must not let a member that is up to date depose the leader again and again.
  void LeaderCutFromOneMemberIsNotDeposed()
  {
    Net net(3);
    const std::string leader = net.ElectedLeader();
    const std::uint64_t term = net[leader].mVote.mTerm;
    net.mCut = { { leader, OtherThan(leader) }, { OtherThan(leader), leader } };
    for (int i = 0; i < 1000; ++i) {
      net.Run(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(leader, net.Leader());
    }
    CPPUNIT_ASSERT_EQUAL(term, net[leader].mVote.mTerm);
  }

  // Seed 4598: a leader that had appended its own removal had the newest log, but did not stand,
  // and its log kept the others from a majority for good.
  void VoterStandsUntilItsRemovalIsCommitted()
  {
    Net net(4);
    const std::string leader = net.ElectedLeader();
    std::vector<std::string> others;
    for (const auto& [id, raft] : net.mMembers) {
      if (id != leader) {
        others.push_back(id);
      }
    }
    net.Cut(others[0]);
    net.Run(milliseconds(300));
    for (const std::string& other : others) {
      net.mCut.insert({ leader, other });
    }
    CPPUNIT_ASSERT(RaftRemove(net[leader], leader, net.mNow).has_value());
    net.Run(seconds(3));
    CPPUNIT_ASSERT(net.Leader().empty());
    net.mCut.clear();
    net.Cut(others[0]);
    const std::string next = net.ElectedLeader();
    net.Run(seconds(10));
    CPPUNIT_ASSERT(net.Leader() == others[1] || net.Leader() == others[2]);
    CPPUNIT_ASSERT(net[leader].mRole == RaftRole::Removed);
  }

  // A restart commits the whole log again, an earlier removal of the member included.
  void MemberThatReturnedStaysAfterARestart()
  {
    Net net(4);
    const std::string leader = net.ElectedLeader();
    const std::string member = OtherThan(leader);
    CPPUNIT_ASSERT(RaftRemove(net[leader], member, net.mNow).has_value());
    net.Run(seconds(1));
    CPPUNIT_ASSERT(net[member].mRole == RaftRole::Removed);
    CPPUNIT_ASSERT(RaftAddLearner(net[leader], Net::Member(member), net.mNow).has_value());
    net.Run(seconds(1));
    CPPUNIT_ASSERT(RaftPromote(net[leader], member, net.mNow).has_value());
    net.Run(seconds(1));
    for (const std::string& restarted : { member, leader }) {
      net.Start(restarted, net.Stored(restarted));
    }
    const std::string next = net.ElectedLeader();
    CPPUNIT_ASSERT(net[member].mRole == RaftRole::Follower || next == member);
    // The others alone have no majority without it.
    for (const auto& [id, raft] : net.mMembers) {
      if (id != member && id != next) {
        net.Cut(id);
        break;
      }
    }
    const auto index = RaftPropose(net[next], "x", net.mNow);
    CPPUNIT_ASSERT(index.has_value());
    net.Run(seconds(1));
    CPPUNIT_ASSERT(net[next].mCommitted >= *index);
  }

  // Neither a vote nor an entry may count while a power loss could still take it back.
  void NothingCountsBeforeItsSync()
  {
    Net net(3);
    const std::string leader = net.ElectedLeader();
    const std::string follower = OtherThan(leader);
    const std::string third = leader != "c" ? "c" : "b";
    net.Cut(third);
    net.mHoldSync = follower;
    const auto index = RaftPropose(net[leader], "x", net.mNow);
    net.Settle();
    CPPUNIT_ASSERT_EQUAL(*index, RaftLastIndex(net[follower]));
    CPPUNIT_ASSERT(net[leader].mCommitted < *index);
    net.mHoldSync.clear();
    RaftSynced(net[follower], UINT64_MAX, net.mNow);
    net.Settle();
    CPPUNIT_ASSERT_EQUAL(*index, net[leader].mCommitted);
    // The leader's own copy counts only when it is synced, too.
    net.mHoldSync = leader;
    const auto second = RaftPropose(net[leader], "y", net.mNow);
    net.Settle();
    CPPUNIT_ASSERT(net[leader].mCommitted < *second);
    RaftSynced(net[leader], UINT64_MAX, net.mNow);
    CPPUNIT_ASSERT_EQUAL(*second, net[leader].mCommitted);
  }

  // A host that lost its disk would otherwise vote again in a term in which its old disk voted.
  void OldIdentityNeverVotes()
  {
    Net net(3);
    const std::string leader = net.ElectedLeader();
    const std::string lost = OtherThan(leader);
    net.mMembers.erase(lost);
    net.Start("n", {});
    Raft& fresh = net["n"];
    for (const MessageType type :
         { MessageType::PreVote, MessageType::Vote, MessageType::Append, MessageType::Snapshot }) {
      RaftMessage message;
      message.mType = type;
      message.mFrom = leader;
      message.mTo = lost;
      message.mTerm = 50;
      message.mIndex = 50;
      message.mLogTerm = 50;
      RaftReceive(fresh, message, net.mNow + seconds(10));
    }
    const RaftOutput output = RaftTakeOutput(fresh, net.mNow + seconds(10));
    CPPUNIT_ASSERT(output.mMessages.empty() && output.mWrite.Empty());
    CPPUNIT_ASSERT(VoteState() == fresh.mVote);
  }

  // A late reply carries an old index; matched with a new read it would make that read stale.
  void ReplyToAReadBeforeARestartIsIgnored()
  {
    Net net(3);
    const std::string leader = net.ElectedLeader();
    const std::string reader = OtherThan(leader);
    RaftRead(net[reader], net.mNow);
    const RaftOutput asked = RaftTakeOutput(net[reader], net.mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, asked.mMessages.size());
    // The restart draws another seed, as every start does.
    RaftStart stored = net.Stored(reader);
    net[reader] = StartRaft(net[reader].mSettings, RoleChart(), std::move(stored), 12345, net.mNow);
    RaftReceive(net[leader], asked.mMessages[0], net.mNow);
    net[reader].mLeader = leader;
    const std::uint64_t next = RaftRead(net[reader], net.mNow);
    net.Settle();
    const auto replies =
      std::count_if(net.mReads[reader].begin(),
                    net.mReads[reader].end(),
                    [next](const ReadResult& aRead) { return aRead.mRead == next; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, replies);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, net.mReads[reader].size());
  }

  void MembershipChangesAreGuarded()
  {
    Net net(3);
    const std::string leader = net.ElectedLeader();
    net.Start("n", {});
    net.Cut("n");
    CPPUNIT_ASSERT(RaftAddLearner(net[leader], Net::Member("n"), net.mNow).has_value());
    CPPUNIT_ASSERT(ErrorOf(RaftRemove(net[leader], "n", net.mNow)) == Result::MembershipBusy);
    net.Run(milliseconds(200));
    CPPUNIT_ASSERT(ErrorOf(RaftAddLearner(net[leader], Net::Member("n"), net.mNow)) ==
                   Result::UnsafeMembership);
    CPPUNIT_ASSERT(ErrorOf(RaftPromote(net[leader], "n", net.mNow)) == Result::NotCaughtUp);
    CPPUNIT_ASSERT(ErrorOf(RaftPromote(net[leader], "z", net.mNow)) == Result::UnknownMember);
    net.mCut.clear();
    net.Run(seconds(1));
    CPPUNIT_ASSERT(RaftPromote(net[leader], "n", net.mNow).has_value());
    net.Run(seconds(1));
    CPPUNIT_ASSERT(net["n"].mRole == RaftRole::Follower);
    // Two of four are gone: removing a third would leave three voters of which one is reachable.
    net.Cut("n");
    net.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(leader, net.Leader());
    const std::string other = OtherThan(leader);
    net.Cut(other);
    net.Run(milliseconds(500));
    CPPUNIT_ASSERT(ErrorOf(RaftRemove(net[leader], "n", net.mNow + milliseconds(400))) !=
                   Result::Ok);
  }

  void MembersSurviveEncoding()
  {
    const std::vector<LogMember> members = { { "a.1", { "127.0.0.1", 7 }, MemberRole::Voter },
                                             { "b.2", { "::1", 65535 }, MemberRole::Learner } };
    const auto decoded = DecodeMembers(EncodeMembers(members));
    CPPUNIT_ASSERT(decoded && decoded->size() == 2);
    CPPUNIT_ASSERT_EQUAL(std::string("b.2"), (*decoded)[1].mId);
    CPPUNIT_ASSERT(members[1].mAddress == (*decoded)[1].mAddress);
    CPPUNIT_ASSERT((*decoded)[1].mRole == MemberRole::Learner);
    for (const char* bad : { "", "{}", "[1]", "[{\"id\":1}]", "[{\"id\":\"a\",\"ip\":\"b\"}]" }) {
      CPPUNIT_ASSERT_MESSAGE(bad, !DecodeMembers(bad).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftTest);
