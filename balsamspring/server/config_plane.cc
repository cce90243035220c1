#include "balsamspring/server/config_plane.h"

#include "balsamspring/base/log.h"
#include "balsamspring/config/config_api.h"

#include <random>
#include <utility>

namespace balsamspring {

namespace {

// How long a proposal is appended again while it does not show up on the log.
constexpr duration publishLimit = std::chrono::seconds(15);

random_engine seeded()
{
    std::random_device device;
    return random_engine(static_cast<std::uint64_t>(device()) << 32 | device());
}

} // namespace

config_plane::config_plane(config_plane_options options)
    : m_options(std::move(options))
    , m_versions(m_options.versions, versionHooks(), seeded(), monotonicNow())
    , m_follower(m_options.follower, *m_options.log, m_versions, control_hooks { m_options.postAnswer, monotonicNow },
          seeded())
    , m_publisher(m_options.follower, *m_options.log, m_versions, m_follower,
          control_hooks { m_options.postAnswer, monotonicNow }, seeded())
{
}

config_versions_hooks config_plane::versionHooks()
{
    config_versions_hooks hooks;
    hooks.appendRecord = [this](std::string record) {
        m_follower.appendOnce(std::move(record));
    };
    hooks.versionChanged = [this](const config_handle& handle) {
        if (handle && handle->configuration)
            m_options.apply(*handle->configuration, handle->version);
    };
    hooks.conditionChanged = [this](config_condition condition) {
        m_condition = condition;
        logLine(log_level::Info, "config_condition", { { "condition", std::string(toString(condition)) } });
    };
    return hooks;
}

void config_plane::tick(mono_time now)
{
    m_follower.tick(now);
    m_publisher.tick(now);
    m_versions.tick(now);
    m_condition = m_versions.condition();
}

operator_handler config_plane::onControlThread(
    std::function<void(const std::string&, const operator_reply&, mono_time)> handler)
{
    return [post = m_options.post, handler = std::move(handler)](
               const operator_call& call, const operator_reply& reply) {
        if (!post([handler, body = call.body, reply](mono_time now) { handler(body, reply, now); }))
            reply(tl::make_unexpected(makeRefusal("overloaded", "the control thread of this VM takes no more events")));
    };
}

void config_plane::addHandlers(std::map<std::string, operator_handler>& handlers)
{
    handlers["GET /v1/config"] = onControlThread(
        [this](const std::string&, const operator_reply& reply, mono_time) { reply(toJson(reportOf(m_versions))); });
    handlers["GET /v1/config/history"] = onControlThread([this](const std::string&, const operator_reply& reply,
                                                             mono_time) { reply(historyJson(m_versions.history())); });
    handlers["GET /v1/config/members"]
        = onControlThread([this](const std::string&, const operator_reply& reply, mono_time) { reply(membersText()); });
    handlers["POST /v1/config/proposals"] = onControlThread(
        [this](const std::string& body, const operator_reply& reply, mono_time now) { propose(body, reply, now); });
}

std::string config_plane::membersText() const
{
    return toJson(std::vector<config_member> { { m_options.vm, m_versions.version(), m_versions.digest() } });
}

void config_plane::propose(const std::string& body, const operator_reply& reply, mono_time now)
{
    const api_response answer = handleProposal(m_publisher, body, publishLimit, now);
    if (answer.status == 200)
        return reply(answer.body);
    refusal refused = makeRefusal("proposal_refused", "the proposal was not taken");
    refused.status = static_cast<unsigned>(answer.status);
    refused.body = answer.body;
    reply(tl::make_unexpected(refused));
}

} // namespace balsamspring
