/** @file socket.hpp Plain socket helpers shared by the HTTP/2 server and client (internal). */
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
/** @return a non-blocking socket whose connect to @p peer has begun, or -1. @param peer address. */
int connect_tcp(endpoint const& peer);
/** Makes @p fd non-blocking and turns off Nagle's algorithm. @param fd socket. */
void tune_socket(int fd);

/** Sends libwebsockets' warnings and errors to log4cplus and silences its notices. */
void route_lws_logs();

/** A queue of tasks for a thread that sleeps in poll(), with a pipe that wakes it. */
class task_queue {
public:
    task_queue();
    ~task_queue();
    task_queue(task_queue const&) = delete;
    task_queue& operator=(task_queue const&) = delete;
    /** Adds @p task and wakes the thread. Thread-safe. @param task work to run. */
    void post(std::function<void()> task);
    /** @return the file descriptor to poll for reading. */
    int wait_fd() const { return m_pipe[0]; }
    /** Runs every queued task on the calling thread. */
    void run_all();

private:
    int m_pipe[2]{-1, -1};                      ///< Read and write ends of the wake pipe.
    std::mutex m_mutex;                         ///< Guards m_tasks.
    std::vector<std::function<void()>> m_tasks; ///< Queued tasks.
};

} // namespace cornelspring::detail
