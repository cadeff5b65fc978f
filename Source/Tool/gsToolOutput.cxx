/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsToolOutput.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include <unistd.h>

#include "gsTable.h"

bool gsWantsJson(gsToolOptions const& options)
{
  if (options.Output == "auto") {
    return isatty(STDOUT_FILENO) == 0;
  }
  return options.Output == "json";
}

int gsToolFail(gsError const& error)
{
  std::cerr << "gradescale: " << error.Message << " (code " << error.Code
            << ", step " << error.Step;
  if (!error.Peer.empty()) {
    std::cerr << ", peer " << error.Peer;
  }
  std::cerr << ")\n";
  if (error.Code == "unreachable") {
    return gsToolUnreachable;
  }
  if (error.Code == "conflict") {
    return gsToolConflict;
  }
  bool usage = error.Code == "bad_json" || error.Code == "bad_value" ||
               error.Code == "unknown_field" || error.Code == "invalid" ||
               error.Code == "unreadable";
  return usage ? gsToolUsage : gsToolFailed;
}

gsResult<std::string> gsReadWholeFile(std::string const& path)
{
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return gsError{ "unreadable", path + ": the file cannot be read.", "read",
                    path };
  }
  return text.str();
}

gsResult<gsDocument> gsReadDocumentFile(std::string const& path)
{
  gsResult<std::string> text = gsReadWholeFile(path);
  if (!text) {
    return text.error();
  }
  return gsDocumentFromText(text.value(), path);
}

std::string gsCellText(gsJson const& value)
{
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.dump();
}

void gsPrintRows(gsToolOptions const& options, gsJson const& rows,
                 std::vector<std::string> const& fields)
{
  if (gsWantsJson(options)) {
    std::cout << rows.dump(2) << '\n';
    return;
  }
  std::vector<std::vector<std::string>> cells;
  for (gsJson const& row : rows) {
    std::vector<std::string> line;
    line.reserve(fields.size());
    for (std::string const& field : fields) {
      line.push_back(row.contains(field) ? gsCellText(row[field]) : "-");
    }
    cells.push_back(std::move(line));
  }
  std::cout << gsFormatTable(fields, cells);
}

void gsPrintChange(gsToolOptions const& options, gsJson const& state)
{
  if (gsWantsJson(options)) {
    std::cout << state.dump(2) << '\n';
    return;
  }
  std::cout << "change " << gsCellText(state["id"]) << ": "
            << gsCellText(state["summary"]) << ", version "
            << gsCellText(state["version"]) << ", "
            << gsCellText(state["state"]) << '\n';
  for (gsJson const& host : state["missing"]) {
    std::cout << "  not yet in force on " << gsCellText(host) << '\n';
  }
}
