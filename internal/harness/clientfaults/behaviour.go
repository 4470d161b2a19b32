package clientfaults

import (
	"strings"
	"time"
)

// Behaviour is what a client does with one connection: it writes, then holds the connection until the other side closes it.
type Behaviour struct {
	Name string
	// Opening is written first.
	Opening string
	// Next returns the bytes of a later write, counted from 0, or nil after the last one; nil: there are no later writes. It may be
	// called by several clients at once.
	Next func(number int) []byte
	// Pause is the time before each later write.
	Pause time.Duration
	// ClosesWriting has the client close its half of the connection after the last write.
	ClosesWriting bool
	// IgnoresAnswers has the client read nothing.
	IgnoresAnswers bool
}

// blockBytes is the size of a write of repeated text.
const blockBytes = 64 << 10

// repeated returns writes of a text over and over, about total bytes in all.
func repeated(text string, total int) func(int) []byte {
	block := []byte(strings.Repeat(text, max(blockBytes/len(text), 1)))
	return func(number int) []byte {
		left := total - number*len(block)
		if left <= 0 {
			return nil
		}
		return block[:min(left, len(block))]
	}
}

// endless returns writes of a text over and over, without end.
func endless(text string) func(int) []byte {
	block := []byte(strings.Repeat(text, max(blockBytes/len(text), 1)))
	return func(int) []byte { return block }
}

// byteByByte returns writes of one byte of a text each.
func byteByByte(text string) func(int) []byte {
	return func(number int) []byte {
		if number >= len(text) {
			return nil
		}
		return []byte{text[number]}
	}
}

// shortFields is header lines of four bytes with different names.
func shortFields() string {
	var lines strings.Builder
	for letter := 'a'; letter <= 'z'; letter++ {
		lines.WriteString(string(letter) + ":\r\n")
	}
	return lines.String()
}

// manyNames is count header lines with names of two letters, all different as far as these go.
func manyNames(count int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var lines strings.Builder
	for i := range count {
		lines.WriteByte(letters[i/len(letters)%len(letters)])
		lines.WriteByte(letters[i%len(letters)])
		lines.WriteString(":\r\n")
	}
	return lines.String()
}
