/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsReplay.h"

#include <algorithm>
#include <cstdio>
#include <deque>

#include "gsAdmit.h"
#include "gsDispatch.h"
#include "gsEngineModel.h"
#include "gsHealth.h"
#include "gsLimit.h"
#include "gsRetry.h"

namespace {

constexpr gsTime Step = gsMilliseconds(5);
constexpr gsTime ReportPeriod = gsMilliseconds(500);
constexpr gsTime Tail = gsSeconds(120);
constexpr gsTime ProgressPeriod = gsMilliseconds(1000);

enum class Phase
{
  Waiting,
  Sent,
  Ended
};

struct Request
{
  gsTraceRequest const* Trace = nullptr;
  gsTraceClass const* Class = nullptr;
  std::size_t Host = 0;
  std::size_t Engine = 0;
  std::uint32_t Attempt = 0;
  Phase At = Phase::Waiting;
  gsTime Sent{};
  gsTime First{};
  double ReportedTokens = 0;
  gsTime ReportedAt{};
};

/** One replay in progress. */
class Replay
{
public:
  Replay(gsTrace const& trace, gsReplayOptions const& options)
    : Trace(trace)
    , Options(options)
    , Engines(trace.Engines)
    , Queues(trace.Hosts)
  {
    std::size_t pools =
      options.Policy == gsPolicy::OwnQueues ? trace.Hosts : 1;
    for (std::size_t i = 0; i < pools; ++i) {
      this->Pools.push_back(this->MakePool());
    }
  }

  gsReplayResult Run()
  {
    gsTime end = this->Trace.Requests.back().At + Tail;
    for (gsTime now = Step; now < end; now += Step) {
      this->ApplyFaults(now);
      this->Arrive(now);
      if (this->Options.Policy == gsPolicy::RoundRobin) {
        this->RunQueues(now);
      } else {
        this->RunPools(now);
      }
      this->RunEngines(now);
      this->CountCapacity(now);
      if (this->Open == 0 && this->Next == this->Trace.Requests.size()) {
        break;
      }
    }
    for (gsEngineModel const& engine : this->Engines) {
      this->Result.Generated += engine.Generated;
    }
    return this->Result;
  }

private:
  gsPool MakePool() const
  {
    gsPool pool;
    pool.Name = "model@hall";
    pool.Settings = this->Options.Pool;
    for (std::size_t i = 0; i < this->Trace.Engines; ++i) {
      gsUpstreamRow row;
      row.Name = "e" + std::to_string(i);
      row.Limit = this->Options.Slots;
      row.Adaptive = this->Options.Adaptive;
      pool.Upstreams.push_back(row);
    }
    gsTierQueueOf(pool, 2);
    return pool;
  }

  gsPool& PoolOf(Request const& request)
  {
    return this->Pools[this->Pools.size() == 1 ? 0 : request.Host];
  }

  gsRequestId IdOf(std::size_t index) const
  {
    return { 1, index, this->Requests[index].Attempt };
  }

  void ApplyFaults(gsTime now)
  {
    for (; this->NextFault < this->Trace.Faults.size() &&
           this->Trace.Faults[this->NextFault].At <= now;
         ++this->NextFault) {
      gsTraceFault const& fault = this->Trace.Faults[this->NextFault];
      gsEngineOutput out;
      gsEngineSpeed(this->Engines[fault.Engine], fault.Speed, out);
      for (gsEngineRequest const& lost : out.Lost) {
        this->OnLost(lost, now);
      }
    }
  }

  void Arrive(gsTime now)
  {
    for (; this->Next < this->Trace.Requests.size() &&
           this->Trace.Requests[this->Next].At <= now;
         ++this->Next) {
      gsTraceRequest const& row = this->Trace.Requests[this->Next];
      Request request;
      request.Trace = &row;
      request.Host = this->Next % this->Trace.Hosts;
      for (gsTraceClass const& one : this->Trace.Classes) {
        if (one.Name == row.Class) {
          request.Class = &one;
        }
      }
      this->Requests.push_back(request);
      ++this->Open;
      ++this->Result.Classes[row.Class].Arrived;
      gsEarnRetry(this->Budget);
      this->Queue(this->Requests.size() - 1, now, "");
    }
  }

