/** @file process_fixture.hpp Starts the project's binaries as child processes on loopback for tests. */
#pragma once

#include <cornelspring/transport.hpp>

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace cornelspring::testing {

/**
 * A group of child processes started from the build folder. Their logs and ready files are in one temporary folder.
 * A child listens on port 0 and writes the port that it bound to its ready file.
 * The destructor sends SIGTERM to all children that still run and waits for them.
 */
class process_group {
public:
    /** Creates the temporary folder. */
    process_group();
    /** Stops all children and removes the folder, unless CORNEL_KEEP_LOGS is set. */
    ~process_group();
    process_group(process_group const&) = delete;
    process_group& operator=(process_group const&) = delete;

    /**
     * Starts @p binary with @p args and a ready file, and waits at most 10 s for its port.
     * @param name name of the child, for logs and stop(). @param binary e.g. "cornel-store".
     * @param args arguments. @return the bound port. @throw error unavailable when it did not start or was not ready in
     * time.
     */
    std::uint16_t start(std::string const& name, std::string const& binary, std::vector<std::string> const& args);
    /**
     * Starts @p binary without waiting until it is ready. Its output is appended to its log.
     * @param name name of the child. @param binary name of the binary. @param args arguments.
     * @throw error unavailable when it did not start.
     */
    void spawn(std::string const& name, std::string const& binary, std::vector<std::string> const& args);
    /**
     * Runs @p binary until it exits.
     * @param binary name of the binary. @param args arguments. @param output receives its standard output.
     * @return the exit status.
     */
    int run(std::string const& binary, std::vector<std::string> const& args, std::string& output);
    /** @return the process id of child @p name. */
    int pid(std::string const& name) const { return m_children.at(name); }
    /** Sends @p signal to child @p name and, for SIGTERM and SIGKILL, waits until it exits.
     *  @return its exit status; 0 after other signals, -1 when there is no such child. */
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
