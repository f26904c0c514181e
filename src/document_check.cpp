#include "document_check.h"

#include "caller_identity.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace apricotyard {

namespace {

using Findings = std::vector<Finding>;

void
Warn(Findings& aFindings,
     DocumentField aField,
     std::size_t aItem,
     std::string aText,
     std::optional<std::size_t> aPart = std::nullopt)
{
  aFindings.push_back({ Severity::Warning, { aField, aItem, aPart }, std::move(aText) });
}

std::string
FormatTime(Duration aTime)
{
  return fmt::format("{} ms", std::chrono::duration<double, std::milli>(aTime).count());
}

// Requests reach the look-up with a decoded path without arguments, so some prefixes match none.
void
CheckPlace(const Route& aRoute, std::size_t aIndex, Findings& aOut)
{
  if (aRoute.mHost.empty()) {
    Warn(aOut, DocumentField::RouteHost, aIndex, "no request matches an empty host");
  } else if (aRoute.mHost.find_first_of(" /\t") != std::string::npos) {
    Warn(aOut, DocumentField::RouteHost, aIndex, "no request has such a host");
  }
  const std::size_t unmatched = aRoute.mPathPrefix.find_first_of("?#%");
  if (unmatched != std::string::npos) {
    Warn(aOut,
         DocumentField::RoutePrefix,
         aIndex,
         fmt::format("no request matches: paths are compared decoded and without arguments, so "
                     "they hold no '{}'",
                     aRoute.mPathPrefix[unmatched]));
  }
}

void
CheckParts(const Route& aRoute, std::size_t aIndex, Findings& aOut)
{
  const bool gather = aRoute.mTarget == RouteTarget::AllShards;
  std::set<std::string> services;
  for (std::size_t part = 0; part < aRoute.mServices.size(); ++part) {
    const WeightedService& service = aRoute.mServices[part];
    if (!gather && service.mWeight == 0) {
      Warn(aOut,
           DocumentField::RouteWeight,
           aIndex,
           fmt::format("service '{}' has the weight 0 and gets no requests", service.mService),
           part);
    }
    if (!services.insert(service.mService).second) {
      Warn(aOut,
           DocumentField::RouteServices,
           aIndex,
           gather ? fmt::format("service '{}' is listed twice, so its records are returned twice",
                                service.mService)
                  : fmt::format("service '{}' is listed twice", service.mService),
           part);
    }
  }
}

void
CheckLimits(const Route& aRoute, std::size_t aIndex, Findings& aOut)
{
  if (aRoute.mObjective > aRoute.mTimeout) {
    Warn(aOut,
         DocumentField::RouteObjective,
         aIndex,
         fmt::format("the objective of {} is above the timeout of {} and has no effect",
                     FormatTime(aRoute.mObjective),
                     FormatTime(aRoute.mTimeout)));
  }
  if (aRoute.mMaxAttempts == 0) {
    Warn(aOut, DocumentField::RouteAttempts, aIndex, "0 attempts have the same effect as 1");
  } else if (!aRoute.mRepeatable && aRoute.mMaxAttempts > 1) {
    Warn(aOut,
         DocumentField::RouteAttempts,
         aIndex,
         "requests of this route run at most once, so further attempts have no effect");
  } else if (aRoute.mMaxAttempts > kMaxUsefulAttempts) {
    Warn(aOut,
         DocumentField::RouteAttempts,
         aIndex,
         fmt::format("more than {} attempts are not useful", kMaxUsefulAttempts));
  }
  if (aRoute.mTarget == RouteTarget::AllShards) {
    if (aRoute.mTopRecords == 0) {
      Warn(aOut, DocumentField::RouteTopRecords, aIndex, "merged responses hold no record");
    }
    if (!(aRoute.mMinCoverage >= 0 && aRoute.mMinCoverage <= 1)) {
      Warn(aOut, DocumentField::RouteCoverage, aIndex, "the share is not between 0 and 1");
    }
  }
}

void
CheckServices(const RoutingDocument& aDocument, Findings& aOut)
{
  std::set<std::string> used;
  for (const Route& route : aDocument.mRoutes) {
    for (const WeightedService& service : route.mServices) {
      used.insert(service.mService);
    }
  }
  std::set<std::string> names;
  for (std::size_t i = 0; i < aDocument.mServices.size(); ++i) {
    const RoutedService& service = aDocument.mServices[i];
    if (!names.insert(service.mName).second) {
      Warn(aOut,
           DocumentField::ServiceName,
           i,
           fmt::format("service '{}' is listed before; this entry has no effect", service.mName));
      continue;
    }
    if (!used.contains(service.mName)) {
      Warn(aOut,
           DocumentField::ServiceName,
           i,
           fmt::format("no route uses service '{}'", service.mName));
    }
    if (service.mMaxConnections == 0) {
      Warn(aOut,
           DocumentField::ServiceConnections,
           i,
           "without a limit of connections, every gateway keeps one to each replica");
    }
  }
}

void
CheckQuota(const Workspace& aWorkspace, std::size_t aIndex, Findings& aOut)
{
  if (aWorkspace.mRate == 0 && aWorkspace.mBurst > 0) {
    Warn(aOut,
         DocumentField::WorkspaceBurst,
         aIndex,
         "without a rate there is no limit, so the burst has no effect");
  }
  if (aWorkspace.mRate <= 0) {
    return;
  }
  const auto window = static_cast<double>(kQuotaWindow.count());
  if (aWorkspace.mRate * window + aWorkspace.mBurst < 1) {
    Warn(aOut,
         DocumentField::WorkspaceRate,
         aIndex,
         fmt::format("less than one request may pass in {} s", kQuotaWindow.count()));
  } else if (aWorkspace.mBurst < 1) {
    Warn(aOut,
         DocumentField::WorkspaceBurst,
         aIndex,
         "with a rate and a burst below 1, requests that arrive together are refused");
  }
}

void
CheckWorkspaces(const RoutingDocument& aDocument, Findings& aOut)
{
  const bool anyKeyed = std::any_of(aDocument.mRoutes.begin(),
                                    aDocument.mRoutes.end(),
                                    [](const Route& aRoute) { return !aRoute.mPublic; });
  for (std::size_t i = 0; i < aDocument.mWorkspaces.size(); ++i) {
    const Workspace& workspace = aDocument.mWorkspaces[i];
    if (workspace.mKeys.empty()) {
      Warn(aOut,
           DocumentField::WorkspaceKeys,
           i,
           fmt::format("workspace '{}' has no key, so no request belongs to it", workspace.mName));
    }
    std::set<KeyDigest> keys;
    for (std::size_t part = 0; part < workspace.mKeys.size(); ++part) {
      if (!keys.insert(workspace.mKeys[part]).second) {
        Warn(aOut,
             DocumentField::WorkspaceKeys,
             i,
             fmt::format("key {} is listed twice", KeyFingerprint(workspace.mKeys[part])),
             part);
      }
    }
    CheckQuota(workspace, i, aOut);
  }
  if (!aDocument.mWorkspaces.empty() && !aDocument.mRoutes.empty() && !anyKeyed) {
    Warn(aOut, DocumentField::Document, 0, "all routes are public, so no request needs a key");
  }
}

// Position in the order in which findings are listed.
auto
OrderOf(const Finding& aFinding)
{
  const FieldPath& field = aFinding.mField;
  const int kind = field.mField < DocumentField::RouteName       ? 0
                   : field.mField < DocumentField::ServiceName   ? 1
                   : field.mField < DocumentField::WorkspaceName ? 2
                                                                 : 3;
  return std::make_tuple(kind, field.mItem, field.mField, field.mPart);
}

using FieldTexts = std::vector<std::pair<DocumentField, std::string>>;

std::string
DescribeParts(const Route& aRoute)
{
  std::vector<std::string> parts;
  for (const WeightedService& service : aRoute.mServices) {
    parts.push_back(aRoute.mTarget == RouteTarget::AllShards
                      ? service.mService
                      : fmt::format("{}:{}", service.mService, service.mWeight));
  }
  return fmt::format("{} {}",
                     aRoute.mTarget == RouteTarget::AllShards ? "all of" : "one of",
                     fmt::join(parts, ", "));
}

FieldTexts
Describe(const Route& aRoute)
{
  return { { DocumentField::RouteName, aRoute.mName },
           { DocumentField::RouteRepeatable, aRoute.mRepeatable ? "repeatable" : "at most once" },
           { DocumentField::RouteTimeout, FormatTime(aRoute.mTimeout) },
           { DocumentField::RouteObjective, FormatTime(aRoute.mObjective) },
           { DocumentField::RoutePriority, std::to_string(aRoute.mPriority) },
           { DocumentField::RoutePublic, aRoute.mPublic ? "true" : "false" },
           { DocumentField::RouteAttempts, std::to_string(aRoute.mMaxAttempts) },
           { DocumentField::RouteServices, DescribeParts(aRoute) },
           { DocumentField::RouteTopRecords, std::to_string(aRoute.mTopRecords) },
           { DocumentField::RouteCoverage, fmt::format("{}", aRoute.mMinCoverage) } };
}

FieldTexts
Describe(const RoutedService& aService)
{
  return { { DocumentField::ServiceConnections, std::to_string(aService.mMaxConnections) },
           { DocumentField::ServiceWarmupRate, fmt::format("{}", aService.mWarmupRate) } };
}

FieldTexts
Describe(const Workspace& aWorkspace)
{
  std::set<std::string> keys;
  for (const KeyDigest& key : aWorkspace.mKeys) {
    keys.insert(KeyFingerprint(key));
  }
  return { { DocumentField::WorkspaceKeys, fmt::format("{}", fmt::join(keys, ", ")) },
           { DocumentField::WorkspacePriority,
             aWorkspace.mPriority ? std::to_string(*aWorkspace.mPriority) : "none" },
           { DocumentField::WorkspaceRate, fmt::format("{}", aWorkspace.mRate) },
           { DocumentField::WorkspaceBurst, fmt::format("{}", aWorkspace.mBurst) } };
}

std::string
IdentityOf(const Route& aRoute)
{
  return RouteHost(aRoute.mHost) + aRoute.mPathPrefix;
}

std::string
IdentityOf(const RoutedService& aService)
{
  return aService.mName;
}

std::string
IdentityOf(const Workspace& aWorkspace)
{
  return aWorkspace.mName;
}

std::string
DisplayName(const Route& aRoute)
{
  return fmt::format("{} ({}{})", aRoute.mName, aRoute.mHost, aRoute.mPathPrefix);
}

template<typename Item>
std::string
DisplayName(const Item& aItem)
{
  return aItem.mName;
}

template<typename Item>
std::map<std::string, std::size_t>
IndexItems(const std::vector<Item>& aItems)
{
  std::map<std::string, std::size_t> index;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    // Of equal services, the first one is in force.
    index.emplace(IdentityOf(aItems[i]), i);
  }
  return index;
}

