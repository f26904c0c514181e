#include "results.h"

#include <array>

namespace apricotyard {

namespace {

constexpr ResultInfo kResults[] = {
#define RESULT(number, name, status, mayHaveRun, text)                                             \
  { Result::name, number, #name, status, mayHaveRun, text },
#include "results.def"
#undef RESULT
};

} // namespace

std::span<const ResultInfo>
AllResults()
{
  return kResults;
}

const ResultInfo&
Describe(Result aResult)
{
  for (const ResultInfo& info : kResults) {
    if (info.mResult == aResult) {
      return info;
    }
  }
  return kResults[1];
}

} // namespace apricotyard
