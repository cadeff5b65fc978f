/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Bad input from callers and operators: a clear error or a documented cut,
 * and the next request is served.
 */
#include <gtest/gtest.h>

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
