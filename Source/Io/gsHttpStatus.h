/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The HTTP status codes that the project uses.
 */
#pragma once

constexpr unsigned gsStatusOk = 200;
constexpr unsigned gsStatusAccepted = 202;
constexpr unsigned gsStatusBadRequest = 400;
constexpr unsigned gsStatusUnauthorized = 401;
constexpr unsigned gsStatusNotFound = 404;
constexpr unsigned gsStatusWrongMethod = 405;
constexpr unsigned gsStatusRequestTimeout = 408;
constexpr unsigned gsStatusConflict = 409;
constexpr unsigned gsStatusTooLarge = 413;
constexpr unsigned gsStatusMisdirected = 421;
constexpr unsigned gsStatusTooMany = 429;
constexpr unsigned gsStatusHeadTooLarge = 431;
constexpr unsigned gsStatusServerError = 500;
constexpr unsigned gsStatusBadGateway = 502;
constexpr unsigned gsStatusUnavailable = 503;
