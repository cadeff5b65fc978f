/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * In which form a row is told to another host. Hosts of several releases run
 * side by side while they are replaced, and a row that a host cannot read
 * names no upstream to it: it would drop its upstreams one by one. So each
 * host says in its frames which forms it reads, and one that says nothing is
 * told the platform's own rows, which all releases read.
 *
 * \sa docs/design/releases.md
 */
#pragma once

#include <cstdint>

#include "gsAdapter.h"
#include "gsTableCopy.h"

/** A form of rows, as frames name it. Rises with each new form; a host that
 * reads one reads all before it. */
enum class gsRowForm : std::uint32_t
{
  Platform = 0, ///< The platform's own bytes.
  Compact = 1   ///< An upstream as gsUpstreamText writes it.
};

/** The newest form that this release reads and tells. */
constexpr gsRowForm gsRowFormRead = gsRowForm::Compact;

/**
 * News of the table of upstreams as a host that reads up to that form may be
 * told them. Rows whose form is older already, and those that name no
 * upstream, stay as they are. Made anew from the compact row, the platform's
 * own takes some 4 times the bytes; nothing of it is kept.
 */
gsTableNews gsNewsInForm(gsTableNews news, gsRowForm reads,
                         gsAdapter const& adapter);
