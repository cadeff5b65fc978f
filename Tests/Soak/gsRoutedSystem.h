/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A whole system of the routed mode as real processes on loopback: a store,
 * runners, entry hosts, and a fault-injecting proxy on every link between
 * them. The program that owns it is the callers and the operator. It ends
 * only the processes that it has started, by their ids.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gsHttpClient.h"
#include "gsLoop.h"
#include "gsPiecewiseCaller.h"
#include "gsTestProcesses.h"

/** What the system is made of. */
struct gsRoutedPlan
{
  int Hosts = 3;
  int Runners = 3;
  int Halls = 1;    ///< Hosts and runners belong to them in turn.
  int Events = 10;  ///< Of a stream.
  int GapMs = 10;   ///< Between them.
  int WorkMs = 10;  ///< Of other requests.
  int PadBytes = 0; ///< Added to each event.
  int Slots = 32;   ///< Of a runner; it turns away what is above them.
  /** Software versions of the runners, in turn; each event holds that of its
   * runner. Empty for one version, which events do not hold. */
  std::vector<std::string> Versions;
  /** Runners of these are not listed before List is called for them. */
  std::set<std::string> UnlistedVersions;
  /** Mode of slot sharing; empty for the default. */
  std::string SlotSharing;
  /** Hosts call runners without the proxy, where there are too many bytes for
   * it. */
  bool DirectRunners = false;
  /** Each host has links of its own to the runners, up:HOST>RUNNER, in place
   * of one link to each runner. */
  bool LinkPerHost = false;
  gsJson Memory = gsJson::object(); ///< Settings section of all hosts.
  int IdleTimeoutMs = 15000;        ///< Limit of the configuration.
  /** Descriptors that each host may open; zero for as many as the test. */
  std::size_t MaxDescriptors = 0;
  /** Callers send on kept connections, until the process is gone. */
  bool KeepConnections = false;
  /** Daemon that hosts start with; empty for the one of this build. */
  std::string Program;
  /** Hosts report usage, in windows of a second. */
  bool Duties = false;
  /** Hosts start with the settings of the first start of all. */
  bool FirstStart = false;
  /** Hosts can be suspended. */
  bool Suspendable = false;
  /** Seeds of every host in addition to the system's own hosts. */
  std::vector<std::string> FurtherSeeds;
};

/** A request that reached a runner. */
struct gsRoutedRun
{
  std::string Request;
  std::string Runner; ///< Id of the incarnation.
  gsTime At{};
  bool Ran = true;         ///< False if the runner turned it away.
  bool Full = false;       ///< Turned away at capacity, not for a rest.
  unsigned Status = 0;     ///< That it answered with; zero if unknown.
  std::string Signature{}; ///< Of the run; empty if unknown.
  std::string Body{};      ///< Of the whole answer; empty for a stream.
};

/** A request of a caller, and all that the caller saw of its answer. */
struct gsRoutedReply
{
  std::string Id;
  std::string Route;
  std::string Host;
  std::string Key;
  bool Done = false;
  bool Left = false;  ///< The caller left before the end.
  bool Whole = false; ///< It states its end, and came in whole.
  /** How its end was known. */
  gsBodyEnd BodyEnd = gsBodyEnd::Unknown;
  unsigned Status = 0;
  bool Signed = false;
  std::string Signature;    ///< Of the run that answered; empty if none.
  std::string AnsweredId;   ///< Of the request, by the answer's head.
  std::string Runner;       ///< Id of the one that answered; empty if none.
  bool SaysLeaving = false; ///< Its answer says that it leaves.
  std::string RateLimit;    ///< Named by the answer; empty for none.
  gsTime HeadAt{};          ///< When the answer's head came.
  std::string RetryAfter;
  std::string Body;
  std::uint64_t Call = 0;
  gsTime Sent{};
  gsTime FirstByteAt{};     ///< Of one in pieces: when its first byte left.
  bool Kept = false;        ///< Of one in pieces: on a kept connection.
  bool EndedBefore = false; ///< Its end had come when the first byte left.
  gsTime Ended{};

  bool Good() const
  {
    return this->Done && this->Whole && this->Status == 200;
  }
};

using gsRoutedReplyPtr = std::shared_ptr<gsRoutedReply>;

