// What servers say about the requests that they take, and what VMs tell each other about it.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace balsamspring {

// Requests to one server.
struct request_rate {
    double perSecond = 0;

    friend auto operator<=>(const request_rate&, const request_rate&) = default;
};

// What a response says about the requests that its server takes from all VMs together.
struct limit_notice {
    bool named = false; // readable or not
    // The smallest of the values that can be read; never negative.
    std::optional<request_rate> rate {};
    bool unreadable = false; // a value that is no decimal number
    bool repeated = false; // several values
};

// One process of a server: a hash of its id, start time and address. The next process at the same id or address has
// named no limit.
using server_process = number_id<struct server_process_tag>;

// What a VM reports about one server.
struct limit_report {
    server_process server;
    std::optional<request_rate> rate; // none: the server has named no limit lately
    duration age {}; // since the response that said so
    bool heard = false; // by this VM itself, not from the collector
    std::uint32_t wanted = 0; // permits that the VM misses now

    friend bool operator==(const limit_report&, const limit_report&) = default;
};

// What the collector knows of one server, and has given the VM that it answers.
struct limit_summary {
    server_process server;
    std::optional<request_rate> rate;
    duration age {}; // since the response that said so; an estimate
    std::uint64_t granted = 0; // permits since the collector has known the VM

    friend bool operator==(const limit_summary&, const limit_summary&) = default;
};

} // namespace balsamspring
