/** @file test_index.cpp Partition of the corpus into shards, and search in a shard. */
#include "../src/backend/corpus_index.hpp"

#include <doctest/doctest.h>

using namespace cornelspring;

namespace {

std::vector<document> small_corpus()
{
    return {{0, "the sea is calm"}, {1, "sailing on the sea"}, {2, "legal aid for all"}, {3, "sea sea sea"}};
}

} // namespace

TEST_CASE("every document belongs to exactly one shard of each index version")
{
    auto const corpus = small_corpus();
    for (std::int64_t version = 1; version <= 3; ++version) {
        std::size_t total = 0;
        for (std::int32_t shard = 0; shard < 3; ++shard)
            total += shard_index(corpus, shard, version, 3).size();
        CHECK(total == corpus.size());
    }
}

TEST_CASE("search ranks by term frequency and returns at most k hits")
{
    auto const corpus = small_corpus();
    shard_index const all(corpus, 0, 1, 1);
    auto const hits = all.search({"sea"}, 2);
    REQUIRE(hits.size() == 2);
    CHECK(hits[0].doc == 3);
    CHECK(all.search({"nothing"}, 5).empty());
}
