#include "balsamspring/server/daemon.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/base/log.h"
#include "balsamspring/platform/http_log_client.h"
#include "balsamspring/platform/http_vm_list_client.h"
#include "balsamspring/server/backend_watch.h"
#include "balsamspring/server/caller_api.h"
#include "balsamspring/server/control_plane.h"
#include "balsamspring/server/control_thread.h"
#include "balsamspring/server/guarded_serving.h"
#include "balsamspring/server/operator_api.h"
#include "balsamspring/server/socket_table.h"

#include <atomic>
#include <random>
#include <thread>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

constexpr std::size_t controlQueueLimit = 10'000;
constexpr duration servingTick = std::chrono::milliseconds(50);
constexpr duration vmListInterval = std::chrono::seconds(1);
constexpr duration vmListTimeout = std::chrono::milliseconds(800);
constexpr duration metricsInterval = std::chrono::seconds(1);
constexpr duration expiryInterval = std::chrono::seconds(1);
constexpr duration guardInterval = std::chrono::seconds(1);
// The kernel doubles it. With the buffer of a stream it bounds the tokens that are generated for a caller in vain.
constexpr int callerSendBuffer = 32 * 1024;
constexpr duration drainPoll = std::chrono::milliseconds(20);
constexpr duration drainSlack = std::chrono::seconds(5);
// Lets the last bytes of the last answer reach the caller after its run has ended.
constexpr duration flushTime = std::chrono::milliseconds(200);

std::uint64_t newIncarnation()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

serving_core_options servingOptions(const daemon_options& options)
{
    serving_core_options serving = options.serving;
    serving.vm = vm_id(options.settings.vm());
    serving.routing.zone = zone_id(options.settings.zone());
    return serving;
}

} // namespace

struct entry_daemon::state : std::enable_shared_from_this<entry_daemon::state> {
    explicit state(daemon_options given)
        : options(std::move(given))
        , serving(std::make_shared<guarded_serving>(servingOptions(options), newIncarnation()))
        , control(std::make_shared<control_thread>(
              controlQueueLimit, [counters = counters] { counters->controlEventDropped(); }))
    {
    }

    daemon_options options;
    const std::uint64_t processIncarnation = newIncarnation();
    std::shared_ptr<metrics> counters = std::make_shared<metrics>();
    std::shared_ptr<guarded_serving> serving;
    std::shared_ptr<control_thread> control;
    std::unique_ptr<control_plane> plane;
    connection_guard guard { options.guard };
    std::vector<socket_table> guardedPorts;
    std::shared_ptr<run_registry> registry;
    std::shared_ptr<request_service> service;
    std::unique_ptr<caller_api> callers;
    std::unique_ptr<operator_api> operators;
    std::unique_ptr<backend_watch> backends;
    std::atomic<std::shared_ptr<const config_snapshot>> config;
    std::atomic<bool> drainAsked { false };

    serving_hooks hooks;

    serving_hooks makeHooks();
    void buildPlane();
    void build();
    void followVmList();
    void onVmList(const std::vector<vm_entry>& entries, mono_time now);
    void guardConnections(mono_time now);
    readiness ready() const;
    std::map<std::string, operator_handler> operatorHandlers();
    std::string statusJson() const;
    duration drainLimit() const;
    result<void> apply(const schema::configuration& source, config_version version);
};

