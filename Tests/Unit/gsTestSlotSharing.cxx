/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the sharing of a small service's slots by many hosts: a simulation
 * of hosts in several halls that exchange shares and tokens over links with
 * loss, delay and partitions, and of upstreams that reject what exceeds their
 * slots and a short queue.
 */
#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsRateLimit.h"

namespace {

constexpr gsTime Start = gsSeconds(1000);

struct SlotPlan
{
  std::size_t Halls = 3;
  std::size_t HostsPerHall = 26; // With the extra host 79.
  std::size_t ExtraHosts = 1;
  std::size_t Upstreams = 3;
  std::uint32_t Slots = 6;
  /** Requests that an upstream queues before it rejects. */
  std::uint32_t UpstreamQueue = 2;
  gsTime Work = gsMilliseconds(30);
  gsTime WaitLimit = gsMilliseconds(100); ///< Half of the target of 200 ms.
  double Demand = 140;                    ///< Requests per second, all hosts.
  /** Factor of the demand from BurstAt on, for BurstDuration. */
  double BurstFactor = 1;
  gsTime BurstAt = gsSeconds(4);
  gsTime BurstDuration = gsSeconds(6);
  double SlowShare = 0; ///< Upstreams that are 2.5 times slower for 600 ms.
  double Loss = 0;      ///< Fraction of messages that are lost.
  bool Kills = false;   ///< Hosts stop and restart without state.
  bool Freezes = false; ///< Hosts pause and then resume.
  bool Cuts = false;    ///< Halls are cut off repeatedly.
  /** Hall that is cut off for 6 s at 4 s; empty for none. */
  std::string CutHall;
  /** The relay of this hall is killed at 4 s; empty for none. */
  std::string KilledRelayHall;
  /** Upstream 0 rejects all requests from 4 s to 8 s. */
  bool IsOneUnavailable = false;
  /** Rejections in a second that an upstream bears, as all hosts know from the
   * start; one more crashes it. Empty if any number does not. */
  std::optional<double> MaxRejections;
  /** Requests that an upstream accepts at a time from RoomCutAt on; zero for
   * its slots and queue. */
  std::uint32_t Room = 0;
  gsTime RoomCutAt = gsSeconds(3);
  gsTime RestartTime = gsSeconds(3); ///< From a crash until it is back.
  gsTime Duration = gsSeconds(12);
};

/** Simulates hosts that share the slots of upstreams, event by event. */
class SlotSimulation
{
public:
  SlotSimulation(SlotPlan const& plan, std::uint64_t seed)
    : Plan(plan)
    , Random(seed)
  {
    std::size_t count = plan.Halls * plan.HostsPerHall + plan.ExtraHosts;
    this->Hosts.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      Host& host = this->Hosts[i];
      host.Name = "host" + std::to_string(i);
      host.Hall = "hall" + std::to_string(i % plan.Halls);
      this->Reset(host);
      this->At(Start + gsTime(this->Draw(0, 100'000)),
               [this, i] { this->PeriodicTick(i); });
    }
    this->Upstreams.resize(plan.Upstreams);
    for (std::size_t i = 0; i < plan.Upstreams; ++i) {
      this->Upstreams[i].Hall = "hall" + std::to_string(i % plan.Halls);
    }
  }

  void Run()
  {
    this->At(Start, [this] { this->NextRequest(); });
    this->At(Start, [this] { this->InjectFaults(); });
    gsTime end = Start + this->Plan.Duration;
    while (!this->Events.empty() && this->Events.top().At < end) {
      Event event = this->Events.top();
      this->Events.pop();
      this->Now = std::max(this->Now, event.At);
      event.Run();
    }
  }

  /** What happened from MeasuredFrom on. */
  struct Counts
  {
    std::size_t Requests = 0;
    std::size_t Arrivals = 0; ///< At upstreams that are available.
    std::size_t Rejected = 0; ///< By those.
    std::size_t Served = 0;
    std::size_t Falls = 0;  ///< Crashes under rejections.
    std::size_t InTime = 0; ///< Within two wait limits.
    std::size_t Refused = 0;
    std::vector<std::size_t> ServedBy;
    std::vector<gsTime> Waits; ///< From arrival until sent.
  };

  gsTime MeasuredFrom = Start + gsSeconds(2);
  Counts Count;
  /** Attempts at an upstream at a time, maximum since MeasuredFrom. */
  std::uint32_t MaxPresent = 0;
  std::size_t Messages = 0;

  gsTime WaitAt(double quantile)
  {
    std::vector<gsTime>& waits = this->Count.Waits;
    if (waits.empty()) {
      return {};
    }
    std::sort(waits.begin(), waits.end());
    return waits[static_cast<std::size_t>(
      quantile * static_cast<double>(waits.size() - 1))];
  }

  double RejectedShare() const
  {
    return static_cast<double>(this->Count.Rejected) /
           static_cast<double>(std::max<std::size_t>(1, this->Count.Arrivals));
  }

  double InTimeShare() const
  {
    return static_cast<double>(this->Count.InTime) /
           static_cast<double>(std::max<std::size_t>(1, this->Count.Requests));
  }

  std::string Summary()
  {
    std::string text = "requests " + std::to_string(this->Count.Requests) +
                       " served " + std::to_string(this->Count.Served) +
                       " in time " + std::to_string(this->Count.InTime) +
                       " refused " + std::to_string(this->Count.Refused) +
                       " arrivals " + std::to_string(this->Count.Arrivals) +
                       " rejected " + std::to_string(this->Count.Rejected) +
                       " falls " + std::to_string(this->Count.Falls) +
                       " max " + std::to_string(this->MaxPresent) +
                       " wait us " +
                       std::to_string(this->WaitAt(0.5).count()) + "/" +
                       std::to_string(this->WaitAt(0.99).count()) +
                       " messages " + std::to_string(this->Messages) + " by";
    for (std::size_t served : this->Count.ServedBy) {
      text += ' ' + std::to_string(served);
    }
    return text;
  }

private:
  struct Request
  {
    gsTime ArrivedAt{};
    gsTime WaitUntil{};
    std::vector<std::uint32_t> Awaited; ///< Upstreams; empty if not queued.
    std::vector<std::uint32_t> Tried;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Host
  {
    std::string Name;
    std::string Hall;
    gsRateLimits Limits;
    std::deque<RequestPtr> Queue;
    std::uint64_t Life = 0; ///< Incremented when it stops.
    gsTime DownUntil{};
    gsTime PausedUntil{};
    gsTime WakesAt{};
    gsTime NextMembershipUpdateAt{};
    gsTime StartedAt{};
  };

  struct Attempt
  {
    std::size_t HostIndex = 0;
    std::uint64_t Life = 0;
    RequestPtr Req;
    gsTime SentAt{};
  };

  struct Upstream
  {
    std::string Hall;
    std::uint32_t Running = 0;
    std::deque<Attempt> Queue;
    gsTime SlowUntil{};
    std::deque<gsTime> RejectedAt; ///< Within the last second.
    gsTime DownUntil{};
    std::uint64_t Life = 0; ///< Incremented when it crashes.
  };

  struct Event
  {
    gsTime At{};
    std::uint64_t Order = 0;
    std::function<void()> Run;

    friend bool operator<(Event const& a, Event const& b)
    {
      return std::tie(b.At, b.Order) < std::tie(a.At, a.Order);
    }
  };

  void At(gsTime at, std::function<void()> run)
  {
    this->Events.push({ at, this->NextOrder++, std::move(run) });
  }

  gsTime::rep Draw(gsTime::rep from, gsTime::rep to)
  {
    return std::uniform_int_distribution<gsTime::rep>(from, to)(this->Random);
  }

  bool DrawBool(double probability)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) <
           probability;
  }

