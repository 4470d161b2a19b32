package wireproto_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

func probe(sequence uint64) *nodepb.Envelope {
	return &nodepb.Envelope{
		Protocol:      wireproto.Protocol,
		SenderId:      "front-a-1/7",
		SenderAddress: "10.1.0.1:7560",
		Body:          &nodepb.Envelope_Probe{Probe: &nodepb.Probe{Sequence: sequence, TargetId: "front-b-2/3"}},
	}
}

func snapshot(size int) *nodepb.Envelope {
	push := &nodepb.StatePush{Snapshot: &nodepb.StateSnapshot{Index: 4, State: bytes.Repeat([]byte{0x5a}, size)}}
	return &nodepb.Envelope{Protocol: wireproto.Protocol, Body: &nodepb.Envelope_StatePush{StatePush: push}}
}

func frame(t *testing.T, envelope *nodepb.Envelope) []byte {
	t.Helper()
	encoded, err := wireproto.Append(nil, envelope)
	assert.NilError(t, err)
	return encoded
}

func TestReaderReturnsEnvelopesInOrder(t *testing.T) {
	sent := []*nodepb.Envelope{probe(1), snapshot(3 << 10), snapshot(5 << 10), snapshot(300 << 10), probe(2), snapshot(2 << 20), probe(3)}
	var stream []byte
	for _, envelope := range sent {
		stream = append(stream, frame(t, envelope)...)
	}
	sources := map[string]io.Reader{
		"complete":     bytes.NewReader(stream),
		"half reads":   iotest.HalfReader(bytes.NewReader(stream)),
		"data and end": iotest.DataErrReader(bytes.NewReader(stream)),
	}
	for name, source := range sources {
		t.Run(name, func(t *testing.T) {
			reader := wireproto.NewReader(source)
			for _, want := range sent {
				got, err := reader.Next()
				assert.NilError(t, err)
				assert.Assert(t, proto.Equal(got, want))
				assert.Equal(t, reader.FrameSize(), wireproto.HeaderSize+proto.Size(want))
			}
			_, err := reader.Next()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, reader.FrameSize(), 0)
		})
	}
}

func TestReaderAssemblesSingleBytes(t *testing.T) {
	stream := append(frame(t, probe(1)), frame(t, snapshot(6<<10))...)
	reader := wireproto.NewReader(iotest.OneByteReader(bytes.NewReader(stream)))
	for _, want := range []*nodepb.Envelope{probe(1), snapshot(6 << 10)} {
		got, err := reader.Next()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, want))
	}
}

func TestEnvelopeSharesNoMemoryWithReader(t *testing.T) {
	stream := append(frame(t, snapshot(1<<10)), frame(t, probe(9))...)
	reader := wireproto.NewReader(bytes.NewReader(stream))
	first, err := reader.Next()
	assert.NilError(t, err)
	_, err = reader.Next()
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(first, snapshot(1<<10)))
}

func TestSenderSetsSenderWithoutModifyingEnvelope(t *testing.T) {
	sender, err := wireproto.NewSender("front-c-3/1", "10.3.0.3:7560")
	assert.NilError(t, err)
	envelope := probe(5)
	envelope.Protocol = 77
	before := proto.Clone(envelope)
	encoded, err := sender.Append(nil, envelope)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(before, envelope))

	got, err := wireproto.NewReader(bytes.NewReader(encoded)).Next()
	assert.NilError(t, err)
	want := probe(5)
	want.SenderId, want.SenderAddress = "front-c-3/1", "10.3.0.3:7560"
	assert.Assert(t, proto.Equal(got, want))
}

func TestEncodingErrorLeavesBufferUnchanged(t *testing.T) {
	notText := probe(1)
	notText.SenderId = "\xff"
	tests := map[string]struct {
		envelope *nodepb.Envelope
		want     error
	}{
		"too large": {snapshot(wireproto.MaxFrame), wireproto.ErrOversized},
		"not UTF-8": {notText, wireproto.ErrUnencodable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			buffer := []byte("kept")
			got, err := wireproto.Append(buffer, test.envelope)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			assert.Equal(t, string(got), "kept")
		})
	}
	_, err := wireproto.NewSender("\xff", "")
	assert.Assert(t, errors.Is(err, wireproto.ErrUnencodable), "%v", err)
}

