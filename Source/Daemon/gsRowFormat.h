/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The format in which rows are sent to another host. Hosts of several releases
 * run at the same time during an upgrade. A host that cannot parse a row does
 * not list the row's upstream, so unknown formats would make it remove its
 * upstreams one by one. Each host therefore announces in its frames the newest
 * format that it can parse. A host that announces none receives rows in the
 * platform's own format, which all releases can parse.
 *
 * \sa docs/design/releases.md
 */
#pragma once

#include <cstdint>

#include "gsAdapter.h"
#include "gsTableReplica.h"

/** Format of rows, with the number that frames contain. Each new format has a
 * higher number; a host that can parse a format can parse all lower ones. */
enum class gsRowFormat : std::uint32_t
{
  Platform = 0, ///< The platform's own format.
  Compact = 1,  ///< Upstreams formatted by gsUpstreamText.
  /** Large values may be patches, and large updates arrive in segments; see
   * gsTableExchange. */
  Patched = 2
};

/** The newest format that this release can parse and send. */
constexpr gsRowFormat gsNewestRowFormat = gsRowFormat::Patched;

/**
 * Converts an update of the table of upstreams for a receiver that can parse
 * formats up to the given one. Rows that are already in an older format, and
 * rows that do not describe an upstream, are left unchanged. A row in the
 * platform's format is about 4 times as large as a compact one; converted rows
 * are not cached.
 */
gsTableUpdate gsConvertTableUpdate(gsTableUpdate update,
                                   gsRowFormat newestReadable,
                                   gsAdapter const& adapter);
