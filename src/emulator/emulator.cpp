/** @file emulator.cpp Simulation of callers, gateways, network and backend servers in virtual time. */
#include "demand_exchange.hpp"
#include "modelled_server.hpp"

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** @return seconds from the start of virtual time to @p now. */
double seconds_since_start(time_point now) { return std::chrono::duration<double>(now - epoch).count(); }

/** A caller's request, with all its tries: the first one and the caller's retries. */
struct caller_request {
    std::size_t kind = 0;        ///< Index of its kind.
    time_point started_at;       ///< Start of the first try.
    int tries = 0;               ///< Number of tries started.
    std::size_t region = 0;      ///< Region of the caller.
    time_point try_started_at;   ///< Start of the current try.
    bool rejected_early = false; ///< First try was rejected early in the latency goal.
    bool repeats = false;        ///< Caller retries immediately and ignores Retry-After.
    std::uint64_t number = 0;    ///< Unique number, part of the path.
};

/** Last path element and request id of a crashing request. */
constexpr char const* crashing_path = "crashing";
/** Time after crash number crashes_until_quarantine by which all gateways must reject the crashing request. */
constexpr double quarantine_after_s = 5;
/** Number of crashes after which gateways must be able to identify the crashing request. */
constexpr int crashes_until_quarantine = 3;

/** The simulation of one deployment. */
class model {
public:
    explicit model(emulated_deployment const& deployment);
    emulation_result run();

private:
    /** A gateway with its own local state and dispatcher. */
    struct gateway_vm {
        std::string name;                                                     ///< Name.
        std::size_t region = 0;                                               ///< Region.
        config_holder configs;                                                ///< Configuration.
        std::unique_ptr<backend_registry> registry;                           ///< Backend servers.
        placement_rules placement;                                            ///< Placement rules.
        request_quarantine quarantine;                                        ///< Requests that crash backend servers.
        quota_usage quotas;                                                   ///< Use of customers' quotas.
        std::unique_ptr<dispatcher> request_dispatcher;                       ///< Dispatcher under test.
        std::unordered_map<std::uint64_t, caller_request> requests_in_flight; ///< Callers' requests by request key.
        std::unordered_map<std::uint64_t, std::shared_ptr<modelled_attempt>> attempts_in_flight; ///< Attempts by id.
        std::uint64_t last_key = 0;                                                              ///< Last request key.
        time_point wake_at = time_point::max(); ///< Due time of the dispatcher's timer.
        std::uint64_t incarnation = 0;          ///< Number of starts; discards results from before a restart.
    };

    domain_name domain(std::size_t region) const { return domain_name("d" + std::to_string(region)); }
    std::shared_ptr<serving_config const> make_config() const;
    void start_gateway(gateway_vm& vm);
    void schedule_wake(gateway_vm& vm);
    void schedule_arrival(std::size_t kind);
    void start_try(caller_request request);
    void send(gateway_vm& vm, outgoing_attempt attempt);
    void on_response(gateway_vm& vm, request_key key, http_response const& response);
    void retry_or_finish(caller_request const& request, http_response const& response);
    void record_outcome(caller_request const& request, http_response const& response);
    double draw_work(emulated_kind const& kind);
    double one_way_ms(std::size_t from, std::size_t to) const
    {
        return from == to ? m_deployment.local_ms : m_deployment.region_ms;
    }
    void schedule_faults();
    /** Sends a request that crashes the backend servers that run it to a random gateway. */
    void start_crashing_request();
    /** Counts a backend server that the crashing request has crashed. */
    void on_server_crash();
    /** Sends the crash records of @p vm to all other gateways, with the configured delay. */
    void publish_crash_records(gateway_vm& vm);
    /** @return the backend servers that @p fault affects. @param seed seed of their random choice. */
    std::vector<modelled_server*> affected_by(emulated_fault const& fault, std::uint64_t seed) const;
    /** Starts or ends a fault. @param affected backend servers. @param starts whether it starts. */
    void apply_fault(emulated_fault const& fault, std::vector<modelled_server*> const& affected, bool starts);

