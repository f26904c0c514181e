// Authentication and authorization of callers.
#ifndef APRICOTYARD_CALLER_ACCESS_H
#define APRICOTYARD_CALLER_ACCESS_H

#include "config.h"

namespace apricotyard {

// Finds the caller whose key is aKey. An empty key matches a caller that is configured without a
// key. Fails with Unauthorized if no caller matches. Pure; thread-safe while the configuration does
// not change.
Expected<const CallerPolicy*>
IdentifyCaller(const Config& aConfig, std::string_view aKey);

// Checks that the caller may query the collection in the class; an empty class selects the
// collection's default class. Fails with Forbidden. An unknown collection or class is accepted
// here, because the engine rejects it with a more specific result. Pure.
Expected<void>
CheckAccess(const Config& aConfig,
            const CallerPolicy& aCaller,
            std::string_view aCollection,
            std::string_view aClass);

// Returns the key of an "Authorization: Bearer KEY" header value, or an empty string. The result
// refers to aHeader.
std::string_view
BearerKey(std::string_view aHeader);

} // namespace apricotyard

#endif
