/**
 * @file places.hpp Placement rules, without sockets or clock reads: home regions of requests, evacuated failure
 * domains, and the rate limit of cold backend servers across all VMs.
 */
#pragma once

#include <cornelspring/base.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cornelspring {

// ---- Locality ----

/** Name of a failure domain. */
using domain_name = strong_id<struct domain_name_tag, std::string>;
/** Name of a region: a group of failure domains with low latency between them. */
using region_name = strong_id<struct region_name_tag, std::string>;
/** Regions in which a request may be served; empty: all. */
using region_set = std::set<region_name>;

/** @return whether a request with home regions @p homes may be served in @p region. @param homes home regions.
 *  @param region region of the backend server. */
inline bool in_home_region(region_set const& homes, region_name const& region)
{
    return homes.empty() || homes.contains(region);
}

/** Distance of a backend server from this VM. */
enum class proximity { same_domain, same_region, other_region };

/** Failure domain and region of this VM, and the region of each known failure domain. */
struct locality {
    domain_name domain;                         ///< Failure domain of this VM.
    region_name region;                         ///< Region of this VM.
    std::map<domain_name, region_name> regions; ///< Region of each known failure domain.
    /** @return the distance of @p other from this VM. @param other failure domain. */
    proximity proximity_to(domain_name const& other) const;
    /** @return the region of @p of; empty when it is not known. @param of failure domain. */
    region_name region_of(domain_name const& of) const;
};

// ---- Evacuations ----

/** Failure domains that operators have evacuated: their backend servers get no new attempts. */
class evacuations {
public:
    /** Starts the evacuation of @p domain. @param domain failure domain. @return whether it is new. */
    bool start(domain_name const& domain) { return m_domains.insert(domain).second; }
    /** Stops the evacuation of @p domain. @param domain failure domain. @param now current time. @return whether it was
     *  in force. */
    bool stop(domain_name const& domain, time_point now);
    /** @return whether @p domain is evacuated. @param domain failure domain. */
    bool is_evacuated(domain_name const& domain) const { return m_domains.contains(domain); }
    /** @return all evacuated failure domains. */
    std::set<domain_name> const& domains() const { return m_domains; }
    /** @return when the last evacuation of @p domain stopped; empty when none has. @param domain failure domain. */
    std::optional<time_point> stopped_at(domain_name const& domain) const;

private:
    std::set<domain_name> m_domains;             ///< Evacuated failure domains.
    std::map<domain_name, time_point> m_stopped; ///< When the last evacuation of each stopped.
};

// ---- Cold backend servers ----

/** Margin of the rate limit of a cold backend server over the rate that its service states. */
struct warmup_limits {
    double factor = 1.5; ///< Factor on the stated rate.
    double slack = 5;    ///< Requests per second added to the product.
};

/** Warm-up of the backend servers of a service. */
struct warmup_spec {
    milliseconds duration{0}; ///< How long a backend server is cold after its start.
    double per_second = 0;    ///< Requests per second that a cold one can handle; 0: no limit.
};

/**
 * Divides the requests that a cold backend server may get per second among the VMs to which callers are sent. Each VM
 * gets the same whole number; the remainder goes to VMs chosen by a hash with the server's id, so that all VMs compute
 * the same division without exchanging messages. VMs to which callers are not sent get a quota of 0.
 *
 * With a limit B, n VMs in the common view and a share u of B that is divided, all VMs together send at most u x B in
 * any second. A VM that is cut off keeps dividing by the n it last received while the others divide by a smaller
 * number: with a share d of the VMs cut off, the total is at most u x B x (1 + d). A VM that has just started has no
 * quota until the others have received its registration.
 */
class warmup_quotas {
public:
    /** Sets the VMs that share the limit. @param participants store keys of the VMs to which callers are sent. @param
     * self this VM's key. @param now current time. */
    void set_participants(std::set<std::string> const& participants, std::string const& self, time_point now);
    /** @return requests that this VM may send to @p server in any second. @param server its id. @param bound limit on
     * the requests per second from all VMs together. @param now current time. */
    int quota(std::string const& server, double bound, time_point now) const;

private:
    std::vector<std::string> m_participants;       ///< Store keys of the VMs that share the limit.
    std::string m_self;                            ///< This VM's key.
    std::optional<time_point> m_participant_since; ///< When this VM became one of them; empty when it is not.
};

/** Counts the requests that this VM sent to one backend server within the last second. */
class warmup_send_counter {
public:
    /** Records a sent request. @param now current time. */
    void on_sent(time_point now);
    /** @return requests sent in the second before @p now. @param now current time. */
    int count(time_point now) const;

private:
    std::deque<time_point> m_sent; ///< Send times, oldest first.
};

// ---- Rules ----

/** What the placement rules need of one backend server. */
struct server_placement {
    domain_name domain;                  ///< Failure domain.
    region_name region;                  ///< Its region.
    std::string id;                      ///< Id of the backend server.
    time_point cold_until;               ///< End of its warm-up, by its registration or responses.
    warmup_send_counter sent_while_cold; ///< Requests that this VM sent to it while it was cold.
};

/** What the placement rules need of one request. */
struct placement_requirements {
    region_set const& home_region_set; ///< Regions in which it may be served.
    warmup_spec const& warmup;         ///< Warm-up of the service's backend servers.
};

/** Why a request may not be sent to a backend server. */
enum class placement_refusal {
    none,                ///< It may be sent.
    outside_home_region, ///< It is outside the request's home regions.
    evacuated,           ///< Its failure domain is evacuated.
    cold,                ///< It is cold, and this VM's quota for it is used up.
};
/** @return the name of @p refusal for logs. @param refusal the refusal. */
char const* to_string(placement_refusal refusal);

/** Decides to which backend servers a request may be sent; every choice of a backend server applies these rules. */
class placement_rules {
public:
    /** @param limits rate limit of cold backend servers. */
    explicit placement_rules(warmup_limits limits = {}) : m_limits(limits) {}
    /** @return why the request may not be sent to @p server now, or none. @param server backend server. @param
     * requirements the request. @param now current time. */
    placement_refusal refusal(server_placement const& server, placement_requirements const& requirements,
                              time_point now) const;
    /** Records a request sent to @p server. @param server backend server. @param requirements the request. @param now
     * current time. */
    void on_sent(server_placement& server, placement_requirements const& requirements, time_point now) const;
    /** @return whether @p server counts as cold: it reported so, or the evacuation of its failure domain stopped less
     * than a warm-up ago. @param server backend server. @param warmup warm-up of its service. @param now current time.
     */
    bool is_cold(server_placement const& server, warmup_spec const& warmup, time_point now) const;
    /** @return the evacuations. */
    evacuations& evacuated() { return m_evacuations; }
    /** @return the evacuations. */
    evacuations const& evacuated() const { return m_evacuations; }
    /** @return this VM's quotas for cold backend servers. */
    warmup_quotas& quotas() { return m_quotas; }

private:
    warmup_limits m_limits;    ///< Rate limit of cold backend servers.
    evacuations m_evacuations; ///< Evacuated failure domains.
    warmup_quotas m_quotas;    ///< Division of the rate limit among VMs.
};

} // namespace cornelspring
