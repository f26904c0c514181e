// Which entry hosts a caller should use, and where a query without slots is forwarded. Pure.
#ifndef APRICOTYARD_ADDRESS_ANSWER_H
#define APRICOTYARD_ADDRESS_ANSWER_H

#include "types.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotyard {

// How long a caller may use an address answer. A stopping host serves at least this long.
inline constexpr std::chrono::seconds kAddressLifetime{ 5 };
// Addresses in one answer. A caller needs a few to fail over, and a short answer stays in one
// packet.
inline constexpr std::size_t kMaxAddresses = 6;
// Name of the header that forbids a second hop, in lower case.
inline constexpr const char* kHeaderForwarded = "x-forwarded-by-entry";

struct AddressHost
{
  std::string mName;
  std::string mDataCentre;
  SocketAddress mAddress;
  // False while the host stops, may not serve or does not answer its peers.
  bool mServing = true;
  // Queries that are running on the host.
  std::uint64_t mLoad = 0;
};

// The serving home hosts, those in aDataCentre first. Within a data centre the order is random with
// weight 1 / (1 + load), so that callers spread and a busy host comes later. If no home host
// serves, the other serving hosts are given in the same order; they forward or refuse. At most
// kMaxAddresses hosts, of which at least one is in another data centre if there is any.
std::vector<AddressHost>
ChooseAddresses(const std::vector<AddressHost>& aHosts,
                const std::set<std::string>& aHomes,
                const std::string& aDataCentre,
                Rng& aRng);

// The home host that takes a query which arrived at aSelf, or nothing if aSelf is a home host or no
// home host serves.
std::optional<AddressHost>
ChooseForward(const std::vector<AddressHost>& aHosts,
              const std::set<std::string>& aHomes,
              const std::string& aSelf,
              const std::string& aDataCentre,
              Rng& aRng);

} // namespace apricotyard

#endif
