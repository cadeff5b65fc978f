/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSoakCheck.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <utility>

namespace {

/** A host is in touch when nothing has concerned it for so long. */
constexpr gsTime InTouch = gsSeconds(3);
/** From an acknowledged change until hosts in touch act by it. */
constexpr gsTime ChangeBound = gsMilliseconds(2500);
/** The callers' deadline, and what a final answer may be late. */
constexpr gsTime AnswerBound = gsMilliseconds(8000 + 1500);
/** A refusal is answered at once: all runners tried, and some time. */
/** The end of a silence is noted after the links have been told of it. */
constexpr gsTime NoticeDelay = gsMilliseconds(100);
constexpr gsTime RefusalBound = gsMilliseconds(2500);

/** A host sends nothing to a runner so long after it has passed on an answer
 * that says that the runner leaves. */
constexpr gsTime WordBound = gsSeconds(2);
/** A runner's rest begins to bind a host so long after its answer, */
constexpr gsTime RestBegins = gsMilliseconds(500);
/** and lets pass so many requests. */
constexpr std::size_t RestMost = 2;

/** Time from naming a limit until it is checked. */
constexpr gsTime LimitBindsAfter = gsSeconds(3);
/** Time from a host's first answer with a limit until it is checked. */
constexpr gsTime LimitKnownAfter = gsMilliseconds(500);

constexpr gsTime LimitWindow = gsSeconds(4);
constexpr double LimitFactor = 1.5;
/** Requests allowed in a window in addition to LimitFactor times the rate. */
constexpr double LimitSlack = 5;

constexpr unsigned Ok = 200;
constexpr unsigned Unauthorized = 401;
constexpr unsigned Forbidden = 403;
constexpr unsigned NotFound = 404;

bool IsPromise(unsigned status)
{
  constexpr unsigned promises[] = { 503, 429, 408, 421 };
  return std::find(std::begin(promises), std::end(promises), status) !=
         std::end(promises);
}

bool IsSuccess(unsigned status)
{
  return status / 100 == 2;
}

bool MayRepeat(gsRoutedReply const& reply)
{
  return reply.Route == "safe" || reply.Route == "resume";
}

/** Whether an answer that may be taken for a complete one, as it states no
 * end, lacks the rest of an event. */
bool EndsInsideEvent(gsRoutedReply const& reply)
{
  constexpr std::string_view eventEnd = "\n\n";
  bool isStream = reply.Route == "stream" || reply.Route == "resume";
  std::string_view const body = reply.Body;
  return isStream && reply.BodyEnd == gsBodyEnd::Close && !body.empty() &&
         (body.size() < eventEnd.size() ||
          body.substr(body.size() - eventEnd.size()) != eventEnd);
}

std::size_t MostRuns(gsRoutedReply const& reply)
{
  return MayRepeat(reply) ? 2 : 1;
}

/** Whether anything of these scopes concerned a host between two times. */
bool Troubled(gsSoakRecord const& record, std::vector<gsSoakScope> const& of,
              std::string const& host, gsTime from, gsTime to)
{
  return std::any_of(
    record.Troubles.begin(), record.Troubles.end(),
    [&](gsSoakTrouble const& trouble) {
      bool concerns = trouble.Host.empty() || trouble.Host == host;
      bool counts = std::find(of.begin(), of.end(), trouble.Scope) != of.end();
      return concerns && counts && trouble.From <= to && trouble.To >= from;
    });
}

/** When a host was told to stop, if nothing else concerned it; the first time
 * of several that overlap, since what comes after it may meet its close. */
std::optional<gsTime> PlannedStop(gsSoakRecord const& record,
                                  std::string const& host, gsTime from,
                                  gsTime to)
{
  std::optional<gsTime> stop;
  for (gsSoakTrouble const& trouble : record.Troubles) {
    bool concerns = trouble.Scope == gsSoakScope::Host &&
                    (trouble.Host.empty() || trouble.Host == host) &&
                    trouble.From <= to && trouble.To >= from;
    if (concerns && !trouble.Planned) {
      return std::nullopt;
    }
    if (concerns) {
      stop = stop ? std::min(*stop, trouble.From) : trouble.From;
    }
  }
  return stop;
}

class Checker
{
public:
  explicit Checker(gsSoakRecord const& record)
    : Record(record)
  {
    for (gsRoutedRun const& run : record.Runs) {
      this->RunsOf[run.Request].push_back(&run);
      if (!run.Signature.empty()) {
        this->SignedBy[run.Signature] = &run;
      }
    }
    for (gsRoutedReplyPtr const& reply : record.Replies) {
      this->ReplyOf[reply->Id] = reply.get();
    }
  }

