/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The grammar of an answer's head: what is read, what is refused and by which
 * rule, and, with fixed seeds, that the begin of one head and another head are
 * never read as one.
 */
#include <algorithm>
#include <cctype>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

#include "gsAnswerHead.h"

namespace {

constexpr std::string_view Id = "x-id";
constexpr std::string_view Signature = "x-signature";

/** What was read of some bytes. */
struct Reading
{
  gsAnswerHead Head;
  std::size_t Consumed = 0; ///< Bytes of whole lines, up to the head's end.
};

/** Reads lines as the library hands them over: split at each LF, whole ones
 * only, up to the end of the head. */
Reading Read(std::string_view bytes)
{
  Reading reading;
  while (!reading.Head.IsComplete) {
    std::size_t end = bytes.find('\n', reading.Consumed);
    if (end == std::string_view::npos) {
      break;
    }
    std::string_view line =
      bytes.substr(reading.Consumed, end + 1 - reading.Consumed);
    reading.Consumed += line.size();
    if (gsReadHeadLine(reading.Head, line, { Id, Signature }) !=
        gsHeadFault::None) {
      break;
    }
  }
  return reading;
}

gsHeadFault FaultOf(std::string const& bytes)
{
  return Read(bytes).Head.Fault;
}

/** The fault of a head that has the lines after its status line. */
gsHeadFault FaultOfFields(std::string const& lines)
{
  return FaultOf("HTTP/1.1 200 OK\r\n" + lines + "\r\n");
}

bool IsAccepted(Reading const& reading)
{
  return reading.Head.IsComplete && reading.Head.Fault == gsHeadFault::None;
}

} // namespace

TEST(AnswerHead, ReadsStatusReasonAndFields)
{
  gsAnswerHead head = Read("HTTP/1.0 404 Not  Found\r\nServer:a\r\n"
                           "X-Empty:\r\nX-Blanks: \t b c \t\r\n\r\n")
                        .Head;
  gsHeaders const expected{ { "server", "a" },
                            { "x-empty", "" },
                            { "x-blanks", "b c" } };
  EXPECT_TRUE(head.IsComplete);
  EXPECT_EQ(head.Fault, gsHeadFault::None);
  EXPECT_EQ(head.Status, 404U);
  EXPECT_EQ(head.Reason, "Not  Found");
  EXPECT_TRUE(head.IsHttp10);
  EXPECT_EQ(head.Headers, expected);
}

// The blank before an empty reason is required, and left out by many.
TEST(AnswerHead, ReadsAStatusWithoutAReason)
{
  for (std::string const line : { "HTTP/1.1 200", "HTTP/1.1 200 " }) {
    gsAnswerHead head = Read(line + "\r\n\r\n").Head;
    EXPECT_TRUE(head.IsComplete) << line;
    EXPECT_EQ(head.Status, 200U);
    EXPECT_EQ(head.Reason, "");
  }
}

TEST(AnswerHead, DropsInterimAnswers)
{
  gsAnswerHead head =
    Read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "X-Id: of the hints\r\nLink: </a>\r\n\r\n"
         "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n")
      .Head;
  gsHeaders const expected{ { "x-id", "own" } };
  EXPECT_TRUE(head.IsComplete);
  EXPECT_EQ(head.Status, 200U);
  EXPECT_EQ(head.Headers, expected);
}

TEST(AnswerHead, IsIncompleteWithoutItsEmptyLine)
{
  for (std::string const bytes :
       { "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: a\r\n",
         "HTTP/1.1 100 Continue\r\n\r\n" }) {
    Reading reading = Read(bytes);
    EXPECT_FALSE(reading.Head.IsComplete) << bytes;
    EXPECT_EQ(reading.Head.Fault, gsHeadFault::None) << bytes;
  }
}

// Guards against sound answers that are refused because a value tells of the
// protocol.
TEST(AnswerHead, AValueMayNameTheProtocol)
{
  for (std::string const value :
       { "HTTP/1.1 proxy", "1.1 a, HTTP/1.0 b", "HTTP/1.1 127.0.0.1",
         "HTTP/1.1 127.0.0.1:80 (x)", "x HTTP/1.1", "HTTP/", "HTTP/1.",
         "http://h/1.1", "http/1.1", "HTTP/1.1 5000", "HTTP/1.1 20",
         "h2=\":443\", HTTP/1.1", "SHTTP/200 OK" }) {
    EXPECT_EQ(FaultOfFields("Via: " + value + "\r\n"), gsHeadFault::None)
      << value;
  }
}

