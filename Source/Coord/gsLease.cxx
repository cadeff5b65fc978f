/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLease.h"

#include <algorithm>

namespace {

bool IsOwn(gsLease const& lease, gsLeaseRow const& row)
{
  return row.Version != 0 && row.Holder == lease.Self &&
         row.Incarnation == lease.Incarnation;
}

/** Notes that the store had a row at a time; the latest is kept. */
void See(gsLease& lease, gsLeaseRow const& row, gsTime at)
{
  bool known = lease.SeenAt.count() != 0;
  if (known && row.Version < lease.Row.Version) {
    return;
  }
  if (known && row.Version == lease.Row.Version) {
    // The earliest sight of a version counts.
    lease.SeenAt = std::min(lease.SeenAt, at);
    return;
  }
  lease.Row = row;
  lease.SeenAt = at;
}

/** When this host may take the lease from whoever holds it. */
gsTime FreeAt(gsLease const& lease)
{
  if (lease.Row.Version == 0) {
    return lease.Started;
  }
  return lease.SeenAt + lease.Settings.Time + lease.Settings.Margin;
}

void RetryLater(gsLease& lease, gsTime now)
{
  lease.Delay = std::clamp(lease.Delay * 2, lease.Settings.RetryFirst,
                           lease.Settings.RetryMost);
  lease.NextTry = now + lease.Delay;
}

} // namespace

std::optional<gsLeaseWrite> gsLeaseTick(gsLease& lease, bool contends,
                                        std::size_t rank, gsTime now)
{
  if (lease.Calling || !contends || now < lease.NextTry ||
      now < lease.AbstainUntil) {
    return std::nullopt;
  }
  bool own = IsOwn(lease, lease.Row);
  bool known = lease.SeenAt.count() != 0;
  if (!own) {
    gsTime behind = lease.Settings.Step * static_cast<std::int64_t>(rank);
    if (now < FreeAt(lease) + behind) {
      return std::nullopt;
    }
  }
  lease.Calling = true;
  lease.SentAt = now;
  return gsLeaseWrite{ known ? lease.Row.Version : 0 };
}

bool gsLeaseAnswer(gsLease& lease, gsLeaseReply const& reply, gsTime now)
{
  lease.Calling = false;
  if (reply.Is == gsLeaseReply::Kind::Written) {
    bool held = gsLeaseHolds(lease, now);
    lease.Row = { reply.Version, lease.Self, lease.Incarnation };
    lease.SeenAt = lease.SentAt;
    lease.Token = reply.Version;
    lease.HeldUntil = lease.SentAt + lease.Settings.Time;
    lease.Delay = gsTime{};
    lease.NextTry = lease.SentAt + lease.Settings.Renew;
    bool begins = !held && gsLeaseHolds(lease, now);
    lease.Taken += begins ? 1 : 0;
    return begins;
  }
  if (reply.Is == gsLeaseReply::Kind::Conflict) {
    See(lease, reply.Row, now);
    if (IsOwn(lease, reply.Row)) {
      // A write of this host that had no answer; it is renewed at once.
      lease.NextTry = now;
      return false;
    }
    lease.HeldUntil = gsTime{};
  }
  RetryLater(lease, now);
  return false;
}

void gsLeaseHear(gsLease& lease, gsLeaseNews const& news, gsTime now)
{
  if (news.Row.Version == 0 || IsOwn(lease, news.Row)) {
    return;
  }
  if (news.Row.Version > lease.Token) {
    // Somebody else wrote after this host's last write.
    lease.HeldUntil = gsTime{};
  }
  See(lease, news.Row, now - news.Age);
}

std::optional<gsLeaseNews> gsLeaseTell(gsLease const& lease, gsTime now)
{
  bool fresh = lease.SeenAt.count() != 0 && lease.Row.Version != 0 &&
               now - lease.SeenAt < FreeAt(lease) - lease.SeenAt;
  if (!fresh) {
    return std::nullopt;
  }
  return gsLeaseNews{ lease.Row, now - lease.SeenAt };
}

bool gsLeaseHolds(gsLease const& lease, gsTime now)
{
  return lease.HeldUntil.count() != 0 && now < lease.HeldUntil;
}

std::string gsLeaseHolder(gsLease const& lease, gsTime now)
{
  std::optional<gsLeaseNews> news = gsLeaseTell(lease, now);
  return news ? news->Row.Holder : std::string();
}

void gsLeaseLose(gsLease& lease, gsTime now)
{
  lease.HeldUntil = gsTime{};
  RetryLater(lease, now);
}

void gsLeaseAbstain(gsLease& lease, gsTime duration, gsTime now)
{
  lease.HeldUntil = gsTime{};
  lease.AbstainUntil = now + duration;
}
