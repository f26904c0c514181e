// Decides which caller a request comes from and what that caller may use.
#ifndef APRICOTYARD_CALLER_ACCESS_H
#define APRICOTYARD_CALLER_ACCESS_H

#include "config.h"

namespace apricotyard {

// Finds the caller whose key is aKey. An empty key matches a caller without a key. Fails with
// Unauthorized if there is none. Pure; thread-safe while the configuration does not change.
Expected<const CallerPolicy*>
IdentifyCaller(const Config& aConfig, std::string_view aKey);

// Checks that the caller may query the collection in the class; an empty class stands for the
// default class of the collection. Fails with Forbidden. An unknown collection or class is not an
// error here; the engine refuses it with its own result.
Expected<void>
CheckAccess(const Config& aConfig,
            const CallerPolicy& aCaller,
            std::string_view aCollection,
            std::string_view aClass);

// The key of an "Authorization: Bearer KEY" header, or an empty text.
std::string_view
BearerKey(std::string_view aHeader);

} // namespace apricotyard

#endif
