/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Parses and validates a caller's HTTP request. Determines its organisation,
 * its class, and the request that is sent to the upstream. All errors of a
 * request itself are detected here.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "gsDocument.h"
#include "gsHttpServer.h"
#include "gsOpenRequest.h"

class gsRequestParser
{
public:
  /** The host number is part of the ids of this host's requests. The body
   * limit is in KiB. */
  gsRequestParser(std::uint64_t hostNumber, std::uint64_t maxBodyKib);

  /** Sets the keys and templates; the document must outlive the reader. */
  void ApplyDocument(gsDocument const& document);

  /** The organisation to which the API key of the request belongs. */
  gsResult<gsOrganisation const*> Authenticate(
    gsHttpExchange const& exchange) const;

  /** Parses the request so that a grant can be requested for it. Moves the
   * body out of the exchange. */
  gsResult<gsOpenRequestPtr> Parse(
    std::shared_ptr<gsHttpExchange> const& exchange,
    gsOrganisation const& organisation);

private:
  struct KeyEntry
  {
    std::string Hash;
    std::string Organisation;
  };

  gsResult<bool> ParseModelRequest(gsOpenRequest& request,
                                   gsOrganisation const& organisation);
  gsResult<bool> ParseServiceRequest(gsOpenRequest& request,
                                     gsOrganisation const& organisation);
  gsResult<std::string> ResolveTemplateName(gsHttpExchange const& exchange,
                                            std::string const& service) const;

  std::uint64_t HostNumber;
  std::uint64_t MaxBodyKib;
  std::uint64_t NextSequence = 1;
  gsDocument const* Document = nullptr;
  std::unordered_map<std::string, KeyEntry> Keys; ///< By hash.
};
