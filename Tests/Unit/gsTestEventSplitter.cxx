/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests the division of a stream into whole events. */
#include <gtest/gtest.h>

#include "gsEventSplitter.h"

TEST(EventSplitter, ReturnsWholeEventsOnly)
{
  gsEventSplitter splitter;
  EXPECT_EQ(splitter.Append("id: 1\ndata: a\n"), "");
  EXPECT_EQ(splitter.Append("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter.LastId(), 1U);
  EXPECT_EQ(splitter.Append("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.LastId(), 2U);
  EXPECT_EQ(splitter.EventCount(), 2U);
  EXPECT_EQ(splitter.TakeRemainder(), "");
}

TEST(EventSplitter, AcceptsSingleBytes)
{
  std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nrest";
  gsEventSplitter splitter;
  std::string events;
  for (char byte : text) {
    events += splitter.Append({ &byte, 1 });
  }
  EXPECT_EQ(events, "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.TakeRemainder(), "rest");
}

TEST(EventSplitter, SkipsEventsThatCallerHasReceived)
{
  gsEventSplitter splitter;
  splitter.SkipThrough(2);
  EXPECT_EQ(splitter.Append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "");
  EXPECT_EQ(splitter.Append("id: 3\ndata: c\n\n"), "id: 3\ndata: c\n\n");
  EXPECT_EQ(splitter.LastId(), 3U);
}

TEST(EventSplitter, AcceptsEventWithoutId)
{
  gsEventSplitter splitter;
  EXPECT_EQ(splitter.Append("data: identity: x\n\n"), "data: identity: x\n\n");
  EXPECT_FALSE(splitter.LastId().has_value());
}

// Guards against a stream of which nothing is passed on before its end.
TEST(EventSplitter, AcceptsLinesThatEndInACarriageReturn)
{
  gsEventSplitter splitter;
  std::string const text = "id: 1\rdata: a\r\rid: 2\rdata: b\r\r";
  std::string events;
  for (char byte : text) {
    events += splitter.Append({ &byte, 1 });
  }
  EXPECT_EQ(events, text);
  EXPECT_EQ(splitter.LastId(), 2U);
  EXPECT_EQ(splitter.EventCount(), 2U);
  EXPECT_FALSE(splitter.IsInsideEvent());
}

TEST(EventSplitter, IsInsideAnEventUnlessOnlyLineEndsAreLeft)
{
  gsEventSplitter splitter;
  splitter.Append("id: 1\ndata: a\n\n\n");
  EXPECT_FALSE(splitter.IsInsideEvent());
  splitter.Append("id");
  EXPECT_TRUE(splitter.IsInsideEvent());
}

// Guards against empty lines that begin an answer or count as its progress.
TEST(EventSplitter, LineEndsAloneAreNoEvent)
{
  gsEventSplitter splitter;
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(splitter.Append("\n\n\r\n\r\r"), "");
  }
  EXPECT_EQ(splitter.EventCount(), 0U);
  EXPECT_EQ(splitter.BufferedBytes(), 600U);
  EXPECT_FALSE(splitter.IsInsideEvent());
}

// Guards against empty lines that are lost or begin a second event.
TEST(EventSplitter, LineEndsBeforeAnEventArePassedOnWithIt)
{
  std::string const text = "\n\r\nid: 1\ndata: a\n\n\n\n\nid: 2\ndata: b\n\n";
  for (std::size_t part = 1; part <= text.size(); ++part) {
    gsEventSplitter splitter;
    std::string events;
    for (std::size_t at = 0; at < text.size(); at += part) {
      events += splitter.Append(std::string_view(text).substr(at, part));
    }
    EXPECT_EQ(events, text) << part;
    EXPECT_EQ(splitter.EventCount(), 2U) << part;
    EXPECT_EQ(splitter.LastId(), 2U) << part;
  }
}

// Guards against the memory of a large event that a stream keeps to its end.
TEST(EventSplitter, MemoryOfALargeEventIsFreedAfterIt)
{
  gsEventSplitter splitter;
  std::string const large(1U << 20U, 'x');
  splitter.Append("data: " + large);
  EXPECT_GE(splitter.HeldBytes(), large.size());
  splitter.Append("\n\n");
  EXPECT_LT(splitter.HeldBytes(), 64U << 10U);
}

// Guards against an upstream that counts as alive for sending again and again
// an event that the caller has.
TEST(EventSplitter, DroppedEventsAreProgressWhileTheirIdsRise)
{
  gsEventSplitter splitter;
  splitter.SkipThrough(3);
  splitter.Append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.ProgressCount(), 2U);
  for (int i = 0; i < 10; ++i) {
    splitter.Append("id: 2\ndata: b\n\n");
  }
  EXPECT_EQ(splitter.ProgressCount(), 2U);
  splitter.Append("id: 4\ndata: d\n\n");
  EXPECT_EQ(splitter.ProgressCount(), 3U);
  EXPECT_EQ(splitter.EventCount(), 1U);
}

// Guards against thousands of paused streams that each hold more memory than
// bytes of their next event.
TEST(EventSplitter, HoldsLittleMoreMemoryThanBytesOfTheNextEvent)
{
  std::string const event = "data: " + std::string(4200, 'x') + "\n\n";
  gsEventSplitter splitter;
  std::string const none;
  std::string stream;
  for (int i = 0; i < 100; ++i) {
    stream += event;
  }
  constexpr std::size_t part = 1000;
  for (std::size_t at = 0; at < stream.size(); at += part) {
    splitter.Append(std::string_view(stream).substr(at, part));
    std::size_t bytes = splitter.BufferedBytes();
    EXPECT_LE(splitter.HeldBytes(), bytes + bytes / 4 + none.capacity()) << at;
  }
  EXPECT_EQ(splitter.EventCount(), 100U);
}

// Guards against the head and the events of another answer in a stream that
// stopped somewhere in its body.
TEST(EventSplitter, StopsBeforeTheHeadOfAnotherAnswer)
{
  std::string const own = "id: 1\ndata: a\n\n";
  std::string const part = "id: 2\ndata: b\n\n";
  std::string const other =
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 17\r\n\r\n"
    "id: 2\ndata: other\n\n";
  for (std::size_t cut = 0; cut < part.size(); ++cut) {
    for (std::size_t size : { 1U, 7U, 1000U }) {
      gsEventSplitter splitter;
      splitter.StopAtFields({ "x-id" });
      std::string text = own;
      text += part.substr(0, cut) + other;
      std::string events;
      for (std::size_t at = 0; at < text.size(); at += size) {
        events += splitter.Append(text.substr(at, size));
      }
      EXPECT_EQ(events, own) << cut;
      EXPECT_TRUE(splitter.HasStopped());
      EXPECT_TRUE(splitter.IsInsideEvent());
      EXPECT_EQ(splitter.LastId(), 1U);
    }
  }
}

// A field of such a name is no field when it is data.
TEST(EventSplitter, DataMayNameAnyField)
{
  gsEventSplitter splitter;
  splitter.StopAtFields({ "x-id" });
  std::string const events =
    "data: x-id: a\n\nx-ids: 3\ndata: b\n\nx-id\ndata: c\n\n";
  EXPECT_EQ(splitter.Append(events), events);
  EXPECT_FALSE(splitter.HasStopped());
}
