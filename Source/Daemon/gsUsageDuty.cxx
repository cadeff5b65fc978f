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

/** Interval between transmissions of counts. A host that is killed loses what
 * it counted since the last one: if a tenth of the hosts are killed, 0.4 % of
 * the counts of a 5 s window. */
constexpr gsTime SendInterval = gsMilliseconds(400);
/** Interval between transmissions of all counts, as an update may be lost when
 * its link fails. */
constexpr gsTime FullSendInterval = gsSeconds(2);
/** Maximum age of the counts received from hosts when their hall's sums are
 * computed. */
constexpr gsTime MaxCountAge = gsMilliseconds(900);
constexpr gsTime CallTimeout = gsMilliseconds(1200);
constexpr gsTime ConnectTimeout = gsMilliseconds(400);
/** Time without a response to reports after which this host leaves the lease
 * to other hosts. */
constexpr gsTime MaxUnansweredTime = gsSeconds(4);

/** Key of a window's row; the order of keys is that of windows. */
std::string RowKey(std::uint64_t window)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%020llu",
                static_cast<unsigned long long>(window));
  return text;
}

/** Parses the counts in a window's row; empty if the row is malformed, and was
 * thus not written by this software. */
std::optional<gsUsageCounts> ParseCounts(std::string const& value)
{
  nlohmann::json counts = nlohmann::json::parse(value, nullptr, false);
  if (!counts.is_object()) {
    return std::nullopt;
  }
  gsUsageCounts parsed;
  for (auto const& [organisation, count] : counts.items()) {
    if (!count.is_number_unsigned()) {
      return std::nullopt;
    }
    parsed[organisation] = count.get<std::uint64_t>();
  }
  return parsed;
}

std::uint64_t Total(gsUsageCounts const& counts)
{
  std::uint64_t sum = 0;
  for (auto const& [organisation, count] : counts) {
    sum += count;
  }
  return sum;
}

gsUsageWindows ParseWindows(gradescale::UsageNews const& wire)
{
  gsUsageWindows windows;
  for (gradescale::UsageWindow const& window : wire.windows()) {
    for (gradescale::UsageCount const& count : window.counts()) {
      windows[window.window()][count.organisation()] = count.count();
    }
  }
  return windows;
}

