/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Upstream tables and requests shared by several test files.
 */
#pragma once

#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsPlacement.h"

namespace gsFleetCases {

inline constexpr gsTime Now = gsSeconds(100);

/** A listed upstream of the service "model" with 8 slots. */
inline gsListedUpstream MakeListed(std::string const& id,
                                   std::string const& hall = "a")
{
  gsListedUpstream upstream;
  upstream.Id = id;
  upstream.Service = "model";
  upstream.Address = "127.0.0.1:1";
  upstream.Hall = hall;
  upstream.Slots = 8;
  return upstream;
}

/** A fleet of upstreams u0, u1 and so on in hall a. */
inline gsFleet MakeFleet(int upstreams)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  std::vector<gsListedUpstream> listed;
  listed.reserve(static_cast<std::size_t>(upstreams));
  for (int i = 0; i < upstreams; ++i) {
    listed.push_back(MakeListed("u" + std::to_string(i)));
  }
  gsFleetReplaceListing(fleet, listed);
  return fleet;
}

/** A request of gsFleetGroup::Long without prompt parts. */
inline gsPlacementRequest MakeLongRequest()
{
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.Group = gsFleetGroup::Long;
  return ask;
}

/** Places a request with a fixed random seed. \return Id of the chosen
 * upstream; "none" if there is none. */
inline std::string ChooseId(gsFleet& fleet, gsPlacementRequest const& ask)
{
  gsRandom random(1);
  gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
  return placement.Row == nullptr ? "none" : placement.Row->Listed.Id;
}

} // namespace gsFleetCases
