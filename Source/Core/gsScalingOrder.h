/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Placing and repeating of orders for upstreams. Each pool, which is a hall
 * and a kind of upstreams, has at most one current order. An order without an
 * answer may still be executed late, after a newer one; fencing tokens let the
 * platform refuse it. No function reads a clock or performs I/O.
 */
#pragma once

#include <cstdint>

#include "gsTypes.h"

/** The current order of a pool. */
struct gsScalingOrder
{
  bool IsPlaced = false; ///< An order has been placed.
  /** Ordered number; the listed number before the first order. */
  std::uint32_t Count = 0;
  std::uint64_t FencingToken = 0; ///< Fencing token of the order.
  gsTime PlacedAt{};              ///< When it was placed.
  gsTime NextAttemptAt{};  ///< No order is placed before; set by the caller.
  bool IsAnswered = true;  ///< The platform has answered; set by the caller.
  bool IsIncrease = false; ///< It was an increase.
  /** Start of the time in which the listed number is not close to the wanted
   * number; zero if it is close. */
  gsTime MismatchSince{};
};

/** Whether the difference between two numbers of upstreams is too small for an
 * order: each order moves subjects, and one or two of many upstreams do not
 * justify that. */
bool gsScalingIsNegligibleChange(std::uint32_t a, std::uint32_t b);

/**
 * Whether an order has to be placed. An unanswered order is replaced only with
 * a higher token, so that the platform refuses the older order if it arrives
 * late.
 *
 * \param listed Number of listed upstreams.
 * \param startup Time that upstreams take to start.
 */
bool gsScalingOrderIsDue(gsScalingOrder& order, std::uint32_t wanted,
                         std::uint32_t listed, gsTime startup,
                         std::uint64_t token, gsTime now);

/** Records that an order is placed. */
void gsScalingRecordOrder(gsScalingOrder& order, std::uint32_t wanted,
                          std::uint64_t token, gsTime now);
