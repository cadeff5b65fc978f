/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDocumentJson.h"

#include <algorithm>
#include <set>

namespace {

/** Of durations; at most one day. */
constexpr gsRange MillisRange{ 1, 86'400'000 };
constexpr gsRange ShareRange{ 0.001, 1000 };
constexpr gsRange SlotsRange{ 1, 4096 };
constexpr gsRange TokensRange{ 1, 1'000'000 };
constexpr gsRange RevisionRange{ 0, 9e15 };
constexpr std::size_t HashLength = 64; ///< Hexadecimal digits of SHA-256.
constexpr std::size_t MaxNameLength = 64;

std::vector<std::string> const StateNames{ "active", "leaving", "stopped" };
std::vector<std::string> const KindNames{ "engine", "plain" };
std::vector<std::string> const ChangeKinds{ "import",       "set_tiers",
                                            "set_template", "set_organisation",
                                            "add_upstream", "retire_upstream",
                                            "stop_upstream" };

/** Reads a name. Names appear in paths, headers and logs, so only letters,
 * digits, '-', '_' and '.' are allowed. */
std::string ReadName(gsFieldReader& fields)
{
  std::string name = fields.String("name");
  bool valid =
    !name.empty() && name.size() <= MaxNameLength &&
    std::all_of(name.begin(), name.end(), [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
  if (!valid) {
    fields.ReportError("name", "up to 64 letters, digits, '-', '_' or '.'");
  }
  return name;
}

double ToMilliseconds(gsTime time)
{
  return static_cast<double>(time.count()) / 1000;
}

gsTier ReadTier(gsFieldReader& fields)
{
  gsTier row;
  row.Name = ReadName(fields);
  row.AgeLimit =
    fields.Milliseconds("age_limit_ms", MillisRange, row.AgeLimit);
  return row;
}

gsTemplate ReadTemplate(gsFieldReader& fields)
{
  gsTemplate row;
  row.Name = ReadName(fields);
  row.Service = fields.String("service");
  row.Tier = fields.String("tier");
  row.FirstTokenTarget =
    fields.Milliseconds("first_token_ms", MillisRange, row.FirstTokenTarget);
  row.TokenIntervalTarget =
    fields.Milliseconds("token_gap_ms", MillisRange, row.TokenIntervalTarget);
  row.MaxWait = fields.Milliseconds("max_wait_ms", MillisRange, row.MaxWait);
  row.Repeatable = fields.Boolean("repeatable", row.Repeatable);
  row.MaxTokens = static_cast<std::uint32_t>(
    fields.Unsigned("max_tokens", TokensRange, row.MaxTokens));
  row.Revision = fields.Unsigned("revision", RevisionRange, 0);
  return row;
}

gsOverride ReadOverride(gsFieldReader& fields)
{
  gsOverride row;
  if (fields.Has("tier")) {
    row.Tier = fields.String("tier");
  }
  if (fields.Has("first_token_ms")) {
    row.FirstTokenTarget = fields.Milliseconds("first_token_ms", MillisRange);
  }
  if (fields.Has("token_gap_ms")) {
    row.TokenIntervalTarget = fields.Milliseconds("token_gap_ms", MillisRange);
  }
  if (fields.Has("max_wait_ms")) {
    row.MaxWait = fields.Milliseconds("max_wait_ms", MillisRange);
  }
  if (fields.Has("repeatable")) {
    row.Repeatable = fields.Boolean("repeatable", true);
  }
  return row;
}

bool IsHash(std::string const& text)
{
  return text.size() == HashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

gsOrganisation ReadOrganisation(gsFieldReader& fields)
{
  gsOrganisation row;
  row.Name = ReadName(fields);
  row.KeyHashes = fields.Strings("key_hashes");
  if (!std::all_of(row.KeyHashes.begin(), row.KeyHashes.end(), IsHash)) {
    fields.ReportError("key_hashes",
                       "SHA-256 hashes of 64 lower-case hexadecimal digits");
  }
  row.Share = fields.Number("share", ShareRange, row.Share);
  fields.Map("classes", [&](std::string const& key, gsFieldReader& inner) {
    row.Classes[key] = ReadOverride(inner);
  });
  row.Revision = fields.Unsigned("revision", RevisionRange, 0);
  return row;
}

gsUpstream ReadUpstream(gsFieldReader& fields)
{
  gsUpstream row;
  row.Name = ReadName(fields);
  row.Hall = fields.String("hall");
  row.Service = fields.String("service");
  row.Address = fields.Address("address");
  row.Kind = static_cast<gsUpstreamKind>(fields.Choice("kind", KindNames, 0));
  row.State =
    static_cast<gsUpstreamState>(fields.Choice("state", StateNames, 0));
  row.Slots = static_cast<std::uint32_t>(
    fields.Unsigned("slots", SlotsRange, row.Slots));
  row.MaxSlots = static_cast<std::uint32_t>(fields.Unsigned(
    "max_slots", SlotsRange, std::max(row.Slots, row.MaxSlots)));
  row.Revision = fields.Unsigned("revision", RevisionRange, 0);
  return row;
}

gsChange ReadChange(gsFieldReader& fields)
{
  gsChange row;
  row.Id = fields.String("id");
  row.Version = fields.Unsigned("version", RevisionRange);
  row.Summary = fields.String("summary", "");
  return row;
}

gsError InvalidError(std::string const& message, std::string_view source)
{
  return gsError{ "invalid", std::string(source) + ": " + message, "check",
                  std::string(source) };
}

template<typename Table>
/** The first name that occurs more than once. */
std::optional<std::string> FindDuplicate(Table const& table)
{
  std::set<std::string> names;
  for (auto const& row : table) {
    if (!names.insert(row.Name).second) {
      return row.Name;
    }
  }
  return std::nullopt;
}

/** Checks the rules that involve several rows or tables: unique names and
 * keys, and references between tables. */
std::optional<gsError> CheckConsistency(gsDocument const& document,
                                        std::string_view source)
{
  auto duplicate = FindDuplicate(document.Tiers);
  duplicate = duplicate ? duplicate : FindDuplicate(document.Templates);
  duplicate = duplicate ? duplicate : FindDuplicate(document.Organisations);
  duplicate = duplicate ? duplicate : FindDuplicate(document.Upstreams);
  if (duplicate) {
    return InvalidError(
      "the name '" + *duplicate + "' stands twice in one table.", source);
  }
  for (gsTemplate const& row : document.Templates) {
    if (!gsTierRank(document, row.Tier)) {
      return InvalidError("template '" + row.Name + "' names the tier '" +
                            row.Tier + "', which there is not.",
                          source);
    }
  }
  std::set<std::string> hashes;
  for (gsOrganisation const& row : document.Organisations) {
    for (auto const& [name, overrides] : row.Classes) {
      if (gsFindByName(document.Templates, name) == nullptr) {
        return InvalidError("organisation '" + row.Name +
                              "' sets the template '" + name +
                              "', which there is not.",
                            source);
      }
      if (overrides.Tier && !gsTierRank(document, *overrides.Tier)) {
        return InvalidError("organisation '" + row.Name +
                              "' names the tier '" + *overrides.Tier +
                              "', which there is not.",
                            source);
      }
    }
    for (std::string const& hash : row.KeyHashes) {
      if (!hashes.insert(hash).second) {
        return InvalidError("organisation '" + row.Name +
                              "' has a key that is in use already.",
                            source);
      }
    }
  }
  for (gsUpstream const& row : document.Upstreams) {
    if (row.MaxSlots < row.Slots) {
      return InvalidError(
        "upstream '" + row.Name + "' has max_slots below slots.", source);
    }
  }
  return std::nullopt;
}

gsDocument ReadDocument(gsFieldReader& fields)
{
  gsDocument document;
  document.Version = fields.Unsigned("version", RevisionRange, 0);
  fields.List("tiers", [&](gsFieldReader& row) {
    document.Tiers.push_back(ReadTier(row));
  });
  fields.List("templates", [&](gsFieldReader& row) {
    document.Templates.push_back(ReadTemplate(row));
  });
  fields.List("organisations", [&](gsFieldReader& row) {
    document.Organisations.push_back(ReadOrganisation(row));
  });
  fields.List("upstreams", [&](gsFieldReader& row) {
    document.Upstreams.push_back(ReadUpstream(row));
  });
  fields.List("changes", [&](gsFieldReader& row) {
    document.Changes.push_back(ReadChange(row));
  });
  return document;
}

gsError ConflictError(std::string const& name, std::uint64_t expected,
                      std::uint64_t found)
{
  return gsError{ "conflict",
                  "'" + name + "' is at revision " + std::to_string(found) +
                    ", not at the expected " + std::to_string(expected) +
                    "; read it again and repeat the change.",
                  "change", name };
}

/** Applies one change to a copy of the document. */
struct ChangeApplier
{
  gsDocument& Next;      ///< The copy; its version is already incremented.
  gsFieldReader& Fields; ///< Of the change.
  /** Revision that the changed object must have; empty for any. */
  std::optional<std::uint64_t> ExpectedRevision;
  std::optional<gsError> Error; ///< The last conflict or unknown name.
  std::string Summary;          ///< Name of the changed object, if any.

  template<typename Row>
  void Upsert(std::vector<Row>& table, Row row)
  {
    Row* existing = gsFindByName(table, row.Name);
    std::uint64_t revision = existing == nullptr ? 0 : existing->Revision;
    if (this->ExpectedRevision && *this->ExpectedRevision != revision) {
      this->Error = ConflictError(row.Name, *this->ExpectedRevision, revision);
      return;
    }
    row.Revision = this->Next.Version;
    if (existing == nullptr) {
      table.push_back(std::move(row));
    } else {
      *existing = std::move(row);
    }
  }

  /** Adds or replaces an upstream. Fails if the existing row is in a later
   * state, because an upstream that has left is never reused. */
  void AddUpstream(gsUpstream row)
  {
    gsUpstream const* existing = gsFindByName(this->Next.Upstreams, row.Name);
    if (existing != nullptr && existing->State > row.State) {
      this->Error = gsError{ "conflict",
                             "Upstream '" + row.Name + "' is " +
                               gsUpstreamStateName(existing->State) +
                               " already; add it under a new name.",
                             "change", row.Name };
      return;
    }
    this->Upsert(this->Next.Upstreams, std::move(row));
  }

  /** Sets the state of an upstream, unless it is already in a later one. */
  void AdvanceUpstream(std::string const& name, gsUpstreamState state)
  {
    gsUpstream const* existing = gsFindByName(this->Next.Upstreams, name);
    if (existing == nullptr) {
      this->Error = gsError{ "unknown_upstream",
                             "There is no upstream named '" + name + "'.",
                             "change", name };
      return;
    }
    gsUpstream row = *existing;
    row.State = std::max(row.State, state);
    this->Upsert(this->Next.Upstreams, std::move(row));
  }

  /** Merges a document into the copy: replaces all tiers if it has any, and
   * adds or replaces rows of the other tables. */
  void Import(gsDocument imported)
  {
    if (!imported.Tiers.empty()) {
      this->Next.Tiers = std::move(imported.Tiers);
    }
    for (gsTemplate& row : imported.Templates) {
      this->Upsert(this->Next.Templates, std::move(row));
    }
    for (gsOrganisation& row : imported.Organisations) {
      this->Upsert(this->Next.Organisations, std::move(row));
    }
    for (gsUpstream& row : imported.Upstreams) {
      this->AddUpstream(std::move(row));
    }
  }

  void Apply(std::size_t kind)
  {
    std::string const& name = ChangeKinds[kind];
    if (name == "import") {
      gsDocument imported;
      this->Fields.Object(
        "document", [&](gsFieldReader& f) { imported = ReadDocument(f); });
      this->Import(std::move(imported));
    } else if (name == "set_tiers") {
      this->Next.Tiers.clear();
      this->Fields.List("tiers", [&](gsFieldReader& f) {
        this->Next.Tiers.push_back(ReadTier(f));
      });
    } else if (name == "set_template") {
      this->Fields.Object("template", [&](gsFieldReader& f) {
        gsTemplate row = ReadTemplate(f);
        this->Summary = row.Name;
        this->Upsert(this->Next.Templates, std::move(row));
      });
    } else if (name == "set_organisation") {
      this->Fields.Object("organisation", [&](gsFieldReader& f) {
        gsOrganisation row = ReadOrganisation(f);
        this->Summary = row.Name;
        this->Upsert(this->Next.Organisations, std::move(row));
      });
    } else if (name == "add_upstream") {
      this->Fields.Object("upstream", [&](gsFieldReader& f) {
        gsUpstream row = ReadUpstream(f);
        this->Summary = row.Name;
        this->AddUpstream(std::move(row));
      });
    } else {
      this->Summary = this->Fields.String("name");
      this->AdvanceUpstream(this->Summary, name == "retire_upstream"
                                             ? gsUpstreamState::Leaving
                                             : gsUpstreamState::Stopped);
    }
  }
};

} // namespace

gsResult<gsDocument> gsDocumentFromJson(gsJson const& json,
                                        std::string_view source)
{
  gsFieldReader fields(json, std::string(source), "");
  gsDocument document = ReadDocument(fields);
  fields.Finish();
  if (fields.Error()) {
    return *fields.Error();
  }
  if (std::optional<gsError> error = CheckConsistency(document, source)) {
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
           { "first_token_ms", ToMilliseconds(row.FirstTokenTarget) },
           { "token_gap_ms", ToMilliseconds(row.TokenIntervalTarget) },
           { "max_wait_ms", ToMilliseconds(row.MaxWait) },
           { "repeatable", row.Repeatable },
           { "max_tokens", row.MaxTokens },
           { "revision", row.Revision } };
}

gsJson gsToJson(gsOrganisation const& row)
{
  gsJson classes = gsJson::object();
  for (auto const& [name, overrides] : row.Classes) {
    gsJson item = gsJson::object();
    if (overrides.Tier) {
      item["tier"] = *overrides.Tier;
    }
    if (overrides.FirstTokenTarget) {
      item["first_token_ms"] = ToMilliseconds(*overrides.FirstTokenTarget);
    }
    if (overrides.TokenIntervalTarget) {
      item["token_gap_ms"] = ToMilliseconds(*overrides.TokenIntervalTarget);
    }
    if (overrides.MaxWait) {
      item["max_wait_ms"] = ToMilliseconds(*overrides.MaxWait);
    }
    if (overrides.Repeatable) {
      item["repeatable"] = *overrides.Repeatable;
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
           { "kind", gsUpstreamKindName(row.Kind) },
           { "state", gsUpstreamStateName(row.State) },
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
        { "age_limit_ms", ToMilliseconds(row.AgeLimit) } });
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
  gsFieldReader fields(json.value(), "change", "");
  gsChange record;
  record.Id = fields.String("id");
  std::size_t kind = fields.Choice("kind", ChangeKinds);
  gsDocument next = document;
  ++next.Version;
  ChangeApplier applier{ next, fields, std::nullopt, std::nullopt, {} };
  if (fields.Has("expected_revision")) {
    applier.ExpectedRevision =
      fields.Unsigned("expected_revision", RevisionRange);
  }
  if (!fields.Error()) {
    applier.Apply(kind);
  }
  fields.Finish();
  if (fields.Error()) {
    return *fields.Error();
  }
  if (applier.Error) {
    return *applier.Error;
  }
  if (std::optional<gsError> error = CheckConsistency(next, "change")) {
    return *error;
  }
  record.Version = next.Version;
  record.Summary = ChangeKinds[kind];
  if (!applier.Summary.empty()) {
    record.Summary += " " + applier.Summary;
  }
  next.Changes.push_back(record);
  if (next.Changes.size() > gsMaxRetainedChanges) {
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
