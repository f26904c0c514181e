// Checks a routing document before it is submitted, and compares it with the version in force. Pure
// functions; thread-safe. Findings name keys by their fingerprints only.
#ifndef APRICOTYARD_DOCUMENT_CHECK_H
#define APRICOTYARD_DOCUMENT_CHECK_H

#include "document_field.h"

#include <string>
#include <vector>

namespace apricotyard {

enum class Severity : std::uint8_t
{
  // Coordinators refuse the document.
  Error,
  // The document is valid, but a part of it has no effect or contradicts another one.
  Warning,
};

struct Finding
{
  Severity mSeverity = Severity::Warning;
  FieldPath mField;
  std::string mText;
};

// Attempts per request beyond which further ones change nothing: a first send, a hedge and a retry.
// The budget for extra sends does not allow more to many requests.
inline constexpr std::uint32_t kMaxUsefulAttempts = 3;
// Window of the quota in which a workspace must be able to send at least one request.
inline constexpr std::chrono::seconds kQuotaWindow{ 5 };

// Returns the error of CheckRouting, or the warnings of a valid document: routes that no request
// can match, parts that get no requests, services without routes, workspaces without keys, keys
// that are listed twice, and limits that contradict each other. Ordered by field.
std::vector<Finding>
CheckDocument(const RoutingDocument& aDocument);

enum class ItemKind : std::uint8_t
{
  Route,
  Service,
  Workspace,
};

enum class ChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
};

struct FieldChange
{
  DocumentField mField = DocumentField::Document;
  std::string mBefore;
  std::string mAfter;
};

struct ItemChange
{
  ChangeKind mKind = ChangeKind::Changed;
  ItemKind mItem = ItemKind::Route;
  std::string mName;
  // Index in the new document, or in the old one if the item was removed.
  std::size_t mIndex = 0;
  // Changed items only.
  std::vector<FieldChange> mFields;
  // Services only: the routes that use the service in either document.
  std::vector<std::string> mRoutes;
};

struct DocumentDifference
{
  // What a coordinator would not do with the new document although it is valid.
  std::vector<Finding> mFindings;
  std::vector<ItemChange> mChanges;
};

// Compares two valid documents. Routes are the same if they have the same host and prefix, services
// and workspaces if they have the same name.
DocumentDifference
CompareDocuments(const RoutingDocument& aInForce, const RoutingDocument& aNew);

} // namespace apricotyard

#endif
