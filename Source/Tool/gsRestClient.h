/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Calls of the command-line tool to a daemon, one at a time.
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "gsFieldReader.h"
#include "gsHttpClient.h"

/** Where a daemon's operators' interface is. */
struct gsOperatorEndpoint
{
  std::string Address; ///< IP:port.
  std::string Token;
};

/** Makes a call and waits for its end. OnData may stay empty. */
gsAnswer gsCallAndWait(gsCall call);

/**
 * Calls the operators' interface. The value is the answer's JSON; an error
 * carries the daemon's own code and message when it gave one.
 */
gsResult<gsJson> gsCallOperator(gsOperatorEndpoint const& endpoint,
                                std::string_view method, std::string_view path,
                                std::string body = {});