  Host& RandomHost()
  {
    return this->Hosts[static_cast<std::size_t>(
      this->Draw(0, static_cast<gsTime::rep>(this->Hosts.size()) - 1))];
  }

  bool IsUp(Host const& host) const { return this->Now >= host.DownUntil; }
  bool IsMeasured() const { return this->Now >= this->MeasuredFrom; }

  bool IsCut(std::string const& a, std::string const& b) const
  {
    return a != b && this->Now < this->CutUntil &&
           (a == this->CutHall || b == this->CutHall);
  }

  void Reset(Host& host)
  {
    host.Limits = gsMakeSlotLimits();
    host.Limits.Roles.Self = host.Name;
    host.Queue.clear();
    host.NextMembershipUpdateAt = {};
    host.StartedAt = this->Now;
    ++host.Life;
  }

  void Kill(Host& host, gsTime duration)
  {
    this->Count.Refused += this->IsMeasured() ? host.Queue.size() : 0;
    this->Reset(host);
    host.DownUntil = this->Now + duration;
    host.StartedAt = host.DownUntil;
  }

  void Cut(std::string const& hall, gsTime duration)
  {
    this->CutHall = hall;
    this->CutUntil = this->Now + duration;
  }

  void InjectFaults()
  {
    constexpr gsTime interval = gsMilliseconds(50);
    this->At(this->Now + interval, [this] { this->InjectFaults(); });
    constexpr double probability = 0.02;
    if (this->Plan.Kills && this->DrawBool(probability)) {
      this->Kill(this->RandomHost(), gsTime(this->Draw(300'000, 3'000'000)));
    }
    if (this->Plan.Freezes && this->DrawBool(probability)) {
      this->RandomHost().PausedUntil =
        this->Now + gsTime(this->Draw(200'000, 3'000'000));
    }
    if (this->Plan.Cuts && this->Now >= this->CutUntil &&
        this->DrawBool(probability)) {
      this->Cut(this->RandomHost().Hall,
                gsTime(this->Draw(500'000, 4'000'000)));
    }
    bool isEvent = this->Now >= Start + gsSeconds(4) && !this->EventDone;
    if (isEvent) {
      this->EventDone = true;
      if (!this->Plan.CutHall.empty()) {
        this->Cut(this->Plan.CutHall, gsSeconds(6));
      }
      for (Host& host : this->Hosts) {
        if (host.Hall == this->Plan.KilledRelayHall) {
          this->Kill(host, gsSeconds(60));
          break;
        }
      }
    }
    for (Upstream& upstream : this->Upstreams) {
      // Slow for 600 ms, so that the share of slow upstreams is as planned.
      double perInterval = this->Plan.SlowShare / 12;
      if (this->Now >= upstream.SlowUntil && this->DrawBool(perInterval)) {
        upstream.SlowUntil = this->Now + gsMilliseconds(600);
      }
    }
  }

  /** Updates membership at random intervals, so that hosts disagree about it
   * temporarily. The first running host of a hall is its relay. */
  void UpdateMembership(Host& host)
  {
    if (this->Now < host.NextMembershipUpdateAt) {
      return;
    }
    host.NextMembershipUpdateAt = this->Now + gsTime(this->Draw(0, 1'500'000));
    gsRateRoles& roles = host.Limits.Roles;
    std::map<std::string, std::string> relays;
    for (Host const& other : this->Hosts) {
      if (this->IsUp(other) && !this->IsCut(host.Hall, other.Hall)) {
        relays.emplace(other.Hall, other.Name);
      }
    }
    roles.HallSize = this->Plan.HostsPerHall;
    roles.RecentPeakHosts = this->Hosts.size();
    roles.Relay = relays[host.Hall];
    roles.Relays.clear();
    if (roles.Relay == host.Name) {
      roles.Relays = relays;
    }
    std::unordered_map<std::uint32_t, std::uint32_t> slots;
    for (std::uint32_t i = 0; i < this->Plan.Upstreams; ++i) {
      slots[i] = this->Plan.Slots;
    }
    gsSetSharedSlots(host.Limits, slots, this->Now);
    if (this->Plan.MaxRejections) {
      std::unordered_map<std::uint32_t, double> limits;
      for (auto const& [upstream, count] : slots) {
        limits[upstream] = *this->Plan.MaxRejections;
      }
      gsSetRejectionLimits(host.Limits, limits, this->Now);
    }
  }

  void Send(std::size_t from, gsRateMessage const& message)
  {
    ++this->Messages;
    auto to = std::find_if(
      this->Hosts.begin(), this->Hosts.end(),
      [&message](Host const& host) { return host.Name == message.Receiver; });
    Host const& sender = this->Hosts[from];
    if (to == this->Hosts.end() || this->DrawBool(this->Plan.Loss) ||
        this->IsCut(sender.Hall, to->Hall)) {
      return;
    }
    gsTime delay = sender.Hall == to->Hall ? gsTime(this->Draw(80, 300))
                                           : gsTime(this->Draw(900, 2000));
    auto index = static_cast<std::size_t>(to - this->Hosts.begin());
    std::string const& name = sender.Name;
    this->AtHost(index, this->Now + delay, [this, index, message, name] {
      Host& receiver = this->Hosts[index];
      if (message.Share) {
        gsApplyRateShare(receiver.Limits, name, *message.Share, this->Now);
      }
      if (message.Tokens) {
        gsApplyRateTokens(receiver.Limits, name, *message.Tokens, this->Now);
      }
      this->TickHost(index);
    });
  }

  /** Runs at a host: not while it is paused, and not if it has stopped. */
  void AtHost(std::size_t index, gsTime at, std::function<void()> const& run)
  {
    std::uint64_t life = this->Hosts[index].Life;
    this->At(at, [this, index, life, run] {
      Host& host = this->Hosts[index];
      if (host.Life != life || !this->IsUp(host)) {
        return;
      }
      if (this->Now < host.PausedUntil) {
        this->AtHost(index, host.PausedUntil, run);
      } else {
        run();
      }
    });
  }

  void PeriodicTick(std::size_t index)
  {
    Host& host = this->Hosts[index];
    gsTime next = this->Now + gsMilliseconds(100);
    this->At(std::max(next, host.PausedUntil),
             [this, index] { this->PeriodicTick(index); });
    if (this->IsUp(host) && this->Now >= host.PausedUntil) {
      this->TickHost(index);
    }
  }

  void TickHost(std::size_t index)
  {
    Host& host = this->Hosts[index];
    this->UpdateMembership(host);
    this->ExpireWaits(host);
    for (gsRateMessage const& message :
         gsRateLimitTick(host.Limits, this->Now)) {
      this->Send(index, message);
    }
    std::size_t granted =
      std::exchange(host.Limits.GrantedUpstreams, {}).size();
    for (std::size_t i = 0; i < granted && !host.Queue.empty(); ++i) {
      RequestPtr request = host.Queue.front();
      host.Queue.pop_front();
      this->EndWait(host, *request);
      this->Place(index, request);
    }
    std::optional<gsTime> due = gsNextRateLimitTick(host.Limits, this->Now);
    if (due) {
      gsTime at = std::max(*due, this->Now + gsMilliseconds(1));
      bool isScheduled = host.WakesAt > this->Now && host.WakesAt <= at;
      if (!isScheduled) {
        host.WakesAt = at;
        this->AtHost(index, at, [this, index] { this->TickHost(index); });
      }
    }
  }

  void UpdateDemand(Host& host, std::uint32_t upstream, gsTime until)
  {
    auto count =
      std::count_if(host.Queue.begin(), host.Queue.end(),
                    [upstream](RequestPtr const& request) {
                      auto const& awaited = request->Awaited;
                      return std::find(awaited.begin(), awaited.end(),
                                       upstream) != awaited.end();
                    });
    gsRequestTokens(host.Limits, upstream, static_cast<std::uint32_t>(count),
                    until, this->Now);
  }

  void EndWait(Host& host, Request& request)
  {
    for (std::uint32_t upstream : std::exchange(request.Awaited, {})) {
      this->UpdateDemand(host, upstream, {});
    }
  }

  void ExpireWaits(Host& host)
  {
    while (!host.Queue.empty() && host.Queue.front()->WaitUntil <= this->Now) {
      RequestPtr request = host.Queue.front();
      host.Queue.pop_front();
      this->EndWait(host, *request);
      this->Refuse(*request);
    }
  }

  void Refuse(Request const& request)
  {
    this->Count.Refused += request.ArrivedAt >= this->MeasuredFrom ? 1 : 0;
  }

  double CurrentDemand() const
  {
    bool inBurst =
      this->Now >= Start + this->Plan.BurstAt &&
      this->Now < Start + this->Plan.BurstAt + this->Plan.BurstDuration;
    return this->Plan.Demand * (inBurst ? this->Plan.BurstFactor : 1);
  }

  void NextRequest()
  {
    std::exponential_distribution<double> interval(this->CurrentDemand());
    this->At(this->Now + gsFromSeconds(interval(this->Random)),
             [this] { this->NextRequest(); });
    Host& host = this->RandomHost();
    if (!this->IsUp(host) || this->Now < host.PausedUntil ||
        this->Now < host.StartedAt + gsMilliseconds(300)) {
      return;
    }
    auto request = std::make_shared<Request>();
    request->ArrivedAt = this->Now;
    request->WaitUntil = this->Now + this->Plan.WaitLimit;
    this->Count.Requests += this->IsMeasured() ? 1 : 0;
    auto index = static_cast<std::size_t>(&host - this->Hosts.data());
    this->Place(index, request);
    this->TickHost(index);
  }

  bool IsUsable(Host const& host, Request const& request,
                std::uint32_t upstream) const
  {
    return !this->IsCut(host.Hall, this->Upstreams[upstream].Hall) &&
           this->Now >= this->Upstreams[upstream].DownUntil &&
           std::find(request.Tried.begin(), request.Tried.end(), upstream) ==
             request.Tried.end();
  }

  /** Places a request as the gateway does. */
  void Place(std::size_t index, RequestPtr const& request)
  {
    Host& host = this->Hosts[index];
    std::vector<std::uint32_t> usable;
    for (std::uint32_t i = 0; i < this->Plan.Upstreams; ++i) {
      if (this->IsUsable(host, *request, i)) {
        usable.push_back(i);
      }
    }
    std::shuffle(usable.begin(), usable.end(), this->Random);
    for (std::uint32_t upstream : usable) {
      if (gsHasToken(host.Limits, upstream, this->Now)) {
        this->SendAttempt(index, upstream, request);
        return;
      }
    }
    auto wait = [&](std::uint32_t upstream) {
      return gsExpectedTokenWait(host.Limits, upstream, host.Queue.size(),
                                 this->Now);
    };
    std::stable_sort(
      usable.begin(), usable.end(),
      [&](std::uint32_t a, std::uint32_t b) { return wait(a) < wait(b); });
    if (usable.empty() ||
        this->Now + wait(usable.front()) > request->WaitUntil) {
      this->Refuse(*request);
      return;
    }
    if (wait(usable.front()).count() == 0) {
      usable.resize(1);
    }
    request->Awaited = usable;
    host.Queue.push_back(request);
    for (std::uint32_t upstream : usable) {
      this->UpdateDemand(host, upstream, request->WaitUntil);
    }
  }

  void SendAttempt(std::size_t index, std::uint32_t upstream,
                   RequestPtr const& request)
  {
    Host& host = this->Hosts[index];
    ASSERT_TRUE(gsSpendToken(host.Limits, upstream, this->Now));
    if (request->ArrivedAt >= this->MeasuredFrom) {
      this->Count.Waits.push_back(this->Now - request->ArrivedAt);
    }
    Attempt attempt{ index, host.Life, request, this->Now };
    this->At(this->Now + this->LinkDelay(host.Hall, upstream),
             [this, upstream, attempt] { this->Arrive(upstream, attempt); });
  }

  gsTime LinkDelay(std::string const& hall, std::uint32_t upstream)
  {
    return hall == this->Upstreams[upstream].Hall
             ? gsTime(this->Draw(80, 300))
             : gsTime(this->Draw(900, 2000));
  }

  void Arrive(std::uint32_t number, Attempt const& attempt)
  {
    Upstream& upstream = this->Upstreams[number];
    bool isUnavailable = this->Plan.IsOneUnavailable && number == 0 &&
                         this->Now >= Start + gsSeconds(4) &&
                         this->Now < Start + gsSeconds(8);
    bool isCounted = this->IsMeasured() && !isUnavailable;
    this->Count.Arrivals += isCounted ? 1 : 0;
    if (this->Now < upstream.DownUntil) {
      this->EndAttempt(number, attempt, false);
      return;
    }
    auto present =
      static_cast<std::uint32_t>(upstream.Running + upstream.Queue.size());
    if (isUnavailable || present >= this->RoomNow()) {
      this->Count.Rejected += isCounted ? 1 : 0;
      this->EndAttempt(number, attempt, false, true);
      this->RecordRejection(number);
      return;
    }
    if (this->IsMeasured()) {
      this->MaxPresent = std::max(this->MaxPresent, present + 1);
    }
    upstream.Queue.push_back(attempt);
    this->StartWork(number);
  }

  /** Requests that an upstream accepts at a time. */
  std::uint32_t RoomNow() const
  {
    bool isCut =
      this->Plan.Room > 0 && this->Now >= Start + this->Plan.RoomCutAt;
    return isCut ? this->Plan.Room
                 : this->Plan.Slots + this->Plan.UpstreamQueue;
  }

  /** Crashes an upstream that has rejected too many requests in a second. */
  void RecordRejection(std::uint32_t number)
  {
    Upstream& upstream = this->Upstreams[number];
    upstream.RejectedAt.push_back(this->Now);
    while (this->Now - upstream.RejectedAt.front() > gsSeconds(1)) {
      upstream.RejectedAt.pop_front();
    }
    bool isBorne = !this->Plan.MaxRejections ||
                   static_cast<double>(upstream.RejectedAt.size()) <=
                     *this->Plan.MaxRejections ||
                   this->Now < Start + this->Plan.RoomCutAt;
    if (isBorne) {
      return;
    }
    ++this->Count.Falls;
    ++upstream.Life;
    upstream.DownUntil = this->Now + this->Plan.RestartTime;
    upstream.RejectedAt.clear();
    upstream.Running = 0;
    for (Attempt const& lost : std::exchange(upstream.Queue, {})) {
      this->EndAttempt(number, lost, false);
    }
  }

  void StartWork(std::uint32_t number)
  {
    Upstream& upstream = this->Upstreams[number];
    std::uint32_t slots = std::min(this->Plan.Slots, this->RoomNow());
    if (upstream.Running >= slots || upstream.Queue.empty()) {
      return;
    }
    Attempt attempt = upstream.Queue.front();
    upstream.Queue.pop_front();
    ++upstream.Running;
    constexpr double slowFactor = 2.5;
    double factor = this->Now < upstream.SlowUntil ? slowFactor : 1;
    gsTime end =
      this->Now + gsFromSeconds(factor * gsToSeconds(this->Plan.Work));
    std::uint64_t life = upstream.Life;
    this->At(end, [this, number, attempt, life] {
      if (this->Upstreams[number].Life != life) {
        this->EndAttempt(number, attempt, false); // Lost in a crash.
        return;
      }
      --this->Upstreams[number].Running;
      this->EndAttempt(number, attempt, true);
      this->StartWork(number);
    });
  }

  void EndAttempt(std::uint32_t number, Attempt const& attempt, bool served,
                  bool isRejected = false)
  {
    std::size_t index = attempt.HostIndex;
    if (this->Hosts[index].Life != attempt.Life) {
      return;
    }
    gsTime at = this->Now + this->LinkDelay(this->Hosts[index].Hall, number);
    this->AtHost(
      index, at, [this, index, number, attempt, served, isRejected] {
        Host& host = this->Hosts[index];
        gsReturnToken(host.Limits, number, this->Now - attempt.SentAt,
                      this->Now);
        if (isRejected) {
          gsRecordSlotRejection(host.Limits, number, this->Now);
        }
        Request& request = *attempt.Req;
        if (served && request.ArrivedAt >= this->MeasuredFrom) {
          ++this->Count.Served;
          this->Count.ServedBy.resize(this->Plan.Upstreams);
          ++this->Count.ServedBy[number];
          this->Count.InTime +=
            this->Now - request.ArrivedAt <= 2 * this->Plan.WaitLimit ? 1 : 0;
        } else if (!served && request.Tried.empty()) {
          request.Tried.push_back(number);
          this->Place(index, attempt.Req);
        } else if (!served) {
          this->Refuse(request);
        }
        this->TickHost(index);
      });
  }

  SlotPlan Plan;
  gsRandom Random;
  gsTime Now = Start;
  std::vector<Host> Hosts;
  std::vector<Upstream> Upstreams;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  std::string CutHall;
  gsTime CutUntil{};
  bool EventDone = false;
};

constexpr std::uint32_t Shared = 7; ///< Hash of an upstream.

/** The hosts of one hall, whose relay is the distributor of an upstream. */
class Hall
{
public:
  explicit Hall(std::uint32_t slots, std::size_t peakHosts = 3)
  {
    for (std::string const name : { "relay", "a", "b" }) {
      gsRateLimits& limits = this->Hosts[name];
      limits = gsMakeSlotLimits();
      limits.Settings.EnforcementDelay = {};
      limits.Roles.Self = name;
      limits.Roles.Relay = "relay";
      limits.Roles.HallSize = 3;
      limits.Roles.RecentPeakHosts = peakHosts;
      if (name == "relay") {
        limits.Roles.Relays = { { "north", "relay" } };
      }
      gsSetSharedSlots(limits, { { Shared, slots } }, this->Now);
    }
    this->RunFor(gsSeconds(1));
  }

  gsLimitedUpstream& At(std::string const& name)
  {
    return this->Hosts[name].Upstreams.at(Shared);
  }

  void RunFor(gsTime duration)
  {
    constexpr gsTime step = gsMilliseconds(1);
    for (gsTime end = this->Now + duration; this->Now < end;
         this->Now += step) {
      for (auto& [name, limits] : this->Hosts) {
        for (gsRateMessage const& message :
             gsRateLimitTick(limits, this->Now)) {
          this->Deliver(name, message);
        }
      }
    }
  }

  void Request(std::string const& name, std::uint32_t count = 1)
  {
    gsRequestTokens(this->Hosts[name], Shared, count,
                    this->Now + gsMilliseconds(100), this->Now);
    this->RunFor(gsMilliseconds(12));
  }

  bool Begin(std::string const& name)
  {
    return gsSpendToken(this->Hosts[name], Shared, this->Now);
  }

  void End(std::string const& name)
  {
    gsReturnToken(this->Hosts[name], Shared, gsMilliseconds(30), this->Now);
  }

  bool HasToken(std::string const& name)
  {
    return gsHasToken(this->Hosts[name], Shared, this->Now);
  }

  gsTime Now = Start;
  std::map<std::string, gsRateLimits> Hosts;
  std::vector<std::string> Silent; ///< Hosts that neither send nor receive.

private:
  void Deliver(std::string const& from, gsRateMessage const& message)
  {
    auto isSilent = [this](std::string const& name) {
      return std::find(this->Silent.begin(), this->Silent.end(), name) !=
             this->Silent.end();
    };
    if (isSilent(from) || isSilent(message.Receiver)) {
      return;
    }
    gsRateLimits& receiver = this->Hosts.at(message.Receiver);
    if (message.Share) {
      gsApplyRateShare(receiver, from, *message.Share, this->Now);
    }
    if (message.Tokens) {
      gsApplyRateTokens(receiver, from, *message.Tokens, this->Now);
    }
  }
};

/** Arrivals rejected by healthy upstreams; the objective of the design. */
constexpr double MaxRejectedShare = 1.0 / 200;

/** Whether to print what each simulation measured. */
bool IsVerbose()
{
  return std::getenv("GRADESCALE_SHOW_SLOTS") != nullptr;
}

void Show(char const* load, std::uint64_t seed, SlotSimulation& simulation)
{
  if (IsVerbose()) {
    std::printf("%s seed %lu: %s\n", load, static_cast<unsigned long>(seed),
                simulation.Summary().c_str());
  }
}

} // namespace

// Guards against rejections because hosts learn late which slots are in use.
TEST(SlotSharingLoad, ThreeUpstreamsOfSixSlotsSharedBy79Hosts)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SlotSimulation simulation({}, seed);
    simulation.Run();
    Show("79 hosts", seed, simulation);
    EXPECT_LT(simulation.RejectedShare(), MaxRejectedShare) << seed;
    EXPECT_GT(simulation.InTimeShare(), 0.99) << seed;
    EXPECT_LT(simulation.WaitAt(0.5), gsMilliseconds(8)) << seed;
  }
}

// Guards against rejections and unused slots in a burst while some upstreams
// are slow.
TEST(SlotSharingLoad, BurstOf2_4TimesWithSlowUpstreams)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SlotPlan plan;
    plan.BurstFactor = 2.4;
    plan.SlowShare = 0.15;
    SlotSimulation simulation(plan, seed);
    simulation.Run();
    Show("burst", seed, simulation);
    EXPECT_LT(simulation.RejectedShare(), MaxRejectedShare) << seed;
    EXPECT_GT(simulation.InTimeShare(), 0.9) << seed;
  }
}

// Guards against losses at the other upstreams when one rejects everything.
TEST(SlotSharingLoad, OneUpstreamUnavailable)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SlotPlan plan;
    plan.IsOneUnavailable = true;
    SlotSimulation simulation(plan, seed);
    simulation.Run();
    Show("unavailable", seed, simulation);
    EXPECT_LT(simulation.RejectedShare(), MaxRejectedShare) << seed;
    EXPECT_GT(simulation.InTimeShare(), 0.95) << seed;
  }
}

// Guards against a hall that uses all slots, or none, when it is cut off.
TEST(SlotSharingLoad, HallCutOff)
{
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    for (std::string const hall : { "hall0", "hall1", "hall2" }) {
      SlotPlan plan;
      plan.CutHall = hall;
      SlotSimulation simulation(plan, seed);
      simulation.Run();
      Show("cut", seed, simulation);
      EXPECT_LT(simulation.RejectedShare(), MaxRejectedShare) << seed;
      EXPECT_GT(simulation.InTimeShare(), 0.7) << seed;
    }
  }
}

// Guards against an outage of the service when a distributor fails.
TEST(SlotSharingFailure, DistributorIsKilled)
{
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    for (std::string const hall : { "hall0", "hall1", "hall2" }) {
      SlotPlan plan;
      plan.KilledRelayHall = hall;
      SlotSimulation simulation(plan, seed);
      simulation.Run();
      Show("relay killed", seed, simulation);
      EXPECT_LT(simulation.RejectedShare(), MaxRejectedShare) << seed;
      EXPECT_GT(simulation.InTimeShare(), 0.85) << seed;
    }
  }
}

