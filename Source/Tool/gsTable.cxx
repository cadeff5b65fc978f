/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTable.h"

#include <algorithm>

std::string gsFormatTable(std::vector<std::string> const& heading,
                          std::vector<std::vector<std::string>> const& rows)
{
  std::vector<std::size_t> widths;
  widths.reserve(heading.size());
  for (std::string const& cell : heading) {
    widths.push_back(cell.size());
  }
  for (std::vector<std::string> const& row : rows) {
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  auto add = [&](std::vector<std::string> const& row) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      if (i + 1 < row.size()) {
        cell.resize(widths[i] + 2, ' ');
      }
      line += cell;
    }
    text += line + '\n';
  };
  add(heading);
  for (std::vector<std::string> const& row : rows) {
    add(row);
  }
  return text;
}