    emulated_deployment m_deployment;                        ///< Deployment to simulate.
    event_queue m_events;                                    ///< Event queue with the virtual clock.
    std::mt19937_64 m_random;                                ///< Random numbers, except those for faults.
    std::vector<std::unique_ptr<modelled_server>> m_servers; ///< Backend servers.
    std::map<std::string, std::size_t> m_server_index;       ///< Index in m_servers by backend id.
    std::vector<std::unique_ptr<gateway_vm>> m_vms;          ///< Gateways.
    std::vector<double> m_rate_factor;                       ///< Current factor on the arrival rate, by kind.
    /** Choice of gateways for crashing requests. A generator of its own leaves the sequence of m_random unchanged. */
    std::mt19937_64 m_crashing_random{1};
    std::map<std::string, std::vector<crash_record>> m_published_records; ///< Last published crash records by gateway.
    std::uint64_t m_last_request_number = 0;                              ///< Number of the last caller's request.
    time_point m_quarantine_from = time_point::max(); ///< Time from which the crashing request must be rejected.
    emulation_result m_result;                        ///< Result of the run.
    std::vector<double> m_earned;                     ///< Earned value by second of arrival.
    std::vector<double> m_owed;                       ///< Owed value by second of arrival.
};

model::model(emulated_deployment const& deployment) : m_deployment(deployment), m_random(deployment.seed)
{
    m_deployment.options.names = {"request-id", "deadline", "target",   "signature", "not-run",
                                  "warmup",     "parts",    "customer", "missing"};
    auto const count = m_deployment.shards * m_deployment.replicas;
    for (int i = 0; i < count; ++i) {
        m_servers.push_back(std::make_unique<modelled_server>(m_events, m_deployment, m_random));
        m_server_index["b" + std::to_string(i)] = static_cast<std::size_t>(i);
    }
    for (int i = 0; i < m_deployment.vms; ++i) {
        m_vms.push_back(std::make_unique<gateway_vm>());
        m_vms.back()->name = "vm" + std::to_string(i);
        m_vms.back()->region = static_cast<std::size_t>(i % m_deployment.regions);
        start_gateway(*m_vms.back());
    }
    m_rate_factor.assign(m_deployment.kinds.size(), 1.0);
    auto const seconds = static_cast<std::size_t>(m_deployment.seconds) + 1;
    m_earned.assign(seconds, 0);
    m_owed.assign(seconds, 0);
    for (auto const& kind : m_deployment.kinds)
        m_result.kinds.push_back({kind.name, 0, 0, 0, 0, 0, 0, 0, {}});
}

std::shared_ptr<serving_config const> model::make_config() const
{
    std::vector<route> routes;
    std::map<service_name, service_limits> services;
    gather_spec gather;
    for (int i = 0; i < m_deployment.shards; ++i) {
        gather.shards.emplace_back("s" + std::to_string(i));
        services[gather.shards.back()] = {m_deployment.max_connections, {}};
    }
    for (auto const& kind : m_deployment.kinds) {
        route kind_route;
        kind_route.name = kind.name;
        kind_route.host = "h";
        kind_route.prefix = "/" + kind.name + "/";
        kind_route.timeout = milliseconds(kind.deadline_ms);
        kind_route.goal = milliseconds(kind.goal_ms);
        kind_route.priority = kind.priority;
        kind_route.attempts = 2;
        gather.min_coverage = kind.min_coverage;
        kind_route.gather = gather;
        routes.push_back(std::move(kind_route));
    }
    return std::make_shared<serving_config const>(config_version(1), std::move(routes), std::move(services),
                                                  caller_limits{});
}

void model::start_gateway(gateway_vm& vm)
{
    locality location{domain(vm.region), region_name("r" + std::to_string(vm.region)), {}};
    for (int i = 0; i < m_deployment.regions; ++i) {
        location.regions[domain(static_cast<std::size_t>(i))] = region_name("r" + std::to_string(i));
    }
    ++vm.incarnation;
    vm.request_dispatcher.reset();
    vm.registry = std::make_unique<backend_registry>(location, milliseconds(2200));
    vm.attempts_in_flight.clear();
    auto const interrupted = std::exchange(vm.requests_in_flight, {});
    for (auto const& [key, request] : interrupted)
        retry_or_finish(request, {});
    vm.quarantine = request_quarantine();
    for (auto const& [name, records] : m_published_records) {
        if (name != vm.name) vm.quarantine.apply_peer_records(name, records, m_events.now());
    }
    vm.quarantine.on_change([this, &vm](request_quarantine::change const& change) {
        if (change.own_record_changed) publish_crash_records(vm);
    });
    vm.configs.set_if_newer(make_config());
    int number = 0;
    for (int shard = 0; shard < m_deployment.shards; ++shard) {
        for (int replica = 0; replica < m_deployment.replicas; ++replica, ++number) {
            backend_registration entry;
            entry.id = backend_id("b" + std::to_string(number));
            entry.service = service_name("s" + std::to_string(shard));
            entry.domain = domain(static_cast<std::size_t>((shard + replica) % m_deployment.regions));
            entry.slots = m_deployment.slots;
            vm.registry->apply(entry, m_events.now());
        }
    }
    dispatcher_hooks hooks;
    hooks.send = [this, &vm](outgoing_attempt attempt) { send(vm, std::move(attempt)); };
    hooks.cancel = [&vm](attempt_id id) {
        if (auto const found = vm.attempts_in_flight.find(id.value()); found != vm.attempts_in_flight.end()) {
            found->second->canceled = true;
            vm.attempts_in_flight.erase(found);
        }
    };
    hooks.respond = [this, &vm](request_key key, http_response response) { on_response(vm, key, response); };
    hooks.on_finished = [](request_summary const&) {};
    vm.request_dispatcher = std::make_unique<dispatcher>(m_deployment.options, vm.configs, *vm.registry, vm.placement,
                                                         vm.quarantine, vm.quotas, std::move(hooks), m_random());

    vm.request_dispatcher->set_vm_count(static_cast<std::size_t>(m_deployment.vms));
}

