/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reads a caller's HTTP request: whose it is, of which class, and what the
 * upstream shall get. Whatever is wrong with it is found here.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "gsDocument.h"
#include "gsHeldRequest.h"
#include "gsHttpServer.h"

class gsRequestReader
{
public:
  /** HostNumber is this host's part of request ids. */
  gsRequestReader(std::uint64_t hostNumber, std::uint64_t maxBodyKib);

  /** Takes over keys and templates; the document must outlive the reader. */
  void TakeDocument(gsDocument const& document);

  /** The organisation whose key the request carries. */
  gsResult<gsOrganisation const*> Authenticate(
    gsHttpExchange const& exchange) const;

  /** The request, ready to be asked for; the exchange's body is used up. */
  gsResult<gsHeldRequestPtr> Read(
    std::shared_ptr<gsHttpExchange> const& exchange,
    gsOrganisation const& organisation);

private:
  struct KeyEntry
  {
    std::string Hash;
    std::string Organisation;
  };

  gsResult<bool> ReadModel(gsHeldRequest& request,
                           gsOrganisation const& organisation);
  gsResult<bool> ReadService(gsHeldRequest& request,
                             gsOrganisation const& organisation);
  gsResult<std::string> TemplateFor(gsHttpExchange const& exchange,
                                    std::string const& service) const;

  std::uint64_t HostNumber;
  std::uint64_t MaxBodyKib;
  std::uint64_t NextSequence = 1;
  gsDocument const* Document = nullptr;
  std::unordered_map<std::string, KeyEntry> Keys; ///< By hash.
};
