#include "socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace apricotyard {

std::optional<NativeAddress>
ToNative(const SocketAddress& aAddress)
{
  NativeAddress native;
  auto* const v4 = reinterpret_cast<sockaddr_in*>(&native.mStorage);
  auto* const v6 = reinterpret_cast<sockaddr_in6*>(&native.mStorage);
  if (inet_pton(AF_INET, aAddress.mIp.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(aAddress.mPort);
    native.mLength = sizeof(sockaddr_in);
  } else if (inet_pton(AF_INET6, aAddress.mIp.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(aAddress.mPort);
    native.mLength = sizeof(sockaddr_in6);
  } else {
    return std::nullopt;
  }
  return native;
}

} // namespace apricotyard
