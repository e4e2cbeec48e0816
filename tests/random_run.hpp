/** @file random_run.hpp Seeds and length of the randomised tests, and a summary of their outcomes. */
#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace cornelspring::testing {

/** @return the number in environment variable @p name, or @p fallback if it is not set. */
inline int number_from_environment(char const* name, int fallback)
{
    char const* text = std::getenv(name);
    return text == nullptr ? fallback : std::atoi(text);
}

/** @return the seeds to run: a fixed list, or 1 to CORNEL_RANDOM_SEEDS when that is set. */
inline std::vector<std::uint64_t> random_seeds()
{
    int const count = number_from_environment("CORNEL_RANDOM_SEEDS", 0);
    if (count <= 0) return {11, 23, 47};
    std::vector<std::uint64_t> seeds;
    for (int seed = 1; seed <= count; ++seed)
        seeds.push_back(static_cast<std::uint64_t>(seed));
    return seeds;
}

/** @return steps per seed (each starts one request): CORNEL_RANDOM_STEPS, or a default. */
inline int steps_per_seed() { return number_from_environment("CORNEL_RANDOM_STEPS", 150); }

/** Prints the number of each outcome, which shows whether the run's faults had any effect. */
inline void print_outcome_counts(char const* what, std::uint64_t seed, std::map<std::string, int> const& outcome_counts)
{
    std::cout << what << " seed " << seed << ":";
    for (auto const& [name, count] : outcome_counts)
        std::cout << " " << name << "=" << count;
    std::cout << "\n";
}

} // namespace cornelspring::testing
