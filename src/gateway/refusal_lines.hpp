/** @file refusal_lines.hpp Which refusals of feed sources are logged (internal). */
#pragma once

#include <cornelspring/net.hpp>

#include <optional>
#include <set>
#include <string>

namespace cornelspring {

/**
 * Limits the log lines about sources that refuse calls: while no gateway knows more than its peers, each of them
 * refuses several calls per second. A line is written when a source starts to refuse, and at most once per second.
 */
class refusal_lines {
public:
    /** A source refused a call. @param source its name. @param now current time. @return the number of lines that were
     *  suppressed since the last one, if a line is to be written. */
    std::optional<std::uint64_t> on_refused(std::string const& source, time_point now);
    /** A source is in another state, so that its next refusal is a change. @param source its name. */
    void on_other_state(std::string const& source) { m_refusing.erase(source); }

private:
    std::set<std::string> m_refusing;    ///< Sources whose last line says that they refuse.
    std::optional<time_point> m_last_at; ///< Time of the last line.
    std::uint64_t m_suppressed = 0;      ///< Lines suppressed since then.
};

} // namespace cornelspring
