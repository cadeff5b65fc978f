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

gsResult<gsClass> gsResolveClass(gsDocument const& document,
                                 gsOrganisation const& organisation,
                                 std::string_view templateName)
{
  gsTemplate const* found = gsFindByName(document.Templates, templateName);
  if (found == nullptr) {
    return gsError{ "unknown_template",
                    "There is no template named '" +
                      std::string(templateName) + "'.",
                    "resolve", organisation.Name };
  }
  gsOverride changed;
  auto override = organisation.Classes.find(found->Name);
  if (override != organisation.Classes.end()) {
    changed = override->second;
  }
  std::string const& tier = changed.Tier ? *changed.Tier : found->Tier;
  std::optional<std::uint32_t> rank = gsTierRank(document, tier);
  if (!rank) {
    return gsError{ "unknown_tier", "There is no tier named '" + tier + "'.",
                    "resolve", organisation.Name };
  }
  gsClass result;
  result.Template = found->Name;
  result.Service = found->Service;
  result.Tier = *rank;
  result.FirstToken = changed.FirstToken.value_or(found->FirstToken);
  result.TokenGap = changed.TokenGap.value_or(found->TokenGap);
  result.MaxWait = changed.MaxWait.value_or(found->MaxWait);
  result.Repeatable = changed.Repeatable.value_or(found->Repeatable);
  result.MaxTokens = found->MaxTokens;
  return result;
}

char const* gsStateWord(gsUpstreamState state)
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

char const* gsKindWord(gsUpstreamKind kind)
{
  return kind == gsUpstreamKind::Engine ? "engine" : "plain";
}
