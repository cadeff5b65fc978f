/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPoolAsker.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gsDispatcher.h"
#include "gsLog.h"
#include "gsLoop.h"
#include "gsRendezvous.h"

namespace {

constexpr gsTime ShortRetryAfter = gsSeconds(1);
constexpr std::size_t MaxSpills = 2;

} // namespace

gsPoolAsker::gsPoolAsker(gsSettings const& settings,
                         gsGatewayHooks const& hooks, std::uint64_t hostNumber,
                         gsHeldRequests const& requests,
                         gsPoolAskerEvents events)
  : Settings(settings)
  , Call(hooks)
  , HostNumber(hostNumber)
  , Requests(requests)
  , Events(std::move(events))
{
}

void gsPoolAsker::AskIn(gsHeldRequestPtr const& request,
                        std::string const& hall)
{
  gsDocument const& document = this->Call.Document();
  std::size_t parts = gsPoolParts(document, request->Class.Service, hall);
  request->Hall = hall;
  if (parts == 0) {
    this->SpillOrGiveUp(request, "no_upstream", ShortRetryAfter);
    return;
  }
  std::uint64_t spread = request->Ask.Affinity != 0 ? request->Ask.Affinity
                                                    : request->Ask.Id.Sequence;
  request->Ask.Pool = gsPoolName(request->Class.Service, hall, spread % parts);
  request->Redirected = false;
  std::string host = this->Call.DispatcherOf(hall, request->Ask.Pool);
  if (host.empty()) {
    this->SpillOrGiveUp(request, "no_upstream", ShortRetryAfter);
    return;
  }
  this->AskAt(request, host, hall != this->Settings.Hall);
}

void gsPoolAsker::AskAt(gsHeldRequestPtr const& request,
                        std::string const& host, bool force)
{
  this->StopWaiting(*request);
  request->At = gsHeldRequest::Step::Waiting;
  request->Dispatcher = host;
  ++request->Ask.Id.Attempt;
  request->Ask.Waited = gsLoop::Now() - request->Arrived;
  request->Ask.Force = force;
  if (this->WaitingAt[host]++ == 0) {
    this->Call.Expect(host, true);
  }
  this->Call.SendAsk(host, request->Ask);
}

void gsPoolAsker::StopWaiting(gsHeldRequest& request)
{
  if (request.At != gsHeldRequest::Step::Waiting) {
    return;
  }
  request.At = gsHeldRequest::Step::Claiming;
  auto waiting = this->WaitingAt.find(request.Dispatcher);
  if (waiting != this->WaitingAt.end() && --waiting->second == 0) {
    this->WaitingAt.erase(waiting);
    this->Call.Expect(request.Dispatcher, false);
  }
}

void gsPoolAsker::AskAgain(gsHeldRequestPtr const& request)
{
  std::string host = this->Call.DispatcherOf(request->Hall, request->Ask.Pool);
  if (host.empty()) {
    request->TriedHalls.clear();
    this->AskIn(request, this->Settings.Hall);
    return;
  }
  this->AskAt(request, host, true);
}

/** Tries a pool of another hall; false when there is none left to try. */
bool gsPoolAsker::Spill(gsHeldRequestPtr const& request)
{
  if (request->TriedHalls.size() > MaxSpills) {
    return false;
  }
  std::vector<std::string> halls;
  for (std::string const& hall : this->Call.OtherHalls()) {
    bool tried =
      std::find(request->TriedHalls.begin(), request->TriedHalls.end(),
                hall) != request->TriedHalls.end();
    bool serves =
      gsPoolParts(this->Call.Document(), request->Class.Service, hall) > 0;
    if (!tried && serves) {
      halls.push_back(hall);
    }
  }
  if (halls.empty()) {
    return false;
  }
  std::vector<std::string_view> names(halls.begin(), halls.end());
  std::string hall = *gsRendezvous(names, gsFormatId(request->Ask.Id));
  gsLogLine("spill")
    .With("request", gsFormatId(request->Ask.Id))
    .With("organisation", request->Ask.Organisation)
    .With("from", this->Settings.Hall)
    .With("to", hall);
  this->AskIn(request, hall);
  return true;
}

void gsPoolAsker::TakeBack(gsHeldRequestPtr const& request)
{
  if (request->At == gsHeldRequest::Step::Waiting) {
    this->Call.SendWithdraw(request->Dispatcher, request->Ask);
    this->StopWaiting(*request);
  }
}

