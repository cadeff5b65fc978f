/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsProcess.h"

#include <algorithm>
#include <cstdio>
#include <limits>

#include <fcntl.h>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace {

constexpr int MappedBlockBytes = 128 << 10;

} // namespace

void gsConfigureHeap()
{
  mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
}

std::uint64_t gsResidentBytes()
{
  int descriptor = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return 0;
  }
  char text[128] = {};
  ssize_t count = read(descriptor, text, sizeof(text) - 1);
  close(descriptor);
  unsigned long long total = 0;
  unsigned long long resident = 0;
  // The text is that of the kernel.
  bool good =
    count > 0 && std::sscanf(text, "%llu %llu", &total, &resident) == 2;
  return good ? resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))
              : 0;
}

void gsReleaseFreeHeap()
{
  malloc_trim(0);
}

std::size_t gsMaxDescriptors(std::size_t configured)
{
  std::size_t count = std::numeric_limits<std::size_t>::max();
  if (configured > 0) {
    count = configured;
  }
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    count = std::min<rlim_t>(count, limit.rlim_cur);
  }
  return count;
}