template<typename Item>
void
CompareItems(const std::vector<Item>& aInForce,
             const std::vector<Item>& aNew,
             ItemKind aKind,
             std::vector<ItemChange>& aOut)
{
  const auto before = IndexItems(aInForce);
  const auto after = IndexItems(aNew);
  for (const auto& [identity, index] : after) {
    const Item& item = aNew[index];
    const auto found = before.find(identity);
    if (found == before.end()) {
      aOut.push_back({ ChangeKind::Added, aKind, DisplayName(item), index, {}, {} });
      continue;
    }
    const auto oldTexts = Describe(aInForce[found->second]);
    const auto newTexts = Describe(item);
    ItemChange change{ ChangeKind::Changed, aKind, DisplayName(item), index, {}, {} };
    for (std::size_t i = 0; i < newTexts.size(); ++i) {
      if (oldTexts[i].second != newTexts[i].second) {
        change.mFields.push_back({ newTexts[i].first, oldTexts[i].second, newTexts[i].second });
      }
    }
    if (!change.mFields.empty()) {
      aOut.push_back(std::move(change));
    }
  }
  for (const auto& [identity, index] : before) {
    if (!after.contains(identity)) {
      aOut.push_back({ ChangeKind::Removed, aKind, DisplayName(aInForce[index]), index, {}, {} });
    }
  }
}

