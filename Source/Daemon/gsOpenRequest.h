/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The state of a caller's request on a host, from its arrival to its final
 * answer. The gateway owns it.
 */
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsDocument.h"
#include "gsHttpServer.h"
#include "gsPool.h"
#include "gsSseParser.h"

/** A request of a caller that this host has not finished. */
struct gsOpenRequest
{
  enum class State
  {
    Claiming, ///< Waiting for the claim of its idempotency key.
    Waiting,  ///< Waiting for a dispatcher's answer.
    Sending,  ///< Granted; the call to the upstream is in progress.
    Ended
  };

  std::shared_ptr<gsHttpExchange> Exchange;
  gsGrantRequest
    GrantRequest; ///< As last sent; the attempt in its id increases.
  gsRequestClass Class;
  std::string Path; ///< Path of the URL at the upstream.
  std::string Method;
  std::string ContentType;
  std::string Body;
  bool Stream = false;
  State CurrentState = State::Claiming;
  gsTime ArrivedAt{};

  std::string ClaimKey; ///< Empty when the request has no claim.
  std::string ClaimValue;

  std::string Hall;       ///< Hall of the pool that was last requested.
  std::string Dispatcher; ///< Host to which the grant request was sent.
  std::vector<std::string> TriedHalls; ///< Halls that refused the request.
  bool Redirected = false; ///< A dispatcher redirected it in this hall.

  gsGrant Grant;
  gsTime GrantedAt{};
  std::uint64_t HttpCall = 0;     ///< HTTP call in progress; 0 if none.
  std::uint32_t SentAttempts = 0; ///< Attempts whose bytes may have been sent.
  bool MayHaveRun = false;  ///< Any attempt so far may have been executed.
  bool MayHaveSent = false; ///< Bytes of this attempt may have been sent.
  /** A streamed answer to the caller has begun, so that its status is sent. */
  bool ResponseStarted = false;
  unsigned Status = 0; ///< Of the upstream's answer.
  gsHeaders Headers;
  std::string Answer; ///< Collected body of an answer that is not streamed.
  gsSseParser Scanner;
  gsTime SentAt{};
  gsTime FirstTokenAt{};
  gsTime LastProgressAt{}; ///< Last bytes from the upstream, or resumption.
  gsTime LastReportAt{};   ///< Last progress report to the dispatcher.
  std::uint64_t ReportedEvents = 0; ///< Events at the time of LastReportAt.
  bool RequestIdMismatch =
    false;             ///< The answer names the id of another request.
  bool Paused = false; ///< Reading the answer waits for a slow caller.
};

using gsOpenRequestPtr = std::shared_ptr<gsOpenRequest>;

/** All unfinished requests of a host, by the sequence number of their ids. */
using gsOpenRequests = std::unordered_map<std::uint64_t, gsOpenRequestPtr>;
