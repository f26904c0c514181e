// Randomized schedules of a control group in virtual time: members with their real storage code on
// disks in memory, a network that loses, delays, repeats and reorders messages, and every fault of
// the design page. A seed gives the same schedule on every machine.
#ifndef APRICOTYARD_RAFT_SCHEDULE_H
#define APRICOTYARD_RAFT_SCHEDULE_H

#include "chart.h"

#include <string>
#include <vector>

namespace apricotyard {

struct ScheduleResult
{
  // Empty if every check held.
  std::string mFailure;
  std::vector<std::string> mTrace;
  std::uint64_t mEvents = 0;
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mDisksLost = 0;
  std::uint64_t mElections = 0;
  std::uint64_t mMemberChanges = 0;
  std::uint64_t mSnapshotsInstalled = 0;
};

// Runs one schedule and checks: at most one leader per term and at most one member that acts as the
// leader at a time; equal entries at equal positions of the logs; the same commands in the same
// order on every member; no acknowledged command lost and none applied that was reported as not
// run; no read that misses what was acknowledged or read before it began; progress once the faults
// end; no event that the chart forbids. aChart passed CheckRaftChart.
ScheduleResult
RunSchedule(const Chart& aChart, std::uint64_t aSeed, bool aTrace);

} // namespace apricotyard

#endif
