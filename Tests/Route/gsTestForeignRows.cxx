/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Rows, configurations and answers of the platform by other writers: fields
 * that are missing, of another type, huge, negative or deep, and bytes that
 * are no text. Fixed seeds; whatever is read has to hold what its type says.
 */
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "gsAdapter.h"
#include "gsUpstreamList.h"
#include "gsUpstreamText.h"

namespace {

using Json = nlohmann::json;

constexpr int Rounds = 4000;

Json GoodRow()
{
  return Json{ { "service", "model" },    { "address", "10.1.0.9:8080" },
               { "zone", "north" },       { "version", "v1" },
               { "capacity_slots", 48 },  { "state", "ready" },
               { "cold_left_ms", 0 },     { "call_seq", 4 },
               { "born", 1796260000000 }, { "spot", false } };
}

Json GoodRoutes()
{
  return Json::parse(R"({"version":7,"routes":[{"name":"r","host":"a",
    "path_prefix":"/q/","kind":"streaming","timeout_ms":1000,
    "target_latency_ms":250,"priority":0,"service":"model","max_attempts":2,
    "allow_anonymous":false,"sticky_sessions":true,"resume_streams":true,
    "gap_aim_ms":150}],"services":[{"name":"model","max_conns":3,
    "inference_engine":{"capacity_slots":4,"kv_capacity_tokens":10,
    "migrations":true},"scaling":{"min_replicas":1,"max_replicas":56,
    "startup_s":4.0,"spot_price":0.22,"zone_prices":{"north":1.0}}}],
    "limits":{"max_body_bytes":10},"tenants":[{"name":"t",
    "api_keys":["k"],"priority":1}]})");
}

Json GoodPage()
{
  return Json::parse(R"({"records":[{"table":"servers","part":"",
    "tls_key":"i-1","value":"e30=","ver":4}],"more":false,"ver":9,
    "now_ms":51230})");
}

Json Deep()
{
  Json value = 1;
  constexpr int levels = 200;
  for (int i = 0; i < levels; ++i) {
    value = Json::array({ value });
  }
  return value;
}

/** A value that no field of these documents has. */
Json Odd(std::mt19937_64& random)
{
  static std::vector<Json> const values{ nullptr,
                                         true,
                                         -1,
                                         0,
                                         1e300,
                                         3.5,
                                         std::string(5000, 'x'),
                                         "",
                                         "\r\n",
                                         Json::array(),
                                         Json::object(),
                                         std::uint64_t{
                                           18446744073709551615ULL },
                                         Deep() };
  return values[random() % values.size()];
}

/** Drops or replaces one field somewhere in the document. */
void Spoil(Json& document, std::mt19937_64& random)
{
  Json* at = &document;
  while (at->is_structured() && !at->empty()) {
    auto field = at->begin();
    std::advance(field, static_cast<std::ptrdiff_t>(random() % at->size()));
    bool descends =
      field->is_structured() && !field->empty() && random() % 3 != 0;
    if (descends) {
      at = &*field;
      continue;
    }
    if (random() % 3 == 0) {
      at->erase(field);
    } else {
      *field = Odd(random);
    }
    return;
  }
}

/** The document's text, perhaps with bytes changed or cut off. */
std::string Text(Json const& document, std::mt19937_64& random)
{
  std::string text = document.dump();
  if (random() % 4 == 0) {
    text[random() % text.size()] = static_cast<char>(random() % 256);
  }
  if (random() % 8 == 0) {
    text.resize(random() % text.size());
  }
  return text;
}

void ExpectSound(gsListedUpstream const& listed, std::string const& text)
{
  EXPECT_FALSE(listed.Service.empty()) << text;
  EXPECT_FALSE(listed.Hall.empty()) << text;
  EXPECT_TRUE(gsSplitAddress(listed.Address).has_value()) << text;
  EXPECT_GE(listed.Slots, 1U) << text;
  EXPECT_LE(listed.Slots, 1'000'000U) << text;
}

} // namespace

