// SHA-256 of keys and documents.
#ifndef APRICOTYARD_DIGEST_H
#define APRICOTYARD_DIGEST_H

#include <string>
#include <string_view>

namespace apricotyard {

// SHA-256 as 64 lower-case hexadecimal digits. Thread-safe.
std::string
Sha256Hex(std::string_view aText);

// Compares two texts in a time that does not depend on where they differ. Thread-safe.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace apricotyard

#endif
