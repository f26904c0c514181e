// Guards against urgent requests that wait behind others, workspaces that are crowded out by one
// that sends too much, less urgent requests that starve, and requests that wait although they
// cannot be served in time. Each load is played in virtual time against slots and callers, beside a
// plain first-come queue of the same length.
#include "fair_queue.h"

#include <cmath>
#include <map>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{ seconds(1000) };
constexpr double kServiceMs = 10;
// Spread of the service times.
constexpr double kServiceSigma = 0.35;
constexpr Duration kLength = seconds(20);

QueuedRequest
MakeRequest(QueueTicket aTicket,
            std::string aWorkspace,
            QueuePriority aPriority = {},
            TimePoint aServeBy = TimePoint::max())
{
  QueuedRequest request;
  request.mTicket = aTicket;
  request.mWorkspace = std::move(aWorkspace);
  request.mPriority = aPriority;
  request.mServeBy = aServeBy;
  return request;
}

QueueTicket
PopTicket(FairQueue& aQueue)
{
  return Pop(aQueue).value_or(QueuedRequest()).mTicket;
}

// Callers of one kind of request.
struct Callers
{
  std::string mWorkspace;
  QueuePriority mPriority;
  // Requests per second.
  double mRate = 0;
  // Time from arrival within which a request must be answered.
  Duration mDeadline = milliseconds(200);
  // Repeats at once if refused, up to this many times.
  int mRepeats = 0;
};

struct Scenario
{
  std::vector<Callers> mCallers;
  // Service time factor of each slot.
  std::vector<double> mSlots = std::vector<double>(6, 1.0);
  bool mFair = true;
};

struct Tally
{
  double mOffered = 0;
  double mInTime = 0;
  // Time until refusals, summed and counted.
  double mRefused = 0;
  Duration mRefusedAfter{};

  double Served() const { return mOffered == 0 ? 1.0 : mInTime / mOffered; }
};

// Outcomes by callers, in the order of the scenario.
class Model
{
public:
  explicit Model(Scenario aScenario)
    : mScenario(std::move(aScenario))
    , mTallies(mScenario.mCallers.size())
    , mIdleSlots(mScenario.mSlots.size())
  {
    for (std::size_t i = 0; i < mScenario.mSlots.size(); ++i) {
      mIdleSlots[i] = i;
    }
  }

  std::vector<Tally> Run()
  {
    for (std::size_t i = 0; i < mScenario.mCallers.size(); ++i) {
      ScheduleArrival(i);
    }
    while (!mEvents.empty() && mNow < kStart + kLength) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    return mTallies;
  }

private:
  struct Request
  {
    std::size_t mCallers = 0;
    TimePoint mArrivedAt;
    int mRepeats = 0;
  };

