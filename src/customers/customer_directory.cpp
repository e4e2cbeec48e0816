/** @file customer_directory.cpp Customers by API key. */
#include <cornelspring/customers.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>

namespace cornelspring {
namespace {

/** Scheme of the Authorization header, in lower case, with the space after it. */
constexpr std::string_view bearer_scheme = "bearer ";

/** Precedes the key in the input of the digest, so that digests of the same string made elsewhere differ. Gateways of
 *  one fleet exchange digests, so all of them must use the same prefix. */
constexpr std::string_view digest_prefix = "cornelspring api key:";

} // namespace

key_digest digest_of_key(std::string_view key)
{
    auto const text = std::string(digest_prefix).append(key);
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), hash.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw error(error_kind::internal, "cannot compute the digest of an API key.",
                    "Check that the installed OpenSSL provides SHA-256.");
    }
    static constexpr char const* digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i)
        hex.append({digits[hash[i] >> 4], digits[hash[i] & 15]});
    return key_digest(std::move(hex));
}

customer_directory::customer_directory(std::vector<customer_definition> definitions) : m_keys_required(true)
{
    constexpr auto several = static_cast<std::size_t>(-1);
    m_customers.reserve(definitions.size());
    for (auto& definition : definitions) {
        auto const index = m_customers.size();
        for (auto const& key : definition.keys) {
            auto const [known, is_new] = m_by_key.try_emplace(key.value(), index);
            if (!is_new && known->second != index) known->second = several;
        }
        m_by_name.emplace(definition.of.name.value(), index);
        m_customers.push_back(std::move(definition.of));
    }
    std::erase_if(m_by_key, [several](auto const& each) { return each.second == several; });
}

customer const* customer_directory::find_key(std::string_view key) const
{
    if (key.empty()) return nullptr;
    auto const found = m_by_key.find(digest_of_key(key).value());
    return found == m_by_key.end() ? nullptr : &m_customers[found->second];
}

customer const* customer_directory::find(customer_name const& name) const
{
    auto const found = m_by_name.find(name.value());
    return found == m_by_name.end() ? nullptr : &m_customers[found->second];
}

std::string_view bearer_key(std::string_view authorization)
{
    if (authorization.size() < bearer_scheme.size()) return {};
    bool const matches =
        std::equal(bearer_scheme.begin(), bearer_scheme.end(), authorization.begin(),
                   [](char wanted, char given) { return wanted == std::tolower(static_cast<unsigned char>(given)); });
    if (!matches) return {};
    auto const from = authorization.find_first_not_of(' ', bearer_scheme.size());
    if (from == std::string_view::npos) return {};
    auto const end = authorization.find_last_not_of(" \t");
    return authorization.substr(from, end + 1 - from);
}

region_set common_homes(region_set const& left, region_set const& right)
{
    /** Name that no region has. */
    static region_name const no_region(std::string(1, '\0'));
    if (left.empty()) return right;
    if (right.empty()) return left;
    region_set common;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(), std::inserter(common, common.end()));
    if (common.empty()) common.insert(no_region);
    return common;
}

} // namespace cornelspring
