/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tables of text for a terminal.
 */
#pragma once

#include <string>
#include <vector>

/** Lines up rows under a heading; columns are two spaces apart. */
std::string gsFormatTable(std::vector<std::string> const& heading,
                          std::vector<std::vector<std::string>> const& rows);
