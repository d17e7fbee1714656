// A service that rates answers, for tests and the demo: the rating is set on command.
#include "Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP and port to listen on");
ABSL_FLAG(double, rating, 0.9, "rating of every answer");

namespace Apricothead::Test {
namespace {

class Rating
{
public:
    explicit Rating(EventLoop &loop)
        : rating(absl::GetFlag(FLAGS_rating))
        , server(loop,
                 HttpServerOptions{
                     .address = absl::GetFlag(FLAGS_listen),
                     .onRequest =
                         [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                             this->serve(request, *reply);
                         },
                     .errorBody = {},
                 })
    { }

    std::string address() const
    {
        return this->server.boundAddress();
    }

private:
    void serve(const HttpRequest &request, HttpReply &reply)
    {
        if (request.path == "/counts") {
            sendJson(reply, 200, {{"total", this->total}});
            return;
        }
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (request.path == "/control") {
            this->rating = body.value("rating", this->rating);
            sendJson(reply, 200, {{"ok", true}});
            return;
        }
        ++this->total;
        sendJson(reply, 200, {{"rating", this->rating}});
    }

    double rating;
    std::uint64_t total = 0;
    HttpServer server;
};

} // namespace
} // namespace Apricothead::Test

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    Apricothead::Test::Program program;
    Apricothead::Test::Rating rating(program.eventLoop());
    return program.run(rating.address());
}