class gsRoutedSystem
{
public:
  explicit gsRoutedSystem(gsRoutedPlan plan);
  ~gsRoutedSystem();
  gsRoutedSystem(gsRoutedSystem const&) = delete;
  gsRoutedSystem& operator=(gsRoutedSystem const&) = delete;

  /** For connections of the test's own. */
  gsLoop& EventLoop() { return this->Loop; }
  bool RunUntil(std::function<bool()> const& holds, double seconds = 20);
  void RunFor(double seconds);

  /** Sends on a route: plain (once), safe, stream (once) or resume. */
  gsRoutedReplyPtr Send(std::string const& host, std::string const& route,
                        std::string const& key = "key-one");
  /** Takes up a broken stream at a host, after its last whole event. The body
   * of the reply is the rest. */
  gsRoutedReplyPtr Resume(std::string const& host,
                          gsRoutedReply const& broken);
  /** Sends a request that crashes each runner that begins to run it. */
  gsRoutedReplyPtr SendPoison(std::string const& host,
                              std::string const& route);
  /** Sends on the route plain, in two pieces with a pause between them. */
  gsRoutedReplyPtr SendInPieces(std::string const& host,
                                std::string const& key, double share,
                                gsTime pause);
  gsRoutedReplyPtr SendAndWait(std::string const& host,
                               std::string const& route,
                               std::string const& key = "key-one");
  void Leave(gsRoutedReplyPtr const& reply);

  /** Writes the next version of the configuration with these keys, and with
   * further routes beside those that callers send on. \return The version. */
  std::uint64_t Configure(std::vector<std::string> const& keys,
                          gsJson const& furtherRoutes = gsJson::array());
  /** A route of the configuration that runs may be sent on. */
  static gsJson MakeRoute(std::string const& name);
  /** Writes a runner's row. */
  void List(std::string const& runner, bool leaving);
  void Unlist(std::string const& runner);
  /** Writes a row of the upstreams' table as another writer would. */
  void ListOdd(std::string const& key, std::string const& base64);
  /** Asks for nothing new to be sent to a hall, or takes that back. */
  void Evacuate(int hall, bool evacuated);
  /** A call to a stand-in's control. */
  void Control(std::string const& process, gsJson const& body);
  /** Faults on links; see gsStandInProxy. Throws an exception if a pattern
   * matches no link. */
  void Links(std::vector<std::string> const& patterns, gsJson const& body);

  /** Bounds what hosts send to each other and get from the store, and the
   * other way, each by itself; zero for no bound. */
  void LimitBandwidth(std::vector<std::string> const& hosts,
                      double bytesPerSecond);

  /** Links over which hosts reach a runner. */
  std::vector<std::string> LinksTo(std::string const& runner) const;

  /** What the stand-in for the platform has been told by duty's holders. */
  gsJson Duties();

  /** Writes a host's settings file anew, with a changed retry budget. */
  void ChangeSettings(std::string const& host, int retryBurst);

  /** Requests that a host contains or refuses, a row each. */
  gsJson Quarantine(std::string const& host);
  /** Limits of upstreams as a host knows them, a row each. */
  gsJson Limits(std::string const& host);
  /** Lets one of them through again. */
  unsigned ClearQuarantine(std::string const& host,
                           std::string const& fingerprint);

  /** What a host holds for callers and upstreams. */
  gsJson Memory(std::string const& host);
  /** The peak of a host's resident memory since it started. */
  std::uint64_t PeakMemoryKib(std::string const& host);
  std::size_t OpenDescriptors(std::string const& host) const
  {
    return this->Processes.OpenDescriptors(host);
  }
  std::string const& AddressOf(std::string const& host) const
  {
    return this->Processes.At(host).Address;
  }
  std::string const& OperatorsAddressOf(std::string const& host) const
  {
    return this->Processes.At(host).Operators;
  }
  /** Where a host accepts requests that other hosts forward. */
  std::string const& ForwardAddressOf(std::string const& host) const
  {
    return this->ForwardAddress.at(host);
  }

  /** Coordinators of a host's hall as that host knows them, in order. */
  std::vector<std::string> Coordinators(std::string const& host);

