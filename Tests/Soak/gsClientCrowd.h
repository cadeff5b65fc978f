/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Many raw connections of one program that all send the same bytes to one
 * address, each as fast as it is read, and then stay open.
 */
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gsLoop.h"

/** How the body of a request is sent. */
struct gsCrowdBody
{
  std::size_t Bytes = 0;
  std::size_t ChunkBytes = 0; ///< Zero for a body with a length.
  /** Bytes, or the last chunk, that are left out at its end. */
  std::size_t MissingBytes = 1;
};

/** A request whose body does not come to its end. */
std::string gsUnfinishedRequest(std::string const& path,
                                gsCrowdBody const& body);

enum class gsCrowdReading
{
  All,
  Nothing ///< Answers fill the smallest buffers that the kernel has.
};

class gsClientCrowd
{
public:
  /** Connects so many clients to IP:port. The bytes may be empty. */
  gsClientCrowd(gsLoop& loop, std::string const& address, std::size_t clients,
                std::string bytes,
                gsCrowdReading reading = gsCrowdReading::All);
  ~gsClientCrowd();
  gsClientCrowd(gsClientCrowd const&) = delete;
  gsClientCrowd& operator=(gsClientCrowd const&) = delete;

  /** Clients that neither have sent everything nor were ended. */
  std::size_t Sending() const;
  /** Clients whose connections were not ended by the other side. */
  std::size_t Open() const;
  /** Bytes that all clients have sent. */
  std::uint64_t Sent() const { return this->SentBytes; }
  /** Bytes that all clients have received. */
  std::uint64_t Received() const { return this->ReceivedBytes; }
  /** Ends all connections. */
  void Leave();

private:
  struct Client
  {
    int Descriptor = -1;
    std::size_t Sent = 0;
    bool Ended = false;
    std::unique_ptr<gsIoWatch> Watch;
  };

  void OnEvent(Client& client);
  void SendMore(Client& client);

  std::string const Bytes;
  gsCrowdReading const Reading;
  std::vector<std::unique_ptr<Client>> Clients;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
};
