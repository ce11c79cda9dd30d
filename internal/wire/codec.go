package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxFrameBytes is the largest encoded message, in bytes.
const MaxFrameBytes = 4 << 20

// Limits on decoded CBOR, which bound the memory that decoding a malformed frame can allocate.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 12
)

// Errors of the codec.
var (
	// ErrFrameTooLarge reports a frame above MaxFrameBytes.
	ErrFrameTooLarge = errors.New("wire: frame too large")
	// ErrMalformed reports a frame that is not a valid message.
	ErrMalformed = errors.New("wire: malformed frame")
	// ErrUnknownKind reports a message kind that this version does not support.
	ErrUnknownKind = errors.New("wire: unknown message kind")
)

// envelope is the outer structure of every frame.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// encMode and decMode are the CBOR modes; they are built once and safe for concurrent use.
var encMode, decMode = mustModes()

func mustModes() (cbor.EncMode, cbor.DecMode) {
	encOptions := cbor.CoreDetEncOptions()
	encOptions.Time = cbor.TimeRFC3339Nano
	enc, err := encOptions.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// newMessage returns an empty message of the kind, or nil if the kind is unknown.
func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return &Hello{}
	case KindWelcome:
		return &Welcome{}
	case KindHeartbeat:
		return &Heartbeat{}
	case KindHeartbeatAck:
		return &HeartbeatAck{}
	case KindConfiguration:
		return &Configuration{}
	case KindRequest:
		return &Request{}
	case KindRequestReply:
		return &RequestReply{}
	case KindQuery:
		return &Query{}
	case KindQueryReply:
		return &QueryReply{}
	case KindCancel:
		return &Cancel{}
	case KindStartTask:
		return &StartTask{}
	case KindEvictTask:
		return &EvictTask{}
	case KindStopTask:
		return &StopTask{}
	case KindTaskEvent:
		return &TaskEvent{}
	case KindAckTaskEvent:
		return &AckTaskEvent{}
	case KindUsage:
		return &Usage{}
	case KindLeaving:
		return &Leaving{}
	case KindAckQuery:
		return &AckQuery{}
	case KindAckReply:
		return &AckReply{}
	default:
		return newJobMessage(kind)
	}
}

// Encode returns the frame of a message. It returns ErrMalformed if the message cannot be encoded and
// ErrFrameTooLarge if its frame exceeds MaxFrameBytes.
func Encode(message Message) ([]byte, error) {
	body, err := encMode.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	frame, err := encMode.Marshal(envelope{Kind: message.Kind(), Body: body})
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(frame) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	return frame, nil
}

// Decode returns the message of a frame, or ErrFrameTooLarge, ErrMalformed or ErrUnknownKind.
func Decode(frame []byte) (Message, error) {
	if len(frame) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	var outer envelope
	if err := decMode.Unmarshal(frame, &outer); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	message := newMessage(outer.Kind)
	if message == nil {
		return nil, errors.Wrapf(ErrUnknownKind, "kind %d", outer.Kind)
	}
	if err := decMode.Unmarshal(outer.Body, message); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return message, nil
}

// Marshal returns the CBOR encoding of a document for the store, with the same options as for messages.
func Marshal[T any](document *T) ([]byte, error) {
	data, err := encMode.Marshal(document)
	return data, errors.Wrap(err, "wire: encode document")
}

// Unmarshal decodes a document from the store. It returns ErrMalformed if the data is not valid.
func Unmarshal[T any](data []byte) (*T, error) {
	document := new(T)
	if err := decMode.Unmarshal(data, document); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return document, nil
}
