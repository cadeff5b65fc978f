/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRoutedSystem.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace {

constexpr gsTime CallTimeout = gsSeconds(30);
constexpr gsTime RouteTimeout = gsSeconds(6);

gsJson RouteJson(std::string const& name, std::string const& kind,
                 int attempts)
{
  return { { "name", name },
           { "host", "service.example" },
           { "path_prefix", "/" + name + "/" },
           { "kind", kind },
           { "timeout_ms", RouteTimeout.count() / 1000 },
           { "target_latency_ms", 300 },
           { "priority", 0 },
           { "service", "model" },
           { "max_attempts", attempts },
           { "resume_streams", name == "resume" },
           { "gap_aim_ms", kind == "streaming" ? 150 : 0 } };
}

} // namespace

gsRoutedSystem::gsRoutedSystem(gsRoutedPlan plan)
  : Plan(std::move(plan))
  , Client(std::make_unique<gsHttpClient>(Loop))
  , Piecewise(std::make_unique<gsPiecewiseCaller>(Loop))
  , Processes("gradescale-routed")
{
  this->AddProcesses();
  this->Processes.AddProxy();
  this->Processes.Launch("proxy");
  this->Processes.Launch("store");
  this->RunUntil([&] {
    std::string store = this->Processes.At("store").Address;
    return this->Fetch("POST", "http://" + store + "/control",
                       { { "mode", "pass" } }) == 200;
  });
  this->Configure({ "key-one", "key-two" });
  for (std::string const& name : this->RunnerNames) {
    this->Restart(name);
  }
  for (std::string const& name : this->HostNames) {
    this->Processes.Launch(name);
  }
  for (std::string const& name : this->HostNames) {
    this->WaitReady(name);
  }
}

gsRoutedSystem::~gsRoutedSystem() = default;

void gsRoutedSystem::AddProcesses()
{
  gsTestProcess& store = this->Processes["store"];
  store.Address = this->Processes.NewAddress();
  store.Arguments = { gsTestProgram("gsStandInStore"), "--listen",
                      store.Address };
  for (int i = 0; i < this->Plan.Runners; ++i) {
    std::string name = "runner" + std::to_string(i);
    gsTestProcess& runner = this->Processes[name];
    runner.Address = this->Processes.NewAddress();
    runner.Hall = this->HallOf(i);
    this->RunnerLinks[name] =
      this->Plan.DirectRunners || this->Plan.LinkPerHost
        ? runner.Address
        : this->Processes.Link("up:" + name, runner.Address);
    this->RunnerNames.push_back(name);
  }
  for (int i = 0; i < this->Plan.Hosts; ++i) {
    std::string name = "host" + std::to_string(i);
    gsTestProcess& host = this->Processes[name];
    host.Address = this->Processes.NewAddress();
    host.Operators = this->Processes.NewAddress();
    host.Hall = this->HallOf(i);
    host.MaxDescriptors = this->Plan.MaxDescriptors;
    this->PeerAddress[name] = this->Processes.NewAddress();
    this->ForwardAddress[name] = this->Processes.NewAddress();
    this->HostNames.push_back(name);
  }
  std::string const program = this->Plan.Program.empty()
                                ? gsTestProgram("gradescaled")
                                : this->Plan.Program;
  for (std::string const& name : this->HostNames) {
    std::string file = this->SettingsFile(name);
    std::ofstream(file) << this->Settings(name).dump(2);
    std::vector<std::string>& arguments = this->Processes[name].Arguments;
    arguments = { program, "--settings", file };
    if (this->Plan.Suspendable) {
      this->WriteSuspended(name);
      std::vector<std::string> const preload = {
        "/usr/bin/env", "LD_PRELOAD=" + gsTestProgram("gsStandInClock"),
        "GRADESCALE_SUSPENDED_FILE=" + this->SuspendedFile(name)
      };
      arguments.insert(arguments.begin(), preload.begin(), preload.end());
    }
  }
}

std::string gsRoutedSystem::SettingsFile(std::string const& host) const
{
  return this->Processes.Folder() + "/" + host + ".json";
}

