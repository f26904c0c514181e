// A query engine with simulated upstreams in virtual time.
#ifndef APRICOTYARD_TESTS_ENGINE_RIG_H
#define APRICOTYARD_TESTS_ENGINE_RIG_H

#include "engine.h"

#include <algorithm>
#include <functional>
#include <map>
#include <stdexcept>

#include <fmt/format.h>

namespace apricotyard {

struct SimulatedUpstream
{
  UpstreamInfo mInfo;
  Duration mServiceTime = std::chrono::milliseconds(2);
  // Refuses all connections.
  bool mDown = false;
  // Accepts requests but never replies.
  bool mHangs = false;
  std::uint32_t mRunning = 0;
  std::uint32_t mMostRunning = 0;
  std::uint64_t mReceived = 0;
};

class EngineRig
{
public:
  Engine mEngine;
  Rng mRng{ 7 };
  TimePoint mNow{ std::chrono::seconds(100) };
  Config mConfig;
  std::map<std::string, SimulatedUpstream> mUpstreams;
  std::map<QueryId, Answer> mAnswers;
  std::map<QueryId, TimePoint> mAnsweredAt;
  std::vector<SendSubrequest> mSent;
  std::vector<CancelSubrequest> mCancelled;
  std::vector<ClaimRequest> mClaims;
  std::vector<RecordOutcome> mOutcomes;
  std::vector<Strike> mShared;
  // The first failure of each attempt that was still running.
  std::map<AttemptId, FailureKind> mFirstFailures;
  // If false, upstreams do not reply by themselves; the test calls Reply and FailWith.
  bool mServe = true;
  QueryId mNextQuery = 1;

  EngineRig()
  {
    AddClass("check", 0, std::chrono::milliseconds(290));
    mConfig.mCollections["desk"] = { "desk", { "a" }, "check" };
  }

  ClassPolicy& AddClass(const std::string& aName, std::uint32_t aUrgency, Duration aDeadline)
  {
    ClassPolicy policy;
    policy.mName = aName;
    policy.mUrgency = aUrgency;
    policy.mDeadline = aDeadline;
    return mConfig.mClasses[aName] = policy;
  }

  SimulatedUpstream& AddUpstream(const std::string& aId,
                                 const std::string& aService,
                                 std::uint32_t aSlots = 2)
  {
    UpstreamInfo info;
    info.mId = aId;
    info.mIncarnation = 1;
    info.mService = aService;
    info.mMap = 1;
    info.mAddress = { "127.0.0.1", 1 };
    info.mSlots = aSlots;
    info.mVersions = { 1 };
    info.mState = UpstreamState::Ready;
    SimulatedUpstream& upstream = mUpstreams[aId];
    upstream.mInfo = info;
    return upstream;
  }

  // Adds services a, b, c, ... with aReplicas replicas each, and assigns them to the collection.
  void AddServices(int aServices, int aReplicas, std::uint32_t aSlots)
  {
    std::vector<std::string> names;
    for (int service = 0; service < aServices; ++service) {
      names.emplace_back(1, static_cast<char>('a' + service));
      for (int replica = 1; replica <= aReplicas; ++replica) {
        AddUpstream(names.back() + fmt::to_string(replica), names.back(), aSlots);
      }
    }
    mConfig.mCollections["desk"].mServices = names;
  }

  // Passes the configuration and the upstreams to the engine.
  void Announce()
  {
    if (mEngine.mConfig == nullptr) {
      SetConfig(mEngine, std::make_shared<const Config>(mConfig));
    }
    std::vector<UpstreamInfo> list;
    for (const auto& [id, upstream] : mUpstreams) {
      list.push_back(upstream.mInfo);
    }
    SetUpstreams(mEngine, list);
    Actions actions;
    OnTimer(mEngine, mNow, mRng, actions);
    ExecuteActions(std::move(actions));
  }

  QueryRequest MakeRequest(const std::string& aClass, const std::string& aCaller)
  {
    QueryRequest request;
    request.mId = mNextQuery++;
    request.mCollection = "desk";
    request.mClass = aClass;
    request.mCaller = aCaller;
    request.mQuery = "q";
    return request;
  }

  QueryId Submit(QueryRequest aRequest)
  {
    const QueryId id = aRequest.mId;
    Actions actions;
    SubmitQuery(mEngine, std::move(aRequest), mNow, mRng, actions);
    ExecuteActions(std::move(actions));
    return id;
  }

  QueryId Submit(const std::string& aClass = "check", const std::string& aCaller = "c")
  {
    return Submit(MakeRequest(aClass, aCaller));
  }

  QueryId SubmitOnce(const std::string& aKey)
  {
    QueryRequest request = MakeRequest("check", "c");
    const QueryId id = request.mId;
    Actions actions;
    SubmitUnrepeatable(mEngine, { std::move(request), aKey }, mNow, mRng, actions);
    ExecuteActions(std::move(actions));
    return id;
  }

  void Claim(QueryId aQuery, ClaimState aState, Result aResult = Result::ClaimRefused)
  {
    Actions actions;
    OnClaim(mEngine, { aQuery, aState, aResult, "7" }, mNow, mRng, actions);
    ExecuteActions(std::move(actions));
  }

  void Reply(const SendSubrequest& aSend)
  {
    ReplyWith({ aSend.mAttempt, aSend.mShard, aSend.mVersion, { "1" } });
  }

