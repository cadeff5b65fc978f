/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTool.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <unistd.h>

#include "gsDocumentJson.h"
#include "gsExplain.h"
#include "gsLosses.h"
#include "gsNearMisses.h"
#include "gsRestClient.h"
#include "gsSecret.h"
#include "gsTable.h"

namespace {

constexpr std::chrono::milliseconds WaitPoll{ 200 };

/** What all commands share. */
struct Options
{
  gsOperatorEndpoint Operator;
  std::string Output = "auto";
  bool NoWait = false;
  double WaitSeconds = 30;
};

bool WantsJson(Options const& options)
{
  if (options.Output == "auto") {
    return isatty(STDOUT_FILENO) == 0;
  }
  return options.Output == "json";
}

int Fail(gsError const& error)
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

gsResult<std::string> ReadFile(std::string const& path)
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

std::string Cell(gsJson const& value)
{
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.dump();
}

/** Prints a list of objects: some of their fields as a table, or all. */
void PrintRows(Options const& options, gsJson const& rows,
               std::vector<std::string> const& fields)
{
  if (WantsJson(options)) {
    std::cout << rows.dump(2) << '\n';
    return;
  }
  std::vector<std::vector<std::string>> cells;
  for (gsJson const& row : rows) {
    std::vector<std::string> line;
    line.reserve(fields.size());
    for (std::string const& field : fields) {
      line.push_back(row.contains(field) ? Cell(row[field]) : "-");
    }
    cells.push_back(std::move(line));
  }
  std::cout << gsFormatTable(fields, cells);
}

void PrintChange(Options const& options, gsJson const& state)
{
  if (WantsJson(options)) {
    std::cout << state.dump(2) << '\n';
    return;
  }
  std::cout << "change " << Cell(state["id"]) << ": " << Cell(state["summary"])
            << ", version " << Cell(state["version"]) << ", "
            << Cell(state["state"]) << '\n';
  for (gsJson const& host : state["missing"]) {
    std::cout << "  not yet in force on " << Cell(host) << '\n';
  }
}

/** A row a hall: so it fits a screen however many hosts there are. */
int ShowHalls(Options const& options)
{
  gsResult<gsJson> rows = gsCallOperator(options.Operator, "GET", "/v1/halls");
  if (!rows) {
    return Fail(rows.error());
  }
  PrintRows(options, rows.value(),
            { "hall", "hosts", "coordinators", "heard_ms", "in_touch" });
  return 0;
}

/** Who does the duties that one host at a time has, as one host knows. */
int ShowDuties(Options const& options)
{
  gsResult<gsJson> status =
    gsCallOperator(options.Operator, "GET", "/v1/duties");
  if (!status) {
    return Fail(status.error());
  }
  PrintRows(options, gsJson::array({ status.value() }),
            { "holder", "holds", "token", "seen_ms", "windows_reported",
              "windows_due", "next_window", "last_refusal" });
  return 0;
}

/** Waits until a change is accepted; says meanwhile who is missing. */
int WaitAccepted(Options const& options, gsJson state)
{
  auto deadline = std::chrono::steady_clock::now() +
                  std::chrono::duration<double>(options.WaitSeconds);
  std::string said;
  while (state["state"] != "accepted") {
    std::string missing = state["missing"].dump();
    if (missing != said && isatty(STDERR_FILENO) != 0) {
      std::cerr << "stored; not yet in force on " << missing << '\n';
      said = missing;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      PrintChange(options, state);
      return gsToolNotAccepted;
    }
    std::this_thread::sleep_for(WaitPoll);
    gsResult<gsJson> next =
      gsCallOperator(options.Operator, "GET",
                     "/v1/changes/" + state["id"].get<std::string>());
    if (!next) {
      return Fail(next.error());
    }
    state = next.value();
  }
  PrintChange(options, state);
  return gsToolOk;
}

int SubmitChange(Options const& options, gsJson change)
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
    return Fail(state.error());
  }
  if (options.NoWait) {
    PrintChange(options, state.value());
    return gsToolOk;
  }
  return WaitAccepted(options, state.value());
}

