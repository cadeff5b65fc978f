/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Bad input from callers and operators: a clear error or a documented cut,
 * and the next request is served.
 */
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsTestSystem.h"

namespace {

class BadInput : public testing::Test
{
protected:
  static void SetUpTestSuite()
  {
    gsTestPlan plan;
    plan.Hosts = 1;
    plan.Engines = 1;
    plan.Callers = { { "receive_timeout_ms", 1000 } };
    System = std::make_unique<gsTestSystem>(plan);
  }
  static void TearDownTestSuite() { System.reset(); }

  void TearDown() override
  {
    gsTestRequest request;
    request.Host = "north-a";
    request.Content = "next";
    EXPECT_TRUE(System->SendAndWait(request)->Good());
  }

  /** The error object of a reply with this status. */
  static gsJson ErrorOf(gsReplyPtr const& reply, unsigned status)
  {
    EXPECT_EQ(reply->Status, status) << reply->Body;
    EXPECT_EQ(reply->Ran, "no");
    gsJson body = gsJson::parse(reply->Body, nullptr, false);
    gsJson error = body.is_object() ? body["error"] : gsJson::object();
    EXPECT_TRUE(error.contains("step"));
    EXPECT_TRUE(error.contains("peer"));
    return error;
  }

  /** Sends raw bytes; true when the other side ends the connection. */
  static bool EndsAfter(std::string const& address, std::string const& bytes,
                        std::string* answer = nullptr)
  {
    auto split = gsSplitAddress(address).value();
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(split.second);
    inet_pton(AF_INET, split.first.c_str(), &to.sin_addr);
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    timeval limit{ 5, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    bool ended = false;
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)) ==
        0) {
      static_cast<void>(
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
      char buffer[4096];
      ssize_t count = 0;
      while ((count = recv(descriptor, buffer, sizeof(buffer), 0)) > 0) {
        if (answer != nullptr) {
          answer->append(buffer, static_cast<std::size_t>(count));
        }
      }
      ended = count == 0 || errno == ECONNRESET;
    }
    close(descriptor);
    return ended;
  }

  static std::unique_ptr<gsTestSystem> System;
};

std::unique_ptr<gsTestSystem> BadInput::System;

} // namespace

TEST_F(BadInput, UnknownKey)
{
  gsTestRequest request;
  request.Host = "north-a";
  request.Key = "nobody's";
  gsJson error = ErrorOf(System->SendAndWait(request), 401);
  EXPECT_EQ(error["code"], "unknown_key");
  EXPECT_EQ(error["step"], "authenticate");
}

TEST_F(BadInput, UnknownTemplate)
{
  gsTestRequest request;
  request.Host = "north-a";
  request.Template = "nothing";
  EXPECT_EQ(ErrorOf(System->SendAndWait(request), 404)["code"],
            "unknown_template");
}

TEST_F(BadInput, BodyTooLarge)
{
  gsTestRequest request;
  request.Host = "north-a";
  request.Content = std::string(2U << 20U, 'x');
  EXPECT_EQ(ErrorOf(System->SendAndWait(request), 413)["code"],
            "body_too_large");
}

TEST_F(BadInput, UnknownServiceAndPath)
{
  gsTestRequest request;
  request.Host = "north-a";
  request.Service = "none";
  EXPECT_EQ(ErrorOf(System->SendAndWait(request), 404)["code"],
            "unknown_template");
}

TEST_F(BadInput, CallerLeavesMidStream)
{
  System->Control("north-engine0", { { "gap_ms", 100 } });
  gsTestRequest request;
  request.Host = "north-a";
  request.Content = "left tokens=200";
  gsReplyPtr reply = System->Send(request);
  ASSERT_TRUE(System->RunUntil([&] { return reply->First.count() > 0; }));
  System->Leave(reply);
  EXPECT_TRUE(System->RunUntil([&] {
    return System->Operate("north-a", "GET", "/v1/status")["open_requests"] ==
           0;
  }));
  System->Control("north-engine0", { { "gap_ms", 5 } });
}

TEST_F(BadInput, CallerLeavesWhileItWaits)
{
  System->Control("north-engine0", { { "gap_ms", 100 } });
  std::vector<gsReplyPtr> running;
  gsTestRequest request;
  request.Host = "north-a";
  for (int i = 0; i < 4; ++i) {
    request.Content = "busy tokens=20 " + std::to_string(i);
    running.push_back(System->Send(request));
  }
  ASSERT_TRUE(System->RunUntil([&] { return running[3]->First.count() > 0; }));
  request.Content = "never run";
  gsReplyPtr waiting = System->Send(request);
  System->RunUntil([&] {
    return System->Operate("north-a", "GET", "/v1/status")["open_requests"] ==
           5;
  });
  System->Leave(waiting);
  ASSERT_TRUE(System->RunUntil([&] { return running[3]->Done; }));
  System->Control("north-engine0", { { "gap_ms", 5 } });
  EXPECT_EQ(System->Started("never run"), 0);
}

TEST_F(BadInput, OperatorsWithoutTokenAreRefused)
{
  gsJson answer =
    System->Operate("north-a", "POST", "/v1/changes", gsJson::array({ 1, 2 }));
  EXPECT_EQ(answer["error"]["code"], "bad_value");
  answer = System->Operate("north-a", "POST", "/v1/changes",
                           { { "id", "x" }, { "kind", "set_templat" } });
  EXPECT_NE(answer["error"]["message"].get<std::string>().find(
              "did you mean 'set_template'?"),
            std::string::npos);
}

