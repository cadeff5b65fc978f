/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A request that a host holds, from its arrival to its final answer.
 */
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsDocument.h"
#include "gsHttpServer.h"
#include "gsPool.h"
#include "gsSseScanner.h"

/** One request held by this host. */
struct gsHeldRequest
{
  enum class Step
  {
    Claiming,
    Waiting, ///< Asked a dispatcher.
    Sending, ///< Granted; the call to the upstream is under way.
    Ended
  };

  std::shared_ptr<gsHttpExchange> Exchange;
  gsAsk Ask; ///< As last asked; its id's attempt rises.
  gsClass Class;
  std::string Path; ///< At the upstream.
  std::string Method;
  std::string ContentType;
  std::string Body;
  bool Stream = false;
  Step At = Step::Claiming;
  gsTime Arrived{};

  std::string ClaimKey; ///< Empty when the request has no claim.
  std::string ClaimValue;

  std::string Hall;       ///< Whose pool was asked.
  std::string Dispatcher; ///< Host that was asked.
  std::vector<std::string> TriedHalls;
  bool Redirected = false;

  gsGrant Grant;
  gsTime GrantedAt{};
  std::uint64_t Call = 0;
  std::uint32_t Sends = 0; ///< Attempts whose bytes may have left.
  bool MayHaveRun = false; ///< Of any attempt so far.
  bool SentNow = false;    ///< Bytes of this attempt may have left.
  bool CallerHasBytes = false;
  unsigned Status = 0;
  gsHeaders Headers;
  std::string Answer; ///< Gathered when not streamed.
  gsSseScanner Scanner;
  gsTime SentAt{};
  gsTime FirstTokenAt{};
  gsTime LastProgress{};
  gsTime LastReport{};
  std::uint64_t ReportedEvents = 0;
  bool Mismatch = false; ///< The upstream named another request.
  bool Paused = false;   ///< The caller reads slowly.
};

using gsHeldRequestPtr = std::shared_ptr<gsHeldRequest>;

/** All requests that a host holds, by the sequence of their ids. */
using gsHeldRequests = std::unordered_map<std::uint64_t, gsHeldRequestPtr>;