  std::vector<gsSoakBreach> Run()
  {
    for (gsRoutedReplyPtr const& reply : this->Record.Replies) {
      this->CheckBody(*reply);
      this->CheckSource(*reply);
      this->CheckRuns(*reply);
      this->CheckAnswered(*reply);
      this->CheckRefusal(*reply);
      this->CheckKeys(*reply);
    }
    this->CheckUnasked();
    this->CheckLeavings();
    this->CheckWords();
    this->CheckRests();
    for (gsSoakLimit const& limit : this->Record.Limits) {
      this->CheckLimit(limit);
    }
    return std::move(this->Breaches);
  }

private:
  void Add(char const* promise, std::string const& request, std::string detail)
  {
    this->Breaches.push_back({ promise, request, std::move(detail) });
  }

  std::size_t CountRuns(gsRoutedReply const& reply) const
  {
    auto found = this->RunsOf.find(reply.Id);
    return found == this->RunsOf.end() ? 0 : found->second.size();
  }

  void CheckBody(gsRoutedReply const& reply)
  {
    if (reply.Status != Ok) {
      return;
    }
    std::string expected = this->Record.Expected(reply);
    if (!reply.Whole || reply.Left) {
      bool begins = expected.compare(0, reply.Body.size(), reply.Body) == 0;
      if (!begins) {
        this->Add("MIXED", reply.Id, "The part that came is not its own.");
      }
      if (EndsInsideEvent(reply)) {
        this->Add("ORDER", reply.Id, "It ends inside an event: " + reply.Body);
      }
      return;
    }
    if (!reply.Signed) {
      this->Add("MIXED", reply.Id, "A success without a signature.");
    }
    if (reply.Body != expected) {
      this->Add(reply.Route == "plain" || reply.Route == "safe" ? "MIXED"
                                                                : "ORDER",
                reply.Id, "The whole answer is not its own: " + reply.Body);
    }
  }

  /** An answer that a run has signed is that run's answer to this request. A
   * success may go on with the events of a further run. */
  void CheckSource(gsRoutedReply const& reply)
  {
    if (!reply.AnsweredId.empty() && reply.AnsweredId != reply.Id) {
      this->Add("MIXED", reply.Id,
                "Its answer names " + reply.AnsweredId + ".");
    }
    if (IsSuccess(reply.Status) && reply.Status != Ok) {
      this->Add("MIXED", reply.Id,
                "No run answers with " + std::to_string(reply.Status) + ".");
    }
    if (reply.Signature.empty()) {
      return;
    }
    auto signer = this->SignedBy.find(reply.Signature);
    if (signer == this->SignedBy.end()) {
      this->Add("MIXED", reply.Id,
                "No run has signed with " + reply.Signature + ".");
      return;
    }
    gsRoutedRun const& run = *signer->second;
    if (run.Request != reply.Id) {
      this->Add("MIXED", reply.Id, "It is the answer to " + run.Request + ".");
    }
    if (run.Status != reply.Status) {
      this->Add("MIXED", reply.Id,
                "Its run answered with " + std::to_string(run.Status) +
                  ", it came as " + std::to_string(reply.Status) + ".");
    }
    this->CheckFailure(reply, run);
  }

