// Decides whether work leaves its availability zone, where its inputs are, for another one.
//
// Load pattern: one zone has more work than its servers can do for seconds, while other zones have room. Most of the
// time all servers are busy for a moment, and waiting for one in the zone costs less than the bytes that would cross.
//
// Work leaves while the expected wait at home exceeds the wait in the other zone by more than the transfer and the
// price of its bytes, or if only the other zone can meet its target.
//
//     const spill_verdict verdict = spill.place(work, now);
//     send(verdict.zone);
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace balsamspring {

struct zone_spill_options {
    // Off: work leaves only if its zone has no usable server.
    bool enabled = true;
    // Between two zones and back. One way takes 0.9 to 1.4 ms.
    duration roundTrip = std::chrono::microseconds(2800);
    // Bandwidth between zones for the bytes of one group or request.
    double bytesPerSecond = 125e6;
    // Traffic between zones costs money. Waiting this long for each megabyte that need not cross is preferred.
    duration pricePerMegabyte = std::chrono::milliseconds(30);
    // Expected waits are uncertain by about a tenth of a call (180 to 290 ms).
    duration minGain = std::chrono::milliseconds(20);
    // If the target is missed in the other zone as well, that zone is full too. Work leaves only for a wait that is
    // shorter than this share of the wait at home, so that full zones do not exchange work for their random
    // differences.
    double fullShare = 0.5;
    // Older loads are not used. Loads of other VMs arrive every 300 ms to 1 s.
    duration maxAge = std::chrono::seconds(2);
    // A zone that has sent work away within this time receives none, so that two zones do not exchange work.
    duration senderTime = std::chrono::milliseconds(300);
};

enum class spill_reason : std::uint8_t {
    InTime, // stays: the zone meets the target, and leaving saves less than it costs
    NoGain, // stays: the wait and the transfer abroad take as long
    Unknown, // stays: the loads are missing or old
    NoServer, // leaves: the zone has no usable server
    TargetMissed, // leaves: only the other zone meets the target, or the deadline
    ShorterWait, // leaves: the wait is shorter by more than the costs
};

std::string_view toString(spill_reason reason);
constexpr bool leaves(spill_reason reason) { return reason >= spill_reason::NoServer; }

struct spill_work {
    zone_id home;
    double amount = 1; // in the unit of `zone_figures`
    std::uint64_t bytes = 0; // of inputs and results that would cross
    duration service {}; // time of the work itself
    duration untilTarget {}; // time left to meet the target
    duration untilDeadline = duration::max(); // time after which the results are useless
};

struct zone_figures {
    double capacity = 0; // amount per second, of usable servers by their speed; 0: no usable server
    double waiting = 0; // amount that is not yet done
    bool destination = true; // false: evacuated or cold
    // VMs that decide by the same figures. The work that this VM places counts this many times until the next figures,
    // because the others place as much unseen.
    double deciders = 1;
};

struct spill_verdict {
    zone_id zone;
    spill_reason reason = spill_reason::Unknown;
};

// Expected time until work is taken by one of a zone's slots. `untilFree`: of each slot, ascending. `callsAhead`: calls
// that take place before, `call`: time of each. None without slots.
std::optional<duration> expectedWait(std::span<const duration> untilFree, double callsAhead, duration call);

class zone_spill {
public:
    // `onVerdict`, if set, is called with each decision of place().
    zone_spill(zone_spill_options options, std::function<void(const zone_id& home, const spill_verdict&)> onVerdict);

    const zone_spill_options& options() const { return m_options; }
    // Time by which the results come later than from the home zone.
    duration transfer(std::uint64_t bytes) const;
    // The transfer and the price of the traffic.
    duration crossingCost(std::uint64_t bytes) const;
    // Compares the expected wait at home (none: no usable server) with that in one other zone.
    spill_reason compare(const spill_work& work, std::optional<duration> waitAtHome, duration waitAbroad) const;

    // The figures of a zone as of `at`. Those that are no numbers or negative are ignored, and false is returned.
    bool update(const zone_id& zone, const zone_figures& figures, mono_time at);
    void forget(const zone_id& zone);
    // Chooses the zone and counts the work there. Nothing known: the home zone.
    spill_verdict place(const spill_work& work, mono_time now);

private:
    struct zone_state {
        zone_figures figures;
        mono_time at {};
        double placed = 0; // by this VM since `at`
        std::optional<mono_time> sentAt; // last work that left although the zone has servers
    };

    bool fresh(const zone_state& zone, mono_time now) const;
    static duration waitIn(const zone_state& zone, mono_time now);
    spill_verdict decide(const spill_work& work, mono_time now) const;

    zone_spill_options m_options;
    std::function<void(const zone_id&, const spill_verdict&)> m_onVerdict;
    std::map<zone_id, zone_state> m_zones;
};

} // namespace balsamspring
