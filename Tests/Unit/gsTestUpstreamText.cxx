/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file The form in which hosts tell each other an upstream. */
#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsUpstreamText.h"

using namespace gsFleetCases;

namespace {

gsListedUpstream Full()
{
  gsListedUpstream upstream = Listed("i-7f3a91c2", "bkk-a");
  upstream.Born = 1'796'266'000'123;
  upstream.Slots = 32;
  upstream.Leaving = true;
  upstream.Withdrawable = true;
  upstream.ColdLeft = gsMilliseconds(2'400);
  return upstream;
}

} // namespace

TEST(UpstreamText, AllThatIsListedComesBack)
{
  gsListedUpstream const told = Full();
  std::string const text = gsUpstreamText(told);
  EXPECT_LE(text.size(), 80U);
  EXPECT_TRUE(gsIsUpstreamText(text));
  std::optional<gsListedUpstream> read = gsReadUpstreamText(told.Id, text);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->Id, told.Id);
  EXPECT_EQ(read->Born, told.Born);
  EXPECT_EQ(read->Service, told.Service);
  EXPECT_EQ(read->Address, told.Address);
  EXPECT_EQ(read->Hall, told.Hall);
  EXPECT_EQ(read->Slots, told.Slots);
  EXPECT_EQ(read->Leaving, told.Leaving);
  EXPECT_EQ(read->Withdrawable, told.Withdrawable);
  EXPECT_EQ(read->ColdLeft, told.ColdLeft);
}

TEST(UpstreamText, NamesThatWouldEndAFieldHaveNoText)
{
  gsListedUpstream upstream = Full();
  upstream.Service = "a\tb";
  EXPECT_EQ(gsUpstreamText(upstream), "");
}

// Fixed seeds: each text is one that was told, with a few signs changed.
TEST(UpstreamText, ATornTextNamesNoneOrAWholeOne)
{
  gsRandom random(5);
  std::string const whole = gsUpstreamText(Full());
  std::uniform_int_distribution<std::size_t> at(0, whole.size() - 1);
  std::uniform_int_distribution<int> sign(0, 255);
  for (int i = 0; i < 20'000; ++i) {
    std::string text = whole;
    text[at(random)] = static_cast<char>(sign(random));
    if (i % 3 == 0) {
      text.resize(at(random));
    }
    std::optional<gsListedUpstream> read = gsReadUpstreamText("u", text);
    if (read) {
      EXPECT_EQ(gsUpstreamText(*read).empty(), read->Service.empty() ||
                                                 read->Address.empty() ||
                                                 read->Hall.empty());
    }
  }
  EXPECT_FALSE(gsReadUpstreamText("u", R"({"service":"m"})"));
}
