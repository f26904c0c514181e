#include "gather_guard.h"

namespace apricotyard {

bool
MustAwaitAnswer(const GatherEvidence& aEvidence)
{
  return aEvidence.mShards >= kMinShardsForEvidence && aEvidence.mLost > 0 &&
         aEvidence.mAnswered == 0;
}

bool
MayHedge(const GatherEvidence& aEvidence)
{
  return aEvidence.mShards < kMinShardsForEvidence || aEvidence.mAnswered > 0;
}

} // namespace apricotyard
