#include "Http.h"

#include <Apricothead/Protocol>

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace Apricothead::Test {
namespace {

struct Transfer {
    HttpAnswer answer;
    const HttpCallSpec *spec = nullptr;
};

std::size_t takeBody(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    transfer->answer.body.append(bytes, size * count);
    const bool goesOn = !transfer->spec->onData || transfer->spec->onData(transfer->answer.body);
    return goesOn ? size * count : 0;
}

std::size_t takeHeader(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const std::string line(bytes, size * count);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
        return size * count;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    const std::size_t end = line.find_last_not_of("\r\n");
    transfer->answer.headers[name] = begin > end ? std::string() : line.substr(begin, end - begin + 1);
    return size * count;
}

} // namespace

std::string HttpAnswer::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

nlohmann::json HttpAnswer::json() const
{
    return nlohmann::json::parse(this->body, nullptr, false);
}

HttpAnswer call(const HttpCallSpec &spec)
{
    Transfer transfer;
    transfer.spec = &spec;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), &curl_easy_cleanup);
    curl_slist *lines = curl_slist_append(nullptr, "Expect:");
    for (const auto &[name, value] : spec.headers) {
        std::string line = name;
        line.append(": ").append(value);
        lines = curl_slist_append(lines, line.c_str());
    }
    curl_easy_setopt(easy.get(), CURLOPT_URL, spec.url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(spec.timeout.count()));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &takeBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &takeHeader);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &transfer);
    if (!spec.body.empty() || spec.method == "POST") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(spec.body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, spec.body.data());
    }
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, spec.method.c_str());
    const CURLcode code = curl_easy_perform(easy.get());
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &transfer.answer.status);
    curl_slist_free_all(lines);
    transfer.answer.whole = code == CURLE_OK;
    transfer.answer.error = code == CURLE_OK ? "" : curl_easy_strerror(code);
    return transfer.answer;
}

HttpAnswer callJson(const std::string &url, const nlohmann::json &body)
{
    HttpCallSpec spec{.method = "GET", .url = url, .headers = {}, .body = {}, .timeout = std::chrono::milliseconds(5000), .onData = {}};
    if (!body.is_null()) {
        spec.method = "POST";
        spec.headers["Content-Type"] = "application/json";
        spec.body = body.dump();
    }
    return call(spec);
}

std::string chatText(const HttpAnswer &answer)
{
    std::string text;
    if (!answer.header("content-type").starts_with("text/event-stream")) {
        const nlohmann::json whole = answer.json();
        const bool hasChoice = whole.is_object() && whole.contains("choices") && !whole["choices"].empty();
        return hasChoice ? whole["choices"][0]["message"].value("content", "") : text;
    }
    EventStream stream([&](std::string_view data) {
        const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
        if (!event.is_object() || !event.contains("choices") || event["choices"].empty()) {
            return;
        }
        text += event["choices"][0]["delta"].value("content", "");
    });
    stream.feed(answer.body);
    return text;
}

bool hasEndMark(const HttpAnswer &answer)
{
    return answer.body.find("data: [DONE]\n\n") != std::string::npos;
}

} // namespace Apricothead::Test
