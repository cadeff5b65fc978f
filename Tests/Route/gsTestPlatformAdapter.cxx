/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file The platform's names and formats, from recorded examples. */
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "gsAdapter.h"

namespace {

char const* const Configuration = R"({
  "version": 7,
  "routes": [
    { "name": "query", "host": "Ab.example", "path_prefix": "/q/",
      "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 250,
      "priority": 0, "service": "model", "max_attempts": 2,
      "allow_anonymous": false, "sticky_sessions": true,
      "resume_streams": true, "gap_aim_ms": 150 },
    { "name": "card", "host": "ab.example", "path_prefix": "/c/",
      "kind": "non_idempotent", "timeout_ms": 800.5, "priority": 2,
      "traffic_split": [ { "service": "old", "weight": 90 },
                         { "service": "new", "weight": 10 } ],
      "max_attempts": 1, "allow_anonymous": true, "of_tomorrow": [] } ],
  "services": [
    { "name": "model", "health_path": "/health", "max_conns": 310,
      "inference_engine": { "capacity_slots": 48,
                            "kv_capacity_tokens": 532839,
                            "migrations": true } },
    { "name": "old", "max_conns": 110 } ],
  "limits": { "max_header_bytes": 8000, "max_body_bytes": 100,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
  "tenants": [ { "name": "club", "api_keys": ["k1", "k2"], "priority": 1 } ]
})";

gsAnswer Answer(unsigned status, std::string body)
{
  gsAnswer answer;
  answer.End.BodyEnd = gsBodyEnd::Length;
  answer.End.Status = status;
  answer.Body = std::move(body);
  return answer;
}

std::string HeaderOf(gsHeaders const& headers, std::string const& name)
{
  std::string value = "none";
  for (auto const& [key, text] : headers) {
    if (key == name) {
      value = text;
    }
  }
  return value;
}

} // namespace

TEST(PlatformAdapter, ReadsTheConfiguration)
{
  gsResult<gsRouteTable> read =
    gsMakeAdapter().ParseRoutes(Configuration, nullptr);
  ASSERT_TRUE(read.has_value()) << read.error().Message;
  gsRouteTable const& table = read.value();
  EXPECT_EQ(table.Version, 7U);
  ASSERT_EQ(table.Routes.size(), 2U);
  gsRoute const& query = table.Routes[0];
  EXPECT_EQ(query.Host, "ab.example");
  EXPECT_EQ(query.Prefix, "/q/");
  EXPECT_TRUE(query.StreamsEvents);
  EXPECT_TRUE(query.Resumable);
  EXPECT_FALSE(query.Repeatable);
  EXPECT_EQ(query.MaxAttempts, 2U);
  EXPECT_EQ(query.Timeout, gsSeconds(12));
  EXPECT_EQ(query.EventIntervalTarget, gsMilliseconds(150));
  ASSERT_EQ(query.Shares.size(), 1U);
  EXPECT_EQ(query.Shares[0].Service, "model");
  gsRoute const& card = table.Routes[1];
  EXPECT_FALSE(card.StreamsEvents);
  EXPECT_TRUE(card.AllowsAnonymous);
  EXPECT_EQ(card.Timeout, gsTime(800500));
  ASSERT_EQ(card.Shares.size(), 2U);
  EXPECT_EQ(card.Shares[1].Service, "new");
  ASSERT_TRUE(table.Services[0].Engine.has_value());
  EXPECT_EQ(table.Services[0].Engine->MemoryTokens, 532839U);
  EXPECT_TRUE(table.Services[0].Engine->CanTransferParts);
  EXPECT_FALSE(table.Services[1].Engine.has_value());
  EXPECT_EQ(table.Limits.MaxBodyBytes, 100U);
  ASSERT_EQ(table.Organisations.size(), 1U);
  EXPECT_EQ(table.Organisations[0].Keys.size(), 2U);
  EXPECT_EQ(table.Organisations[0].Priority, 1U);
}

