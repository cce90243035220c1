#include "balsamspring/server/embedded.h"

#include "balsamspring/base/hash.h"

namespace balsamspring {

namespace {

schema::pool makePool(schema::pool::kind_type kind, const std::map<std::string, std::string>& servers)
{
    schema::pool pool;
    pool.set_kind(kind);
    for (const auto& [id, address] : servers)
        (*pool.mutable_servers())[id].set_address(address);
    return pool;
}

schema::stage* addStage(schema::pipeline& pipeline, const std::string& name, schema::stage::kind_type kind)
{
    schema::stage* stage = pipeline.add_stages();
    stage->set_name(name);
    stage->set_kind(kind);
    stage->set_pool(kind == schema::stage::generate ? "engines" : "services");
    if (kind == schema::stage::generate) {
        stage->set_model("small");
        stage->set_max_tokens(64);
    }
    return stage;
}

} // namespace

schema::configuration embeddedConfiguration(const embedded_addresses& addresses)
{
    schema::configuration config;
    auto& pools = *config.mutable_pools();
    pools["engines"]
        = makePool(schema::pool::engine, { { "engine-a", addresses.engineA }, { "engine-b", addresses.engineB } });
    pools["services"] = makePool(schema::pool::service, { { "service-a", addresses.service } });

    schema::pipeline& report = (*config.mutable_pipelines())["report"];
    report.set_deadline_ms(20'000);
    report.set_resumable(true);
    addStage(report, "retrieve", schema::stage::retrieve);
    addStage(report, "rerank", schema::stage::rerank)->set_skippable(true);
    addStage(report, "draft", schema::stage::generate);

    schema::pipeline& answer = (*config.mutable_pipelines())["answer"];
    answer.set_deadline_ms(6'000);
    addStage(answer, "reply", schema::stage::generate);

    schema::pipeline& award = (*config.mutable_pipelines())["award"];
    award.set_deadline_ms(6'000);
    schema::stage* record = addStage(award, "record", schema::stage::call);
    record->set_operation("award");
    record->set_non_idempotent(true);

    schema::team& team = (*config.mutable_teams())["demo"];
    team.set_weight(1);
    team.add_token_sha256(sha256Hex(embeddedTeamToken));
    return config;
}

schema::daemon_settings embeddedSettings()
{
    schema::daemon_settings settings;
    settings.set_vm("embedded");
    settings.set_zone("local");
    settings.set_caller_address("127.0.0.1:8080");
    settings.set_operator_address("127.0.0.1:8090");
    settings.set_operator_token_sha256(sha256Hex(embeddedOperatorToken));
    return settings;
}

} // namespace balsamspring
