/** @file process_fixture.hpp Starting the project's binaries as real processes on loopback for tests. */
#pragma once

#include <cornelspring/transport.hpp>

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace cornelspring::testing {

/**
 * A group of child processes started from the build folder, each with its log and ready file in one
 * temporary folder. Every child gets port 0 and reports the port it bound through its ready file.
 * The destructor sends SIGTERM to all that are still running and waits for them.
 */
class process_group {
public:
    /** Makes the temporary folder. */
    process_group();
    /** Stops every child. */
    ~process_group();
    process_group(process_group const&) = delete;
    process_group& operator=(process_group const&) = delete;

    /**
     * Starts @p binary with @p args plus a ready file, and waits (at most 10 s) for its port.
     * @param name name of the child, for logs and stop(). @param binary e.g. "cornel-store".
     * @param args further arguments. @return the bound port. @throw error unavailable when it never got ready.
     */
    std::uint16_t start(std::string const& name, std::string const& binary, std::vector<std::string> const& args);
    /**
     * Starts @p binary without waiting for it; its output goes to its log.
     * @param name name of the child. @param binary name. @param args arguments.
     */
    void spawn(std::string const& name, std::string const& binary, std::vector<std::string> const& args);
    /**
     * Runs @p binary to completion. @param binary name. @param args arguments. @param output receives stdout.
     * @return the exit status.
     */
    int run(std::string const& binary, std::vector<std::string> const& args, std::string& output);
    /** Sends @p signal to child @p name and, for SIGTERM and SIGKILL, waits for it. @return its exit status. */
    int stop(std::string const& name, int signal);
    /** @return the path of a file in the temporary folder. @param file file name. */
    std::string path(std::string const& file) const { return m_folder + "/" + file; }

private:
    std::string m_folder;                    ///< Temporary folder.
    std::map<std::string, pid_t> m_children; ///< Running children by name.
};

/** @return "127.0.0.1:PORT". @param port port. */
std::string loopback(std::uint16_t port);

} // namespace cornelspring::testing