void model::schedule_wake(gateway_vm& vm)
{
    auto const next = vm.request_dispatcher->next_due();
    if (!next || *next >= vm.wake_at) return;
    vm.wake_at = std::max(*next, m_events.now());
    m_events.schedule(vm.wake_at, [this, &vm, when = vm.wake_at] {
        if (vm.wake_at != when) return;
        vm.wake_at = time_point::max();
        vm.request_dispatcher->on_timer(m_events.now());
        schedule_wake(vm);
    });
}

double model::draw_work(emulated_kind const& kind)
{
    double const sigma = std::sqrt(std::log(1 + kind.work_spread * kind.work_spread));
    std::lognormal_distribution<double> work(std::log(kind.work_ms) - sigma * sigma / 2, sigma);
    double const drawn = work(m_random);
    return std::bernoulli_distribution(kind.tail_share)(m_random) ? drawn * kind.tail_factor : drawn;
}

void model::send(gateway_vm& vm, outgoing_attempt attempt)
{
    auto const index = m_server_index.at(attempt.target->registration.id.value());
    std::size_t region = 0;
    while (domain(region) != attempt.target->registration.domain)
        ++region;
    ++m_result.attempts;
    if (region != vm.region) ++m_result.other_region;
    auto const delay = from_ms(one_way_ms(vm.region, region));
    auto const slash = attempt.head.find('/', attempt.head.find('/') + 1);
    auto const name = attempt.head.substr(attempt.head.find('/') + 1, slash - attempt.head.find('/') - 1);
    auto const kind = std::find_if(m_deployment.kinds.begin(), m_deployment.kinds.end(),
                                   [&](auto const& k) { return k.name == name; });
    auto server_attempt = std::make_shared<modelled_attempt>();
    server_attempt->work_ms = draw_work(*kind);
    if (attempt.request_id == crashing_path) server_attempt->on_crash = [this] { on_server_crash(); };
    server_attempt->complete = [this, &vm, id = attempt.id, delay,
                                incarnation = vm.incarnation](attempt_status outcome) {
        m_events.schedule(m_events.now() + delay, [this, &vm, id, outcome, incarnation] {
            if (vm.incarnation != incarnation || vm.attempts_in_flight.erase(id.value()) == 0) return;
            if (outcome == attempt_status::not_executed) ++m_result.shed;
            http_response response;
            response.headers = {{"signature", std::to_string(id.value())}};
            response.body.assign(record_size, 'r');
            vm.request_dispatcher->on_result(id, {outcome, std::move(response), ""}, m_events.now());
            schedule_wake(vm);
        });
    };
    vm.attempts_in_flight[attempt.id.value()] = server_attempt;
    m_events.schedule(m_events.now() + delay, [this, index, server_attempt] {
        if (!server_attempt->canceled) m_servers[index]->receive(server_attempt);
    });
}

void model::start_crashing_request()
{
    auto& vm = *m_vms[m_crashing_random() % m_vms.size()];
    http_request message;
    message.path = "/" + m_deployment.kinds.front().name + "/" + crashing_path;
    message.headers = {{"host", "h"},
                       {"request-id", crashing_path},
                       {"deadline", std::to_string(m_deployment.kinds.front().deadline_ms)}};
    auto const before = m_result.attempts;
    vm.request_dispatcher->start(request_key(++vm.last_key), std::move(message), {}, {}, m_events.now());
    if (m_events.now() >= m_quarantine_from && m_result.attempts > before) ++m_result.crashing_repeats;
    schedule_wake(vm);
}

