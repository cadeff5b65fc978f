/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Compact text format of an upstream, which hosts use in their replicas of the
 * table and in updates to each other. It takes about 60 bytes, a quarter of
 * the platform's row, and is parsed in a tenth of the time. It omits the
 * fields of the platform's row that hosts do not use.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gsFleet.h"

/** Formats an upstream without its id. \return An empty string if the service,
 * address or hall is empty or contains the field separator. */
std::string gsUpstreamText(gsListedUpstream const& upstream);

/** Whether a text is in this format, as opposed to a platform's row. Checks
 * only the first byte. */
bool gsIsUpstreamText(std::string_view text);

/** Parses a text. \return Empty if it is malformed or incomplete. */
std::optional<gsListedUpstream> gsParseUpstreamText(std::string_view id,
                                                    std::string_view text);
