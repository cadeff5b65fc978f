/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Claims of idempotency keys, so that a keyed request runs at most once. A
 * claim is a row in the platform's table, inserted only if absent, that holds
 * a nonce of its own. Claims that arise within one window go to the platform
 * as one transaction (group commit). An answer that was lost is settled by
 * reading back: the claim is ours if the nonce is. What was claimed but will
 * not run is deleted again, where the nonce is ours, until that has worked.
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
struct gsTableOp
{
  enum class Kind
  {
    Insert,  ///< If there is no such row.
    Get,     ///< Read.
    Replace, ///< If the row has the expected value.
    Delete   ///< If the row has the expected value.
  };
  Kind What = Kind::Insert;
  std::string Key;
  std::string Value;
  std::string Expected;
};

/** What the platform says of one operation. */
struct gsTableResult
{
  bool Done = false;
  std::optional<std::string> Current; ///< The row's value afterwards.
};

/** One transaction, sent to the platform as a whole. */
struct gsClaimBatch
{
  std::uint64_t Number = 0;
  std::vector<gsTableOp> Ops;
};

enum class gsClaimResult
{
  Won,        ///< Ours: the request may be sent, once.
  Taken,      ///< Another request has the key.
  Unavailable ///< Not decided; the request must not be sent.
};

/** The decision on a claim. */
struct gsClaimDecision
{
  std::uint64_t Cookie = 0;
  gsClaimResult Result = gsClaimResult::Unavailable;
  std::string Holder; ///< Value of the row that has the key.
};

struct gsClaimsSettings
{
  gsTime Window = gsMilliseconds(20);
  gsTime RetryPeriod = gsMilliseconds(500);
  /**
   * An insert whose answer was lost may take effect late, even after a delete
   * of it. Such a delete is repeated so many times, a period apart.
   */
  std::uint32_t DeleteRounds = 20;
  std::size_t MaxBatch = 256;
};

/** A row operation with what it is for. */
struct gsClaimWork
{
  gsTableOp Op;
  std::uint64_t Cookie = 0; ///< Zero when nobody waits for it.
  bool ReadBack = false;    ///< Whether it settles a lost answer.
  bool GiveBack = false;    ///< Delete it as soon as it is known to be ours.
  std::uint32_t Again = 0;  ///< Further rounds of a delete; see below.
};

/** Claims of one host: those to be sent and those under way. */
struct gsClaims
{
  gsClaimsSettings Settings;
  std::deque<gsClaimWork> Pending;
  /** Deletes and replaces that are tried until they have worked. */
  std::deque<gsClaimWork> Background;
  std::map<std::uint64_t, std::vector<gsClaimWork>> InFlight;
  std::uint64_t NextBatch = 1;
  gsTime NextSend{};
  gsTime NextRetry{};
};

/** Asks for a claim. Value must hold a nonce that is unique to it. */
void gsClaimAdd(gsClaims& claims, std::string key, std::string value,
                std::uint64_t cookie);

/**
 * Gives a claim back whose request was not and will not be run. One that is
 * still under way is given back once it has been decided.
 */
void gsClaimRelease(gsClaims& claims, std::string key, std::string value);

/** Notes in the row how the request ended. */
void gsClaimFinish(gsClaims& claims, std::string key, std::string value,
                   std::string finished);

/** The transaction to send now, if any. */
std::optional<gsClaimBatch> gsClaimsTick(gsClaims& claims, gsTime now);

/** The platform answered the batch, with one result an operation. */
void gsClaimsAnswered(gsClaims& claims, std::uint64_t batch,
                      std::vector<gsTableResult> const& results,
                      std::vector<gsClaimDecision>& out);

/**
 * No answer, or an error: whether the batch took effect is not known. Inserts
 * are read back once; when that is lost too, the claim is unavailable and is
 * deleted in the background.
 */
void gsClaimsLost(gsClaims& claims, std::uint64_t batch,
                  std::vector<gsClaimDecision>& out);
