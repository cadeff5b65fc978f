/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDocumentJson.h"

#include <algorithm>
#include <set>

namespace {

constexpr gsRange MillisRange{ 1, 86'400'000 };
constexpr gsRange ShareRange{ 0.001, 1000 };
constexpr gsRange SlotsRange{ 1, 4096 };
constexpr gsRange TokensRange{ 1, 1'000'000 };
constexpr gsRange RevisionRange{ 0, 9e15 };
constexpr std::size_t HashLength = 64;
constexpr std::size_t MaxName = 64;

std::vector<std::string> const StateWords{ "active", "leaving", "stopped" };
std::vector<std::string> const KindWords{ "engine", "plain" };
std::vector<std::string> const ChangeKinds{ "import",       "set_tiers",
                                            "set_template", "set_organisation",
                                            "add_upstream", "retire_upstream",
                                            "stop_upstream" };

/** Names stand in paths, headers and logs: keep them plain. */
std::string ReadName(gsFields& fields)
{
  std::string name = fields.Text("name");
  bool plain =
    !name.empty() && name.size() <= MaxName &&
    std::all_of(name.begin(), name.end(), [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
  if (!plain) {
    fields.Mistake("name", "up to 64 letters, digits, '-', '_' or '.'");
  }
  return name;
}

double Milliseconds(gsTime time)
{
  return static_cast<double>(time.count()) / 1000;
}

gsTier ReadTier(gsFields& fields)
{
  gsTier row;
  row.Name = ReadName(fields);
  row.AgeLimit = fields.Millis("age_limit_ms", MillisRange, row.AgeLimit);
  return row;
}

gsTemplate ReadTemplate(gsFields& fields)
{
  gsTemplate row;
  row.Name = ReadName(fields);
  row.Service = fields.Text("service");
  row.Tier = fields.Text("tier");
  row.FirstToken =
    fields.Millis("first_token_ms", MillisRange, row.FirstToken);
  row.TokenGap = fields.Millis("token_gap_ms", MillisRange, row.TokenGap);
  row.MaxWait = fields.Millis("max_wait_ms", MillisRange, row.MaxWait);
  row.Repeatable = fields.Flag("repeatable", row.Repeatable);
  row.MaxTokens = static_cast<std::uint32_t>(
    fields.Whole("max_tokens", TokensRange, row.MaxTokens));
  row.Revision = fields.Whole("revision", RevisionRange, 0);
  return row;
}

gsOverride ReadOverride(gsFields& fields)
{
  gsOverride row;
  if (fields.Has("tier")) {
    row.Tier = fields.Text("tier");
  }
  if (fields.Has("first_token_ms")) {
    row.FirstToken = fields.Millis("first_token_ms", MillisRange);
  }
  if (fields.Has("token_gap_ms")) {
    row.TokenGap = fields.Millis("token_gap_ms", MillisRange);
  }
  if (fields.Has("max_wait_ms")) {
    row.MaxWait = fields.Millis("max_wait_ms", MillisRange);
  }
  if (fields.Has("repeatable")) {
    row.Repeatable = fields.Flag("repeatable", true);
  }
  return row;
}

bool IsHash(std::string const& text)
{
  return text.size() == HashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

gsOrganisation ReadOrganisation(gsFields& fields)
{
  gsOrganisation row;
  row.Name = ReadName(fields);
  row.KeyHashes = fields.Texts("key_hashes");
  if (!std::all_of(row.KeyHashes.begin(), row.KeyHashes.end(), IsHash)) {
    fields.Mistake("key_hashes",
                   "SHA-256 hashes of 64 lower-case hexadecimal digits");
  }
  row.Share = fields.Number("share", ShareRange, row.Share);
  fields.Map("classes", [&](std::string const& key, gsFields& inner) {
    row.Classes[key] = ReadOverride(inner);
  });
  row.Revision = fields.Whole("revision", RevisionRange, 0);
  return row;
}

gsUpstream ReadUpstream(gsFields& fields)
{
  gsUpstream row;
  row.Name = ReadName(fields);
  row.Hall = fields.Text("hall");
  row.Service = fields.Text("service");
  row.Address = fields.Address("address");
  row.Kind = static_cast<gsUpstreamKind>(fields.Choice("kind", KindWords, 0));
  row.State =
    static_cast<gsUpstreamState>(fields.Choice("state", StateWords, 0));
  row.Slots =
    static_cast<std::uint32_t>(fields.Whole("slots", SlotsRange, row.Slots));
  row.MaxSlots = static_cast<std::uint32_t>(
    fields.Whole("max_slots", SlotsRange, std::max(row.Slots, row.MaxSlots)));
  row.Revision = fields.Whole("revision", RevisionRange, 0);
  return row;
}

gsChange ReadChange(gsFields& fields)
{
  gsChange row;
  row.Id = fields.Text("id");
  row.Version = fields.Whole("version", RevisionRange);
  row.Summary = fields.Text("summary", "");
  return row;
}

gsError Invalid(std::string const& message, std::string_view source)
{
  return gsError{ "invalid", std::string(source) + ": " + message, "check",
                  std::string(source) };
}

template<typename Table>
std::optional<std::string> Twice(Table const& table)
{
  std::set<std::string> names;
  for (auto const& row : table) {
    if (!names.insert(row.Name).second) {
      return row.Name;
    }
  }
  return std::nullopt;
}

/** Rules across tables. */
std::optional<gsError> CheckWhole(gsDocument const& document,
                                  std::string_view source)
{
  auto twice = Twice(document.Tiers);
  twice = twice ? twice : Twice(document.Templates);
  twice = twice ? twice : Twice(document.Organisations);
  twice = twice ? twice : Twice(document.Upstreams);
  if (twice) {
    return Invalid("the name '" + *twice + "' stands twice in one table.",
                   source);
  }
  for (gsTemplate const& row : document.Templates) {
    if (!gsTierRank(document, row.Tier)) {
      return Invalid("template '" + row.Name + "' names the tier '" +
                       row.Tier + "', which there is not.",
                     source);
    }
  }
  std::set<std::string> hashes;
  for (gsOrganisation const& row : document.Organisations) {
    for (auto const& [name, changed] : row.Classes) {
      if (gsFindByName(document.Templates, name) == nullptr) {
        return Invalid("organisation '" + row.Name + "' sets the template '" +
                         name + "', which there is not.",
                       source);
      }
      if (changed.Tier && !gsTierRank(document, *changed.Tier)) {
        return Invalid("organisation '" + row.Name + "' names the tier '" +
                         *changed.Tier + "', which there is not.",
                       source);
      }
    }
    for (std::string const& hash : row.KeyHashes) {
      if (!hashes.insert(hash).second) {
        return Invalid("organisation '" + row.Name +
                         "' has a key that is in use already.",
                       source);
      }
    }
  }
  for (gsUpstream const& row : document.Upstreams) {
    if (row.MaxSlots < row.Slots) {
      return Invalid("upstream '" + row.Name + "' has max_slots below slots.",
                     source);
    }
  }
  return std::nullopt;
}

gsDocument ReadDocument(gsFields& fields)
{
  gsDocument document;
  document.Version = fields.Whole("version", RevisionRange, 0);
  fields.List("tiers",
              [&](gsFields& row) { document.Tiers.push_back(ReadTier(row)); });
  fields.List("templates", [&](gsFields& row) {
    document.Templates.push_back(ReadTemplate(row));
  });
  fields.List("organisations", [&](gsFields& row) {
    document.Organisations.push_back(ReadOrganisation(row));
  });
  fields.List("upstreams", [&](gsFields& row) {
    document.Upstreams.push_back(ReadUpstream(row));
  });
  fields.List("changes", [&](gsFields& row) {
    document.Changes.push_back(ReadChange(row));
  });
  return document;
}

gsError Conflict(std::string const& name, std::uint64_t expected,
                 std::uint64_t found)
{
  return gsError{ "conflict",
                  "'" + name + "' is at revision " + std::to_string(found) +
                    ", not at the expected " + std::to_string(expected) +
                    "; read it again and repeat the change.",
                  "change", name };
}

/** One change being applied. */
struct Application
{
  gsDocument& Next;
  gsFields& Fields;
  std::optional<std::uint64_t> Expected;
  std::optional<gsError> Error;
  std::string Summary;

  template<typename Row>
  void Upsert(std::vector<Row>& table, Row row)
  {
    Row* known = gsFindByName(table, row.Name);
    std::uint64_t found = known == nullptr ? 0 : known->Revision;
    if (this->Expected && *this->Expected != found) {
      this->Error = Conflict(row.Name, *this->Expected, found);
      return;
    }
    row.Revision = this->Next.Version;
    if (known == nullptr) {
      table.push_back(std::move(row));
    } else {
      *known = std::move(row);
    }
  }

  /** States only move forward: what has left does not come back. */
  void AddUpstream(gsUpstream row)
  {
    gsUpstream const* known = gsFindByName(this->Next.Upstreams, row.Name);
    if (known != nullptr && known->State > row.State) {
      this->Error = gsError{ "conflict",
                             "Upstream '" + row.Name + "' is " +
                               gsStateWord(known->State) +
                               " already; add it under a new name.",
                             "change", row.Name };
      return;
    }
    this->Upsert(this->Next.Upstreams, std::move(row));
  }

  void MoveUpstream(std::string const& name, gsUpstreamState state)
  {
    gsUpstream const* known = gsFindByName(this->Next.Upstreams, name);
    if (known == nullptr) {
      this->Error = gsError{ "unknown_upstream",
                             "There is no upstream named '" + name + "'.",
                             "change", name };
      return;
    }
    gsUpstream row = *known;
    row.State = std::max(row.State, state);
    this->Upsert(this->Next.Upstreams, std::move(row));
  }

  void Import(gsDocument given)
  {
    if (!given.Tiers.empty()) {
      this->Next.Tiers = std::move(given.Tiers);
    }
    for (gsTemplate& row : given.Templates) {
      this->Upsert(this->Next.Templates, std::move(row));
    }
    for (gsOrganisation& row : given.Organisations) {
      this->Upsert(this->Next.Organisations, std::move(row));
    }
    for (gsUpstream& row : given.Upstreams) {
      this->AddUpstream(std::move(row));
    }
  }

  void Run(std::size_t kind)
  {
    std::string const& word = ChangeKinds[kind];
    if (word == "import") {
      gsDocument given;
      this->Fields.Object("document",
                          [&](gsFields& f) { given = ReadDocument(f); });
      this->Import(std::move(given));
    } else if (word == "set_tiers") {
      this->Next.Tiers.clear();
      this->Fields.List("tiers", [&](gsFields& f) {
        this->Next.Tiers.push_back(ReadTier(f));
      });
    } else if (word == "set_template") {
      this->Fields.Object("template", [&](gsFields& f) {
        gsTemplate row = ReadTemplate(f);
        this->Summary = row.Name;
        this->Upsert(this->Next.Templates, std::move(row));
      });
    } else if (word == "set_organisation") {
      this->Fields.Object("organisation", [&](gsFields& f) {
        gsOrganisation row = ReadOrganisation(f);
        this->Summary = row.Name;
        this->Upsert(this->Next.Organisations, std::move(row));
      });
    } else if (word == "add_upstream") {
      this->Fields.Object("upstream", [&](gsFields& f) {
        gsUpstream row = ReadUpstream(f);
        this->Summary = row.Name;
        this->AddUpstream(std::move(row));
      });
    } else {
      this->Summary = this->Fields.Text("name");
      this->MoveUpstream(this->Summary, word == "retire_upstream"
                                          ? gsUpstreamState::Leaving
                                          : gsUpstreamState::Stopped);
    }
  }
};

} // namespace

gsResult<gsDocument> gsDocumentFromJson(gsJson const& json,
                                        std::string_view source)
{
  gsFields fields(json, std::string(source), "");
  gsDocument document = ReadDocument(fields);
  fields.Finish();
  if (fields.Error()) {
    return *fields.Error();
  }
  if (std::optional<gsError> error = CheckWhole(document, source)) {
    return *error;
  }
  return document;
}

gsResult<gsDocument> gsDocumentFromText(std::string_view text,
                                        std::string_view source)
{
  gsResult<gsJson> json = gsParseJson(text, source);
  if (!json) {
    return json.error();
  }
  return gsDocumentFromJson(json.value(), source);
}

gsJson gsToJson(gsTemplate const& row)
{
  return { { "name", row.Name },
           { "service", row.Service },
           { "tier", row.Tier },
           { "first_token_ms", Milliseconds(row.FirstToken) },
           { "token_gap_ms", Milliseconds(row.TokenGap) },
           { "max_wait_ms", Milliseconds(row.MaxWait) },
           { "repeatable", row.Repeatable },
           { "max_tokens", row.MaxTokens },
           { "revision", row.Revision } };
}

gsJson gsToJson(gsOrganisation const& row)
{
  gsJson classes = gsJson::object();
  for (auto const& [name, changed] : row.Classes) {
    gsJson item = gsJson::object();
    if (changed.Tier) {
      item["tier"] = *changed.Tier;
    }
    if (changed.FirstToken) {
      item["first_token_ms"] = Milliseconds(*changed.FirstToken);
    }
    if (changed.TokenGap) {
      item["token_gap_ms"] = Milliseconds(*changed.TokenGap);
    }
    if (changed.MaxWait) {
      item["max_wait_ms"] = Milliseconds(*changed.MaxWait);
    }
    if (changed.Repeatable) {
      item["repeatable"] = *changed.Repeatable;
    }
    classes[name] = std::move(item);
  }
  return { { "name", row.Name },
           { "key_hashes", row.KeyHashes },
           { "share", row.Share },
           { "classes", std::move(classes) },
           { "revision", row.Revision } };
}

gsJson gsToJson(gsUpstream const& row)
{
  return { { "name", row.Name },
           { "hall", row.Hall },
           { "service", row.Service },
           { "address", row.Address },
           { "kind", gsKindWord(row.Kind) },
           { "state", gsStateWord(row.State) },
           { "slots", row.Slots },
           { "max_slots", row.MaxSlots },
           { "revision", row.Revision } };
}

gsJson gsToJson(gsDocument const& document)
{
  gsJson json{ { "version", document.Version } };
  json["tiers"] = gsJson::array();
  for (gsTier const& row : document.Tiers) {
    json["tiers"].push_back(
      { { "name", row.Name },
        { "age_limit_ms", Milliseconds(row.AgeLimit) } });
  }
  auto add = [&json](char const* name, auto const& table) {
    json[name] = gsJson::array();
    for (auto const& row : table) {
      json[name].push_back(gsToJson(row));
    }
  };
  add("templates", document.Templates);
  add("organisations", document.Organisations);
  add("upstreams", document.Upstreams);
  json["changes"] = gsJson::array();
  for (gsChange const& row : document.Changes) {
    json["changes"].push_back({ { "id", row.Id },
                                { "version", row.Version },
                                { "summary", row.Summary } });
  }
  return json;
}

gsResult<gsChange> gsApplyChange(gsDocument& document, std::string_view change)
{
  gsResult<gsJson> json = gsParseJson(change, "change");
  if (!json) {
    return json.error();
  }
  gsFields fields(json.value(), "change", "");
  gsChange record;
  record.Id = fields.Text("id");
  std::size_t kind = fields.Choice("kind", ChangeKinds);
  gsDocument next = document;
  ++next.Version;
  Application application{ next, fields, std::nullopt, std::nullopt, {} };
  if (fields.Has("expected_revision")) {
    application.Expected = fields.Whole("expected_revision", RevisionRange);
  }
  if (!fields.Error()) {
    application.Run(kind);
  }
  fields.Finish();
  if (fields.Error()) {
    return *fields.Error();
  }
  if (application.Error) {
    return *application.Error;
  }
  if (std::optional<gsError> error = CheckWhole(next, "change")) {
    return *error;
  }
  record.Version = next.Version;
  record.Summary = ChangeKinds[kind];
  if (!application.Summary.empty()) {
    record.Summary += " " + application.Summary;
  }
  next.Changes.push_back(record);
  if (next.Changes.size() > gsMaxRememberedChanges) {
    next.Changes.erase(next.Changes.begin());
  }
  document = std::move(next);
  return record;
}

gsChange const* gsFindChange(gsDocument const& document, std::string_view id)
{
  for (gsChange const& row : document.Changes) {
    if (row.Id == id) {
      return &row;
    }
  }
  return nullptr;
}