char const* DutyAnswerName(gsDutyCallResult answer)
{
  switch (answer) {
    case gsDutyCallResult::Accepted:
      return "taken";
    case gsDutyCallResult::StaleToken:
      return "higher_token";
    case gsDutyCallResult::Unavailable:
      return "none_there";
    case gsDutyCallResult::Rejected:
      return "turned_away";
    case gsDutyCallResult::NoAnswer:
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
  this->ReporterState.Settings.WindowLength = settings.Duties.Window;
  this->ReporterState.Settings.ReportDeadline = settings.Duties.Late;
}

gsUsageDuty::~gsUsageDuty()
{
  if (this->PendingCall != 0) {
    this->Client.Cancel(this->PendingCall);
  }
}

bool gsUsageDuty::IsCoordinator(gsTime now) const
{
  return gsHallIsCoordinator(this->Cluster->Members(), now);
}

gsWallTime gsUsageDuty::AgreedTime(gsTime now) const
{
  return gsClockNow(this->Clocks, static_cast<gsWallTime>(gsWallMicros()),
                    this->IsCoordinator(now), now);
}

void gsUsageDuty::CountRequest(std::string const& organisation, gsTime began)
{
  if (organisation.empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  gsWallTime beganAt = this->AgreedTime(now) - (now - began).count();
  std::uint64_t window =
    gsUsageWindowOf(beganAt, this->Settings.Duties.Window);
  gsUsageIncrement(this->OwnCounts, this->Source, window, organisation);
}

void gsUsageDuty::ReceiveFrame(std::string const& host,
                               gradescale::Frame const& frame)
{
  gsTime now = gsLoop::Now();
  std::string source = host + "#" + std::to_string(frame.incarnation());
  for (gradescale::UsageNews const& update : frame.usage_news()) {
    if (!update.of_hall()) {
      gsUsageMerge(this->HallCounts, source, ParseWindows(update));
      continue;
    }
    std::string hall(gsHallOf(this->Cluster->Members(), host));
    if (!hall.empty() && hall != this->Settings.Hall) {
      gsUsageMerge(this->CountsByHall, hall, ParseWindows(update));
      HallReport& report = this->HallReports[hall];
      report.CompleteUpTo =
        std::max(report.CompleteUpTo, gsWallTime(update.told_up_to_us()));
      report.ReceivedAt = now;
    }
  }
}

void gsUsageDuty::Tick(gsTime now)
{
  if (now - this->LastSendAt >= SendInterval) {
    this->LastSendAt = now;
    std::uint64_t window =
      gsUsageWindowOf(this->AgreedTime(now), this->Settings.Duties.Window);
    std::uint64_t oldest =
      window -
      std::min(window, gsUsageRetainedWindows(this->ReporterState.Settings));
    gsUsagePurge(this->OwnCounts, oldest);
    gsUsagePurge(this->HallCounts, oldest);
    gsUsagePurge(this->CountsByHall, oldest);
    this->SendOwnCounts(now);
    this->SendHallCounts(now);
  }
  this->ReportIfDue(now);
}

/** Sends the counts of this process to the coordinators of its hall. */
void gsUsageDuty::SendOwnCounts(gsTime now)
{
  gsHallMembership const& members = this->Cluster->Members();
  gsUsageWindows own = gsUsageSumsByWindow(this->OwnCounts);
  gsUsageMerge(this->HallCounts, this->Source, own);
  std::vector<std::string> order = gsHallDutyOrder(members, now);
  order.resize(std::min(order.size(), members.Settings.MaxCoordinators));
  for (std::string const& host : order) {
    if (host != this->Settings.Host) {
      this->SendCounts(host, own, false, now);
    }
  }
}

/** Sends the sums of this hall to the lease holder, if that is in another hall
 * and this host is the relay of its hall. */
void gsUsageDuty::SendHallCounts(gsTime now)
{
  gsHallMembership const& members = this->Cluster->Members();
  std::string holder = gsLeaseHolder(this->Lease.State(), now);
  bool isSender = !holder.empty() && holder != this->Settings.Host &&
                  gsHallRelay(members, now) == this->Settings.Host &&
                  gsHallOf(members, holder) != this->Settings.Hall;
  if (isSender) {
    this->SendCounts(holder, gsUsageSumsByWindow(this->HallCounts), true, now);
  }
}

void gsUsageDuty::SendCounts(std::string const& receiver,
                             gsUsageWindows const& counts, bool ofHall,
                             gsTime now)
{
  gradescale::Frame* frame = this->Cluster->ToHost(receiver);
  if (frame == nullptr) {
    this->SentCounts.erase(receiver);
    return;
  }
  gsUsageWindows update = gsUsageTakeUpdate(counts, this->SentCounts[receiver],
                                            FullSendInterval, now);
  if (update.empty() && !ofHall) {
    return;
  }
  gradescale::UsageNews* wire = frame->add_usage_news();
  wire->set_of_hall(ofHall);
  wire->set_told_up_to_us(this->AgreedTime(now) - MaxCountAge.count());
  for (auto const& [window, organisations] : update) {
    gradescale::UsageWindow* entry = wire->add_windows();
    entry->set_window(window);
    for (auto const& [organisation, count] : organisations) {
      gradescale::UsageCount* each = entry->add_counts();
      each->set_organisation(organisation);
      each->set_count(count);
    }
  }
}

/** Agreed time up to which the counts of all halls with a known relay have
 * been received. */
gsUsageProgress gsUsageDuty::HallsProgress(gsTime now) const
{
  gsUsageProgress progress{ this->AgreedTime(now) };
  for (auto const& [hall, relay] :
       gsOtherRelays(this->Cluster->Members(), now)) {
    auto report = this->HallReports.find(hall);
    gsWallTime completeUpTo =
      report == this->HallReports.end() ? 0 : report->second.CompleteUpTo;
    progress.ReceivedUpTo = std::min(progress.ReceivedUpTo, completeUpTo);
  }
  return progress;
}

void gsUsageDuty::ReportIfDue(gsTime now)
{
  bool holds = this->Lease.MaySendDutyCall(now);
  if (!holds && this->PendingCall != 0) {
    this->Client.Cancel(std::exchange(this->PendingCall, 0));
  }
  if (!holds) {
    this->UnansweredSince = gsTime{};
  }
  gsUsageSetLeaseHeld(this->ReporterState, holds, now);
  if (!holds) {
    return;
  }
  gsUsageMerge(this->CountsByHall, this->Settings.Hall,
               gsUsageSumsByWindow(this->HallCounts));
  std::optional<gsUsageStep> step =
    gsUsageTick(this->ReporterState, this->CountsByHall,
                this->HallsProgress(now), this->AgreedTime(now), now);
  if (step) {
    this->RunStep(*step);
  }
}

void gsUsageDuty::RunStep(gsUsageStep const& step)
{
  switch (step.StepKind) {
    case gsUsageStep::Kind::ReadRows:
      this->ReadRows();
      break;
    case gsUsageStep::Kind::CommitWindow:
      this->CommitWindow(step);
      break;
    case gsUsageStep::Kind::ReportWindow:
      this->SendReport(step);
      break;
  }
}

void gsUsageDuty::StartCall(gsCall call,
                            std::function<void(gsAnswer const&)> done)
{
  call.ConnectTimeout = ConnectTimeout;
  call.TotalTimeout = CallTimeout;
  call.Reuse = true;
  // If the process was suspended in the meantime, the lease may have expired.
  call.BeforeSend = [this] {
    return this->Lease.MaySendDutyCall(gsLoop::Now());
  };
  ++this->CallsMade;
  this->PendingCall =
    gsFetch(this->Client, std::move(call),
            [this, done = std::move(done)](gsAnswer const& answer) {
              this->PendingCall = 0;
              done(answer);
            });
}

/** Reads the windows that earlier lease holders have committed. */
void gsUsageDuty::ReadRows()
{
  gsCall call =
    this->Adapter.MakeReadCall(this->Settings.Platform.Address,
                               this->Adapter.Tables.Usage, std::string_view());
  this->StartCall(std::move(call), [this](gsAnswer const& answer) {
    gsTableReadResult result = this->Adapter.ParseTableResponse(answer);
    if (!result.Page) {
      gsUsageStepFailed(this->ReporterState, gsLoop::Now());
      return;
    }
    gsUsageWindows rows;
    for (gsTableRow const& row : result.Page->Rows) {
      std::optional<gsUsageCounts> counts = ParseCounts(row.Value);
      if (counts) {
        rows[std::strtoull(row.Key.c_str(), nullptr, 10)] = std::move(*counts);
      }
    }
    gsUsageRowsRead(this->ReporterState, rows);
    gsLogLine("usage_read")
      .With("windows", std::uint64_t(rows.size()))
      .With("next", this->ReporterState.NextWindow)
      .With("token", this->Lease.State().Token);
  });
}

void gsUsageDuty::CommitWindow(gsUsageStep const& step)
{
  gsRowWrite write;
  write.Table = this->Adapter.Tables.Usage;
  write.Key = RowKey(step.Window);
  write.Value = nlohmann::json(step.Counts).dump();
  for (std::uint64_t window : step.ExpiredWindows) {
    write.KeysToRemove.push_back(RowKey(window));
  }
  gsCall call =
    this->Adapter.MakeWriteCall(this->Settings.Platform.Address, write);
  this->StartCall(std::move(call),
                  [this, step, write](gsAnswer const& answer) {
                    this->OnWindowCommitted(step, answer, write);
                  });
}

void gsUsageDuty::OnWindowCommitted(gsUsageStep const& step,
                                    gsAnswer const& answer,
                                    gsRowWrite const& write)
{
  gsRowWriteResult result = this->Adapter.ParseWriteResponse(answer, write);
  bool writtenByThisHost = result.Outcome == gsRowWriteResult::Kind::Written;
  std::optional<gsUsageCounts> counts;
  if (writtenByThisHost) {
    counts = step.Counts;
  } else if (result.Outcome == gsRowWriteResult::Kind::Conflict &&
             result.CurrentRow) {
    counts = ParseCounts(result.CurrentRow->Value);
  }
  gsLogLine("usage_fixed", counts ? gsLogLevel::Info : gsLogLevel::Warn)
    .With("window", step.Window)
    .With("requests", Total(counts ? *counts : step.Counts))
    .With("organisations", std::uint64_t(step.Counts.size()))
    .With("outcome", writtenByThisHost ? "written"
                     : counts          ? "by_another"
                                       : "failed")
    .With("row_version", result.Version)
    .With("token", this->Lease.State().Token)
    .With("message", result.Detail);
  if (counts) {
    gsUsageWindowCommitted(this->ReporterState, step.Window,
                           std::move(*counts), writtenByThisHost);
  } else {
    gsUsageStepFailed(this->ReporterState, gsLoop::Now());
  }
  this->ReportIfDue(gsLoop::Now());
}

void gsUsageDuty::SendReport(gsUsageStep const& step)
{
  gsLeaseProof proof = this->Lease.Proof();
  gsCall call = this->Adapter.MakeUsageReportCall(
    this->Settings.Duties.Address, proof, step.Window, step.Counts);
  this->StartCall(std::move(call), [this, step, token = proof.FencingToken](
                                     gsAnswer const& answer) {
    this->OnReportCompleted(step, token, answer);
  });
}

void gsUsageDuty::OnReportCompleted(gsUsageStep const& step,
                                    std::uint64_t token,
                                    gsAnswer const& answer)
{
  gsTime now = gsLoop::Now();
  gsDutyCallResult outcome = this->Adapter.ParseDutyResponse(answer, false);
  auto timeAfterEnd =
    this->AgreedTime(now) -
    gsUsageWindowEnd(step.Window, this->Settings.Duties.Window);
  gsLogLine("usage_report", outcome == gsDutyCallResult::Accepted
                              ? gsLogLevel::Info
                              : gsLogLevel::Warn)
    .With("window", step.Window)
    .With("requests", Total(step.Counts))
    .With("token", token)
    .With("outcome", DutyAnswerName(outcome))
    .With("status", answer.End.Status)
    .With("after_end_ms", gsTime(timeAfterEnd));
  this->Metrics.Increment(
    "gradescale_usage_reports_total",
    gsLabels({ { "outcome", DutyAnswerName(outcome) } }));
  if (outcome == gsDutyCallResult::Accepted) {
    this->UnansweredSince = gsTime{};
    gsUsageWindowReported(this->ReporterState, step.Window);
    return;
  }
  this->LastReportFailure = std::string(DutyAnswerName(outcome)) +
                            " for window " + std::to_string(step.Window);
  gsUsageStepFailed(this->ReporterState, now);
  if (outcome == gsDutyCallResult::StaleToken) {
    this->Lease.Revoke("usage", now);
  } else if (outcome == gsDutyCallResult::NoAnswer) {
    this->UnansweredSince =
      this->UnansweredSince.count() == 0 ? now : this->UnansweredSince;
    if (now - this->UnansweredSince >= MaxUnansweredTime) {
      this->UnansweredSince = gsTime{};
      this->Lease.Abstain(now);
    }
  }
}
