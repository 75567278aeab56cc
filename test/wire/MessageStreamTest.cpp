#include "wire/MessageStream.h"

#include "support/RawPeer.h"

#include <criterion/criterion.h>

#include <vector>

using namespace oleanderport;

namespace {

// A listener that stores the accepted streams and their received messages.
struct Server {
    explicit Server(EventLoop& loop)
    {
        listener = StreamListener::listen(loop, "127.0.0.1:0",
            [this, &loop](int descriptor) {
                streams.push_back(std::make_unique<MessageStream>(loop, descriptor,
                    MessageStream::Callbacks { .received = [this](std::string_view message) { received.emplace_back(message); },
                        .closed = [this](const char*) { ++closed; } }));
            })
                       .assume_value();
    }

    std::string address() const { return fmt::format("127.0.0.1:{}", listener->port()); }

    std::unique_ptr<StreamListener> listener;
    std::vector<std::unique_ptr<MessageStream>> streams;
    std::vector<std::string> received;
    int closed { 0 };
};

} // namespace

Test(MessageStream, carriesMessagesBothWaysInOrder)
{
    EventLoop loop;
    Server server(loop);
    std::vector<std::string> answers;
    const auto stream = MessageStream::connect(loop, server.address(),
        { .received = [&answers](std::string_view message) { answers.emplace_back(message); },
            .closed = [](const char* why) { cr_assert_fail("closed: %s", why); } });
    const std::string large(300'000, 'x');
    stream->send("");
    stream->send("first");
    stream->send(large);
    cr_assert(runUntil(loop, [&server] { return server.received.size() == 3; }));
    cr_assert(server.received[0].empty() && server.received[1] == "first" && server.received[2] == large);
    server.streams.front()->send("back");
    cr_assert(runUntil(loop, [&answers] { return answers.size() == 1; }));
    cr_assert(answers.front() == "back");
}

Test(MessageStream, reportsThatThePeerClosed)
{
    EventLoop loop;
    Server server(loop);
    auto stream = MessageStream::connect(loop, server.address(), { .received = [](std::string_view) {}, .closed = [](const char*) {} });
    stream->send("hello");
    cr_assert(runUntil(loop, [&server] { return server.received.size() == 1; }));
    stream.reset();
    cr_assert(runUntil(loop, [&server] { return server.closed == 1; }));
}

Test(MessageStream, reportsARefusedConnection)
{
    EventLoop loop;
    bool closed = false;
    std::string address;
    {
        const Server server(loop);
        address = server.address();
    }
    const auto stream = MessageStream::connect(
        loop, address, { .received = [](std::string_view) {}, .closed = [&closed](const char*) { closed = true; } });
    cr_assert(runUntil(loop, [&closed] { return closed; }));
}

Test(MessageStream, closesWhenProcessingAMessageThrows)
{
    EventLoop loop;
    std::unique_ptr<MessageStream> accepted;
    bool closed = false;
    const auto listener = StreamListener::listen(loop, "127.0.0.1:0", [&](int descriptor) {
        accepted = std::make_unique<MessageStream>(loop, descriptor,
            MessageStream::Callbacks { .received = [](std::string_view) { throw std::runtime_error("a message that cannot be taken in"); },
                .closed = [&closed](const char*) { closed = true; } });
    }).assume_value();
    const auto stream = MessageStream::connect(loop, fmt::format("127.0.0.1:{}", listener->port()), { .received = [](std::string_view) {}, .closed = [](const char*) {} });
    stream->send("hello");
    cr_assert(runUntil(loop, [&closed] { return closed; }));
}
