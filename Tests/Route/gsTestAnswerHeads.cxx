/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Answers whose heads stop at any byte: behind the begin of a stale answer, on
 * new and kept connections, with a FIN or a reset, between hosts, and from the
 * platform. A caller gets its own answer as it was written, or a failure of
 * the host; no part of two answers is ever taken for one.
 */
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "gsForwardingHost.h"
#include "gsRawCaller.h"
#include "gsRouteBench.h"
#include "gsTableWatch.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

constexpr unsigned Failed = 500;
constexpr char const* OwnBody = "the own body";
constexpr char const* StaleBody = "id: 1\ndata: the stale body\n\n";

/** The same lines, ended by LF alone. */
std::string WithBareLineEnds(std::string text)
{
  for (std::size_t at = text.find('\r'); at != std::string::npos;
       at = text.find('\r', at)) {
    text.erase(at, 1);
  }
  return text;
}

std::string AsHttp10(std::string text)
{
  constexpr std::size_t minorVersionAt = 7;
  return text.replace(minorVersionAt, 1, "0");
}

std::string InChunks(gsScriptedRequest const& request, unsigned status,
                     std::string const& body)
{
  return "HTTP/1.1 " + std::to_string(status) +
         " Word\r\nGradescale-Attempt-Id: " + request.Id() +
         "\r\nGradescale-Response-Signature: sig-" + request.Id() +
         "\r\nTransfer-Encoding: chunked\r\n\r\n" +
         gsChunk(body.substr(0, body.size() / 2)) +
         gsChunk(body.substr(body.size() / 2)) +
         "0\r\nX-Sum: 1234\r\nX-End: yes\r\n\r\n";
}

/** How an answer is written. */
enum class Form
{
  Plain,
  BareLineEnds,
  Http10,
  Chunks,
  AfterInterim
};

constexpr Form AllForms[] = { Form::Plain, Form::BareLineEnds, Form::Http10,
                              Form::Chunks, Form::AfterInterim };

std::string Written(Form form, gsScriptedRequest const& request,
                    unsigned status, std::string const& body)
{
  std::string whole = gsWholeAnswer(request, body, status,
                                    "Content-Type: text/event-stream\r\n");
  switch (form) {
    case Form::Plain:
      break;
    case Form::BareLineEnds:
      return WithBareLineEnds(whole);
    case Form::Http10:
      return AsHttp10(whole);
    case Form::Chunks:
      return InChunks(request, status, body);
    case Form::AfterInterim:
      return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole;
  }
  return whole;
}

/** Size of the head of such an answer, with interim ones before it. */
std::size_t HeadBytes(std::string const& answer)
{
  std::size_t field = answer.find("Gradescale-Attempt-Id");
  bool isBare = answer.find('\r') == std::string::npos;
  std::string const end = isBare ? "\n\n" : "\r\n\r\n";
  return answer.find(end, field) + end.size();
}

/** Bytes of an answer without which its end is not stated. Chunks are whole
 * once the last one has come (RFC 9112, 8); the library waits for all but the
 * last LF behind it. */
std::size_t BytesToItsEnd(std::string const& answer)
{
  bool isInChunks =
    answer.find("Transfer-Encoding: chunked") != std::string::npos;
  return answer.size() - (isInChunks ? 1 : 0);
}

/** An answer to a request that was sent before. */
std::string Stale(Form form, gsScriptedRequest request, unsigned status)
{
  request.Headers["gradescale-attempt-id"] = "earlier";
  return Written(form, request, status, StaleBody);
}

/** Does something once what was written before has been received. */
void Later(gsLoop& loop, std::function<void()> const& action)
{
  auto timer = std::make_shared<std::unique_ptr<gsTimer>>();
  *timer = std::make_unique<gsTimer>(loop, [timer, action] {
    action();
    timer->reset();
  });
  (*timer)->Once(gsMilliseconds(3));
}

gsCallerSends On(std::string const& route, std::string const& id)
{
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = id;
  return sends;
}

bool IsSuccess(unsigned status)
{
  return status / 100 == 2;
}

/** Whether a caller may take its answer for a whole one. */
bool LooksWhole(gsCallerView const& view)
{
  return view.Done && (view.Whole || view.BodyEnd == gsBodyEnd::Close);
}

