// Open-loop load on the caller API of daemons, with what the callers saw.
#pragma once

#include "balsamspring/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamspring {

// One kind of request.
struct load_class {
    std::string pipeline;
    std::string input = "\"Question {n} [tokens=40]\""; // JSON text; "{n}" becomes the number of the request
    duration deadline = std::chrono::seconds(6);
    std::uint32_t priority = 0;
};

struct load_options {
    std::vector<std::string> daemons; // addresses, used in turn
    std::string token; // the team's bearer token
    load_class shortClass;
    load_class longClass;
    double longShare = 0;
    double rate = 10; // requests a second; arrivals are random and do not wait for answers
    duration time = std::chrono::seconds(10);
    double leaveShare = 0; // share of callers that leave early
    std::uint32_t leaveWithin = 50; // they leave after 1 up to this many tokens
    std::uint32_t sessions = 1000; // sessions that requests are spread over
    std::size_t maxOpen = 5000; // requests beyond this are not sent and count as the error "load_limit"
    std::uint64_t seed = 1;
};

struct load_percentiles {
    duration p50 {};
    duration p95 {};
    duration p99 {};
};

struct load_class_report {
    std::uint64_t offered = 0;
    std::uint64_t left = 0; // callers that left early
    std::uint64_t completed = 0;
    std::uint64_t inTime = 0; // completed within the deadline
    std::uint64_t tokens = 0;
    std::uint64_t restarts = 0;
    load_percentiles firstToken;
    load_percentiles tokenGap;
    load_percentiles whole; // until the end of completed requests
    std::map<std::string, std::uint64_t> errors; // by reason

    // Share of the callers that stayed whose answer was whole and in time; 1 when nobody stayed.
    double attainment() const;
};

struct load_report {
    duration elapsed {};
    load_class_report shortClass;
    load_class_report longClass;

    std::string toText() const;
    std::string toJson() const;
};

// Sends the load and waits for the answers, at most until the longest deadline and 5 s after the last request. Blocks
// the calling thread.
load_report runLoad(const load_options& options);

} // namespace balsamspring
