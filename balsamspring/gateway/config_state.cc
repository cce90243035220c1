#include "balsamspring/gateway/config_state.h"

#include <algorithm>

namespace balsamspring {

config_state::config_state(config_state_options options)
    : m_options(options)
{
}

bool config_state::offer(std::shared_ptr<const serving_config> config)
{
    if (m_current && config->version() <= m_current->version())
        return false;
    m_current = std::move(config);
    return true;
}

void config_state::confirm(mono_time requestedAt)
{
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, requestedAt) : requestedAt;
}

bool config_state::keysTrusted(mono_time now) const
{
    if (!m_current || !m_confirmedAt)
        return false;
    return !m_options.strictRevocation || now - *m_confirmedAt <= m_options.keyTrustDuration;
}

std::optional<duration> config_state::proofAge(mono_time now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

} // namespace balsamspring
