/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Finds a turn for each request: asks the dispatcher of its pool, follows
 * redirects, moves to other dispatchers when hosts come and go, and to other
 * halls when its own can not serve it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "gsGatewayHooks.h"
#include "gsHeldRequest.h"
#include "gsSettings.h"

struct gsPoolAskerEvents
{
  /** The request has a turn; its Grant is filled in. */
  std::function<void(gsHeldRequestPtr const& request)> OnGranted;
  /** No pool serves it. */
  std::function<void(gsHeldRequestPtr const& request, std::string const& cause,
                     gsTime retryAfter)>
    OnGivenUp;
};

class gsPoolAsker
{
public:
  /** The requests and hooks belong to the gateway and outlive this. */
  gsPoolAsker(gsSettings const& settings, gsGatewayHooks const& hooks,
              std::uint64_t hostNumber, gsHeldRequests const& requests,
              gsPoolAskerEvents events);

  /** Asks for a turn in a hall's pool. */
  void AskIn(gsHeldRequestPtr const& request, std::string const& hall);
  /** Asks the dispatcher that is the right one now, in the same hall. */
  void AskAgain(gsHeldRequestPtr const& request);
  /** Withdraws what waits at a dispatcher. */
  void TakeBack(gsHeldRequestPtr const& request);
  /** Takes the request out of the count of those that wait at its host. */
  void StopWaiting(gsHeldRequest& request);

  void OnGrant(std::string const& host, gsGrant const& grant);
  void OnRefusal(gsRequestId const& id, std::string const& cause,
                 gsTime retryAfter);
  void OnRedirect(gsRequestId const& id, std::string const& dispatcher);
  /** Asks anew what waits at a host that does not answer any more. */
  void OnHostLost(std::string const& host);
  /** Moves requests to the dispatchers of the current members. */
  void OnMembersChanged();
  /** After this process stood still: what was granted before is void. */
  void OnStalled();

private:
  void AskAt(gsHeldRequestPtr const& request, std::string const& host,
             bool force);
  void SpillOrGiveUp(gsHeldRequestPtr const& request, std::string const& cause,
                     gsTime retryAfter);
  bool Spill(gsHeldRequestPtr const& request);
  gsHeldRequestPtr Find(gsRequestId const& id) const;

  gsSettings const& Settings;
  gsGatewayHooks const& Call;
  std::uint64_t HostNumber;
  gsHeldRequests const& Requests;
  gsPoolAskerEvents Events;
  /** Requests that wait at each dispatcher; none is zero. */
  std::unordered_map<std::string, std::uint32_t> WaitingAt;
};
