#include "balsamspring/gateway/gateway.h"

#include "balsamspring/availability/evacuated_zones.h"
#include "balsamspring/base/hash.h"
#include "balsamspring/gateway/fleet_exchange.h"
#include "balsamspring/gateway/peer_messages.h"
#include "balsamspring/gateway/piece_gatherer.h"
#include "balsamspring/gateway/relayed_store.h"
#include "balsamspring/gateway/suspect_sharing.h"
#include "balsamspring/gateway/topic_follower.h"

#include <algorithm>
#include <set>

#include <fmt/core.h>

namespace balsamspring {

namespace {

config_state_options configOptions(const gateway_settings& settings, const gateway_options& options)
{
    return { .keyTrustDuration = settings.revocationLimit - options.revocationMargin,
        .strictRevocation = settings.strictRevocation };
}

retry_budget_options budgetOptions(const gateway_settings& settings)
{
    retry_budget_options options;
    options.ratio = settings.retryBudgetRatio;
    options.window = settings.retryBudgetWindow;
    options.slack = settings.retryBudgetSlack;
    return options;
}

constexpr std::uint64_t fleetSeed = 3; // keeps the random numbers of the exchange apart from those of choices

// Connections of other VMs.
memory_account_options internalAccountOptions(const gateway_settings& settings, const gateway_options& options)
{
    memory_account_options limits = accountOptionsFor(settings.memoryBytes, settings.descriptors);
    limits.bytes = static_cast<std::uint64_t>(options.internalMemoryShare * static_cast<double>(limits.bytes));
    limits.connections
        = static_cast<std::size_t>(options.internalDescriptorShare * static_cast<double>(settings.descriptors));
    // A request for pieces waits in its queue, which is small, and needs no connection of its own to a server.
    limits.bytesPerRequest = 0;
    return limits;
}

// Its own, so that readiness is answered while other VMs use up theirs.
memory_account_options statusAccountOptions(const gateway_settings& settings, const gateway_options& options)
{
    memory_account_options limits;
    limits.connections = settings.descriptors > 0 ? options.maxStatusConnections : 0;
    return limits;
}

} // namespace

struct gateway::state {
    state(event_loop& eventLoop, gateway_settings gatewaySettings, const wire_adapter& wire,
        const record_decoders& recordDecoders, const record_store& recordStore, std::uint64_t seed,
        gateway_options gatewayOptions)
        : loop(eventLoop)
        , settings(std::move(gatewaySettings))
        , decoders(recordDecoders)
        , store(recordStore)
        , options(gatewayOptions)
        , random(seed)
        , callerMemory(accountOptionsFor(settings.memoryBytes, settings.descriptors))
        , internalMemory(internalAccountOptions(settings, options))
        , statusMemory(statusAccountOptions(settings, options))
        , config(configOptions(settings, options))
        , servers({}, [this](const server_entry& server, server_change change) { onServerChanged(server, change); })
        , limits({}, random,
              [this] {
                  const mono_time now = bootNow();
                  return limit_fleet { fleet.view().age(now).has_value(),
                      std::max(fleet.view().vms(now), retryBudget.knownFleetSize()) };
              })
        , notices({}, servers, limits, metrics, random)
        , balancer(
              {}, settings.zone, random,
              [this](const backend_id& server) { return fleet.view().otherCalls(server, bootNow()); }, spillHook())
        , cold({}, random)
        , placement({}, [this](const backend_id& server) { return fleet.view().otherCalls(server, bootNow()); })
        , retryBudget(budgetOptions(settings))
        , quarantine({}, [this](const lost_prompt& lost, mono_time now) { onLostPrompt(lost, now); })
        , parts({}, random)
        , suspects({}, decoders.suspectTopic, store, quarantine, parts, metrics, random)
        , backends(loop, {}, limits, metrics)
        , reports({}, loop, wire, backends, metrics, noticeHook())
        , pieces({},
              { loop, wire, servers, limits, retryBudget, backends, reports, metrics, noticeHook(),
                  [this](std::function<void()> onAnswer) {
                      if (fleet.canReportNow())
                          fleet.reportNow(limits.answerWait(), std::move(onAnswer));
                  } })
        , router({}, loop, pieces, metrics)
        , gatherer({}, loop, pieces, config, sharedOwnership)
        , context { loop, wire, settings.zone, config, servers, notices, balancer, placement, retryBudget, stageTimes,
            quarantine, parts, backends, reports, router, cold, limits, metrics, random,
            [this](const server_entry& server) { checkAlive(server); },
            [this] { return std::max(fleet.view().vms(bootNow()), retryBudget.knownFleetSize()); },
            [this](fingerprint part, std::function<void(bool)> done) {
                suspects.claimProbe(part, suspectFollower.nextOffset(), std::move(done));
            },
            [this](std::span<const server_process> wanted, std::function<void()> onAnswer) {
                if (!fleet.canReportNow())
                    return false;
                for (const server_process server : wanted)
                    limits.await(server, bootNow());
                fleet.reportNow(limits.answerWait(), std::move(onAnswer));
                return true;
            },
            [this](const pool_id& pool) {
                return fleet.view().wait(pool, bootNow());
            } }
        , fleet({}, settings.vm, settings.zone, loop, retryBudget, metrics, combineHash(seed, fleetSeed), fleetHooks())
        , relayed({}, loop, store, metrics)
        , configFollower({ .topic = decoders.configTopic, .wait = options.configWait, .pause = duration::zero() },
              relayed.store(), followerHooks("config", [this](const store_record& item) { configRecord(item); }),
              random)
        , serverFollower({ .topic = decoders.serverTopic, .wait = duration::zero(), .pause = serverPause() },
              relayed.store(), followerHooks("servers", [this](const store_record& item) { serverRecord(item); }),
              random)
        , suspectFollower(
              { .topic = decoders.suspectTopic, .wait = options.suspectWait, .pause = options.suspectPause },
              relayed.store(), followerHooks("suspects", [this](const store_record& item) { suspectRecord(item); }),
              random)
    {
        relayed.setSchedule(decoders.serverTopic, scheduleFor(settings.drainLimit));
        // The topic also holds the requests to empty zones.
        relayed.setSchedule(
            decoders.configTopic, scheduleFor(std::min(settings.configApplyLimit, settings.evacuationLimit)));
    }

