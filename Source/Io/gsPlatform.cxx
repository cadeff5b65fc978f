/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPlatform.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace {

using Json = nlohmann::json;

constexpr unsigned StatusOk = 200;

char const* KindWord(gsTableOperation::Kind kind)
{
  switch (kind) {
    case gsTableOperation::Kind::Insert:
      return "insert";
    case gsTableOperation::Kind::Get:
      return "get";
    case gsTableOperation::Kind::Replace:
      return "replace";
    case gsTableOperation::Kind::Delete:
      break;
  }
  return "delete";
}

gsResult<gsTableOperation::Kind> KindNamed(std::string const& word)
{
  for (gsTableOperation::Kind kind :
       { gsTableOperation::Kind::Insert, gsTableOperation::Kind::Get,
         gsTableOperation::Kind::Replace, gsTableOperation::Kind::Delete }) {
    if (word == KindWord(kind)) {
      return kind;
    }
  }
  return gsError{
    "bad_operation", "'" + word + "' is not a table operation.", "table", {}
  };
}

gsError BadAnswer(std::string const& what, std::string const& peer)
{
  return gsError{ "platform_answer", what, "platform", peer };
}

gsResult<gsHostList> HostsFromJson(std::string const& text,
                                   std::string const& peer)
{
  Json body = Json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("hosts")) {
    return BadAnswer("The host list is not as expected.", peer);
  }
  gsHostList list;
  for (Json const& row : body["hosts"]) {
    gsListedHost host;
    host.Host = row.value("host", "");
    host.Hall = row.value("hall", "");
    host.Address = row.value("address", "");
    host.Leaving = row.value("leaving", false);
    list.Hosts.push_back(std::move(host));
  }
  for (Json const& name : body.value("leaving_upstreams", Json::array())) {
    list.LeavingUpstreams.push_back(name.get<std::string>());
  }
  return list;
}

gsError Unreached(gsAnswer const& answer, std::string const& peer)
{
  std::string what = answer.End.IsWhole()
                       ? "The platform answered with status " +
                           std::to_string(answer.End.Status) + "."
                       : "The platform gave no answer: " + answer.End.Error;
  return gsError{ "platform_unavailable", what, "platform", peer };
}

} // namespace

std::string gsOpsToJson(std::vector<gsTableOperation> const& ops)
{
  Json list = Json::array();
  for (gsTableOperation const& op : ops) {
    Json row{ { "op", KindWord(op.OperationKind) }, { "key", op.Key } };
    if (op.OperationKind == gsTableOperation::Kind::Insert ||
        op.OperationKind == gsTableOperation::Kind::Replace) {
      row["value"] = op.Value;
    }
    if (op.OperationKind == gsTableOperation::Kind::Replace ||
        op.OperationKind == gsTableOperation::Kind::Delete) {
      row["expected"] = op.Expected;
    }
    list.push_back(std::move(row));
  }
  return Json{ { "ops", std::move(list) } }.dump();
}

gsResult<std::vector<gsTableOperation>> gsOpsFromJson(std::string_view text)
{
  Json body = Json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("ops")) {
    return gsError{
      "bad_request", "Expected an object with 'ops'.", "table", {}
    };
  }
  std::vector<gsTableOperation> ops;
  for (Json const& row : body["ops"]) {
    gsResult<gsTableOperation::Kind> kind = KindNamed(row.value("op", ""));
    if (!kind) {
      return kind.error();
    }
    ops.push_back({ kind.value(), row.value("key", ""), row.value("value", ""),
                    row.value("expected", "") });
  }
  return ops;
}

std::string gsResultsToJson(std::vector<gsTableResult> const& results)
{
  Json list = Json::array();
  for (gsTableResult const& result : results) {
    Json row{ { "done", result.Applied } };
    if (result.CurrentValue) {
      row["current"] = *result.CurrentValue;
    }
    list.push_back(std::move(row));
  }
  return Json{ { "results", std::move(list) } }.dump();
}

