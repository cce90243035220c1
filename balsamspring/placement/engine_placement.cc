#include "balsamspring/placement/engine_placement.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <utility>

namespace balsamspring {

engine_placement::engine_placement(
    engine_placement_options options, std::function<double(const backend_id&)> otherCalls)
    : m_options(options)
    , m_otherCalls(std::move(otherCalls))
{
}

double engine_placement::loadOf(const engine_candidate& candidate) const
{
    return candidate.calls + reserved(*candidate.id) + (m_otherCalls ? m_otherCalls(*candidate.id) : 0);
}

double engine_placement::loadLimit(std::span<const engine_candidate> candidates) const
{
    double total = 0;
    std::size_t usable = 0;
    for (const engine_candidate& candidate : candidates) {
        if (!candidate.usable)
            continue;
        total += loadOf(candidate);
        usable += 1;
    }
    const double mean = usable == 0 ? 0 : total / static_cast<double>(usable);
    return m_options.loadFactor * mean + m_options.loadHeadroom;
}

std::optional<std::size_t> engine_placement::choose(
    std::span<const engine_candidate> candidates, std::uint64_t prefix) const
{
    struct ranked {
        std::uint64_t weight;
        std::size_t index;
    };
    const double limit = loadLimit(candidates);
    std::optional<ranked> best;
    std::optional<ranked> bestFitting;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].usable)
            continue;
        const ranked item { combineHash(prefix, hash64(candidates[i].id->value())), i };
        if (!best || item.weight > best->weight)
            best = item;
        if ((!bestFitting || item.weight > bestFitting->weight) && loadOf(candidates[i]) <= limit)
            bestFitting = item;
    }
    if (bestFitting)
        return bestFitting->index;
    return best ? std::optional(best->index) : std::nullopt;
}

bool engine_placement::stillFits(std::span<const engine_candidate> candidates, const backend_id& engine) const
{
    const auto found = std::find_if(candidates.begin(), candidates.end(),
        [&](const engine_candidate& candidate) { return *candidate.id == engine; });
    // The reservation itself is part of the load.
    return found != candidates.end() && found->usable && loadOf(*found) - 1 <= 2 * loadLimit(candidates);
}

unsigned engine_placement::reserved(const backend_id& engine) const
{
    const auto found = m_reserved.find(engine);
    return found == m_reserved.end() ? 0 : found->second;
}

placed_call::placed_call(engine_placement& placement, backend_id engine)
    : m_placement(&placement)
    , m_engine(std::move(engine))
{
    placement.m_reserved[m_engine] += 1;
}

placed_call::placed_call(placed_call&& other) noexcept
    : m_placement(std::exchange(other.m_placement, nullptr))
    , m_engine(std::move(other.m_engine))
{
}

placed_call& placed_call::operator=(placed_call&& other) noexcept
{
    if (this == &other)
        return *this;
    end();
    m_placement = std::exchange(other.m_placement, nullptr);
    m_engine = std::move(other.m_engine);
    return *this;
}

placed_call::~placed_call() { end(); }

void placed_call::end()
{
    if (!m_placement)
        return;
    const auto found = m_placement->m_reserved.find(m_engine);
    found->second -= 1;
    if (found->second == 0)
        m_placement->m_reserved.erase(found);
    m_placement = nullptr;
}

} // namespace balsamspring
