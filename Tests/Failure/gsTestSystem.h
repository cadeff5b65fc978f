/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A whole system of real processes for the failure tests: platform, upstreams
 * and entry hosts, with every connection between them running through the
 * fault-injecting proxy. The test itself is the caller and the operator.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gsHttpClient.h"
#include "gsLogRecord.h"
#include "gsLoop.h"
#include "gsTestProcesses.h"

/** What the system is made of. */
struct gsTestPlan
{
  std::vector<std::string> Halls{ "north" };
  int Hosts = 2;   ///< In each hall.
  int Engines = 2; ///< In each hall; they serve "model".
  int Plains = 0;  ///< In each hall; they serve "cards".
  int EngineSlots = 8;
  int Slots = 4; ///< Granted at a time; MaxSlots is the same.
  double GapMs = 5;
  double FirstMs = 5;
  bool DirectUpstreams = false; ///< Not through the proxy.
  gsJson Tiers = gsJson::array({ { { "name", "gold" } },
                                 { { "name", "silver" } },
                                 { { "name", "bronze" } } });
  /** Merged into each template made for each tier. */
  gsJson Template = gsJson::object();
  gsJson Queue = gsJson::object();   ///< The settings' "queue".
  gsJson Callers = gsJson::object(); ///< Merged into their "callers".
};

/** One answer as the caller sees it. */
struct gsReply
{
  bool Done = false;
  bool Whole = false;
  unsigned Status = 0;
  std::string Ran;
  std::string RetryAfter;
  std::string Upstream;
  std::string Error;
  std::string Body;
  gsTime Sent{};
  gsTime First{};
  gsTime Ended{};
  std::uint64_t Call = 0;

  bool Good() const
  {
    return this->Done && this->Whole && this->Status == 200;
  }
  /** Texts of all tokens in a streamed or whole answer. */
  std::string Content() const;
  bool StreamEnded() const;
};

using gsReplyPtr = std::shared_ptr<gsReply>;

/** Whether each has had its final answer, or has ended without one. */
bool gsAllDone(std::vector<gsReplyPtr> const& replies);

/** A request to send. */
struct gsTestRequest
{
  std::string Host;
  std::string Template = "gold";
  std::string Content;
  std::string Key = "key-one"; ///< The organisation's.
  std::string Idempotency;
  std::string Service; ///< A plain service in place of the model.
  bool Stream = true;
};

/** The running system. */
class gsTestSystem
{
public:
  explicit gsTestSystem(gsTestPlan plan);
  ~gsTestSystem();
  gsTestSystem(gsTestSystem const&) = delete;
  gsTestSystem& operator=(gsTestSystem const&) = delete;

  /** Runs the loop until the predicate holds; false when time runs out. */
  bool RunUntil(std::function<bool()> const& predicate, double seconds = 20);
  /** Runs the loop for a while, as when a fault has to last. */
  void RunFor(double seconds);

  gsReplyPtr Send(gsTestRequest const& request);
  /** Sends and waits for the answer. */
  gsReplyPtr SendAndWait(gsTestRequest const& request);
  void Leave(gsReplyPtr const& reply);

  /** A call to the operators' interface; the answer's JSON. */
  gsJson Operate(std::string const& host, std::string const& method,
                 std::string const& path, gsJson const& body = {});
  /** The same without a wait. */
  gsReplyPtr OperateLater(std::string const& host, std::string const& method,
                          std::string const& path, gsJson const& body);
  /** Submits a change and waits until it is accepted; its version. */
  std::uint64_t Change(std::string const& host, gsJson change);
  std::uint64_t VersionOf(std::string const& host);

  void Control(std::string const& process, gsJson const& body);
  /** Faults on links, by pattern; see gsStandInProxy. */
  void Links(std::vector<std::string> const& patterns, gsJson const& body);
  /** Cuts or heals all between two halls. */
  void BetweenHalls(std::string const& one, std::string const& other,
                    std::string const& mode);
  void Platform(gsJson const& body) { this->Control("platform", body); }

  /** What an upstream has run: started and finished by content. */
  gsJson Account(std::string const& upstream);
  /** The largest batch that an upstream had. */
  int MostRunning(std::string const& upstream);
  /** How often the content was started, on all upstreams together. */
  int Started(std::string const& content);

  void Kill(std::string const& process);
  void Freeze(std::string const& process);
  void Thaw(std::string const& process);
  /** Sends SIGTERM. */
  void Terminate(std::string const& process);
  bool Running(std::string const& process);
  /** Starts a process that has ended, as it was. */
  void Restart(std::string const& process);
  void WaitReady(std::string const& host, double seconds = 20);

  /** Waits until a host knows all others to be alive. */
  void WaitMembers(std::string const& host);

  /** Host that dispatches the pool, as the given host sees it. */
  std::string DispatcherOf(std::string const& host, std::string const& pool);
  /** Where a host listens: for callers, operators or peers. */
  std::string CallersAddress(std::string const& host) const;
  std::string OperatorsAddress(std::string const& host) const;
  std::string PeersAddress(std::string const& host) const;
  /** Runs the command-line tool to its end; its output and exit code. */
  std::pair<std::string, int> Tool(std::vector<std::string> arguments);
  /** The metrics page of a host. */
  std::string Metrics(std::string const& host);
  std::vector<std::string> HostNames() const;
  std::vector<std::string> HostsOf(std::string const& hall) const;
  std::vector<std::string> UpstreamNames() const;
  /** Lines of a process's log with this event. */
  std::vector<gsLogRecord> Log(std::string const& process,
                               std::string const& event) const;

private:
  void AddPlatformAndUpstreams();
  void AddHosts();
  void Configure();
  gsJson Settings(std::string const& hall, std::string const& name);
  gsReplyPtr Start(gsCall call);
  gsJson Fetch(std::string const& method, std::string const& url,
               gsJson const& body);

  gsTestPlan Plan;
  gsLoop Loop;
  std::unique_ptr<gsHttpClient> Client;
  gsTestProcesses Processes; ///< Ended before the rest goes.
  std::vector<std::string> Hosts;
  std::vector<std::string> Upstreams;
  gsJson UpstreamRows = gsJson::array();
  std::map<std::string, std::string> PeerAddress;
};