/** Whether it is the host's own failure, with nothing of an upstream. */
bool IsHostsFailure(gsCallerView const& view)
{
  return view.Done && view.Status >= Failed &&
         view.Header("gradescale-response-signature").empty() &&
         view.Body.find(OwnBody) == std::string::npos &&
         view.Body.find(StaleBody) == std::string::npos;
}

bool IsOwnAnswer(gsCallerView const& view, unsigned status,
                 std::string const& id)
{
  return view.Whole && view.Status == status && view.Body == OwnBody &&
         view.Header("gradescale-attempt-id") == id &&
         view.Header("gradescale-response-signature") == "sig-" + id;
}

struct SpliceCase
{
  std::string Route;
  unsigned StaleStatus = 200;
  unsigned OwnStatus = Failed;
  Form StaleForm = Form::Plain;
  Form OwnForm = Form::Plain;
  bool IsForwarded = false;
  bool IsDelayed = false; ///< The own answer comes in another read.
};

std::string NameOf(SpliceCase const& each)
{
  return each.Route + ", " + std::to_string(each.StaleStatus) + " before " +
         std::to_string(each.OwnStatus) + ", forms " +
         std::to_string(static_cast<int>(each.StaleForm)) + " and " +
         std::to_string(static_cast<int>(each.OwnForm)) +
         (each.IsForwarded ? ", forwarded" : "") +
         (each.IsDelayed ? ", delayed" : "");
}

/** Two upstreams that each begin a stale answer before their first one; the
 * caller's host is theirs, or forwards to it. */
class SplicingSystem
{
public:
  SplicingSystem(SpliceCase const& each, std::size_t cut)
  {
    for (std::string const id : { "u1", "u2" }) {
      auto count = std::make_shared<int>(0);
      this->Bench.Add(
        id, [this, each, cut, count](Connection const& to,
                                     gsScriptedRequest const& request) {
          std::string own =
            Written(each.OwnForm, request, each.OwnStatus, OwnBody);
          if (++*count > 1) {
            to->Write(own);
            return;
          }
          std::string begin =
            Stale(each.StaleForm, request, each.StaleStatus).substr(0, cut);
          if (!each.IsDelayed) {
            to->Write(begin + own);
            return;
          }
          to->Write(begin);
          Later(this->Bench.Loop, [to, own] { to->Write(own); });
        });
    }
    if (each.IsForwarded) {
      this->Entry = std::make_unique<gsForwardingHost>(this->Bench);
    }
  }

  gsCallerViewPtr SendAndWait(std::string const& route, std::string const& id)
  {
    std::uint16_t port =
      this->Entry ? this->Entry->Port() : this->Bench.Server->Port();
    gsCallerViewPtr view = this->Bench.SendTo(port, On(route, id));
    this->Bench.RunUntil([view] { return view->Done; });
    return view;
  }

  gsRouteBench Bench;

private:
  std::unique_ptr<gsForwardingHost> Entry;
};

/** Plays a stale head that is cut at each of its bytes before the own answer.
 * \param step Distance of the cuts. */
void CheckSplices(SpliceCase const& each, std::size_t step = 1)
{
  SCOPED_TRACE(NameOf(each));
  std::size_t head = HeadBytes(Stale(each.StaleForm, {}, each.StaleStatus));
  std::vector<std::size_t> swapped;
  std::vector<std::size_t> broken;
  for (std::size_t cut = 1; cut < head; cut += step) {
    SplicingSystem system(each, cut);
    gsCallerViewPtr view = system.SendAndWait(each.Route, "id-1");
    if (!IsOwnAnswer(*view, each.OwnStatus, "id-1") &&
        !IsHostsFailure(*view)) {
      swapped.push_back(cut);
    }
    gsCallerViewPtr next = system.SendAndWait(each.Route, "id-2");
    if (!IsOwnAnswer(*next, each.OwnStatus, "id-2") &&
        !IsHostsFailure(*next)) {
      broken.push_back(cut);
    }
  }
  EXPECT_EQ(swapped, std::vector<std::size_t>()) << swapped.size();
  EXPECT_EQ(broken, std::vector<std::size_t>()) << "the next request's";
}

} // namespace

