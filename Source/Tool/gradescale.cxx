/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The command-line tool for operators and callers.
 */
#include <csignal>

#include <curl/curl.h>

#include "gsTool.h"

int main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return gsRunTool(argc, argv);
}