// Guards against exceeding the slots when hosts disagree about the issuer.
TEST(SlotSharingFailure, StaysWithinSlotsUnderLossKillsFreezesAndCuts)
{
  std::size_t arrivals = 0;
  std::size_t rejected = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SlotPlan plan;
    plan.HostsPerHall = 4;
    plan.ExtraHosts = 0;
    plan.Slots = 3;
    plan.UpstreamQueue = 100;
    plan.Demand = 150;
    plan.Loss = seed % 3 == 0 ? 0.02 : 0;
    plan.Kills = seed % 2 == 0;
    plan.Cuts = seed % 5 < 3;
    plan.Freezes = seed % 7 < 3;
    SlotSimulation simulation(plan, seed);
    simulation.Run();
    Show("faults", seed, simulation);
    arrivals += simulation.Count.Arrivals;
    rejected += simulation.Count.Rejected;
    EXPECT_LE(simulation.MaxPresent, plan.Slots + plan.Halls)
      << "seed " << seed;
    EXPECT_GT(simulation.Count.Served, simulation.Count.Requests / 4)
      << "seed " << seed;
  }
  EXPECT_LT(rejected * 200, arrivals);
}

// Guards against more attempts than slots, and against slots that stay unused.
TEST(SlotSharingTokens, ReturnedSlotIsIssuedToTheHostThatWaits)
{
  Hall hall(1);
  hall.Request("a");
  ASSERT_TRUE(hall.Begin("a"));
  hall.Request("b");
  EXPECT_FALSE(hall.HasToken("b"));
  hall.End("a");
  hall.RunFor(gsMilliseconds(12));
  EXPECT_TRUE(hall.Begin("b"));
}