// Guards against the status of a stale answer with the body of the own one:
// both ways round, on routes with one and with two attempts.
TEST(AnswerHeads, ACutStaleHeadIsNotReadWithTheOwnAnswer)
{
  for (char const* route : { "plain", "safe" }) {
    CheckSplices({ route, 200, Failed });
    CheckSplices({ route, Failed, 200 });
  }
}

// The same with other line ends, versions, framings and interim answers.
TEST(AnswerHeads, ACutStaleHeadOfAnyFormIsNotReadWithTheOwnAnswer)
{
  constexpr std::size_t step = 3;
  for (Form form : { Form::BareLineEnds, Form::Http10, Form::Chunks,
                     Form::AfterInterim }) {
    CheckSplices({ "plain", 200, Failed, form, Form::Plain }, step);
    CheckSplices({ "plain", 200, Failed, Form::Plain, form }, step);
    CheckSplices({ "plain", Failed, 200, form, form }, step);
  }
}

// The same when the own answer comes later than the cut one.
TEST(AnswerHeads, ACutStaleHeadIsNotReadWithALaterOwnAnswer)
{
  constexpr std::size_t step = 2;
  CheckSplices({ "plain", 200, Failed, Form::Plain, Form::Plain, false, true },
               step);
  CheckSplices({ "safe", Failed, 200, Form::Plain, Form::Plain, false, true },
               step);
}

// The same at another host, whose answer is passed on by the caller's.
TEST(AnswerHeads, ACutStaleHeadIsNotReadWithAForwardedAnswer)
{
  constexpr std::size_t step = 3;
  CheckSplices({ "plain", 200, Failed, Form::Plain, Form::Plain, true }, step);
  CheckSplices({ "safe", 200, Failed, Form::Plain, Form::Plain, true }, step);
  CheckSplices({ "plain", Failed, 200, Form::Plain, Form::Plain, true }, step);
}

namespace {

/** What is broken in a head, and the rule that is named for it. */
struct Fault
{
  std::string Lines; ///< Between the status line and the empty line.
  std::string Rule;
};

std::vector<Fault> Faults()
{
  return { { "X: aHTTP/1.1 500 Word\r\n", "second_status_line" },
           { "HTTP/1.1 500 Word\r\n", "unreadable" },
           { "no field\r\n", "unreadable" },
           { "X: a\r\n b\r\n", "folding" },
           { "X Y: a\r\n", "field_name" },
           { "X: a\x01\r\n", "field_value" },
           { "X: a\n", "line_end" },
           { "Gradescale-Attempt-Id: id-1\r\n", "repeated_field" },
           { "gradescale-response-signature: other\r\n", "repeated_field" },
           { "Content-Length: 14\r\n", "length" },
           { "Transfer-Encoding: chunked\r\n", "coding" },
           { "Transfer-Encoding: gzip\r\n", "coding" } };
}

} // namespace

// Guards against answers that are passed on although their heads are damaged,
// and whose fault nobody can see. It is one of the upstream, and no crash.
TEST(AnswerHeads, ADamagedHeadIsAFailureWhoseRuleIsCounted)
{
  for (Fault const& each : Faults()) {
    SCOPED_TRACE(each.Rule + ": " + each.Lines);
    gsRouteBench bench;
    bench.Add("u1",
              [&each](Connection const& to, gsScriptedRequest const& request) {
                to->Write(gsWholeAnswer(request, OwnBody, 200, each.Lines));
              });
    gsCallerViewPtr view = bench.SendAndWait(On("plain", "id-1"));
    EXPECT_EQ(view->Status, 502U);
    EXPECT_TRUE(IsHostsFailure(*view));
    std::string const counted = "gradescale_malformed_answers_total{rule=\"" +
                                each.Rule + "\",forwarded=\"no\"} 1\n";
    EXPECT_NE(bench.Metrics.ToPrometheusText().find(counted),
              std::string::npos)
      << bench.Metrics.ToPrometheusText();
    EXPECT_TRUE(bench.RunUntil(
      [&] { return bench.Scripted[0]->Connections[0]->Gone(); }))
      << "its connection stays open";
    EXPECT_TRUE(
      bench.Gateway->CrashDetection().SuspectTable().Suspects.empty());
  }
}