gsHeldRequestPtr gsPoolAsker::Find(gsRequestId const& id) const
{
  auto found = this->Requests.find(id.Sequence);
  if (id.Host != this->HostNumber || found == this->Requests.end() ||
      found->second->Ask.Id.Attempt != id.Attempt) {
    return nullptr;
  }
  return found->second;
}

void gsPoolAsker::OnGrant(std::string const& host, gsGrant const& grant)
{
  gsHeldRequestPtr request = this->Find(grant.Id);
  bool wanted = request != nullptr &&
                request->At == gsHeldRequest::Step::Waiting &&
                request->Dispatcher == host;
  if (!wanted) {
    // Asked elsewhere meanwhile, or the caller left.
    gsAsk stale;
    stale.Id = grant.Id;
    stale.Pool = grant.Pool;
    this->Call.SendRelease(host, stale, gsOutcome::Unused, {});
    return;
  }
  this->StopWaiting(*request);
  request->Grant = grant;
  request->GrantedAt = gsLoop::Now();
  this->Events.OnGranted(request);
}

void gsPoolAsker::OnRefusal(gsRequestId const& id, std::string const& cause,
                            gsTime retryAfter)
{
  gsHeldRequestPtr request = this->Find(id);
  if (request == nullptr || request->At != gsHeldRequest::Step::Waiting) {
    return;
  }
  this->StopWaiting(*request);
  this->SpillOrGiveUp(request, cause, retryAfter);
}

void gsPoolAsker::SpillOrGiveUp(gsHeldRequestPtr const& request,
                                std::string const& cause, gsTime retryAfter)
{
  request->TriedHalls.push_back(request->Hall);
  bool late = gsLoop::Now() - request->Arrived >= request->Class.MaxWait;
  if (!late && this->Spill(request)) {
    return;
  }
  if (!late && cause == "all_ejected" && !request->Ask.Patient) {
    // No hall can serve it now; wait at home for an upstream to return.
    request->Ask.Patient = true;
    this->AskIn(request, this->Settings.Hall);
    return;
  }
  this->Events.OnGivenUp(request, cause, retryAfter);
}

void gsPoolAsker::OnRedirect(gsRequestId const& id,
                             std::string const& dispatcher)
{
  gsHeldRequestPtr request = this->Find(id);
  if (request == nullptr || request->At != gsHeldRequest::Step::Waiting) {
    return;
  }
  // One redirect is followed; after it the receiver must queue the request.
  request->Redirected = true;
  this->AskAt(request, dispatcher, true);
}

void gsPoolAsker::OnHostLost(std::string const& host)
{
  std::vector<gsHeldRequestPtr> waiting;
  for (auto const& [sequence, request] : this->Requests) {
    if (request->Dispatcher != host) {
      continue;
    }
    if (request->At == gsHeldRequest::Step::Waiting) {
      waiting.push_back(request);
    } else if (request->At == gsHeldRequest::Step::Sending) {
      std::string next =
        this->Call.DispatcherOf(request->Hall, request->Ask.Pool);
      if (!next.empty() && next != host) {
        request->Dispatcher = next;
        this->Call.SendRunning(next, request->Ask, request->Grant.Upstream);
      }
    }
  }
  for (gsHeldRequestPtr const& request : waiting) {
    this->TakeBack(request);
    this->AskAgain(request);
  }
}

void gsPoolAsker::OnMembersChanged()
{
  std::vector<gsHeldRequestPtr> moved;
  for (auto const& [sequence, request] : this->Requests) {
    std::string host =
      this->Call.DispatcherOf(request->Hall, request->Ask.Pool);
    if (host.empty() || host == request->Dispatcher) {
      continue;
    }
    if (request->At == gsHeldRequest::Step::Waiting) {
      moved.push_back(request);
    } else if (request->At == gsHeldRequest::Step::Sending) {
      // The new dispatcher counts it; the old one must not any longer.
      this->Call.SendRelease(request->Dispatcher, request->Ask,
                             gsOutcome::Unused, {});
      request->Dispatcher = host;
      this->Call.SendRunning(host, request->Ask, request->Grant.Upstream);
    }
  }
  for (gsHeldRequestPtr const& request : moved) {
    this->TakeBack(request);
    this->AskAgain(request);
  }
}

void gsPoolAsker::OnStalled()
{
  std::vector<gsHeldRequestPtr> all;
  for (auto const& [sequence, request] : this->Requests) {
    all.push_back(request);
  }
  for (gsHeldRequestPtr const& request : all) {
    if (request->At == gsHeldRequest::Step::Waiting) {
      this->TakeBack(request);
      this->AskAgain(request);
    }
  }
}
