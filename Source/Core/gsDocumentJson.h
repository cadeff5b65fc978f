/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The configuration document and its changes as JSON. The rules that a
 * document must keep are checked here, for files, for operators' changes and
 * for what comes from the platform alike.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gsDocument.h"
#include "gsFields.h"

/** Reads a whole document. Source names it in errors. */
gsResult<gsDocument> gsDocumentFromJson(gsJson const& json,
                                        std::string_view source);
gsResult<gsDocument> gsDocumentFromText(std::string_view text,
                                        std::string_view source);

gsJson gsToJson(gsTemplate const& row);
gsJson gsToJson(gsOrganisation const& row);
gsJson gsToJson(gsUpstream const& row);
gsJson gsToJson(gsDocument const& document);

/**
 * Applies a change to a document and raises its version by one.
 *
 * A change is a JSON object: "id" (unique; repeats are recognised by it),
 * "kind", the object or name that the kind needs, and "expected_revision" of
 * that object if the operator wants a conflict when it changed meanwhile.
 * Kinds: import, set_tiers, set_template, set_organisation, add_upstream,
 * retire_upstream, stop_upstream. On an error the document is unchanged.
 */
gsResult<gsChange> gsApplyChange(gsDocument& document,
                                 std::string_view change);

/** The change with this id, if the document remembers it. */
gsChange const* gsFindChange(gsDocument const& document, std::string_view id);