  void CheckFailure(gsRoutedReply const& reply, gsRoutedRun const& run)
  {
    if (IsSuccess(reply.Status)) {
      return; // CheckBody compares it.
    }
    bool isWhole = reply.Whole && !reply.Left;
    bool isOwn =
      isWhole ? reply.Body == run.Body : run.Body.rfind(reply.Body, 0) == 0;
    if (!isOwn) {
      this->Add("MIXED", reply.Id,
                "The failure is not the one of its run: " + reply.Body);
    }
  }

  void CheckRuns(gsRoutedReply const& reply)
  {
    std::size_t runs = this->CountRuns(reply);
    if (runs > MostRuns(reply)) {
      this->Add(MayRepeat(reply) ? "BUDGET" : "TWICE", reply.Id,
                "It ran " + std::to_string(runs) + " times.");
    }
    if (runs > 0 && reply.Done && !reply.Left && IsPromise(reply.Status)) {
      this->Add("REFUSED", reply.Id,
                "It ran, and was answered with " +
                  std::to_string(reply.Status) + ".");
    }
  }

  /** Whom a request was sent to, and when, for the verdict. */
  std::string WhereOf(gsRoutedReply const& reply) const
  {
    gsTime begin = this->Record.Replies.front()->Sent;
    std::string first;
    if (reply.FirstByteAt.count() != 0) {
      first = ", first byte " +
              std::to_string(gsToSeconds(reply.FirstByteAt - begin)) + " s";
    }
    return " (" + reply.Host + ", sent " +
           std::to_string(gsToSeconds(reply.Sent - begin)) + " s" + first +
           ", ended " + std::to_string(gsToSeconds(reply.Ended - begin)) +
           " s)";
  }

  void CheckAnswered(gsRoutedReply const& reply)
  {
    if (reply.Left) {
      return;
    }
    gsTime ended = reply.Done ? reply.Ended : reply.Sent + AnswerBound;
    if (!this->MustAnswer(reply, ended)) {
      return;
    }
    if (!reply.Done || reply.Ended - reply.Sent > AnswerBound) {
      this->Add("LOST", reply.Id, "No final answer in time.");
    } else if (reply.Status == 0) {
      this->Add("LOST", reply.Id,
                "The connection closed without an answer" +
                  this->WhereOf(reply) + ".");
    } else if (!this->IsComplete(reply) &&
               !Troubled(this->Record, { gsSoakScope::Upstreams }, reply.Host,
                         reply.Sent - InTouch, ended)) {
      this->Add("LOST", reply.Id,
                "The answer broke off though its runners were well.");
    }
  }

  /** Whether all of an answer came, stated or not. */
  bool IsComplete(gsRoutedReply const& reply) const
  {
    return reply.Whole || (this->Record.HasUnframedAnswers &&
                           reply.BodyEnd == gsBodyEnd::Close &&
                           reply.Body == this->WholeBody(reply));
  }

  /** The body of a whole answer with this status and signature. */
  std::string WholeBody(gsRoutedReply const& reply) const
  {
    auto signer = this->SignedBy.find(reply.Signature);
    bool isFailure =
      !IsSuccess(reply.Status) && signer != this->SignedBy.end();
    return isFailure ? signer->second->Body : this->Record.Expected(reply);
  }

  /** When the host could begin to see a request. One whose first piece is
   * empty leaves after the pause only. */
  static gsTime FirstByteAt(gsRoutedReply const& reply)
  {
    return std::max(reply.Sent, reply.FirstByteAt);
  }