namespace {

/** An answer with a status line of this code. */
std::string WithStatus(std::string const& code, Form form,
                       gsScriptedRequest const& request)
{
  std::string answer = Written(form, request, 200, OwnBody);
  return answer.replace(answer.find(" 200 ") + 1, code.size(), code);
}

/** Whether a caller gets nothing of answers with this code. */
void CheckStatus(std::string const& code, Form form, bool isStaleBefore,
                 bool isForwarded)
{
  for (char const* route : { "plain", "safe", "stream", "resume" }) {
    SCOPED_TRACE(code + ", form " + std::to_string(static_cast<int>(form)) +
                 ", " + route + (isStaleBefore ? ", behind a stale one" : "") +
                 (isForwarded ? ", forwarded" : ""));
    gsRouteBench bench;
    for (char const* id : { "u1", "u2" }) {
      bench.Add(
        id, [&](Connection const& to, gsScriptedRequest const& request) {
          to->Write((isStaleBefore ? Stale(Form::Plain, request, 200) : "") +
                    WithStatus(code, form, request));
        });
    }
    std::unique_ptr<gsForwardingHost> entry;
    if (isForwarded) {
      entry = std::make_unique<gsForwardingHost>(bench);
    }
    gsCallerViewPtr view = bench.SendTo(
      entry ? entry->Port() : bench.Server->Port(), On(route, "id-1"));
    EXPECT_TRUE(bench.RunUntil([view] { return view->Done; }));
    EXPECT_TRUE(IsHostsFailure(*view)) << view->Status << ' ' << view->Body;
    EXPECT_LT(view->Status, 600U);
  }
}

} // namespace

// Guards against an answer of a status that HTTP does not have (RFC 9110, 15),
// which a caller would get as the answer to its request.
TEST(AnswerHeads, AnAnswerOfAnInvalidStatusIsAFailure)
{
  for (char const* code : { "000", "099", "600", "999" }) {
    for (Form form : AllForms) {
      CheckStatus(code, form, false, false);
    }
    CheckStatus(code, Form::Plain, true, false);
    CheckStatus(code, Form::Plain, false, true);
    CheckStatus(code, Form::AfterInterim, false, true);
  }
}

// Guards against a damaged trailer, in which another answer may begin, that
// counts as a crash of its upstream.
TEST(AnswerHeads, ADamagedTrailerIsAFailureAndNoCrash)
{
  for (std::string const trailer :
       { "X-SHTTP/1.1 500 Word\r\n", "X-Sum: 1HTTP/1.1 500 Word\r\n" }) {
    SCOPED_TRACE(trailer);
    gsRouteBench bench;
    bench.Add("u1", [&trailer](Connection const& to,
                               gsScriptedRequest const& request) {
      to->Write(gsStreamHead(request) + gsChunk(OwnBody) + "0\r\n" + trailer +
                "X: a\r\n\r\n");
    });
    gsCallerViewPtr view = bench.SendAndWait(On("plain", "id-1"));
    EXPECT_EQ(view->Status, 502U);
    EXPECT_NE(bench.Metrics.ToPrometheusText().find(
                "gradescale_malformed_answers_total{"),
              std::string::npos);
    EXPECT_TRUE(
      bench.Gateway->CrashDetection().SuspectTable().Suspects.empty());
  }
}

namespace {

/** How a connection ends. */
enum class Ending
{
  Close,
  Reset
};

struct CutCase
{
  std::string Route;
  Form OwnForm = Form::Plain;
  Ending By = Ending::Close;
  bool IsKept = false; ///< Its connection has carried a request before.
  bool IsForwarded = false;
  std::string Method = "POST";
};

std::string NameOf(CutCase const& each)
{
  return each.Route + ", " + each.Method + ", form " +
         std::to_string(static_cast<int>(each.OwnForm)) +
         (each.By == Ending::Reset ? ", reset" : ", closed") +
         (each.IsKept ? ", kept" : "") +
         (each.IsForwarded ? ", forwarded" : "");
}

std::string Events()
{
  return gsEvent(1, "own") + gsEvent(2, "own");
}

/** One upstream that answers requests with an id that begins with "cut" in
 * part and ends the connection, and others whole. */
class CuttingSystem
{
public:
  explicit CuttingSystem(CutCase const& each)
    : Played(each)
  {
    this->Bench.Add(
      "u1", [this](Connection const& to, gsScriptedRequest const& request) {
        std::string answer = this->AnswerTo(request);
        if (request.Id().substr(0, 3) != "cut") {
          to->Write(answer);
          return;
        }
        to->Write(answer.substr(0, this->Cut));
        Later(this->Bench.Loop, [this, to] {
          if (this->Played.By == Ending::Reset) {
            to->Reset();
          } else {
            to->Close();
          }
        });
      });
    if (each.IsForwarded) {
      this->Entry = std::make_unique<gsForwardingHost>(this->Bench);
    }
  }

