// Evacuations of data centres: orders of the operator, the list of evacuated data centres that
// results from them, and a gateway's view of that list. Plain structs and functions without clocks
// or I/O; not thread-safe. See docs/design/evacuation.md.
#ifndef APRICOTYARD_EVACUATION_H
#define APRICOTYARD_EVACUATION_H

#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// Most evacuated data centres, and the longest name of one in bytes. They bound the messages to
// gateways.
inline constexpr std::size_t kMaxEvacuated = 64;
inline constexpr std::size_t kMaxDataCentreName = 256;
// An order that is not known to be committed is forgotten if its coordinator has been silent for
// this time while others are in contact with their group.
inline constexpr Duration kUncommittedOrderLifetime = std::chrono::seconds(15);

struct EvacuationOrder
{
  std::string mDataCentre;
  // False if the order begins the evacuation.
  bool mEnd = false;
};

// The list of evacuated data centres.
struct Evacuations
{
  // Log index of the last order that changed the list; 0 if there was none.
  Revision mRevision = 0;
  std::set<std::string> mDataCentres;
};

// Applies the order with the given log index. Returns whether it changed the list. An order that
// would exceed kMaxEvacuated changes nothing.
bool
ApplyOrder(Evacuations& aEvacuations, const EvacuationOrder& aOrder, Revision aIndex);

// The payload of a log command, and the part of a snapshot that holds the list. Decoding fails with
// StorageCorrupt if the data is damaged.
std::string
EncodeOrder(const EvacuationOrder& aOrder);
Expected<EvacuationOrder>
DecodeOrder(std::string_view aData);
std::string
EncodeEvacuations(const Evacuations& aEvacuations);
Expected<Evacuations>
DecodeEvacuations(std::string_view aData);

// What one coordinator says about evacuations.
struct EvacuationReport
{
  Evacuations mCommitted;
  // Data centres that orders begin to evacuate which are not known to be committed.
  std::set<std::string> mUncommitted;
  // Whether the coordinator is in contact with its group.
  bool mCurrent = false;
};

// A gateway's view.
struct EvacuationView
{
  // The list with the highest revision.
  Evacuations mCommitted;
  struct Uncommitted
  {
    std::set<std::string> mDataCentres;
    TimePoint mAt;
  };
  // By the coordinator's IP address. Coordinators without such orders are absent.
  std::map<std::string, Uncommitted> mUncommitted;
};

// Applies a report of the coordinator at aIp. Returns whether EvacuatedDataCentres may have
// changed. aNow must not decrease for one view.
bool
LearnEvacuations(EvacuationView& aView,
                 const std::string& aIp,
                 EvacuationReport aReport,
                 TimePoint aNow);

// The data centres whose replicas may get no requests. Includes those of orders that may have been
// acknowledged without this gateway knowing it.
std::set<std::string>
EvacuatedDataCentres(const EvacuationView& aView);

} // namespace apricotyard

#endif
