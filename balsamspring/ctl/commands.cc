#include "balsamspring/ctl/commands.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/ctl/render.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace balsamspring {

namespace internal {

namespace {

constexpr std::string_view defaultAddress = "127.0.0.1:8081";

// Files, arguments and replies may hold bytes that are no UTF-8; they are replaced.
std::string dumped(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

bool isTemporary(int status) { return status == 502 || status == 503 || status == 504; }

std::string encodePath(const std::string& text)
{
    constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string out;
    for (const char c : text) {
        if (plain.find(c) != std::string_view::npos)
            out += c;
        else
            out += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return out;
}

exit_code ctl_session::run()
{
    const std::vector<std::string>& words = m_options.words;
    if (words.empty())
        return usage("a command is missing");
    if (words[0] == "config")
        return runConfig();
    if (words[0] == "call")
        return runCall();
    if (words[0] == "explain" && words.size() >= 2)
        return explainRequestId();
    if (words[0] == "failures")
        return listFailures();
    if (words[0] == "request" && words.size() == 2)
        return show("GET", "/v1/requests/" + encodePath(words[1]));
    if (words.size() != 1)
        return usage(fmt::format("wrong arguments for \"{}\"", words[0]));
    if (words[0] == "status" || words[0] == "backends")
        return show("GET", "/v1/" + words[0]);
    if (words[0] == "drain")
        return show("POST", "/v1/drain", "{}");
    return usage(fmt::format("unknown command \"{}\"", words[0]));
}

exit_code ctl_session::runConfig()
{
    const std::vector<std::string>& words = m_options.words;
    const std::string command = words.size() > 1 ? words[1] : "";
    if (command == "history" && words.size() == 2)
        return show("GET", "/v1/config/history");
    const bool takesFiles = command == "check" || command == "merge" || command == "diff" || command == "publish";
    if (!takesFiles)
        return usage(fmt::format("unknown command \"config {}\"", command));
    if (words.size() < 3)
        return usage("the base file is missing");
    if (command == "check")
        return checkFiles();
    if (command == "merge")
        return mergeFiles();
    return command == "diff" ? diffFiles() : publishFiles();
}

exit_code ctl_session::runCall()
{
    const std::vector<std::string>& words = m_options.words;
    if (words.size() == 2 && words[1] != "settle")
        return show("GET", "/v1/calls/" + encodePath(words[1]));
    if (words.size() != 3 || words[1] != "settle")
        return usage("call KEY or call settle KEY --verdict ran|not_run --note TEXT");
    if (m_options.verdict != "ran" && m_options.verdict != "not_run")
        return usage("--verdict must be ran or not_run");
    if (m_options.note.empty())
        return usage("--note must state what the verdict is based on");
    const std::string author = m_options.author.empty() ? m_environment.variable("USER") : m_options.author;
    if (author.empty())
        return usage("--author is missing");
    const nlohmann::json body { { "operator", author }, { "verdict", m_options.verdict }, { "note", m_options.note } };
    return show("POST", "/v1/calls/" + encodePath(words[2]) + "/settlement", dumped(body));
}

exit_code ctl_session::show(const std::string& method, const std::string& path, const std::string& body)
{
    operator_api* target = api();
    if (!target)
        return m_code;
    const auto reply = target->call(method, path, body);
    if (!reply)
        return unreachable(reply.error());
    if (reply->status < 200 || reply->status > 299)
        return refused(*reply);
    m_environment.out << (m_options.json ? indentJson(reply->body) : renderJson(reply->body));
    return exit_code::Done;
}

operator_api* ctl_session::api()
{
    if (m_api)
        return m_api.get();
    std::string token = m_environment.variable("BALSAMSPRING_OPERATOR_TOKEN");
    if (!m_options.tokenFile.empty()) {
        std::ifstream file(m_options.tokenFile);
        if (!std::getline(file, token)) {
            m_code = usage(fmt::format("no token can be read from \"{}\"", m_options.tokenFile));
            return nullptr;
        }
    }
    if (token.empty()) {
        m_code = usage("the operator token is missing: --token-file or BALSAMSPRING_OPERATOR_TOKEN");
        return nullptr;
    }
    std::string address = m_options.address;
    if (address.empty())
        address = m_environment.variable("BALSAMSPRING_OPERATOR");
    if (address.empty())
        address = defaultAddress;
    m_api = m_environment.connect(address, token, fromSeconds(m_options.timeoutSeconds));
    return m_api.get();
}

exit_code ctl_session::fail(exit_code code, const std::string& message)
{
    m_code = code;
    if (m_options.json)
        m_environment.err << dumped({ { "error", message } }) << "\n";
    else
        m_environment.err << "balsamspringctl: " << message << "\n";
    return code;
}

exit_code ctl_session::failWith(const findings& problems)
{
    m_code = exit_code::Refused;
    if (!m_options.json) {
        m_environment.err << problems.toText();
        return m_code;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const finding& item : problems.items()) {
        list.push_back({ { "file", item.place.file }, { "line", item.place.line }, { "column", item.place.column },
            { "message", item.message } });
    }
    m_environment.err << dumped({ { "findings", list } }) << "\n";
    return m_code;
}

exit_code ctl_session::usage(const std::string& message) { return fail(exit_code::Usage, message + " (see --help)"); }

exit_code ctl_session::unreachable(const error& failure)
{
    return fail(exit_code::Unreachable, fmt::format("no answer from the operator API: {}", failure.message));
}

exit_code ctl_session::refused(const operator_reply& reply)
{
    return fail(isTemporary(reply.status) ? exit_code::Unreachable : exit_code::Refused,
        fmt::format("{} (status {})", refusalText(reply.body), reply.status));
}

std::vector<std::string> ctl_session::filesFrom(std::size_t first) const
{
    const auto& words = m_options.words;
    return { words.begin() + static_cast<std::ptrdiff_t>(first), words.end() };
}

} // namespace internal

exit_code runCtl(const std::vector<std::string>& arguments, const ctl_environment& environment)
{
    const auto options = internal::parseOptions(arguments);
    if (!options) {
        environment.err << "balsamspringctl: " << options.error().message << " (see --help)\n";
        return exit_code::Usage;
    }
    if (options->help) {
        environment.out << internal::helpText();
        return exit_code::Done;
    }
    if (options->version) {
        environment.out << "balsamspringctl " BALSAMSPRING_VERSION "\n";
        return exit_code::Done;
    }
    return internal::ctl_session(*options, environment).run();
}

ctl_environment processEnvironment()
{
    return { std::cout, std::cerr, makeHttpOperatorApi, monotonicNow,
        [](duration time) { std::this_thread::sleep_for(time); },
        [] {
            std::random_device source;
            std::string bytes;
            for (int i = 0; i < 16; ++i)
                bytes += static_cast<char>(source());
            return toHex(bytes);
        },
        [](const char* name) {
            const char* value = std::getenv(name);
            return std::string(value ? value : "");
        } };
}

} // namespace balsamspring
