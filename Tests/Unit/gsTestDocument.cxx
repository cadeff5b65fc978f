/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests changes of the configuration document: overrides, revisions, conflicts
 * and the order of upstream states.
 */
#include <gtest/gtest.h>

#include "gsDocumentJson.h"

namespace {

gsDocument MakeDocument()
{
  gsDocument document;
  gsResult<gsChange> change = gsApplyChange(document, R"({
    "id": "first", "kind": "import", "document": {
      "tiers": [ { "name": "gold" }, { "name": "bronze" } ],
      "templates": [ { "name": "t", "service": "m", "tier": "gold" } ],
      "organisations": [ { "name": "o", "classes": {
        "t": { "tier": "bronze", "repeatable": false } } } ],
      "upstreams": [ { "name": "u", "hall": "h", "service": "m",
                       "address": "10.0.0.1:80" } ] } })");
  EXPECT_TRUE(change);
  return document;
}

gsResult<gsChange> Apply(gsDocument& document, gsJson const& change)
{
  return gsApplyChange(document, change.dump());
}

} // namespace

TEST(Document, ResolvesClassWithOrganisationOverrides)
{
  gsDocument document = MakeDocument();
  auto resolved = gsResolveClass(document, document.Organisations[0], "t");
  ASSERT_TRUE(resolved);
  EXPECT_EQ(resolved.value().TierRank, 1U);
  EXPECT_FALSE(resolved.value().Repeatable);
  EXPECT_EQ(
    gsResolveClass(document, document.Organisations[0], "none").error().Code,
    "unknown_template");
}

TEST(Document, ReportsConflictWhenRevisionIsOutdated)
{
  gsDocument document = MakeDocument();
  gsJson change{ { "id", "a" },
                 { "kind", "set_organisation" },
                 { "expected_revision", 1 },
                 { "organisation", { { "name", "o" }, { "share", 2 } } } };
  ASSERT_TRUE(Apply(document, change));
  change["id"] = "b";
  gsResult<gsChange> second = Apply(document, change);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().Message,
            "'o' is at revision 2, not at the expected 1; read it again and "
            "repeat the change.");
  EXPECT_EQ(document.Version, 2U);
}

TEST(Document, StoppedUpstreamIsNeverReactivated)
{
  gsDocument document = MakeDocument();
  ASSERT_TRUE(
    Apply(document,
          { { "id", "a" }, { "kind", "stop_upstream" }, { "name", "u" } }));
  ASSERT_TRUE(
    Apply(document,
          { { "id", "b" }, { "kind", "retire_upstream" }, { "name", "u" } }));
  EXPECT_EQ(document.Upstreams[0].State, gsUpstreamState::Stopped);
  gsResult<gsChange> readded =
    Apply(document, { { "id", "c" },
                      { "kind", "add_upstream" },
                      { "upstream",
                        { { "name", "u" },
                          { "hall", "h" },
                          { "service", "m" },
                          { "address", "10.0.0.1:80" } } } });
  ASSERT_FALSE(readded);
  EXPECT_EQ(readded.error().Code, "conflict");
}

TEST(Document, InvalidChangeLeavesDocumentUnchanged)
{
  gsDocument document = MakeDocument();
  std::string original = gsToJson(document).dump();
  EXPECT_FALSE(Apply(document, { { "id", "a" },
                                 { "kind", "set_tiers" },
                                 { "tiers", { { { "name", "other" } } } } }));
  EXPECT_FALSE(Apply(document, { { "kind", "set_tiers" } }));
  EXPECT_EQ(gsToJson(document).dump(), original);
}

TEST(Document, JsonRoundTripPreservesDocument)
{
  gsDocument document = MakeDocument();
  gsResult<gsDocument> parsed = gsDocumentFromJson(gsToJson(document), "test");
  ASSERT_TRUE(parsed) << parsed.error().Message;
  EXPECT_EQ(gsToJson(parsed.value()).dump(), gsToJson(document).dump());
}
