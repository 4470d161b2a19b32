package wireproto

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("wireproto").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// Truncated: the stream ended, or its deadline passed, within a frame.
	Truncated = namespace.NewType("truncated")
	// Oversized: a frame is, or says that it is, larger than MaxFrame.
	Oversized = namespace.NewType("oversized")
	// NotAFrame: the header carries another magic byte or another version of the framing.
	NotAFrame = namespace.NewType("not_a_frame")
	// OtherProtocol: the frame is whole, but its sender speaks another version of the schema.
	OtherProtocol = namespace.NewType("other_protocol")
	// Undecodable: the frame is whole, but holds no envelope with a body that this node knows.
	Undecodable = namespace.NewType("undecodable")
	// Unencodable: an envelope can't be put into a frame, as one of its texts is not UTF-8.
	Unencodable = namespace.NewType("unencodable")
)

// Skippable reports whether err concerns a single frame that was read to its end, so that the next frame of the same
// stream can be read. After any other error the stream is of no more use.
func Skippable(err error) bool {
	return errorx.IsOfType(err, OtherProtocol) || errorx.IsOfType(err, Undecodable)
}

// IsOtherProtocol reports whether err is of type OtherProtocol.
func IsOtherProtocol(err error) bool { return errorx.IsOfType(err, OtherProtocol) }

// IsBrokenStream reports whether err says that a stream ended within a frame or does not consist of frames.
func IsBrokenStream(err error) bool {
	return errorx.IsOfType(err, Truncated) || errorx.IsOfType(err, Oversized) || errorx.IsOfType(err, NotAFrame)
}