  /** Whether the host that was asked had to answer. */
  bool MustAnswer(gsRoutedReply const& reply, gsTime ended) const
  {
    gsTime since = reply.Sent - gsMilliseconds(500);
    if (!Troubled(this->Record, { gsSoakScope::Host }, reply.Host, since,
                  ended)) {
      return true;
    }
    std::optional<gsTime> stop =
      PlannedStop(this->Record, reply.Host, reply.Sent - InTouch, ended);
    // Later ones may cross the close, if they are not passed on. On a kept
    // connection that is still open each is answered.
    bool isOnOpenConnection =
      this->Record.AnswersKept && reply.Kept && !reply.EndedBefore;
    return stop && (FirstByteAt(reply) < *stop - gsMilliseconds(100) ||
                    isOnOpenConnection || this->CountRuns(reply) > 0);
  }

  /** Until when no answer of a runner came through that it gave at a time;
   * that time if answers did. */
  gsTime HeardAt(gsRoutedRun const& given) const
  {
    gsTime heard = given.At;
    for (gsSoakSilence const& silence : this->Record.Silences) {
      bool isOfRunner = given.Runner.rfind(silence.Runner + "-", 0) == 0;
      bool isHeldUp =
        isOfRunner && silence.From <= given.At && given.At < silence.Until;
      heard = isHeldUp ? std::max(heard, silence.Until) : heard;
    }
    return heard;
  }

  /** When a request could be refused: its sending, when a runner that was
   * harmed meanwhile turned it away as full, or when a rejection came through.
   * Until then its host cannot tell whether it runs. */
  gsTime RefusableSince(gsRoutedReply const& reply) const
  {
    gsTime since = reply.Sent;
    for (gsRoutedRun const& arrival : this->Record.Arrivals) {
      bool held = arrival.Request == reply.Id && arrival.Full &&
                  arrival.At <= reply.Ended &&
                  Troubled(this->Record, { gsSoakScope::Upstreams },
                           reply.Host, reply.Sent, arrival.At);
      since = held ? std::max(since, arrival.At) : since;
      bool isRejected = arrival.Request == reply.Id && !arrival.Ran;
      gsTime heard = this->HeardAt(arrival);
      bool isHeldUp = isRejected && heard != arrival.At &&
                      arrival.At >= reply.Sent &&
                      heard <= reply.Ended + NoticeDelay;
      since = isHeldUp ? std::max(since, heard) : since;
    }
    return since;
  }

  void CheckRefusal(gsRoutedReply const& reply)
  {
    constexpr unsigned unavailable = 503;
    if (!reply.Done || reply.Left || reply.Status != unavailable) {
      return;
    }
    if (std::atof(reply.RetryAfter.c_str()) <= 0) {
      this->Add("REFUSED", reply.Id, "It does not say when to come back.");
    }
    bool hostWell = !Troubled(this->Record, { gsSoakScope::Host }, reply.Host,
                              reply.Sent - InTouch, reply.Ended);
    if (hostWell && reply.Ended - this->RefusableSince(reply) > RefusalBound) {
      this->Add("REFUSED", reply.Id, "The refusal was held back.");
    }
  }

  void CheckKeys(gsRoutedReply const& reply)
  {
    std::vector<std::string> const& lasting = this->Record.LastingKeys;
    bool lasts =
      std::find(lasting.begin(), lasting.end(), reply.Key) != lasting.end();
    bool denied = reply.Status == Unauthorized || reply.Status == Forbidden ||
                  reply.Status == NotFound;
    if (lasts && denied) {
      this->Add("DENIED", reply.Id,
                "Every configuration allows it, and it got " +
                  std::to_string(reply.Status) + ".");
    }
    for (gsSoakNotice const& revoked : this->Record.Revoked) {
      bool bound = reply.Key == revoked.Name &&
                   reply.Sent > revoked.At + ChangeBound &&
                   this->WasInTouch(reply.Host, revoked.At, reply.Sent);
      if (bound && this->CountRuns(reply) > 0) {
        this->Add("CONFIG", reply.Id,
                  "It ran with a key that had been taken away.");
      }
    }
  }

  /** Whether nothing kept a host from hearing of a change in time. */
  bool WasInTouch(std::string const& host, gsTime change, gsTime until) const
  {
    return !Troubled(this->Record, { gsSoakScope::Host, gsSoakScope::Store },
                     host, std::min(change, until - InTouch) - InTouch, until);
  }

