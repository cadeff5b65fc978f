/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "standIns.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::string Lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trim(std::string const& text)
{
  std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

sockaddr_in Loopback(int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Base64(std::string const& bytes)
{
  static char const* const digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned block = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      block =
        block * 256 +
        (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      bool used = i + j <= bytes.size();
      text += used ? digits[(block >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string Local(int port)
{
  return "127.0.0.1:" + std::to_string(port);
}

/** The parameters of a target's query. */
std::map<std::string, std::string> QueryOf(std::string const& target)
{
  std::map<std::string, std::string> query;
  std::size_t mark = target.find('?');
  std::istringstream list(mark == std::string::npos ? ""
                                                    : target.substr(mark + 1));
  std::string entry;
  while (std::getline(list, entry, '&')) {
    std::size_t equals = entry.find('=');
    query[entry.substr(0, equals)] =
      equals == std::string::npos ? "" : entry.substr(equals + 1);
  }
  return query;
}

void ServeConnection(int descriptor, Handler const& handler)
{
  Reader reader(descriptor);
  Head head;
  std::string body;
  while (ReadHead(reader, head) && ReadBody(reader, head, body) &&
         handler(descriptor, head, body)) {
    body.clear();
  }
  close(descriptor);
}

} // namespace

double Now()
{
  static auto const start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       start)
    .count();
}

void Sleep(double seconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record::Record(std::string const& file)
  : File(std::fopen(file.c_str(), "w"))
{
  if (this->File == nullptr) {
    throw std::runtime_error("No record: " + file);
  }
}

Record::~Record()
{
  std::fclose(this->File);
}

void Record::Line(std::string const& text)
{
  std::lock_guard<std::mutex> lock(this->Mutex);
  std::fprintf(this->File, "%8.3f %s\n", Now(), text.c_str());
  std::fflush(this->File);
}

int Listen(int& port)
{
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (descriptor < 0 || bind(descriptor, generic, length) != 0 ||
      listen(descriptor, 1024) != 0) {
    throw std::runtime_error("No port.");
  }
  getsockname(descriptor, generic, &length);
  port = ntohs(address.sin_port);
  return descriptor;
}

int FreePort()
{
  // Below the ports that the kernel gives to connections, which might take
  // one between this look and its use.
  constexpr int first = 15000;
  constexpr int count = 16000;
  static int next = first + static_cast<int>(getpid()) * 37 % count;
  for (int tries = 0; tries < count; ++tries) {
    next = next + 1 < first + count ? next + 1 : first;
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(next);
    bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                     sizeof(address)) == 0;
    close(descriptor);
    if (free) {
      return next;
    }
  }
  throw std::runtime_error("No port.");
}

int Connect(int port, int receiveBuffer)
{
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBuffer > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
               sizeof(receiveBuffer));
  }
  timeval timeout{ 20, 0 };
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

bool Reader::Fill()
{
  char block[65536];
  ssize_t count = recv(this->Descriptor, block, sizeof(block), 0);
  this->Error = count < 0 ? errno : 0;
  if (count <= 0) {
    return false;
  }
  this->Buffer.append(block, static_cast<std::size_t>(count));
  return true;
}

bool Reader::Line(std::string& line)
{
  std::size_t end = this->Buffer.find('\n');
  while (end == std::string::npos) {
    std::size_t from = this->Buffer.size();
    if (!this->Fill()) {
      return false;
    }
    end = this->Buffer.find('\n', from);
  }
  line = this->Buffer.substr(0, end);
  this->Buffer.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  return true;
}

bool Reader::Bytes(std::size_t count, std::string& bytes)
{
  while (this->Buffer.size() < count) {
    if (!this->Fill()) {
      return false;
    }
  }
  bytes.append(this->Buffer, 0, count);
  this->Buffer.erase(0, count);
  return true;
}

bool Reader::Some(std::size_t most, std::string& bytes)
{
  if (this->Buffer.empty() && !this->Fill()) {
    return false;
  }
  std::size_t count = std::min(most, this->Buffer.size());
  bytes.append(this->Buffer, 0, count);
  this->Buffer.erase(0, count);
  return true;
}

bool SendAll(int descriptor, std::string const& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count =
      send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Head::Find(std::string const& name) const
{
  for (auto const& [each, value] : this->Headers) {
    if (each == name) {
      return value;
    }
  }
  return {};
}

bool ReadHead(Reader& reader, Head& head)
{
  head = {};
  std::string line;
  while (reader.Line(line)) {
    if (line.empty() && head.First.empty()) {
      continue;
    }
    if (line.empty()) {
      return true;
    }
    if (head.First.empty()) {
      head.First = line;
      continue;
    }
    std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      head.Headers.emplace_back(Lower(line.substr(0, colon)),
                                Trim(line.substr(colon + 1)));
    }
  }
  return false;
}

bool ReadBody(Reader& reader, Head const& head, std::string& body)
{
  if (Lower(head.Find("transfer-encoding")) != "chunked") {
    std::string length = head.Find("content-length");
    return length.empty() || reader.Bytes(std::stoul(length), body);
  }
  std::string line;
  while (reader.Line(line)) {
    std::size_t size = std::stoul(line, nullptr, 16);
    if (size == 0) {
      while (reader.Line(line)) {
        if (line.empty()) {
          return true;
        }
      }
      return false;
    }
    if (!reader.Bytes(size, body) || !reader.Line(line)) {
      return false;
    }
  }
  return false;
}

int Serve(Handler handler)
{
  int port = 0;
  int listener = Listen(port);
  auto shared = std::make_shared<Handler>(std::move(handler));
  std::thread([listener, shared] {
    for (;;) {
      int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        continue;
      }
      int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([descriptor, shared] {
        ServeConnection(descriptor, *shared);
      }).detach();
    }
  }).detach();
  return port;
}

Store::Store()
{
  this->BoundPort =
    Serve([this](int descriptor, Head const& head, std::string const& body) {
      return this->OnRequest(descriptor, head, body);
    });
}

void Store::Put(std::string const& table, std::string const& key,
                Json const& value)
{
  std::lock_guard<std::mutex> lock(this->Mutex);
  this->Tables[table][key] = { ++this->Version, Base64(value.dump()) };
  this->Changed.notify_all();
}

void Store::Remove(std::string const& table, std::string const& key)
{
  std::lock_guard<std::mutex> lock(this->Mutex);
  this->Tables[table][key] = { ++this->Version, "" };
  this->Changed.notify_all();
}

Json Store::Above(std::string const& table, std::uint64_t version,
                  bool gone) const
{
  std::vector<std::pair<std::uint64_t, Json>> rows;
  auto found = this->Tables.find(table);
  if (found != this->Tables.end()) {
    for (auto const& [key, row] : found->second) {
      if (row.Version <= version || (row.Value.empty() && !gone)) {
        continue;
      }
      Json json{ { "table", table },
                 { "part", "" },
                 { "tls_key", key },
                 { "ver", row.Version } };
      row.Value.empty() ? json["gone"] = true : json["value"] = row.Value;
      rows.emplace_back(gone ? row.Version : 0, json);
    }
  }
  std::stable_sort(rows.begin(), rows.end(), [](auto const& a, auto const& b) {
    return a.first < b.first;
  });
  Json list = Json::array();
  for (auto const& [order, json] : rows) {
    list.push_back(json);
  }
  return list;
}

Json Store::Transact(Json const& body, int& status)
{
  Json current = Json::array();
  bool holds = true;
  for (Json const& name : body["expected_rev"]) {
    Row const& row = this->Tables[name["table"]][name["tls_key"]];
    std::uint64_t version = row.Value.empty() ? 0 : row.Version;
    holds = holds && version == name["ver"];
    if (version != 0) {
      current.push_back({ { "table", name["table"] },
                          { "part", "" },
                          { "tls_key", name["tls_key"] },
                          { "ver", version },
                          { "value", row.Value } });
    }
  }
  if (!holds) {
    status = 412;
    return { { "records", current } };
  }
  ++this->Version;
  for (Json const& put : body["put"]) {
    this->Tables[put["table"]][put["tls_key"]] = { this->Version,
                                                   put["value"] };
  }
  for (Json const& name : body["remove"]) {
    this->Tables[name["table"]][name["tls_key"]] = { this->Version, "" };
  }
  this->Changed.notify_all();
  return Json::object();
}

bool Store::OnRequest(int descriptor, Head const& head,
                      std::string const& body)
{
  std::istringstream first(head.First);
  std::string method;
  std::string target;
  first >> method >> target;
  std::string path = target.substr(0, target.find('?'));
  auto query = QueryOf(target);
  int status = 200;
  Json answer;
  {
    std::unique_lock<std::mutex> lock(this->Mutex);
    if (path == "/api/rows-get") {
      answer = { { "records", this->Above(query["table"], 0, false) },
                 { "more", false } };
    } else if (path == "/api/rows-feed") {
      std::uint64_t after = std::stoull(query["after"]);
      auto until = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(std::stoi(query["wait_ms"]));
      this->Changed.wait_until(lock, until, [&] {
        return !this->Above(query["table"], after, true).empty();
      });
      answer = { { "records", this->Above(query["table"], after, true) } };
    } else if (path == "/api/rows-tx") {
      answer = this->Transact(Json::parse(body), status);
    } else {
      status = 404;
      answer = Json::object();
    }
    answer["ver"] = this->Version;
    answer["now_ms"] = static_cast<std::uint64_t>(Now() * 1000);
  }
  std::string text = answer.dump();
  return SendAll(descriptor, "HTTP/1.1 " + std::to_string(status) +
                               " Answer\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(text.size()) + "\r\n\r\n" +
                               text);
}

void Arrivals::Add(Arrival const& arrival)
{
  std::lock_guard<std::mutex> lock(this->Mutex);
  this->List.push_back(arrival);
}

std::vector<Arrival> Arrivals::All() const
{
  std::lock_guard<std::mutex> lock(this->Mutex);
  return this->List;
}

std::string Arrivals::RunnerOf(std::string const& id) const
{
  std::lock_guard<std::mutex> lock(this->Mutex);
  for (Arrival const& arrival : this->List) {
    if (arrival.Id == id) {
      return arrival.Runner;
    }
  }
  return {};
}

void StartRunner(Store& store, Arrivals& arrivals, std::string const& id,
                 std::string const& service, std::string const& zone,
                 Handler handler)
{
  int port =
    Serve([&arrivals, id, handler = std::move(handler)](
            int descriptor, Head const& head, std::string const& body) {
      std::string request = head.Find("gradescale-attempt-id");
      if (head.Find("gradescale-expect-instance") != id) {
        return SendAll(descriptor, "HTTP/1.1 421 Misdirected Request\r\n"
                                   "Gradescale-Attempt-Id: " +
                                     request +
                                     "\r\nGradescale-Not-Executed: 1\r\n"
                                     "Content-Length: 0\r\n\r\n");
      }
      arrivals.Add(
        { request, id, head.First, head.Find("gradescale-tenant"), Now() });
      return handler(descriptor, head, body);
    });
  store.Put("servers", id,
            { { "service", service },
              { "address", Local(port) },
              { "zone", zone },
              { "version", "v1" },
              { "capacity_slots", 48 },
              { "state", "ready" },
              { "cold_left_ms", 0 },
              { "call_seq", 0 } });
}

std::string AnswerHead(std::string const& id, std::string const& more)
{
  return "HTTP/1.1 200 OK\r\nGradescale-Attempt-Id: " + id +
         "\r\nGradescale-Response-Signature: " + "sound." + id + "\r\n" +
         more + "\r\n";
}

Json Route(std::string const& prefix, std::string const& kind, int timeoutMs,
           int targetMs)
{
  return { { "name", "r" + std::to_string(std::hash<std::string>{}(prefix)) },
           { "host", "review.example" },
           { "path_prefix", prefix },
           { "kind", kind },
           { "timeout_ms", timeoutMs },
           { "target_latency_ms", targetMs },
           { "gap_aim_ms", 600 },
           { "priority", 1 },
           { "service", "service-a" },
           { "max_attempts", 1 },
           { "allow_anonymous", false },
           { "resume_streams", false } };
}

Json Configuration(Json const& routes)
{
  Json tenant{ { "name", "tenant-one" },
               { "api_keys", Json::array({ "key-one" }) } };
  return { { "version", 7 },
           { "routes", routes },
           { "services", Json::array({ { { "name", "service-a" },
                                         { "health_path", "/health" },
                                         { "max_conns", 310 } } }) },
           { "tenants", Json::array({ tenant }) },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

Host::Host(std::string const& program, std::string const& folder,
           std::string const& name, std::string const& zone,
           Store const& store)
  : Name(name)
  , Front(FreePort())
  , Program(program)
  , Folder(folder)
  , Zone(zone)
  , StorePort(store.Port())
  , Ready(FreePort())
  , Peer(FreePort())
  , Forward(FreePort())
{
  this->PeerAddress = Local(this->Peer);
}

Host::~Host()
{
  if (this->Process != 0) {
    kill(this->Process, SIGKILL);
    waitpid(this->Process, nullptr, 0);
  }
}

void Host::Start(std::vector<std::string> const& seeds)
{
  std::string file = this->Folder + "/" + this->Name + ".json";
  // deploy/settings.json, filled with the figures of a deployment of machines
  // with 0.25 cores and 260 MB.
  Json settings{
    { "host", this->Name },
    { "hall", this->Zone },
    { "cores", 0.25 },
    { "callers",
      { { "listen", Local(this->Front) }, { "max_header_kib", 32 } } },
    { "operators", { { "listen", Local(this->Ready) }, { "token", "none" } } },
    { "peers",
      { { "listen", this->PeerAddress },
        { "forward_listen", Local(this->Forward) },
        { "token", "entry-hosts" },
        { "cluster", Local(this->StorePort) },
        { "seeds", seeds } } },
    { "platform",
      { { "kind", "table" }, { "address", Local(this->StorePort) } } },
    { "routing",
      { { "first_start", false },
        { "leaving_ms", 2000 },
        { "regions", { { "zone-a", "city" }, { "zone-b", "city" } } } } },
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
  std::ofstream(file) << settings.dump(2);
  std::string log = this->Folder + "/" + this->Name + ".log";
  this->Process = fork();
  if (this->Process == 0) {
    // Ends with its parent, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(this->Program.c_str(), this->Program.c_str(), "--settings",
          file.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
}

bool Host::IsReady() const
{
  int descriptor = Connect(this->Ready);
  if (descriptor < 0) {
    return false;
  }
  Reader reader(descriptor);
  Head head;
  bool ready =
    SendAll(descriptor, "GET /api/ready HTTP/1.1\r\nHost: review.example\r\n"
                        "Connection: close\r\n\r\n") &&
    ReadHead(reader, head) && head.First.find(" 200") != std::string::npos;
  close(descriptor);
  return ready;
}

bool Host::WaitReady(double seconds) const
{
  double until = Now() + seconds;
  while (Now() < until) {
    if (this->IsReady()) {
      return true;
    }
    Sleep(0.05);
  }
  return false;
}

void Host::Signal(int signal) const
{
  if (this->Process != 0) {
    kill(this->Process, signal);
  }
}

bool Host::HasEnded()
{
  if (this->Process != 0 && waitpid(this->Process, nullptr, WNOHANG) != 0) {
    this->Process = 0;
  }
  return this->Process == 0;
}

long Host::AnonymousKib() const
{
  std::ifstream status("/proc/" + std::to_string(this->Process) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("RssAnon:", 0) == 0) {
      return std::stol(line.substr(8));
    }
  }
  return 0;
}

Answer Ask(int descriptor, Reader& reader, std::string const& request)
{
  Answer answer;
  Head head;
  if (!SendAll(descriptor, request) || !ReadHead(reader, head)) {
    answer.Problem =
      reader.Error == 0 ? "closed" : std::strerror(reader.Error);
    return answer;
  }
  answer.Status = std::stoi(head.First.substr(9, 3));
  answer.Runner = head.Find("gradescale-response-signature");
  answer.KeepsConnection = Lower(head.Find("connection")) != "close";
  answer.Whole = ReadBody(reader, head, answer.Body);
  if (!answer.Whole) {
    answer.Problem =
      reader.Error == 0 ? "closed" : std::strerror(reader.Error);
  }
  return answer;
}

std::string Request(std::string const& method, std::string const& target,
                    std::string const& id, std::string const& key,
                    int deadlineMs, std::string const& more)
{
  return method + " " + target +
         " HTTP/1.1\r\nHost: review.example\r\nGradescale-Attempt-Id: " + id +
         "\r\nGradescale-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" +
         (key.empty() ? "" : "Authorization: Token " + key + "\r\n") + more +
         "Content-Length: 0\r\n\r\n";
}

} // namespace review
