/** @file signals.cpp Stop signals, for programs whose main thread waits for them. */
#include <cornelspring/transport.hpp>

#include <unistd.h>

#include <csignal>

namespace cornelspring {
namespace {
/** Set by the stop signals. */
volatile std::sig_atomic_t g_stop_requested = 0;
/** Records a stop signal. */
void on_stop_signal(int) { g_stop_requested = 1; }
} // namespace

void install_stop_signals()
{
    struct sigaction action {};
    action.sa_handler = on_stop_signal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    while (g_stop_requested == 0) {
        usleep(20 * 1000);
    }
}

} // namespace cornelspring
