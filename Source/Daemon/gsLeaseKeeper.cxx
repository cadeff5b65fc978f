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

/** A store answers within some milliseconds, or slowly within some tenths; a
 * renewal that is not answered by then is made again. */
constexpr gsTime CallPatience = gsMilliseconds(700);
constexpr gsTime ConnectPatience = gsMilliseconds(300);
/** What is sent at the end of the lease's time arrives a little later. */
constexpr gsTime ActMargin = gsMilliseconds(150);
/** Coordinators know one another by then after a start. */
constexpr gsTime StartPatience = gsMilliseconds(2000);
/** Long enough for two others to take the lease one after the other. */
constexpr gsTime AbstainTime = gsSeconds(8);

std::string RowValue(gsLease const& lease)
{
  return nlohmann::json{
    { "holder", lease.Self }, { "incarnation", lease.Incarnation }
  }.dump();
}

/** A row that cannot be read is nobody's, and is taken over as any other. */
gsLeaseRow ReadRow(gsTableRow const& row)
{
  gsLeaseRow read;
  read.Version = row.Version;
  nlohmann::json value = nlohmann::json::parse(row.Value, nullptr, false);
  bool good = value.is_object() && value.contains("holder") &&
              value["holder"].is_string() && value.contains("incarnation") &&
              value["incarnation"].is_number_unsigned();
  if (good) {
    read.Holder = value["holder"].get<std::string>();
    read.Incarnation = value["incarnation"].get<std::uint64_t>();
  }
  return read;
}

gsLeaseReply ReplyOf(gsRowWritten const& written)
{
  gsLeaseReply reply;
  switch (written.Is) {
    case gsRowWritten::Kind::Written:
      reply.Is = gsLeaseReply::Kind::Written;
      reply.Version = written.Version;
      break;
    case gsRowWritten::Kind::Conflict:
      reply.Is = gsLeaseReply::Kind::Conflict;
      reply.Row = written.Row ? ReadRow(*written.Row) : gsLeaseRow{};
      break;
    case gsRowWritten::Kind::TurnedAway:
      reply.Is = gsLeaseReply::Kind::Refused;
      break;
    case gsRowWritten::Kind::NoAnswer:
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
  std::vector<std::string> order = gsHallOrder(members, now);
  auto self = std::find(order.begin(), order.end(), members.Self.Host);
  auto place = static_cast<std::size_t>(self - order.begin());
  return place * halls.size() + static_cast<std::size_t>(own - halls.begin());
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
  this->Lease.Settings.Time = settings.Duties.Lease;
  this->Lease.Started = gsLoop::Now() + StartPatience;
}

gsLeaseKeeper::~gsLeaseKeeper()
{
  if (this->Call != 0) {
    this->Client.Cancel(this->Call);
  }
}

void gsLeaseKeeper::Tick(gsHallMembership const& members, bool stopping,
                         gsTime now)
{
  bool contends = !stopping && gsHallCoordinates(members, now);
  std::optional<gsLeaseWrite> due =
    gsLeaseTick(this->Lease, contends, gsDutyRank(members, now), now);
  if (due) {
    this->Write(*due);
  }
  this->NoteHolder(now);
}

void gsLeaseKeeper::Write(gsLeaseWrite const& due)
{
  gsRowWrite write;
  write.Table = this->Adapter.Tables.Lease;
  write.Key = this->Adapter.Tables.LeaseKey;
  write.Expected = due.Expected;
  write.Value = RowValue(this->Lease);
  gsCall call = this->Adapter.WriteRow(this->Settings.Platform.Address, write);
  call.ConnectTimeout = ConnectPatience;
  call.TotalTimeout = CallPatience;
  call.Reuse = true;
  ++this->Made;
  this->Call = gsFetch(this->Client, std::move(call),
                       [this, write](gsAnswer const& answer) {
                         this->Call = 0;
                         this->OnWritten(answer, write);
                       });
}

void gsLeaseKeeper::OnWritten(gsAnswer const& answer, gsRowWrite const& write)
{
  gsTime now = gsLoop::Now();
  gsRowWritten written = this->Adapter.ReadWritten(answer, write);
  bool known = written.Is == gsRowWritten::Kind::Written;
  gsLeaseAnswer(this->Lease, ReplyOf(written), now);
  if (!known) {
    gsLogLine("lease_write", gsLogLevel::Warn)
      .With("expected", write.Expected)
      .With("outcome", written.Is == gsRowWritten::Kind::Conflict ? "conflict"
                       : written.Is == gsRowWritten::Kind::TurnedAway
                         ? "turned_away"
                         : "no_answer")
      .With("row_version", this->Lease.Row.Version)
      .With("holder", this->Lease.Row.Holder)
      .With("message", written.Detail);
  }
  this->NoteHolder(now);
}

/** Logs when this host begins to hold the lease, and when it ends to. */
void gsLeaseKeeper::NoteHolder(gsTime now)
{
  bool holds = gsLeaseHolds(this->Lease, now);
  if (holds == this->Held) {
    return;
  }
  this->Held = holds;
  gsLogLine(holds ? "lease_held" : "lease_ended")
    .With("token", this->Lease.Token)
    .With("row_version", this->Lease.Row.Version)
    .With("holder", this->Lease.Row.Holder)
    .With("seen_ms", now - this->Lease.SeenAt);
}

void gsLeaseKeeper::Hear(gradescale::LeaseNews const& wire, gsTime now)
{
  gsLeaseNews news;
  news.Row = { wire.version(), wire.holder(), wire.incarnation() };
  news.Age = gsMilliseconds(wire.age_ms());
  gsLeaseHear(this->Lease, news, now);
}

void gsLeaseKeeper::Fill(gradescale::Frame& frame, gsTime now) const
{
  std::optional<gsLeaseNews> news = gsLeaseTell(this->Lease, now);
  if (!news) {
    return;
  }
  gradescale::LeaseNews* wire = frame.mutable_lease();
  wire->set_version(news->Row.Version);
  wire->set_holder(news->Row.Holder);
  wire->set_incarnation(news->Row.Incarnation);
  auto age = std::chrono::duration_cast<gsMilliseconds>(news->Age);
  wire->set_age_ms(static_cast<std::uint32_t>(age.count()));
}

bool gsLeaseKeeper::MayAct(gsTime now) const
{
  return gsLeaseHolds(this->Lease, now + ActMargin);
}

gsDutyProof gsLeaseKeeper::Proof() const
{
  return { this->Lease.Self, this->Lease.Token };
}

void gsLeaseKeeper::Lose(char const* duty, gsTime now)
{
  gsLogLine("duty_refused", gsLogLevel::Warn)
    .With("duty", duty)
    .With("token", this->Lease.Token);
  gsLeaseLose(this->Lease, now);
  this->NoteHolder(now);
}

void gsLeaseKeeper::Abstain(gsTime now)
{
  gsLogLine("lease_left", gsLogLevel::Warn).With("token", this->Lease.Token);
  gsLeaseAbstain(this->Lease, AbstainTime, now);
  this->NoteHolder(now);
}
