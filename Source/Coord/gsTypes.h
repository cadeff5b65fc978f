/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Basic types that the core, the coordination library and the daemon share:
 * time, request identity and errors.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include <boost/outcome.hpp>

/** A point in time of the monotonic clock, or a duration, in microseconds. */
using gsTime = std::chrono::microseconds;

/** The random number generator that callers seed and pass in. */
using gsRandom = std::mt19937_64;

using gsMilliseconds = std::chrono::milliseconds;
using gsSeconds = std::chrono::seconds;

/** Converts a time to seconds, for arithmetic on rates. */
inline double gsToSeconds(gsTime time)
{
  return std::chrono::duration<double>(time).count();
}

/** Converts seconds to a time. */
inline gsTime gsFromSeconds(double seconds)
{
  return std::chrono::duration_cast<gsTime>(
    std::chrono::duration<double>(seconds));
}

/**
 * Identifies a request across hosts. Host is a number that is unique to one
 * incarnation of an entry host; Attempt counts the times that the same request
 * was submitted.
 */
struct gsRequestId
{
  std::uint64_t Host = 0;
  std::uint64_t Sequence = 0;
  std::uint32_t Attempt = 0;

  friend bool operator==(gsRequestId const& a, gsRequestId const& b)
  {
    return a.Host == b.Host && a.Sequence == b.Sequence &&
           a.Attempt == b.Attempt;
  }
};

struct gsRequestIdHash
{
  std::size_t operator()(gsRequestId const& id) const
  {
    constexpr std::uint64_t mix = 0x9E3779B97F4A7C15ULL;
    std::uint64_t hash = (id.Host ^ (id.Sequence * mix)) * mix;
    return static_cast<std::size_t>(hash ^ (id.Attempt * mix) ^ (hash >> 29U));
  }
};

/** Formats a request id for logs: host-sequence.attempt. */
std::string gsFormatRequestId(gsRequestId const& id);

/** Whether an upstream has processed a request. */
enum class gsExecuted
{
  No,      ///< No part of it can have reached an upstream.
  Unknown, ///< It may have been started; no complete response arrived.
  Yes      ///< An upstream has responded to it.
};

/** The value of the Gradescale-Ran header. */
char const* gsExecutedText(gsExecuted executed);

/** An error with the step at which it arose and the peer concerned. */
struct gsError
{
  std::string Code;    ///< A stable identifier, such as "unknown_template".
  std::string Message; ///< Description in one sentence.
  std::string Step;    ///< Failed step, such as "authenticate" or "send".
  std::string Peer; ///< Address or name of the peer; empty if there is none.
};

/** A value or a gsError. */
template<typename T>
using gsResult = boost::outcome_v2::unchecked<T, gsError>;
