// VM list client that speaks the JSON wire format over HTTP.
#pragma once

#include "balsamspring/http/http_client.h"
#include "balsamspring/platform/vm_list_client.h"

#include <string>

namespace balsamspring {

// Entries of a kind or state that this version does not know are left out; a list that does not parse gives Corrupt.
class http_vm_list_client : public vm_list_client {
public:
    explicit http_vm_list_client(std::string address);

    void fetch(duration timeout, fetch_callback done) override;

private:
    std::string m_address;
    http_client m_http;
};

} // namespace balsamspring
