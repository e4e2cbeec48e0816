/** @file socket.hpp Socket helpers and the task queue of threads that poll (internal). */
#pragma once

#include <cornelspring/base.hpp>

#include <mutex>
#include <functional>
#include <vector>

namespace cornelspring::detail {

/** @return a non-blocking listening socket bound to @p where. @param where address. @throw error unavailable. */
int listen_tcp(endpoint const& where);
/** @return the local port of socket @p fd. @param fd socket. */
std::uint16_t local_port(int fd);
/** @return a non-blocking socket that is connecting to @p peer, or -1 on failure. @param peer address.
 *  @param source numeric local IPv4 address of a connection to an IPv4 address; empty or not an address of this
 * machine: the system chooses. */
int connect_tcp(endpoint const& peer, std::string const& source = "");
/** Makes @p fd non-blocking and disables Nagle's algorithm. @param fd socket. */
void tune_socket(int fd);

/** Forwards warnings and errors of libwebsockets to log4cplus; its other log lines are suppressed. */
void route_lws_logs();

/** A queue of tasks for a thread that waits in poll(); a pipe wakes the thread. */
class task_queue {
public:
    task_queue();
    ~task_queue();
    task_queue(task_queue const&) = delete;
    task_queue& operator=(task_queue const&) = delete;
    /** Adds @p task and wakes the thread. Thread-safe. @param task callback. */
    void post(std::function<void()> task);
    /** @return the descriptor to poll for reading. */
    int wait_fd() const { return m_pipe[0]; }
    /** Runs all queued tasks on the calling thread. */
    void run_all();

private:
    int m_pipe[2]{-1, -1};                      ///< Read and write ends of the wake-up pipe.
    std::mutex m_mutex;                         ///< Guards m_tasks.
    std::vector<std::function<void()>> m_tasks; ///< Tasks not yet run.
};

} // namespace cornelspring::detail
