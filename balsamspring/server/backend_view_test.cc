#include "balsamspring/server/backend_view.h"

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

TEST_CASE("a leaving server gets no new work whatever source tells it first, and flapping does not bring it back")
{
    backend_view view({}, { [](const backend_status&) {
    } });
    const mono_time start(1h);
    const backend_id server("e1");
    const auto listed = [](vm_state state) {
        return std::vector<vm_entry> { { vm_id("e1"), "a", zone_id("z"), vm_kind::Backend, state } };
    };
    view.onVmList(listed(vm_state::Live), start);
    view.onReply(server, 5, false, start);
    REQUIRE(view.mayReceiveWork(server));

    SECTION("reply header") { view.onReply(server, 5, true, start + 1s); }
    SECTION("VM list") { view.onVmList(listed(vm_state::Leaving), start + 1s); }
    REQUIRE_FALSE(view.mayReceiveWork(server));
    view.onVmList(listed(vm_state::Live), start + 5s);
    view.onReply(server, 5, false, start + 6s);
    REQUIRE_FALSE(view.mayReceiveWork(server));
    view.onVmList({}, start + 7s);
    REQUIRE(view.find(server));
    view.onReply(server, 6, false, start + 8s);
    REQUIRE(view.mayReceiveWork(server));
}

TEST_CASE("a hung VM list becomes stale and keeps its servers")
{
    backend_view view({}, { [](const backend_status&) {
    } });
    const mono_time start(1h);
    REQUIRE(view.isListStale(start));
    view.onVmList({ { vm_id("e1"), "a", zone_id("z"), vm_kind::Backend, vm_state::Live } }, start);
    REQUIRE_FALSE(view.isListStale(start + 9s));
    REQUIRE(view.isListStale(start + 11s));
    REQUIRE(view.mayReceiveWork(backend_id("e1")));
}
