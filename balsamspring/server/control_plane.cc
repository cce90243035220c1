#include "balsamspring/server/control_plane.h"

#include "balsamspring/server/config_plane.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace balsamspring {

namespace {

constexpr duration configTick = std::chrono::milliseconds(100);

duration platformTimeout(const schema::daemon_settings& settings)
{
    const auto set = settings.platform_timeout_ms();
    return set > 0 ? std::chrono::milliseconds(set) : std::chrono::milliseconds(2000);
}

call_claims_options claimsOptions(const control_plane_options& options, const std::shared_ptr<control_thread>& thread)
{
    call_claims_options claims;
    claims.self = { vm_id(options.settings.vm()), options.vmIncarnation };
    claims.secret = options.secret;
    claims.platformTimeout = platformTimeout(options.settings);
    claims.log = options.log;
    claims.client = options.client;
    claims.serving = options.serving;
    claims.nextAttempt = options.nextAttempt;
    // Answers of the platform may come when the daemon is gone.
    const std::weak_ptr<control_thread> weak = thread;
    claims.post = [weak](std::function<void(mono_time)> event) {
        const auto control = weak.lock();
        return control && control->post(std::move(event));
    };
    claims.postAnswer = [weak](std::function<void()> event) {
        if (const auto control = weak.lock())
            control->postAnswer([event = std::move(event)](mono_time) { event(); });
    };
    return claims;
}

config_plane_options configOptions(const control_plane_options& options, const call_claims_options& access)
{
    config_plane_options config;
    config.vm = vm_id(options.settings.vm());
    config.versions.site = options.settings.site();
    if (options.settings.log_retention_s() > 0)
        config.versions.retention = std::chrono::seconds(options.settings.log_retention_s());
    config.log = options.log;
    config.apply = options.apply;
    config.post = access.post;
    config.postAnswer = access.postAnswer;
    return config;
}

} // namespace

struct control_plane::state {
    state(control_plane_options given, const std::shared_ptr<control_thread>& thread)
        : options(std::move(given))
        , control(thread)
        , claims(claimsOptions(options, thread))
    {
        if (options.log && options.apply)
            config.emplace(configOptions(options, claimsOptions(options, thread)));
    }

    const control_plane_options options;
    std::weak_ptr<control_thread> control;
    call_claims claims;
    std::optional<config_plane> config; // only when the configuration comes from the log

    void post(std::function<void(mono_time)> event) const
    {
        if (const auto thread = control.lock())
            thread->postAnswer(std::move(event));
    }
};

control_plane::control_plane(control_plane_options options, const std::shared_ptr<control_thread>& thread)
    : m_state(std::make_shared<state>(std::move(options), thread))
{
    thread->onWake([self = m_state.get()](mono_time now) { return self->claims.wake(now); });
    if (m_state->config)
        thread->every(configTick, [self = m_state.get()](mono_time now) { self->config->tick(now); });
}

control_plane::~control_plane() = default;

call_claims& control_plane::claims() { return m_state->claims; }

void control_plane::configurationInForce(const std::shared_ptr<const config_snapshot>& config)
{
    m_state->post([self = m_state.get(), config](mono_time) { self->claims.configure(config->source()); });
}

void control_plane::setMembers(const std::vector<placed_vm>& members)
{
    m_state->post([self = m_state.get(), members](mono_time now) {
        self->options.serving->run([&](serving_core& core) { core.setVms(members, now); });
    });
}

void control_plane::addReadiness(readiness& answer) const
{
    const auto condition = m_state->config ? m_state->config->condition() : config_condition::Current;
    const std::string reason(toString(condition));
    const bool isNamed = std::find(answer.reasons.begin(), answer.reasons.end(), reason) != answer.reasons.end();
    if (!isReady(condition) && !isNamed)
        answer.reasons.push_back(reason);
    answer.repeatable = answer.reasons.empty();
    const bool claimsReady = m_state->claims.ready();
    if (!claimsReady)
        answer.reasons.emplace_back("log_unavailable");
    answer.nonIdempotent = answer.repeatable && claimsReady;
}

std::map<std::string, operator_handler> control_plane::operatorHandlers()
{
    std::map<std::string, operator_handler> handlers;
    if (m_state->config)
        m_state->config->addHandlers(handlers);
    const std::weak_ptr<state> weak = m_state;
    handlers["GET /v1/calls/{}"] = [weak](const operator_call& call, const operator_reply& reply) {
        if (const auto self = weak.lock())
            self->claims.operatorState(call.argument, reply);
    };
    handlers["POST /v1/calls/{}/settlement"] = [weak](const operator_call& call, const operator_reply& reply) {
        if (const auto self = weak.lock())
            self->claims.settle(call.argument, call.body, reply);
    };
    return handlers;
}

void control_plane::drain()
{
    m_state->post([self = m_state.get()](mono_time) { self->claims.drain(); });
}

bool control_plane::drained() const { return m_state->claims.drained(); }

} // namespace balsamspring
