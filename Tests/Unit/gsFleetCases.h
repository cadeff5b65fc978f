/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Fleets and requests that several test files use.
 */
#pragma once

#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsPlacement.h"

namespace gsFleetCases {

inline constexpr gsTime Now = gsSeconds(100);

inline gsListedUpstream Listed(std::string const& id,
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

inline gsFleet MakeFleet(int upstreams)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  std::vector<gsListedUpstream> listed;
  listed.reserve(static_cast<std::size_t>(upstreams));
  for (int i = 0; i < upstreams; ++i) {
    listed.push_back(Listed("u" + std::to_string(i)));
  }
  gsFleetTake(fleet, listed);
  return fleet;
}

/** A request beside which streams suffer, unless a test says otherwise. */
inline gsPlacementAsk Plain()
{
  gsPlacementAsk ask;
  ask.Service = "model";
  ask.Group = gsFleetGroup::Long;
  return ask;
}

inline std::string Chosen(gsFleet& fleet, gsPlacementAsk const& ask)
{
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, ask, Now, random);
  return placement.Row == nullptr ? "none" : placement.Row->Listed.Id;
}

} // namespace gsFleetCases