  std::string AnswerTo(gsScriptedRequest const& request) const
  {
    std::string answer = Written(this->Played.OwnForm, request, 200, Events());
    bool hasBody = this->Played.Method != "HEAD";
    return hasBody ? answer : answer.substr(0, HeadBytes(answer));
  }

  gsCallerViewPtr SendAndWait(std::string const& id)
  {
    gsCallerSends sends = On(this->Played.Route, id);
    sends.Method = this->Played.Method;
    sends.Body = this->Played.Method == "HEAD" ? "" : id;
    std::uint16_t port =
      this->Entry ? this->Entry->Port() : this->Bench.Server->Port();
    gsCallerViewPtr view = this->Bench.SendTo(port, sends);
    this->Bench.RunUntil([view] { return view->Done; });
    return view;
  }

  gsRouteBench Bench;
  std::size_t Cut = 0; ///< Bytes of an answer that are sent.

private:
  CutCase Played;
  std::unique_ptr<gsForwardingHost> Entry;
};

/** Plays an answer that is cut at each of its bytes.
 * \param first The first cut. \param step Distance of the cuts. */
void CheckCuts(CutCase const& each, std::size_t first, std::size_t step)
{
  SCOPED_TRACE(NameOf(each));
  gsScriptedRequest request;
  request.Headers["gradescale-attempt-id"] = "cut-1";
  CuttingSystem sound(each);
  std::string const answer = sound.AnswerTo(request);
  std::size_t size =
    each.Method == "HEAD" ? answer.size() : BytesToItsEnd(answer);
  sound.Cut = answer.size();
  gsCallerViewPtr whole = sound.SendAndWait("cut-0");
  ASSERT_TRUE(IsSuccess(whole->Status) && LooksWhole(*whole));
  std::vector<std::size_t> taken;
  for (std::size_t cut = first; cut < size; cut += step) {
    CuttingSystem system(each);
    system.Cut = cut;
    if (each.IsKept) {
      gsCallerViewPtr before = system.SendAndWait("before");
      ASSERT_TRUE(before->Whole && before->Status == 200);
    }
    gsCallerViewPtr view = system.SendAndWait("cut-1");
    if (IsSuccess(view->Status) && LooksWhole(*view)) {
      taken.push_back(cut);
    }
  }
  EXPECT_EQ(taken, std::vector<std::size_t>());
}

} // namespace

// Guards against a success with an empty or a short body, framed as whole,
// when an upstream stops at any byte of its answer.
TEST(AnswerHeads, ACutAnswerIsNeverTakenForAWholeOne)
{
  constexpr std::size_t step = 11;
  std::size_t first = 0;
  for (Form form : AllForms) {
    for (char const* route : { "plain", "stream" }) {
      for (Ending by : { Ending::Close, Ending::Reset }) {
        CheckCuts({ route, form, by, false }, ++first % step, step);
        CheckCuts({ route, form, by, true }, ++first % step, step);
      }
    }
  }
}

// The same where the attempt may be repeated or resumed, by the same upstream,
// which stops again.
TEST(AnswerHeads, ARepeatedCutAnswerIsNeverTakenForAWholeOne)
{
  constexpr std::size_t step = 11;
  std::size_t first = 0;
  for (Form form : { Form::Plain, Form::Chunks, Form::BareLineEnds }) {
    for (char const* route : { "safe", "resume" }) {
      CheckCuts({ route, form, Ending::Close, true }, ++first % step, step);
      CheckCuts({ route, form, Ending::Reset, false }, ++first % step, step);
    }
  }
}

