/** @file fleet.hpp Starts the gateways of a small deployment as separate processes, and stops them. */
#pragma once

#include "store.hpp"

#include <fstream>
#include <sys/types.h>

namespace review {

/** One gateway process. */
struct gateway_process {
    std::string name;  ///< Name of its machine.
    std::string zone;  ///< Its zone.
    std::string ip;    ///< Its loopback address.
    address frontend;  ///< Where callers connect.
    address ready;     ///< Where readiness is asked.
    address control;   ///< Where other gateways connect.
    address directory; ///< Where callers ask for addresses.
    std::string boot;  ///< Path of its settings file.
    pid_t pid = -1;    ///< Process; -1: not running.
};

/** Gateways on loopback addresses of their own, with the settings of a small deployment. The variable REVIEW_FOLDER
 *  names a temporary folder. */
class fleet {
public:
    /** @param store address of the store. @param count number of gateways. */
    fleet(address const& store, int count);
    ~fleet() { stop(); }
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;
    /** Starts the process of @p of with the command of the deploy file. */
    void start(gateway_process& of);
    /** Sends @p number to the process of @p of. */
    static void signal(gateway_process const& of, int number);
    /** Waits until the process of @p of has ended. @return whether it did until @p until. */
    static bool wait_end(gateway_process& of, steady::time_point until);
    /** Ends all processes. */
    void stop();
    /** @return whether all gateways are ready before @p until. */
    bool wait_ready(steady::time_point until) const;
    /** @return the gateways. */
    std::vector<gateway_process>& gateways() { return m_gateways; }
    /** @return the loopback address for stand-ins. */
    std::string const& stand_in_host() const { return m_stand_in_host; }

private:
    std::string m_folder;                    ///< Temporary folder, for settings files and logs.
    std::string m_stand_in_host;             ///< For stand-ins.
    std::vector<gateway_process> m_gateways; ///< Gateways.
};

/** The record of a run: what was sent, answered and run. */
class record {
public:
    /** @param path file to write. */
    explicit record(std::string const& path) : m_file(path), m_start(steady::now()) {}
    /** Writes one line with the time since the start. */
    void line(std::string const& text);

private:
    std::mutex m_mutex;         ///< Guards the file.
    std::ofstream m_file;       ///< File.
    steady::time_point m_start; ///< Start of the run.
};

/** @return whether the run has its disruption: the variable TROUBLE is not 0. */
bool with_trouble();
/** @return a route as the operator writes it. @param kind route_type. */
nlohmann::json single_route(std::string const& prefix, std::string const& kind, std::string const& service,
                            int timeout_ms);
/** @return a service as the operator writes it. */
nlohmann::json service_of(std::string const& name, int max_connections);
/** @return a configuration as the operator writes it. */
nlohmann::json configuration(int version, nlohmann::json const& routes, nlohmann::json const& services);

} // namespace review
