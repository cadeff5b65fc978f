/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The configuration document: tiers, templates, organisations and upstreams.
 * The document is versioned as a whole. Each template, organisation and
 * upstream stores its revision, which is the document version at which it last
 * changed.
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
  /** Waiting time after which the oldest request of the tier may use a
   * reserved slot. */
  gsTime AgeLimit = gsSeconds(5);
};

/** Default parameters of a class of requests. */
struct gsTemplate
{
  std::string Name;
  std::string Service; ///< Name of the model or plain service.
  std::string Tier;
  gsTime FirstTokenTarget =
    gsMilliseconds(490); ///< Target, measured from arrival.
  gsTime TokenIntervalTarget =
    gsMilliseconds(70); ///< Target interval between tokens.
  /** Maximum total waiting time, after which the request is rejected. */
  gsTime MaxWait = gsSeconds(30);
  bool Repeatable = true; ///< An attempt may be retried after it was sent.
  std::uint32_t MaxTokens = 1024; ///< Upper bound of a request's max_tokens.
  std::uint64_t Revision = 0;
};

/** An organisation's overrides of one template; empty members keep the
 * template's value. */
struct gsOverride
{
  std::optional<std::string> Tier;
  std::optional<gsTime> FirstTokenTarget;
  std::optional<gsTime> TokenIntervalTarget;
  std::optional<gsTime> MaxWait;
  std::optional<bool> Repeatable;
};

/** A customer, identified by its API keys. */
struct gsOrganisation
{
  std::string Name;
  std::vector<std::string> KeyHashes;        ///< SHA-256, lower-case hex.
  double Share = 1.0;                        ///< Weight within a tier.
  std::map<std::string, gsOverride> Classes; ///< By template name.
  std::uint64_t Revision = 0;
};

/** Lifecycle state of an upstream. Transitions only go towards the later
 * enumerators. */
enum class gsUpstreamState
{
  Active,
  Leaving, ///< Gets no new requests; open requests finish.
  Stopped  ///< Like Leaving, and no longer polled.
};

/** Type of server that an upstream runs. */
enum class gsUpstreamKind
{
  Engine, ///< A model engine with continuous batching.
  Plain   ///< A plain HTTP service.
};

/** A backend server that processes requests. */
struct gsUpstream
{
  std::string Name;
  std::string Hall;
  std::string Service;
  std::string Address; ///< IP:port.
  gsUpstreamKind Kind = gsUpstreamKind::Engine;
  gsUpstreamState State = gsUpstreamState::Active;
  std::uint32_t Slots = 8;     ///< Initial concurrency limit.
  std::uint32_t MaxSlots = 64; ///< Upper bound of the adaptive limit.
  std::uint64_t Revision = 0;
};

/** An applied change. It is retained so that a client that lost the response
 * can find out whether its change was applied. */
struct gsChange
{
  std::string Id;            ///< Chosen by the client; unique.
  std::uint64_t Version = 0; ///< Document version that it produced.
  std::string Summary;       ///< Kind of the change and name of the object.
};

/** The whole configuration. Version 0 is the empty document before the first
 * change. */
struct gsDocument
{
  std::uint64_t Version = 0;
  std::vector<gsTier> Tiers; ///< Ordered by rank, highest first.
  std::vector<gsTemplate> Templates;
  std::vector<gsOrganisation> Organisations;
  std::vector<gsUpstream> Upstreams;
  std::vector<gsChange> Changes; ///< Newest last; see gsMaxRetainedChanges.
};

/** Maximum number of changes in gsDocument::Changes. The oldest is removed
 * first. */
constexpr std::size_t gsMaxRetainedChanges = 64;

/** Parameters of a request, with the overrides of its organisation applied. */
struct gsRequestClass
{
  std::string Template;
  std::string Service;
  std::uint32_t TierRank = 0; ///< Rank; 0 is the highest.
  gsTime FirstTokenTarget{};
  gsTime TokenIntervalTarget{};
  gsTime MaxWait{};
  bool Repeatable = true;
  std::uint32_t MaxTokens = 0;
};

/** Finds a row by name in a table of the document. \return Null if there is
 * none. */
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

/** Rank of a tier; empty if the document does not define it. */
std::optional<std::uint32_t> gsTierRank(gsDocument const& document,
                                        std::string_view tier);

/** Combines a template with an organisation's overrides. \return An error if
 * the template or the resulting tier does not exist. */
gsResult<gsRequestClass> gsResolveClass(gsDocument const& document,
                                        gsOrganisation const& organisation,
                                        std::string_view templateName);

/** Name of a state in JSON and logs. */
char const* gsUpstreamStateName(gsUpstreamState state);

/** Name of a kind in JSON. */
char const* gsUpstreamKindName(gsUpstreamKind kind);