// Guards against the status of one answer with the fields of another, when a
// head stops and another one follows.
TEST(AnswerHead, ASecondStatusLineIsRefusedWhereverItBegins)
{
  std::string const own = "HTTP/1.1 500 Word\r\n";
  for (std::string const before :
       { "H",
         "HTTP",
         "HTTP/1.",
         "HTTP/1.1",
         "HTTP/1.1 ",
         "HTTP/1.1 2",
         "HTTP/1.1 200",
         "HTTP/1.1 200 ",
         "HTTP/1.1 200 O",
         "HTTP/1.1 200 OK\r",
         "HTTP/1.1 200 OK\r\n",
         "HTTP/1.1 200 OK\n",
         "HTTP/1.1 200 OK\r\nConte",
         "HTTP/1.1 200 OK\r\nContent-Type",
         "HTTP/1.1 200 OK\r\nContent-Type:",
         "HTTP/1.1 200 OK\r\nContent-Type: app",
         "HTTP/1.1 200 OK\r\nContent-Length: 2",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r",
         "HTTP/1.1 103 Early Hints\r\nLink: a",
         "HTTP/1.1 103 Early Hints\r\n" }) {
    EXPECT_EQ(FaultOf(before + own), gsHeadFault::SecondStatusLine) << before;
  }
  for (std::string const other :
       { "HTTP/1.0 500 Word", "HTTP/1.1 500", "http/1.1 500 Word",
         "HTTP/2 500 Word", "HTTP/1.1  500 Word", "HTTP/1.1\t500 Word" }) {
    EXPECT_EQ(FaultOfFields("X: a" + other + "\r\n"),
              gsHeadFault::SecondStatusLine)
      << other;
  }
}

TEST(AnswerHead, AStatusLineOfAnotherFormIsRefused)
{
  for (std::string const line : { "",
                                  "HTTP/1.1",
                                  "HTTP/1.1 ",
                                  "HTTP/1.1 20",
                                  "HTTP/1.1 2000 OK",
                                  "HTTP/1.1 20O OK",
                                  "HTTP/1.1 200OK",
                                  "HTTP/1.1  200 OK",
                                  "HTTP/1.1 -20 OK",
                                  "HTTP/1.1 +20 OK",
                                  "HTTP/1.1 099 OK",
                                  "HTTP/1.1 000 OK",
                                  "HTTP/1.1 600 OK",
                                  "HTTP/1.1 999 OK",
                                  "HTTP/1.1\t200 OK",
                                  "http/1.1 200 OK",
                                  "HTTP/1.2 200 OK",
                                  "HTTP/2 200",
                                  "HTTP/1.10 200 OK",
                                  "ICY 200 OK",
                                  "X: a",
                                  "HTTP/1.1 200 a\x01" }) {
    EXPECT_EQ(FaultOf(line + "\r\n\r\n"), gsHeadFault::StatusLine) << line;
  }
}

TEST(AnswerHead, ALineThatIsNoFieldIsRefused)
{
  EXPECT_EQ(FaultOfFields("no field\r\n"), gsHeadFault::NoColon);
  EXPECT_EQ(FaultOfFields("HTTP/1.1\r\n"), gsHeadFault::NoColon);
  EXPECT_EQ(FaultOfFields("X: a\r\n b\r\n"), gsHeadFault::Folding);
  EXPECT_EQ(FaultOfFields("X: a\r\n\tb: c\r\n"), gsHeadFault::Folding);
  EXPECT_EQ(FaultOfFields(" X: a\r\n"), gsHeadFault::Folding);
  for (std::string const name : { "", "X ", "X\t", "X Y", "X\x01", "X\x7f",
                                  "X\xc3\xa4", "X(", "X/Y" }) {
    EXPECT_EQ(FaultOfFields(name + ": a\r\n"), gsHeadFault::FieldName) << name;
  }
  for (char const control : { '\0', '\x01', '\x0b', '\x1b', '\x7f' }) {
    EXPECT_EQ(FaultOfFields(std::string("X: a") + control + "b\r\n"),
              gsHeadFault::FieldValue)
      << static_cast<int>(control);
  }
  EXPECT_EQ(FaultOfFields("X: a\tb \xc3\xa4\r\n"), gsHeadFault::None);
}

