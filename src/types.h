// Types shared by all modules: time, errors, identifiers and the description of an upstream.
#ifndef APRICOTYARD_TYPES_H
#define APRICOTYARD_TYPES_H

#include "results.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace apricotyard {

using Duration = std::chrono::microseconds;

// A steady clock that also counts the time during which the machine is suspended, unlike
// std::chrono::steady_clock on Linux.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std::chrono

  // Thread-safe.
  static time_point now(); // NOLINT(readability-identifier-naming): std::chrono
};

// The current time is passed to every decision as an argument. The boot clock is used throughout,
// so that neither changes of the wall clock nor a suspension can shorten or extend a lease.
using TimePoint = BootClock::time_point;

// The random source passed to decisions. The C++ standard defines its sequence, so a seed gives the
// same decisions on every platform.
using Rng = std::mt19937_64;

struct Error
{
  Result mResult = Result::Internal;
  std::string mMessage;
};

template<typename T>
using Expected = tl::expected<T, Error>;

inline tl::unexpected<Error>
Fail(Result aResult, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aResult, std::move(aMessage) });
}

using QueryId = std::uint64_t;
using AttemptId = std::uint64_t;
using Revision = std::uint64_t;
using IndexVersion = std::uint64_t;

struct SocketAddress
{
  std::string mIp;
  std::uint16_t mPort = 0;

  bool operator==(const SocketAddress&) const = default;
};

enum class UpstreamState : std::uint8_t
{
  Starting,
  Ready,
  Draining,
  Left,
};

// One past the largest key. The key ranges of a complete partition map cover [0, kKeySpace) without
// gaps or overlaps.
inline constexpr std::uint64_t kKeySpace = std::uint64_t{ 1 } << 32;

struct KeyRange
{
  std::uint64_t mLow = 0;
  std::uint64_t mHigh = kKeySpace;

  bool operator==(const KeyRange&) const = default;
};

// The announcement of an upstream. Announcements of one upstream are ordered by (incarnation,
// sequence).
struct UpstreamInfo
{
  std::string mId;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::string mService;
  std::uint32_t mMap = 0;
  std::uint32_t mShard = 0;
  KeyRange mRange;
  SocketAddress mAddress;
  std::string mDataCentre;
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 1;
  std::vector<IndexVersion> mVersions;
  UpstreamState mState = UpstreamState::Starting;
  // Until when the upstream warms up, on the clock of this host; in the past if it does not.
  TimePoint mWarmupUntil{};

  bool operator==(const UpstreamInfo&) const = default;
};

} // namespace apricotyard

#endif
