/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The commands that show what a host knows.
 */
#pragma once

#include <string>
#include <vector>

#include "gsToolOutput.h"

/** A row a hall: so it fits a screen however many hosts there are. */
int gsShowHalls(gsToolOptions const& options);

/** Prints the rate limits of upstreams as known to one host. */
int gsShowLimits(gsToolOptions const& options);

/** Prints the subjects whose prompt prefixes engines hold, and these engines,
 * as known to one host. */
int gsShowPrefixes(gsToolOptions const& options);

/** Prints the measured speeds of engines as known to one host. */
int gsShowSpeeds(gsToolOptions const& options);

/** Prints what one host holds for callers and upstreams. */
int gsShowMemory(gsToolOptions const& options);

/** Pressure and admitted shares of each service, as one host knows them. */
int gsShowOverload(gsToolOptions const& options);

/** Who does the duties that one host at a time has, as one host knows. */
int gsShowDuties(gsToolOptions const& options);

/** Requests that are contained or refused since upstreams crashed. */
int gsShowQuarantine(gsToolOptions const& options);

/** Lets one of them through again, on all hosts. */
int gsClearQuarantine(gsToolOptions const& options,
                      std::string const& fingerprint);

/** Hosts, pools and upstreams. */
int gsShowStatus(gsToolOptions const& options);

/** A table of the configuration. */
int gsShowTable(gsToolOptions const& options, char const* table,
                std::vector<std::string> const& fields);

/** The configuration in force. */
int gsShowConfig(gsToolOptions const& options);

/** Says how a file differs from what is in force. */
int gsDiffConfig(gsToolOptions const& options, std::string const& path);
