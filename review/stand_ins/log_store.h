// Stand-in for the platform's store: a log with topics, partitions and groups. Each machine gets an address of its own,
// so that the store can turn single machines away.
#pragma once

#include "balsamspring/net/event_loop.h"
#include "balsamspring/net/http_service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring::review {

// How the store treats the calls of one machine.
enum class store_access : std::uint8_t {
    Served,
    TurnedAway, // 503
    Silent, // calls are read and not answered
};

class log_store {
public:
    // `parts`: number of partitions of each topic.
    log_store(event_loop& loop, std::uint32_t parts);
    ~log_store();

    // Opens an address for one machine.
    endpoint openFor(const std::string& machine);
    void setAccess(const std::string& machine, store_access access);

    // Writes of the operator and the workers, which are always served. They are acknowledged when the call returns.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    void remove(const std::string& topic, const std::string& key);

    // The members that own the partitions of the group, by partition.
    std::vector<std::string> owners(const std::string& group) const;

private:
    struct record {
        std::string key;
        std::string value; // empty: the key was removed
    };
    struct pending_read {
        std::string machine;
        std::string topic;
        std::size_t from = 0;
        std::size_t maxBytes = 0;
        std::shared_ptr<response_writer> writer;
    };
    struct group_state {
        std::uint64_t generation = 0;
        std::map<std::string, mono_time> members; // end of the membership
        std::vector<std::string> owners; // by partition
    };

    void handle(
        const std::string& machine, const incoming_request& request, const std::shared_ptr<response_writer>& writer);
    void append(
        const incoming_request& request, const std::string& topic, const std::shared_ptr<response_writer>& writer);
    void newest(const std::string& target, const std::shared_ptr<response_writer>& writer);
    void read(const std::string& machine, const std::string& target, const std::shared_ptr<response_writer>& writer);
    void join(const incoming_request& request, const std::shared_ptr<response_writer>& writer);
    void sendPage(const pending_read& waiting);
    void completeReads(const std::string& topic);
    void dealPartitions(group_state& group) const;
    // Answers after the time that the store takes for a call and for the bytes that it reads.
    void answer(const std::shared_ptr<response_writer>& writer, unsigned status, std::string body);

    event_loop& m_loop;
    std::uint32_t m_parts;
    std::map<std::string, std::unique_ptr<http_service>> m_services;
    std::map<std::string, store_access> m_access;
    std::map<std::string, std::vector<record>> m_topics;
    std::map<std::string, group_state> m_groups;
    std::vector<pending_read> m_pendingReads;
    std::vector<std::shared_ptr<response_writer>> m_unanswered;
    mono_time m_readsBusyUntil {};
};

} // namespace balsamspring::review
