package wireproto

import "github.com/joomcode/errorx"

// namespace holds the errors of this package, without stack traces: broken streams are ordinary events.
var namespace = errorx.NewNamespace("wireproto").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of frames and streams.
var (
	// Truncated says that the stream ended, or its deadline passed, inside a frame.
	Truncated = namespace.NewType("truncated")
	// Oversized says that a frame is, or by its header claims to be, larger than MaxFrame.
	Oversized = namespace.NewType("oversized")
	// NotAFrame says that the header has another magic byte or another version of the framing.
	NotAFrame = namespace.NewType("not_a_frame")
	// OtherProtocol says that the frame is complete, but its sender uses another version of the schema.
	OtherProtocol = namespace.NewType("other_protocol")
	// Undecodable says that the frame is complete, but contains no envelope with a body that this node knows.
	Undecodable = namespace.NewType("undecodable")
	// Unencodable says that an envelope can't be encoded, as one of its strings is not UTF-8.
	Unencodable = namespace.NewType("unencodable")
)

// Skippable reports whether err concerns a single frame that was read to its end, so that the next frame
// of the stream can be read. After any other error the stream can't be used.
func Skippable(err error) bool {
	return errorx.IsOfType(err, OtherProtocol) || errorx.IsOfType(err, Undecodable)
}

// IsOtherProtocol reports whether err is of type OtherProtocol.
func IsOtherProtocol(err error) bool { return errorx.IsOfType(err, OtherProtocol) }

// IsBrokenStream reports whether err says that a stream ended inside a frame or doesn't consist of
// frames.
func IsBrokenStream(err error) bool {
	return errorx.IsOfType(err, Truncated) || errorx.IsOfType(err, Oversized) || errorx.IsOfType(err, NotAFrame)
}
