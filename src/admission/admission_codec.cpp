/** @file admission_codec.cpp Bodies of the calls between gateways about demand, in CBOR. */
#include <cornelspring/admission.hpp>
#include <cornelspring/checked.hpp>

#include <nlohmann/json.hpp>

#include <cmath>

namespace cornelspring {
namespace {

using nlohmann::json;

/** Greatest number in a message. */
constexpr double max_number = checked::max_count;

/** @return @p value as written: in four bytes and within the range that decoders accept. */
float to_number(double value)
{
    return static_cast<float>(std::isfinite(value) ? std::clamp(value, 0.0, max_number) : 0);
}

/** Decodes the parts of a message and checks them. */
class demand_reader {
public:
    /** @return the number in @p value. */
    static double number(json const& value) { return checked::number(value, 0, max_number); }
    /** @return the whole number in @p value. */
    static int integer(json const& value) { return checked::count(value); }
    /** @return the name in @p value. */
    static std::string name(json const& value) { return checked::name(value); }
    /** @return the elements of the list @p value, each decoded by @p decode. */
    template <typename Decode> auto list(json const& value, Decode decode)
    {
        m_entries += checked::list(value).size();
        if (m_entries > checked::max_entries) throw checked::malformed("its lists have too many entries");
        std::vector<decltype(decode(value))> all;
        all.reserve(value.size());
        for (auto const& each : value)
            all.push_back(decode(each));
        return all;
    }

private:
    std::size_t m_entries = 0; ///< Entries of all lists so far.
};

/** @return @p fields as CBOR. */
std::string to_body(json const& fields)
{
    auto const bytes = json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

/** @return the result of @p decode on the CBOR in @p body. @throw error bad_request when it is malformed. */
template <typename Decode> auto from_body(std::string const& body, Decode decode)
{
    return checked::decode(body, checked::encoding::cbor, decode);
}

json encode_class(query_class of) { return {of.route_priority, of.goal.count()}; }

query_class decode_class(json const& value)
{
    return {demand_reader::integer(value.at(0)), milliseconds(demand_reader::integer(value.at(1)))};
}

json encode_customer(customer_demand const& row)
{
    return {encode_class(row.of),   row.customer_priority,   row.customer.value(),   to_number(row.weight),
            to_number(row.offered), to_number(row.admitted), to_number(row.in_goal), to_number(row.late)};
}

customer_demand decode_customer(json const& value)
{
    using reader = demand_reader;
    return {decode_class(value.at(0)),   reader::integer(value.at(1)), customer_name(reader::name(value.at(2))),
            reader::number(value.at(3)), reader::number(value.at(4)),  reader::number(value.at(5)),
            reader::number(value.at(6)), reader::number(value.at(7))};
}

json encode_delays(class_delays const& delays)
{
    json ratios = json::array();
    for (double const ratio : delays.ratios)
        ratios.push_back(to_number(ratio));
    return {encode_class(delays.of), to_number(delays.usual), ratios};
}

json encode_rank(rank_shares const& rank)
{
    json customers = json::array();
    for (auto const& each : rank.customers)
        customers.push_back({each.customer.value(), to_number(each.share)});
    return {rank.rank.of_customer, rank.rank.of_route, to_number(rank.share), customers};
}

rank_shares decode_rank(json const& value, demand_reader& read)
{
    using reader = demand_reader;
    return {
        {reader::integer(value.at(0)), reader::integer(value.at(1))},
        std::min(1.0, reader::number(value.at(2))),
        read.list(value.at(3), [](json const& each) {
            return customer_share{customer_name(reader::name(each.at(0))), std::min(1.0, reader::number(each.at(1)))};
        })};
}

set_demand decode_set_demand(json const& value, demand_reader& read)
{
    using reader = demand_reader;
    auto const delays = [&read](json const& each) {
        return class_delays{decode_class(each.at(0)), reader::number(each.at(1)),
                            read.list(each.at(2), reader::number)};
    };
    return {shard_set_id(reader::name(value.at(0))), reader::number(value.at(1)),
            read.list(value.at(2), decode_customer), read.list(value.at(3), delays)};
}

set_shares decode_set_shares(json const& value, demand_reader& read)
{
    using reader = demand_reader;
    return {shard_set_id(reader::name(value.at(0))), reader::number(value.at(1)),
            read.list(value.at(2), [&read](json const& each) { return decode_rank(each, read); }),
            read.list(value.at(3), [](json const& each) {
                return expected_delay{decode_class(each.at(0)), reader::number(each.at(1)), reader::number(each.at(2))};
            })};
}

} // namespace

std::string encode_demand_report(demand_report const& report)
{
    json sets = json::array();
    for (auto const& set : report.sets) {
        json customers = json::array();
        for (auto const& each : set.customers)
            customers.push_back(encode_customer(each));
        json delays = json::array();
        for (auto const& each : set.delays)
            delays.push_back(encode_delays(each));
        sets.push_back({set.id.value(), to_number(set.limit), customers, delays});
    }
    return to_body({{"sender", report.sender}, {"sets", sets}});
}

demand_report decode_demand_report(std::string const& body)
{
    return from_body(body, [](json const& fields) {
        demand_reader read;
        return demand_report{
            demand_reader::name(fields.at("sender")),
            read.list(fields.at("sets"), [&read](json const& each) { return decode_set_demand(each, read); })};
    });
}

std::string encode_share_update(share_update const& update)
{
    json sets = json::array();
    for (auto const& set : update.sets) {
        json ranks = json::array();
        for (auto const& each : set.ranks)
            ranks.push_back(encode_rank(each));
        json expected = json::array();
        for (auto const& each : set.expected)
            expected.push_back({encode_class(each.of), to_number(each.ratio), to_number(each.usual)});
        sets.push_back({set.id.value(), to_number(set.limit), ranks, expected});
    }
    return to_body({{"epoch", update.epoch}, {"sequence", update.sequence}, {"known", update.known}, {"sets", sets}});
}

share_update decode_share_update(std::string const& body)
{
    return from_body(body, [](json const& fields) {
        demand_reader read;
        return share_update{
            checked::unsigned_integer(fields.at("epoch")), checked::unsigned_integer(fields.at("sequence")),
            fields.at("known").get<bool>(),
            read.list(fields.at("sets"), [&read](json const& each) { return decode_set_shares(each, read); })};
    });
}

} // namespace cornelspring
