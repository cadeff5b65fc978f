/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The tool's command that tells, from the logs of all hosts, what came close
 * to a promise.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "gsNearMiss.h"
#include "gsTypes.h"

/** Reads logs from files; "-" is standard input. Fails when a file cannot be
 * read or none holds a line of a daemon's. */
gsResult<gsNearMissReport> gsNearMissesFromFiles(
  std::vector<std::string> const& files, gsTime leavingBound);

/** Writes the report as tables of text; "none" in place of an empty one. */
void gsPrintNearMisses(gsNearMissReport const& report, std::ostream& out);

/** Writes the report as one JSON object. */
void gsPrintNearMissesJson(gsNearMissReport const& report, std::ostream& out);
