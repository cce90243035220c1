#include "balsamspring/gateway/fleet_messages.h"

#include "balsamspring/gather_schema/gather.pb.h"

namespace balsamspring {

namespace {

template <class Message> std::optional<request_rate> readRate(const Message& message)
{
    return message.has_per_second() ? std::optional(request_rate { message.per_second() }) : std::nullopt;
}

template <class Servers, class Calls>
result<std::vector<server_calls>> readCalls(const Servers& servers, const Calls& calls)
{
    if (servers.size() != calls.size())
        return makeError(error_code::Corrupt, "numbers of servers and calls differ");
    std::vector<server_calls> list;
    list.reserve(static_cast<std::size_t>(servers.size()));
    for (int i = 0; i < servers.size(); ++i)
        list.push_back({ server_key(servers.Get(i)), calls.Get(i) });
    return list;
}

} // namespace

std::string encodeReport(const vm_report& report)
{
    schema::fleet_report message;
    message.set_vm(report.vm.value());
    message.set_started_at_ms(report.startedAt);
    message.set_sequence(report.sequence);
    message.set_collector(report.collector);
    message.set_zone(report.zone.value());
    for (const server_calls& item : report.calls) {
        message.add_servers(item.server.value());
        message.add_calls(item.calls);
    }
    for (const pool_report& item : report.pools) {
        auto* pool = message.add_pools();
        pool->set_pool(item.pool.value());
        pool->set_requests(item.requests);
        pool->set_retries(item.retries);
        pool->set_ceded(item.ceded);
        pool->set_wanted(item.wanted);
        if (item.wait)
            pool->set_wait_us(item.wait->count());
    }
    for (const limit_report& item : report.limits) {
        auto* limit = message.add_limits();
        limit->set_server(item.server.value());
        if (item.rate)
            limit->set_per_second(item.rate->perSecond);
        limit->set_age_us(item.age.count());
        limit->set_heard(item.heard);
        limit->set_wanted(item.wanted);
    }
    message.set_known_vms(report.knownVms);
    message.set_draws_own_share(report.drawsOwnShare);
    return message.SerializeAsString();
}

std::string encodeSummary(const fleet_summary& summary)
{
    schema::fleet_reply message;
    message.set_collector(summary.collector);
    message.set_started_at_ms(summary.startedAt);
    message.set_sequence(summary.sequence);
    message.set_vms(summary.vms);
    message.set_interval_us(summary.interval.count());
    for (const server_calls& item : summary.otherCalls) {
        message.add_servers(item.server.value());
        message.add_other_calls(item.calls);
    }
    for (const pool_summary& item : summary.pools) {
        auto* pool = message.add_pools();
        pool->set_pool(item.pool.value());
        pool->set_granted(item.granted);
        pool->set_wanted(item.wanted);
        if (item.wait) {
            pool->set_wait_us(item.wait->count());
            pool->set_wait_age_us(item.waitAge.count());
        }
    }
    for (const limit_summary& item : summary.limits) {
        auto* limit = message.add_limits();
        limit->set_server(item.server.value());
        if (item.rate)
            limit->set_per_second(item.rate->perSecond);
        limit->set_age_us(item.age.count());
        limit->set_granted(item.granted);
    }
    return message.SerializeAsString();
}

result<vm_report> decodeReport(const std::string& bytes)
{
    schema::fleet_report message;
    if (!message.ParseFromString(bytes))
        return makeError(error_code::Corrupt, "no report");
    auto calls = readCalls(message.servers(), message.calls());
    if (!calls)
        return tl::make_unexpected(calls.error());
    vm_report report;
    report.vm = vm_id(message.vm());
    report.startedAt = message.started_at_ms();
    report.sequence = message.sequence();
    report.collector = message.collector();
    report.zone = zone_id(message.zone());
    report.calls = std::move(*calls);
    for (const auto& item : message.pools()) {
        pool_report pool;
        pool.pool = pool_id(item.pool());
        pool.requests = item.requests();
        pool.retries = item.retries();
        pool.ceded = item.ceded();
        pool.wanted = item.wanted();
        if (item.has_wait_us())
            pool.wait = duration(item.wait_us());
        report.pools.push_back(std::move(pool));
    }
    for (const auto& item : message.limits())
        report.limits.push_back(
            { server_process(item.server()), readRate(item), duration(item.age_us()), item.heard(), item.wanted() });
    report.knownVms = message.known_vms();
    report.drawsOwnShare = message.draws_own_share();
    return report;
}

result<fleet_summary> decodeSummary(const std::string& bytes)
{
    schema::fleet_reply message;
    if (!message.ParseFromString(bytes))
        return makeError(error_code::Corrupt, "no summary");
    auto calls = readCalls(message.servers(), message.other_calls());
    if (!calls)
        return tl::make_unexpected(calls.error());
    fleet_summary summary;
    summary.collector = message.collector();
    summary.startedAt = message.started_at_ms();
    summary.sequence = message.sequence();
    summary.vms = message.vms();
    summary.interval = duration(message.interval_us());
    summary.otherCalls = std::move(*calls);
    for (const auto& item : message.pools()) {
        pool_summary pool;
        pool.pool = pool_id(item.pool());
        pool.granted = item.granted();
        pool.wanted = item.wanted();
        if (item.has_wait_us()) {
            pool.wait = duration(item.wait_us());
            pool.waitAge = duration(item.wait_age_us());
        }
        summary.pools.push_back(std::move(pool));
    }
    for (const auto& item : message.limits())
        summary.limits.push_back(
            { server_process(item.server()), readRate(item), duration(item.age_us()), item.granted() });
    return summary;
}

} // namespace balsamspring
