/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * An upstream as hosts keep it in their copies of the table and tell it each
 * other: some 60 bytes, a quarter of the platform's own row, and read in a
 * tenth of the time. What the platform's row says beside is of no use to
 * hosts.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gsFleet.h"

/** The text; empty if a name holds a sign that would end it. */
std::string gsUpstreamText(gsListedUpstream const& upstream);

/** Whether a text is of this form, and not a platform's row. */
bool gsIsUpstreamText(std::string_view text);

/** Reads it; nothing if it is not whole. */
std::optional<gsListedUpstream> gsReadUpstreamText(std::string_view id,
                                                   std::string_view text);
