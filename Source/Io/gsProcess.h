/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Memory and descriptors of this process as the operating system counts them,
 * and the settings of the heap that keep its memory close to what is in use.
 */
#pragma once

#include <cstddef>
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

/**
 * Descriptors that this process may open.
 *
 * \param configured A lower number, or zero for none.
 */
std::size_t gsMaxDescriptors(std::size_t configured);
