#include "replicated_log.h"

namespace apricotyard {

namespace {

constexpr std::size_t kNonceChars = 8;

bool
HasNonce(std::string_view aId)
{
  return aId.size() > kNonceChars + 1 && aId[aId.size() - kNonceChars - 1] == '.' &&
         aId.find_first_not_of("0123456789abcdef", aId.size() - kNonceChars) ==
           std::string_view::npos;
}

} // namespace

std::string_view
MemberName(std::string_view aId)
{
  return HasNonce(aId) ? aId.substr(0, aId.size() - kNonceChars - 1) : aId;
}

} // namespace apricotyard
