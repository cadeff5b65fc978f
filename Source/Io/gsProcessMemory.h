/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Memory of this process as the operating system counts it, and the settings
 * of the heap that keep it close to what is in use.
 */
#pragma once

#include <cstdint>

/**
 * Has large blocks of the heap mapped one by one, so that their memory goes
 * back when they are freed. By default the C library raises the size from
 * which it does so whenever such a block is freed.
 */
void gsConfigureHeap();

/** Resident memory of this process in bytes; zero if it is not known. */
std::uint64_t gsResidentBytes();

/** Returns free pages of the heap to the operating system. */
void gsReleaseFreeHeap();
