/** @file request_quarantine.cpp Quarantine of requests that crash backend servers. */
#include <cornelspring/quarantine.hpp>

#include <algorithm>

namespace cornelspring {

char const* to_string(quarantine_status status)
{
    switch (status) {
    case quarantine_status::clear: return "clear";
    case quarantine_status::suspect: return "suspect";
    case quarantine_status::quarantined: return "quarantined";
    }
    return "unknown";
}

int request_quarantine::known_request::crashes() const
{
    int sum = own_crashes;
    for (auto const& [source, count] : peer_crashes)
        sum += count;
    return sum;
}

bool request_quarantine::known_request::clear()
{
    bool const observed_here = own_crashes > 0;
    own_crashes = quarantines = 0;
    quarantined_here = false;
    quarantined_until = {};
    peer_crashes.clear();
    return observed_here;
}

quarantine_status request_quarantine::known_request::status(time_point now) const
{
    if (now < quarantined_until) return quarantine_status::quarantined;
    return crashes() > 0 && now < expires_at ? quarantine_status::suspect : quarantine_status::clear;
}

quarantine_status request_quarantine::status(request_digest const& digest, time_point now) const
{
    auto const found = m_requests.find(digest.value());
    return found == m_requests.end() ? quarantine_status::clear : found->second.status(now);
}

milliseconds request_quarantine::quarantine_left(request_digest const& digest, time_point now) const
{
    auto const found = m_requests.find(digest.value());
    if (found == m_requests.end()) return milliseconds(0);
    auto const left = found->second.quarantined_until - now;
    return std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(0));
}

bool request_quarantine::reaches_crash_threshold(request_digest const& digest, int crashes) const
{
    auto const found = m_requests.find(digest.value());
    int const known = found == m_requests.end() ? 0 : found->second.crashes();
    return known + crashes >= m_options.crash_threshold;
}

bool request_quarantine::needs_claim(request_digest const& digest) const { return reaches_crash_threshold(digest, 0); }

bool request_quarantine::on_trial(request_digest const& digest) const
{
    auto const found = m_requests.find(digest.value());
    return found != m_requests.end() && found->second.on_trial;
}

void request_quarantine::start_trial(request_digest const& digest)
{
    auto const found = m_requests.find(digest.value());
    if (found != m_requests.end()) found->second.on_trial = true;
}

void request_quarantine::finish_trial(request_digest const& digest)
{
    auto const found = m_requests.find(digest.value());
    if (found != m_requests.end()) found->second.on_trial = false;
}

void request_quarantine::on_crashes(request_digest const& digest, int crashes, time_point now)
{
    auto& request = find_or_add(digest, now);
    request.own_crashes += crashes;
    request.answered = false;
    renew(request, now);
    report(digest, {}, true, now);
}

void request_quarantine::start_quarantine(request_digest const& digest, time_point now)
{
    auto& request = find_or_add(digest, now);
    auto const end = now + next_duration(request.quarantines);
    ++request.quarantines;
    request.quarantined_here = true;
    request.quarantined_until = std::max(request.quarantined_until, end);
    renew(request, now);
    report(digest, {}, true, now);
}

void request_quarantine::on_response(request_digest const& digest, time_point now)
{
    auto const found = m_requests.find(digest.value());
    if (found == m_requests.end() || found->second.status(now) == quarantine_status::clear) return;
    found->second.clear();
    found->second.answered = true;
    renew(found->second, now);
    report(digest, {}, true, now);
}

std::vector<crash_record> request_quarantine::own_records(time_point now) const
{
    std::vector<crash_record> records;
    for (auto const& [digest, request] : m_requests) {
        bool const observed_here = request.own_crashes > 0 || request.answered;
        if (!observed_here || now >= request.expires_at) continue;
        crash_record record{request_digest(digest), request.own_crashes, 0, milliseconds(0), request.answered};
        if (request.quarantined_here) {
            record.quarantines = request.quarantines;
            record.quarantine_left = quarantine_left(record.digest, now);
        }
        records.push_back(std::move(record));
    }
    return records;
}

