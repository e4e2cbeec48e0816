/**
 * @file quarantine.hpp What is known of requests under which backend servers ended, without sockets or clock reads.
 */
#pragma once

#include <cornelspring/net.hpp>

namespace cornelspring {

/** Address of a caller, without its port: it connects anew, and from another port, for a repeated request. */
using caller_address = strong_id<struct caller_address_tag, std::string>;
/** Tells requests apart by what they ask: equal for a request and its repetitions. 32 hexadecimal digits. */
using request_digest = strong_id<struct request_digest_tag, std::string>;

/**
 * @return the digest of a request's method, host, path, body and caller. The id and the deadline are left out, as they
 * differ with each repetition. A caller cannot make a request with the digest of somebody else's.
 * @param request request. @param caller who sent it.
 */
request_digest digest_of(http_request const& request, caller_address const& caller);

} // namespace cornelspring
