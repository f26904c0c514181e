// Numbered result codes. The table in docs/results.md is generated from results.def.
#ifndef APRICOTYARD_RESULTS_H
#define APRICOTYARD_RESULTS_H

#include <cstdint>
#include <span>
#include <string_view>

namespace apricotyard {

enum class Result : std::uint16_t
{
#define RESULT(number, name, status, mayHaveRun, text) name = number,
#include "results.def"
#undef RESULT
};

struct ResultInfo
{
  Result mResult;
  std::uint16_t mNumber;
  std::string_view mName;
  int mHttpStatus;
  // False guarantees that no upstream started the request.
  bool mMayHaveRun;
  std::string_view mText;
};

// Returns all results, in the order of results.def. Thread-safe.
std::span<const ResultInfo>
AllResults();

// Returns the description of aResult. Precondition: aResult is listed in results.def. Thread-safe.
const ResultInfo&
Describe(Result aResult);

} // namespace apricotyard

#endif
