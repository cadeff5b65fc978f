/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What became of one request, and why, told from the daemons' logs: the lines
 * of all hosts that name it, those that tell what its hosts believed at the
 * time, and a sentence with the cause. Nothing here does I/O.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "gsLogRecord.h"

/** How a request ended for its caller. */
enum class gsStoryEnd
{
  Unknown,   ///< The logs hold no final line.
  InTarget,  ///< A whole answer in time.
  Late,      ///< A whole answer, beyond the target or with long pauses.
  Rejected,  ///< Not admitted.
  Refused,   ///< Given up without having run.
  Failed,    ///< It may have run; there is no whole answer.
  CallerLeft ///< The caller closed first.
};

char const* gsStoryEndWord(gsStoryEnd end);

struct gsStory
{
  std::string Request;
  std::size_t Named = 0;            ///< Records that name the request.
  std::vector<gsLogRecord> Records; ///< In order of time.
  gsStoryEnd End = gsStoryEnd::Unknown;
  std::string Cause; ///< One or more sentences.
};

/** Collects the records of one request while logs are read. */
struct gsStoryReader
{
  std::string Request;
  std::vector<gsLogRecord> Named;
  std::vector<gsLogRecord> Beliefs; ///< Of all hosts and times.
};

/** Keeps a record if the story may need it. */
void gsStoryTake(gsStoryReader& reader, gsLogRecord record);

/** Puts the story together, once all records have been taken. */
gsStory gsStoryTell(gsStoryReader const& reader);
