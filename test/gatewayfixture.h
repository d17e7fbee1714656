#pragma once

#include "recordedreply.h"
#include "scriptedendpoint.h"
#include "support/Wait.h"
#include "testdialect.h"

#include <Apricothead/Gateway>
#include <Apricothead/Transport>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace Apricothead::Test {

constexpr std::chrono::milliseconds MaxWait{8000};

inline Wire::ServicePlan testPlan(Wire::RepeatRule repeat, unsigned attempts, std::uint64_t timeoutMs)
{
    Wire::ServicePlan plan;
    plan.set_revision(1);
    plan.add_services()->set_name("yard");
    Wire::PlanRoute *route = plan.add_routes();
    route->set_name("route");
    route->set_host("host");
    route->set_path_prefix("/");
    route->set_repeat(repeat);
    route->set_resumable(repeat == Wire::REPEAT_RULE_STREAM);
    route->set_timeout_ms(timeoutMs);
    route->set_objective_ms(200);
    route->set_max_attempts(attempts);
    Wire::ServiceShare *share = route->add_services();
    share->set_service("yard");
    share->set_weight(1);
    return plan;
}

/** A gateway without replicas, in front of scripted endpoints. */
struct GatewayFixture {
    explicit GatewayFixture(Wire::RepeatRule repeat, unsigned attempts = 3, std::uint64_t timeoutMs = 4000)
        : plan(std::make_shared<const PlanIndex>(testPlan(repeat, attempts, timeoutMs)))
        , context{
              .loop = loop,
              .settings = {},
              .dialect = testDialect(),
              .client = HttpClient(loop),
              .versionSplit = VersionSplit(5000),
              .onEnded =
                  [this](const ForwardRun *) {
                      ++this->endedRuns;
                  },
          }
    {
        Settings settings;
        settings.process = "gateway";
        this->context.view = std::make_unique<ServingView>(this->loop,
                                                           ServingViewOptions{
                                                               .settings = settings,
                                                               .onServingState = [](const Wire::ServingState &) {},
                                                               .onAnnouncements = [](const std::vector<Wire::EndpointAnnouncement> &) {},
                                                               .versionCounts =
                                                                   [] {
                                                                       return std::vector<Wire::VersionCount>();
                                                                   },
                                                           });
    }

    void announce(const std::string &name, const std::string &address)
    {
        Wire::EndpointAnnouncement announcement;
        announcement.set_endpoint(name);
        announcement.set_service("yard");
        announcement.set_address(address);
        announcement.set_state(Wire::ANNOUNCED_STATE_READY);
        announcement.set_born_ms(1);
        this->context.endpoints.applyAnnouncement(announcement);
    }

    std::shared_ptr<RecordedReply> start(const std::string &id, std::string body = {})
    {
        ForwardRequest request{.id = id, .host = "host", .method = body.empty() ? "GET" : "POST", .target = "/work", .path = "/work"};
        request.body = std::move(body);
        return this->start(std::move(request));
    }

    std::shared_ptr<RecordedReply> start(ForwardRequest request)
    {
        auto reply = std::make_shared<RecordedReply>();
        this->runs.push_back(std::make_unique<ForwardRun>(this->context, std::move(request), reply, this->plan, &this->plan->plan().routes(0), nullptr));
        this->runs.back()->start();
        return reply;
    }

    std::shared_ptr<RecordedReply> startPrompt(const std::string &id, const std::string &target, const std::vector<std::uint64_t> &parts)
    {
        auto reply = std::make_shared<RecordedReply>();
        ForwardRequest request{.id = id, .host = "host", .method = "POST", .target = target, .path = target, .body = "prompt"};
        for (const std::uint64_t part : parts) {
            request.prompt.push_back({.id = part, .tokens = 100});
        }
        this->runs.push_back(std::make_unique<ForwardRun>(this->context, std::move(request), reply, this->plan, &this->plan->plan().routes(0), nullptr));
        this->runs.back()->start();
        return reply;
    }

    std::shared_ptr<RecordedReply> request(const std::string &id, std::string body = {})
    {
        return this->ended(this->start(id, std::move(body)));
    }

    std::shared_ptr<RecordedReply> ended(std::shared_ptr<RecordedReply> reply)
    {
        BOOST_TEST(runUntil(
            this->loop,
            [&reply] {
                return reply->isEnded;
            },
            MaxWait));
        return reply;
    }

    void runFor(std::chrono::milliseconds time)
    {
        const std::uint64_t end = this->loop.nowMs() + static_cast<std::uint64_t>(time.count());
        runUntil(
            this->loop,
            [this, end] {
                return this->loop.nowMs() >= end;
            },
            MaxWait);
    }

    EventLoop loop;
    std::shared_ptr<const PlanIndex> plan;
    GatewayContext context;
    std::vector<std::unique_ptr<ForwardRun>> runs;
    unsigned endedRuns = 0;
};

inline std::string signedResponse(const std::string &head, const std::string &body, const std::string &more = {})
{
    return "HTTP/1.1 200 OK\r\nid: " + headerOf(head, "id") + "\r\nsigned: yes\r\n" + more + "content-length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline std::string streamHead(const std::string &head, const std::string &more = {})
{
    return "HTTP/1.1 200 OK\r\nid: " + headerOf(head, "id") + "\r\nsigned: yes\r\n" + more + "transfer-encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline std::string event(unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

constexpr const char *LastChunk = "0\r\n\r\n";

} // namespace Apricothead::Test
