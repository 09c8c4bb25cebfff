#include "rig.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <numeric>
#include <set>

namespace rig
{
namespace
{
constexpr unsigned DeadlineMs = 15'000;
constexpr std::int64_t DrainMs = 2000;
constexpr std::int64_t GraceMs = 6000;
constexpr std::int64_t GoneMs = 500;

/// Runs each function in a thread of its own and waits for all.
void runAll(std::vector<std::function<void()>> functions)
{
    std::vector<std::thread> threads;
    threads.reserve(functions.size());
    for (auto &function : functions) {
        threads.emplace_back(std::move(function));
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

std::string number(std::int64_t value)
{
    return std::to_string(value);
}

Verdict conclude(Record &record, bool broken, const std::string &rule, const std::string &seen)
{
    record.line(rule + (broken ? " broken: " : " held: ") + seen);
    return broken ? Verdict::Broken : Verdict::Held;
}
}

// A planned stop while answers are on their way from their backends. Half of the answers are sent in chunks at a steady pace, and half have a
// length and a last line that the backend works out after the rest.
Verdict stopDuringStream(const Context &context)
{
    static constexpr std::size_t Bytes = 2'400'000;
    static constexpr std::size_t Tail = 100;
    static constexpr int Parts = 50;
    static constexpr std::int64_t PartMs = 200;
    static constexpr unsigned Clients = 8;
    Deployment deployment(context.daemonProgram, context.record, "stop");
    const auto work = [](Backend & /*backend*/, const Request &request, Socket &connection) {
        const std::string content = contentOf(1, Bytes);
        if (request.target.find("/report/") != std::string::npos) {
            const bool sent = connection.send(answerHeader(request, 200, Bytes)) && connection.send(std::string_view(content).substr(0, Bytes - Tail));
            sleepMs(Parts * PartMs);
            return sent && connection.send(std::string_view(content).substr(Bytes - Tail));
        }
        bool sent = connection.send(answerHeader(request, 200, std::nullopt));
        for (int part = 0; sent && part < Parts; ++part) {
            sent = connection.send(chunkOf(std::string_view(content).substr(Bytes / Parts * part, part + 1 == Parts ? Bytes : Bytes / Parts)));
            sleepMs(PartMs);
        }
        return sent && connection.send("0\r\n\r\n");
    };
    deployment.addBackend("i-files-1", "files", 6, work);
    deployment.addBackend("i-files-2", "files", 6, work);
    deployment.configure(7, {{"files", "/files/", "files", "download", 2, 14'000, 10'000}}, {"files"});
    deployment.startDaemons(3, 1000);
    deployment.awaitReady();
    std::vector<Answer> answers(Clients);
    std::vector<std::function<void()>> clients;
    for (unsigned client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            const std::string id = "stop-" + number(client);
            const std::string path = (client % 2 == 0 ? "/files/report/" : "/files/export/") + number(client);
            context.record.line("send " + id + " to edge-0, GET " + std::string(path));
            answers[client] = call(deployment.front(0), "GET", path, id, DeadlineMs, true);
            context.record.line(describe(id, answers[client]));
        });
    }
    clients.emplace_back([&] {
        sleepMs(3500);
        if (context.trouble) {
            deployment.signal(0, SIGTERM);
            sleepMs(GraceMs);
            if (!deployment.ended(0)) {
                deployment.signal(0, SIGKILL);
            }
        }
    });
    runAll(std::move(clients));
    const std::string content = contentOf(1, Bytes);
    unsigned foreign = 0;
    unsigned malformed = 0;
    for (unsigned client = 0; client < Clients; ++client) {
        const Answer &answer = answers[client];
        const bool wrong = answer.complete && answer.status == 200 && answer.body != content;
        if (wrong) {
            context.record.line("stop-" + number(client) + ": a complete 200 with the seal of its backend, which ends with \""
                                + answer.body.substr(answer.body.size() - Tail, 24) + "...\" in place of \"" + content.substr(Bytes - Tail, 24) + "...\"");
        }
        foreign += wrong ? 1 : 0;
        malformed += answer.problem.empty() ? 0 : 1;
    }
    return conclude(context.record, foreign + malformed > 0, "MIXED",
                    number(foreign) + " complete successes with a body that is not the backend's, " + number(malformed)
                        + " answers with bytes that are no answer in the protocol, of " + number(Clients));
}

// Two of five backends turn slow while they send long answers. Backends list their own state, so their answers differ in length.
Verdict hedgeIntoStream(const Context &context)
{
    static constexpr std::size_t Longer = 1'900'000;
    static constexpr std::size_t Shorter = 950'000;
    static constexpr std::size_t PieceBytes = 100'000;
    static constexpr std::int64_t PieceMs = 25;
    static constexpr std::int64_t SlowFactor = 4;
    static constexpr std::int64_t SlowForMs = 9000;
    static constexpr std::int64_t GapMs = 100;
    static constexpr unsigned Clients = 90;
    static constexpr unsigned Earlier = 60;
    Deployment deployment(context.daemonProgram, context.record, "hedge");
    std::atomic<std::int64_t> slowUntil {0};
    const auto work = [&slowUntil](Backend &backend, const Request &request, Socket &connection) {
        const auto item = request.target.rfind("/item/");
        if (item != std::string::npos) {
            // Work of about 500 ms with a spread of 0.6.
            static constexpr std::array<std::int64_t, 6> Times {220, 330, 440, 560, 760, 1150};
            const auto place = static_cast<std::size_t>(std::stoul(request.target.substr(item + 6)));
            sleepMs(Times[place % Times.size()]);
            return connection.send(answerHeader(request, 200, 2000)) && connection.send(contentOf(3, 2000));
        }
        const bool isLonger = backend.name() == "i-list-1" || backend.name() == "i-list-2";
        const bool slow = isLonger && nowMs() < slowUntil;
        const std::string content = isLonger ? contentOf(1, Longer) : contentOf(2, Shorter);
        bool sent = connection.send(answerHeader(request, 200, content.size()));
        for (std::size_t at = 0; sent && at < content.size(); at += PieceBytes) {
            sleepMs(slow ? PieceMs * SlowFactor : PieceMs);
            sent = connection.send(std::string_view(content).substr(at, PieceBytes));
        }
        return sent;
    };
    for (const auto *name : {"i-list-1", "i-list-2", "i-list-3", "i-list-4", "i-list-5"}) {
        deployment.addBackend(name, "list", 6, work);
    }
    deployment.configure(7, {{"list", "/list/", "list", "idempotent", 2, 10'000, 3000}}, {"list"});
    deployment.startDaemons(3, 1000);
    deployment.awaitReady();
    std::vector<std::function<void()>> earlier;
    for (unsigned request = 0; request < Earlier; ++request) {
        earlier.emplace_back([&deployment, request] {
            sleepMs(100 * request);
            call(deployment.front(request % 3), "GET", "/list/item/" + number(request), "item-" + number(request), DeadlineMs, false);
        });
    }
    runAll(std::move(earlier));
    slowUntil = context.trouble ? nowMs() + SlowForMs : 0;
    std::vector<Answer> answers(Clients);
    std::vector<std::function<void()>> clients;
    for (unsigned client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            sleepMs(GapMs * client);
            const std::string id = "list-" + number(client);
            context.record.line("send " + id + " GET /list/all/" + number(client) + " to edge-" + number(client % 3));
            answers[client] = call(deployment.front(client % 3), "GET", "/list/all/" + number(client), id, DeadlineMs, false);
            context.record.line(describe(id, answers[client]));
        });
    }
    runAll(std::move(clients));
    unsigned wrong = 0;
    unsigned cut = 0;
    const std::string longer = contentOf(1, Longer);
    const std::string shorter = contentOf(2, Shorter);
    for (unsigned client = 0; client < Clients; ++client) {
        const Answer &answer = answers[client];
        const bool success = answer.complete && answer.status == 200;
        if (success && answer.body != longer && answer.body != shorter) {
            ++wrong;
            const auto place = answer.body.find("HTTP/1.1");
            context.record.line("list-" + number(client) + ": a complete 200 with the seal of its backend; byte " + number(static_cast<std::int64_t>(place))
                                + " of its body begins another answer: \"" + (place == std::string::npos ? "" : answer.body.substr(place, 16)) + "\"");
        }
        cut += success ? 0 : 1;
    }
    return conclude(context.record, wrong > 0, "MIXED",
                    number(wrong) + " complete successes with a body that is no backend's, " + number(cut) + " answers cut or refused, of " + number(Clients));
}

// A planned stop while clients on kept connections read large answers slowly.
Verdict stopSlowReader(const Context &context)
{
    static constexpr std::size_t Bytes = 520'000;
    static constexpr unsigned Clients = 8;
    Deployment deployment(context.daemonProgram, context.record, "slow");
    const auto work = [](Backend & /*backend*/, const Request &request, Socket &connection) {
        const bool small = request.target.find("/small/") != std::string::npos;
        sleepMs(100);
        const std::string content = contentOf(1, small ? 500 : Bytes);
        return connection.send(answerHeader(request, 200, content.size())) && connection.send(content);
    };
    deployment.addBackend("i-files-1", "files", 4, work);
    deployment.addBackend("i-files-2", "files", 4, work);
    deployment.configure(7, {{"files", "/files/", "files", "download", 2, 10'000, 1200}}, {"files"});
    deployment.startDaemons(3, 20);
    deployment.awaitReady();
    std::vector<Answer> answers(Clients);
    std::atomic<std::int64_t> stoppedAt {0};
    std::vector<std::function<void()>> clients;
    for (unsigned client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            Socket connection = Socket::connect(deployment.front(0), 8192);
            std::string buffer;
            const std::string first = "small-" + number(client);
            connection.send(requestText("GET", "/files/small/" + number(client), first, 8000));
            const Answer before = readAnswer(connection, buffer, {}, nowMs() + 8000);
            context.record.line(describe(first, before) + " (keeps the connection)");
            const std::string id = "slow-" + number(client);
            const std::int64_t sentAt = nowMs();
            context.record.line("send " + id + " GET /files/large/" + number(client) + " to edge-0");
            connection.send(requestText("GET", "/files/large/" + number(client), id, 8000));
            answers[client] = readAnswer(connection, buffer, {38, 4096}, sentAt + 8000);
            answers[client].sentAt = sentAt;
            context.record.line(describe(id, answers[client]));
        });
    }
    clients.emplace_back([&] {
        sleepMs(1100);
        if (context.trouble) {
            deployment.signal(0, SIGTERM);
            stoppedAt = nowMs();
            sleepMs(GraceMs);
            if (!deployment.ended(0)) {
                deployment.signal(0, SIGKILL);
            }
        }
    });
    runAll(std::move(clients));
    unsigned lost = 0;
    for (const auto &answer : answers) {
        const bool inTime = answer.endedAt - answer.sentAt < 7500;
        const bool counted = !answer.complete && inTime && (answer.ending == "reset" || answer.ending == "closed");
        lost += counted && (!context.trouble || (answer.endedAt > stoppedAt && answer.endedAt < stoppedAt + GraceMs * 5 / 6)) ? 1 : 0;
    }
    return conclude(context.record, lost > 0, "LOST",
                    number(lost) + " requests whose backends had answered ended without a complete answer, of " + number(Clients));
}

// Clients leave in the middle of their downloads; afterwards the others' downloads go on.
Verdict leaveMidDownload(const Context &context)
{
    static constexpr std::size_t Bytes = 3'000'000;
    static constexpr unsigned Backends = 6;
    static constexpr unsigned Slots = 2;
    static constexpr std::int64_t WorkMs = 700;
    static constexpr std::int64_t LeaveFromMs = 3000;
    static constexpr std::int64_t LeaveToMs = 12'000; // two stretches, of for_s = 4 and 5
    static constexpr unsigned MaxLeaving = 9;
    static constexpr std::int64_t EndMs = 36'000;
    static constexpr std::int64_t GapMs = 280; // between two requests
    static constexpr std::int64_t CalmMs = 2 * 3000 + DrainMs;
    Deployment deployment(context.daemonProgram, context.record, "leave");
    std::mutex mutex;
    std::map<std::string, std::vector<std::int64_t>> arrivals;
    const auto work = [](Backend & /*backend*/, const Request &request, Socket &connection) {
        sleepMs(WorkMs);
        return connection.send(answerHeader(request, 200, Bytes)) && connection.send(contentOf(1, Bytes));
    };
    for (unsigned backend = 0; backend < Backends; ++backend) {
        const std::string name = "i-files-" + number(backend);
        deployment.addBackend(name, "files", Slots, work).watch([&mutex, &arrivals, name](const Request & /*request*/) {
            const std::lock_guard lock(mutex);
            arrivals[name].push_back(nowMs());
        });
    }
    deployment.configure(7, {{"files", "/files/", "files", "download", 2, 6000, 2000}}, {"files"});
    deployment.startDaemons(3, 50);
    deployment.awaitReady();
    const std::int64_t start = nowMs();
    const auto total = static_cast<unsigned>(EndMs / GapMs);
    std::vector<Answer> answers(total);
    std::vector<std::thread> clients;
    unsigned leaving = 0;
    unsigned inWindow = 0;
    for (unsigned client = 0; client < total; ++client) {
        const std::int64_t due = static_cast<std::int64_t>(client) * GapMs;
        sleepMs(start + due - nowMs());
        const bool window = due >= LeaveFromMs && due < LeaveToMs;
        inWindow += window ? 1 : 0;
        const bool leaves = context.trouble && window && client % 10 < 3 && leaving < MaxLeaving; // share = 0.3 at most
        leaving += leaves ? 1 : 0;
        clients.emplace_back([&, client, leaves] {
            const std::string id = "file-" + number(client);
            context.record.line("send " + id + " to edge-" + number(client % 3));
            answers[client] = call(deployment.front(client % 3), "GET", "/files/" + number(client), id, 6000, true, {0, 65536, leaves ? Bytes / 4 : 0});
            context.record.line(describe(id, answers[client]));
        });
    }
    for (auto &client : clients) {
        client.join();
    }
    context.record.line(number(leaving) + " of " + number(inWindow) + " clients left in the middle of their downloads");
    // FLOOR: any span of 2 s in which the backends have been sound for twice contact-ms.
    unsigned worst = 0;
    unsigned spans = 0;
    for (std::int64_t from = LeaveToMs + CalmMs; from + 2000 <= EndMs - 2500; from += 250) {
        unsigned reached = 0;
        for (const auto &[name, times] : arrivals) {
            reached += std::any_of(times.begin(), times.end(), [&](std::int64_t at) { return at - start >= from && at - start < from + 2000; }) ? 1 : 0;
        }
        unsigned sent = 0;
        unsigned unserved = 0;
        for (const auto &answer : answers) {
            const bool inside = answer.sentAt - start >= from && answer.sentAt - start < from + 2000;
            sent += inside ? 1 : 0;
            unserved += inside && !(answer.complete && answer.status == 200) ? 1 : 0;
        }
        const bool broken = reached > 0 && reached < 0.7 * Backends && unserved > 0.1 * sent && unserved < 0.5 * sent;
        spans += broken ? 1 : 0;
        worst = std::max(worst, unserved);
        context.record.line("from " + number(from) + " ms for 2 s: " + number(reached) + " of " + number(Backends) + " sound backends get requests, "
                            + number(unserved) + " of " + number(sent) + " requests are not served" + (broken ? " (FLOOR)" : ""));
    }
    return conclude(context.record, spans > 0, "FLOOR", number(spans) + " spans of 2 s break it, more than 8 s after the last client left");
}

// Another writer has an entry in the store that can't be read; then a backend is drained as planned.
Verdict unreadableEntry(const Context &context)
{
    Deployment deployment(context.daemonProgram, context.record, "entry");
    std::mutex mutex;
    std::map<std::string, std::vector<std::pair<std::int64_t, std::string>>> arrivals;
    const auto work = [](Backend & /*backend*/, const Request &request, Socket &connection) {
        sleepMs(50);
        const std::string content = contentOf(1, 600);
        return connection.send(answerHeader(request, 200, content.size())) && connection.send(content);
    };
    for (unsigned backend = 0; backend < 4; ++backend) {
        const std::string name = "i-list-" + number(backend);
        deployment.addBackend(name, "list", 4, work).watch([&mutex, &arrivals, name](const Request &request) {
            const std::lock_guard lock(mutex);
            arrivals[name].emplace_back(nowMs(), request.field("plumsill-request-id"));
        });
    }
    deployment.configure(7, {{"list", "/list/", "list", "idempotent", 2, 4000, 1000}}, {"list"});
    deployment.startDaemons(3, 1000);
    deployment.awaitReady();
    std::atomic<bool> stop {false};
    std::atomic<unsigned> served {0};
    std::vector<std::thread> clients;
    for (unsigned client = 0; client < 6; ++client) {
        clients.emplace_back([&, client] {
            for (unsigned request = 0; !stop; ++request) {
                const std::string id = "list-" + number(client) + "-" + number(request);
                context.record.line("send " + id + " to edge-" + number(client % 3));
                const Answer answer = call(deployment.front(client % 3), "GET", "/list/" + number(request), id, 3000, true);
                context.record.line(describe(id, answer));
                served += answer.complete && answer.status == 200 ? 1 : 0;
                sleepMs(60);
            }
        });
    }
    sleepMs(3000);
    if (context.trouble) {
        // The service's name was cut in the middle of a character beyond the first 65,536, which JSON spells as a pair.
        deployment.store().put("servers", "foreign-1",
                               R"({"service":"list \ud83d","address":"127.0.0.1:9","zone":"z1","version":"1","slots":1,"state":"ready",)"
                               R"("warmup-left-ms":0,"sequence":1,"born":1764900000000})");
        context.record.line("another writer's entry foreign-1 is in the store; its service is \"list \\ud83d\"");
    }
    sleepMs(4000);
    const Backend &drained = *deployment.backends()[0];
    const std::int64_t ackAt = deployment.store().put("servers", drained.name(), drained.entry("z1", "draining"));
    context.record.line("the store has acknowledged that " + drained.name() + " is draining");
    sleepMs(8000);
    stop = true;
    for (auto &client : clients) {
        client.join();
    }
    const auto &times = arrivals[drained.name()];
    const auto late = std::count_if(times.begin(), times.end(), [ackAt](const auto &arrival) { return arrival.first > ackAt + DrainMs; });
    for (const auto &[at, id] : times) {
        if (at > ackAt + DrainMs) {
            context.record.line(id + " reached " + drained.name() + " " + number(at - ackAt) + " ms after the ack");
        }
    }
    context.record.line(number(served) + " requests were served");
    if (served == 0) {
        throw CannotRun {"no request was served"};
    }
    return conclude(context.record, late > 0, "DRAIN", number(late) + " requests reached the draining backend later than drain-ms after the ack");
}

// Some clients send downloads behind each other on a connection and leave before the first has been answered. Other clients place orders on kept
// connections meanwhile.
Verdict leavePipelined(const Context &context)
{
    static constexpr std::size_t Bytes = 1'200'000;
    static constexpr unsigned Daemons = 3;
    static constexpr unsigned Buyers = 18;
    static constexpr unsigned Behind = 6;
    // Twice two stretches, of for_s = 4 and 5.
    static constexpr std::int64_t LeaveFromMs = 4000;
    static constexpr std::int64_t LeaveForMs = 9000;
    static constexpr std::int64_t SecondLeaveFromMs = 18'000;
    static constexpr std::int64_t EndMs = 33'000;
    static constexpr std::int64_t GapMs = 150; // between two clients that download
    static constexpr std::int64_t LeaveAfterMs = 500;
    static constexpr std::int64_t RestartMs = 500;
    static constexpr unsigned Tolerated = 3;
    static constexpr std::int64_t ContactMs = 3000;
    Deployment deployment(context.daemonProgram, context.record, "pipelined");
    const auto files = [](Backend & /*backend*/, const Request &request, Socket &connection) {
        sleepMs(request.target.ends_with("/0") ? 700 : 150);
        return connection.send(answerHeader(request, 200, Bytes)) && connection.send(contentOf(1, Bytes));
    };
    std::mutex mutex;
    std::set<std::string> ran;
    const auto orders = [](Backend & /*backend*/, const Request &request, Socket &connection) {
        sleepMs(400);
        return connection.send(answerHeader(request, 200, 400)) && connection.send(contentOf(2, 400));
    };
    for (unsigned backend = 0; backend < 9; ++backend) {
        deployment.addBackend("i-files-" + number(backend), "files", 6, files);
    }
    for (unsigned backend = 0; backend < 3; ++backend) {
        deployment.addBackend("i-orders-" + number(backend), "orders", 8, orders).watch([&mutex, &ran](const Request &request) {
            const std::lock_guard lock(mutex);
            ran.insert(request.field("plumsill-request-id"));
        });
    }
    deployment.configure(7, {{"files", "/files/", "files", "download", 2, 8000, 2000}, {"orders", "/orders/", "orders", "non_idempotent", 2, 6000, 1000}},
                         {"files", "orders"});
    deployment.startDaemons(Daemons, 200);
    deployment.awaitReady();
    const std::int64_t start = nowMs();
    std::atomic<unsigned> served {0};
    std::vector<unsigned> lost(Daemons, 0); // by the daemon that took the order, while in touch
    std::vector<std::int64_t> startedAt(Daemons, 0);
    std::vector<std::function<void()>> clients;
    for (unsigned buyer = 0; buyer < Buyers; ++buyer) {
        clients.emplace_back([&, buyer] {
            Socket connection;
            std::string buffer;
            bool kept = false; // an earlier order on the connection was answered
            for (unsigned order = 0; nowMs() < start + EndMs; ++order) {
                if (!connection.open()) {
                    buffer.clear();
                    kept = false;
                    connection = Socket::connect(deployment.front(buyer % Daemons));
                    sleepMs(connection.open() ? 0 : 100);
                    continue;
                }
                const std::string id = "order-" + number(buyer) + "-" + number(order);
                const std::int64_t sentAt = nowMs();
                Answer answer;
                context.record.line("send " + id + " to edge-" + number(buyer % Daemons));
                if (connection.send(requestText("POST", "/orders/" + number(order), id, 6000))) {
                    answer = readAnswer(connection, buffer, {}, nowMs() + 6000);
                    answer.sentAt = sentAt;
                }
                context.record.line(describe(id, answer));
                served += answer.complete && answer.status == 200 ? 1 : 0;
                const bool closed = answer.status == 0 && (answer.ending == "closed" || answer.ending == "reset");
                const std::lock_guard lock(mutex);
                const bool inTouch = sentAt - startedAt[buyer % Daemons] > ContactMs;
                if (kept && closed && inTouch && ran.contains(id)) {
                    ++lost[buyer % Daemons];
                    context.record.line(id + " was passed on to a backend, and edge-" + number(buyer % Daemons) + " ended its kept connection (" + answer.ending
                                        + ") without an answer");
                }
                kept = answer.complete;
                if (!answer.complete || answer.fields["connection"] == "close") {
                    connection.close();
                }
            }
        });
    }
    unsigned leaving = 0;
    unsigned inWindow = 0;
    for (std::int64_t due = 0; due < EndMs - 4000; due += GapMs) {
        const bool window = (due >= LeaveFromMs && due < LeaveFromMs + LeaveForMs) || (due >= SecondLeaveFromMs && due < SecondLeaveFromMs + LeaveForMs);
        const auto client = static_cast<unsigned>(due / GapMs);
        const bool leaves = context.trouble && window && client % 10 < 3; // share = 0.3
        inWindow += window ? 1 : 0;
        leaving += leaves ? 1 : 0;
        clients.emplace_back([&, client, due, leaves] {
            sleepMs(start + due - nowMs());
            Socket connection = Socket::connect(deployment.front(client % Daemons));
            std::string requests;
            for (unsigned request = 0; request < Behind; ++request) {
                requests += requestText("GET", "/files/" + number(client) + "/" + number(request), "file-" + number(client) + "-" + number(request), 8000);
            }
            context.record.line("client " + number(client) + " sends file-" + number(client) + "-0 to -" + number(Behind - 1) + " to edge-"
                                + number(client % Daemons));
            if (!connection.open() || !connection.send(requests)) {
                return;
            }
            std::string buffer;
            if (leaves) {
                sleepMs(LeaveAfterMs);
                context.record.line("client " + number(client) + " leaves " + number(Behind) + " downloads at edge-" + number(client % Daemons));
                return;
            }
            unsigned complete = 0;
            for (unsigned request = 0; request < Behind; ++request) {
                Answer answer = readAnswer(connection, buffer, {}, nowMs() + 8000);
                answer.sentAt = start + due;
                context.record.line(describe("file-" + number(client) + "-" + number(request), answer));
                complete += answer.complete && answer.status == 200 ? 1 : 0;
                if (!answer.complete) {
                    break;
                }
            }
            context.record.line("client " + number(client) + " has " + number(complete) + " of " + number(Behind) + " downloads");
        });
    }
    // The thread that starts processes must outlast them, so this one watches over the daemons.
    std::vector<unsigned> ends(Daemons, 0);
    std::thread others([&clients] { runAll(std::move(clients)); });
    while (nowMs() < start + EndMs) {
        for (unsigned daemon = 0; daemon < Daemons; ++daemon) {
            if (deployment.ended(daemon)) {
                ++ends[daemon];
                context.record.line("the process of edge-" + number(daemon) + " has ended by itself: " + deployment.howEnded(daemon));
                sleepMs(RestartMs);
                deployment.restart(daemon);
                const std::lock_guard lock(mutex);
                startedAt[daemon] = nowMs();
            }
        }
        sleepMs(20);
    }
    others.join();
    for (unsigned daemon = 0; daemon < Daemons; ++daemon) {
        context.record.line("edge-" + number(daemon) + " ended by itself " + number(ends[daemon]) + " times");
    }
    context.record.line(number(leaving) + " of " + number(inWindow) + " clients left; " + number(served) + " orders were served");
    const unsigned most = *std::max_element(lost.begin(), lost.end());
    return conclude(context.record, most > Tolerated, "LOST",
                    number(most) + " orders on kept connections were passed on to a sound backend by one machine in touch and got no answer; "
                        + number(std::accumulate(lost.begin(), lost.end(), 0U)) + " by all machines");
}

// Clients that send many reads behind each other leave before the answers.
Verdict leaveManyReads(const Context &context)
{
    static constexpr unsigned Clients = 10;
    static constexpr unsigned Behind = 24;
    static constexpr std::int64_t WorkMs = 2500;
    Deployment deployment(context.daemonProgram, context.record, "pipelined");
    std::mutex mutex;
    std::map<std::string, std::int64_t> arrivedAt;
    std::map<std::string, std::int64_t> workedUntil;
    const auto work = [&mutex, &workedUntil](Backend & /*backend*/, const Request &request, Socket &connection) {
        const std::string content = contentOf(1, 600);
        // A backend drops a request when its connection closes.
        const std::string ended = connection.receive(1, WorkMs);
        {
            const std::lock_guard lock(mutex);
            workedUntil[request.field("plumsill-request-id")] = nowMs();
        }
        if (connection.ending() != "timeout") {
            return false;
        }
        return ended.empty() && connection.send(answerHeader(request, 200, content.size())) && connection.send(content);
    };
    for (unsigned backend = 0; backend < 12; ++backend) {
        deployment.addBackend("i-list-" + number(backend), "list", 20, work).watch([&mutex, &arrivedAt](const Request &request) {
            const std::lock_guard lock(mutex);
            arrivedAt[request.field("plumsill-request-id")] = nowMs();
        });
    }
    deployment.configure(7, {{"list", "/list/", "list", "idempotent", 1, 8000, 4000}}, {"list"});
    deployment.startDaemons(3, 1000);
    deployment.awaitReady();
    std::vector<std::int64_t> leftAt(Clients);
    std::vector<std::function<void()>> clients;
    for (unsigned client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            Socket connection = Socket::connect(deployment.front(client % 3));
            std::string requests;
            for (unsigned request = 0; request < Behind; ++request) {
                requests += requestText("GET", "/list/" + number(request), "read-" + number(client) + "-" + number(request), 8000);
            }
            connection.send(requests);
            sleepMs(1000);
            if (!context.trouble) {
                std::string buffer;
                for (unsigned request = 0; request < Behind; ++request) {
                    readAnswer(connection, buffer, {}, nowMs() + 8000);
                }
            }
            connection.close();
            leftAt[client] = nowMs();
            context.record.line("client " + number(client) + (context.trouble ? " left" : " has its answers"));
        });
    }
    runAll(std::move(clients));
    sleepMs(6000);
    unsigned late = 0;
    unsigned working = 0;
    unsigned wouldLast = 0;
    for (unsigned client = 0; client < Clients; ++client) {
        for (unsigned request = 0; request < Behind; ++request) {
            const std::string id = "read-" + number(client) + "-" + number(request);
            const auto arrival = arrivedAt.find(id);
            if (arrival == arrivedAt.end()) {
                continue;
            }
            late += arrival->second > leftAt[client] + GoneMs ? 1 : 0;
            const bool lasts = arrival->second <= leftAt[client] && arrival->second + WorkMs > leftAt[client] + GoneMs;
            wouldLast += lasts ? 1 : 0;
            working += lasts && workedUntil[id] > leftAt[client] + GoneMs ? 1 : 0;
        }
    }
    const bool broken = late > 10 || 4 * working > wouldLast;
    return conclude(context.record, broken, "GONE",
                    number(late) + " requests reached a backend over half a second after their client had left; backends were at work then on "
                        + number(working) + " of " + number(wouldLast) + " that would have lasted so long");
}
}
