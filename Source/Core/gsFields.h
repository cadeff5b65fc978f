/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Checked reading of JSON objects. Each field is read with its type, unit and
 * range; what is left over is an error. Errors name the source, the path of
 * the field, the value and what was expected.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "gsTypes.h"

using gsJson = nlohmann::json;

/** The closest of the words, if one is close enough to be a slip of it. */
std::optional<std::string> gsDidYouMean(std::string_view word,
                                        std::vector<std::string> const& words);

/** Parses JSON with comments; an error names the source, line and column. */
gsResult<gsJson> gsParseJson(std::string_view text, std::string_view source);

/** Allowed values of a number, both ends included. */
struct gsRange
{
  double Least = 0;
  double Most = 0;
};

/**
 * Reads the fields of one object. The first mistake found is kept; what is
 * read after it is not used.
 */
class gsFields
{
public:
  /** Path is empty for the outermost object. */
  gsFields(gsJson const& object, std::string source, std::string path);

  bool Has(std::string const& name) const;

  /** A text; without a fallback the field is required. */
  std::string Text(std::string const& name,
                   std::optional<std::string> const& fallback = std::nullopt);
  double Number(std::string const& name, gsRange range,
                std::optional<double> fallback = std::nullopt);
  std::uint64_t Whole(std::string const& name, gsRange range,
                      std::optional<std::uint64_t> fallback = std::nullopt);
  bool Flag(std::string const& name, bool fallback);
  /** A span of time given in milliseconds. */
  gsTime Millis(std::string const& name, gsRange range,
                std::optional<gsTime> fallback = std::nullopt);
  /** One of several words; the result is its index. */
  std::size_t Choice(std::string const& name,
                     std::vector<std::string> const& words,
                     std::optional<std::size_t> fallback = std::nullopt);
  /** An IP:port address. */
  std::string Address(
    std::string const& name,
    std::optional<std::string> const& fallback = std::nullopt);
  std::vector<std::string> Texts(std::string const& name);

  /** Reads a nested object; a missing one is read as empty. */
  void Object(std::string const& name,
              std::function<void(gsFields& fields)> const& read);
  /** Reads a list of objects; a missing one is read as empty. */
  void List(std::string const& name,
            std::function<void(gsFields& fields)> const& read);
  /** Reads an object whose field names are data. */
  void Map(
    std::string const& name,
    std::function<void(std::string const& key, gsFields& fields)> const& read);
  /** Reads an object of texts whose field names are data. */
  std::map<std::string, std::string> TextMap(std::string const& name);

  /** Notes a mistake in a field. */
  void Mistake(std::string const& name, std::string const& expected);

  /** Ends reading: fields that were never asked for are mistakes. */
  void Finish();

  std::optional<gsError> const& Error() const { return this->First; }

private:
  gsJson const* Take(std::string const& name, bool required,
                     char const* expected);
  std::string PathOf(std::string const& name) const;
  void Adopt(gsFields const& inner);

  gsJson const& Value;
  std::string Source;
  std::string Path;
  std::set<std::string> Known;
  std::optional<gsError> First;
};