TEST(PlatformAdapter, SaysWhatItCannotReadAndChangesNothing)
{
  gsAdapter adapter = gsMakeAdapter();
  for (std::string const text :
       { "", "{", "[]", "{}", R"({"version": "x", "routes": []})",
         R"({"version": 1, "routes": [{"host": "a"}]})",
         R"({"version": 1, "routes": 3})" }) {
    EXPECT_FALSE(adapter.ParseRoutes(text, nullptr).has_value()) << text;
  }
  for (std::string const text :
       { "", "{}", R"({"service": "s"})",
         R"({"service": "s", "address": "nowhere"})",
         R"({"service": 1, "address": "10.0.0.1:80"})" }) {
    EXPECT_FALSE(adapter.ParseUpstream("i-1", text).has_value()) << text;
  }
}

TEST(PlatformAdapter, ReadsAnUpstreamsRow)
{
  gsResult<gsListedUpstream> read = gsMakeAdapter().ParseUpstream(
    "i-7", R"({"service":"model","address":"10.1.0.9:8080","zone":"north",
               "version":"v1","capacity_slots":48,"state":"draining",
               "call_seq":4})");
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().Id, "i-7");
  EXPECT_EQ(read.value().Hall, "north");
  EXPECT_EQ(read.value().Slots, 48U);
  EXPECT_TRUE(read.value().Leaving);
}

TEST(PlatformAdapter, ReadsWhatAnAnswerSaysOfItsUpstream)
{
  gsAdapter adapter = gsMakeAdapter();
  gsHeaders leaving{ { "server-leaving", "1" } };
  for (unsigned status : { 200U, 404U, 429U, 500U, 503U }) {
    EXPECT_TRUE(
      adapter.ParseResponseHead(status, leaving).Announcement.Leaving)
      << status;
  }
  EXPECT_TRUE(adapter.ParseResponseHead(200, {}).Announcement.IsEmpty());
  gsHeaders rest{ { "retry-after", "1" }, { "retry-after", "2.5" } };
  EXPECT_EQ(adapter.ParseResponseHead(503, rest).Announcement.RetryAfter,
            gsMilliseconds(2500));
  EXPECT_EQ(adapter.ParseResponseHead(429, rest).Announcement.RetryAfter,
            gsMilliseconds(2500));
  EXPECT_TRUE(adapter.ParseResponseHead(200, rest).Announcement.IsEmpty());
  gsHeaders limit{ { "server-limit", "3" }, { "server-limit", "2.9" } };
  EXPECT_EQ(adapter.ParseResponseHead(200, limit).Announcement.RateLimit, 2.9);
  EXPECT_FALSE(adapter.ParseResponseHead(200, {}).Announcement.RateLimit);
}

// Another upstream has the address by then: it speaks of itself.
TEST(PlatformAdapter, AnAnswerOfAnotherUpstreamSaysNothingOfTheOneMeant)
{
  gsHeaders headers{ { "server-leaving", "1" },
                     { "retry-after", "9" },
                     { "server-limit", "3" } };
  gsUpstreamAnnouncement word =
    gsMakeAdapter().ParseResponseHead(421, headers).Announcement;
  EXPECT_TRUE(word.IsEmpty());
  EXPECT_FALSE(word.RateLimit);
}

TEST(PlatformAdapter, ReadsPagesOfRows)
{
  gsAdapter adapter = gsMakeAdapter();
  gsTableReadResult read = adapter.ParseTableResponse(Answer(
    200, R"({"records":[{"table":"t","part":"","tls_key":"a","value":"aGk=",
             "ver":4},{"tls_key":"b","gone":true,"ver":5}],
             "more":true,"ver":9,"now_ms":1})"));
  ASSERT_TRUE(read.Page.has_value());
  EXPECT_EQ(read.Page->Version, 9U);
  EXPECT_EQ(read.Page->ClockMillis, 1);
  EXPECT_TRUE(read.Page->HasMore);
  ASSERT_EQ(read.Page->Rows.size(), 2U);
  EXPECT_EQ(read.Page->Rows[0].Value, "hi");
  EXPECT_TRUE(read.Page->Rows[1].Removed);
  EXPECT_EQ(adapter.ParseTableResponse(Answer(410, "")).Error,
            gsTableReadError::HistoryExpired);
  EXPECT_EQ(adapter.ParseTableResponse(Answer(429, "")).Error,
            gsTableReadError::Rejected);
  EXPECT_EQ(adapter.ParseTableResponse(Answer(200, "{")).Error,
            gsTableReadError::NoAnswer);
  gsAnswer broken = Answer(200, R"({"records":[],"ver":1})");
  broken.End.BodyEnd = gsBodyEnd::Unknown;
  EXPECT_FALSE(adapter.ParseTableResponse(broken).Page.has_value());
}

