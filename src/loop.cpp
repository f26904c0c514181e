#include "loop.h"

#include "log.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace apricotyard {

namespace {

// Tasks that other threads may have waiting. Bounds the memory of a loop that falls behind.
constexpr std::size_t kMailboxTasks = 16'384;
// The longest wait, so that a lost wake-up delays a task by at most this time.
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

TimePoint
SteadyNow()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Loop::Loop()
  : mEpoll(epoll_create1(EPOLL_CLOEXEC))
  , mWake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  if (mEpoll < 0 || mWake < 0) {
    LogEvent(Event::StartFailed, { { "reason", "no file descriptors for the event loop" } });
    std::abort();
  }
  AddFd(mWake, EPOLLIN, [this](std::uint32_t) {
    std::uint64_t value = 0;
    while (read(mWake, &value, sizeof(value)) > 0) {
    }
    RunMailbox();
  });
}

Loop::~Loop()
{
  close(mWake);
  close(mEpoll);
}

void
Loop::AddFd(int aFd, std::uint32_t aEvents, FdHandler aHandler)
{
  mFds[aFd] = std::make_shared<FdHandler>(std::move(aHandler));
  epoll_event event{};
  event.events = aEvents;
  event.data.fd = aFd;
  epoll_ctl(mEpoll, EPOLL_CTL_ADD, aFd, &event);
}

void
Loop::ModifyFd(int aFd, std::uint32_t aEvents)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.fd = aFd;
  epoll_ctl(mEpoll, EPOLL_CTL_MOD, aFd, &event);
}

void
Loop::RemoveFd(int aFd)
{
  mFds.erase(aFd);
  epoll_ctl(mEpoll, EPOLL_CTL_DEL, aFd, nullptr);
}

void
Loop::AddPrepare(PrepareHandler aHandler)
{
  mPrepares.push_back(std::move(aHandler));
}

TimerId
Loop::AddTimer(TimePoint aWhen, Task aTask)
{
  const TimerId id = mNextTimer++;
  mTimers.emplace(aWhen, Timer{ id, std::move(aTask) });
  mTimerTimes[id] = aWhen;
  return id;
}

void
Loop::CancelTimer(TimerId aTimer)
{
  const auto time = mTimerTimes.find(aTimer);
  if (time == mTimerTimes.end()) {
    return;
  }
  const auto [first, last] = mTimers.equal_range(time->second);
  for (auto timer = first; timer != last; ++timer) {
    if (timer->second.mId == aTimer) {
      mTimers.erase(timer);
      break;
    }
  }
  mTimerTimes.erase(time);
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
    mTimerTimes.erase(first->second.mId);
    mTimers.erase(first);
    task();
  }
  return mTimers.empty() ? kMaxWait : mTimers.begin()->first - SteadyNow();
}

void
Loop::RunMailbox()
{
  std::deque<Task> tasks;
  {
    absl::MutexLock lock(&mMutex);
    tasks.swap(mMailbox);
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
    for (const PrepareHandler& prepare : mPrepares) {
      wait = std::min(wait, prepare());
    }
    // Rounded up to whole milliseconds; rounding down would spin until the timer is due.
    const auto millis =
      std::chrono::ceil<std::chrono::milliseconds>(std::max(wait, Duration::zero()));
    const int count =
      epoll_wait(mEpoll, events.data(), kEventsPerWait, static_cast<int>(millis.count()));
    for (int i = 0; i < count; ++i) {
      const auto found = mFds.find(events[i].data.fd);
      if (found == mFds.end()) {
        continue;
      }
      // Holds the handler, which may remove its own descriptor while it runs.
      const std::shared_ptr<FdHandler> handler = found->second;
      (*handler)(events[i].events);
    }
  }
  mStopping.store(false);
}

bool
Loop::Post(Task aTask)
{
  {
    absl::MutexLock lock(&mMutex);
    if (mMailbox.size() >= kMailboxTasks) {
      return false;
    }
    mMailbox.push_back(std::move(aTask));
  }
  const std::uint64_t one = 1;
  // A full eventfd counter already wakes the loop, so a failed write needs no handling.
  [[maybe_unused]] const ssize_t written = write(mWake, &one, sizeof(one));
  return true;
}

void
Loop::Stop()
{
  mStopping.store(true);
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(mWake, &one, sizeof(one));
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
ReadSignals(Loop& aLoop, const sigset_t& aSignals, Loop::Task aHandler)
{
  BlockStopSignals();
  // A write to a connection that the peer closed must not end the process.
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
  ReadSignals(
    aLoop, StopSignals(), aHandler ? std::move(aHandler) : [&aLoop] { aLoop.Stop(); });
}

void
HandleReloadSignal(Loop& aLoop, Loop::Task aHandler)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  ReadSignals(aLoop, signals, std::move(aHandler));
}

} // namespace apricotyard
