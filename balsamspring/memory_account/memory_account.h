// Accounts for the memory and the descriptors that a process spends on its callers, and decides who gives way when they
// run short.
//
// Load pattern: crowds of clients that nobody controls send many large bodies at once and stop short of their end, read
// no answers, or open connections that send nothing. Ordinary callers still have to be served while the crowd stays.
//
// Each connection holds a share of the account, which it gives back when the hold ends. Under pressure, those that have
// made no progress for longest go first, and among equals those that hold most. A body is read only once there is room
// for all of it, so that bodies in progress never wait for each other.
//
//     account_hold hold = account.admit({ .onEvicted = ..., .onRoom = ... }, now);
//     if (!hold) close();
//     if (!hold.reserve(bytes, now)) pauseReading();
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace balsamspring {

struct memory_account_options {
    // Bytes that may be held for callers. 0: no limit.
    std::uint64_t bytes = 0;
    // Callers' connections. 0: no limit.
    std::size_t connections = 0;
    // What an open connection takes before it has sent anything: its read buffer and the connection itself.
    std::uint64_t bytesPerConnection = 20UL * 1024;
    // What a request in progress takes in addition: its state, and the connection to its server.
    std::uint64_t bytesPerRequest = 32UL * 1024;
    // Bodies up to this size may use all of the account, and do not wait behind larger ones.
    std::uint64_t smallBody = 64UL * 1024;
    // Share of the account that larger bodies may fill.
    double largeShare = 0.75;
    // A client that is slower than this while others wait for room gives way. Far below the slowest link of a caller
    // that sends at all.
    std::uint64_t progressBytes = 16UL * 1024;
    duration stallLimit = std::chrono::milliseconds(500);
    // A body that has waited this long for room is refused.
    duration maxWait = std::chrono::seconds(2);
    // Bytes of an answer that may wait for its caller to read them, with room and without.
    std::size_t maxWindow = 256UL * 1024;
    std::size_t minWindow = 16UL * 1024;
};

// The limits of a process with this much memory and this many descriptors.
memory_account_options accountOptionsFor(std::uint64_t memoryBytes, std::size_t descriptors);

enum class eviction : std::uint8_t {
    IdleConnection, // no descriptor or memory is left for a new connection
    StalledRequest, // the request makes no progress, and others need its room
    NoRoom, // the body has waited too long for room
    UnreadAnswer, // the caller does not read its answer
};

std::string_view toString(eviction reason);

struct account_callbacks {
    // The owner has to end its connection, at once or soon. Called at most once, and never from within a call of the
    // hold itself.
    std::function<void(eviction)> onEvicted;
    // There is room for the bytes that reserve() has asked for. They are charged.
    std::function<void()> onRoom;
};

class memory_account;

// The share of one connection. Move-only; gives everything back at its end.
class account_hold {
public:
    account_hold() = default;
    account_hold(account_hold&& other) noexcept;
    account_hold& operator=(account_hold&& other) noexcept;
    ~account_hold();

    // Whether the connection is charged. False once the account has ended, which the hold may outlive.
    explicit operator bool() const { return account() != nullptr; }

    // Bytes were received. Counts as progress once there are enough of them.
    void received(std::size_t bytes, mono_time now);
    // Asks for a body of `bytes` in all. Returns false if there is no room now; then onRoom or onEvicted is called.
    bool reserve(std::uint64_t bytes, mono_time now);
    // The request is complete; its body, held `bytes` large, is kept until idle().
    void serving(std::uint64_t bytes, mono_time now);
    // Bytes of the answer that are kept, and that wait to be written.
    void unread(std::uint64_t bytes, mono_time now);
    // The answer is complete: the connection waits for its next request.
    void idle(mono_time now);

private:
    friend class memory_account;
    account_hold(std::shared_ptr<memory_account*> account, std::uint64_t id);
    memory_account* account() const { return m_account ? *m_account : nullptr; }
    void release();

    std::shared_ptr<memory_account*> m_account; // points to null after the end of the account
    std::uint64_t m_id = 0;
};

class memory_account {
public:
    // `limits` of 0 bytes and 0 connections admit everything.
    explicit memory_account(memory_account_options limits);
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    ~memory_account() { *m_self = nullptr; }

    // A new connection. Displaces one other at most. An empty hold: there is no room for it, and nothing that gives
    // way.
    account_hold admit(account_callbacks callbacks, mono_time now);
    // Evicts who has to give way, and grants room to who waits for it. To be called several times a second.
    void tick(mono_time now);

    // Bytes of one answer that may wait for its caller.
    std::size_t window() const;
    std::uint64_t usedBytes() const { return m_used; }
    std::size_t connections() const { return m_holders.size(); }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    friend class account_hold;

    enum class holder_state : std::uint8_t { Idle, Reading, Waiting, Serving };

    struct holder {
        account_callbacks callbacks;
        holder_state state = holder_state::Idle;
        std::uint64_t charged = 0;
        std::uint64_t body = 0; // part of `charged`
        std::uint64_t unread = 0; // part of `charged`
        std::uint64_t wanted = 0; // while waiting
        mono_time waitsSince {};
        mono_time progressAt {};
        std::size_t receivedSinceProgress = 0;
        bool evicted = false;
    };

    void release(std::uint64_t id);
    void setCharge(holder& owner, std::uint64_t body, std::uint64_t unread);
    std::uint64_t limitFor(std::uint64_t body) const;
    bool fits(const holder& owner, std::uint64_t body) const;
    // The holder that gives way to a new connection, or null.
    holder* leastActive(mono_time now);
    // The holder that gives way to one that waits for room, or null.
    holder* stalledReader(mono_time now);
    holder* stalledCaller(mono_time now);
    void evict(holder& owner, eviction reason);
    void grantRoom(mono_time now);

    memory_account_options m_options;
    std::shared_ptr<memory_account*> m_self = std::make_shared<memory_account*>(this); // shared with the holds
    std::map<std::uint64_t, holder> m_holders;
    // Last come, first served: a crowd that came before would otherwise keep every later caller waiting in vain.
    std::vector<std::uint64_t> m_waiting;
    std::uint64_t m_used = 0;
    std::uint64_t m_evictedBytes = 0; // of holders that were evicted and have not ended
    std::uint64_t m_nextId = 1;
};

} // namespace balsamspring