void request_quarantine::apply_peer_records(std::string const& source, std::vector<crash_record> const& records,
                                            time_point now)
{
    std::map<std::string, crash_record> next;
    for (auto const& record : records)
        next.emplace(record.digest.value(), record);
    for (auto& [digest, request] : m_requests) {
        if (!next.contains(digest)) request.peer_crashes.erase(source);
    }
    auto const earlier_answers = std::exchange(m_peer_answers[source], {});
    if (records.empty()) m_peer_answers.erase(source);
    for (auto const& [digest, record] : next) {
        if (record.answered) m_peer_answers[source].insert(digest);
        auto const before = status(record.digest, now);
        // Each record is published again with every change of another one; an answer counts once.
        if (record.answered && (before == quarantine_status::clear || earlier_answers.contains(digest))) continue;
        auto& request = find_or_add(record.digest, now);
        request.peer_crashes[source] = record.crashes;
        extend_quarantine(request, record, now);
        renew(request, now);
        bool const cleared = record.answered && request.clear();
        bool const response_outdated =
            record.quarantine_left > milliseconds(0) && std::exchange(request.answered, false);
        if (request.status(now) != before) report(record.digest, source, cleared || response_outdated, now);
    }
}

void request_quarantine::restore_own_records(std::vector<crash_record> const& records, time_point now)
{
    for (auto const& record : records) {
        auto& request = find_or_add(record.digest, now);
        renew(request, now);
        if (request.own_crashes > 0 || record.answered) continue;
        request.own_crashes = record.crashes;
        request.quarantined_here = record.quarantines > 0;
        extend_quarantine(request, record, now);
        renew(request, now);
        report(record.digest, {}, true, now);
    }
}

void request_quarantine::extend_quarantine(known_request& request, crash_record const& record, time_point now) const
{
    auto const left = std::min(record.quarantine_left, m_options.durations.back());
    request.quarantined_until = std::max(request.quarantined_until, now + left);
    request.quarantines = std::max(request.quarantines, record.quarantines);
}

request_quarantine::known_request& request_quarantine::find_or_add(request_digest const& digest, time_point now)
{
    if (!m_requests.contains(digest.value())) evict(now);
    return m_requests[digest.value()];
}

void request_quarantine::renew(known_request& request, time_point now) const
{
    auto const memory = request.answered ? m_options.answer_memory : m_options.memory;
    request.expires_at = std::max(now, request.quarantined_until) + memory;
}

milliseconds request_quarantine::next_duration(int quarantines) const
{
    auto const& durations = m_options.durations;
    return durations[std::min(static_cast<std::size_t>(quarantines), durations.size() - 1)];
}

void request_quarantine::evict(time_point now)
{
    std::erase_if(m_requests, [now](auto const& each) {
        auto const& request = each.second;
        return !request.on_trial && now >= request.expires_at;
    });
    if (m_requests.size() < m_options.max_requests) return;
    // A request on trial is evicted last: its outcome arrives soon.
    auto const age_order = [](auto const& left, auto const& right) {
        return std::pair(left.second.on_trial, left.second.expires_at) <
               std::pair(right.second.on_trial, right.second.expires_at);
    };
    auto const oldest = std::min_element(m_requests.begin(), m_requests.end(), age_order);
    m_requests.erase(oldest);
}

void request_quarantine::report(request_digest const& digest, std::string const& source, bool own_record_changed,
                                time_point now)
{
    if (!m_on_change) return;
    auto const found = m_requests.find(digest.value());
    bool const known = found != m_requests.end();
    int const crashes = known ? found->second.crashes() : 0;
    int const quarantines = known ? found->second.quarantines : 0;
    m_on_change({digest, status(digest, now), crashes, quarantines, source, own_record_changed});
}

} // namespace cornelspring