func TestReaderErrorsAreTyped(t *testing.T) {
	complete := frame(t, probe(1))
	otherProtocol := probe(1)
	otherProtocol.Protocol = wireproto.Protocol + 1
	withoutBody := &nodepb.Envelope{Protocol: wireproto.Protocol, SenderId: "x"}
	tests := map[string]struct {
		stream  []byte
		want    error
		skipped bool
	}{
		"cut within the header":   {complete[:4], wireproto.ErrTruncated, false},
		"cut within the envelope": {complete[:len(complete)-1], wireproto.ErrTruncated, false},
		"cut within a large one":  {frame(t, snapshot(200<<10))[:100<<10], wireproto.ErrTruncated, false},
		"length above the bound":  {header(wireproto.MaxFrame+1, 0xB7, 1), wireproto.ErrOversized, false},
		"length of 4 GiB":         {header(1<<32-1, 0xB7, 1), wireproto.ErrOversized, false},
		"another magic byte":      {header(3, 0xB8, 1), wireproto.ErrNotAFrame, false},
		"another framing":         {header(3, 0xB7, 2), wireproto.ErrNotAFrame, false},
		"HTTP":                    {[]byte("GET / HTTP/1.1\r\n\r\n"), wireproto.ErrNotAFrame, false},
		"another protocol":        {frame(t, otherProtocol), wireproto.ErrOtherProtocol, true},
		"an empty envelope":       {header(0, 0xB7, 1), wireproto.ErrOtherProtocol, true},
		"no protobuf":             {append(header(3, 0xB7, 1), 0xff, 0xff, 0xff), wireproto.ErrUndecodable, true},
		"no body":                 {frame(t, withoutBody), wireproto.ErrUndecodable, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reader := wireproto.NewReader(bytes.NewReader(append(test.stream[:len(test.stream):len(test.stream)], tail(t, test.skipped)...)))
			_, err := reader.Next()
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			assert.Equal(t, wireproto.Skippable(err), test.skipped)
			if test.skipped {
				assert.Assert(t, reader.FrameSize() > 0)
				got, err := reader.Next()
				assert.NilError(t, err)
				assert.Assert(t, proto.Equal(got, probe(2)))
			}
		})
	}
}

// tail is what follows a frame that is skipped.
func tail(t *testing.T, wanted bool) []byte {
	if !wanted {
		return nil
	}
	return frame(t, probe(2))
}

func header(length uint32, rest ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, length), rest...)
}

func TestStreamErrorBetweenFramesIsReturnedAsIs(t *testing.T) {
	broken := errors.New("reset")
	reader := wireproto.NewReader(iotest.ErrReader(broken))
	_, err := reader.Next()
	assert.Equal(t, err, broken)
}

func TestClaimedLengthAllocatesNoMemory(t *testing.T) {
	stream := append(header(wireproto.MaxFrame, 0xB7, 1), make([]byte, 10)...)
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, err := wireproto.NewReader(bytes.NewReader(stream)).Next()
			if !errors.Is(err, wireproto.ErrTruncated) {
				b.Fatal(err)
			}
		}
	}).AllocedBytesPerOp()
	assert.Assert(t, allocated < 128<<10, "%d bytes", allocated)
}

func TestKindIsFieldNumberOfBody(t *testing.T) {
	assert.Equal(t, wireproto.KindOf(probe(1)).String(), "probe")
	assert.Equal(t, wireproto.KindOf(snapshot(1)).String(), "state_push")
	assert.Equal(t, wireproto.KindOf(&nodepb.Envelope{}), wireproto.NoKind)
	assert.Equal(t, wireproto.NoKind.String(), "none")
	fields := (&nodepb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for i := range fields.Len() {
		assert.Assert(t, fields.Get(i).Number() < wireproto.KindLimit)
	}
}

func TestEncodingErrorNamesKind(t *testing.T) {
	_, err := wireproto.Append(nil, snapshot(wireproto.MaxFrame))
	assert.Assert(t, strings.Contains(err.Error(), "state_push"), "%v", err)
}

func FuzzReader(f *testing.F) {
	seed := func(envelope *nodepb.Envelope) {
		encoded, err := wireproto.Append(nil, envelope)
		assert.NilError(f, err)
		f.Add(encoded)
		f.Add(encoded[:len(encoded)/2])
	}
	seed(probe(1))
	seed(snapshot(100))
	seed(snapshot(70 << 10))
	f.Add(header(wireproto.MaxFrame, 0xB7, 1))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := wireproto.NewReader(bytes.NewReader(stream))
		read := 0
		for {
			envelope, err := reader.Next()
			read += reader.FrameSize()
			if err != nil && !wireproto.Skippable(err) {
				break
			}
			if err == nil {
				again := frame(t, envelope)
				assert.Assert(t, len(again) <= wireproto.HeaderSize+wireproto.MaxFrame)
			}
		}
		assert.Assert(t, read <= len(stream))
	})
}
