// Chooses the engine of a request when it arrives, and keeps the choice until the request is sent, so that its stages
// can make their results where the engine will read them.
//
// Load pattern: hundreds of VMs share engines that cache the parts of prompts, and subjects come back within seconds.
// Each VM sees a small part of the load, and the choice of a moment later would differ from the first one.
//
// The engines are ranked by rendezvous hashing of the shared parts of the prompt, the same on all VMs. The first one
// that is below its bounded load is chosen.
//
//     if (const auto index = placement.choose(candidates, prefix))
//         placed_call place(placement, *candidates[*index].id);
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>

namespace balsamspring {

struct engine_placement_options {
    // An engine may have this many times the mean load of the candidates, and this many calls in addition: engines
    // batch a few calls more at little cost, while a prompt that another engine reads costs its whole reading time.
    double loadFactor = 2;
    double loadHeadroom = 2;
};

struct engine_candidate {
    const backend_id* id = nullptr;
    unsigned calls = 0; // of this VM, in flight
    bool usable = true; // not blocked, excluded or cold
};

class engine_placement {
public:
    // `otherCalls` returns the calls of other VMs in flight at a server, 0 if unknown.
    engine_placement(engine_placement_options options, std::function<double(const backend_id&)> otherCalls);

    // Index of the engine for prompts that begin with the parts of this hash, or none if no candidate is usable.
    std::optional<std::size_t> choose(std::span<const engine_candidate> candidates, std::uint64_t prefix) const;
    // Whether the engine is usable and below twice its bounded load. A placed call is not moved for less, because its
    // results have been made for that engine.
    bool stillFits(std::span<const engine_candidate> candidates, const backend_id& engine) const;
    unsigned reserved(const backend_id& engine) const;

private:
    friend class placed_call;

    double loadOf(const engine_candidate& candidate) const;
    double loadLimit(std::span<const engine_candidate> candidates) const;

    engine_placement_options m_options;
    std::function<double(const backend_id&)> m_otherCalls;
    std::map<backend_id, unsigned> m_reserved;
};

// A call that is planned for an engine and not sent yet. Counts as one in flight until its end. Move-only. The
// placement must outlive it.
class placed_call {
public:
    placed_call() = default;
    placed_call(engine_placement& placement, backend_id engine);
    placed_call(placed_call&& other) noexcept;
    placed_call& operator=(placed_call&& other) noexcept;
    ~placed_call();

    explicit operator bool() const { return m_placement != nullptr; }
    const backend_id& engine() const { return m_engine; }

private:
    void end();

    engine_placement* m_placement = nullptr;
    backend_id m_engine;
};

} // namespace balsamspring
