/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What the stand-in programs share: running a server until a signal, and
 * answers in JSON.
 */
#pragma once

#include <csignal>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "gsHttpServer.h"
#include "gsLoop.h"

using gsJson = nlohmann::json;

inline void gsAnswerJson(gsHttpExchange& exchange, gsJson const& body,
                         unsigned status = 200)
{
  exchange.Respond(status, { { "Content-Type", "application/json" } },
                   body.dump());
}

/** Serves until SIGTERM or SIGINT. */
inline int gsServe(gsLoop& loop, std::string const& address,
                   gsHttpServer::Handler handler)
{
  std::signal(SIGPIPE, SIG_IGN);
  gsHttpServerSettings settings;
  settings.Address = address;
  settings.MaxConnections = 8192;
  settings.MaxConnectionsPerIp = 8192;
  settings.MaxBody = 16U << 20U;
  auto server = gsHttpServer::Start(loop, settings, std::move(handler));
  if (!server) {
    std::cerr << server.error().Message << '\n';
    return 1;
  }
  gsSignalWatch term(loop, SIGTERM, [&loop] { loop.Stop(); });
  gsSignalWatch interrupt(loop, SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
