// Interface to the platform's log service: reads of topics, appends to keyed topics, and membership of groups. The
// platform adapter implements it.
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
    std::string key; // Set for keyed topics only.
    std::optional<std::string> value; // Empty if the key was removed.
    std::uint64_t offset = 0;
};

// A record to append. An empty value removes the key.
struct keyed_value {
    std::string key;
    std::string value;
};

struct record_page {
    std::vector<store_record> records;
    std::uint64_t nextOffset = 0; // Offset at which the next read starts.
    // Latest time at which the store is known to have had no newer records, relative to the time of the request. It may
    // be negative or positive if another VM relayed the records.
    duration provenAfterRequest {};
    // End of the topic when the page was read. A page that ends before it proves nothing about the records after it.
    std::uint64_t endOffset = 0;
};

// A page of the newest record of each key. Pages do not form a consistent snapshot: records may change between them.
struct newest_page {
    std::vector<store_record> records;
    bool hasMore = false;
    std::uint64_t endOffset = 0;
    // Key after which the next page starts, if it is not that of the last record.
    std::string lastKey {};
};

// A partition and the member of the group that it is assigned to.
struct partition_owner {
    std::uint32_t partition = 0;
    std::string member;
};

// Each operation invokes its callback once. `readFrom` fails with `NotFound` if the requested records are no longer
// retained. An append that fails with an error other than `Refused` or `Conflict` may have taken effect or may still do
// so.
struct record_store {
    template <class Value> using reply = std::function<void(result<Value>)>;

    // Starts at the first key if `afterKey` is empty.
    std::function<void(const std::string& topic, const std::string& afterKey, reply<newest_page>)> readNewest;
    // The store may hold the read for up to `wait` until a record arrives.
    std::function<void(const std::string& topic, std::uint64_t from, duration wait, reply<record_page>)> readFrom;
    // Appends all records, or none, to partition 0 of a keyed topic. With `expectedEnd`, fails with `Conflict` unless
    // the partition ends at that offset. Replies with the offset of the first record.
    std::function<void(const std::string& topic, const std::vector<keyed_value>& records,
        std::optional<std::uint64_t> expectedEnd, reply<std::uint64_t>)>
        append;
    // Joins the group, or renews a membership, for `lifetime`. Replies with the current generation of the group.
    std::function<void(const std::string& group, const std::string& member, const std::string& topic, duration lifetime,
        std::uint64_t generation, reply<std::uint64_t>)>
        joinGroup;
    std::function<void(const std::string& group, const std::string& member, reply<void>)> leaveGroup;
    std::function<void(const std::string& group, reply<std::vector<partition_owner>>)> groupOwners;
};

} // namespace balsamspring
