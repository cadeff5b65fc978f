/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSpeedStatus.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "gsEngineSpeed.h"

namespace {

gsJson NumberOrNull(double value)
{
  return value > 0 ? gsJson(value) : gsJson();
}

/** Calls a function with each row that is listed as measured. */
template<typename Function>
void ForEachMeasured(gsFleet const& fleet, Function const& function)
{
  for (std::uint32_t hash : fleet.MeasuredRows) {
    auto found = fleet.ByHash.find(hash);
    if (found != fleet.ByHash.end() &&
        fleet.Rows[found->second].Speed.IsListed) {
      function(fleet.Rows[found->second]);
    }
  }
}

} // namespace

gsJson gsSpeedStatus(gsFleet const& fleet, gsTime now)
{
  gsJson rows = gsJson::array();
  ForEachMeasured(fleet, [&](gsFleetRow const& row) {
    gsEngineSpeedState const& state = row.Speed;
    auto service = fleet.ServiceSpeeds.find(row.Listed.Service);
    double pauseMillis =
      service == fleet.ServiceSpeeds.end() ? 0 : service->second.PauseMillis;
    gsJson age;
    if (state.Measured > 0) {
      age = std::chrono::duration_cast<gsMilliseconds>(now - state.MeasuredAt)
              .count();
    }
    rows.push_back({ { "upstream", row.Listed.Id },
                     { "service", row.Listed.Service },
                     { "state", gsSpeedStateName(row) },
                     { "speed", state.Decided },
                     { "measured", NumberOrNull(state.Measured) },
                     { "age_ms", age },
                     { "own", NumberOrNull(state.Own) },
                     { "reported", NumberOrNull(state.Reported) },
                     { "samples", state.Samples.size() },
                     { "home_weight", gsHomeWeightOf(fleet, row, now) },
                     { "pause_ms", NumberOrNull(pauseMillis / state.Decided) },
                     { "in_use", gsUsesEngineSpeed(fleet) } });
  });
  return rows;
}

void gsWriteSpeedGauges(gsMetrics& metrics, gsFleet const& fleet,
                        std::uint64_t changes)
{
  if (!gsIsActive(fleet.Settings.EngineSpeed)) {
    return;
  }
  struct Group
  {
    double SpeedSum = 0;
    double Count = 0;
    double MeasuredCount = 0;
  };
  std::map<std::pair<std::string, std::string>, Group> groups;
  ForEachMeasured(fleet, [&groups](gsFleetRow const& row) {
    Group& group = groups[{ row.Listed.Service, gsSpeedStateName(row) }];
    group.Count += 1;
    group.SpeedSum += row.Speed.Measured;
    group.MeasuredCount += row.Speed.Measured > 0 ? 1 : 0;
  });
  metrics.RemoveValues("gradescale_engine_speed");
  metrics.RemoveValues("gradescale_engines_by_speed");
  for (auto const& [key, group] : groups) {
    std::string const labels =
      gsLabels({ { "service", key.first }, { "class", key.second } });
    metrics.Set("gradescale_engines_by_speed", labels, group.Count);
    if (group.MeasuredCount > 0) {
      metrics.Set("gradescale_engine_speed", labels,
                  group.SpeedSum / group.MeasuredCount);
    }
  }
  metrics.Set("gradescale_engine_speed_changes_total", {},
              static_cast<double>(changes));
}
