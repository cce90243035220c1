// Runs an action at the end of a scope, also when an exception leaves it.
#pragma once

#include <utility>

namespace balsamspring {

// The action must not throw.
template <class Action> class scope_exit {
public:
    explicit scope_exit(Action action)
        : m_action(std::move(action))
    {
    }
    ~scope_exit() { m_action(); }
    scope_exit(const scope_exit&) = delete;
    scope_exit& operator=(const scope_exit&) = delete;

private:
    Action m_action;
};

} // namespace balsamspring