void model::on_server_crash()
{
    if (++m_result.servers_crashed != crashes_until_quarantine) return;
    m_quarantine_from = m_events.now() + from_ms(quarantine_after_s * 1000);
}

void model::publish_crash_records(gateway_vm& vm)
{
    m_events.schedule(m_events.now() + from_ms(m_deployment.told_ms), [this, &vm] {
        auto const records = m_published_records[vm.name] = vm.quarantine.own_records(m_events.now());
        for (auto const& other : m_vms) {
            if (other.get() != &vm) other->quarantine.apply_peer_records(vm.name, records, m_events.now());
        }
    });
}

void model::schedule_arrival(std::size_t kind)
{
    std::exponential_distribution<double> gap(m_deployment.kinds[kind].per_second * m_rate_factor[kind]);
    m_events.schedule(m_events.now() + from_ms(gap(m_random) * 1000), [this, kind] {
        if (seconds_since_start(m_events.now()) >= m_deployment.seconds) return;
        caller_request request;
        request.kind = kind;
        request.number = ++m_last_request_number;
        request.started_at = m_events.now();
        request.repeats = std::bernoulli_distribution(m_deployment.kinds[kind].repeat_share)(m_random);
        request.region = m_random() % static_cast<std::size_t>(m_deployment.regions);
        ++m_result.kinds[kind].asked;
        auto const worth = m_deployment.kinds[kind].worth;
        m_result.kinds[kind].owed += worth;
        m_owed[static_cast<std::size_t>(seconds_since_start(request.started_at))] += worth;
        start_try(request);
        schedule_arrival(kind);
    });
}

void model::start_try(caller_request request)
{
    ++request.tries;
    request.try_started_at = m_events.now();
    std::vector<gateway_vm*> nearby;
    for (auto const& vm : m_vms) {
        if (vm->region == request.region) nearby.push_back(vm.get());
    }
    auto& vm = nearby.empty() ? *m_vms[m_random() % m_vms.size()] : *nearby[m_random() % nearby.size()];
    auto const& kind = m_deployment.kinds[request.kind];
    auto const time_left = from_ms(kind.deadline_ms) - (m_events.now() - request.started_at);
    http_request message;
    message.path = "/" + kind.name + "/" + std::to_string(request.number);
    message.headers = {{"host", "h"},
                       {"request-id", "id"},
                       {"deadline", std::to_string(std::chrono::duration_cast<milliseconds>(time_left).count())}};
    request_key const key(++vm.last_key);
    vm.requests_in_flight[key.value()] = request;
    vm.request_dispatcher->start(key, std::move(message), {}, {}, m_events.now());
    schedule_wake(vm);
}

void model::on_response(gateway_vm& vm, request_key key, http_response const& response)
{
    auto const found = vm.requests_in_flight.find(key.value());
    if (found == vm.requests_in_flight.end()) return;
    auto const request = found->second;
    vm.requests_in_flight.erase(found);
    if (response.status == 200) {
        record_outcome(request, response);
    } else {
        retry_or_finish(request, response);
    }
}

/** Schedules the caller's next try after the response's Retry-After, or records the outcome if none is left. */
void model::retry_or_finish(caller_request const& request, http_response const& response)
{
    auto const& kind = m_deployment.kinds[request.kind];
    auto const time_left = from_ms(kind.deadline_ms) - (m_events.now() - request.started_at);
    if (request.tries > (request.repeats ? kind.repeat_tries : kind.retries) || time_left <= from_ms(0)) {
        record_outcome(request, response);
        return;
    }
    auto next_try = request;
    auto const rejected_after = m_events.now() - request.started_at;
    // A caller whose first try is rejected early, and whose last try meets the goal, gets part of the full value.
    // This share of the goal is the limit for an early rejection.
    constexpr double early_share = 0.25;
    if (request.tries == 1 && response.status == 503)
        next_try.rejected_early = rejected_after <= from_ms(early_share * kind.goal_ms);
    auto const after = response.header("retry-after");
    auto const pause = std::min(from_ms(after.empty() || request.repeats ? 0 : std::stod(after) * 1000), time_left / 3);
    m_events.schedule(m_events.now() + pause, [this, next_try] { start_try(next_try); });
}

