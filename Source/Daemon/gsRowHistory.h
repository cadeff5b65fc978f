/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Recent versions of the large rows of a table, and the patches between them.
 * Hosts send each other patches in place of large values, so that the bytes of
 * an update depend on what has changed and not on the size of a value.
 *
 * The platform writes a value as a whole, and hosts may have learned of
 * different versions of it. Each host therefore makes patches between the
 * versions that it has had itself. A receiver applies them to any recent
 * version that it has, and verifies the resulting value.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gsTableReplica.h"

/** Values from this size on are sent as patches. */
constexpr std::size_t gsMinPatchedBytes = 4096;

/** Turns one version of a row's value into a later one. */
struct gsRowPatch
{
  std::uint64_t BaseVersion = 0; ///< Version of the row that it applies to.
  std::uint64_t Version = 0;     ///< Version of the row that results.
  std::string Bytes;             ///< As returned by gsCompress.
  std::uint64_t ValueHash = 0;   ///< gsHashText of the resulting value.
};

/** The recent versions of one row. */
struct gsRowVersions
{
  struct Value
  {
    std::uint64_t Version = 0;
    std::string Text;
  };
  std::deque<Value> Values; ///< Oldest first; never empty.
  /** Each applies to the result of the one before it. The last one results in
   * the last of Values. */
  std::deque<gsRowPatch> Patches;
};

class gsRowHistory
{
public:
  /** Records the rows whose values have changed, and drops removed ones. */
  void Update(gsTableReplica::Rows const& rows);

  /**
   * Patches that lead a host whose table is complete up to a version to the
   * present version of a row.
   * \return Empty if there are none, so that the value has to be sent.
   */
  std::vector<gsRowPatch> PatchesSince(std::string const& key,
                                       std::uint64_t version) const;

  /** Applies the patches of a received row to a recent version of it.
   * \return The value; empty if no such version is known, or the result is not
   * the sender's value. */
  std::optional<std::string> Apply(
    std::string const& key, std::vector<gsRowPatch> const& patches) const;

private:
  std::map<std::string, gsRowVersions> Rows; ///< By key.
};