// LF alone may end lines (RFC 9112, 2.2). Among CRLF it is a part of a value
// that would become a field of its own.
TEST(AnswerHead, AllLinesEndInTheSameWay)
{
  EXPECT_EQ(FaultOf("HTTP/1.1 200 OK\nX-Id: a\n\n"), gsHeadFault::None);
  EXPECT_TRUE(Read("HTTP/1.1 200 OK\nX-Id: a\n\n").Head.IsComplete);
  for (std::string const bytes :
       { "HTTP/1.1 200 OK\r\nX: a\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 200 OK\nX: a\r\n\n", "HTTP/1.1 200 OK\r\nX: a\r\n\n",
         "HTTP/1.1 200 OK\nX: a\n\r\n", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX: a\r\r\n\r\n",
         "HTTP/1.1 200 OK\r\r\nX: a\r\n\r\n" }) {
    EXPECT_EQ(FaultOf(bytes), gsHeadFault::LineEnd) << bytes;
  }
  EXPECT_EQ(FaultOf("HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\r\n\r\n"),
            gsHeadFault::None);
}

// Guards against the id or the signature of one answer beside those of
// another.
TEST(AnswerHead, AFieldThatMustBeOneIsNotRepeated)
{
  EXPECT_EQ(FaultOfFields("X-Id: a\r\nX: b\r\nX-ID: b\r\n"),
            gsHeadFault::RepeatedField);
  EXPECT_EQ(FaultOfFields("X-Id: a\r\nX-Id: a\r\n"),
            gsHeadFault::RepeatedField);
  EXPECT_EQ(FaultOfFields("X-Signature: a\r\nX-Signature: b\r\n"),
            gsHeadFault::RepeatedField);
  EXPECT_EQ(FaultOfFields("X-Id: a\r\nX-Signature: b\r\nX: c\r\nX: c\r\n"),
            gsHeadFault::None);
}

// Guards against a body that ends at another place than its sender's.
TEST(AnswerHead, TheEndOfTheBodyIsStatedOnce)
{
  std::string const five = "Content-Length: 5\r\n";
  std::string const chunked = "Transfer-Encoding: chunked\r\n";
  EXPECT_EQ(FaultOfFields(five), gsHeadFault::None);
  EXPECT_EQ(FaultOfFields(chunked), gsHeadFault::None);
  EXPECT_EQ(FaultOfFields("Transfer-Encoding: Chunked \r\n"),
            gsHeadFault::None);
  EXPECT_EQ(FaultOfFields(five + "content-length: 05\r\n"), gsHeadFault::None);
  EXPECT_EQ(FaultOfFields(five + "Content-Length: 6\r\n"),
            gsHeadFault::Length);
  for (std::string const value : { "", "-1", "+5", "5 5", "5,5", "5, 5", "0x5",
                                   "5a", "a", "9223372036854775808" }) {
    EXPECT_EQ(FaultOfFields("Content-Length: " + value + "\r\n"),
              gsHeadFault::Length)
      << value;
  }
  EXPECT_EQ(FaultOfFields(five + chunked), gsHeadFault::Coding);
  EXPECT_EQ(FaultOfFields(chunked + five), gsHeadFault::Coding);
  EXPECT_EQ(FaultOfFields(chunked + chunked), gsHeadFault::Coding);
  for (std::string const value :
       { "", "gzip", "gzip, chunked", "chunked, gzip", "identity",
         "chunked, chunked", "xchunked" }) {
    EXPECT_EQ(FaultOfFields("Transfer-Encoding: " + value + "\r\n"),
              gsHeadFault::Coding)
      << value;
  }
  EXPECT_EQ(FaultOf("HTTP/1.0 200 OK\r\n" + chunked + "\r\n"),
            gsHeadFault::Coding);
}

TEST(AnswerHead, AChangeOfProtocolIsRefused)
{
  EXPECT_EQ(FaultOf("HTTP/1.1 101 Switching Protocols\r\n\r\n"),
            gsHeadFault::Upgrade);
}

// Guards against an answer that is taken for whole when it stops in its
// trailers and another one follows.
TEST(AnswerHead, TrailersAreCheckedAndDropped)
{
  std::vector<std::string_view> const single{ Id };
  gsAnswerHead head =
    Read("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n")
      .Head;
  ASSERT_TRUE(head.IsComplete);
  EXPECT_EQ(gsReadHeadLine(head, "X-Sum: a\r\n", single), gsHeadFault::None);
  EXPECT_EQ(head.Headers.size(), 2U);
  EXPECT_EQ(gsReadHeadLine(head, "X-SHTTP/1.1 200 OK\r\n", single),
            gsHeadFault::SecondStatusLine);
}

TEST(AnswerHead, NothingIsReadAfterAFault)
{
  gsAnswerHead head = Read("HTTP/1.1 200 OK\r\nno field\r\n").Head;
  EXPECT_EQ(gsReadHeadLine(head, "\r\n", {}), gsHeadFault::NoColon);
  EXPECT_FALSE(head.IsComplete);
  EXPECT_EQ(gsDescribeHeadFault(head),
            "Line 2 of the answer's head is no field: it has no colon.");
}

