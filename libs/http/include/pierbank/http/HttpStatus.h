// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_HTTP_HTTPSTATUS_H
#define PIERBANK_HTTP_HTTPSTATUS_H

#include <cstdint>

namespace pierbank {

// Status codes from RFC 9110 and RFC 6585.

inline constexpr std::uint32_t HTTP_OK = 200;
inline constexpr std::uint32_t HTTP_BAD_REQUEST = 400;
inline constexpr std::uint32_t HTTP_UNAUTHORIZED = 401;
inline constexpr std::uint32_t HTTP_FORBIDDEN = 403;
inline constexpr std::uint32_t HTTP_NOT_FOUND = 404;
inline constexpr std::uint32_t HTTP_METHOD_NOT_ALLOWED = 405;
inline constexpr std::uint32_t HTTP_CONFLICT = 409;
inline constexpr std::uint32_t HTTP_GONE = 410;
inline constexpr std::uint32_t HTTP_PRECONDITION_FAILED = 412;
inline constexpr std::uint32_t HTTP_TOO_LARGE = 413;
inline constexpr std::uint32_t HTTP_MISDIRECTED = 421;
inline constexpr std::uint32_t HTTP_TOO_MANY = 429;
inline constexpr std::uint32_t HTTP_HEADERS_TOO_LARGE = 431;
inline constexpr std::uint32_t HTTP_BAD_GATEWAY = 502;
inline constexpr std::uint32_t HTTP_UNAVAILABLE = 503;
inline constexpr std::uint32_t HTTP_TIMEOUT = 504;

}  // namespace pierbank

#endif  // PIERBANK_HTTP_HTTPSTATUS_H
