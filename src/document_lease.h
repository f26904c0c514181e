// Decides whether a gateway may judge callers' keys by the document that it holds. Pure functions
// over plain structs; all times are on SteadyNow(), which includes suspensions.
//
// A coordinator notes when the last successful linearizable read started. Its document then
// includes everything that was committed before. A gateway that holds this document or a later one
// has a lease from that time on. See docs/design/caller-identity.md.
#ifndef APRICOTYARD_DOCUMENT_LEASE_H
#define APRICOTYARD_DOCUMENT_LEASE_H

#include "document_choice.h"
#include "types.h"

#include <cstdint>
#include <optional>

namespace apricotyard {

// Interval at which a coordinator reads while gateways ask for it. It adds to the age of leases.
inline constexpr Duration kReadInterval = std::chrono::milliseconds(250);
// A coordinator reads for this time after a gateway asked last. Gateways that callers are not sent
// to call some coordinators only every 4 s.
inline constexpr Duration kReadInterest = std::chrono::seconds(5);
// A lease ends this long before the limit, which allows for clocks whose rates differ by 5% over a
// limit of 5 s.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(250);
// With a shorter limit, a lease would end between two regular calls to a coordinator.
inline constexpr Duration kMinRevocationLimit = std::chrono::milliseconds(2000);

// The reads of a coordinator.
struct DocumentReads
{
  // When a gateway asked last.
  std::optional<TimePoint> mAskedAt;
  // The latest start of a read that succeeded.
  std::optional<TimePoint> mConfirmedAt;
};

// Whether a gateway has asked recently, so that the coordinator is to read.
bool
IsReadWanted(const DocumentReads& aReads, TimePoint aNow);

// Notes that a gateway asks. Returns true if a read must be started immediately, because none is
// started at regular intervals.
bool
RecordReadWanted(DocumentReads& aReads, TimePoint aNow);

// Notes the success of a read that was started at aStartedAt.
void
RecordRead(DocumentReads& aReads, TimePoint aStartedAt);

// The age of the last successful read in milliseconds, rounded up. Empty if there is none.
std::optional<std::uint32_t>
ReadAge(const DocumentReads& aReads, TimePoint aNow);

// The lease of a gateway.
struct DocumentLease
{
  // Latest time at which a revoked key may still be accepted, after the revocation. Empty if no
  // lease is needed.
  std::optional<Duration> mLimit;
  // The document in force includes everything that was committed before this time.
  std::optional<TimePoint> mConfirmedAt;
};

// Whether keys may be judged by the document in force.
bool
IsLeaseValid(const DocumentLease& aLease, TimePoint aNow);

// Renews the lease from a reply to a call that was sent at aSentAt and names aReported with the age
// of a read. Does nothing unless aHeld, the document in force here, and aReported are committed and
// aHeld is not older. Does nothing with an empty age.
void
RenewLease(DocumentLease& aLease,
           const DocumentIdentity& aHeld,
           const DocumentIdentity& aReported,
           std::optional<std::uint32_t> aReadAge,
           TimePoint aSentAt);

// Time since the document in force was last confirmed. Empty if it never was.
std::optional<Duration>
LeaseAge(const DocumentLease& aLease, TimePoint aNow);

} // namespace apricotyard

#endif
