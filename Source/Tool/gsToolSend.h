/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The command that sends a request as a caller does.
 */
#pragma once

#include <string>

#include "gsToolOutput.h"

/** A request to send as a caller. */
struct gsSendOptions
{
  std::string Address;
  std::string Key;
  std::string Template;
  std::string Service;
  std::string Text;
  std::string Idempotency;
  bool Stream = false;
};

/** Sends a request as a caller does, and prints the answer. */
int gsSendRequest(gsSendOptions const& options);
