/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLeaseKeeper.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "gsLog.h"
#include "gsLoop.h"
#include "gsRendezvous.h"

namespace {

/** Timeout of a write, after which a renewal is repeated. The store usually
 * answers within some milliseconds, and within some tenths of a second when it
 * is slow. */
constexpr gsTime CallTimeout = gsMilliseconds(700);
constexpr gsTime ConnectTimeout = gsMilliseconds(300);
/** Calls are sent only if the lease is still held after this time, as they
 * take some time to arrive. */
constexpr gsTime ActMargin = gsMilliseconds(150);
/** Delay after the start, by which coordinators have discovered each other. */
constexpr gsTime StartupDelay = gsMilliseconds(2000);
/** Long enough for two other hosts to acquire the lease one after the other.
 */
constexpr gsTime AbstainDuration = gsSeconds(8);

std::string RowValue(gsLease const& lease)
{
  return nlohmann::json{
    { "holder", lease.Self }, { "incarnation", lease.Incarnation }
  }.dump();
}

/** Parses the lease's row. A malformed row has no holder, and is overwritten
 * like any other. */
gsLeaseRow ParseRow(gsTableRow const& row)
{
  gsLeaseRow parsed;
  parsed.Version = row.Version;
  nlohmann::json value = nlohmann::json::parse(row.Value, nullptr, false);
  bool isValid = value.is_object() && value.contains("holder") &&
                 value["holder"].is_string() &&
                 value.contains("incarnation") &&
                 value["incarnation"].is_number_unsigned();
  if (isValid) {
    parsed.Holder = value["holder"].get<std::string>();
    parsed.Incarnation = value["incarnation"].get<std::uint64_t>();
  }
  return parsed;
}

gsLeaseReply ToLeaseReply(gsRowWriteResult const& result)
{
  gsLeaseReply reply;
  switch (result.Outcome) {
    case gsRowWriteResult::Kind::Written:
      reply.Result = gsLeaseReply::Kind::Written;
      reply.Version = result.Version;
      break;
    case gsRowWriteResult::Kind::Conflict:
      reply.Result = gsLeaseReply::Kind::Conflict;
      reply.Row =
        result.CurrentRow ? ParseRow(*result.CurrentRow) : gsLeaseRow{};
      break;
    case gsRowWriteResult::Kind::Rejected:
      reply.Result = gsLeaseReply::Kind::Refused;
      break;
    case gsRowWriteResult::Kind::NoAnswer:
      break;
  }
  return reply;
}

} // namespace

std::size_t gsDutyRank(gsHallMembership const& members, gsTime now)
{
  std::vector<std::uint64_t> halls{ gsHashText(members.Self.Hall) };
  for (auto const& [hall, relay] : gsOtherRelays(members, now)) {
    halls.push_back(gsHashText(hall));
  }
  std::sort(halls.begin(), halls.end());
  auto own =
    std::find(halls.begin(), halls.end(), gsHashText(members.Self.Hall));
  std::vector<std::string> order = gsHallDutyOrder(members, now);
  auto self = std::find(order.begin(), order.end(), members.Self.Host);
  auto position = static_cast<std::size_t>(self - order.begin());
  return position * halls.size() +
         static_cast<std::size_t>(own - halls.begin());
}

gsLeaseKeeper::gsLeaseKeeper(gsHttpClient& client, gsAdapter const& adapter,
                             gsSettings const& settings,
                             std::uint64_t incarnation)
  : Client(client)
  , Adapter(adapter)
  , Settings(settings)
{
  this->Lease.Self = settings.Host;
  this->Lease.Incarnation = incarnation;
  this->Lease.Settings.Duration = settings.Duties.Lease;
  this->Lease.StartedAt = gsLoop::Now() + StartupDelay;
}

gsLeaseKeeper::~gsLeaseKeeper()
{
  if (this->PendingCall != 0) {
    this->Client.Cancel(this->PendingCall);
  }
}

void gsLeaseKeeper::Tick(gsHallMembership const& members, bool stopping,
                         gsTime now)
{
  bool isCandidate = !stopping && gsHallIsCoordinator(members, now);
  std::optional<gsLeaseWrite> due =
    gsLeaseTick(this->Lease, isCandidate, gsDutyRank(members, now), now);
  if (due) {
    this->Write(*due);
  }
  this->LogHolderChange(now);
}