TEST(ForeignRows, ASpoiltRowNamesNoUpstreamOrASoundOne)
{
  gsAdapter adapter = gsMakeAdapter();
  std::mt19937_64 random(1);
  int unreadable = 0;
  for (int i = 0; i < Rounds; ++i) {
    Json row = GoodRow();
    Spoil(row, random);
    std::string text = Text(row, random);
    gsResult<gsListedUpstream> read = adapter.ParseUpstream("i-1", text);
    unreadable += read ? 0 : 1;
    if (read) {
      ExpectSound(read.value(), text);
    }
  }
  EXPECT_GT(unreadable, Rounds / 2);
}

TEST(ForeignRows, EachFieldThatIsMissingOrOfAnotherTypeIsNoticed)
{
  gsAdapter adapter = gsMakeAdapter();
  ASSERT_TRUE(adapter.ParseUpstream("i-1", GoodRow().dump()).has_value());
  for (char const* field : { "service", "address", "zone", "version",
                             "capacity_slots", "state", "call_seq" }) {
    Json missing = GoodRow();
    missing.erase(field);
    EXPECT_FALSE(adapter.ParseUpstream("i-1", missing.dump()).has_value())
      << field;
    for (Json const& other : { Json(nullptr), Json(-3), Json(true),
                               Json::array(), Json::object() }) {
      Json row = GoodRow();
      row[field] = other;
      EXPECT_FALSE(adapter.ParseUpstream("i-1", row.dump()).has_value())
        << row.dump();
    }
  }
  for (Json const& born : { Json("x"), Json(-3), Json(1.5), Json(nullptr) }) {
    Json row = GoodRow();
    row["born"] = born;
    EXPECT_FALSE(adapter.ParseUpstream("i-1", row.dump()).has_value())
      << row.dump();
  }
  Json unknown = GoodRow();
  unknown["state"] = "resting";
  EXPECT_FALSE(adapter.ParseUpstream("i-1", unknown.dump()).has_value());
  EXPECT_FALSE(
    adapter.ParseUpstream("i\r\nX: y", GoodRow().dump()).has_value());
}

TEST(ForeignRows, AnEarlierReleaseThatTellsNoBirthIsRead)
{
  Json row = GoodRow();
  row.erase("born");
  gsResult<gsListedUpstream> read =
    gsMakeAdapter().ParseUpstream("i-1", row.dump());
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().StartedAt, 0U);
}