    // The rest of the limit is left for the read of the store and for requests on their way to a server.
    read_schedule_options scheduleFor(duration limit) const
    {
        read_schedule_options schedule;
        schedule.proofLimit = fromSeconds(toSeconds(limit) * options.proofAgeFraction);
        return schedule;
    }

    std::function<void(const pool_id&, spill_reason)> spillHook()
    {
        return [this](const pool_id& pool, spill_reason reason) {
            metrics.count(
                "lookup_spill", fmt::format("{}/{}/{}", pool.value(), settings.zone.value(), toString(reason)));
        };
    }

    std::function<void(const server_entry&, const backend_response&, mono_time)> noticeHook()
    {
        return [this](const server_entry& server, const backend_response& response, mono_time askedAt) {
            notices.responseArrived(server, response, askedAt, bootNow());
        };
    }

    fleet_exchange_hooks fleetHooks()
    {
        return { .busy = [this] { return !sessions.empty(); },
            .forEachCall =
                [this](const auto& action) {
                    servers.forEach([&](const server_entry& server) {
                        if (const unsigned calls = balancer.inFlight(server.id) + placement.reserved(server.id))
                            action(server.id, calls);
                    });
                },
            .forEachServer =
                [this](const auto& action) {
                    servers.forEach([&](const server_entry& server) { action(server.id, server.pool); });
                },
            .forEachWait =
                [this](const auto& action) {
                    const auto snapshot = config.current();
                    if (!snapshot || !ownership)
                        return;
                    const mono_time now = bootNow();
                    for (const pool_spec& pool : snapshot->data().pools) {
                        if (!pool.pieces || !ownership->gathersFor(pool.id, now))
                            continue;
                        if (const auto wait = pieces.predictedWait(pool.id, now))
                            action(pool.id, *wait);
                    }
                },
            .forEachLimit = [this](const auto& action) { limits.forEachReport(bootNow(), action); },
            .onLimits =
                [this](std::span<const limit_summary> summary, bool follows, mono_time askedAt, mono_time now) {
                    limits.summaryArrived(summary, follows, askedAt, now);
                } };
    }

