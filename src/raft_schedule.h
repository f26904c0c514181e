// Randomized simulation of a Raft group in virtual time, with the faults that the design page
// lists. The members run the real storage code on in-memory disks, over a network that loses,
// delays, duplicates and reorders messages. The same seed gives the same schedule on every machine.
#ifndef APRICOTYARD_RAFT_SCHEDULE_H
#define APRICOTYARD_RAFT_SCHEDULE_H

#include "chart.h"

#include <string>
#include <vector>

namespace apricotyard {

struct RaftScheduleResult
{
  // The first violated check; empty if all held.
  std::string mFailure;
  std::vector<std::string> mTrace;
  std::uint64_t mEvents = 0;
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mDisksLost = 0;
  std::uint64_t mElections = 0;
  // Restarts of all or nearly all members at about the same time, and members that thereafter voted
  // without waiting for the end of old leases.
  std::uint64_t mGroupRestarts = 0;
  std::uint64_t mWaitsEnded = 0;
  std::uint64_t mMemberChanges = 0;
  std::uint64_t mSnapshotsInstalled = 0;
};

// Runs one schedule and checks that
// - each term has at most one leader, and at most one member at a time acts as the leader;
// - logs have equal entries at equal positions;
// - all members apply the same commands in the same order;
// - no acknowledged command is lost, and none that was reported as not run is applied;
// - no read misses what was acknowledged or read before it began;
// - the group makes progress once the faults end;
// - no event occurs that the chart forbids.
//
// Precondition: aChart passed CheckRaftChart. Thread-safe.
RaftScheduleResult
RunRaftSchedule(const Chart& aChart, std::uint64_t aSeed, bool aTrace);

} // namespace apricotyard

#endif
