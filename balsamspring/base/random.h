// Random numbers. Every component takes its engine from outside, so that one seed gives one run.
#pragma once

#include <cstdint>
#include <random>

#include <pcg_random.hpp>

namespace balsamspring {

using random_engine = pcg32;

// Uniform in [0, 1).
inline double uniform(random_engine& engine) { return static_cast<double>(engine()) / 4294967296.0; }

// Uniform in [0, bound); bound > 0.
inline std::uint32_t uniformBelow(random_engine& engine, std::uint32_t bound) { return engine(bound); }

inline double exponential(random_engine& engine, double mean)
{
    return std::exponential_distribution<double>(1 / mean)(engine);
}

} // namespace balsamspring
