// Log client that speaks the JSON wire format over HTTP.
#pragma once

#include "balsamspring/http/http_client.h"
#include "balsamspring/platform/log_client.h"

#include <string>

namespace balsamspring {

struct http_log_options {
    std::string address; // "10.0.0.1:8080"
    http_client_options http { .maxBodyBytes = std::size_t { 64 } * 1024 * 1024 };
};

// A page whose offsets break the order, or whose base64 does not decode, gives Corrupt: another VM may have read it
// whole, so its records must not be skipped. `atTail` comes from the field "tail" of the reply; when a server does not
// send it, only an empty page counts as the tail.
class http_log_client : public log_client {
public:
    explicit http_log_client(http_log_options options);

    void append(
        std::string_view stream, std::vector<std::string> records, duration timeout, append_callback done) override;
    void read(std::string_view stream, log_offset from, std::size_t maxRecords, duration timeout,
        read_callback done) override;

private:
    http_log_options m_options;
    http_client m_http;
};

} // namespace balsamspring