TEST_F(BadInput, HeaderBombIsRefused)
{
  std::string bomb = "GET /healthz HTTP/1.1\r\nHost: x\r\n";
  for (int i = 0; i < 2000; ++i) {
    bomb += "X-" + std::to_string(i) + ": " + std::string(40, 'a') + "\r\n";
  }
  std::string answer;
  EXPECT_TRUE(
    EndsAfter(System->CallersAddress("north-a"), bomb + "\r\n", &answer));
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 431") << answer.substr(0, 60);
}

TEST_F(BadInput, HalfSentRequestsAreCutAtTheLimit)
{
  std::string const address = System->CallersAddress("north-a");
  EXPECT_TRUE(EndsAfter(address, "POST /v1/chat/completions HTTP/1.1\r\n"));
  EXPECT_TRUE(EndsAfter(address,
                        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                        "Content-Length: 100\r\n\r\n{"));
}

TEST_F(BadInput, WrongMethodAndBrokenJson)
{
  auto request = [](std::string const& method, std::string const& body) {
    return method +
           " /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
           "Authorization: Bearer key-one\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  std::string const address = System->CallersAddress("north-a");
  std::string answer;
  EndsAfter(address, request("PUT", "{}"), &answer);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 405");
  for (char const* body : { "{", "[]", "{\"model\": 7}",
                            "{\"model\": \"gold\", \"stream\": 1}" }) {
    answer.clear();
    EndsAfter(address, request("POST", body), &answer);
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << body;
    EXPECT_NE(answer.find("\"step\":\"parse\""), std::string::npos);
  }
}

TEST_F(BadInput, RandomBytesOnEachPortLeaveTheHostServing)
{
  gsRandom random(5);
  for (std::string const& address : { System->CallersAddress("north-a"),
                                      System->OperatorsAddress("north-a"),
                                      System->PeersAddress("north-a") }) {
    for (int round = 0; round < 20; ++round) {
      std::string bytes(1 + random() % 400, ' ');
      for (char& byte : bytes) {
        byte = static_cast<char>(random() % 256);
      }
      EndsAfter(address, bytes + "\r\n\r\n");
    }
  }
  EXPECT_TRUE(System->Running("north-a"));
}

TEST_F(BadInput, MetricsAreThoseThatAreDocumented)
{
  std::ifstream file(GRADESCALE_DOCS "/OPERATIONS.md");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  std::set<std::string> documented;
  for (std::size_t at = text.find("`gradescale_"); at != std::string::npos;
       at = text.find("`gradescale_", at + 1)) {
    documented.insert(text.substr(at + 1, text.find('`', at + 1) - at - 1));
  }
  std::set<std::string> written;
  std::istringstream lines(System->Metrics("north-a"));
  for (std::string line; std::getline(lines, line);) {
    if (line.compare(0, 7, "# HELP ") == 0) {
      written.insert(line.substr(7, line.find(' ', 7) - 7));
    }
  }
  EXPECT_EQ(written, documented);
}

TEST_F(BadInput, ToolSaysWhatIsWrongAndExitsAsDocumented)
{
  std::string const at = System->OperatorsAddress("north-a");
  auto [typo, typoExit] = System->Tool({ "statsu" });
  EXPECT_EQ(typoExit, 2);
  EXPECT_NE(typo.find("Did you mean 'status'?"), std::string::npos) << typo;
  auto [token, tokenExit] =
    System->Tool({ "--operator", at, "--token", "wrong", "status" });
  EXPECT_EQ(tokenExit, 1);
  EXPECT_EQ(token,
            "gradescale: The operators' token is missing or wrong. (code "
            "unknown_token, step authenticate, peer " +
              at + ")\n");
  auto [away, awayExit] =
    System->Tool({ "--operator", "127.0.0.1:1", "status" });
  EXPECT_EQ(awayExit, 3);
  auto [table, tableExit] =
    System->Tool({ "--operator", at, "--token", "operators", "--output",
                   "table", "upstream", "list" });
  EXPECT_EQ(tableExit, 0);
  EXPECT_EQ(table.substr(0, table.find('\n')),
            "name           hall   service  address          kind    state   "
            "slots  max_slots")
    << table;
}

TEST_F(BadInput, ToolChangesAndWaitsAndShowsConflicts)
{
  std::string const at = System->OperatorsAddress("north-a");
  auto run = [&](std::vector<std::string> words) {
    words.insert(words.begin(), { "--operator", at, "--token", "operators",
                                  "--output", "json" });
    return System->Tool(words);
  };
  auto [set, setExit] = run(
    { "org", "set", "club", "--share", "2", "--key", "a secret of the club" });
  EXPECT_EQ(setExit, 0) << set;
  gsJson state = gsJson::parse(set, nullptr, false);
  ASSERT_TRUE(state.is_object()) << set;
  EXPECT_EQ(state["state"], "accepted");
  auto [shown, shownExit] = run({ "config", "show" });
  EXPECT_EQ(shownExit, 0);
  EXPECT_EQ(shown.find("a secret of the club"), std::string::npos);
  auto [change, changeExit] =
    run({ "change", "show", state["id"].get<std::string>() });
  EXPECT_EQ(changeExit, 0);
  EXPECT_EQ(run({ "upstream", "retire", "nothing" }).second, 1);
  EXPECT_EQ(run({ "template", "set", "gold", "--tier", "no-tier" }).second, 2);
  gsJson racing = { { "id", "old" },
                    { "kind", "set_organisation" },
                    { "expected_revision", 0 },
                    { "organisation", { { "name", "club" } } } };
  EXPECT_EQ(
    System->Operate("north-a", "POST", "/v1/changes", racing)["error"]["code"],
    "conflict");
}
