#include "child_process.h"

#include <csignal>
#include <ctime>

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace apricotyard {

ChildProcess::ChildProcess(std::vector<std::string> aArguments,
                           const std::filesystem::path& aLog,
                           const std::string& aProgram)
{
  aArguments.insert(aArguments.begin(), aProgram);
  std::vector<char*> arguments;
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
    posix_spawn(&mPid, arguments.front(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CPPUNIT_ASSERT_EQUAL(0, error);
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void
ChildProcess::Kill()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
}

void
ChildProcess::Signal(int aSignal) const
{
  CPPUNIT_ASSERT_EQUAL(0, kill(mPid, aSignal));
}

Duration
ChildProcess::ProcessorTime() const
{
  clockid_t clock{};
  timespec time{};
  CPPUNIT_ASSERT_EQUAL(0, clock_getcpuclockid(mPid, &clock));
  CPPUNIT_ASSERT_EQUAL(0, clock_gettime(clock, &time));
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace apricotyard