  void CheckUnasked()
  {
    for (auto const& [id, runs] : this->RunsOf) {
      if (this->ReplyOf.count(id) == 0) {
        this->Add("UNASKED", id, "A runner ran what no caller sent.");
      }
    }
  }

  void CheckLeavings()
  {
    for (gsRoutedRun const& run : this->Record.Runs) {
      auto reply = this->ReplyOf.find(run.Request);
      for (gsSoakNotice const& leaving : this->Record.Leavings) {
        bool late = run.Runner == leaving.Name &&
                    run.At > leaving.At + ChangeBound &&
                    reply != this->ReplyOf.end();
        if (late &&
            this->WasInTouch(reply->second->Host, leaving.At, run.At)) {
          this->Add("DRAIN", run.Request,
                    "It reached " + run.Runner + " after its leaving.");
        }
      }
    }
  }

  /** Whether a host's process, or its links, had trouble since. */
  bool HostTroubled(std::string const& host, gsTime from, gsTime to) const
  {
    return Troubled(this->Record, { gsSoakScope::Host }, host, from, to);
  }

  /** Runners that said so in answers that hosts have passed on. */
  void CheckWords()
  {
    // The first answer of each host that said so, by host and runner.
    std::map<std::pair<std::string, std::string>, gsTime> told;
    for (gsRoutedReplyPtr const& reply : this->Record.Replies) {
      if (reply->SaysLeaving) {
        auto& at =
          told.emplace(std::pair(reply->Host, reply->Runner), reply->HeadAt)
            .first->second;
        at = std::min(at, reply->HeadAt);
      }
    }
    for (gsRoutedRun const& arrival : this->Record.Arrivals) {
      auto reply = this->ReplyOf.find(arrival.Request);
      if (reply == this->ReplyOf.end()) {
        continue;
      }
      gsRoutedReply const& asked = *reply->second;
      auto word = told.find({ asked.Host, arrival.Runner });
      bool late = word != told.end() && asked.Sent > word->second + WordBound;
      if (late && !this->HostTroubled(asked.Host, word->second, arrival.At)) {
        this->Add("DRAIN", arrival.Request,
                  "It reached " + arrival.Runner +
                    " after its host had passed on that it leaves.");
      }
    }
  }

  void CheckRests()
  {
    // What each host sent to each runner.
    std::map<std::pair<std::string, std::string>,
             std::vector<gsRoutedRun const*>>
      sent;
    for (gsRoutedRun const& arrival : this->Record.Arrivals) {
      auto reply = this->ReplyOf.find(arrival.Request);
      if (reply != this->ReplyOf.end()) {
        sent[{ reply->second->Host, arrival.Runner }].push_back(&arrival);
      }
    }
    for (auto const& [who, arrivals] : sent) {
      for (gsRoutedRun const* asked : arrivals) {
        if (!asked->Ran && !asked->Full && !this->WasUnheard(*asked)) {
          this->CheckRest(who.first, *asked, arrivals);
        }
      }
    }
  }

  /** Whether the answer to a request may not have reached its host before it
   * binds it: no answer came through or another one came in its place, or the
   * links to runners were harmed and
   * the caller left, so that the host closed the connection on which the
   * answer would have come. */
  bool WasUnheard(gsRoutedRun const& asked) const
  {
    auto concernsIt = [&asked](gsSoakSilence const& silence) {
      return asked.Runner.rfind(silence.Runner + "-", 0) == 0 &&
             silence.From <= asked.At && asked.At < silence.Until;
    };
    auto isAnyOf = [&concernsIt](std::vector<gsSoakSilence> const& times) {
      return std::any_of(times.begin(), times.end(), concernsIt);
    };
    bool isSilent =
      isAnyOf(this->Record.Silences) || isAnyOf(this->Record.Stutters);
    gsRoutedReply const& reply = *this->ReplyOf.at(asked.Request);
    bool hasLeft = reply.Left && reply.Ended < asked.At + RestBegins &&
                   Troubled(this->Record, { gsSoakScope::Upstreams },
                            reply.Host, asked.At, reply.Ended);
    return isSilent || hasLeft;
  }