std::string gsRoutedSystem::SuspendedFile(std::string const& host) const
{
  return this->Processes.Folder() + "/" + host + ".suspended";
}

/** The host has the file open: it is written anew, not replaced. */
void gsRoutedSystem::WriteSuspended(std::string const& host)
{
  std::int64_t const nanos = this->Suspended[host];
  std::ofstream(this->SuspendedFile(host), std::ios::binary)
    .write(reinterpret_cast<char const*>(&nanos), sizeof(nanos));
}

void gsRoutedSystem::Suspend(std::string const& host, double seconds,
                             std::function<void()> const& meanwhile)
{
  gsTime begin = gsLoop::Now();
  this->Signal(host, SIGSTOP);
  meanwhile();
  this->RunFor(std::max(0.0, seconds - gsToSeconds(gsLoop::Now() - begin)));
  std::int64_t& nanos = this->Suspended[host];
  nanos += std::chrono::nanoseconds(gsLoop::Now() - begin).count();
  this->WriteSuspended(host);
  this->Signal(host, SIGCONT);
}

/** Of the host or runner with this number. */
std::string gsRoutedSystem::HallOf(int number) const
{
  int hall = number % this->Plan.Halls;
  return hall == 0 ? "north" : "south" + std::to_string(hall);
}

gsJson gsRoutedSystem::Settings(std::string const& host)
{
  gsTestProcess const& process = this->Processes.At(host);
  gsJson routes = gsJson::object();
  gsJson seeds = gsJson::array();
  for (auto const& [other, address] : this->PeerAddress) {
    if (other != host) {
      std::string link = "peer:";
      link.append(host).append(">").append(other);
      routes[address] = this->Processes.Link(link, address, host, other);
      seeds.push_back(address);
    }
  }
  for (std::string const& address : this->Plan.FurtherSeeds) {
    seeds.push_back(address);
  }
  gsJson upstreams{ { "connect_timeout_ms", 300 } };
  for (std::string const& runner : this->RunnerNames) {
    if (this->Plan.LinkPerHost) {
      std::string const& address = this->Processes.At(runner).Address;
      std::string link = "up:";
      link.append(host).append(">").append(runner);
      upstreams["routes"][address] = this->Processes.Link(link, address);
    }
  }
  gsJson duties = gsJson::object();
  if (this->Plan.Duties) {
    duties = { { "address", this->Processes.At("store").Address },
               { "kinds", { "usage_reporting" } },
               { "window_ms", 1000 } };
  }
  gsJson settings = {
    { "host", host },
    { "hall", process.Hall },
    { "duties", duties },
    { "callers", { { "listen", process.Address } } },
    { "operators", { { "listen", process.Operators }, { "token", "none" } } },
    { "peers",
      { { "listen", this->PeerAddress[host] },
        { "token", "peers" },
        { "cluster", this->Processes.Folder() },
        { "seeds", seeds },
        { "routes", routes } } },
    { "platform",
      { { "kind", "table" },
        { "address", this->Processes.Link("store:" + host,
                                          this->Processes.At("store").Address,
                                          host) } } },
    { "upstreams", upstreams },
    { "routing", { { "watch_wait_ms", 1000 } } },
    { "memory", this->Plan.Memory },
    { "stop",
      { { "unready_ms", 300 }, { "longest_ms", 8000 }, { "margin_ms", 400 } } }
  };
  if (this->Plan.Program.empty()) {
    // Earlier releases refuse settings that they do not know.
    settings["peers"]["forward_listen"] = this->ForwardAddress[host];
  }
  if (this->Plan.FirstStart) {
    settings["routing"]["first_start"] = true;
  }
  if (!this->Plan.SlotSharing.empty()) {
    settings["slot_sharing"] = { { "mode", this->Plan.SlotSharing } };
  }
  return settings;
}

bool gsRoutedSystem::RunUntil(std::function<bool()> const& holds,
                              double seconds)
{
  gsTime end = gsLoop::Now() + gsFromSeconds(seconds);
  while (!holds()) {
    if (gsLoop::Now() > end) {
      return false;
    }
    this->RunFor(0.005);
  }
  return true;
}