    duration serverPause() const { return fromSeconds(toSeconds(settings.drainLimit) * options.serverPollFraction); }

    follower_hooks followerHooks(std::string name, std::function<void(const store_record&)> onRecord)
    {
        const bool followsServers = name == "servers";
        const bool followsConfig = name == "config";
        const std::string topic = followsServers ? decoders.serverTopic
            : followsConfig                      ? decoders.configTopic
                                                 : suspects.topic();
        return { .now = bootNow,
            .after = [this](duration delay, std::function<void()> action) { loop.after(delay, std::move(action)); },
            .onRecord = std::move(onRecord),
            .onMissing =
                [this, followsServers, followsConfig](const std::string& key) {
                    if (followsServers)
                        servers.remove(backend_id(key), bootNow());
                    if (followsConfig)
                        evacuationRecord(key, false);
                },
            .onCurrent =
                [this, followsConfig, topic](mono_time provenAt, std::uint64_t next) {
                    if (followsConfig && !configUnreadable)
                        config.confirm(provenAt);
                    relayed.proven(topic, provenAt);
                    relayed.relay(topic).advance(next, provenAt, bootNow());
                    updatePolling();
                },
            .onSnapshot = [this, topic](std::uint64_t next) { relayed.relay(topic).reset(next); },
            .onRecordFailure =
                [this, name](const std::string& key, std::string_view why) {
                    metrics.count("failed_records", name);
                    logLine(log_level::Error, "record_failed",
                        { { "topic", name }, { "key", key }, { "why", std::string(why) } });
                },
            .onLost =
                [this, name, followsServers](const error& cause) {
                    metrics.count("store_losses", name);
                    logLine(log_level::Warn, "store_lost", { { "topic", name }, { "why", cause.message } });
                    if (followsServers)
                        servers.storeLost(bootNow());
                },
            .onRecovered =
                [this, name, followsServers](duration outage) {
                    logLine(log_level::Info, "store_regained",
                        { { "topic", name }, { "away_ms", fmt::format("{:.0f}", toSeconds(outage) * 1000) } });
                    if (followsServers)
                        servers.storeRegained(outage, bootNow());
                } };
    }

    void configRecord(const store_record& record)
    {
        relayed.relay(decoders.configTopic).add(record);
        evacuationRecord(record.key, record.value.has_value());
        if (record.key != decoders.configKey || !record.value)
            return;
        // Until it is known to be in force, no proof counts for the version before it.
        configUnreadable = true;
        auto decoded = decoders.config(*record.value);
        if (!decoded) {
            metrics.count("unreadable_records", "config");
            logLine(log_level::Error, "config_unreadable",
                { { "why", decoded.error().message }, { "offset", std::to_string(record.offset) } });
            return;
        }
        auto snapshot = std::make_shared<const serving_config>(std::move(*decoded));
        const bool applied = config.offer(snapshot);
        configUnreadable = false;
        logLine(log_level::Info, applied ? "config_applied" : "config_ignored",
            { { "version", std::to_string(snapshot->version().value()) },
                { "routes", std::to_string(snapshot->data().routes.size()) },
                { "offset", std::to_string(record.offset) } });
    }

    // Any value asks to empty the zone.
    void evacuationRecord(const std::string& key, bool begins)
    {
        if (decoders.evacuationKeyPrefix.empty() || !key.starts_with(decoders.evacuationKeyPrefix))
            return;
        const zone_id zone(key.substr(decoders.evacuationKeyPrefix.size()));
        if (begins ? !evacuated.begin(zone) : !evacuated.end(zone))
            return;
        metrics.count("evacuations", begins ? "begun" : "ended");
        logLine(log_level::Info, begins ? "evacuation_begun" : "evacuation_ended", { { "zone", zone.value() } });
        if (!begins)
            markZoneCold(zone);
        servers.setEvacuated(evacuated.zones());
    }

    // The servers of a zone may have started while it was empty, and their entries are as old as the last heartbeat.
    void markZoneCold(const zone_id& zone)
    {
        servers.forEach([&](const server_entry& server) {
            if (server.zone == zone)
                markServerCold(server);
        });
    }

