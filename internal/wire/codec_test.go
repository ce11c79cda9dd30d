package wire

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestRoundTrip guards against a message kind that is missing from newMessage, and so from Decode.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for kind := KindHello; kind <= KindInputNotice; kind++ {
		message := newMessage(kind)
		is.True(message != nil)
		frame, err := Encode(message)
		is.NoErr(err)
		decoded, err := Decode(frame)
		is.NoErr(err)
		is.Equal(decoded.Kind(), kind)
	}
}

// TestDecodeTruncated guards against accepting a truncated frame.
func TestDecodeTruncated(t *testing.T) {
	is := is.New(t)
	frame, err := Encode(&Request{ID: "r-1", Service: "rail", Body: []byte("0123456789")})
	is.NoErr(err)
	for end := range frame {
		_, err := Decode(frame[:end])
		is.True(errors.Is(err, ErrMalformed))
	}
}

// FuzzDecode guards against a panic or an unbounded allocation on malformed frames.
func FuzzDecode(f *testing.F) {
	for kind := KindHello; kind <= KindInputNotice; kind++ {
		frame, err := Encode(newMessage(kind))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0x82, 0x01, 0xbf})
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, err := Decode(frame)
		if err != nil {
			return
		}
		if _, err := Encode(message); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
	})
}
