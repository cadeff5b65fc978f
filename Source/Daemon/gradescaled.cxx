/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The daemon of a host. It reads the settings, runs a node, and stops the node
 * on SIGTERM or SIGINT. With a platform table in the settings it runs a
 * gsRouteNode, which reloads its settings on SIGHUP, otherwise a gsNode.
 */
#include <csignal>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <curl/curl.h>

#include "gsLog.h"
#include "gsLoop.h"
#include "gsNode.h"
#include "gsProcess.h"
#include "gsRouteNode.h"
#include "gsSettings.h"

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;

template<typename Node>
int RunNode(gsLoop& loop, Node& node)
{
  gsResult<bool> started = node.Start();
  if (!started) {
    std::cerr << "gradescaled: " << started.error().Message << '\n';
    return ExitFailed;
  }
  gsSignalWatch term(loop, SIGTERM, [&node] { node.Stop(); });
  gsSignalWatch interrupt(loop, SIGINT, [&node] { node.Stop(); });
  loop.Run();
  return 0;
}

int Run(gsSettings settings, std::string const& path)
{
  gsLogSetUp(gsLogLevelNamed(settings.LogLevel));
  gsLoop loop;
  if (!settings.Platform.Table) {
    gsNode node(loop, std::move(settings));
    return RunNode(loop, node);
  }
  gsRouteNode node(loop, std::move(settings), path, gsMakeAdapter());
  gsSignalWatch hangUp(loop, SIGHUP, [&node] { node.Reload("signal"); });
  return RunNode(loop, node);
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Routes language-model requests to upstreams by service level "
               "and priority.",
               "gradescaled");
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "Settings file: JSON with comments.")
    ->required();
  app.add_flag("--check", check, "Check the settings file and stop.");
  app.set_version_flag("--version",
                       std::string("gradescaled ") + GRADESCALE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (CLI::ParseError const& error) {
    return app.exit(error) == 0 ? 0 : ExitUsage;
  }
  gsResult<gsSettings> settings = gsSettingsFromFile(path);
  if (!settings) {
    std::cerr << "gradescaled: " << settings.error().Message << '\n';
    return ExitUsage;
  }
  if (check) {
    std::cout << path << ": the settings are valid.\n";
    return 0;
  }
  if (!gsLoop::HasClock()) {
    std::cerr << "gradescaled: the kernel has no clock that counts suspended "
                 "time (CLOCK_BOOTTIME); leases and deadlines need it.\n";
    return ExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  gsConfigureHeap();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return Run(std::move(settings.value()), path);
}
