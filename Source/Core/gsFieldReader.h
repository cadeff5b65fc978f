/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Validating reader for JSON objects. Each field is read with its type, unit
 * and range. A field that was not read is an error. An error message contains
 * the source, the path of the field, its value and the expected value.
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

/** The candidate with the smallest edit distance, as a suggestion for a
 * misspelled word; empty if none is within two edits. */
std::optional<std::string> gsSuggestSpelling(
  std::string_view word, std::vector<std::string> const& candidates);

/** Parses JSON, which may contain comments. An error names the source and
 * line. */
gsResult<gsJson> gsParseJson(std::string_view text, std::string_view source);

/** Allowed range of a number, both bounds included. */
struct gsRange
{
  double Min = 0;
  double Max = 0;
};

/**
 * Reads the fields of one object. Only the first error is stored. Callers
 * check Error() after Finish(), and discard all values if there is one.
 *
 * Without a fallback, a field is required.
 */
class gsFieldReader
{
public:
  /** \param object Must outlive the reader.
   * \param source Prefix of error messages.
   * \param path Path of the object; empty for the outermost object. */
  gsFieldReader(gsJson const& object, std::string source, std::string path);

  /** Whether the field is present. Does not count as reading it. */
  bool Has(std::string const& name) const;

  /** A string; a required one must not be empty. */
  std::string String(
    std::string const& name,
    std::optional<std::string> const& fallback = std::nullopt);
  /** A number, with or without a fraction. */
  double Number(std::string const& name, gsRange range,
                std::optional<double> fallback = std::nullopt);
  /** An integer that is not negative. */
  std::uint64_t Unsigned(std::string const& name, gsRange range,
                         std::optional<std::uint64_t> fallback = std::nullopt);
  /** A boolean; never required. */
  bool Boolean(std::string const& name, bool fallback);
  /** A duration in milliseconds, fractions allowed. */
  gsTime Milliseconds(std::string const& name, gsRange range,
                      std::optional<gsTime> fallback = std::nullopt);
  /** One of several names. \return Its index. */
  std::size_t Choice(std::string const& name,
                     std::vector<std::string> const& names,
                     std::optional<std::size_t> fallback = std::nullopt);
  /** An IPv4 address and port, "IP:port". */
  std::string Address(
    std::string const& name,
    std::optional<std::string> const& fallback = std::nullopt);
  /** A list of strings; a missing one is read as empty. */
  std::vector<std::string> Strings(std::string const& name);

  /** Reads a nested object; a missing one is read as empty. */
  void Object(std::string const& name,
              std::function<void(gsFieldReader& fields)> const& read);
  /** Reads a list of objects; a missing one is read as empty. */
  void List(std::string const& name,
            std::function<void(gsFieldReader& fields)> const& read);
  /** Reads an object of objects with arbitrary keys; a missing one is read as
   * empty. */
  void Map(std::string const& name,
           std::function<void(std::string const& key,
                              gsFieldReader& fields)> const& read);
  /** Reads an object of strings with arbitrary keys; a missing one is read as
   * empty. */
  std::map<std::string, std::string> StringMap(std::string const& name);

  /** Stores an error about a field, unless there is an earlier one. */
  void ReportError(std::string const& name, std::string const& expected);

  /** Ends reading. A field that was not read is an error. */
  void Finish();

  /** The first error; empty if there is none. */
  std::optional<gsError> const& Error() const { return this->FirstError; }

private:
  /** Finds a field and marks it as read. \return Null if the field is missing,
   * which is an error if it is required, or after an error. */
  gsJson const* Find(std::string const& name, bool required,
                     char const* expected);
  /** Path of a field from the outermost object, for error messages. */
  std::string PathOf(std::string const& name) const;
  /** Copies the error of a nested object, unless there is an earlier one. */
  void InheritError(gsFieldReader const& inner);

  gsJson const& Value;
  std::string Source;
  std::string Path;
  std::set<std::string> KnownNames; ///< Fields that callers have asked for.
  std::optional<gsError> FirstError;
};
