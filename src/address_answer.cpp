#include "address_answer.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

struct RankedHost
{
  bool mRemote = false;
  double mOrderKey = 0;
  AddressHost mHost;
};

// Sort key for a weighted random order: exponentially distributed with the host's weight as its
// rate (Efraimidis and Spirakis, "Weighted random sampling with a reservoir", 2006).
double
OrderKey(std::uint64_t aLoad, Rng& aRng)
{
  const double uniform = (static_cast<double>(aRng() >> 11U) + 1.0) * 0x1.0p-53;
  return -std::log(uniform) * (1.0 + static_cast<double>(aLoad));
}

} // namespace

std::vector<AddressHost>
ChooseAddresses(const std::vector<AddressHost>& aHosts,
                const std::set<std::string>& aHomeHosts,
                const std::string& aDataCentre,
                Rng& aRng)
{
  const bool anyHomeServes =
    std::any_of(aHosts.begin(), aHosts.end(), [&](const AddressHost& aHost) {
      return aHost.mServing && aHomeHosts.contains(aHost.mName);
    });
  std::vector<RankedHost> ranked;
  for (const AddressHost& host : aHosts) {
    if (host.mServing && (!anyHomeServes || aHomeHosts.contains(host.mName))) {
      ranked.push_back({ host.mDataCentre != aDataCentre, OrderKey(host.mLoad, aRng), host });
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const RankedHost& aLeft, const RankedHost& aRight) {
    return std::tie(aLeft.mRemote, aLeft.mOrderKey, aLeft.mHost.mName) <
           std::tie(aRight.mRemote, aRight.mOrderKey, aRight.mHost.mName);
  });
  if (ranked.size() > kMaxAddresses) {
    const auto remote = std::find_if(
      ranked.begin(), ranked.end(), [](const RankedHost& aHost) { return aHost.mRemote; });
    // Keeps one remote address, to which the caller can fail over if its own data centre is lost.
    if (remote >= ranked.begin() + kMaxAddresses && remote != ranked.end()) {
      std::iter_swap(ranked.begin() + kMaxAddresses - 1, remote);
    }
    ranked.resize(kMaxAddresses);
  }
  std::vector<AddressHost> chosen;
  for (RankedHost& host : ranked) {
    chosen.push_back(std::move(host.mHost));
  }
  return chosen;
}

std::optional<AddressHost>
ChooseForwardTarget(const std::vector<AddressHost>& aHosts,
                    const std::set<std::string>& aHomeHosts,
                    const std::string& aSelf,
                    const std::string& aDataCentre,
                    Rng& aRng)
{
  if (aHomeHosts.contains(aSelf)) {
    return std::nullopt;
  }
  const std::vector<AddressHost> chosen = ChooseAddresses(aHosts, aHomeHosts, aDataCentre, aRng);
  if (chosen.empty() || !aHomeHosts.contains(chosen.front().mName)) {
    return std::nullopt;
  }
  return chosen.front();
}

} // namespace apricotyard
