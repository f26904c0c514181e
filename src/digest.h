// SHA-256 digests of keys and documents, and comparison in constant time.
#ifndef APRICOTYARD_DIGEST_H
#define APRICOTYARD_DIGEST_H

#include <string>
#include <string_view>

namespace apricotyard {

// Returns the SHA-256 of aText as 64 lower-case hexadecimal digits. Thread-safe.
std::string
Sha256Hex(std::string_view aText);

// Returns whether two texts are equal. The time does not depend on where they differ, but it
// reveals whether their lengths differ. Thread-safe.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace apricotyard

#endif