/** An object of the configuration by name, or null. */
gsResult<gsJson> Current(Options const& options, char const* table,
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

/** Options that set one field of an object when they are given. */
class Assignments
{
public:
  template<typename T>
  void Add(CLI::App* command, std::string const& option,
           std::string const& field, std::string const& help)
  {
    command->add_option_function<T>(
      option, [this, field](T const& value) { this->Values[field] = value; },
      help);
  }
  void Merge(gsJson& object) const { object.update(this->Values); }
  gsJson Values = gsJson::object();
};

int SetObject(Options const& options, char const* table, char const* kind,
              char const* field, std::string const& name,
              Assignments const& assigned)
{
  gsResult<gsJson> current = Current(options, table, name);
  if (!current) {
    return Fail(current.error());
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
  return SubmitChange(options, { { "kind", kind },
                                 { "expected_revision", revision },
                                 { field, object } });
}

int CheckFile(std::string const& path)
{
  gsResult<std::string> text = ReadFile(path);
  if (!text) {
    return Fail(text.error());
  }
  gsResult<gsDocument> document = gsDocumentFromText(text.value(), path);
  if (!document) {
    return Fail(document.error());
  }
  gsDocument const& read = document.value();
  std::cout << path << ": valid; " << read.Tiers.size() << " tiers, "
            << read.Templates.size() << " templates, "
            << read.Organisations.size() << " organisations, "
            << read.Upstreams.size() << " upstreams.\n";
  return gsToolOk;
}

int ApplyFile(Options const& options, std::string const& path)
{
  gsResult<std::string> text = ReadFile(path);
  if (!text) {
    return Fail(text.error());
  }
  gsResult<gsDocument> document = gsDocumentFromText(text.value(), path);
  if (!document) {
    return Fail(document.error());
  }
  return SubmitChange(options, { { "kind", "import" },
                                 { "document", gsToJson(document.value()) } });
}

int ShowStatus(Options const& options)
{
  gsResult<gsJson> status =
    gsCallOperator(options.Operator, "GET", "/v1/status");
  if (!status) {
    return Fail(status.error());
  }
  gsJson const& body = status.value();
  if (WantsJson(options)) {
    std::cout << body.dump(2) << '\n';
    return gsToolOk;
  }
  std::cout << "host " << Cell(body["host"]) << " in hall "
            << Cell(body["hall"]) << ", "
            << (body["ready"].get<bool>() ? "ready" : "not ready")
            << ", configuration version " << Cell(body["config_version"])
            << ", " << Cell(body["open_requests"]) << " open requests\n\n";
  PrintRows(options, body["members"],
            { "hall", "host", "state", "config_version" });
  std::vector<std::vector<std::string>> rows;
  for (gsJson const& pool : body["pools"]) {
    for (gsJson const& row : pool["upstreams"]) {
      rows.push_back({ Cell(pool["name"]), Cell(pool["dispatcher"]),
                       Cell(pool["waiting_by_tier"]), Cell(row["name"]),
                       Cell(row["running"]) + "/" + Cell(row["limit"]),
                       Cell(row["health"]),
                       row["leaving"].get<bool>() ? "leaving" : "active" });
    }
  }
  std::cout << '\n'
            << gsFormatTable({ "pool", "dispatcher", "waiting by tier",
                               "upstream", "running", "health", "state" },
                             rows);
  return gsToolOk;
}

int ShowTable(Options const& options, char const* table,
              std::vector<std::string> const& fields)
{
  gsResult<gsJson> config =
    gsCallOperator(options.Operator, "GET", "/v1/config");
  if (!config) {
    return Fail(config.error());
  }
  gsJson rows = config.value()[table];
  PrintRows(options, rows, fields);
  return gsToolOk;
}

int ShowConfig(Options const& options)
{
  gsResult<gsJson> config =
    gsCallOperator(options.Operator, "GET", "/v1/config");
  if (!config) {
    return Fail(config.error());
  }
  std::cout << config.value().dump(2) << '\n';
  return gsToolOk;
}

/** Says how a file differs from what is in force. */
int DiffConfig(Options const& options, std::string const& path)
{
  gsResult<std::string> text = ReadFile(path);
  if (!text) {
    return Fail(text.error());
  }
  gsResult<gsDocument> document = gsDocumentFromText(text.value(), path);
  if (!document) {
    return Fail(document.error());
  }
  gsResult<gsJson> config =
    gsCallOperator(options.Operator, "GET", "/v1/config");
  if (!config) {
    return Fail(config.error());
  }
  gsJson wanted = gsToJson(document.value());
  for (char const* table : { "templates", "organisations", "upstreams" }) {
    for (gsJson row : wanted[table]) {
      gsJson known;
      for (gsJson const& candidate : config.value()[table]) {
        if (candidate["name"] == row["name"]) {
          known = candidate;
        }
      }
      if (known.is_null()) {
        std::cout << "+ " << table << ' ' << Cell(row["name"]) << '\n';
        continue;
      }
      for (auto const& [field, value] : row.items()) {
        if (field != "revision" && known[field] != value) {
          std::cout << "~ " << table << ' ' << Cell(row["name"]) << ' '
                    << field << ": " << known[field].dump() << " -> "
                    << value.dump() << '\n';
        }
      }
    }
  }
  return gsToolOk;
}

/** A request to send as a caller. */
struct SendOptions
{
  std::string Address;
  std::string Key;
  std::string Template;
  std::string Service;
  std::string Text;
  std::string Idempotency;
  bool Stream = false;
};

int SendRequest(SendOptions const& options)
{
  gsCall call;
  call.Method = "POST";
  call.Headers = { { "Authorization", "Bearer " + options.Key },
                   { "Content-Type", "application/json" } };
  if (!options.Template.empty()) {
    call.Headers.emplace_back("Gradescale-Class", options.Template);
  }
  if (!options.Idempotency.empty()) {
    call.Headers.emplace_back("Idempotency-Key", options.Idempotency);
  }
  if (options.Service.empty()) {
    gsJson message{ { "role", "user" }, { "content", options.Text } };
    call.Url = "http://" + options.Address + "/v1/chat/completions";
    call.Body = gsJson{
      { "model", options.Template },
      { "stream", options.Stream },
      { "messages", gsJson::array({ message }) }
    }.dump();
  } else {
    call.Url =
      "http://" + options.Address + "/v1/services/" + options.Service + "/";
    call.Body = options.Text;
  }
  call.OnData = [](std::string_view bytes) {
    std::cout << bytes << std::flush;
    return true;
  };
  gsAnswer answer = gsCallAndWait(std::move(call));
  if (!answer.Body.empty() && answer.Body.back() != '\n') {
    std::cout << '\n';
  }
  if (!answer.End.Whole) {
    return Fail({ answer.End.Status == 0 ? "unreachable" : "cut",
                  "The answer is not whole: " + answer.End.Error, "receive",
                  options.Address });
  }
  constexpr unsigned firstError = 400;
  return answer.End.Status < firstError ? gsToolOk : gsToolFailed;
}

/** Commands register themselves here; the chosen one is run at the end. */
struct Commands
{
  CLI::App App{ "Operates gradescale and sends requests through it.",
                "gradescale" };
  Options Shared;
  std::function<int()> Chosen;
  // Targets of options; they live as long as the parser.
  std::string Name;
  std::string Path;
  std::string Key;
  std::vector<std::string> Files{ "-" };
  std::size_t Pauses = 20; ///< Streams that losses shows.
  double LeavingMillis = gsToSeconds(gsNearLeavingBound) * 1e3;
  Assignments Assigned;
  SendOptions Send;

  CLI::App* Add(CLI::App* parent, char const* name, char const* help,
                std::function<int()> const& run)
  {
    CLI::App* command = parent->add_subcommand(name, help);
    command->callback([this, run] { this->Chosen = run; });
    return command;
  }

  CLI::App* Group(char const* name, char const* help)
  {
    CLI::App* group = this->App.add_subcommand(name, help);
    group->require_subcommand(1);
    return group;
  }

  void AddShared()
  {
    this->App
      .add_option("--operator", this->Shared.Operator.Address,
                  "Operators' address of a daemon, IP:port.")
      ->envname("GRADESCALE_OPERATOR")
      ->default_val("127.0.0.1:8081");
    this->App
      .add_option("--token", this->Shared.Operator.Token,
                  "Operators' token; better given by environment.")
      ->envname("GRADESCALE_TOKEN");
    this->App
      .add_option("--output", this->Shared.Output,
                  "table, json, or auto: tables on a terminal.")
      ->check(CLI::IsMember({ "auto", "table", "json" }));
    this->App.add_flag("--no-wait", this->Shared.NoWait,
                       "Do not wait until a change is in force everywhere.");
    this->App
      .add_option("--wait-seconds", this->Shared.WaitSeconds,
                  "How long to wait for that.")
      ->check(CLI::Range(0.0, 3600.0));
    this->App.set_version_flag("--version", std::string("gradescale ") +
                                              GRADESCALE_VERSION);
    this->App.require_subcommand(1);
    this->App.fallthrough();
    this->App.footer("Example: gradescale upstream retire engine-3");
  }

  void AddConfig()
  {
    CLI::App* check =
      this->Add(&this->App, "check", "Check a configuration file.",
                [this] { return CheckFile(this->Path); });
    check->add_option("file", this->Path, "The file.")->required();
    this->Add(&this->App, "status", "Show hosts, pools and upstreams.",
              [this] { return ShowStatus(this->Shared); });
    this->Add(&this->App, "halls",
              "Show all halls as a host of the routed mode knows them.",
              [this] { return ShowHalls(this->Shared); });
    this->Add(&this->App, "duties",
              "Show who reports usage and orders upstreams for all hosts.",
              [this] { return ShowDuties(this->Shared); });
    CLI::App* config = this->Group("config", "The whole configuration.");
    this->Add(config, "show", "Print the configuration in force.",
              [this] { return ShowConfig(this->Shared); });
    CLI::App* diff =
      this->Add(config, "diff", "Compare a file with what is in force.",
                [this] { return DiffConfig(this->Shared, this->Path); });
    diff->add_option("file", this->Path, "The file.")->required();
    CLI::App* apply =
      this->Add(config, "apply", "Add and change what a file says.",
                [this] { return ApplyFile(this->Shared, this->Path); });
    apply->add_option("file", this->Path, "The file.")->required();
  }

  void AddTemplates()
  {
    CLI::App* group = this->Group("template", "Templates of work.");
    this->Add(group, "list", "List them.", [this] {
      return ShowTable(this->Shared, "templates",
                       { "name", "service", "tier", "first_token_ms",
                         "token_gap_ms", "max_wait_ms", "repeatable" });
    });
    CLI::App* set =
      this->Add(group, "set", "Add one or change some of its fields.", [this] {
        return SetObject(this->Shared, "templates", "set_template", "template",
                         this->Name, this->Assigned);
      });
    set->add_option("name", this->Name, "Its name.")->required();
    this->Assigned.Add<std::string>(set, "--service", "service",
                                    "Model or plain service.");
    this->Assigned.Add<std::string>(set, "--tier", "tier", "Its tier.");
    this->Assigned.Add<double>(set, "--first-token-ms", "first_token_ms",
                               "Target of the first token.");
    this->Assigned.Add<double>(set, "--token-gap-ms", "token_gap_ms",
                               "Target between tokens.");
    this->Assigned.Add<double>(set, "--max-wait-ms", "max_wait_ms",
                               "Longest wait.");
    this->Assigned.Add<bool>(set, "--repeatable", "repeatable",
                             "Whether it may be run again: true or false.");
    this->Assigned.Add<std::uint32_t>(set, "--max-tokens", "max_tokens",
                                      "Most tokens of an answer.");
  }

  void AddOrganisations()
  {
    CLI::App* group = this->Group("org", "Organisations.");
    this->Add(group, "list", "List them.", [this] {
      return ShowTable(this->Shared, "organisations",
                       { "name", "share", "revision" });
    });
    CLI::App* set =
      this->Add(group, "set", "Add one or change some of its fields.", [this] {
        if (!this->Key.empty()) {
          this->Assigned.Values["key_hashes"] = { gsSha256(this->Key) };
        }
        return SetObject(this->Shared, "organisations", "set_organisation",
                         "organisation", this->Name, this->Assigned);
      });
    set->add_option("name", this->Name, "Its name.")->required();
    this->Assigned.Add<double>(set, "--share", "share",
                               "Weight within a tier.");
    set
      ->add_option("--key", this->Key,
                   "Its new key; only a hash of it leaves this program.")
      ->envname("GRADESCALE_NEW_KEY");
    set->add_option_function<std::string>(
      "--classes",
      [this](std::string const& text) {
        gsJson classes = gsJson::parse(text, nullptr, false);
        if (!classes.is_object()) {
          throw CLI::ValidationError("--classes", "is not a JSON object");
        }
        this->Assigned.Values["classes"] = classes;
      },
      "What it sets differently, JSON by template.");
  }

  void AddUpstreams()
  {
    CLI::App* group = this->Group("upstream", "Upstreams.");
    this->Add(group, "list", "List them.", [this] {
      return ShowTable(this->Shared, "upstreams",
                       { "name", "hall", "service", "address", "kind", "state",
                         "slots", "max_slots" });
    });
    CLI::App* add = this->Add(group, "add", "Add one.", [this] {
      return SetObject(this->Shared, "upstreams", "add_upstream", "upstream",
                       this->Name, this->Assigned);
    });
    add->add_option("name", this->Name, "Its name.")->required();
    this->Assigned.Add<std::string>(add, "--hall", "hall", "Its hall.");
    this->Assigned.Add<std::string>(add, "--service", "service",
                                    "Model or plain service.");
    this->Assigned.Add<std::string>(add, "--address", "address", "IP:port.");
    this->Assigned.Add<std::string>(add, "--kind", "kind", "engine or plain.");
    this->Assigned.Add<std::uint32_t>(add, "--slots", "slots",
                                      "Concurrent requests to begin with.");
    this->Assigned.Add<std::uint32_t>(add, "--max-slots", "max_slots",
                                      "Most concurrent requests.");
    auto move = [this, group](char const* name, char const* kind,
                              char const* help) {
      CLI::App* command = this->Add(group, name, help, [this, kind] {
        return SubmitChange(this->Shared,
                            { { "kind", kind }, { "name", this->Name } });
      });
      command->add_option("name", this->Name, "Its name.")->required();
    };
    move("retire", "retire_upstream",
         "Give it no new work; what runs there finishes.");
    move("stop", "stop_upstream", "Retire it and do not watch it any more.");
  }

  void AddChanges()
  {
    CLI::App* group = this->Group("change", "Changes of the configuration.");
    auto fetch = [this] {
      return gsCallOperator(this->Shared.Operator, "GET",
                            "/v1/changes/" + this->Name);
    };
    CLI::App* show =
      this->Add(group, "show", "Show whether one is in force everywhere.",
                [this, fetch]() -> int {
                  gsResult<gsJson> state = fetch();
                  if (!state) {
                    return Fail(state.error());
                  }
                  PrintChange(this->Shared, state.value());
                  return gsToolOk;
                });
    show->add_option("id", this->Name, "Its id.")->required();
    CLI::App* wait =
      this->Add(group, "wait", "Wait until one is in force everywhere.",
                [this, fetch]() -> int {
                  gsResult<gsJson> state = fetch();
                  if (!state) {
                    return Fail(state.error());
                  }
                  return WaitAccepted(this->Shared, state.value());
                });
    wait->add_option("id", this->Name, "Its id.")->required();
  }

  void AddExplain()
  {
    CLI::App* explain =
      this->Add(&this->App, "explain",
                "Tell what became of a request, from logs.", [this]() -> int {
                  gsResult<gsStory> story =
                    gsExplainFromFiles(this->Name, this->Files);
                  if (!story) {
                    return Fail(story.error());
                  }
                  if (WantsJson(this->Shared)) {
                    gsPrintStoryJson(story.value(), std::cout);
                  } else {
                    gsPrintStory(story.value(), std::cout);
                  }
                  return gsToolOk;
                });
    explain->add_option("id", this->Name, "The request's id.")->required();
    explain->add_option("files", this->Files,
                        "Logs of the hosts; - or none: standard input.");
  }

  void AddLosses()
  {
    CLI::App* losses = this->Add(
      &this->App, "losses",
      "Tell where requests lose their targets, from the logs of all hosts.",
      [this]() -> int {
        gsResult<gsLossReport> report =
          gsLossesFromFiles(this->Files, this->Pauses);
        if (!report) {
          return Fail(report.error());
        }
        if (WantsJson(this->Shared)) {
          gsPrintLossesJson(report.value(), std::cout);
        } else {
          gsPrintLosses(report.value(), std::cout);
        }
        return gsToolOk;
      });
    losses->add_option("files", this->Files,
                       "Logs of the hosts; - or none: standard input.");
    losses->add_option("--pauses", this->Pauses,
                       "Streams with long pauses to show.");
  }

  void AddNearMisses()
  {
    CLI::App* misses =
      this->Add(&this->App, "near-misses",
                "Tell what came close to a promise, from the logs of all "
                "hosts.",
                [this]() -> int {
                  gsResult<gsNearMissReport> report = gsNearMissesFromFiles(
                    this->Files, gsFromSeconds(this->LeavingMillis / 1e3));
                  if (!report) {
                    return Fail(report.error());
                  }
                  if (WantsJson(this->Shared)) {
                    gsPrintNearMissesJson(report.value(), std::cout);
                  } else {
                    gsPrintNearMisses(report.value(), std::cout);
                  }
                  return gsToolOk;
                });
    misses->add_option("files", this->Files,
                       "Logs of the hosts; - or none: standard input.");
    misses
      ->add_option("--leaving-ms", this->LeavingMillis,
                   "Time within which a leaving upstream gets its last "
                   "request.")
      ->check(CLI::PositiveNumber);
  }

  void AddSend()
  {
    CLI::App* send = this->Add(&this->App, "send", "Send a request.",
                               [this] { return SendRequest(this->Send); });
    send->add_option("text", this->Send.Text, "Prompt, or body for a service.")
      ->required();
    send
      ->add_option("--address", this->Send.Address,
                   "Callers' address of a daemon, IP:port.")
      ->envname("GRADESCALE_ADDRESS")
      ->default_val("127.0.0.1:8080");
    send->add_option("--key", this->Send.Key, "The organisation's key.")
      ->envname("GRADESCALE_KEY")
      ->required();
    send->add_option("--template", this->Send.Template, "Class of the work.");
    send->add_option("--service", this->Send.Service,
                     "Plain service in place of a model.");
    send->add_option("--idempotency-key", this->Send.Idempotency,
                     "Key by which the request runs at most once.");
    send->add_flag("--stream", this->Send.Stream,
                   "Print the answer as it comes.");
  }
};

/** Adds a proposal to the parser's error about an unknown word. */
void ProposeCommand(CLI::App const& app, int argc, char const* const* argv)
{
  std::vector<CLI::App const*> known = app.get_subcommands({});
  std::vector<std::string> names;
  names.reserve(known.size());
  for (CLI::App const* command : known) {
    names.push_back(command->get_name());
  }
  for (int i = 1; i < argc; ++i) {
    std::string word = argv[i];
    auto found = std::find(names.begin(), names.end(), word);
    if (found != names.end()) {
      ProposeCommand(*known[static_cast<std::size_t>(found - names.begin())],
                     argc - i, argv + i);
      return;
    }
    std::optional<std::string> meant = gsDidYouMean(word, names);
    if (meant) {
      std::cerr << "Did you mean '" << *meant << "'?\n";
      return;
    }
  }
}

} // namespace

int gsRunTool(int argc, char const* const* argv)
{
  Commands commands;
  commands.AddShared();
  commands.AddConfig();
  commands.AddTemplates();
  commands.AddOrganisations();
  commands.AddUpstreams();
  commands.AddChanges();
  commands.AddSend();
  commands.AddExplain();
  commands.AddLosses();
  commands.AddNearMisses();
  try {
    commands.App.parse(argc, argv);
  } catch (CLI::ParseError const& error) {
    if (commands.App.exit(error) == 0) {
      return gsToolOk;
    }
    ProposeCommand(commands.App, argc, argv);
    return gsToolUsage;
  }
  return commands.Chosen();
}
