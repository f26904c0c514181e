// Starts the test program again as another process, such as a coordinator or a gateway.
#ifndef APRICOTYARD_CHILD_PROCESS_H
#define APRICOTYARD_CHILD_PROCESS_H

#include "types.h"

#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace apricotyard {

inline constexpr const char* kThisProgram = "/proc/self/exe";

// A child process. The destructor kills it. Not thread-safe.
class ChildProcess
{
public:
  // Starts the test program, or that of another build, with aArguments; its output is appended to
  // the file aLog.
  ChildProcess(std::vector<std::string> aArguments,
               const std::filesystem::path& aLog,
               const std::string& aProgram = kThisProgram);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Ends the process at once and waits until it has ended.
  void Kill();
  // Sends a signal. Precondition: the process was not killed.
  void Signal(int aSignal) const;
  // Processor time that the process has used.
  Duration ProcessorTime() const;

private:
  pid_t mPid = 0;
};

} // namespace apricotyard

#endif
