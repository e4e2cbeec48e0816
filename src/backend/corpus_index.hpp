/** @file corpus_index.hpp Documents of the text corpus, their partition into shards, and a term index per shard. */
#pragma once

#include <cornelspring/protocol.hpp>

#include <unordered_map>

namespace cornelspring {

/** One document of the corpus. */
struct document {
    std::uint64_t id = 0; ///< Position in the corpus, from 0.
    std::string text;     ///< The text.
};

/**
 * Reads the quotation files of a fortune directory: every file without an extension, in name order,
 * split at lines holding only "%".
 * @param directory folder such as /usr/share/games/fortunes.
 * @param max_documents stop after this many (0: all).
 * @return the documents, numbered from 0.
 * @throw error not_found when the folder holds no documents.
 */
std::vector<document> load_corpus(std::string const& directory, std::size_t max_documents);

/**
 * @return the shard that holds @p doc in index version @p version; each version partitions the
 * corpus differently, as a repartitioning does.
 * @param doc document id. @param version index version. @param shard_count shards of the service.
 */
std::int32_t shard_of(std::uint64_t doc, std::int64_t version, std::int32_t shard_count);

/** An inverted index of the documents of one shard in one index version. */
class shard_index {
public:
    /**
     * Indexes the documents of @p corpus that fall in @p shard.
     * @param corpus all documents. @param shard this shard. @param version index version.
     * @param shard_count shards of the service.
     */
    shard_index(std::vector<document> const& corpus, std::int32_t shard, std::int64_t version,
                std::int32_t shard_count);
    /**
     * @return the @p k best hits for @p terms, best first; score is the sum over terms of
     * term frequency times log(1 + documents / documents with the term); ties go to the lower id.
     */
    std::vector<hit> search(std::vector<std::string> const& terms, std::size_t k) const;
    /** @return documents in the shard. */
    std::size_t size() const { return m_documents.size(); }

private:
    std::vector<document> m_documents; ///< Documents of this shard.
    std::unordered_map<std::string, std::vector<std::pair<std::uint32_t, std::uint32_t>>>
        m_postings; ///< term -> (local doc, count).
};

} // namespace cornelspring
