// Numbered log events, defined in events.def. docs/events.md is generated from the same file.
#ifndef APRICOTYARD_EVENTS_H
#define APRICOTYARD_EVENTS_H

#include <cstdint>
#include <span>
#include <string_view>

namespace apricotyard {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class Event : std::uint16_t
{
#define EVENT(number, name, level, text) name = number,
#include "events.def"
#undef EVENT
};

struct EventInfo
{
  Event mEvent;
  std::uint16_t mNumber;
  std::string_view mName;
  LogLevel mLevel;
  std::string_view mText;
};

// Returns all events in the order of events.def. Thread-safe.
std::span<const EventInfo>
AllEvents();

// Returns the description of aEvent in constant time. Precondition: aEvent is listed in events.def.
// Thread-safe.
const EventInfo&
Describe(Event aEvent);

} // namespace apricotyard

#endif