std::vector<std::string>
RoutesOf(const std::string& aService, const RoutingDocument& aFirst, const RoutingDocument& aSecond)
{
  std::set<std::string> routes;
  for (const RoutingDocument* const document : { &aFirst, &aSecond }) {
    for (const Route& route : document->mRoutes) {
      if (std::any_of(route.mServices.begin(),
                      route.mServices.end(),
                      [&](const WeightedService& aPart) { return aPart.mService == aService; })) {
        routes.insert(route.mName);
      }
    }
  }
  return { routes.begin(), routes.end() };
}

} // namespace

std::vector<Finding>
CheckDocument(const RoutingDocument& aDocument)
{
  Findings findings;
  FieldPath field;
  if (const auto checked = CheckRouting(aDocument, field); !checked) {
    findings.push_back({ Severity::Error, field, checked.error().mMessage });
    return findings;
  }
  for (std::size_t i = 0; i < aDocument.mRoutes.size(); ++i) {
    CheckPlace(aDocument.mRoutes[i], i, findings);
    CheckParts(aDocument.mRoutes[i], i, findings);
    CheckLimits(aDocument.mRoutes[i], i, findings);
  }
  CheckServices(aDocument, findings);
  CheckWorkspaces(aDocument, findings);
  std::stable_sort(
    findings.begin(), findings.end(), [](const Finding& aLeft, const Finding& aRight) {
      return OrderOf(aLeft) < OrderOf(aRight);
    });
  return findings;
}

DocumentDifference
CompareDocuments(const RoutingDocument& aInForce, const RoutingDocument& aNew)
{
  DocumentDifference difference;
  CompareItems(aInForce.mRoutes, aNew.mRoutes, ItemKind::Route, difference.mChanges);
  CompareItems(aInForce.mServices, aNew.mServices, ItemKind::Service, difference.mChanges);
  CompareItems(aInForce.mWorkspaces, aNew.mWorkspaces, ItemKind::Workspace, difference.mChanges);
  for (ItemChange& change : difference.mChanges) {
    if (change.mItem == ItemKind::Service) {
      change.mRoutes = RoutesOf(change.mName, aInForce, aNew);
    }
  }
  if (aNew.mVersion <= aInForce.mVersion) {
    Warn(difference.mFindings,
         DocumentField::Version,
         0,
         fmt::format("version {} is in force; a document that is not newer is acknowledged without "
                     "effect",
                     aInForce.mVersion));
  }
  return difference;
}

} // namespace apricotyard
