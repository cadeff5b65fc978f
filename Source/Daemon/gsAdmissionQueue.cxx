/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsAdmissionQueue.h"

#include <algorithm>
#include <utility>

namespace {

/** Requests without room after which a presentation ends, apart from those
 * whose time of decision has come. */
constexpr std::size_t MaxFailures = 8;

/** When a waiting request is decided on at the latest. */
gsTime NextCheckOf(gsRequestAdmission const& admission,
                   gsOverloadSettings const& settings, gsTime now)
{
  double target = gsToSeconds(admission.Row.Target);
  gsTime refusal =
    admission.WaitingSince + gsFromSeconds(target * settings.MaxRefusalShare);
  gsTime end =
    admission.WaitingSince + gsFromSeconds(target * settings.MaxWaitShare);
  return now < refusal ? refusal : end;
}

} // namespace

gsAdmissionQueue::gsAdmissionQueue(gsLoop& loop,
                                   gsAdmissionQueueSettings settings,
                                   RoomCheck hasRoom, PlaceCallback place)
  : Settings(settings)
  , HasRoom(std::move(hasRoom))
  , Place(std::move(place))
  , Timer(loop, [this] { this->Present(); })
{
}

std::optional<gsFairRow> gsAdmissionQueue::RowOf(
  gsRoutedRequest const& request) const
{
  gsAdmissionRequest const& admission = request.Admission->Row;
  gsFairRow row;
  row.Priority = admission.Priority;
  row.IsReturning = admission.IsReturning;
  row.Deadline = std::min(request.DeadlineAt, request.TimeoutAt);
  auto clock = this->Clocks.find({ request.Service, admission.Priority });
  if (clock != this->Clocks.end()) {
    row.VirtualTime = gsVirtualTime(clock->second, admission.Organisation);
  }
  return row;
}

/** The request of a service that is last in the order. */
gsRoutedRequestPtr gsAdmissionQueue::LastInOrder(
  std::string const& service) const
{
  RequestList const& waiting = this->Requests.at(service);
  auto last = std::max_element(
    waiting.begin(), waiting.end(),
    [this](gsRoutedRequestPtr const& a, gsRoutedRequestPtr const& b) {
      return gsIsServedBefore(*this->RowOf(*a), *this->RowOf(*b));
    });
  return *last;
}

gsRoutedRequestPtr gsAdmissionQueue::Add(gsRoutedRequestPtr const& request,
                                         gsOverloadSettings const& settings)
{
  gsRequestAdmission& admission = *request->Admission;
  admission.IsQueued = true;
  admission.NextCheckAt = NextCheckOf(admission, settings, gsLoop::Now());
  RequestList& waiting = this->Requests[request->Service];
  waiting.push_back(request);
  this->BodyBytes += request->Caller.Body.size();
  gsRoutedRequestPtr surplus;
  if (waiting.size() > this->Settings.MaxRequests ||
      this->BodyBytes > this->Settings.MaxBytes) {
    surplus = this->LastInOrder(request->Service);
    this->Remove(*surplus);
  }
  this->ArmTimer();
  return surplus;
}

void gsAdmissionQueue::Remove(gsRoutedRequest& request)
{
  if (!request.Admission || !request.Admission->IsQueued) {
    return;
  }
  request.Admission->IsQueued = false;
  auto waiting = this->Requests.find(request.Service);
  RequestList& list = waiting->second;
  list.erase(std::find_if(list.begin(), list.end(),
                          [&request](gsRoutedRequestPtr const& queued) {
                            return queued.get() == &request;
                          }));
  this->BodyBytes -= request.Caller.Body.size();
  if (list.empty()) {
    this->Requests.erase(waiting);
  }
}

void gsAdmissionQueue::PresentSoon()
{
  if (!this->Requests.empty()) {
    this->MustPresent = true;
    this->Timer.Once(gsTime{});
  }
}

void gsAdmissionQueue::Charge(gsRoutedRequest const& request)
{
  gsAdmissionRequest const& admission = request.Admission->Row;
  gsChargeService(this->Clocks[{ request.Service, admission.Priority }],
                  admission.Organisation, admission.EngineMillis,
                  admission.Weight);
}

std::size_t gsAdmissionQueue::Waiting(std::string const& service,
                                      std::uint32_t priority) const
{
  auto waiting = this->Requests.find(service);
  if (waiting == this->Requests.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
    std::count_if(waiting->second.begin(), waiting->second.end(),
                  [priority](gsRoutedRequestPtr const& request) {
                    return request->Admission->Row.Priority == priority;
                  }));
}

void gsAdmissionQueue::Present()
{
  gsTime now = gsLoop::Now();
  this->MustPresent = false;
  std::map<std::string, RequestList> waiting = this->Requests;
  for (auto const& [service, requests] : waiting) {
    this->PresentService(requests, now);
  }
  this->ArmTimer();
}

/** Presents the requests of one service in their order. */
void gsAdmissionQueue::PresentService(RequestList waiting, gsTime now)
{
  std::size_t failures = 0;
  auto rowOf = [this](gsRoutedRequestPtr const& request) {
    return this->RowOf(*request);
  };
  while (!waiting.empty()) {
    auto next = gsFairNext(waiting.begin(), waiting.end(), rowOf);
    gsRoutedRequestPtr request = *next;
    waiting.erase(next);
    if (!request->Admission->IsQueued) {
      continue; // Its caller has left in the meantime.
    }
    bool isDue = now >= request->Admission->NextCheckAt;
    bool hasRoom = !isDue && failures < MaxFailures && this->HasRoom(*request);
    if (isDue || hasRoom) {
      this->Remove(*request);
      this->Place(request);
    }
    failures += request->Admission->IsQueued ? 1 : 0;
  }
}

/** Sets the timer to the next time of a decision. */
void gsAdmissionQueue::ArmTimer()
{
  if (this->MustPresent) {
    return; // The timer is armed already.
  }
  gsTime next = gsTime::max();
  for (auto const& [service, waiting] : this->Requests) {
    for (gsRoutedRequestPtr const& request : waiting) {
      next = std::min(next, request->Admission->NextCheckAt);
    }
  }
  if (next != gsTime::max()) {
    this->Timer.Once(std::max(gsTime{}, next - gsLoop::Now()));
  }
}