  /** Writes a host's settings file anew, for its next start. */
  void SetFirstStart(std::string const& host, bool firstStart);

  /** Sends a signal to a process that this object has started. */
  void Signal(std::string const& process, int signal);
  /**
   * Suspends a host for a time that its monotonic clock does not count.
   * Meanwhile is called once it stands still.
   */
  void Suspend(std::string const& host, double seconds,
               std::function<void()> const& meanwhile);
  bool Running(std::string const& process);
  /** The daemon with which a host starts from its next start on. */
  void UseProgram(std::string const& host, std::string const& program)
  {
    this->Processes.At(host).Arguments[0] = program;
  }
  /** Starts a process that has ended; a runner gets a new id. */
  void Restart(std::string const& process);
  bool Ready(std::string const& host);
  void WaitReady(std::string const& host, double seconds = 20);

  std::vector<std::string> const& Hosts() const { return this->HostNames; }
  std::string const& PeerAddressOf(std::string const& host) const
  {
    return this->PeerAddress.at(host);
  }
  /** Files with a process' log so far, oldest start first. */
  std::vector<std::string> LogsOf(std::string const& process) const
  {
    return this->Processes.LogsOf(process);
  }
  /**
   * What tells why a configuration is in force on a host or not, for messages
   * of tests: the store's answer to the last write, and of each host the
   * version in force and the log lines on its tables and watch state.
   */
  std::string ConfigurationTrace();
  std::vector<std::string> const& Runners() const { return this->RunnerNames; }
  /** Software version of a runner. */
  std::string VersionOf(std::string const& runner) const;
  /** Hall of a host or runner. */
  std::string const& HallOf(std::string const& process) const
  {
    return this->Processes.At(process).Hall;
  }
  /** Id of a runner's present incarnation. */
  std::string const& IdOf(std::string const& runner) const
  {
    return this->RunnerIds.at(runner);
  }
  /** What the runners have run or turned away, by their own words. */
  std::vector<gsRoutedRun> AllArrivals() const;
  /** Those of one runner's incarnations together. */
  std::vector<gsRoutedRun> ArrivalsAt(std::string const& runner) const;
  /** What the runners have run. */
  std::vector<gsRoutedRun> AllRuns() const;
  /** How often each request has been run. */
  std::map<std::string, int> Runs() const;
  /** Runs of one runner's incarnations together. */
  std::size_t RunsOf(std::string const& runner) const;
  /** What the caller of a whole answer should have got. */
  std::string Expected(gsRoutedReply const& reply) const;

private:
  /** A line of a runner's output. */
  static gsRoutedRun ParseRun(std::string const& line);
  gsRoutedReplyPtr NewReply(std::string const& host, std::string const& route,
                            std::string const& key);
  void SendBody(gsRoutedReplyPtr const& reply, std::string const& method,
                std::string const& body, gsHeaders const& more = {});
  void AddProcesses();
  std::string SettingsFile(std::string const& host) const;
  void EditSettings(std::string const& host,
                    std::function<void(gsJson&)> const& edit);
  std::string SuspendedFile(std::string const& host) const;
  void WriteSuspended(std::string const& host);
  std::string HallOf(int number) const;
  gsJson Settings(std::string const& host);
  /** The answer's body goes to the text, unless that is null. */
  unsigned Fetch(std::string const& method, std::string const& url,
                 gsJson const& body, std::string* text = nullptr);

  gsRoutedPlan Plan;
  gsLoop Loop;
  std::unique_ptr<gsHttpClient> Client;
  std::unique_ptr<gsPiecewiseCaller> Piecewise;
  gsTestProcesses Processes; ///< Ended before the rest goes.
  std::vector<std::string> HostNames;
  std::vector<std::string> RunnerNames;
  std::map<std::string, std::string> RunnerLinks; ///< Address for the rows.
  std::map<std::string, std::string> RunnerIds;   ///< Of the incarnation.
  std::map<std::string, std::string> PeerAddress;
  std::map<std::string, std::string> ForwardAddress;
  std::map<std::string, std::int64_t> Suspended; ///< Nanoseconds, by host.
  std::uint64_t ConfigVersion = 0;
  unsigned ConfigureStatus = 0; ///< The store's answer to the last write.
  std::uint64_t NextId = 1;
};
