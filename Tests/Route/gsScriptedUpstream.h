/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * An upstream of the routed mode whose every byte a test decides: a small
 * TCP server in the test's own loop that hands each whole request to a
 * script. It can answer twice, late, cut, for another request, or never.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gsLoop.h"

/** A request as it came in. */
struct gsScriptedRequest
{
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;

  std::string Header(std::string const& name) const
  {
    auto found = this->Headers.find(name);
    return found == this->Headers.end() ? std::string() : found->second;
  }
  std::string Id() const { return this->Header("gradescale-attempt-id"); }
};

class gsScriptedUpstream
{
public:
  /** One accepted connection. */
  class Connection
  {
  public:
    Connection(gsScriptedUpstream& owner, int descriptor);
    ~Connection();
    Connection(Connection const&) = delete;
    Connection& operator=(Connection const&) = delete;

    void Write(std::string_view bytes);
    void Close();
    /** Closes it with a reset. */
    void Reset();
    /** Whether the other side has closed it. */
    bool Gone() const { return this->Descriptor < 0; }
    /** Bytes written that the kernel has not taken yet. */
    std::size_t Pending() const { return this->Output.size(); }

  private:
    void OnEvents(int events);
    void OnReadable();
    void SendOutput();
    bool TakeRequest();

    gsScriptedUpstream& Owner;
    int Descriptor;
    std::string Input;
    std::string Output; ///< Not taken by the kernel yet.
    std::unique_ptr<gsIoWatch> Watch;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Script =
    std::function<void(ConnectionPtr const&, gsScriptedRequest const&)>;

  gsScriptedUpstream(gsLoop& loop, std::string id, Script script);
  ~gsScriptedUpstream();
  gsScriptedUpstream(gsScriptedUpstream const&) = delete;
  gsScriptedUpstream& operator=(gsScriptedUpstream const&) = delete;

  std::string const& Id() const { return this->Name; }
  std::string const& Address() const { return this->Bound; }
  void Follow(Script script) { this->Run = std::move(script); }

  /** Whether bytes of requests are read. */
  bool ReadsRequests = true;
  std::vector<gsScriptedRequest> Requests; ///< All that came, in order.
  std::vector<ConnectionPtr> Connections;  ///< All that were accepted.

private:
  void OnAcceptable();

  gsLoop& Loop;
  std::string Name;
  std::string Bound;
  Script Run;
  int Listener = -1;
  std::unique_ptr<gsIoWatch> Watch;
};

/** A whole answer to the request, signed, with its length. */
std::string gsWholeAnswer(gsScriptedRequest const& request,
                          std::string_view body, unsigned status = 200,
                          std::string_view extraHeaders = {});

/** The head of a stream of events in chunks. */
std::string gsStreamHead(gsScriptedRequest const& request);

/** One chunk of a chunked answer; an empty one is the last. */
std::string gsChunk(std::string_view bytes);

/** An event with an id. */
std::string gsEvent(std::uint64_t id, std::string_view data);
