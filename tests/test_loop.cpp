// Checks that SIGHUP does not end the process and that a stopped loop can run again.
#include "loop.h"

#include <csignal>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <pthread.h>
#include <unistd.h>

using namespace apricotyard;
using std::chrono::milliseconds;

class LoopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoopTest);
  CPPUNIT_TEST(ReloadSignalDoesNotEndTheProcess);
  CPPUNIT_TEST(RunsAgainAfterStop);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopTest);
