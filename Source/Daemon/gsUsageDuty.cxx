/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUsageDuty.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

#include "gsLog.h"
#include "gsLoop.h"

namespace {

/** A host that is killed takes what it counted in this time along: of a tenth
 * of the hosts, 0.4 % of a window of 5 s. */
constexpr gsTime TellPeriod = gsMilliseconds(400);
/** All is told again so often, as a word may be lost with its link. */
constexpr gsTime TellRefresh = gsSeconds(2);
/** What hosts tell is that old, at most, when their hall's sum is made. */
constexpr gsTime TellLag = gsMilliseconds(900);
constexpr gsTime CallPatience = gsMilliseconds(1200);
constexpr gsTime ConnectPatience = gsMilliseconds(400);
/** Silence of the platform's duty calls after which another host may try. */
constexpr gsTime UnansweredMost = gsSeconds(4);

/** The key of a window's row; keys rise with windows. */
std::string RowKey(std::uint64_t window)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%020llu",
                static_cast<unsigned long long>(window));
  return text;
}

/** Reads what a window's row holds; absent for a row that none of us wrote. */
std::optional<gsUsageCounts> ReadCounts(std::string const& value)
{
  nlohmann::json counts = nlohmann::json::parse(value, nullptr, false);
  if (!counts.is_object()) {
    return std::nullopt;
  }
  gsUsageCounts read;
  for (auto const& [organisation, count] : counts.items()) {
    if (!count.is_number_unsigned()) {
      return std::nullopt;
    }
    read[organisation] = count.get<std::uint64_t>();
  }
  return read;
}

std::uint64_t Total(gsUsageCounts const& counts)
{
  std::uint64_t sum = 0;
  for (auto const& [organisation, count] : counts) {
    sum += count;
  }
  return sum;
}

gsUsageWindows FromWire(gradescale::UsageNews const& wire)
{
  gsUsageWindows windows;
  for (gradescale::UsageWindow const& window : wire.windows()) {
    for (gradescale::UsageCount const& count : window.counts()) {
      windows[window.window()][count.organisation()] = count.count();
    }
  }
  return windows;
}

char const* AnswerWord(gsDutyAnswer answer)
{
  switch (answer) {
    case gsDutyAnswer::Taken:
      return "taken";
    case gsDutyAnswer::HigherToken:
      return "higher_token";
    case gsDutyAnswer::NoneThere:
      return "none_there";
    case gsDutyAnswer::TurnedAway:
      return "turned_away";
    case gsDutyAnswer::NoAnswer:
      break;
  }
  return "no_answer";
}

} // namespace

gsUsageDuty::gsUsageDuty(gsHttpClient& client, gsAdapter const& adapter,
                         gsSettings const& settings, gsMetrics& metrics,
                         gsLeaseKeeper& lease, gsClockAgreement const& clocks,
                         std::uint64_t incarnation)
  : Client(client)
  , Adapter(adapter)
  , Settings(settings)
  , Metrics(metrics)
  , Lease(lease)
  , Clocks(clocks)
  , Source(settings.Host + "#" + std::to_string(incarnation))
{
  this->State.Settings.Window = settings.Duties.Window;
  this->State.Settings.Late = settings.Duties.Late;
}

gsUsageDuty::~gsUsageDuty()
{
  if (this->Call != 0) {
    this->Client.Cancel(this->Call);
  }
}

bool gsUsageDuty::Coordinates(gsTime now) const
{
  return gsHallCoordinates(this->Cluster->Members(), now);
}

gsWallTime gsUsageDuty::TrueNow(gsTime now) const
{
  return gsClockNow(this->Clocks, static_cast<gsWallTime>(gsWallMicros()),
                    this->Coordinates(now), now);
}

