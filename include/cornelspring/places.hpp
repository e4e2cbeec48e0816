/**
 * @file places.hpp What a place may serve, without sockets or clock reads: homes of requests, evacuated failure
 * domains, and how much a backend server that is cold gets from all VMs together.
 */
#pragma once

#include <cornelspring/base.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cornelspring {

// ---- Places ----

/** Name of a failure domain. */
using domain_name = strong_id<struct domain_name_tag, std::string>;
/** Name of a region: failure domains near each other. */
using region_name = strong_id<struct region_name_tag, std::string>;
/** Regions in which a request may be served; empty: everywhere. */
using region_set = std::set<region_name>;

/** @return whether a request with @p homes may be served in @p region. @param homes its homes. @param region where. */
inline bool in_home_regions(region_set const& homes, region_name const& region)
{
    return homes.empty() || homes.contains(region);
}

/** How far a backend server is from this VM. */
enum class proximity { same_domain, same_region, other_region };

/** Where this VM is, and which region each failure domain belongs to. */
struct locality {
    domain_name domain;                         ///< Failure domain of this VM.
    region_name region;                         ///< Region of this VM.
    std::map<domain_name, region_name> regions; ///< Region of each known failure domain.
    /** @return how far @p other is. @param other failure domain. */
    proximity proximity_to(domain_name const& other) const;
    /** @return the region of @p of; empty when it is not known. @param of failure domain. */
    region_name region_of(domain_name const& of) const;
};

// ---- Evacuations ----

/** The failure domains whose backend servers the operators want to get nothing. */
class evacuations {
public:
    /** Takes in an evacuation. @param domain which. @return whether it is new. */
    bool start(domain_name const& domain) { return m_orders.insert(domain).second; }
    /** Takes in that it was taken back. @param domain which. @param now present time. @return whether it was known. */
    bool stop(domain_name const& domain, time_point now);
    /** @return whether @p domain is evacuated. @param domain which. */
    bool is_evacuated(domain_name const& domain) const { return m_orders.contains(domain); }
    /** @return all that are in force. */
    std::set<domain_name> const& domains() const { return m_orders; }
    /** @return when the last one of @p domain ended; nothing when none did. @param domain which. */
    std::optional<time_point> stopped_at(domain_name const& domain) const;

private:
    std::set<domain_name> m_orders;            ///< In force.
    std::map<domain_name, time_point> m_ended; ///< End of the last one.
};

// ---- Cold backend servers ----

/** What the bound on requests to a cold backend server adds to the rate that it bears. */
struct warmup_limits {
    double factor = 1.5; ///< Factor on that rate.
    double slack = 5;    ///< Requests a second beyond it.
};

/** What a service says of its backend servers while they are cold. */
struct warmup_spec {
    milliseconds duration{0}; ///< How long one is cold after its start.
    double per_second = 0;    ///< Requests a second that it bears; 0: no bound.
};

/**
 * Divides the requests that a cold backend server may get in one second among the VMs that callers are sent to: whole
 * requests, as many for each, and the rest to some of them chosen by the server's id, so that all VMs agree without a
 * word between them. VMs that callers are not sent to get none.
 *
 * With a bound B, n VMs in the common view and a share u used, all together send at most u x B in any second. A VM that
 * is cut off goes on with the n that it knew while the others divide by fewer: with a share d cut off that is
 * u x B x (1 + d). A VM that has just started waits until the others have heard of it.
 */
class warmup_quotas {
public:
    /** Sets who shares. @param sharers store keys of the VMs that callers are sent to. @param self this VM's key.
     *  @param now present time. */
    void set_participants(std::set<std::string> const& sharers, std::string const& self, time_point now);
    /** @return requests that this VM may send to @p server in any second. @param server its id. @param bound requests
     *  that it may get from all VMs in one second. @param now present time. */
    int quota(std::string const& server, double bound, time_point now) const;

private:
    std::vector<std::string> m_sharers; ///< Keys.
    std::string m_self;                 ///< This VM's key.
    std::optional<time_point> m_since;  ///< Since when this VM has been one of them.
};

/** Requests that this VM has sent to one backend server within the last second. */
class warmup_send_counter {
public:
    /** Notes a request sent. @param now present time. */
    void on_sent(time_point now);
    /** @return requests sent in the second before @p now. @param now present time. */
    int count(time_point now) const;

private:
    std::deque<time_point> m_sent; ///< Times of sending, oldest first.
};

// ---- Rules ----

/** What the rules look at of one backend server. */
struct server_placement {
    domain_name domain;                  ///< Failure domain.
    region_name region;                  ///< Its region.
    std::string id;                      ///< Id of the backend server.
    time_point cold_until;               ///< Cold until then, by its own word.
    warmup_send_counter sent_while_cold; ///< What this VM has sent there while it was cold.
};

/** What a request brings along. */
struct placement_requirements {
    region_set const& home_regions; ///< Where it may be served.
    warmup_spec const& warmup;      ///< Cold backend servers of the service.
};

/** Why a backend server may not get a request. */
enum class placement_refusal {
    none,                 ///< It may.
    outside_home_regions, ///< It is in no home of the request.
    evacuated,            ///< Its failure domain is evacuated.
    cold,                 ///< It is cold, and has got what this VM may send.
};
/** @return the name of @p refusal for logs. @param refusal the refusal. */
char const* to_string(placement_refusal refusal);

/** Decides which backend servers a request may reach; every choice of one asks here. */
class placement_rules {
public:
    /** @param limits bound on cold backend servers. */
    explicit placement_rules(warmup_limits limits = {}) : m_limits(limits) {}
    /** @return why @p server may not get a request now. @param server place of it. @param asked the request.
     *  @param now present time. */
    placement_refusal refusal(server_placement const& server, placement_requirements const& asked,
                              time_point now) const;
    /** Notes a request sent to @p server. @param server place of it. @param asked the request. @param now present. */
    void on_sent(server_placement& server, placement_requirements const& asked, time_point now) const;
    /** @return whether @p server is taken to be cold: by its own word, or as its failure domain was evacuated until
     *  shortly before. @param server place of it. @param warmup its service's word. @param now present time. */
    bool is_cold(server_placement const& server, warmup_spec const& warmup, time_point now) const;
    /** @return the evacuations. */
    evacuations& evacuated() { return m_evacuated; }
    /** @return the evacuations. */
    evacuations const& evacuated() const { return m_evacuated; }
    /** @return how the pace of cold backend servers is shared. */
    warmup_quotas& quotas() { return m_shares; }

private:
    warmup_limits m_limits;  ///< Bound on cold backend servers.
    evacuations m_evacuated; ///< Evacuations.
    warmup_quotas m_shares;  ///< Division among VMs.
};

} // namespace cornelspring