void gsLeaseKeeper::Write(gsLeaseWrite const& due)
{
  gsRowWrite write;
  write.Table = this->Adapter.Tables.Lease;
  write.Key = this->Adapter.Tables.LeaseKey;
  write.ExpectedVersion = due.ExpectedVersion;
  write.Value = RowValue(this->Lease);
  gsCall call =
    this->Adapter.MakeWriteCall(this->Settings.Platform.Address, write);
  call.ConnectTimeout = ConnectTimeout;
  call.TotalTimeout = CallTimeout;
  call.Reuse = true;
  ++this->CallsMade;
  this->PendingCall = gsFetch(this->Client, std::move(call),
                              [this, write](gsAnswer const& answer) {
                                this->PendingCall = 0;
                                this->OnWriteCompleted(answer, write);
                              });
}

void gsLeaseKeeper::OnWriteCompleted(gsAnswer const& answer,
                                     gsRowWrite const& write)
{
  gsTime now = gsLoop::Now();
  gsRowWriteResult result = this->Adapter.ParseWriteResponse(answer, write);
  bool acknowledged = result.Outcome == gsRowWriteResult::Kind::Written;
  gsLeaseReceiveReply(this->Lease, ToLeaseReply(result), now);
  if (!acknowledged) {
    gsLogLine("lease_write", gsLogLevel::Warn)
      .With("expected", write.ExpectedVersion)
      .With("outcome", result.Outcome == gsRowWriteResult::Kind::Conflict
                         ? "conflict"
                       : result.Outcome == gsRowWriteResult::Kind::Rejected
                         ? "turned_away"
                         : "no_answer")
      .With("row_version", this->Lease.Row.Version)
      .With("holder", this->Lease.Row.Holder)
      .With("message", result.Detail);
  }
  this->LogHolderChange(now);
}

/** Logs when this host acquires the lease, and when it no longer holds it. */
void gsLeaseKeeper::LogHolderChange(gsTime now)
{
  bool holds = gsLeaseIsHeld(this->Lease, now);
  if (holds == this->LoggedAsHeld) {
    return;
  }
  this->LoggedAsHeld = holds;
  gsLogLine(holds ? "lease_held" : "lease_ended")
    .With("token", this->Lease.Token)
    .With("row_version", this->Lease.Row.Version)
    .With("holder", this->Lease.Row.Holder)
    .With("seen_ms", now - this->Lease.SeenAt);
}

void gsLeaseKeeper::ReceiveUpdate(gradescale::LeaseNews const& wire,
                                  gsTime now)
{
  gsLeaseUpdate update;
  update.Row = { wire.version(), wire.holder(), wire.incarnation() };
  update.Age = gsMilliseconds(wire.age_ms());
  gsLeaseReceiveUpdate(this->Lease, update, now);
}

void gsLeaseKeeper::FillUpdate(gradescale::Frame& frame, gsTime now) const
{
  std::optional<gsLeaseUpdate> update = gsLeaseCurrentUpdate(this->Lease, now);
  if (!update) {
    return;
  }
  gradescale::LeaseNews* wire = frame.mutable_lease();
  wire->set_version(update->Row.Version);
  wire->set_holder(update->Row.Holder);
  wire->set_incarnation(update->Row.Incarnation);
  auto age = std::chrono::duration_cast<gsMilliseconds>(update->Age);
  wire->set_age_ms(static_cast<std::uint32_t>(age.count()));
}

bool gsLeaseKeeper::MaySendDutyCall(gsTime now) const
{
  return gsLeaseIsHeld(this->Lease, now + ActMargin);
}

gsLeaseProof gsLeaseKeeper::Proof() const
{
  return { this->Lease.Self, this->Lease.Token };
}

void gsLeaseKeeper::Revoke(char const* duty, gsTime now)
{
  gsLogLine("duty_refused", gsLogLevel::Warn)
    .With("duty", duty)
    .With("token", this->Lease.Token);
  gsLeaseRevoke(this->Lease, now);
  this->LogHolderChange(now);
}

void gsLeaseKeeper::Abstain(gsTime now)
{
  gsLogLine("lease_left", gsLogLevel::Warn).With("token", this->Lease.Token);
  gsLeaseAbstain(this->Lease, AbstainDuration, now);
  this->LogHolderChange(now);
}
