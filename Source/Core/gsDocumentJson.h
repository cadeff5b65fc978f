/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reads and writes the configuration document and its changes as JSON. All
 * sources (files, changes by operators, the platform) are validated by the
 * same rules: field types and ranges, unique names, and references to tiers
 * and templates that exist.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gsDocument.h"
#include "gsFieldReader.h"

/** Parses and validates a document. \param source Prefix of error messages,
 * usually a file name. */
gsResult<gsDocument> gsDocumentFromJson(gsJson const& json,
                                        std::string_view source);
gsResult<gsDocument> gsDocumentFromText(std::string_view text,
                                        std::string_view source);

gsJson gsToJson(gsTemplate const& row);
gsJson gsToJson(gsOrganisation const& row);
gsJson gsToJson(gsUpstream const& row);
gsJson gsToJson(gsDocument const& document);

/**
 * Applies a change to a document and increments its version.
 *
 * A change is a JSON object with the fields "id" (unique; identifies repeated
 * submissions), "kind" and the object or name that the kind requires. The
 * optional field "expected_revision" makes the change fail with a conflict if
 * the object is at another revision. Kinds: import, set_tiers, set_template,
 * set_organisation, add_upstream, retire_upstream, stop_upstream. On an error
 * the document is unchanged.
 */
gsResult<gsChange> gsApplyChange(gsDocument& document,
                                 std::string_view change);

/** Finds a retained change by its id. \return Null if there is none. */
gsChange const* gsFindChange(gsDocument const& document, std::string_view id);
