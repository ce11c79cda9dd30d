package operator

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "clementineflow/api/operator/v1"
)

// unmarshal encodes a message and decodes it with the bounded codec.
func unmarshal(message, decoded proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return newBoundedCodec().Unmarshal(mem.BufferSlice{mem.SliceBuffer(encoded)}, decoded)
}

// TestCodecBoundsParts guards against short messages that take many times their length once they are decoded, and against a
// large configuration that is refused.
func TestCodecBoundsParts(t *testing.T) {
	is := is.New(t)
	large := &operatorv1.Configuration{}
	service := &operatorv1.Service{
		Name: "a-service-with-a-name-of-its-own", Team: "a-team-with-a-name", Class: "latency-critical", Replicas: 3,
		Size: &operatorv1.Quantity{}, Timeout: durationpb.New(1e9), LatencyObjective: durationpb.New(1e8),
	}
	for proto.Size(large) < maxMessageBytes {
		for range 100 {
			large.Services = append(large.Services, service)
		}
	}
	decoded := &operatorv1.Configuration{}
	is.NoErr(unmarshal(large, decoded))
	is.True(proto.Equal(large, decoded))
	empty := &operatorv1.Configuration{}
	for range maxDecodedBytes/partBytes + 1 {
		empty.Services = append(empty.Services, &operatorv1.Service{})
	}
	is.True(proto.Size(empty) < maxMessageBytes)
	is.True(errors.Is(unmarshal(empty, &operatorv1.Configuration{}), errTooManyParts))
}

// FuzzCountParts guards against encoded messages that end the process before they are decoded, and against a well-formed
// one that is taken for malformed.
func FuzzCountParts(f *testing.F) {
	encoded, err := proto.Marshal(&operatorv1.Configuration{Region: "r", Services: []*operatorv1.Service{{Size: &operatorv1.Quantity{}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte{0x32, 0xff})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message := &operatorv1.Configuration{}
		_, err := countParts(encoded, message.ProtoReflect().Descriptor())
		if err != nil && proto.Unmarshal(encoded, message) == nil {
			t.Fatalf("%x is well-formed: %v", encoded, err)
		}
	})
}
