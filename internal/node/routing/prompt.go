package routing

// PromptPart is one part of a prompt, as X-Kestrelspread-Prompt-Prefix lists them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// stickyPart is the part of a prompt by which its broker is found without an exchange: the deepest that is shared, as the
// last one belongs to the request or its session (PROTOCOL.md, "Requests").
func stickyPart(parts []PromptPart) (PromptPart, bool) {
	switch n := len(parts); n {
	case 0:
		return PromptPart{}, false
	case 1:
		return parts[0], true
	default:
		return parts[n-2], true
	}
}

// sharedParts are those that other requests may use as well.
func sharedParts(parts []PromptPart) []PromptPart {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// affinityKey names what is kept together: a part under a model and wall, whatever the version.
func affinityKey(part PromptPart, model, wall string) uint64 {
	key := part.ID ^ hashText(model)
	if wall != "" {
		key ^= mix(hashText(wall))
	}
	return mix(key)
}

// weight is the weight, in a key's rendezvous order, of a broker or store whose name has the given hash: the highest keeps the
// parts. Every proxy finds the same order.
func weight(key, nameHash uint64) uint64 { return mix(key ^ nameHash) }

func hashText(text string) uint64 { return mix(SaltID(text)) }

// mix spreads a number over 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// sharedTokens is the length of the shared parts, in tokens.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}
