/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The event loop: libev behind small RAII types. One loop and one thread run
 * all I/O of a process; other threads hand work over with Post.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <ev.h>

#include "gsTypes.h"

/** The loop. Not copyable; outlives all that is registered with it. */
class gsLoop
{
public:
  using Callback = std::function<void()>;

  gsLoop();
  ~gsLoop();
  gsLoop(gsLoop const&) = delete;
  gsLoop& operator=(gsLoop const&) = delete;

  /**
   * The monotonic clock that counts suspended time, read anew. Timers run on
   * the one that does not: after a suspension they are late.
   */
  static gsTime Now();
  /** Whether the kernel has that clock. */
  static bool HasClock();

  /** Runs until Stop. */
  void Run();
  void Stop();

  /** Runs a function on the loop's thread. Callable from any thread. */
  void Post(Callback callback);

  /** Runs a function once, before the loop next waits for events. */
  void Defer(Callback callback);

  /** Runs a function before each wait of the loop. */
  void BeforeWait(Callback callback);

  struct ev_loop* Raw() { return this->Loop; }

private:
  void RunPosted();
  void RunBeforeWait();

  struct ev_loop* Loop;
  ev_async Async{};
  ev_prepare Prepare{};
  ev_idle Idle{};
  std::mutex Mutex;
  std::vector<Callback> Posted; ///< Guarded by Mutex.
  std::vector<Callback> Deferred;
  std::vector<Callback> Hooks;
};

/** Time of day since the epoch, microseconds; it may jump. */
std::uint64_t gsWallMicros();

/** A timer; stops when it is destroyed. */
class gsTimer
{
public:
  gsTimer(gsLoop& loop, gsLoop::Callback callback);
  ~gsTimer();
  gsTimer(gsTimer const&) = delete;
  gsTimer& operator=(gsTimer const&) = delete;

  /** Makes it run before all other events of a turn. */
  void BeforeOthers();
  /** Fires once after the delay; replaces what was armed before. */
  void Once(gsTime delay);
  /** Fires again and again. */
  void Every(gsTime period);
  void Stop();

private:
  gsLoop& Loop;
  gsLoop::Callback Fire;
  ev_timer Timer{};
};

/** Watches a descriptor; stops when it is destroyed. */
class gsIoWatch
{
public:
  using Callback = std::function<void(int events)>;

  gsIoWatch(gsLoop& loop, int descriptor, int events, Callback callback);
  ~gsIoWatch();
  gsIoWatch(gsIoWatch const&) = delete;
  gsIoWatch& operator=(gsIoWatch const&) = delete;

  void Events(int events);

private:
  gsLoop& Loop;
  Callback Ready;
  int Descriptor;
  ev_io Watch{};
};

/** Calls back on a signal; stops when it is destroyed. */
class gsSignalWatch
{
public:
  gsSignalWatch(gsLoop& loop, int signal, gsLoop::Callback callback);
  ~gsSignalWatch();
  gsSignalWatch(gsSignalWatch const&) = delete;
  gsSignalWatch& operator=(gsSignalWatch const&) = delete;

private:
  gsLoop& Loop;
  gsLoop::Callback Fire;
  ev_signal Watch{};
};