// Guards against a round trip for each request of an idle service.
TEST(SlotSharingTokens, HostKeepsATokenForASecondWhileEnoughAreFree)
{
  Hall hall(6);
  hall.Request("a");
  ASSERT_TRUE(hall.Begin("a"));
  hall.End("a");
  hall.RunFor(gsMilliseconds(900));
  EXPECT_TRUE(hall.HasToken("a"));
  hall.RunFor(gsMilliseconds(150));
  EXPECT_FALSE(hall.HasToken("a"));
  EXPECT_EQ(gsLentSlots(hall.At("relay"), hall.Now), 0U);
}

// Guards against slots that idle hosts keep while others wait.
TEST(SlotSharingTokens, KeptTokensAreReturnedWhenOthersWait)
{
  Hall hall(3);
  hall.Request("a");
  ASSERT_TRUE(hall.Begin("a"));
  hall.End("a");
  hall.RunFor(gsMilliseconds(10));
  ASSERT_TRUE(hall.HasToken("a"));
  hall.Request("b", 3);
  EXPECT_TRUE(hall.Begin("b"));
  EXPECT_TRUE(hall.Begin("b"));
  EXPECT_TRUE(hall.Begin("b"));
  EXPECT_FALSE(hall.HasToken("a"));
}

// Guards against slots that are lost with the host that holds them.
TEST(SlotSharingFailure, SlotsOfAHostThatIsGoneEndWithTheirLifetime)
{
  Hall hall(1);
  hall.Request("a");
  ASSERT_TRUE(hall.Begin("a"));
  hall.Silent = { "a" };
  hall.RunFor(gsMilliseconds(1500));
  hall.Request("b");
  EXPECT_FALSE(hall.HasToken("b"));
  hall.RunFor(gsMilliseconds(900));
  hall.Request("b");
  EXPECT_TRUE(hall.HasToken("b"));
}

