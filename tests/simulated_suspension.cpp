#include "simulated_suspension.h"

#include <atomic>
#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> sSuspendedNanoseconds{ 0 };

} // namespace

// Replaces the function of the C library in the test program and in the libraries that it loads.
extern "C" int
clock_gettime(clockid_t aClock, timespec* aTime) noexcept
{
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  const int result = static_cast<int>(syscall(SYS_clock_gettime, aClock, aTime));
  if (result == 0 && aClock == CLOCK_BOOTTIME) {
    const std::int64_t nanoseconds = aTime->tv_nsec + sSuspendedNanoseconds.load();
    aTime->tv_sec += nanoseconds / kNanosecondsPerSecond;
    aTime->tv_nsec = nanoseconds % kNanosecondsPerSecond;
  }
  return result;
}

namespace apricotyard {

void
SimulateSuspension(Duration aTime)
{
  sSuspendedNanoseconds += std::chrono::nanoseconds(aTime).count();
}

} // namespace apricotyard
