/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHallStatus.h"

#include <algorithm>
#include <chrono>

namespace {

gsJson Millis(gsTime since, gsTime now)
{
  if (since.count() == 0) {
    return nullptr;
  }
  return std::chrono::duration_cast<gsMilliseconds>(now - since).count();
}

gsJson OwnHall(gsHallMembership const& table, gsTime now)
{
  std::vector<std::string> first = gsHallOrder(table, now);
  first.resize(std::min(first.size(), table.Settings.Coordinators));
  gsTime heard{};
  for (std::string const& host : first) {
    auto peer = table.Hall.find(host);
    heard =
      peer == table.Hall.end() ? now : std::max(heard, peer->second.Heard);
  }
  return { { "hall", table.Self.Hall },
           { "hosts", gsHallSize(table, now) },
           { "coordinators", first },
           { "heard_ms", Millis(heard, now) },
           { "in_touch", true } };
}

gsJson OtherHall(std::string const& name, gsOtherHall const& hall,
                 gsHallMembershipSettings const& settings, gsTime now)
{
  std::vector<std::string> first;
  for (gsHallPeer const& peer : hall.Contacts) {
    if (first.size() < settings.Coordinators && peer.AvoidUntil <= now) {
      first.push_back(peer.Host.Host);
    }
  }
  bool inTouch =
    hall.Heard.count() != 0 && now - hall.Heard <= settings.HallMemory;
  return { { "hall", name },
           { "hosts", inTouch ? hall.Hosts : 0 },
           { "coordinators", first },
           { "heard_ms", Millis(hall.Heard, now) },
           { "in_touch", inTouch } };
}

} // namespace

gsJson gsHallStatus(gsHallMembership const& table, gsFleet const& fleet,
                    gsTime now)
{
  gsJson rows = gsJson::array();
  rows.push_back(OwnHall(table, now));
  for (auto const& [name, hall] : table.Others) {
    rows.push_back(OtherHall(name, hall, table.Settings, now));
  }
  for (auto const& [name, since] : fleet.Evacuated) {
    if (name != table.Self.Hall && table.Others.count(name) == 0) {
      rows.push_back(OtherHall(name, {}, table.Settings, now));
    }
  }
  for (gsJson& row : rows) {
    auto evacuated = fleet.Evacuated.find(row["hall"].get<std::string>());
    bool is = evacuated != fleet.Evacuated.end();
    row["evacuated_ms"] = is ? Millis(evacuated->second, now) : gsJson();
  }
  return rows;
}