// Guards against a slot that stays counted when the message with it was lost.
TEST(SlotSharingFailure, LostSlotIsIssuedAgain)
{
  Hall hall(1);
  gsRequestTokens(hall.Hosts["a"], Shared, 1, hall.Now + gsSeconds(1),
                  hall.Now);
  for (gsRateMessage const& message :
       gsRateLimitTick(hall.Hosts["a"], hall.Now)) {
    gsApplyRateShare(hall.Hosts["relay"], "a", *message.Share, hall.Now);
  }
  gsRateLimitTick(hall.Hosts["relay"], hall.Now); // The reply is lost.
  EXPECT_EQ(gsLentSlots(hall.At("relay"), hall.Now), 1U);
  hall.RunFor(gsMilliseconds(600));
  EXPECT_EQ(hall.Hosts["a"].GrantedUpstreams.size(), 1U);
}

// Guards against a new relay that issues slots which are in use already.
TEST(SlotSharingFailure, RestartedRelayCountsTheSlotsThatHostsReport)
{
  Hall hall(2);
  hall.Request("a", 2);
  ASSERT_TRUE(hall.Begin("a"));
  ASSERT_TRUE(hall.Begin("a"));
  gsRateRoles const roles = hall.Hosts["relay"].Roles;
  gsRateLimits& relay = hall.Hosts["relay"];
  relay = gsMakeSlotLimits();
  relay.Roles = roles;
  gsSetSharedSlots(relay, { { Shared, 2 } }, hall.Now);
  hall.RunFor(gsMilliseconds(400));
  hall.Request("b");
  EXPECT_FALSE(hall.HasToken("b"));
  hall.End("a");
  hall.RunFor(gsMilliseconds(12));
  EXPECT_TRUE(hall.HasToken("b"));
}

