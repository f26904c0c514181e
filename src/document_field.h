// Names a field of a routing document, independent of how a platform encodes it.
#ifndef APRICOTYARD_DOCUMENT_FIELD_H
#define APRICOTYARD_DOCUMENT_FIELD_H

#include "routing.h"

namespace apricotyard {

enum class DocumentField : std::uint8_t
{
  Document,
  Version,
  RouteName,
  RouteHost,
  RoutePrefix,
  RouteRepeatable,
  RouteTimeout,
  RouteObjective,
  RoutePriority,
  RoutePublic,
  RouteAttempts,
  RouteServices,
  RouteWeight,
  RouteTopRecords,
  RouteCoverage,
  ServiceName,
  ServiceConnections,
  ServiceWarmupRate,
  WorkspaceName,
  WorkspaceKeys,
  WorkspacePriority,
  WorkspaceRate,
  WorkspaceBurst,
};

struct FieldPath
{
  DocumentField mField = DocumentField::Document;
  // Index of the route, service or workspace.
  std::size_t mItem = 0;
  // Index of the part of a route, or of the key of a workspace.
  std::optional<std::size_t> mPart;
};

// The host as requests are compared with it: in lower case, without a port. Thread-safe.
std::string
RouteHost(std::string_view aHost);

// CheckRouting, which also names the field to which the error belongs. aField is unchanged if there
// is none. Thread-safe.
Expected<void>
CheckRouting(const RoutingDocument& aDocument, FieldPath& aField);

} // namespace apricotyard

#endif
