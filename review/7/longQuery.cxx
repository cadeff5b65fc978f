/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Clients come with queries of many fields, within the limits of the
 * configuration. Each has to get a final answer at its route's timeout.
 */
#include "../tools-2/Review.h"

using namespace review;

namespace {

constexpr int Timeout = 1500; ///< Of the route.
constexpr double Slack = 500; ///< Of the rule.
constexpr int Rounds = 4;

std::string Query(int fields)
{
  std::string query = "/n/x?";
  for (int i = 0; i < fields; ++i) {
    query += i == 0 ? "f" : "&f";
    query += std::to_string(i);
    query += "=1";
  }
  return query;
}

int RunCase(Record& record, std::string const& folder)
{
  std::vector<int> ports = FreePorts(2);
  // They last until the process ends, as their threads do.
  Store& store = *new Store(Local(ports[0]));
  Runner& runner = *new Runner("i-one", Local(ports[1]), 20);
  store.Put("servers", "i-one", runner.Row("app", "z-a"));
  Json routes =
    Json::array({ Route("n", "/n/", "non_idempotent", "app", Timeout, 1) });
  store.Put("op", "config",
            Configuration(1, routes, Json::array({ Service("app") }),
                          Json::array({ Tenant("t", { "key" }) })));
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::string> seeds;
  for (int i = 0; i < 3; ++i) {
    hosts.push_back(
      std::make_unique<Host>("h" + std::to_string(i), "z-a", folder));
    seeds.push_back(hosts.back()->Control);
  }
  for (auto& host : hosts) {
    host->WriteSettings(store.Address(), seeds, true, { { "z-a", "r" } });
    host->Start();
  }
  for (auto& host : hosts) {
    if (!host->WaitReady(Now() + 15000)) {
      record.Line(host->Name + " did not become ready");
      return 2;
    }
  }
  Sleep(6000);

  std::atomic<int> late{ 0 };
  std::atomic<int> outlasting{ 0 };
  std::string target = Query(HasTrouble() ? 1200 : 20);
  for (int round = 0; round < Rounds; ++round) {
    std::vector<std::thread> clients;
    clients.reserve(hosts.size());
    for (auto& each : hosts) {
      clients.emplace_back([&, host = each.get()] {
        std::string id = host->Name + "-" + std::to_string(round);
        std::string request = Request("POST", target, id, "key", Timeout);
        double at = Now();
        Message answer = Call(host->Front, request, Timeout + 2 * Slack);
        double took = Now() - at;
        outlasting += took >= Timeout ? 1 : 0;
        late += took > Timeout + Slack ? 1 : 0;
        std::ostringstream line;
        line << id << ": head of " << request.size() << " bytes, status "
             << answer.Status() << " (0: no answer) after "
             << static_cast<int>(took) << " ms";
        record.Line(line.str());
      });
    }
    for (std::thread& client : clients) {
      client.join();
    }
    Sleep(300);
  }
  std::ostringstream line;
  line << "of " << Rounds * hosts.size() << " requests " << outlasting
       << " outlast their timeout, and " << late
       << " of these have no final answer " << Slack
       << " ms after it; the runner ran " << runner.Runs().size();
  record.Line(line.str());
  std::puts(line.str().c_str());
  bool isBroken = late >= 8 && 4 * late > outlasting;
  record.Line(isBroken ? "CONFIG is broken" : "CONFIG held");
  return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
  Begin();
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  int result = 2;
  {
    Folder folder;
    result = RunCase(record, folder.Path);
  }
  std::fflush(stdout);
  std::_Exit(result);
}
