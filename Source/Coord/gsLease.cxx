/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLease.h"

#include <algorithm>

namespace {

bool IsOwnRow(gsLease const& lease, gsLeaseRow const& row)
{
  return row.Version != 0 && row.Holder == lease.Self &&
         row.Incarnation == lease.Incarnation;
}

/** Records that the store had a row at a time. Only the row with the highest
 * version is kept. */
void RecordRow(gsLease& lease, gsLeaseRow const& row, gsTime at)
{
  bool hasRow = lease.SeenAt.count() != 0;
  if (hasRow && row.Version < lease.Row.Version) {
    return;
  }
  if (hasRow && row.Version == lease.Row.Version) {
    // The lease is timed from when its version was first seen.
    lease.SeenAt = std::min(lease.SeenAt, at);
    return;
  }
  lease.Row = row;
  lease.SeenAt = at;
}

/** When this host may attempt to acquire the lease from another holder. */
gsTime AcquirableAt(gsLease const& lease)
{
  if (lease.Row.Version == 0) {
    return lease.StartedAt;
  }
  return lease.SeenAt + lease.Settings.Duration + lease.Settings.SafetyMargin;
}

void ScheduleRetry(gsLease& lease, gsTime now)
{
  lease.RetryDelay =
    std::clamp(lease.RetryDelay * 2, lease.Settings.InitialRetryDelay,
               lease.Settings.MaxRetryDelay);
  lease.NextWriteAt = now + lease.RetryDelay;
}

} // namespace

std::optional<gsLeaseWrite> gsLeaseTick(gsLease& lease, bool isContender,
                                        std::size_t rank, gsTime now)
{
  if (lease.IsWritePending || !isContender || now < lease.NextWriteAt ||
      now < lease.AbstainUntil) {
    return std::nullopt;
  }
  bool isOwn = IsOwnRow(lease, lease.Row);
  bool hasRow = lease.SeenAt.count() != 0;
  if (!isOwn) {
    gsTime rankDelay =
      lease.Settings.RankDelay * static_cast<std::int64_t>(rank);
    if (now < AcquirableAt(lease) + rankDelay) {
      return std::nullopt;
    }
  }
  lease.IsWritePending = true;
  lease.WriteSentAt = now;
  return gsLeaseWrite{ hasRow ? lease.Row.Version : 0 };
}

bool gsLeaseReceiveReply(gsLease& lease, gsLeaseReply const& reply, gsTime now)
{
  lease.IsWritePending = false;
  if (reply.Result == gsLeaseReply::Kind::Written) {
    bool wasHeld = gsLeaseIsHeld(lease, now);
    lease.Row = { reply.Version, lease.Self, lease.Incarnation };
    lease.SeenAt = lease.WriteSentAt;
    lease.Token = reply.Version;
    lease.HeldUntil = lease.WriteSentAt + lease.Settings.Duration;
    lease.RetryDelay = gsTime{};
    lease.NextWriteAt = lease.WriteSentAt + lease.Settings.RenewInterval;
    bool acquired = !wasHeld && gsLeaseIsHeld(lease, now);
    lease.AcquiredCount += acquired ? 1 : 0;
    return acquired;
  }
  if (reply.Result == gsLeaseReply::Kind::Conflict) {
    RecordRow(lease, reply.Row, now);
    if (IsOwnRow(lease, reply.Row)) {
      // An earlier write of this host, whose reply was lost, has succeeded.
      // The lease is renewed at once.
      lease.NextWriteAt = now;
      return false;
    }
    lease.HeldUntil = gsTime{};
  }
  ScheduleRetry(lease, now);
  return false;
}

void gsLeaseReceiveUpdate(gsLease& lease, gsLeaseUpdate const& update,
                          gsTime now)
{
  if (update.Row.Version == 0 || IsOwnRow(lease, update.Row)) {
    return;
  }
  if (update.Row.Version > lease.Token) {
    // Another host has written the row after this host's last write.
    lease.HeldUntil = gsTime{};
  }
  RecordRow(lease, update.Row, now - update.Age);
}

std::optional<gsLeaseUpdate> gsLeaseCurrentUpdate(gsLease const& lease,
                                                  gsTime now)
{
  bool isInForce = lease.SeenAt.count() != 0 && lease.Row.Version != 0 &&
                   now - lease.SeenAt < AcquirableAt(lease) - lease.SeenAt;
  if (!isInForce) {
    return std::nullopt;
  }
  return gsLeaseUpdate{ lease.Row, now - lease.SeenAt };
}

bool gsLeaseIsHeld(gsLease const& lease, gsTime now)
{
  return lease.HeldUntil.count() != 0 && now < lease.HeldUntil;
}

std::string gsLeaseHolder(gsLease const& lease, gsTime now)
{
  std::optional<gsLeaseUpdate> update = gsLeaseCurrentUpdate(lease, now);
  return update ? update->Row.Holder : std::string();
}

void gsLeaseRevoke(gsLease& lease, gsTime now)
{
  lease.HeldUntil = gsTime{};
  ScheduleRetry(lease, now);
}

void gsLeaseAbstain(gsLease& lease, gsTime duration, gsTime now)
{
  lease.HeldUntil = gsTime{};
  lease.AbstainUntil = now + duration;
}