void gsRoutedSystem::RunFor(double seconds)
{
  gsTimer timer(this->Loop, [this] { this->Loop.Stop(); });
  timer.Once(gsFromSeconds(seconds));
  this->Loop.Run();
}

unsigned gsRoutedSystem::Fetch(std::string const& method,
                               std::string const& url, gsJson const& body,
                               std::string* text)
{
  gsCall call;
  call.Method = method;
  call.Url = url;
  call.Body = body.is_null() ? std::string() : body.dump();
  call.ConnectTimeout = gsMilliseconds(500);
  call.TotalTimeout = gsMilliseconds(2000);
  bool done = false;
  unsigned status = 0;
  std::uint64_t number =
    gsFetch(*this->Client, std::move(call), [&](gsAnswer const& answer) {
      done = true;
      status = answer.End.Status;
      if (text != nullptr) {
        *text = answer.Body;
      }
    });
  if (!this->RunUntil([&] { return done; }, 3)) {
    this->Client->Cancel(number);
  }
  return status;
}

gsJson gsRoutedSystem::Duties()
{
  std::string text;
  this->Fetch("GET",
              "http://" + this->Processes.At("store").Address + "/duties", {},
              &text);
  return gsJson::parse(text, nullptr, false);
}

gsRoutedReplyPtr gsRoutedSystem::NewReply(std::string const& host,
                                          std::string const& route,
                                          std::string const& key)
{
  auto reply = std::make_shared<gsRoutedReply>();
  reply->Id = "q" + std::to_string(this->NextId++);
  reply->Route = route;
  reply->Host = host;
  reply->Key = key;
  reply->Sent = gsLoop::Now();
  return reply;
}

gsRoutedReplyPtr gsRoutedSystem::SendInPieces(std::string const& host,
                                              std::string const& key,
                                              double share, gsTime pause)
{
  gsRoutedReplyPtr reply = this->NewReply(host, "plain", key);
  std::string body = "body of " + reply->Id;
  std::string request = "POST /plain/x HTTP/1.1\r\nHost: service.example\r\n";
  request.append("Gradescale-Attempt-Id: ").append(reply->Id);
  request.append("\r\nGradescale-Deadline-Ms: 8000\r\n");
  request.append("Authorization: Token ").append(key);
  request.append("\r\nContent-Length: ").append(std::to_string(body.size()));
  request.append("\r\n\r\n").append(body);
  auto split =
    static_cast<std::size_t>(static_cast<double>(request.size()) * share);
  std::string const& address = this->Processes.At(host).Address;
  auto port = static_cast<std::uint16_t>(
    std::stoul(address.substr(address.rfind(':') + 1)));
  this->Piecewise->Send(
    port, std::move(request), split, pause,
    [reply](gsPiecewiseAnswer const& answer) {
      reply->Done = true;
      reply->Whole = answer.Whole;
      reply->BodyEnd = answer.EndsByClose ? gsBodyEnd::Close
                       : answer.Whole     ? gsBodyEnd::Length
                                          : gsBodyEnd::Unknown;
      reply->Status = answer.Status;
      reply->Signature = answer.Header("gradescale-response-signature");
      reply->Signed = !reply->Signature.empty();
      reply->AnsweredId = answer.Header("gradescale-attempt-id");
      reply->RetryAfter = answer.Header("retry-after");
      reply->Body = answer.Body;
      reply->FirstByteAt = answer.FirstByteAt;
      reply->Kept = answer.Kept;
      reply->EndedBefore = answer.EndedBefore;
      reply->Ended = gsLoop::Now();
    });
  return reply;
}

gsRoutedReplyPtr gsRoutedSystem::Send(std::string const& host,
                                      std::string const& route,
                                      std::string const& key)
{
  gsRoutedReplyPtr reply = this->NewReply(host, route, key);
  bool safe = route == "safe";
  this->SendBody(reply, safe ? "GET" : "POST",
                 safe ? "" : "body of " + reply->Id);
  return reply;
}

