/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The command-line tool's commands.
 */
#pragma once

/** How the tool ends; docs/OPERATIONS.md lists the same. */
enum gsToolExit
{
  gsToolOk = 0,
  gsToolFailed = 1,      ///< The daemon or an upstream said no.
  gsToolUsage = 2,       ///< Wrong arguments or an invalid file.
  gsToolUnreachable = 3, ///< No answer from the daemon.
  gsToolConflict = 4,    ///< Another change was first.
  gsToolNotAccepted = 5  ///< Stored, but not in force everywhere in time.
};

/** Parses the arguments and runs a command. */
int gsRunTool(int argc, char const* const* argv);
