/**
 * @file case.cpp A late second copy of a rejection, and a write that is sent again to the same backend server.
 *
 * Two backend servers of one service run writes (a route of type non_idempotent) and reject them while they are full.
 * One of them spoils a few of its answers: it sends a rejection a second time, late, where the next answer is expected.
 * The copy has the id of the request that was rejected.
 */
#include "../stand_in/fleet.hpp"

#include <atomic>
#include <deque>
#include <iostream>
#include <random>
#include <set>

namespace {

using namespace review;
using nlohmann::json;

/** Requests that a backend server runs at the same time: `slots` of the small deployments' two-server services. */
constexpr int slots = 2;
/** Requests that wait for a slot ("queues a few more"). */
constexpr int queue_length = 2;
/** Time that a request runs. */
constexpr milliseconds work{28};
/** Share of its answers that the faulty backend server spoils in a period, at most. */
constexpr double spoiled_share = 0.04;
/** Length of a period with spoiled answers, and the time from the start of one to the next. */
constexpr milliseconds spoil_period{5000};
constexpr milliseconds spoil_interval{7500};
/** Users, and the writes that they send in a second together. */
constexpr int users = 66;
constexpr double writes_per_s = 110;
/** Length of the load. */
constexpr milliseconds load_time{80000};

/** What the case has seen. */
struct journal {
    std::mutex mutex;                         ///< Guards all below.
    std::map<std::string, int> runs;          ///< Number of runs, by request id.
    std::map<std::string, std::string> where; ///< Backend servers that ran it.
    std::map<std::string, int> answers;       ///< Status that the client got, by request id; 0: none.
    int rejections = 0;                       ///< Rejections.
    int spoiled = 0;                          ///< Rejections with a late copy.
    int same_request = 0;                     ///< Copies that were sent where the answer to the same request was due.
};

/** A backend server. */
class backend {
public:
    backend(std::string id, std::string service, std::string const& host, bool spoils, journal& seen, record& log)
        : m_id(std::move(id)), m_service(std::move(service)), m_spoils(spoils), m_seen(seen), m_log(log),
          m_start(steady::now()), m_server(host, 0, [this](connection& from) { serve(from); })
    {
    }
    /** @return its registration. */
    std::string entry(std::string const& zone) const
    {
        return json{{"service", m_service}, {"address", m_server.where().text()},
                    {"zone", zone},         {"version", "v1"},
                    {"slots", slots},       {"state", "ready"},
                    {"warmup_left_ms", 0},  {"seq", 1}}
            .dump();
    }

private:
    void serve(connection& from)
    {
        std::string late;    // Copy of a rejection on this connection that is still to be sent.
        std::string late_of; // Id of its request.
        while (auto const request = from.read(true, steady::now() + std::chrono::minutes(2))) {
            auto const id = request->header("request-id");
            auto answer = handle(*request, from);
            if (!answer) return;
            answer->headers["request-id"] = id;
            auto const bytes = serialize_response(*answer);
            auto const first = std::exchange(late, std::string());
            if (!first.empty()) {
                m_log.line(m_id + " sends its rejection of " + late_of + " again, then the answer to " + id);
                std::lock_guard guard(m_seen.mutex);
                m_seen.same_request += id == late_of ? 1 : 0;
            }
            if (!from.send(first + bytes)) return;
            if (answer->status != 503 || !may_spoil()) continue;
            late = bytes;
            late_of = id;
        }
    }
    /** @return the answer; nothing when the client is gone before the request runs. */
    std::optional<message> handle(message const& request, connection& from)
    {
        auto const id = request.header("request-id");
        message answer;
        answer.status = 421;
        answer.headers["instance-id"] = m_id;
        if (request.header("target-instance") != m_id) return answer;
        answer.headers.clear();
        std::unique_lock lock(m_mutex);
        if (m_present >= slots + queue_length) {
            answer.status = 503;
            answer.headers["not-executed"] = "1";
            m_log.line(m_id + " rejects " + id);
            {
                std::lock_guard guard(m_seen.mutex);
                ++m_seen.rejections;
            }
            ++m_answers;
            return answer;
        }
        ++m_present;
        while (m_running >= slots) {
            m_free.wait_for(lock, milliseconds(2));
            if (!from.peer_gone()) continue;
            --m_present;
            return std::nullopt;
        }
        ++m_running;
        lock.unlock();
        {
            std::lock_guard guard(m_seen.mutex);
            ++m_seen.runs[id];
            m_seen.where[id] += " " + m_id;
        }
        m_log.line(m_id + " runs " + id);
        std::this_thread::sleep_for(work);
        lock.lock();
        --m_running;
        --m_present;
        ++m_answers;
        m_free.notify_all();
        answer.status = 200;
        answer.headers["server-stamp"] = m_id + "." + id;
        answer.body = "stored " + id;
        return answer;
    }
    /** @return whether the rejection that was just sent is to be repeated later. */
    bool may_spoil()
    {
        auto const in_interval = (steady::now() - m_start) % spoil_interval;
        std::lock_guard lock(m_mutex);
        if (in_interval > spoil_period) {
            m_answers_before = m_answers;
            m_spoiled_now = 0;
            return false;
        }
        bool const allowed = m_spoils && with_trouble() &&
                             m_spoiled_now + 1 <= spoiled_share * static_cast<double>(m_answers - m_answers_before);
        if (!allowed) return false;
        ++m_spoiled_now;
        std::lock_guard guard(m_seen.mutex);
        ++m_seen.spoiled;
        return true;
    }