// The same across another host.
TEST(AnswerHeads, AForwardedCutAnswerIsNeverTakenForAWholeOne)
{
  constexpr std::size_t step = 9;
  std::size_t first = 0;
  for (Form form : { Form::Plain, Form::Chunks }) {
    for (char const* route : { "plain", "safe", "stream", "resume" }) {
      for (Ending by : { Ending::Close, Ending::Reset }) {
        CheckCuts({ route, form, by, false, true }, ++first % step, step);
      }
    }
  }
}

// The same of answers to HEAD, whose end is that of their head.
TEST(AnswerHeads, ACutAnswerToHeadIsNeverTakenForAWholeOne)
{
  constexpr std::size_t step = 7;
  std::size_t first = 0;
  for (Form form : AllForms) {
    for (Ending by : { Ending::Close, Ending::Reset }) {
      CheckCuts({ "plain", form, by, true, false, "HEAD" }, ++first % step,
                step);
    }
  }
}

namespace {

/** The events of a stream, which are more than another answer. */
std::string ManyEvents()
{
  std::string events;
  constexpr std::uint64_t last = 15;
  for (std::uint64_t id = 1; id <= last; ++id) {
    events += gsEvent(id, "own event");
  }
  return events;
}

/** An answer with these events: in chunks, one of which may hold another
 * answer, or with their length. */
std::string LongAnswer(gsScriptedRequest const& request, bool isInChunks)
{
  std::string const body = ManyEvents();
  std::size_t const first = gsEvent(1, "own event").size();
  if (!isInChunks) {
    return gsWholeAnswer(request, body, 200,
                         "Content-Type: text/event-stream\r\n");
  }
  return gsStreamHead(request) + gsChunk(body.substr(0, first)) +
         gsChunk(body.substr(first)) + "0\r\nX-Sum: 1234\r\n\r\n";
}

struct MixCase
{
  std::string Route;
  bool IsOwnInChunks = true;
  Form StaleForm = Form::Plain;
};

/** Whether a cut is worth playing: each one outside the body's data, and some
 * within a stream's. The data of other bodies may be anything: if it goes on
 * with other bytes, nothing tells it but a framing that fits. */
bool IsPlayed(MixCase const& each, std::string const& own, std::size_t cut)
{
  constexpr std::size_t step = 3;
  bool isInData = own.find("id: 2\n") < cut && cut < own.rfind("\n\n");
  return !isInData || (each.Route == "stream" && cut % step == 0);
}

/** Plays an own answer that is cut behind its head, with a stale one behind it
 * on the same connection. */
void CheckCutsBeforeAStaleAnswer(MixCase const& each)
{
  SCOPED_TRACE(each.Route + (each.IsOwnInChunks ? ", chunks" : ", length") +
               " before form " +
               std::to_string(static_cast<int>(each.StaleForm)));
  gsScriptedRequest request;
  request.Headers["gradescale-attempt-id"] = "id-1";
  std::string const body = ManyEvents();
  std::string const own = LongAnswer(request, each.IsOwnInChunks);
  std::string const stale = Stale(each.StaleForm, request, 200);
  std::vector<std::size_t> mixed;
  for (std::size_t cut = HeadBytes(own); cut < own.size(); ++cut) {
    if (!IsPlayed(each, own, cut)) {
      continue;
    }
    gsRouteBench bench;
    bench.Add("u1",
              [&](Connection const& to, gsScriptedRequest const& /*request*/) {
                to->Write(own.substr(0, cut) + stale);
                Later(bench.Loop, [to] { to->Close(); });
              });
    gsCallerViewPtr view = bench.SendAndWait(On(each.Route, "id-1"));
    bool isOwnPart = body.compare(0, view->Body.size(), view->Body) == 0;
    bool isShort = view->Body.size() < body.size() && LooksWhole(*view);
    if (!IsHostsFailure(*view) && (!isOwnPart || isShort)) {
      mixed.push_back(cut);
    }
  }
  EXPECT_EQ(mixed, std::vector<std::size_t>()) << mixed.size();
}

} // namespace

