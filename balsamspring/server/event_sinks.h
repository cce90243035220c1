// Writes the events of a run to a caller: as server-sent events or as one JSON answer.
#pragma once

#include "balsamspring/server/live_run.h"

#include <functional>
#include <string>

namespace balsamspring {

// One server-sent event; the data is one line of JSON.
std::string formatServerSentEvent(const caller_event& event, const std::string& id, const run_request& request);

// Collects events until the end and then gives the whole answer. The callback runs exactly once.
class json_sink : public caller_sink {
public:
    struct answer {
        unsigned status = 200;
        std::string body;
        std::string reason; // refusal reason, empty for an answer
    };
    using answer_callback = std::function<void(const answer&)>;

    explicit json_sink(answer_callback done);

    void send(const caller_event& event, const std::string& id, const run_request& request) override;
    void keepAlive() override { }
    std::size_t pending() const override { return 0; }
    void close() override;

private:
    void give(const answer& value);

    answer_callback m_done;
};

} // namespace balsamspring