    void markServerCold(const server_entry& server)
    {
        const auto snapshot = config.current();
        const pool_spec* pool = snapshot ? snapshot->pool(server.pool) : nullptr;
        if (pool)
            cold.markCold(server.id, pool->coldStart, bootNow());
    }

    void serverRecord(const store_record& record)
    {
        const mono_time now = bootNow();
        topic_relay& relay = relayed.relay(decoders.serverTopic);
        if (!record.value) {
            relay.add(record);
            return servers.remove(backend_id(record.key), now);
        }
        auto decoded = decoders.server(record.key, *record.value);
        if (decoded) {
            cold.markCold(decoded->id, decoded->coldRemaining.value_or(duration::zero()), now);
            // Servers periodically write unchanged entries, which are not relayed to other VMs.
            if (servers.put(std::move(*decoded)))
                relay.add(record);
            return;
        }
        relay.add(record);
        metrics.count("unreadable_records", "server");
        logLine(
            log_level::Warn, "server_entry_unreadable", { { "key", record.key }, { "why", decoded.error().message } });
        servers.remove(backend_id(record.key), now);
    }

    void suspectRecord(const store_record& record)
    {
        relayed.relay(decoders.suspectTopic).add(record);
        suspects.applyRecord(record, bootNow());
    }

    void onLostPrompt(const lost_prompt& lost, mono_time now)
    {
        // The server's start time tells its crashes apart, and is the same on all VMs.
        const fingerprint crash(combineHash(hash64(lost.server.value()), lost.prompt.serverGeneration));
        parts.crashed(crash, lost.prompt.parts, lost.startedAt, now);
    }

    void onServerChanged(const server_entry& server, server_change change)
    {
        metrics.count("server_changes", toString(change));
        logLine(log_level::Info, "server_changed",
            { { "server", server.id.value() }, { "pool", server.pool.value() }, { "address", toString(server.address) },
                { "change", std::string(toString(change)) } });
        if (change == server_change::Removed || change == server_change::Restarted) {
            balancer.forget(server.id);
            if (change == server_change::Removed)
                cold.forget(server.id);
            backends.closeIdleConnectionsTo(server.address);
        }
        if (change == server_change::Restarted && !server.coldRemaining)
            markServerCold(server);
        if (change == server_change::Added || change == server_change::Restarted)
            quarantine.generationSeen(server.id, static_cast<std::uint64_t>(server.startedAtMs), bootNow());
        pieces.onServerChanged(server, change);
    }

    // Opens a connection to a server that just lost one. If the server refuses it, the server has crashed.
    void checkAlive(const server_entry& server)
    {
        if (!probedServers.insert(server.id).second)
            return;
        constexpr duration probeTimeout = std::chrono::milliseconds(500);
        auto probe = connection::open(loop, server.address, probeTimeout);
        const std::weak_ptr<connection> weak = probe;
        const auto finish = [this, weak, id = server.id](std::optional<connection_end> end) {
            probedServers.erase(id);
            if (end == connection_end::Refused)
                quarantine.connectRefused(id, bootNow());
            else if (end)
                quarantine.unreachable(id, bootNow());
            if (const auto open = weak.lock())
                open->abort();
            suspects.publish(bootNow());
        };
        probe->setHandlers({ .onConnected = [finish] { finish(std::nullopt); },
            .onData = nullptr,
            .onEnd = [finish](connection_end end) { finish(end); },
            .onWritten = nullptr });
    }

    http_service_limits callerLimits() const
    {
        const auto snapshot = config.current();
        const caller_limits limits = snapshot ? snapshot->limits() : caller_limits {};
        return { .message = { .headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes },
            .headerTimeout = limits.headerTimeout,
            .idleTimeout = limits.idleTimeout };
    }

