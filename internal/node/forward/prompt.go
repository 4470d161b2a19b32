package forward

import (
	"net/http"
	"strconv"
	"strings"

	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/routing/prompt"
)

// maxPromptParts bounds the parts of a prompt that are considered.
const maxPromptParts = 1024

// promptParts parses X-Kestrelspread-Prompt-Prefix: ID:TOKENS separated by commas, the ID in hex.
// An invalid part ends the list, since a cache can only hold a complete prefix.
func promptParts(header http.Header) []prompt.Part {
	text := firstValue(header, headerPromptPrefix)
	if text == "" {
		return nil
	}
	parts := make([]prompt.Part, 0, min(strings.Count(text, ",")+1, maxPromptParts))
	for field := range strings.SplitSeq(text, ",") {
		part, ok := promptPart(field)
		if !ok || len(parts) == maxPromptParts {
			break
		}
		parts = append(parts, part)
	}
	return parts
}

// promptPart parses one ID:TOKENS.
func promptPart(text string) (prompt.Part, bool) {
	id, count, found := strings.Cut(strings.TrimSpace(text), ":")
	if !found {
		return prompt.Part{}, false
	}
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return prompt.Part{}, false
	}
	tokens, err := strconv.ParseUint(count, 10, 31)
	if err != nil {
		return prompt.Part{}, false
	}
	return prompt.Part{ID: number, Tokens: int(tokens)}, true
}

// tokenCounts parses X-Kestrelspread-Token-Count: the prompt's tokens and the maximum that may be
// generated.
func tokenCounts(header http.Header) (tokensIn, tokensOut int) {
	in, out, _ := strings.Cut(firstValue(header, headerTokenCount), ",")
	return tokenCount(in), tokenCount(out)
}

// tokenCount parses a number of tokens; 0 where it is invalid.
func tokenCount(text string) int {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, 31)
	if err != nil {
		return 0
	}
	return int(count)
}

// serverLoad parses X-Kestrelspread-Server-Load: requests running, requests waiting and slots; nil
// where it is missing or invalid.
func serverLoad(header http.Header) *routing.Load {
	text := firstValue(header, headerServerLoad)
	if text == "" {
		return nil
	}
	var numbers [3]int
	for i := range numbers {
		field, rest, _ := strings.Cut(text, ",")
		number, err := strconv.ParseUint(strings.TrimSpace(field), 10, 31)
		if err != nil {
			return nil
		}
		numbers[i], text = int(number), rest
	}
	return &routing.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// firstValue returns the first value of a header whose name is in canonical form; empty: none.
func firstValue(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// fraction hashes text to [0, 1), uniformly and deterministically (FNV-1a with a final mix).
func fraction(seed uint64, text string) float64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	hash := seed ^ offset
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * prime
	}
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}
