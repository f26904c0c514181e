#include "loop.h"

#include "log.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <ctime>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace apricotyard {

namespace {

// Limit of the task queue. Bounds the memory of a loop that falls behind.
constexpr std::size_t kMaxPostedTasks = 16'384;
// Longest wait for events, so that a lost wake-up delays a task by at most this time.
// The user data of an event: the descriptor in the low bits, its generation above them.
constexpr unsigned kFdBits = 32;
constexpr std::uint64_t kFdMask = (std::uint64_t{ 1 } << kFdBits) - 1;
constexpr Duration kMaxWait = std::chrono::seconds(1);
constexpr int kEventsPerWait = 256;

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

BootClock::time_point
BootClock::now()
{
  timespec time{};
  // Fails only on kernels older than Linux 2.6.39, which lack this clock.
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    LogEvent(Event::StartFailed, { { "reason", "the system has no CLOCK_BOOTTIME" } });
    std::abort();
  }
  return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) +
                                                         std::chrono::nanoseconds(time.tv_nsec)));
}

TimePoint
SteadyNow()
{
  return BootClock::now();
}

Loop::Loop()
  : mEpollFd(epoll_create1(EPOLL_CLOEXEC))
  , mWakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  if (mEpollFd < 0 || mWakeFd < 0) {
    LogEvent(Event::StartFailed, { { "reason", "no file descriptors for the event loop" } });
    std::abort();
  }
  AddFd(mWakeFd, EPOLLIN, [this](std::uint32_t) {
    std::uint64_t value = 0;
    while (read(mWakeFd, &value, sizeof(value)) > 0) {
    }
    RunPostedTasks();
  });
}

Loop::~Loop()
{
  close(mWakeFd);
  close(mEpollFd);
}

void
Loop::AddFd(int aFd, std::uint32_t aEvents, FdHandler aHandler)
{
  mWatches[aFd] = std::make_shared<Watch>(Watch{ std::move(aHandler), mNextGeneration++ });
  SetEvents(EPOLL_CTL_ADD, aFd, aEvents);
}

void
Loop::ModifyFd(int aFd, std::uint32_t aEvents)
{
  SetEvents(EPOLL_CTL_MOD, aFd, aEvents);
}

// Precondition: aFd is in mWatches.
void
Loop::SetEvents(int aOperation, int aFd, std::uint32_t aEvents)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 =
    (std::uint64_t{ mWatches.at(aFd)->mGeneration } << kFdBits) | static_cast<std::uint32_t>(aFd);
  epoll_ctl(mEpollFd, aOperation, aFd, &event);
}

void
Loop::RemoveFd(int aFd)
{
  mWatches.erase(aFd);
  epoll_ctl(mEpollFd, EPOLL_CTL_DEL, aFd, nullptr);
}

void
Loop::AddPrepare(PrepareHandler aHandler)
{
  mPrepareHandlers.push_back(std::move(aHandler));
}

TimerId
Loop::AddTimer(TimePoint aWhen, Task aTask)
{
  const TimerId id = mNextTimer++;
  mTimers.emplace(aWhen, Timer{ id, std::move(aTask) });
  mTimerDeadlines[id] = aWhen;
  return id;
}

void
Loop::CancelTimer(TimerId aTimer)
{
  const auto time = mTimerDeadlines.find(aTimer);
  if (time == mTimerDeadlines.end()) {
    return;
  }
  const auto [first, last] = mTimers.equal_range(time->second);
  for (auto timer = first; timer != last; ++timer) {
    if (timer->second.mId == aTimer) {
      mTimers.erase(timer);
      break;
    }
  }
  mTimerDeadlines.erase(time);
}

void
Loop::AddPeriodic(Duration aPeriod, Task aTask)
{
  AddTimer(SteadyNow() + aPeriod, [this, aPeriod, task = std::move(aTask)]() mutable {
    task();
    AddPeriodic(aPeriod, std::move(task));
  });
}

Duration
Loop::RunTimers()
{
  const TimePoint now = SteadyNow();
  while (!mTimers.empty() && mTimers.begin()->first <= now) {
    const auto first = mTimers.begin();
    const Task task = std::move(first->second.mTask);
    mTimerDeadlines.erase(first->second.mId);
    mTimers.erase(first);
    task();
  }
  return mTimers.empty() ? kMaxWait : mTimers.begin()->first - SteadyNow();
}

void
Loop::RunPostedTasks()
{
  std::deque<Task> tasks;
  {
    absl::MutexLock lock(&mMutex);
    tasks.swap(mPostedTasks);
  }
  for (const Task& task : tasks) {
    task();
  }
}

void
Loop::Run()
{
  std::array<epoll_event, kEventsPerWait> events{};
  while (!mStopping.load()) {
    Duration wait = std::min(RunTimers(), kMaxWait);
    for (const PrepareHandler& prepare : mPrepareHandlers) {
      wait = std::min(wait, prepare());
    }
    // Rounds up to whole milliseconds. Rounding down would make the loop spin until the timer is
    // due.
    const auto millis =
      std::chrono::ceil<std::chrono::milliseconds>(std::max(wait, Duration::zero()));
    const int count =
      epoll_wait(mEpollFd, events.data(), kEventsPerWait, static_cast<int>(millis.count()));
    for (int i = 0; i < count; ++i) {
      const auto found = mWatches.find(static_cast<int>(events[i].data.u64 & kFdMask));
      // A handler that ran before may have closed the descriptor, and a new one may have its
      // number.
      if (found == mWatches.end() || found->second->mGeneration != events[i].data.u64 >> kFdBits) {
        continue;
      }
      // Keeps the handler alive, because it may remove its own descriptor while it runs.
      const std::shared_ptr<Watch> watch = found->second;
      watch->mHandler(events[i].events);
    }
  }
  mStopping.store(false);
}

bool
Loop::Post(Task aTask)
{
  {
    absl::MutexLock lock(&mMutex);
    if (mPostedTasks.size() >= kMaxPostedTasks) {
      return false;
    }
    mPostedTasks.push_back(std::move(aTask));
  }
  const std::uint64_t one = 1;
  // A full eventfd counter already wakes the loop, so a failed write needs no handling.
  [[maybe_unused]] const ssize_t written = write(mWakeFd, &one, sizeof(one));
  return true;
}

void
Loop::Stop()
{
  mStopping.store(true);
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(mWakeFd, &one, sizeof(one));
}

void
BlockStopSignals()
{
  sigset_t signals = StopSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

namespace {

void
HandleSignals(Loop& aLoop, const sigset_t& aSignals, Loop::Task aHandler)
{
  BlockStopSignals();
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  const int fd = signalfd(-1, &aSignals, SFD_CLOEXEC | SFD_NONBLOCK);
  aLoop.AddFd(fd, EPOLLIN, [fd, handler = std::move(aHandler)](std::uint32_t) {
    signalfd_siginfo info{};
    while (read(fd, &info, sizeof(info)) > 0) {
    }
    handler();
  });
}

} // namespace

void
HandleStopSignals(Loop& aLoop, Loop::Task aHandler)
{
  HandleSignals(
    aLoop, StopSignals(), aHandler ? std::move(aHandler) : [&aLoop] { aLoop.Stop(); });
}

void
HandleReloadSignal(Loop& aLoop, Loop::Task aHandler)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  HandleSignals(aLoop, signals, std::move(aHandler));
}

} // namespace apricotyard