    result<void> start()
    {
        auto opened = http_service::open(loop,
            { .address = settings.callers,
                .limits = [this] { return callerLimits(); },
                .handler =
                    [this](incoming_request request, std::shared_ptr<response_writer> writer) {
                        handleRequest(std::move(request), std::move(writer));
                    },
                .onRejected = [this](std::string_view reason,
                                  const std::string& peer) { reportRejection("callers", reason, peer); },
                .account = &callerMemory });
        if (!opened)
            return tl::make_unexpected(opened.error());
        callers = std::move(*opened);
        if (auto listener = openStatusListener(settings.readiness, readinessService); !listener)
            return listener;
        if (settings.metrics) {
            if (auto listener = openStatusListener(*settings.metrics, metricsService); !listener)
                return listener;
        }
        if (settings.peers) {
            if (auto joined = joinPeers(); !joined)
                return joined;
        }
        configFollower.start();
        serverFollower.start();
        suspectFollower.start();
        expireRegularly();
        return {};
    }

    void reportRejection(std::string_view listenerName, std::string_view reason, const std::string& peer)
    {
        metrics.count("rejected_messages", reason);
        logLine(log_level::Info, "message_rejected",
            { { "listener", std::string(listenerName) }, { "reason", std::string(reason) }, { "peer", peer },
                { "held_bytes", std::to_string(callerMemory.usedBytes()) },
                { "connections", std::to_string(callerMemory.connections()) } });
    }

    // Accepts pieces of other VMs, and distributes the pools over all VMs.
    result<void> joinPeers()
    {
        auto opened = http_service::open(loop,
            { .address = *settings.peers,
                .limits =
                    [this] {
                        http_service_limits limits;
                        limits.message.bodyBytes = options.maxPeerMessageBytes;
                        limits.idleTimeout = std::chrono::seconds(30); // Longer than other VMs keep connections.
                        return limits;
                    },
                .handler =
                    [this](const incoming_request& request, const std::shared_ptr<response_writer>& writer) {
                        if (request.head.target == followPath)
                            return relayed.handle(request, writer);
                        if (request.head.target == fleetPath)
                            return fleet.handle(request, writer);
                        gatherer.handle(request, writer);
                    },
                .onRejected
                = [this](std::string_view reason, const std::string& peer) { reportRejection("peers", reason, peer); },
                .account = &internalMemory });
        if (!opened)
            return tl::make_unexpected(opened.error());
        peerService = std::move(*opened);
        ownership_options group;
        group.partitions = settings.storePartitions;
        group.gathers = settings.linkMbps >= options.minGatherMbps;
        ownership = std::make_unique<pool_ownership>(group, *settings.peers, store,
            ownership_hooks { .now = bootNow,
                .after = [this](duration delay, std::function<void()> action) { loop.after(delay, std::move(action)); },
                .onChanged =
                    [this] {
                        onOwnersChanged();
                    } });
        sharedOwnership = ownership.get();
        router.setOwnership(ownership.get());
        relayed.setOwnership(ownership.get());
        ownership->start();
        fleet.start(*ownership);
        return {};
    }

    void onOwnersChanged()
    {
        beginGathering();
        router.onOwnersChanged();
        updatePolling();
    }

    // Pools that this VM has come to own.
    void beginGathering()
    {
        const auto snapshot = config.current();
        if (!snapshot || !ownership)
            return;
        std::set<pool_id> owned;
        for (const pool_spec& pool : snapshot->data().pools) {
            if (!pool.pieces || !ownership->isOwner(pool.id))
                continue;
            owned.insert(pool.id);
            if (!ownedPools.contains(pool.id))
                pieces.beginGathering(pool.id);
        }
        ownedPools = std::move(owned);
    }

    // Reads through another VM are cheap and may be frequent. Reads of the store are billed.
    void updatePolling()
    {
        const bool relaysConfig = relayed.relays(decoders.configTopic);
        configFollower.setPolling(relaysConfig ? options.relayConfigWait : options.configWait, duration::zero());
        duration pause = serverPause();
        if (relayed.relays(decoders.serverTopic))
            pause = options.relayServerPause;
        else if (relayed.isRelayed(decoders.serverTopic))
            pause = options.relayedServerPause;
        serverFollower.setPolling(duration::zero(), relayed.pauseBeforeRead(decoders.serverTopic, pause));
        if (relayed.relays(decoders.suspectTopic))
            suspectFollower.setPolling(options.relaySuspectWait, options.relaySuspectPause);
        else if (relayed.isRelayed(decoders.suspectTopic))
            suspectFollower.setPolling(options.suspectWait, duration::zero());
        else
            suspectFollower.setPolling(options.suspectWait, options.suspectPause);
    }