TEST(PlatformAdapter, AsksForRowsByName)
{
  gsAdapter adapter = gsMakeAdapter();
  EXPECT_EQ(adapter.MakeReadCall("10.0.0.1:80", "t", "").Url,
            "http://10.0.0.1:80/api/rows-get?table=t&part=&limit=500");
  EXPECT_EQ(adapter.MakeReadCall("10.0.0.1:80", "t", "a/b").Url,
            "http://10.0.0.1:80/api/rows-get?table=t&part=&limit=500"
            "&source=a%2Fb");
  EXPECT_EQ(adapter.MakeWatchCall("10.0.0.1:80", "t", 530, gsSeconds(2)).Url,
            "http://10.0.0.1:80/api/rows-feed?table=t&after=530&wait_ms=2000");
}

TEST(PlatformAdapter, TellsAnUpstreamWhatItNeedsToKnow)
{
  gsCallerRequest request;
  request.Headers = { { "Host", "ab.example" },
                      { "Gradescale-Attempt-Id", "x" } };
  request.PromptTokens = 100;
  gsAttemptMetadata facts;
  facts.UpstreamId = "i-1";
  facts.Organisation = "club";
  facts.TimeToDeadline = gsTime(1499600);
  facts.Urgency = 12;
  facts.LastEventId = 4;
  gsHeaders headers = gsMakeAdapter().MakeAttemptHeaders(request, facts);
  EXPECT_EQ(HeaderOf(headers, "Host"), "ab.example");
  EXPECT_EQ(HeaderOf(headers, "Gradescale-Expect-Instance"), "i-1");
  EXPECT_EQ(HeaderOf(headers, "Gradescale-Tenant"), "club");
  EXPECT_EQ(HeaderOf(headers, "Gradescale-Deadline-Ms"), "1499");
  EXPECT_EQ(HeaderOf(headers, "Gradescale-Request-Urgency"), "9");
  EXPECT_EQ(HeaderOf(headers, "Last-Event-Id"), "4");
  EXPECT_EQ(HeaderOf(headers, "Kv-Fetch"), "none");
  facts.TransferSource = "10.0.0.1:90";
  headers = gsMakeAdapter().MakeAttemptHeaders(request, facts);
  EXPECT_EQ(HeaderOf(headers, "Kv-Fetch"), "10.0.0.1:90");
}

TEST(PlatformAdapter, ReadsTheHeadOfAnAnswer)
{
  gsResponseHead head = gsMakeAdapter().ParseResponseHead(
    200, { { "gradescale-attempt-id", "x" },
           { "gradescale-response-signature", "s" },
           { "connection", "keep-alive" },
           { "keep-alive", "timeout=5, max=100" },
           { "transfer-encoding", "chunked" },
           { "content-type", "text/plain" } });
  EXPECT_EQ(head.RequestId, "x");
  EXPECT_TRUE(head.IsSigned);
  EXPECT_FALSE(head.NotExecuted);
  EXPECT_EQ(head.MaxConnectionIdle, gsTime(gsSeconds(5)));
  EXPECT_EQ(HeaderOf(head.Headers, "content-type"), "text/plain");
  EXPECT_EQ(HeaderOf(head.Headers, "connection"), "none");
  EXPECT_EQ(HeaderOf(head.Headers, "transfer-encoding"), "none");
  EXPECT_TRUE(gsMakeAdapter().ParseResponseHead(421, {}).NotExecuted);
  EXPECT_TRUE(gsMakeAdapter()
                .ParseResponseHead(503, { { "gradescale-not-executed", "1" } })
                .NotExecuted);
}