// Guards against hosts that stop, or use all slots, without a relay.
TEST(SlotSharingFailure, HostWithoutRelayUsesItsShare)
{
  constexpr std::size_t hosts = 12;
  Hall hall(6, hosts);
  hall.Silent = { "a" };
  hall.RunFor(gsSeconds(3));
  int attempts = 0;
  for (int i = 0; i < 500; ++i) {
    hall.Request("a");
    if (hall.HasToken("a") && hall.Begin("a")) {
      ++attempts;
      hall.RunFor(gsMilliseconds(30));
      hall.End("a");
    }
  }
  // Its share of half a slot allows 5 attempts of 100 ms per second, at least
  // twice the measured duration. The loop takes 6 s without attempts.
  EXPECT_GE(attempts, 20);
  EXPECT_LE(attempts, 70);
}

// Guards against enforcement before the shares have been lent.
TEST(SlotSharingTokens, AttemptsNeedNoTokenWhileSharingBegins)
{
  gsRateLimits limits = gsMakeSlotLimits();
  gsSetSharedSlots(limits, { { Shared, 6 } }, Start);
  EXPECT_TRUE(gsHasToken(limits, Shared, Start + gsMilliseconds(900)));
  EXPECT_FALSE(gsHasToken(limits, Shared, Start + gsSeconds(1)));
  EXPECT_TRUE(gsSetSharedSlots(limits, {}, Start));
  EXPECT_TRUE(gsHasToken(limits, Shared, Start + gsSeconds(1)));
}

