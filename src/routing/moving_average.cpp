/** @file moving_average.cpp Sample weights and decay of moving averages over time. */
#include <cornelspring/routing.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {

double sample_weight::after(clock::duration gap) const
{
    double const averages = std::chrono::duration<double>(gap) / std::chrono::duration<double>(time_constant);
    return std::clamp(1 - std::exp(-averages), min_weight, max_weight);
}

double decay_factor(clock::duration age, milliseconds half_life)
{
    return std::exp2(-(std::chrono::duration<double>(age) / std::chrono::duration<double>(half_life)));
}

} // namespace cornelspring
