#include "routing.h"

#include "caller_identity.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace apricotyard {

namespace {

std::string
LowerHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return host;
}

Expected<void>
CheckRoute(const Route& aRoute, const std::set<std::string>& aServices)
{
  const auto invalid = [&aRoute](std::string_view aProblem) {
    return Fail(Result::InvalidDocument, fmt::format("route '{}': {}", aRoute.mName, aProblem));
  };
  const std::string& prefix = aRoute.mPathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return invalid("the path prefix must begin and end with a slash");
  }
  if (aRoute.mTimeout <= Duration::zero()) {
    return invalid("the timeout is 0");
  }
  if (aRoute.mServices.empty()) {
    return invalid("it names no service");
  }
  double weights = 0;
  for (const WeightedService& service : aRoute.mServices) {
    if (!aServices.contains(service.mService)) {
      return invalid(fmt::format("unknown service '{}'", service.mService));
    }
    if (service.mWeight < 0) {
      return invalid("a weight is negative");
    }
    weights += service.mWeight;
  }
  if (weights <= 0) {
    return invalid("the weights add up to 0");
  }
  return {};
}

// Whether aText can be sent in a header without a change. Spaces around a value are dropped.
bool
IsHeaderValue(std::string_view aText)
{
  return !aText.empty() && aText.front() != ' ' && aText.back() != ' ' &&
         std::none_of(
           aText.begin(), aText.end(), [](unsigned char aC) { return aC < ' ' || aC == 0x7f; });
}

Expected<void>
CheckWorkspaces(const std::vector<Workspace>& aWorkspaces)
{
  std::set<std::string> names;
  std::map<KeyDigest, std::string> owners;
  for (const Workspace& workspace : aWorkspaces) {
    if (!IsHeaderValue(workspace.mName)) {
      return Fail(Result::InvalidDocument, "the name of a workspace cannot be sent in a header");
    }
    if (!names.insert(workspace.mName).second) {
      return Fail(Result::InvalidDocument,
                  fmt::format("two workspaces are named '{}'", workspace.mName));
    }
    for (const KeyDigest& key : workspace.mKeys) {
      const auto [owner, inserted] = owners.emplace(key, workspace.mName);
      if (!inserted && owner->second != workspace.mName) {
        return Fail(Result::InvalidDocument,
                    fmt::format("workspaces '{}' and '{}' share the key {}",
                                owner->second,
                                workspace.mName,
                                KeyFingerprint(key)));
      }
    }
  }
  return {};
}

} // namespace

Expected<void>
CheckRouting(const RoutingDocument& aDocument)
{
  std::set<std::string> services;
  for (const RoutedService& service : aDocument.mServices) {
    services.insert(service.mName);
  }
  std::set<std::pair<std::string, std::string>> prefixesByHost;
  for (const Route& route : aDocument.mRoutes) {
    if (auto checked = CheckRoute(route, services); !checked) {
      return checked;
    }
    if (!prefixesByHost.emplace(LowerHost(route.mHost), route.mPathPrefix).second) {
      return Fail(
        Result::InvalidDocument,
        fmt::format("two routes share host '{}' and prefix '{}'", route.mHost, route.mPathPrefix));
    }
  }
  return CheckWorkspaces(aDocument.mWorkspaces);
}

RoutingTable::RoutingTable(RoutingDocument aDocument)
  : mDocument(std::move(aDocument))
{
  for (std::size_t i = 0; i < mDocument.mRoutes.size(); ++i) {
    const Route& route = mDocument.mRoutes[i];
    mRoutesByHost[LowerHost(route.mHost)].emplace(route.mPathPrefix, i);
  }
  for (std::size_t i = 0; i < mDocument.mServices.size(); ++i) {
    mServicesByName.emplace(mDocument.mServices[i].mName, i);
  }
  for (std::size_t i = 0; i < mDocument.mWorkspaces.size(); ++i) {
    for (const KeyDigest& key : mDocument.mWorkspaces[i].mKeys) {
      mWorkspacesByKey.emplace(key, i);
    }
  }
}

const Route*
RoutingTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(LowerHost(aHost));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  // Looks up every prefix of the path that ends with a slash, longest first.
  for (std::size_t end = aPath.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : aPath.rfind('/', end - 1)) {
    const auto found = host->second.find(aPath.substr(0, end + 1));
    if (found != host->second.end()) {
      return &mDocument.mRoutes[found->second];
    }
  }
  return nullptr;
}

const RoutedService*
RoutingTable::FindService(std::string_view aName) const
{
  const auto found = mServicesByName.find(aName);
  return found == mServicesByName.end() ? nullptr : &mDocument.mServices[found->second];
}

const Workspace*
RoutingTable::FindWorkspace(const KeyDigest& aKey) const
{
  const auto found = mWorkspacesByKey.find(aKey);
  return found == mWorkspacesByKey.end() ? nullptr : &mDocument.mWorkspaces[found->second];
}

} // namespace apricotyard
