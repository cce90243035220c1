// Which configuration is in force on this VM, and until when keys may be trusted.
//
// Load pattern: keys are revoked while this VM is cut off from the store, suspended, or turned away by it. Only an
// answer of the store proves that no newer configuration existed, at the moment at which the question was sent.
#pragma once

#include "balsamspring/gateway/serving_config.h"

#include <memory>
#include <optional>

namespace balsamspring {

struct config_state_options {
    // How long after a proof keys are trusted. Below the time that revocation may take, so that the request that was
    // sent last still arrives in time.
    duration keyTrust = std::chrono::milliseconds(4700);
    bool strictRevocation = true;
};

class config_state {
public:
    explicit config_state(config_state_options options);

    // Puts a configuration in force unless the present one is as new. Returns whether it did.
    bool offer(std::shared_ptr<const serving_config> config);
    // All records up to the end that a question, sent at `askedAt`, saw have been offered.
    void confirm(mono_time askedAt);

    std::shared_ptr<const serving_config> current() const { return m_current; }
    bool keysTrusted(mono_time now) const;
    // Age of the last proof; none before the first.
    std::optional<duration> proofAge(mono_time now) const;

private:
    config_state_options m_options;
    std::shared_ptr<const serving_config> m_current;
    std::optional<mono_time> m_confirmedAt;
};

} // namespace balsamspring
