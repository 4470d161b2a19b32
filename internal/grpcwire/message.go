package grpcwire

import (
	"strconv"
	"strings"
)

// EncodeMessage percent-encodes a status message for grpc-message.
func EncodeMessage(message string) string {
	const hexDigits = "0123456789ABCDEF"
	var b strings.Builder
	for i := range len(message) {
		c := message[i]
		if c >= ' ' && c <= '~' && c != '%' {
			b.WriteByte(c)
			continue
		}
		b.WriteByte('%')
		b.WriteByte(hexDigits[c>>4])
		b.WriteByte(hexDigits[c&15])
	}
	return b.String()
}

// DecodeMessage decodes the value of grpc-message. Invalid escapes stay as they are.
func DecodeMessage(value string) string {
	if !strings.Contains(value, "%") {
		return value
	}
	var b strings.Builder
	for i := 0; i < len(value); i++ {
		if value[i] == '%' && i+2 < len(value) {
			if decoded, err := strconv.ParseUint(value[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(decoded))
				i += 2
				continue
			}
		}
		b.WriteByte(value[i])
	}
	return b.String()
}
