package forward

import (
	"net/http"
	"strconv"
	"strings"

	"kestrelspread/internal/node/routing"
)

// maxPromptParts bounds the parts of a prompt that are looked at.
const maxPromptParts = 1024

// promptParts reads X-Kestrelspread-Prompt-Prefix: ID:TOKENS separated by commas, the ID in hex. What can't be read ends
// the list, since only a whole prefix can be found in a cache.
func promptParts(header http.Header) []routing.PromptPart {
	text := firstValue(header, headerPromptPrefix)
	if text == "" {
		return nil
	}
	parts := make([]routing.PromptPart, 0, min(strings.Count(text, ",")+1, maxPromptParts))
	for field := range strings.SplitSeq(text, ",") {
		part, ok := promptPart(field)
		if !ok || len(parts) == maxPromptParts {
			break
		}
		parts = append(parts, part)
	}
	return parts
}

func promptPart(text string) (routing.PromptPart, bool) {
	id, count, found := strings.Cut(strings.TrimSpace(text), ":")
	if !found {
		return routing.PromptPart{}, false
	}
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return routing.PromptPart{}, false
	}
	tokens, err := strconv.ParseUint(count, 10, 31)
	if err != nil {
		return routing.PromptPart{}, false
	}
	return routing.PromptPart{ID: number, Tokens: int(tokens)}, true
}

// tokenCounts reads X-Kestrelspread-Token-Count: the prompt's tokens and the most that may be generated.
func tokenCounts(header http.Header) (tokensIn, tokensOut int) {
	in, out, _ := strings.Cut(firstValue(header, headerTokenCount), ",")
	return tokenCount(in), tokenCount(out)
}

func tokenCount(text string) int {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, 31)
	if err != nil {
		return 0
	}
	return int(count)
}

// serverLoad reads X-Kestrelspread-Server-Load: requests running, requests waiting and slots; nil where it is not told.
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

// firstValue gives the first value of a header whose name is in the canonical form.
func firstValue(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// fraction maps text to [0, 1), evenly and the same at every call.
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
