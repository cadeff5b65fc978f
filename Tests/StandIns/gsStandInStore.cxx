/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Stand-in for the users' platform's store, as far as the routed mode uses
 * it: reading a table, watching it and writing rows on a condition; and for
 * the platform's calls on duties, whose checks it makes: fencing tokens, one
 * count a window, one holder at a time. Its own calls are POST /put
 * {"table", "key", "value": JSON} or, with any bytes, {"table", "key",
 * "base64": TEXT}, POST /remove {"table", "key"}, all answered with the row's
 * version, and POST /control
 * {"mode": "pass" | "silent" | "busy" | "forget"}; forget drops the history
 * once, so that every watch gets 410. GET /duties tells what was reported and
 * ordered, who held the duty last, and what broke a rule.
 */
#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <openssl/evp.h>

#include "gsStandIn.h"

namespace {

using Exchange = std::shared_ptr<gsHttpExchange>;

struct Row
{
  std::string Value; ///< Base64.
  std::uint64_t Version = 0;
  bool Gone = false;
};

struct Waiter
{
  Exchange Call;
  std::string Table;
  std::uint64_t After = 0;
  gsTime Until{};
};

std::string Encode(std::string const& bytes)
{
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<unsigned char const*>(bytes.data()),
                    static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

/** The store's steady clock. */
std::int64_t NowMillis()
{
  return std::chrono::duration_cast<gsMilliseconds>(gsLoop::Now()).count();
}

/** The platform's calls on duties, and what they may not do. */
class DutyCalls
{
public:
  void OnCall(gsHttpExchange& exchange)
  {
    std::string holder(exchange.Header("Gradescale-Duty-Holder"));
    std::uint64_t token =
      std::stoull(std::string(exchange.Header("Gradescale-Fencing-Token")));
    gsJson body = gsJson::parse(exchange.Body);
    bool usage = exchange.Path == "/usage-reports";
    std::string subject = usage ? "usage"
                                : body["service"].get<std::string>() + "/" +
                                    body["zone"].get<std::string>();
    if (token < this->Highest[subject]) {
      ++this->Refused;
      gsAnswerJson(exchange,
                   { { "error", "a higher fencing token was seen" } }, 409);
      return;
    }
    this->Highest[subject] = token;
    this->NoteHolder(holder, token);
    if (usage) {
      this->Report(body);
    } else {
      this->Orders.push_back(body);
    }
    gsAnswerJson(exchange, gsJson::object());
  }

  gsJson Told() const
  {
    return { { "reports", this->Reports },
             { "orders", this->Orders },
             { "holder", this->Holder },
             { "refused", this->Refused },
             { "broken", this->Broken } };
  }

private:
  void Report(gsJson const& body)
  {
    std::string window = std::to_string(body["window_number"].get<int64_t>());
    bool first = !this->Reports.contains(window);
    if (!first && this->Reports[window] != body["instance_counts"]) {
      this->Broken.push_back("two counts for window " + window);
    }
    if (first) {
      this->Reports[window] = body["instance_counts"];
    }
  }

  void NoteHolder(std::string const& holder, std::uint64_t token)
  {
    gsTime now = gsLoop::Now();
    std::string const& sender =
      this->Senders.emplace(token, holder).first->second;
    if (sender != holder) {
      this->Broken.push_back("one token of two holders");
    }
    constexpr gsTime lease = gsMilliseconds(3000);
    auto last = this->Last.find(holder);
    bool again = holder != this->Holder && last != this->Last.end();
    if (again && now - last->second < lease) {
      this->Broken.push_back("holders took turns within the lease's time");
    }
    this->Holder = holder;
    this->Last[holder] = now;
  }

  std::map<std::string, std::uint64_t> Highest; ///< Token, by subject.
  std::map<std::uint64_t, std::string> Senders; ///< By token.
  std::map<std::string, gsTime> Last;           ///< By holder.
  std::string Holder;
  int Refused = 0; ///< Calls with a token that was overtaken.
  gsJson Reports = gsJson::object();
  gsJson Orders = gsJson::array();
  gsJson Broken = gsJson::array();
};

class Store
{
public:
  explicit Store(gsLoop& loop)
    : Timer(loop, [this] { this->Expire(); })
  {
    constexpr gsTime period = gsMilliseconds(20);
    this->Timer.Every(period);
  }

  void OnExchange(Exchange const& exchange)
  {
    if (exchange->Path == "/control") {
      this->Control(gsJson::parse(exchange->Body)["mode"]);
      gsAnswerJson(*exchange, gsJson::object());
    } else if (exchange->Path == "/put" || exchange->Path == "/remove") {
      this->Write(*exchange, exchange->Path == "/remove");
    } else if (exchange->Path == "/duties") {
      gsAnswerJson(*exchange, this->Duties.Told());
    } else if (this->Mode == "silent") {
      this->Lost.push_back(exchange);
    } else if (this->Mode == "busy") {
      gsAnswerJson(*exchange, gsJson::object(), 503);
    } else if (exchange->Path == "/api/rows-get") {
      this->Read(*exchange);
    } else if (exchange->Path == "/api/rows-feed") {
      this->Watch(exchange);
    } else if (exchange->Path == "/api/rows-tx") {
      this->Transact(*exchange);
    } else if (exchange->Path == "/usage-reports" ||
               exchange->Path == "/scale") {
      this->Duties.OnCall(*exchange);
    } else {
      gsAnswerJson(*exchange, gsJson::object(), 404);
    }
  }

private:
  static gsJson RowJson(std::string const& table, std::string const& key,
                        Row const& row)
  {
    gsJson json{ { "table", table },
                 { "part", "" },
                 { "tls_key", key },
                 { "ver", row.Version } };
    if (row.Gone) {
      json["gone"] = true;
    } else {
      json["value"] = row.Value;
    }
    return json;
  }

  gsJson Above(std::string const& table, std::uint64_t after, bool gone) const
  {
    gsJson rows = gsJson::array();
    auto found = this->Tables.find(table);
    if (found == this->Tables.end()) {
      return rows;
    }
    for (auto const& [key, row] : found->second) {
      if (row.Version > after && (gone || !row.Gone)) {
        rows.push_back(RowJson(table, key, row));
      }
    }
    std::sort(rows.begin(), rows.end(), [](auto const& a, auto const& b) {
      return a["ver"] < b["ver"];
    });
    return rows;
  }

  void Control(std::string const& mode)
  {
    if (mode == "forget") {
      this->Oldest = this->Version;
      for (Waiter const& waiter : this->Waiters) {
        gsAnswerJson(*waiter.Call, gsJson::object(), 410);
      }
      this->Waiters.clear();
      return;
    }
    this->Mode = mode;
    if (mode == "silent") {
      for (Waiter const& waiter : this->Waiters) {
        this->Lost.push_back(waiter.Call);
      }
      this->Waiters.clear();
    }
  }

  void Write(gsHttpExchange& exchange, bool remove)
  {
    gsJson body = gsJson::parse(exchange.Body);
    Row& row = this->Tables[body["table"]][body["key"]];
    row.Version = ++this->Version;
    row.Gone = remove;
    row.Value = body.contains("base64") ? body["base64"].get<std::string>()
                : remove                ? std::string()
                                        : Encode(body["value"].dump());
    gsAnswerJson(exchange, { { "ver", this->Version } });
    this->Notify();
  }

  /** Writes all rows, if each expected one has its version. */
  void Transact(gsHttpExchange& exchange)
  {
    gsJson body = gsJson::parse(exchange.Body);
    gsJson current = gsJson::array();
    bool holds = true;
    for (gsJson const& name : body["expected_rev"]) {
      Row const& row = this->Tables[name["table"]][name["tls_key"]];
      std::uint64_t version = row.Gone ? 0 : row.Version;
      holds = holds && version == name["ver"];
      if (version != 0) {
        current.push_back(RowJson(name["table"], name["tls_key"], row));
      }
    }
    if (!holds) {
      gsAnswerJson(exchange,
                   { { "records", current }, { "ver", this->Version } }, 412);
      return;
    }
    ++this->Version;
    for (gsJson const& put : body["put"]) {
      this->Tables[put["table"]][put["tls_key"]] = { put["value"],
                                                     this->Version, false };
    }
    for (gsJson const& name : body["remove"]) {
      this->Tables[name["table"]][name["tls_key"]] = { {},
                                                       this->Version,
                                                       true };
    }
    gsAnswerJson(exchange,
                 { { "ver", this->Version }, { "now_ms", NowMillis() } });
    this->Notify();
  }

  void Read(gsHttpExchange& exchange) const
  {
    gsAnswerJson(
      exchange,
      { { "records",
          this->Above(std::string(exchange.Query("table")), 0, false) },
        { "more", false },
        { "ver", this->Version },
        { "now_ms", NowMillis() } });
  }

  void Watch(Exchange const& exchange)
  {
    Waiter waiter;
    waiter.Call = exchange;
    waiter.Table = exchange->Query("table");
    waiter.After = std::stoull(std::string(exchange->Query("after")));
    waiter.Until =
      gsLoop::Now() +
      gsMilliseconds(std::stoull(std::string(exchange->Query("wait_ms"))));
    if (waiter.After < this->Oldest) {
      gsAnswerJson(*exchange, gsJson::object(), 410);
      return;
    }
    this->Waiters.push_back(waiter);
    this->Notify();
  }

  void Notify()
  {
    std::vector<Waiter> waiting;
    for (Waiter& waiter : this->Waiters) {
      gsJson rows = this->Above(waiter.Table, waiter.After, true);
      if (rows.empty()) {
        waiting.push_back(std::move(waiter));
        continue;
      }
      gsAnswerJson(*waiter.Call, { { "records", rows },
                                   { "ver", this->Version },
                                   { "now_ms", NowMillis() } });
    }
    this->Waiters = std::move(waiting);
  }

  void Expire()
  {
    std::vector<Waiter> waiting;
    for (Waiter& waiter : this->Waiters) {
      if (waiter.Until > gsLoop::Now()) {
        waiting.push_back(std::move(waiter));
        continue;
      }
      gsAnswerJson(*waiter.Call, { { "records", gsJson::array() },
                                   { "ver", this->Version },
                                   { "now_ms", NowMillis() } });
    }
    this->Waiters = std::move(waiting);
  }

  gsTimer Timer;
  std::string Mode = "pass";
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::uint64_t Version = 0;
  std::uint64_t Oldest = 0; ///< Watches from before it get 410.
  std::vector<Waiter> Waiters;
  std::vector<Exchange> Lost; ///< Never answered.
  DutyCalls Duties;
};

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Stand-in for the platform's store.");
  std::string listen;
  app.add_option("--listen", listen, "IP:port.")->required();
  CLI11_PARSE(app, argc, argv);
  gsLoop loop;
  Store store(loop);
  return gsServe(loop, listen, [&store](Exchange const& exchange) {
    store.OnExchange(exchange);
  });
}