void model::record_outcome(caller_request const& request, http_response const& response)
{
    auto& outcome = m_result.kinds[request.kind];
    auto const& kind = m_deployment.kinds[request.kind];
    if (response.status != 200 || response.headers.empty()) {
        ++(response.status == 503 ? outcome.refused : outcome.failed);
        return;
    }
    double const took_ms = std::chrono::duration<double, std::milli>(m_events.now() - request.started_at).count();
    double const missing = std::stod(response.header("missing"));
    double const coverage = 1 - missing / m_deployment.shards;
    bool const in_goal = took_ms <= kind.goal_ms;
    ++(in_goal ? outcome.in_goal : outcome.late);
    outcome.latency_ms.push_back(took_ms);
    double const try_ms = std::chrono::duration<double, std::milli>(m_events.now() - request.try_started_at).count();
    double value = in_goal ? 1 : kind.late_worth;
    if (!in_goal && request.rejected_early && try_ms <= kind.goal_ms) value = (1 + kind.late_worth) / 2;
    double const worth = kind.worth * coverage * coverage * value;
    outcome.earned += worth;
    m_earned[static_cast<std::size_t>(seconds_since_start(request.started_at))] += worth;
}

void model::schedule_faults()
{
    // Independent of m_random, so that an additional fault changes no other random choice.
    auto fault_seed = m_deployment.seed * 1000;
    for (auto const& fault : m_deployment.faults) {
        if (fault.kind == "crashing_request") {
            for (double at_s = fault.at_s; at_s < fault.at_s + fault.for_s; at_s += fault.x)
                m_events.schedule(epoch + from_ms(at_s * 1000), [this] { start_crashing_request(); });
            continue;
        }
        auto const affected = affected_by(fault, fault_seed++);
        m_events.schedule(epoch + from_ms(fault.at_s * 1000),
                          [=, this, &fault] { apply_fault(fault, affected, true); });
        m_events.schedule(epoch + from_ms((fault.at_s + fault.for_s) * 1000),
                          [=, this, &fault] { apply_fault(fault, affected, false); });
    }
}

std::vector<modelled_server*> model::affected_by(emulated_fault const& fault, std::uint64_t seed) const
{
    std::vector<modelled_server*> servers;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        // A stride that is coprime to the number of servers spreads the affected ones over the shards.
        servers.push_back(m_servers[(i * 7 + 3) % m_servers.size()].get());
    }
    if (fault.scattered) std::shuffle(servers.begin(), servers.end(), std::mt19937_64(seed));
    servers.resize(static_cast<std::size_t>(fault.share * static_cast<double>(servers.size())));
    return servers;
}

void model::apply_fault(emulated_fault const& fault, std::vector<modelled_server*> const& affected, bool starts)
{
    if (fault.kind == "burst") {
        for (auto& factor : m_rate_factor)
            factor = starts ? fault.x : 1;
        return;
    }
    if (fault.kind == "restart") {
        if (!starts) return;
        for (auto& vm : m_vms)
            start_gateway(*vm);
        return;
    }
    for (auto* server : affected) {
        if (fault.kind == "slow") server->slowdown *= starts ? fault.x : 1 / fault.x;
        if (fault.kind == "dark") server->unresponsive = starts;
        if (fault.kind == "crash") server->set_crashed(starts);
    }
}

emulation_result model::run()
{
    schedule_faults();
    demand_exchange exchange(m_events, m_vms.size(), from_ms(m_deployment.demand_ms),
                             [this](std::size_t vm) -> dispatcher& { return *m_vms[vm]->request_dispatcher; });
    if (m_deployment.demand_ms > 0) exchange.start();
    for (std::size_t kind = 0; kind < m_deployment.kinds.size(); ++kind)
        schedule_arrival(kind);
    constexpr double extra_run_s = 12; // Longer than any deadline, so that every request finishes within the run.
    m_events.run_until(epoch + from_ms((m_deployment.seconds + extra_run_s) * 1000));
    for (std::size_t i = 0; i < m_earned.size(); ++i) {
        m_result.share_by_second.push_back(m_owed[i] > 0 ? m_earned[i] / m_owed[i] : 1);
    }
    return std::move(m_result);
}

} // namespace

double emulation_result::earned_share() const
{
    double earned = 0;
    double owed = 0;
    for (auto const& kind : kinds) {
        earned += kind.earned;
        owed += kind.owed;
    }
    return owed > 0 ? earned / owed : 1;
}

emulation_result emulate(emulated_deployment const& deployment)
{
    model emulation(deployment);
    return emulation.run();
}

} // namespace cornelspring