serving_hooks entry_daemon::state::makeHooks()
{
    serving_hooks hooks;
    hooks.run = defaultRunHooks(processIncarnation);
    hooks.run.retry = [shared = serving](const retry_request& request) {
        return shared->run([&](serving_core& core) { return core.retryDelay(request, monotonicNow()); });
    };
    hooks.run.hedgeAfter = [shared = serving](attempt_id attempt) {
        return shared->run([&](serving_core& core) { return core.hedgeDelay(attempt); });
    };
    hooks.run.budget = [shared = serving](const pipeline_plan& plan, std::size_t stage, duration remaining) {
        return shared->run([&](serving_core& core) { return core.budget(plan, stage, remaining); });
    };
    hooks.admit = [shared = serving](const admission_request& request) {
        return shared->run([&](serving_core& core) { return core.admit(request, monotonicNow()); });
    };
    hooks.chooseServer = [shared = serving](const choose_server_action& action, const pool_id& pool,
                             std::function<void(server_choice)> done) {
        shared->choose(action, pool, std::move(done), monotonicNow());
    };
    hooks.abandonChoice = [shared = serving](attempt_id attempt) {
        shared->abandon(attempt);
    };
    hooks.attemptEnded = [shared = serving](const attempt_ended_action& action) {
        shared->run([&](serving_core& core) { core.ended(action, monotonicNow()); });
    };
    hooks.serverSeen = [shared = serving](attempt_id attempt, const backend_id& server, const server_info& serverInfo) {
        shared->run([&](serving_core& core) { core.seen(attempt, server, serverInfo, monotonicNow()); });
    };
    hooks.streamProgress = [shared = serving](attempt_id attempt, std::size_t tokens) {
        shared->run([&](serving_core& core) { core.progress(attempt, tokens, monotonicNow()); });
    };
    hooks.findServer = [shared = serving](const pool_id& pool, const backend_id& server) {
        return shared->run([&](serving_core& core) { return core.find(pool, server); });
    };
    hooks.runNonIdempotent = [weak = weak_from_this()](const non_idempotent_call& call, outcome_callback done) {
        if (const auto self = weak.lock())
            self->plane->claims().run(call, std::move(done));
    };
    if (options.customize)
        options.customize(hooks);
    return hooks;
}

void entry_daemon::state::buildPlane()
{
    control_plane_options planeOptions;
    planeOptions.settings = options.settings;
    planeOptions.vmIncarnation = incarnation(processIncarnation);
    planeOptions.secret = options.resumeKey;
    planeOptions.log = options.log;
    if (!planeOptions.log && !options.settings.log_address().empty())
        planeOptions.log = std::make_shared<http_log_client>(http_log_options { options.settings.log_address() });
    planeOptions.client = options.client;
    planeOptions.serving = serving;
    planeOptions.nextAttempt = hooks.run.nextAttempt;
    if (!options.settings.log_address().empty()) {
        planeOptions.apply = [this](const schema::configuration& source, config_version version) {
            if (const auto applied = apply(source, version); !applied)
                logLine(log_level::Error, "config_refused", { { "message", applied.error().message } });
        };
    }
    plane = std::make_unique<control_plane>(std::move(planeOptions), control);
}

