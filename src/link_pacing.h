// Decides when a host calls a coordinator next. Pure functions.
//
// Answers the load that hundreds of hosts put on a few small coordinators, above all when a
// coordinator returns and all of them connect to it at once. A connection costs it milliseconds of
// processor time. If hosts give up early and try again often, it spends its time on connections
// that are no longer wanted, and even the elections of the control group fail.
#ifndef APRICOTYARD_LINK_PACING_H
#define APRICOTYARD_LINK_PACING_H

#include "types.h"

#include <cstddef>

namespace apricotyard {

// Number of hosts before a coordinator has told it.
inline constexpr std::size_t kUnknownHosts = 0;

// What a host knows of its link to one coordinator.
struct LinkStatus
{
  // The coordinator is the one from which the host learns changes first.
  bool mPrimary = true;
  // It is in the data centre of the host, or its data centre is not known yet.
  bool mNear = true;
  // Consecutive failed calls.
  int mFailures = 0;
  // The last call to any coordinator succeeded.
  bool mAnyReachable = false;
  // The primary is in contact with its group and with all other coordinators.
  bool mPrimaryUpToDate = false;
  // Hosts that share the coordinators, or kUnknownHosts.
  std::size_t mHosts = 1;
};

struct LinkPauses
{
  // Between calls to the primary, and the lower limit for the others.
  Duration mPrimary{};
  // Between calls to the others while the primary is up to date.
  Duration mSecondary{};
  // Longest pause between calls to the others while the primary may lack changes that they have.
  Duration mIsolated = std::chrono::seconds(1);
};

// Default pause between two calls to the same coordinator. A change that a coordinator holds
// reaches a host within the host's pause for this coordinator and one round trip. The shortest time
// limit for the spread of a change is 3 s.
inline constexpr Duration kFleetSyncPause = std::chrono::milliseconds(250);

// Returns the pauses of one of aGateways gateways. An active gateway is one that coordinators name
// to callers.
LinkPauses
GatewayPauses(bool aActive, std::size_t aGateways);

// Returns the time without a reply of any coordinator after which the leases of upstreams are not
// expired, because upstreams cannot renew them either. It allows for the loss of one call.
Duration
CoordinatorSilence(const LinkPauses& aPauses);

// Number of hosts on which pauses and time limits are based.
struct HostCount
{
  std::size_t mHosts = kUnknownHosts;
  // When the number was reported last.
  TimePoint mReportedAt;
};

// Takes a reported number of hosts and returns the one to be used. It rises at once and falls after
// kHostCountLifetime: coordinators that have just started know few hosts while all connect to them.
std::size_t
UpdateHostCount(HostCount& aCount, std::size_t aReported, TimePoint aNow);

inline constexpr Duration kHostCountLifetime = std::chrono::seconds(60);

// Time limit of a call on an open connection. It allows for several round trips between data
// centres.
inline constexpr Duration kCallTimeout = std::chrono::milliseconds(700);

// Returns the time limit of a call whose connection has to be opened first. A small coordinator
// accepts the connections of hosts one after the other. A host that gives up before its turn only
// adds to their number: 300 hosts of 3 coordinators that allowed 2.5 s kept these busy for a whole
// run.
Duration
ConnectTimeout(std::size_t aHosts);

// Returns for how long calls on an open connection may fail before it is replaced. An old
// connection may have stopped working while a new one would work, but a coordinator that many hosts
// connect to may only be busy.
Duration
ReplacementTime(std::size_t aHosts);

// Returns the pause after a successful call.
Duration
RegularPause(const LinkStatus& aStatus, const LinkPauses& aPauses);

// Whether hosts need links to the coordinators of other data centres now: none was reached for
// aUnreachable, or the primary has not been up to date for aOutdated. Otherwise such links are only
// a reserve, and opening them can wait until the coordinators have served the hosts nearby and
// elected a leader.
bool
NeedsFarLinks(Duration aUnreachable, Duration aOutdated);

// Returns the pause after a failed call. A restarted coordinator is available again within a
// second, and the hosts nearby are to find it soon. The others call rarely and spread their calls.
// aRandom is a random number from 0 to 1. Precondition: mFailures > 0.
Duration
RetryPause(const LinkStatus& aStatus, double aRandom);

// Returns the delay before the first call to a coordinator whose data centre is known.
Duration
FirstCallDelay(const LinkStatus& aStatus, double aRandom);

// Returns the pause or delay that remains for a link to another data centre once it is needed.
Duration
NeededLinkDelay(double aRandom);

// The same for one of the coordinators that the settings name, without their data centres. They are
// called one after the other, aIndex counts them from 0, because the first that answers tells which
// one is near.
Duration
FirstSeedCallDelay(std::size_t aIndex, double aRandom);

// Longest time for which a host that has had no answer yet puts off a call because a call to
// another coordinator is open. A busy coordinator that is about to answer would otherwise be
// followed by connections to all others. 191 hosts that start together opened 603 of them, 451 with
// this time. One that is suspended delays a start by no more than this.
inline constexpr Duration kMaxPostponement = std::chrono::milliseconds(500);

// Whether a host puts off a call. aAnswered: a coordinator has answered it. aOpenCalls: calls to
// other coordinators that opened a connection and have not ended. aPostponed: how long this call
// has been put off.
bool
PostponesCall(bool aAnswered, std::size_t aOpenCalls, Duration aPostponed);

// Longest time that a coordinator keeps hosts waiting for its group.
inline constexpr Duration kMaxElectionWait = std::chrono::seconds(4);

// Whether a coordinator accepts connections of hosts, aSinceStart after its start. The coordinators
// of a group that returns together elect a leader first: their messages would otherwise wait for
// hundreds of new connections. A refused connection costs nothing.
bool
AcceptsHosts(bool aKnowsLeader, Duration aSinceStart);

} // namespace apricotyard

#endif