gsRoutedReplyPtr gsRoutedSystem::Resume(std::string const& host,
                                        gsRoutedReply const& broken)
{
  std::string const id = "id: ";
  std::size_t last =
    broken.Body.rfind("\n" + id, broken.Body.rfind("\n\n") - 1);
  std::string const after = std::to_string(
    std::strtoul(broken.Body.c_str() +
                   (last == std::string::npos ? 0 : last + 1) + id.size(),
                 nullptr, 10));
  gsRoutedReplyPtr reply = this->NewReply(host, broken.Route, broken.Key);
  this->SendBody(reply, "POST", "body of " + broken.Id,
                 { { "Last-Event-Id", after }, { "Resumes", broken.Id } });
  return reply;
}

gsRoutedReplyPtr gsRoutedSystem::SendPoison(std::string const& host,
                                            std::string const& route)
{
  gsRoutedReplyPtr reply = this->NewReply(host, route, "key-one");
  this->SendBody(reply, "POST", "crash");
  return reply;
}

void gsRoutedSystem::SendBody(gsRoutedReplyPtr const& reply,
                              std::string const& method,
                              std::string const& body, gsHeaders const& more)
{
  gsCall call;
  call.Method = method;
  call.Url = "http://" + this->Processes.At(reply->Host).Address + "/" +
             reply->Route + "/x";
  call.Body = body;
  call.TotalTimeout = CallTimeout;
  call.Reuse = this->Plan.KeepConnections;
  call.Headers = { { "Host", "service.example" },
                   { "Gradescale-Attempt-Id", reply->Id },
                   { "Gradescale-Deadline-Ms", "8000" },
                   { "Authorization", "Token " + reply->Key } };
  call.Headers.insert(call.Headers.end(), more.begin(), more.end());
  call.OnHeaders = [reply](unsigned status, gsHeaders const& headers) {
    reply->Status = status;
    reply->HeadAt = gsLoop::Now();
    for (auto const& [name, value] : headers) {
      if (name == "gradescale-response-signature") {
        reply->Signed = true;
        reply->Signature = value;
        reply->Runner = value.substr(0, value.find('.'));
      }
      if (name == "gradescale-attempt-id") {
        reply->AnsweredId = value;
      }
      reply->SaysLeaving = reply->SaysLeaving || name == "server-leaving";
      if (name == "server-limit") {
        reply->RateLimit = value;
      }
      if (name == "retry-after") {
        reply->RetryAfter = value;
      }
    }
  };
  call.OnData = [reply](std::string_view bytes) {
    reply->Body.append(bytes);
    return true;
  };
  call.OnEnd = [reply](gsCallEnd const& end) {
    reply->Done = true;
    reply->Whole = end.IsWhole();
    reply->BodyEnd = end.BodyEnd;
    reply->Ended = gsLoop::Now();
  };
  reply->Call = this->Client->Start(std::move(call));
}

gsRoutedReplyPtr gsRoutedSystem::SendAndWait(std::string const& host,
                                             std::string const& route,
                                             std::string const& key)
{
  gsRoutedReplyPtr reply = this->Send(host, route, key);
  this->RunUntil([&] { return reply->Done; });
  return reply;
}

void gsRoutedSystem::Leave(gsRoutedReplyPtr const& reply)
{
  this->Client->Cancel(reply->Call);
  reply->Done = true;
  reply->Left = true;
  reply->Ended = gsLoop::Now();
}

gsJson gsRoutedSystem::MakeRoute(std::string const& name)
{
  return RouteJson(name, "idempotent", 2);
}

std::uint64_t gsRoutedSystem::Configure(std::vector<std::string> const& keys,
                                        gsJson const& furtherRoutes)
{
  gsJson routes{ RouteJson("plain", "non_idempotent", 2),
                 RouteJson("safe", "idempotent", 2),
                 RouteJson("stream", "streaming", 2),
                 RouteJson("resume", "streaming", 2) };
  routes.insert(routes.end(), furtherRoutes.begin(), furtherRoutes.end());
  gsJson value{
    { "version", ++this->ConfigVersion },
    { "routes", routes },
    { "services", { { { "name", "model" } } } },
    { "limits", { { "idle_timeout_ms", this->Plan.IdleTimeoutMs } } },
    { "tenants", { { { "name", "club" }, { "api_keys", keys } } } }
  };
  this->ConfigureStatus = this->Fetch(
    "POST", "http://" + this->Processes.At("store").Address + "/put",
    { { "table", "op" }, { "key", "config" }, { "value", value } });
  return this->ConfigVersion;
}

