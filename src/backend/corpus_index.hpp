/** @file corpus_index.hpp Documents of the text corpus, their partition into shards, and one term index per shard. */
#pragma once

#include <cornelspring/protocol.hpp>

#include <unordered_map>

namespace cornelspring {

/** One document of the corpus. */
struct document {
    std::uint64_t id = 0; ///< Position in the corpus, counted from 0.
    std::string text;     ///< Text.
};

/**
 * Reads the files of a fortune directory: every file without an extension, in order of the names,
 * split into documents at lines that consist of "%" only.
 * @param directory directory such as /usr/share/games/fortunes.
 * @param max_documents largest number of documents read (0: all).
 * @return the documents, numbered from 0.
 * @throw error not_found when the directory has no documents.
 */
std::vector<document> load_corpus(std::string const& directory, std::size_t max_documents);

/**
 * @return the shard to which @p doc belongs in index version @p version. Each version partitions the
 * corpus differently, to simulate a repartitioning.
 * @param doc document id. @param version index version. @param shard_count shards of the service.
 */
std::int32_t shard_of(std::uint64_t doc, std::int64_t version, std::int32_t shard_count);

/** An inverted index of the documents of one shard in one index version. */
class shard_index {
public:
    /**
     * Indexes the documents of @p corpus that belong to @p shard.
     * @param corpus all documents. @param shard number of this shard. @param version index version.
     * @param shard_count shards of the service.
     */
    shard_index(std::vector<document> const& corpus, std::int32_t shard, std::int64_t version,
                std::int32_t shard_count);
    /**
     * @return the @p k hits with the highest scores for @p terms, in descending order. The score is the sum over
     * the terms of term frequency times log(1 + documents / documents with the term); among equal scores the lower
     * document id comes first.
     */
    std::vector<hit> search(std::vector<std::string> const& terms, std::size_t k) const;
    /** @return the number of documents in the shard. */
    std::size_t size() const { return m_documents.size(); }

private:
    std::vector<document> m_documents; ///< Documents of this shard.
    std::unordered_map<std::string, std::vector<std::pair<std::uint32_t, std::uint32_t>>>
        m_postings; ///< Term -> (index into m_documents, term frequency).
};

} // namespace cornelspring
