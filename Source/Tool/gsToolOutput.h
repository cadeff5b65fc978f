/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What the tool's commands have in common: their options, and how they print
 * results and errors.
 */
#pragma once

#include <string>
#include <vector>

#include "gsDocumentJson.h"
#include "gsRestClient.h"
#include "gsTool.h"

/** What all commands share. */
struct gsToolOptions
{
  gsOperatorEndpoint Operator;
  std::string Output = "auto";
  bool NoWait = false;
  double WaitSeconds = 30;
};

/** Whether results are printed as JSON: when asked for, or to no terminal. */
bool gsWantsJson(gsToolOptions const& options);

/** Prints an error; returns how the tool ends for it. */
int gsToolFail(gsError const& error);

/** All of a file. */
gsResult<std::string> gsReadWholeFile(std::string const& path);

/** The configuration in a file, checked. */
gsResult<gsDocument> gsReadDocumentFile(std::string const& path);

/** A value as it stands in a table. */
std::string gsCellText(gsJson const& value);

/** Prints a list of objects: some of their fields as a table, or all. */
void gsPrintRows(gsToolOptions const& options, gsJson const& rows,
                 std::vector<std::string> const& fields);

/** Prints how far a change has come. */
void gsPrintChange(gsToolOptions const& options, gsJson const& state);
