#include "balsamspring/base/json_nesting.h"

namespace balsamspring {

bool nestsDeeperThan(std::string_view text, std::size_t limit)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > limit)
                return true;
        } else if ((c == ']' || c == '}') && depth) {
            --depth;
        }
    }
    return false;
}

} // namespace balsamspring
