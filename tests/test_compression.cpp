#include <plumsill/compression.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;

namespace
{
/// Text like that of a document with @p routes routes.
std::string documentOf(unsigned routes)
{
    std::string text;
    for (unsigned i = 0; i < routes; ++i) {
        text += R"({"resource-kind": "routes", "metadata": {"name": "r-)" + std::to_string(i * 7919 % 100'003)
            + R"("}, "spec": {"host": "a.example", "path-prefix": "/)" + std::to_string(i * 104'729 % 1'000'003)
            + R"(/", "kind": "idempotent", "attempts": 2}},)";
    }
    return text;
}
}

TEST_GROUP(Compression) {};

TEST(Compression, TextIsRestored)
{
    for (const std::string &text : {std::string(), std::string("x"), std::string(100'000, 'x'), documentOf(1000)}) {
        const auto restored = decompress(compress(text), text.size());
        CHECK(restored.has_value() && *restored == text);
    }
}

// Load: a document with a thousand new routes goes to ninety members of a hub.
TEST(Compression, DocumentWithManyRoutesBecomesAFifth)
{
    const std::string text = documentOf(1000);
    CHECK(compress(text).size() * 5 < text.size());
}

TEST(Compression, DamagedTextIsRefused)
{
    const std::string text = documentOf(50);
    const std::string packed = compress(text);
    CHECK(!decompress(packed, text.size() - 1));
    CHECK(!decompress(packed, text.size() + 1));
    CHECK(!decompress(packed.substr(0, packed.size() / 2), text.size()));
    CHECK(!decompress({}, text.size()));
    CHECK(!decompress("nonsense", 5));
    CHECK(!decompress(packed, ~std::size_t {0}));
}
