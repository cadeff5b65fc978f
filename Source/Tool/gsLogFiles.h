/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reading daemons' logs from files.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "gsLogRecord.h"
#include "gsTypes.h"

/**
 * Hands each record to a function, file by file; "-" is standard input. The
 * file's name without its ending names the host of lines that do not name one.
 * Lines that are no daemon's are passed over. Returns the number of records;
 * an error when a file cannot be read.
 */
gsResult<std::size_t> gsReadLogFiles(
  std::vector<std::string> const& files,
  std::function<void(gsLogRecord const& record)> const& take);
