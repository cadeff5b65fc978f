/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Cutting a stream into whole events. */
#include <gtest/gtest.h>

#include "gsEventSplitter.h"

TEST(EventSplitter, PassesOnWholeEventsOnly)
{
  gsEventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(splitter.Feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter.LastId(), 1U);
  EXPECT_EQ(splitter.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.LastId(), 2U);
  EXPECT_EQ(splitter.Events(), 2U);
  EXPECT_EQ(splitter.TakeRest(), "");
}

TEST(EventSplitter, BytesMayComeOneByOne)
{
  std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nrest";
  gsEventSplitter splitter;
  std::string got;
  for (char byte : text) {
    got += splitter.Feed({ &byte, 1 });
  }
  EXPECT_EQ(got, "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.TakeRest(), "rest");
}

TEST(EventSplitter, SkipsWhatTheCallerHas)
{
  gsEventSplitter splitter;
  splitter.SkipThrough(2);
  EXPECT_EQ(splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "");
  EXPECT_EQ(splitter.Feed("id: 3\ndata: c\n\n"), "id: 3\ndata: c\n\n");
  EXPECT_EQ(splitter.LastId(), 3U);
}

TEST(EventSplitter, AnEventMayHaveNoId)
{
  gsEventSplitter splitter;
  EXPECT_EQ(splitter.Feed("data: identity: x\n\n"), "data: identity: x\n\n");
  EXPECT_FALSE(splitter.LastId().has_value());
}
