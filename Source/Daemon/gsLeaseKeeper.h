/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Keeps the lease on the duties that one host at a time has: writes its row in
 * the platform's store when gsLease says so, and tells other hosts of it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Generated/gsPeer.pb.h"
#include "gsAdapter.h"
#include "gsHallMembership.h"
#include "gsHttpClient.h"
#include "gsLease.h"
#include "gsSettings.h"

class gsLeaseKeeper
{
public:
  /** The adapter and the settings outlive this. */
  gsLeaseKeeper(gsHttpClient& client, gsAdapter const& adapter,
                gsSettings const& settings, std::uint64_t incarnation);
  ~gsLeaseKeeper();
  gsLeaseKeeper(gsLeaseKeeper const&) = delete;
  gsLeaseKeeper& operator=(gsLeaseKeeper const&) = delete;

  /** Renews or takes the lease when that is due; stopping hosts do neither. */
  void Tick(gsHallMembership const& members, bool stopping, gsTime now);

  void Hear(gradescale::LeaseNews const& wire, gsTime now);
  void Fill(gradescale::Frame& frame, gsTime now) const;

  /** Whether a call on a duty may leave now. */
  bool MayAct(gsTime now) const;
  /** What such a call carries. */
  gsDutyProof Proof() const;
  /** The platform has seen a higher token. */
  void Lose(char const* duty, gsTime now);
  /** The platform's calls have gone unanswered for long: others may reach it.
   */
  void Abstain(gsTime now);

  gsLease const& State() const { return this->Lease; }
  std::uint64_t Calls() const { return this->Made; }

private:
  void Write(gsLeaseWrite const& due);
  void OnWritten(gsAnswer const& answer, gsRowWrite const& write);
  void NoteHolder(gsTime now);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsLease Lease;
  std::uint64_t Call = 0; ///< Under way; zero for none.
  std::uint64_t Made = 0;
  bool Held = false; ///< As last logged.
};

/**
 * How many contenders for the duties come before this host: the relays of all
 * halls first, in the order of a hash of their halls, then the next of each.
 */
std::size_t gsDutyRank(gsHallMembership const& members, gsTime now);
