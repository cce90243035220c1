// Problems found in operator input, collected with their place and reported together.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace balsamspring {

// Position in a source text. Line and column count from 1; 0 means unknown.
struct source_place {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    friend bool operator==(const source_place&, const source_place&) = default;
};

struct finding {
    source_place place;
    std::string message;
};

// "site.toml:12:5: unknown key \"deadlin_ms\"".
std::string toString(const finding& item);

// An ordered list of findings. Empty means that the input is valid.
class findings {
public:
    void add(source_place place, std::string message);
    void append(const findings& other);

    bool empty() const { return m_items.empty(); }
    const std::vector<finding>& items() const { return m_items; }

    // One finding per line, sorted by file, line and column.
    std::string toText() const;

private:
    std::vector<finding> m_items;
};

} // namespace balsamspring
