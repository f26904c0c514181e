// Event loop for one thread: epoll, timers and a bounded queue of tasks posted by other threads.
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

// Returns the current time of the boot clock. Thread-safe.
TimePoint
SteadyNow();

class Loop
{
public:
  using Task = std::function<void()>;
  // Receives the ready events as a mask of EPOLL* flags.
  using FdHandler = std::function<void(std::uint32_t)>;
  // Called before each wait; returns the longest time that the loop may wait.
  using PrepareHandler = std::function<Duration()>;

  // Precondition: the process can open two more file descriptors. Otherwise the process is aborted.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Unless stated otherwise, the methods below must be called on the thread that runs the loop, or
  // before Run.
  //
  // Calls aHandler whenever one of aEvents (EPOLL* flags) is ready. aFd stays owned by the caller.
  void AddFd(int aFd, std::uint32_t aEvents, FdHandler aHandler);
  void ModifyFd(int aFd, std::uint32_t aEvents);
  void RemoveFd(int aFd);
  void AddPrepare(PrepareHandler aHandler);
  // Calls aTask once, as soon as aWhen has passed. If aWhen passes while the machine is suspended,
  // the call may come up to one second after it resumes.
  TimerId AddTimer(TimePoint aWhen, Task aTask);
  // Ignores timers that have run or were cancelled.
  void CancelTimer(TimerId aTimer);
  // Calls aTask repeatedly while the loop runs, waiting aPeriod before each call.
  void AddPeriodic(Duration aPeriod, Task aTask);
  // Runs until Stop is called. May be called again after it has returned.
  void Run();

  // Queues aTask to run on the loop's thread. If the queue is full, drops the task and returns
  // false; the caller must then report an error to whoever waits for the task. Thread-safe.
  bool Post(Task aTask);
  // Makes Run return after the current iteration. Thread-safe and async-signal-safe.
  void Stop();

private:
  struct Timer
  {
    TimerId mId;
    Task mTask;
  };

  struct Watch
  {
    FdHandler mHandler;
    // Tells apart descriptors that had the same number one after the other.
    std::uint32_t mGeneration = 0;
  };

  void SetEvents(int aOperation, int aFd, std::uint32_t aEvents);
  Duration RunTimers();
  void RunPostedTasks();

  int mEpollFd = -1;
  int mWakeFd = -1;
  std::atomic<bool> mStopping{ false };
  std::unordered_map<int, std::shared_ptr<Watch>> mWatches;
  std::uint32_t mNextGeneration = 0;
  std::vector<PrepareHandler> mPrepareHandlers;
  std::multimap<TimePoint, Timer> mTimers;
  std::unordered_map<TimerId, TimePoint> mTimerDeadlines;
  TimerId mNextTimer = 1;
  absl::Mutex mMutex;
  std::deque<Task> mPostedTasks;
};

// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and the threads it starts, so that the
// functions below can read them. Must be called before the first thread starts: if any thread does
// not block them, these signals end the process at once.
void
BlockStopSignals();

// Calls aHandler on the loop's thread when the process receives SIGHUP, by which an operator asks
// it to reload its settings file. Same preconditions as HandleStopSignals.
void
HandleReloadSignal(Loop& aLoop, Loop::Task aHandler);

// Calls aHandler on the loop's thread when the process receives SIGTERM or SIGINT. An empty
// aHandler stops the loop. Must be called once, before any thread starts, because it blocks the
// signals and reads them through a signalfd.
void
HandleStopSignals(Loop& aLoop, Loop::Task aHandler);

} // namespace apricotyard

#endif