void entry_daemon::state::build()
{
    hooks = makeHooks();
    buildPlane();
    auto environment = std::make_shared<run_environment>();
    environment->hooks = hooks;
    environment->client = options.client;
    environment->resumeKey = options.resumeKey;
    environment->options = options.runs;
    environment->metrics = counters;
    registry = std::make_shared<run_registry>(options.registry);
    request_service_options serviceOptions;
    serviceOptions.vm = vm_id(options.settings.vm());
    serviceOptions.incarnation = processIncarnation;
    serviceOptions.limits = options.limits;
    serviceOptions.config = [weak = weak_from_this()]() -> std::shared_ptr<const config_snapshot> {
        const auto self = weak.lock();
        return self ? self->config.load() : nullptr;
    };
    service = std::make_shared<request_service>(serviceOptions, environment, registry);
    caller_api_hooks apiHooks;
    apiHooks.issueKey = [this](const team_id& team, text_reply done) {
        plane->claims().issueKey(team, std::move(done));
    };
    apiHooks.callState = [this](const team_id& team, const std::string& key, text_reply done) {
        plane->claims().callState(team, key, std::move(done));
    };
    callers = std::make_unique<caller_api>(service, counters, apiHooks);
    operator_api_options operatorOptions;
    operatorOptions.tokenSha256 = options.settings.operator_token_sha256();
    operatorOptions.limits = options.limits;
    operatorOptions.counters = counters;
    operatorOptions.ready = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self ? self->ready() : readiness {};
    };
    operatorOptions.handlers = operatorHandlers();
    operators = std::make_unique<operator_api>(std::move(operatorOptions));
    control->every(servingTick, [shared = serving](mono_time now) {
        const auto suspects = shared->run([&](serving_core& core) {
            core.tick(now);
            return core.takeQuarantineUpdates();
        });
        for (const auto& suspect : suspects) {
            logLine(log_level::Warn, "content_standing",
                { { "content", fmt::format("{:x}", suspect.content.value()) },
                    { "standing",
                        suspect.quarantineStatus == quarantine_status::Quarantined ? "quarantined" : "suspect" } });
        }
    });
    for (const std::string& address : { options.settings.caller_address(), options.settings.operator_address() })
        guardedPorts.emplace_back(address);
    control->every(guardInterval, [this](mono_time now) { guardConnections(now); });
    control->every(metricsInterval, [shared = serving, totals = counters](mono_time) {
        shared->run([&](serving_core& core) { totals->observeServing(core.costs(), core.routing()); });
    });
    control->every(expiryInterval, [runs = registry](mono_time now) { runs->expire(now); });
    backends = std::make_unique<backend_watch>(serving, *control);
    followVmList();
}

void entry_daemon::state::followVmList()
{
    if (options.settings.vm_list_address().empty())
        return;
    const auto client = std::make_shared<http_vm_list_client>(options.settings.vm_list_address());
    control->every(vmListInterval, [client, weak = weak_from_this()](mono_time) {
        client->fetch(vmListTimeout, [weak](const result<std::vector<vm_entry>>& list) {
            const auto self = weak.lock();
            // A failed fetch changes nothing: what is known grows old, and is never emptied.
            if (!self || !list)
                return;
            self->control->postAnswer([weak, entries = *list](mono_time now) {
                if (const auto owner = weak.lock())
                    owner->onVmList(entries, now);
            });
        });
    });
}

void entry_daemon::state::onVmList(const std::vector<vm_entry>& entries, mono_time now)
{
    backends->onVmList(entries, now);
    std::vector<placed_vm> vms;
    for (const vm_entry& entry : entries) {
        if (entry.kind == vm_kind::Entry && entry.state == vm_state::Live)
            vms.push_back({ entry.id, entry.zone });
    }
    // An empty list is a fault of its service; this VM is always there.
    if (!vms.empty())
        plane->setMembers(vms);
}

void entry_daemon::state::guardConnections(mono_time now)
{
    const auto snapshot = config.load();
    guard.setLongestDeadline(snapshot ? snapshot->longestDeadline() : duration {});
    std::vector<connection_sample> samples;
    for (socket_table& port : guardedPorts) {
        const auto open = port.sample();
        samples.insert(samples.end(), open.begin(), open.end());
    }
    for (const guard_verdict& verdict : guard.check(samples, now)) {
        counters->connectionClosed(verdict.reason);
        for (socket_table& port : guardedPorts)
            port.shutDown(verdict.id);
    }
}

readiness entry_daemon::state::ready() const
{
    readiness answer;
    if (!config.load())
        answer.reasons.emplace_back("config_unknown");
    if (service->draining())
        answer.reasons.emplace_back("draining");
    plane->addReadiness(answer);
    return answer;
}

std::string entry_daemon::state::statusJson() const
{
    const auto snapshot = config.load();
    const nlohmann::json body { { "vm", options.settings.vm() }, { "zone", options.settings.zone() },
        { "incarnation", fmt::format("{:x}", processIncarnation) }, { "in_flight", registry->active() },
        { "draining", service->draining() }, { "config_version", snapshot ? snapshot->version().value() : 0 } };
    return body.dump();
}