// Guards against a dry run that delays attempts or hides what it would do.
TEST(SlotSharingTokens, DryRunCountsAttemptsWithoutToken)
{
  gsRateLimits limits = gsMakeSlotLimits();
  limits.IsEnforced = false;
  gsSetSharedSlots(limits, { { Shared, 1 } }, Start);
  gsTime now = Start + gsSeconds(2);
  EXPECT_TRUE(gsHasToken(limits, Shared, now));
  EXPECT_FALSE(gsHasUnreservedToken(limits, Shared, now));
  EXPECT_TRUE(gsSpendToken(limits, Shared, now));
  EXPECT_TRUE(gsSpendToken(limits, Shared, now));
  EXPECT_EQ(limits.Upstreams.at(Shared).Slots.SentWithoutToken, 2U);
}

// Guards against a reserved slot that another attempt takes, or that is
// returned before the attempt is sent.
TEST(SlotSharingTokens, ReservedSlotIsKeptUntilTheAttemptIsSentOrAbandoned)
{
  Hall hall(1);
  hall.Request("a");
  ASSERT_TRUE(gsReserveToken(hall.Hosts["a"], Shared, hall.Now));
  hall.RunFor(gsMilliseconds(300));
  EXPECT_FALSE(hall.HasToken("a"));
  EXPECT_EQ(hall.At("a").Tokens.size(), 1U);
  gsAbandonToken(hall.Hosts["a"], Shared, hall.Now);
  EXPECT_TRUE(hall.HasToken("a"));
  hall.RunFor(gsMilliseconds(100));
  EXPECT_EQ(hall.At("a").Tokens.size(), 0U);
  hall.Request("b");
  EXPECT_TRUE(hall.HasToken("b"));
}