std::string gsRoutedSystem::ConfigurationTrace()
{
  constexpr char const* events[] = { "event=started", "event=watch_duty",
                                     "event=table_", "event=config_" };
  std::string trace = "version " + std::to_string(this->ConfigVersion) +
                      ", the store answered " +
                      std::to_string(this->ConfigureStatus) + '\n';
  for (std::string const& host : this->HostNames) {
    std::string metrics;
    this->Fetch("GET",
                "http://" + this->Processes.At(host).Operators + "/metrics",
                {}, &metrics);
    std::size_t at = metrics.find("\ngradescale_config_version ");
    trace += host + ": " +
             (at == std::string::npos
                ? "no answer"
                : metrics.substr(at + 1, metrics.find('\n', at + 1) - at)) +
             '\n';
    for (std::string const& file : this->LogsOf(host)) {
      std::ifstream log(file);
      std::string line;
      while (std::getline(log, line)) {
        bool tells = std::any_of(
          std::begin(events), std::end(events), [&line](char const* event) {
            return line.find(event) != std::string::npos;
          });
        trace += tells ? "  " + line + '\n' : std::string();
      }
    }
  }
  return trace;
}

std::vector<std::string> gsRoutedSystem::LinksTo(
  std::string const& runner) const
{
  if (!this->Plan.LinkPerHost) {
    return { "up:" + runner };
  }
  std::vector<std::string> links;
  for (std::string const& host : this->HostNames) {
    std::string link = "up:";
    links.push_back(link.append(host).append(">").append(runner));
  }
  return links;
}

void gsRoutedSystem::LimitBandwidth(std::vector<std::string> const& hosts,
                                    double bytesPerSecond)
{
  gsJson machines = gsJson::object();
  for (std::string const& host : hosts) {
    machines[host] = bytesPerSecond;
  }
  this->Control("proxy", { { "machines", machines } });
}

std::string gsRoutedSystem::VersionOf(std::string const& runner) const
{
  if (this->Plan.Versions.empty()) {
    return "v1";
  }
  auto place =
    std::find(this->RunnerNames.begin(), this->RunnerNames.end(), runner);
  auto number = static_cast<std::size_t>(place - this->RunnerNames.begin());
  return this->Plan.Versions[number % this->Plan.Versions.size()];
}

void gsRoutedSystem::List(std::string const& runner, bool leaving)
{
  gsJson value{ { "service", "model" },
                { "address", this->RunnerLinks.at(runner) },
                { "zone", this->Processes.At(runner).Hall },
                { "version", this->VersionOf(runner) },
                { "capacity_slots", this->Plan.Slots },
                { "state", leaving ? "draining" : "ready" },
                { "call_seq", 0 } };
  this->Fetch("POST", "http://" + this->Processes.At("store").Address + "/put",
              { { "table", "servers" },
                { "key", this->RunnerIds.at(runner) },
                { "value", value } });
}

void gsRoutedSystem::Unlist(std::string const& runner)
{
  this->Fetch(
    "POST", "http://" + this->Processes.At("store").Address + "/remove",
    { { "table", "servers" }, { "key", this->RunnerIds.at(runner) } });
}

void gsRoutedSystem::ListOdd(std::string const& key, std::string const& base64)
{
  this->Fetch(
    "POST", "http://" + this->Processes.At("store").Address + "/put",
    { { "table", "servers" }, { "key", key }, { "base64", base64 } });
}

void gsRoutedSystem::Evacuate(int hall, bool evacuated)
{
  gsJson body{ { "table", "op" },
               { "key", "evacuate/" + this->HallOf(hall) } };
  if (evacuated) {
    body["value"] = gsJson::object();
  }
  this->Fetch("POST",
              "http://" + this->Processes.At("store").Address +
                (evacuated ? "/put" : "/remove"),
              body);
}

void gsRoutedSystem::Control(std::string const& process, gsJson const& body)
{
  this->Fetch("POST",
              "http://" + this->Processes.At(process).Address + "/control",
              body);
}

