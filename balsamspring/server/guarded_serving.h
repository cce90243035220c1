// The serving decisions behind one mutex.
#pragma once

#include "balsamspring/server/serving_core.h"

#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace balsamspring {

// Thread safe. Callbacks of chosen servers run on the calling thread after the mutex is released.
class guarded_serving {
public:
    using choice_callback = std::function<void(server_choice)>;

    guarded_serving(serving_core_options options, std::uint64_t seed)
        : m_random(seed)
        , m_core(std::move(options), m_random)
    {
    }

    // Runs the function on the decisions and returns its result.
    template <class Function> auto run(const Function& function)
    {
        answer_list answers;
        if constexpr (std::is_void_v<decltype(function(m_core))>) {
            {
                const std::lock_guard lock(m_mutex);
                function(m_core);
                answers = takeAnswers();
            }
            deliver(answers);
        } else {
            auto value = [&] {
                const std::lock_guard lock(m_mutex);
                auto inner = function(m_core);
                answers = takeAnswers();
                return inner;
            }();
            deliver(answers);
            return value;
        }
    }

    void choose(const choose_server_action& action, const pool_id& pool, choice_callback done, mono_time now)
    {
        run([&](serving_core& core) {
            m_callbacks[action.attempt] = std::move(done);
            core.request(action, pool, now);
        });
    }

    void abandon(attempt_id attempt)
    {
        run([&](serving_core& core) {
            core.abandon(attempt);
            m_callbacks.erase(attempt);
        });
    }

private:
    using answer_list = std::vector<std::pair<choice_callback, server_choice>>;

    answer_list takeAnswers()
    {
        answer_list answers;
        for (serving_core::choice& choice : m_core.takeChoices()) {
            const auto found = m_callbacks.find(choice.attempt);
            if (found == m_callbacks.end())
                continue;
            answers.emplace_back(std::move(found->second), std::move(choice.answer));
            m_callbacks.erase(found);
        }
        return answers;
    }

    static void deliver(answer_list& answers)
    {
        for (auto& [callback, answer] : answers)
            callback(std::move(answer));
    }

    std::mutex m_mutex;
    random_engine m_random;
    serving_core m_core;
    std::map<attempt_id, choice_callback> m_callbacks;
};

} // namespace balsamspring
