/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDocument.h"

std::optional<std::uint32_t> gsTierRank(gsDocument const& document,
                                        std::string_view tier)
{
  for (std::size_t i = 0; i < document.Tiers.size(); ++i) {
    if (document.Tiers[i].Name == tier) {
      return static_cast<std::uint32_t>(i);
    }
  }
  return std::nullopt;
}

gsResult<gsRequestClass> gsResolveClass(gsDocument const& document,
                                        gsOrganisation const& organisation,
                                        std::string_view templateName)
{
  gsTemplate const* base = gsFindByName(document.Templates, templateName);
  if (base == nullptr) {
    return gsError{ "unknown_template",
                    "There is no template named '" +
                      std::string(templateName) + "'.",
                    "resolve", organisation.Name };
  }
  gsOverride overrides;
  auto override = organisation.Classes.find(base->Name);
  if (override != organisation.Classes.end()) {
    overrides = override->second;
  }
  std::string const& tier = overrides.Tier ? *overrides.Tier : base->Tier;
  std::optional<std::uint32_t> rank = gsTierRank(document, tier);
  if (!rank) {
    return gsError{ "unknown_tier", "There is no tier named '" + tier + "'.",
                    "resolve", organisation.Name };
  }
  gsRequestClass result;
  result.Template = base->Name;
  result.Service = base->Service;
  result.TierRank = *rank;
  result.FirstTokenTarget =
    overrides.FirstTokenTarget.value_or(base->FirstTokenTarget);
  result.TokenIntervalTarget =
    overrides.TokenIntervalTarget.value_or(base->TokenIntervalTarget);
  result.MaxWait = overrides.MaxWait.value_or(base->MaxWait);
  result.Repeatable = overrides.Repeatable.value_or(base->Repeatable);
  result.MaxTokens = base->MaxTokens;
  return result;
}

char const* gsUpstreamStateName(gsUpstreamState state)
{
  switch (state) {
    case gsUpstreamState::Active:
      return "active";
    case gsUpstreamState::Leaving:
      return "leaving";
    case gsUpstreamState::Stopped:
      break;
  }
  return "stopped";
}

char const* gsUpstreamKindName(gsUpstreamKind kind)
{
  return kind == gsUpstreamKind::Engine ? "engine" : "plain";
}
