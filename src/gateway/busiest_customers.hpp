/** @file busiest_customers.hpp Which customers have a metrics row of their own (internal). */
#pragma once

#include <cornelspring/net.hpp>

#include <map>
#include <string>
#include <vector>

namespace cornelspring {

/**
 * Chooses the customers whose requests are counted one by one; the requests of the others are counted together, so that
 * the number of metrics stays bounded. Every minute, a customer without a row that had twice the requests of one with a
 * row takes its place. The factor keeps equally busy customers from taking turns, which would end a time series each
 * time.
 */
class busiest_customers {
public:
    /** @param rows number of customers with a row. */
    explicit busiest_customers(std::size_t rows) : m_rows(rows) {}
    /** Counts a request. @param name its customer. @param now current time. @return whether the customer has a row. */
    bool count(std::string const& name, time_point now);
    /** @return the customers that lost their rows since the last call. */
    std::vector<std::string> take_replaced() { return std::exchange(m_replaced, {}); }

private:
    /** What is known about one customer. */
    struct entry {
        double recent = 0;    ///< Requests, of which each earlier minute counts half as much as the next one.
        bool has_row = false; ///< It has a row.
    };
    /** Lets busier customers take rows, and forgets customers without recent requests and without a row. */
    void rank();
    /** Lets the busiest customer without a row take the row of the least busy one. @return whether it did. */
    bool replace_one();

    std::size_t m_rows;                     ///< Number of rows.
    std::size_t m_used_rows = 0;            ///< Rows that customers have.
    std::map<std::string, entry> m_entries; ///< By name.
    std::vector<std::string> m_replaced;    ///< Customers that lost their rows.
    time_point m_ranked_at;                 ///< Time of the last ranking.
};

} // namespace cornelspring
