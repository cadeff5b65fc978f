/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Hashes and comparisons of secrets, and random identifiers.
 */
#pragma once

#include <string>
#include <string_view>

/** SHA-256 as 64 lower-case hexadecimal digits. */
std::string gsSha256(std::string_view text);

/** Compares in a time that does not depend on where the texts differ. */
bool gsSameSecret(std::string_view a, std::string_view b);

/** Thirty-two random hexadecimal digits from the operating system. */
std::string gsRandomId();
