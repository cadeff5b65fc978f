/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsClaims.h"

#include <utility>

namespace {

gsClaimWork DeleteOf(gsTableOp const& op, std::uint32_t again)
{
  gsClaimWork work;
  work.Op = { gsTableOp::Kind::Delete, op.Key, {}, op.Value };
  work.Again = again;
  return work;
}

bool IsClaim(gsClaimWork const& work, std::string const& value)
{
  return work.Cookie != 0 && work.Op.Value == value;
}

void Decide(gsClaimWork const& work, gsTableResult const& result,
            std::vector<gsClaimDecision>& out)
{
  gsClaimDecision decision;
  decision.Cookie = work.Cookie;
  std::string const current = result.Current.value_or(std::string());
  // The nonce in the value decides, also when an insert says "not done":
  // an earlier try of ours, whose answer was lost, may have done it.
  if (current == work.Op.Value) {
    decision.Result = gsClaimResult::Won;
  } else if (result.Current) {
    decision.Result = gsClaimResult::Taken;
    decision.Holder = current;
  }
  out.push_back(std::move(decision));
}

} // namespace

void gsClaimAdd(gsClaims& claims, std::string key, std::string value,
                std::uint64_t cookie)
{
  gsClaimWork work;
  work.Op.What = gsTableOp::Kind::Insert;
  work.Op.Key = std::move(key);
  work.Op.Value = std::move(value);
  work.Cookie = cookie;
  claims.Pending.push_back(std::move(work));
}

void gsClaimRelease(gsClaims& claims, std::string key, std::string value)
{
  for (gsClaimWork& work : claims.Pending) {
    if (IsClaim(work, value)) {
      work.GiveBack = true;
      return;
    }
  }
  for (auto& [number, works] : claims.InFlight) {
    for (gsClaimWork& work : works) {
      if (IsClaim(work, value)) {
        work.GiveBack = true;
        return;
      }
    }
  }
  gsClaimWork work;
  work.Op = { gsTableOp::Kind::Delete, std::move(key), {}, std::move(value) };
  claims.Background.push_back(std::move(work));
}

void gsClaimFinish(gsClaims& claims, std::string key, std::string value,
                   std::string finished)
{
  gsClaimWork work;
  work.Op = { gsTableOp::Kind::Replace, std::move(key), std::move(finished),
              std::move(value) };
  claims.Background.push_back(std::move(work));
}

std::optional<gsClaimBatch> gsClaimsTick(gsClaims& claims, gsTime now)
{
  bool background = !claims.Background.empty() && now >= claims.NextRetry;
  if ((claims.Pending.empty() && !background) || now < claims.NextSend) {
    return std::nullopt;
  }
  claims.NextSend = now + claims.Settings.Window;
  gsClaimBatch batch;
  batch.Number = claims.NextBatch++;
  std::vector<gsClaimWork>& works = claims.InFlight[batch.Number];
  auto take = [&](std::deque<gsClaimWork>& queue) {
    while (!queue.empty() && works.size() < claims.Settings.MaxBatch) {
      batch.Ops.push_back(queue.front().Op);
      works.push_back(std::move(queue.front()));
      queue.pop_front();
    }
  };
  take(claims.Pending);
  if (background) {
    claims.NextRetry = now + claims.Settings.RetryPeriod;
    take(claims.Background);
  }
  return batch;
}

void gsClaimsAnswered(gsClaims& claims, std::uint64_t batch,
                      std::vector<gsTableResult> const& results,
                      std::vector<gsClaimDecision>& out)
{
  auto found = claims.InFlight.find(batch);
  if (found == claims.InFlight.end()) {
    return;
  }
  std::vector<gsClaimWork> works = std::move(found->second);
  claims.InFlight.erase(found);
  for (std::size_t i = 0; i < works.size() && i < results.size(); ++i) {
    gsClaimWork& work = works[i];
    if (work.Cookie == 0) {
      bool late = work.Again > 0 && !results[i].Done;
      if (late) {
        --work.Again;
        claims.Background.push_back(std::move(work));
      }
      continue;
    }
    Decide(work, results[i], out);
    gsClaimResult result = out.back().Result;
    if (result == gsClaimResult::Unavailable) {
      claims.Background.push_back(
        DeleteOf(work.Op, claims.Settings.DeleteRounds));
    } else if (result == gsClaimResult::Won && work.GiveBack) {
      claims.Background.push_back(DeleteOf(work.Op, 0));
    }
  }
}

void gsClaimsLost(gsClaims& claims, std::uint64_t batch,
                  std::vector<gsClaimDecision>& out)
{
  auto found = claims.InFlight.find(batch);
  if (found == claims.InFlight.end()) {
    return;
  }
  std::vector<gsClaimWork> works = std::move(found->second);
  claims.InFlight.erase(found);
  for (gsClaimWork& work : works) {
    if (work.Cookie == 0) {
      claims.Background.push_back(std::move(work));
      continue;
    }
    if (!work.ReadBack) {
      work.ReadBack = true;
      work.Op.What = gsTableOp::Kind::Get;
      claims.Pending.push_back(std::move(work));
      continue;
    }
    out.push_back({ work.Cookie, gsClaimResult::Unavailable, {} });
    claims.Background.push_back(
      DeleteOf(work.Op, claims.Settings.DeleteRounds));
  }
}