namespace {

using Random = std::mt19937_64;

std::size_t Below(Random& random, std::size_t bound)
{
  return static_cast<std::size_t>(random() % bound);
}

template<typename Value>
Value const& OneOf(Random& random, std::vector<Value> const& values)
{
  return values[Below(random, values.size())];
}

std::string TextOf(Random& random, std::string_view characters,
                   std::size_t most)
{
  std::string text;
  for (std::size_t left = Below(random, most + 1); left > 0; --left) {
    text += characters[Below(random, characters.size())];
  }
  return text;
}

std::string Lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/** A sound head and what it says. */
struct SoundHead
{
  std::string Bytes;
  std::size_t IdEnd = 0; ///< Behind the line of its id.
  gsAnswerHead Says;
};

/** A value that begins and ends with no blank and names no status. */
std::string SoundValue(Random& random)
{
  static std::vector<std::string> const protocols{
    "HTTP/1.1 proxy", "HTTP/1.0", "http://h/", "HTTP/1.1 10.0.0.1", "a/1.1"
  };
  if (Below(random, 8) == 0) {
    return OneOf(random, protocols);
  }
  std::string text = TextOf(random, "abyzHTP/.:, 1259\t\xc3\xa4;=()\"", 24);
  return text.empty() ? text : "<" + text + ">";
}

SoundHead MakeHead(Random& random, unsigned firstStatus)
{
  std::string const end = Below(random, 3) == 0 ? "\n" : "\r\n";
  SoundHead made;
  gsAnswerHead& says = made.Says;
  says.Status = firstStatus + static_cast<unsigned>(Below(random, 100));
  says.IsHttp10 = Below(random, 4) == 0;
  says.Reason = TextOf(random, "OK not found/'", 12);
  if (Below(random, 4) == 0) {
    made.Bytes = "HTTP/1.1 103 Early Hints" + end + "X-Id: hint" + end + end;
  }
  made.Bytes += says.IsHttp10 ? "HTTP/1.0 " : "HTTP/1.1 ";
  made.Bytes += std::to_string(says.Status) + " ";
  made.Bytes += says.Reason + end;
  std::vector<std::pair<std::string, std::string>> fields{
    { "X-Id", "id-" + std::to_string(random()) },
    { "x-Signature", "sig-" + std::to_string(random()) }
  };
  if (Below(random, 2) == 0) {
    fields.emplace_back("Content-Length", std::to_string(Below(random, 9000)));
  } else if (!says.IsHttp10) {
    fields.emplace_back("Transfer-Encoding", "chunked");
  }
  for (std::size_t more = Below(random, 5); more > 0; --more) {
    std::string name = "X-" + TextOf(random, "aZ09-_.!~", 6);
    fields.emplace_back(name == "X-Id" ? "X" : name, SoundValue(random));
  }
  std::shuffle(fields.begin(), fields.end(), random);
  for (auto const& [name, value] : fields) {
    made.Bytes += name + ":";
    made.Bytes += TextOf(random, " \t", 2) + value;
    made.Bytes += TextOf(random, " \t", 2) + end;
    made.IdEnd = name == "X-Id" ? made.Bytes.size() : made.IdEnd;
    says.Headers.emplace_back(Lower(name), value);
  }
  made.Bytes += end;
  return made;
}

void ExpectSays(gsAnswerHead const& head, gsAnswerHead const& says)
{
  EXPECT_EQ(head.Status, says.Status);
  EXPECT_EQ(head.Reason, says.Reason);
  EXPECT_EQ(head.IsHttp10, says.IsHttp10);
  EXPECT_EQ(head.Headers, says.Headers);
}

/** Length of "HTTP/1.1 200 ", by which a status line is told. */
constexpr std::size_t StatusBytes = 13;

/** The begin of a head, and another head behind it. */
struct Splice
{
  std::string Bytes;
  std::size_t SecondAt = 0; ///< Where the second one begins.
};

/** Whether some bytes are whole interim answers, which are dropped. */
bool AreInterimAnswers(std::string_view bytes)
{
  Reading reading = Read(bytes);
  return reading.Consumed == bytes.size() && reading.Head.Status == 0 &&
         reading.Head.Fault == gsHeadFault::None;
}

/** Whether what is read of a splice is one head: all of it is of the first
 * one, or all of it is of the second one, or it is refused. */
bool IsOneHeadOrRefused(Splice const& splice)
{
  Reading reading = Read(splice.Bytes);
  std::string_view first =
    std::string_view(splice.Bytes).substr(0, splice.SecondAt);
  return !IsAccepted(reading) || reading.Consumed <= splice.SecondAt ||
         AreInterimAnswers(first);
}

/** Removes, replaces or inserts a byte at a place. One that is put where the
 * second head begins is not of it. */
void Damage(Random& random, Splice& splice, std::size_t at)
{
  static std::string const bytes =
    std::string("HTP/1. 2\r\n\n\t:aX,\x01\x7f") + '\0';
  char byte = bytes[Below(random, bytes.size())];
  std::size_t const kind = Below(random, 3);
  if (kind == 0) {
    splice.Bytes.erase(at, 1);
    splice.SecondAt -= at < splice.SecondAt ? 1 : 0;
  } else if (kind == 1) {
    splice.Bytes[at] = byte;
    splice.SecondAt += at == splice.SecondAt ? 1 : 0;
  } else {
    splice.Bytes.insert(at, 1, byte);
    splice.SecondAt += at <= splice.SecondAt ? 1 : 0;
  }
}

/** Damages some bytes, but none by which the second status line is told. */
void DamageAround(Random& random, Splice& splice)
{
  for (std::size_t left = 1 + Below(random, 3); left > 0; --left) {
    std::size_t at = Below(random, splice.Bytes.size());
    bool isOfStatus =
      at >= splice.SecondAt && at < splice.SecondAt + StatusBytes;
    if (!isOfStatus) {
      Damage(random, splice, at);
    }
  }
}

constexpr unsigned Rounds = 300;

} // namespace

