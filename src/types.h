// Types that every module shares: time, errors, identifiers and the description of an upstream.
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

// All decisions take their time as an argument. The steady clock is used everywhere, so that a
// change of the wall clock never shortens or extends a lease.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// The random source that is passed to decisions. Its sequence is fixed by the C++ standard, so a
// seed gives the same decisions on every machine.
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

// One past the largest key. Shard ranges of a partition map tile [0, kKeySpace).
inline constexpr std::uint64_t kKeySpace = std::uint64_t{ 1 } << 32;

struct KeyRange
{
  std::uint64_t mLow = 0;
  std::uint64_t mHigh = kKeySpace;

  bool operator==(const KeyRange&) const = default;
};

// What an upstream announces about itself. The pair (incarnation, sequence) orders the
// announcements of one upstream.
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

  bool operator==(const UpstreamInfo&) const = default;
};

} // namespace apricotyard

#endif