void gsRoutedSystem::Links(std::vector<std::string> const& patterns,
                           gsJson const& body)
{
  gsJson all = body;
  all["links"] = patterns;
  std::string answer;
  unsigned status = this->Fetch(
    "POST", "http://" + this->Processes.At("proxy").Address + "/control", all,
    &answer);
  constexpr unsigned notFound = 404;
  if (status == notFound) {
    throw std::runtime_error("The proxy has no such link: " + answer);
  }
}

void gsRoutedSystem::ChangeSettings(std::string const& host, int retryBurst)
{
  this->EditSettings(host, [retryBurst](gsJson& settings) {
    settings["retry"] = { { "burst", retryBurst } };
  });
}

void gsRoutedSystem::SetFirstStart(std::string const& host, bool firstStart)
{
  this->EditSettings(host, [firstStart](gsJson& settings) {
    settings["routing"]["first_start"] = firstStart;
  });
}

void gsRoutedSystem::EditSettings(std::string const& host,
                                  std::function<void(gsJson&)> const& edit)
{
  std::string file = this->SettingsFile(host);
  std::ifstream old(file);
  gsJson settings = gsJson::parse(old);
  edit(settings);
  std::string next = file + ".next";
  std::ofstream(next) << settings.dump(2);
  std::filesystem::rename(next, file);
}

void gsRoutedSystem::Signal(std::string const& process, int signal)
{
  this->Processes.Signal(process, signal);
}

bool gsRoutedSystem::Running(std::string const& process)
{
  return this->Processes.Running(process);
}

void gsRoutedSystem::Restart(std::string const& process)
{
  gsTestProcess& entry = this->Processes.At(process);
  if (entry.Child.valid()) {
    entry.Child.wait();
  }
  bool runner = this->RunnerLinks.count(process) != 0;
  if (runner) {
    if (this->RunnerIds.count(process) != 0) {
      this->Unlist(process);
    }
    this->RunnerIds[process] = process + "-" + std::to_string(entry.Starts);
    entry.Arguments = { gsTestProgram("gsStandInRunner"),
                        "--listen",
                        entry.Address,
                        "--id",
                        this->RunnerIds[process],
                        "--events",
                        std::to_string(this->Plan.Events),
                        "--gap-ms",
                        std::to_string(this->Plan.GapMs),
                        "--work-ms",
                        std::to_string(this->Plan.WorkMs),
                        "--pad-bytes",
                        std::to_string(this->Plan.PadBytes),
                        "--most",
                        std::to_string(this->Plan.Slots) };
    if (!this->Plan.Versions.empty()) {
      entry.Arguments.insert(entry.Arguments.end(),
                             { "--version", this->VersionOf(process) });
    }
  }
  this->Processes.Launch(process);
  if (runner) {
    this->RunUntil([&] {
      return this->Fetch("POST", "http://" + entry.Address + "/control",
                         { { "cut", 0 } }) == 200;
    });
    if (this->Plan.UnlistedVersions.count(this->VersionOf(process)) == 0) {
      this->List(process, false);
    }
  }
}

gsJson gsRoutedSystem::Quarantine(std::string const& host)
{
  std::string text;
  this->Fetch(
    "GET", "http://" + this->Processes.At(host).Operators + "/v1/quarantine",
    {}, &text);
  return gsJson::parse(text, nullptr, false);
}

gsJson gsRoutedSystem::Limits(std::string const& host)
{
  std::string text;
  this->Fetch("GET",
              "http://" + this->Processes.At(host).Operators + "/v1/limits",
              {}, &text);
  return gsJson::parse(text, nullptr, false);
}

unsigned gsRoutedSystem::ClearQuarantine(std::string const& host,
                                         std::string const& fingerprint)
{
  return this->Fetch("DELETE",
                     "http://" + this->Processes.At(host).Operators +
                       "/v1/quarantine/" + fingerprint,
                     {});
}