// Any sound head is read exactly as it is written.
TEST(AnswerHeadFuzz, SoundHeadsAreReadAsWritten)
{
  for (unsigned seed = 1; seed <= 20 * Rounds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    SoundHead made = MakeHead(random, 200);
    Reading reading = Read(made.Bytes + "HTTP/1.1 200 body\r\n\r\n");
    ASSERT_TRUE(IsAccepted(reading)) << gsDescribeHeadFault(reading.Head);
    ASSERT_EQ(reading.Consumed, made.Bytes.size());
    ExpectSays(reading.Head, made.Says);
  }
}

// Guards against the status of one answer with the fields of another: two
// sound heads, the first one cut at each of its bytes.
TEST(AnswerHeadFuzz, ACutHeadAndAnotherOneAreNeverRead)
{
  for (unsigned seed = 1; seed <= Rounds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    SoundHead first = MakeHead(random, 200);
    SoundHead second = MakeHead(random, 500);
    for (std::size_t cut = 0; cut <= first.Bytes.size(); ++cut) {
      Splice splice{ first.Bytes.substr(0, cut) + second.Bytes, cut };
      ASSERT_TRUE(IsOneHeadOrRefused(splice)) << splice.Bytes;
      Reading reading = Read(splice.Bytes);
      if (cut == first.Bytes.size()) {
        ASSERT_TRUE(IsAccepted(reading));
        ExpectSays(reading.Head, first.Says);
      } else if (IsAccepted(reading)) {
        ExpectSays(reading.Head, second.Says);
      }
    }
  }
}

// The same with bytes that are lost, changed or added anywhere but in the
// second status line.
TEST(AnswerHeadFuzz, ADamagedHeadAndAnotherOneAreNeverRead)
{
  for (unsigned seed = 1; seed <= Rounds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    SoundHead first = MakeHead(random, 200);
    SoundHead second = MakeHead(random, 500);
    for (std::size_t cut = 0; cut <= first.Bytes.size(); ++cut) {
      Splice splice{ first.Bytes.substr(0, cut) + second.Bytes, cut };
      DamageAround(random, splice);
      ASSERT_TRUE(IsOneHeadOrRefused(splice)) << splice.Bytes;
    }
  }
}

// A second status line that is itself damaged cannot be told from a value;
// two ids still tell two heads.
TEST(AnswerHeadFuzz, TwoIdsAreNeverReadBehindADamagedStatusLine)
{
  for (unsigned seed = 1; seed <= Rounds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    SoundHead first = MakeHead(random, 200);
    SoundHead second = MakeHead(random, 500);
    for (std::size_t cut = first.IdEnd; cut <= first.Bytes.size(); ++cut) {
      Splice splice{ first.Bytes.substr(0, cut) + second.Bytes, cut };
      Damage(random, splice, cut + Below(random, StatusBytes));
      ASSERT_TRUE(IsOneHeadOrRefused(splice)) << splice.Bytes;
    }
  }
}
