/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Rows of another writer among those of the runners, on real processes: hosts
 * keep running and serving, follow the next change, and a host that starts
 * then reads the table.
 */
#include <csignal>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <openssl/evp.h>

#include "gsRoutedSystem.h"

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

std::string MakeRow(std::string const& port, std::string const& slots,
                    std::string const& cold, std::string const& sequence)
{
  return R"({"service":"model","address":"127.0.0.1:)" + port +
         R"(","zone":"north","version":"v1","capacity_slots":)" + slots +
         R"(,"state":"ready","cold_left_ms":)" + cold + R"(,"call_seq":)" +
         sequence + "}";
}

std::string Nested(std::size_t levels, bool isClosed)
{
  std::string text(levels, '[');
  return isClosed ? text + std::string(levels, ']') : text;
}

std::vector<std::string> OddValues()
{
  constexpr std::size_t levels = 24'000;
  std::vector<std::string> values{ "=", "====", "A===", "!!!!" };
  for (std::string const& row :
       { Nested(levels, true), Nested(2 * levels, false),
         MakeRow("9", Nested(levels, true), "0", "0"),
         MakeRow("9", "1e400", "0", "0"), MakeRow("9", "1e16", "0", "0"),
         MakeRow("9", "18446744073709551616", "0", "0"),
         MakeRow("9", "4", "1e308", "0"), MakeRow("9", "4", "-1e308", "0"),
         MakeRow("9", "4", "0", "1e308"), MakeRow("70000", "4", "0", "0"),
         MakeRow("-1", "4", "0", "0"), MakeRow("", "4", "0", "0"),
         std::string("\xff\xfe\x00\x01", 4), std::string("null"),
         std::string("\x01model\t127.0.0.1:70000\tnorth\t4\t0\t1\t0"),
         std::string("\x01mod\xff\t127.0.0.1:9\tnor\xfeth\t4\t0\t1\t0"),
         std::string("\x01model\t127.0.0.1:9\tnorth\t4\t0\t1\t"
                     "18446744073709551615") }) {
    values.push_back(EncodeBase64(row));
  }
  return values;
}

/** The third host watches the table for neither hall at first. */
gsRoutedPlan MakePlan()
{
  gsRoutedPlan plan;
  plan.Hosts = 4;
  plan.Halls = 2;
  plan.Runners = 3;
  return plan;
}

} // namespace

// Guards against hosts that end by themselves, or that no longer follow the
// table, at odd rows among those of the runners (LOST).
TEST(OddRows, HostsServeAndFollowTheTableBesideThem)
{
  gsRoutedSystem system(MakePlan());
  int number = 0;
  for (std::string const& value : OddValues()) {
    system.ListOdd("odd-" + std::to_string(number++), value);
  }
  system.ListOdd("odd key\r\nX: y", EncodeBase64("{}"));
  system.RunFor(1.5);
  for (std::string const& host : system.Hosts()) {
    ASSERT_TRUE(system.Running(host)) << host;
    EXPECT_TRUE(system.SendAndWait(host, "plain")->Good()) << host;
  }
  // The next change is followed: only runner2 is left.
  system.Unlist("runner0");
  system.Unlist("runner1");
  system.Signal("host3", SIGKILL);
  system.Restart("host3");
  system.WaitReady("host3");
  system.RunFor(1.5);
  for (std::string const& host : system.Hosts()) {
    for (int i = 0; i < 4; ++i) {
      gsRoutedReplyPtr reply = system.SendAndWait(host, "plain");
      EXPECT_TRUE(reply->Good()) << host;
      EXPECT_EQ(reply->Runner, system.IdOf("runner2")) << host;
    }
  }
}

// Guards against an odd row on the key of a runner that serves: a sound one
// takes its place.
TEST(OddRows, ASoundRowReplacesAnOddOneOfTheSameRunner)
{
  gsRoutedSystem system(MakePlan());
  for (std::string const& value : OddValues()) {
    system.ListOdd(system.IdOf("runner0"), value);
  }
  system.RunFor(0.5);
  for (std::string const& host : system.Hosts()) {
    ASSERT_TRUE(system.Running(host)) << host;
    EXPECT_TRUE(system.SendAndWait(host, "plain")->Good()) << host;
  }
  system.Unlist("runner1");
  system.Unlist("runner2");
  system.List("runner0", false);
  system.RunFor(1.0);
  for (std::string const& host : system.Hosts()) {
    gsRoutedReplyPtr reply = system.SendAndWait(host, "plain");
    EXPECT_TRUE(reply->Good()) << host;
    EXPECT_EQ(reply->Runner, system.IdOf("runner0")) << host;
  }
}