void gsUsageDuty::Count(std::string const& organisation, gsTime began)
{
  if (organisation.empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  gsWallTime then = this->TrueNow(now) - (now - began).count();
  std::uint64_t window = gsUsageWindowOf(then, this->Settings.Duties.Window);
  gsUsageCount(this->Own, this->Source, window, organisation);
}

void gsUsageDuty::Hear(std::string const& host, gradescale::Frame const& frame)
{
  gsTime now = gsLoop::Now();
  std::string source = host + "#" + std::to_string(frame.incarnation());
  for (gradescale::UsageNews const& news : frame.usage_news()) {
    if (!news.of_hall()) {
      gsUsageMerge(this->Hall, source, FromWire(news));
      continue;
    }
    std::string hall(gsHallOf(this->Cluster->Members(), host));
    if (!hall.empty() && hall != this->Settings.Hall) {
      gsUsageMerge(this->Halls, hall, FromWire(news));
      HallWord& word = this->HallWords[hall];
      word.UpTo = std::max(word.UpTo, gsWallTime(news.told_up_to_us()));
      word.At = now;
    }
  }
}

void gsUsageDuty::Tick(gsTime now)
{
  if (now - this->LastTell >= TellPeriod) {
    this->LastTell = now;
    std::uint64_t window =
      gsUsageWindowOf(this->TrueNow(now), this->Settings.Duties.Window);
    std::uint64_t oldest =
      window - std::min(window, gsUsageKept(this->State.Settings));
    gsUsageForget(this->Own, oldest);
    gsUsageForget(this->Hall, oldest);
    gsUsageForget(this->Halls, oldest);
    this->TellOwn(now);
    this->TellHall(now);
  }
  this->Report(now);
}

/** Tells this process's counts to the coordinators of its hall. */
void gsUsageDuty::TellOwn(gsTime now)
{
  gsHallMembership const& members = this->Cluster->Members();
  gsUsageWindows own = gsUsageSums(this->Own);
  gsUsageMerge(this->Hall, this->Source, own);
  std::vector<std::string> order = gsHallOrder(members, now);
  order.resize(std::min(order.size(), members.Settings.Coordinators));
  for (std::string const& host : order) {
    if (host != this->Settings.Host) {
      this->Send(host, own, false, now);
    }
  }
}

/** Tells the hall's sums to a holder in another hall. */
void gsUsageDuty::TellHall(gsTime now)
{
  gsHallMembership const& members = this->Cluster->Members();
  std::string holder = gsLeaseHolder(this->Lease.State(), now);
  bool tells = !holder.empty() && holder != this->Settings.Host &&
               gsHallRelay(members, now) == this->Settings.Host &&
               gsHallOf(members, holder) != this->Settings.Hall;
  if (tells) {
    this->Send(holder, gsUsageSums(this->Hall), true, now);
  }
}

void gsUsageDuty::Send(std::string const& to, gsUsageWindows const& counts,
                       bool ofHall, gsTime now)
{
  gradescale::Frame* frame = this->Cluster->ToHost(to);
  if (frame == nullptr) {
    this->Told.erase(to);
    return;
  }
  gsUsageWindows news = gsUsageNews(counts, this->Told[to], TellRefresh, now);
  if (news.empty() && !ofHall) {
    return;
  }
  gradescale::UsageNews* wire = frame->add_usage_news();
  wire->set_of_hall(ofHall);
  wire->set_told_up_to_us(this->TrueNow(now) - TellLag.count());
  for (auto const& [window, organisations] : news) {
    gradescale::UsageWindow* entry = wire->add_windows();
    entry->set_window(window);
    for (auto const& [organisation, count] : organisations) {
      gradescale::UsageCount* each = entry->add_counts();
      each->set_organisation(organisation);
      each->set_count(count);
    }
  }
}

/** How far the halls that are heard of have told their counts. */
gsUsageReady gsUsageDuty::HallsReady(gsTime now) const
{
  gsUsageReady ready{ this->TrueNow(now) };
  for (auto const& [hall, relay] :
       gsOtherRelays(this->Cluster->Members(), now)) {
    auto word = this->HallWords.find(hall);
    gsWallTime told = word == this->HallWords.end() ? 0 : word->second.UpTo;
    ready.ToldUpTo = std::min(ready.ToldUpTo, told);
  }
  return ready;
}

void gsUsageDuty::Report(gsTime now)
{
  bool holds = this->Lease.MayAct(now);
  if (!holds && this->Call != 0) {
    this->Client.Cancel(std::exchange(this->Call, 0));
  }
  if (!holds) {
    this->Unanswered = gsTime{};
  }
  gsUsageHold(this->State, holds, now);
  if (!holds) {
    return;
  }
  gsUsageMerge(this->Halls, this->Settings.Hall, gsUsageSums(this->Hall));
  std::optional<gsUsageStep> step = gsUsageTick(
    this->State, this->Halls, this->HallsReady(now), this->TrueNow(now), now);
  if (step) {
    this->Take(*step);
  }
}

void gsUsageDuty::Take(gsUsageStep const& step)
{
  switch (step.Is) {
    case gsUsageStep::Kind::Read:
      this->Read();
      break;
    case gsUsageStep::Kind::Fix:
      this->Fix(step);
      break;
    case gsUsageStep::Kind::Send:
      this->SendReport(step);
      break;
  }
}

void gsUsageDuty::Fetch(gsCall call, std::function<void(gsAnswer const&)> done)
{
  call.ConnectTimeout = ConnectPatience;
  call.TotalTimeout = CallPatience;
  call.Reuse = true;
  // A process that stood still in between may hold the lease no more.
  call.BeforeSend = [this] { return this->Lease.MayAct(gsLoop::Now()); };
  ++this->Made;
  this->Call = gsFetch(this->Client, std::move(call),
                       [this, done = std::move(done)](gsAnswer const& answer) {
                         this->Call = 0;
                         done(answer);
                       });
}

/** Reads what earlier holders have fixed. */
void gsUsageDuty::Read()
{
  gsCall call =
    this->Adapter.ReadTable(this->Settings.Platform.Address,
                            this->Adapter.Tables.Usage, std::string_view());
  this->Fetch(std::move(call), [this](gsAnswer const& answer) {
    gsTableAnswer read = this->Adapter.ReadPage(answer);
    if (!read.Page) {
      gsUsageFailed(this->State, gsLoop::Now());
      return;
    }
    gsUsageWindows rows;
    for (gsTableRow const& row : read.Page->Rows) {
      std::optional<gsUsageCounts> counts = ReadCounts(row.Value);
      if (counts) {
        rows[std::strtoull(row.Key.c_str(), nullptr, 10)] = std::move(*counts);
      }
    }
    gsUsageRead(this->State, rows);
    gsLogLine("usage_read")
      .With("windows", std::uint64_t(rows.size()))
      .With("next", this->State.Next)
      .With("token", this->Lease.State().Token);
  });
}

void gsUsageDuty::Fix(gsUsageStep const& step)
{
  gsRowWrite write;
  write.Table = this->Adapter.Tables.Usage;
  write.Key = RowKey(step.Window);
  write.Value = nlohmann::json(step.Counts).dump();
  for (std::uint64_t window : step.Remove) {
    write.Remove.push_back(RowKey(window));
  }
  gsCall call = this->Adapter.WriteRow(this->Settings.Platform.Address, write);
  this->Fetch(std::move(call), [this, step, write](gsAnswer const& answer) {
    this->OnFixed(step, answer, write);
  });
}

void gsUsageDuty::OnFixed(gsUsageStep const& step, gsAnswer const& answer,
                          gsRowWrite const& write)
{
  gsRowWritten written = this->Adapter.ReadWritten(answer, write);
  bool own = written.Is == gsRowWritten::Kind::Written;
  std::optional<gsUsageCounts> counts;
  if (own) {
    counts = step.Counts;
  } else if (written.Is == gsRowWritten::Kind::Conflict && written.Row) {
    counts = ReadCounts(written.Row->Value);
  }
  gsLogLine("usage_fixed", counts ? gsLogLevel::Info : gsLogLevel::Warn)
    .With("window", step.Window)
    .With("requests", Total(counts ? *counts : step.Counts))
    .With("organisations", std::uint64_t(step.Counts.size()))
    .With("outcome", own      ? "written"
                     : counts ? "by_another"
                              : "failed")
    .With("row_version", written.Version)
    .With("token", this->Lease.State().Token)
    .With("message", written.Detail);
  if (counts) {
    gsUsageFixed(this->State, step.Window, std::move(*counts), own);
  } else {
    gsUsageFailed(this->State, gsLoop::Now());
  }
  this->Report(gsLoop::Now());
}

void gsUsageDuty::SendReport(gsUsageStep const& step)
{
  gsDutyProof proof = this->Lease.Proof();
  gsCall call = this->Adapter.ReportUsage(this->Settings.Duties.Address, proof,
                                          step.Window, step.Counts);
  this->Fetch(std::move(call),
              [this, step, token = proof.Token](gsAnswer const& answer) {
                this->OnSent(step, token, answer);
              });
}

void gsUsageDuty::OnSent(gsUsageStep const& step, std::uint64_t token,
                         gsAnswer const& answer)
{
  gsTime now = gsLoop::Now();
  gsDutyAnswer outcome = this->Adapter.ReadDutyAnswer(answer, false);
  auto late = this->TrueNow(now) -
              gsUsageWindowEnd(step.Window, this->Settings.Duties.Window);
  gsLogLine("usage_report", outcome == gsDutyAnswer::Taken ? gsLogLevel::Info
                                                           : gsLogLevel::Warn)
    .With("window", step.Window)
    .With("requests", Total(step.Counts))
    .With("token", token)
    .With("outcome", AnswerWord(outcome))
    .With("status", answer.End.Status)
    .With("after_end_ms", gsTime(late));
  this->Metrics.Count("gradescale_usage_reports_total",
                      gsLabels({ { "outcome", AnswerWord(outcome) } }));
  if (outcome == gsDutyAnswer::Taken) {
    this->Unanswered = gsTime{};
    gsUsageSent(this->State, step.Window);
    return;
  }
  this->Refusal = std::string(AnswerWord(outcome)) + " for window " +
                  std::to_string(step.Window);
  gsUsageFailed(this->State, now);
  if (outcome == gsDutyAnswer::HigherToken) {
    this->Lease.Lose("usage", now);
  } else if (outcome == gsDutyAnswer::NoAnswer) {
    this->Unanswered = this->Unanswered.count() == 0 ? now : this->Unanswered;
    if (now - this->Unanswered >= UnansweredMost) {
      this->Unanswered = gsTime{};
      this->Lease.Abstain(now);
    }
  }
}