// Guards against bytes of another answer in the body of the own one, when that
// stops in the size of a chunk or in its trailers.
TEST(AnswerHeads, ACutChunkAndAStaleAnswerAreNotReadAsOne)
{
  CheckCutsBeforeAStaleAnswer({ "plain", true, Form::Plain });
  CheckCutsBeforeAStaleAnswer({ "plain", true, Form::Chunks });
}

// Guards against events of another answer in the own stream, wherever that
// stops.
TEST(AnswerHeads, ACutStreamAndAStaleAnswerAreNotReadAsOne)
{
  CheckCutsBeforeAStaleAnswer({ "stream", true, Form::Plain });
  CheckCutsBeforeAStaleAnswer({ "stream", true, Form::Chunks });
  CheckCutsBeforeAStaleAnswer({ "stream", false, Form::Plain });
}

namespace {

/** A caller's host whose only peer is scripted: it forwards all requests
 * there. */
class ScriptedPeer
{
public:
  explicit ScriptedPeer(gsScriptedUpstream::Script script)
    : Peer(Bench.Loop, "peer", std::move(script))
  {
    std::string const address = this->Peer.Address();
    this->Entry = std::make_unique<gsForwardingHost>(this->Bench, address);
  }

  gsCallerViewPtr SendAndWait(std::string const& route, std::string const& id)
  {
    gsCallerViewPtr view =
      this->Bench.SendTo(this->Entry->Port(), On(route, id));
    this->Bench.RunUntil([view] { return view->Done; });
    return view;
  }

  gsRouteBench Bench;
  gsScriptedUpstream Peer;

private:
  std::unique_ptr<gsForwardingHost> Entry;
};

/** An answer as a host writes it. */
std::string HostsAnswer(gsScriptedRequest const& request)
{
  return "HTTP/1.1 200 OK\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
         "gradescale-attempt-id: " +
         request.Id() +
         "\r\ngradescale-response-signature: sig\r\nContent-Length: 5\r\n"
         "\r\nwhole";
}

} // namespace

// Guards against a cut answer of another host that reaches a caller as whole,
// when that host ends while it writes.
TEST(AnswerHeads, AHostThatEndsInsideItsHeadAnswersNothing)
{
  gsScriptedRequest any;
  any.Headers["gradescale-attempt-id"] = "id-1";
  std::size_t const size = HostsAnswer(any).size();
  for (Ending by : { Ending::Close, Ending::Reset }) {
    std::vector<std::size_t> taken;
    for (std::size_t cut = 0; cut < size; cut += 2) {
      ScriptedPeer* system = nullptr;
      ScriptedPeer peer([&system, cut, by](Connection const& to,
                                           gsScriptedRequest const& request) {
        to->Write(HostsAnswer(request).substr(0, cut));
        Later(system->Bench.Loop,
              [to, by] { by == Ending::Reset ? to->Reset() : to->Close(); });
      });
      system = &peer;
      gsCallerViewPtr view = peer.SendAndWait("plain", "id-1");
      EXPECT_FALSE(peer.Peer.Requests.empty());
      if (IsSuccess(view->Status)) {
        taken.push_back(cut);
      }
    }
    EXPECT_EQ(taken, std::vector<std::size_t>());
  }
}

// Guards against a cut answer of a host that its caller takes for whole: of
// the bytes that a host writes, only all of them say that they are all.
TEST(AnswerHeads, NoPartOfAHostsAnswerSaysThatItIsWhole)
{
  for (std::string const route : { "plain", "stream" }) {
    gsRouteBench bench;
    bench.Add("u1",
              [](Connection const& to, gsScriptedRequest const& request) {
                to->Write(Written(Form::Chunks, request, 200, Events()));
              });
    gsRawCaller caller(bench.Loop, bench.Server->Port(),
                       "POST /" + route +
                         "/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                         "Gradescale-Attempt-Id: id-1\r\n"
                         "Authorization: Token key-one\r\n"
                         "Content-Length: 5\r\n\r\nhello");
    ASSERT_TRUE(bench.RunUntil([&] { return caller.Done(); }));
    std::string const& bytes = caller.Received();
    ASSERT_EQ(gsParseRawAnswer(bytes).Body, Events());
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      gsRawAnswer part = gsParseRawAnswer(bytes.substr(0, cut));
      EXPECT_FALSE(part.StatesItsEnd) << route << ", " << cut;
      bool endsWithConnection =
        part.Status != 0 && !part.HasLength && !part.HasChunks;
      EXPECT_FALSE(endsWithConnection) << route << ", " << cut;
    }
  }
}

