// Identifies the workspace of a caller by its key. Pure functions.
#ifndef APRICOTYARD_CALLER_IDENTITY_H
#define APRICOTYARD_CALLER_IDENTITY_H

#include "routing.h"

#include <string>
#include <string_view>

namespace apricotyard {

// Thread-safe, like KeyFingerprint.
KeyDigest
DigestKey(std::string_view aKey);

// Names a key in logs, messages and tools without revealing it: the first 8 hexadecimal digits of
// its digest.
std::string
KeyFingerprint(const KeyDigest& aKey);

} // namespace apricotyard

#endif
