#include "ChatAssembler.h"

#include "BoundedJson.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <utility>

namespace Apricothead {
namespace {

using Json = nlohmann::json;

/** Fields whose text is sent once and not in pieces. */
constexpr std::array<std::string_view, 4> WholeFields{"role", "id", "type", "name"};

bool isWholeField(std::string_view name)
{
    return std::find(WholeFields.begin(), WholeFields.end(), name) != WholeFields.end();
}

/** Memory of a field, an element of a list or a choice, beside its text. */
constexpr std::size_t NodeBytes = 128;

std::size_t costOf(const Json &value)
{
    if (value.is_string()) {
        return value.get_ref<const std::string &>().size();
    }
    std::size_t bytes = 0;
    if (value.is_structured()) {
        for (const auto &[name, part] : value.items()) {
            bytes += NodeBytes + name.size() + costOf(part);
        }
    }
    return bytes;
}

/** Replaces \a target, and changes what is held accordingly. */
void replace(Json &target, const Json &value, std::size_t &heldBytes)
{
    heldBytes += costOf(value);
    heldBytes -= std::min(heldBytes, costOf(target));
    target = value;
}

void setWhereMissing(Json &object, const std::string &name, const Json &value)
{
    if (!object.contains(name)) {
        object[name] = value;
    }
}

/** \returns the place of a choice among several; 0 when it names none */
int choiceIndex(const Json &choice)
{
    const auto index = choice.find("index");
    return index != choice.end() && index->is_number_integer() ? index->get<int>() : 0;
}

/** Only pieces have an index. */
void removeIndexes(Json &calls)
{
    for (Json &call : calls) {
        if (call.is_object()) {
            call.erase("index");
        }
    }
}

/** \brief Merges pieces of objects. Elements of a list in pieces carry their place as \c index. */
class PieceMerger
{
public:
    /** \a heldBytes: grows by what is kept. */
    explicit PieceMerger(std::size_t &heldBytes) : held(heldBytes)
    { }

    void mergeObject(Json &target, const Json &piece, std::uint64_t path)
    {
        for (const auto &[name, value] : piece.items()) {
            this->held += target.contains(name) ? 0 : NodeBytes + name.size();
            this->mergeField(target[name], name, value, pathTo(path, name));
        }
    }

private:
    /** \returns what tells the field \a name of the object at \a path from other fields */
    static std::uint64_t pathTo(std::uint64_t path, std::string_view name)
    {
        return XXH3_64bits_withSeed(name.data(), name.size(), path);
    }

    void mergeField(Json &field, const std::string &name, const Json &piece, std::uint64_t path)
    {
        if (piece.is_null() && !field.is_null()) {
            return;
        }
        if (piece.is_string() && field.is_string() && !isWholeField(name)) {
            field.get_ref<std::string &>() += piece.get_ref<const std::string &>();
            this->held += piece.get_ref<const std::string &>().size();
            return;
        }
        if (piece.is_array()) {
            this->mergeList(field, piece, path);
            return;
        }
        if (piece.is_object() && field.is_object()) {
            this->mergeObject(field, piece, path);
            return;
        }
        replace(field, piece, this->held);
    }

    void mergeList(Json &target, const Json &pieces, std::uint64_t path)
    {
        if (!target.is_array()) {
            target = Json::array();
        }
        for (const Json &piece : pieces) {
            const auto index = piece.is_object() ? piece.find("index") : piece.end();
            if (!piece.is_object() || index == piece.end()) {
                this->add(target, piece);
                continue;
            }
            const std::size_t position = this->positions.try_emplace({path, *index}, target.size()).first->second;
            // The field may have held something else in between.
            const bool isKnown = position < target.size() && target[position].is_object() && target[position].value("index", Json()) == *index;
            if (!isKnown) {
                this->positions[{path, *index}] = target.size();
                this->add(target, piece);
                continue;
            }
            this->mergeObject(target[position], piece, pathTo(path, std::to_string(position)));
        }
    }

    void add(Json &list, const Json &element)
    {
        // Its position takes a node too.
        this->held += 2 * NodeBytes + costOf(element);
        list.push_back(element);
    }

