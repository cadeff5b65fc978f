/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRouteBench.h"

#include <algorithm>
#include <csignal>

std::string gsCallerView::Header(std::string const& name) const
{
  for (auto const& [key, value] : this->Headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

gsRouteBench::gsRouteBench(gsRouteGatewaySettings const& settings,
                           gsFeatureMode memory)
  : Adapter(gsMakeAdapter())
  , RateLimiter(Loop, Fleet)
  , Upstreams(Loop)
  , Callers(Loop)
{
  std::signal(SIGPIPE, SIG_IGN);
  this->Fleet.Settings.Hall = "north";
  this->Gateway = std::make_unique<gsRouteGateway>(this->Loop, this->Upstreams,
                                                   this->Adapter, this->Fleet,
                                                   this->Metrics, settings, 1);
  this->RateLimiter.ConnectGateway(*this->Gateway);
  gsHttpServerSettings server;
  server.Address = "127.0.0.1:0";
  gsMemoryGuard::LimitBuffers(memory, server, this->Upstreams);
  this->Server =
    std::move(gsHttpServer::Start(
                this->Loop, server,
                [this](std::shared_ptr<gsHttpExchange> const& exchange) {
                  this->Gateway->OnExchange(exchange);
                })
                .value());
  gsRouteTable table = this->MakeTable();
  gsIndexRoutes(table);
  this->Gateway->SetRoutes(
    std::make_shared<gsRouteTable const>(std::move(table)));
}

gsRouteBench::~gsRouteBench() = default;

gsRouteTable gsRouteBench::MakeTable() const
{
  auto make = [](std::string const& name) {
    gsRoute route;
    route.Name = name;
    route.Host = "127.0.0.1";
    route.Prefix = "/" + name + "/";
    route.Shares = { { "model", 1.0 } };
    route.Timeout = gsSeconds(4);
    route.LatencyTarget = gsMilliseconds(300);
    return route;
  };
  gsRouteTable table;
  table.Version = 1;
  table.Routes = { make("plain"),  make("safe"), make("stream"),
                   make("resume"), make("open"), make("patient") };
  table.Routes[1].Repeatable = true;
  table.Routes[1].MaxAttempts = 2;
  table.Routes[2].StreamsEvents = true;
  table.Routes[3].StreamsEvents = true;
  table.Routes[3].Resumable = true;
  table.Routes[3].MaxAttempts = 2;
  table.Routes[4].AllowsAnonymous = true;
  table.Routes[5].Priority = 5;
  table.Organisations = { { "club", { "key-one" }, {} } };
  return table;
}

gsScriptedUpstream& gsRouteBench::Add(std::string const& id,
                                      gsScriptedUpstream::Script script)
{
  this->Scripted.push_back(
    std::make_unique<gsScriptedUpstream>(this->Loop, id, std::move(script)));
  this->List();
  return *this->Scripted.back();
}

void gsRouteBench::List(std::vector<std::string> const& leaving)
{
  std::vector<gsListedUpstream> listed;
  for (auto const& upstream : this->Scripted) {
    gsListedUpstream entry;
    entry.Id = upstream->Id();
    entry.Address = upstream->Address();
    entry.Service = "model";
    entry.Hall = "north";
    entry.Slots = 8;
    entry.SoftwareVersion = 1;
    entry.Leaving =
      std::find(leaving.begin(), leaving.end(), entry.Id) != leaving.end();
    listed.push_back(entry);
  }
  gsFleetReplaceListing(this->Fleet, listed);
}

gsCallerViewPtr gsRouteBench::Send(gsCallerSends const& sends)
{
  return this->SendTo(this->Server->Port(), sends);
}

gsCallerViewPtr gsRouteBench::SendTo(std::uint16_t port,
                                     gsCallerSends const& sends)
{
  auto view = std::make_shared<gsCallerView>();
  gsCall call;
  call.Method = sends.Method;
  call.Url = "http://127.0.0.1:" + std::to_string(port);
  call.Target = sends.Target;
  call.Body = sends.Body;
  call.Reuse = sends.Keep;
  call.BareHeaders = true;
  if (!sends.Id.empty()) {
    call.Headers.emplace_back("Gradescale-Attempt-Id", sends.Id);
  }
  if (!sends.Key.empty()) {
    call.Headers.emplace_back("Authorization", "Token " + sends.Key);
  }
  call.Headers.insert(call.Headers.end(), sends.More.begin(),
                      sends.More.end());
  call.OnHeaders = [view](unsigned status, gsHeaders const& headers) {
    view->Status = status;
    view->Headers = headers;
  };
  call.OnData = [view](std::string_view bytes) {
    view->Body.append(bytes);
    return true;
  };
  call.OnEnd = [view](gsCallEnd const& end) {
    view->Done = true;
    view->Whole = end.IsWhole();
    view->BodyEnd = end.BodyEnd;
    view->Ended = gsLoop::Now();
  };
  view->Call = this->Callers.Start(std::move(call));
  return view;
}

gsCallerViewPtr gsRouteBench::SendAndWait(gsCallerSends const& sends)
{
  gsCallerViewPtr view = this->Send(sends);
  this->RunUntil([view] { return view->Done; });
  return view;
}

bool gsRouteBench::RunUntil(std::function<bool()> const& holds, double seconds)
{
  gsTime end = gsLoop::Now() + gsFromSeconds(seconds);
  bool good = holds();
  gsTimer timer(this->Loop, [&] {
    good = holds();
    if (good || gsLoop::Now() > end) {
      this->Loop.Stop();
    }
  });
  constexpr gsTime look = gsMilliseconds(2);
  timer.Every(look);
  if (!good) {
    this->Loop.Run();
  }
  return good;
}

void gsRouteBench::RunFor(double seconds)
{
  this->RunUntil([] { return false; }, seconds);
}

std::size_t gsRouteBench::Arrivals() const
{
  std::size_t count = 0;
  for (auto const& upstream : this->Scripted) {
    count += upstream->Requests.size();
  }
  return count;
}