  void CheckRest(std::string const& host, gsRoutedRun const& asked,
                 std::vector<gsRoutedRun const*> const& arrivals)
  {
    gsTime until = asked.At + this->Record.Rest;
    auto within = std::count_if(
      arrivals.begin(), arrivals.end(), [&](gsRoutedRun const* arrival) {
        return arrival->At > asked.At + RestBegins && arrival->At < until;
      });
    if (static_cast<std::size_t>(within) > RestMost &&
        !this->HostTroubled(host, asked.At, until)) {
      this->Add("BUDGET", asked.Request,
                host + " sent " + std::to_string(within) + " to " +
                  asked.Runner + " in its rest.");
    }
  }

  /** Time of each host's first relayed answer that names a limit. */
  std::map<std::string, gsTime> FirstNamedByHost(
    gsSoakLimit const& limit) const
  {
    std::map<std::string, gsTime> firstNamed;
    for (gsRoutedReplyPtr const& reply : this->Record.Replies) {
      bool names = reply->Runner == limit.Runner &&
                   !reply->RateLimit.empty() && reply->HeadAt >= limit.From &&
                   reply->HeadAt < limit.Until;
      if (names) {
        gsTime& at =
          firstNamed.emplace(reply->Host, reply->HeadAt).first->second;
        at = std::min(at, reply->HeadAt);
      }
    }
    return firstNamed;
  }

  /** Arrivals subject to a limit: from hosts that know it and had no fault. */
  std::vector<gsTime> LimitedArrivals(gsSoakLimit const& limit) const
  {
    std::map<std::string, gsTime> const firstNamed =
      this->FirstNamedByHost(limit);
    std::vector<gsTime> bound;
    for (gsRoutedRun const& arrival : this->Record.Arrivals) {
      auto reply = this->ReplyOf.find(arrival.Request);
      bool within = arrival.Runner == limit.Runner &&
                    arrival.At >= limit.From + LimitBindsAfter &&
                    arrival.At < limit.Until && reply != this->ReplyOf.end();
      if (!within) {
        continue;
      }
      auto host = firstNamed.find(reply->second->Host);
      bool knows = host != firstNamed.end() &&
                   arrival.At >= host->second + LimitKnownAfter;
      if (knows &&
          !this->HostTroubled(host->first, host->second, arrival.At)) {
        bound.push_back(arrival.At);
      }
    }
    std::sort(bound.begin(), bound.end());
    return bound;
  }

  void CheckLimit(gsSoakLimit const& limit)
  {
    std::vector<gsTime> const bound = this->LimitedArrivals(limit);
    double allowed =
      LimitFactor * limit.Rate * gsToSeconds(LimitWindow) + LimitSlack;
    for (auto first = bound.begin(); first != bound.end(); ++first) {
      auto last = std::lower_bound(first, bound.end(), *first + LimitWindow);
      if (static_cast<double>(last - first) > allowed) {
        this->Add("LIMIT", {},
                  limit.Runner + " named " + std::to_string(limit.Rate) +
                    " a second and got " + std::to_string(last - first) +
                    " in 4 s.");
        return;
      }
    }
  }

  gsSoakRecord const& Record;
  std::map<std::string, std::vector<gsRoutedRun const*>> RunsOf;
  std::map<std::string, gsRoutedRun const*> SignedBy;
  std::map<std::string, gsRoutedReply const*> ReplyOf;
  std::vector<gsSoakBreach> Breaches;
};

} // namespace

std::vector<gsSoakBreach> gsCheckSoak(gsSoakRecord const& record)
{
  return Checker(record).Run();
}
