/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The configuration document: tiers, templates, organisations and upstreams.
 * It is one versioned value; every object in it carries the revision (the
 * document version) at which it last changed.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** A service tier. Rank 0 is the highest. */
struct gsTier
{
  std::string Name;
  /** Waiting longer than this entitles the oldest to a reserved slot. */
  gsTime AgeLimit = gsSeconds(5);
};

/** A class of work. */
struct gsTemplate
{
  std::string Name;
  std::string Service; ///< Name of the model or plain service.
  std::string Tier;
  gsTime FirstToken = gsMilliseconds(490); ///< Target from arrival.
  gsTime TokenGap = gsMilliseconds(70);    ///< Target between tokens.
  gsTime MaxWait = gsSeconds(30); ///< Longest wait before it is given up.
  bool Repeatable = true;
  std::uint32_t MaxTokens = 1024;
  std::uint64_t Revision = 0;
};

/** What an organisation sets differently for one template. */
struct gsOverride
{
  std::optional<std::string> Tier;
  std::optional<gsTime> FirstToken;
  std::optional<gsTime> TokenGap;
  std::optional<gsTime> MaxWait;
  std::optional<bool> Repeatable;
};

/** A customer. */
struct gsOrganisation
{
  std::string Name;
  std::vector<std::string> KeyHashes; ///< SHA-256, lower-case hex.
  double Share = 1.0;                 ///< Weight within a tier.
  std::map<std::string, gsOverride> Classes;
  std::uint64_t Revision = 0;
};

/** Where an upstream stands. Only ever moves down this list. */
enum class gsUpstreamState
{
  Active,
  Leaving, ///< Gets no new work; what runs there finishes.
  Stopped  ///< As Leaving, and is not polled any more.
};

/** What kind of work an upstream does. */
enum class gsUpstreamKind
{
  Engine, ///< A model engine with continuous batching.
  Plain   ///< A plain HTTP service.
};

/** A back end. */
struct gsUpstream
{
  std::string Name;
  std::string Hall;
  std::string Service;
  std::string Address; ///< IP:port.
  gsUpstreamKind Kind = gsUpstreamKind::Engine;
  gsUpstreamState State = gsUpstreamState::Active;
  std::uint32_t Slots = 8;     ///< Concurrent requests to begin with.
  std::uint32_t MaxSlots = 64; ///< The adaptive limit stays below this.
  std::uint64_t Revision = 0;
};

/** A change that went into the document, kept to settle lost answers. */
struct gsChange
{
  std::string Id;
  std::uint64_t Version = 0;
  std::string Summary;
};

/** The whole configuration. Version 0 is the empty one before any change. */
struct gsDocument
{
  std::uint64_t Version = 0;
  std::vector<gsTier> Tiers; ///< Ordered, the highest first.
  std::vector<gsTemplate> Templates;
  std::vector<gsOrganisation> Organisations;
  std::vector<gsUpstream> Upstreams;
  std::vector<gsChange> Changes; ///< The newest last; bounded.
};

/** Most changes that a document remembers. */
constexpr std::size_t gsMaxRememberedChanges = 64;

/** The parameters of one request's class, overrides applied. */
struct gsClass
{
  std::string Template;
  std::string Service;
  std::uint32_t Tier = 0; ///< Rank.
  gsTime FirstToken{};
  gsTime TokenGap{};
  gsTime MaxWait{};
  bool Repeatable = true;
  std::uint32_t MaxTokens = 0;
};

/** Finds an entity by its name in one of the document's tables. */
template<typename Table>
auto* gsFindByName(Table& table, std::string_view name)
{
  for (auto& row : table) {
    if (row.Name == name) {
      return &row;
    }
  }
  return static_cast<decltype(&*table.begin())>(nullptr);
}

/** Rank of a tier, or nothing when the document does not have it. */
std::optional<std::uint32_t> gsTierRank(gsDocument const& document,
                                        std::string_view tier);

/** Joins a template and an organisation's overrides of it. */
gsResult<gsClass> gsResolveClass(gsDocument const& document,
                                 gsOrganisation const& organisation,
                                 std::string_view templateName);

/** Word for a state, as it stands in JSON and logs. */
char const* gsStateWord(gsUpstreamState state);

/** Word for a kind, as it stands in JSON. */
char const* gsKindWord(gsUpstreamKind kind);
