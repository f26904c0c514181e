#include "events.h"

#include <array>

namespace apricotyard {

namespace {

constexpr EventInfo kEvents[] = {
#define EVENT(number, name, level, text) { Event::name, number, #name, LogLevel::level, text },
#include "events.def"
#undef EVENT
};

constexpr std::uint16_t kFirstNumber = 1000;
constexpr std::uint16_t kLastNumber = 1999;

using EventIndex = std::array<std::uint16_t, kLastNumber - kFirstNumber + 1>;

constexpr EventIndex
BuildIndex()
{
  EventIndex index{};
  for (std::uint16_t i = 0; i < std::size(kEvents); ++i) {
    index[kEvents[i].mNumber - kFirstNumber] = i;
  }
  return index;
}

constexpr EventIndex kIndexByNumber = BuildIndex();

} // namespace

std::span<const EventInfo>
AllEvents()
{
  return kEvents;
}

const EventInfo&
Describe(Event aEvent)
{
  return kEvents[kIndexByNumber[static_cast<std::uint16_t>(aEvent) - kFirstNumber]];
}

} // namespace apricotyard