    // Opens a listener for readiness and metrics. Both are served on either address.
    result<void> openStatusListener(const endpoint& address, std::unique_ptr<http_service>& service)
    {
        auto opened = http_service::open(loop,
            { .address = address,
                .limits =
                    [] {
                        http_service_limits limits;
                        limits.message.bodyBytes = 0;
                        return limits;
                    },
                .handler =
                    [this](const incoming_request& request, const std::shared_ptr<response_writer>& writer) {
                        if (request.head.target == "/metrics")
                            return writer->send(peerHead(200), metricsText());
                        writer->send(peerHead(ready() ? 200 : 503), {});
                    },
                .onRejected
                = [this](std::string_view reason, const std::string& peer) { reportRejection("status", reason, peer); },
                .account = &statusMemory });
        if (!opened)
            return tl::make_unexpected(opened.error());
        service = std::move(*opened);
        return {};
    }

    std::string metricsText()
    {
        const auto age = config.proofAge(bootNow());
        metrics.set("config_proof_age_seconds", age ? toSeconds(*age) : -1);
        metrics.set("config_version", config.current() ? static_cast<double>(config.current()->version().value()) : 0);
        metrics.set("servers", static_cast<double>(servers.size()));
        metrics.set("servers_cold", static_cast<double>(cold.size()));
        metrics.set("servers_limited", static_cast<double>(limits.size()));
        metrics.set("zones_evacuated", static_cast<double>(evacuated.zones().size()));
        metrics.set("server_entries_age_seconds", toSeconds(serverFollower.timeSinceSuccess(bootNow())));
        metrics.set("requests_in_progress", static_cast<double>(sessions.size()));
        metrics.set("held_bytes", static_cast<double>(callerMemory.usedBytes()));
        metrics.set("waiting_for_memory", static_cast<double>(callerMemory.waiting()));
        metrics.set("internal_held_bytes", static_cast<double>(internalMemory.usedBytes()));
        metrics.set("caller_connections", static_cast<double>(callers->connections()));
        metrics.set("callback_failures", static_cast<double>(loop.callbackFailures()));
        metrics.set("backend_connections_opened", static_cast<double>(backends.connectionsOpened()));
        fleet.updateMetrics();
        return metrics.text();
    }

    bool ready() const { return !stopping && config.keysTrusted(bootNow()); }

    void handleRequest(incoming_request request, std::shared_ptr<response_writer> writer)
    {
        auto session = std::make_shared<request_session>(context, options.sessions, std::move(request),
            std::move(writer), [this](request_session& done) { sessionDone(done); });
        sessions.insert(session);
        if (lastResponseAt)
            session->endBy(*lastResponseAt);
        if (refusing)
            return session->rejectIfWaiting("stopping");
        session->begin();
    }

    void sessionDone(request_session& session)
    {
        sessions.erase(session.shared_from_this());
        suspects.publish(bootNow());
        if (refusing)
            loop.post([this] { stopIfIdle(); });
    }

    void expireRegularly()
    {
        loop.after(options.expiryInterval, [this] {
            expireRegularly();
            callerMemory.tick(bootNow());
            internalMemory.tick(bootNow());
            statusMemory.tick(bootNow());
            servers.expire(bootNow());
            cold.expire(bootNow());
            expireLimits();
            parts.tick(bootNow());
            suspects.removeExpired(relayed.relays(decoders.suspectTopic));
            suspects.publish(bootNow());
            const bool nowReady = ready();
            if (nowReady != wasReady)
                logLine(log_level::Info, nowReady ? "ready" : "not_ready",
                    { { "config", config.current() ? std::to_string(config.current()->version().value()) : "-" },
                        { "proof_age_ms",
                            config.proofAge(bootNow())
                                ? fmt::format("{:.0f}", toSeconds(*config.proofAge(bootNow())) * 1000)
                                : "-" } });
            wasReady = nowReady;
        });
    }

