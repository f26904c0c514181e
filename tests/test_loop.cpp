// Checks that SIGHUP does not end the process and that a stopped loop can run again.
#include "log.h"
#include "loop.h"
#include "simulated_suspension.h"
#include "suspension.h"

#include <array>
#include <csignal>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

using namespace apricotyard;
using std::chrono::milliseconds;

class LoopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoopTest);
  CPPUNIT_TEST(ReloadSignalDoesNotEndTheProcess);
  CPPUNIT_TEST(RunsAgainAfterStop);
  CPPUNIT_TEST(EventOfClosedDescriptorIsDropped);
  CPPUNIT_TEST(ClockCountsSuspension);
  CPPUNIT_TEST(SuspensionIsLogged);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReloadSignalDoesNotEndTheProcess()
  {
    // HandleReloadSignal blocks signals in this thread. The mask is restored for the other tests.
    sigset_t before;
    pthread_sigmask(SIG_SETMASK, nullptr, &before);
    int reloads = 0;
    {
      Loop loop;
      HandleReloadSignal(loop, [&] {
        ++reloads;
        loop.Stop();
      });
      pthread_kill(pthread_self(), SIGHUP);
      loop.AddTimer(SteadyNow() + std::chrono::seconds(2), [&loop] { loop.Stop(); });
      loop.Run();
    }
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    CPPUNIT_ASSERT_EQUAL(1, reloads);
  }

  void RunsAgainAfterStop()
  {
    Loop loop;
    int runs = 0;
    for (int i = 0; i < 3; ++i) {
      loop.AddTimer(SteadyNow() + milliseconds(1), [&] {
        ++runs;
        loop.Stop();
      });
      loop.Run();
    }
    CPPUNIT_ASSERT_EQUAL(3, runs);
  }

  // Two descriptors are ready at once. The handler that runs first closes the other one, and a new
  // descriptor gets its number. The pending event must not reach the handler of the new one.
  void EventOfClosedDescriptorIsDropped()
  {
    Loop loop;
    std::array<int, 2> fds{ eventfd(1, EFD_NONBLOCK), eventfd(1, EFD_NONBLOCK) };
    int handled = 0;
    int handledByNew = 0;
    const auto replace = [&](int aFd) {
      loop.RemoveFd(aFd);
      close(aFd);
      CPPUNIT_ASSERT_EQUAL(aFd, eventfd(0, EFD_NONBLOCK));
      loop.AddFd(aFd, EPOLLIN, [&](std::uint32_t) { ++handledByNew; });
    };
    for (std::size_t i = 0; i < 2; ++i) {
      loop.AddFd(fds[i], EPOLLIN, [&, i](std::uint32_t) {
        std::uint64_t value = 0;
        CPPUNIT_ASSERT(read(fds[i], &value, sizeof(value)) > 0);
        if (++handled == 1) {
          replace(fds[1 - i]);
        }
      });
    }
    loop.AddTimer(SteadyNow() + milliseconds(50), [&loop] { loop.Stop(); });
    loop.Run();
    CPPUNIT_ASSERT_EQUAL(1, handled);
    CPPUNIT_ASSERT_EQUAL(0, handledByNew);
    for (const int fd : fds) {
      close(fd);
    }
  }

  // Guards against leases and deadlines that a suspension of the machine prolongs.
  void ClockCountsSuspension()
  {
    constexpr milliseconds kSuspended{ 7700 };
    const TimePoint before = SteadyNow();
    SimulateSuspension(kSuspended);
    CPPUNIT_ASSERT(SteadyNow() - before >= kSuspended);
  }

  void SuspensionIsLogged()
  {
    std::vector<std::string> lines;
    SetLogSink([&lines](std::string_view aLine) {
      if (aLine.find("name=ProcessSuspended") != std::string_view::npos) {
        lines.emplace_back(aLine);
      }
    });
    StartLogger("test", LogLevel::Info);
    {
      Loop loop;
      ReportSuspensions(loop);
      SimulateSuspension(std::chrono::seconds(3));
      loop.AddTimer(SteadyNow() + milliseconds(600), [&loop] { loop.Stop(); });
      loop.Run();
    }
    StopLogger();
    SetLogSink(nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lines.size());
    // The two clocks are read one after the other, so the result is not exact.
    const std::string field = "suspended_ms=";
    const auto position = lines[0].find(field);
    CPPUNIT_ASSERT(position != std::string::npos);
    const int suspended = std::stoi(lines[0].substr(position + field.size()));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3000, suspended, 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopTest);
