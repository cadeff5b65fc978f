/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHallStatus.h"

#include <algorithm>
#include <chrono>

namespace {

gsJson ElapsedMillis(gsTime since, gsTime now)
{
  if (since.count() == 0) {
    return nullptr;
  }
  return std::chrono::duration_cast<gsMilliseconds>(now - since).count();
}

gsJson OwnHall(gsHallMembership const& table, gsTime now)
{
  std::vector<std::string> coordinators = gsHallDutyOrder(table, now);
  coordinators.resize(
    std::min(coordinators.size(), table.Settings.MaxCoordinators));
  gsTime lastReceived{};
  for (std::string const& host : coordinators) {
    auto peer = table.HallPeers.find(host);
    lastReceived = peer == table.HallPeers.end()
                     ? now
                     : std::max(lastReceived, peer->second.ReceivedAt);
  }
  return { { "hall", table.Self.Hall },
           { "hosts", gsHallSize(table, now) },
           { "coordinators", coordinators },
           { "heard_ms", ElapsedMillis(lastReceived, now) },
           { "in_touch", true } };
}

gsJson OtherHall(std::string const& name, gsOtherHall const& hall,
                 gsHallMembershipSettings const& settings, gsTime now)
{
  std::vector<std::string> coordinators;
  for (gsHallPeer const& peer : hall.Contacts) {
    if (coordinators.size() < settings.MaxCoordinators &&
        peer.ExcludedUntil <= now) {
      coordinators.push_back(peer.Host.Host);
    }
  }
  bool reachable = hall.ReportedAt.count() != 0 &&
                   now - hall.ReportedAt <= settings.HallTimeout;
  return { { "hall", name },
           { "hosts", reachable ? hall.HostCount : 0 },
           { "coordinators", coordinators },
           { "heard_ms", ElapsedMillis(hall.ReportedAt, now) },
           { "in_touch", reachable } };
}

} // namespace

gsJson gsHallStatus(gsHallMembership const& table, gsFleet const& fleet,
                    gsTime now)
{
  gsJson rows = gsJson::array();
  rows.push_back(OwnHall(table, now));
  for (auto const& [name, hall] : table.OtherHalls) {
    rows.push_back(OtherHall(name, hall, table.Settings, now));
  }
  for (auto const& [name, since] : fleet.EvacuatedSince) {
    if (name != table.Self.Hall && table.OtherHalls.count(name) == 0) {
      rows.push_back(OtherHall(name, {}, table.Settings, now));
    }
  }
  for (gsJson& row : rows) {
    auto evacuated = fleet.EvacuatedSince.find(row["hall"].get<std::string>());
    bool isEvacuated = evacuated != fleet.EvacuatedSince.end();
    row["evacuated_ms"] =
      isEvacuated ? ElapsedMillis(evacuated->second, now) : gsJson();
  }
  return rows;
}
