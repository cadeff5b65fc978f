/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLoop.h"

#include <chrono>
#include <ctime>
#include <utility>

gsLoop::gsLoop()
  : Loop(ev_loop_new(EVFLAG_AUTO))
{
  this->Async.data = this;
  ev_async_init(&this->Async, [](struct ev_loop*, ev_async* watch, int) {
    static_cast<gsLoop*>(watch->data)->RunPosted();
  });
  ev_async_start(this->Loop, &this->Async);
  this->Prepare.data = this;
  ev_prepare_init(&this->Prepare, [](struct ev_loop*, ev_prepare* watch, int) {
    static_cast<gsLoop*>(watch->data)->RunBeforeWait();
  });
  ev_prepare_start(this->Loop, &this->Prepare);
  ev_idle_init(&this->Idle, [](struct ev_loop*, ev_idle*, int) {});
}

gsLoop::~gsLoop()
{
  ev_async_stop(this->Loop, &this->Async);
  ev_prepare_stop(this->Loop, &this->Prepare);
  ev_idle_stop(this->Loop, &this->Idle);
  ev_loop_destroy(this->Loop);
}

gsTime gsLoop::Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<gsTime>(
    gsSeconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

bool gsLoop::HasClock()
{
  timespec now{};
  return clock_gettime(CLOCK_BOOTTIME, &now) == 0;
}

void gsLoop::Run()
{
  ev_run(this->Loop, 0);
}

void gsLoop::Stop()
{
  ev_break(this->Loop, EVBREAK_ONE);
}

void gsLoop::Post(Callback callback)
{
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->Posted.push_back(std::move(callback));
  }
  ev_async_send(this->Loop, &this->Async);
}

void gsLoop::Defer(Callback callback)
{
  this->Deferred.push_back(std::move(callback));
}

void gsLoop::BeforeWait(Callback callback)
{
  this->Hooks.push_back(std::move(callback));
}

void gsLoop::RunPosted()
{
  std::vector<Callback> ready;
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    ready.swap(this->Posted);
  }
  for (Callback& callback : ready) {
    callback();
  }
}

void gsLoop::RunBeforeWait()
{
  // Hooks may defer work and deferred work may need the hooks again; a few
  // rounds settle nearly all of it, the rest runs without a wait.
  constexpr int maxRounds = 8;
  for (int round = 0; round < maxRounds; ++round) {
    std::vector<Callback> ready;
    ready.swap(this->Deferred);
    for (Callback& callback : ready) {
      callback();
    }
    for (Callback& hook : this->Hooks) {
      hook();
    }
    if (this->Deferred.empty()) {
      ev_idle_stop(this->Loop, &this->Idle);
      return;
    }
  }
  ev_idle_start(this->Loop, &this->Idle);
}

std::uint64_t gsWallMicros()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

gsTimer::gsTimer(gsLoop& loop, gsLoop::Callback callback)
  : Loop(loop)
  , Fire(std::move(callback))
{
  this->Timer.data = this;
  ev_init(&this->Timer, [](struct ev_loop*, ev_timer* watch, int) {
    static_cast<gsTimer*>(watch->data)->Fire();
  });
}

gsTimer::~gsTimer()
{
  this->Stop();
}

void gsTimer::BeforeOthers()
{
  this->Stop();
  ev_set_priority(&this->Timer, EV_MAXPRI);
}

void gsTimer::Once(gsTime delay)
{
  this->Stop();
  ev_now_update(this->Loop.Raw());
  ev_timer_set(&this->Timer, gsToSeconds(delay), 0.);
  ev_timer_start(this->Loop.Raw(), &this->Timer);
}

void gsTimer::Every(gsTime period)
{
  this->Stop();
  ev_now_update(this->Loop.Raw());
  ev_timer_set(&this->Timer, gsToSeconds(period), gsToSeconds(period));
  ev_timer_start(this->Loop.Raw(), &this->Timer);
}

void gsTimer::Stop()
{
  ev_timer_stop(this->Loop.Raw(), &this->Timer);
}

gsIoWatch::gsIoWatch(gsLoop& loop, int descriptor, int events,
                     Callback callback)
  : Loop(loop)
  , Ready(std::move(callback))
  , Descriptor(descriptor)
{
  this->Watch.data = this;
  ev_io_init(
    &this->Watch,
    [](struct ev_loop*, ev_io* watch, int ready) {
      static_cast<gsIoWatch*>(watch->data)->Ready(ready);
    },
    descriptor, events);
  ev_io_start(this->Loop.Raw(), &this->Watch);
}

gsIoWatch::~gsIoWatch()
{
  ev_io_stop(this->Loop.Raw(), &this->Watch);
}

void gsIoWatch::Events(int events)
{
  ev_io_stop(this->Loop.Raw(), &this->Watch);
  ev_io_set(&this->Watch, this->Descriptor, events);
  if (events != 0) {
    ev_io_start(this->Loop.Raw(), &this->Watch);
  }
}

gsSignalWatch::gsSignalWatch(gsLoop& loop, int signal,
                             gsLoop::Callback callback)
  : Loop(loop)
  , Fire(std::move(callback))
{
  this->Watch.data = this;
  ev_signal_init(
    &this->Watch,
    [](struct ev_loop*, ev_signal* watch, int) {
      static_cast<gsSignalWatch*>(watch->data)->Fire();
    },
    signal);
  ev_signal_start(this->Loop.Raw(), &this->Watch);
}

gsSignalWatch::~gsSignalWatch()
{
  ev_signal_stop(this->Loop.Raw(), &this->Watch);
}
