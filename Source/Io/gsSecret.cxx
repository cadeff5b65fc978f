/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSecret.h"

#include <array>
#include <random>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace {

constexpr char const* Digits = "0123456789abcdef";

} // namespace

std::string gsSha256(std::string_view text)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned length = 0;
  EVP_Digest(text.data(), text.size(), hash.data(), &length, EVP_sha256(),
             nullptr);
  std::string result;
  for (unsigned i = 0; i < length; ++i) {
    result += Digits[hash[i] >> 4U];
    result += Digits[hash[i] & 0xFU];
  }
  return result;
}

bool gsSameSecret(std::string_view a, std::string_view b)
{
  // Hashes have one length, so that not even the length shows.
  std::string first = gsSha256(a);
  std::string second = gsSha256(b);
  return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::string gsRandomId()
{
  constexpr int digits = 32;
  std::random_device device;
  std::string id;
  for (int i = 0; i < digits; ++i) {
    id += Digits[device() & 0xFU];
  }
  return id;
}
