// Operator command line.
#include "balsamspring/ctl/ctl.h"

int main(int count, char** values)
{
    const std::vector<std::string> arguments(values + 1, values + count);
    return static_cast<int>(balsamspring::runCtl(arguments, balsamspring::processEnvironment()));
}
