/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Where requests of the routed mode lose their targets, from the logs of all
 * hosts together: for each route and each second how they ended, which
 * upstreams streams paused at, and what was being read there meanwhile.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsLogRecord.h"

/** How a request ended for its caller; the first that applies. */
enum class gsLossKind : std::uint8_t
{
  InTarget,   ///< Whole and in time.
  LateFirst,  ///< Whole; the first event, or a plain answer, came late.
  LongPause,  ///< Whole and begun in time; a pause was too long.
  Failed,     ///< It may have run and has no whole answer.
  Refused,    ///< Given up without having run.
  CallerLeft, ///< The caller closed first.
};

constexpr std::size_t gsLossKinds = 6;

char const* gsLossWord(gsLossKind kind);

/** Requests by how they ended. */
struct gsLossCount
{
  std::array<std::uint64_t, gsLossKinds> By{};
  std::uint64_t Attempts = 0; ///< At upstreams.
  std::uint64_t NotSent = 0;  ///< Attempts that could not be sent.
  std::uint64_t Broken = 0;   ///< Attempts without a whole answer.

  std::uint64_t Requests() const;
  std::uint64_t Of(gsLossKind kind) const;
};

/** A prompt that an upstream read while a stream there paused. */
struct gsPromptBeside
{
  std::string Request;
  std::string Route;
  double ReadTokens = 0;
};

/** A stream whose longest pause missed its target. */
struct gsPausedStream
{
  std::string Request;
  std::string Route;
  std::string Upstream;
  double PauseMillis = 0;
  double TargetMillis = 0;
  /** Read there between the stream's first event and its end, largest first;
   * at most gsLossPromptsShown. */
  std::vector<gsPromptBeside> Beside;
};

constexpr std::size_t gsLossPromptsShown = 3;

/** The last attempt of a request, as its host has logged it. */
struct gsLossAttempt
{
  std::string Request;
  std::string Route;
  std::string Upstream;
  std::string End;
  bool Stream = false;
  gsTime PlacedAt{}; ///< Epoch, by the host's clock.
  gsTime EndedAt{};  ///< Zero while no line told its end.
  double TookMillis = 0;
  double FirstMillis = 0; ///< From sending to the first byte; 0 for none.
  double PauseMillis = 0;
  double TargetMillis = 0;
  double PauseTargetMillis = 0;
  double ReadTokens = 0; ///< Of its prompt, not kept at the upstream.
};

/** Takes in records; hosts in any order, each host's own in order. */
struct gsLossReader
{
  /** By request id. A caller's id names one request on one host only. */
  std::unordered_map<std::string, gsLossAttempt> Open;
  std::vector<gsLossAttempt> Attempts; ///< Those that have ended.
  struct Request
  {
    gsLossAttempt Last;
    std::string Route;
    gsTime EndedAt{};
    std::string Result;
    double TookMillis = 0;
    bool Ran = false;
  };
  std::vector<Request> Requests;
};

void gsLossTake(gsLossReader& reader, gsLogRecord const& record);

struct gsLossReport
{
  std::map<std::string, gsLossCount> ByRoute;
  /** By result word of the requests that got no whole answer, and route. */
  std::map<std::string, std::map<std::string, std::uint64_t>> Causes;
  /** By whole seconds since the first request's end, and route. */
  std::map<std::int64_t, std::map<std::string, gsLossCount>> BySecond;
  /** Requests that ended at an upstream, by its id. */
  std::map<std::string, gsLossCount> ByUpstream;
  std::vector<gsPausedStream> Pauses; ///< Longest first, against the target.
};

/** Adds all up; paused streams are cut to the given number. */
gsLossReport gsLossSum(gsLossReader const& reader, std::size_t pauses);