  void Queue(std::size_t index, gsTime now, std::string const& avoid)
  {
    Request& request = this->Requests[index];
    ++request.Attempt;
    request.At = Phase::Waiting;
    if (this->Options.Policy == gsPolicy::RoundRobin) {
      this->Queues[request.Host].push_back(index);
      return;
    }
    gsGrantRequest ask;
    ask.Id = this->IdOf(index);
    ask.Organisation =
      this->Options.Shares ? request.Trace->Organisation : "all";
    ask.Template = request.Class->Name;
    ask.Tier = request.Class->Tier;
    ask.PromptTokens = request.Trace->PromptTokens;
    ask.PriorWaitTime = now - request.Trace->At;
    ask.MaxWait = request.Class->MaxWait;
    ask.FirstTokenTarget = request.Class->FirstToken;
    ask.TokenIntervalTarget = request.Class->TokenGap;
    ask.AffinityHash = request.Trace->Context;
    ask.AvoidUpstream = avoid;
    gsAdmit(this->PoolOf(request), ask, 0, now);
  }

  void Send(std::size_t index, std::size_t engine, gsTime now)
  {
    Request& request = this->Requests[index];
    request.At = Phase::Sent;
    request.Engine = engine;
    request.Sent = now;
    request.ReportedAt = now;
    request.ReportedTokens = 0;
    this->NoteWait(request, now);
    if (this->Engines[engine].Speed <= 0) {
      this->OnRefusedConnection(index, now);
      return;
    }
    gsEngineRequest sent;
    sent.Request = index;
    sent.Attempt = request.Attempt;
    sent.PromptTokens = request.Trace->PromptTokens;
    sent.Tokens = request.Trace->Tokens;
    sent.Context = request.Trace->Context;
    sent.Priority = this->Options.Priorities ? request.Class->Tier : 0;
    gsEngineTake(this->Engines[engine], sent);
  }

  void NoteWait(Request const& request, gsTime now)
  {
    gsClassResult& result = this->Result.Classes[request.Class->Name];
    result.LongestWait = std::max(result.LongestWait, now - request.Trace->At);
  }

  /** Each host for itself: engines in turn, so many at a time. */
  void RunQueues(gsTime now)
  {
    double most = this->Options.Slots *
                  static_cast<double>(this->Trace.Engines) /
                  static_cast<double>(this->Trace.Hosts);
    std::size_t limit = this->Options.Pool.QueueLimit / this->Trace.Hosts;
    for (std::size_t host = 0; host < this->Queues.size(); ++host) {
      std::deque<std::size_t>& queue = this->Queues[host];
      while (!queue.empty() &&
             now - this->Requests[queue.front()].Trace->At >=
               this->Requests[queue.front()].Class->MaxWait) {
        this->Refuse(queue.front(), now);
        queue.pop_front();
      }
      while (queue.size() > limit) {
        this->Refuse(queue.back(), now);
        queue.pop_back();
      }
      while (!queue.empty() && this->RunningAt[host] < most) {
        std::size_t index = queue.front();
        queue.pop_front();
        ++this->RunningAt[host];
        this->Send(index, this->NextEngine++ % this->Trace.Engines, now);
      }
    }
  }

  void RunPools(gsTime now)
  {
    bool report = now >= this->NextReport;
    if (report) {
      this->NextReport = now + ReportPeriod;
    }
    for (gsPool& pool : this->Pools) {
      gsPoolOutput out;
      for (std::size_t i = 0; report && i < this->Engines.size(); ++i) {
        std::string name = "e" + std::to_string(i);
        bool answered = this->Engines[i].Speed > 0;
        gsRecordPoll(pool, name, answered, now, out);
        if (answered) {
          gsApplyUpstreamLoad(pool, name,
                              gsEngineReport(this->Engines[i], now));
        }
      }
      gsPoolTick(pool, now, out);
      for (gsGrant const& grant : out.Grants) {
        std::size_t engine = std::stoul(grant.Upstream.substr(1));
        this->Send(grant.Id.Sequence, engine, now);
      }
      for (gsRefusal const& refusal : out.Refusals) {
        bool bad = refusal.Cause == gsRefusalCause::Expired
                     ? refusal.LowerTierGrants > 0
                     : refusal.LowerTierWaiting > 0;
        this->Result.BadRefusals += bad ? 1 : 0;
        this->Refuse(refusal.Id.Sequence, now);
      }
    }
  }

