#include "balsamspring/ctl/operator_api.h"

#include <cpprest/http_client.h>

namespace balsamspring {

namespace {

class http_operator_api : public operator_api {
public:
    http_operator_api(const std::string& address, std::string token, duration timeout)
        : m_client("http://" + address, configOf(timeout))
        , m_token(std::move(token))
    {
    }

    result<operator_reply> call(const std::string& method, const std::string& path, const std::string& body) override
    {
        web::http::http_request request(method);
        request.headers().add("Authorization", "Bearer " + m_token);
        request.set_request_uri(path);
        if (!body.empty())
            request.set_body(body, "application/json");
        try {
            auto response = m_client.request(request).get();
            return operator_reply { response.status_code(), response.extract_utf8string(true).get() };
        } catch (const std::exception& failure) {
            return makeError(error_code::Unavailable, failure.what());
        }
    }

private:
    static web::http::client::http_client_config configOf(duration timeout)
    {
        web::http::client::http_client_config config;
        config.set_timeout(timeout);
        return config;
    }

    web::http::client::http_client m_client;
    std::string m_token;
};

} // namespace

std::unique_ptr<operator_api> makeHttpOperatorApi(
    const std::string& address, const std::string& token, duration timeout)
{
    return std::make_unique<http_operator_api>(address, token, timeout);
}

} // namespace balsamspring
