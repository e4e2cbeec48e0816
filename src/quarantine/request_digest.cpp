/** @file request_digest.cpp Digests of requests, and which got a response recently. */
#include <cornelspring/quarantine.hpp>

#include <openssl/evp.h>

#include <array>

namespace cornelspring {
namespace {

/** Bytes of a digest: enough that two requests do not share one by chance. */
constexpr std::size_t digest_bytes = 16;

/** How long a response counts as recent: backend servers may have changed since. */
constexpr milliseconds recent_period{30000};

/** Appends @p part with its length, so that different lists of parts give different texts. */
void append_part(std::string& text, std::string_view part)
{
    text.append(std::to_string(part.size())).append(":").append(part);
}

/** @return the content of the request that its digest covers, as one text. */
std::string content_of(http_request const& request, caller_identity const& caller)
{
    std::string text;
    for (auto const& part : {request.method, request.header("host"), request.path, request.body, caller.value()})
        append_part(text, part);
    return text;
}

} // namespace

request_digest digest_of(http_request const& request, caller_identity const& caller)
{
    auto const text = content_of(request, caller);
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), hash.data(), &size, EVP_sha256(), nullptr);
    static constexpr char const* digits = "0123456789abcdef";
    std::string hex;
    for (std::size_t i = 0; i < digest_bytes; ++i)
        hex.append({digits[hash[i] >> 4], digits[hash[i] & 15]});
    return request_digest(std::move(hex));
}

void recent_responses::add(http_request const& request, caller_identity const& caller, time_point now)
{
    auto const key = std::hash<std::string>()(content_of(request, caller));
    m_responses[key % slot_count] = {key, now};
}

bool recent_responses::contains(http_request const& request, caller_identity const& caller, time_point now) const
{
    auto const key = std::hash<std::string>()(content_of(request, caller));
    auto const& found = m_responses[key % slot_count];
    return found.key == key && now < found.at + recent_period;
}

} // namespace cornelspring
