// Chooses the entry hosts that a caller should use, and the host to which a query is forwarded.
// Pure functions apart from the random generator.
#ifndef APRICOTYARD_ADDRESS_ANSWER_H
#define APRICOTYARD_ADDRESS_ANSWER_H

#include "types.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

// Time for which a caller may use a list of addresses. A stopping host keeps serving at least this
// long.
inline constexpr std::chrono::seconds kAddressLifetime{ 5 };
// Most addresses in one list. A caller needs a few for failover, and a short list fits in one
// packet.
inline constexpr std::size_t kMaxAddresses = 6;
// Lower-case name of the header that marks a forwarded query, which must not be forwarded again.
inline constexpr const char* kForwardedHeader = "x-forwarded-by-entry";

struct AddressHost
{
  std::string mName;
  std::string mDataCentre;
  SocketAddress mAddress;
  // False while the host is stopping, has no permission to serve or does not answer its peers.
  bool mServing = true;
  // Queries running on the host.
  std::uint64_t mLoad = 0;
};

// Returns the serving home hosts, those in aDataCentre first. The order among local and among
// remote hosts is random with weight 1 / (1 + load), which spreads callers and puts busy hosts
// later. If no home host serves, returns the other serving hosts in the same order; they forward or
// refuse queries. Returns at most kMaxAddresses hosts, including at least one from another data
// centre if there is any.
std::vector<AddressHost>
ChooseAddresses(const std::vector<AddressHost>& aHosts,
                const std::set<std::string>& aHomeHosts,
                const std::string& aDataCentre,
                Rng& aRng);

// Returns the home host to which aSelf forwards a query. Empty if aSelf is a home host itself or no
// home host serves.
std::optional<AddressHost>
ChooseForwardTarget(const std::vector<AddressHost>& aHosts,
                    const std::set<std::string>& aHomeHosts,
                    const std::string& aSelf,
                    const std::string& aDataCentre,
                    Rng& aRng);

} // namespace apricotyard

#endif
