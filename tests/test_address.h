// Loopback addresses of the tests.
#ifndef APRICOTYARD_TEST_ADDRESS_H
#define APRICOTYARD_TEST_ADDRESS_H

#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace apricotyard {

// A loopback IP address of this process, so that test runs side by side do not collide. aHost tells
// several addresses of one process apart; it is from 1 to 254.
inline std::string
TestIp(int aHost)
{
  const unsigned pid = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}", 64 + (pid / 256) % 128, pid % 256, aHost);
}

} // namespace apricotyard

#endif
