/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Cuts a stream of events (text/event-stream) into whole events, so that what
 * a broken upstream sent of its last event never reaches the caller, and so
 * that a stream can be taken up after the last whole one.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

class gsEventSplitter
{
public:
  /** Drops events up to this id: the caller has them already. */
  void SkipThrough(std::uint64_t id) { this->Skip = id; }

  /** Takes bytes in; returns all whole events that are to be passed on. */
  std::string Feed(std::string_view bytes);

  /** What is left when the stream has ended as a whole. */
  std::string TakeRest();

  /** Id of the last event that was returned. */
  std::optional<std::uint64_t> LastId() const { return this->Last; }
  std::uint64_t Events() const { return this->Count; }
  std::size_t Pending() const { return this->Buffer.size(); }

private:
  std::string Buffer;      ///< Begins with an event's first byte.
  std::size_t Scanned = 0; ///< No event ends before it.
  std::optional<std::uint64_t> Skip;
  std::optional<std::uint64_t> Last;
  std::uint64_t Count = 0;
};
