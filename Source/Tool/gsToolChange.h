/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The commands that change the configuration.
 */
#pragma once

#include <string>

#include <CLI/CLI.hpp>

#include "gsToolOutput.h"

/** Waits until a change is accepted; says meanwhile who is missing. */
int gsWaitAccepted(gsToolOptions const& options, gsJson state);

/** Sends a change and, unless told not to, waits until it is accepted. */
int gsSubmitChange(gsToolOptions const& options, gsJson change);

/** Options that set one field of an object when they are given. */
class gsAssignments
{
public:
  template<typename T>
  void Add(CLI::App* command, std::string const& option,
           std::string const& field, std::string const& help)
  {
    command->add_option_function<T>(
      option, [this, field](T const& value) { this->Values[field] = value; },
      help);
  }
  void Merge(gsJson& object) const { object.update(this->Values); }
  gsJson Values = gsJson::object();
};

/** Makes an object of the configuration, or changes the given fields. */
int gsSetObject(gsToolOptions const& options, char const* table,
                char const* kind, char const* field, std::string const& name,
                gsAssignments const& assigned);

/** Checks a configuration file. */
int gsCheckFile(std::string const& path);

/** Puts a configuration file in force. */
int gsApplyFile(gsToolOptions const& options, std::string const& path);
