/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Accepts connections for a library that limits neither their number nor the
 * descriptors that they take. At the limit, or without descriptors, further
 * ones wait until others are closed.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <sys/types.h>

#include "gsHttpMessage.h"
#include "gsLoop.h"

class gsPeerAcceptor
{
public:
  /** Takes over a descriptor, also if it closes it at once. */
  using Handler = std::function<void(int descriptor)>;

  /**
   * Listens on IP:port. The loop must outlive the result.
   *
   * \param limit Connections that may be open at once.
   */
  static gsResult<std::unique_ptr<gsPeerAcceptor>> Start(
    gsLoop& loop, std::string const& address, std::size_t limit,
    Handler handler);
  ~gsPeerAcceptor();
  gsPeerAcceptor(gsPeerAcceptor const&) = delete;
  gsPeerAcceptor& operator=(gsPeerAcceptor const&) = delete;

  /** Connections that were open at the last look. */
  std::size_t Open() const { return this->Accepted.size(); }

private:
  gsPeerAcceptor(gsLoop& loop, int listener, std::size_t limit,
                 Handler handler);
  void Accept();
  void ForgetClosed();
  void Pause();

  int Listener;
  std::size_t Limit;
  Handler Handle;
  /** Inodes of the sockets by descriptor. Whoever took a descriptor over
   * closes it, so that it may name another socket by now. */
  std::map<int, ino_t> Accepted;
  gsIoWatch Watch;
  gsTimer Timer;
};
