// Decides whether a gather may send on after it has lost replicas. Pure functions.
//
// A request that crashes the replicas that run it reaches one replica of every shard at once. If
// its lost parts were sent again at once, it would end a second replica of every shard within
// milliseconds. Its own losses are therefore evidence while it runs: as long as no part has been
// answered, lost parts wait. An answer to any part proves that the request does not crash replicas,
// which for most requests takes a few milliseconds.
#ifndef APRICOTYARD_GATHER_GUARD_H
#define APRICOTYARD_GATHER_GUARD_H

#include "types.h"

#include <cstddef>

namespace apricotyard {

// With fewer shards, a missing answer of the others proves nothing.
inline constexpr std::size_t kMinShardsForEvidence = 4;
// Time for which lost parts wait for an answer to another part. In this time the suspicion reaches
// the other gateways, where the caller may repeat the request.
inline constexpr Duration kProofTime = std::chrono::milliseconds(500);
// Crashes that one gather adds to the record of its content. With so many the next run of equal
// content begins with a single part. More would stop requests that only ran beside the cause.
inline constexpr std::size_t kMaxCrashesPerGather = 2;

// Time after which the suspicion is passed on, unless another part was answered by then.
inline constexpr Duration kGatherReportDelay = std::chrono::milliseconds(50);

struct GatherEvidence
{
  std::size_t mShards = 0;
  std::size_t mAnswered = 0;
  // Replicas that ended the connection under a part.
  std::size_t mLost = 0;
};

// Whether a part that was lost must wait before it is sent again.
bool
MustAwaitAnswer(const GatherEvidence& aEvidence);

// Whether an unanswered part may be sent to a second replica to save time. If no part has been
// answered, all replicas may be hanging because of the request.
bool
MayHedge(const GatherEvidence& aEvidence);

} // namespace apricotyard

#endif
