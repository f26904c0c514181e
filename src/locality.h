// Decides which share of a service's sends leaves the gateway's data centre. Pure functions over
// plain structs; thread-safe for distinct structs.
//
// Inputs: what this gateway observes of the replicas in each data centre, link time, and price.
// Output: while home is overloaded, the share of sends that may leave to each other data centre. A
// send that may leave does so if the replica there is cheaper (placement.h).
// Rule: leave if the expected gain in time exceeds link time plus price. Shares rise within some
// hundred milliseconds, fall over seconds, and change by a bounded, random fraction, so that
// gateways that decide at once do not oscillate.
#ifndef APRICOTYARD_LOCALITY_H
#define APRICOTYARD_LOCALITY_H

#include "placement.h"

namespace apricotyard {

// Interval between decisions.
inline constexpr Duration kLocalityInterval = std::chrono::milliseconds(250);
// Load from which a data centre counts as overloaded, and below which it no longer does. A pause of
// one replica must not count: one sample raises the load to 1.5 at most.
inline constexpr double kOverloadLoad = 1.6;
inline constexpr double kRelievedLoad = 1.25;
// The same for the share of failed attempts. A single failure raises it to 0.15 and must not count.
inline constexpr double kOverloadFailures = 0.25;
inline constexpr double kRelievedFailures = 0.1;
// Largest total share that leaves. The rest keeps the estimate of home current.
inline constexpr double kMaxLeavingShare = 0.97;
// Share of the sends that probes a data centre that was not reached.
inline constexpr double kCutProbeShare = 0.02;
// Value of one objective in the currency of the price per GB. At 0.02 per GB, a request of 20 kB
// then costs 0.4% of its objective.
inline constexpr double kObjectiveValue = 1e-4;

// Mean latency of a route's sends over a minute or more.
struct UsualLatency
{
  double mMeanUs = 0;
  std::uint32_t mSamples = 0;
  TimePoint mLastSampleAt{};
};

void
RecordUsualLatency(UsualLatency& aUsual, Duration aLatency, TimePoint aNow);

// Load of the replicas in one data centre, from latencies relative to the route's usual one.
struct LoadEstimate
{
  // Over some hundred milliseconds, but at least four samples.
  double mRatio = 1;
  // Over minutes. Replicas behind a link are above 1.
  double mUsualRatio = 1;
  // Smallest ratio; rises slowly.
  double mBestRatio = 1;
  double mFailureShare = 0;
  std::uint32_t mSamples = 0;
  // Number of samples, decayed by the time since them.
  double mRecentSamples = 0;
  TimePoint mLastSampleAt{};
};

// Records an answered attempt. aNow must not decrease. Without samples of aUsual nothing changes.
void
RecordLoad(LoadEstimate& aLoad, const UsualLatency& aUsual, Duration aLatency, TimePoint aNow);
// Records an attempt without an answer.
void
RecordLoadFailure(LoadEstimate& aLoad, TimePoint aNow);

// What a load estimate is compared with. Other data centres are compared with the own one, because
// in calm times they get too few requests to show what is usual there.
struct LoadBasis
{
  // Usual ratio in the own data centre.
  double mUsualRatio = 1;
  // Ratio that the link adds.
  double mLinkRatio = 0;
};

// The basis of aOther. The link adds the difference of the smallest ratios; aFallbackRatio if one
// of the two has too few samples.
LoadBasis
MakeLoadBasis(const LoadEstimate& aOwn, const LoadEstimate& aOther, double aFallbackRatio);

// Load relative to the usual one, 1 if unknown: that of the service, blended with that of its data
// centre over all services as long as the service has few recent samples.
double
BlendLoad(const LoadEstimate& aService,
          const LoadEstimate& aDataCentre,
          const LoadBasis& aServiceBasis,
          const LoadBasis& aDataCentreBasis,
          TimePoint aNow);
// Share of failed attempts, decayed by the time since the last one.
double
FailureShare(const LoadEstimate& aLoad, TimePoint aNow);
// What is known of a service's replicas in one data centre.
struct DataCentreView
{
  std::string mName;
  // Replicas that take requests now.
  std::size_t mUsable = 0;
  // At least one of them has not failed several times in a row.
  bool mReached = true;
  double mLoad = 1;
  double mFailureShare = 0;
  // From the gateway's data centre; zero for its own.
  Duration mLinkTime{};
  // Share of the recent first sends.
  double mSentShare = 0;
};

// Consecutive failures after which a replica counts as not reached.
inline constexpr std::uint32_t kUnreachedFailures = 3;

struct LocalityInputs
{
  std::string mOwn;
  std::vector<DataCentreView> mDataCentres;
  Duration mUsual{};
  Duration mObjective{};
  // Bytes per request, both ways, and price of a GB that leaves.
  double mBytes = 0;
  double mPricePerGb = 0;
  // Time since the last decision.
  Duration mElapsed = kLocalityInterval;
};

struct LocalityState
{
  // False while every send may leave.
  bool mEngaged = false;
  // Data centre that gets the sends that no share takes. Empty if none has usable replicas.
  std::string mHome;
  double mHomeLoad = 1;
  // Shares that may leave, by data centre, without home.
  std::map<std::string, double> mShares;
  // Whether a data centre other than home is available and not overloaded.
  bool mRoomElsewhere = true;
  // Added to the cost of replicas in other data centres, because of the price.
  Duration mPriceCost{};
  // mPriceCost was set.
  bool mPriced = false;
};

void
UpdateLocality(LocalityState& aState, const LocalityInputs& aInputs, Rng& aRng);

// Share of sends that may leave the data centre aOwn by decision; 0 if the state is not engaged.
double
LeavingShare(const LocalityState& aState, const std::string& aOwn);

// Chooses the replica of a first send by the shares; as ChooseReplica if the state is not engaged
// or the chosen data centre has no replica that is likely to answer. aLimits is unchanged on
// return.
ReplicaView*
ChooseByLocality(const LocalityState& aState,
                 std::span<ReplicaView* const> aReplicas,
                 const std::set<std::string>& aExcluded,
                 PlacementLimits& aLimits,
                 Duration aTypicalLatency,
                 TimePoint aNow,
                 Rng& aRng);

} // namespace apricotyard

#endif
