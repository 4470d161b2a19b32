package clientfaults

import (
	"bytes"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// framesPerWrite is how many frames one write has.
	framesPerWrite = 500
	// fragmentBytes is the length of a fragment of a header block.
	fragmentBytes = 16 << 10
	// unpaddedFrameBytes is the length of a frame that is announced and held.
	heldFrameBytes = 16 << 10
)

// frames returns the encoding of what write writes.
func frames(write func(*http2.Framer)) []byte {
	var encoded bytes.Buffer
	write(http2.NewFramer(&encoded, nil))
	return encoded.Bytes()
}

// http2Opening is the preface of a client with empty SETTINGS, and what write writes.
func http2Opening(write func(*http2.Framer)) string {
	return http2.ClientPreface + string(frames(func(f *http2.Framer) {
		_ = f.WriteSettings()
		write(f)
	}))
}

// headerBlock encodes the header fields of a call.
func headerBlock(path string, further ...hpack.HeaderField) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	fields := append([]hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: ":authority", Value: "demo.example"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	}, further...)
	for _, field := range fields {
		field.Sensitive = true // not added to the table, so that each block stands alone
		_ = encoder.WriteField(field)
	}
	return block.Bytes()
}

// sameFrames returns endless writes of the same frames.
func sameFrames(write func(*http2.Framer)) func(int) []byte {
	block := frames(func(f *http2.Framer) {
		for range framesPerWrite {
			write(f)
		}
	})
	return func(int) []byte { return block }
}

// newStreams returns writes with streams that write starts, each with the next identifier of a client.
func newStreams(write func(f *http2.Framer, stream uint32)) func(int) []byte {
	return func(number int) []byte {
		return frames(func(f *http2.Framer) {
			for i := range framesPerWrite {
				write(f, uint32(number*framesPerWrite+i)*2+1)
			}
		})
	}
}

// HTTP2 are behaviours of HTTP/2 clients. path is that of a call that the server accepts.
func HTTP2(path string) []Behaviour {
	nothing := func(*http2.Framer) {}
	headers := func(f *http2.Framer, stream uint32, end bool) {
		_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: headerBlock(path), EndHeaders: end})
	}
	return []Behaviour{
		Silent,
		{Name: "preface without end", Next: endless("\r\n")},
		{Name: "SETTINGS without end", Opening: http2Opening(nothing), Next: sameFrames(func(f *http2.Framer) { _ = f.WriteSettings() }), IgnoresAnswers: true},
		{Name: "PING without end", Opening: http2Opening(nothing), Next: sameFrames(func(f *http2.Framer) { _ = f.WritePing(false, [8]byte{}) }), IgnoresAnswers: true},
		{Name: "streams begun and reset", Opening: http2Opening(nothing), Next: newStreams(func(f *http2.Framer, stream uint32) {
			headers(f, stream, true)
			_ = f.WriteRSTStream(stream, http2.ErrCodeCancel)
		})},
		{Name: "CONTINUATION without end", Opening: http2Opening(func(f *http2.Framer) { headers(f, 1, false) }), Next: sameFrames(func(f *http2.Framer) {
			_ = f.WriteContinuation(1, false, make([]byte, fragmentBytes))
		})},
		{Name: "empty CONTINUATION without end", Opening: http2Opening(func(f *http2.Framer) { headers(f, 1, false) }), Next: sameFrames(func(f *http2.Framer) {
			_ = f.WriteContinuation(1, false, nil)
		})},
		{Name: "empty DATA without end", Opening: http2Opening(func(f *http2.Framer) { headers(f, 1, true) }), Next: sameFrames(func(f *http2.Framer) {
			_ = f.WriteData(1, false, nil)
		})},
		{Name: "frame held", Opening: http2Opening(nothing) + string(frames(func(f *http2.Framer) {
			_ = f.WriteData(1, false, make([]byte, heldFrameBytes))
		})[:heldFrameBytes])},
		{Name: "header block held", Opening: http2Opening(func(f *http2.Framer) {
			headers(f, 1, false)
			_ = f.WriteContinuation(1, false, make([]byte, fragmentBytes))
		})},
		{Name: "calls held", Opening: http2Opening(func(f *http2.Framer) {
			for i := range uint32(framesPerWrite) {
				headers(f, 2*i+1, true)
			}
		})},
	}
}