  double Uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRng); }
  void After(double aMillis, std::function<void()> aAction)
  {
    mEvents.emplace(mNow + Duration(std::llround(aMillis * 1000)), std::move(aAction));
  }

  void ScheduleArrival(std::size_t aCallers)
  {
    const double waitMs = -1000 * std::log(1.0 - Uniform()) / mScenario.mCallers[aCallers].mRate;
    After(waitMs, [this, aCallers] {
      ScheduleArrival(aCallers);
      mTallies[aCallers].mOffered += 1;
      Arrive({ aCallers, mNow, 0 });
    });
  }

  void Arrive(const Request& aRequest)
  {
    const QueueTicket ticket = mNextTicket++;
    mRequests[ticket] = aRequest;
    if (mScenario.mFair) {
      const Callers& callers = mScenario.mCallers[aRequest.mCallers];
      const auto margin = Duration(std::llround(kServeMargin * kServiceMs * 1000));
      const PushResult result = Push(mFairQueue,
                                     MakeRequest(ticket,
                                                 callers.mWorkspace,
                                                 callers.mPriority,
                                                 aRequest.mArrivedAt + callers.mDeadline - margin),
                                     mNow);
      if (result.mDisplaced) {
        Refuse(*result.mDisplaced);
      }
      if (result.mOutcome != PushOutcome::Queued) {
        Refuse(ticket);
      }
    } else if (mPlainQueue.size() < kMaxQueuedRequests) {
      mPlainQueue.push_back(ticket);
    } else {
      Refuse(ticket);
    }
    Serve();
  }

  void Refuse(QueueTicket aTicket)
  {
    Request request = mRequests.extract(aTicket).mapped();
    Tally& tally = mTallies[request.mCallers];
    if (request.mRepeats < mScenario.mCallers[request.mCallers].mRepeats) {
      ++request.mRepeats;
      After(2, [this, request] { Arrive(request); });
      return;
    }
    tally.mRefused += 1;
    tally.mRefusedAfter += mNow - request.mArrivedAt;
  }

  std::optional<QueueTicket> Next()
  {
    if (mScenario.mFair) {
      const std::optional<QueuedRequest> request = Pop(mFairQueue);
      if (!request) {
        return std::nullopt;
      }
      if (request->mServeBy < mNow) {
        Refuse(request->mTicket);
        return Next();
      }
      RecordPopped(mFairQueue, mNow);
      return request->mTicket;
    }
    if (mPlainQueue.empty()) {
      return std::nullopt;
    }
    const QueueTicket ticket = mPlainQueue.front();
    mPlainQueue.pop_front();
    return ticket;
  }

  void Serve()
  {
    while (!mIdleSlots.empty()) {
      const std::optional<QueueTicket> ticket = Next();
      if (!ticket) {
        return;
      }
      const Request request = mRequests.extract(*ticket).mapped();
      if (request.mArrivedAt + mScenario.mCallers[request.mCallers].mDeadline <= mNow) {
        continue;
      }
      // A random one, so that a slow slot gets its share.
      std::uniform_int_distribution<std::size_t> pick(0, mIdleSlots.size() - 1);
      const std::size_t index = pick(mRng);
      const std::size_t slot = mIdleSlots[index];
      mIdleSlots.erase(mIdleSlots.begin() + static_cast<std::ptrdiff_t>(index));
      std::lognormal_distribution<double> work(-kServiceSigma * kServiceSigma / 2, kServiceSigma);
      After(kServiceMs * work(mRng) * mScenario.mSlots[slot], [this, request, slot] {
        if (mNow <= request.mArrivedAt + mScenario.mCallers[request.mCallers].mDeadline) {
          mTallies[request.mCallers].mInTime += 1;
        }
        mIdleSlots.push_back(slot);
        Serve();
      });
    }
  }

  Scenario mScenario;
  std::vector<Tally> mTallies;
  std::vector<std::size_t> mIdleSlots;
  Rng mRng{ 1 };
  TimePoint mNow = kStart;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::map<QueueTicket, Request> mRequests;
  QueueTicket mNextTicket = 1;
  FairQueue mFairQueue;
  std::deque<QueueTicket> mPlainQueue;
};

std::vector<Tally>
Play(Scenario aScenario, bool aFair)
{
  aScenario.mFair = aFair;
  return Model(aScenario).Run();
}

double
ServedByAll(const std::vector<Tally>& aTallies)
{
  double offered = 0;
  double inTime = 0;
  for (const Tally& tally : aTallies) {
    offered += tally.mOffered;
    inTime += tally.mInTime;
  }
  return inTime / offered;
}

