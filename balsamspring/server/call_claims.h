// Non-idempotent calls of one daemon: from the serving hooks and the HTTP interfaces to the claims on the log.
#pragma once

#include "balsamspring/claims/claim_runtime.h"
#include "balsamspring/schema/config.pb.h"
#include "balsamspring/server/guarded_serving.h"
#include "balsamspring/server/run_body.h"
#include "balsamspring/server/serving_hooks.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsamspring {

using text_reply = std::function<void(or_refusal<std::string>)>; // JSON text
using outcome_callback = std::function<void(non_idempotent_outcome)>;

struct call_claims_options {
    claim_identity self;
    std::string secret; // signs keys; the same on all VMs
    duration platformTimeout = std::chrono::seconds(2);
    std::shared_ptr<log_client> log; // null: every call is refused with `log_unavailable`
    std::shared_ptr<backend_client> client;
    std::shared_ptr<guarded_serving> serving;
    std::function<attempt_id()> nextAttempt;
    // Runs an event on the control thread; false when it does not take more.
    std::function<bool(std::function<void(mono_time)>)> post;
    // The same for answers to calls that the control thread made; never refused while the thread runs.
    std::function<void(std::function<void()>)> postAnswer;
};

// The first group of functions is thread safe, the second is for the control thread. Callbacks run on the control
// thread, or on the calling thread when the event queue is full.
class call_claims {
public:
    explicit call_claims(call_claims_options options);

    void run(const non_idempotent_call& call, outcome_callback done);
    void issueKey(const team_id& team, text_reply done);
    void callState(const team_id& team, const std::string& key, text_reply done);
    // For operators, who name no team.
    void operatorState(const std::string& key, text_reply done);
    // Body: {"operator":"..","verdict":"ran|not_run","note":".."}.
    void settle(const std::string& key, const std::string& body, text_reply done);
    bool ready() const { return m_ready; }
    // After drain(): all outcomes and closes are on the log.
    bool drained() const { return m_drained; }

    // The options of claims of the first configuration hold until the daemon restarts.
    void configure(const schema::configuration& config);
    void drain();
    // Does what is due and returns when it wants to run again.
    mono_time wake(mono_time now);

private:
    void runHere(const non_idempotent_call& call, const outcome_callback& done, mono_time now);
    void askState(const team_id& team, const std::string& key, const text_reply& done, mono_time now);
    std::optional<team_id> teamOf(const std::string& key) const;
    send_function sender(const non_idempotent_call& call) const;
    void create(const schema::claims_options& source);

    call_claims_options m_options;
    call_key_signer m_signer;
    std::unique_ptr<claim_runtime> m_claims;
    std::string m_sourceText; // options of the configuration with which m_claims was made
    std::vector<team_id> m_teams;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_drained { false };
    bool m_draining = false;
};

} // namespace balsamspring
