/** @file vm_list_watcher.cpp Reads the leaving backend servers from the platform's VM list. */
#include <cornelspring/checked.hpp>
#include <cornelspring/coordination.hpp>

namespace cornelspring {
namespace {

/** Interval at which the task checks whether to stop. */
constexpr milliseconds stop_check_interval{20};

} // namespace

vm_list_watcher::vm_list_watcher(h2_client& client, backend_tracker& tracker, vm_list_options options)
    : m_client(client), m_tracker(tracker), m_options(std::move(options))
{
    m_thread = std::thread([this] {
        auto next_read = clock::now();
        while (!m_stopping) {
            if (clock::now() >= next_read) {
                read_once();
                next_read = clock::now() + m_options.interval;
            }
            std::this_thread::sleep_for(stop_check_interval);
        }
    });
}

vm_list_watcher::~vm_list_watcher()
{
    m_stopping = true;
    m_thread.join();
}

void vm_list_watcher::read_once()
{
    http_request request;
    request.path = paths::vms;
    auto const result = m_client.call(m_options.address, std::move(request), m_options.timeout);
    if (result.outcome != send_outcome::answered || result.response.status != 200) return; // keep the last list
    auto const decode = [](nlohmann::json const& body) {
        std::set<std::string> found;
        for (auto const& vm : body.at("vms"))
            if (vm.value("state", "live") != "live") found.insert(vm.value("address", ""));
        return found;
    };
    std::set<std::string> leaving;
    try {
        leaving = checked::decode(result.response.body, checked::encoding::json, decode);
    } catch (error const& failure) {
        LOG4CPLUS_WARN(get_logger("entry.vm_list"), "kept the last VM list: " << failure.what());
        return;
    }
    m_client.post(
        [this, leaving = std::move(leaving)]() mutable { m_tracker.set_leaving_addresses(std::move(leaving)); });
}

} // namespace cornelspring
