package placement

import (
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// cachedPartTTL is how long a part is assumed to be cached after its last use by this host. Engines
	// evict the least recently used parts; those of a session that has ended go within about a minute.
	cachedPartTTL = 60 * cicadapitch.Second
	// maxCachedParts bounds the parts that are recorded for one engine, some 25 KB.
	maxCachedParts = 512
	// defaultCacheTokens is assumed to be the memory of an engine whose configuration names none.
	defaultCacheTokens cicadapitch.Tokens = 450_000
)

// partKey identifies a part of a prompt by a hash of its id.
type partKey uint64

// promptParts is a prompt as the choice of an engine needs it.
type promptParts struct {
	// keys and tokens are those of the shared parts.
	keys   []partKey
	tokens []cicadapitch.Tokens
	// shared is the number of tokens of the shared parts, own that of the last one.
	shared, own cicadapitch.Tokens
}

// set replaces the contents by those of a prompt. No part counts for more than the memory of an engine,
// most.
func (p *promptParts) set(prompt []catalog.PromptPart, most cicadapitch.Tokens) {
	p.keys, p.tokens, p.shared, p.own = p.keys[:0], p.tokens[:0], 0, 0
	for i, part := range prompt {
		part.Tokens = min(part.Tokens, most)
		if i == len(prompt)-1 {
			p.own = part.Tokens
			return
		}
		p.keys = append(p.keys, partKey(xxh3.HashString(part.ID)))
		p.tokens = append(p.tokens, part.Tokens)
		p.shared += part.Tokens
	}
}

// cachedParts records which shared parts of prompts this host has sent to an engine.
type cachedParts struct {
	parts map[partKey]cachedPart
	// tokens is the sum over parts.
	tokens cicadapitch.Tokens
}

type cachedPart struct {
	usedAt cicadapitch.Instant
	tokens cicadapitch.Tokens
}

// prefix returns the number of tokens at the beginning of the prompt that the engine is expected to
// have cached: a part counts only if all parts before it are cached.
func (c *cachedParts) prefix(now cicadapitch.Instant, p *promptParts) cicadapitch.Tokens {
	var n cicadapitch.Tokens
	for i, key := range p.keys {
		part, ok := c.parts[key]
		if !ok || now.Sub(part.usedAt) >= cachedPartTTL {
			return n
		}
		n += p.tokens[i]
	}
	return n
}

// record records that the engine gets a prompt, and returns the parts that it did not have. The least
// recently used parts leave the record once it holds more than capacity tokens or maxCachedParts parts.
func (c *cachedParts) record(now cicadapitch.Instant, p *promptParts, capacity cicadapitch.Tokens) (added []partKey) {
	if c.parts == nil {
		c.parts = map[partKey]cachedPart{}
	}
	for i, key := range p.keys {
		if part, ok := c.parts[key]; !ok || now.Sub(part.usedAt) >= cachedPartTTL {
			added = append(added, key)
		}
		c.tokens += p.tokens[i] - c.parts[key].tokens
		c.parts[key] = cachedPart{now, p.tokens[i]}
	}
	for len(c.parts) > 1 && (c.tokens > capacity || len(c.parts) > maxCachedParts) {
		c.evictOldest()
	}
	return added
}

// evictOldest removes the least recently used part.
func (c *cachedParts) evictOldest() {
	var oldest partKey
	first := true
	for key, part := range c.parts {
		if first || part.usedAt < c.parts[oldest].usedAt || part.usedAt == c.parts[oldest].usedAt && key < oldest {
			oldest, first = key, false
		}
	}
	c.remove(oldest)
}

// remove removes a part.
func (c *cachedParts) remove(key partKey) {
	c.tokens -= c.parts[key].tokens
	delete(c.parts, key)
}