  void ReplyWith(SubrequestReply aReply)
  {
    Actions actions;
    OnReply(mEngine, std::move(aReply), mNow, mRng, actions);
    ExecuteActions(std::move(actions));
  }

  void FailWith(const SendSubrequest& aSend, FailureKind aKind)
  {
    if (mEngine.mAttempts.contains(aSend.mAttempt)) {
      mFirstFailures.emplace(aSend.mAttempt, aKind);
    }
    Actions actions;
    OnFailure(mEngine, { aSend.mAttempt, aKind, "test" }, mNow, mRng, actions);
    ExecuteActions(std::move(actions));
  }

  // Advances the virtual time to aUntil and runs all events and timers on the way.
  void RunTo(TimePoint aUntil)
  {
    for (;;) {
      const std::optional<TimePoint> timer = NextTimer(mEngine);
      const bool haveEvent = !mEvents.empty() && mEvents.begin()->first <= aUntil;
      if (timer && *timer <= aUntil && (!haveEvent || *timer <= mEvents.begin()->first)) {
        mNow = std::max(mNow, *timer);
        Actions actions;
        OnTimer(mEngine, mNow, mRng, actions);
        ExecuteActions(std::move(actions));
      } else if (haveEvent) {
        const auto node = mEvents.extract(mEvents.begin());
        mNow = std::max(mNow, node.key());
        node.mapped()();
      } else {
        mNow = aUntil;
        return;
      }
    }
  }

  void RunFor(Duration aTime) { RunTo(mNow + aTime); }

  // Schedules queries at random times with the given mean rate.
  void Offer(const std::string& aClass, double aPerSecond, Duration aTime)
  {
    constexpr double kMicros = 1e6;
    double at = 0;
    for (;;) {
      // Gaps are uniformly distributed around the mean. The formula gives the same result on every
      // platform.
      at += kMicros / aPerSecond * 2.0 * static_cast<double>(mRng() >> 11U) * 0x1.0p-53;
      if (at >= static_cast<double>(aTime.count())) {
        return;
      }
      mEvents.emplace(mNow + Duration(static_cast<Duration::rep>(at)),
                      [this, aClass] { mOffered[aClass].push_back(Submit(aClass)); });
    }
  }

  // Returns the given quantile of the latencies of the class.
  Duration Quantile(const std::string& aClass, double aQuantile) const
  {
    std::vector<Duration> times;
    for (const QueryId id : mOffered.at(aClass)) {
      times.push_back(mAnswers.at(id).mElapsed);
    }
    std::sort(times.begin(), times.end());
    return times.at(static_cast<std::size_t>(aQuantile * static_cast<double>(times.size() - 1)));
  }

  // Counts the answers of the class with this result that were given no later than aUntil.
  std::size_t CountResults(const std::string& aClass,
                           Result aResult,
                           TimePoint aUntil = TimePoint::max()) const
  {
    const std::vector<QueryId>& ids = mOffered.at(aClass);
    return static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [&](QueryId aId) {
      const auto found = mAnswers.find(aId);
      return found != mAnswers.end() && found->second.mResult == aResult &&
             mAnsweredAt.at(aId) <= aUntil;
    }));
  }

  std::map<std::string, std::vector<QueryId>> mOffered;

  void ExecuteActions(Actions aActions)
  {
    for (Action& action : aActions) {
      if (auto* const send = std::get_if<SendSubrequest>(&action)) {
        mSent.push_back(*send);
        if (mServe) {
          Serve(*send);
        }
      } else if (auto* const cancel = std::get_if<CancelSubrequest>(&action)) {
        mCancelled.push_back(*cancel);
      } else if (auto* const respond = std::get_if<Respond>(&action)) {
        const QueryId id = respond->mAnswer.mQuery;
        mAnsweredAt[id] = mNow;
        if (!mAnswers.emplace(id, std::move(respond->mAnswer)).second) {
          throw std::logic_error("a query was answered twice");
        }
      } else if (auto* const claim = std::get_if<ClaimRequest>(&action)) {
        mClaims.push_back(*claim);
      } else if (auto* const outcome = std::get_if<RecordOutcome>(&action)) {
        mOutcomes.push_back(*outcome);
      } else if (auto* const share = std::get_if<ShareStrike>(&action)) {
        mShared.push_back(share->mStrike);
      }
    }
  }

private:
  void Serve(const SendSubrequest& aSend)
  {
    SimulatedUpstream& upstream = mUpstreams.at(aSend.mUpstream);
    ++upstream.mReceived;
    if (upstream.mDown) {
      mEvents.emplace(mNow + Duration(100),
                      [this, aSend] { FailWith(aSend, FailureKind::NotConnected); });
      return;
    }
    upstream.mMostRunning = std::max(upstream.mMostRunning, ++upstream.mRunning);
    if (upstream.mHangs) {
      return;
    }
    // Service times are uniformly distributed from 0.5 to 1.5 times the mean.
    const auto time = upstream.mServiceTime.count();
    const Duration service(time / 2 + static_cast<Duration::rep>(mRng() % (time + 1)));
    mEvents.emplace(mNow + service, [this, aSend, &upstream] {
      --upstream.mRunning;
      Reply(aSend);
    });
  }

  std::multimap<TimePoint, std::function<void()>> mEvents;
};

} // namespace apricotyard

#endif