    std::string m_id;               ///< Id.
    std::string m_service;          ///< Service.
    bool m_spoils;                  ///< It spoils answers.
    journal& m_seen;                ///< What was seen.
    record& m_log;                  ///< Record.
    steady::time_point m_start;     ///< Start.
    std::mutex m_mutex;             ///< Guards the counts.
    std::condition_variable m_free; ///< Notified when a slot is free.
    int m_present = 0;              ///< Requests that run or wait.
    int m_running = 0;              ///< Requests that run.
    long m_answers = 0;             ///< Answers.
    long m_answers_before = 0;      ///< Answers before the present period.
    long m_spoiled_now = 0;         ///< Answers spoiled in the present period.
    server m_server;                ///< Accepts connections.
};

/** A client with one kept connection to each gateway that it uses. */
class client {
public:
    client(journal& seen, record& log) : m_seen(seen), m_log(log) {}
    /** Sends one write to @p to and reads the answer. */
    void write(address const& to, std::string const& id)
    {
        m_log.line("client sends " + id);
        int status = 0;
        for (int tries = 0; tries < 2 && status == 0; ++tries) {
            bool const kept = m_connection && m_peer == to.text() && !m_connection->peer_gone();
            if (!kept) m_connection = connection::open(to);
            m_peer = to.text();
            if (!m_connection) break;
            message request;
            request.method = "POST";
            request.target = "/timi402/2f";
            request.headers = {{"host", "pupu76.example"}, {"request-id", id}, {"deadline", "10000"}};
            request.body = "entry " + id;
            if (!m_connection->send(serialize_request(request))) continue;
            auto const answer = m_connection->read(false, steady::now() + milliseconds(10500));
            status = answer ? answer->status : 0;
            if (!answer || answer->header("connection") == "close") m_connection.reset();
            break;
        }
        m_log.line("client gets " + std::to_string(status) + " for " + id);
        std::lock_guard lock(m_seen.mutex);
        m_seen.answers[id] = status;
    }

private:
    journal& m_seen;                        ///< What was seen.
    record& m_log;                          ///< Record.
    std::string m_peer;                     ///< Gateway of the connection.
    std::optional<connection> m_connection; ///< Kept connection.
};

/** Sends the load: each user sends writes at random times, in the mean users_per_s / users a second. */
void run_load(fleet& gateways, journal& seen, record& log)
{
    std::vector<std::thread> threads;
    auto const end = steady::now() + load_time;
    for (int user = 0; user < users; ++user) {
        threads.emplace_back([&, user] {
            client own(seen, log);
            std::mt19937_64 random(static_cast<std::uint64_t>(user) + 1);
            std::exponential_distribution<double> pause(writes_per_s / users);
            auto const& all = gateways.gateways();
            auto const& to = all[static_cast<std::size_t>(user) % all.size()].frontend;
            auto next = steady::now();
            for (int n = 0;; ++n) {
                next += std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(pause(random)));
                if (next >= end) return;
                std::this_thread::sleep_until(next);
                own.write(to, "w" + std::to_string(user) + "-" + std::to_string(n));
            }
        });
    }
    for (auto& each : threads)
        each.join();
}

/** @return the number of requests that break a rule. */
int judge(journal& seen, record& log)
{
    int broken = 0;
    int twice = 0;
    int refused = 0;
    std::map<int, int> by_status;
    for (auto const& [id, status] : seen.answers) {
        ++by_status[status];
        int const runs = seen.runs.count(id) == 0 ? 0 : seen.runs.at(id);
        bool const promised = status == 429 || status == 503 || status == 408 || status == 421;
        if (runs > 1) {
            ++twice;
            log.line("BROKEN TWICE " + id + " ran " + std::to_string(runs) + " times, at" + seen.where[id]);
        }
        if (promised && runs > 0) {
            ++refused;
            log.line("BROKEN REFUSED " + id + " got " + std::to_string(status) + " and ran at" + seen.where[id]);
        }
        broken += runs > 1 || (promised && runs > 0) ? 1 : 0;
    }
    std::string text = "requests " + std::to_string(seen.answers.size()) + ", rejections " +
                       std::to_string(seen.rejections) + ", with a late copy " + std::to_string(seen.spoiled) +
                       ", of these before an answer to the same request " + std::to_string(seen.same_request) +
                       ", ran twice " + std::to_string(twice) + ", refused but ran " + std::to_string(refused) +
                       "; by status:";
    for (auto const& [status, count] : by_status)
        text += " " + std::to_string(status) + "=" + std::to_string(count);
    log.line(text);
    std::cout << text << std::endl;
    return broken;
}

} // namespace

int main(int, char const** argv)
{
    record log(argv[1]);
    try {
        platform_store store("127.0.0.1");
        fleet gateways(store.where(), 7);
        journal seen;
        std::string const service = "kafi81c";
        backend first("i-7f3a91c2", service, gateways.stand_in_host(), true, seen, log);
        backend second("i-02d9e6b4", service, gateways.stand_in_host(), false, seen, log);
        store.put("op/config",
                  configuration(1, json::array({single_route("/timi402/", "non_idempotent", service, 10000)}),
                                json::array({service_of(service, 26)}))
                      .dump());
        store.put("servers/i-7f3a91c2", first.entry("wien-halle-a"));
        store.put("servers/i-02d9e6b4", second.entry("graz-halle-b"));
        for (auto& each : gateways.gateways())
            gateways.start(each);
        if (!gateways.wait_ready(steady::now() + std::chrono::seconds(15))) {
            std::cerr << "the gateways are not ready" << std::endl;
            return 2;
        }
        std::this_thread::sleep_for(milliseconds(1500));
        run_load(gateways, seen, log);
        int const broken = judge(seen, log);
        gateways.stop();
        std::_Exit(broken > 0 ? 1 : 0); // The threads of the stand-ins still run.
    } catch (std::exception const& failure) {
        std::cerr << failure.what() << std::endl;
        return 2;
    }
}
