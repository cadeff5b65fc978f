/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The processes of a test: their folder, addresses and logs, and the links of
 * the fault-injecting proxy between them. It ends only the processes that it
 * has started, by their ids.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/process/child.hpp>
#include <nlohmann/json.hpp>

using gsJson = nlohmann::json;

/** One process; its arguments begin with the program. */
struct gsTestProcess
{
  std::vector<std::string> Arguments;
  boost::process::child Child;
  std::string Address;   ///< Of callers, control or account.
  std::string Operators; ///< Of hosts only.
  std::string Hall;      ///< Empty for what belongs to none.
  int Starts = 0;        ///< Each start has a log of its own.
  /** Descriptors that it may open; zero for as many as this process. */
  std::size_t MaxDescriptors = 0;
};

class gsTestProcesses
{
public:
  /** Makes a folder whose name begins with the prefix. */
  explicit gsTestProcesses(std::string const& prefix);
  /** Ends all processes; removes the folder unless logs shall be kept. */
  ~gsTestProcesses();
  gsTestProcesses(gsTestProcesses const&) = delete;
  gsTestProcesses& operator=(gsTestProcesses const&) = delete;

  /**
   * A free address on loopback. It stays reserved for the processes of this
   * object: the kernel gives its port to no other program, whether as a free
   * one or for a connection. They listen there with SO_REUSEADDR set.
   */
  std::string NewAddress();

  /**
   * Adds a link of the proxy; the result is where to connect.
   *
   * \param from Machine that connects, as the proxy names it; may be empty.
   * \param to Machine of the target; may be empty.
   */
  std::string Link(std::string const& name, std::string const& target,
                   std::string const& from = {}, std::string const& to = {});
  /** Adds the process "proxy" with all links added so far. */
  void AddProxy();
  /** Links of the proxy by name. */
  gsJson const& Links() const { return this->LinkTable; }

  /** The process of this name; made if there is none. */
  gsTestProcess& operator[](std::string const& name)
  {
    return this->Table[name];
  }
  gsTestProcess& At(std::string const& name) { return this->Table.at(name); }
  gsTestProcess const& At(std::string const& name) const
  {
    return this->Table.at(name);
  }
  std::vector<std::string> Names() const;

  /** Starts a process with its arguments. */
  void Launch(std::string const& name);
  void Signal(std::string const& name, int signal);
  bool Running(std::string const& name);
  /** Descriptors that a process has open. */
  std::size_t OpenDescriptors(std::string const& name) const;

  std::string const& Folder() const { return this->Directory; }
  /** Logs of all starts of a process so far, oldest first. */
  std::vector<std::string> LogsOf(std::string const& name) const;

private:
  std::string LogOf(std::string const& name, int start) const;

  std::string Directory;
  std::map<std::string, gsTestProcess> Table;
  gsJson LinkTable = gsJson::object();
  std::vector<int> Held; ///< Bound sockets that reserve addresses.
};

/** Where a program of this build lies. */
std::string gsTestProgram(std::string const& name);
