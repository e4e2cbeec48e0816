/** @file process_fixture.cpp Starts, runs and stops child processes for the integration tests. */
#include "process_fixture.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <thread>

extern char** environ;

namespace cornelspring::testing {
namespace {

/** Time within which a child must write its ready file. */
constexpr auto ready_timeout = std::chrono::seconds(10);

/** @return a null-terminated argument list for posix_spawn. It points into @p program and @p args. */
std::vector<char*> make_argv(std::string const& program, std::vector<std::string> const& args)
{
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(program.c_str()));
    for (auto const& arg : args)
        argv.push_back(const_cast<char*>(arg.c_str()));
    argv.push_back(nullptr);
    return argv;
}

/** Waits until @p pid exits. @return its exit status, or 128 plus the number of the signal that killed it. */
int wait_exit(pid_t pid)
{
    int status = 0;
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

process_group::process_group()
{
    std::string pattern = "/tmp/cornelspring-test.XXXXXX";
    m_folder = mkdtemp(pattern.data());
}

process_group::~process_group()
{
    for (auto const& [name, pid] : m_children)
        kill(pid, SIGTERM);
    for (auto const& [name, pid] : m_children)
        wait_exit(pid);
    if (std::getenv("CORNEL_KEEP_LOGS") == nullptr) std::filesystem::remove_all(m_folder);
}

void process_group::spawn(std::string const& name, std::string const& binary, std::vector<std::string> const& args)
{
    std::string const program = std::string(CORNEL_BIN_DIR) + "/" + binary;
    std::string const log = path(name + ".log");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 2, 1);
    auto argv = make_argv(program, args);
    pid_t pid = 0;
    int const rc = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (rc != 0) throw error(error_kind::unavailable, "cannot start " + program + ".", "Build the project first.");
    m_children[name] = pid;
}

std::uint16_t process_group::start(std::string const& name, std::string const& binary,
                                   std::vector<std::string> const& args)
{
    std::string const ready_file = path(name + ".port");
    std::filesystem::remove(ready_file); // It may be that of an earlier child of the same name.
    std::vector<std::string> all_args = args;
    all_args.push_back("--set");
    all_args.push_back("ready_file=\"" + ready_file + "\"");
    spawn(name, binary, all_args);
    auto const deadline = std::chrono::steady_clock::now() + ready_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        try {
            auto const text = read_file(ready_file);
            if (!text.empty()) return static_cast<std::uint16_t>(std::stoi(text));
        } catch (error const&) {
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    throw error(error_kind::unavailable, name + " was not ready in time; its log: " + read_file(path(name + ".log")),
                "Read the log of the child process.");
}

int process_group::run(std::string const& binary, std::vector<std::string> const& args, std::string& output)
{
    std::string const program = std::string(CORNEL_BIN_DIR) + "/" + binary;
    std::string const out_file = path("run.out");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, out_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_addopen(&actions, 2, path("run.err").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    auto argv = make_argv(program, args);
    pid_t pid = 0;
    posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    int const status = wait_exit(pid);
    output = read_file(out_file);
    return status;
}

int process_group::stop(std::string const& name, int signal)
{
    auto const found = m_children.find(name);
    if (found == m_children.end()) return -1;
    kill(found->second, signal);
    if (signal != SIGTERM && signal != SIGKILL) return 0;
    int const status = wait_exit(found->second);
    m_children.erase(found);
    return status;
}

} // namespace cornelspring::testing
