/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Encodes and decodes the platform's tables in frames between hosts: updates
 * of a table, and the versions and digests of both tables in a frame's header.
 */
#pragma once

#include <optional>
#include <string>

#include "Generated/gsPeer.pb.h"
#include "gsDivergenceCheck.h"
#include "gsTableReplica.h"

/** Versions and digests of both tables, from a frame's header. */
struct gsTablesHeader
{
  gsTableDigest Routes;
  gsTableDigest Upstreams;
  /** If absent, only the versions of Routes and Upstreams are valid; if
   * malformed, nothing is. */
  gsDigestFields DigestFields = gsDigestFields::Absent;
};

/** Encodes an update of a table. */
void gsToWire(std::string const& table, gsTableUpdate const& update,
              gradescale::TableNews& wire);
/** Adds an update of a table to a frame. */
void gsAddTableUpdate(gradescale::Frame& frame, std::string const& table,
                      gsTableUpdate const& update);
/** Decodes an update. */
gsTableUpdate gsParseTableUpdate(gradescale::TableNews const& wire);

/** Sets the versions and digests in a frame's header. */
void gsFillTableDigests(gradescale::Frame& frame, gsTableDigest const& routes,
                        gsTableDigest const& upstreams);
/** Decodes the versions and digests; empty if the header contains none. */
std::optional<gsTablesHeader> gsParseTableDigests(
  gradescale::Frame const& frame);