  void Refuse(std::size_t index, gsTime now)
  {
    Request& request = this->Requests[index];
    request.At = Phase::Ended;
    --this->Open;
    ++this->Result.Classes[request.Class->Name].Refused;
    this->NoteWait(request, now);
  }

  void Release(std::size_t index, gsGrantOutcome outcome, double tokens,
               gsTime now)
  {
    Request const& request = this->Requests[index];
    if (this->Options.Policy == gsPolicy::RoundRobin) {
      --this->RunningAt[request.Host];
      return;
    }
    gsGrantMeasurements measured;
    measured.Tokens = static_cast<std::uint64_t>(tokens);
    gsPoolOutput out;
    gsReleaseGrant(this->PoolOf(request), this->IdOf(index), outcome, measured,
                   now, out);
  }

  void Retry(std::size_t index, gsExecuted ran, gsTime now)
  {
    Request& request = this->Requests[index];
    gsFailedAttempt attempt;
    attempt.Executed = ran;
    attempt.IsRepeatable = request.Class->Repeatable;
    attempt.ResponseStarted =
      request.Trace->Stream && request.First.count() > 0;
    attempt.Attempts = request.Attempt;
    attempt.Now = now;
    attempt.Deadline = request.Trace->At + request.Class->MaxWait;
    if (gsDecideRetry(attempt, this->Budget) == gsRetryDecision::Retry) {
      request.First = gsTime{};
      this->Queue(index, now, "e" + std::to_string(request.Engine));
      return;
    }
    request.At = Phase::Ended;
    --this->Open;
    ++this->Result.Classes[request.Class->Name].Cut;
  }

  void OnRefusedConnection(std::size_t index, gsTime now)
  {
    this->Release(index, gsGrantOutcome::ConnectionRefused, 0, now);
    this->Retry(index, gsExecuted::No, now);
  }

  void OnLost(gsEngineRequest const& lost, gsTime now)
  {
    this->Release(lost.Request, gsGrantOutcome::Failed, lost.Done, now);
    this->Retry(lost.Request, gsExecuted::Unknown, now);
  }

  void RunEngines(gsTime now)
  {
    for (gsEngineModel& engine : this->Engines) {
      gsEngineOutput out;
      gsEngineStep(engine, now, Step, out);
      for (gsEngineRequest const& first : out.First) {
        Request& request = this->Requests[first.Request];
        request.First = now;
        request.ReportedAt = now;
        request.ReportedTokens = first.Done;
        if (this->Options.Policy != gsPolicy::RoundRobin &&
            request.Trace->Stream) {
          gsRecordLatency(this->PoolOf(request), this->IdOf(first.Request),
                          now - request.Sent, gsTime{});
        }
      }
      if (this->Options.Policy != gsPolicy::RoundRobin) {
        this->ReportProgress(engine, now);
      }
      for (gsEngineRequest const& ended : out.Ended) {
        this->OnEnded(ended, now);
      }
    }
  }

  void ReportProgress(gsEngineModel const& engine, gsTime now)
  {
    for (gsEngineRequest const& running : engine.Batch) {
      Request& request = this->Requests[running.Request];
      bool due = request.Trace->Stream && request.First.count() > 0 &&
                 now - request.ReportedAt >= ProgressPeriod &&
                 running.Done > request.ReportedTokens + 1;
      if (!due) {
        continue;
      }
      double gap = gsToSeconds(now - request.ReportedAt) /
                   (running.Done - request.ReportedTokens);
      gsRecordLatency(this->PoolOf(request), this->IdOf(running.Request),
                      gsTime{}, gsFromSeconds(gap));
      request.ReportedAt = now;
      request.ReportedTokens = running.Done;
    }
  }

