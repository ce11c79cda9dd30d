package operator

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // registers the codec
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// partBytes is the memory of a decoded message of few fields, such as one in a list.
	partBytes = 160
	// maxDecodedBytes bounds the memory of a decoded message. A configuration of the largest size whose services are encoded
	// in 70 bytes each takes less.
	maxDecodedBytes = 12 * maxMessageBytes
	// codecName is the name of the codec of protobuf messages in gRPC.
	codecName = "proto"
)

// Errors of messages that are not decoded.
var (
	errTooManyParts = errors.New("operator: the message has too many parts")
	errMalformed    = errors.New("operator: the message is malformed")
)

// boundedCodec is the codec of protobuf messages, but refuses a message that takes more than maxDecodedBytes before it is
// decoded: an empty message in a list has two bytes, and over 100 once it is decoded.
type boundedCodec struct{ encoding.CodecV2 }

func newBoundedCodec() boundedCodec { return boundedCodec{encoding.GetCodecV2(codecName)} }

// Unmarshal implements encoding.CodecV2. It returns errTooManyParts or errMalformed for a message that is not decoded.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, v any) error {
	message, ok := v.(proto.Message)
	if !ok {
		return c.CodecV2.Unmarshal(data, v)
	}
	buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer buffer.Free()
	encoded := buffer.ReadOnlyData()
	parts, err := countParts(encoded, message.ProtoReflect().Descriptor())
	if err != nil {
		return err
	}
	if len(encoded)+partBytes*parts > maxDecodedBytes {
		return errors.Wrapf(errTooManyParts, "%d in %d bytes", parts, len(encoded))
	}
	return c.CodecV2.Unmarshal(mem.BufferSlice{buffer}, v)
}

// countParts returns the number of messages in an encoded message of the type, at all depths. It stops above the number that
// maxDecodedBytes allows, and returns errMalformed beyond maxPartDepth.
func countParts(encoded []byte, descriptor protoreflect.MessageDescriptor) (int, error) {
	counter := partCounter{}
	err := counter.count(encoded, descriptor, 0)
	return counter.parts, err
}

// maxPartDepth bounds the depth of messages in one another. The schema is less deep.
const maxPartDepth = 32

// partCounter counts messages.
type partCounter struct{ parts int }

func (c *partCounter) count(encoded []byte, descriptor protoreflect.MessageDescriptor, depth int) error {
	if depth > maxPartDepth {
		return errMalformed
	}
	for len(encoded) > 0 && c.parts <= maxDecodedBytes/partBytes {
		number, kind, n := protowire.ConsumeTag(encoded)
		if n < 0 {
			return errMalformed
		}
		encoded = encoded[n:]
		n = protowire.ConsumeFieldValue(number, kind, encoded)
		if n < 0 {
			return errMalformed
		}
		field := descriptor.Fields().ByNumber(number)
		if kind == protowire.BytesType && field != nil && field.Message() != nil {
			c.parts++
			content, _ := protowire.ConsumeBytes(encoded)
			if err := c.count(content, field.Message(), depth+1); err != nil {
				return err
			}
		}
		encoded = encoded[n:]
	}
	return nil
}