namespace {

/** A configuration of many routes, with texts that are hard to divide. */
nlohmann::json ManyRoutes(std::size_t count)
{
  nlohmann::json routes = nlohmann::json::array();
  for (std::size_t i = 0; i < count; ++i) {
    std::string const number = std::to_string(i);
    routes.push_back({ { "name", "r,\"]}[{\\" + number },
                       { "host", "H" + number + ".Example" },
                       { "path_prefix", "/a" + number + "/" },
                       { "kind", i % 2 == 0 ? "idempotent" : "streaming" },
                       { "timeout_ms", 1000 + i },
                       { "priority", i % 7 },
                       { "gap_aim_ms", 100 + i },
                       { "allowed_regions", { "here" } },
                       { "service", "s" + std::to_string(i % 3) } });
  }
  return { { "version", 1 }, { "routes", routes }, { "more", "routes:[" } };
}

void ExpectSameRoutes(gsRouteTable const& a, gsRouteTable const& b)
{
  ASSERT_EQ(a.Routes.size(), b.Routes.size());
  EXPECT_EQ(a.Version, b.Version);
  for (std::size_t i = 0; i < a.Routes.size(); ++i) {
    gsRoute const& left = a.Routes[i];
    gsRoute const& right = b.Routes[i];
    EXPECT_EQ(left.Name, right.Name);
    EXPECT_EQ(left.Host, right.Host);
    EXPECT_EQ(left.Prefix, right.Prefix);
    EXPECT_EQ(left.Repeatable, right.Repeatable);
    EXPECT_EQ(left.StreamsEvents, right.StreamsEvents);
    EXPECT_EQ(left.Timeout, right.Timeout);
    EXPECT_EQ(left.Priority, right.Priority);
    EXPECT_EQ(left.MinEventIntervalTarget, right.MinEventIntervalTarget);
    EXPECT_EQ(left.Regions, right.Regions);
    EXPECT_EQ(left.Shares[0].Service, right.Shares[0].Service);
  }
  EXPECT_EQ(a.RouteIndex, b.RouteIndex);
}

} // namespace

// Guards against a host that stands still at each change of a large
// configuration, as all of it is parsed, and against what copying could spoil.
TEST(PlatformAdapter, ParsingByChangeGivesTheSameAsParsingAnew)
{
  gsAdapter adapter = gsMakeAdapter();
  nlohmann::json configuration = ManyRoutes(60);
  gsRouteTable previous;
  gsRandom random(3);
  for (std::size_t round = 0; round < 200; ++round) {
    nlohmann::json& routes = configuration["routes"];
    std::size_t at = random() % routes.size();
    switch (random() % 4) {
      case 0:
        routes[at]["priority"] = random() % 9;
        break;
      case 1:
        routes.erase(at);
        break;
      case 2:
        routes.push_back(ManyRoutes(round + 70)["routes"].back());
        break;
      default:
        std::swap(routes[at], routes[routes.size() / 2]);
    }
    configuration["version"] = round + 2;
    std::string const text = configuration.dump(round % 3 == 0 ? 2 : -1);
    gsResult<gsRouteTable> changed = adapter.ParseRoutes(text, &previous);
    gsResult<gsRouteTable> anew = adapter.ParseRoutes(text, nullptr);
    ASSERT_TRUE(changed && anew);
    gsIndexRoutes(changed.value());
    gsIndexRoutes(anew.value());
    ExpectSameRoutes(changed.value(), anew.value());
    previous = changed.value();
  }
}

TEST(PlatformAdapter, ParsingByChangeRefusesWhatParsingAnewRefuses)
{
  gsAdapter adapter = gsMakeAdapter();
  std::string const text = ManyRoutes(4).dump();
  gsResult<gsRouteTable> previous = adapter.ParseRoutes(text, nullptr);
  ASSERT_TRUE(previous);
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_FALSE(adapter.ParseRoutes(text.substr(0, size), &previous.value()))
      << size;
  }
  std::string const list = text.substr(text.find('['));
  for (std::string const& wrong :
       { text + "}", text + text, "[" + text + "]", "{\"routes\":" + list,
         std::string("{\"version\":1,\"routes\":[,]}"),
         std::string("{\"version\":1,\"routes\":[{}]}") }) {
    EXPECT_FALSE(adapter.ParseRoutes(wrong, &previous.value())) << wrong;
  }
}
