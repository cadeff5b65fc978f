/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Stand-in for the platform: a table with transactions and a host list, and
 * faults on demand by POST /control with any of
 *   {"mode": "up" | "down" | "hang", "delay_ms": N, "lose_answers": N,
 *    "hosts": [...], "leaving_upstreams": [...]}.
 * A lost answer is one whose transaction has taken effect.
 */
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "gsPlatform.h"
#include "gsStandIn.h"

namespace {

using Exchange = std::shared_ptr<gsHttpExchange>;

struct Platform
{
  gsLoop& Loop;
  std::map<std::string, std::string> Table;
  gsJson Hosts = gsJson::array();
  gsJson LeavingUpstreams = gsJson::array();
  std::string Mode = "up";
  gsTime Delay{};
  int LoseAnswers = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::vector<Exchange> Hanging;
  std::vector<std::unique_ptr<gsTimer>> Timers;

  explicit Platform(gsLoop& loop)
    : Loop(loop)
  {
  }

  void Control(Exchange const& exchange)
  {
    gsJson body = gsJson::parse(exchange->Body, nullptr, false);
    if (!body.is_object()) {
      gsAnswerJson(*exchange, { { "error", "expected an object" } }, 400);
      return;
    }
    this->Mode = body.value("mode", this->Mode);
    this->Delay =
      gsMilliseconds(body.value("delay_ms", this->Delay.count() / 1000));
    this->LoseAnswers = body.value("lose_answers", this->LoseAnswers);
    this->Hosts = body.value("hosts", this->Hosts);
    this->LeavingUpstreams =
      body.value("leaving_upstreams", this->LeavingUpstreams);
    gsAnswerJson(*exchange, { { "mode", this->Mode } });
  }

  /** Cuts the connection in place of an answer. */
  static void Lose(Exchange const& exchange)
  {
    exchange->BeginStream(200, {});
    exchange->Abort();
  }

  void Transact(Exchange const& exchange)
  {
    auto ops = gsOpsFromJson(exchange->Body);
    if (!ops) {
      gsAnswerJson(*exchange, { { "error", ops.error().Message } }, 400);
      return;
    }
    bool writes = false;
    for (gsTableOperation const& op : ops.value()) {
      writes = writes || op.OperationKind != gsTableOperation::Kind::Get;
    }
    ++(writes ? this->Writes : this->Reads);
    std::string answer =
      gsResultsToJson(gsApplyToTable(this->Table, ops.value()));
    if (writes && this->LoseAnswers > 0) {
      --this->LoseAnswers;
      Lose(exchange);
      return;
    }
    exchange->Respond(200, { { "Content-Type", "application/json" } }, answer);
  }

  void Serve(Exchange const& exchange)
  {
    if (exchange->Path == "/table") {
      this->Transact(exchange);
    } else if (exchange->Path == "/hosts") {
      gsAnswerJson(*exchange,
                   { { "hosts", this->Hosts },
                     { "leaving_upstreams", this->LeavingUpstreams } });
    } else {
      gsAnswerJson(*exchange, { { "error", "unknown path" } }, 404);
    }
  }

  void OnExchange(Exchange const& exchange)
  {
    if (exchange->Path == "/control") {
      this->Control(exchange);
    } else if (exchange->Path == "/dump") {
      gsAnswerJson(*exchange, { { "table", this->Table },
                                { "reads", this->Reads },
                                { "writes", this->Writes } });
    } else if (this->Mode == "down") {
      Lose(exchange);
    } else if (this->Mode == "hang") {
      this->Hanging.push_back(exchange);
    } else if (this->Delay.count() > 0) {
      // The operation takes effect late, as on a slow service.
      this->Timers.push_back(std::make_unique<gsTimer>(
        this->Loop, [this, exchange] { this->Serve(exchange); }));
      this->Timers.back()->Once(this->Delay);
    } else {
      this->Serve(exchange);
    }
  }
};

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Stand-in for the platform's table and host list.");
  std::string listen;
  app.add_option("--listen", listen, "IP:port.")->required();
  CLI11_PARSE(app, argc, argv);
  gsLoop loop;
  Platform platform(loop);
  return gsServe(loop, listen, [&platform](Exchange const& exchange) {
    platform.OnExchange(exchange);
  });
}
