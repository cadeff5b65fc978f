/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsToolShow.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include "gsTable.h"

int gsShowHalls(gsToolOptions const& options)
{
  gsResult<gsJson> rows = gsCallOperator(options.Operator, "GET", "/v1/halls");
  if (!rows) {
    return gsToolFail(rows.error());
  }
  gsPrintRows(options, rows.value(),
              { "hall", "hosts", "coordinators", "heard_ms", "in_touch",
                "evacuated_ms" });
  return 0;
}

int gsShowLimits(gsToolOptions const& options)
{
  gsResult<gsJson> rows =
    gsCallOperator(options.Operator, "GET", "/v1/limits");
  if (!rows) {
    return gsToolFail(rows.error());
  }
  gsPrintRows(options, rows.value(),
              { "upstream", "resource", "per_second", "slots", "ended",
                "version", "age_ms", "tokens", "in_use", "issued_open",
                "waiting", "lent", "lent_to", "expected_wait_ms", "used",
                "without_token", "rejected", "lapsed", "issued" });
  return gsToolOk;
}

int gsShowPrefixes(gsToolOptions const& options)
{
  gsResult<gsJson> rows =
    gsCallOperator(options.Operator, "GET", "/v1/prefixes");
  if (!rows) {
    return gsToolFail(rows.error());
  }
  gsPrintRows(options, rows.value(),
              { "service", "subject", "tokens", "demand", "needed", "serving",
                "reading", "holding", "used_ms" });
  return gsToolOk;
}

int gsShowSpeeds(gsToolOptions const& options)
{
  gsResult<gsJson> rows =
    gsCallOperator(options.Operator, "GET", "/v1/speeds");
  if (!rows) {
    return gsToolFail(rows.error());
  }
  gsPrintRows(options, rows.value(),
              { "upstream", "service", "state", "speed", "measured", "age_ms",
                "own", "reported", "samples", "home_weight", "pause_ms",
                "in_use" });
  return gsToolOk;
}

int gsShowMemory(gsToolOptions const& options)
{
  gsResult<gsJson> status =
    gsCallOperator(options.Operator, "GET", "/v1/memory");
  if (!status) {
    return gsToolFail(status.error());
  }
  gsPrintRows(options, gsJson::array({ status.value() }),
              { "mode", "limit_bytes", "held_bytes", "peak_bytes", "bodies",
                "expected", "answers", "events", "partial", "uploads",
                "fetched", "paused_streams", "refused", "ended_stalled",
                "ended_over_budget", "ended_uploads", "ended_answers" });
  return gsToolOk;
}

int gsShowOverload(gsToolOptions const& options)
{
  gsResult<gsJson> rows =
    gsCallOperator(options.Operator, "GET", "/v1/overload");
  if (!rows) {
    return gsToolFail(rows.error());
  }
  gsPrintRows(options, rows.value(),
              { "service", "tier", "pressure", "congestion", "demand_ms",
                "admitted_share", "waiting", "backlog_ms", "engines",
                "correction", "others_age_ms" });
  return gsToolOk;
}

int gsShowDuties(gsToolOptions const& options)
{
  gsResult<gsJson> status =
    gsCallOperator(options.Operator, "GET", "/v1/duties");
  if (!status) {
    return gsToolFail(status.error());
  }
  gsPrintRows(options, gsJson::array({ status.value() }),
              { "holder", "holds", "token", "seen_ms", "windows_reported",
                "windows_due", "next_window", "last_refusal" });
  return 0;
}

int gsShowQuarantine(gsToolOptions const& options)
{
  gsResult<gsJson> rows =
    gsCallOperator(options.Operator, "GET", "/v1/quarantine");
  if (!rows) {
    return gsToolFail(rows.error());
  }
  gsPrintRows(
    options, rows.value(),
    { "fingerprint", "treated", "crashes", "changed_ms", "left_ms" });
  return gsToolOk;
}

int gsClearQuarantine(gsToolOptions const& options,
                      std::string const& fingerprint)
{
  gsResult<gsJson> cleared = gsCallOperator(options.Operator, "DELETE",
                                            "/v1/quarantine/" + fingerprint);
  if (!cleared) {
    return gsToolFail(cleared.error());
  }
  std::cout << "cleared " << fingerprint << '\n';
  return gsToolOk;
}

int gsShowStatus(gsToolOptions const& options)
{
  gsResult<gsJson> status =
    gsCallOperator(options.Operator, "GET", "/v1/status");
  if (!status) {
    return gsToolFail(status.error());
  }
  gsJson const& body = status.value();
  if (gsWantsJson(options)) {
    std::cout << body.dump(2) << '\n';
    return gsToolOk;
  }
  std::cout << "host " << gsCellText(body["host"]) << " in hall "
            << gsCellText(body["hall"]) << ", "
            << (body["ready"].get<bool>() ? "ready" : "not ready")
            << ", configuration version " << gsCellText(body["config_version"])
            << ", " << gsCellText(body["open_requests"])
            << " open requests\n\n";
  gsPrintRows(options, body["members"],
              { "hall", "host", "state", "config_version" });
  std::vector<std::vector<std::string>> rows;
  for (gsJson const& pool : body["pools"]) {
    for (gsJson const& row : pool["upstreams"]) {
      rows.push_back(
        { gsCellText(pool["name"]), gsCellText(pool["dispatcher"]),
          gsCellText(pool["waiting_by_tier"]), gsCellText(row["name"]),
          gsCellText(row["running"]) + "/" + gsCellText(row["limit"]),
          gsCellText(row["health"]),
          row["leaving"].get<bool>() ? "leaving" : "active" });
    }
  }
  std::cout << '\n'
            << gsFormatTable({ "pool", "dispatcher", "waiting by tier",
                               "upstream", "running", "health", "state" },
                             rows);
  return gsToolOk;
}

int gsShowTable(gsToolOptions const& options, char const* table,
                std::vector<std::string> const& fields)
{
  gsResult<gsJson> config =
    gsCallOperator(options.Operator, "GET", "/v1/config");
  if (!config) {
    return gsToolFail(config.error());
  }
  gsJson rows = config.value()[table];
  gsPrintRows(options, rows, fields);
  return gsToolOk;
}

int gsShowConfig(gsToolOptions const& options)
{
  gsResult<gsJson> config =
    gsCallOperator(options.Operator, "GET", "/v1/config");
  if (!config) {
    return gsToolFail(config.error());
  }
  std::cout << config.value().dump(2) << '\n';
  return gsToolOk;
}

int gsDiffConfig(gsToolOptions const& options, std::string const& path)
{
  gsResult<gsDocument> document = gsReadDocumentFile(path);
  if (!document) {
    return gsToolFail(document.error());
  }
  gsResult<gsJson> config =
    gsCallOperator(options.Operator, "GET", "/v1/config");
  if (!config) {
    return gsToolFail(config.error());
  }
  gsJson wanted = gsToJson(document.value());
  for (char const* table : { "templates", "organisations", "upstreams" }) {
    for (gsJson row : wanted[table]) {
      gsJson known;
      for (gsJson const& candidate : config.value()[table]) {
        if (candidate["name"] == row["name"]) {
          known = candidate;
        }
      }
      if (known.is_null()) {
        std::cout << "+ " << table << ' ' << gsCellText(row["name"]) << '\n';
        continue;
      }
      for (auto const& [field, value] : row.items()) {
        if (field != "revision" && known[field] != value) {
          std::cout << "~ " << table << ' ' << gsCellText(row["name"]) << ' '
                    << field << ": " << known[field].dump() << " -> "
                    << value.dump() << '\n';
        }
      }
    }
  }
  return gsToolOk;
}
