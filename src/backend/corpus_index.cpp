/** @file corpus_index.cpp Loads the corpus, partitions it and searches one shard. */
#include "corpus_index.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>

namespace cornelspring {

std::vector<document> load_corpus(std::string const& directory, std::size_t max_documents)
{
    std::vector<std::filesystem::path> files;
    std::error_code failure;
    for (auto const& entry : std::filesystem::directory_iterator(directory, failure)) {
        if (entry.is_regular_file() && !entry.path().has_extension()) files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    std::vector<document> corpus;
    for (auto const& file : files) {
        std::ifstream in(file);
        std::string line;
        std::string text;
        auto flush = [&] {
            if (!text.empty() && (max_documents == 0 || corpus.size() < max_documents)) {
                corpus.push_back({corpus.size(), text});
            }
            text.clear();
        };
        while (std::getline(in, line)) {
            if (line == "%") {
                flush();
            } else {
                text += text.empty() ? line : "\n" + line;
            }
        }
        flush();
    }
    if (corpus.empty()) {
        throw error(error_kind::not_found, "no documents in '" + directory + "'.",
                    "Install Debian's fortunes package (scripts/setup does) or set corpus.directory.");
    }
    return corpus;
}

std::int32_t shard_of(std::uint64_t doc, std::int64_t version, std::int32_t shard_count)
{
    auto const hash_value = std::hash<std::string>{}(std::to_string(doc) + "/" + std::to_string(version));
    return static_cast<std::int32_t>(hash_value % static_cast<std::size_t>(shard_count));
}

shard_index::shard_index(std::vector<document> const& corpus, std::int32_t shard, std::int64_t version,
                         std::int32_t shard_count)
{
    for (auto const& doc : corpus) {
        if (shard_of(doc.id, version, shard_count) != shard) continue;
        auto const local = static_cast<std::uint32_t>(m_documents.size());
        m_documents.push_back(doc);
        std::map<std::string, std::uint32_t> counts;
        for (auto const& term : split_terms(doc.text))
            ++counts[term];
        for (auto const& [term, count] : counts)
            m_postings[term].emplace_back(local, count);
    }
}

std::vector<hit> shard_index::search(std::vector<std::string> const& terms, std::size_t k) const
{
    std::unordered_map<std::uint32_t, double> scores;
    double const total = static_cast<double>(m_documents.size());
    for (auto const& term : terms) {
        auto const found = m_postings.find(term);
        if (found == m_postings.end()) continue;
        double const idf = std::log(1.0 + total / static_cast<double>(found->second.size()));
        for (auto const& [local, count] : found->second)
            scores[local] += count * idf;
    }
    std::vector<hit> hits;
    hits.reserve(scores.size());
    for (auto const& [local, score] : scores) {
        hits.push_back({m_documents[local].id, score, m_documents[local].text});
    }
    auto const better = [](hit const& a, hit const& b) {
        return a.score != b.score ? a.score > b.score : a.doc < b.doc;
    };
    std::size_t const result_count = std::min(k, hits.size());
    std::partial_sort(hits.begin(), hits.begin() + static_cast<std::ptrdiff_t>(result_count), hits.end(), better);
    hits.resize(result_count);
    return hits;
}

} // namespace cornelspring
