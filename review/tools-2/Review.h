/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Stand-ins of the second review: a store, runners, clients and processes of
 * the system, each as the users' pages tell. Blocking sockets, one thread a
 * connection; small on purpose.
 */
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point Begin()
{
  static Clock::time_point const begin = Clock::now();
  return begin;
}

/** Milliseconds since the begin of the script. */
inline double Now()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - Begin())
    .count();
}

inline void Sleep(double millis)
{
  if (millis > 0) {
    std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(millis));
  }
}

inline void SleepUntil(double at)
{
  Sleep(at - Now());
}

/** The record of a run: one line an event. */
class Record
{
public:
  explicit Record(std::string const& path)
    : File(path)
  {
  }
  void Line(std::string const& text)
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    char at[32];
    std::snprintf(at, sizeof(at), "%9.1f ", Now());
    this->File << at << text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

inline std::string Lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/** A request or an answer. */
struct Message
{
  std::string First; ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  bool IsWhole = false;

  std::string Header(std::string const& name) const
  {
    for (auto const& [each, value] : this->Headers) {
      if (Lower(each) == name) {
        return value;
      }
    }
    return {};
  }
  int Status() const
  {
    return this->First.size() > 12 ? std::atoi(this->First.c_str() + 9) : 0;
  }
  std::string Word(int index) const
  {
    std::istringstream words(this->First);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
};

/** A connection with what was read of it beyond the last message. */
struct Stream
{
  int Socket = -1;
  std::string Rest;

