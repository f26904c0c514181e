// libFuzzer target for the parsers of untrusted input. The first byte selects the parser; the rest
// is its input.
#include "chart.h"
#include "codec.h"
#include "config.h"
#include "settings.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace apricotyard;

namespace {

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

// A decoded announcement must be equal after it is encoded and decoded again.
void
FuzzAnnouncement(std::string_view aInput)
{
  if (const auto info = DecodeAnnouncement(aInput)) {
    const auto again = DecodeAnnouncement(EncodeAnnouncement(*info));
    Require(again.has_value() && *again == *info);
  }
}

void
FuzzSubrequestReply(std::string_view aInput)
{
  if (const auto reply = DecodeSubrequestReply(aInput)) {
    const auto again = DecodeSubrequestReply(EncodeSubrequestReply(*reply));
    Require(again.has_value() && again->mItems == reply->mItems);
  }
}

void
FuzzDurationsAndAddresses(std::string_view aInput)
{
  if (const auto duration = ParseDuration(aInput)) {
    Require(ParseDuration(FormatDuration(*duration)).value() == *duration);
  }
  if (const auto address = ParseSocketAddress(aInput)) {
    Require(ParseSocketAddress(FormatSocketAddress(*address)).value() == *address);
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::string_view input(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  switch (aData[0] % 6) {
    case 0:
      (void)DecodeQuery(input);
      break;
    case 1:
      FuzzAnnouncement(input);
      break;
    case 2:
      FuzzSubrequestReply(input);
      break;
    case 3:
      (void)ParseConfig("fuzz", input);
      break;
    case 4:
      (void)ParseChart("fuzz", input);
      break;
    default:
      FuzzDurationsAndAddresses(input);
      break;
  }
  return 0;
}
