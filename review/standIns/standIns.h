/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Stand-ins for the cases of the review: the platform's store, runners and
 * clients, each with one thread a connection, and the start and end of entry
 * hosts as processes of their own. All addresses are loopback addresses, all
 * ports are free ones. A stand-in speaks what the users' pages say, and no
 * more of it than the cases need.
 */
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

/** Seconds since the start of the program, by the steady clock. */
double Now();
void Sleep(double seconds);

/** Writes the lines of record.txt; the time stands first in each. */
class Record
{
public:
  explicit Record(std::string const& file);
  ~Record();
  Record(Record const&) = delete;
  Record& operator=(Record const&) = delete;
  void Line(std::string const& text);

private:
  std::mutex Mutex;
  std::FILE* File;
};

/** A listening socket on a free loopback port. */
int Listen(int& port);
/** A free port; another program may take it before it is used. */
int FreePort();
/** Connects to a loopback port; -1 if that fails. */
int Connect(int port, int receiveBuffer = 0);

/** Reads a connection by lines and by counts. */
class Reader
{
public:
  explicit Reader(int descriptor)
    : Descriptor(descriptor)
  {
  }
  /** A line without its end; false at the end of the connection. */
  bool Line(std::string& line);
  bool Bytes(std::size_t count, std::string& bytes);
  /** What is there, at most so many bytes; false at the end. */
  bool Some(std::size_t most, std::string& bytes);
  /** Whether the last read ended with a reset or a timeout. */
  int Error = 0;

private:
  bool Fill();
  int Descriptor;
  std::string Buffer;
};

bool SendAll(int descriptor, std::string const& bytes);

/** Head of a request or an answer; names in lower case. */
struct Head
{
  std::string First;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Find(std::string const& name) const;
};

bool ReadHead(Reader& reader, Head& head);
/** Reads a body with a length or in chunks; false if it is cut short. */
bool ReadBody(Reader& reader, Head const& head, std::string& body);

/** Handles one request on a connection. \return Whether it is kept. */
using Handler =
  std::function<bool(int descriptor, Head const&, std::string const& body)>;

/** Serves until the program ends. \return The port. */
int Serve(Handler handler);

/** The platform's store: rows, their changes, writes on a condition. */
class Store
{
public:
  Store();
  int Port() const { return this->BoundPort; }
  /** What the operator or a runner writes; acknowledged on return. */
  void Put(std::string const& table, std::string const& key,
           Json const& value);
  void Remove(std::string const& table, std::string const& key);

private:
  struct Row
  {
    std::uint64_t Version = 0;
    std::string Value; ///< Base64; empty if the row is gone.
  };
  bool OnRequest(int descriptor, Head const& head, std::string const& body);
  Json Above(std::string const& table, std::uint64_t version, bool gone) const;
  Json Transact(Json const& body, int& status);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::uint64_t Version = 0;
  int BoundPort = 0;
};

/** A request as it reached a runner. */
struct Arrival
{
  std::string Id;
  std::string Runner;
  std::string FirstLine;
  std::string Tenant;
  double At = 0;
};

/** What runners have run. */
class Arrivals
{
public:
  void Add(Arrival const& arrival);
  std::vector<Arrival> All() const;
  /** The runner that has run a request; empty for none. */
  std::string RunnerOf(std::string const& id) const;

private:
  mutable std::mutex Mutex;
  std::vector<Arrival> List;
};

/** Starts a runner and lists it in the store. Requests that name another
 * instance get 421; the others are counted and handled. */
void StartRunner(Store& store, Arrivals& arrivals, std::string const& id,
                 std::string const& service, std::string const& zone,
                 Handler handler);

/** The head of an answer of a runner, up to its blank line. */
std::string AnswerHead(std::string const& id, std::string const& more);

/** A configuration with one service, one tenant and these routes. */
Json Configuration(Json const& routes);
Json Route(std::string const& prefix, std::string const& kind, int timeoutMs,
           int targetMs);

/** An entry host: the deploy file's program with the settings of its template,
 * filled for loopback addresses. Ended by its id when the object goes. */
class Host
{
public:
  Host(std::string const& program, std::string const& folder,
       std::string const& name, std::string const& zone, Store const& store);
  ~Host();
  Host(Host const&) = delete;
  Host& operator=(Host const&) = delete;

  /** Seeds are the peer addresses of all hosts. */
  void Start(std::vector<std::string> const& seeds);
  bool WaitReady(double seconds) const;
  bool IsReady() const;
  void Signal(int signal) const;
  bool HasEnded();
  /** Resident memory that is the process's own, in KiB. */
  long AnonymousKib() const;

  std::string Name;
  int Front = 0;
  std::string PeerAddress;

private:
  std::string Program;
  std::string Folder;
  std::string Zone;
  int StorePort = 0;
  int Ready = 0;
  int Peer = 0;
  int Forward = 0;
  int Process = 0;
};

/** The answer to one request, as its client saw it. */
struct Answer
{
  int Status = 0; ///< Zero if none came.
  bool Whole = false;
  std::string Body;
  std::string Runner; ///< By its signature; empty for an answer of the system.
  bool KeepsConnection = false;
  std::string Problem;
};

/** Sends a request on a connection and reads its answer at once. */
Answer Ask(int descriptor, Reader& reader, std::string const& request);

std::string Request(std::string const& method, std::string const& target,
                    std::string const& id, std::string const& key,
                    int deadlineMs, std::string const& more = "");

} // namespace review
