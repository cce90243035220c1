// Access to the operator API of one VM.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <memory>
#include <string>

namespace balsamspring {

struct operator_reply {
    int status = 0; // HTTP status
    std::string body;
};

// Blocking calls; not thread safe.
class operator_api {
public:
    virtual ~operator_api() = default;

    // An error means that no whole reply came; the call may have taken effect.
    virtual result<operator_reply> call(const std::string& method, const std::string& path, const std::string& body)
        = 0;
};

// `address` is an IP number and a port. The token is sent with each call.
std::unique_ptr<operator_api> makeHttpOperatorApi(
    const std::string& address, const std::string& token, duration timeout);

} // namespace balsamspring
