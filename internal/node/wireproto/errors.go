package wireproto

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("wireproto").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// Truncated: the stream ended, or its deadline passed, inside a frame.
	Truncated = namespace.NewType("truncated")
	// Oversized: a frame is, or by its header claims to be, larger than MaxFrame.
	Oversized = namespace.NewType("oversized")
	// NotAFrame: the header has another magic byte or another version of the framing.
	NotAFrame = namespace.NewType("not_a_frame")
	// OtherProtocol: the frame is complete, but its sender uses another version of the schema.
	OtherProtocol = namespace.NewType("other_protocol")
	// Undecodable: the frame is complete, but contains no envelope with a body that this node knows.
	Undecodable = namespace.NewType("undecodable")
	// Unencodable: an envelope can't be encoded, as one of its strings is not UTF-8.
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