// Guards against requests at upstreams without a slot, and against a cause
// that names no time.
TEST(SlotSharingPlacement, SkipsUpstreamWithoutSlot)
{
  gsFleet fleet = gsFleetCases::MakeFleet(2);
  gsTime const now = gsFleetCases::Now;
  std::uint32_t const shared = gsFleetFind(fleet, "u0")->Hash;
  fleet.SlotLimits.Settings.EnforcementDelay = {};
  gsSetSharedSlots(fleet.SlotLimits, { { shared, 2 } }, now);
  gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts = 8; // Higher cost.
  gsRandom random(1);
  gsPlacement placement =
    gsPlaceRequest(fleet, gsFleetCases::MakeLongRequest(), now, random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_EQ(placement.Row->Listed.Id, "u1");
  ASSERT_NE(placement.RateLimitedRow, nullptr);
  EXPECT_EQ(placement.RateLimitedRow->Listed.Id, "u0");
  fleet.SlotLimits.Upstreams[shared].Tokens = { now + gsSeconds(1) };
  placement =
    gsPlaceRequest(fleet, gsFleetCases::MakeLongRequest(), now, random);
  EXPECT_EQ(placement.Row->Listed.Id, "u0");
}

namespace {

/** Upstreams that crash under rejections, before nine hosts. */
SlotPlan BrittlePlan(double maxRejections)
{
  SlotPlan plan;
  plan.HostsPerHall = 3;
  plan.ExtraHosts = 0;
  plan.Upstreams = 9;
  plan.Slots = 16;
  plan.Work = gsMilliseconds(200);
  plan.WaitLimit = gsMilliseconds(200);
  plan.UpstreamQueue = 8;
  plan.Room = 16;
  plan.MaxRejections = maxRejections;
  plan.Demand = 1.4 * 9 * 16 / 0.2;
  return plan;
}

/** Falls that the rule allows. */
std::size_t AllowedFalls(SlotPlan const& plan)
{
  return 2 + plan.Upstreams / 10;
}

/** Seeds of a plan that breaks the rule; prints what each measured. */
std::size_t CountBroken(char const* name, SlotPlan const& plan,
                        std::uint64_t seeds)
{
  std::size_t broken = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SlotSimulation simulation(plan, seed);
    simulation.Run();
    Show(name, seed, simulation);
    broken += simulation.Count.Falls > AllowedFalls(plan) ? 1 : 0;
  }
  return broken;
}

/** Share of the work that the upstreams can do, by requests that arrived in
 * the time measured; those that run at its end are not served yet. */
double UseOf(SlotPlan const& plan, SlotSimulation const& simulation)
{
  double seconds =
    gsToSeconds(Start + plan.Duration - simulation.MeasuredFrom - plan.Work);
  double perSecond =
    static_cast<double>(plan.Upstreams * plan.Room) / gsToSeconds(plan.Work);
  return static_cast<double>(simulation.Count.Served) / (seconds * perSecond);
}

/** Seeds of each case: a few in CI, more by environment. */
std::uint64_t SeedCount()
{
  char const* text = std::getenv("GRADESCALE_SEEDS");
  return text == nullptr ? 2 : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against hosts that each keep within the room of upstreams, and
// together make them crash.
TEST(SlotSharingBrittle, NineHostsUseTheRoomWithoutFalls)
{
  SlotPlan const plan = BrittlePlan(3);
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    SlotSimulation simulation(plan, seed);
    simulation.MeasuredFrom = Start + gsSeconds(4);
    simulation.Run();
    Show("brittle", seed, simulation);
    EXPECT_LE(simulation.Count.Falls, AllowedFalls(plan)) << seed;
    EXPECT_GE(UseOf(plan, simulation), 0.95) << seed;
  }
}

// Guards against crashes in a burst while the room halves.
TEST(SlotSharingBrittle, BurstWhileTheRoomHalves)
{
  SlotPlan plan = BrittlePlan(3);
  plan.Room = 8;
  plan.BurstFactor = 2.7;
  plan.BurstAt = plan.RoomCutAt;
  EXPECT_EQ(CountBroken("halved", plan, SeedCount()), 0U);
}

// Guards against crashes where no rejection is borne.
TEST(SlotSharingBrittle, NoRejectionIsBorne)
{
  EXPECT_EQ(CountBroken("none borne", BrittlePlan(0), SeedCount()), 0U);
}

// Guards against hosts of a hall that is cut off which use the room twice.
TEST(SlotSharingBrittle, AHallIsCutOff)
{
  SlotPlan plan = BrittlePlan(3);
  plan.CutHall = "hall1";
  EXPECT_EQ(CountBroken("cut", plan, SeedCount()), 0U);
}

// Guards against crashes of a small service before many hosts.
TEST(SlotSharingBrittle, ThreeUpstreamsOfSixSlotsBefore79Hosts)
{
  SlotPlan plan;
  plan.Room = 6;
  plan.MaxRejections = 3;
  plan.Demand = 800;
  EXPECT_EQ(CountBroken("79 hosts", plan, SeedCount()), 0U);
}

// Guards against crashes while messages are lost and hosts are killed, freeze
// and are cut off.
TEST(SlotSharingBrittle, FaultsOfAllKinds)
{
  SlotPlan plan = BrittlePlan(3);
  plan.Loss = 0.05;
  plan.Kills = true;
  plan.Freezes = true;
  plan.Cuts = true;
  EXPECT_EQ(CountBroken("faults", plan, SeedCount()), 0U);
}
