/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Claims of idempotency keys, so that a request with such a key runs at most
 * once. A claim is a row in the platform's table that is inserted only if the
 * key has none, and whose value contains a unique nonce. Claims that are
 * requested within one commit window are sent to the platform as one
 * transaction (group commit), which holds at most MaxBatchSize operations.
 *
 * If the response to a transaction is lost, its claims are read back: a claim
 * is won if the row contains its nonce. The row of a claimed request that will
 * not run is deleted if it contains the claim's nonce. A delete whose response
 * is lost is retried until there is one.
 *
 * The state is one plain struct. Callers pass in the current time, send the
 * returned transactions and report their results.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gsTypes.h"

/** An operation on one row of the platform's table. */
struct gsTableOperation
{
  enum class Kind
  {
    Insert,  ///< Adds the row if there is none with the key.
    Get,     ///< Reads the row.
    Replace, ///< Sets the row's value if it is the expected one.
    Delete   ///< Removes the row if its value is the expected one.
  };
  Kind OperationKind = Kind::Insert;
  std::string Key;
  std::string Value;    ///< Value to be written by Insert and Replace.
  std::string Expected; ///< Precondition of Replace and Delete.
};

/** The platform's result of one operation. */
struct gsTableResult
{
  bool Applied = false; ///< Whether the operation changed the table.
  /** The row's value after the operation; empty if there is no row. */
  std::optional<std::string> CurrentValue;
};

/** A transaction to be sent to the platform. */
struct gsClaimBatch
{
  std::uint64_t Number = 0; ///< Identifies the batch in later calls.
  std::vector<gsTableOperation> Operations;
};

enum class gsClaimResult
{
  Won,        ///< This claim holds the key: the request may be sent once.
  Taken,      ///< Another request holds the key.
  Unavailable ///< The result is unknown; the request must not be sent.
};

/** The decision on a claim. */
struct gsClaimDecision
{
  std::uint64_t Cookie = 0; ///< As passed to gsClaimAdd.
  gsClaimResult Result = gsClaimResult::Unavailable;
  std::string
    HolderValue; ///< Value of the row that holds the key, if it is taken.
};

struct gsClaimsSettings
{
  /** Minimum interval between batches; claims that are requested within it
   * share a batch. */
  gsTime CommitWindow = gsMilliseconds(20);
  /** Minimum interval between batches with background operations. */
  gsTime RetryInterval = gsMilliseconds(500);
  /**
   * Number of times a delete that found no row is repeated, RetryInterval
   * apart, if the response to the insert was lost. Such an insert may take
   * effect late, even after the delete.
   */
  std::uint32_t MaxDeleteRepetitions = 20;
  std::size_t MaxBatchSize = 256; ///< In operations.
};

/** A row operation with its purpose. */
struct gsClaimOperation
{
  gsTableOperation Operation;
  /** Identifies the claim in its decision; zero for operations without one,
   * which are those of the background queue. */
  std::uint64_t Cookie = 0;
  /** Whether the claim is read back because the response to its insert was
   * lost. */
  bool IsReadBack = false;
  /** Whether the claim was released before its decision, so that its row is
   * deleted if the claim is won. */
  bool IsReleased = false;
  /** Remaining repetitions of a delete that finds no row. */
  std::uint32_t DeleteRepetitionsLeft = 0;
};

/** Claims of one host. */
struct gsClaims
{
  gsClaimsSettings Settings;
  std::deque<gsClaimOperation>
    Pending; ///< Claims to be inserted or read back.
  /** Deletes and replaces, which are retried until there is a response. */
  std::deque<gsClaimOperation> BackgroundQueue;
  /** Operations that have been sent, by batch number. */
  std::map<std::uint64_t, std::vector<gsClaimOperation>> InFlight;
  std::uint64_t NextBatchNumber = 1;
  gsTime NextSendAt{};  ///< Earliest time of the next batch.
  gsTime NextRetryAt{}; ///< Earliest time of the next background operations.
};

/** Requests a claim. The value must contain a nonce that is unique to it. The
 * cookie must not be zero; it identifies the claim in its decision. */
void gsClaimAdd(gsClaims& claims, std::string key, std::string value,
                std::uint64_t cookie);

/**
 * Releases a claim whose request was not and will not be run, by deleting its
 * row. If the claim has not been decided yet, its row is deleted after the
 * decision.
 */
void gsClaimRelease(gsClaims& claims, std::string key, std::string value);

/** Replaces the value of a claim's row after its request was run. */
void gsClaimMarkFinished(gsClaims& claims, std::string key, std::string value,
                         std::string finished);

/** Returns the transaction to be sent now; empty if there is none. */
std::optional<gsClaimBatch> gsClaimsTick(gsClaims& claims, gsTime now);

/** Processes the platform's response to a batch, which contains one result for
 * each operation. Decisions are appended to out. */
void gsClaimsProcessResults(gsClaims& claims, std::uint64_t batch,
                            std::vector<gsTableResult> const& results,
                            std::vector<gsClaimDecision>& out);

/**
 * Processes the loss of the response to a batch, or an error: it is unknown
 * whether the batch took effect. Inserts are read back once. If that response
 * is lost too, the claim is unavailable, and its row is deleted in the
 * background.
 */
void gsClaimsProcessLostResponse(gsClaims& claims, std::uint64_t batch,
                                 std::vector<gsClaimDecision>& out);