std::vector<std::string> gsRoutedSystem::Coordinators(std::string const& host)
{
  std::string text;
  this->Fetch("GET",
              "http://" + this->Processes.At(host).Operators + "/v1/halls", {},
              &text);
  gsJson rows = gsJson::parse(text, nullptr, false);
  if (!rows.is_array() || rows.empty()) {
    return {};
  }
  return rows[0]["coordinators"].get<std::vector<std::string>>();
}

bool gsRoutedSystem::Ready(std::string const& host)
{
  return this->Fetch(
           "GET", "http://" + this->Processes.At(host).Operators + "/readyz",
           {}) == 200;
}

void gsRoutedSystem::WaitReady(std::string const& host, double seconds)
{
  if (!this->RunUntil([&] { return this->Ready(host); }, seconds)) {
    throw std::runtime_error(host + " is not ready");
  }
}

gsRoutedRun gsRoutedSystem::ParseRun(std::string const& line)
{
  std::istringstream words(line);
  std::string word;
  std::int64_t micros = 0;
  gsRoutedRun run;
  words >> word >> run.Request >> micros;
  run.At = gsTime(micros);
  run.Ran = word == "run";
  run.Full = word == "full";
  words >> run.Status >> run.Signature >> std::ws;
  std::getline(words, run.Body);
  return run;
}

std::vector<gsRoutedRun> gsRoutedSystem::AllArrivals() const
{
  std::vector<gsRoutedRun> runs;
  for (std::string const& runner : this->RunnerNames) {
    int start = 0;
    for (std::string const& file : this->Processes.LogsOf(runner)) {
      std::ifstream log(file);
      std::string const id = runner + "-" + std::to_string(start++);
      std::string line;
      while (std::getline(log, line)) {
        gsRoutedRun run = ParseRun(line);
        run.Runner = id;
        runs.push_back(std::move(run));
      }
    }
  }
  return runs;
}

gsJson gsRoutedSystem::Memory(std::string const& host)
{
  std::string text;
  this->Fetch("GET",
              "http://" + this->Processes.At(host).Operators + "/v1/memory",
              {}, &text);
  return gsJson::parse(text, nullptr, false);
}

std::uint64_t gsRoutedSystem::PeakMemoryKib(std::string const& host)
{
  std::ifstream status("/proc/" +
                       std::to_string(this->Processes.At(host).Child.id()) +
                       "/status");
  std::string word;
  std::uint64_t peak = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> peak;
    }
  }
  return peak;
}

std::vector<gsRoutedRun> gsRoutedSystem::ArrivalsAt(
  std::string const& runner) const
{
  std::vector<gsRoutedRun> there;
  std::string const incarnations = runner + "-";
  for (gsRoutedRun const& arrival : this->AllArrivals()) {
    if (arrival.Runner.rfind(incarnations, 0) == 0) {
      there.push_back(arrival);
    }
  }
  return there;
}

std::vector<gsRoutedRun> gsRoutedSystem::AllRuns() const
{
  std::vector<gsRoutedRun> runs = this->AllArrivals();
  runs.erase(std::remove_if(runs.begin(), runs.end(),
                            [](gsRoutedRun const& run) { return !run.Ran; }),
             runs.end());
  return runs;
}

std::map<std::string, int> gsRoutedSystem::Runs() const
{
  std::map<std::string, int> count;
  for (gsRoutedRun const& run : this->AllRuns()) {
    ++count[run.Request];
  }
  return count;
}

std::size_t gsRoutedSystem::RunsOf(std::string const& runner) const
{
  std::vector<gsRoutedRun> there = this->ArrivalsAt(runner);
  return static_cast<std::size_t>(
    std::count_if(there.begin(), there.end(),
                  [](gsRoutedRun const& run) { return run.Ran; }));
}

std::string gsRoutedSystem::Expected(gsRoutedReply const& reply) const
{
  if (reply.Route != "stream" && reply.Route != "resume") {
    return "answer to " + reply.Id;
  }
  std::string body;
  for (int i = 1; i <= this->Plan.Events; ++i) {
    std::string number = std::to_string(i);
    body.append("id: ").append(number).append("\ndata: ").append(reply.Id);
    body.append(":").append(number);
    body.append(static_cast<std::size_t>(this->Plan.PadBytes), 'x');
    body.append("\n\n");
  }
  return body;
}
