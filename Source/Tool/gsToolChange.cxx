/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsToolChange.h"

#include <chrono>
#include <iostream>
#include <thread>
#include <utility>

#include <unistd.h>

#include "gsLoop.h"
#include "gsSecret.h"

namespace {

constexpr std::chrono::milliseconds WaitPoll{ 200 };

/** An object of the configuration by name, or null. */
gsResult<gsJson> Current(gsToolOptions const& options, char const* table,
                         std::string const& name)
{
  gsResult<gsJson> config =
    gsCallOperator(options.Operator, "GET", "/v1/config");
  if (!config) {
    return config.error();
  }
  for (gsJson const& row : config.value()[table]) {
    if (row["name"] == name) {
      return row;
    }
  }
  return gsJson();
}

} // namespace

int gsWaitAccepted(gsToolOptions const& options, gsJson state)
{
  gsTime deadline = gsLoop::Now() + gsFromSeconds(options.WaitSeconds);
  std::string said;
  while (state["state"] != "accepted") {
    std::string missing = state["missing"].dump();
    if (missing != said && isatty(STDERR_FILENO) != 0) {
      std::cerr << "stored; not yet in force on " << missing << '\n';
      said = missing;
    }
    if (gsLoop::Now() >= deadline) {
      gsPrintChange(options, state);
      return gsToolNotAccepted;
    }
    std::this_thread::sleep_for(WaitPoll);
    gsResult<gsJson> next =
      gsCallOperator(options.Operator, "GET",
                     "/v1/changes/" + state["id"].get<std::string>());
    if (!next) {
      return gsToolFail(next.error());
    }
    state = next.value();
  }
  gsPrintChange(options, state);
  return gsToolOk;
}

int gsSubmitChange(gsToolOptions const& options, gsJson change)
{
  if (!change.contains("id")) {
    change["id"] = gsRandomId();
  }
  gsResult<gsJson> state =
    gsCallOperator(options.Operator, "POST", "/v1/changes", change.dump());
  if (!state) {
    if (state.error().Code == "unreachable" ||
        state.error().Code == "not_known") {
      std::cerr << "gradescale: the change has the id "
                << change["id"].get<std::string>()
                << "; 'gradescale change show' tells whether it was stored.\n";
    }
    return gsToolFail(state.error());
  }
  if (options.NoWait) {
    gsPrintChange(options, state.value());
    return gsToolOk;
  }
  return gsWaitAccepted(options, state.value());
}

int gsSetObject(gsToolOptions const& options, char const* table,
                char const* kind, char const* field, std::string const& name,
                gsAssignments const& assigned)
{
  gsResult<gsJson> current = Current(options, table, name);
  if (!current) {
    return gsToolFail(current.error());
  }
  gsJson object = current.value();
  std::uint64_t revision = 0;
  if (object.is_null()) {
    object = { { "name", name } };
  } else {
    revision = object["revision"].get<std::uint64_t>();
    object.erase("revision");
  }
  assigned.Merge(object);
  return gsSubmitChange(options, { { "kind", kind },
                                   { "expected_revision", revision },
                                   { field, object } });
}

int gsCheckFile(std::string const& path)
{
  gsResult<gsDocument> document = gsReadDocumentFile(path);
  if (!document) {
    return gsToolFail(document.error());
  }
  gsDocument const& read = document.value();
  std::cout << path << ": valid; " << read.Tiers.size() << " tiers, "
            << read.Templates.size() << " templates, "
            << read.Organisations.size() << " organisations, "
            << read.Upstreams.size() << " upstreams.\n";
  return gsToolOk;
}

int gsApplyFile(gsToolOptions const& options, std::string const& path)
{
  gsResult<gsDocument> document = gsReadDocumentFile(path);
  if (!document) {
    return gsToolFail(document.error());
  }
  return gsSubmitChange(
    options,
    { { "kind", "import" }, { "document", gsToJson(document.value()) } });
}
