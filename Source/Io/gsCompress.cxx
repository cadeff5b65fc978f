/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsCompress.h"

#include <memory>

#include <zstd.h>

namespace {

constexpr int CompressionLevel = 1;
constexpr int MinWindowLog = 10;
constexpr int MaxWindowLog = 26;

struct FreeContext
{
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

/** Logarithm of a window that reaches over a number of bytes. */
int WindowLog(std::size_t bytes)
{
  int log = MinWindowLog;
  while (log < MaxWindowLog && (std::size_t{ 1 } << log) < bytes) {
    ++log;
  }
  return log;
}

} // namespace

std::string gsCompress(std::string_view text, std::string_view base)
{
  std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         CompressionLevel);
  if (!base.empty()) {
    // The window has to reach from the end of the text to the start of its
    // base.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                           WindowLog(text.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching,
                           1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  std::size_t size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                                    text.data(), text.size());
  bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return bytes;
}

std::optional<std::string> gsDecompress(std::string_view bytes,
                                        std::string_view base,
                                        std::size_t maxSize)
{
  unsigned long long size =
    ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  bool isKnown =
    size != ZSTD_CONTENTSIZE_ERROR && size != ZSTD_CONTENTSIZE_UNKNOWN;
  if (!isKnown || size > maxSize) {
    return std::nullopt;
  }
  std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, MaxWindowLog);
  if (!base.empty()) {
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string text(static_cast<std::size_t>(size), '\0');
  std::size_t restored = ZSTD_decompressDCtx(
    context.get(), text.data(), text.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(restored) != 0 || restored != text.size()) {
    return std::nullopt;
  }
  return text;
}
