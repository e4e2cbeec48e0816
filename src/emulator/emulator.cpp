/** @file emulator.cpp The model: callers, gateways, network and backend servers in virtual time. */
#include "modelled_server.hpp"

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** @return seconds since the begin. */
double seconds_of(time_point now) { return std::chrono::duration<double>(now - epoch).count(); }

/** A caller's request, over its tries. */
struct caller_task {
    std::size_t kind = 0;     ///< Kind.
    time_point begun;         ///< First try.
    int tries = 0;            ///< Tries begun.
    std::size_t region = 0;   ///< Caller's region.
    time_point try_begun;     ///< Present try.
    bool sent_back = false;   ///< Its first try was refused at once.
    bool repeats = false;     ///< It repeats at once, whatever it is told.
    std::uint64_t number = 0; ///< Tells it from others, in its path.
};

/** Path of a crashing request, behind its kind. */
constexpr char const* crashing_path = "crashing";
/** A crashing request is known to all gateways so long after it has crashed the third server. */
constexpr double known_after_s = 5;
/** Crashes from which on it has to be known. */
constexpr int crashes_to_know = 3;

/** The whole model. */
class model {
public:
    explicit model(emulated_deployment const& deployment);
    emulation_result run();

private:
    /** A gateway: its own view and decisions. */
    struct gateway_vm {
        std::string name;                                             ///< Name.
        std::size_t region = 0;                                       ///< Region.
        config_holder configs;                                        ///< Configuration.
        std::unique_ptr<backend_registry> registry;                   ///< Backend servers.
        placement_rules placement;                                    ///< Which of them a request may reach.
        request_quarantine quarantine;                                ///< Requests that crash backend servers.
        std::unique_ptr<dispatcher> requests;                         ///< Decisions.
        std::unordered_map<std::uint64_t, caller_task> open;          ///< Callers by request key.
        std::unordered_map<std::uint64_t, std::shared_ptr<job>> jobs; ///< Attempts under way.
        std::uint64_t last_key = 0;                                   ///< Last request key.
        time_point wake = time_point::max();                          ///< When its dispatcher is woken.
        std::uint64_t life = 0;                                       ///< Counts restarts.
    };

    domain_name domain(std::size_t region) const { return domain_name("d" + std::to_string(region)); }
    std::shared_ptr<serving_config const> make_config() const;
    void boot(gateway_vm& vm);
    void wake(gateway_vm& vm);
    void plan_arrival(std::size_t kind);
    void begin_try(caller_task task);
    void send(gateway_vm& vm, outgoing_attempt order);
    void answered(gateway_vm& vm, request_key key, http_response const& response);
    void try_again(caller_task const& task, http_response const& response);
    void settle(caller_task const& task, http_response const& response);
    double draw_work(emulated_kind const& kind);
    double one_way_ms(std::size_t from, std::size_t to) const
    {
        return from == to ? m_deployment.local_ms : m_deployment.region_ms;
    }
    void plan_faults();
    /** A request that crashes the servers that run it comes to some gateway. */
    void start_crashing_request();
    /** A server has ended under it. */
    void on_crashed();
    /** A gateway tells the others what it has seen of crashing requests. */
    void tell_crash_records(gateway_vm& vm);
    /** @return the backend servers that a fault strikes. */
    std::vector<modelled_server*> struck_by(emulated_fault const& fault, std::uint64_t seed) const;
    /** Begins or ends a fault. */
    void apply_fault(emulated_fault const& fault, std::vector<modelled_server*> const& struck, bool begins);

    emulated_deployment m_deployment;                        ///< Input.
    event_queue m_todo;                                      ///< Time.
    std::mt19937_64 m_random;                                ///< All draws.
    std::vector<std::unique_ptr<modelled_server>> m_servers; ///< Backend servers.
    std::map<std::string, std::size_t> m_server_index;       ///< By id.
    std::vector<std::unique_ptr<gateway_vm>> m_vms;          ///< Gateways.
    std::vector<double> m_rate_factor;                       ///< By kind: present factor on arrivals.
    std::mt19937_64 m_crashing_random{1};                    ///< Where crashing requests come, apart from all else.
    std::map<std::string, std::vector<crash_record>> m_told; ///< What gateways have told of them, by name.
    std::uint64_t m_last_task = 0;                           ///< Last number of a caller's request.
    time_point m_known_from = time_point::max();             ///< From then on it has to be known.
    emulation_result m_result;                               ///< Output.
    std::vector<double> m_earned;                            ///< By second.
    std::vector<double> m_owed;                              ///< By second.
};

