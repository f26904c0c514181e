// Event loop of one thread: epoll, timers and a bounded mailbox for other threads.
#ifndef APRICOTYARD_LOOP_H
#define APRICOTYARD_LOOP_H

#include "types.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include <absl/synchronization/mutex.h>

namespace apricotyard {

using TimerId = std::uint64_t;

// The current time of the steady clock in the resolution of TimePoint.
TimePoint
SteadyNow();

class Loop
{
public:
  using Task = std::function<void()>;
  // Receives the epoll events that are ready.
  using FdHandler = std::function<void(std::uint32_t)>;
  // Runs before each wait and returns the longest time the loop may wait.
  using PrepareHandler = std::function<Duration()>;

  // Precondition: the process may open two more file descriptors; otherwise the process ends.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // The calls below may be made only by the thread that runs the loop, or before Run.
  void AddFd(int aFd, std::uint32_t aEvents, FdHandler aHandler);
  void ModifyFd(int aFd, std::uint32_t aEvents);
  void RemoveFd(int aFd);
  void AddPrepare(PrepareHandler aHandler);
  TimerId AddTimer(TimePoint aWhen, Task aTask);
  void CancelTimer(TimerId aTimer);
  // Calls aTask every aPeriod, first after one period, until the loop stops.
  void AddPeriodic(Duration aPeriod, Task aTask);
  // May be called again after it returned.
  void Run();

  // Queues aTask for the loop's thread. Returns false if the mailbox is full; the task is then
  // dropped and the caller must report an error to whoever waits for it. Thread-safe.
  bool Post(Task aTask);
  // Makes Run return after the current round. Thread-safe and safe in a signal handler.
  void Stop();

private:
  struct Timer
  {
    TimerId mId;
    Task mTask;
  };

  Duration RunTimers();
  void RunMailbox();

  int mEpoll = -1;
  int mWake = -1;
  std::atomic<bool> mStopping{ false };
  std::unordered_map<int, std::shared_ptr<FdHandler>> mFds;
  std::vector<PrepareHandler> mPrepares;
  std::multimap<TimePoint, Timer> mTimers;
  std::unordered_map<TimerId, TimePoint> mTimerTimes;
  TimerId mNextTimer = 1;
  absl::Mutex mMutex;
  std::deque<Task> mMailbox;
};

// Blocks SIGTERM, SIGINT and SIGHUP, which the handlers below read. Call before the first thread
// starts: a thread that does not block them would end the process at once.
void
BlockStopSignals();

// Calls aHandler when the process receives SIGHUP, by which an operator says that the settings file
// has changed. Same conditions as HandleStopSignals.
void
HandleReloadSignal(Loop& aLoop, Loop::Task aHandler);

// Calls aLoop.Stop, or aHandler if given, when the process receives SIGTERM or SIGINT. Call once,
// before any thread starts, because it blocks the signals and reads them through a descriptor.
void
HandleStopSignals(Loop& aLoop, Loop::Task aHandler);

} // namespace apricotyard

#endif