  /** Reads more within a time. \return False at the end or a time-out. */
  bool Fill(double until)
  {
    pollfd watched{ this->Socket, POLLIN, 0 };
    double left = until - Now();
    if (left <= 0 || poll(&watched, 1, static_cast<int>(left) + 1) <= 0) {
      return false;
    }
    char bytes[65536];
    ssize_t count = recv(this->Socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    this->Rest.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  /** Takes bytes; false if they do not come in time. */
  bool Take(std::size_t count, std::string& bytes, double until)
  {
    while (this->Rest.size() < count) {
      if (!this->Fill(until)) {
        return false;
      }
    }
    bytes = this->Rest.substr(0, count);
    this->Rest.erase(0, count);
    return true;
  }

  bool TakeLine(std::string& line, double until)
  {
    std::size_t end = this->Rest.find("\r\n");
    while (end == std::string::npos) {
      if (!this->Fill(until)) {
        return false;
      }
      end = this->Rest.find("\r\n");
    }
    line = this->Rest.substr(0, end);
    this->Rest.erase(0, end + 2);
    return true;
  }

  /** Reads a message; IsWhole tells whether it came whole. */
  Message Read(double until)
  {
    Message message;
    if (!this->TakeLine(message.First, until)) {
      return message;
    }
    std::string line;
    while (true) {
      if (!this->TakeLine(line, until)) {
        return message;
      }
      if (line.empty()) {
        break;
      }
      std::size_t colon = line.find(':');
      std::size_t value = line.find_first_not_of(" ", colon + 1);
      message.Headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
    if (Lower(message.Header("transfer-encoding")) == "chunked") {
      std::string part;
      while (true) {
        if (!this->TakeLine(line, until)) {
          return message;
        }
        std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (!this->Take(size + 2, part, until)) {
          return message;
        }
        if (size == 0) {
          break;
        }
        message.Body += part.substr(0, size);
      }
      message.IsWhole = true;
      return message;
    }
    std::string length = message.Header("content-length");
    std::size_t size =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    message.IsWhole = this->Take(size, message.Body, until);
    return message;
  }
};

inline bool SendAll(int socket, std::string const& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count =
      send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline sockaddr_in AddressOf(std::string const& text)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::size_t colon = text.rfind(':');
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline int Listen(std::string const& address)
{
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in bound = AddressOf(address);
  if (bind(listener, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) !=
        0 ||
      listen(listener, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  return listener;
}

/** Free ports of the loopback interface. */
inline std::vector<int> FreePorts(std::size_t count)
{
  std::vector<int> ports;
  std::vector<int> sockets;
  while (ports.size() < count) {
    int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf("127.0.0.1:0");
    socklen_t length = sizeof(address);
    if (bind(probe, reinterpret_cast<sockaddr*>(&address), length) != 0) {
      std::_Exit(2);
    }
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
    ports.push_back(ntohs(address.sin_port));
    sockets.push_back(probe);
  }
  for (int each : sockets) {
    close(each);
  }
  return ports;
}

inline std::string Local(int port)
{
  return "127.0.0.1:" + std::to_string(port);
}

inline int Connect(std::string const& address, double timeout)
{
  int socket =
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in to = AddressOf(address);
  int result = connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  if (result != 0) {
    pollfd watched{ socket, POLLOUT, 0 };
    int fault = 0;
    socklen_t length = sizeof(fault);
    bool isUp =
      errno == EINPROGRESS &&
      poll(&watched, 1, static_cast<int>(timeout)) == 1 &&
      getsockopt(socket, SOL_SOCKET, SO_ERROR, &fault, &length) == 0 &&
      fault == 0;
    if (!isUp) {
      close(socket);
      return -1;
    }
  }
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

inline std::string Encode64(std::string const& bytes)
{
  static char const* const signs =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned block = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      unsigned char byte =
        i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0;
      block = (block << 8U) | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      bool isPad = i + j > bytes.size();
      text += isPad ? '=' : signs[(block >> (18U - 6U * j)) & 63U];
    }
  }
  return text;
}

inline std::string Unescape(std::string const& text)
{
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
        std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

/** A listener whose connections are served by a function, one thread each. */
class Server
{
public:
  using Handler = std::function<void(Stream&, int)>;

  Server(std::string address, Handler handler)
    : At(std::move(address))
    , Handle(std::move(handler))
    , Listener(Listen(this->At))
  {
    std::thread([this] { this->Accept(); }).detach();
  }
  std::string const& Address() const { return this->At; }
  /** Connections that have been accepted so far. */
  int Accepted() const { return this->Count; }

private:
  void Accept()
  {
    while (true) {
      int socket = accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      int number = this->Count++;
      std::thread([this, socket, number] {
        Stream stream;
        stream.Socket = socket;
        this->Handle(stream, number);
        close(socket);
      }).detach();
    }
  }

  std::string At;
  Handler Handle;
  int Listener;
  std::atomic<int> Count{ 0 };
};

inline std::string Answer(int status, std::string const& body,
                          std::string const& headers = {})
{
  std::string text =
    "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

constexpr double Forever = 1e12;

/** The platform's store: PROTOCOL.md, "The platform's metadata store". */
class Store
{
public:
  explicit Store(std::string const& address)
    : Net(address,
          [this](Stream& stream, int number) { this->Serve(stream, number); })
  {
  }

  std::string const& Address() const { return this->Net.Address(); }

  /** Writes a row. \return When it was acknowledged. */
  double Put(std::string const& table, std::string const& key,
             Json const& value)
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->Tables[table][key] = { Encode64(value.dump()), ++this->Version,
                                 false };
    this->Changed.notify_all();
    return Now();
  }

  double Remove(std::string const& table, std::string const& key)
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->Tables[table][key] = { "", ++this->Version, true };
    this->Changed.notify_all();
    return Now();
  }

  /** All connections that are open now go silent for good, without a reset;
   * new ones work. \return Their number. */
  int Silence()
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->SilentBelow = this->Net.Accepted();
    this->Changed.notify_all();
    int open = 0;
    for (auto const& [number, isOpen] : this->Open) {
      open += isOpen ? 1 : 0;
    }
    return open;
  }

  int OpenConnections()
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    return static_cast<int>(
      std::count_if(this->Open.begin(), this->Open.end(),
                    [](auto const& each) { return each.second; }));
  }

  /** Called with each request line; for the record. */
  std::function<void(int, std::string const&)> OnCall;

private:
  struct Row
  {
    std::string Value;
    std::uint64_t Version = 0;
    bool IsGone = false;
  };

  bool IsSilent(int number) const { return number < this->SilentBelow; }

  Json Tell(std::string const& table, std::string const& key,
            Row const& row) const
  {
    Json record{ { "table", table },
                 { "part", "" },
                 { "tls_key", key },
                 { "value", row.Value },
                 { "ver", row.Version } };
    if (row.IsGone) {
      record["gone"] = true;
    }
    return record;
  }

  void Finish(Json& body) const
  {
    body["ver"] = this->Version;
    body["now_ms"] = static_cast<std::int64_t>(Now()) + 1000000;
  }

  static std::map<std::string, std::string> Query(std::string const& target)
  {
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      std::size_t end = target.find('&', at + 1);
      std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      std::size_t equals = pair.find('=');
      query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
      at = end;
    }
    return query;
  }

  /** \return Empty once the connection has gone silent. */
  std::optional<std::string> Reply(Message const& call, int number)
  {
    std::string target = call.Word(1);
    auto query = Query(target);
    std::unique_lock<std::mutex> lock(this->Mutex);
    Json body;
    if (target.rfind("/api/rows-get", 0) == 0) {
      body["records"] = Json::array();
      body["more"] = false;
      for (auto const& [key, row] : this->Tables[query["table"]]) {
        if (!row.IsGone && key >= query["source"]) {
          body["records"].push_back(this->Tell(query["table"], key, row));
        }
      }
    } else if (target.rfind("/api/rows-feed", 0) == 0) {
      std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
      auto until = Clock::now() + std::chrono::milliseconds(
                                    std::atoi(query["wait_ms"].c_str()));
      auto find = [&] {
        body["records"] = Json::array();
        for (auto const& [key, row] : this->Tables[query["table"]]) {
          if (row.Version > after) {
            body["records"].push_back(this->Tell(query["table"], key, row));
          }
        }
        return !body["records"].empty() || this->IsSilent(number);
      };
      this->Changed.wait_until(lock, until, find);
    } else if (target.rfind("/api/rows-tx", 0) == 0) {
      Json change = Json::parse(call.Body);
      bool holds = true;
      for (Json const& each : change["expected_rev"]) {
        auto& rows = this->Tables[each["table"]];
        auto row = rows.find(each["tls_key"]);
        bool isThere = row != rows.end() && !row->second.IsGone;
        holds = holds && each["ver"].get<std::uint64_t>() ==
                           (isThere ? row->second.Version : 0);
      }
      if (holds) {
        ++this->Version;
        for (Json const& each : change["put"]) {
          this->Tables[each["table"]][each["tls_key"]] = { each["value"],
                                                           this->Version,
                                                           false };
        }
        for (Json const& each : change["remove"]) {
          this->Tables[each["table"]][each["tls_key"]] = { "", this->Version,
                                                           true };
        }
        this->Changed.notify_all();
      } else {
        body["records"] = Json::array();
        for (Json const& each : change["expected_rev"]) {
          auto& rows = this->Tables[each["table"]];
          auto row = rows.find(each["tls_key"]);
          if (row != rows.end() && !row->second.IsGone) {
            body["records"].push_back(
              this->Tell(each["table"], each["tls_key"], row->second));
          }
        }
        this->Finish(body);
        return Answer(412, body.dump());
      }
    } else {
      return Answer(404, "{}");
    }
    if (this->IsSilent(number)) {
      return std::nullopt;
    }
    this->Finish(body);
    return Answer(200, body.dump());
  }

  void Serve(Stream& stream, int number)
  {
    {
      std::lock_guard<std::mutex> lock(this->Mutex);
      this->Open[number] = true;
    }
    while (true) {
      Message call = stream.Read(Forever);
      if (!call.IsWhole) {
        break;
      }
      bool isSilent = false;
      {
        std::lock_guard<std::mutex> lock(this->Mutex);
        isSilent = this->IsSilent(number);
      }
      if (this->OnCall) {
        this->OnCall(number, call.First + (isSilent ? " (silent)" : ""));
      }
      if (isSilent) {
        continue; // Taken in, and never answered.
      }
      Sleep(3);
      std::optional<std::string> reply = this->Reply(call, number);
      if (reply && !SendAll(stream.Socket, *reply)) {
        break;
      }
    }
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->Open[number] = false;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::uint64_t Version = 100;
  int SilentBelow = 0;
  std::map<int, bool> Open;
  Server Net;
};

/** What a runner has seen of a request. */
struct Run
{
  std::string Id;
  std::string Runner;
  std::string Target;
  std::string Tenant;
  double At = 0;
};

/** A runner: PROTOCOL.md, "Runners". */
class Runner
{
public:
  Runner(std::string id, std::string const& address, double workMillis)
    : Id(std::move(id))
    , WorkMillis(workMillis)
    , Net(address,
          [this](Stream& stream, int number) { this->Serve(stream, number); })
  {
  }

  Json Row(std::string const& service, std::string const& zone,
           int slots = 48) const
  {
    return Json{ { "service", service },
                 { "address", this->Net.Address() },
                 { "zone", zone },
                 { "version", "v1" },
                 { "capacity_slots", slots },
                 { "state", "ready" },
                 { "cold_left_ms", 0 },
                 { "call_seq", 1 } };
  }

  std::vector<Run> Runs()
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    return this->Ran;
  }

  /** Decides on the answer in place of the plain one; empty for that one. */
  std::function<std::optional<std::string>(Message const&, Stream&, int)> Act;
  std::string const Id;

private:
  void Serve(Stream& stream, int number)
  {
    while (true) {
      Message request = stream.Read(Forever);
      if (!request.IsWhole) {
        return;
      }
      std::string id = request.Header("gradescale-attempt-id");
      std::string expected = request.Header("gradescale-expect-instance");
      if (!expected.empty() && expected != this->Id) {
        SendAll(stream.Socket,
                Answer(421, "", "Gradescale-Attempt-Id: " + id + "\r\n"));
        continue;
      }
      {
        std::lock_guard<std::mutex> lock(this->Mutex);
        this->Ran.push_back({ id, this->Id, request.Word(1),
                              request.Header("gradescale-tenant"), Now() });
      }
      if (this->Act) {
        std::optional<std::string> reply = this->Act(request, stream, number);
        if (reply && !reply->empty() && !SendAll(stream.Socket, *reply)) {
          return;
        }
        if (reply) {
          continue;
        }
      }
      Sleep(this->WorkMillis);
      std::string headers = "Gradescale-Attempt-Id: " + id +
                            "\r\nGradescale-Response-Signature: s." + id +
                            "\r\nKeep-Alive: timeout=20\r\n";
      if (!SendAll(stream.Socket, Answer(200, "answer to " + id, headers))) {
        return;
      }
    }
  }

  double WorkMillis;
  std::mutex Mutex;
  std::vector<Run> Ran;
  Server Net;
};

/** Sends a request on a new connection. \return An answer with an empty first
 * line if none came. */
inline Message Call(std::string const& address, std::string const& request,
                    double timeout)
{
  Message answer;
  int socket = Connect(address, std::min(timeout, 1000.0));
  if (socket < 0) {
    return answer;
  }
  if (SendAll(socket, request)) {
    Stream stream;
    stream.Socket = socket;
    answer = stream.Read(Now() + timeout);
  }
  close(socket);
  return answer;
}

inline std::string Request(std::string const& method,
                           std::string const& target, std::string const& id,
                           std::string const& key, int deadline,
                           std::string const& further = {},
                           std::string const& body = {})
{
  std::string text =
    method + " " + target +
    " HTTP/1.1\r\nHost: a.example\r\n"
    "Gradescale-Attempt-Id: " +
    id + "\r\nGradescale-Deadline-Ms: " + std::to_string(deadline) +
    "\r\nAuthorization: Token " + key + "\r\n" + further;
  if (method != "GET" || !body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/** A temporary folder, removed at the end. */
class Folder
{
public:
  Folder()
  {
    char const* base = std::getenv("TMPDIR");
    std::string pattern =
      std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    this->Path = mkdtemp(pattern.data()) != nullptr ? pattern : "/tmp";
  }
  ~Folder() { std::system(("rm -rf " + this->Path).c_str()); }
  Folder(Folder const&) = delete;
  Folder& operator=(Folder const&) = delete;
  std::string Path;
};

/** An entry host: the program of the deploy file with its settings. */
class Host
{
public:
  Host(std::string name, std::string zone, std::string folder)
    : Name(std::move(name))
    , Zone(std::move(zone))
    , Path(folder + "/" + this->Name)
  {
    std::vector<int> ports = FreePorts(4);
    this->Front = Local(ports[0]);
    this->Ready = Local(ports[1]);
    this->Control = Local(ports[2]);
    this->Forward = Local(ports[3]);
  }
  ~Host() { this->Kill(SIGKILL); }
  Host(Host const&) = delete;
  Host& operator=(Host const&) = delete;

  /** As deploy/settings.json is filled. */
  void WriteSettings(std::string const& store,
                     std::vector<std::string> const& seeds, bool firstStart,
                     Json const& zones) const
  {
    Json settings{
      { "host", this->Name },
      { "hall", this->Zone },
      { "cores", 0.25 },
      { "callers", { { "listen", this->Front } } },
      { "operators", { { "listen", this->Ready }, { "token", "none" } } },
      { "peers",
        { { "listen", this->Control },
          { "forward_listen", this->Forward },
          { "token", "entry-hosts" },
          { "cluster", store },
          { "seeds", seeds } } },
      { "platform", { { "kind", "table" }, { "address", store } } },
      { "routing",
        { { "first_start", firstStart },
          { "leaving_ms", 2000 },
          { "regions", zones } } },
      { "duties", Json::object() },
      { "placement", Json::object() },
      { "overload", { { "mode", "off" } } },
      { "prefix_directory", { { "mode", "on" }, { "min_hosts", 32 } } },
      { "engine_speed", { { "mode", "off" } } },
      { "slot_sharing", { { "mode", "off" } } },
      { "memory", { { "mode", "on" }, { "total_mb", 260 } } },
      { "upstreams", { { "connect_timeout_ms", 300 } } },
      { "retry", { { "share", 0.1 }, { "burst_of_all", 58 } } },
      { "stop",
        { { "unready_ms", 2600 },
          { "longest_ms", 8000 },
          { "margin_ms", 400 } } }
    };
    std::ofstream(this->Path + ".json") << settings.dump(2);
  }

  void Start()
  {
    char const* program = std::getenv("GRADESCALED");
    std::string binary =
      program != nullptr ? program : "target/Source/gradescaled";
    this->Process = fork();
    if (this->Process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this process.
      int log = open((this->Path + ".log").c_str(),
                     O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      std::string settings = this->Path + ".json";
      execl(binary.c_str(), binary.c_str(), "--settings", settings.c_str(),
            static_cast<char*>(nullptr));
      std::_Exit(127);
    }
  }

  void Signal(int signal) const
  {
    if (this->Process > 0) {
      kill(this->Process, signal);
    }
  }

  void Kill(int signal)
  {
    if (this->Process > 0) {
      kill(this->Process, SIGCONT);
      kill(this->Process, signal);
      waitpid(this->Process, nullptr, 0);
      this->Process = -1;
    }
  }

  /** Whether the process has ended by itself. */
  bool HasEnded()
  {
    int status = 0;
    if (this->Process > 0 && waitpid(this->Process, &status, WNOHANG) > 0) {
      this->Process = -1;
      return true;
    }
    return this->Process <= 0;
  }

  bool IsReady() const
  {
    return Call(this->Ready, "GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n", 500)
             .Status() == 200;
  }

  bool WaitReady(double until) const
  {
    while (Now() < until) {
      if (this->IsReady()) {
        return true;
      }
      Sleep(50);
    }
    return false;
  }

  std::string Log() const
  {
    std::ifstream file(this->Path + ".log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  std::string Name;
  std::string Zone;
  std::string Path;
  std::string Front;
  std::string Ready;
  std::string Control;
  std::string Forward;
  pid_t Process = -1;
};

inline bool HasTrouble()
{
  char const* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/** Begins a route of a configuration. */
inline Json Route(std::string const& name, std::string const& prefix,
                  std::string const& kind, std::string const& service,
                  int timeout, int attempts)
{
  return Json{ { "name", name },
               { "host", "a.example" },
               { "path_prefix", prefix },
               { "kind", kind },
               { "timeout_ms", timeout },
               { "target_latency_ms", 300 },
               { "priority", 1 },
               { "service", service },
               { "max_attempts", attempts },
               { "allow_anonymous", false } };
}

inline Json Configuration(int version, Json const& routes,
                          Json const& services, Json const& tenants)
{
  return Json{ { "version", version },
               { "routes", routes },
               { "services", services },
               { "limits",
                 { { "max_header_bytes", 16384 },
                   { "max_body_bytes", 4194304 },
                   { "header_timeout_ms", 3000 },
                   { "idle_timeout_ms", 15000 } } },
               { "tenants", tenants } };
}

inline Json Service(std::string const& name)
{
  return Json{ { "name", name },
               { "health_path", "/health" },
               { "max_conns", 110 },
               { "protocol", "h1" },
               { "tls", false } };
}

inline Json Tenant(std::string const& name,
                   std::vector<std::string> const& keys)
{
  return Json{ { "name", name }, { "api_keys", keys }, { "priority", 1 } };
}

} // namespace review