model::model(emulated_deployment const& deployment) : m_deployment(deployment), m_random(deployment.seed)
{
    m_deployment.options.names = {"request-id", "deadline", "target", "signature",
                                  "not-run",    "warmup",   "parts",  "missing"};
    auto const count = m_deployment.shards * m_deployment.replicas;
    for (int i = 0; i < count; ++i) {
        m_servers.push_back(std::make_unique<modelled_server>(m_todo, m_deployment, m_random));
        m_server_index["b" + std::to_string(i)] = static_cast<std::size_t>(i);
    }
    for (int i = 0; i < m_deployment.vms; ++i) {
        m_vms.push_back(std::make_unique<gateway_vm>());
        m_vms.back()->name = "vm" + std::to_string(i);
        m_vms.back()->region = static_cast<std::size_t>(i % m_deployment.regions);
        boot(*m_vms.back());
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
        route made;
        made.name = kind.name;
        made.host = "h";
        made.prefix = "/" + kind.name + "/";
        made.timeout = milliseconds(kind.deadline_ms);
        made.goal = milliseconds(kind.goal_ms);
        made.priority = kind.priority;
        made.attempts = 2;
        gather.min_coverage = kind.min_coverage;
        made.gather = gather;
        routes.push_back(std::move(made));
    }
    return std::make_shared<serving_config const>(config_version(1), std::move(routes), std::move(services),
                                                  caller_limits{});
}

void model::boot(gateway_vm& vm)
{
    locality place{domain(vm.region), region_name("r" + std::to_string(vm.region)), {}};
    for (int i = 0; i < m_deployment.regions; ++i) {
        place.regions[domain(static_cast<std::size_t>(i))] = region_name("r" + std::to_string(i));
    }
    ++vm.life;
    vm.requests.reset();
    vm.registry = std::make_unique<backend_registry>(place, milliseconds(2200));
    vm.jobs.clear();
    auto const cut = std::exchange(vm.open, {});
    for (auto const& [key, task] : cut)
        try_again(task, {});
    vm.quarantine = request_quarantine();
    for (auto const& [name, records] : m_told) {
        if (name != vm.name) vm.quarantine.apply_peer_records(name, records, m_todo.now());
    }
    vm.quarantine.on_change([this, &vm](request_quarantine::change const& change) {
        if (change.own_record_changed) tell_crash_records(vm);
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
            vm.registry->apply(entry, m_todo.now());
        }
    }
    dispatcher_hooks hooks;
    hooks.send = [this, &vm](outgoing_attempt order) { send(vm, std::move(order)); };
    hooks.cancel = [&vm](attempt_id id) {
        if (auto const found = vm.jobs.find(id.value()); found != vm.jobs.end()) {
            found->second->cancelled = true;
            vm.jobs.erase(found);
        }
    };
    hooks.respond = [this, &vm](request_key key, http_response response) { answered(vm, key, response); };
    hooks.on_finished = [](request_summary const&) {};
    vm.requests = std::make_unique<dispatcher>(m_deployment.options, vm.configs, *vm.registry, vm.placement,
                                               vm.quarantine, std::move(hooks), m_random());

    vm.requests->set_vm_count(static_cast<std::size_t>(m_deployment.vms));
}

void model::wake(gateway_vm& vm)
{
    auto const next = vm.requests->next_due();
    if (!next || *next >= vm.wake) return;
    vm.wake = std::max(*next, m_todo.now());
    m_todo.schedule(vm.wake, [this, &vm, when = vm.wake] {
        if (vm.wake != when) return;
        vm.wake = time_point::max();
        vm.requests->on_timer(m_todo.now());
        wake(vm);
    });
}

double model::draw_work(emulated_kind const& kind)
{
    double const sigma = std::sqrt(std::log(1 + kind.work_spread * kind.work_spread));
    std::lognormal_distribution<double> work(std::log(kind.work_ms) - sigma * sigma / 2, sigma);
    double const drawn = work(m_random);
    return std::bernoulli_distribution(kind.tail_share)(m_random) ? drawn * kind.tail_factor : drawn;
}

