/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsClaims.h"

#include <utility>

namespace {

/** Creates the delete of an inserted row. */
gsClaimOperation MakeDelete(gsTableOperation const& op,
                            std::uint32_t repetitions)
{
  gsClaimOperation operation;
  operation.Operation = {
    gsTableOperation::Kind::Delete, op.Key, {}, op.Value
  };
  operation.DeleteRepetitionsLeft = repetitions;
  return operation;
}

/** Whether an operation is the claim with a value. */
bool IsClaimWithValue(gsClaimOperation const& operation,
                      std::string const& value)
{
  return operation.Cookie != 0 && operation.Operation.Value == value;
}

/** Appends the decision on a claim. */
void AppendDecision(gsClaimOperation const& operation,
                    gsTableResult const& result,
                    std::vector<gsClaimDecision>& out)
{
  gsClaimDecision decision;
  decision.Cookie = operation.Cookie;
  std::string const current = result.CurrentValue.value_or(std::string());
  // The nonce in the value decides, even if this insert was not applied: an
  // earlier attempt, whose response was lost, may have inserted the row.
  if (current == operation.Operation.Value) {
    decision.Result = gsClaimResult::Won;
  } else if (result.CurrentValue) {
    decision.Result = gsClaimResult::Taken;
    decision.HolderValue = current;
  }
  out.push_back(std::move(decision));
}

} // namespace

void gsClaimAdd(gsClaims& claims, std::string key, std::string value,
                std::uint64_t cookie)
{
  gsClaimOperation operation;
  operation.Operation.OperationKind = gsTableOperation::Kind::Insert;
  operation.Operation.Key = std::move(key);
  operation.Operation.Value = std::move(value);
  operation.Cookie = cookie;
  claims.Pending.push_back(std::move(operation));
}

void gsClaimRelease(gsClaims& claims, std::string key, std::string value)
{
  for (gsClaimOperation& operation : claims.Pending) {
    if (IsClaimWithValue(operation, value)) {
      operation.IsReleased = true;
      return;
    }
  }
  for (auto& [number, operations] : claims.InFlight) {
    for (gsClaimOperation& operation : operations) {
      if (IsClaimWithValue(operation, value)) {
        operation.IsReleased = true;
        return;
      }
    }
  }
  gsClaimOperation operation;
  operation.Operation = {
    gsTableOperation::Kind::Delete, std::move(key), {}, std::move(value)
  };
  claims.BackgroundQueue.push_back(std::move(operation));
}

void gsClaimMarkFinished(gsClaims& claims, std::string key, std::string value,
                         std::string finished)
{
  gsClaimOperation operation;
  operation.Operation = { gsTableOperation::Kind::Replace, std::move(key),
                          std::move(finished), std::move(value) };
  claims.BackgroundQueue.push_back(std::move(operation));
}

std::optional<gsClaimBatch> gsClaimsTick(gsClaims& claims, gsTime now)
{
  bool isBackgroundDue =
    !claims.BackgroundQueue.empty() && now >= claims.NextRetryAt;
  if ((claims.Pending.empty() && !isBackgroundDue) ||
      now < claims.NextSendAt) {
    return std::nullopt;
  }
  claims.NextSendAt = now + claims.Settings.CommitWindow;
  gsClaimBatch batch;
  batch.Number = claims.NextBatchNumber++;
  std::vector<gsClaimOperation>& operations = claims.InFlight[batch.Number];
  auto moveToBatch = [&](std::deque<gsClaimOperation>& queue) {
    while (!queue.empty() &&
           operations.size() < claims.Settings.MaxBatchSize) {
      batch.Operations.push_back(queue.front().Operation);
      operations.push_back(std::move(queue.front()));
      queue.pop_front();
    }
  };
  moveToBatch(claims.Pending);
  if (isBackgroundDue) {
    claims.NextRetryAt = now + claims.Settings.RetryInterval;
    moveToBatch(claims.BackgroundQueue);
  }
  return batch;
}

void gsClaimsProcessResults(gsClaims& claims, std::uint64_t batch,
                            std::vector<gsTableResult> const& results,
                            std::vector<gsClaimDecision>& out)
{
  auto found = claims.InFlight.find(batch);
  if (found == claims.InFlight.end()) {
    return;
  }
  std::vector<gsClaimOperation> operations = std::move(found->second);
  claims.InFlight.erase(found);
  for (std::size_t i = 0; i < operations.size() && i < results.size(); ++i) {
    gsClaimOperation& operation = operations[i];
    if (operation.Cookie == 0) {
      bool insertMayBeLate =
        operation.DeleteRepetitionsLeft > 0 && !results[i].Applied;
      if (insertMayBeLate) {
        --operation.DeleteRepetitionsLeft;
        claims.BackgroundQueue.push_back(std::move(operation));
      }
      continue;
    }
    AppendDecision(operation, results[i], out);
    gsClaimResult result = out.back().Result;
    if (result == gsClaimResult::Unavailable) {
      claims.BackgroundQueue.push_back(
        MakeDelete(operation.Operation, claims.Settings.MaxDeleteRepetitions));
    } else if (result == gsClaimResult::Won && operation.IsReleased) {
      claims.BackgroundQueue.push_back(MakeDelete(operation.Operation, 0));
    }
  }
}

void gsClaimsProcessLostResponse(gsClaims& claims, std::uint64_t batch,
                                 std::vector<gsClaimDecision>& out)
{
  auto found = claims.InFlight.find(batch);
  if (found == claims.InFlight.end()) {
    return;
  }
  std::vector<gsClaimOperation> operations = std::move(found->second);
  claims.InFlight.erase(found);
  for (gsClaimOperation& operation : operations) {
    if (operation.Cookie == 0) {
      claims.BackgroundQueue.push_back(std::move(operation));
      continue;
    }
    if (!operation.IsReadBack) {
      operation.IsReadBack = true;
      operation.Operation.OperationKind = gsTableOperation::Kind::Get;
      claims.Pending.push_back(std::move(operation));
      continue;
    }
    out.push_back({ operation.Cookie, gsClaimResult::Unavailable, {} });
    claims.BackgroundQueue.push_back(
      MakeDelete(operation.Operation, claims.Settings.MaxDeleteRepetitions));
  }
}
