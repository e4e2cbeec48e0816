/** @file local_fleet.cpp The in-process deployment of the contract tests and the randomised tests. */
#include "local_fleet.hpp"

#include <future>

namespace cornelspring::testing {
namespace {

/** Documents taken from the corpus: enough for every shard to have hits, few enough to index quickly. */
constexpr std::size_t corpus_documents = 1200;
/** Directory of the corpus package. */
constexpr char const* corpus_folder = "/usr/share/games/fortunes";
/** Timeout of a call to a stand-in. */
constexpr milliseconds fault_timeout{5000};

/** @return server options for a free loopback port. */
server_options free_port_options()
{
    server_options options;
    options.tick_interval = milliseconds(10);
    return options;
}

} // namespace

bool eventually(std::function<bool()> const& holds)
{
    auto const until = clock::now() + condition_timeout;
    while (clock::now() < until) {
        if (holds()) return true;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return holds();
}

local_store::local_store()
    : server(free_port_options(),
             [this](http_request const& request, respond_fn reply) { service.handle(request, std::move(reply)); })
{
    server.set_tick([this](time_point now) { service.tick(now); });
    server.start();
}

http_response local_store::post(std::string const& path, nlohmann::json const& body)
{
    http_request request;
    request.method = "POST";
    request.path = path;
    request.body = body.dump();
    client_result result;
    // An earlier fault may have silenced the connection; a later attempt uses a new one.
    eventually([&] {
        result = client.call(address(), request, fault_timeout);
        return result.outcome == send_outcome::answered;
    });
    return result.response;
}

void local_store::set_faults(nlohmann::json const& body) { post(paths::fault, body); }

void local_store::set_vm_state(std::string const& vm, std::string const& state)
{
    post(paths::vms, {{"address", vm}, {"state", state}});
}

local_backend::local_backend(backend_config config, std::vector<document> const& corpus)
    : service(std::move(config), corpus),
      server(free_port_options(),
             [this](http_request const& request, respond_fn reply) { service.handle(request, std::move(reply)); })
{
    server.start();
}

local_entry::local_entry(endpoint const& store_address, std::string const& id, entry_setup const& setup)
    : store(client, store_address, setup.store_timeout), watcher(store, view, milliseconds(50)),
      gather(client, setup.gather, make_adaptive_chooser(tracker, 1), tracker, [this] { return view.current(); }),
      writes(store, client, make_adaptive_chooser(tracker, 2), tracker, [&] {
          write_options options = setup.write;
          options.owner = id;
          return options;
      }())
{
    if (setup.read_vm_list) {
        vm_list = std::make_unique<vm_list_watcher>(
            client, tracker, vm_list_options{store_address, milliseconds(200), milliseconds(500)});
    }
    watcher.start();
}

local_entry::~local_entry()
{
    vm_list.reset();
    watcher.stop();
}

gather_result local_entry::query(query_request request)
{
    std::promise<gather_result> promise;
    auto future = promise.get_future();
    gather.run(view.current(), std::move(request), [&](gather_result result) { promise.set_value(std::move(result)); });
    return future.get();
}

write_result local_entry::write(write_request request)
{
    std::promise<write_result> promise;
    auto future = promise.get_future();
    writes.run(view.current(), std::move(request), [&](write_result result) { promise.set_value(std::move(result)); });
    return future.get();
}

std::vector<std::int32_t> shards_of_backend(std::size_t backend, std::size_t backends, std::int32_t shard_count)
{
    std::vector<std::int32_t> shards;
    for (std::int32_t shard = 0; shard < shard_count; ++shard) {
        std::size_t const first = static_cast<std::size_t>(shard) % backends;
        if (first == backend || (first + 1) % backends == backend) shards.push_back(shard);
    }
    return shards;
}

local_fleet::local_fleet(std::size_t backend_count, std::size_t entry_count, std::int32_t shards, std::size_t slots,
                         entry_setup const& setup)
    : corpus(load_corpus(corpus_folder, corpus_documents))
{
    m_shard_counts[1] = shards;
    for (std::size_t i = 0; i < backend_count; ++i) {
        backend_config config;
        config.name = "b" + std::to_string(i);
        config.service = "svc";
        config.slots = slots;
        backends.push_back(std::make_unique<local_backend>(config, corpus));
    }
    load_version(1, shards);
    for (std::size_t i = 0; i < entry_count; ++i) {
        entries.push_back(std::make_unique<local_entry>(store.address(), "e" + std::to_string(i), setup));
    }
}

void local_fleet::load_version(std::int64_t version, std::int32_t shard_count)
{
    m_shard_counts[version] = shard_count;
    for (std::size_t i = 0; i < backends.size(); ++i) {
        backends[i]->service.load_version({version, shard_count, shards_of_backend(i, backends.size(), shard_count)});
    }
}

std::int64_t local_fleet::publish()
{
    store_client writer(m_client, store.address(), fault_timeout);
    // The store may have a fault. A put is idempotent, so it is repeated until it succeeds.
    auto put = [&](resource const& item) {
        std::int64_t accepted = 0;
        eventually([&] {
            try {
                accepted = writer.put(resource_key(item.kind, item.name), resource_to_json(item).dump());
            } catch (error const&) {
            }
            return accepted > 0;
        });
        return accepted;
    };
    for (std::size_t i = 0; i < backends.size(); ++i) {
        backend_spec spec;
        spec.address = backends[i]->address().to_string();
        spec.service = "svc";
        for (auto version : versions)
            spec.holdings.push_back({version, shards_of_backend(i, backends.size(), m_shard_counts.at(version))});
        put({resource_kind::backend, "b" + std::to_string(i), spec, 0});
    }
    service_spec spec;
    spec.shards = m_shard_counts.at(published_version);
    spec.index_version = published_version;
    return put({resource_kind::service, "svc", spec, 0});
}

bool local_fleet::wait_until_applied(std::int64_t revision)
{
    return eventually([&] {
        for (auto const& entry : entries) {
            if (entry->view.current()->revision < revision) return false;
        }
        return true;
    });
}

std::vector<hit> local_fleet::expected_hits(std::int64_t version, std::set<std::int32_t> const& shards,
                                            std::string const& query, std::size_t k)
{
    std::vector<std::vector<hit>> lists;
    for (auto shard : shards) {
        auto found = m_reference_indexes.find({version, shard});
        if (found == m_reference_indexes.end()) {
            found = m_reference_indexes
                        .emplace(std::make_pair(version, shard),
                                 shard_index(corpus, shard, version, m_shard_counts.at(version)))
                        .first;
        }
        lists.push_back(found->second.search(split_terms(query), k));
    }
    return merge_top_k(lists, k);
}

std::vector<journal_entry> local_fleet::journals() const
{
    std::vector<journal_entry> all;
    for (auto const& backend : backends) {
        auto const part = backend->service.journal();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

int local_fleet::write_runs(std::string const& key) const
{
    int runs = 0;
    for (auto const& entry : journals()) {
        if (entry.is_write && entry.id == key && entry.event == journal_event::ran) ++runs;
    }
    return runs;
}

void local_fleet::clear_faults()
{
    for (auto const& backend : backends) {
        backend->service.set_faults({});
        backend->server.set_frozen(false);
    }
    store.server.set_frozen(false);
    store.set_faults(nlohmann::json::object());
}

} // namespace cornelspring::testing
