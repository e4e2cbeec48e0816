/** @file test_merge.cpp Tests of merging the hits of shards into one ranked list. */
#include <cornelspring/state.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;

TEST_CASE("merge keeps the best k hits by score, and orders ties by document id")
{
    std::vector<std::vector<hit>> lists{{{1, 5.0, "a"}, {2, 1.0, "b"}}, {{3, 5.0, "c"}, {4, 3.0, "d"}}, {}};
    auto const merged = merge_top_k(lists, 3);
    REQUIRE(merged.size() == 3);
    CHECK(merged[0].doc == 1);
    CHECK(merged[1].doc == 3);
    CHECK(merged[2].doc == 4);
}

TEST_CASE("merge keeps a document once and handles fewer hits than k")
{
    std::vector<std::vector<hit>> lists{{{7, 2.0, "x"}}, {{7, 2.0, "x"}}};
    auto const merged = merge_top_k(lists, 10);
    REQUIRE(merged.size() == 1);
    CHECK(merged[0].doc == 7);
    CHECK(merge_top_k({}, 5).empty());
}
