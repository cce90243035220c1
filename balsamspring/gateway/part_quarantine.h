// Finds parts of prompts that crash every server that begins to answer a request with them, and stops such requests.
//
// Load pattern: requests that share one part crash server after server. No two of them are alike, and they arrive at
// all VMs. Sound requests share their team and their other parts, and are lost with them when a server crashes.
//
// Every crash is evidence against the parts of the requests that were lost with it, and every answer that goes on is a
// proof for its parts. A part is blocked after several crashes without a proof in between. Evidence, blocks and proofs
// are exchanged with the other VMs as records of a topic; their order in the topic decides between them. A blocked part
// is probed with single requests at growing intervals, and each probe is claimed by one VM.
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/random.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsamspring {

struct part_quarantine_options {
    // Crashes without a proof in between that block a part.
    unsigned crashesToBlock = 3;
    // Crashes heard of within this time count as one: many servers may fail together for another reason.
    duration mergeWindow = std::chrono::milliseconds(300);
    // A part with a proof on this VM in the last `proofMemory` is blocked this long after the last crash that it takes,
    // so that VMs with a newer proof can report it.
    duration confirmation = std::chrono::seconds(1);
    duration proofMemory = std::chrono::seconds(30);
    // Many VMs decide on a block, or prove a part, at about the same time. Each publishes it after a random part of
    // this time, unless it has heard of it by then.
    duration blockSpread = std::chrono::seconds(2);
    duration clearSpread = std::chrono::milliseconds(600);
    // Time from the block to the first probe. Each probe is followed by an interval `probeBackoff` times as long.
    duration firstProbe = std::chrono::seconds(2);
    unsigned probeBackoff = 4;
    // Time after which evidence and blocks are forgotten.
    duration expiry = std::chrono::minutes(10);
    std::size_t capacity = 10'000; // maximum number of parts with evidence, and with a proof
    std::size_t crashesPerPart = 16; // further ones are not counted
};

enum class part_event : std::uint8_t { Crash, Blocked, Cleared, Probed };

struct part_record {
    fingerprint part;
    part_event event = part_event::Crash;
    // Crash: identifies the crash, equal on all VMs.
    fingerprint crash {};
    // Probed: counts the probes since the block, from 1.
    unsigned round = 0;
    // Cleared: the records of the part up to this offset are void. Blocked: offset of the oldest crash that the
    // decision counts; the block is void together with it.
    std::uint64_t basis = 0;

    friend bool operator==(const part_record&, const part_record&) = default;
};

struct part_verdict {
    enum class admission : std::uint8_t { Allowed, Refused, Probe };

    // Probe: the request may be sent if the VM succeeds in claiming the probe.
    admission decision = admission::Allowed;
    fingerprint part; // the blocked part
    duration nextProbe {}; // time until the next probe is due
};

class part_quarantine {
public:
    // The random engine must outlive this object.
    part_quarantine(const part_quarantine_options& options, random_engine& random);

    // A server crashed while a request with these parts, sent at `sentAt`, had no proof on it.
    void crashed(fingerprint crash, const std::vector<fingerprint>& parts, mono_time sentAt, mono_time now);
    // An answer to a request with these parts began at `begunAt` and was complete, or went on for long enough.
    void proven(const std::vector<fingerprint>& parts, mono_time begunAt, mono_time now);

    part_verdict judge(const std::vector<fingerprint>& parts, mono_time now) const;
    // The record that claims the next probe. It must be appended only if no record follows the last one that was
    // applied; probeClaimed() reports whether it was.
    part_record probeClaim(fingerprint part) const;
    void probeClaimed(fingerprint part, bool claimed, mono_time now);

    // Applies a record of the topic, written by this VM or another one. The order of calls does not matter.
    void apply(const part_record& record, std::uint64_t offset, mono_time now);
    // Decides on blocks that wait for a confirmation, and forgets what has expired. Call it several times a second.
    void tick(mono_time now);
    // Removes and returns the records that are to be appended to the topic.
    std::vector<part_record> takeRecords();
    // Removes and returns the records that have expired and may be removed from the topic.
    std::vector<part_record> takeExpired();

    std::size_t size() const { return m_suspects.size(); }

private:
    struct crash_evidence {
        std::optional<std::uint64_t> offset; // none: not yet read back from the topic
        mono_time heardAt;
        bool disproved = false; // an answer began after it; waits for its offset
    };
    struct suspect_part {
        std::map<fingerprint, crash_evidence> crashes;
        unsigned counted = 0;
        mono_time countedAt {}; // time of the last crash that counts
        bool blocked = false;
        std::optional<std::uint64_t> blockOffset;
        mono_time blockedAt {};
        std::optional<mono_time> publishBlockAt; // the block is not known to the other VMs yet
        std::optional<std::uint64_t> voidUpTo; // offset
        std::optional<std::uint64_t> disprovedUpTo; // to be published as void
        mono_time publishClearAt {};
        unsigned probes = 0;
        std::uint64_t probeOffset = 0;
        mono_time probeDue {};
        mono_time changedAt {};
    };

    suspect_part* find(fingerprint part);
    suspect_part* findOrAdd(fingerprint part);
    void countCrashes(suspect_part& suspect) const;
    void block(suspect_part& suspect, mono_time now) const;
    static void unblock(suspect_part& suspect);
    // The evidence that was heard of before `begunAt` is disproved.
    void disprove(suspect_part& suspect, mono_time begunAt, mono_time now);
    void applyCleared(suspect_part& suspect, std::uint64_t voidUpTo) const;
    void publishDue(fingerprint part, suspect_part& suspect, mono_time now);
    std::uint64_t oldestCounted(const suspect_part& suspect) const;
    void forgetExpired(mono_time now);
    mono_time spread(duration over, mono_time now);
    bool isBlocked(fingerprint part, const suspect_part& suspect, mono_time now) const;
    bool recentlyProven(fingerprint part, mono_time now) const;
    duration probeInterval(unsigned probes) const;

    part_quarantine_options m_options;
    random_engine& m_random;
    std::map<fingerprint, suspect_part> m_suspects;
    std::map<fingerprint, mono_time> m_proofs; // begin of the newest answer that proved the part
    std::vector<part_record> m_records;
    std::vector<part_record> m_expired;
    std::uint64_t m_newestOffset = 0; // of the records that were applied
};

} // namespace balsamspring