gsResult<std::vector<gsTableResult>> gsResultsFromJson(std::string_view text)
{
  Json body = Json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("results")) {
    return BadAnswer("The results are not as expected.", {});
  }
  std::vector<gsTableResult> results;
  for (Json const& row : body["results"]) {
    gsTableResult result;
    result.Applied = row.value("done", false);
    if (row.contains("current")) {
      result.CurrentValue = row["current"].get<std::string>();
    }
    results.push_back(std::move(result));
  }
  return results;
}

gsPlatform gsMakeHttpPlatform(gsHttpClient& client,
                              gsHttpPlatformSettings const& settings)
{
  gsPlatform platform;
  auto make = [settings](char const* method, char const* path) {
    gsCall call;
    call.Method = method;
    call.Url = "http://" + settings.Address + path;
    call.Headers = { { "Authorization", "Bearer " + settings.Token },
                     { "Content-Type", "application/json" } };
    call.TotalTimeout = settings.Timeout;
    call.Reuse = true;
    return call;
  };
  std::string peer = settings.Address;
  platform.Transact = [&client, make, peer](
                        std::vector<gsTableOperation> const& ops,
                        std::function<void(gsPlatform::Results const&)> done) {
    gsCall call = make("POST", "/table");
    call.Body = gsOpsToJson(ops);
    std::size_t count = ops.size();
    gsFetch(client, std::move(call),
            [done = std::move(done), peer, count](gsAnswer const& answer) {
              if (!answer.End.IsWhole() || answer.End.Status != StatusOk) {
                done(Unreached(answer, peer));
                return;
              }
              gsPlatform::Results results = gsResultsFromJson(answer.Body);
              if (results && results.value().size() != count) {
                done(BadAnswer("The number of results is wrong.", peer));
                return;
              }
              done(results);
            });
  };
  platform.ListHosts =
    [&client, make,
     peer](std::function<void(gsResult<gsHostList> const&)> done) {
      gsFetch(client, make("GET", "/hosts"),
              [done = std::move(done), peer](gsAnswer const& answer) {
                if (!answer.End.IsWhole() || answer.End.Status != StatusOk) {
                  done(Unreached(answer, peer));
                  return;
                }
                done(HostsFromJson(answer.Body, peer));
              });
    };
  return platform;
}

std::vector<gsTableResult> gsApplyToTable(
  std::map<std::string, std::string>& table,
  std::vector<gsTableOperation> const& ops)
{
  std::vector<gsTableResult> results;
  for (gsTableOperation const& op : ops) {
    gsTableResult result;
    auto row = table.find(op.Key);
    bool matches = row != table.end() && row->second == op.Expected;
    if (op.OperationKind == gsTableOperation::Kind::Insert &&
        row == table.end()) {
      table[op.Key] = op.Value;
      result.Applied = true;
    } else if (op.OperationKind == gsTableOperation::Kind::Replace &&
               matches) {
      row->second = op.Value;
      result.Applied = true;
    } else if (op.OperationKind == gsTableOperation::Kind::Delete && matches) {
      table.erase(row);
      result.Applied = true;
    }
    row = table.find(op.Key);
    if (row != table.end()) {
      result.CurrentValue = row->second;
    }
    results.push_back(std::move(result));
  }
  return results;
}

gsPlatform gsMakeMemoryPlatform(gsLoop& loop)
{
  auto table = std::make_shared<std::map<std::string, std::string>>();
  gsPlatform platform;
  platform.Transact =
    [&loop, table](std::vector<gsTableOperation> const& ops,
                   std::function<void(gsPlatform::Results const&)> done) {
      std::vector<gsTableResult> results = gsApplyToTable(*table, ops);
      loop.Defer([done = std::move(done), results = std::move(results)] {
        done(results);
      });
    };
  platform.ListHosts =
    [&loop](std::function<void(gsResult<gsHostList> const&)> done) {
      loop.Defer([done = std::move(done)] { done(gsHostList{}); });
    };
  return platform;
}
