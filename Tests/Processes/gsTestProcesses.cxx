/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTestProcesses.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <arpa/inet.h>
#include <boost/process/args.hpp>
#include <boost/process/io.hpp>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/** Lowers the number of descriptors of the processes that are started while it
 * exists. */
class DescriptorLimit
{
public:
  explicit DescriptorLimit(std::size_t count)
  {
    getrlimit(RLIMIT_NOFILE, &this->Before);
    if (count > 0) {
      rlimit lowered = this->Before;
      lowered.rlim_cur = std::min<rlim_t>(lowered.rlim_cur, count);
      setrlimit(RLIMIT_NOFILE, &lowered);
    }
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->Before); }
  DescriptorLimit(DescriptorLimit const&) = delete;
  DescriptorLimit& operator=(DescriptorLimit const&) = delete;

private:
  rlimit Before{};
};

} // namespace

std::string gsTestProgram(std::string const& name)
{
  std::string build = GRADESCALE_BUILD_DIR;
  bool standIn = name.rfind("gsStandIn", 0) == 0;
  return build + (standIn ? "/Tests/StandIns/" : "/Source/") + name;
}

gsTestProcesses::gsTestProcesses(std::string const& prefix)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::string folder = "/tmp/" + prefix + "-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->Directory = folder;
}

gsTestProcesses::~gsTestProcesses()
{
  for (auto& [name, process] : this->Table) {
    if (process.Child.valid()) {
      std::error_code ignored;
      kill(process.Child.id(), SIGCONT);
      process.Child.terminate(ignored);
      process.Child.wait(ignored);
    }
  }
  for (int descriptor : this->Held) {
    close(descriptor);
  }
  if (std::getenv("GRADESCALE_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->Directory, ignored);
  }
}

std::string gsTestProcesses::NewAddress()
{
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t length = sizeof(address);
  if (bind(descriptor, generic, length) != 0 ||
      getsockname(descriptor, generic, &length) != 0) {
    throw std::runtime_error("no free address");
  }
  this->Held.push_back(descriptor);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

std::string gsTestProcesses::Link(std::string const& name,
                                  std::string const& target,
                                  std::string const& from,
                                  std::string const& to)
{
  std::string address = this->NewAddress();
  gsJson& link = this->LinkTable[name];
  link = { { "listen", address }, { "target", target } };
  if (!from.empty()) {
    link["from"] = from;
  }
  if (!to.empty()) {
    link["to"] = to;
  }
  return address;
}

void gsTestProcesses::AddProxy()
{
  std::string file = this->Directory + "/links.json";
  std::ofstream(file) << this->LinkTable.dump(2);
  gsTestProcess& proxy = this->Table["proxy"];
  proxy.Address = this->NewAddress();
  proxy.Arguments = { gsTestProgram("gsStandInProxy"), "--listen",
                      proxy.Address, "--links", file };
}

std::vector<std::string> gsTestProcesses::Names() const
{
  std::vector<std::string> names;
  names.reserve(this->Table.size());
  for (auto const& [name, process] : this->Table) {
    names.push_back(name);
  }
  return names;
}

std::string gsTestProcesses::LogOf(std::string const& name, int start) const
{
  std::string file = this->Directory;
  file.append("/").append(name).append(".");
  return file.append(std::to_string(start)).append(".log");
}

std::vector<std::string> gsTestProcesses::LogsOf(std::string const& name) const
{
  int starts = this->At(name).Starts;
  std::vector<std::string> logs;
  logs.reserve(static_cast<std::size_t>(starts));
  for (int start = 0; start < starts; ++start) {
    logs.push_back(this->LogOf(name, start));
  }
  return logs;
}

void gsTestProcesses::Launch(std::string const& name)
{
  namespace bp = boost::process;
  gsTestProcess& process = this->Table.at(name);
  std::string log = this->LogOf(name, process.Starts++);
  std::vector<std::string> arguments(process.Arguments.begin() + 1,
                                     process.Arguments.end());
  DescriptorLimit limit(process.MaxDescriptors);
  process.Child =
    bp::child(process.Arguments[0], bp::args(arguments),
              (bp::std_out & bp::std_err) > log, bp::std_in < bp::null);
}

void gsTestProcesses::Signal(std::string const& name, int signal)
{
  kill(this->Table.at(name).Child.id(), signal);
}

bool gsTestProcesses::Running(std::string const& name)
{
  std::error_code ignored;
  return this->Table.at(name).Child.running(ignored);
}

std::size_t gsTestProcesses::OpenDescriptors(std::string const& name) const
{
  std::error_code ignored;
  std::filesystem::directory_iterator open(
    "/proc/" + std::to_string(this->Table.at(name).Child.id()) + "/fd",
    ignored);
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}
