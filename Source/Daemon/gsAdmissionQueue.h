/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Requests that wait on this host until an engine has room for them, in the
 * order of gsFairOrder. The queue is bounded by requests of a service and by
 * bytes of all services. Each request is presented again when an attempt of
 * this host ends, when a load report arrives, and when the time of a decision
 * has come: at the time of the last refusal and at the end of its wait.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gsFairOrder.h"
#include "gsLoop.h"
#include "gsOverload.h"
#include "gsRoutedRequest.h"

struct gsAdmissionQueueSettings
{
  std::size_t MaxRequests = 256;    ///< Waiting requests of a service.
  std::size_t MaxBytes = 8U << 20U; ///< Of the bodies of all of them.
};

class gsAdmissionQueue
{
public:
  /** Whether an engine may have room for a waiting request. */
  using RoomCheck = std::function<bool(gsRoutedRequest const& request)>;
  /** Called with a request that was taken from the queue, to be placed. It may
   * be added again. */
  using PlaceCallback = std::function<void(gsRoutedRequestPtr const& request)>;

  gsAdmissionQueue(gsLoop& loop, gsAdmissionQueueSettings settings,
                   RoomCheck hasRoom, PlaceCallback place);

  /**
   * Adds a request with its admission state. \return The request that there is
   * no room for: the one that is last in the order, which may be the new one.
   * Null if there is room for all.
   */
  gsRoutedRequestPtr Add(gsRoutedRequestPtr const& request,
                         gsOverloadSettings const& settings);

  /** Removes a request if it is in the queue. */
  void Remove(gsRoutedRequest& request);

  /** Presents the requests again, as soon as the current event has been
   * handled. */
  void PresentSoon();

  /** Adds the service of a request that begins to its organisation's virtual
   * time. */
  void Charge(gsRoutedRequest const& request);

  std::size_t Bytes() const { return this->BodyBytes; }
  std::size_t Waiting(std::string const& service,
                      std::uint32_t priority) const;
  bool IsEmpty() const { return this->Requests.empty(); }

private:
  using RequestList = std::vector<gsRoutedRequestPtr>;

  std::optional<gsFairRow> RowOf(gsRoutedRequest const& request) const;
  gsRoutedRequestPtr LastInOrder(std::string const& service) const;
  void Present();
  void PresentService(RequestList waiting, gsTime now);
  void ArmTimer();

  gsAdmissionQueueSettings Settings;
  RoomCheck HasRoom;
  PlaceCallback Place;
  /** Waiting requests by service; no empty lists. */
  std::map<std::string, RequestList> Requests;
  std::size_t BodyBytes = 0; ///< Sum over Requests.
  bool MustPresent = false;  ///< PresentSoon was called.
  /** Virtual times by service and priority. */
  std::map<std::pair<std::string, std::uint32_t>, gsFairClock> Clocks;
  gsTimer Timer;
};
