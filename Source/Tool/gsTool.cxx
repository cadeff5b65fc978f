/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTool.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "gsExplain.h"
#include "gsLosses.h"
#include "gsNearMisses.h"
#include "gsRestClient.h"
#include "gsSecret.h"
#include "gsToolChange.h"
#include "gsToolSend.h"
#include "gsToolShow.h"

namespace {

/** Commands register themselves here; the chosen one is run at the end. */
struct Commands
{
  CLI::App App{ "Operates gradescale and sends requests through it.",
                "gradescale" };
  gsToolOptions Shared;
  std::function<int()> Chosen;
  // Targets of options; they live as long as the parser.
  std::string Name;
  std::string Path;
  std::string Key;
  std::vector<std::string> Files{ "-" };
  std::size_t Pauses = 20; ///< Streams that losses shows.
  double LeavingMillis = gsToSeconds(gsNearMissLeavingBound) * 1e3;
  gsAssignments Assigned;
  gsSendOptions Send;

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
                [this] { return gsCheckFile(this->Path); });
    check->add_option("file", this->Path, "The file.")->required();
    this->Add(&this->App, "status", "Show hosts, pools and upstreams.",
              [this] { return gsShowStatus(this->Shared); });
    this->Add(&this->App, "halls",
              "Show all halls as a host of the routed mode knows them.",
              [this] { return gsShowHalls(this->Shared); });
    this->Add(&this->App, "limits",
              "Show the rate limits that upstreams have set for all hosts.",
              [this] { return gsShowLimits(this->Shared); });
    this->Add(&this->App, "prefixes",
              "Show which engines hold the prompt prefixes of subjects.",
              [this] { return gsShowPrefixes(this->Shared); });
    this->Add(&this->App, "speeds",
              "Show the measured speeds of engines as a host knows them.",
              [this] { return gsShowSpeeds(this->Shared); });
    this->Add(&this->App, "memory",
              "Show what a host holds for callers and upstreams.",
              [this] { return gsShowMemory(this->Shared); });
    this->Add(&this->App, "overload",
              "Show pressure and admitted shares of the services.",
              [this] { return gsShowOverload(this->Shared); });
    this->Add(&this->App, "duties",
              "Show who reports usage and orders upstreams for all hosts.",
              [this] { return gsShowDuties(this->Shared); });
    CLI::App* quarantine = this->Group(
      "quarantine", "Requests refused since upstreams crashed under them.");
    this->Add(quarantine, "list", "List them.",
              [this] { return gsShowQuarantine(this->Shared); });
    CLI::App* clear =
      this->Add(quarantine, "clear", "Let one through again.", [this] {
        return gsClearQuarantine(this->Shared, this->Name);
      });
    clear->add_option("fingerprint", this->Name, "Its 32 digits.")->required();
    CLI::App* config = this->Group("config", "The whole configuration.");
    this->Add(config, "show", "Print the configuration in force.",
              [this] { return gsShowConfig(this->Shared); });
    CLI::App* diff =
      this->Add(config, "diff", "Compare a file with what is in force.",
                [this] { return gsDiffConfig(this->Shared, this->Path); });
    diff->add_option("file", this->Path, "The file.")->required();
    CLI::App* apply =
      this->Add(config, "apply", "Add and change what a file says.",
                [this] { return gsApplyFile(this->Shared, this->Path); });
    apply->add_option("file", this->Path, "The file.")->required();
  }

  void AddTemplates()
  {
    CLI::App* group = this->Group("template", "Templates of work.");
    this->Add(group, "list", "List them.", [this] {
      return gsShowTable(this->Shared, "templates",
                         { "name", "service", "tier", "first_token_ms",
                           "token_gap_ms", "max_wait_ms", "repeatable" });
    });
    CLI::App* set =
      this->Add(group, "set", "Add one or change some of its fields.", [this] {
        return gsSetObject(this->Shared, "templates", "set_template",
                           "template", this->Name, this->Assigned);
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
      return gsShowTable(this->Shared, "organisations",
                         { "name", "share", "revision" });
    });
    CLI::App* set =
      this->Add(group, "set", "Add one or change some of its fields.", [this] {
        if (!this->Key.empty()) {
          this->Assigned.Values["key_hashes"] = { gsSha256(this->Key) };
        }
        return gsSetObject(this->Shared, "organisations", "set_organisation",
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
      return gsShowTable(this->Shared, "upstreams",
                         { "name", "hall", "service", "address", "kind",
                           "state", "slots", "max_slots" });
    });
    CLI::App* add = this->Add(group, "add", "Add one.", [this] {
      return gsSetObject(this->Shared, "upstreams", "add_upstream", "upstream",
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
        return gsSubmitChange(this->Shared,
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
                    return gsToolFail(state.error());
                  }
                  gsPrintChange(this->Shared, state.value());
                  return gsToolOk;
                });
    show->add_option("id", this->Name, "Its id.")->required();
    CLI::App* wait =
      this->Add(group, "wait", "Wait until one is in force everywhere.",
                [this, fetch]() -> int {
                  gsResult<gsJson> state = fetch();
                  if (!state) {
                    return gsToolFail(state.error());
                  }
                  return gsWaitAccepted(this->Shared, state.value());
                });
    wait->add_option("id", this->Name, "Its id.")->required();
  }

  void AddExplain()
  {
    CLI::App* explain =
      this->Add(&this->App, "explain",
                "Tell what became of a request, from logs.", [this]() -> int {
                  gsResult<gsRequestTimeline> story =
                    gsExplainFromFiles(this->Name, this->Files);
                  if (!story) {
                    return gsToolFail(story.error());
                  }
                  if (gsWantsJson(this->Shared)) {
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
        gsResult<gsTargetMissReport> report =
          gsLossesFromFiles(this->Files, this->Pauses);
        if (!report) {
          return gsToolFail(report.error());
        }
        if (gsWantsJson(this->Shared)) {
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
                    return gsToolFail(report.error());
                  }
                  if (gsWantsJson(this->Shared)) {
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
                               [this] { return gsSendRequest(this->Send); });
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
    std::optional<std::string> meant = gsSuggestSpelling(word, names);
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