namespace {

std::string EncodeBase64(std::string const& bytes)
{
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<unsigned char const*>(bytes.data()),
                    static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

Json MakeRecord(std::string const& key, Json const& value)
{
  return Json{ { "table", "servers" },
               { "part", "" },
               { "tls_key", key },
               { "value", value },
               { "ver", 4 } };
}

gsAnswer MakeAnswer(std::string body)
{
  gsAnswer answer;
  answer.End.BodyEnd = gsBodyEnd::Length;
  answer.End.Status = 200;
  answer.Body = std::move(body);
  return answer;
}

/** A row in the format between hosts, as another writer may fake it. */
std::string CompactText(std::string const& service, std::string const& address,
                        std::string const& numbers)
{
  return "\x01" + service + "\t" + address + "\tnorth\t" + numbers;
}

} // namespace

// Guards against a host that ends by itself at a row whose value is no sound
// base64, such as one that consists of padding only.
TEST(ForeignRows, ValuesThatAreNoBase64AreRead)
{
  gsAdapter adapter = gsMakeAdapter();
  for (char const* value :
       { "", "=", "==", "===", "====", "A===", "AA==", "AAA=", "=AAA",
         "A=A=", "========", "AAAA====", "AA=A", "!!!!", "A", "AAAAA" }) {
    Json page = GoodPage();
    page["records"].push_back(MakeRecord("i-2", value));
    gsTableReadResult result =
      adapter.ParseTableResponse(MakeAnswer(page.dump()));
    ASSERT_TRUE(result.Page.has_value()) << value;
    ASSERT_EQ(result.Page->Rows.size(), 2U) << value;
    EXPECT_FALSE(
      adapter.ParseUpstream("i-2", result.Page->Rows[1].Value).has_value())
      << value;
  }
}

// Guards against a watch that stops following the table: one record that
// cannot be read made its whole page unreadable, again and again.
TEST(ForeignRows, ARecordThatCannotBeReadLeavesTheOthersOfItsPage)
{
  gsAdapter adapter = gsMakeAdapter();
  for (Json const& odd :
       { Json(nullptr), Json("x"), Json(3), Json::array(), Json::object(),
         Json{ { "tls_key", 3 }, { "ver", 4 } },
         Json{ { "tls_key", "i-2" }, { "ver", -4 }, { "gone", "x" } },
         Json{ { "tls_key", "i-2" }, { "ver", "x" } },
         MakeRecord("i-2", Deep()), MakeRecord("i-2", 1e308),
         MakeRecord("i-2", nullptr) }) {
    Json page = GoodPage();
    std::string const sound = EncodeBase64(GoodRow().dump());
    page["records"] =
      Json::array({ MakeRecord("i-1", sound), odd, MakeRecord("i-3", sound) });
    gsTableReadResult result =
      adapter.ParseTableResponse(MakeAnswer(page.dump()));
    ASSERT_TRUE(result.Page.has_value()) << odd.dump();
    std::vector<gsTableRow> const& rows = result.Page->Rows;
    EXPECT_EQ(result.Page->Version, 9U);
    ASSERT_GE(rows.size(), 2U);
    EXPECT_EQ(rows.front().Key, "i-1");
    EXPECT_EQ(rows.back().Key, "i-3");
    EXPECT_TRUE(adapter.ParseUpstream("i-3", rows.back().Value).has_value());
    EXPECT_EQ(result.Page->UnreadableRows + rows.size(), 3U) << odd.dump();
  }
}

// Guards against times that overflow, on whichever machine: what a row says is
// added to the current time.
TEST(ForeignRows, TimesOutOfRangeAreLimited)
{
  gsAdapter adapter = gsMakeAdapter();
  gsTime const later = gsSeconds(3600 * 24 * 366);
  for (Json const& cold :
       { Json(-1), Json(-1e308), Json(1e16), Json(1e300), Json(1e308),
         Json(std::uint64_t(-1)), Json(0.5) }) {
    Json row = GoodRow();
    row["cold_left_ms"] = cold;
    gsResult<gsListedUpstream> read = adapter.ParseUpstream("i-1", row.dump());
    ASSERT_TRUE(read.has_value()) << cold;
    EXPECT_GE(read.value().RemainingColdTime, gsTime{}) << cold;
    EXPECT_LE(read.value().RemainingColdTime, later) << cold;
  }
  Json routes = GoodRoutes();
  routes["routes"][0]["timeout_ms"] = 1e300;
  routes["services"][0]["scaling"]["startup_s"] = 1e300;
  routes["limits"]["idle_timeout_ms"] = -1e300;
  gsResult<gsRouteTable> table = adapter.ParseRoutes(routes.dump(), nullptr);
  ASSERT_TRUE(table.has_value());
  EXPECT_LE(table.value().Routes[0].Timeout, later);
  EXPECT_LE(table.value().Services[0].Scaling->StartupTime, later);
  EXPECT_GE(table.value().Limits.IdleTimeout, gsTime{});
}

// Guards against a birth in the far future, which made every later row of the
// same upstream count as that of an earlier start.
TEST(ForeignRows, ABirthOutOfRangeDoesNotShadowLaterRows)
{
  gsAdapter adapter = gsMakeAdapter();
  gsUpstreamList list;
  for (Json const& born : { Json(std::uint64_t(-1)), Json(1e16),
                            Json(std::uint64_t(10000000000000000)) }) {
    Json odd = GoodRow();
    odd["born"] = born;
    gsListApplyRow(list, "i-1", 1, adapter.ParseUpstream("i-1", odd.dump()));
    EXPECT_EQ(gsListFind(list, "i-1"), nullptr);
    gsListApplyRow(list, "i-1", 2,
                   adapter.ParseUpstream("i-1", GoodRow().dump()));
    EXPECT_NE(gsListFind(list, "i-1"), nullptr) << born;
  }
}

// Guards against rows in the format between hosts that another writer has
// made: what is taken from them has to hold what that of the platform holds.
TEST(ForeignRows, CompactTextsOutOfRangeNameNoUpstream)
{
  gsAdapter adapter = gsMakeAdapter();
  std::string const address = "10.1.0.9:8080";
  std::string const sound = "48\t0\t1796260000000\t0";
  ASSERT_TRUE(
    adapter.ParseUpstream("i-1", CompactText("model", address, sound))
      .has_value());
  for (std::string const& text : {
         CompactText("model", "10.1.0.9:70000", sound),
         CompactText("model", "10.1.0.9:-1", sound),
         CompactText("model", "10.1.0.9", sound),
         CompactText("model", "host:8080", sound),
         CompactText("mod\xff"
                     "el",
                     address, sound),
         CompactText("", address, sound),
         CompactText("model", address, "0\t0\t1796260000000\t0"),
         CompactText("model", address, "4294967296\t0\t1796260000000\t0"),
         CompactText("model", address, "48\t0\t18446744073709551615\t0"),
         CompactText("model", address,
                     "48\t0\t1796260000000\t18446744073709551615"),
       }) {
    EXPECT_FALSE(adapter.ParseUpstream("i-1", text).has_value()) << text;
  }
}

// The same by chance, and what is computed from what is read; built with the
// undefined-behaviour sanitizer, it finds overflows as well.
TEST(ForeignRows, WhatIsReadOfSpoiltRowsCanBeListedAndSentOn)
{
  gsAdapter adapter = gsMakeAdapter();
  std::mt19937_64 random(3);
  gsFleet fleet;
  gsUpstreamList list;
  std::string const compact =
    CompactText("model", "10.1.0.9:8080", "48\t0\t1796260000000\t0");
  for (int i = 0; i < 4 * Rounds; ++i) {
    std::string const key = "i-" + std::to_string(random() % 50);
    Json row = GoodRow();
    Spoil(row, random);
    std::string text = Text(row, random);
    if (i % 2 == 0) {
      text = compact;
      for (int spoilt = 0; spoilt < 2; ++spoilt) {
        text[random() % text.size()] = static_cast<char>(random() % 256);
      }
    }
    gsResult<gsListedUpstream> read = adapter.ParseUpstream(key, text);
    gsListApplyRow(list, key, static_cast<std::uint64_t>(i), read);
    gsListedUpstream const* listed = gsListFind(list, key);
    if (listed == nullptr) {
      gsFleetRemove(fleet, key, gsSeconds(i));
      continue;
    }
    ExpectSound(*listed, text);
    gsFleetUpsert(fleet, *listed, gsSeconds(i));
    std::string const sent = gsUpstreamText(*listed);
    if (!sent.empty()) {
      EXPECT_TRUE(adapter.ParseUpstream(key, sent).has_value()) << sent;
    }
    EXPECT_FALSE(Json(listed->Service + listed->Hall).dump().empty());
  }
  EXPECT_GT(fleet.Rows.size(), 0U);
}

TEST(ForeignRows, SpoiltConfigurationsAndPagesAreReadOrRefused)
{
  gsAdapter adapter = gsMakeAdapter();
  std::mt19937_64 random(2);
  for (int i = 0; i < Rounds; ++i) {
    Json routes = GoodRoutes();
    Spoil(routes, random);
    gsResult<gsRouteTable> table =
      adapter.ParseRoutes(Text(routes, random), nullptr);
    if (table) {
      gsIndexRoutes(table.value());
    }
    Json page = GoodPage();
    Spoil(page, random);
    gsAnswer answer;
    answer.End.BodyEnd = gsBodyEnd::Length;
    answer.End.Status = 200;
    answer.Body = Text(page, random);
    adapter.ParseTableResponse(answer);
  }
}
