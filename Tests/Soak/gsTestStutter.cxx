/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What the proxy sends between the answers of a server that stutters.
 */
#include <string>

#include <gtest/gtest.h>

#include "gsStutter.h"

namespace {

std::string const First = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
std::string const Second =
  "HTTP/1.1 500 No\r\nContent-Length: 6\r\n\r\nsecond";
std::string const Chunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
  "a\r\n0123456789\r\n2\r\n\r\n\r\n0\r\n\r\n";
std::string const Empty = "HTTP/1.1 204 No Content\r\n\r\n";
std::string const Interim = "HTTP/1.1 100 Continue\r\n\r\n";

/** What a client gets of a connection, all that was sent joined. */
class Stutter : public testing::Test
{
protected:
  void Control(std::string const& place, std::string const& cut)
  {
    this->Draw.Apply(
      { { "share", 1 }, { "seed", 1 }, { "place", place }, { "cut", cut } },
      "link");
  }

  void Request() { this->One.OnRequestBytes(); }

  void Answer(std::string bytes)
  {
    this->One.OnAnswerBytes(bytes);
    this->Got += bytes;
  }

  gsLoop Loop;
  gsStutterDraw Draw;
  std::string Got;
  gsStutter One{ Loop, Draw,
                 [this](std::string const& bytes) { this->Got += bytes; } };
};

} // namespace

TEST(AnswerEnds, AreFoundWhereverTheBytesAreSplit)
{
  for (std::string const& answer : { First, Second, Chunked, Empty }) {
    std::string const all = answer + "HTTP/1.1 200";
    for (std::size_t split = 0; split <= answer.size(); ++split) {
      gsAnswerEnds ends;
      std::size_t taken = ends.Take(all.substr(0, split));
      EXPECT_EQ(ends.IsUnderWay(), split > 0 && split < answer.size());
      taken += ends.Take(all.substr(split));
      EXPECT_EQ(taken, answer.size()) << answer << " at " << split;
      EXPECT_TRUE(ends.IsWhole());
      EXPECT_EQ(ends.Answer(), answer);
    }
  }
  gsAnswerEnds ends;
  EXPECT_EQ(ends.Take(Interim + First), Interim.size() + First.size());
  EXPECT_TRUE(ends.IsWhole());
}

TEST(AnswerEnds, AreNotLookedForWhereNoneIsStated)
{
  for (char const* bytes :
       { "HTTP/1.1 200 OK\r\n\r\nabc", "PRI * HTTP/2\n" }) {
    gsAnswerEnds ends;
    ends.Take(bytes);
    EXPECT_TRUE(ends.IsUnderWay());
    EXPECT_TRUE(ends.Answer().empty());
    EXPECT_EQ(ends.Take(First), First.size());
    EXPECT_FALSE(ends.IsWhole());
  }
}

TEST_F(Stutter, NothingIsAddedUnlessItIsAskedFor)
{
  this->Answer(First);
  this->Request();
  this->Answer(Second);
  EXPECT_EQ(this->Got, First + Second);
}

TEST_F(Stutter, CopiesGoWhereTheyAreAskedFor)
{
  this->Control("behind", "whole");
  this->Answer(First);
  EXPECT_EQ(this->Got, First + First);

  this->Got.clear();
  this->Control("next", "whole");
  this->Answer(First);
  EXPECT_EQ(this->Got, First);
  this->Request();
  EXPECT_EQ(this->Got, First + First);
  this->Request(); // More bytes of it.
  this->Answer(Second);
  EXPECT_EQ(this->Got, First + First + Second);

  this->Got.clear();
  this->Control("front", "whole");
  this->Answer(First);
  this->Got.clear();
  this->Request();
  EXPECT_EQ(this->Got, "");
  this->Answer(Second);
  EXPECT_EQ(this->Got, First + Second);
}

TEST_F(Stutter, APartOfAHeadIsFollowedByAnother)
{
  std::size_t const head = First.find("first");
  for (char const* place : { "front", "own" }) {
    this->Control(place, "head");
    this->Answer(First);
    this->Got.clear();
    this->Request();
    this->Answer(Second);
    ASSERT_GT(this->Got.size(), Second.size());
    std::size_t surplus = this->Got.size() - Second.size();
    EXPECT_LT(surplus, head);
    EXPECT_EQ(this->Got.substr(surplus), Second);
    std::string const& copied = place[0] == 'f' ? First : Second;
    EXPECT_EQ(this->Got.substr(0, surplus), copied.substr(0, surplus));
  }
}

TEST_F(Stutter, NothingIsPutInsideAnAnswer)
{
  this->Control("next", "whole");
  this->Answer(First);
  this->Got.clear();
  this->Answer(Second.substr(0, 30));
  this->Request();
  this->Answer(Second.substr(30));
  EXPECT_EQ(this->Got, Second);
}

TEST_F(Stutter, WhatIsLeftIsDroppedWhenItEnds)
{
  this->Control("next", "whole");
  this->Answer(First);
  this->Got.clear();
  this->Draw.Apply({ { "share", 0 } }, "link");
  this->Request();
  this->Answer(Second);
  EXPECT_EQ(this->Got, Second);
}
