/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The platform's tables in frames between hosts: news, and what a header says
 * of the rows.
 */
#pragma once

#include <optional>
#include <string>

#include "Generated/gsPeer.pb.h"
#include "gsTableCheck.h"
#include "gsTableCopy.h"

/** What a header says of both tables. */
struct gsTablesTold
{
  gsRowsCheck Routes;
  gsRowsCheck Upstreams;
  gsCountsRead Counts = gsCountsRead::None; ///< None: versions alone.
};

void gsAddNews(gradescale::Frame& frame, std::string const& table,
               gsTableNews const& news);
gsTableNews gsReadNews(gradescale::TableNews const& wire);

void gsFillTables(gradescale::Frame& frame, gsRowsCheck const& routes,
                  gsRowsCheck const& upstreams);
/** Nothing if the header says nothing of tables. */
std::optional<gsTablesTold> gsReadTables(gradescale::Frame const& frame);
