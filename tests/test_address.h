// Loopback addresses for tests.
#ifndef APRICOTYARD_TEST_ADDRESS_H
#define APRICOTYARD_TEST_ADDRESS_H

#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace apricotyard {

// Returns a loopback address derived from the process ID, so that test runs in parallel do not use
// the same address. aHost, from 1 to 254, selects one of several addresses of the process.
inline std::string
TestIp(int aHost)
{
  const unsigned pid = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}", 64 + (pid / 256) % 128, pid % 256, aHost);
}

} // namespace apricotyard

#endif
