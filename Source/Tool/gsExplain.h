/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The tool's command that tells a request's story from logs.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "gsRequestTimeline.h"

/** Reads logs from files; "-" is standard input. The file's name without its
 * ending names the host of lines that do not name one. */
gsResult<gsRequestTimeline> gsExplainFromFiles(
  std::string const& request, std::vector<std::string> const& files);

/** Writes the story as text: a line a record, and the cause at the end. */
void gsPrintStory(gsRequestTimeline const& story, std::ostream& out);

/** Writes the story as one JSON object. */
void gsPrintStoryJson(gsRequestTimeline const& story, std::ostream& out);
