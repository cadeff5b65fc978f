/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsGrantRequester.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gsDispatcher.h"
#include "gsLog.h"
#include "gsLoop.h"
#include "gsRendezvous.h"

namespace {

constexpr gsTime ShortRetryAfter = gsSeconds(1);
constexpr std::size_t MaxOtherHalls = 2;

} // namespace

gsGrantRequester::gsGrantRequester(gsSettings const& settings,
                                   gsGatewayHooks const& hooks,
                                   std::uint64_t hostNumber,
                                   gsOpenRequests const& requests,
                                   gsGrantRequesterEvents events)
  : Settings(settings)
  , Callbacks(hooks)
  , HostNumber(hostNumber)
  , Requests(requests)
  , Events(std::move(events))
{
}

void gsGrantRequester::RequestInHall(gsOpenRequestPtr const& request,
                                     std::string const& hall)
{
  gsDocument const& document = this->Callbacks.Document();
  std::size_t parts = gsPoolPartCount(document, request->Class.Service, hall);
  request->Hall = hall;
  if (parts == 0) {
    this->TryOtherHallOrFail(request, "no_upstream", ShortRetryAfter);
    return;
  }
  std::uint64_t partHash = request->GrantRequest.AffinityHash != 0
                             ? request->GrantRequest.AffinityHash
                             : request->GrantRequest.Id.Sequence;
  request->GrantRequest.Pool =
    gsPoolName(request->Class.Service, hall, partHash % parts);
  request->Redirected = false;
  std::string host =
    this->Callbacks.DispatcherOf(hall, request->GrantRequest.Pool);
  if (host.empty()) {
    this->TryOtherHallOrFail(request, "no_upstream", ShortRetryAfter);
    return;
  }
  this->SendGrantRequest(request, host, hall != this->Settings.Hall);
}

void gsGrantRequester::SendGrantRequest(gsOpenRequestPtr const& request,
                                        std::string const& host, bool force)
{
  this->StopWaiting(*request);
  request->CurrentState = gsOpenRequest::State::Waiting;
  request->Dispatcher = host;
  ++request->GrantRequest.Id.Attempt;
  request->GrantRequest.PriorWaitTime = gsLoop::Now() - request->ArrivedAt;
  request->GrantRequest.ForceQueue = force;
  if (this->WaitingAt[host]++ == 0) {
    this->Callbacks.SetExpectingAnswer(host, true);
  }
  this->Callbacks.SendGrantRequest(host, request->GrantRequest);
}

void gsGrantRequester::StopWaiting(gsOpenRequest& request)
{
  if (request.CurrentState != gsOpenRequest::State::Waiting) {
    return;
  }
  request.CurrentState = gsOpenRequest::State::Claiming;
  auto waiting = this->WaitingAt.find(request.Dispatcher);
  if (waiting != this->WaitingAt.end() && --waiting->second == 0) {
    this->WaitingAt.erase(waiting);
    this->Callbacks.SetExpectingAnswer(request.Dispatcher, false);
  }
}

void gsGrantRequester::Resend(gsOpenRequestPtr const& request)
{
  std::string host =
    this->Callbacks.DispatcherOf(request->Hall, request->GrantRequest.Pool);
  if (host.empty()) {
    request->TriedHalls.clear();
    this->RequestInHall(request, this->Settings.Hall);
    return;
  }
  this->SendGrantRequest(request, host, true);
}

/** Requests a grant in another hall; false if no hall is left to try. */
bool gsGrantRequester::TryOtherHall(gsOpenRequestPtr const& request)
{
  if (request->TriedHalls.size() > MaxOtherHalls) {
    return false;
  }
  std::vector<std::string> halls;
  for (std::string const& hall : this->Callbacks.OtherHalls()) {
    bool tried =
      std::find(request->TriedHalls.begin(), request->TriedHalls.end(),
                hall) != request->TriedHalls.end();
    bool serves = gsPoolPartCount(this->Callbacks.Document(),
                                  request->Class.Service, hall) > 0;
    if (!tried && serves) {
      halls.push_back(hall);
    }
  }
  if (halls.empty()) {
    return false;
  }
  std::vector<std::string_view> names(halls.begin(), halls.end());
  std::string hall =
    *gsRendezvous(names, gsFormatRequestId(request->GrantRequest.Id));
  gsLogLine("spill")
    .With("request", gsFormatRequestId(request->GrantRequest.Id))
    .With("organisation", request->GrantRequest.Organisation)
    .With("from", this->Settings.Hall)
    .With("to", hall);
  this->RequestInHall(request, hall);
  return true;
}

void gsGrantRequester::Withdraw(gsOpenRequestPtr const& request)
{
  if (request->CurrentState == gsOpenRequest::State::Waiting) {
    this->Callbacks.SendWithdraw(request->Dispatcher, request->GrantRequest);
    this->StopWaiting(*request);
  }
}

