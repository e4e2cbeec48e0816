/**
 * @file customers.hpp Customers, without sockets or clock reads: who holds an API key. Their quotas are in quota.hpp.
 */
#pragma once

#include <cornelspring/places.hpp>

#include <string_view>
#include <unordered_map>

namespace cornelspring {

/** Name of a customer. */
using customer_name = strong_id<struct customer_name_tag, std::string>;

/** Limit on the requests of a customer over all VMs together. */
struct quota_limit {
    double per_second = 0; ///< Requests per second; 0: no limit.
    double burst = 0;      ///< Further requests at once after a quiet time.
    /** @return whether there is no limit. */
    bool unlimited() const { return per_second <= 0; }
};

/** A customer as operators configure it. */
struct customer {
    customer_name name;         ///< Name, as backend servers receive it.
    int priority = 0;           ///< Priority; 0 is the highest. It precedes the priority of the route.
    quota_limit quota;          ///< Limit on its requests.
    region_set home_region_set; ///< Regions that may serve it; empty: all. Those of the route bind too.
};

/** Digest of an API key, in lower-case hexadecimal. A key cannot be derived from its digest, and a digest is not
 *  accepted as a key. */
using key_digest = strong_id<struct key_digest_tag, std::string>;

/** @return the digest of @p key: SHA-256 over a fixed prefix and the key. @param key API key.
 *  @throw error internal when it cannot be computed. */
key_digest digest_of_key(std::string_view key);

/** A customer with the digests of its API keys, as read from the configuration. */
struct customer_definition {
    customer of;                  ///< The customer.
    std::vector<key_digest> keys; ///< Digests of its API keys.
};

/**
 * The customers of one version of the configuration, by key and by name. It holds digests of the keys only. Since it
 * looks up the digest, the time of a lookup tells nothing about how much of a guessed key is right.
 */
class customer_directory {
public:
    /** The directory of a configuration without a list of customers: requests need no key. */
    customer_directory() = default;
    /** @param definitions customers; if there are none, no key is valid. A key that several of them list identifies
     *  none of them. */
    explicit customer_directory(std::vector<customer_definition> definitions);
    /** @return whether requests need a key, that is, whether the configuration has a list of customers. */
    bool keys_required() const { return m_keys_required; }
    /** @return the customer that holds @p key, or null. @param key API key. */
    customer const* find_key(std::string_view key) const;
    /** @return the customer @p name, or null. @param name name. */
    customer const* find(customer_name const& name) const;
    /** @return all customers. */
    std::vector<customer> const& all() const { return m_customers; }
    /** @return the number of customers. */
    std::size_t size() const { return m_customers.size(); }

private:
    bool m_keys_required = false;                           ///< The configuration has a list of customers.
    std::vector<customer> m_customers;                      ///< All customers; pointers into it are handed out.
    std::unordered_map<std::string, std::size_t> m_by_key;  ///< Index by digest of a key.
    std::unordered_map<std::string, std::size_t> m_by_name; ///< Index by name.
};

/** @return the key in the value of an Authorization header with the scheme Bearer; empty for any other value.
 *  @param authorization header value. */
std::string_view bearer_key(std::string_view authorization);

/** @return the regions that may serve a request if both @p left and @p right bind. Without a common region the result
 *  is a set that contains no existing region. @param left regions; empty: all. @param right regions; empty: all. */
region_set common_homes(region_set const& left, region_set const& right);

} // namespace cornelspring
