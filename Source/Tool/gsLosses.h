/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The tool's command that tells, from the logs of all hosts, where requests
 * lose their targets.
 */
#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

#include "gsTargetMissReport.h"
#include "gsTypes.h"

/** Reads logs from files; "-" is standard input. Fails when a file cannot be
 * read or none holds a request's end. */
gsResult<gsTargetMissReport> gsLossesFromFiles(
  std::vector<std::string> const& files, std::size_t pauses);

/** Writes the report as tables of text. */
void gsPrintLosses(gsTargetMissReport const& report, std::ostream& out);

/** Writes the report as one JSON object. */
void gsPrintLossesJson(gsTargetMissReport const& report, std::ostream& out);