void model::send(gateway_vm& vm, outgoing_attempt order)
{
    auto const index = m_server_index.at(order.target->registration.id.value());
    std::size_t region = 0;
    while (domain(region) != order.target->registration.domain)
        ++region;
    ++m_result.attempts;
    if (region != vm.region) ++m_result.other_region;
    auto const way = from_ms(one_way_ms(vm.region, region));
    auto const slash = order.head.find('/', order.head.find('/') + 1);
    auto const name = order.head.substr(order.head.find('/') + 1, slash - order.head.find('/') - 1);
    auto const kind = std::find_if(m_deployment.kinds.begin(), m_deployment.kinds.end(),
                                   [&](auto const& k) { return k.name == name; });
    auto work = std::make_shared<job>();
    work->work_ms = draw_work(*kind);
    if (order.request_id == crashing_path) work->crashes = [this] { on_crashed(); };
    work->done = [this, &vm, id = order.id, way, life = vm.life](attempt_status end) {
        m_todo.schedule(m_todo.now() + way, [this, &vm, id, end, life] {
            if (vm.life != life || vm.jobs.erase(id.value()) == 0) return;
            if (end == attempt_status::not_executed) ++m_result.shed;
            http_response response;
            response.headers = {{"signature", std::to_string(id.value())}};
            response.body.assign(record_size, 'r');
            vm.requests->on_result(id, {end, std::move(response), ""}, m_todo.now());
            wake(vm);
        });
    };
    vm.jobs[order.id.value()] = work;
    m_todo.schedule(m_todo.now() + way, [this, index, work] {
        if (!work->cancelled) m_servers[index]->arrive(work);
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
    vm.requests->start(request_key(++vm.last_key), std::move(message), {}, {}, m_todo.now());
    if (m_todo.now() >= m_known_from && m_result.attempts > before) ++m_result.crashing_repeats;
    wake(vm);
}

void model::on_crashed()
{
    if (++m_result.servers_crashed != crashes_to_know) return;
    m_known_from = m_todo.now() + from_ms(known_after_s * 1000);
}

void model::tell_crash_records(gateway_vm& vm)
{
    m_todo.schedule(m_todo.now() + from_ms(m_deployment.told_ms), [this, &vm] {
        auto const records = m_told[vm.name] = vm.quarantine.own_records(m_todo.now());
        for (auto const& other : m_vms) {
            if (other.get() != &vm) other->quarantine.apply_peer_records(vm.name, records, m_todo.now());
        }
    });
}

void model::plan_arrival(std::size_t kind)
{
    std::exponential_distribution<double> gap(m_deployment.kinds[kind].per_second * m_rate_factor[kind]);
    m_todo.schedule(m_todo.now() + from_ms(gap(m_random) * 1000), [this, kind] {
        if (seconds_of(m_todo.now()) >= m_deployment.seconds) return;
        caller_task task;
        task.kind = kind;
        task.number = ++m_last_task;
        task.begun = m_todo.now();
        task.repeats = std::bernoulli_distribution(m_deployment.kinds[kind].repeat_share)(m_random);
        task.region = m_random() % static_cast<std::size_t>(m_deployment.regions);
        ++m_result.kinds[kind].asked;
        auto const worth = m_deployment.kinds[kind].worth;
        m_result.kinds[kind].owed += worth;
        m_owed[static_cast<std::size_t>(seconds_of(task.begun))] += worth;
        begin_try(task);
        plan_arrival(kind);
    });
}

void model::begin_try(caller_task task)
{
    ++task.tries;
    task.try_begun = m_todo.now();
    std::vector<gateway_vm*> near;
    for (auto const& vm : m_vms) {
        if (vm->region == task.region) near.push_back(vm.get());
    }
    auto& vm = near.empty() ? *m_vms[m_random() % m_vms.size()] : *near[m_random() % near.size()];
    auto const& kind = m_deployment.kinds[task.kind];
    auto const left = from_ms(kind.deadline_ms) - (m_todo.now() - task.begun);
    http_request message;
    message.path = "/" + kind.name + "/" + std::to_string(task.number);
    message.headers = {{"host", "h"},
                       {"request-id", "id"},
                       {"deadline", std::to_string(std::chrono::duration_cast<milliseconds>(left).count())}};
    request_key const key(++vm.last_key);
    vm.open[key.value()] = task;
    vm.requests->start(key, std::move(message), {}, {}, m_todo.now());
    wake(vm);
}

void model::answered(gateway_vm& vm, request_key key, http_response const& response)
{
    auto const found = vm.open.find(key.value());
    if (found == vm.open.end()) return;
    auto const task = found->second;
    vm.open.erase(found);
    if (response.status == 200) {
        settle(task, response);
    } else {
        try_again(task, response);
    }
}

/** A caller whose try failed begins another when it may, after the time it was told. */
void model::try_again(caller_task const& task, http_response const& response)
{
    auto const& kind = m_deployment.kinds[task.kind];
    auto const left = from_ms(kind.deadline_ms) - (m_todo.now() - task.begun);
    if (task.tries > (task.repeats ? kind.repeat_tries : kind.retries) || left <= from_ms(0)) {
        settle(task, response);
        return;
    }
    auto again = task;
    auto const refused_after = m_todo.now() - task.begun;
    // A caller that learns soon to come back later counts the time from then on, at part of the value.
    constexpr double soon_share = 0.25;
    if (task.tries == 1 && response.status == 503)
        again.sent_back = refused_after <= from_ms(soon_share * kind.goal_ms);
    auto const after = response.header("retry-after");
    auto const pause = std::min(from_ms(after.empty() || task.repeats ? 0 : std::stod(after) * 1000), left / 3);
    m_todo.schedule(m_todo.now() + pause, [this, again] { begin_try(again); });
}

void model::settle(caller_task const& task, http_response const& response)
{
    auto& outcome = m_result.kinds[task.kind];
    auto const& kind = m_deployment.kinds[task.kind];
    if (response.status != 200 || response.headers.empty()) {
        ++(response.status == 503 ? outcome.refused : outcome.failed);
        return;
    }
    double const took_ms = std::chrono::duration<double, std::milli>(m_todo.now() - task.begun).count();
    double const missing = std::stod(response.header("missing"));
    double const coverage = 1 - missing / m_deployment.shards;
    bool const in_goal = took_ms <= kind.goal_ms;
    ++(in_goal ? outcome.in_goal : outcome.late);
    outcome.latency_ms.push_back(took_ms);
    double const try_ms = std::chrono::duration<double, std::milli>(m_todo.now() - task.try_begun).count();
    double value = in_goal ? 1 : kind.late_worth;
    if (!in_goal && task.sent_back && try_ms <= kind.goal_ms) value = (1 + kind.late_worth) / 2;
    double const worth = kind.worth * coverage * coverage * value;
    outcome.earned += worth;
    m_earned[static_cast<std::size_t>(seconds_of(task.begun))] += worth;
}

void model::plan_faults()
{
    auto draw_seed = m_deployment.seed * 1000; // Drawn apart from all else, so that a fault more changes no other draw.
    for (auto const& fault : m_deployment.faults) {
        if (fault.kind == "crashing_request") {
            for (double at_s = fault.at_s; at_s < fault.at_s + fault.for_s; at_s += fault.x)
                m_todo.schedule(epoch + from_ms(at_s * 1000), [this] { start_crashing_request(); });
            continue;
        }
        auto const struck = struck_by(fault, draw_seed++);
        m_todo.schedule(epoch + from_ms(fault.at_s * 1000), [=, this, &fault] { apply_fault(fault, struck, true); });
        m_todo.schedule(epoch + from_ms((fault.at_s + fault.for_s) * 1000),
                        [=, this, &fault] { apply_fault(fault, struck, false); });
    }
}

std::vector<modelled_server*> model::struck_by(emulated_fault const& fault, std::uint64_t seed) const
{
    std::vector<modelled_server*> order;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        // Spread over the shards: a stride that is coprime to their number.
        order.push_back(m_servers[(i * 7 + 3) % m_servers.size()].get());
    }
    if (fault.scattered) std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
    order.resize(static_cast<std::size_t>(fault.share * static_cast<double>(order.size())));
    return order;
}

void model::apply_fault(emulated_fault const& fault, std::vector<modelled_server*> const& struck, bool begins)
{
    if (fault.kind == "burst") {
        for (auto& factor : m_rate_factor)
            factor = begins ? fault.x : 1;
        return;
    }
    if (fault.kind == "restart") {
        if (!begins) return;
        for (auto& vm : m_vms)
            boot(*vm);
        return;
    }
    for (auto* server : struck) {
        if (fault.kind == "slow") server->slowdown *= begins ? fault.x : 1 / fault.x;
        if (fault.kind == "dark") server->dark = begins;
        if (fault.kind == "crash") server->crash(begins);
    }
}

emulation_result model::run()
{
    plan_faults();
    for (std::size_t kind = 0; kind < m_deployment.kinds.size(); ++kind)
        plan_arrival(kind);
    constexpr double settle_s = 12; // Longer than any deadline: every request ends within the run.
    m_todo.run_until(epoch + from_ms((m_deployment.seconds + settle_s) * 1000));
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
    model world(deployment);
    return world.run();
}

} // namespace cornelspring