// Ten workspaces of 50 requests per second each; the slots take 600.
Scenario
TenWorkspaces()
{
  Scenario scenario;
  for (int i = 0; i < 10; ++i) {
    scenario.mCallers.push_back({ "w" + std::to_string(i), {}, 50 });
  }
  return scenario;
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(OrdersByWorkspaceThenRoute);
  CPPUNIT_TEST(LessUrgentGetTheirShare);
  CPPUNIT_TEST(TakesTurnsByWeight);
  CPPUNIT_TEST(ReturningWorkspaceGetsNoExtraTurn);
  CPPUNIT_TEST(IdlePriorityKeepsNoCredit);
  CPPUNIT_TEST(RequestsThatWereNotServedCostNoTurn);
  CPPUNIT_TEST(LongestBacklogLosesItsNewest);
  CPPUNIT_TEST(FloodLeavesRoomForLessUrgent);
  CPPUNIT_TEST(RestoreChangesNothing);
  CPPUNIT_TEST(RemovedRequestsLeaveRoom);
  CPPUNIT_TEST(ServesBurstWithinObjective);
  CPPUNIT_TEST(RefusesWhatWouldBeLate);
  CPPUNIT_TEST(NamesWhenThereIsRoom);
  CPPUNIT_TEST(WorkspaceAtFiveTimesItsLoad);
  CPPUNIT_TEST(CallersThatRepeatAtOnce);
  CPPUNIT_TEST(MoreOfOneKind);
  CPPUNIT_TEST(UrgentFloodDoesNotStarve);
  CPPUNIT_TEST(SlowSeventhOfTheReplicas);
  CPPUNIT_TEST(ShortDeadlines);
  CPPUNIT_TEST_SUITE_END();

public:
  void OrdersByWorkspaceThenRoute()
  {
    FairQueue queue;
    Push(queue, MakeRequest(1, "a", { 1, 0 }), kStart);
    Push(queue, MakeRequest(2, "b", { 0, 2 }), kStart);
    Push(queue, MakeRequest(3, "c", { 0, 1 }), kStart);
    Push(queue, MakeRequest(4, "c", { 0, 1 }), kStart);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(3), PopTicket(queue));
    CPPUNIT_ASSERT_EQUAL(QueueTicket(4), PopTicket(queue));
    CPPUNIT_ASSERT_EQUAL(QueueTicket(2), PopTicket(queue));
    CPPUNIT_ASSERT_EQUAL(QueueTicket(1), PopTicket(queue));
    CPPUNIT_ASSERT(!Pop(queue));
  }

  void LessUrgentGetTheirShare()
  {
    FairQueue queue;
    Push(queue, MakeRequest(1000, "low", { 0, 2 }), kStart);
    int before = 0;
    for (QueueTicket ticket = 1; ticket < 100; ++ticket) {
      Push(queue, MakeRequest(ticket, "high", { 0, 0 }), kStart);
      if (PopTicket(queue) == 1000) {
        break;
      }
      ++before;
    }
    CPPUNIT_ASSERT(before >= 3 && before <= 5);
  }

  void TakesTurnsByWeight()
  {
    FairQueue queue;
    for (QueueTicket ticket = 1; ticket <= 12; ++ticket) {
      Push(queue, MakeRequest(ticket, "many"), kStart);
    }
    for (QueueTicket ticket = 101; ticket <= 104; ++ticket) {
      Push(queue, MakeRequest(ticket, "few"), kStart);
    }
    for (QueueTicket ticket = 201; ticket <= 208; ++ticket) {
      QueuedRequest request = MakeRequest(ticket, "heavy");
      request.mWeight = 2;
      Push(queue, request, kStart);
    }
    std::map<QueueTicket, int> served;
    for (int i = 0; i < 16; ++i) {
      ++served[PopTicket(queue) / 100];
    }
    CPPUNIT_ASSERT_EQUAL(4, served[0]);
    CPPUNIT_ASSERT_EQUAL(4, served[1]);
    CPPUNIT_ASSERT_EQUAL(8, served[2]);
  }

  // A workspace whose backlog was just served must not go before others that have waited longer.
  void ReturningWorkspaceGetsNoExtraTurn()
  {
    FairQueue queue;
    Push(queue, MakeRequest(1, "a"), kStart);
    Push(queue, MakeRequest(2, "b"), kStart);
    Push(queue, MakeRequest(3, "b"), kStart);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(1), PopTicket(queue));
    Push(queue, MakeRequest(4, "a"), kStart);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(2), PopTicket(queue));
    // Nor after others were served meanwhile, if its weight is low.
    FairQueue other;
    QueuedRequest light = MakeRequest(1, "a");
    light.mWeight = 0.5;
    Push(other, light, kStart);
    for (QueueTicket ticket = 2; ticket <= 4; ++ticket) {
      Push(other, MakeRequest(ticket, "b"), kStart);
    }
    CPPUNIT_ASSERT_EQUAL(QueueTicket(1), PopTicket(other));
    CPPUNIT_ASSERT_EQUAL(QueueTicket(2), PopTicket(other));
    Push(other, MakeRequest(5, "a"), kStart);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(3), PopTicket(other));
  }

  // Guards against less urgent requests that go first because others of their priority waited
  // before the queue was empty.
  void IdlePriorityKeepsNoCredit()
  {
    FairQueue queue;
    Push(queue, MakeRequest(100, "low", { 0, 2 }), kStart);
    for (QueueTicket ticket = 1; ticket <= 3; ++ticket) {
      Push(queue, MakeRequest(ticket, "high", { 0, 0 }), kStart);
      CPPUNIT_ASSERT_EQUAL(ticket, PopTicket(queue));
    }
    RemoveIf(queue, [](QueueTicket) { return true; });
    Push(queue, MakeRequest(200, "low", { 0, 2 }), kStart);
    for (QueueTicket ticket = 4; ticket <= 6; ++ticket) {
      Push(queue, MakeRequest(ticket, "high", { 0, 0 }), kStart);
      CPPUNIT_ASSERT_EQUAL(ticket, PopTicket(queue));
    }
  }

  // Guards against a workspace that goes last because its requests were displaced or removed.
  void RequestsThatWereNotServedCostNoTurn()
  {
    FairQueue queue;
    for (QueueTicket ticket = 1; ticket <= kMaxQueuedRequests; ++ticket) {
      Push(queue, MakeRequest(ticket, ticket <= 20 ? "many" : "some"), kStart);
    }
    Push(queue, MakeRequest(100, "few"), kStart);
    CPPUNIT_ASSERT_EQUAL(19.0, queue.mPriorities.begin()->second.mWorkspaces["many"].mFinishTag);
    RemoveIf(queue, [](QueueTicket) { return true; });
    Push(queue, MakeRequest(101, "many"), kStart);
    Push(queue, MakeRequest(102, "other"), kStart);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(101), PopTicket(queue));
  }

  void LongestBacklogLosesItsNewest()
  {
    FairQueue queue;
    for (QueueTicket ticket = 1; ticket <= kMaxQueuedRequests; ++ticket) {
      CPPUNIT_ASSERT(
        Push(queue, MakeRequest(ticket, ticket <= 20 ? "many" : "some"), kStart).mOutcome ==
        PushOutcome::Queued);
    }
    CPPUNIT_ASSERT(Accepts(queue, MakeRequest(100, "few"), kStart));
    const PushResult result = Push(queue, MakeRequest(100, "few"), kStart);
    CPPUNIT_ASSERT(result.mOutcome == PushOutcome::Queued);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(20), *result.mDisplaced);
    CPPUNIT_ASSERT(!Accepts(queue, MakeRequest(101, "many"), kStart));
    CPPUNIT_ASSERT(Push(queue, MakeRequest(101, "many"), kStart).mOutcome == PushOutcome::Full);
    CPPUNIT_ASSERT_EQUAL(kMaxQueuedRequests, queue.mSize);
    // Of equally long backlogs, the one of the newest request loses.
    FairQueue equal;
    constexpr QueueTicket kHalf = kMaxQueuedRequests / 2;
    for (QueueTicket ticket = 1; ticket <= kMaxQueuedRequests; ++ticket) {
      const char* const name = ticket < kHalf ? "own" : ticket < 2 * kHalf ? "other" : "third";
      Push(equal, MakeRequest(ticket, name), kStart);
    }
    CPPUNIT_ASSERT(!Accepts(equal, MakeRequest(100, "own"), kStart));
  }

  void FloodLeavesRoomForLessUrgent()
  {
    FairQueue queue;
    for (QueueTicket ticket = 1; ticket <= kMaxQueuedRequests; ++ticket) {
      Push(queue, MakeRequest(ticket, "urgent", { 0, 0 }), kStart);
    }
    for (QueueTicket ticket = 101; ticket <= 100 + kLessUrgentRoom; ++ticket) {
      CPPUNIT_ASSERT(Push(queue, MakeRequest(ticket, "low", { 0, 2 }), kStart).mOutcome ==
                     PushOutcome::Queued);
    }
    CPPUNIT_ASSERT(Push(queue, MakeRequest(200, "low", { 0, 2 }), kStart).mOutcome ==
                   PushOutcome::Full);
    CPPUNIT_ASSERT(Push(queue, MakeRequest(201, "urgent", { 0, 0 }), kStart).mOutcome ==
                   PushOutcome::Full);
    // The reverse: an urgent request displaces less urgent ones beyond their room.
    FairQueue other;
    for (QueueTicket ticket = 1; ticket <= kMaxQueuedRequests; ++ticket) {
      Push(other, MakeRequest(ticket, "low", { 0, 2 }), kStart);
    }
    const PushResult result = Push(other, MakeRequest(100, "urgent", { 0, 0 }), kStart);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(kMaxQueuedRequests), *result.mDisplaced);
    CPPUNIT_ASSERT_EQUAL(QueueTicket(100), PopTicket(other));
  }

  // Replicas often cannot take the next request yet. Trying must not change the order or give the
  // less urgent requests more than their share.
  void RestoreChangesNothing()
  {
    FairQueue queue;
    FairQueue untouched;
    for (QueueTicket ticket = 1; ticket <= 24; ++ticket) {
      const QueuedRequest request =
        MakeRequest(ticket, ticket % 3 == 0 ? "a" : "b", { 0, ticket % 4 == 0 ? 1U : 0U });
      Push(queue, request, kStart);
      Push(untouched, request, kStart);
    }
    for (int i = 0; i < 24; ++i) {
      for (int attempt = 0; attempt < 7; ++attempt) {
        Restore(queue, *Pop(queue));
      }
      CPPUNIT_ASSERT_EQUAL(PopTicket(untouched), PopTicket(queue));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.mSize);
  }

  void RemovedRequestsLeaveRoom()
  {
    FairQueue queue;
    for (QueueTicket ticket = 1; ticket <= kMaxQueuedRequests; ++ticket) {
      Push(queue, MakeRequest(ticket, ""), kStart);
    }
    CPPUNIT_ASSERT(Push(queue, MakeRequest(100, ""), kStart).mOutcome == PushOutcome::Full);
    RemoveIf(queue, [](QueueTicket aTicket) { return aTicket == 3; });
    CPPUNIT_ASSERT(Push(queue, MakeRequest(100, ""), kStart).mOutcome == PushOutcome::Queued);
    RemoveIf(queue, [](QueueTicket) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.mSize);
    CPPUNIT_ASSERT(!Pop(queue));
  }

  // 20 requests arrive at once for 4 slots of 10 ms each, with an objective of 100 ms. Without a
  // queue, only 4 of them would be served.
  void ServesBurstWithinObjective()
  {
    FairQueue queue;
    for (QueueTicket ticket = 1; ticket <= 20; ++ticket) {
      CPPUNIT_ASSERT(
        Push(queue, MakeRequest(ticket, "", {}, kStart + milliseconds(90)), kStart).mOutcome ==
        PushOutcome::Queued);
    }
    int inTime = 0;
    for (TimePoint now = kStart; now < kStart + milliseconds(100); now += milliseconds(10)) {
      for (int slot = 0; slot < 4 && queue.mSize > 0; ++slot) {
        PopTicket(queue);
        RecordPopped(queue, now);
        ++inTime;
      }
    }
    CPPUNIT_ASSERT_EQUAL(20, inTime);
  }

  void RefusesWhatWouldBeLate()
  {
    FairQueue queue = DrainingQueue();
    // 21 requests wait, and one departs every 10 ms.
    const TimePoint now = kStart + milliseconds(100);
    CPPUNIT_ASSERT(Push(queue, MakeRequest(100, "", {}, now + milliseconds(150)), now).mOutcome ==
                   PushOutcome::TooLate);
    // Another workspace gets its turn earlier, and a more urgent request at once.
    CPPUNIT_ASSERT(!Accepts(queue, MakeRequest(100, "", {}, now + milliseconds(150)), now));
    CPPUNIT_ASSERT(Accepts(queue, MakeRequest(100, "other", {}, now + milliseconds(150)), now));
    CPPUNIT_ASSERT(Accepts(queue, MakeRequest(100, "", {}, now + milliseconds(300)), now));
    // An old rate says nothing.
    RemoveIf(queue, [](QueueTicket) { return true; });
    const TimePoint later = now + seconds(60);
    for (QueueTicket ticket = 200; ticket < 220; ++ticket) {
      CPPUNIT_ASSERT(
        Push(queue, MakeRequest(ticket, "", {}, later + milliseconds(50)), later).mOutcome ==
        PushOutcome::Queued);
    }
  }

  void NamesWhenThereIsRoom()
  {
    CPPUNIT_ASSERT_EQUAL(Duration::zero(), TimeUntilRoom(FairQueue()));
    const Duration wait = TimeUntilRoom(DrainingQueue());
    CPPUNIT_ASSERT(wait > milliseconds(100) && wait <= milliseconds(250));
    // The time without requests is no interval between departures.
    FairQueue idle = DrainingQueue();
    RemoveIf(idle, [](QueueTicket) { return true; });
    const TimePoint later = kStart + seconds(3);
    Push(idle, MakeRequest(100, ""), later);
    PopTicket(idle);
    RecordPopped(idle, later);
    Push(idle, MakeRequest(101, ""), later);
    CPPUNIT_ASSERT(TimeUntilRoom(idle) <= milliseconds(20));
  }

  // One workspace sends five times its usual load: it loses its own requests, the others none.
  void WorkspaceAtFiveTimesItsLoad()
  {
    Scenario scenario = TenWorkspaces();
    scenario.mCallers[0].mRate *= 5;
    const std::vector<Tally> fair = Play(scenario, true);
    const std::vector<Tally> plain = Play(scenario, false);
    for (std::size_t i = 1; i < fair.size(); ++i) {
      CPPUNIT_ASSERT(fair[i].Served() > 0.99);
      CPPUNIT_ASSERT(plain[i].Served() < 0.95);
    }
    CPPUNIT_ASSERT(fair[0].Served() < plain[0].Served());
    CPPUNIT_ASSERT(fair[0].Served() > 0.25 * ServedByAll(fair));
    CPPUNIT_ASSERT(ServedByAll(fair) > ServedByAll(plain) - 0.01);
  }

  // Callers of one workspace repeat refused requests at once, up to ten times.
  void CallersThatRepeatAtOnce()
  {
    Scenario scenario = TenWorkspaces();
    scenario.mCallers[0].mRate *= 6;
    scenario.mCallers[0].mRepeats = 10;
    const std::vector<Tally> fair = Play(scenario, true);
    const std::vector<Tally> plain = Play(scenario, false);
    for (std::size_t i = 1; i < fair.size(); ++i) {
      CPPUNIT_ASSERT(fair[i].Served() > 0.99);
      CPPUNIT_ASSERT(fair[i].Served() > plain[i].Served() + 0.1);
    }
    CPPUNIT_ASSERT(fair[0].Served() > 0.25 * ServedByAll(fair));
  }

  // The traffic of one kind grows to 1.6 and 2 times, of the urgent one or of the less urgent one.
  void MoreOfOneKind()
  {
    for (const double factor : { 1.6, 2.0 }) {
      for (const std::size_t kind : { 0U, 1U }) {
        Scenario scenario;
        scenario.mCallers = { { "", { 0, 0 }, 225 }, { "", { 0, 2 }, 300 } };
        scenario.mCallers[kind].mRate *= factor;
        const std::vector<Tally> fair = Play(scenario, true);
        const std::vector<Tally> plain = Play(scenario, false);
        // The urgent kind does not notice, since its load fits into its share of the slots.
        CPPUNIT_ASSERT(fair[0].Served() > 0.97);
        CPPUNIT_ASSERT(plain[0].Served() < 0.97);
        CPPUNIT_ASSERT(fair[1].Served() > 0.25 * ServedByAll(fair));
        CPPUNIT_ASSERT(ServedByAll(fair) > ServedByAll(plain) - 0.02);
      }
    }
  }

  // Urgent requests alone exceed what the slots take. No workspace may be served less than a
  // quarter as often as all.
  void UrgentFloodDoesNotStarve()
  {
    Scenario scenario;
    scenario.mCallers = { { "urgent", { 0, 0 }, 1000 },
                          { "low", { 1, 0 }, 100 },
                          { "lower", { 2, 0 }, 50 } };
    const std::vector<Tally> fair = Play(scenario, true);
    for (const Tally& tally : fair) {
      CPPUNIT_ASSERT(tally.Served() > 0.25 * ServedByAll(fair));
    }
    CPPUNIT_ASSERT(ServedByAll(fair) > ServedByAll(Play(scenario, false)) - 0.02);
  }

  // One of seven slots takes ten times as long, so the others are overloaded by a little.
  void SlowSeventhOfTheReplicas()
  {
    Scenario scenario = TenWorkspaces();
    scenario.mSlots = { 1, 1, 1, 1, 1, 1, 10 };
    for (Callers& callers : scenario.mCallers) {
      callers.mRate = 65;
    }
    scenario.mCallers[0].mPriority = { 0, 0 };
    for (std::size_t i = 1; i < scenario.mCallers.size(); ++i) {
      scenario.mCallers[i].mPriority = { 0, 1 };
    }
    const std::vector<Tally> fair = Play(scenario, true);
    const std::vector<Tally> plain = Play(scenario, false);
    CPPUNIT_ASSERT(fair[0].Served() > 0.98);
    CPPUNIT_ASSERT(fair[0].Served() > plain[0].Served() + 0.02);
    for (const Tally& tally : fair) {
      CPPUNIT_ASSERT(tally.Served() > 0.8 * ServedByAll(fair));
    }
    CPPUNIT_ASSERT(ServedByAll(fair) > ServedByAll(plain) - 0.01);
  }

  // Requests must be answered within 40 ms, and a full queue takes longer to drain. A plain queue
  // serves nearly all of them too late.
  void ShortDeadlines()
  {
    Scenario scenario;
    scenario.mCallers = { { "", {}, 900, milliseconds(40) } };
    const std::vector<Tally> fair = Play(scenario, true);
    const std::vector<Tally> plain = Play(scenario, false);
    CPPUNIT_ASSERT(fair[0].Served() > 0.5);
    CPPUNIT_ASSERT(fair[0].Served() > plain[0].Served() + 0.2);
    // Most are refused at once, the others when it shows that their turn comes too late.
    CPPUNIT_ASSERT(fair[0].mRefused > 0);
    CPPUNIT_ASSERT(fair[0].mRefusedAfter / std::llround(fair[0].mRefused) < milliseconds(10));
  }

private:
  // 21 requests of one workspace wait, and one has departed every 10 ms.
  static FairQueue DrainingQueue()
  {
    FairQueue queue;
    for (QueueTicket ticket = 1; ticket <= 31; ++ticket) {
      Push(queue, MakeRequest(ticket, ""), kStart);
    }
    for (int i = 0; i < 10; ++i) {
      PopTicket(queue);
      RecordPopped(queue, kStart + milliseconds(10) * i);
    }
    return queue;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
