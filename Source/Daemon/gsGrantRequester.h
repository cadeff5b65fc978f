/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Obtains a grant for each request: sends a grant request to the dispatcher of
 * the pool, follows redirects, resends it to the new dispatcher when
 * membership changes, and tries other halls when the host's own hall cannot
 * serve it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "gsGatewayHooks.h"
#include "gsOpenRequest.h"
#include "gsSettings.h"

struct gsGrantRequesterEvents
{
  /** The request is granted; its Grant is set. */
  std::function<void(gsOpenRequestPtr const& request)> OnGranted;
  /** No pool grants the request. */
  std::function<void(gsOpenRequestPtr const& request, std::string const& cause,
                     gsTime retryAfter)>
    OnRefused;
};

class gsGrantRequester
{
public:
  /** The requests and hooks are owned by the gateway and outlive this object.
   */
  gsGrantRequester(gsSettings const& settings, gsGatewayHooks const& hooks,
                   std::uint64_t hostNumber, gsOpenRequests const& requests,
                   gsGrantRequesterEvents events);

  /** Requests a grant from a hall's pool. */
  void RequestInHall(gsOpenRequestPtr const& request, std::string const& hall);
  /** Resends the grant request to the current dispatcher of the same hall. */
  void Resend(gsOpenRequestPtr const& request);
  /** Withdraws a grant request that waits at a dispatcher. */
  void Withdraw(gsOpenRequestPtr const& request);
  /** Removes the request from the count of those that wait at its dispatcher.
   */
  void StopWaiting(gsOpenRequest& request);

  void OnGrant(std::string const& host, gsGrant const& grant);
  void OnRefusal(gsRequestId const& id, std::string const& cause,
                 gsTime retryAfter);
  void OnRedirect(gsRequestId const& id, std::string const& dispatcher);
  /** Resends the grant requests that wait at a host that no longer responds.
   */
  void OnHostLost(std::string const& host);
  /** Moves requests to the dispatchers by the current membership. */
  void OnMembersChanged();
  /** Resends all waiting grant requests after this process was suspended,
   * because grants from before are void. */
  void OnProcessSuspended();

private:
  void SendGrantRequest(gsOpenRequestPtr const& request,
                        std::string const& host, bool force);
  void TryOtherHallOrFail(gsOpenRequestPtr const& request,
                          std::string const& cause, gsTime retryAfter);
  bool TryOtherHall(gsOpenRequestPtr const& request);
  gsOpenRequestPtr Find(gsRequestId const& id) const;

  gsSettings const& Settings;
  gsGatewayHooks const& Callbacks;
  std::uint64_t HostNumber;
  gsOpenRequests const& Requests;
  gsGrantRequesterEvents Events;
  /** Number of requests that wait at each dispatcher; entries are never 0. */
  std::unordered_map<std::string, std::uint32_t> WaitingAt;
};