    void expireLimits()
    {
        if (limits.empty())
            return;
        std::set<server_process> known;
        servers.forEach([&known](const server_entry& server) { known.insert(processOf(server)); });
        limits.expire(bootNow(), [&known](server_process process) { return known.contains(process); });
    }

    void stop(std::function<void()> callback)
    {
        if (stopping)
            return;
        stopping = true;
        onStopped = std::move(callback);
        logLine(log_level::Info, "stopping",
            { { "requests", std::to_string(sessions.size()) },
                { "connections", std::to_string(callers->connections()) } });
        callers->startGracefulClose();
        if (ownership)
            ownership->leave();
        // The rest of the time is for sending the last responses.
        const duration end = settings.stopLimit - options.stopMargin;
        lastResponseAt = bootNow() + end - options.flushDelay;
        for (const auto& session : sessions)
            session->endBy(*lastResponseAt);
        // A process that is given little time answers before its end all the same.
        loop.after(std::min(options.acceptWhileStopping, (end - options.flushDelay) / 2), [this] {
            refusing = true;
            const auto waiting = sessions;
            for (const auto& session : waiting)
                session->rejectIfWaiting("stopping");
            stopIfIdle();
        });
        loop.after(end, [this] { finish(); });
    }

    void stopIfIdle()
    {
        if (!sessions.empty() || finished)
            return;
        callers->closeIdleConnections();
        loop.after(options.flushDelay, [this] {
            if (sessions.empty())
                finish();
        });
    }

    void finish()
    {
        if (finished)
            return;
        finished = true;
        logLine(log_level::Info, "stopped", { { "requests_cut", std::to_string(sessions.size()) } });
        onStopped();
    }

    event_loop& loop;
    gateway_settings settings;
    const record_decoders& decoders;
    const record_store& store;
    gateway_options options;
    random_engine random;
    memory_account callerMemory;
    memory_account internalMemory;
    memory_account statusMemory;
    gateway_metrics metrics;
    config_state config;
    server_registry servers;
    limited_servers limits;
    server_notices notices;
    server_balancer balancer;
    evacuated_zones evacuated;
    cold_servers cold;
    engine_placement placement;
    retry_budget retryBudget;
    stage_times stageTimes;
    crash_quarantine quarantine;
    part_quarantine parts;
    suspect_sharing suspects;
    backend_client backends;
    server_reports reports;
    piece_service pieces;
    piece_router router;
    pool_ownership* sharedOwnership = nullptr; // Points to `ownership`.
    piece_gatherer gatherer;
    std::unique_ptr<pool_ownership> ownership; // Null without an address for other VMs.
    gateway_context context;
    fleet_exchange fleet;
    relayed_store relayed;
    topic_follower configFollower;
    topic_follower serverFollower;
    topic_follower suspectFollower;
    std::unique_ptr<http_service> callers;
    std::unique_ptr<http_service> readinessService;
    std::unique_ptr<http_service> metricsService;
    std::unique_ptr<http_service> peerService;
    std::set<std::shared_ptr<request_session>> sessions;
    std::set<backend_id> probedServers;
    std::set<pool_id> ownedPools;
    std::function<void()> onStopped;
    bool configUnreadable = false;
    std::optional<mono_time> lastResponseAt; // while stopping
    bool stopping = false; // The gateway is no longer ready.
    bool refusing = false; // New requests are refused.
    bool finished = false;
    bool wasReady = false;
};

gateway::gateway(event_loop& loop, gateway_settings settings, const wire_adapter& adapter,
    const record_decoders& decoders, const record_store& store, std::uint64_t seed, gateway_options options)
    : m_state(std::make_unique<state>(loop, std::move(settings), adapter, decoders, store, seed, options))
{
}

gateway::~gateway()
{
    // Callbacks that the loop still holds keep sessions alive, but not what their calls refer to.
    for (const auto& session : m_state->sessions)
        session->abandon();
}

result<void> gateway::start() { return m_state->start(); }

void gateway::stop(std::function<void()> onStopped) { m_state->stop(std::move(onStopped)); }

std::uint16_t gateway::callerPort() const { return m_state->callers ? m_state->callers->port() : 0; }

bool gateway::ready() const { return m_state->ready(); }

} // namespace balsamspring
