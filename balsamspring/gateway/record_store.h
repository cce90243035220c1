// What the product needs of the platform's log service. The adapter implements it.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

struct store_record {
    std::string key; // keyed topics only
    std::optional<std::string> value; // none: the key was removed
    std::uint64_t offset = 0;
};

struct record_page {
    std::vector<store_record> records;
    std::uint64_t nextOffset = 0; // where to go on reading
    // When the store is known to have had nothing newer, counted from the moment of asking. Another VM that passes
    // records on may know an earlier or a later one.
    duration provenAfterAsking {};
};

// Newest record of each key. Several pages are no snapshot: records may change between them.
struct newest_page {
    std::vector<store_record> records;
    bool more = false;
    std::uint64_t endOffset = 0;
};

// A partition and the member of the group that it is assigned to.
struct partition_owner {
    std::uint32_t partition = 0;
    std::string member;
};

// Each call answers once. Error `NotFound` of readFrom: the records before the retained ones are gone. An append that
// fails with another error than `Refused` may have taken effect or may still do so.
struct record_store {
    template <class Value> using reply = std::function<void(result<Value>)>;

    std::function<void(const std::string& topic, const std::string& afterKey, reply<newest_page>)> readNewest;
    std::function<void(const std::string& topic, std::uint64_t from, duration wait, reply<record_page>)> readFrom;
    // Appends to partition 0 of a keyed topic.
    std::function<void(
        const std::string& topic, const std::string& key, const std::string& value, reply<std::uint64_t>)>
        append;
    std::function<void(const std::string& group, const std::string& member, const std::string& topic, duration lifetime,
        std::uint64_t generation, reply<std::uint64_t>)>
        joinGroup;
    std::function<void(const std::string& group, const std::string& member, reply<void>)> leaveGroup;
    std::function<void(const std::string& group, reply<std::vector<partition_owner>>)> groupOwners;
};

} // namespace balsamspring