gsOpenRequestPtr gsGrantRequester::Find(gsRequestId const& id) const
{
  auto found = this->Requests.find(id.Sequence);
  if (id.Host != this->HostNumber || found == this->Requests.end() ||
      found->second->GrantRequest.Id.Attempt != id.Attempt) {
    return nullptr;
  }
  return found->second;
}

void gsGrantRequester::OnGrant(std::string const& host, gsGrant const& grant)
{
  gsOpenRequestPtr request = this->Find(grant.Id);
  bool isCurrent = request != nullptr &&
                   request->CurrentState == gsOpenRequest::State::Waiting &&
                   request->Dispatcher == host;
  if (!isCurrent) {
    // The request has moved to another dispatcher, or the caller disconnected.
    gsGrantRequest stale;
    stale.Id = grant.Id;
    stale.Pool = grant.Pool;
    this->Callbacks.SendRelease(host, stale, gsGrantOutcome::Unused, {});
    return;
  }
  this->StopWaiting(*request);
  request->Grant = grant;
  request->GrantedAt = gsLoop::Now();
  this->Events.OnGranted(request);
}

void gsGrantRequester::OnRefusal(gsRequestId const& id,
                                 std::string const& cause, gsTime retryAfter)
{
  gsOpenRequestPtr request = this->Find(id);
  if (request == nullptr ||
      request->CurrentState != gsOpenRequest::State::Waiting) {
    return;
  }
  this->StopWaiting(*request);
  this->TryOtherHallOrFail(request, cause, retryAfter);
}

void gsGrantRequester::TryOtherHallOrFail(gsOpenRequestPtr const& request,
                                          std::string const& cause,
                                          gsTime retryAfter)
{
  request->TriedHalls.push_back(request->Hall);
  bool expired = gsLoop::Now() - request->ArrivedAt >= request->Class.MaxWait;
  if (!expired && this->TryOtherHall(request)) {
    return;
  }
  if (!expired && cause == "all_ejected" &&
      !request->GrantRequest.WaitWhileEjected) {
    // No hall can serve the request now; it waits in this host's own hall for
    // an upstream to recover.
    request->GrantRequest.WaitWhileEjected = true;
    this->RequestInHall(request, this->Settings.Hall);
    return;
  }
  this->Events.OnRefused(request, cause, retryAfter);
}

void gsGrantRequester::OnRedirect(gsRequestId const& id,
                                  std::string const& dispatcher)
{
  gsOpenRequestPtr request = this->Find(id);
  if (request == nullptr ||
      request->CurrentState != gsOpenRequest::State::Waiting) {
    return;
  }
  // Only one redirect is followed: the next dispatcher must queue the request.
  request->Redirected = true;
  this->SendGrantRequest(request, dispatcher, true);
}

void gsGrantRequester::OnHostLost(std::string const& host)
{
  std::vector<gsOpenRequestPtr> waiting;
  for (auto const& [sequence, request] : this->Requests) {
    if (request->Dispatcher != host) {
      continue;
    }
    if (request->CurrentState == gsOpenRequest::State::Waiting) {
      waiting.push_back(request);
    } else if (request->CurrentState == gsOpenRequest::State::Sending) {
      std::string next = this->Callbacks.DispatcherOf(
        request->Hall, request->GrantRequest.Pool);
      if (!next.empty() && next != host) {
        request->Dispatcher = next;
        this->Callbacks.SendRunning(next, request->GrantRequest,
                                    request->Grant.Upstream);
      }
    }
  }
  for (gsOpenRequestPtr const& request : waiting) {
    this->Withdraw(request);
    this->Resend(request);
  }
}

void gsGrantRequester::OnMembersChanged()
{
  std::vector<gsOpenRequestPtr> moved;
  for (auto const& [sequence, request] : this->Requests) {
    std::string host =
      this->Callbacks.DispatcherOf(request->Hall, request->GrantRequest.Pool);
    if (host.empty() || host == request->Dispatcher) {
      continue;
    }
    if (request->CurrentState == gsOpenRequest::State::Waiting) {
      moved.push_back(request);
    } else if (request->CurrentState == gsOpenRequest::State::Sending) {
      // The new dispatcher counts the running request, so the old one releases
      // it.
      this->Callbacks.SendRelease(request->Dispatcher, request->GrantRequest,
                                  gsGrantOutcome::Unused, {});
      request->Dispatcher = host;
      this->Callbacks.SendRunning(host, request->GrantRequest,
                                  request->Grant.Upstream);
    }
  }
  for (gsOpenRequestPtr const& request : moved) {
    this->Withdraw(request);
    this->Resend(request);
  }
}

void gsGrantRequester::OnProcessSuspended()
{
  std::vector<gsOpenRequestPtr> all;
  for (auto const& [sequence, request] : this->Requests) {
    all.push_back(request);
  }
  for (gsOpenRequestPtr const& request : all) {
    if (request->CurrentState == gsOpenRequest::State::Waiting) {
      this->Withdraw(request);
      this->Resend(request);
    }
  }
}