  void OnEnded(gsEngineRequest const& ended, gsTime now)
  {
    Request& request = this->Requests[ended.Request];
    gsClassResult& result = this->Result.Classes[request.Class->Name];
    gsTime first = request.First - request.Trace->At;
    double gap = ended.Tokens > 1
                   ? gsToSeconds(now - request.First) / (ended.Tokens - 1)
                   : 0;
    bool inTarget = first <= request.Class->FirstToken &&
                    gap <= gsToSeconds(request.Class->TokenGap);
    if (!request.Trace->Stream) {
      inTarget =
        now - request.Trace->At <=
        request.Class->FirstToken +
          request.Class->TokenGap * static_cast<std::int64_t>(ended.Tokens);
      if (this->Options.Policy != gsPolicy::RoundRobin) {
        gsRecordLatency(
          this->PoolOf(request), this->IdOf(ended.Request), gsTime{},
          (now - request.Sent) / static_cast<std::int64_t>(ended.Tokens));
      }
    }
    ++result.Whole;
    result.LateFirst += first > request.Class->FirstToken ? 1 : 0;
    result.LateGap += gap > gsToSeconds(request.Class->TokenGap) ? 1 : 0;
    result.InTarget += inTarget ? 1 : 0;
    this->Result.Useful += ended.Tokens;
    request.At = Phase::Ended;
    --this->Open;
    this->Release(ended.Request, gsGrantOutcome::Completed, ended.Tokens, now);
  }

  /** Capacity counts while demand is there to use it. */
  void CountCapacity(gsTime now)
  {
    bool demanded = this->Next < this->Trace.Requests.size() &&
                    now > this->Trace.Requests.front().At;
    for (gsEngineModel const& engine : this->Engines) {
      if (demanded) {
        this->Result.Capacity +=
          engine.Speed * gsEngineCapacity() * gsToSeconds(Step);
      }
    }
  }

  gsTrace const& Trace;
  gsReplayOptions const& Options;
  std::vector<gsEngineModel> Engines;
  std::vector<gsPool> Pools;
  std::vector<std::deque<std::size_t>> Queues; ///< Round robin, by host.
  std::map<std::size_t, double> RunningAt;     ///< Round robin, by host.
  std::vector<Request> Requests;
  gsRetryBudget Budget;
  gsReplayResult Result;
  std::size_t Next = 0;
  std::size_t NextFault = 0;
  std::size_t NextEngine = 0;
  std::uint64_t Open = 0;
  gsTime NextReport{};
};

} // namespace

char const* gsPolicyWord(gsPolicy policy)
{
  switch (policy) {
    case gsPolicy::Gradescale:
      return "gradescale";
    case gsPolicy::OwnQueues:
      return "own queues";
    case gsPolicy::RoundRobin:
      break;
  }
  return "round robin";
}

gsReplayResult gsReplay(gsTrace const& trace, gsReplayOptions const& options)
{
  return Replay(trace, options).Run();
}

std::string gsReplayRows(gsTrace const& trace, std::string const& label,
                         gsReplayResult const& result)
{
  std::string text;
  for (gsTraceClass const& one : trace.Classes) {
    gsClassResult const& row = result.Classes.at(one.Name);
    double arrived = std::max<double>(1, static_cast<double>(row.Arrived));
    char line[256];
    std::snprintf(
      line, sizeof(line),
      "| %s | %s | %s | %llu | %.1f %% | %llu | %llu | %.1f %% | %.1f %% | "
      "%llu | %.1f s | "
      "%.1f %% | %.2f %% |\n",
      trace.Name.c_str(), label.c_str(), one.Name.c_str(),
      static_cast<unsigned long long>(row.Arrived),
      100 * static_cast<double>(row.InTarget) / arrived,
      static_cast<unsigned long long>(row.LateFirst),
      static_cast<unsigned long long>(row.LateGap),
      100 * static_cast<double>(row.Whole) / arrived,
      100 * static_cast<double>(row.Refused) / arrived,
      static_cast<unsigned long long>(row.Cut), gsToSeconds(row.LongestWait),
      100 * result.Useful / result.Capacity,
      100 * (result.Generated - result.Useful) / result.Generated);
    text += line;
  }
  return text;
}
