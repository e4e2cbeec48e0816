/** @file dispatcher_fixture.hpp A dispatcher in virtual time. The test acts as its backend servers. */
#pragma once

#include <cornelspring/dispatch.hpp>

#include <doctest/doctest.h>

namespace cornelspring {

/** One dispatcher. Its attempts are recorded, and the test provides their results. */
struct dispatcher_fixture {
    /** Registers two backend servers each for the services s and t and the shards g0 to g3. */
    explicit dispatcher_fixture(dispatcher_options options = {}, char const* config = "default")
        : registry({domain_name("d"),
                    region_name("r"),
                    {{domain_name("d"), region_name("r")}, {domain_name("e"), region_name("q")}}},
                   std::chrono::milliseconds(2200))
    {
        for (char const* service : {"s", "t", "g0", "g1", "g2", "g3"}) {
            for (char const* replica : {"a", "b"})
                add_backend(service, replica);
        }
        if (config != nullptr) configs.set_if_newer(config_of(1, {"g0", "g1", "g2", "g3"}));
        options.names = {"request-id", "deadline", "target",   "signature", "not-run",
                         "warmup",     "parts",    "customer", "missing"};
        dispatcher_hooks hooks;
        hooks.send = [this](outgoing_attempt attempt) { sent.push_back(std::move(attempt)); };
        hooks.cancel = [this](attempt_id id) { canceled.insert(id.value()); };
        hooks.respond = [this](request_key key, http_response response) {
            responses[key.value()] = std::move(response);
        };
        hooks.on_finished = [this](request_summary const& summary) { finished.push_back(summary); };
        requests = std::make_unique<dispatcher>(std::move(options), configs, registry, placement, quarantine, quotas,
                                                std::move(hooks), 1);
    }

    /** Registers a backend server. Its id consists of service and replica. */
    void add_backend(std::string const& service, std::string const& replica, std::string const& domain = "d")
    {
        registry.apply({backend_id(service + replica),
                        service_name(service),
                        {"127.0.0.1", 1},
                        domain_name(domain),
                        2,
                        false,
                        std::chrono::milliseconds(0)},
                       now);
    }

    /** @return a configuration with the routes of the tests. The gather is over @p shards. */
    static std::shared_ptr<serving_config const> config_of(int version, std::vector<std::string> const& shards)
    {
        std::vector<route> routes;
        auto const add = [&routes](char const* prefix) -> route& {
            route made;
            made.name = prefix;
            made.host = "h.example";
            made.prefix = prefix;
            made.timeout = std::chrono::milliseconds(1000);
            made.goal = std::chrono::milliseconds(200);
            made.attempts = 2;
            made.split = {{service_name("s"), 1}};
            return routes.emplace_back(std::move(made));
        };
        add("/plain/");
        add("/write/").kind = route_kind::non_idempotent;
        add("/split/").split = {{service_name("s"), 3}, {service_name("t"), 1}};
        auto& gather = add("/gather/");
        gather.split.clear();
        gather.gather.emplace();
        for (auto const& shard : shards)
            gather.gather->shards.emplace_back(shard);
        gather.gather->top_k = 2;
        gather.gather->min_coverage = 0.75;
        std::map<service_name, service_limits> services;
        for (char const* service : {"s", "t", "g0", "g1", "g2", "g3"})
            services[service_name(service)] = {60, {}};
        return std::make_shared<serving_config const>(config_version(version), std::move(routes), std::move(services),
                                                      caller_limits{});
    }

    /** Starts a request. @return its key. */
    request_key start(std::string const& path, std::string const& id, std::vector<http_header> headers = {})
    {
        http_request message;
        message.path = path;
        message.headers = {{"host", "h.example"}, {"request-id", id}};
        message.headers.insert(message.headers.end(), headers.begin(), headers.end());
        request_key const key(++last_key);
        requests->start(key, std::move(message), {max_unread, round_trip}, caller, now);
        return key;
    }

    /** Finishes attempt @p index without a response. */
    void finish_attempt(std::size_t index, attempt_status how)
    {
        requests->on_result(sent[index].id, {how, {}, "test", connection_id(), sent[index].needs_new_connection}, now);
    }

    /** Finishes attempt @p index with a response. */
    void respond(std::size_t index, http_response response)
    {
        requests->on_result(sent[index].id, {attempt_status::answered, std::move(response), ""}, now);
    }

    /** Finishes attempt @p index with a signed response. */
    void respond(std::size_t index, int status, std::string body)
    {
        http_response response;
        response.status = status;
        response.headers = {{"signature", "sig-" + std::to_string(index)}};
        response.body = std::move(body);
        respond(index, std::move(response));
    }

    /** Advances the time in steps of one millisecond and runs the timers. */
    void advance(std::chrono::milliseconds by)
    {
        for (auto const until = now + by; now < until;) {
            now += std::chrono::milliseconds(1);
            requests->on_timer(now);
        }
    }

    /** @return whether a response to the request was sent. */
    bool has_response(request_key key) const { return responses.contains(key.value()); }
    /** @return the response to the request. */
    http_response const& response_to(request_key key) const
    {
        REQUIRE(has_response(key));
        return responses.at(key.value());
    }

    time_point start_time{std::chrono::seconds(1000)}; ///< Start of the test.
    time_point now = start_time;                       ///< Current virtual time.
    config_holder configs;                             ///< Configuration.
    backend_registry registry;                         ///< Backend servers.
    placement_rules placement;                         ///< Placement rules.
    request_quarantine quarantine;                     ///< Requests that crash backend servers.
    quota_usage quotas;                                ///< Use of customers' quotas.
    clock::duration max_unread{0};                     ///< Upper bound on the time that requests were unread.
    clock::duration round_trip{0};                     ///< Network time of the requests.
    caller_address caller{"192.0.2.1"};                ///< Address of their caller.
    std::vector<outgoing_attempt> sent;                ///< Attempts in the attempt of sending.
    std::set<std::uint64_t> canceled;                  ///< Ids of canceled attempts.
    std::map<std::uint64_t, http_response> responses;  ///< Responses to callers by request key.
    std::vector<request_summary> finished;             ///< Summaries of finished requests.
    std::uint64_t last_key = 0;                        ///< Last request key used.
    std::unique_ptr<dispatcher> requests;              ///< Dispatcher under test.
};

} // namespace cornelspring
