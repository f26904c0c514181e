// Conversion of an address to the form that socket calls take.
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

// Nothing if the IP address is neither IPv4 nor IPv6. Thread-safe.
std::optional<NativeAddress>
ToNative(const SocketAddress& aAddress);

} // namespace apricotyard

#endif