namespace {

std::string const Page =
  R"({"records":[{"table":"t","part":"","tls_key":"a","value":"MQ==",)"
  R"("ver":1}],"more":false,"ver":1})";

/** Calls of a platform whose first answer's bytes a test decides, and that
 * answers 503 from then on. */
class ScriptedPlatform
{
public:
  ScriptedPlatform(std::string const& bytes, Ending by)
    : Platform(Bench.Loop, "platform",
               [this, bytes, by](Connection const& to,
                                 gsScriptedRequest const& /*request*/) {
                 if (++this->Calls > 1) {
                   to->Write("HTTP/1.1 503 Later\r\nContent-Length: 2\r\n"
                             "\r\n{}");
                   return;
                 }
                 to->Write(bytes);
                 Later(this->Bench.Loop, [to, by] {
                   by == Ending::Reset ? to->Reset() : to->Close();
                 });
               })
  {
    gsTableWatchSettings settings;
    settings.PlatformAddress = this->Platform.Address();
    settings.TableName = "t";
    settings.InitialRetryDelay = gsMilliseconds(1);
    settings.MaxRetryDelay = gsMilliseconds(1);
    this->Watch =
      std::make_unique<gsTableWatch>(this->Bench.Loop, this->Bench.Callers,
                                     this->Bench.Adapter, settings, [] {});
  }

  /** Whether the first answer was taken for a page of the table. */
  bool TakesFirstAnswer()
  {
    this->Watch->Start();
    this->Watch->Resume(gsLoop::Now());
    EXPECT_TRUE(this->Bench.RunUntil([this] { return this->Calls > 1; }));
    return this->Watch->IsInitialized() || !this->Watch->LiveRows().empty();
  }

private:
  gsRouteBench Bench;
  int Calls = 0;
  gsScriptedUpstream Platform;
  std::unique_ptr<gsTableWatch> Watch;
};

/** A page of a table, as the platform may write it. */
std::vector<std::string> Pages()
{
  std::string const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n" +
                             gsChunk(Page) + "0\r\nX-Sum: 1\r\n\r\n";
  std::string const length =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Page.size()) +
    "\r\n\r\n" + Page;
  return { length, chunks, WithBareLineEnds(length), AsHttp10(length) };
}

} // namespace

// Guards against a part of a table that is taken for all of it.
TEST(AnswerHeads, ACutPageOfATableIsNotTaken)
{
  constexpr std::size_t step = 3;
  std::size_t first = 0;
  for (std::string const& page : Pages()) {
    EXPECT_TRUE(ScriptedPlatform(page, Ending::Close).TakesFirstAnswer());
    for (Ending by : { Ending::Close, Ending::Reset }) {
      std::size_t const end = BytesToItsEnd(page);
      for (std::size_t cut = ++first % step; cut < end; cut += step) {
        ScriptedPlatform platform(page.substr(0, cut), by);
        EXPECT_FALSE(platform.TakesFirstAnswer()) << cut << " of " << page;
      }
    }
  }
}

// Guards against a refusal of the platform that is taken for a page, because
// the begin of another answer stands before it.
TEST(AnswerHeads, ARefusalBehindACutAnswerIsNoPageOfATable)
{
  std::string const stale = "HTTP/1.1 200 OK\r\nServer: store\r\n"
                            "Content-Type: application/json\r\n\r\n";
  std::string const refusal =
    "HTTP/1.1 500 Failed\r\nContent-Length: " + std::to_string(Page.size()) +
    "\r\n\r\n" + Page;
  std::vector<std::size_t> taken;
  for (std::size_t cut = 1; cut < stale.size(); ++cut) {
    ScriptedPlatform platform(stale.substr(0, cut) + refusal, Ending::Close);
    if (platform.TakesFirstAnswer()) {
      taken.push_back(cut);
    }
  }
  EXPECT_EQ(taken, std::vector<std::size_t>());
}
