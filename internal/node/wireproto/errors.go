package wireproto

import "errors"

// The errors of frames and streams; test for them with errors.Is. A broken stream is an ordinary event.
var (
	// ErrTruncated says that the stream ended, or its deadline passed, inside a frame.
	ErrTruncated = errors.New("wireproto: stream ended within a frame")
	// ErrOversized says that a frame is, or by its header claims to be, larger than MaxFrame.
	ErrOversized = errors.New("wireproto: frame too large")
	// ErrNotAFrame says that the header has another magic byte or another version of the framing.
	ErrNotAFrame = errors.New("wireproto: not a frame")
	// ErrOtherProtocol says that the frame is complete, but its sender uses another version of the schema.
	ErrOtherProtocol = errors.New("wireproto: other protocol")
	// ErrUndecodable says that the frame is complete, but contains no envelope with a body that this node knows.
	ErrUndecodable = errors.New("wireproto: undecodable envelope")
	// ErrUnencodable says that an envelope can't be encoded, as one of its strings is not UTF-8.
	ErrUnencodable = errors.New("wireproto: unencodable envelope")
)

// Skippable reports whether err concerns a single frame that was read to its end, so that the next frame
// of the stream can be read. After any other error the stream can't be used.
func Skippable(err error) bool {
	return errors.Is(err, ErrOtherProtocol) || errors.Is(err, ErrUndecodable)
}

// IsOtherProtocol reports whether err is ErrOtherProtocol.
func IsOtherProtocol(err error) bool { return errors.Is(err, ErrOtherProtocol) }

// IsBrokenStream reports whether err says that a stream ended inside a frame or doesn't consist of
// frames.
func IsBrokenStream(err error) bool {
	return errors.Is(err, ErrTruncated) || errors.Is(err, ErrOversized) || errors.Is(err, ErrNotAFrame)
}
