/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsConnectionGuard.h"

#include <cstdio>
#include <utility>

#include "gsHttpStatus.h"
#include "gsLog.h"

namespace {

/** Time without a sweep after which the process is assumed to have stood
 * still, so that nothing is known of its callers' pauses. */
constexpr gsTime StandstillTime = gsMilliseconds(600);
constexpr double MaxRetryAfterFactor = 1.5;

std::string RefusalBody()
{
  return R"({"error":{"code":"overloaded","message":"The request was not )"
         R"(run: it did not come in whole while this host was short of )"
         R"(memory or connections; come back later.","step":"read"}})";
}

} // namespace

gsConnectionGuard::gsConnectionGuard(std::vector<gsHttpServer*> servers,
                                     gsTime minRetryAfter, std::uint64_t seed)
  : Servers(std::move(servers))
  , MinRetryAfter(minRetryAfter)
  , Random(seed)
{
}

void gsConnectionGuard::Sweep(gsMemoryShortage const& memory, gsTime now)
{
  bool stoodStill =
    this->SweptAt.count() != 0 && now - this->SweptAt > StandstillTime;
  this->SweptAt = now;
  if (stoodStill) {
    for (gsHttpServer* server : this->Servers) {
      server->RestartIdleTimes(now);
    }
    return;
  }
  for (gsHttpServer* server : this->Servers) {
    this->Shed({ server }, "connections",
               gsFindConnectionShortage(server->OpenConnections(),
                                        server->MaxConnections()),
               now);
  }
  this->Shed(
    this->Servers, "memory",
    gsFindConnectionShortage(memory, this->Servers.front()->ConnectionBytes()),
    now);
}

/** Closes connections of some servers and logs how many. */
void gsConnectionGuard::Shed(std::vector<gsHttpServer*> const& servers,
                             char const* cause,
                             gsConnectionShortage const& shortage, gsTime now)
{
  if (shortage.IsNone()) {
    return;
  }
  std::vector<std::pair<gsHttpServer*, gsPendingCaller>> callers;
  std::vector<gsWaitingConnection> connections;
  for (gsHttpServer* server : servers) {
    for (gsPendingCaller const& caller : server->PendingCallers()) {
      callers.emplace_back(server, caller);
      connections.push_back({ caller.IsResting ? gsConnectionPhase::Resting
                                               : gsConnectionPhase::Unfinished,
                              caller.ProgressAt });
    }
  }
  std::uniform_real_distribution<double> draw(1, MaxRetryAfterFactor);
  std::string const refusal =
    gsFormatAnswer(gsStatusUnavailable,
                   { { "Content-Type", "application/json" },
                     gsRetryAfterHeader(draw(this->Random) *
                                        gsToSeconds(this->MinRetryAfter)) },
                   RefusalBody());
  std::uint64_t unfinished = 0;
  std::uint64_t resting = 0;
  for (std::size_t index : gsSelectConnections(shortage, connections, now)) {
    auto const& [server, caller] = callers[index];
    if (server->ClosePending(caller, refusal)) {
      ++(caller.IsResting ? resting : unfinished);
    }
  }
  this->ClosedUnfinished += unfinished;
  this->ClosedResting += resting;
  if (unfinished + resting > 0) {
    gsLogLine("connections_shed", gsLogLevel::Warn)
      .With("cause", cause)
      .With("listener", servers.size() == 1 ? servers[0]->Address() : "all")
      .With("unfinished", unfinished)
      .With("resting", resting)
      .With("pending", std::uint64_t(callers.size()))
      .With("severe", shortage.IsSevere);
  }
}

void gsConnectionGuard::WriteGauges(gsMetrics& metrics) const
{
  std::size_t open = 0;
  for (gsHttpServer const* server : this->Servers) {
    open += server->OpenConnections();
  }
  metrics.Set("gradescale_connections", {}, static_cast<double>(open));
  metrics.Set("gradescale_connections_shed_total",
              gsLabels({ { "phase", "unfinished" } }),
              static_cast<double>(this->ClosedUnfinished));
  metrics.Set("gradescale_connections_shed_total",
              gsLabels({ { "phase", "resting" } }),
              static_cast<double>(this->ClosedResting));
}
