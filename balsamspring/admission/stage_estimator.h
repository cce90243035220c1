// Estimates service times of pipeline stages by length class from samples, and classifies requests by length.
#pragma once

#include "balsamspring/admission/decaying_histogram.h"
#include "balsamspring/base/ids.h"
#include "balsamspring/base/length_class.h"

#include <array>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace balsamspring {

struct stage_estimator_options {
    duration halfLife = std::chrono::seconds(30);
    duration prior = std::chrono::milliseconds(200); // used while there are too few samples
    // With a lower total sample weight, the estimate falls back from the class to the stage, then to the prior.
    double minimumWeight = 3;
    duration shortLimit = std::chrono::seconds(1); // median service time up to which work counts as short
    duration longLimit = std::chrono::seconds(8); // median service time from which work counts as long
    double stragglerFactor = 4; // a run that takes longer than this multiple of its class's p99 is a straggler
};

// A stage of a pipeline.
struct stage_ref {
    pipeline_id pipeline;
    std::uint32_t stage = 0;

    friend bool operator==(const stage_ref&, const stage_ref&) = default;
};

struct stage_ref_hash {
    std::size_t operator()(const stage_ref& ref) const noexcept
    {
        return std::hash<pipeline_id> {}(ref.pipeline) * 31 + ref.stage;
    }
};

// Predicted service time of one stage, without queueing.
struct stage_forecast {
    duration median {};
    duration p90 {};
    duration p99 {};
    bool skippable = false;
};

// Not thread safe.
class stage_estimator {
public:
    explicit stage_estimator(stage_estimator_options options = {});

    void record(const stage_ref& ref, length_class lengthClass, duration serviceTime, mono_time now);

    // Both use the samples of the class, or of all classes of the stage if the class has too few, or else the prior.
    duration quantile(const stage_ref& ref, length_class lengthClass, double q) const;
    stage_forecast forecast(const stage_ref& ref, length_class lengthClass) const;

    // Returns the class of a new request. A valid hint ("short", "medium", "long") from the operator or caller
    // overrides the samples, because it is the only information about work that has not run yet.
    length_class classify(const stage_ref& ref, std::string_view hint) const;

    // Returns the service time beyond which a run of the class is a straggler, or nullopt if there are too few samples.
    std::optional<duration> stragglerLimit(const stage_ref& ref, length_class lengthClass) const;

private:
    struct stage_statistics {
        explicit stage_statistics(duration halfLife)
            : all(halfLife)
            , byClass { decaying_histogram(halfLife), decaying_histogram(halfLife), decaying_histogram(halfLife) }
        {
        }

        decaying_histogram all;
        std::array<decaying_histogram, lengthClassCount> byClass;
    };

    stage_estimator_options m_options;
    std::unordered_map<stage_ref, stage_statistics, stage_ref_hash> m_stages;
};

} // namespace balsamspring
