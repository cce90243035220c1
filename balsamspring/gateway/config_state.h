// Tracks which configuration is in force on this VM, and until when its keys may be trusted.
//
// Load pattern: keys are revoked while this VM is cut off from the store, suspended, or refused by it. Only a reply of
// the store proves that no newer configuration existed at the time at which the request was sent.
#pragma once

#include "balsamspring/gateway/serving_config.h"

#include <memory>
#include <optional>

namespace balsamspring {

struct config_state_options {
    // Time for which keys are trusted after a proof. Shorter than the time that revocation may take, so that the last
    // request sent with a key still arrives in time.
    duration keyTrustDuration = std::chrono::milliseconds(4700);
    bool strictRevocation = true;
};

class config_state {
public:
    explicit config_state(config_state_options options);

    // Applies a configuration if its version is newer than the current one. Returns whether it was applied.
    bool offer(std::shared_ptr<const serving_config> config);
    // Reports that all configurations that the store held at `requestedAt` have been offered.
    void confirm(mono_time requestedAt);

    std::shared_ptr<const serving_config> current() const { return m_current; }
    bool keysTrusted(mono_time now) const;
    // Age of the last proof, or none before the first.
    std::optional<duration> proofAge(mono_time now) const;

private:
    config_state_options m_options;
    std::shared_ptr<const serving_config> m_current;
    std::optional<mono_time> m_confirmedAt;
};

} // namespace balsamspring
