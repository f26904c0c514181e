#include "routing.h"

#include "caller_identity.h"
#include "document_field.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// aField.mItem is the index of the route.
Expected<void>
CheckRoute(const Route& aRoute, const std::set<std::string>& aServices, FieldPath& aField)
{
  const auto invalid = [&aRoute, &aField](DocumentField aKind,
                                          std::string_view aProblem,
                                          std::optional<std::size_t> aPart = std::nullopt) {
    aField.mField = aKind;
    aField.mPart = aPart;
    return Fail(Result::InvalidDocument, fmt::format("route '{}': {}", aRoute.mName, aProblem));
  };
  const std::string& prefix = aRoute.mPathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return invalid(DocumentField::RoutePrefix, "the path prefix must begin and end with a slash");
  }
  if (aRoute.mTimeout <= Duration::zero()) {
    return invalid(DocumentField::RouteTimeout, "the timeout is 0");
  }
  if (aRoute.mServices.empty()) {
    return invalid(DocumentField::RouteServices, "it names no service");
  }
  double weights = 0;
  for (std::size_t part = 0; part < aRoute.mServices.size(); ++part) {
    const WeightedService& service = aRoute.mServices[part];
    if (!aServices.contains(service.mService)) {
      return invalid(
        DocumentField::RouteServices, fmt::format("unknown service '{}'", service.mService), part);
    }
    if (service.mWeight < 0) {
      return invalid(DocumentField::RouteWeight, "a weight is negative", part);
    }
    weights += service.mWeight;
  }
  if (weights <= 0) {
    return invalid(DocumentField::RouteServices, "the weights add up to 0");
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
CheckWorkspaces(const std::vector<Workspace>& aWorkspaces, FieldPath& aField)
{
  std::set<std::string> names;
  std::map<KeyDigest, std::string> owners;
  for (std::size_t i = 0; i < aWorkspaces.size(); ++i) {
    const Workspace& workspace = aWorkspaces[i];
    if (!IsHeaderValue(workspace.mName)) {
      aField = { DocumentField::WorkspaceName, i, std::nullopt };
      return Fail(Result::InvalidDocument, "the name of a workspace cannot be sent in a header");
    }
    if (!names.insert(workspace.mName).second) {
      aField = { DocumentField::WorkspaceName, i, std::nullopt };
      return Fail(Result::InvalidDocument,
                  fmt::format("two workspaces are named '{}'", workspace.mName));
    }
    for (std::size_t part = 0; part < workspace.mKeys.size(); ++part) {
      const KeyDigest& key = workspace.mKeys[part];
      const auto [owner, inserted] = owners.emplace(key, workspace.mName);
      if (!inserted && owner->second != workspace.mName) {
        aField = { DocumentField::WorkspaceKeys, i, part };
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

std::string
RouteHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return host;
}

Expected<void>
CheckRouting(const RoutingDocument& aDocument)
{
  FieldPath ignored;
  return CheckRouting(aDocument, ignored);
}

Expected<void>
CheckRouting(const RoutingDocument& aDocument, FieldPath& aField)
{
  std::set<std::string> services;
  for (const RoutedService& service : aDocument.mServices) {
    services.insert(service.mName);
  }
  std::set<std::pair<std::string, std::string>> prefixesByHost;
  for (std::size_t i = 0; i < aDocument.mRoutes.size(); ++i) {
    const Route& route = aDocument.mRoutes[i];
    FieldPath field{ DocumentField::Document, i, std::nullopt };
    if (auto checked = CheckRoute(route, services, field); !checked) {
      aField = field;
      return checked;
    }
    if (!prefixesByHost.emplace(RouteHost(route.mHost), route.mPathPrefix).second) {
      aField = { DocumentField::RoutePrefix, i, std::nullopt };
      return Fail(
        Result::InvalidDocument,
        fmt::format("two routes share host '{}' and prefix '{}'", route.mHost, route.mPathPrefix));
    }
  }
  return CheckWorkspaces(aDocument.mWorkspaces, aField);
}

RoutingTable::RoutingTable(RoutingDocument aDocument)
  : mDocument(std::move(aDocument))
{
  for (std::size_t i = 0; i < mDocument.mRoutes.size(); ++i) {
    const Route& route = mDocument.mRoutes[i];
    mRoutesByHost[RouteHost(route.mHost)].emplace(route.mPathPrefix, i);
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
  const auto host = mRoutesByHost.find(RouteHost(aHost));
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
