package h2

// Handler receives the events of a connection. Fields and bytes are valid within the call only; a
// Stream until it is closed.
type Handler interface {
	// HeadersReceived reports a header section: a stream's first, an interim response, or trailers.
	// With end the peer sends nothing more on the stream.
	HeadersReceived(s *Stream, fields []Field, end bool)
	// HeaderListTooLarge reports a header section over Limits.MaxHeaderListSize; its fields are lost.
	HeaderListTooLarge(s *Stream)
	// DataReceived reports a part of a body. The peer may send more only as the caller credits it.
	DataReceived(s *Stream, data []byte, end bool)
	// StreamReset reports that a stream is closed, either by the peer's RST_STREAM, or by this side
	// for a violation of the protocol on that stream.
	StreamReset(s *Stream, code ErrorCode)
	// StreamUnprocessed reports a closed stream that the peer, by its GOAWAY, has not processed.
	StreamUnprocessed(s *Stream)
	// GoAwayReceived reports that the peer accepts no new streams on this connection.
	GoAwayReceived(code ErrorCode)
	// SettingsReceived reports SETTINGS of the peer: PeerMaxConcurrentStreams may have changed.
	SettingsReceived()
}

// DataSource supplies the body that a stream sends.
type DataSource interface {
	// Next returns at most maxBytes bytes, which must not change afterwards. With end they are the
	// last, followed by the trailers if there are any. Neither bytes nor end means that there is
	// nothing to send now; Stream.Ready then has the source asked again. maxBytes may be 0, to learn
	// whether the body ends.
	Next(maxBytes int) (data []byte, end bool, trailers []Field)
}
