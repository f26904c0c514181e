// Converts socket addresses to the structures used by the socket API.
#ifndef APRICOTYARD_SOCKET_ADDRESS_H
#define APRICOTYARD_SOCKET_ADDRESS_H

#include "types.h"

#include <optional>

#include <sys/socket.h>

namespace apricotyard {

struct NativeAddress
{
  sockaddr_storage mStorage{};
  socklen_t mLength = 0;

  const sockaddr* Raw() const { return reinterpret_cast<const sockaddr*>(&mStorage); }
};

// Returns std::nullopt if aAddress.mIp is neither an IPv4 nor an IPv6 address. Thread-safe.
std::optional<NativeAddress>
ToNative(const SocketAddress& aAddress);

} // namespace apricotyard

#endif