std::map<std::string, operator_handler> entry_daemon::state::operatorHandlers()
{
    std::map<std::string, operator_handler> handlers = plane->operatorHandlers();
    const auto weak = weak_from_this();
    handlers["GET /v1/status"] = [weak](const operator_call&, const operator_reply& reply) {
        if (const auto self = weak.lock())
            reply(self->statusJson());
    };
    handlers["GET /v1/requests/{}"] = [weak](const operator_call& call, const operator_reply& reply) {
        const auto self = weak.lock();
        const auto run = self ? self->registry->find(request_id(call.argument)) : nullptr;
        if (!run)
            return reply(tl::make_unexpected(makeRefusal("not_found", "this VM does not know the request")));
        const run_status status = run->status();
        const nlohmann::json body { { "request", call.argument }, { "team", run->request().team.value() },
            { "pipeline", run->plan().id.value() }, { "work", toString(status.work) }, { "ended", status.ended } };
        reply(body.dump());
    };
    handlers["POST /v1/drain"] = [weak](const operator_call&, const operator_reply& reply) {
        if (const auto self = weak.lock()) {
            self->service->drain();
            self->drainAsked = true;
        }
        reply(std::string("{\"draining\":true}"));
    };
    return handlers;
}

result<void> entry_daemon::state::apply(const schema::configuration& source, config_version version)
{
    const auto current = config.load();
    if (current && current->version() >= version)
        return {};
    const auto snapshot = config_snapshot::create(source, version);
    if (!snapshot)
        return tl::make_unexpected(snapshot.error());
    serving->run([&](serving_core& core) { core.configure(*snapshot, monotonicNow()); });
    config.store(*snapshot);
    plane->configurationInForce(*snapshot);
    logLine(log_level::Info, "config_in_force", { { "version", std::to_string(version.value()) } });
    return {};
}

duration entry_daemon::state::drainLimit() const
{
    if (options.settings.drain_limit_ms() > 0)
        return std::chrono::milliseconds(options.settings.drain_limit_ms());
    const auto snapshot = config.load();
    return (snapshot ? snapshot->longestDeadline() : duration {}) + drainSlack;
}

entry_daemon::entry_daemon(daemon_options options)
    : m_state(std::make_shared<state>(std::move(options)))
{
    m_state->build();
}

entry_daemon::~entry_daemon() { m_state->control->stop(); }

result<void> entry_daemon::applyConfiguration(const schema::configuration& source, config_version version)
{
    return m_state->apply(source, version);
}

result<void> entry_daemon::start()
{
    m_state->control->start();
    const schema::daemon_settings& settings = m_state->options.settings;
    if (!settings.operator_address().empty()) {
        if (auto started = m_state->operators->start(settings.operator_address()); !started)
            return started;
    }
    if (auto started = m_state->callers->start(settings.caller_address()); !started)
        return started;
    socket_table(settings.caller_address()).limitSendBuffer(callerSendBuffer);
    logLine(log_level::Info, "daemon_started",
        { { "vm", settings.vm() }, { "callers", settings.caller_address() },
            { "operators", settings.operator_address() } });
    return {};
}

bool entry_daemon::drainRequested() const { return m_state->drainAsked; }

void entry_daemon::drainAndStop()
{
    m_state->service->drain();
    const mono_time limit = monotonicNow() + m_state->drainLimit();
    logLine(log_level::Info, "drain_started", { { "in_flight", std::to_string(m_state->registry->active()) } });
    m_state->plane->drain();
    while ((m_state->registry->active() || !m_state->plane->drained()) && monotonicNow() < limit)
        std::this_thread::sleep_for(drainPoll);
    const std::size_t left = m_state->registry->active();
    logLine(left ? log_level::Warn : log_level::Info, "drain_ended", { { "left", std::to_string(left) } });
    std::this_thread::sleep_for(flushTime);
    m_state->callers->stop();
    m_state->operators->stop();
    m_state->control->stop();
}

} // namespace balsamspring
