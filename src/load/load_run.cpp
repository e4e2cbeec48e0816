/** @file load_run.cpp Open loop of a load run. */
#include "load_run.hpp"

#include <algorithm>
#include <thread>

namespace cornelspring {
namespace {

/** Time after its deadline at which a request without a response counts as lost. */
constexpr milliseconds response_grace{1000};
/** Timeout of requests for metrics, journals and address lists, and of requests that set faults. */
constexpr milliseconds control_timeout{5000};
/** Counters are first read this long before the warm-up ends, so that the read does not delay a counted request. */
constexpr double scrape_lead_s = 0.5;
/** Minimum time between two refreshes of the address list. */
constexpr std::chrono::seconds min_refresh_interval{1};

/** @return a GET request for @p path. */
http_request get(char const* path)
{
    http_request request;
    request.path = path;
    return request;
}

} // namespace

load_run::load_run(scenario plan) : m_plan(std::move(plan)), m_random(m_plan.seed) {}

std::vector<load_run::arrival> load_run::draw_arrivals()
{
    std::vector<arrival> arrivals;
    for (std::size_t group = 0; group < m_plan.callers.size(); ++group) {
        std::exponential_distribution<double> gap(m_plan.callers[group].rate);
        for (double at = gap(m_random); at < m_plan.duration_s; at += gap(m_random))
            arrivals.push_back({at, group});
    }
    std::sort(arrivals.begin(), arrivals.end(), [](auto const& a, auto const& b) { return a.at_s < b.at_s; });
    return arrivals;
}

void load_run::refresh_addresses(time_point now)
{
    if (now < m_refresh_at) return;
    m_refresh_at = now + min_refresh_interval;
    for (auto const& entry : m_plan.entries) {
        auto const result = m_entry_client.call(entry, get(paths::entries), control_timeout);
        if (result.outcome != send_outcome::answered || result.response.status != 200) continue;
        auto const list = parse_message<entry_list>(result.response.body, "entry list");
        if (list.addresses.empty()) continue;
        m_addresses.clear();
        for (auto const& address : list.addresses)
            m_addresses.push_back(parse_endpoint(address));
        m_refresh_at = now + std::max(min_refresh_interval, std::chrono::seconds(list.ttl_s));
        return;
    }
    if (m_addresses.empty()) m_addresses = m_plan.entries;
}

void load_run::send_faults(double now_s)
{
    while (m_next_fault < m_plan.faults.size() && m_plan.faults[m_next_fault].at_s <= now_s) {
        auto const& fault = m_plan.faults[m_next_fault++];
        m_stand_in_client.submit(fault.target, json_post(paths::fault, fault.body.dump()), control_timeout,
                                 [](client_result) {});
    }
}

void load_run::record(request_sample sample, client_result const& result, time_point due, std::int64_t deadline_ms)
{
    auto const now = clock::now();
    sample.latency_ms = std::chrono::duration<double, std::milli>(now - due).count();
    if (result.outcome != send_outcome::answered) {
        sample.outcome = "lost";
    } else if (result.response.status != 200) {
        auto const body = nlohmann::json::parse(result.response.body, nullptr, false);
        sample.outcome = body.is_object() ? body.value("error", "unreadable") : "unreadable";
    } else {
        auto const body = nlohmann::json::parse(result.response.body, nullptr, false);
        sample.coverage = sample.is_write ? 1.0 : (body.is_object() ? body.value("coverage", 0.0) : 0.0);
        sample.outcome = sample.coverage >= 1.0 ? "whole" : "partial";
        if (sample.latency_ms > static_cast<double>(deadline_ms)) sample.outcome = "late";
    }
    std::lock_guard lock(m_mutex);
    m_samples.push_back(std::move(sample));
    --m_in_flight;
}

void load_run::send(arrival const& item, std::size_t number)
{
    auto const& group = m_plan.callers[item.group];
    request_sample sample;
    sample.group = item.group;
    sample.at_s = item.at_s;
    sample.is_write = std::uniform_real_distribution<double>(0, 1)(m_random) < group.write_share;
    std::string const id = m_plan.name + "-" + std::to_string(m_plan.seed) + "-" + std::to_string(number);
    auto word = [&] { return group.vocabulary[m_random() % group.vocabulary.size()]; };
    http_request request;
    if (sample.is_write) {
        sample.key = id;
        write_request const write{group.service, id, word(), "booking " + id, group.deadline_ms};
        request = json_post(paths::writes, nlohmann::json(write).dump());
    } else {
        query_request query;
        query.service = group.service;
        query.query = word() + " " + word();
        query.deadline_ms = group.deadline_ms;
        query.request_id = id;
        request = json_post(paths::query, nlohmann::json(query).dump());
    }
    auto const due = m_start + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(item.at_s));
    {
        std::lock_guard lock(m_mutex);
        ++m_in_flight;
    }
    auto const& entry = m_addresses[m_random() % m_addresses.size()];
    m_entry_client.submit(entry, std::move(request), milliseconds(group.deadline_ms) + response_grace,
                          [this, sample, due, deadline = group.deadline_ms](client_result result) {
                              record(sample, result, due, deadline);
                          });
}

std::vector<std::string> load_run::scrape_metrics()
{
    std::vector<std::string> texts;
    for (auto const& entry : m_addresses)
        texts.push_back(m_entry_client.call(entry, get(paths::metrics), control_timeout).response.body);
    return texts;
}

std::map<std::string, int> load_run::read_journals()
{
    std::map<std::string, int> runs;
    for (auto const& backend : m_plan.backends) {
        auto const result = m_stand_in_client.call(backend, get(paths::journal), control_timeout);
        auto const body = nlohmann::json::parse(result.response.body, nullptr, false);
        if (!body.is_object()) continue;
        for (auto const& entry : body.value("entries", nlohmann::json::array())) {
            if (entry.value("write", false) && entry.value("event", "") == "ran") ++runs[entry.value("id", "")];
        }
    }
    return runs;
}

nlohmann::json load_run::run()
{
    auto const arrivals = draw_arrivals();
    refresh_addresses(clock::now());
    backend_requests before;
    bool warmed_up = false;
    m_start = clock::now();
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        auto const due =
            m_start + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(arrivals[i].at_s));
        std::this_thread::sleep_until(due);
        if (!warmed_up && arrivals[i].at_s >= m_plan.warmup_s - scrape_lead_s) {
            before = read_backend_requests(scrape_metrics());
            warmed_up = true;
        }
        send_faults(arrivals[i].at_s);
        refresh_addresses(clock::now());
        send(arrivals[i], i);
    }
    while (true) { // Terminates because every request has a timeout.
        std::this_thread::sleep_for(milliseconds(20));
        std::lock_guard lock(m_mutex);
        if (m_in_flight == 0) break;
    }
    auto sent = read_backend_requests(scrape_metrics());
    sent.first -= before.first;
    sent.retry -= before.retry;
    sent.hedge -= before.hedge;
    return summarize_run(m_plan, m_samples, sent, read_journals());
}

} // namespace cornelspring