    std::size_t &held;
    /** Positions of elements in their lists, by the path of the list and the element's index. */
    std::map<std::pair<std::uint64_t, Json>, std::size_t> positions;
};

} // namespace

struct ChatAssembler::Private {
    struct Choice {
        explicit Choice(std::size_t &heldBytes) : messagePieces(heldBytes), logprobPieces(heldBytes)
        { }

        Json message = Json::object();
        Json finishReason;
        Json logprobs;
        PieceMerger messagePieces;
        PieceMerger logprobPieces;
    };

    void takeChoice(const Json &piece)
    {
        const auto [position, isNew] = this->choices.try_emplace(choiceIndex(piece), this->heldBytes);
        this->heldBytes += isNew ? NodeBytes + sizeof(Choice) : 0;
        Choice &choice = position->second;
        const auto delta = piece.find("delta");
        if (delta != piece.end() && delta->is_object()) {
            choice.messagePieces.mergeObject(choice.message, *delta, 0);
        }
        const auto reason = piece.find("finish_reason");
        if (reason != piece.end() && !reason->is_null()) {
            replace(choice.finishReason, *reason, this->heldBytes);
        }
        const auto logprobs = piece.find("logprobs");
        if (logprobs != piece.end() && logprobs->is_object()) {
            if (!choice.logprobs.is_object()) {
                choice.logprobs = Json::object();
            }
            choice.logprobPieces.mergeObject(choice.logprobs, *logprobs, 0);
        }
    }

    std::size_t heldBytes = 0;
    Json head = Json::object();
    Json usage;
    std::map<int, Choice> choices;
};

ChatAssembler::ChatAssembler() : d(std::make_unique<Private>())
{ }

ChatAssembler::~ChatAssembler() = default;

bool ChatAssembler::take(std::string_view text)
{
    const Json event = parseBoundedJson(text);
    if (!event.is_object()) {
        return false;
    }
    for (const auto &[name, value] : event.items()) {
        if (name == "choices" || name == "object" || name == "usage") {
            continue;
        }
        this->d->heldBytes += this->d->head.contains(name) ? 0 : NodeBytes + name.size() + costOf(value);
        setWhereMissing(this->d->head, name, value);
    }
    const auto usage = event.find("usage");
    if (usage != event.end() && usage->is_object()) {
        replace(this->d->usage, *usage, this->d->heldBytes);
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array()) {
        return true;
    }
    for (const Json &choice : *choices) {
        if (!choice.is_object()) {
            continue;
        }
        this->d->takeChoice(choice);
    }
    return true;
}

std::string ChatAssembler::completion() const
{
    Json body = this->d->head;
    body["object"] = "chat.completion";
    body["choices"] = Json::array();
    for (const auto &[index, choice] : this->d->choices) {
        Json message = choice.message;
        setWhereMissing(message, "role", "assistant");
        setWhereMissing(message, "content", nullptr);
        const auto calls = message.find("tool_calls");
        if (calls != message.end() && calls->is_array()) {
            removeIndexes(*calls);
        }
        body["choices"].push_back({{"index", index}, {"message", message}, {"logprobs", choice.logprobs}, {"finish_reason", choice.finishReason}});
    }
    if (!this->d->usage.is_null()) {
        body["usage"] = this->d->usage;
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string ChatAssembler::text() const
{
    if (this->d->choices.empty()) {
        return {};
    }
    const Json &message = this->d->choices.begin()->second.message;
    const auto content = message.find("content");
    return content != message.end() && content->is_string() ? content->get<std::string>() : std::string();
}

std::size_t ChatAssembler::heldBytes() const
{
    return this->d->heldBytes;
}

bool isUsageEvent(std::string_view text)
{
    // Most events have choices: only the others are worth parsing.
    if (text.find("\"choices\":[]") == std::string_view::npos && text.find("\"choices\": []") == std::string_view::npos) {
        return false;
    }
    const Json event = parseBoundedJson(text);
    return event.is_object() && event.contains("usage") && event.contains("choices") && event["choices"].empty();
}

} // namespace Apricothead
